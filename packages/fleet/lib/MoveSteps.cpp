#include "greengage/fleet/MoveSteps.h"

namespace greengage::fleet {

namespace {

StepKind
NextStepKind(const Move& aMove, Time aNow, const MoveTimeouts& aTimeouts)
{
  const Duration elapsed = aNow - aMove.phaseSince;
  switch (aMove.phase) {
    case MovePhase::Draining:
      return elapsed > aTimeouts.drain ? StepKind::Abort : StepKind::AwaitDrain;
    case MovePhase::HandingOver:
      return elapsed > aTimeouts.handOver ? StepKind::Abort
                                          : StepKind::Reconfigure;
    case MovePhase::Resuming:
      break;
  }
  return elapsed > aTimeouts.resume ? StepKind::AskOperator
                                    : StepKind::AwaitAnnouncement;
}

} // namespace

std::vector<MoveStep>
NextSteps(const PoolRegistry& aRegistry,
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
                      .basedOn = member.epoch });
  }
  return steps;
}

RegistryCommand
ReportOf(const MoveStep& aStep, Time aAt)
{
  switch (aStep.kind) {
    case StepKind::AwaitDrain:
      return FinishDrain{ aStep.host, aStep.basedOn, aAt };
    case StepKind::Reconfigure:
      return HandOver{ aStep.host, aStep.basedOn, aAt };
    case StepKind::Abort:
      return AbortMove{ aStep.host, aStep.basedOn };
    case StepKind::AwaitAnnouncement:
    case StepKind::AskOperator:
      break;
  }
  return FinishMove{ aStep.host, aStep.basedOn };
}

} // namespace greengage::fleet
