/// \file
/// What remains to be done for the moves in progress. Any entry host may drive
/// them, and a new driver needs nothing but the registry: each step may be
/// done twice, and the command that reports it is accepted once.

#ifndef GREENGAGE_FLEET_MOVESTEPS_H
#define GREENGAGE_FLEET_MOVESTEPS_H

#include "greengage/core/Units.h"
#include "greengage/fleet/PoolRegistry.h"

#include <cstdint>
#include <vector>

namespace greengage::fleet {

/// What the driver does with the host before it reports by a command.
enum class StepKind : std::uint8_t
{
  /// Ask the host to drain; report FinishDrain once nothing runs.
  AwaitDrain,
  /// Give the host its new pool; report HandOver once it has stored it.
  Reconfigure,
  /// Wait for an announcement that CheckAnnouncement accepts; then FinishMove.
  AwaitAnnouncement,
  /// The drain or reconfiguration has taken too long; report AbortMove.
  Abort,
  /// The host was handed over and does not announce itself: an operator has to
  /// look at it, and RemoveHost is the remedy if it is lost. Report FinishMove
  /// if it announces itself after all.
  AskOperator,
};

/// The next step of one move.
struct MoveStep
{
  StepKind kind = StepKind::AwaitDrain;
  HostId host;
  PoolId from;
  PoolId to;
  /// The epoch that the command which reports the step is based on.
  PoolEpoch basedOn;
};

/// The time that each phase may take.
struct MoveTimeouts
{
  Duration drain = Duration::Seconds(1800);
  Duration handOver = Duration::Seconds(120);
  Duration resume = Duration::Seconds(300);
};

/// The next step of each move in progress, by host.
std::vector<MoveStep>
NextSteps(const PoolRegistry& aRegistry,
          Time aNow,
          const MoveTimeouts& aTimeouts = {});

/// The command that reports \p aStep as done at \p aAt.
RegistryCommand
ReportOf(const MoveStep& aStep, Time aAt);

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_MOVESTEPS_H
