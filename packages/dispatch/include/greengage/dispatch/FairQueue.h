/// \file
/// The queue that gives teams and groups their shares, urgent work its lead and
/// every request a place before its deadline.

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

/// The bounds of the order of service.
struct FairQueueOptions
{
  ShareOptions shares = {};
  /// Patient work yields no more when so much time is left besides its run.
  Duration promotionMargin = Duration::Seconds(2);
};

/// How soon a request is served inside its team. It changes as its deadline
/// comes nearer.
enum class ServiceLevel : std::uint8_t
{
  Urgent,
  Standard,
  Patient,
  /// It will more likely than not be late, and runs if a slot is left over.
  Doubtful,
};

/// Weighted fair queueing over the tree of teams; inside a team by price class,
/// then by deadline. Each operation costs a time logarithmic in the numbers of
/// teams and requests, however many teams may not run any.
class FairQueue final : public RequestQueue
{
public:
  explicit FairQueue(FairQueueOptions aOptions = {});

  void SetShare(const std::string& aPath, double aShare) override;
  void Add(const QueueEntry& aEntry, Time aNow) override;
  std::optional<QueueEntry> TakeNext(const PoolId& aPool,
                                     const TeamFilter& aMayRun,
                                     Time aNow) override;
  void NoteRoom(const TeamId& aTeam, Time aNow) override;
  std::vector<TeamId> Refused() const override;
  void NoteRun(const QueueEntry& aEntry, Duration aRan, Time aNow) override;
  bool Remove(WorkId aWork, Time aNow) override;
  std::vector<QueueEntry> TakeExpired(Time aNow) override;
  std::size_t Ahead(const QueueEntry& aEntry) const override;
  std::size_t Waiting(const TeamId& aTeam) const override;
  std::size_t WaitingIn(const PoolId& aPool) const override;
  std::vector<PoolId> Pools() const override;

private:
  /// Service order inside a team.
  using OrderKey = std::tuple<ServiceLevel, Time, WorkId>;
  struct TeamLine
  {
    std::set<OrderKey> order;
    /// Requests by class and by second of the deadline.
    std::map<std::pair<ServiceLevel, std::int64_t>, std::size_t> counts;

    void Insert(const OrderKey& aKey);
    void Erase(const OrderKey& aKey);
  };
  struct PoolLines
  {
    explicit PoolLines(ShareOptions aOptions)
      : tree(aOptions)
    {
    }
    ShareTree tree;
    std::map<TeamId, TeamLine> teams;
    std::size_t waiting = 0;
  };
  struct Waiter
  {
    QueueEntry entry;
    ServiceLevel level = ServiceLevel::Standard;
  };

  PoolLines& LinesOf(const PoolId& aPool);
  Time PromotionOf(const QueueEntry& aEntry) const;
  ServiceLevel LevelOf(const QueueEntry& aEntry, Time aNow) const;
  Time NextChange(const Waiter& aWaiter) const;
  void ChangeLevels(Time aNow);
  void Refresh(PoolLines& aPool, const TeamId& aTeam, Time aNow);
  QueueEntry Unlink(WorkId aWork, Time aNow);

  FairQueueOptions options_;
  std::map<std::string, double> shares_;
  std::map<PoolId, PoolLines> pools_;
  std::map<WorkId, Waiter> waiters_;
  std::map<TeamId, std::size_t> waiting_;
  std::set<TeamId> refused_;
  std::set<std::pair<Time, WorkId>> byLatestStart_;
  std::set<std::pair<Time, WorkId>> byNextChange_;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_FAIRQUEUE_H
