#include "ModelFleet.h"

#include "greengage/observe/Log.h"

#include <algorithm>
#include <utility>

using namespace greengage;
using namespace greengage::schedule;

static constexpr Duration kStepTime(5);
static constexpr Duration kCommitTime(10);
static constexpr Duration kNetworkTime(1);
static constexpr Duration kBeatInterval(1500);
static constexpr Duration kMoveTime(1500);
static constexpr Duration kUpkeepTime(2000);
/// Minimum time between orders of different leaders for the same host.
static constexpr Duration kOrderGap(3000);
/// How long a run waits for the other members of its gang.
static constexpr Duration kGangWait(3000);
/// The factor by which runs take longer on a slow worker.
static constexpr std::int64_t kSlowFactor = 50;
static constexpr Duration kMaxLease = Duration::Seconds(10);
/// Maximum delay of a call that ModelFaults::late delays.
static constexpr Duration kLatestCall(12000);
static constexpr std::size_t kMaxBroken = 5;
static constexpr Duration kFarAway = Duration::Seconds(1000000);
/// Runs of a cancelled job must have ended this long after the cancellation or
/// the last effect of a fault, whichever is later.
static constexpr Duration kCancelBound(3900);

std::optional<jobs::Configuration>
ModelReader::Read(std::string_view /*aText*/, Error& /*aReason*/) const
{
  jobs::Configuration read;
  read.version = jobs::ConfigurationVersion(1);
  read.pools = { { .id = PoolId("lines") },
                 { .id = PoolId("spare"), .isSpare = true } };
  read.queues = { { .id = jobs::QueueId("plan"),
                    .hostName = "h",
                    .pathPrefix = "/p/",
                    .pool = PoolId("lines"),
                    .maxAttempts = maxAttempts,
                    .stretch = 1.6,
                    .objective = Duration(600),
                    .timeout = Duration(3000),
                    .advice = advice } };
  read.teams = {
    { .id = TeamId("caxias"), .keys = { "key" }, .quota = quota }
  };
  return read;
}

ModelFleet::ModelFleet(std::uint64_t aSeed, bool aHasProvider)
  : random(aSeed)
  , hasProvider_(aHasProvider)
{
  observe::ConfigureLog({ .path = {}, .level = observe::LogLevel::Error });
  StartLeader();
  Ask(ConfigurationPut{ .version = jobs::ConfigurationVersion(1),
                        .text = "configuration" });
}

ModelFleet::~ModelFleet() = default;

Moment
ModelFleet::Now() const
{
  return { .steady = now_, .wall = now_ };
}

void
ModelFleet::At(Duration aDelay, std::function<void()> aEvent)
{
  events_.emplace(now_ + aDelay, std::move(aEvent));
}

/// Starts a new leader, which applies the whole log first.
void
ModelFleet::StartLeader()
{
  ++leader_;
  ControllerSink& sink = *this;
  controller_ = std::make_unique<Controller>(
    SchedulerOptions{},
    HostPlannerOptions{ .isEnabled = hasProvider_,
                        .self = EntryHostId("leader"),
                        .settle = kOrderGap },
    reader,
    sink);
  for (const std::string& entry : log_)
    controller_->Apply(entry, Now());
  controller_->Lead(Fence(leader_), Now());
}

void
ModelFleet::ChangeLeader()
{
  NoteFault(Duration(0));
  StartLeader();
}

/// Records that a fault may have effects for another \p aSpan.
void
ModelFleet::NoteFault(Duration aSpan)
{
  calmSince_ = std::max(calmSince_, now_ + aSpan);
}

void
ModelFleet::Run(Duration aSpan)
{
  const Time end = now_ + aSpan;
  while (now_ < end) {
    now_ = now_ + kStepTime;
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    TickWorkers();
    controller_->Tick(now_ + kFarAway, Now());
    CheckAlways();
  }
}

bool
ModelFleet::RunUntil(const std::function<bool()>& aIsDone, Duration aSpan)
{
  const Time end = now_ + aSpan;
  while (now_ < end && !aIsDone())
    Run(kStepTime);
  return aIsDone();
}

bool
ModelFleet::Propose(BatchId aBatch, const std::string& aEntry)
{
  const std::uint64_t leader = leader_;
  At(kCommitTime, [this, leader, aBatch, aEntry] {
    // Entries that are not committed when their leader is replaced are lost.
    if (leader != leader_)
      return;
    log_.push_back(aEntry);
    controller_->Apply(aEntry, Now());
    controller_->OnBatchApplied(aBatch);
  });
  return true;
}

void
ModelFleet::Call(HostCall&& aCall)
{
  hostCalls.push_back(aCall);
  CheckOrder(aCall);
  if (isProviderSilent)
    return;
  HostReply reply;
  if (std::holds_alternative<ListHosts>(aCall.request))
    reply = ListAllHosts();
  if (const auto* move = std::get_if<MoveHost>(&aCall.request))
    reply.answer = Reassign(move->host, move->pool, false);
  if (const auto* upkeep = std::get_if<MaintainHost>(&aCall.request)) {
    ModelHost& host = hosts_.at(upkeep->host.Value());
    reply.answer = host.waves.count(upkeep->wave) != 0
                     ? HostAnswer::Done
                     : Reassign(upkeep->host, host.pool, true);
    if (reply.answer == HostAnswer::Done)
      host.waves.insert(upkeep->wave);
  }
  reply.id = aCall.id;
  At(kNetworkTime, [this, reply, leader = leader_] {
    if (leader == leader_)
      controller_->On(reply, Now());
  });
}

void
ModelFleet::Call(AdviceCall&& aCall)
{
  workersAsked += aCall.workers.size();
  AdviceReply reply;
  reply.id = aCall.id;
  reply.isAnswered = true;
  reply.validity = reader.advice->validity;
  // The adviser serves one call at a time.
  adviserFreeAt_ =
    std::max(adviserFreeAt_, now_) + reader.advice->base +
    reader.advice->perWorker * static_cast<std::int64_t>(aCall.workers.size());
  for (const jobs::WorkerId& id : aCall.workers) {
    const auto worker = workers_.find(id.Value());
    if (worker == workers_.end() || forbidden.count(id.Value()) != 0)
      continue;
    const std::string permit = "p" + std::to_string(permits_.size());
    permits_[permit] = { .step = aCall.step,
                         .worker = id.Value(),
                         .life = worker->second.record.incarnation,
                         .goodUntil = adviserFreeAt_ + reply.validity };
    reply.permitted.push_back({ .worker = id, .permit = Permit(permit) });
  }
  At(adviserFreeAt_ - now_ + kNetworkTime, [this, reply, leader = leader_] {
    if (leader == leader_)
      controller_->On(reply, Now());
  });
}

bool
ModelFleet::IsPermitted(const ModelWorker& aWorker,
                        const StartRun& aStart) const
{
  if (!reader.advice)
    return true;
  const auto found = permits_.find(aStart.permit.Value());
  return found != permits_.end() &&
         found->second.step == jobs::StepOf(aStart.task) &&
         found->second.worker == aWorker.record.id.Value() &&
         found->second.life == aWorker.record.incarnation &&
         found->second.goodUntil > now_;
}

HostReply
ModelFleet::ListAllHosts() const
{
  HostReply reply;
  reply.answer = HostAnswer::Done;
  for (const auto& [name, host] : hosts_)
    reply.hosts.push_back({ .host = HostId(name),
                            .pool = host.pool,
                            .state = host.awayUntil <= now_ ? HostState::Up
                                     : host.isMaintained ? HostState::Maintained
                                                         : HostState::Moving,
                            .capacity = kRoom });
  return reply;
}

/// Checks that orders of different leaders for one host are kOrderGap apart.
void
ModelFleet::CheckOrder(const HostCall& aCall)
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
      last->second.at + kOrderGap > now_)
    Break(host.Value() +
          " got orders of two leaders within the minimum interval");
  last->second = { .fence = aCall.fence, .at = now_ };
}

/// Stops the host's worker and puts the host into \p aPool. In the pool "lines"
/// a new worker starts on it after the move or the maintenance.
HostAnswer
ModelFleet::Reassign(const HostId& aHost, const PoolId& aPool, bool aIsUpkeep)
{
  ModelHost& host = hosts_.at(aHost.Value());
  if (host.awayUntil > now_)
    return HostAnswer::Busy;
  if (!host.worker.empty()) {
    const ModelWorker& worker = workers_.at(host.worker);
    for (const auto& [task, run] : worker.runs)
      if (StepOf(task)->isPersistent)
        Break(std::string(aHost.Value())
                .append(" was ordered away while running persistent task ")
                .append(ToString(task)));
    CrashWorker(host.worker, std::nullopt);
    host.worker.clear();
  }
  host.pool = aPool;
  host.isMaintained = aIsUpkeep;
  const Duration away = aIsUpkeep ? kUpkeepTime : kMoveTime;
  host.awayUntil = now_ + away;
  const auto maintained = static_cast<std::size_t>(
    std::count_if(hosts_.begin(), hosts_.end(), [&](const auto& aItem) {
      return aItem.second.isMaintained && aItem.second.awayUntil > now_;
    }));
  mostMaintained = std::max(mostMaintained, maintained);
  if (aPool != PoolId("lines"))
    return HostAnswer::Done;
  At(away, [this, name = aHost.Value()] {
    ModelHost& back = hosts_.at(name);
    back.worker = name + "-" + std::to_string(++lastHostWorker_);
    AddWorker(back.worker);
    workers_.at(back.worker).record.host = HostId(name);
    Beat(workers_.at(back.worker));
  });
  return HostAnswer::Done;
}

void
ModelFleet::AddSpareHost(const std::string& aName)
{
  hosts_[aName].pool = PoolId("spare");
}

std::string
ModelFleet::PoolOf(const std::string& aHost) const
{
  return hosts_.at(aHost).pool.Value();
}

std::size_t
ModelFleet::HostsInLines() const
{
  return static_cast<std::size_t>(
    std::count_if(hosts_.begin(), hosts_.end(), [](const auto& aItem) {
      return aItem.second.pool == PoolId("lines");
    }));
}

void
ModelFleet::Answer(CallerId aCaller, Reply&& aReply)
{
  const auto cancel = cancels_.find(aCaller);
  if (cancel != cancels_.end() && std::holds_alternative<Accepted>(aReply))
    jobs_.at(cancel->second).cancelledAt = now_;
  lastReply_ = std::move(aReply);
}

void
ModelFleet::Ask(schedule::Call aCall)
{
  lastReply_.reset();
  controller_->Handle(
    { .caller = CallerId(++lastCaller_), .call = std::move(aCall) },
    now_ + kFarAway,
    Now());
}

jobs::JobId
ModelFleet::Submit(std::vector<jobs::Step> aSteps, ModelTask aTask)
{
  const jobs::JobId id(++lastJob_);
  jobs_[id] = { .steps = aSteps,
                .task = aTask,
                .cancelledAt = std::nullopt,
                .notedFailures = {},
                .notedDone = {},
                .succeeded = {} };
  Ask(QueueCall{ .verb = QueueVerb::Submit,
                 .hostName = "h",
                 .path = "/p/" + ToString(id),
                 .key = "key",
                 .job = jobs::JobDescription{ .payload = "x",
                                              .steps = std::move(aSteps) } });
  return id;
}

void
ModelFleet::Cancel(jobs::JobId aJob)
{
  cancels_[CallerId(lastCaller_ + 1)] = aJob;
  Ask(QueueCall{ .verb = QueueVerb::Cancel,
                 .hostName = "h",
                 .path = "/p/" + ToString(aJob),
                 .key = "key",
                 .job = std::nullopt });
}

std::optional<JobProgress>
ModelFleet::StateOf(jobs::JobId aJob)
{
  Ask(QueueCall{ .verb = QueueVerb::Query,
                 .hostName = "h",
                 .path = "/p/" + ToString(aJob),
                 .key = "key",
                 .job = std::nullopt });
  const auto* report =
    lastReply_ ? std::get_if<JobReport>(&*lastReply_) : nullptr;
  return report == nullptr ? std::nullopt
                           : std::optional<JobProgress>(report->progress);
}

void
ModelFleet::AddWorker(const std::string& aId,
                      jobs::Resources aCapacity,
                      const std::string& aRack)
{
  ModelWorker& worker = workers_[aId];
  const std::int64_t born = now_.Millis();
  // A restarted worker listens on the port of its previous incarnation.
  const std::uint16_t port =
    worker.record.endpoint.port != 0
      ? worker.record.endpoint.port
      : static_cast<std::uint16_t>(8000 + workers_.size());
  worker = {};
  worker.record = { .id = jobs::WorkerId(aId),
                    .incarnation = jobs::Incarnation(born),
                    .host = jobs::HostId("host-" + aId),
                    .endpoint = { "10.0.0.1", port },
                    .pool = PoolId("lines"),
                    .rack = RackId(aRack),
                    .capacity = aCapacity };
  worker.clockOffset = Duration(0) - Duration(born);
  if (aId.find('-') == std::string::npos)
    hosts_["host-" + aId] = { .pool = PoolId("lines"),
                              .worker = aId,
                              .awayUntil = {},
                              .isMaintained = false,
                              .waves = {} };
  Beat(worker);
}

void
ModelFleet::Beat(ModelWorker& aWorker)
{
  aWorker.nextBeat = now_ + kBeatInterval;
  if (!aWorker.isUp || aWorker.cutUntil > now_)
    return;
  Ask(WorkerBeat{ .worker = aWorker.record,
                  .sequence = ++aWorker.sequence,
                  .clock = now_ + aWorker.clockOffset });
}

void
ModelFleet::CrashWorker(const std::string& aId,
                        std::optional<Duration> aBackAfter)
{
  NoteFault(aBackAfter.value_or(Duration(0)));
  ModelWorker& worker = workers_.at(aId);
  const jobs::Resources capacity = worker.record.capacity;
  worker.isUp = false;
  worker.runs.clear();
  if (worker.waiting) {
    const WorkerCallId call = worker.waiting->first.id;
    At(worker.waiting->first.timeout,
       [this, call, leader = worker.waitingLeader] {
         WorkerReply reply;
         reply.id = call;
         Return(reply, leader);
       });
  }
  worker.waiting.reset();
  if (aBackAfter)
    At(*aBackAfter, [this, aId, capacity] { AddWorker(aId, capacity); });
}

void
ModelFleet::CutWorker(const std::string& aId, Duration aSpan)
{
  NoteFault(aSpan);
  workers_.at(aId).cutUntil = now_ + aSpan;
}

void
ModelFleet::Call(WorkerCall&& aCall)
{
  const std::uint64_t leader = leader_;
  const auto chance = [&](int aPercent) {
    return static_cast<int>(random() % 100) < aPercent;
  };
  const auto call = std::make_shared<WorkerCall>(std::move(aCall));
  const auto noAnswer = [this, call, leader](Duration aAfter) {
    At(aAfter, [this, call, leader] {
      WorkerReply reply;
      reply.id = call->id;
      Return(reply, leader);
    });
  };
  if (chance(faults.late)) {
    const Duration delay(2000 + static_cast<std::int64_t>(random() % 10000));
    noAnswer(call->timeout);
    At(delay, [this, call, leader, sentAt = now_] {
      Deliver(*call, leader, sentAt, false);
    });
    return;
  }
  const bool answers = !chance(faults.loseAnswer);
  if (!answers)
    noAnswer(call->timeout);
  At(kNetworkTime, [this, call, leader, answers, sentAt = now_] {
    Deliver(*call, leader, sentAt, answers);
  });
}

void
ModelFleet::Return(const WorkerReply& aReply, std::uint64_t aLeader)
{
  if (aLeader == leader_)
    controller_->On(aReply, Now());
}

void
ModelFleet::Deliver(const WorkerCall& aCall,
                    std::uint64_t aLeader,
                    Time aSentAt,
                    bool aAnswers)
{
  const auto found = workers_.find(aCall.worker.Value());
  const bool isReached = found != workers_.end() && found->second.isUp &&
                         found->second.cutUntil <= now_ &&
                         found->second.record.endpoint == aCall.endpoint;
  if (!isReached) {
    if (!aAnswers)
      return;
    At(aCall.timeout, [this, id = aCall.id, aLeader] {
      WorkerReply reply;
      reply.id = id;
      Return(reply, aLeader);
    });
    return;
  }
  ModelWorker& worker = found->second;
  const Time bornAt(worker.record.incarnation.Value());
  // The users' test bench never executes a call that was sent to an earlier
  // incarnation. Here such a call is dropped only until the new incarnation has
  // executed a call: before that, it has no fencing token to refuse it by.
  if (aSentAt < bornAt && worker.fence == Fence(0))
    return;
  auto reply = Execute(worker, aCall);
  if (!aAnswers)
    return;
  if (reply) {
    At(kNetworkTime,
       [this, reply = std::move(*reply), aLeader] { Return(reply, aLeader); });
    return;
  }
  const auto& renew = std::get<RenewLease>(aCall.request);
  worker.waiting = { aCall, now_ + renew.wait };
  worker.waitingLeader = aLeader;
}

/// \returns nothing for a lease renewal whose reply is deferred until a run
/// ends.
std::optional<WorkerReply>
ModelFleet::Execute(ModelWorker& aWorker, const WorkerCall& aCall)
{
  WorkerReply reply;
  reply.id = aCall.id;
  reply.answer = WorkerAnswer::Done;
  reply.clock = now_ + aWorker.clockOffset;
  reply.incarnation = aWorker.record.incarnation;
  const Fence fence = std::visit(
    [](const auto& aRequest) { return aRequest.fence; }, aCall.request);
  if (fence < aWorker.fence) {
    reply.answer = WorkerAnswer::Refused;
    reply.refusal = RefusalReason::Fenced;
    return reply;
  }
  aWorker.fence = fence;
  if (const auto* start = std::get_if<StartRun>(&aCall.request))
    Start(aWorker, *start, reply);
  if (const auto* stop = std::get_if<StopRun>(&aCall.request))
    Stop(aWorker, *stop);
  if (const auto* renew = std::get_if<RenewLease>(&aCall.request)) {
    Renew(aWorker, *renew);
    if (renew->wait > Duration(0) && aWorker.ended.empty())
      return std::nullopt;
    List(aWorker, reply);
  }
  return reply;
}

void
ModelFleet::Renew(ModelWorker& aWorker, const RenewLease& aRenew)
{
  while (!aWorker.ended.empty() &&
         aWorker.ended.front().number <= aRenew.lastSeen) {
    const ListedEnd& end = aWorker.ended.front();
    JobModel& job = jobs_.at(end.task.job);
    // A success is not taken as acknowledged if the lease has expired since.
    if (end.how == ListedEndKind::Done &&
        aWorker.lapsedAt < aWorker.endedAt[end.number])
      job.notedDone.insert(end.task);
    if (end.how == ListedEndKind::Failed)
      ++job.notedFailures[end.task];
    aWorker.ended.pop_front();
  }
  if (aRenew.until)
    aWorker.leaseEnd =
      std::max(aWorker.leaseEnd,
               std::min(*aRenew.until - aWorker.clockOffset, now_ + kMaxLease));
}

/// The part of its run time that a run has completed, in percent; always 100
/// for a persistent run.
std::uint32_t
ModelFleet::PercentOf(const TaskId& aTask, const ModelRun& aRun) const
{
  constexpr std::int64_t kPercent = 100;
  if (StepOf(aTask)->isPersistent)
    return kPercent;
  const std::int64_t taken = (now_ - aRun.startedAt).Millis();
  const std::int64_t whole = (aRun.endsAt - aRun.startedAt).Millis();
  return static_cast<std::uint32_t>(taken * kPercent / std::max(whole, taken));
}

void
ModelFleet::List(const ModelWorker& aWorker, WorkerReply& aReply) const
{
  aReply.hasLists = true;
  for (const auto& [task, run] : aWorker.runs)
    aReply.running.push_back({ .task = task,
                               .attempt = run.attempt,
                               .checkpoint = {},
                               .percent = PercentOf(task, run),
                               .load = 0 });
  aReply.ended.assign(aWorker.ended.begin(), aWorker.ended.end());
}

const jobs::Step*
ModelFleet::StepOf(const TaskId& aTask) const
{
  const auto job = jobs_.find(aTask.job);
  return job == jobs_.end() ? nullptr : &job->second.steps.at(aTask.step);
}

void
ModelFleet::Start(ModelWorker& aWorker,
                  const StartRun& aStart,
                  WorkerReply& aReply)
{
  const auto refuse = [&](RefusalReason aReason) {
    aReply.answer = WorkerAnswer::Refused;
    aReply.refusal = aReason;
  };
  const auto running = aWorker.runs.find(aStart.task);
  if (running != aWorker.runs.end() &&
      running->second.attempt == aStart.attempt)
    return;
  if (aStart.until <= now_ + aWorker.clockOffset) {
    refuse(RefusalReason::Late);
    return;
  }
  aWorker.leaseEnd =
    std::max(aWorker.leaseEnd,
             std::min(aStart.until - aWorker.clockOffset, now_ + kMaxLease));
  const auto highest = aWorker.highest.find(aStart.task);
  if (highest != aWorker.highest.end() && aStart.attempt <= highest->second) {
    refuse(RefusalReason::OldAttempt);
    return;
  }
  if (!IsPermitted(aWorker, aStart)) {
    ++permitsRefused;
    refuse(RefusalReason::NotPermitted);
    return;
  }
  CheckStart(aWorker, aStart);
  const JobModel& job = jobs_.at(aStart.task.job);
  const jobs::Step& step = *StepOf(aStart.task);
  // TickGangs sets the end of a gang's runs once all members have started.
  const bool isOpenEnded = step.isPersistent || step.isGang;
  const Duration runTime =
    job.task.runTime *
    (slowWorkers.count(aWorker.record.id.Value()) != 0 ? kSlowFactor : 1);
  aWorker.runs[aStart.task] = { .attempt = aStart.attempt,
                                .endsAt =
                                  now_ + (isOpenEnded ? kFarAway : runTime),
                                .fails =
                                  aStart.attempt.Value() <= job.task.failures,
                                .startedAt = now_ };
}

void
ModelFleet::Stop(ModelWorker& aWorker, const StopRun& aStop)
{
  Attempt& highest = aWorker.highest[aStop.task];
  highest = std::max(highest, aStop.attempt);
  const auto running = aWorker.runs.find(aStop.task);
  if (running != aWorker.runs.end() && running->second.attempt <= aStop.attempt)
    EndRun(aWorker, aStop.task, ListedEndKind::Stopped);
}

void
ModelFleet::EndRun(ModelWorker& aWorker,
                   const TaskId& aTask,
                   ListedEndKind aHow)
{
  const ModelRun run = aWorker.runs.at(aTask);
  aWorker.runs.erase(aTask);
  aWorker.highest[aTask] = run.attempt;
  if (aHow == ListedEndKind::Done)
    jobs_.at(aTask.job).succeeded.insert(aTask);
  aWorker.endedAt[EndNumber(aWorker.lastEnd + 1)] = now_;
  aWorker.ended.push_back({ .number = EndNumber(++aWorker.lastEnd),
                            .task = aTask,
                            .attempt = run.attempt,
                            .how = aHow,
                            .checkpoint = {} });
}

/// Starts the work of gangs whose members are all running. Ends the members of
/// gangs that have lost one, or that were not complete within kGangWait.
void
ModelFleet::TickGangs()
{
  std::map<std::pair<jobs::StepId, Attempt>,
           std::vector<std::pair<ModelWorker*, TaskId>>>
    gangs;
  for (auto& [id, worker] : workers_)
    for (const auto& [task, run] : worker.runs)
      if (worker.isUp && StepOf(task)->isGang)
        gangs[{ jobs::StepOf(task), run.attempt }].emplace_back(&worker, task);
  for (const auto& [gang, members] : gangs) {
    const bool isWhole =
      members.size() == StepOf(members.front().second)->count;
    const Duration runTime = jobs_.at(gang.first.job).task.runTime;
    for (const auto& [worker, task] : members) {
      ModelRun& run = worker->runs.at(task);
      const bool isAtWork = run.endsAt < run.startedAt + kFarAway;
      // The failure of one member is enough to fail the gang.
      const bool fails = run.fails && task.index == 0;
      run.fails = fails;
      if (isWhole && !isAtWork)
        run.endsAt = now_ + (fails ? Duration(runTime.Millis() / 2) : runTime);
      if (!isWhole && isAtWork)
        EndRun(*worker, task, ListedEndKind::GangBroken);
      if (!isWhole && !isAtWork && run.startedAt + kGangWait <= now_) {
        ++endedAlone;
        EndRun(*worker, task, ListedEndKind::GangIncomplete);
      }
    }
  }
}

void
ModelFleet::TickWorkers()
{
  TickGangs();
  for (auto& [id, worker] : workers_) {
    if (!worker.isUp)
      continue;
    if (worker.leaseEnd <= now_)
      worker.lapsedAt = now_;
    std::vector<std::pair<TaskId, ListedEndKind>> ends;
    for (const auto& [task, run] : worker.runs) {
      if (worker.leaseEnd <= now_)
        ends.emplace_back(task, ListedEndKind::LeaseExpired);
      else if (run.endsAt <= now_)
        ends.emplace_back(
          task, run.fails ? ListedEndKind::Failed : ListedEndKind::Done);
    }
    for (const auto& [task, how] : ends)
      EndRun(worker, task, how);
    if (worker.waiting &&
        (!worker.ended.empty() || worker.waiting->second <= now_)) {
      WorkerReply reply;
      reply.id = worker.waiting->first.id;
      reply.answer = WorkerAnswer::Done;
      reply.clock = now_ + worker.clockOffset;
      reply.incarnation = worker.record.incarnation;
      List(worker, reply);
      worker.waiting.reset();
      if (worker.cutUntil > now_) {
        const WorkerCallId call = reply.id;
        reply = WorkerReply();
        reply.id = call;
      }
      Return(reply, worker.waitingLeader);
    }
    if (worker.nextBeat <= now_)
      Beat(worker);
  }
}

void
ModelFleet::Break(std::string aWhat)
{
  if (broken.size() < kMaxBroken)
    broken.push_back(std::to_string(now_.Millis()) + ": " + std::move(aWhat));
}

/// Checks the invariants that apply when a worker starts a run.
void
ModelFleet::CheckStart(const ModelWorker& aWorker, const StartRun& aStart)
{
  const std::string name = ToString(aStart.task) + " attempt " +
                           std::to_string(aStart.attempt.Value()) + " on " +
                           aWorker.record.id.Value();
  const JobModel& job = jobs_.at(aStart.task.job);
  for (const auto& [id, other] : workers_)
    if (other.isUp && other.runs.count(aStart.task) != 0)
      Break(std::string(name)
              .append(" started while the task was running on ")
              .append(id));
  if (job.notedDone.count(aStart.task) != 0)
    Break(name + " started after the success of the task was acknowledged");
  const auto failures = job.notedFailures.find(aStart.task);
  if (failures != job.notedFailures.end() &&
      failures->second >= reader.maxAttempts &&
      !StepOf(aStart.task)->isPersistent)
    Break(name +
          " started after the task had reached its limit of failed attempts");
  for (const std::uint32_t earlier : StepOf(aStart.task)->after) {
    TaskId task = aStart.task;
    task.step = earlier;
    for (task.index = 0; task.index < job.steps[earlier].count; ++task.index)
      if (job.succeeded.count(task) == 0)
        Break(std::string(name)
                .append(" started before the success of ")
                .append(ToString(task)));
  }
  const jobs::Step& step = *StepOf(aStart.task);
  if (step.maxPerWorker > 0) {
    const auto beside = std::count_if(
      aWorker.runs.begin(), aWorker.runs.end(), [&](const auto& aItem) {
        return aItem.first.job == aStart.task.job &&
               aItem.first.step == aStart.task.step;
      });
    if (beside >= step.maxPerWorker)
      Break(name + " exceeds its step's limit of tasks on one worker");
  }
}

/// Checks the invariants that apply at any time.
void
ModelFleet::CheckAlways()
{
  if (faults.late > 0 || faults.loseAnswer > 0)
    NoteFault(kLatestCall);
  jobs::Resources all;
  for (const auto& [id, worker] : workers_) {
    if (!worker.isUp)
      continue;
    jobs::Resources used;
    for (const auto& [task, run] : worker.runs) {
      jobs::Resources taken = StepOf(task)->request;
      all += taken;
      if (StepOf(task)->usesIdleProcessors)
        taken.processors = {};
      used += taken;
      const JobModel& job = jobs_.at(task.job);
      const Time since = std::max(job.cancelledAt.value_or(now_), calmSince_);
      if (since + kCancelBound < now_)
        Break(ToString(task) +
              " is still running after the time limit for cancelled jobs");
    }
    if (!jobs::Fits({}, used, worker.record.capacity))
      Break(id + " is assigned more than its capacity");
  }
  const auto isOver = [](auto aUsed, auto aLimit) {
    return aLimit.Count() > 0 && aUsed > aLimit;
  };
  if (isOver(all.processors, reader.quota.processors) ||
      isOver(all.memory, reader.quota.memory))
    Break("the running tasks of the team exceed its quota");
}

std::size_t
ModelFleet::RunsOn(const std::string& aWorker) const
{
  return workers_.at(aWorker).runs.size();
}

std::size_t
ModelFleet::RunsInAll() const
{
  std::size_t count = 0;
  for (const auto& [id, worker] : workers_)
    count += worker.isUp ? worker.runs.size() : 0;
  return count;
}

bool
ModelFleet::HasRun(jobs::JobId aJob) const
{
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& aItem) {
    return aItem.second.isUp && std::any_of(aItem.second.runs.begin(),
                                            aItem.second.runs.end(),
                                            [&](const auto& aRun) {
                                              return aRun.first.job == aJob;
                                            });
  });
}
