/// \file
/// Requests that wait for a slot, in the order in which they get one.

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

/// What the queue needs to know of a waiting request.
struct QueueEntry
{
  WorkId work;
  TeamId team;
  PoolId pool;
  PriceClass priceClass = PriceClass::Standard;
  Time deadline;
  /// How long it is likely to run.
  Duration runTime = Duration(100);
  /// How long it runs at least; with less time left it is given up.
  Duration leastRun = Duration(0);
};

/// An order of service.
class RequestQueue
{
public:
  /// Whether a team may have one more request running.
  using TeamFilter = std::function<bool(const TeamId&)>;

  virtual ~RequestQueue() = default;

  /// Sets the weight of a team, or of a group by its path with a "/" behind.
  virtual void SetShare(const std::string& aPath, double aShare) = 0;
  virtual void Add(const QueueEntry& aEntry, Time aNow) = 0;
  /// Takes the request that is to run next in \p aPool, of a team that
  /// \p aMayRun admits. A team that it refuses is not asked for again before
  /// NoteRoom.
  virtual std::optional<QueueEntry> TakeNext(const PoolId& aPool,
                                             const TeamFilter& aMayRun,
                                             Time aNow) = 0;
  /// Says that a team that was refused may run requests again.
  virtual void NoteRoom(const TeamId& aTeam, Time aNow) = 0;
  /// The teams that were refused since their last NoteRoom.
  virtual std::vector<TeamId> Refused() const = 0;
  /// Takes into account how long a request has run.
  virtual void NoteRun(const QueueEntry& aEntry, Duration aRan, Time aNow) = 0;
  /// Removes a request that no longer waits. False if it is not in the queue.
  virtual bool Remove(WorkId aWork, Time aNow) = 0;
  /// Removes and returns the requests that can't be in time any more.
  virtual std::vector<QueueEntry> TakeExpired(Time aNow) = 0;

  /// The waiting requests of a team that would be started before \p aEntry,
  /// give or take those with nearly its deadline.
  virtual std::size_t Ahead(const QueueEntry& aEntry) const = 0;
  virtual std::size_t Waiting(const TeamId& aTeam) const = 0;
  virtual std::size_t WaitingIn(const PoolId& aPool) const = 0;
  virtual std::vector<PoolId> Pools() const = 0;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_REQUESTQUEUE_H
