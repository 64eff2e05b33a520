#include "greengage/schedule/JobDeferral.h"

#include <cstddef>

using namespace greengage;
using namespace greengage::schedule;

/// The work that a pool begins in a span; negative for a negative span.
static MilliCoreMillis
WorkIn(Duration aSpan, MilliCores aRate)
{
  return MilliCoreMillis(aRate.Count() * aSpan.Millis());
}

/// The least slack with which a job begins while the rate is not known, since
/// run times are estimates.
static constexpr Duration kMinSlack = Duration(300);

void
LeastSlackDeferral::Defer(std::vector<PendingJob>& aJobs,
                          std::optional<MilliCores> aRate,
                          Time aNow) const
{
  if (aRate) {
    DeferToFit(aJobs, *aRate, aNow);
    return;
  }
  for (PendingJob& job : aJobs)
    job.isDeferred = job.isDeferrable && job.latestStart < aNow + kMinSlack;
}

void
LeastSlackDeferral::DeferToFit(std::vector<PendingJob>& aJobs,
                               MilliCores aRate,
                               Time aNow)
{
  // Remaining work of the jobs so far that are not deferred, and the part of it
  // that could be: of jobs of the same rank, from `next` on.
  MilliCoreMillis ahead;
  MilliCoreMillis deferrable;
  std::size_t next = 0;
  for (std::size_t index = 0; index < aJobs.size(); ++index) {
    PendingJob& job = aJobs[index];
    if (!job.HasRankOf(aJobs[next])) {
      next = index;
      deferrable = MilliCoreMillis(0);
    }
    MilliCoreMillis excess =
      ahead + job.startable - WorkIn(job.latestStart - aNow, aRate);
    if (excess > deferrable && job.isDeferrable) {
      job.isDeferred = true;
      continue;
    }
    for (; excess > MilliCoreMillis(0) && next < index; ++next) {
      PendingJob& earlier = aJobs[next];
      if (!earlier.isDeferrable || earlier.isDeferred)
        continue;
      earlier.isDeferred = true;
      ahead -= earlier.remaining;
      deferrable -= earlier.remaining;
      excess -= earlier.remaining;
    }
    ahead += job.remaining;
    if (job.isDeferrable)
      deferrable += job.remaining;
  }
}
