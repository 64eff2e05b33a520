/// \file
/// The assignment of hosts to pools. The registry is part of the replicated
/// state: only commands change it, and every replica applies them in the same
/// order. It holds everything that another entry host needs to finish a move
/// that is in progress.

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

/// The phases of a move between pools, in order.
enum class MovePhase : std::uint8_t
{
  /// Still in the old pool: the host finishes its tasks and receives no new
  /// ones.
  Draining,
  /// Still in the old pool and idle: the host is being reconfigured.
  HandingOver,
  /// In the new pool, before its first announcement there.
  Resuming,
};

/// A move in progress.
struct Move
{
  PoolId from;
  PoolId to;
  MovePhase phase = MovePhase::Draining;
  /// Start of the phase by the clock of the command's sender. It is used for
  /// timeouts only; no command is accepted or rejected because of it.
  Time phaseSince;

  friend bool operator==(const Move&, const Move&) = default;
};

/// The pool assignment of a host, which is in exactly one pool.
struct Membership
{
  PoolId pool;
  /// Increases with each accepted change of this record.
  PoolEpoch epoch;
  Placement placement;
  /// When the host joined the pool.
  Time memberSince;
  std::optional<Move> move;

  friend bool operator==(const Membership&, const Membership&) = default;
};

/// Registers a host. Idempotent: repeating it with the same pool and placement
/// has no effect.
struct AddHost
{
  HostId host;
  Placement placement;
  PoolId pool;
  Time at;
};

/// Starts a move; the host begins to drain.
struct BeginMove
{
  HostId host;
  PoolId from;
  PoolId to;
  PoolEpoch expectedEpoch;
  Time at;
};

/// Reports that the host has drained and is idle.
struct FinishDrain
{
  HostId host;
  PoolEpoch expectedEpoch;
  Time at;
};

/// Moves the host from the old pool to the new one atomically.
struct HandOver
{
  HostId host;
  PoolEpoch expectedEpoch;
  Time at;
};

/// Completes the move once the host has announced itself in the new pool.
struct FinishMove
{
  HostId host;
  PoolEpoch expectedEpoch;
};

/// Cancels a move before the hand-over; the host stays in the old pool.
struct AbortMove
{
  HostId host;
  PoolEpoch expectedEpoch;
};

/// Removes a host from the registry, even if it is moving.
struct RemoveHost
{
  HostId host;
  PoolEpoch expectedEpoch;
};

/// A command that changes the registry.
using RegistryCommand = std::variant<AddHost,
                                     BeginMove,
                                     FinishDrain,
                                     HandOver,
                                     FinishMove,
                                     AbortMove,
                                     RemoveHost>;

/// The complete registry state, as stored in snapshots.
struct RegistryState
{
  std::map<HostId, Membership> members;
  /// All hosts share one epoch counter, so a host that is removed and added
  /// again never reuses an earlier epoch.
  PoolEpoch lastEpoch;

  friend bool operator==(const RegistryState&, const RegistryState&) = default;
};

/// The deterministic state machine that tracks pool membership.
class PoolRegistry
{
public:
  PoolRegistry() = default;
  explicit PoolRegistry(RegistryState aState);

  /// Applies a command. The result depends only on the state and the command.
  /// \returns the host's current epoch, or nothing if the command is rejected.
  /// A rejected command leaves the registry unchanged and sets \p aReason:
  /// NotFound if the host is not registered, Conflict if the epoch, pool or
  /// phase differs from the one that the command expects, Malformed if the
  /// command can never succeed.
  std::optional<PoolEpoch> Apply(const RegistryCommand& aCommand,
                                 Error& aReason);

  /// Returns the membership of a host, or null if it is not registered.
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

  Membership* FindAtEpoch(const HostId& aHost,
                          PoolEpoch aExpectedEpoch,
                          Error& aReason);
  Membership* FindInPhase(const HostId& aHost,
                          PoolEpoch aExpectedEpoch,
                          MovePhase aPhase,
                          Error& aReason);
  PoolEpoch AdvanceEpoch(Membership& aMembership);

  RegistryState state_;
};

/// Checks an announcement against the registry.
/// \returns the host's epoch, which every dispatch to the host must carry. If
/// the announcement is rejected, returns nothing and sets \p aReason: NotFound
/// if the host is not registered, Conflict if its pool, zone or rack differs
/// from the registered one.
std::optional<PoolEpoch>
CheckAnnouncement(const PoolRegistry& aRegistry,
                  const UpstreamAnnouncement& aAnnouncement,
                  Error& aReason);

/// Whether a dispatcher that last saw \p aHost in \p aPool at epoch
/// \p aExpectedEpoch may send it tasks. False if the host is not registered,
/// belongs to another pool or is moving, or if the epoch is outdated.
bool
MayDispatch(const PoolRegistry& aRegistry,
            const HostId& aHost,
            const PoolId& aPool,
            PoolEpoch aExpectedEpoch,
            Error& aReason);

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_POOLREGISTRY_H
