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

/// Whether \p aLeft needs as much of each resource as \p aRight, or more.
static bool
IsAtLeast(const Resources& aLeft, const Resources& aRight)
{
  return jobs::Fits(aRight, {}, aLeft);
}

bool
UnplaceableRequests::Contains(const PoolId& aPool,
                              const Resources& aRequest) const
{
  const auto found = smallest_.find(aPool);
  return found != smallest_.end() &&
         std::any_of(found->second.begin(),
                     found->second.end(),
                     [&](const Resources& aSmaller) {
                       return IsAtLeast(aRequest, aSmaller);
                     });
}

void
UnplaceableRequests::Add(const PoolId& aPool, const Resources& aRequest)
{
  if (Contains(aPool, aRequest))
    return;
  std::vector<Resources>& smallest = smallest_[aPool];
  smallest.erase(std::remove_if(smallest.begin(),
                                smallest.end(),
                                [&](const Resources& aLarger) {
                                  return IsAtLeast(aLarger, aRequest);
                                }),
                 smallest.end());
  smallest.push_back(aRequest);
}
