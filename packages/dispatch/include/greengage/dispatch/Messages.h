/// \file
/// The inputs and outputs of the request plane. They are plain values without
/// encodings or sockets, so that any front end can drive the same decisions.

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

/// A caller of this entry host sends a request.
struct Submit
{
  CallId call;
  Request request;
};

/// A caller withdraws a request of its own team.
struct Cancel
{
  CallId call;
  TeamId team;
  RequestId id;
};

/// A peer asks this entry host to run a request on one of its upstreams. The
/// peer has counted the request against the team's limit. The dispatch is the
/// peer's.
struct Forwarded
{
  EntryHostId from;
  DispatchId dispatch;
  Request request;
};

/// A peer withdraws a request that it forwarded.
struct ForwardCancelled
{
  EntryHostId from;
  DispatchId dispatch;
};

/// How a request that was forwarded to \p from ended there.
struct ForwardEnded
{
  EntryHostId from;
  DispatchId dispatch;
  Outcome outcome;
};

/// An upstream announces itself, to this entry host or through a peer.
struct Announced
{
  UpstreamAnnouncement announcement;
  /// Who waits for the reply; nobody if a peer passed the announcement on.
  std::optional<CallId> call;
};

/// How an attempt on an upstream ended, as far as that can be known.
enum class AttemptEnd : std::uint8_t
{
  /// Proved: the upstream did not run it and may take work again soon.
  NotSent,
  /// The upstream refused it unrun since its slots are taken.
  SlotsTaken,
  /// The upstream ran it and sent its whole answer.
  Succeeded,
  /// The upstream ran it and says that the work failed.
  Failed,
  /// The upstream stopped it on request; it may have run in part.
  Cancelled,
  /// It was sent and no whole answer came.
  Lost,
};

/// The end of an attempt that an Execute action started.
struct AttemptEnded
{
  DispatchId dispatch;
  AttemptEnd end = AttemptEnd::NotSent;
  std::string payload;
  /// Why there is no answer.
  std::string reason;
};

/// Free slots and waiting requests of one pool on one entry host.
struct PoolLoad
{
  PoolId pool;
  Slots freeSlots;
  std::uint32_t queued = 0;
};

/// A peer can be reached.
struct PeerUp
{
  EntryHostId peer;
  AvailabilityZoneId availabilityZone;
};

/// A peer can't be reached any more.
struct PeerDown
{
  EntryHostId peer;
};

/// A peer says what room it has. Pools that it leaves out are unchanged.
struct PeerLoad
{
  EntryHostId peer;
  /// The peer is shutting down: it takes no more work and serves no upstream.
  bool leaving = false;
  std::vector<PoolLoad> pools;
};

/// A peer reports on grants.
struct PeerGrants
{
  EntryHostId peer;
  GrantReport report;
};

/// A version of the agreed state is in force.
struct ViewChanged
{
  state::FleetViewPtr view;
};

/// Admission ends; what is in progress is finished.
struct BeginShutdown
{};

/// Anything that the request plane reacts to.
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

/// Give a caller of this entry host its outcome.
struct Answer
{
  CallId call;
  RequestId id;
  Outcome outcome;
};

/// Tell a caller that withdrew a request how the request ended.
struct AnswerCancel
{
  CallId call;
  RequestId id;
  Outcome outcome;
};

/// Send a request to an upstream.
struct Execute
{
  DispatchId dispatch;
  UpstreamId upstream;
  Endpoint endpoint;
  Request request;
};

/// Ask an upstream to stop a request. Its slot is free when the attempt ends.
struct CancelAttempt
{
  DispatchId dispatch;
  UpstreamId upstream;
  Endpoint endpoint;
};

/// Withdraw a request that was forwarded to a peer.
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

/// Tell a peer how the request that it forwarded ended.
struct ReturnOutcome
{
  EntryHostId peer;
  DispatchId dispatch;
  Outcome outcome;
};

/// Pass an announcement on to the entry host that serves the upstream.
struct RelayAnnouncement
{
  EntryHostId peer;
  UpstreamAnnouncement announcement;
};

/// Tell an upstream who serves it, or why its announcement was refused.
struct AnswerAnnouncement
{
  CallId call;
  EntryHostId servedBy;
  std::optional<Error> refusal;
};

/// Tell all peers what room this entry host has.
struct PublishLoad
{
  bool leaving = false;
  std::vector<PoolLoad> pools;
};

/// Report on grants to a peer.
struct SendGrants
{
  EntryHostId peer;
  GrantReport report;
};

/// After BeginShutdown: nothing is waiting or in progress any more.
struct Drained
{};

/// Anything that the request plane decides.
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
