/// \file
/// The workers of each pool, and which resource requests found no worker, so
/// that placing a task examines only workers that may take it.

#ifndef GREENGAGE_SCHEDULE_POOLINDEX_H
#define GREENGAGE_SCHEDULE_POOLINDEX_H

#include "greengage/core/Ids.h"
#include "greengage/jobs/Job.h"
#include "greengage/schedule/WorkerSession.h"

#include <compare>
#include <cstddef>
#include <map>
#include <string>
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

/// The workers that a step may run on, as far as its job's queue and its label
/// tell.
struct WorkerClass
{
  PoolId pool;
  /// Empty if any worker of the pool is eligible.
  std::string requiredLabel;

  friend auto operator<=>(const WorkerClass&, const WorkerClass&) = default;
};

/// Requests for which the workers of a class have too little capacity. Valid as
/// long as none is released.
class UnplaceableRequests
{
public:
  /// Whether a request is known to fail: one for no more tasks, each of which
  /// needs no more, was added for its class or for the whole pool.
  bool Contains(const WorkerClass& aClass,
                const jobs::Resources& aPerTask,
                std::size_t aCount = 1) const;
  /// Adds a request for \p aCount tasks at the same time.
  void Add(const WorkerClass& aClass,
           const jobs::Resources& aPerTask,
           std::size_t aCount = 1);
  void Clear() { smallest_.clear(); }

private:
  struct Request
  {
    jobs::Resources perTask;
    std::size_t count;
  };

  static bool IsAtLeast(const Request& aLeft, const Request& aRight);
  bool ContainsExactClass(const WorkerClass& aClass,
                          const Request& aRequest) const;

  /// The requests that are not at least as large as another one.
  std::map<WorkerClass, std::vector<Request>> smallest_;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_POOLINDEX_H
