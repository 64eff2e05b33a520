/// \file
/// The remaining steps of the moves in progress. Any entry host may drive them,
/// and a new driver needs only the registry: each step is idempotent, and the
/// command that reports it is accepted once.

#ifndef GREENGAGE_FLEET_MOVESTEPS_H
#define GREENGAGE_FLEET_MOVESTEPS_H

#include "greengage/core/Units.h"
#include "greengage/fleet/PoolRegistry.h"

#include <cstdint>
#include <vector>

namespace greengage::fleet {

/// What the driver does with the host before it proposes the reporting command.
enum class MoveStepKind : std::uint8_t
{
  /// Ask the host to drain; report FinishDrain once no task runs on it.
  AwaitDrain,
  /// Send the host its new pool; report HandOver once the host has stored it.
  Reconfigure,
  /// Wait for an announcement that CheckAnnouncement accepts; then FinishMove.
  AwaitAnnouncement,
  /// The drain or reconfiguration has timed out; report AbortMove.
  Abort,
  /// The host was handed over and has not announced itself in time: an operator
  /// has to examine it and use RemoveHost if it is lost. Report FinishMove if
  /// it announces itself after all.
  AskOperator,
};

/// The next step of one move.
struct MoveStep
{
  MoveStepKind kind = MoveStepKind::AwaitDrain;
  HostId host;
  PoolId from;
  PoolId to;
  /// The epoch that the reporting command expects the host to have.
  PoolEpoch expectedEpoch;
};

/// The timeout of each phase.
struct MoveTimeouts
{
  Duration drain = Duration::Seconds(1800);
  Duration handOver = Duration::Seconds(120);
  Duration resume = Duration::Seconds(300);
};

/// Returns the next step of each move in progress, ordered by host.
std::vector<MoveStep>
NextMoveSteps(const PoolRegistry& aRegistry,
              Time aNow,
              const MoveTimeouts& aTimeouts = {});

/// Returns the command that reports \p aStep as done at \p aAt.
RegistryCommand
MakeReportCommand(const MoveStep& aStep, Time aAt);

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_MOVESTEPS_H
