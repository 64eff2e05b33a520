#include "greengage/dispatch/UpstreamTable.h"

#include <algorithm>
#include <cassert>

using namespace greengage;
using namespace greengage::dispatch;

/// Sort key of an upstream under probing; greater than any number of free
/// slots.
static constexpr double kProbeSortKey = 1e12;

Slots
UpstreamTable::FreeSlotsOf(const Entry& aEntry)
{
  if (aEntry.announcement.leaving || aEntry.state == UpstreamState::Quarantined)
    return Slots(0);
  if (aEntry.state == UpstreamState::Probing)
    return Slots(aEntry.running > Slots(0) ? 0 : 1);
  return std::max(Slots(0), aEntry.announcement.slots - aEntry.running);
}

UpstreamTable::FreeKey
UpstreamTable::FreeKeyOf(const Entry& aEntry)
{
  const auto free = static_cast<double>(FreeSlotsOf(aEntry).Count());
  // An upstream under probing comes first; otherwise it would get no request
  // until all others are full.
  const bool isProbe = aEntry.state == UpstreamState::Probing;
  return { isProbe ? kProbeSortKey : free / aEntry.slowness,
           aEntry.announcement.id };
}

void
UpstreamTable::SetHealth(const UpstreamId& aId,
                         UpstreamState aState,
                         double aSlowness)
{
  const auto found = entries_.find(aId);
  if (found == entries_.end())
    return;
  Entry& entry = found->second;
  RemoveFromIndex(entry);
  entry.state = aState;
  entry.slowness = aSlowness;
  AddToIndex(entry);
}

void
UpstreamTable::AddToIndex(const Entry& aEntry)
{
  PoolIndex& pool = pools_[aEntry.announcement.pool];
  const Slots free = FreeSlotsOf(aEntry);
  pool.freeSlots += free;
  if (free > Slots(0))
    pool.byFreeSlots.insert(FreeKeyOf(aEntry));
}

void
UpstreamTable::RemoveFromIndex(const Entry& aEntry)
{
  const auto found = pools_.find(aEntry.announcement.pool);
  assert(found != pools_.end() && "the pool of an upstream is not indexed");
  const Slots free = FreeSlotsOf(aEntry);
  found->second.freeSlots -= free;
  found->second.byFreeSlots.erase(FreeKeyOf(aEntry));
}

void
UpstreamTable::Announce(const UpstreamAnnouncement& aAnnouncement, Time aNow)
{
  Entry entry;
  const auto found = entries_.find(aAnnouncement.id);
  if (found != entries_.end()) {
    RemoveFromIndex(found->second);
    entry = found->second;
  }
  entry.announcement = aAnnouncement;
  entry.leaseEnd = aNow + aAnnouncement.lease;
  AddToIndex(entry);
  entries_[aAnnouncement.id] = std::move(entry);
}

void
UpstreamTable::Remove(const UpstreamId& aId)
{
  const auto found = entries_.find(aId);
  if (found == entries_.end())
    return;
  RemoveFromIndex(found->second);
  entries_.erase(found);
}

void
UpstreamTable::Expire(Time aNow)
{
  std::vector<UpstreamId> expired;
  for (const auto& [id, entry] : entries_)
    if (entry.leaseEnd <= aNow)
      expired.push_back(id);
  for (const UpstreamId& id : expired)
    Remove(id);
}

std::optional<UpstreamId>
UpstreamTable::TakeSlot(const PoolId& aPool, Time aNow)
{
  const auto pool = pools_.find(aPool);
  if (pool == pools_.end())
    return std::nullopt;
  const auto& candidates = pool->second.byFreeSlots;
  for (auto key = candidates.rbegin(); key != candidates.rend(); ++key) {
    Entry& entry = entries_.at(key->second);
    if (entry.heldBackUntil > aNow || entry.leaseEnd <= aNow)
      continue;
    RemoveFromIndex(entry);
    entry.running += Slots(1);
    AddToIndex(entry);
    return entry.announcement.id;
  }
  return std::nullopt;
}

void
UpstreamTable::ReleaseSlot(const UpstreamId& aId)
{
  const auto found = entries_.find(aId);
  if (found == entries_.end())
    return;
  Entry& entry = found->second;
  RemoveFromIndex(entry);
  entry.running = std::max(Slots(0), entry.running - Slots(1));
  AddToIndex(entry);
}

void
UpstreamTable::BackOffUntil(const UpstreamId& aId, Time aUntil)
{
  const auto found = entries_.find(aId);
  if (found != entries_.end())
    found->second.heldBackUntil = aUntil;
}

std::vector<UpstreamAnnouncement>
UpstreamTable::Announcements(Time aNow) const
{
  std::vector<UpstreamAnnouncement> all;
  for (const auto& [id, entry] : entries_) {
    if (entry.leaseEnd <= aNow)
      continue;
    all.push_back(entry.announcement);
    all.back().lease = entry.leaseEnd - aNow;
  }
  return all;
}

const UpstreamAnnouncement*
UpstreamTable::Find(const UpstreamId& aId) const
{
  const auto found = entries_.find(aId);
  return found == entries_.end() ? nullptr : &found->second.announcement;
}

Slots
UpstreamTable::FreeSlots(const PoolId& aPool) const
{
  const auto found = pools_.find(aPool);
  return found == pools_.end() ? Slots(0) : found->second.freeSlots;
}

std::vector<PoolId>
UpstreamTable::Pools() const
{
  std::vector<PoolId> pools;
  for (const auto& [pool, index] : pools_)
    pools.push_back(pool);
  return pools;
}
