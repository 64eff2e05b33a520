/// \file
/// The events and actions of the request plane. They are plain values,
/// independent of encodings and sockets, so that any front end can drive the
/// same decisions.

#ifndef GREENGAGE_DISPATCH_MESSAGES_H
#define GREENGAGE_DISPATCH_MESSAGES_H

#include "greengage/core/Ids.h"
#include "greengage/core/Request.h"
#include "greengage/core/Upstream.h"
#include "greengage/dispatch/Grants.h"
#include "greengage/state/FleetView.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace greengage::dispatch {

/// A caller of this entry host submits a request.
struct Submit
{
  CallId call;
  Request request;
};

/// A caller cancels a request of its own team.
struct Cancel
{
  CallId call;
  TeamId team;
  RequestId id;
};

/// A peer asks this entry host to run a request on one of its upstreams. The
/// peer has already counted the request against the team's limit. The dispatch
/// id was assigned by the peer.
struct Forwarded
{
  EntryHostId from;
  DispatchId dispatch;
  Request request;
};

/// A peer cancels a request that it forwarded.
struct ForwardCancelled
{
  EntryHostId from;
  DispatchId dispatch;
};

/// The outcome of a request that this entry host forwarded to \c from.
struct ForwardEnded
{
  EntryHostId from;
  DispatchId dispatch;
  Outcome outcome;
};

/// An upstream announces itself, directly or through a peer.
struct Announced
{
  UpstreamAnnouncement announcement;
  /// The call to reply to; empty if a peer relayed the announcement.
  std::optional<CallId> call;
};

/// How an attempt on an upstream ended, as far as the entry host can tell.
enum class AttemptEnd : std::uint8_t
{
  /// The request provably did not reach the upstream. The upstream is excluded
  /// only for a short backoff.
  NotSent,
  /// The upstream refused the request without running it: all its slots are
  /// taken.
  SlotsTaken,
  /// The upstream ran the request and returned a complete answer.
  Succeeded,
  /// The upstream ran the request and reported a failure.
  Failed,
  /// The upstream stopped the request on demand; it may have run in part.
  Cancelled,
  /// The request was sent, but no complete answer arrived.
  Lost,
};

/// The end of an attempt that an Execute action started.
struct AttemptEnded
{
  DispatchId dispatch;
  AttemptEnd end = AttemptEnd::NotSent;
  std::string payload;
  /// Why there is no answer; becomes the error detail of NotSent and Lost.
  std::string reason;
};

/// Free slots and queued requests of one pool on one entry host.
struct PoolLoad
{
  PoolId pool;
  Slots freeSlots;
  std::uint32_t queued = 0;
};

/// A peer has become reachable.
struct PeerUp
{
  EntryHostId peer;
  AvailabilityZoneId availabilityZone;
};

/// A peer is no longer reachable.
struct PeerDown
{
  EntryHostId peer;
};

/// A peer reports its load. Pools that it omits are unchanged.
struct PeerLoad
{
  EntryHostId peer;
  /// The peer is shutting down: it accepts no work and serves no upstreams.
  bool leaving = false;
  std::vector<PoolLoad> pools;
};

/// A peer sends its grant report.
struct PeerGrants
{
  EntryHostId peer;
  GrantReport report;
};

/// A new version of the replicated state is in force.
struct ViewChanged
{
  state::FleetViewPtr view;
};

/// Stops admission; requests in progress are finished.
struct BeginShutdown
{};

/// Any input of the request plane.
using Event = std::variant<Submit,
                           Cancel,
                           Forwarded,
                           ForwardCancelled,
                           ForwardEnded,
                           Announced,
                           AttemptEnded,
                           PeerUp,
                           PeerDown,
                           PeerLoad,
                           PeerGrants,
                           ViewChanged,
                           BeginShutdown>;

/// Return the outcome of a request to a caller of this entry host.
struct Answer
{
  CallId call;
  RequestId id;
  Outcome outcome;
};

/// Reply to a cancellation with the outcome of the request.
struct AnswerCancel
{
  CallId call;
  RequestId id;
  Outcome outcome;
};

/// Start an attempt of a request on an upstream.
struct Execute
{
  DispatchId dispatch;
  UpstreamId upstream;
  Endpoint endpoint;
  Request request;
};

/// Ask an upstream to stop a request. Its slot is freed when the attempt ends.
struct CancelAttempt
{
  DispatchId dispatch;
  UpstreamId upstream;
  Endpoint endpoint;
};

/// Cancel a request that was forwarded to a peer.
struct CancelForward
{
  EntryHostId peer;
  DispatchId dispatch;
};

/// Ask a peer to run a request on one of its upstreams.
struct Forward
{
  EntryHostId peer;
  DispatchId dispatch;
  Request request;
};

/// Return the outcome of a forwarded request to the peer.
struct ReturnOutcome
{
  EntryHostId peer;
  DispatchId dispatch;
  Outcome outcome;
};

/// Relay an announcement to the entry host that serves the upstream.
struct RelayAnnouncement
{
  EntryHostId peer;
  UpstreamAnnouncement announcement;
};

/// Tell an upstream which entry host serves it, or why its announcement was
/// refused.
struct AnswerAnnouncement
{
  CallId call;
  EntryHostId servedBy;
  std::optional<Error> refusal;
};

/// Report this entry host's load to all peers.
struct PublishLoad
{
  bool leaving = false;
  std::vector<PoolLoad> pools;
};

/// Send a grant report to a peer.
struct SendGrants
{
  EntryHostId peer;
  GrantReport report;
};

/// After BeginShutdown: no request is queued or in progress any more.
struct Drained
{};

/// Any output of the request plane.
using Action = std::variant<Answer,
                            AnswerCancel,
                            Execute,
                            CancelAttempt,
                            CancelForward,
                            Forward,
                            ReturnOutcome,
                            RelayAnnouncement,
                            AnswerAnnouncement,
                            PublishLoad,
                            SendGrants,
                            Drained>;

using Actions = std::vector<Action>;

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_MESSAGES_H
