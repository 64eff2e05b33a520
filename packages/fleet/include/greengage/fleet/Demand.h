/// \file
/// The observed demand of each pool. Demand alternates between pools within
/// seconds, while host moves take minutes, so fleet decisions use its mean.

#ifndef GREENGAGE_FLEET_DEMAND_H
#define GREENGAGE_FLEET_DEMAND_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"

#include <map>

namespace greengage::fleet {

/// The demand of one pool in slots.
struct PoolDemand
{
  /// The most recent observation.
  double latest = 0;
  /// Exponentially weighted mean over the averaging horizon.
  double mean = 0;
  /// Peak of the mean, which decays over days. Used where capacity has to last
  /// for the peak: to size the spares, and to select the pools that return
  /// hosts to the spare pool.
  double peakMean = 0;
};

using DemandByPool = std::map<PoolId, PoolDemand>;

/// Maintains an exponentially weighted mean of each pool's demand.
class DemandTracker
{
public:
  /// \p aHorizon should span several alternations of demand between pools.
  explicit DemandTracker(Duration aHorizon = Duration::Seconds(1800))
    : horizon_(aHorizon)
  {
  }

  /// Records that the demand of \p aPool is \p aSlots from \p aNow on.
  void Observe(const PoolId& aPool, double aSlots, Time aNow);
  const DemandByPool& Pools() const { return pools_; }

private:
  Duration horizon_;
  DemandByPool pools_;
  struct ObservationTimes
  {
    Time first;
    Time last;
  };
  std::map<PoolId, ObservationTimes> observationTimes_;
};

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_DEMAND_H
