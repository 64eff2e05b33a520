/// \file
/// What the scheduler asks whoever knows a queue's placement policy, and hears
/// from it, free of any encoding.

#ifndef GREENGAGE_SCHEDULE_ADVICECALLS_H
#define GREENGAGE_SCHEDULE_ADVICECALLS_H

#include "greengage/core/StrongId.h"
#include "greengage/core/Units.h"
#include "greengage/jobs/Ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace greengage::schedule {

/// One call for advice, unique inside a process.
using AdviceCallId = StrongId<struct AdviceCallTag, std::uint64_t>;
/// A worker's permit to run tasks of one step.
using Permit = StrongId<struct PermitTag, std::string>;

/// Which of some workers may run a step?
struct AdviceCall
{
  AdviceCallId id;
  jobs::StepId step;
  std::vector<jobs::WorkerId> workers;
  /// How long the answer may take.
  Duration timeout;
};

/// A worker that may run the step.
struct PermittedWorker
{
  jobs::WorkerId worker;
  Permit permit;
};

/// The end of a call for advice. Each call has exactly one.
struct AdviceReply
{
  AdviceCallId id;
  /// Whether the adviser has answered; if not, nothing is known.
  bool isAnswered = false;
  /// The workers asked about that may run the step; the others may not.
  std::vector<PermittedWorker> permitted;
  /// How long the permits are good for.
  Duration validity;
  /// Why there is no answer, for the log.
  std::string detail;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_ADVICECALLS_H
