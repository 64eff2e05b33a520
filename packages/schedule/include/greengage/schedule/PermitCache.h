/// \file
/// The leader's cache of placement permits for queues with a placement policy,
/// and the calls to the adviser that fill it.

#ifndef GREENGAGE_SCHEDULE_PERMITCACHE_H
#define GREENGAGE_SCHEDULE_PERMITCACHE_H

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

/// Caches permits and requests new ones. Only one call is pending at a time,
/// because the adviser serves the calls of a host one after the other.
class PermitCache
{
public:
  /// \p aOutbox must outlive this object.
  explicit PermitCache(Outbox& aOutbox);

  /// Drops all cached verdicts. Replies to earlier calls are ignored.
  void Clear();
  /// Drops the verdicts for all steps of a job.
  void DropJob(jobs::JobId aJob);
  /// Invalidates all permits of a worker that has restarted: a permit is valid
  /// for one incarnation only.
  void ExpirePermits(const jobs::WorkerId& aWorker);
  /// Drops the verdict for a worker that rejected its permit for the step, so
  /// that the adviser is asked again.
  void DropVerdict(const jobs::StepId& aStep, const jobs::WorkerId& aWorker);

  /// \returns the worker's permit for the step, if it remains valid long enough
  /// after \p aNow for a start request to reach the worker.
  std::optional<Permit> FindPermit(const jobs::StepId& aStep,
                                   const jobs::WorkerId& aWorker,
                                   Time aNow) const;
  bool IsCallPending() const { return pendingCall_.has_value(); }
  /// Requests permits for those of \p aWorkers that have no valid permit and
  /// are not known to be forbidden. Does nothing while a call is pending.
  /// \param aWorkers in order of preference.
  /// \param aWorkersNeeded how many workers the step can use now.
  void RequestPermits(const jobs::StepId& aStep,
                      const std::vector<jobs::WorkerId>& aWorkers,
                      std::size_t aWorkersNeeded,
                      const jobs::PlacementPolicy& aPolicy,
                      Time aNow);
  /// Handles the reply to the pending call; other replies are ignored.
  /// \returns whether the cache was updated.
  bool On(const AdviceReply& aReply, Time aNow);

private:
  /// The adviser's verdict on one worker and one step. A refusal is final,
  /// whereas a permit expires and has to be renewed.
  struct Verdict
  {
    bool isPermitted = false;
    Permit permit;
    Time permitExpiry;
  };

  Outbox& outbox_;
  std::map<jobs::StepId, std::map<jobs::WorkerId, Verdict>> verdicts_;
  std::optional<AdviceCall> pendingCall_;
  std::uint64_t lastCallId_ = 0;
  /// Earliest time of the next call; set after a failed one.
  Time nextCallAt_;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_PERMITCACHE_H
