#include "greengage/dispatch/DeadlineGate.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

using namespace greengage;
using namespace greengage::dispatch;

/// Bounds of the retry delay that a refused caller is given.
static constexpr Duration kMinRetryDelay = Duration(100);
static constexpr Duration kMaxRetryDelay = Duration::Seconds(30);

void
DeadlineGate::Decay(StartRate& aRate, Time aNow) const
{
  const double elapsedWindows =
    static_cast<double>((aNow - aRate.updatedAt).Millis()) /
    static_cast<double>(options_.window.Millis());
  aRate.starts *= std::exp(-elapsedWindows);
  aRate.updatedAt = aNow;
}

void
DeadlineGate::RecordStart(const PoolId& aPool,
                          const TeamId& aTeam,
                          std::size_t aWaiting,
                          Time aNow)
{
  StartRate& rate = startRates_[{ aPool, aTeam }];
  Decay(rate, aNow);
  rate.starts += 1;
  if (aWaiting == 0)
    rate.backlogSince.reset();
}

std::optional<Duration>
DeadlineGate::CheckDeadline(const Arrival& aArrival, Time aNow)
{
  const Time latestStart = aArrival.deadline - aArrival.minRunTime;
  if (latestStart <= aNow)
    return kMinRetryDelay;
  StartRate& rate = startRates_[{ aArrival.pool, aArrival.team }];
  if (aArrival.queuedAhead == 0)
    return std::nullopt;
  if (!rate.backlogSince)
    rate.backlogSince = aNow;
  if (aNow - *rate.backlogSince < options_.minBacklogAge)
    return std::nullopt;
  Decay(rate, aNow);
  const double startsPerMs =
    rate.starts / static_cast<double>(options_.window.Millis());
  const auto ahead = static_cast<double>(aArrival.queuedAhead);
  const auto availableMs = static_cast<double>((latestStart - aNow).Millis());
  if (ahead <= availableMs * startsPerMs * options_.rateMargin)
    return std::nullopt;
  // The time to start the excess requests ahead at the measured rate. A retry
  // with as much time to its deadline can then start in time.
  const double excess = ahead - availableMs * startsPerMs;
  const double maxDelayMs = static_cast<double>(kMaxRetryDelay.Millis());
  const double delayMs =
    startsPerMs > 0 ? std::min(maxDelayMs, excess / startsPerMs) : maxDelayMs;
  return std::max(kMinRetryDelay, Duration(static_cast<std::int64_t>(delayMs)));
}
