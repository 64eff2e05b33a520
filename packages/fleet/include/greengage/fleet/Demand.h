/// \file
/// The demand that has been seen of each pool. Demand comes in turns of
/// seconds, so decisions about hosts, which take minutes, need its mean.

#ifndef GREENGAGE_FLEET_DEMAND_H
#define GREENGAGE_FLEET_DEMAND_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"

#include <map>

namespace greengage::fleet {

/// The demand of one pool in slots.
struct PoolDemand
{
  /// The last that was seen.
  double now = 0;
  /// Weighted towards the last horizon.
  double mean = 0;
  /// The largest mean, forgotten over days; spares are sized by it.
  double highMean = 0;
};

using DemandByPool = std::map<PoolId, PoolDemand>;

/// Keeps an exponential mean of each pool's demand.
class DemandSeen
{
public:
  /// \p aHorizon should cover several turns of demand.
  explicit DemandSeen(Duration aHorizon = Duration::Seconds(1800))
    : horizon_(aHorizon)
  {
  }

  /// Notes that a pool asks for \p aSlots from \p aNow on.
  void Observe(const PoolId& aPool, double aSlots, Time aNow);
  const DemandByPool& Pools() const { return pools_; }

private:
  Duration horizon_;
  DemandByPool pools_;
  struct Seen
  {
    Time first;
    Time last;
  };
  std::map<PoolId, Seen> seen_;
};

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_DEMAND_H
