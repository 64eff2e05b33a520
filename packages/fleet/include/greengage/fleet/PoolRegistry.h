/// \file
/// Which pool each host belongs to. The registry is part of the agreed state:
/// it changes by commands only, which every replica applies in the same order,
/// and it holds all that another driver needs to finish a move half done.

#ifndef GREENGAGE_FLEET_POOLREGISTRY_H
#define GREENGAGE_FLEET_POOLREGISTRY_H

#include "greengage/core/Error.h"
#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/core/Upstream.h"
#include "greengage/fleet/Host.h"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>

namespace greengage::fleet {

/// How far a move between pools has come.
enum class MovePhase : std::uint8_t
{
  /// In the old pool; it finishes its work and gets none.
  Draining,
  /// In the old pool with nothing running; it is being reconfigured.
  HandingOver,
  /// In the new pool; its first announcement there is awaited.
  Resuming,
};

/// A move in progress.
struct Move
{
  PoolId from;
  PoolId to;
  MovePhase phase = MovePhase::Draining;
  /// When the phase began, on the clock of the command's sender. It serves for
  /// advice only and never decides whether a command is accepted.
  Time phaseSince;

  friend bool operator==(const Move&, const Move&) = default;
};

/// The one pool of a host.
struct Membership
{
  PoolId pool;
  /// Grows with each accepted change of this record.
  PoolEpoch epoch;
  Placement placement;
  /// When the host joined the pool.
  Time memberSince;
  std::optional<Move> move;

  friend bool operator==(const Membership&, const Membership&) = default;
};

/// Makes a host known. A repeat with the same content has no effect.
struct AddHost
{
  HostId host;
  Placement placement;
  PoolId pool;
  Time at;
};

/// Starts a move: the host drains.
struct BeginMove
{
  HostId host;
  PoolId from;
  PoolId to;
  PoolEpoch basedOn;
  Time at;
};

/// Nothing runs on the host any more.
struct FinishDrain
{
  HostId host;
  PoolEpoch basedOn;
  Time at;
};

/// The host leaves the old pool and joins the new one, in one step.
struct HandOver
{
  HostId host;
  PoolEpoch basedOn;
  Time at;
};

/// The host has announced itself in the new pool: the move is done.
struct FinishMove
{
  HostId host;
  PoolEpoch basedOn;
};

/// Ends a move before the hand-over; the host stays in the old pool.
struct AbortMove
{
  HostId host;
  PoolEpoch basedOn;
};

/// Makes a host unknown.
struct RemoveHost
{
  HostId host;
  PoolEpoch basedOn;
};

/// Any change of the registry.
using RegistryCommand = std::variant<AddHost,
                                     BeginMove,
                                     FinishDrain,
                                     HandOver,
                                     FinishMove,
                                     AbortMove,
                                     RemoveHost>;

/// The whole content, for snapshots.
struct RegistryState
{
  std::map<HostId, Membership> members;
  /// Epochs come from one counter, so that a host that is removed and added
  /// again never sees an old epoch.
  PoolEpoch lastEpoch;

  friend bool operator==(const RegistryState&, const RegistryState&) = default;
};

/// The pools' members.
class PoolRegistry
{
public:
  PoolRegistry() = default;
  explicit PoolRegistry(RegistryState aState);

  /// Applies a command; the result depends on the state and command only.
  /// \returns the epoch in force for the host, or nothing with the registry
  /// unchanged: NotFound for unknown hosts, Conflict for another epoch or pool
  /// or phase than the command is based on, Malformed for commands that can
  /// never succeed.
  std::optional<PoolEpoch> Apply(const RegistryCommand& aCommand,
                                 Error& aReason);

  /// The membership of a host, or null.
  const Membership* Find(const HostId& aHost) const;
  const std::map<HostId, Membership>& Members() const { return state_.members; }
  const RegistryState& State() const { return state_; }

private:
  std::optional<PoolEpoch> On(const AddHost& aCommand, Error& aReason);
  std::optional<PoolEpoch> On(const BeginMove& aCommand, Error& aReason);
  std::optional<PoolEpoch> On(const FinishDrain& aCommand, Error& aReason);
  std::optional<PoolEpoch> On(const HandOver& aCommand, Error& aReason);
  std::optional<PoolEpoch> On(const FinishMove& aCommand, Error& aReason);
  std::optional<PoolEpoch> On(const AbortMove& aCommand, Error& aReason);
  std::optional<PoolEpoch> On(const RemoveHost& aCommand, Error& aReason);

  Membership* FindAt(const HostId& aHost, PoolEpoch aBasedOn, Error& aReason);
  Membership* FindMoving(const HostId& aHost,
                         PoolEpoch aBasedOn,
                         MovePhase aPhase,
                         Error& aReason);
  PoolEpoch Advance(Membership& aMembership);

  RegistryState state_;
};

/// Checks an announcement against the registry.
/// \returns the host's epoch, which dispatches to it must carry, or nothing:
/// NotFound for unknown hosts, Conflict for another pool, zone or rack.
std::optional<PoolEpoch>
CheckAnnouncement(const PoolRegistry& aRegistry,
                  const UpstreamAnnouncement& aAnnouncement,
                  Error& aReason);

/// Whether a dispatcher that knows \p aHost as member of \p aPool by
/// \p aBasedOn may send it work. False for older epochs and during moves.
bool
MayDispatch(const PoolRegistry& aRegistry,
            const HostId& aHost,
            const PoolId& aPool,
            PoolEpoch aBasedOn,
            Error& aReason);

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_POOLREGISTRY_H
