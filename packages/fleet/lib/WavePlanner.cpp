#include "greengage/fleet/WavePlanner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace greengage::fleet {

namespace {

double
RoundsNeeded(Hosts aHosts, Hosts aBudget)
{
  if (aHosts.Count() == 0) {
    return 0;
  }
  // Under a budget of zero, the hosts are never maintained. Dividing by a small
  // value instead ranks them first and lengthens the forecast to 1000 rounds
  // for each of them.
  const double budget =
    static_cast<double>(std::max(aBudget, Hosts(0)).Count());
  return static_cast<double>(aHosts.Count()) / std::max(budget, 0.001);
}

template<typename Key>
Hosts
CountOf(const std::map<Key, Hosts>& aCounts, const Key& aKey)
{
  auto found = aCounts.find(aKey);
  return found == aCounts.end() ? Hosts(0) : found->second;
}

Time
DueAt(const WaveInput& aInput, const HostId& aHost)
{
  auto found = aInput.lastMaintained.find(aHost);
  return found == aInput.lastMaintained.end()
           ? aInput.now
           : found->second + aInput.policy.interval;
}

bool
IsDue(const WaveInput& aInput, const HostId& aHost)
{
  return DueAt(aInput, aHost) <= aInput.now + aInput.policy.leadTime;
}

/// Returns a wave of all hosts that are due, ordered by id.
WaveState
PlanDueHosts(const WaveInput& aInput)
{
  WaveState wave;
  wave.startedAt = aInput.now;
  for (const auto& [host, member] : aInput.registry.Members()) {
    if (!IsDue(aInput, host)) {
      continue;
    }
    wave.order.push_back(host);
    HostProgress& progress = wave.hosts[host];
    progress.phaseSince = aInput.now;
    progress.placement = member.placement;
  }
  return wave;
}

/// Sorts the wave's order by \p aRank(host, membership), ascending.
template<typename Rank>
void
SortBy(WaveState& aWave, const PoolRegistry& aRegistry, const Rank& aRank)
{
  using RankType = decltype(aRank(HostId(), Membership()));
  std::vector<std::pair<RankType, HostId>> ranked;
  ranked.reserve(aWave.order.size());
  for (const HostId& host : aWave.order) {
    ranked.emplace_back(aRank(host, *aRegistry.Find(host)), host);
  }
  std::sort(ranked.begin(), ranked.end());
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    aWave.order[i] = std::move(ranked[i].second);
  }
}

} // namespace

void
RemainingWork::Add(const Membership& aMember)
{
  const Hosts one(1);
  total_ += one;
  pools_[aMember.pool] += one;
  zones_[aMember.placement.availabilityZone] += one;
  racks_[aMember.placement] += one;
}

double
RemainingWork::RoundsFor(const Membership& aMember) const
{
  const AvailabilityZoneId& zone = aMember.placement.availabilityZone;
  const Placement& rack = aMember.placement;
  const double pool =
    RoundsNeeded(CountOf(pools_, aMember.pool), budgets_.OfPool(aMember.pool));
  return std::max(
    { pool,
      RoundsNeeded(CountOf(zones_, zone), budgets_.OfZone(zone)),
      RoundsNeeded(CountOf(racks_, rack), budgets_.OfRack(rack)) });
}

Duration
RemainingWork::Forecast(Duration aCycle, Hosts aMaxConcurrentHosts) const
{
  double rounds = RoundsNeeded(total_, aMaxConcurrentHosts);
  for (const auto& [pool, hosts] : pools_) {
    rounds = std::max(rounds, RoundsNeeded(hosts, budgets_.OfPool(pool)));
  }
  for (const auto& [zone, hosts] : zones_) {
    rounds = std::max(rounds, RoundsNeeded(hosts, budgets_.OfZone(zone)));
  }
  for (const auto& [rack, hosts] : racks_) {
    rounds = std::max(rounds, RoundsNeeded(hosts, budgets_.OfRack(rack)));
  }
  return aCycle * static_cast<std::int64_t>(std::ceil(rounds));
}

WaveState
SequentialPlanner::Plan(const WaveInput& aInput) const
{
  WaveState wave = PlanDueHosts(aInput);
  wave.maxConcurrentHosts = Hosts(1);
  SortBy(wave, aInput.registry, [](const HostId&, const Membership& aMember) {
    return aMember.placement;
  });
  return wave;
}

WaveState
BottleneckPlanner::Plan(const WaveInput& aInput) const
{
  WaveState wave = PlanDueHosts(aInput);
  RemainingWork work(aInput.budgets);
  for (const HostId& host : wave.order) {
    work.Add(*aInput.registry.Find(host));
  }
  const auto rank = [&](const HostId& aHost, const Membership& aMember) {
    const bool isOverdue = DueAt(aInput, aHost) < aInput.now;
    return std::tuple(!isOverdue, -work.RoundsFor(aMember), aMember.placement);
  };
  SortBy(wave, aInput.registry, rank);
  return wave;
}

} // namespace greengage::fleet
