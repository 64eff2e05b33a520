/// \file
/// Requests that wait for a slot, in the order in which they get one.

#ifndef GREENGAGE_DISPATCH_REQUESTQUEUE_H
#define GREENGAGE_DISPATCH_REQUESTQUEUE_H

#include "greengage/core/Ids.h"
#include "greengage/core/Request.h"
#include "greengage/core/Units.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>
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
};

/// An order of service.
class RequestQueue
{
public:
  /// Whether a team may have one more request running.
  using TeamFilter = std::function<bool(const TeamId&)>;

  virtual ~RequestQueue() = default;

  virtual void SetShare(const TeamId& aTeam, double aShare) = 0;
  virtual void Add(const QueueEntry& aEntry) = 0;
  /// Takes the request that is to run next in \p aPool, of a team that
  /// \p aMayRun admits.
  virtual std::optional<QueueEntry> TakeNext(const PoolId& aPool,
                                             const TeamFilter& aMayRun) = 0;
  /// Removes a request that no longer waits. False if it is not in the queue.
  virtual bool Remove(WorkId aWork) = 0;
  /// Removes and returns the requests whose deadlines have passed.
  virtual std::vector<QueueEntry> TakeExpired(Time aNow) = 0;

  virtual std::size_t Waiting(const TeamId& aTeam) const = 0;
  virtual std::size_t WaitingIn(const PoolId& aPool) const = 0;
  virtual std::vector<PoolId> Pools() const = 0;
  virtual std::optional<Time> EarliestDeadline() const = 0;
};

/// Start-time fair queueing between teams by their shares; inside a team by
/// price class, then by deadline.
class FairQueue final : public RequestQueue
{
public:
  void SetShare(const TeamId& aTeam, double aShare) override;
  void Add(const QueueEntry& aEntry) override;
  std::optional<QueueEntry> TakeNext(const PoolId& aPool,
                                     const TeamFilter& aMayRun) override;
  bool Remove(WorkId aWork) override;
  std::vector<QueueEntry> TakeExpired(Time aNow) override;
  std::size_t Waiting(const TeamId& aTeam) const override;
  std::size_t WaitingIn(const PoolId& aPool) const override;
  std::vector<PoolId> Pools() const override;
  std::optional<Time> EarliestDeadline() const override;

private:
  /// Service order inside a team.
  using OrderKey = std::tuple<PriceClass, Time, WorkId>;
  struct TeamLine
  {
    std::set<OrderKey> order;
    /// Service received, divided by the share.
    double virtualTime = 0;
  };
  struct PoolLines
  {
    std::map<TeamId, TeamLine> teams;
    /// Teams with waiting requests by virtual time.
    std::set<std::pair<double, TeamId>> byVirtualTime;
    double virtualNow = 0;
    std::size_t waiting = 0;
  };

  double ShareOf(const TeamId& aTeam) const;
  void Unlink(const QueueEntry& aEntry);

  std::map<TeamId, double> shares_;
  std::map<PoolId, PoolLines> pools_;
  std::map<WorkId, QueueEntry> entries_;
  std::map<TeamId, std::size_t> waiting_;
  std::set<std::pair<Time, WorkId>> byDeadline_;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_REQUESTQUEUE_H
