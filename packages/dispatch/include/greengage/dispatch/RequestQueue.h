/// \file
/// The interface of a queue of requests that wait for a slot.

#ifndef GREENGAGE_DISPATCH_REQUESTQUEUE_H
#define GREENGAGE_DISPATCH_REQUESTQUEUE_H

#include "greengage/core/Ids.h"
#include "greengage/core/Request.h"
#include "greengage/core/Units.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace greengage::dispatch {

/// The properties of a request that determine its order of service.
struct QueueEntry
{
  WorkId work;
  TeamId team;
  PoolId pool;
  PriceClass priceClass = PriceClass::Standard;
  Time deadline;
  Duration expectedRunTime = Duration(100);
  /// Minimum run time; the request expires when no more time than this is left
  /// before its deadline.
  Duration minRunTime = Duration(0);
};

/// A queue with a policy for the order of service.
class RequestQueue
{
public:
  /// Whether the team may run one more request.
  using TeamFilter = std::function<bool(const TeamId&)>;

  virtual ~RequestQueue() = default;

  /// Sets the weight of a team or, if the path ends in "/", of a group.
  virtual void SetShare(const std::string& aPath, double aShare) = 0;
  virtual void Add(const QueueEntry& aEntry, Time aNow) = 0;
  /// Removes and returns the next request to run in \p aPool among the teams
  /// that \p aMayRun accepts. A team that \p aMayRun rejects is blocked until
  /// UnblockTeam.
  virtual std::optional<QueueEntry> TakeNext(const PoolId& aPool,
                                             const TeamFilter& aMayRun,
                                             Time aNow) = 0;
  /// Makes a blocked team eligible again.
  virtual void UnblockTeam(const TeamId& aTeam, Time aNow) = 0;
  /// The teams that TakeNext has blocked and that are not unblocked yet.
  virtual std::vector<TeamId> BlockedTeams() const = 0;
  /// Replaces the charge for the expected run time by one for the actual run
  /// time \p aRan.
  virtual void AdjustCharge(const QueueEntry& aEntry,
                            Duration aRan,
                            Time aNow) = 0;
  /// Removes a request. \returns false if it is not in the queue.
  virtual bool Remove(WorkId aWork, Time aNow) = 0;
  /// Removes and returns the requests that can no longer meet their deadlines.
  virtual std::vector<QueueEntry> TakeExpired(Time aNow) = 0;

  /// Estimates how many queued requests of the team would be started before
  /// \p aEntry. Requests with nearly the same deadline may be miscounted.
  virtual std::size_t CountAhead(const QueueEntry& aEntry) const = 0;
  virtual std::size_t WaitingOfTeam(const TeamId& aTeam) const = 0;
  virtual std::size_t WaitingInPool(const PoolId& aPool) const = 0;
  /// The pools with queued requests.
  virtual std::vector<PoolId> Pools() const = 0;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_REQUESTQUEUE_H
