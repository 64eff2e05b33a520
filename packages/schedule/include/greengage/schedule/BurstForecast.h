/// \file
/// Forecasts bursts of demand that rotate among the pools: one pool after the
/// other has a high demand for some seconds. Learns the order of the pools and
/// the interval between bursts, and predicts which pool has the next one.

#ifndef GREENGAGE_SCHEDULE_BURSTFORECAST_H
#define GREENGAGE_SCHEDULE_BURSTFORECAST_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace greengage::schedule {

/// Learns from demand samples of all pools. Quantities are in millicores.
class BurstForecast
{
public:
  /// Adds a sample of the demand of \p aPool; \p aFleetCapacity is the capacity
  /// of all hosts together.
  void Observe(const PoolId& aPool,
               std::int64_t aDemand,
               std::int64_t aFleetCapacity,
               Time aNow);

  /// The demand expected of \p aPool in a burst that is predicted to start
  /// within \p aHorizon; none if no burst is predicted or one is in progress.
  std::optional<std::int64_t> ExpectedDemand(const PoolId& aPool,
                                             Duration aHorizon,
                                             Time aNow) const;
  /// Whether a burst of \p aPool has started since the first sample.
  bool HasSeenBurst(const PoolId& aPool) const;

private:
  struct Pool
  {
    std::int64_t highestDemand = 0;
    bool isInBurst = false;
    std::optional<Time> lastBurstStart;
    std::optional<Time> lastBurstEnd;
    /// The highest demand in the current or latest burst.
    std::int64_t peak = 0;
  };
  struct BurstStart
  {
    PoolId pool;
    Time at;
  };

  std::optional<Duration> MedianInterval() const;
  std::int64_t PoolsWithoutBurst() const;
  std::optional<Time> NextBurstStart(const PoolId& aPool) const;

  std::map<PoolId, Pool> pools_;
  /// Latest bursts of all pools, in order of their start.
  std::vector<BurstStart> burstStarts_;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_BURSTFORECAST_H
