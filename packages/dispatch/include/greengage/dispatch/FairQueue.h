/// \file
/// A request queue with hierarchical weighted fair sharing between teams and
/// earliest-deadline-first order within a team.

#ifndef GREENGAGE_DISPATCH_FAIRQUEUE_H
#define GREENGAGE_DISPATCH_FAIRQUEUE_H

#include "greengage/core/Ids.h"
#include "greengage/core/Request.h"
#include "greengage/core/Units.h"
#include "greengage/dispatch/RequestQueue.h"
#include "greengage/dispatch/ShareTree.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace greengage::dispatch {

/// Parameters of the service order.
struct FairQueueOptions
{
  ShareOptions shares = {};
  /// A patient request is served as a standard one once the time to its
  /// deadline, less its expected run time, has shrunk to this margin.
  Duration promotionMargin = Duration::Seconds(2);
};

/// Priority of a request within its team. It changes as the deadline
/// approaches.
enum class ServiceLevel : std::uint8_t
{
  Urgent,
  Standard,
  Patient,
  /// Likely to miss its deadline: served after the team's other requests, and
  /// as patient work in the competition with other teams.
  LikelyLate,
};

/// Hierarchical weighted fair queueing over the tree of teams; within a team by
/// service level, then earliest deadline first. Adding, taking and removing a
/// request takes amortized logarithmic time in the number of teams and
/// requests, however many teams are blocked.
class FairQueue final : public RequestQueue
{
public:
  explicit FairQueue(FairQueueOptions aOptions = {});

  void SetShare(const std::string& aPath, double aShare) override;
  void Add(const QueueEntry& aEntry, Time aNow) override;
  std::optional<QueueEntry> TakeNext(const PoolId& aPool,
                                     const TeamFilter& aMayRun,
                                     Time aNow) override;
  void UnblockTeam(const TeamId& aTeam, Time aNow) override;
  std::vector<TeamId> BlockedTeams() const override;
  void AdjustCharge(const QueueEntry& aEntry,
                    Duration aRan,
                    Time aNow) override;
  bool Remove(WorkId aWork, Time aNow) override;
  std::vector<QueueEntry> TakeExpired(Time aNow) override;
  std::size_t CountAhead(const QueueEntry& aEntry) const override;
  std::size_t WaitingOfTeam(const TeamId& aTeam) const override;
  std::size_t WaitingInPool(const PoolId& aPool) const override;
  std::vector<PoolId> Pools() const override;

private:
  /// Service order within a team.
  using OrderKey = std::tuple<ServiceLevel, Time, WorkId>;
  struct TeamQueue
  {
    std::set<OrderKey> order;
    /// Number of requests by service level and second of the deadline, from
    /// which CountAhead estimates a position.
    std::map<std::pair<ServiceLevel, std::int64_t>, std::size_t> deadlineCounts;

    void Insert(const OrderKey& aKey);
    void Erase(const OrderKey& aKey);
  };
  struct PoolQueue
  {
    explicit PoolQueue(ShareOptions aOptions)
      : tree(aOptions)
    {
    }
    ShareTree tree;
    std::map<TeamId, TeamQueue> teams;
    std::size_t queued = 0;
  };
  struct QueuedRequest
  {
    QueueEntry entry;
    ServiceLevel level = ServiceLevel::Standard;
  };

  PoolQueue& FindOrCreatePool(const PoolId& aPool);
  Time PromotionTime(const QueueEntry& aEntry) const;
  ServiceLevel LevelAt(const QueueEntry& aEntry, Time aNow) const;
  Time NextLevelChange(const QueuedRequest& aRequest) const;
  void UpdateServiceLevels(Time aNow);
  void UpdateTree(PoolQueue& aPool, const TeamId& aTeam, Time aNow);
  QueueEntry Dequeue(WorkId aWork, Time aNow);

  FairQueueOptions options_;
  std::map<std::string, double> shares_;
  std::map<PoolId, PoolQueue> pools_;
  std::map<WorkId, QueuedRequest> queued_;
  std::map<TeamId, std::size_t> waitingByTeam_;
  std::set<TeamId> blockedTeams_;
  std::set<std::pair<Time, WorkId>> byLatestStart_;
  std::set<std::pair<Time, WorkId>> byNextLevelChange_;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_FAIRQUEUE_H
