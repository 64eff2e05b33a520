/// \file
/// What outsiders ask of an entry host and what they are told, between the
/// HTTP encodings and the decisions.

#ifndef GREENGAGE_API_CALLS_H
#define GREENGAGE_API_CALLS_H

#include "greengage/api/Administration.h"
#include "greengage/core/Error.h"
#include "greengage/core/Ids.h"
#include "greengage/core/Request.h"
#include "greengage/core/Upstream.h"
#include "greengage/http/Message.h"

#include <optional>
#include <string>
#include <variant>

namespace greengage::api {

/// Run a request. The team is not in the call: it follows from the key.
struct SubmitCall
{
  Request request;
};

/// Withdraw a request.
struct CancelCall
{
  RequestId id;
};

/// An upstream announces itself or its leaving.
struct AnnounceCall
{
  UpstreamAnnouncement announcement;
};

/// A probe or question that anyone who reaches the operators' port may ask.
enum class ProbeKind : std::uint8_t
{
  Health,
  Ready,
  Metrics,
};

struct ProbeCall
{
  ProbeKind kind = ProbeKind::Health;
};

/// Say what this entry host knows of itself.
struct StatusCall
{};

using CallBody = std::variant<SubmitCall,
                              CancelCall,
                              AnnounceCall,
                              ProbeCall,
                              StatusCall,
                              AdministrationCall>;

/// One call that waits for its reply.
struct Call
{
  CallId id;
  /// The value of the Authorization header.
  std::string authorization;
  /// The IP number that the call came from.
  std::string remoteAddress;
  CallBody body;
};

/// The outcome of a request, for a caller that sent it.
struct OutcomeReply
{
  RequestId id;
  Outcome outcome;
};

/// An announcement was taken.
struct AnnouncementReply
{
  EntryHostId servedBy;
};

/// A call was refused; nothing has been done for it.
struct ErrorReply
{
  Error error;
  /// The caller stated that the request was never sent before. Without that, an
  /// earlier send may have run, and the refusal proves nothing of it.
  bool isFirstSend = false;
};

/// A text made elsewhere, such as the metrics.
struct TextReply
{
  unsigned status = 200;
  std::string contentType = "application/json";
  std::string body;
};

using ReplyBody = std::variant<OutcomeReply,
                               AnnouncementReply,
                               ErrorReply,
                               TextReply,
                               AdministrationReply>;

/// The reply to one call.
struct Reply
{
  CallId call;
  ReplyBody body;
};

/// Whether the call submits a request that was never sent before.
bool
IsFirstSend(const Call& aCall);

/// The call that an exchange of a port stands for.
CallId
CallOf(http::PortRole aPort, http::ExchangeId aExchange);

/// The port of a call.
http::PortRole
PortOf(CallId aCall);

/// The exchange of a call on its port.
http::ExchangeId
ExchangeOf(CallId aCall);

} // namespace greengage::api

#endif // GREENGAGE_API_CALLS_H
