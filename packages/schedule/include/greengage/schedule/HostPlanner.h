/// \file
/// Plans host maintenance in waves, and assigns hosts to pools as demand shifts
/// between the pools. Does no I/O: its input is events and the time, its output
/// is calls to the host provider.

#ifndef GREENGAGE_SCHEDULE_HOSTPLANNER_H
#define GREENGAGE_SCHEDULE_HOSTPLANNER_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/jobs/JobStateMachine.h"
#include "greengage/schedule/BurstForecast.h"
#include "greengage/schedule/HostCalls.h"
#include "greengage/schedule/Messages.h"
#include "greengage/schedule/Outbox.h"
#include "greengage/schedule/Scheduler.h"

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
  Duration minOrderGap = Duration::Seconds(3);
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
/// host is drained first; the intent to send its order is then recorded in
/// the log, and the order is sent to the provider once the record is committed.
class HostPlanner
{
public:
  /// The references must outlive the planner.
  HostPlanner(HostPlannerOptions aOptions,
              const jobs::JobStateMachine& aStateMachine,
              Scheduler& aScheduler,
              Outbox& aOutbox,
              HostOutbox& aProvider);

  void BecomeLeader(FencingToken aFence, ClockReading aNow);
  void BecomeFollower();
  void On(const HostReply& aReply, ClockReading aNow);
  /// \param aLeaseEnd the end of the leader lease; no other host can be the
  /// leader before that.
  void Tick(Time aLeaseEnd, ClockReading aNow);
  /// To be called periodically on a follower: tracks demand and recorded
  /// order intents, so that this host can plan as soon as it becomes the
  /// leader.
  void TickAsFollower(ClockReading aNow);
  /// The capacity of all hosts that may be moved to a pool; zero if there is no
  /// provider or none of its hosts is known.
  MilliCores FleetCapacity() const;
  /// Whether the intent to send an order has been committed, so that Tick can
  /// send the order.
  bool IsOrderDue() const;

private:
  enum class DrainReason : std::uint8_t
  {
    None,
    Maintenance,
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
    Time transitionUntil;
    /// Why the host is being drained, and which order follows.
    DrainReason drainReason = DrainReason::None;
    jobs::WaveId wave;
    PoolId target;
    /// The intent to send an order for the host has been proposed, or the order
    /// has been sent, and there is no answer yet.
    bool isOrderInFlight = false;
    Time nextOrderAt;
    /// The highest registered worker number when the latest order was sent.
    jobs::WorkerNumber lastWorkerAtOrder;
    /// Workers of the host up to this number were ended by its latest completed
    /// order, except one that has answered a call since.
    jobs::WorkerNumber lastEndedWorker;
    /// When the latest order was answered as completed.
    Time orderCompletedAt;
    /// The provider has listed the host as down.
    bool isDown = false;
  };
  struct PendingCall
  {
    HostId host;
    bool isList = false;
  };
  /// The capacity of a pool's hosts and the capacity to provide, in millicores.
  struct PoolBalance
  {
    std::int64_t capacity = 0;
    std::int64_t requiredCapacity = 0;
    std::uint32_t hostCount = 0;
    /// A host is being moved to the pool or is about to register there.
    bool hasIncomingHost = false;
  };

  void Send(HostRequest aRequest, PendingCall aPending);
  void HandleListReply(const HostReply& aReply);
  void HandleOrderReply(const HostId& aId,
                        Host& aHost,
                        const HostReply& aReply);
  static bool HasOutlivedOrder(const Host& aHost,
                               const WorkerSession& aSession);
  void UpdateFromWorkers();
  void PlanWaves();
  std::vector<HostId> RemainingHosts(const jobs::Wave& aWave) const;
  std::uint32_t ActiveHostCount(const jobs::Wave& aWave) const;
  bool IsUrgent(const jobs::Wave& aWave, std::size_t aRemaining) const;
  void SortForMaintenance(std::vector<HostId>& aHosts,
                          const std::map<PoolId, PoolBalance>& aBalance) const;
  bool CanMaintain(const HostId& aId,
                   const std::map<PoolId, PoolBalance>& aBalance,
                   bool aIsUrgent) const;
  void PlanMoves();
  void AddHostsForPersistentTasks(std::map<PoolId, PoolBalance>& aBalance);
  std::int64_t RequiredProcessors(const PoolId& aPool,
                                  const PoolDemand& aDemand) const;
  void SampleDemand();
  std::map<PoolId, PoolBalance> ComputeBalance() const;
  void LogBalance(const std::map<PoolId, PoolBalance>& aBalance);
  void FillPool(const PoolId& aPool, std::map<PoolId, PoolBalance>& aBalance);
  template<typename Predicate>
  std::vector<HostId> SortedByRunCount(Predicate aPredicate) const;
  bool CanLeavePool(const HostId& aId, const Host& aHost) const;
  std::size_t SustainedSurplus(const PoolId& aPool, std::size_t aSurplus);
  void ReleaseSurplusHosts(const std::map<PoolId, PoolBalance>& aBalance);
  void BeginDrain(const HostId& aId, Host& aHost, DrainReason aReason);
  void CancelDrain(Host& aHost);
  void AdvanceDrain(const HostId& aId, Host& aHost);
  void ProposeOrderIntent(const HostId& aId, Host& aHost);
  void SendDueOrders();
  void SendOrder(const HostId& aId, Host& aHost);
  void ObserveOrders();
  bool CanOrder(const HostId& aId) const;
  bool IsSparePool(const PoolId& aPool) const;
  bool IsInTransition(const Host& aHost) const;
  std::uint32_t RunCount(const Host& aHost) const;
  bool HasPersistentRun(const Host& aHost) const;

  HostPlannerOptions options_;
  const jobs::JobStateMachine& stateMachine_;
  Scheduler& scheduler_;
  Outbox& outbox_;
  HostOutbox& provider_;
  std::optional<FencingToken> fence_;
  ClockReading now_;
  Time leaderLeaseEnd_;
  Time leadingSince_;
  Time nextList_;
  Time nextBalanceLog_;
  bool isListInFlight_ = false;
  bool hasList_ = false;
  std::map<HostId, Host> hosts_;
  /// Known hosts whose order waits for the commit of its intent: the order is
  /// sent once the job state machine counts this many order intents.
  std::map<HostId, std::uint64_t> awaitedOrderCounts_;
  /// The number of order intents recorded for a host, and when it was first
  /// seen.
  struct ObservedOrders
  {
    std::uint64_t count = 0;
    Time since;
  };
  std::map<HostId, ObservedOrders> observedOrders_;
  /// The highest total capacity of all hosts seen so far, in millicores.
  std::int64_t fleetCapacity_ = 0;
  BurstForecast forecast_;
  /// Hosts on the pages read so far of the current list.
  std::set<HostId> listedHosts_;
  /// The scheduler's current demand for each pool, in millicores.
  std::map<PoolId, std::int64_t> demand_;
  /// Pools without enough capacity for a persistent task.
  std::set<PoolId> poolsLackingRoom_;
  struct DemandSample
  {
    Time at;
    std::map<PoolId, std::int64_t> demand;
  };
  std::deque<DemandSample> demandSamples_;
  /// The number of hosts that a pool did not need at a point in time.
  struct SurplusSample
  {
    Time at;
    std::size_t hostCount = 0;
  };
  std::map<PoolId, std::deque<SurplusSample>> surplusSamples_;
  /// How much the demand of each pool has grown over the sampled window.
  std::map<PoolId, std::int64_t> demandGrowth_;
  std::unordered_map<HostCallId, PendingCall> pendingCalls_;
  std::uint64_t lastCallId_ = 0;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_HOSTPLANNER_H
