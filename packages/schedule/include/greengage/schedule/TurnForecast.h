/// \file
/// Demand that comes in turns: queues ask for much for some seconds, one after
/// the other. Learns the order and the pace, and tells whose turn comes next.

#ifndef GREENGAGE_SCHEDULE_TURNFORECAST_H
#define GREENGAGE_SCHEDULE_TURNFORECAST_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace greengage::schedule {

/// Watches the demand of each pool.
class TurnForecast
{
public:
  /// Notes what \p aPool asks for at \p aNow, and what all hosts together
  /// have, in thousandths of a core.
  void Observe(const PoolId& aPool,
               std::int64_t aDemand,
               std::int64_t aFleet,
               Time aNow);

  /// What \p aPool is expected to ask for within \p aAhead, beyond what it
  /// asks for now; nothing while no turn is expected.
  std::optional<std::int64_t> Expected(const PoolId& aPool,
                                       Duration aAhead,
                                       Time aNow) const;
  /// Whether \p aPool has had a turn, or is in its first.
  bool HasBegunTurn(const PoolId& aPool) const;

private:
  struct Pool
  {
    std::int64_t highest = 0;
    bool isInTurn = false;
    std::optional<Time> lastStart;
    std::optional<Time> lastEnd;
    /// The highest demand of the current or last turn.
    std::int64_t peak = 0;
  };
  struct Start
  {
    PoolId pool;
    Time at;
  };

  std::optional<Duration> Gap() const;
  std::int64_t PoolsLeft() const;
  std::optional<Time> NextStart(const PoolId& aPool) const;

  std::map<PoolId, Pool> pools_;
  /// Turns in their order.
  std::vector<Start> starts_;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_TURNFORECAST_H
