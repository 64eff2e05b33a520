#include "greengage/fleet/MoveSteps.h"

namespace greengage::fleet {

namespace {

MoveStepKind
NextStepKind(const Move& aMove, Time aNow, const MoveTimeouts& aTimeouts)
{
  const Duration elapsed = aNow - aMove.phaseSince;
  switch (aMove.phase) {
    case MovePhase::Draining:
      return elapsed > aTimeouts.drain ? MoveStepKind::Abort
                                       : MoveStepKind::AwaitDrain;
    case MovePhase::HandingOver:
      return elapsed > aTimeouts.handOver ? MoveStepKind::Abort
                                          : MoveStepKind::Reconfigure;
    case MovePhase::Resuming:
      break;
  }
  return elapsed > aTimeouts.resume ? MoveStepKind::AskOperator
                                    : MoveStepKind::AwaitAnnouncement;
}

} // namespace

std::vector<MoveStep>
NextMoveSteps(const PoolRegistry& aRegistry,
              Time aNow,
              const MoveTimeouts& aTimeouts)
{
  std::vector<MoveStep> steps;
  for (const auto& [host, member] : aRegistry.Members()) {
    if (!member.move) {
      continue;
    }
    steps.push_back({ .kind = NextStepKind(*member.move, aNow, aTimeouts),
                      .host = host,
                      .from = member.move->from,
                      .to = member.move->to,
                      .expectedEpoch = member.epoch });
  }
  return steps;
}

RegistryCommand
MakeReportCommand(const MoveStep& aStep, Time aAt)
{
  switch (aStep.kind) {
    case MoveStepKind::AwaitDrain:
      return FinishDrain{ aStep.host, aStep.expectedEpoch, aAt };
    case MoveStepKind::Reconfigure:
      return HandOver{ aStep.host, aStep.expectedEpoch, aAt };
    case MoveStepKind::Abort:
      return AbortMove{ aStep.host, aStep.expectedEpoch };
    case MoveStepKind::AwaitAnnouncement:
    case MoveStepKind::AskOperator:
      break;
  }
  return FinishMove{ aStep.host, aStep.expectedEpoch };
}

} // namespace greengage::fleet
