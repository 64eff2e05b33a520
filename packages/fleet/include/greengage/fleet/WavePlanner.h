/// \file
/// Which hosts a wave takes, in which order, and how long that will take.
/// Plans are advice: the runner asks the budgets before each host.

#ifndef GREENGAGE_FLEET_WAVEPLANNER_H
#define GREENGAGE_FLEET_WAVEPLANNER_H

#include "greengage/core/Units.h"
#include "greengage/fleet/Budget.h"
#include "greengage/fleet/PoolRegistry.h"
#include "greengage/fleet/Wave.h"

#include <cstdint>
#include <map>
#include <vector>

namespace greengage::fleet {

/// How often hosts are maintained.
struct MaintenancePolicy
{
  static constexpr std::int64_t kWeekSeconds = 7 * 24 * 3600;

  /// Every host is maintained once in this time.
  Duration interval = Duration::Seconds(8 * kWeekSeconds);
  /// How long before the end of its period a host joins a wave.
  Duration leadTime = Duration::Seconds(2 * kWeekSeconds);
};

/// What a plan is made from.
struct WaveInput
{
  const PoolRegistry& registry;
  const Budgets& budgets;
  /// Hosts that are missing here have never been maintained.
  const std::map<HostId, Time>& lastMaintained;
  MaintenancePolicy policy;
  /// From the begin of a drain to the end of the watch.
  Duration cycleTime;
  Time now;
};

/// A way to plan waves.
class WavePlanner
{
public:
  virtual ~WavePlanner() = default;
  /// The wave over all hosts that are due, none of them begun.
  virtual WaveState Plan(const WaveInput& aInput) const = 0;
};

/// The baseline: one host after the other, rack by rack.
class SequentialPlanner final : public WavePlanner
{
public:
  WaveState Plan(const WaveInput& aInput) const override;
};

/// As many at once as the budgets allow. The hosts whose pool, zone or rack
/// takes longest to get through its budget go first, so that no scarce budget
/// is idle early and short at the end.
class BottleneckPlanner final : public WavePlanner
{
public:
  WaveState Plan(const WaveInput& aInput) const override;
};

/// How many hosts of each pool and failure domain remain to be maintained.
class RemainingWork
{
public:
  explicit RemainingWork(const Budgets& aBudgets)
    : budgets_(aBudgets)
  {
  }
  void Add(const Membership& aMember);
  /// Rounds that the scarcest budget of \p aMember needs.
  double RoundsFor(const Membership& aMember) const;
  /// The time that all need, if each round takes \p aCycle and at most
  /// \p aAtOnce are taken in a round.
  Duration Forecast(Duration aCycle, Hosts aAtOnce) const;

private:
  const Budgets& budgets_;
  Hosts total_;
  std::map<PoolId, Hosts> pools_;
  std::map<AvailabilityZoneId, Hosts> zones_;
  std::map<Placement, Hosts> racks_;
};

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_WAVEPLANNER_H
