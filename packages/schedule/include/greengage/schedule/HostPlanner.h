/// \file
/// Plans host maintenance in waves, and assigns hosts to pools as demand shifts
/// between the pools. Does no I/O: its input is events and the time, its output
/// is calls to the host provider.

#ifndef GREENGAGE_SCHEDULE_HOSTPLANNER_H
#define GREENGAGE_SCHEDULE_HOSTPLANNER_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/jobs/JobBook.h"
#include "greengage/schedule/HostCalls.h"
#include "greengage/schedule/Messages.h"
#include "greengage/schedule/Outbox.h"
#include "greengage/schedule/Scheduler.h"
#include "greengage/schedule/TurnForecast.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace greengage::schedule {

/// Settings of the deployment.
struct HostPlannerOptions
{
  /// Whether a host provider is configured.
  bool isEnabled = false;
  EntryHostId self;
  /// The minimum time between orders of different leaders for one host.
  Duration settle = Duration::Seconds(3);
  /// How long the provider takes to move a host to another pool.
  Duration moveTime = Duration(1500);
};

/// Receives the planner's calls to the provider.
class HostOutbox
{
public:
  virtual ~HostOutbox() = default;
  virtual void Call(HostCall aCall) = 0;
};

/// Drains, moves and maintains hosts while this control host is the leader. A
/// host is drained before each order, and the order is committed to the log
/// before it is sent.
class HostPlanner
{
public:
  /// The references must outlive the planner.
  HostPlanner(HostPlannerOptions aOptions,
              const jobs::JobBook& aBook,
              Scheduler& aScheduler,
              Outbox& aOutbox,
              HostOutbox& aProvider);

  void Lead(Fence aFence, Moment aNow);
  void Follow();
  void On(const HostReply& aReply, Moment aNow);
  /// \param aLeaseEnd the end of the leader lease; no other host can be the
  /// leader before that.
  void Tick(Time aLeaseEnd, Moment aNow);
  /// To be called periodically on a follower: tracks demand and announced
  /// orders, so that this host can plan as soon as it becomes the leader.
  void Watch(Moment aNow);
  /// Whether the announcement of an order has been committed, so that Tick can
  /// send the order.
  bool IsOrderDue() const;

private:
  enum class Purpose : std::uint8_t
  {
    None,
    Upkeep,
    Move,
  };
  struct Host
  {
    PoolId pool;
    jobs::Resources capacity;
    /// The host's latest registered worker.
    std::optional<jobs::WorkerNumber> worker;
    /// The host is being moved or maintained, and its worker is expected to
    /// register again before this time.
    Time awayUntil;
    /// Why the host is being drained, and which order follows.
    Purpose purpose = Purpose::None;
    jobs::WaveId wave;
    PoolId target;
    /// An order for the host has been announced or sent, and not answered.
    bool isOrderInFlight = false;
    /// Set while the announcement of an order is not committed: how many orders
    /// of the host the job book must count before the order is sent.
    std::optional<std::uint64_t> awaitedOrders;
    Time nextOrder;
    /// The highest registered worker number when the latest order was sent.
    jobs::WorkerNumber orderedAfter;
    /// Workers of the host up to this number were ended by its latest completed
    /// order.
    jobs::WorkerNumber endedWorkers;
    /// The provider has listed the host as down.
    bool isDown = false;
  };
  struct PendingCall
  {
    HostId host;
    bool isList = false;
  };
  /// Capacity and demand of a pool, in millicores.
  struct PoolBalance
  {
    std::int64_t has = 0;
    std::int64_t needs = 0;
    std::uint32_t hosts = 0;
    /// A host is being moved to the pool or is about to register there.
    bool hasHostComing = false;
  };

  void Send(HostRequest aRequest, PendingCall aPending);
  void TakeList(const HostReply& aReply);
  void TakeOrderReply(const HostId& aId, Host& aHost, const HostReply& aReply);
  void SeeWorkers();
  void PlanWaves();
  std::vector<HostId> HostsLeft(const jobs::Wave& aWave) const;
  std::uint32_t HostsTaken(const jobs::Wave& aWave) const;
  bool IsUrgent(const jobs::Wave& aWave, std::size_t aRemaining) const;
  void SortForUpkeep(std::vector<HostId>& aHosts,
                     const std::map<PoolId, PoolBalance>& aBalance) const;
  bool MayMaintain(const HostId& aId,
                   const std::map<PoolId, PoolBalance>& aBalance,
                   bool aIsUrgent) const;
  void PlanMoves();
  std::int64_t ProcessorsFor(const PoolId& aPool,
                             const PoolDemand& aDemand) const;
  void WatchDemand();
  std::map<PoolId, PoolBalance> Balance() const;
  void LogBalance(const std::map<PoolId, PoolBalance>& aBalance);
  void FillPool(const PoolId& aPool, std::map<PoolId, PoolBalance>& aBalance);
  template<typename Predicate>
  std::vector<HostId> EmptiestFirst(Predicate aPredicate) const;
  bool MayLeave(const HostId& aId, const Host& aHost) const;
  std::size_t LastingSurplus(const PoolId& aPool, std::size_t aSurplus);
  void EmptyPools(const std::map<PoolId, PoolBalance>& aBalance);
  void Begin(const HostId& aId, Host& aHost, Purpose aReason);
  void Abandon(Host& aHost);
  void Advance(const HostId& aId, Host& aHost);
  void Announce(const HostId& aId, Host& aHost);
  void GiveAnnounced();
  void Order(const HostId& aId, Host& aHost);
  void WatchOrders();
  bool MayOrder(const HostId& aId) const;
  std::uint64_t AnnouncedFor(const HostId& aId) const;
  bool IsSpare(const PoolId& aPool) const;
  bool IsAway(const Host& aHost) const;
  std::uint32_t RunsOn(const Host& aHost) const;
  bool HasPersistentRun(const Host& aHost) const;

  HostPlannerOptions options_;
  const jobs::JobBook& book_;
  Scheduler& scheduler_;
  Outbox& outbox_;
  HostOutbox& provider_;
  std::optional<Fence> fence_;
  Moment now_;
  Time leadingSince_;
  Time nextList_;
  Time nextBalanceLog_;
  bool isListInFlight_ = false;
  bool hasList_ = false;
  std::map<HostId, Host> hosts_;
  /// The number of orders announced for a host, and when it was first seen.
  struct SeenOrders
  {
    std::uint64_t count = 0;
    Time since;
  };
  std::map<HostId, SeenOrders> seenOrders_;
  /// The highest total capacity of all hosts seen so far, in millicores.
  std::int64_t fleetSize_ = 0;
  TurnForecast forecast_;
  /// Hosts on the pages read so far of the current list.
  std::set<HostId> listed_;
  /// The scheduler's current demand for each pool, in millicores.
  std::map<PoolId, std::int64_t> demand_;
  /// Pools without enough room for a persistent task.
  std::set<PoolId> lackingRoom_;
  struct Sample
  {
    Time at;
    std::map<PoolId, std::int64_t> demand;
  };
  std::deque<Sample> recent_;
  /// The number of hosts that a pool did not need at a point in time.
  struct Surplus
  {
    Time at;
    std::size_t hosts = 0;
  };
  std::map<PoolId, std::deque<Surplus>> surplus_;
  /// How much the demand of each pool has grown over the sampled window.
  std::map<PoolId, std::int64_t> growth_;
  std::unordered_map<HostCallId, PendingCall> calls_;
  std::uint64_t lastCall_ = 0;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_HOSTPLANNER_H
