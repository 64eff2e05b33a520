#include "greengage/schedule/Admission.h"

#include "SchedulerBounds.h"

#include <algorithm>

using namespace greengage;
using namespace greengage::schedule;
using namespace greengage::schedule::detail;

/// A client that was sent away this often is not sent away again.
static constexpr std::size_t kMaxRejections = 2;
/// Bounds of the time after which a client is asked to come back. The upper one
/// keeps several attempts within the time in which the job is worth something.
static constexpr Duration kMinRetryAfter = Duration::Seconds(1);
static constexpr Duration kMaxRetryAfter = Duration::Seconds(8);
/// How long a rejection is remembered, and how many are.
static constexpr Duration kRejectionMemory = Duration::Seconds(60);
static constexpr std::size_t kMaxRememberedRejections = 4096;

Duration
Load::DrainTime() const
{
  if (capacity.Count() <= 0)
    return Duration(0);
  return Duration(backlog.Count() / capacity.Count());
}

/// Spreads the return of clients over a span by their job ids, which clients
/// draw at random.
static Duration
Spread(jobs::JobId aJob, Duration aSpan)
{
  if (aSpan <= Duration(0))
    return Duration(0);
  return Duration(static_cast<std::int64_t>(
    aJob.Value() % static_cast<std::uint64_t>(aSpan.Millis())));
}

AdmissionDecision
BacklogAdmission::Decide(const JobOffer& aOffer, Time aNow)
{
  ForgetOldRejections(aNow);
  const auto rejected = rejections_.find(aOffer.job);
  const bool isReturning = rejected != rejections_.end();
  const bool isTurnedAwayOften =
    isReturning && rejected->second.count >= kMaxRejections;
  const Duration wait =
    std::max(aOffer.pool.DrainTime(), aOffer.team.DrainTime());
  const Duration excess =
    wait + aOffer.path - aOffer.objective * kWorthlessFactor;
  if (excess <= Duration(0) || isTurnedAwayOften) {
    const Duration slack =
      std::max(aOffer.objective - aOffer.path, Duration(0));
    return { .isAdmitted = true,
             .acceptedAt =
               isReturning
                 ? std::max(rejected->second.firstOfferedAt, aNow - slack)
                 : aNow,
             .retryAfter = Duration(0) };
  }
  if (isReturning) {
    ++rejected->second.count;
  } else {
    order_.push_back(aOffer.job);
    rejections_[aOffer.job] = { .firstOfferedAt = aNow, .count = 1 };
  }
  // By then the backlog has drained so far that the job would be admitted. The
  // others that were rejected meanwhile come back over as long a time.
  const Duration retryAfter =
    std::clamp(excess, kMinRetryAfter, kMaxRetryAfter);
  return { .isAdmitted = false,
           .acceptedAt = aNow,
           .retryAfter = retryAfter + Spread(aOffer.job, retryAfter) };
}

void
BacklogAdmission::ForgetOldRejections(Time aNow)
{
  while (!order_.empty()) {
    const auto oldest = rejections_.find(order_.front());
    if (oldest->second.firstOfferedAt + kRejectionMemory > aNow &&
        order_.size() <= kMaxRememberedRejections)
      return;
    rejections_.erase(oldest);
    order_.pop_front();
  }
}
