#include "SimulatedFleet.h"

#include "greengage/observe/Log.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

using namespace greengage;
using namespace greengage::schedule;

static constexpr Duration kTickInterval(5);
static constexpr Duration kNetworkLatency(1);
static constexpr Duration kHeartbeatInterval(1500);
static constexpr Duration kHostMoveTime(1500);
/// How long the leader waits for the provider's answer.
static constexpr Duration kHostCallTimeout(1500);
static constexpr Duration kHostMaintenanceTime(2000);
/// Minimum time between orders of different leaders for the same host.
static constexpr Duration kMinOrderInterval(3000);
/// How long a run waits for the other members of its gang.
static constexpr Duration kGangStartTimeout(3000);
/// How long a run takes to fail on one of SimulatedFleet::failingWorkers.
static constexpr Duration kFailingWorkerDelay(60);
/// The factor by which runs take longer on a slow worker.
static constexpr std::int64_t kSlowWorkerFactor = 50;
/// Maximum delay of a call that FaultProbabilities::late delays.
static constexpr Duration kMaxCallDelay(12000);
/// How long after a worker's capacity has shrunk a start may still rely on the
/// larger one: the time in which the heartbeat that states the smaller one
/// becomes known.
static constexpr Duration kShrinkNotice = Duration(3000) + kHeartbeatInterval;
static constexpr std::size_t kMaxViolations = 5;
/// A task that crashes its workers may be started this many times more after
/// this many crashes.
static constexpr std::uint32_t kMaxToleratedCrashes = 3;
static constexpr std::uint32_t kMaxStartsAfterCrashes = 2;
static constexpr Duration kFarFuture = Duration::Seconds(1000000);
/// Runs of a cancelled job must have ended this long after the cancellation or
/// the last effect of a fault, whichever is later.
static constexpr Duration kMaxCancelDelay(3900);
/// A persistent task must be running again this long after its last run if,
/// throughout the end of that time, there is enough capacity.
static constexpr Duration kMaxRestartTime(6000);
static constexpr Duration kStartableTime(3000);
/// Time after a fault of leaders or of the whole network in which tasks may
/// wait.
static constexpr Duration kRecoveryTime(7000);
/// A worker counts as available once it has been reachable for this long, which
/// covers a heartbeat interval.
static constexpr Duration kContactTime(2000);
/// How long after it was sent a call without an answer may be executed, with a
/// margin for slow clocks.
static constexpr Duration kMaxExecutionDelay(15500);

/// A control host that schedules as the leader of one term.
struct SimulatedFleet::Leader final : ControllerSink
{
  Leader(SimulatedFleet& aFleet, std::uint64_t aTerm)
    : fleet(aFleet)
    , term(aTerm)
    , controller(SchedulerOptions{ .maxLease = aFleet.maxLease_ },
                 HostPlannerOptions{ .isEnabled = aFleet.hasProvider_,
                                     .self = EntryHostId("leader"),
                                     .minOrderGap = kMinOrderInterval },
                 aFleet.reader,
                 *this)
  {
  }

  bool Propose(BatchId aBatch,
               FencingToken /*aFence*/,
               const std::string& aEntry) override
  {
    fleet.Propose(term, aBatch, aEntry);
    return true;
  }
  void Call(WorkerCall&& aCall) override { fleet.Call(term, std::move(aCall)); }
  void Call(HostCall&& aCall) override { fleet.Call(term, std::move(aCall)); }
  void Call(AdviceCall&& aCall) override { fleet.Call(term, std::move(aCall)); }
  void Answer(CallerId aCaller, Reply&& aReply) override
  {
    fleet.Answer(term, aCaller, std::move(aReply));
  }

  struct Message
  {
    Time handledAt;
    std::function<void(Leader&)> handle;
  };

  SimulatedFleet& fleet;
  const std::uint64_t term;
  Controller controller;
  /// The end of the leader lease.
  Time leaseEnd = Time(0) + kFarFuture;
  /// When a replaced leader handles the notice of it.
  Time noticeAt;
  Duration handlingLag;
  Time pausedUntil;
  std::deque<Message> messages;
};

std::optional<jobs::Configuration>
SimulatedConfigurationReader::Read(std::string_view aText,
                                   Error& /*aReason*/) const
{
  const auto known = configurations.find(aText);
  if (known != configurations.end())
    return known->second;
  const bool hasQueues = aText != kNoQueues;
  jobs::Configuration configuration;
  configuration.version = jobs::ConfigurationVersion(hasQueues ? 1 : 2);
  configuration.pools = { { .id = PoolId("lines") },
                          { .id = PoolId("spare"), .isSpare = true } };
  if (hasQueues)
    configuration.queues = { { .id = jobs::QueueId("plan"),
                               .hostName = "h",
                               .pathPrefix = "/p/",
                               .pool = PoolId("lines"),
                               .maxAttempts = maxAttempts,
                               .stretch = 1.6,
                               .objective = objective,
                               .timeout = Duration(3000),
                               .advice = advice } };
  configuration.teams = {
    { .id = TeamId("caxias"), .keys = { "key" }, .quota = quota }
  };
  return configuration;
}

SimulatedFleet::SimulatedFleet(std::uint64_t aSeed,
                               bool aHasProvider,
                               Duration aMaxLease)
  : random(aSeed)
  , hasProvider_(aHasProvider)
  , maxLease_(aMaxLease)
{
  observe::ConfigureLog({ .path = {}, .level = observe::LogLevel::Error });
  StartLeader();
  Send(ConfigurationPut{ .version = jobs::ConfigurationVersion(1),
                         .text = "configuration" });
}

SimulatedFleet::~SimulatedFleet() = default;

ClockReading
SimulatedFleet::Now() const
{
  return { .steady = now_, .wall = now_ };
}

void
SimulatedFleet::ScheduleEvent(Duration aDelay, std::function<void()> aEvent)
{
  events_.emplace(now_ + aDelay, std::move(aEvent));
}

/// \returns the leader of the next term, which has applied the whole log.
std::unique_ptr<SimulatedFleet::Leader>
SimulatedFleet::MakeLeader()
{
  auto leader = std::make_unique<Leader>(*this, ++leaderTerm_);
  Error reason;
  if (!snapshot_.empty() && !leader->controller.Restore(snapshot_, reason))
    ReportViolation("the snapshot can't be read: " + Describe(reason));
  for (const std::string& entry : log_)
    leader->controller.Apply(entry, leader->leaseEnd, Now());
  return leader;
}

void
SimulatedFleet::StartLeader()
{
  RecordGeneralFault();
  leader_ = MakeLeader();
  leader_->controller.BecomeLeader(FencingToken(leaderTerm_), Now());
}

void
SimulatedFleet::RestartControlHosts()
{
  deposedLeaders_.clear();
  snapshot_ = MakeLeader()->controller.Snapshot();
  log_.clear();
  StartLeader();
}

void
SimulatedFleet::ChangeLeader(Duration aNoticeDelay)
{
  ExtendFaultPeriod(aNoticeDelay);
  if (aNoticeDelay > Duration(0)) {
    leader_->leaseEnd = now_;
    leader_->noticeAt = now_ + aNoticeDelay;
    deposedLeaders_.push_back(std::move(leader_));
  }
  StartLeader();
}

void
SimulatedFleet::RestartLeadership()
{
  RecordGeneralFault();
  leader_->controller.BecomeFollower();
  leader_->controller.BecomeLeader(FencingToken(leaderTerm_), Now());
}

void
SimulatedFleet::SetHandlingLag(Duration aLag)
{
  leader_->handlingLag = aLag;
}

void
SimulatedFleet::PauseLeader(Duration aSpan)
{
  leader_->pausedUntil = now_ + aSpan;
}

std::size_t
SimulatedFleet::RegisteredWorkers() const
{
  return leader_->controller.StateMachine().Workers().size();
}

Attempt
SimulatedFleet::LatestAttempt(const TaskId& aTask) const
{
  return leader_->controller.StateMachine().Find(aTask)->attempt;
}

SimulatedFleet::Leader*
SimulatedFleet::FindLeader(std::uint64_t aTerm)
{
  if (leader_ && leader_->term == aTerm)
    return leader_.get();
  for (const auto& leader : deposedLeaders_)
    if (leader->term == aTerm)
      return leader.get();
  return nullptr;
}

void
SimulatedFleet::Deliver(std::uint64_t aTerm,
                        std::function<void(Leader&)> aHandle)
{
  Leader* leader = FindLeader(aTerm);
  if (leader == nullptr)
    return;
  if (leader->handlingLag == Duration(0) && leader->pausedUntil <= now_ &&
      leader->messages.empty()) {
    aHandle(*leader);
    return;
  }
  const Time last =
    leader->messages.empty() ? Time(0) : leader->messages.back().handledAt;
  leader->messages.push_back(
    { .handledAt =
        std::max({ last, now_ + leader->handlingLag, leader->pausedUntil }),
      .handle = std::move(aHandle) });
}

void
SimulatedFleet::TickLeaders()
{
  deposedLeaders_.erase(std::remove_if(deposedLeaders_.begin(),
                                       deposedLeaders_.end(),
                                       [&](const auto& aLeader) {
                                         return aLeader->noticeAt <= now_;
                                       }),
                        deposedLeaders_.end());
  const auto tick = [&](Leader& aLeader) {
    if (aLeader.pausedUntil > now_)
      return;
    while (!aLeader.messages.empty() &&
           aLeader.messages.front().handledAt <= now_) {
      const auto message = std::move(aLeader.messages.front());
      aLeader.messages.pop_front();
      message.handle(aLeader);
    }
    aLeader.controller.Tick(aLeader.leaseEnd, Now());
  };
  for (const auto& leader : deposedLeaders_)
    tick(*leader);
  tick(*leader_);
}

const DispatchWork&
SimulatedFleet::Work() const
{
  return leader_->controller.GetScheduler().Work();
}

std::size_t
SimulatedFleet::IdlePersistentTaskCount() const
{
  return leader_->controller.GetScheduler().IdlePersistentTaskCount();
}

/// Records that a fault may have effects for another \p aSpan.
void
SimulatedFleet::ExtendFaultPeriod(Duration aSpan)
{
  faultsEndAt_ = std::max(faultsEndAt_, now_ + aSpan);
}

void
SimulatedFleet::Run(Duration aSpan)
{
  const Time end = now_ + aSpan;
  while (now_ < end) {
    now_ = now_ + kTickInterval;
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    TickWorkers();
    TickLeaders();
    CheckInvariants();
  }
}

bool
SimulatedFleet::RunUntil(const std::function<bool()>& aIsDone, Duration aSpan)
{
  const Time end = now_ + aSpan;
  while (now_ < end && !aIsDone())
    Run(kTickInterval);
  return aIsDone();
}

void
SimulatedFleet::Propose(std::uint64_t aTerm,
                        BatchId aBatch,
                        const std::string& aEntry)
{
  deposedLeaderProposals += aTerm != leaderTerm_ ? 1 : 0;
  ScheduleEvent(commitLatency, [this, aTerm, aBatch, aEntry] {
    // Entries that are not committed when their leader is replaced are lost.
    if (aTerm != leaderTerm_)
      return;
    log_.push_back(aEntry);
    Deliver(aTerm, [this, aBatch, aEntry](Leader& aLeader) {
      aLeader.controller.Apply(aEntry, aLeader.leaseEnd, Now());
      aLeader.controller.OnBatchApplied(aBatch);
    });
  });
}

void
SimulatedFleet::Call(std::uint64_t aTerm, HostCall&& aCall)
{
  hostCalls.push_back(aCall);
  CheckOrderInterval(aCall);
  if (isProviderUnresponsive)
    return;
  HostReply reply;
  if (std::holds_alternative<ListHosts>(aCall.request))
    reply = ListAllHosts();
  if (const auto* move = std::get_if<MoveHost>(&aCall.request))
    reply.answer = ReassignHost(move->host, move->pool, false);
  if (const auto* upkeep = std::get_if<MaintainHost>(&aCall.request)) {
    SimulatedHost& host = hosts_.at(upkeep->host.Value());
    reply.answer = host.maintenanceWaves.count(upkeep->wave) != 0
                     ? HostCallStatus::Done
                     : ReassignHost(upkeep->host, host.pool, true);
    if (reply.answer == HostCallStatus::Done)
      host.maintenanceWaves.insert(upkeep->wave);
  }
  if (losesProviderAnswers)
    reply = {};
  reply.id = aCall.id;
  const Duration delay =
    losesProviderAnswers ? kHostCallTimeout : kNetworkLatency;
  ScheduleEvent(delay, [this, reply, aTerm] {
    Deliver(aTerm, [this, reply](Leader& aLeader) {
      aLeader.controller.On(reply, Now());
    });
  });
}

void
SimulatedFleet::Call(std::uint64_t aTerm, AdviceCall&& aCall)
{
  adviceWorkerCount += aCall.workers.size();
  AdviceReply reply;
  reply.id = aCall.id;
  reply.isAnswered = true;
  reply.validity = reader.advice->validity;
  // The adviser serves one call at a time.
  adviserIdleAt_ =
    std::max(adviserIdleAt_, now_) + reader.advice->base +
    reader.advice->perWorker * static_cast<std::int64_t>(aCall.workers.size());
  for (const jobs::WorkerId& id : aCall.workers) {
    const auto worker = workers_.find(id.Value());
    if (worker == workers_.end() || forbiddenWorkers.count(id.Value()) != 0)
      continue;
    const std::string permit = "p" + std::to_string(permits_.size());
    permits_[permit] = { .step = aCall.step,
                         .worker = id.Value(),
                         .incarnation = worker->second.record.incarnation,
                         .expiresAt = adviserIdleAt_ + reply.validity };
    reply.permitted.push_back({ .worker = id, .permit = Permit(permit) });
  }
  ScheduleEvent(adviserIdleAt_ - now_ + kNetworkLatency, [this, reply, aTerm] {
    Deliver(aTerm, [this, reply](Leader& aLeader) {
      aLeader.controller.On(reply, Now());
    });
  });
}

bool
SimulatedFleet::IsPermitted(const SimulatedWorker& aWorker,
                            const StartRun& aStart) const
{
  if (!reader.advice)
    return true;
  const auto found = permits_.find(aStart.permit.Value());
  return found != permits_.end() &&
         found->second.step == jobs::StepOf(aStart.task) &&
         found->second.worker == aWorker.record.id.Value() &&
         found->second.incarnation == aWorker.record.incarnation &&
         found->second.expiresAt > now_;
}

HostReply
SimulatedFleet::ListAllHosts() const
{
  HostReply reply;
  reply.answer = HostCallStatus::Done;
  for (const auto& [name, host] : hosts_)
    reply.hosts.push_back(
      { .host = HostId(name),
        .pool = host.pool,
        .state = host.unavailableUntil <= now_ ? ListedHostState::Up
                 : host.isInMaintenance        ? ListedHostState::Maintained
                                               : ListedHostState::Moving,
        .capacity = kDefaultCapacity });
  return reply;
}

/// Checks that orders of different leaders for one host are kMinOrderInterval
/// apart.
void
SimulatedFleet::CheckOrderInterval(const HostCall& aCall)
{
  HostId host;
  if (const auto* move = std::get_if<MoveHost>(&aCall.request))
    host = move->host;
  if (const auto* upkeep = std::get_if<MaintainHost>(&aCall.request))
    host = upkeep->host;
  if (host.Value().empty())
    return;
  const auto [last, isFirst] = lastOrders_.try_emplace(
    host, LastOrder{ .fence = aCall.fence, .at = now_ });
  if (!isFirst && last->second.fence != aCall.fence &&
      last->second.at + kMinOrderInterval > now_)
    ReportViolation(host.Value() +
                    " got orders of two leaders within the minimum interval");
  last->second = { .fence = aCall.fence, .at = now_ };
}

/// Stops the host's worker and puts the host into \p aPool. In the pool "lines"
/// a new worker starts on it after the move or the maintenance.
HostCallStatus
SimulatedFleet::ReassignHost(const HostId& aHost,
                             const PoolId& aPool,
                             bool aIsMaintenance)
{
  SimulatedHost& host = hosts_.at(aHost.Value());
  if (host.unavailableUntil > now_)
    return HostCallStatus::Busy;
  if (!aIsMaintenance && host.pool == aPool)
    return HostCallStatus::Done;
  if (!host.worker.empty()) {
    const SimulatedWorker& worker = workers_.at(host.worker);
    for (const auto& [task, run] : worker.runs)
      if (FindStep(task)->isPersistent)
        ReportViolation(
          std::string(aHost.Value())
            .append(" was moved or maintained while running persistent task ")
            .append(ToString(task)));
    StopWorker(workers_.at(host.worker));
    host.worker.clear();
  }
  host.pool = aPool;
  host.isInMaintenance = aIsMaintenance;
  const Duration unavailableTime =
    aIsMaintenance ? kHostMaintenanceTime : kHostMoveTime;
  host.unavailableUntil = now_ + unavailableTime;
  const auto maintained = static_cast<std::size_t>(
    std::count_if(hosts_.begin(), hosts_.end(), [&](const auto& aItem) {
      return aItem.second.isInMaintenance &&
             aItem.second.unavailableUntil > now_;
    }));
  maxConcurrentMaintenance = std::max(maxConcurrentMaintenance, maintained);
  if (aPool != PoolId("lines"))
    return HostCallStatus::Done;
  ScheduleEvent(unavailableTime, [this, name = aHost.Value()] {
    SimulatedHost& returned = hosts_.at(name);
    returned.worker = name + "-" + std::to_string(++lastHostWorker_);
    AddWorker(returned.worker, kDefaultCapacity, "r1", {}, name);
  });
  return HostCallStatus::Done;
}

void
SimulatedFleet::AddSpareHost(const std::string& aName)
{
  hosts_[aName].pool = PoolId("spare");
}

std::string
SimulatedFleet::PoolOf(const std::string& aHost) const
{
  return hosts_.at(aHost).pool.Value();
}

std::size_t
SimulatedFleet::HostsInMainPool() const
{
  return static_cast<std::size_t>(
    std::count_if(hosts_.begin(), hosts_.end(), [](const auto& aItem) {
      return aItem.second.pool == PoolId("lines");
    }));
}

void
SimulatedFleet::Answer(std::uint64_t aTerm, CallerId aCaller, Reply&& aReply)
{
  if (aTerm != leaderTerm_)
    return;
  const auto submit = submitCalls_.find(aCaller);
  if (submit != submitCalls_.end() && std::holds_alternative<Accepted>(aReply))
    jobs_.at(submit->second).isAccepted = true;
  const auto cancel = cancelCalls_.find(aCaller);
  if (cancel != cancelCalls_.end() && std::holds_alternative<Accepted>(aReply))
    jobs_.at(cancel->second).cancelledAt = now_;
  lastReply_ = std::move(aReply);
}

void
SimulatedFleet::Send(schedule::Call aCall)
{
  lastReply_.reset();
  leader_->controller.Handle(
    { .caller = CallerId(++lastCaller_), .call = std::move(aCall) },
    leader_->leaseEnd,
    Now());
}

jobs::JobId
SimulatedFleet::Submit(std::vector<jobs::Step> aSteps, TaskBehavior aBehavior)
{
  const jobs::JobId id(++lastJob_);
  jobs_[id] = { .steps = aSteps,
                .taskBehavior = aBehavior,
                .isAccepted = false,
                .isCancelRequested = false,
                .cancelledAt = std::nullopt,
                .acknowledgedFailures = {},
                .failures = {},
                .crashes = {},
                .wasGivenUp = false,
                .startsAfterCrashes = {},
                .acknowledgedSuccesses = {},
                .succeeded = {} };
  submitCalls_[CallerId(lastCaller_ + 1)] = id;
  Send(QueueCall{ .verb = QueueVerb::Submit,
                  .hostName = "h",
                  .path = pathPrefix + ToString(id),
                  .key = key,
                  .job = jobs::JobDescription{ .payload = "x",
                                               .steps = std::move(aSteps) } });
  return id;
}

void
SimulatedFleet::Cancel(jobs::JobId aJob)
{
  jobs_.at(aJob).isCancelRequested = true;
  cancelCalls_[CallerId(lastCaller_ + 1)] = aJob;
  Send(QueueCall{ .verb = QueueVerb::Cancel,
                  .hostName = "h",
                  .path = pathPrefix + ToString(aJob),
                  .key = key,
                  .job = std::nullopt });
}

std::optional<JobProgress>
SimulatedFleet::QueryState(jobs::JobId aJob)
{
  Send(QueueCall{ .verb = QueueVerb::Query,
                  .hostName = "h",
                  .path = pathPrefix + ToString(aJob),
                  .key = key,
                  .job = std::nullopt });
  const auto* report =
    lastReply_ ? std::get_if<JobReport>(&*lastReply_) : nullptr;
  return report == nullptr ? std::nullopt
                           : std::optional<JobProgress>(report->progress);
}

void
SimulatedFleet::AddWorker(const std::string& aId,
                          jobs::Resources aCapacity,
                          const std::string& aRack,
                          std::vector<std::string> aLabels,
                          const std::string& aHost)
{
  StartWorker({ .id = jobs::WorkerId(aId),
                .host = jobs::HostId(aHost.empty() ? "host-" + aId : aHost),
                .pool = PoolId("lines"),
                .rack = RackId(aRack),
                .labels = std::move(aLabels),
                .capacity = aCapacity });
}

/// Starts a worker, or a new incarnation of it, and sends its first heartbeat.
void
SimulatedFleet::StartWorker(jobs::WorkerRecord aRecord)
{
  const std::string id = aRecord.id.Value();
  SimulatedWorker& worker = workers_[id];
  RecordCrash(worker);
  // A restarted worker listens on the port of its previous incarnation.
  const std::uint16_t port =
    worker.record.endpoint.port != 0
      ? worker.record.endpoint.port
      : static_cast<std::uint16_t>(8000 + workers_.size());
  worker = {};
  worker.record = std::move(aRecord);
  worker.record.incarnation = jobs::Incarnation(now_.Millis());
  worker.record.endpoint = { "10.0.0.1", port };
  worker.statesIncarnation = !statesNoIncarnation;
  worker.reachableSince = now_;
  worker.clockRate = clockRate_;
  if (maxInitialClock > Duration(0))
    worker.initialClock = Time(static_cast<std::int64_t>(
      random() % static_cast<std::uint64_t>(maxInitialClock.Millis())));
  if (id.find('-') == std::string::npos)
    hosts_[worker.record.host.Value()] = { .pool = PoolId("lines"),
                                           .worker = id,
                                           .unavailableUntil = {},
                                           .isInMaintenance = false,
                                           .maintenanceWaves = {} };
  SendHeartbeat(worker);
}

void
SimulatedFleet::SendHeartbeat(SimulatedWorker& aWorker, Duration aDelay)
{
  aWorker.nextHeartbeat = now_ + kHeartbeatInterval;
  if (!aWorker.isUp || AreHeartbeatsLost(aWorker))
    return;
  WorkerHeartbeat beat{ .worker = aWorker.record,
                        .sequence = ++aWorker.lastSequence,
                        .clock = ClockOf(aWorker) };
  if (!aWorker.statesIncarnation)
    beat.worker.incarnation = jobs::Incarnation(0);
  const auto deliver = [this, beat] {
    Deliver(leaderTerm_, [this, beat](Leader& aLeader) {
      aLeader.controller.Handle(
        { .caller = CallerId(++lastCaller_), .call = beat },
        aLeader.leaseEnd,
        Now());
    });
  };
  if (aDelay > Duration(0))
    ScheduleEvent(aDelay, deliver);
  else
    deliver();
}

/// Sends the heartbeat that is due.
void
SimulatedFleet::SendDueHeartbeat(SimulatedWorker& aWorker)
{
  Duration delay;
  if (faults.delayedHeartbeatPercent > 0 &&
      static_cast<int>(random() % 100) < faults.delayedHeartbeatPercent)
    delay =
      faults.minHeartbeatDelay +
      Duration(static_cast<std::int64_t>(
        random() %
        static_cast<std::uint64_t>(
          (faults.maxHeartbeatDelay - faults.minHeartbeatDelay).Millis())));
  SendHeartbeat(aWorker, delay);
}

void
SimulatedFleet::SendDelayedHeartbeat(const std::string& aId, Duration aDelay)
{
  SendHeartbeat(workers_.at(aId), aDelay);
}

void
SimulatedFleet::SetCapacity(const std::string& aId, jobs::Resources aCapacity)
{
  SimulatedWorker& worker = workers_.at(aId);
  if (worker.record.capacity == aCapacity)
    return;
  worker.earlierCapacities.push_back(
    { .capacity = worker.record.capacity, .replacedAt = now_ });
  worker.record.capacity = aCapacity;
}

void
SimulatedFleet::CrashWorker(const std::string& aId,
                            std::optional<Duration> aRestartAfter)
{
  ExtendFaultPeriod(aRestartAfter.value_or(Duration(0)));
  SimulatedWorker& worker = workers_.at(aId);
  RecordCrash(worker);
  StopWorker(worker);
  if (aRestartAfter)
    ScheduleEvent(*aRestartAfter,
                  [this, record = worker.record] { StartWorker(record); });
}

void
SimulatedFleet::RecordCrash(const SimulatedWorker& aWorker)
{
  for (const auto& [task, run] : aWorker.runs)
    ++jobs_.at(task.job).crashes[task];
}

void
SimulatedFleet::StopWorker(SimulatedWorker& aWorker)
{
  aWorker.isUp = false;
  aWorker.runs.clear();
  for (const auto& [term, deferred] : aWorker.deferredRenewals)
    ScheduleEvent(deferred.first.timeout,
                  [this, call = deferred.first.id, leader = term] {
                    WorkerReply reply;
                    reply.id = call;
                    DeliverReply(reply, leader);
                  });
  aWorker.deferredRenewals.clear();
}

void
SimulatedFleet::ReclaimWorker(const std::string& aId, Duration aNotice)
{
  ExtendFaultPeriod(aNotice);
  SimulatedWorker& worker = workers_.at(aId);
  worker.record.isDraining = true;
  SendHeartbeat(worker);
  ScheduleEvent(aNotice, [this, aId] { StopWorker(workers_.at(aId)); });
}

/// Crashes the worker that runs this attempt of the task, if any.
void
SimulatedFleet::CrashWorkerOf(const TaskId& aTask, Attempt aAttempt)
{
  const Duration restartDelay = jobs_.at(aTask.job).taskBehavior.restartDelay;
  for (auto& [id, worker] : workers_) {
    const auto run = worker.runs.find(aTask);
    if (run == worker.runs.end() || run->second.attempt != aAttempt)
      continue;
    CrashWorker(id, restartDelay);
    return;
  }
}

std::uint32_t
SimulatedFleet::CountCrashes(const TaskId& aTask) const
{
  const auto& crashes = jobs_.at(aTask.job).crashes;
  const auto found = crashes.find(aTask);
  return found == crashes.end() ? 0 : found->second;
}

static std::uint32_t
MaxCount(const std::map<TaskId, std::uint32_t>& aCounts)
{
  std::uint32_t count = 0;
  for (const auto& [task, taskCount] : aCounts)
    count = std::max(count, taskCount);
  return count;
}

std::uint32_t
SimulatedFleet::MaxCrashes(jobs::JobId aJob) const
{
  return MaxCount(jobs_.at(aJob).crashes);
}

std::uint32_t
SimulatedFleet::MaxFailures(jobs::JobId aJob) const
{
  return MaxCount(jobs_.at(aJob).failures);
}

void
SimulatedFleet::ReplaceWorker(const std::string& aId,
                              const std::string& aNewId,
                              Duration aAfter)
{
  CrashWorker(aId, std::nullopt);
  jobs::WorkerRecord record = workers_.at(aId).record;
  record.id = jobs::WorkerId(aNewId);
  ScheduleEvent(aAfter, [this, record] { StartWorker(record); });
}

bool
SimulatedFleet::IsUp(const std::string& aId) const
{
  const auto found = workers_.find(aId);
  return found != workers_.end() && found->second.isUp;
}

void
SimulatedFleet::PartitionWorker(const std::string& aId, Duration aSpan)
{
  ExtendFaultPeriod(aSpan);
  SimulatedWorker& worker = workers_.at(aId);
  worker.partitionedUntil = now_ + aSpan;
  worker.firstPartitionedTerm = 0;
}

void
SimulatedFleet::PartitionWorkerFromSuccessors(const std::string& aId,
                                              Duration aSpan)
{
  PartitionWorker(aId, aSpan);
  workers_.at(aId).firstPartitionedTerm = leaderTerm_ + 1;
}

void
SimulatedFleet::BlockCalls(const std::string& aId, Duration aSpan)
{
  ExtendFaultPeriod(aSpan);
  callsBlockedUntil_[aId] = now_ + aSpan;
}

void
SimulatedFleet::BlockHeartbeats(const std::string& aId, Duration aSpan)
{
  ExtendFaultPeriod(aSpan);
  heartbeatsBlockedUntil_[aId] = now_ + aSpan;
}

/// \returns the time on the worker's own clock, which starts with it.
Time
SimulatedFleet::ClockOf(const SimulatedWorker& aWorker) const
{
  constexpr std::int64_t kPercent = 100;
  const Time startedAt(aWorker.record.incarnation.Value());
  return aWorker.initialClock +
         Duration((now_ - startedAt).Millis() * aWorker.clockRate / kPercent);
}

bool
SimulatedFleet::IsPartitioned(const SimulatedWorker& aWorker,
                              std::uint64_t aTerm) const
{
  return aWorker.partitionedUntil > now_ &&
         aTerm >= aWorker.firstPartitionedTerm;
}

/// Whether calls of the leader of \p aTerm arrive at the worker.
bool
SimulatedFleet::IsReachable(const SimulatedWorker& aWorker,
                            std::uint64_t aTerm) const
{
  const auto blocked = callsBlockedUntil_.find(aWorker.record.id.Value());
  const bool isBlocked =
    blocked != callsBlockedUntil_.end() && blocked->second > now_;
  return aWorker.isUp && !isBlocked && !IsPartitioned(aWorker, aTerm);
}

bool
SimulatedFleet::AreHeartbeatsLost(const SimulatedWorker& aWorker) const
{
  const auto blocked = heartbeatsBlockedUntil_.find(aWorker.record.id.Value());
  const bool isBlocked =
    blocked != heartbeatsBlockedUntil_.end() && blocked->second > now_;
  return isBlocked || IsPartitioned(aWorker, leaderTerm_);
}

/// Takes a kept connection for the call or establishes one.
SimulatedFleet::Connection
SimulatedFleet::Connect(std::uint64_t aTerm, const WorkerCall& aCall)
{
  Connection connection{ .peer = jobs::Incarnation(0), .sentAt = now_ };
  const auto worker = workers_.find(aCall.worker.Value());
  const bool isReachable = worker != workers_.end() &&
                           IsReachable(worker->second, aTerm) &&
                           worker->second.record.endpoint == aCall.endpoint;
  auto& idle = idleConnections_[{ aTerm, aCall.worker.Value() }];
  // A worker that has stopped has closed its connections, which shows once its
  // host answers.
  if (isReachable) {
    connection.peer = worker->second.record.incarnation;
    std::erase_if(idle, [&](const Connection& aKept) {
      return aKept.peer != connection.peer;
    });
  }
  if (!idle.empty()) {
    connection.peer = idle.back().peer;
    idle.pop_back();
  }
  return connection;
}

/// Whether the answer to an inquiry on the connection keeps the call from being
/// sent.
bool
SimulatedFleet::IsMeantForOther(const WorkerCall& aCall,
                                const Connection& aConnection)
{
  if (!aCall.incarnation || aConnection.peer == jobs::Incarnation(0) ||
      aConnection.peer == *aCall.incarnation)
    return false;
  SimulatedWorker& worker = workers_.at(aCall.worker.Value());
  const FencingToken fence = std::visit(
    [](const auto& aRequest) { return aRequest.fence; }, aCall.request);
  worker.highestFence = std::max(worker.highestFence, fence);
  return !executesCallsToEarlierIncarnations;
}

void
SimulatedFleet::Call(std::uint64_t aTerm, WorkerCall&& aCall)
{
  const std::uint64_t term = aTerm;
  const auto occurs = [&](int aPercent) {
    return static_cast<int>(random() % 100) < aPercent;
  };
  const auto call = std::make_shared<WorkerCall>(std::move(aCall));
  const Connection connection = Connect(aTerm, *call);
  if (IsMeantForOther(*call, connection)) {
    idleConnections_[{ aTerm, call->worker.Value() }].push_back(connection);
    WorkerReply reply;
    reply.id = call->id;
    reply.answer = refusesInquiries ? WorkerCallStatus::Unhealthy
                                    : WorkerCallStatus::NotSent;
    if (refusesInquiries)
      reply.clock = ClockOf(workers_.at(call->worker.Value()));
    if (!refusesInquiries || !statesIncarnationOnlyInLists)
      reply.incarnation = connection.peer;
    ScheduleEvent(kNetworkLatency + kNetworkLatency,
                  [this, reply, term] { DeliverReply(reply, term); });
    return;
  }
  usedConnections_[{ aTerm, call->id }] = { call->worker.Value(), connection };
  if (const auto* start = std::get_if<StartRun>(&call->request)) {
    const auto worker = workers_.find(call->worker.Value());
    if (worker != workers_.end())
      pendingStarts_[{ aTerm, call->id }] = {
        start->task,
        { .worker = worker->first,
          .incarnation = worker->second.record.incarnation,
          .sentAt = now_ }
      };
  }
  const auto scheduleTimeout = [this, call, term](Duration aAfter) {
    ScheduleEvent(aAfter, [this, call, term] {
      WorkerReply reply;
      reply.id = call->id;
      DeliverReply(reply, term);
    });
  };
  if (occurs(faults.delayedCallPercent)) {
    const auto delayRange = static_cast<std::uint64_t>(
      (faults.maxCallDelay - faults.minCallDelay).Millis());
    const Duration delay =
      faults.minCallDelay +
      Duration(static_cast<std::int64_t>(random() % delayRange));
    scheduleTimeout(call->timeout);
    ScheduleEvent(delay, [this, call, term, connection] {
      DeliverCall(*call, term, connection, false);
    });
    return;
  }
  const bool isReplyDelivered = !occurs(faults.lostReplyPercent);
  if (!isReplyDelivered)
    scheduleTimeout(call->timeout);
  ScheduleEvent(kNetworkLatency,
                [this, call, term, isReplyDelivered, connection] {
                  DeliverCall(*call, term, connection, isReplyDelivered);
                });
}

void
SimulatedFleet::DeliverReply(const WorkerReply& aReply, std::uint64_t aTerm)
{
  if (const auto start = pendingStarts_.find({ aTerm, aReply.id });
      start != pendingStarts_.end()) {
    const auto& [task, sent] = start->second;
    if (aReply.answer == WorkerCallStatus::NoAnswer)
      unansweredStarts_[task] = sent;
    pendingStarts_.erase(start);
  }
  if (const auto used = usedConnections_.find({ aTerm, aReply.id });
      used != usedConnections_.end()) {
    const auto& [worker, connection] = used->second;
    if (aReply.answer != WorkerCallStatus::NoAnswer)
      idleConnections_[{ aTerm, worker }].push_back(connection);
    usedConnections_.erase(used);
  }
  Deliver(aTerm, [this, aReply](Leader& aLeader) {
    aLeader.controller.On(aReply, aLeader.leaseEnd, Now());
  });
}

void
SimulatedFleet::DeliverCall(const WorkerCall& aCall,
                            std::uint64_t aTerm,
                            const Connection& aConnection,
                            bool aIsReplyDelivered)
{
  const auto found = workers_.find(aCall.worker.Value());
  const bool isReachable = found != workers_.end() &&
                           IsReachable(found->second, aTerm) &&
                           found->second.record.endpoint == aCall.endpoint;
  if (!isReachable) {
    if (!aIsReplyDelivered)
      return;
    ScheduleEvent(aCall.timeout, [this, id = aCall.id, aTerm] {
      WorkerReply reply;
      reply.id = id;
      DeliverReply(reply, aTerm);
    });
    return;
  }
  SimulatedWorker& worker = found->second;
  const Time startedAt(worker.record.incarnation.Value());
  // A worker of the users' test bench never executes a call that was sent to an
  // earlier incarnation. The simulated worker drops such a call only while its
  // new incarnation has executed no call and thus has no fencing token by which
  // to refuse it.
  const Time sentAt = aConnection.sentAt;
  if (!executesCallsToEarlierIncarnations && sentAt < startedAt &&
      worker.highestFence == FencingToken(0))
    return;
  // A call that was sent after this incarnation had started can't come by a
  // connection to an earlier one.
  if (!executesCallsToEarlierIncarnations && sentAt >= startedAt &&
      aConnection.peer != worker.record.incarnation) {
    if (aIsReplyDelivered)
      ScheduleEvent(kNetworkLatency, [this, id = aCall.id, aTerm] {
        WorkerReply reply;
        reply.id = id;
        DeliverReply(reply, aTerm);
      });
    return;
  }
  auto reply = ExecuteCall(worker, aCall, sentAt);
  if (!aIsReplyDelivered)
    return;
  if (reply) {
    ScheduleEvent(kNetworkLatency, [this, reply = std::move(*reply), aTerm] {
      DeliverReply(reply, aTerm);
    });
    return;
  }
  const auto& renew = std::get<RenewLease>(aCall.request);
  worker.deferredRenewals.insert_or_assign(
    aTerm, std::pair(aCall, now_ + renew.longPollTimeout));
}

/// \returns nothing for a lease renewal whose reply is deferred until a run
/// ends.
std::optional<WorkerReply>
SimulatedFleet::ExecuteCall(SimulatedWorker& aWorker,
                            const WorkerCall& aCall,
                            Time aSentAt)
{
  WorkerReply reply;
  reply.id = aCall.id;
  reply.answer = WorkerCallStatus::Done;
  reply.clock = ClockOf(aWorker);
  const bool statesIncarnation =
    !statesIncarnationOnlyInLists ||
    std::holds_alternative<RenewLease>(aCall.request);
  if (aWorker.statesIncarnation && statesIncarnation)
    reply.incarnation = aWorker.record.incarnation;
  const FencingToken fence = std::visit(
    [](const auto& aRequest) { return aRequest.fence; }, aCall.request);
  if (fence < aWorker.highestFence) {
    reply.answer = WorkerCallStatus::Refused;
    reply.refusal = RefusalReason::Fenced;
    return reply;
  }
  aWorker.highestFence = fence;
  if (const auto* start = std::get_if<StartRun>(&aCall.request))
    HandleStart(aWorker, *start, aSentAt, reply);
  if (const auto* stop = std::get_if<StopRun>(&aCall.request))
    HandleStop(aWorker, *stop);
  if (const auto* renew = std::get_if<RenewLease>(&aCall.request)) {
    HandleRenewal(aWorker, *renew);
    if (renew->longPollTimeout > Duration(0) &&
        aWorker.unacknowledgedEnds.empty())
      return std::nullopt;
    FillLists(aWorker, reply);
  }
  return reply;
}

void
SimulatedFleet::HandleRenewal(SimulatedWorker& aWorker,
                              const RenewLease& aRenew)
{
  while (!aWorker.unacknowledgedEnds.empty() &&
         aWorker.unacknowledgedEnds.front().number <=
           aRenew.lastAcknowledgedEnd) {
    const ListedEnd& end = aWorker.unacknowledgedEnds.front();
    SimulatedJob& job = jobs_.at(end.task.job);
    // A success counts as acknowledged only if the lease has not expired since
    // the run ended.
    if (end.kind == ListedEndKind::Done &&
        aWorker.lastExpiredAt < aWorker.endTimes[end.number])
      job.acknowledgedSuccesses.insert(end.task);
    if (end.kind == ListedEndKind::Failed)
      ++job.acknowledgedFailures[end.task];
    aWorker.unacknowledgedEnds.pop_front();
  }
  if (aRenew.leaseExpiry)
    aWorker.leaseEnd =
      std::max(aWorker.leaseEnd,
               std::min(*aRenew.leaseExpiry, ClockOf(aWorker) + maxLease_));
}

/// The part of its run time that a run has completed, in percent; always 100
/// for a persistent run.
std::uint32_t
SimulatedFleet::ProgressPercent(const TaskId& aTask,
                                const SimulatedRun& aRun) const
{
  constexpr std::int64_t kPercent = 100;
  if (FindStep(aTask)->isPersistent)
    return kPercent;
  const std::int64_t elapsed = (now_ - aRun.startedAt).Millis();
  const std::int64_t total = (aRun.endsAt - aRun.startedAt).Millis();
  return static_cast<std::uint32_t>(elapsed * kPercent /
                                    std::max(total, elapsed));
}

void
SimulatedFleet::FillLists(const SimulatedWorker& aWorker,
                          WorkerReply& aReply) const
{
  aReply.hasLists = true;
  for (const auto& [task, run] : aWorker.runs)
    aReply.running.push_back({ .task = task,
                               .attempt = run.attempt,
                               .checkpoint = {},
                               .progressPercent = ProgressPercent(task, run),
                               .load = 0 });
  aReply.ended.assign(aWorker.unacknowledgedEnds.begin(),
                      aWorker.unacknowledgedEnds.end());
}

const jobs::Step*
SimulatedFleet::FindStep(const TaskId& aTask) const
{
  const auto job = jobs_.find(aTask.job);
  return job == jobs_.end() ? nullptr : &job->second.steps.at(aTask.step);
}

void
SimulatedFleet::HandleStart(SimulatedWorker& aWorker,
                            const StartRun& aStart,
                            Time aSentAt,
                            WorkerReply& aReply)
{
  const auto refuse = [&](RefusalReason aReason) {
    aReply.answer = WorkerCallStatus::Refused;
    aReply.refusal = aReason;
  };
  const auto running = aWorker.runs.find(aStart.task);
  if (running != aWorker.runs.end() &&
      running->second.attempt == aStart.attempt)
    return;
  if (aStart.startDeadline <= ClockOf(aWorker)) {
    refuse(RefusalReason::StartDeadlinePassed);
    return;
  }
  aWorker.leaseEnd =
    std::max(aWorker.leaseEnd,
             std::min(aStart.startDeadline, ClockOf(aWorker) + maxLease_));
  const auto highest = aWorker.highestAttempts.find(aStart.task);
  if (highest != aWorker.highestAttempts.end() &&
      aStart.attempt <= highest->second) {
    refuse(RefusalReason::StaleAttempt);
    return;
  }
  if (!IsPermitted(aWorker, aStart)) {
    ++refusedPermitCount;
    refuse(RefusalReason::NotPermitted);
    return;
  }
  CheckStart(aWorker, aStart, aSentAt);
  CheckCrashLimit(aStart);
  const SimulatedJob& job = jobs_.at(aStart.task.job);
  const jobs::Step& step = *FindStep(aStart.task);
  // TickGangs sets the end of a gang's runs once all members have started.
  const bool isOpenEnded = step.isPersistent || step.isGang;
  const Duration runTime =
    job.taskBehavior.runTime *
    (slowWorkers.count(aWorker.record.id.Value()) != 0 ? kSlowWorkerFactor : 1);
  SimulatedRun& run = aWorker.runs[aStart.task];
  run = { .attempt = aStart.attempt,
          .endsAt = now_ + (isOpenEnded ? kFarFuture : runTime),
          .willFail = aStart.attempt.Value() <= job.taskBehavior.failures,
          .startedAt = now_ };
  if (failingWorkers.count(aWorker.record.id.Value()) != 0) {
    run.endsAt = now_ + kFailingWorkerDelay;
    run.willFail = true;
    run.failsByWorker = true;
  }
  if (job.taskBehavior.crashesWorkerAfter && aStart.task.index == 0)
    ScheduleEvent(*job.taskBehavior.crashesWorkerAfter,
                  [this, task = aStart.task, attempt = aStart.attempt] {
                    CrashWorkerOf(task, attempt);
                  });
}

void
SimulatedFleet::HandleStop(SimulatedWorker& aWorker, const StopRun& aStop)
{
  Attempt& highest = aWorker.highestAttempts[aStop.task];
  highest = std::max(highest, aStop.attempt);
  const auto running = aWorker.runs.find(aStop.task);
  if (running != aWorker.runs.end() && running->second.attempt <= aStop.attempt)
    EndRun(aWorker, aStop.task, ListedEndKind::Stopped);
}

void
SimulatedFleet::EndRun(SimulatedWorker& aWorker,
                       const TaskId& aTask,
                       ListedEndKind aKind)
{
  const SimulatedRun run = aWorker.runs.at(aTask);
  aWorker.runs.erase(aTask);
  aWorker.highestAttempts[aTask] = run.attempt;
  if (aKind == ListedEndKind::Done)
    jobs_.at(aTask.job).succeeded.insert(aTask);
  if (aKind == ListedEndKind::Failed)
    ++jobs_.at(aTask.job).failures[aTask];
  aWorker.endTimes[RunEndSequence(aWorker.lastEndNumber + 1)] = now_;
  aWorker.unacknowledgedEnds.push_back(
    { .number = RunEndSequence(++aWorker.lastEndNumber),
      .task = aTask,
      .attempt = run.attempt,
      .kind = aKind,
      .checkpoint = {} });
}

/// Starts the work of gangs whose members are all running. Ends the members of
/// gangs that have lost one, or that were not complete within
/// kGangStartTimeout.
void
SimulatedFleet::TickGangs()
{
  std::map<std::pair<jobs::StepId, Attempt>,
           std::vector<std::pair<SimulatedWorker*, TaskId>>>
    gangs;
  for (auto& [id, worker] : workers_)
    for (const auto& [task, run] : worker.runs)
      if (worker.isUp && FindStep(task)->isGang)
        gangs[{ jobs::StepOf(task), run.attempt }].emplace_back(&worker, task);
  for (const auto& [gang, members] : gangs) {
    const bool isComplete =
      members.size() == FindStep(members.front().second)->count;
    const Duration runTime = jobs_.at(gang.first.job).taskBehavior.runTime;
    for (const auto& [worker, task] : members) {
      SimulatedRun& run = worker->runs.at(task);
      if (run.failsByWorker)
        continue;
      const bool hasStarted = run.endsAt < run.startedAt + kFarFuture;
      // The failure of one member is enough to fail the gang.
      const bool fails = run.willFail && task.index == 0;
      run.willFail = fails;
      if (isComplete && !hasStarted)
        run.endsAt = now_ + (fails ? Duration(runTime.Millis() / 2) : runTime);
      if (!isComplete && hasStarted)
        EndRun(*worker, task, ListedEndKind::GangBroken);
      if (!isComplete && !hasStarted &&
          run.startedAt + kGangStartTimeout <= now_) {
        ++incompleteGangRuns;
        EndRun(*worker, task, ListedEndKind::GangIncomplete);
      }
    }
  }
}

void
SimulatedFleet::TickWorkers()
{
  TickGangs();
  for (auto& [id, worker] : workers_) {
    if (!IsReachable(worker, leaderTerm_) || AreHeartbeatsLost(worker))
      worker.reachableSince = now_;
    if (!worker.isUp)
      continue;
    const bool hasExpired = worker.leaseEnd <= ClockOf(worker);
    if (hasExpired)
      worker.lastExpiredAt = now_;
    std::vector<std::pair<TaskId, ListedEndKind>> ends;
    for (const auto& [task, run] : worker.runs) {
      if (hasExpired)
        ends.emplace_back(task, ListedEndKind::LeaseExpired);
      else if (run.endsAt <= now_)
        ends.emplace_back(
          task, run.willFail ? ListedEndKind::Failed : ListedEndKind::Done);
    }
    for (const auto& [task, kind] : ends)
      EndRun(worker, task, kind);
    SendDueReplies(worker);
    if (worker.nextHeartbeat <= now_)
      SendDueHeartbeat(worker);
  }
}

/// Answers the deferred lease renewals if a run has ended or their time is up.
void
SimulatedFleet::SendDueReplies(SimulatedWorker& aWorker)
{
  for (auto it = aWorker.deferredRenewals.begin();
       it != aWorker.deferredRenewals.end();) {
    const auto& [term, deferred] = *it;
    if (aWorker.unacknowledgedEnds.empty() && deferred.second > now_) {
      ++it;
      continue;
    }
    WorkerReply reply;
    reply.id = deferred.first.id;
    if (IsReachable(aWorker, term)) {
      reply.answer = WorkerCallStatus::Done;
      reply.clock = ClockOf(aWorker);
      reply.incarnation = aWorker.record.incarnation;
      FillLists(aWorker, reply);
    }
    DeliverReply(reply, term);
    it = aWorker.deferredRenewals.erase(it);
  }
}

void
SimulatedFleet::ReportViolation(std::string aDescription)
{
  if (violations.size() < kMaxViolations)
    violations.push_back(std::to_string(now_.Millis()) + ": " +
                         std::move(aDescription));
}

/// Checks that a task is given up that crashes the workers that start it.
void
SimulatedFleet::CheckCrashLimit(const StartRun& aStart)
{
  SimulatedJob& job = jobs_.at(aStart.task.job);
  // A persistent task is restarted however its runs end.
  const bool crashesWorker = job.taskBehavior.crashesWorkerAfter &&
                             aStart.task.index == 0 &&
                             !FindStep(aStart.task)->isPersistent;
  if (!crashesWorker || CountCrashes(aStart.task) < kMaxToleratedCrashes)
    return;
  if (++job.startsAfterCrashes[aStart.task] > kMaxStartsAfterCrashes)
    ReportViolation(ToString(aStart.task) +
                    " started again after it had crashed " +
                    std::to_string(CountCrashes(aStart.task)) + " workers");
}

/// Checks the invariants that apply when a worker starts a run.
void
SimulatedFleet::CheckStart(const SimulatedWorker& aWorker,
                           const StartRun& aStart,
                           Time aSentAt)
{
  const std::string run = ToString(aStart.task) + " attempt " +
                          std::to_string(aStart.attempt.Value()) + " on " +
                          aWorker.record.id.Value();
  const SimulatedJob& job = jobs_.at(aStart.task.job);
  for (const auto& [id, other] : workers_)
    if (other.isUp && other.runs.count(aStart.task) != 0)
      ReportViolation(std::string(run)
                        .append(" started while the task was running on ")
                        .append(id));
  if (job.acknowledgedSuccesses.count(aStart.task) != 0)
    ReportViolation(run +
                    " started after the success of the task was acknowledged");
  const auto failures = job.acknowledgedFailures.find(aStart.task);
  if (failures != job.acknowledgedFailures.end() &&
      failures->second >= reader.maxAttempts &&
      !FindStep(aStart.task)->isPersistent)
    ReportViolation(
      run + " started after the task had reached its limit of failed attempts");
  for (const std::uint32_t dependency : FindStep(aStart.task)->dependencies) {
    TaskId task = aStart.task;
    task.step = dependency;
    for (task.index = 0; task.index < job.steps[dependency].count; ++task.index)
      if (job.succeeded.count(task) == 0)
        ReportViolation(std::string(run)
                          .append(" started before the success of ")
                          .append(ToString(task)));
  }
  const jobs::Step& step = *FindStep(aStart.task);
  if (step.maxPerWorker > 0) {
    const auto runsOfStep = std::count_if(
      aWorker.runs.begin(), aWorker.runs.end(), [&](const auto& aItem) {
        return aItem.first.job == aStart.task.job &&
               aItem.first.step == aStart.task.step;
      });
    if (runsOfStep >= step.maxPerWorker)
      ReportViolation(run + " exceeds its step's limit of tasks on one worker");
  }
  CheckCapacity(aWorker, aStart, aSentAt);
}

/// Checks that the run to be started fits into the worker's capacity or, if
/// that has shrunk too shortly before \p aSentAt to be known, into the larger
/// one.
void
SimulatedFleet::CheckCapacity(const SimulatedWorker& aWorker,
                              const StartRun& aStart,
                              Time aSentAt)
{
  const jobs::Step& step = *FindStep(aStart.task);
  jobs::Resources request = step.request;
  if (step.usesIdleProcessors)
    request.processors = {};
  const jobs::Resources allocated = AllocatedOn(aWorker);
  const bool fits =
    jobs::Fits(request, allocated, aWorker.record.capacity) ||
    std::any_of(aWorker.earlierCapacities.begin(),
                aWorker.earlierCapacities.end(),
                [&](const EarlierCapacity& aEarlier) {
                  return aEarlier.replacedAt + kShrinkNotice > aSentAt &&
                         jobs::Fits(request, allocated, aEarlier.capacity);
                });
  if (!fits)
    ReportViolation(ToString(aStart.task) + " attempt " +
                    std::to_string(aStart.attempt.Value()) + " on " +
                    aWorker.record.id.Value() +
                    " exceeds the worker's capacity");
}

/// The resources allocated to the runs on the worker.
jobs::Resources
SimulatedFleet::AllocatedOn(const SimulatedWorker& aWorker) const
{
  jobs::Resources allocated;
  for (const auto& [task, run] : aWorker.runs) {
    jobs::Resources request = FindStep(task)->request;
    if (FindStep(task)->usesIdleProcessors)
      request.processors = {};
    allocated += request;
  }
  return allocated;
}

/// Checks the invariants that apply at any time.
void
SimulatedFleet::CheckInvariants()
{
  const bool isLate =
    leader_->handlingLag > Duration(0) || !leader_->messages.empty();
  if (faults.delayedCallPercent > 0 || faults.lostReplyPercent > 0 || isLate)
    ExtendFaultPeriod(kMaxCallDelay);
  if (faults.delayedCallPercent > 0 || faults.lostReplyPercent > 0 || isLate ||
      isProviderUnresponsive)
    RecordGeneralFault();
  CheckPersistentTasks();
  jobs::Resources total;
  for (const auto& [id, worker] : workers_) {
    if (!worker.isUp)
      continue;
    for (const auto& [task, run] : worker.runs) {
      total += FindStep(task)->request;
      const SimulatedJob& job = jobs_.at(task.job);
      const Time countedFrom =
        std::max(job.cancelledAt.value_or(now_), faultsEndAt_);
      if (countedFrom + kMaxCancelDelay < now_)
        ReportViolation(
          ToString(task) +
          " is still running after the time limit for cancelled jobs");
    }
    // Runs stay on a worker whose capacity shrinks; CheckCapacity checks the
    // starts on it.
    if (worker.earlierCapacities.empty() &&
        !jobs::Fits({}, AllocatedOn(worker), worker.record.capacity))
      ReportViolation(id + " is assigned more than its capacity");
  }
  const auto isOver = [](auto aUsed, auto aLimit) {
    return aLimit.Count() > 0 && aUsed > aLimit;
  };
  if (isOver(total.processors, reader.quota.processors) ||
      isOver(total.memory, reader.quota.memory))
    ReportViolation("the running tasks of the team exceed its quota");
}

/// Number of further runs of a task's step that fit on the worker.
std::size_t
SimulatedFleet::FreeSlots(const SimulatedWorker& aWorker,
                          const TaskId& aTask) const
{
  const jobs::Step& step = *FindStep(aTask);
  const auto& labels = aWorker.record.labels;
  const bool hasLabel =
    step.requiredLabel.empty() ||
    std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end();
  const bool isAvailable = aWorker.isUp &&
                           aWorker.reachableSince + kContactTime <= now_ &&
                           !aWorker.record.isDraining && hasLabel;
  if (!isAvailable)
    return 0;
  const auto requestOf = [](const jobs::Step& aStep) {
    jobs::Resources request = aStep.request;
    if (aStep.usesIdleProcessors)
      request.processors = {};
    return request;
  };
  jobs::Resources used;
  std::size_t runsOfStep = 0;
  for (const auto& [task, run] : aWorker.runs) {
    used += requestOf(*FindStep(task));
    runsOfStep += jobs::StepOf(task) == jobs::StepOf(aTask) ? 1 : 0;
  }
  std::size_t slots = 0;
  while (jobs::Fits(requestOf(step), used, aWorker.record.capacity) &&
         (step.maxPerWorker == 0 || runsOfStep + slots < step.maxPerWorker) &&
         slots < 2) {
    used += requestOf(step);
    ++slots;
  }
  return slots;
}

/// Whether there is capacity for two further runs of the task's step, on
/// workers and within half of the team's quota.
bool
SimulatedFleet::HasCapacityForTwo(const TaskId& aTask) const
{
  jobs::Resources charged;
  std::size_t slots = 0;
  for (const auto& [id, worker] : workers_) {
    slots += FreeSlots(worker, aTask);
    for (const auto& [task, run] : worker.runs)
      if (worker.isUp)
        charged += FindStep(task)->request;
  }
  const auto isUnderHalf = [](auto aUsed, auto aLimit) {
    return aLimit.Count() == 0 || aUsed + aUsed < aLimit;
  };
  return slots >= 2 &&
         isUnderHalf(charged.processors, reader.quota.processors) &&
         isUnderHalf(charged.memory, reader.quota.memory);
}

bool
SimulatedFleet::IsRunning(const TaskId& aTask) const
{
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& aItem) {
    return aItem.second.isUp && aItem.second.runs.count(aTask) != 0;
  });
}

/// Whether a start request of the task may be executed by a later incarnation
/// of the worker that it was sent to, which may then run the task until its
/// lease expires.
bool
SimulatedFleet::MayStillStart(const TaskId& aTask) const
{
  const auto found = unansweredStarts_.find(aTask);
  if (found == unansweredStarts_.end())
    return false;
  const UnansweredStart& start = found->second;
  return workers_.at(start.worker).record.incarnation != start.incarnation &&
         start.sentAt + kMaxExecutionDelay + maxLease_ > now_;
}

/// Checks that the task runs again in time after its last run.
void
SimulatedFleet::CheckPersistentTask(const TaskId& aTask)
{
  const auto [position, isFirst] = persistentTasks_.try_emplace(
    aTask, PersistentTask{ .lastRunAt = now_, .startableSince = now_ });
  PersistentTask& task = position->second;
  if (IsRunning(aTask))
    task = { .lastRunAt = now_, .startableSince = now_ };
  if (!HasCapacityForTwo(aTask) || MayStillStart(aTask))
    task.startableSince = now_;
  if (task.lastRunAt + kMaxRestartTime > now_ ||
      task.startableSince + kStartableTime > now_ ||
      lastGeneralFaultAt_ + kRecoveryTime > now_)
    return;
  const jobs::TaskState* state = leader_->controller.StateMachine().Find(aTask);
  const bool isAssigned =
    state != nullptr && state->phase == jobs::TaskPhase::Assigned;
  ReportViolation(ToString(aTask) + (isAssigned ? ", assigned," : "") +
                  " has not run for " +
                  std::to_string((now_ - task.lastRunAt).Millis()) +
                  " ms although there is capacity");
  task.startableSince = now_;
}

/// Whether the job has been given up, for which there is no cause if it has
/// persistent tasks.
bool
SimulatedFleet::IsGivenUp(jobs::JobId aJob)
{
  SimulatedJob& simulated = jobs_.at(aJob);
  if (simulated.wasGivenUp)
    return true;
  const jobs::Job* job = leader_->controller.StateMachine().Find(aJob);
  if (job == nullptr || job->state != jobs::JobState::Failed)
    return false;
  ReportViolation(ToString(aJob) +
                  " was given up although it has persistent tasks");
  simulated.wasGivenUp = true;
  return true;
}

void
SimulatedFleet::CheckPersistentTasks()
{
  for (const auto& [id, job] : jobs_) {
    const bool isPersistent =
      std::any_of(job.steps.begin(),
                  job.steps.end(),
                  [](const jobs::Step& aStep) { return aStep.isPersistent; });
    if (!isPersistent || !job.isAccepted || job.isCancelRequested ||
        IsGivenUp(id))
      continue;
    TaskId task{ .job = id };
    for (task.step = 0; task.step < job.steps.size(); ++task.step)
      for (task.index = 0; task.index < job.steps[task.step].count;
           ++task.index)
        if (job.steps[task.step].isPersistent)
          CheckPersistentTask(task);
  }
}

std::size_t
SimulatedFleet::RunsOn(const std::string& aWorker) const
{
  return workers_.at(aWorker).runs.size();
}

std::size_t
SimulatedFleet::TotalRuns() const
{
  std::size_t count = 0;
  for (const auto& [id, worker] : workers_)
    count += worker.isUp ? worker.runs.size() : 0;
  return count;
}

std::size_t
SimulatedFleet::RunCountOf(jobs::JobId aJob) const
{
  std::size_t count = 0;
  for (const auto& [id, worker] : workers_)
    for (const auto& [task, run] : worker.runs)
      count += worker.isUp && task.job == aJob ? 1 : 0;
  return count;
}

std::vector<std::string>
SimulatedFleet::WorkersWithRunsOf(jobs::JobId aJob) const
{
  std::vector<std::string> found;
  for (const auto& [id, worker] : workers_)
    if (worker.isUp &&
        std::any_of(worker.runs.begin(),
                    worker.runs.end(),
                    [&](const auto& aItem) { return aItem.first.job == aJob; }))
      found.push_back(id);
  return found;
}

bool
SimulatedFleet::HasRun(jobs::JobId aJob) const
{
  return RunCountOf(aJob) > 0;
}

std::pair<std::uint64_t, std::uint64_t>
greengage::schedule::SeedRange()
{
  const char* const text = std::getenv("GREENGAGE_SEEDS");
  if (text == nullptr)
    return { 1, 40 };
  char* rest = nullptr;
  const std::uint64_t first = std::strtoull(text, &rest, 10);
  return { first, *rest == '-' ? std::strtoull(rest + 1, nullptr, 10) : first };
}
