/// \file
/// The workers of each pool, and which resource requests found no worker with
/// enough free capacity, so that placing a task examines only workers that may
/// take it.

#ifndef GREENGAGE_SCHEDULE_POOLINDEX_H
#define GREENGAGE_SCHEDULE_POOLINDEX_H

#include "greengage/core/Ids.h"
#include "greengage/jobs/Job.h"
#include "greengage/schedule/WorkerSession.h"

#include <map>
#include <vector>

namespace greengage::schedule {

/// The current worker sessions of each pool. Superseded sessions don't belong
/// here. The index refers to sessions but doesn't own them.
class PoolIndex
{
public:
  /// Adds the session, or moves it if it is in another pool.
  void Put(const PoolId& aPool, WorkerSession& aSession);
  void Remove(const WorkerSession& aSession);
  void Clear();
  /// The sessions of a pool, in ascending order of their numbers.
  const std::vector<WorkerSession*>& WorkersOf(const PoolId& aPool) const;

private:
  std::map<PoolId, std::vector<WorkerSession*>> workers_;
  std::map<jobs::WorkerNumber, PoolId> pools_;
};

/// Requests for which no worker of a pool has enough free capacity. Valid as
/// long as no capacity of the pool is released.
class UnplaceableRequests
{
public:
  /// Whether \p aRequest is at least as large as one that was added.
  bool Contains(const PoolId& aPool, const jobs::Resources& aRequest) const;
  void Add(const PoolId& aPool, const jobs::Resources& aRequest);
  void Clear() { smallest_.clear(); }

private:
  /// By pool, the requests that are not at least as large as another one.
  std::map<PoolId, std::vector<jobs::Resources>> smallest_;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_POOLINDEX_H
