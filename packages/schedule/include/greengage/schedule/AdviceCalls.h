/// \file
/// Requests to the placement adviser, which evaluates the placement policy of a
/// queue, and its replies, independent of the wire encoding.

#ifndef GREENGAGE_SCHEDULE_ADVICECALLS_H
#define GREENGAGE_SCHEDULE_ADVICECALLS_H

#include "greengage/core/StrongId.h"
#include "greengage/core/Units.h"
#include "greengage/jobs/Ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace greengage::schedule {

/// Identifies a call to the adviser; unique within a process.
using AdviceCallId = StrongId<struct AdviceCallTag, std::uint64_t>;
/// A token that permits one worker to run tasks of one step.
using Permit = StrongId<struct PermitTag, std::string>;

/// Asks which of the given workers may run a step.
struct AdviceCall
{
  AdviceCallId id;
  jobs::StepId step;
  std::vector<jobs::WorkerId> workers;
  /// How long to wait for the answer.
  Duration timeout;
};

/// A worker that may run the step, with its permit.
struct PermittedWorker
{
  jobs::WorkerId worker;
  Permit permit;
};

/// Completes a call to the adviser. Each call gets exactly one reply.
struct AdviceReply
{
  AdviceCallId id;
  /// Whether the adviser answered; if not, the other fields say nothing about
  /// the workers.
  bool isAnswered = false;
  /// The workers from the request that may run the step. All others from the
  /// request may not.
  std::vector<PermittedWorker> permitted;
  /// How long the permits are valid, counted from the reply.
  Duration validity;
  /// Why there is no answer; only for the log.
  std::string detail;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_ADVICECALLS_H
