/// \file
/// Fleet sizes and seeded sequences of host outages for tests and benchmarks.

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

/// The dimensions of a fleet. Racks hold kHostsPerRack hosts each. Racks are
/// assigned to zones round robin, and hosts to the working pools; the spare
/// hosts are spread evenly over the fleet.
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
PlacementOf(const FleetShape& aShape, int aHost)
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
    registry.Apply(AddHost{ HostAt(i), PlacementOf(aShape, i), pool, Time(0) },
                   reason);
  }
  return registry;
}

/// Hosts that are lost at the same time and the duration of their repair.
struct HostOutage
{
  Time at;
  std::vector<HostId> hosts;
  Duration repair;
};

/// The numbers of host, rack and zone outages within a time span.
struct OutageCounts
{
  Duration span = Duration::Seconds(48 * 3600);
  int singles = 8;
  int racks = 1;
  int zones = 1;
};

/// Returns a reproducible list of outages of single hosts, whole racks and
/// whole zones.
inline std::vector<HostOutage>
GenerateOutages(const FleetShape& aShape,
                const OutageCounts& aCounts,
                unsigned aSeed)
{
  std::mt19937 random(aSeed);
  std::vector<HostOutage> outages;
  const auto randomTime = [&] {
    return Time(static_cast<std::int64_t>(
      random() % static_cast<std::uint64_t>(aCounts.span.Millis())));
  };
  const auto addOutage = [&](const auto& aIsLost, Duration aRepair) {
    HostOutage outage{ .at = randomTime(), .hosts = {}, .repair = aRepair };
    for (int i = 0; i < aShape.workers; ++i) {
      if (aIsLost(i)) {
        outage.hosts.push_back(HostAt(i));
      }
    }
    outages.push_back(std::move(outage));
  };
  const auto randomBelow = [&](int aBound) {
    return static_cast<int>(random() % static_cast<unsigned>(aBound));
  };
  for (int n = 0; n < aCounts.singles; ++n) {
    const int host = randomBelow(aShape.workers);
    addOutage([&](int aHost) { return aHost == host; },
              Duration::Seconds(3600));
  }
  for (int n = 0; n < aCounts.racks; ++n) {
    const int rack = randomBelow(aShape.workers / kHostsPerRack);
    addOutage([&](int aHost) { return aHost / kHostsPerRack == rack; },
              Duration::Seconds(2 * 3600));
  }
  for (int n = 0; n < aCounts.zones; ++n) {
    const AvailabilityZoneId zone =
      PlacementOf(aShape, kHostsPerRack * randomBelow(aShape.zones))
        .availabilityZone;
    addOutage(
      [&](int aHost) {
        return PlacementOf(aShape, aHost).availabilityZone == zone;
      },
      Duration::Seconds(1800));
  }
  return outages;
}

} // namespace greengage::fleet::test

#endif // GREENGAGE_FLEET_UNITTESTS_FLEETSHAPE_H
