/// \file
/// What the duties of the job path hand to each other.

#ifndef GREENGAGE_DAEMON_LIB_FILTERS_JOBMESSAGES_H
#define GREENGAGE_DAEMON_LIB_FILTERS_JOBMESSAGES_H

#include "ConsensusMessages.h"

#include "greengage/http/Message.h"
#include "greengage/peer/Links.h"
#include "greengage/schedule/AdviceCalls.h"
#include "greengage/schedule/Calls.h"
#include "greengage/schedule/HostCalls.h"
#include "greengage/schedule/Messages.h"

#include <future>
#include <memory>
#include <string>
#include <variant>

namespace greengage::daemon::detail {

/// A call that this host is to serve, as it came.
struct RawCall
{
  schedule::CallerId caller;
  http::HttpRequest request;
};

/// The response to a call that this host served.
struct CallAnswered
{
  schedule::CallerId caller;
  http::HttpResponse response;
};

/// A planned stop: the host is not ready any more and serves on.
struct BeginStop
{};

/// Anything that reaches the duty that finds the leader.
using GateMessage = std::variant<http::HttpRequest,
                                 peer::PeerEvent,
                                 CallAnswered,
                                 Leadership,
                                 BeginStop>;

/// A committed entry of the agreed log.
struct EntryCommitted
{
  std::string entry;
};

/// The agreed state is replaced by a snapshot's.
struct RestoreState
{
  std::string snapshot;
};

/// The log's duty waits for the agreed state after all earlier messages.
struct SnapshotWanted
{
  std::shared_ptr<std::promise<std::string>> snapshot;
};

/// Anything that reaches the duty that schedules.
using ScheduleMessage = std::variant<schedule::IncomingCall,
                                     schedule::WorkerReply,
                                     schedule::HostReply,
                                     schedule::AdviceReply,
                                     EntryCommitted,
                                     RestoreState,
                                     SnapshotWanted,
                                     Leadership,
                                     ProposalEnded>;

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_FILTERS_JOBMESSAGES_H
