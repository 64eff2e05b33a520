#include "greengage/schedule/TurnForecast.h"

#include <algorithm>

using namespace greengage;
using namespace greengage::schedule;

/// A burst starts at the first and ends below the second of these parts of the
/// highest demand seen. The users' demand is five times its mean in a burst and
/// a twentieth of it between bursts.
static constexpr std::int64_t kBeginPercent = 40;
static constexpr std::int64_t kEndPercent = 15;
static constexpr std::int64_t kPercent = 100;
/// The least demand in a burst, as a part of the fleet's capacity: the users'
/// pools hold a sixth to a quarter of the fleet and demand more than that in a
/// burst.
static constexpr std::int64_t kLeastPercentOfFleet = 18;
/// Bursts that must have started before the interval between them is estimated.
static constexpr std::size_t kMinStarts = 2;
/// High demand that returns within this time after a burst continues the burst.
static constexpr Duration kSameTurn = Duration(4000);
/// How many burst starts are kept: two rounds of 26 pools.
static constexpr std::size_t kMaxStarts = 52;
/// How far an interval may deviate from the median to count as regular.
static constexpr std::int64_t kGapTolerancePercent = 60;
/// How long a burst may be overdue before predictions stop, as a part of the
/// median interval.
static constexpr std::int64_t kPatiencePercent = 25;

void
TurnForecast::Observe(const PoolId& aPool,
                      std::int64_t aDemand,
                      std::int64_t aFleet,
                      Time aNow)
{
  Pool& pool = pools_[aPool];
  pool.highest = std::max(pool.highest, aDemand);
  if (pool.isInTurn) {
    pool.peak = std::max(pool.peak, aDemand);
    if (aDemand * kPercent < pool.highest * kEndPercent) {
      pool.isInTurn = false;
      pool.lastEnd = aNow;
    }
    return;
  }
  if (aDemand * kPercent < aFleet * kLeastPercentOfFleet ||
      aDemand * kPercent < pool.highest * kBeginPercent)
    return;
  pool.isInTurn = true;
  if (pool.lastEnd && *pool.lastEnd + kSameTurn > aNow)
    return;
  pool.peak = aDemand;
  pool.lastStart = aNow;
  starts_.push_back({ .pool = aPool, .at = aNow });
  if (starts_.size() > kMaxStarts)
    starts_.erase(starts_.begin());
}

bool
TurnForecast::HasBegunTurn(const PoolId& aPool) const
{
  const auto found = pools_.find(aPool);
  return found != pools_.end() && found->second.lastStart;
}

/// The median interval between the starts of consecutive bursts; none if there
/// are too few bursts or fewer than half of the intervals are regular.
std::optional<Duration>
TurnForecast::Gap() const
{
  if (starts_.size() < kMinStarts)
    return std::nullopt;
  std::vector<std::int64_t> intervals;
  for (std::size_t index = 1; index < starts_.size(); ++index)
    intervals.push_back((starts_[index].at - starts_[index - 1].at).Millis());
  std::sort(intervals.begin(), intervals.end());
  const std::int64_t median = intervals[intervals.size() / 2];
  const auto regular = std::count_if(
    intervals.begin(), intervals.end(), [&](std::int64_t aInterval) {
      return std::abs(aInterval - median) * kPercent <=
             median * kGapTolerancePercent;
    });
  if (static_cast<std::size_t>(regular) * 2 < intervals.size())
    return std::nullopt;
  return Duration(median);
}

std::optional<Time>
TurnForecast::NextStart(const PoolId& aPool) const
{
  const auto found = pools_.find(aPool);
  const auto interval = Gap();
  if (found == pools_.end() || !interval || starts_.empty())
    return std::nullopt;
  const auto poolCount = static_cast<std::int64_t>(pools_.size());
  if (PoolsLeft() == 0)
    return *found->second.lastStart + *interval * poolCount;
  // In the first round, the next burst comes from a pool without one so far.
  if (found->second.lastStart)
    return std::nullopt;
  return starts_.back().at + *interval;
}

/// The number of pools without a burst so far.
std::int64_t
TurnForecast::PoolsLeft() const
{
  return std::count_if(pools_.begin(), pools_.end(), [](const auto& aItem) {
    return !aItem.second.lastStart;
  });
}

std::optional<std::int64_t>
TurnForecast::Expected(const PoolId& aPool, Duration aHorizon, Time aNow) const
{
  const auto found = pools_.find(aPool);
  const auto start = NextStart(aPool);
  if (!start || found->second.isInTurn || *start > aNow + aHorizon)
    return std::nullopt;
  const Duration interval = *Gap();
  const Duration maxDelay(interval.Millis() * kPatiencePercent / kPercent);
  // An overdue burst breaks the rotation until another burst starts.
  if (starts_.back().at + interval + maxDelay < aNow)
    return std::nullopt;
  if (found->second.peak > 0)
    return found->second.peak;
  std::int64_t maxPeak = 0;
  for (const auto& [id, pool] : pools_)
    maxPeak = std::max(maxPeak, pool.peak);
  return maxPeak / std::max<std::int64_t>(PoolsLeft(), 1);
}
