#include "greengage/fleet/BufferPolicy.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

namespace greengage::fleet {

namespace {

/// Upper limit of the search for the number of spares, as a multiple of the
/// worst shortfall. Twice as many spares cover it even if half of them are lost
/// with the domain, as in a fleet of two domains.
constexpr std::int64_t kMaxSparesPerMissingHost = 2;
constexpr double kMillisPerHour = 3600.0 * 1000;

/// The loss of one rack or zone.
struct DomainLoss
{
  Placement domain;
  bool isZone = false;
  /// Number of hosts that would be missing if there were no spares.
  Hosts shortfall;
  /// Fraction of the spares that is lost with the domain; they are assumed to
  /// be spread evenly.
  double spareShare = 0;
  /// Expected hours per day during which the domain is lost.
  double hoursPerDay = 0;
};

/// The number of members of each pool, in total and per failure domain.
struct MemberCounts
{
  std::map<PoolId, Hosts> pools;
  std::map<Placement, std::map<PoolId, Hosts>> racks;
  std::map<AvailabilityZoneId, std::map<PoolId, Hosts>> zones;
};

MemberCounts
CountMembers(const PoolRegistry& aRegistry)
{
  MemberCounts counts;
  const Hosts one(1);
  for (const auto& [host, member] : aRegistry.Members()) {
    counts.pools[member.pool] += one;
    counts.racks[member.placement][member.pool] += one;
    counts.zones[member.placement.availabilityZone][member.pool] += one;
  }
  return counts;
}

Hosts
HostsNeeded(const PoolDemand& aDemand, Slots aSlotsPerHost)
{
  const auto slots = static_cast<double>(aSlotsPerHost.Count());
  return Hosts(static_cast<std::int64_t>(std::ceil(aDemand.peakMean / slots)));
}

/// Returns the number of hosts that all working pools together lack while
/// \p aLost and the hosts in maintenance are down.
Hosts
ComputeShortfall(const std::map<PoolId, Hosts>& aLost,
                 const MemberCounts& aCounts,
                 const BufferInput& aInput)
{
  Hosts missing;
  for (const auto& [pool, demand] : aInput.demand) {
    auto members = aCounts.pools.find(pool);
    auto lost = aLost.find(pool);
    const Hosts memberCount =
      members == aCounts.pools.end() ? Hosts(0) : members->second;
    const Hosts lostCount = lost == aLost.end() ? Hosts(0) : lost->second;
    const Hosts needed = HostsNeeded(demand, aInput.slotsPerHost);
    missing += std::max(Hosts(0), needed - (memberCount - lostCount));
  }
  return missing + aInput.maxInMaintenance;
}

std::vector<DomainLoss>
EnumerateLosses(const BufferInput& aInput, const BufferCosts& aCosts)
{
  const MemberCounts counts = CountMembers(aInput.registry);
  const double rackHours = aCosts.rackLossesPerDay *
                           static_cast<double>(aCosts.rackOutage.Millis()) /
                           kMillisPerHour;
  const double zoneHours = aCosts.zoneLossesPerDay *
                           static_cast<double>(aCosts.zoneOutage.Millis()) /
                           kMillisPerHour;
  const auto racks = static_cast<double>(counts.racks.size());
  const auto zones = static_cast<double>(counts.zones.size());
  std::vector<DomainLoss> losses;
  for (const auto& [place, lost] : counts.racks) {
    losses.push_back({ .domain = place,
                       .isZone = false,
                       .shortfall = ComputeShortfall(lost, counts, aInput),
                       .spareShare = 1 / racks,
                       .hoursPerDay = rackHours / racks });
  }
  for (const auto& [zone, lost] : counts.zones) {
    losses.push_back({ .domain = { zone, RackId() },
                       .isZone = true,
                       .shortfall = ComputeShortfall(lost, counts, aInput),
                       .spareShare = 1 / zones,
                       .hoursPerDay = zoneHours / zones });
  }
  return losses;
}

/// Returns the shortfall that remains with \p aSpares spread evenly over the
/// failure domains.
Hosts
RemainingShortfall(const DomainLoss& aLoss, std::int64_t aSpares)
{
  const auto lost = static_cast<std::int64_t>(
    std::ceil(static_cast<double>(aSpares) * aLoss.spareShare));
  return std::max(Hosts(0), aLoss.shortfall - Hosts(aSpares - lost));
}

/// Returns the expected cost per day of the demand that \p aSpares leave unmet.
double
ExpectedShortfallCost(const std::vector<DomainLoss>& aLosses,
                      std::int64_t aSpares,
                      const BufferCosts& aCosts)
{
  double cost = 0;
  for (const DomainLoss& loss : aLosses) {
    const auto missing =
      static_cast<double>(RemainingShortfall(loss, aSpares).Count());
    cost += loss.hoursPerDay * missing * aCosts.shortfallCostPerHour;
  }
  return cost;
}

bool
Covers(const std::vector<DomainLoss>& aLosses,
       std::int64_t aSpares,
       CoveredDomain aCovered)
{
  return std::all_of(
    aLosses.begin(), aLosses.end(), [&](const DomainLoss& aLoss) {
      const bool isCovered = aCovered == CoveredDomain::Zone ||
                             (aCovered == CoveredDomain::Rack && !aLoss.isZone);
      return !isCovered || RemainingShortfall(aLoss, aSpares) == Hosts(0);
    });
}

void
SetWorstLoss(const std::vector<DomainLoss>& aLosses, BufferSizing& aSize)
{
  for (const DomainLoss& loss : aLosses) {
    if (loss.shortfall > aSize.worstShortfall) {
      aSize.worstShortfall = loss.shortfall;
      aSize.worstDomain = loss.domain;
      aSize.isWorstZone = loss.isZone;
    }
  }
}

} // namespace

BufferSizing
FixedBufferPolicy::Size(const BufferInput& aInput) const
{
  const BufferCosts costs;
  const std::vector<DomainLoss> losses = EnumerateLosses(aInput, costs);
  BufferSizing size;
  SetWorstLoss(losses, size);
  size.spares = spares_;
  size.holdingCost =
    costs.spareCostPerDay * static_cast<double>(spares_.Count());
  size.shortfallCost = ExpectedShortfallCost(losses, spares_.Count(), costs);
  return size;
}

BufferSizing
CostOptimizedBufferPolicy::Size(const BufferInput& aInput) const
{
  const std::vector<DomainLoss> losses = EnumerateLosses(aInput, costs_);
  BufferSizing size;
  SetWorstLoss(losses, size);
  double lowestCost = -1;
  const std::int64_t maxSpares =
    kMaxSparesPerMissingHost * size.worstShortfall.Count();
  for (std::int64_t spares = 0; spares <= maxSpares; ++spares) {
    if (!Covers(losses, spares, costs_.covered)) {
      continue;
    }
    const double holdingCost =
      costs_.spareCostPerDay * static_cast<double>(spares);
    const double shortfallCost = ExpectedShortfallCost(losses, spares, costs_);
    const double cost = weights_.bufferCost * holdingCost +
                        weights_.closenessToShare * shortfallCost;
    if (lowestCost < 0 || cost < lowestCost) {
      lowestCost = cost;
      size.spares = Hosts(spares);
      size.holdingCost = holdingCost;
      size.shortfallCost = shortfallCost;
    }
  }
  return size;
}

} // namespace greengage::fleet
