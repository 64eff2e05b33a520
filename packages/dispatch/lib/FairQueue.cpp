#include "greengage/dispatch/RequestQueue.h"

#include <algorithm>
#include <cassert>

using namespace greengage;
using namespace greengage::dispatch;

/// A share of zero still gets what nobody else wants.
static constexpr double kLeastShare = 1e-6;

void
FairQueue::SetShare(const TeamId& aTeam, double aShare)
{
  shares_[aTeam] = std::max(aShare, kLeastShare);
}

double
FairQueue::ShareOf(const TeamId& aTeam) const
{
  const auto found = shares_.find(aTeam);
  return found == shares_.end() ? 1.0 : found->second;
}

void
FairQueue::Add(const QueueEntry& aEntry)
{
  [[maybe_unused]] const bool isNew =
    entries_.emplace(aEntry.work, aEntry).second;
  assert(isNew && "a request waits once");
  PoolLines& pool = pools_[aEntry.pool];
  TeamLine& line = pool.teams[aEntry.team];
  if (line.order.empty()) {
    // A team that comes back starts level with those that kept waiting.
    line.virtualTime = std::max(line.virtualTime, pool.virtualNow);
    pool.byVirtualTime.emplace(line.virtualTime, aEntry.team);
  }
  line.order.emplace(aEntry.priceClass, aEntry.deadline, aEntry.work);
  byDeadline_.emplace(aEntry.deadline, aEntry.work);
  ++pool.waiting;
  ++waiting_[aEntry.team];
}

void
FairQueue::Unlink(const QueueEntry& aEntry)
{
  PoolLines& pool = pools_.at(aEntry.pool);
  TeamLine& line = pool.teams.at(aEntry.team);
  line.order.erase({ aEntry.priceClass, aEntry.deadline, aEntry.work });
  if (line.order.empty())
    pool.byVirtualTime.erase({ line.virtualTime, aEntry.team });
  byDeadline_.erase({ aEntry.deadline, aEntry.work });
  --pool.waiting;
  --waiting_.at(aEntry.team);
  entries_.erase(aEntry.work);
}

std::optional<QueueEntry>
FairQueue::TakeNext(const PoolId& aPool, const TeamFilter& aMayRun)
{
  const auto found = pools_.find(aPool);
  if (found == pools_.end())
    return std::nullopt;
  PoolLines& pool = found->second;
  for (const auto& [virtualTime, team] : pool.byVirtualTime) {
    if (!aMayRun(team))
      continue;
    TeamLine& line = pool.teams.at(team);
    const QueueEntry entry = entries_.at(std::get<WorkId>(*line.order.begin()));
    pool.virtualNow = std::max(pool.virtualNow, virtualTime);
    pool.byVirtualTime.erase({ line.virtualTime, entry.team });
    line.virtualTime += 1 / ShareOf(entry.team);
    pool.byVirtualTime.emplace(line.virtualTime, entry.team);
    Unlink(entry);
    return entry;
  }
  return std::nullopt;
}

bool
FairQueue::Remove(WorkId aWork)
{
  const auto found = entries_.find(aWork);
  if (found == entries_.end())
    return false;
  const QueueEntry entry = found->second;
  Unlink(entry);
  return true;
}

std::vector<QueueEntry>
FairQueue::TakeExpired(Time aNow)
{
  std::vector<QueueEntry> expired;
  while (!byDeadline_.empty() && byDeadline_.begin()->first <= aNow) {
    const QueueEntry entry = entries_.at(byDeadline_.begin()->second);
    Unlink(entry);
    expired.push_back(entry);
  }
  return expired;
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
  for (const auto& [pool, lines] : pools_)
    if (lines.waiting > 0)
      pools.push_back(pool);
  return pools;
}

std::optional<Time>
FairQueue::EarliestDeadline() const
{
  if (byDeadline_.empty())
    return std::nullopt;
  return byDeadline_.begin()->first;
}
