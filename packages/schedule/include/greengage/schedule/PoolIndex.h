/// \file
/// The workers of each pool in the order of their free processors, and which
/// resource requests found no worker, so that placing a task examines only
/// workers that may take it.

#ifndef GREENGAGE_SCHEDULE_POOLINDEX_H
#define GREENGAGE_SCHEDULE_POOLINDEX_H

#include "greengage/core/Ids.h"
#include "greengage/jobs/Job.h"
#include "greengage/schedule/WorkerSession.h"

#include <compare>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace greengage::schedule {

/// Worker sessions in ascending order of their free processors, and of their
/// numbers where these are equal.
class FreeOrder
{
public:
  using Entry = std::pair<MilliCores, jobs::WorkerNumber>;
  using Sessions = std::map<Entry, WorkerSession*>;

  void Insert(const Entry& aEntry, WorkerSession& aSession);
  void Erase(const Entry& aEntry) { sessions_.erase(aEntry); }
  const Sessions& All() const { return sessions_; }
  /// The first session with at least \p aProcessors free.
  Sessions::const_iterator From(MilliCores aProcessors) const;

private:
  Sessions sessions_;
};

/// The current worker sessions of each pool. Superseded sessions don't belong
/// here. The index refers to sessions but doesn't own them.
class PoolIndex
{
public:
  /// Adds the session, or moves it if it is in another pool or rack.
  void Put(const PoolId& aPool, const RackId& aRack, WorkerSession& aSession);
  /// To be called whenever the session's capacity or its used resources have
  /// changed.
  void Update(WorkerSession& aSession);
  void Remove(const WorkerSession& aSession);
  void Clear();
  /// The sessions of a pool.
  const FreeOrder& WorkersOf(const PoolId& aPool) const;
  /// The sessions of a pool on one rack.
  const FreeOrder& WorkersOf(const PoolId& aPool, const RackId& aRack) const;

private:
  struct Place
  {
    PoolId pool;
    RackId rack;
    FreeOrder::Entry entry;
  };

  void Insert(const Place& aPlace, WorkerSession& aSession);
  void Erase(const Place& aPlace);

  std::map<PoolId, FreeOrder> pools_;
  std::map<std::pair<PoolId, RackId>, FreeOrder> racks_;
  std::map<jobs::WorkerNumber, Place> places_;
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
