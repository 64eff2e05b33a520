/// \file
/// The leader's decisions about hosts: waves of upkeep, and which pool each
/// host is in as demand moves between the pools. Events and a time go in, calls
/// to the provider come out.

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

/// Bounds that the deployment sets.
struct HostPlannerOptions
{
  /// Whether there is a provider to call.
  bool isEnabled = false;
  EntryHostId self;
  /// How long two holders of the orders must be apart.
  Duration settle = Duration::Seconds(3);
  /// How long a host takes from one pool to another.
  Duration moveTime = Duration(1500);
};

/// Takes the planner's calls.
class HostOutbox
{
public:
  virtual ~HostOutbox() = default;
  virtual void Call(HostCall aCall) = 0;
};

/// Decides about hosts while this host leads.
class HostPlanner
{
public:
  /// The references must outlive the planner.
  HostPlanner(HostPlannerOptions aOptions,
              const jobs::JobBook& aBook,
              Scheduler& aScheduler,
              Outbox& aOutbox,
              HostOutbox& aHosts);

  void Lead(Fence aFence, Moment aNow);
  void Follow();
  void On(const HostReply& aReply, Moment aNow);
  /// \p aLeaseEnd is until when no other host can lead.
  void Tick(Time aLeaseEnd, Moment aNow);
  /// To be called from time to time while another host leads: demand and orders
  /// are watched, so that this host can go on.
  void Watch(Moment aNow);
  /// Whether Tick has an order to give that has just been announced.
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
    /// Its latest worker, if one is registered.
    std::optional<jobs::WorkerNumber> worker;
    /// An order was carried out, and its worker is expected until then.
    Time awayUntil;
    /// What the host drains for, or is ordered to do.
    Purpose purpose = Purpose::None;
    jobs::WaveId wave;
    PoolId target;
    /// An order for it is announced or given, and not answered.
    bool isOrderInFlight = false;
    /// How many orders the book must show before the announced one is given.
    std::optional<std::uint64_t> awaitedOrders;
    Time nextOrder;
    /// The latest worker in the registry when the latest order was given.
    jobs::WorkerNumber orderedAfter;
    /// Workers up to this number ended with the latest order that was done.
    jobs::WorkerNumber endedWorkers;
    /// The provider has said that it is not up.
    bool isDown = false;
  };
  struct PendingCall
  {
    HostId host;
    bool isList = false;
  };
  /// What a pool has and needs, in thousandths of a core.
  struct PoolBalance
  {
    std::int64_t has = 0;
    std::int64_t needs = 0;
    std::uint32_t hosts = 0;
    /// A host is on its way to it.
    bool hasHostComing = false;
  };

  void Send(HostRequest aRequest, PendingCall aPending);
  void TakeList(const HostReply& aReply);
  void TakeOrderReply(const HostId& aId, Host& aHost, const HostReply& aReply);
  void SeeWorkers();
  void PlanWaves();
  std::vector<HostId> HostsLeft(const jobs::Wave& aWave) const;
  std::uint32_t HostsTaken(const jobs::Wave& aWave) const;
  bool IsUrgent(const jobs::Wave& aWave, std::size_t aLeft) const;
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
  std::vector<HostId> EmptiestFirst(Predicate aIsWanted) const;
  bool MayLeave(const HostId& aId, const Host& aHost) const;
  std::size_t LastingSurplus(const PoolId& aPool, std::size_t aSurplus);
  void EmptyPools(const std::map<PoolId, PoolBalance>& aBalance);
  void Begin(const HostId& aId, Host& aHost, Purpose aPurpose);
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
  /// What the book showed last, and since when.
  struct SeenOrders
  {
    std::uint64_t count = 0;
    Time since;
  };
  std::map<HostId, SeenOrders> seenOrders_;
  /// What all hosts together have, in thousandths of a core.
  std::int64_t fleetSize_ = 0;
  TurnForecast forecast_;
  /// Hosts named by pages of the list that is being read.
  std::set<HostId> listed_;
  /// Of each working pool, as the scheduler sees it now.
  std::map<PoolId, std::int64_t> demand_;
  /// Pools where a persistent task finds no room.
  std::set<PoolId> lackingRoom_;
  struct Sample
  {
    Time at;
    std::map<PoolId, std::int64_t> demand;
  };
  std::deque<Sample> recent_;
  /// Hosts that a pool could have done without.
  struct Surplus
  {
    Time at;
    std::size_t hosts = 0;
  };
  std::map<PoolId, std::deque<Surplus>> surplus_;
  /// By how much the demand of each pool has grown lately.
  std::map<PoolId, std::int64_t> growth_;
  std::unordered_map<HostCallId, PendingCall> calls_;
  std::uint64_t lastCall_ = 0;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_HOSTPLANNER_H
