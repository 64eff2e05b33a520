/// \file
/// What the leader knows of the workers that may run the steps of queues with a
/// placement policy, and what it asks about them.

#ifndef GREENGAGE_SCHEDULE_PLACEMENTADVICE_H
#define GREENGAGE_SCHEDULE_PLACEMENTADVICE_H

#include "greengage/core/Units.h"
#include "greengage/jobs/Configuration.h"
#include "greengage/schedule/AdviceCalls.h"
#include "greengage/schedule/Outbox.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace greengage::schedule {

/// Keeps permits and asks for new ones, one call at a time: the adviser serves
/// the calls of a host in turn.
class PlacementAdvice
{
public:
  /// \p aOutbox must outlive it.
  explicit PlacementAdvice(Outbox& aOutbox);

  /// Forgets everything; answers to earlier calls are ignored.
  void Clear();
  /// The job needs no more placement.
  void Forget(jobs::JobId aJob);
  /// The worker has begun a new life: its permits are good for nothing.
  void ExpirePermits(const jobs::WorkerId& aWorker);
  /// A worker did not take its permit for the step.
  void Withdraw(const jobs::StepId& aStep, const jobs::WorkerId& aWorker);

  /// The worker's permit for the step, if it is good at \p aNow and long
  /// enough after it for a start to arrive.
  std::optional<Permit> Find(const jobs::StepId& aStep,
                             const jobs::WorkerId& aWorker,
                             Time aNow) const;
  bool IsAsking() const { return pending_.has_value(); }
  /// Asks about those of \p aWorkers, the most wanted first, that are not
  /// known to be forbidden and have no good permit.
  /// \param aWanted how many workers the step can use now.
  void Ask(const jobs::StepId& aStep,
           const std::vector<jobs::WorkerId>& aWorkers,
           std::size_t aWanted,
           const jobs::AdvicePolicy& aPolicy,
           Time aNow);
  /// \returns whether anything new is known.
  bool On(const AdviceReply& aReply, Time aNow);

private:
  /// What is known of one worker and one step. Whether the worker may run the
  /// step never changes; its permit runs out.
  struct Verdict
  {
    bool isAllowed = false;
    Permit permit;
    Time goodUntil;
  };

  Outbox& outbox_;
  std::map<jobs::StepId, std::map<jobs::WorkerId, Verdict>> verdicts_;
  std::optional<AdviceCall> pending_;
  std::uint64_t lastCall_ = 0;
  Time nextAsk_;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_PLACEMENTADVICE_H
