/// \file
/// Fleet sizes and seeded sequences of host losses for tests and benchmarks.

#ifndef GREENGAGE_FLEET_UNITTESTS_FLEETSHAPE_H
#define GREENGAGE_FLEET_UNITTESTS_FLEETSHAPE_H

#include "greengage/fleet/Host.h"
#include "greengage/fleet/PoolRegistry.h"

#include <algorithm>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace greengage::fleet::test {

/// The dimensions of a fleet. Racks hold kHostsPerRack hosts each, racks are
/// assigned to zones round robin, and every pool spans all racks.
struct FleetShape
{
  int zones = 3;
  int workers = 50;
  int pools = 5;
  /// Number of hosts in the spare pool, which is the last pool.
  int spares = 10;
};

constexpr int kHostsPerRack = 4;

inline FleetShape
RenovaSul()
{
  return { .zones = 3, .workers = 50, .pools = 5, .spares = 10 };
}

inline FleetShape
Tinkerbots()
{
  return { .zones = 4, .workers = 50, .pools = 5, .spares = 10 };
}

inline PoolId
PoolOf(int aPool)
{
  return PoolId("p" + std::to_string(aPool));
}

inline PoolId
SparePool(const FleetShape& aShape)
{
  return PoolOf(aShape.pools - 1);
}

inline HostId
HostAt(int aIndex)
{
  return HostId("h" + std::to_string(aIndex));
}

inline Placement
PlaceOf(const FleetShape& aShape, int aHost)
{
  const int rack = aHost / kHostsPerRack;
  return { AvailabilityZoneId("z" + std::to_string(rack % aShape.zones)),
           RackId("r" + std::to_string(rack)) };
}

inline PoolRegistry
BuildRegistry(const FleetShape& aShape)
{
  PoolRegistry registry;
  Error reason;
  const int stride = std::max(1, aShape.workers / std::max(1, aShape.spares));
  int spares = 0;
  for (int i = 0; i < aShape.workers; ++i) {
    const bool isSpare = i % stride == 0 && spares < aShape.spares;
    spares += isSpare ? 1 : 0;
    const PoolId pool =
      isSpare ? SparePool(aShape) : PoolOf(i % (aShape.pools - 1));
    registry.Apply(AddHost{ HostAt(i), PlaceOf(aShape, i), pool, Time(0) },
                   reason);
  }
  return registry;
}

/// Hosts that are lost at the same time and the duration of their repair.
struct Loss
{
  Time at;
  std::vector<HostId> hosts;
  Duration repair;
};

/// How many losses of each kind occur within a time span.
struct LossRates
{
  Duration span = Duration::Seconds(48 * 3600);
  int singles = 8;
  int racks = 1;
  int zones = 1;
};

/// Returns a reproducible list of losses of single hosts, whole racks and whole
/// zones.
inline std::vector<Loss>
MakeLosses(const FleetShape& aShape, const LossRates& aRates, unsigned aSeed)
{
  std::mt19937 random(aSeed);
  std::vector<Loss> losses;
  const auto randomTime = [&] {
    return Time(static_cast<std::int64_t>(
      random() % static_cast<std::uint64_t>(aRates.span.Millis())));
  };
  const auto addLoss = [&](const auto& aIsLost, Duration aRepair) {
    Loss loss{ .at = randomTime(), .hosts = {}, .repair = aRepair };
    for (int i = 0; i < aShape.workers; ++i) {
      if (aIsLost(i)) {
        loss.hosts.push_back(HostAt(i));
      }
    }
    losses.push_back(std::move(loss));
  };
  const auto randomBelow = [&](int aBound) {
    return static_cast<int>(random() % static_cast<unsigned>(aBound));
  };
  for (int n = 0; n < aRates.singles; ++n) {
    const int host = randomBelow(aShape.workers);
    addLoss([&](int aHost) { return aHost == host; }, Duration::Seconds(3600));
  }
  for (int n = 0; n < aRates.racks; ++n) {
    const int rack = randomBelow(aShape.workers / kHostsPerRack);
    addLoss([&](int aHost) { return aHost / kHostsPerRack == rack; },
            Duration::Seconds(2 * 3600));
  }
  for (int n = 0; n < aRates.zones; ++n) {
    const AvailabilityZoneId zone =
      PlaceOf(aShape, kHostsPerRack * randomBelow(aShape.zones))
        .availabilityZone;
    addLoss(
      [&](int aHost) {
        return PlaceOf(aShape, aHost).availabilityZone == zone;
      },
      Duration::Seconds(1800));
  }
  return losses;
}

} // namespace greengage::fleet::test

#endif // GREENGAGE_FLEET_UNITTESTS_FLEETSHAPE_H
