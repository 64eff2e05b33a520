/// \file
/// Selects and orders the hosts of a wave and forecasts its duration. Plans are
/// advisory: the runner checks the budgets before it takes a host down.

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

  /// Every host is maintained once per interval.
  Duration interval = Duration::Seconds(8 * kWeekSeconds);
  /// How long before the end of its interval a host becomes due.
  Duration leadTime = Duration::Seconds(2 * kWeekSeconds);
};

/// The input of a wave planner.
struct WaveInput
{
  const PoolRegistry& registry;
  const Budgets& budgets;
  /// Absent hosts have never been maintained.
  const std::map<HostId, Time>& lastMaintained;
  MaintenancePolicy policy;
  /// The expected time from the start of a drain to the end of the watch
  /// period.
  Duration cycleTime;
  Time now;
};

/// Interface of wave planning policies.
class WavePlanner
{
public:
  virtual ~WavePlanner() = default;
  /// Returns a wave of all hosts that are due, each of them waiting.
  virtual WaveState Plan(const WaveInput& aInput) const = 0;
};

/// The baseline policy: one host at a time, rack by rack.
class SequentialPlanner final : public WavePlanner
{
public:
  WaveState Plan(const WaveInput& aInput) const override;
};

/// Takes down as many hosts concurrently as the budgets allow. Overdue hosts go
/// first. Within each of the two groups, hosts whose pool, zone or rack needs
/// the most rounds under its budget go first, so that the bottleneck budget is
/// used from the start and does not extend the wave.
class BottleneckPlanner final : public WavePlanner
{
public:
  WaveState Plan(const WaveInput& aInput) const override;
};

/// Counts the hosts still to be maintained, per pool and failure domain. A
/// round is one group of hosts that are down together; a budget of two hosts
/// needs three rounds for five or six hosts.
class RemainingWork
{
public:
  explicit RemainingWork(const Budgets& aBudgets)
    : budgets_(aBudgets)
  {
  }
  void Add(const Membership& aMember);
  /// The rounds that the hosts sharing a pool, zone or rack with \p aMember
  /// need; the maximum of the three, not rounded up.
  double RoundsFor(const Membership& aMember) const;
  /// The time to maintain all remaining hosts if each round takes \p aCycle and
  /// has at most \p aMaxConcurrentHosts hosts.
  Duration Forecast(Duration aCycle, Hosts aMaxConcurrentHosts) const;

private:
  const Budgets& budgets_;
  Hosts total_;
  std::map<PoolId, Hosts> pools_;
  std::map<AvailabilityZoneId, Hosts> zones_;
  std::map<Placement, Hosts> racks_;
};

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_WAVEPLANNER_H
