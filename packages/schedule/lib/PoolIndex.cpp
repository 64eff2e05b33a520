#include "greengage/schedule/PoolIndex.h"

#include <algorithm>

using namespace greengage;
using namespace greengage::schedule;

using jobs::Resources;

static bool
HasLowerNumber(const WorkerSession* aSession, jobs::WorkerNumber aNumber)
{
  return aSession->number < aNumber;
}

void
PoolIndex::Put(const PoolId& aPool, WorkerSession& aSession)
{
  const auto indexed = pools_.find(aSession.number);
  if (indexed != pools_.end() && indexed->second == aPool)
    return;
  Remove(aSession);
  std::vector<WorkerSession*>& workers = workers_[aPool];
  workers.insert(
    std::lower_bound(
      workers.begin(), workers.end(), aSession.number, HasLowerNumber),
    &aSession);
  pools_[aSession.number] = aPool;
}

void
PoolIndex::Remove(const WorkerSession& aSession)
{
  const auto indexed = pools_.find(aSession.number);
  if (indexed == pools_.end())
    return;
  std::vector<WorkerSession*>& workers = workers_.at(indexed->second);
  workers.erase(std::lower_bound(
    workers.begin(), workers.end(), aSession.number, HasLowerNumber));
  pools_.erase(indexed);
}

void
PoolIndex::Clear()
{
  workers_.clear();
  pools_.clear();
}

const std::vector<WorkerSession*>&
PoolIndex::WorkersOf(const PoolId& aPool) const
{
  static const std::vector<WorkerSession*> kNone;
  const auto found = workers_.find(aPool);
  return found == workers_.end() ? kNone : found->second;
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
