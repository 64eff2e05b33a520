#include "greengage/fleet/Demand.h"

#include <algorithm>
#include <cmath>

namespace greengage::fleet {

namespace {

constexpr Duration kPeakDecayTime = Duration::Seconds(3 * 24 * 3600);

/// Returns the factor by which a value decays during \p aSpan.
double
DecayFactor(Duration aSpan, Duration aHorizon)
{
  return std::exp(-static_cast<double>(aSpan.Millis()) /
                  static_cast<double>(aHorizon.Millis()));
}

} // namespace

void
DemandTracker::Observe(const PoolId& aPool, double aSlots, Time aNow)
{
  auto [entry, isNew] = pools_.try_emplace(aPool);
  PoolDemand& demand = entry->second;
  ObservationTimes& times = observationTimes_[aPool];
  if (isNew) {
    demand.mean = aSlots;
    times.first = aNow;
  } else if (aNow > times.last) {
    const Duration span = aNow - times.last;
    const Duration age = aNow - times.first;
    // Until the observations span the horizon, use their time-weighted
    // arithmetic mean; the exponential mean would overweight the first one.
    const double arithmeticWeight = 1 - static_cast<double>(span.Millis()) /
                                          static_cast<double>(age.Millis());
    const double previousWeight =
      std::min(arithmeticWeight, DecayFactor(span, horizon_));
    demand.mean =
      demand.mean * previousWeight + demand.latest * (1 - previousWeight);
    const double decayedPeak =
      demand.peakMean * DecayFactor(span, kPeakDecayTime);
    const bool isHorizonPassed = age > horizon_;
    demand.peakMean =
      isHorizonPassed ? std::max(demand.mean, decayedPeak) : demand.mean;
  }
  demand.latest = aSlots;
  times.last = aNow;
}

} // namespace greengage::fleet
