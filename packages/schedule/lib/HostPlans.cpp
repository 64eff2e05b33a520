#include "greengage/schedule/HostPlanner.h"

#include "greengage/observe/Log.h"

#include <algorithm>
#include <tuple>
#include <utility>

using namespace greengage;
using namespace greengage::schedule;

/// Estimated time to drain and maintain one host: runs of up to 2 s, and 2 s of
/// maintenance.
static constexpr Duration kMaintenanceTime = Duration(4500);
/// A wave also takes hosts that their pools need once its remaining maintenance
/// is estimated to take this percentage of the time left until its deadline.
static constexpr std::int64_t kWaveUrgencyPercent = 60;
static constexpr std::int64_t kPercent = 100;
/// How long a host must have been surplus to its pool before it is released. A
/// move costs about as much as keeping the host in a pool for one second, and
/// moving it back takes 1.5 s.
static constexpr Duration kSurplusTime = Duration(700);
/// Capacity that a pool keeps beyond its current demand.
static constexpr std::int64_t kHeadroomPercent = 15;
/// How far ahead of a predicted burst hosts are moved: covers the drain, the
/// move and the worker's start.
static constexpr Duration kForecastHorizon = Duration(3000);
/// If demand has grown over the last span of this length, the growth is added
/// to the current demand: a host takes longer than that to become available.
static constexpr Duration kGrowthWindow = Duration(1200);
/// The percentage of the predicted peak demand that is provided for before a
/// burst starts.
static constexpr std::int64_t kForecastPercent = 50;
/// How often the capacity and demand of the pools are logged.
static constexpr Duration kBalanceLogInterval = Duration::Seconds(1);
/// The minimum number of hosts in a pool, so that one remains if one is lost.
static constexpr std::uint32_t kMinHosts = 2;

/// The known hosts of the wave whose maintenance has not started.
std::vector<HostId>
HostPlanner::RemainingHosts(const jobs::Wave& aWave) const
{
  std::vector<HostId> remaining;
  for (const HostId& host : aWave.plan.hosts)
    if (aWave.startedHosts.count(host) == 0 && hosts_.count(host) != 0)
      remaining.push_back(host);
  return remaining;
}

/// The number of hosts of the wave that count against its concurrency limit:
/// those that are or may be down for maintenance, and those being drained for
/// it.
std::uint32_t
HostPlanner::ActiveHostCount(const jobs::Wave& aWave) const
{
  std::uint32_t active = 0;
  for (const HostId& id : aWave.plan.hosts) {
    const auto found = hosts_.find(id);
    if (found == hosts_.end())
      continue;
    const Host& host = found->second;
    // This or an earlier leader may have ordered maintenance whose start is not
    // recorded in the log yet.
    const bool isStarted =
      aWave.startedHosts.count(id) != 0 || host.wave == aWave.plan.id;
    const bool mayBeDown = (isStarted && IsInTransition(host)) || !CanOrder(id);
    active += mayBeDown || host.drainReason == DrainReason::Maintenance ? 1 : 0;
  }
  return active;
}

/// Whether so little time is left that the wave must take hosts that their
/// pools need.
bool
HostPlanner::IsUrgent(const jobs::Wave& aWave, std::size_t aRemaining) const
{
  const std::int64_t concurrency =
    std::max<std::int64_t>(aWave.plan.maxConcurrentHosts, 1);
  const std::int64_t rounds =
    (static_cast<std::int64_t>(aRemaining) + concurrency - 1) / concurrency;
  const Duration timeLeft = aWave.plan.deadline - now_.wall;
  return kMaintenanceTime.Millis() * rounds * kPercent >=
         timeLeft.Millis() * kWaveUrgencyPercent;
}

/// Sorts spare hosts first, then hosts with persistent tasks, which take the
/// longest to drain, then hosts of the pools with the largest surplus.
void
HostPlanner::SortForMaintenance(
  std::vector<HostId>& aHosts,
  const std::map<PoolId, PoolBalance>& aBalance) const
{
  const auto rankOf = [&](const HostId& aId) {
    const Host& host = hosts_.at(aId);
    const auto pool = aBalance.find(host.pool);
    const std::int64_t surplus =
      pool == aBalance.end()
        ? 0
        : pool->second.capacity - pool->second.requiredCapacity;
    return std::tuple(!IsSparePool(host.pool),
                      !HasPersistentRun(host),
                      -surplus,
                      RunCount(host),
                      aId);
  };
  std::sort(
    aHosts.begin(), aHosts.end(), [&](const auto& aLeft, const auto& aRight) {
      return rankOf(aLeft) < rankOf(aRight);
    });
}

/// Whether the drain of the host for its maintenance can begin now.
bool
HostPlanner::CanMaintain(const HostId& aId,
                         const std::map<PoolId, PoolBalance>& aBalance,
                         bool aIsUrgent) const
{
  const Host& host = hosts_.at(aId);
  if (host.drainReason != DrainReason::None || IsInTransition(host) ||
      host.isDown || !CanOrder(aId) ||
      (host.worker && scheduler_.HasReservation(*host.worker)))
    return false;
  const auto pool = aBalance.find(host.pool);
  const bool isNeeded =
    pool != aBalance.end() && !IsSparePool(host.pool) &&
    pool->second.capacity - host.capacity.processors.Count() <
      pool->second.requiredCapacity;
  return aIsUrgent || !isNeeded;
}

void
HostPlanner::PlanWaves()
{
  const std::map<PoolId, PoolBalance> balance = ComputeBalance();
  for (const auto& [id, wave] : stateMachine_.Waves()) {
    std::vector<HostId> remaining = RemainingHosts(wave);
    std::uint32_t active = ActiveHostCount(wave);
    const bool isUrgent = IsUrgent(wave, remaining.size());
    SortForMaintenance(remaining, balance);
    for (const HostId& host : remaining) {
      if (active >= wave.plan.maxConcurrentHosts)
        break;
      if (!CanMaintain(host, balance, isUrgent))
        continue;
      Host& record = hosts_.at(host);
      record.wave = id;
      record.target = record.pool;
      BeginDrain(host, record, DrainReason::Maintenance);
      ++active;
    }
  }
}

std::map<PoolId, HostPlanner::PoolBalance>
HostPlanner::ComputeBalance() const
{
  std::map<PoolId, PoolBalance> balance;
  for (const jobs::Pool& pool : stateMachine_.CurrentConfiguration()->pools)
    if (!pool.isSpare)
      balance[pool.id];
  for (const auto& [id, host] : hosts_) {
    // A host that is being drained for a move counts toward its target pool.
    const PoolId& pool =
      host.drainReason == DrainReason::Move ? host.target : host.pool;
    const auto found = balance.find(pool);
    if (found == balance.end() || (host.isDown && !IsInTransition(host)))
      continue;
    found->second.capacity += host.capacity.processors.Count();
    ++found->second.hostCount;
    found->second.hasIncomingHost = found->second.hasIncomingHost ||
                                    host.drainReason == DrainReason::Move ||
                                    IsInTransition(host);
  }
  for (auto& [pool, state] : balance) {
    const auto demand = demand_.find(pool);
    const std::int64_t current = demand == demand_.end() ? 0 : demand->second;
    const std::int64_t expected =
      forecast_.ExpectedDemand(pool, kForecastHorizon, now_.steady).value_or(0);
    const auto trend = demandGrowth_.find(pool);
    const std::int64_t growth = trend == demandGrowth_.end()
                                  ? 0
                                  : std::max<std::int64_t>(trend->second, 0);
    state.requiredCapacity =
      std::max(current * (kPercent + kHeadroomPercent) / kPercent + growth,
               expected * kForecastPercent / kPercent);
    // The limit of tasks per worker can prevent placement although processors
    // are free: add one host at a time.
    if (poolsLackingRoom_.count(pool) != 0)
      state.requiredCapacity =
        std::max(state.requiredCapacity,
                 state.capacity + (state.hasIncomingHost ? 0 : 1));
  }
  return balance;
}

/// The processors, in millicores, that the hosts of the pool need to satisfy
/// \p aDemand. Where memory is the bottleneck, that is more than the tasks
/// request.
std::int64_t
HostPlanner::RequiredProcessors(const PoolId& aPool,
                                const PoolDemand& aDemand) const
{
  const auto poolHost =
    std::find_if(hosts_.begin(), hosts_.end(), [&](const auto& aItem) {
      return aItem.second.pool == aPool &&
             aItem.second.capacity.memory.Count() > 0;
    });
  if (poolHost == hosts_.end())
    return aDemand.processors;
  const jobs::Resources& capacity = poolHost->second.capacity;
  const std::int64_t byMemory =
    aDemand.memory * capacity.processors.Count() / capacity.memory.Count();
  return std::max(aDemand.processors, byMemory);
}

void
HostPlanner::SampleDemand()
{
  demand_.clear();
  poolsLackingRoom_.clear();
  for (const auto& [pool, demand] : scheduler_.ComputeDemand()) {
    demand_[pool] = RequiredProcessors(pool, demand);
    if (demand.persistentWaiting > 0)
      poolsLackingRoom_.insert(pool);
  }
  demandSamples_.push_back({ .at = now_.steady, .demand = demand_ });
  while (demandSamples_.front().at + kGrowthWindow < now_.steady)
    demandSamples_.pop_front();
  demandGrowth_.clear();
  for (auto& [pool, demand] : demand_) {
    const auto previous = demandSamples_.front().demand.find(pool);
    if (previous != demandSamples_.front().demand.end())
      demandGrowth_[pool] = demand - previous->second;
  }
  // A follower has no list of hosts and counts the registered workers instead,
  // which leaves out the spare hosts.
  std::int64_t capacity = 0;
  for (const auto& [id, host] : hosts_)
    capacity += host.capacity.processors.Count();
  if (hosts_.empty())
    for (const auto& [number, worker] : stateMachine_.Workers())
      capacity += worker.capacity.processors.Count();
  fleetCapacity_ = std::max(fleetCapacity_, capacity);
  for (const jobs::Pool& pool : stateMachine_.CurrentConfiguration()->pools)
    if (!pool.isSpare)
      forecast_.Observe(pool.id, demand_[pool.id], fleetCapacity_, now_.steady);
}

void
HostPlanner::LogBalance(const std::map<PoolId, PoolBalance>& aBalance)
{
  if (nextBalanceLog_ > now_.steady)
    return;
  nextBalanceLog_ = now_.steady + kBalanceLogInterval;
  for (const auto& [pool, state] : aBalance)
    observe::Log(observe::LogLevel::Info,
                 "pool-balance",
                 { { "pool", pool.Value() },
                   { "hosts", std::to_string(state.hostCount) },
                   { "millicores", std::to_string(state.capacity) },
                   { "needed", std::to_string(state.requiredCapacity) },
                   { "asked", std::to_string(demand_[pool]) } });
}

void
HostPlanner::PlanMoves()
{
  std::map<PoolId, PoolBalance> balance = ComputeBalance();
  LogBalance(balance);
  AddHostsForPersistentTasks(balance);
  std::vector<PoolId> underprovisioned;
  for (const auto& [pool, state] : balance)
    if (state.capacity < state.requiredCapacity || state.hostCount < kMinHosts)
      underprovisioned.push_back(pool);
  std::sort(
    underprovisioned.begin(),
    underprovisioned.end(),
    [&](const auto& aLeft, const auto& aRight) {
      return balance.at(aLeft).requiredCapacity - balance.at(aLeft).capacity >
             balance.at(aRight).requiredCapacity - balance.at(aRight).capacity;
    });
  for (const PoolId& pool : underprovisioned)
    FillPool(pool, balance);
  ReleaseSurplusHosts(balance);
}

/// Adds one host to each pool with a persistent task that waits for one, before
/// other demand can take all hosts.
void
HostPlanner::AddHostsForPersistentTasks(std::map<PoolId, PoolBalance>& aBalance)
{
  for (const PoolId& pool : poolsLackingRoom_) {
    const auto found = aBalance.find(pool);
    if (found == aBalance.end() || found->second.hasIncomingHost)
      continue;
    PoolBalance& state = found->second;
    const std::int64_t required = state.requiredCapacity;
    state.requiredCapacity = state.capacity + 1;
    FillPool(pool, aBalance);
    state.requiredCapacity = required;
  }
}

/// The hosts that satisfy \p aPredicate, sorted by their number of runs: hosts
/// with few runs drain soonest.
template<typename Predicate>
std::vector<HostId>
HostPlanner::SortedByRunCount(Predicate aPredicate) const
{
  std::vector<std::pair<std::uint32_t, HostId>> candidates;
  for (const auto& [id, host] : hosts_)
    if (aPredicate(id, host))
      candidates.emplace_back(RunCount(host), id);
  std::sort(candidates.begin(), candidates.end());
  std::vector<HostId> sorted;
  sorted.reserve(candidates.size());
  for (auto& [runs, id] : candidates)
    sorted.push_back(std::move(id));
  return sorted;
}

/// Whether the drain of the host for a move to another pool can begin now.
bool
HostPlanner::CanLeavePool(const HostId& aId, const Host& aHost) const
{
  return aHost.drainReason == DrainReason::None && !IsInTransition(aHost) &&
         aHost.worker && CanOrder(aId) && !HasPersistentRun(aHost);
}

/// Records the current surplus of the pool, and returns how many hosts have
/// been surplus throughout the last kSurplusTime. The caller releases these, so
/// they are subtracted from the recorded samples.
std::size_t
HostPlanner::SustainedSurplus(const PoolId& aPool, std::size_t aSurplus)
{
  auto& samples = surplusSamples_[aPool];
  samples.push_back({ .at = now_.steady, .hostCount = aSurplus });
  // The window starts at the latest sample that is at least kSurplusTime old.
  while (samples.size() > 1 && samples[1].at + kSurplusTime <= now_.steady)
    samples.pop_front();
  if (samples.front().at + kSurplusTime > now_.steady)
    return 0;
  std::size_t sustained = aSurplus;
  for (const SurplusSample& sample : samples)
    sustained = std::min(sustained, sample.hostCount);
  for (SurplusSample& sample : samples)
    sample.hostCount -= sustained;
  return sustained;
}

/// Adds hosts to a pool until its demand is met: first hosts that are being
/// drained to leave it, then spare hosts, then hosts of pools with a surplus.
void
HostPlanner::FillPool(const PoolId& aPool,
                      std::map<PoolId, PoolBalance>& aBalance)
{
  PoolBalance& target = aBalance.at(aPool);
  const auto isSatisfied = [&] {
    return target.capacity >= target.requiredCapacity &&
           target.hostCount >= kMinHosts;
  };
  const auto addHost = [&](const Host& aHost) {
    target.capacity += aHost.capacity.processors.Count();
    ++target.hostCount;
  };
  for (auto& [id, host] : hosts_) {
    if (isSatisfied())
      return;
    if (host.drainReason != DrainReason::Move || host.isOrderInFlight ||
        host.pool != aPool)
      continue;
    CancelDrain(host);
    addHost(host);
  }
  for (auto& [id, host] : hosts_) {
    if (isSatisfied())
      return;
    if (host.drainReason != DrainReason::None || IsInTransition(host) ||
        host.isDown || !IsSparePool(host.pool) || !CanOrder(id))
      continue;
    host.target = aPool;
    BeginDrain(id, host, DrainReason::Move);
    addHost(host);
  }
  const std::vector<HostId> donors =
    SortedByRunCount([&](const HostId& aId, const Host& aHost) {
      return aBalance.count(aHost.pool) != 0 && aHost.pool != aPool &&
             CanLeavePool(aId, aHost);
    });
  for (const HostId& id : donors) {
    if (isSatisfied())
      return;
    Host& host = hosts_.at(id);
    PoolBalance& source = aBalance.at(host.pool);
    const std::int64_t capacity = host.capacity.processors.Count();
    if (source.capacity - capacity < source.requiredCapacity ||
        source.hostCount <= kMinHosts)
      continue;
    source.capacity -= capacity;
    --source.hostCount;
    host.target = aPool;
    BeginDrain(id, host, DrainReason::Move);
    addHost(host);
  }
}

/// Moves hosts that have been surplus to their pool for kSurplusTime to the
/// spare pool. A pool keeps its hosts until its first burst.
void
HostPlanner::ReleaseSurplusHosts(const std::map<PoolId, PoolBalance>& aBalance)
{
  PoolId spare;
  for (const jobs::Pool& pool : stateMachine_.CurrentConfiguration()->pools)
    if (pool.isSpare)
      spare = pool.id;
  if (spare.Value().empty())
    return;
  for (const auto& item : aBalance) {
    const PoolId& pool = item.first;
    const PoolBalance& poolBalance = item.second;
    const std::vector<HostId> hosts =
      SortedByRunCount([&](const HostId& aId, const Host& aHost) {
        return aHost.pool == pool && CanLeavePool(aId, aHost);
      });
    std::size_t surplus = 0;
    std::int64_t excessCapacity =
      poolBalance.capacity - poolBalance.requiredCapacity;
    while (surplus < hosts.size() &&
           poolBalance.hostCount > kMinHosts + surplus) {
      excessCapacity -= hosts_.at(hosts[surplus]).capacity.processors.Count();
      if (excessCapacity < 0 || !forecast_.HasSeenBurst(pool))
        break;
      ++surplus;
    }
    const std::size_t releaseCount = SustainedSurplus(pool, surplus);
    for (std::size_t index = 0; index < releaseCount; ++index) {
      Host& host = hosts_.at(hosts[index]);
      host.target = spare;
      BeginDrain(hosts[index], host, DrainReason::Move);
    }
  }
}
