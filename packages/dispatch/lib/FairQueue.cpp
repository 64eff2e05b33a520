#include "greengage/dispatch/FairQueue.h"

#include <algorithm>
#include <cassert>

using namespace greengage;
using namespace greengage::dispatch;

/// What a class pays for the same service.
static double
PriceOf(PriceClass aClass)
{
  switch (aClass) {
    case PriceClass::Urgent:
      return 2;
    case PriceClass::Standard:
      return 1;
    case PriceClass::Patient:
      break;
  }
  return 0.5;
}

static double
CostOf(const QueueEntry& aEntry, Duration aSpan)
{
  constexpr double kMillisPerSecond = 1000;
  return PriceOf(aEntry.priceClass) * static_cast<double>(aSpan.Millis()) /
         kMillisPerSecond;
}

static std::pair<ServiceLevel, std::int64_t>
BucketOf(ServiceLevel aLevel, Time aDeadline)
{
  constexpr std::int64_t kMillisPerSecond = 1000;
  return { aLevel, aDeadline.Millis() / kMillisPerSecond };
}

void
FairQueue::TeamLine::Insert(const OrderKey& aKey)
{
  order.insert(aKey);
  ++counts[BucketOf(std::get<ServiceLevel>(aKey), std::get<Time>(aKey))];
}

void
FairQueue::TeamLine::Erase(const OrderKey& aKey)
{
  order.erase(aKey);
  const auto found =
    counts.find(BucketOf(std::get<ServiceLevel>(aKey), std::get<Time>(aKey)));
  assert(found != counts.end() && "each request is counted");
  if (--found->second == 0)
    counts.erase(found);
}

FairQueue::FairQueue(FairQueueOptions aOptions)
  : options_(aOptions)
{
}

void
FairQueue::SetShare(const std::string& aPath, double aShare)
{
  shares_[aPath] = aShare;
  for (auto& [id, pool] : pools_)
    pool.tree.SetShare(aPath, aShare);
}

FairQueue::PoolLines&
FairQueue::LinesOf(const PoolId& aPool)
{
  const auto [place, isNew] = pools_.try_emplace(aPool, options_.shares);
  if (isNew)
    for (const auto& [path, share] : shares_)
      place->second.tree.SetShare(path, share);
  return place->second;
}

Time
FairQueue::PromotionOf(const QueueEntry& aEntry) const
{
  return aEntry.deadline - aEntry.runTime - options_.promotionMargin;
}

/// From then on a request will more likely than not be late.
static Time
DoubtOf(const QueueEntry& aEntry)
{
  return aEntry.deadline - aEntry.runTime -
         Duration(aEntry.runTime.Millis() / 2);
}

static Time
LatestStartOf(const QueueEntry& aEntry)
{
  return aEntry.deadline - aEntry.leastRun;
}

ServiceLevel
FairQueue::LevelOf(const QueueEntry& aEntry, Time aNow) const
{
  if (DoubtOf(aEntry) <= aNow)
    return ServiceLevel::Doubtful;
  if (aEntry.priceClass == PriceClass::Urgent)
    return ServiceLevel::Urgent;
  const bool isPatient = aEntry.priceClass == PriceClass::Patient;
  if (isPatient && PromotionOf(aEntry) > aNow)
    return ServiceLevel::Patient;
  return ServiceLevel::Standard;
}

Time
FairQueue::NextChange(const Waiter& aWaiter) const
{
  const QueueEntry& entry = aWaiter.entry;
  if (aWaiter.level != ServiceLevel::Patient)
    return DoubtOf(entry);
  return std::min(PromotionOf(entry), DoubtOf(entry));
}

/// The class for which the pool serves a team.
static PriceClass
ClassOf(ServiceLevel aLevel)
{
  if (aLevel == ServiceLevel::Urgent)
    return PriceClass::Urgent;
  return aLevel == ServiceLevel::Standard ? PriceClass::Standard
                                          : PriceClass::Patient;
}

void
FairQueue::Add(const QueueEntry& aEntry, Time aNow)
{
  const Waiter waiter{ aEntry, LevelOf(aEntry, aNow) };
  [[maybe_unused]] const bool isNew =
    waiters_.emplace(aEntry.work, waiter).second;
  assert(isNew && "a request waits once");
  PoolLines& pool = LinesOf(aEntry.pool);
  pool.teams[aEntry.team].Insert(
    { waiter.level, aEntry.deadline, aEntry.work });
  byLatestStart_.emplace(LatestStartOf(aEntry), aEntry.work);
  if (waiter.level != ServiceLevel::Doubtful)
    byNextChange_.emplace(NextChange(waiter), aEntry.work);
  ++pool.waiting;
  ++waiting_[aEntry.team];
  Refresh(pool, aEntry.team, aNow);
}

/// Tells the tree what the team has waiting that may run.
void
FairQueue::Refresh(PoolLines& aPool, const TeamId& aTeam, Time aNow)
{
  const TeamLine& line = aPool.teams[aTeam];
  if (line.order.empty() || refused_.contains(aTeam))
    aPool.tree.Deactivate(aTeam, aNow);
  else
    aPool.tree.Activate(
      aTeam, ClassOf(std::get<ServiceLevel>(*line.order.begin())), aNow);
}

/// Brings the requests whose time runs short to their new levels.
void
FairQueue::ChangeLevels(Time aNow)
{
  while (!byNextChange_.empty() && byNextChange_.begin()->first <= aNow) {
    const WorkId work = byNextChange_.begin()->second;
    byNextChange_.erase(byNextChange_.begin());
    Waiter& waiter = waiters_.at(work);
    const QueueEntry& entry = waiter.entry;
    PoolLines& pool = pools_.at(entry.pool);
    TeamLine& line = pool.teams.at(entry.team);
    line.Erase({ waiter.level, entry.deadline, work });
    waiter.level = LevelOf(entry, aNow);
    line.Insert({ waiter.level, entry.deadline, work });
    if (waiter.level != ServiceLevel::Doubtful)
      byNextChange_.emplace(NextChange(waiter), work);
    Refresh(pool, entry.team, aNow);
  }
}

QueueEntry
FairQueue::Unlink(WorkId aWork, Time aNow)
{
  const auto found = waiters_.find(aWork);
  assert(found != waiters_.end() && "the request waits");
  const Waiter waiter = found->second;
  const QueueEntry& entry = waiter.entry;
  waiters_.erase(found);
  byLatestStart_.erase({ LatestStartOf(entry), aWork });
  byNextChange_.erase({ NextChange(waiter), aWork });
  PoolLines& pool = pools_.at(entry.pool);
  pool.teams.at(entry.team).Erase({ waiter.level, entry.deadline, aWork });
  --pool.waiting;
  --waiting_.at(entry.team);
  Refresh(pool, entry.team, aNow);
  return entry;
}

std::optional<QueueEntry>
FairQueue::TakeNext(const PoolId& aPool, const TeamFilter& aMayRun, Time aNow)
{
  const auto found = pools_.find(aPool);
  if (found == pools_.end())
    return std::nullopt;
  ChangeLevels(aNow);
  PoolLines& pool = found->second;
  while (const auto team = pool.tree.Next()) {
    if (!aMayRun(*team)) {
      refused_.insert(*team);
      Refresh(pool, *team, aNow);
      continue;
    }
    const WorkId work = std::get<WorkId>(*pool.teams.at(*team).order.begin());
    const QueueEntry& entry = waiters_.at(work).entry;
    pool.tree.Charge(*team, CostOf(entry, entry.runTime), aNow);
    return Unlink(work, aNow);
  }
  return std::nullopt;
}

void
FairQueue::NoteRoom(const TeamId& aTeam, Time aNow)
{
  if (refused_.erase(aTeam) == 0)
    return;
  for (auto& [id, pool] : pools_)
    if (pool.teams.contains(aTeam))
      Refresh(pool, aTeam, aNow);
}

std::vector<TeamId>
FairQueue::Refused() const
{
  return { refused_.begin(), refused_.end() };
}

void
FairQueue::NoteRun(const QueueEntry& aEntry, Duration aRan, Time aNow)
{
  LinesOf(aEntry.pool)
    .tree.Charge(aEntry.team, CostOf(aEntry, aRan - aEntry.runTime), aNow);
}

bool
FairQueue::Remove(WorkId aWork, Time aNow)
{
  if (!waiters_.contains(aWork))
    return false;
  Unlink(aWork, aNow);
  return true;
}

std::vector<QueueEntry>
FairQueue::TakeExpired(Time aNow)
{
  std::vector<QueueEntry> expired;
  while (!byLatestStart_.empty() && byLatestStart_.begin()->first <= aNow)
    expired.push_back(Unlink(byLatestStart_.begin()->second, aNow));
  return expired;
}

std::size_t
FairQueue::Ahead(const QueueEntry& aEntry) const
{
  const auto pool = pools_.find(aEntry.pool);
  if (pool == pools_.end())
    return 0;
  const auto line = pool->second.teams.find(aEntry.team);
  if (line == pool->second.teams.end())
    return 0;
  std::size_t ahead = 0;
  const auto own =
    BucketOf(static_cast<ServiceLevel>(aEntry.priceClass), aEntry.deadline);
  for (const auto& [bucket, count] : line->second.counts) {
    if (bucket >= own)
      break;
    ahead += count;
  }
  return ahead;
}

std::size_t
FairQueue::Waiting(const TeamId& aTeam) const
{
  const auto found = waiting_.find(aTeam);
  return found == waiting_.end() ? 0 : found->second;
}

std::size_t
FairQueue::WaitingIn(const PoolId& aPool) const
{
  const auto found = pools_.find(aPool);
  return found == pools_.end() ? 0 : found->second.waiting;
}

std::vector<PoolId>
FairQueue::Pools() const
{
  std::vector<PoolId> pools;
  for (const auto& [id, pool] : pools_)
    if (pool.waiting > 0)
      pools.push_back(id);
  return pools;
}
