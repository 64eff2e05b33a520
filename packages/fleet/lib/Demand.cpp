#include "greengage/fleet/Demand.h"

#include <algorithm>
#include <cmath>

namespace greengage::fleet {

namespace {

constexpr Duration kHighHorizon = Duration::Seconds(3 * 24 * 3600);

/// Returns the factor by which a value decays during \p aSpan.
double
KeptAfter(Duration aSpan, Duration aHorizon)
{
  return std::exp(-static_cast<double>(aSpan.Millis()) /
                  static_cast<double>(aHorizon.Millis()));
}

} // namespace

void
DemandSeen::Observe(const PoolId& aPool, double aSlots, Time aNow)
{
  auto [entry, isNew] = pools_.try_emplace(aPool);
  PoolDemand& demand = entry->second;
  ObservationTimes& seen = observationTimes_[aPool];
  if (isNew) {
    demand.mean = aSlots;
    seen.first = aNow;
  } else if (aNow > seen.last) {
    const Duration span = aNow - seen.last;
    const Duration age = aNow - seen.first;
    // Until the horizon has passed, the time-weighted arithmetic mean is used;
    // otherwise the first observation would be overweighted.
    const double plain = 1 - static_cast<double>(span.Millis()) /
                               static_cast<double>(age.Millis());
    const double keep = std::min(plain, KeptAfter(span, horizon_));
    demand.mean = demand.mean * keep + demand.now * (1 - keep);
    const double kept = demand.highMean * KeptAfter(span, kHighHorizon);
    const bool isSettled = age > horizon_;
    demand.highMean = isSettled ? std::max(demand.mean, kept) : demand.mean;
  }
  demand.now = aSlots;
  seen.last = aNow;
}

} // namespace greengage::fleet
