#include "greengage/schedule/PoolIndex.h"

#include <algorithm>

using namespace greengage;
using namespace greengage::schedule;

using jobs::Resources;

static FreeOrder::Entry
EntryOf(const WorkerSession& aSession)
{
  return { aSession.capacity.processors - aSession.used.processors,
           aSession.number };
}

void
FreeOrder::Insert(const Entry& aEntry, WorkerSession& aSession)
{
  sessions_.emplace(aEntry, &aSession);
}

FreeOrder::Sessions::const_iterator
FreeOrder::From(MilliCores aProcessors) const
{
  return sessions_.lower_bound({ aProcessors, jobs::WorkerNumber(0) });
}

void
PoolIndex::Insert(const Place& aPlace, WorkerSession& aSession)
{
  pools_[aPlace.pool].Insert(aPlace.entry, aSession);
  racks_[{ aPlace.pool, aPlace.rack }].Insert(aPlace.entry, aSession);
}

void
PoolIndex::Erase(const Place& aPlace)
{
  pools_.at(aPlace.pool).Erase(aPlace.entry);
  racks_.at({ aPlace.pool, aPlace.rack }).Erase(aPlace.entry);
}

void
PoolIndex::Put(const PoolId& aPool,
               const RackId& aRack,
               WorkerSession& aSession)
{
  Remove(aSession);
  const Place place{ .pool = aPool, .rack = aRack, .entry = EntryOf(aSession) };
  Insert(place, aSession);
  places_.emplace(aSession.number, place);
}

void
PoolIndex::Update(WorkerSession& aSession)
{
  const auto found = places_.find(aSession.number);
  const FreeOrder::Entry entry = EntryOf(aSession);
  if (found == places_.end() || found->second.entry == entry)
    return;
  Erase(found->second);
  found->second.entry = entry;
  Insert(found->second, aSession);
}

void
PoolIndex::Remove(const WorkerSession& aSession)
{
  const auto found = places_.find(aSession.number);
  if (found == places_.end())
    return;
  Erase(found->second);
  places_.erase(found);
}

void
PoolIndex::Clear()
{
  pools_.clear();
  racks_.clear();
  places_.clear();
}

template<typename Key>
static const FreeOrder&
FindOrder(const std::map<Key, FreeOrder>& aOrders, const Key& aKey)
{
  static const FreeOrder kNone;
  const auto found = aOrders.find(aKey);
  return found == aOrders.end() ? kNone : found->second;
}

const FreeOrder&
PoolIndex::WorkersOf(const PoolId& aPool) const
{
  return FindOrder(pools_, aPool);
}

const FreeOrder&
PoolIndex::WorkersOf(const PoolId& aPool, const RackId& aRack) const
{
  return FindOrder(racks_, { aPool, aRack });
}

/// Whether \p aLeft needs as much of everything as \p aRight, or more.
bool
UnplaceableRequests::IsAtLeast(const Request& aLeft, const Request& aRight)
{
  return aLeft.count >= aRight.count &&
         jobs::Fits(aRight.perTask, {}, aLeft.perTask);
}

bool
UnplaceableRequests::ContainsExactClass(const WorkerClass& aClass,
                                        const Request& aRequest) const
{
  const auto found = smallest_.find(aClass);
  return found != smallest_.end() &&
         std::any_of(found->second.begin(),
                     found->second.end(),
                     [&](const Request& aSmaller) {
                       return IsAtLeast(aRequest, aSmaller);
                     });
}

bool
UnplaceableRequests::Contains(const WorkerClass& aClass,
                              const Resources& aPerTask,
                              std::size_t aCount) const
{
  const Request request{ .perTask = aPerTask, .count = aCount };
  if (ContainsExactClass(aClass, request))
    return true;
  // What no worker of the pool can take, none of its labelled ones can.
  return !aClass.requiredLabel.empty() &&
         ContainsExactClass({ .pool = aClass.pool, .requiredLabel = {} },
                            request);
}

void
UnplaceableRequests::Add(const WorkerClass& aClass,
                         const Resources& aPerTask,
                         std::size_t aCount)
{
  if (Contains(aClass, aPerTask, aCount))
    return;
  const Request request{ .perTask = aPerTask, .count = aCount };
  std::vector<Request>& smallest = smallest_[aClass];
  smallest.erase(std::remove_if(smallest.begin(),
                                smallest.end(),
                                [&](const Request& aLarger) {
                                  return IsAtLeast(aLarger, request);
                                }),
                 smallest.end());
  smallest.push_back(request);
}
