/// \file
/// Decides which jobs of a pool wait for others if not all can be in time.
/// Reads no clock and does no I/O: the jobs, the pool's rate and the time are
/// arguments.

#ifndef GREENGAGE_SCHEDULE_JOBDEFERRAL_H
#define GREENGAGE_SCHEDULE_JOBDEFERRAL_H

#include "greengage/core/Units.h"
#include "greengage/schedule/Admission.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace greengage::schedule {

/// A job with tasks that wait for places on the workers of a pool.
struct PendingJob
{
  bool isLate = false;
  /// Lower values go first.
  std::uint32_t priority = 0;
  /// The latest time, on the wall clock, at which the tasks that could start
  /// now have to start for the job to be in time or, if it is late, to be worth
  /// something.
  Time latestStart;
  /// Work of the tasks that could start now.
  MilliCoreMillis startable;
  /// Work of all tasks without a place, also of those that wait for others.
  MilliCoreMillis remaining;
  /// Whether the job may wait for jobs that come later in the order.
  bool isDeferrable = false;
  /// Set by \ref DeferralPolicy.
  bool isDeferred = false;

  /// Whether the jobs are served by their latest starts alone.
  bool HasRankOf(const PendingJob& aOther) const
  {
    return isLate == aOther.isLate && priority == aOther.priority;
  }
};

/// Chooses the jobs that are served after the others.
class DeferralPolicy
{
public:
  virtual ~DeferralPolicy() = default;
  /// \param aJobs the jobs of one pool in the order in which they would be
  ///   served: those that are not late first, then by priority, then by latest
  ///   start.
  /// \param aRate the work that the pool begins per unit of time; none if it is
  ///   about to rise.
  virtual void Defer(std::vector<PendingJob>& aJobs,
                     std::optional<MilliCores> aRate,
                     Time aNow) const = 0;
};

/// Leaves the order as it is where all jobs can be in time. Where they can't,
/// each would otherwise start just as it becomes late: the jobs with the least
/// slack are deferred instead, until the later ones fit. What is left then
/// starts early enough to bear a rate that falls. While the rate is not known,
/// only jobs that have hardly any slack left are deferred. The size of a job
/// doesn't count, so that large jobs aren't always the ones to wait.
class LeastSlackDeferral final : public DeferralPolicy
{
public:
  void Defer(std::vector<PendingJob>& aJobs,
             std::optional<MilliCores> aRate,
             Time aNow) const override;

private:
  static void DeferToFit(std::vector<PendingJob>& aJobs,
                         MilliCores aRate,
                         Time aNow);
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_JOBDEFERRAL_H
