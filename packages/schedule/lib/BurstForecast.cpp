#include "greengage/schedule/BurstForecast.h"

#include <algorithm>

using namespace greengage;
using namespace greengage::schedule;

/// Percentages of a pool's highest demand so far: a burst starts once demand
/// reaches the first and ends once it falls below the second. The users' demand
/// is five times its mean in a burst and a twentieth of its mean between
/// bursts.
static constexpr std::int64_t kBurstStartPercent = 40;
static constexpr std::int64_t kBurstEndPercent = 15;
static constexpr std::int64_t kPercent = 100;
/// Demand below this percentage of the fleet's capacity does not start a burst.
/// The users' pools hold a sixth to a quarter of the fleet and demand more than
/// that in a burst.
static constexpr std::int64_t kMinBurstPercentOfFleet = 18;
/// Bursts that must have started before the interval between them is estimated.
static constexpr std::size_t kMinBurstStarts = 2;
/// High demand that returns within this time after a burst continues the burst.
static constexpr Duration kMaxBurstPause = Duration(4000);
/// How many burst starts are kept: two rounds of 26 pools.
static constexpr std::size_t kMaxBurstStarts = 52;
/// How far an interval may deviate from the median to count as regular.
static constexpr std::int64_t kIntervalTolerancePercent = 60;
/// How long a burst may be overdue before predictions stop, as a percentage of
/// the median interval.
static constexpr std::int64_t kMaxDelayPercent = 25;

void
BurstForecast::Observe(const PoolId& aPool,
                       std::int64_t aDemand,
                       std::int64_t aFleetCapacity,
                       Time aNow)
{
  Pool& pool = pools_[aPool];
  pool.highestDemand = std::max(pool.highestDemand, aDemand);
  if (pool.isInBurst) {
    pool.peak = std::max(pool.peak, aDemand);
    if (aDemand * kPercent < pool.highestDemand * kBurstEndPercent) {
      pool.isInBurst = false;
      pool.lastBurstEnd = aNow;
    }
    return;
  }
  if (aDemand * kPercent < aFleetCapacity * kMinBurstPercentOfFleet ||
      aDemand * kPercent < pool.highestDemand * kBurstStartPercent)
    return;
  pool.isInBurst = true;
  if (pool.lastBurstEnd && *pool.lastBurstEnd + kMaxBurstPause > aNow)
    return;
  pool.peak = aDemand;
  pool.lastBurstStart = aNow;
  burstStarts_.push_back({ .pool = aPool, .at = aNow });
  if (burstStarts_.size() > kMaxBurstStarts)
    burstStarts_.erase(burstStarts_.begin());
}

bool
BurstForecast::HasSeenBurst(const PoolId& aPool) const
{
  const auto found = pools_.find(aPool);
  return found != pools_.end() && found->second.lastBurstStart;
}

/// The median interval between the starts of consecutive bursts; none if there
/// are too few bursts or fewer than half of the intervals are regular.
std::optional<Duration>
BurstForecast::MedianInterval() const
{
  if (burstStarts_.size() < kMinBurstStarts)
    return std::nullopt;
  std::vector<std::int64_t> intervals;
  for (std::size_t index = 1; index < burstStarts_.size(); ++index)
    intervals.push_back(
      (burstStarts_[index].at - burstStarts_[index - 1].at).Millis());
  std::sort(intervals.begin(), intervals.end());
  const std::int64_t median = intervals[intervals.size() / 2];
  const auto regular = std::count_if(
    intervals.begin(), intervals.end(), [&](std::int64_t aInterval) {
      return std::abs(aInterval - median) * kPercent <=
             median * kIntervalTolerancePercent;
    });
  if (static_cast<std::size_t>(regular) * 2 < intervals.size())
    return std::nullopt;
  return Duration(median);
}

std::optional<Time>
BurstForecast::NextBurstStart(const PoolId& aPool) const
{
  const auto found = pools_.find(aPool);
  const auto interval = MedianInterval();
  if (found == pools_.end() || !interval || burstStarts_.empty())
    return std::nullopt;
  const auto poolCount = static_cast<std::int64_t>(pools_.size());
  if (PoolsWithoutBurst() == 0)
    return *found->second.lastBurstStart + *interval * poolCount;
  // In the first round, the next burst comes from a pool without one so far.
  if (found->second.lastBurstStart)
    return std::nullopt;
  return burstStarts_.back().at + *interval;
}

/// The number of pools without a burst so far.
std::int64_t
BurstForecast::PoolsWithoutBurst() const
{
  return std::count_if(pools_.begin(), pools_.end(), [](const auto& aItem) {
    return !aItem.second.lastBurstStart;
  });
}

std::optional<std::int64_t>
BurstForecast::ExpectedDemand(const PoolId& aPool,
                              Duration aHorizon,
                              Time aNow) const
{
  const auto found = pools_.find(aPool);
  const auto start = NextBurstStart(aPool);
  if (!start || found->second.isInBurst || *start > aNow + aHorizon)
    return std::nullopt;
  const Duration interval = *MedianInterval();
  const Duration maxDelay(interval.Millis() * kMaxDelayPercent / kPercent);
  // If the next burst is overdue, the rotation has stopped: nothing is
  // predicted until another burst starts.
  if (burstStarts_.back().at + interval + maxDelay < aNow)
    return std::nullopt;
  if (found->second.peak > 0)
    return found->second.peak;
  // The next burst of the first round may come from any pool without one so
  // far, so each of them gets an equal part of the highest peak.
  std::int64_t maxPeak = 0;
  for (const auto& [id, pool] : pools_)
    maxPeak = std::max(maxPeak, pool.peak);
  return maxPeak / std::max<std::int64_t>(PoolsWithoutBurst(), 1);
}
