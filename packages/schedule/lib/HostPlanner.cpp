#include "greengage/schedule/HostPlanner.h"

#include "greengage/observe/Log.h"

#include <algorithm>
#include <utility>

using namespace greengage;
using namespace greengage::schedule;

/// How often the provider's list of hosts is refreshed, unless a refused order
/// requires it sooner.
static constexpr Duration kListInterval = Duration::Seconds(4);
/// Retry delay for an order or a list request that was refused or unanswered.
static constexpr Duration kRetryInterval = Duration(500);
/// How long a host that was moved or maintained may take until its worker
/// registers: the provider takes 1.5 s for a move or 2 s for maintenance, and
/// the worker about 1 s more to start.
static constexpr Duration kTransitionTimeout = Duration(5000);
/// How long after it was sent an order may still be carried out: by then the
/// call has timed out and its connection has been reset.
static constexpr Duration kMaxOrderTime = Duration(1500);
/// An order counts as this old only if the log says so by this much: the clocks
/// of leaders differ, and may be stepped by seconds.
static constexpr Duration kMinKnownOrderAge = Duration::Seconds(10);
/// Margin beyond the move time before a host can be moved again: the network
/// delay of the order and of its answer.
static constexpr Duration kMoveMargin = Duration(100);

HostPlanner::HostPlanner(HostPlannerOptions aOptions,
                         const jobs::JobStateMachine& aStateMachine,
                         Scheduler& aScheduler,
                         Outbox& aOutbox,
                         HostOutbox& aProvider)
  : options_(std::move(aOptions))
  , stateMachine_(aStateMachine)
  , scheduler_(aScheduler)
  , outbox_(aOutbox)
  , provider_(aProvider)
{
}

void
HostPlanner::BecomeLeader(FencingToken aFence, ClockReading aNow)
{
  BecomeFollower();
  fence_ = aFence;
  now_ = aNow;
  ObserveOrders();
  leadingSince_ = aNow.steady;
  nextList_ = aNow.steady;
}

void
HostPlanner::BecomeFollower()
{
  fence_.reset();
  hosts_.clear();
  awaitedOrderCounts_.clear();
  listedHosts_.clear();
  pendingCalls_.clear();
  surplusSamples_.clear();
  isListInFlight_ = false;
  hasList_ = false;
}

void
HostPlanner::Send(HostRequest aRequest, PendingCall aPending)
{
  const HostCallId id(++lastCallId_);
  pendingCalls_.emplace(id, std::move(aPending));
  provider_.Call({ .id = id,
                   .request = std::move(aRequest),
                   .leader = options_.self,
                   .fence = *fence_,
                   .sendBefore = leaderLeaseEnd_ });
}

bool
HostPlanner::IsSparePool(const PoolId& aPool) const
{
  const jobs::Configuration* configuration =
    stateMachine_.CurrentConfiguration();
  const jobs::Pool* pool =
    configuration == nullptr ? nullptr : configuration->Find(aPool);
  return pool != nullptr && pool->isSpare;
}

bool
HostPlanner::IsInTransition(const Host& aHost) const
{
  return aHost.transitionUntil > now_.steady;
}

std::uint32_t
HostPlanner::RunCount(const Host& aHost) const
{
  const WorkerSession* session =
    aHost.worker ? scheduler_.FindSession(*aHost.worker) : nullptr;
  return session == nullptr ? 0
                            : static_cast<std::uint32_t>(session->runs.size());
}

bool
HostPlanner::HasPersistentRun(const Host& aHost) const
{
  const WorkerSession* session =
    aHost.worker ? scheduler_.FindSession(*aHost.worker) : nullptr;
  return session != nullptr && (session->HasPersistentRun() ||
                                scheduler_.HasReservation(*aHost.worker));
}

void
HostPlanner::On(const HostReply& aReply, ClockReading aNow)
{
  now_ = aNow;
  const auto found = pendingCalls_.find(aReply.id);
  if (found == pendingCalls_.end())
    return;
  const PendingCall call = std::move(found->second);
  pendingCalls_.erase(found);
  if (call.isList) {
    HandleListReply(aReply);
    return;
  }
  const auto host = hosts_.find(call.host);
  if (host != hosts_.end())
    HandleOrderReply(call.host, host->second, aReply);
}

void
HostPlanner::HandleListReply(const HostReply& aReply)
{
  isListInFlight_ = false;
  if (aReply.answer != HostCallStatus::Done) {
    listedHosts_.clear();
    nextList_ = now_.steady + kRetryInterval;
    observe::Log(observe::LogLevel::Warning,
                 "host-list-missing",
                 { { "reason", aReply.detail } });
    return;
  }
  for (const ListedHost& listed : aReply.hosts) {
    listedHosts_.insert(listed.host);
    Host& host = hosts_[listed.host];
    // What a worker states is more recent than the list.
    if (!host.worker)
      host.capacity = listed.capacity;
    host.isDown = listed.state == ListedHostState::Down;
    // The order of an earlier leader may still be in progress.
    const bool hasOrderInProgress = listed.state == ListedHostState::Moving ||
                                    listed.state == ListedHostState::Maintained;
    if (hasOrderInProgress && !IsInTransition(host))
      host.transitionUntil = now_.steady + kTransitionTimeout;
    // The pool that a worker reports is more recent than the list.
    if (!host.worker && !IsInTransition(host))
      host.pool = listed.pool;
  }
  if (!aReply.nextPage.empty()) {
    isListInFlight_ = true;
    Send(ListHosts{ .page = aReply.nextPage }, { .host = {}, .isList = true });
    return;
  }
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    if (listedHosts_.count(it->first) != 0) {
      ++it;
      continue;
    }
    awaitedOrderCounts_.erase(it->first);
    it = hosts_.erase(it);
  }
  listedHosts_.clear();
  hasList_ = true;
  nextList_ = now_.steady + kListInterval;
}

static const char*
OutcomeName(HostCallStatus aAnswer)
{
  switch (aAnswer) {
    case HostCallStatus::NoAnswer:
      return "no answer";
    case HostCallStatus::Done:
      return "done";
    case HostCallStatus::Busy:
      return "host is busy";
    case HostCallStatus::Fenced:
      return "fenced";
    case HostCallStatus::NotInWave:
      return "host is not in the wave";
    case HostCallStatus::Invalid:
      return "no such host or pool";
    case HostCallStatus::Overloaded:
      return "provider is overloaded";
  }
  return "";
}

void
HostPlanner::HandleOrderReply(const HostId& aId,
                              Host& aHost,
                              const HostReply& aReply)
{
  aHost.isOrderInFlight = false;
  aHost.nextOrderAt = now_.steady + kRetryInterval;
  const bool isMaintenance = aHost.drainReason == DrainReason::Maintenance;
  observe::Log(observe::LogLevel::Info,
               "host-ordered",
               { { "host", aId.Value() },
                 { "order", isMaintenance ? "upkeep" : "move" },
                 { "pool", aHost.target.Value() },
                 { "outcome", OutcomeName(aReply.answer) } });
  switch (aReply.answer) {
    case HostCallStatus::Done:
      if (isMaintenance)
        outbox_.Propose(
          jobs::BeginMaintenance{ .wave = aHost.wave, .host = aId });
      else
        aHost.pool = aHost.target;
      aHost.drainReason = DrainReason::None;
      aHost.lastEndedWorker = aHost.lastWorkerAtOrder;
      aHost.orderCompletedAt = now_.steady;
      aHost.worker.reset();
      // No worker registers from the spare pool, so only the move is awaited.
      aHost.transitionUntil =
        now_.steady + (isMaintenance || !IsSparePool(aHost.pool)
                         ? kTransitionTimeout
                         : options_.moveTime + kMoveMargin);
      break;
    case HostCallStatus::NotInWave:
    case HostCallStatus::Invalid:
      // Maintenance of the host is impossible: count it as started, so that the
      // wave can complete.
      if (isMaintenance)
        outbox_.Propose(
          jobs::BeginMaintenance{ .wave = aHost.wave, .host = aId });
      CancelDrain(aHost);
      break;
    case HostCallStatus::Busy:
      if (!isMaintenance)
        CancelDrain(aHost);
      nextList_ = std::min(nextList_, now_.steady + kRetryInterval);
      break;
    case HostCallStatus::NoAnswer:
    case HostCallStatus::Fenced:
    case HostCallStatus::Overloaded:
      break;
  }
}

/// Updates, for each host, how many order intents are recorded and when that
/// number last changed.
void
HostPlanner::ObserveOrders()
{
  for (const auto& [id, intents] : stateMachine_.OrderIntentsByHost()) {
    ObservedOrders& seen = observedOrders_[id];
    if (seen.count == intents.count)
      continue;
    seen.count = intents.count;
    seen.since = now_.steady;
    // This host may have read the intent from its log after a restart. The log
    // then tells how much time had passed at least.
    const Duration age = stateMachine_.LatestTime() - intents.latestAt;
    if (intents.latestAt > Time(0) && age >= kMinKnownOrderAge)
      seen.since = now_.steady - age;
  }
}

/// Whether an order can be sent for the host without coming too soon after one
/// of an earlier leader.
bool
HostPlanner::CanOrder(const HostId& aId) const
{
  const auto found = observedOrders_.find(aId);
  return found == observedOrders_.end() ||
         found->second.since > leadingSince_ ||
         found->second.since + options_.minOrderGap + kMaxOrderTime <=
           now_.steady;
}

/// Whether a worker that was registered when the host's latest order was sent
/// is still up. The provider also answers that an order is completed if it
/// carried out an earlier transmission, or the order of an earlier leader,
/// which the host's current worker has followed.
bool
HostPlanner::HasOutlivedOrder(const Host& aHost, const WorkerSession& aSession)
{
  return aSession.lastAnsweredCallSentAt > aHost.orderCompletedAt;
}

/// Updates the hosts from the workers registered in the job state machine.
void
HostPlanner::UpdateFromWorkers()
{
  for (auto& [id, host] : hosts_)
    if (host.worker && stateMachine_.Workers().count(*host.worker) == 0)
      host.worker.reset();
  for (const auto& [number, record] : stateMachine_.Workers()) {
    const auto found = hosts_.find(record.host);
    const WorkerSession* session = scheduler_.FindSession(number);
    if (found == hosts_.end() || session == nullptr || session->isSuperseded)
      continue;
    Host& host = found->second;
    if (host.worker == number) {
      host.capacity = session->capacity;
      continue;
    }
    const auto current = host.worker
                           ? stateMachine_.Workers().find(*host.worker)
                           : stateMachine_.Workers().end();
    if (current != stateMachine_.Workers().end() &&
        current->second.incarnation >= record.incarnation)
      continue;
    // The worker that the host's latest order ended may still be registered.
    if (number <= host.lastEndedWorker && !HasOutlivedOrder(host, *session)) {
      // A heartbeat may have been on its way since before the order.
      if (session->lastHeartbeat > host.orderCompletedAt)
        scheduler_.Contact(number);
      continue;
    }
    scheduler_.Cordon(number, host.drainReason != DrainReason::None);
    host.worker = number;
    host.capacity = session->capacity;
    host.pool = record.pool;
    host.isDown = false;
    host.transitionUntil = now_.steady;
  }
}

void
HostPlanner::Tick(Time aLeaseEnd, ClockReading aNow)
{
  now_ = aNow;
  leaderLeaseEnd_ = aLeaseEnd;
  if (!options_.isEnabled || !fence_ || aLeaseEnd <= aNow.steady ||
      stateMachine_.CurrentConfiguration() == nullptr)
    return;
  if (!isListInFlight_ && nextList_ <= aNow.steady) {
    isListInFlight_ = true;
    Send(ListHosts{}, { .host = {}, .isList = true });
  }
  if (!hasList_)
    return;
  UpdateFromWorkers();
  SampleDemand();
  ObserveOrders();
  SendDueOrders();
  PlanWaves();
  PlanMoves();
  for (auto& [id, host] : hosts_)
    AdvanceDrain(id, host);
}

void
HostPlanner::TickAsFollower(ClockReading aNow)
{
  now_ = aNow;
  if (!options_.isEnabled || stateMachine_.CurrentConfiguration() == nullptr)
    return;
  ObserveOrders();
  SampleDemand();
}

MilliCores
HostPlanner::FleetCapacity() const
{
  return MilliCores(options_.isEnabled ? fleetCapacity_ : 0);
}

bool
HostPlanner::IsOrderDue() const
{
  return std::any_of(awaitedOrderCounts_.begin(),
                     awaitedOrderCounts_.end(),
                     [&](const auto& aItem) {
                       return stateMachine_.OrderIntentCount(aItem.first) >=
                              aItem.second;
                     });
}

void
HostPlanner::BeginDrain(const HostId& aId, Host& aHost, DrainReason aReason)
{
  aHost.drainReason = aReason;
  aHost.nextOrderAt = now_.steady;
  if (aHost.worker)
    scheduler_.Cordon(*aHost.worker, true);
  observe::Log(
    observe::LogLevel::Info,
    "host-draining",
    { { "host", aId.Value() },
      { "for", aReason == DrainReason::Maintenance ? "upkeep" : "move" },
      { "from", aHost.pool.Value() },
      { "to", aHost.target.Value() },
      { "runs", std::to_string(RunCount(aHost)) } });
}

void
HostPlanner::CancelDrain(Host& aHost)
{
  aHost.drainReason = DrainReason::None;
  if (aHost.worker)
    scheduler_.Cordon(*aHost.worker, false);
}

/// Continues the drain of a host. Once the host is empty, proposes to record
/// the intent to send its order.
void
HostPlanner::AdvanceDrain(const HostId& aId, Host& aHost)
{
  if (aHost.drainReason == DrainReason::None || aHost.isOrderInFlight ||
      aHost.nextOrderAt > now_.steady)
    return;
  if (aHost.worker) {
    scheduler_.Cordon(*aHost.worker, true);
    if (RunCount(aHost) > 0) {
      scheduler_.Evacuate(*aHost.worker);
      return;
    }
  }
  if (CanOrder(aId))
    ProposeOrderIntent(aId, aHost);
}

/// Proposes to record the intent to send an order. The order is sent only after
/// the record is committed, so that each later leader knows of it.
void
HostPlanner::ProposeOrderIntent(const HostId& aId, Host& aHost)
{
  aHost.isOrderInFlight = true;
  awaitedOrderCounts_[aId] = stateMachine_.OrderIntentCount(aId) + 1;
  outbox_.Propose(jobs::RecordOrderIntent{ .host = aId, .at = now_.wall });
}

void
HostPlanner::SendDueOrders()
{
  for (auto it = awaitedOrderCounts_.begin();
       it != awaitedOrderCounts_.end();) {
    if (stateMachine_.OrderIntentCount(it->first) < it->second) {
      ++it;
      continue;
    }
    SendOrder(it->first, hosts_.at(it->first));
    it = awaitedOrderCounts_.erase(it);
  }
}

void
HostPlanner::SendOrder(const HostId& aId, Host& aHost)
{
  if (!stateMachine_.Workers().empty())
    aHost.lastWorkerAtOrder = stateMachine_.Workers().rbegin()->first;
  HostRequest request = MoveHost{ .host = aId, .pool = aHost.target };
  if (aHost.drainReason == DrainReason::Maintenance)
    request = MaintainHost{ .host = aId, .wave = aHost.wave };
  Send(std::move(request), { .host = aId, .isList = false });
}
