#include "greengage/dispatch/DeadlineGate.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

using namespace greengage;
using namespace greengage::dispatch;

/// The bounds of the time that a refused caller is told to wait.
static constexpr Duration kLeastRetry = Duration(100);
static constexpr Duration kMostRetry = Duration::Seconds(30);

void
DeadlineGate::Age(Pace& aPace, Time aNow) const
{
  const double windows = static_cast<double>((aNow - aPace.at).Millis()) /
                         static_cast<double>(options_.window.Millis());
  aPace.starts *= std::exp(-windows);
  aPace.at = aNow;
}

void
DeadlineGate::NoteStart(const PoolId& aPool,
                        const TeamId& aTeam,
                        std::size_t aWaiting,
                        Time aNow)
{
  Pace& pace = paces_[{ aPool, aTeam }];
  Age(pace, aNow);
  pace.starts += 1;
  if (aWaiting == 0)
    pace.backlogSince.reset();
}

std::optional<Duration>
DeadlineGate::Refuse(const Arrival& aArrival, Time aNow)
{
  const Time latest = aArrival.deadline - aArrival.leastRun;
  if (latest <= aNow)
    return kLeastRetry;
  Pace& pace = paces_[{ aArrival.pool, aArrival.team }];
  if (aArrival.ahead == 0)
    return std::nullopt;
  if (!pace.backlogSince)
    pace.backlogSince = aNow;
  if (aNow - *pace.backlogSince < options_.leastBacklog)
    return std::nullopt;
  Age(pace, aNow);
  const double perMs =
    pace.starts / static_cast<double>(options_.window.Millis());
  const auto ahead = static_cast<double>(aArrival.ahead);
  const auto available = static_cast<double>((latest - aNow).Millis());
  if (ahead <= available * perMs * options_.paceMargin)
    return std::nullopt;
  // By then the requests ahead are few enough at the measured pace.
  const double excess = ahead - available * perMs;
  const double most = static_cast<double>(kMostRetry.Millis());
  const double wait = perMs > 0 ? std::min(most, excess / perMs) : most;
  return std::max(kLeastRetry, Duration(static_cast<std::int64_t>(wait)));
}
