/// \file
/// The interfaces of a front end: how calls of outsiders and calls to workers
/// look on the network. A front end translates and decides nothing.

#ifndef GREENGAGE_FRONTEND_CODECS_H
#define GREENGAGE_FRONTEND_CODECS_H

#include "greengage/http/Client.h"
#include "greengage/http/Message.h"
#include "greengage/schedule/AdviceCalls.h"
#include "greengage/schedule/Calls.h"
#include "greengage/schedule/HostCalls.h"
#include "greengage/schedule/Messages.h"

namespace greengage::frontend {

/// Translates calls of clients, workers and operators.
class CallCodec
{
public:
  virtual ~CallCodec() = default;
  /// What can't be read becomes an InvalidCall.
  virtual schedule::Call Decode(http::HttpRequest&& aRequest) const = 0;
  /// The response without its port and exchange.
  virtual http::HttpResponse Encode(schedule::Reply&& aReply) const = 0;
};

/// Translates calls to workers. Their incarnations are the identities of the
/// servers.
class WorkerCodec : public http::PeerReader
{
public:
  virtual http::ClientCall Encode(schedule::WorkerCall&& aCall) const = 0;
  virtual schedule::WorkerReply Decode(http::ClientResult&& aResult) const = 0;
};

/// Translates calls to whoever provides the fleet's hosts.
class HostCodec
{
public:
  virtual ~HostCodec() = default;
  virtual http::ClientCall Encode(schedule::HostCall&& aCall) const = 0;
  virtual schedule::HostReply Decode(http::ClientResult&& aResult) const = 0;
};

/// Translates calls to whoever knows the queues' placement policies.
class AdviceCodec
{
public:
  virtual ~AdviceCodec() = default;
  virtual http::ClientCall Encode(schedule::AdviceCall&& aCall) const = 0;
  virtual schedule::AdviceReply Decode(http::ClientResult&& aResult) const = 0;
};

} // namespace greengage::frontend

#endif // GREENGAGE_FRONTEND_CODECS_H
