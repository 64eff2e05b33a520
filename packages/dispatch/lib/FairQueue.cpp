#include "greengage/dispatch/FairQueue.h"

#include <algorithm>
#include <cassert>

using namespace greengage;
using namespace greengage::dispatch;

/// The charge for the service to a price class, relative to standard work.
static double
CostFactor(PriceClass aClass)
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
CostInSlotSeconds(const QueueEntry& aEntry, Duration aSpan)
{
  constexpr double kMillisPerSecond = 1000;
  return CostFactor(aEntry.priceClass) * static_cast<double>(aSpan.Millis()) /
         kMillisPerSecond;
}

static std::pair<ServiceLevel, std::int64_t>
BucketOf(ServiceLevel aLevel, Time aDeadline)
{
  constexpr std::int64_t kMillisPerSecond = 1000;
  return { aLevel, aDeadline.Millis() / kMillisPerSecond };
}

void
FairQueue::TeamQueue::Insert(const OrderKey& aKey)
{
  order.insert(aKey);
  ++deadlineCounts[BucketOf(std::get<ServiceLevel>(aKey),
                            std::get<Time>(aKey))];
}

void
FairQueue::TeamQueue::Erase(const OrderKey& aKey)
{
  order.erase(aKey);
  const auto found = deadlineCounts.find(
    BucketOf(std::get<ServiceLevel>(aKey), std::get<Time>(aKey)));
  assert(found != deadlineCounts.end() && "the queued request is not counted");
  if (--found->second == 0)
    deadlineCounts.erase(found);
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

FairQueue::PoolQueue&
FairQueue::FindOrCreatePool(const PoolId& aPool)
{
  const auto [position, isNew] = pools_.try_emplace(aPool, options_.shares);
  if (isNew)
    for (const auto& [path, share] : shares_)
      position->second.tree.SetShare(path, share);
  return position->second;
}

Time
FairQueue::PromotionTime(const QueueEntry& aEntry) const
{
  return aEntry.deadline - aEntry.expectedRunTime - options_.promotionMargin;
}

/// The time from which a request that has not started is likely to be late: one
/// and a half expected run times before its deadline.
static Time
LikelyLateFrom(const QueueEntry& aEntry)
{
  return aEntry.deadline - aEntry.expectedRunTime -
         Duration(aEntry.expectedRunTime.Millis() / 2);
}

static Time
LatestStartOf(const QueueEntry& aEntry)
{
  return aEntry.deadline - aEntry.minRunTime;
}

ServiceLevel
FairQueue::LevelAt(const QueueEntry& aEntry, Time aNow) const
{
  if (LikelyLateFrom(aEntry) <= aNow)
    return ServiceLevel::LikelyLate;
  if (aEntry.priceClass == PriceClass::Urgent)
    return ServiceLevel::Urgent;
  const bool isPatient = aEntry.priceClass == PriceClass::Patient;
  if (isPatient && PromotionTime(aEntry) > aNow)
    return ServiceLevel::Patient;
  return ServiceLevel::Standard;
}

Time
FairQueue::NextLevelChange(const QueuedRequest& aRequest) const
{
  const QueueEntry& entry = aRequest.entry;
  if (aRequest.level != ServiceLevel::Patient)
    return LikelyLateFrom(entry);
  return std::min(PromotionTime(entry), LikelyLateFrom(entry));
}

/// The class under which the tree serves a team, by the level of its first
/// request.
static PriceClass
TreeClassOf(ServiceLevel aLevel)
{
  if (aLevel == ServiceLevel::Urgent)
    return PriceClass::Urgent;
  return aLevel == ServiceLevel::Standard ? PriceClass::Standard
                                          : PriceClass::Patient;
}

void
FairQueue::Add(const QueueEntry& aEntry, Time aNow)
{
  const QueuedRequest request{ aEntry, LevelAt(aEntry, aNow) };
  [[maybe_unused]] const bool isNew =
    queued_.emplace(aEntry.work, request).second;
  assert(isNew && "the request is already queued");
  PoolQueue& pool = FindOrCreatePool(aEntry.pool);
  pool.teams[aEntry.team].Insert(
    { request.level, aEntry.deadline, aEntry.work });
  byLatestStart_.emplace(LatestStartOf(aEntry), aEntry.work);
  if (request.level != ServiceLevel::LikelyLate)
    byNextLevelChange_.emplace(NextLevelChange(request), aEntry.work);
  ++pool.queued;
  ++waitingByTeam_[aEntry.team];
  UpdateTree(pool, aEntry.team, aNow);
}

/// Updates the team's leaf: active with the class of its first request, or
/// inactive.
void
FairQueue::UpdateTree(PoolQueue& aPool, const TeamId& aTeam, Time aNow)
{
  const TeamQueue& teamQueue = aPool.teams[aTeam];
  if (teamQueue.order.empty() || blockedTeams_.contains(aTeam))
    aPool.tree.Deactivate(aTeam, aNow);
  else
    aPool.tree.Activate(
      aTeam,
      TreeClassOf(std::get<ServiceLevel>(*teamQueue.order.begin())),
      aNow);
}

/// Moves the requests whose service level has changed by \p aNow to their new
/// positions in the order of their teams.
void
FairQueue::UpdateServiceLevels(Time aNow)
{
  while (!byNextLevelChange_.empty() &&
         byNextLevelChange_.begin()->first <= aNow) {
    const WorkId work = byNextLevelChange_.begin()->second;
    byNextLevelChange_.erase(byNextLevelChange_.begin());
    QueuedRequest& request = queued_.at(work);
    const QueueEntry& entry = request.entry;
    PoolQueue& pool = pools_.at(entry.pool);
    TeamQueue& teamQueue = pool.teams.at(entry.team);
    teamQueue.Erase({ request.level, entry.deadline, work });
    request.level = LevelAt(entry, aNow);
    teamQueue.Insert({ request.level, entry.deadline, work });
    if (request.level != ServiceLevel::LikelyLate)
      byNextLevelChange_.emplace(NextLevelChange(request), work);
    UpdateTree(pool, entry.team, aNow);
  }
}

QueueEntry
FairQueue::Dequeue(WorkId aWork, Time aNow)
{
  const auto found = queued_.find(aWork);
  assert(found != queued_.end() && "the request is not queued");
  const QueuedRequest request = found->second;
  const QueueEntry& entry = request.entry;
  queued_.erase(found);
  byLatestStart_.erase({ LatestStartOf(entry), aWork });
  byNextLevelChange_.erase({ NextLevelChange(request), aWork });
  PoolQueue& pool = pools_.at(entry.pool);
  pool.teams.at(entry.team).Erase({ request.level, entry.deadline, aWork });
  --pool.queued;
  --waitingByTeam_.at(entry.team);
  UpdateTree(pool, entry.team, aNow);
  return entry;
}

std::optional<QueueEntry>
FairQueue::TakeNext(const PoolId& aPool, const TeamFilter& aMayRun, Time aNow)
{
  const auto found = pools_.find(aPool);
  if (found == pools_.end())
    return std::nullopt;
  UpdateServiceLevels(aNow);
  PoolQueue& pool = found->second;
  while (const auto team = pool.tree.Next()) {
    if (!aMayRun(*team)) {
      blockedTeams_.insert(*team);
      UpdateTree(pool, *team, aNow);
      continue;
    }
    const WorkId work = std::get<WorkId>(*pool.teams.at(*team).order.begin());
    const QueueEntry& entry = queued_.at(work).entry;
    pool.tree.Charge(
      *team, CostInSlotSeconds(entry, entry.expectedRunTime), aNow);
    return Dequeue(work, aNow);
  }
  return std::nullopt;
}

void
FairQueue::UnblockTeam(const TeamId& aTeam, Time aNow)
{
  if (blockedTeams_.erase(aTeam) == 0)
    return;
  for (auto& [id, pool] : pools_)
    if (pool.teams.contains(aTeam))
      UpdateTree(pool, aTeam, aNow);
}

std::vector<TeamId>
FairQueue::BlockedTeams() const
{
  return { blockedTeams_.begin(), blockedTeams_.end() };
}

void
FairQueue::AdjustCharge(const QueueEntry& aEntry, Duration aRan, Time aNow)
{
  FindOrCreatePool(aEntry.pool)
    .tree.Charge(aEntry.team,
                 CostInSlotSeconds(aEntry, aRan - aEntry.expectedRunTime),
                 aNow);
}

bool
FairQueue::Remove(WorkId aWork, Time aNow)
{
  if (!queued_.contains(aWork))
    return false;
  Dequeue(aWork, aNow);
  return true;
}

std::vector<QueueEntry>
FairQueue::TakeExpired(Time aNow)
{
  std::vector<QueueEntry> expired;
  while (!byLatestStart_.empty() && byLatestStart_.begin()->first <= aNow)
    expired.push_back(Dequeue(byLatestStart_.begin()->second, aNow));
  return expired;
}

std::size_t
FairQueue::CountAhead(const QueueEntry& aEntry) const
{
  const auto pool = pools_.find(aEntry.pool);
  if (pool == pools_.end())
    return 0;
  const auto teamQueue = pool->second.teams.find(aEntry.team);
  if (teamQueue == pool->second.teams.end())
    return 0;
  std::size_t ahead = 0;
  // PriceClass and the first service levels have the same order.
  const auto own =
    BucketOf(static_cast<ServiceLevel>(aEntry.priceClass), aEntry.deadline);
  for (const auto& [bucket, count] : teamQueue->second.deadlineCounts) {
    if (bucket >= own)
      break;
    ahead += count;
  }
  return ahead;
}

std::size_t
FairQueue::WaitingOfTeam(const TeamId& aTeam) const
{
  const auto found = waitingByTeam_.find(aTeam);
  return found == waitingByTeam_.end() ? 0 : found->second;
}

std::size_t
FairQueue::WaitingInPool(const PoolId& aPool) const
{
  const auto found = pools_.find(aPool);
  return found == pools_.end() ? 0 : found->second.queued;
}

std::vector<PoolId>
FairQueue::Pools() const
{
  std::vector<PoolId> pools;
  for (const auto& [id, pool] : pools_)
    if (pool.queued > 0)
      pools.push_back(id);
  return pools;
}
