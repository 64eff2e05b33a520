#include "greengage/schedule/Scheduler.h"

#include "greengage/observe/Log.h"

#include <algorithm>
#include <utility>

using namespace greengage;
using namespace greengage::schedule;

/// How long a start or stop may stay unanswered; a worker answers within a few
/// milliseconds, a lost packet comes again after some hundred.
static constexpr Duration kCallTimeout = Duration(700);
/// How long after its first send a start may still begin.
static constexpr Duration kStartValidity = Duration(2000);
/// How long a worker may wait for an end before it answers with its lists.
static constexpr Duration kListWait = Duration(1000);
/// The same while filling tasks may harm serving ones; their load is measured
/// over half a second.
static constexpr Duration kWatchWait = Duration(400);
/// When an unanswered call is sent again.
static constexpr Duration kRetryInterval = Duration(200);
/// When an acknowledged stop whose end is not listed yet is sent again.
static constexpr Duration kStopPatience = Duration::Seconds(1);
/// Bits of a fencing token that tell the lives of workers apart.
static constexpr unsigned kLifeBits = 20;
/// How late a call without an answer may still be carried out: 12 s on the
/// users' platform, and some margin.
static constexpr Duration kLatestDelivery = Duration::Seconds(15);
/// How often a life that has not answered yet is asked.
static constexpr Duration kFirstContactInterval = Duration(100);
/// How far back a worker's clock may seem to go while it is the same life.
static constexpr Duration kClockTolerance = Duration(1000);
/// How long the lists are left alone while ends wait for their commit.
static constexpr Duration kCommitPatience = Duration(300);
/// How often placement is tried though nothing has happened.
static constexpr Duration kDispatchInterval = Duration(100);
/// Ends that a worker lists in one answer at most.
static constexpr std::size_t kMaxListedEnds = 500;
/// Failed runs in a row after which a worker gets no work for a while.
static constexpr std::uint32_t kMaxFailedRuns = 4;
static constexpr Duration kSuspension = Duration::Seconds(3);
static constexpr std::int64_t kSlowClockPercent = 3;
static constexpr std::int64_t kPercent = 100;
static constexpr Duration kLeaseSlack = Duration(250);
/// A worker that has been silent for so long is taken off the registry.
static constexpr Duration kForgetSilence = Duration::Seconds(12);
/// Shares of the target latency above which filling tasks give way, and below
/// which they get their speed back.
static constexpr std::int64_t kThrottleAbovePercent = 70;
static constexpr std::int64_t kReleaseBelowPercent = 45;
static constexpr std::uint32_t kThrottleStep = 40;
static constexpr std::uint32_t kReleaseStep = 10;

WorkerSession*
Scheduler::SessionOf(jobs::WorkerNumber aWorker)
{
  const auto found = sessions_.find(aWorker);
  return found == sessions_.end() ? nullptr : &found->second;
}

const jobs::WorkerRecord&
Scheduler::RecordOf(const WorkerSession& aSession) const
{
  return book_.Workers().at(aSession.number);
}

void
Scheduler::OnWorker(jobs::WorkerNumber aWorker)
{
  if (!IsLeading())
    return;
  const auto [at, isNew] = sessions_.try_emplace(aWorker);
  WorkerSession& session = at->second;
  session.number = aWorker;
  session.lastBeat = now_.steady;
  isDirty_ = true;
  if (!isNew)
    return;
  session.leaseEnd = now_.steady;
  GiveUpEarlierLives(aWorker);
  TickSession(session);
}

/// Nothing runs on an earlier life of the same worker or host any more.
void
Scheduler::GiveUpEarlierLives(jobs::WorkerNumber aWorker)
{
  const jobs::WorkerRecord& latest = book_.Workers().at(aWorker);
  for (auto& [number, session] : sessions_) {
    if (number == aWorker || session.isGone)
      continue;
    const jobs::WorkerRecord& record = RecordOf(session);
    const bool isSameWorker = record.id == latest.id;
    const bool isSameHost =
      !latest.host.Value().empty() && record.host == latest.host;
    if ((!isSameWorker && !isSameHost) ||
        record.incarnation >= latest.incarnation)
      continue;
    session.isGone = true;
    session.goneAt = now_.steady;
    const bool isSameAddress =
      isSameWorker && record.endpoint == latest.endpoint;
    for (auto& [task, run] : session.runs) {
      run.isStopWanted = true;
      run.nextCall = now_.steady;
      // It may yet begin in the new life, until that has seen the higher
      // fencing token of its own.
      const bool isUnresolved = isSameAddress && session.IsUnresolved(task);
      if (run.stage != RunStage::Proposed && run.stage != RunStage::Ending &&
          !isUnresolved)
        EndRun(session, task, run, jobs::RunEnd::Lost, {}, "worker restarted");
    }
  }
}

void
Scheduler::OnWorkerRetired(jobs::WorkerNumber aWorker)
{
  sessions_.erase(aWorker);
}

void
Scheduler::Hear(const WorkerBeat& aBeat, Time aNow)
{
  const auto number = book_.NumberOf(aBeat.worker.id);
  WorkerSession* session = number ? SessionOf(*number) : nullptr;
  if (session == nullptr || aBeat.sequence < session->lastSequence)
    return;
  session->lastSequence = aBeat.sequence;
  session->lastBeat = aNow;
  if (aBeat.clock && !session->clockOffset)
    session->clockOffset = *aBeat.clock - aNow;
}

/// The fencing token for one life of a worker: it grows with the term, and
/// within a term from each life to the next, so that calls that were sent to an
/// earlier life do nothing in a later one.
Fence
Scheduler::FenceOf(const WorkerSession& aSession) const
{
  return Fence((fence_->Value() << kLifeBits) |
               (aSession.number.Value() & ((1U << kLifeBits) - 1)));
}

void
Scheduler::Send(WorkerSession& aSession,
                PendingCall aPending,
                WorkerRequest aRequest,
                Duration aTimeout)
{
  const jobs::WorkerRecord& record = RecordOf(aSession);
  const WorkerCallId id(++lastCall_);
  aPending.worker = aSession.number;
  aPending.sentAt = now_.steady;
  calls_.emplace(id, aPending);
  outbox_.Call({ .id = id,
                 .worker = record.id,
                 .endpoint = record.endpoint,
                 .request = std::move(aRequest),
                 .timeout = aTimeout });
}

void
Scheduler::SendStart(WorkerSession& aSession, const TaskId& aTask, Run& aRun)
{
  const auto clock = aSession.ClockAt(now_.steady);
  const jobs::Job* job = book_.Find(aTask.job);
  if (!clock || job == nullptr)
    return;
  if (!aRun.isStartSent) {
    aRun.validUntil = *clock + kStartValidity;
    aRun.isStartSent = true;
    // The start gives the lease that the first lists renew.
    aSession.leaseEnd =
      std::max(aSession.leaseEnd, now_.steady + kStartValidity + kLeaseSlack);
  }
  aRun.isCallInFlight = true;
  UnansweredStarts& unanswered = aSession.unanswered[aTask];
  if (unanswered.attempt != aRun.attempt)
    unanswered = { .attempt = aRun.attempt, .count = 0 };
  ++unanswered.count;
  const auto& checkpoints =
    job->occurrences.at(aTask.occurrence).steps[aTask.step].checkpoints;
  const bool isGang = job->description.steps[aTask.step].isGang;
  // Any member's checkpoint is valid for a gang, and all need the same.
  const auto saved =
    isGang ? checkpoints.begin() : checkpoints.find(aTask.index);
  Send(aSession,
       { .kind = CallKind::Start,
         .worker = {},
         .task = aTask,
         .attempt = aRun.attempt,
         .sentAt = {} },
       StartRun{ .task = aTask,
                 .attempt = aRun.attempt,
                 .payload = job->description.payload,
                 .until = aRun.validUntil,
                 .fence = FenceOf(aSession),
                 .checkpoint =
                   saved == checkpoints.end() ? std::string() : saved->second },
       kCallTimeout);
}

void
Scheduler::SendStop(WorkerSession& aSession,
                    const TaskId& aTask,
                    Attempt aAttempt,
                    Run* aRun)
{
  if (aRun != nullptr) {
    aRun->isCallInFlight = true;
    aRun->nextCall = now_.steady + kRetryInterval;
  }
  Send(
    aSession,
    { .kind = CallKind::Stop,
      .worker = {},
      .task = aTask,
      .attempt = aAttempt,
      .sentAt = {} },
    StopRun{ .task = aTask, .attempt = aAttempt, .fence = FenceOf(aSession) },
    kCallTimeout);
}

void
Scheduler::Renew(WorkerSession& aSession)
{
  const auto clock = aSession.ClockAt(now_.steady);
  // While the worker doesn't answer, its lease must be able to run out.
  const bool isRenewed = clock && aSession.failedCalls == 0;
  const bool hasRuns = !aSession.runs.empty();
  Duration wait;
  if (isRenewed && aSession.isRead && hasRuns && aSession.pendingEnds.empty()) {
    const bool isWatched = std::any_of(
      aSession.runs.begin(), aSession.runs.end(), [](const auto& aItem) {
        return aItem.second.usesIdleProcessors;
      });
    wait = isWatched ? kWatchWait : kListWait;
  }
  RenewLease request{ .until = std::nullopt,
                      .fence = FenceOf(aSession),
                      .lastSeen = aSession.LastSeen(),
                      .wait = wait };
  if (isRenewed) {
    request.until = *clock + options_.lease;
    const Duration longest =
      options_.lease +
      Duration(options_.lease.Millis() * kSlowClockPercent / kPercent) +
      kLeaseSlack;
    aSession.leaseEnd = std::max(aSession.leaseEnd, now_.steady + longest);
  }
  aSession.isRenewalInFlight = true;
  if (!aSession.isRead)
    aSession.nextRenewal = now_.steady + kFirstContactInterval;
  aSession.toldSeen = aSession.LastSeen();
  ++aSession.renewals;
  Send(aSession,
       { .kind = CallKind::Renew,
         .worker = {},
         .task = {},
         .attempt = {},
         .sentAt = {},
         .renewal = aSession.renewals },
       request,
       wait + kCallTimeout);
}

void
Scheduler::TickSession(WorkerSession& aSession)
{
  for (auto& [task, run] : aSession.runs)
    TickRun(aSession, task, run);
  // The first answer of a life raises its fencing token, so that it is asked
  // again without waiting for the answer.
  const bool mayRenew = !aSession.isRenewalInFlight || !aSession.isRead;
  if (mayRenew && aSession.NeedsRenewal() &&
      aSession.nextRenewal <= now_.steady)
    Renew(aSession);
  ExpireLease(aSession);
}

void
Scheduler::TickRun(WorkerSession& aSession, const TaskId& aTask, Run& aRun)
{
  if (aSession.isGone || aRun.isCallInFlight || aRun.nextCall > now_.steady)
    return;
  if (aRun.stage == RunStage::Proposed || aRun.stage == RunStage::Ending)
    return;
  if (aRun.isStopWanted) {
    if (!aRun.listedFrom || aRun.stage == RunStage::Running)
      SendStop(aSession, aTask, aRun.attempt, &aRun);
    return;
  }
  const auto clock = aSession.ClockAt(now_.steady);
  const bool mayBegin = clock && *clock < aRun.validUntil;
  if (aRun.stage == RunStage::Starting && !aRun.listedFrom &&
      (mayBegin || !aRun.isStartSent))
    SendStart(aSession, aTask, aRun);
}

void
Scheduler::ExpireLease(WorkerSession& aSession)
{
  const bool isAnswering =
    aSession.failedCalls == 0 && aSession.isRead && !aSession.isGone;
  const Time end =
    aSession.isGone ? aSession.goneAt + kLatestDelivery : aSession.leaseEnd;
  if (isAnswering || end > now_.steady)
    return;
  for (auto& [task, run] : aSession.runs)
    if (run.stage == RunStage::Starting || run.stage == RunStage::Running)
      EndRun(aSession, task, run, jobs::RunEnd::Lost, {}, "lease ran out");
  const bool isSilent =
    std::max(aSession.lastBeat, aSession.lastAnswer) + kForgetSilence <=
    now_.steady;
  if (aSession.runs.empty() && (isSilent || aSession.isGone))
    outbox_.Propose(jobs::RetireWorker{ .worker = aSession.number });
}

void
Scheduler::EndRun(WorkerSession& aSession,
                  const TaskId& aTask,
                  Run& aRun,
                  jobs::RunEnd aHow,
                  std::string aCheckpoint,
                  const char* aWhy)
{
  static constexpr const char* kNames[] = { "done", "failed", "lost" };
  if (aRun.stage == RunStage::Ending)
    return;
  aRun.stage = RunStage::Ending;
  observe::Log(observe::LogLevel::Info,
               "run-ended",
               { { "task", ToString(aTask) },
                 { "attempt", std::to_string(aRun.attempt.Value()) },
                 { "worker", RecordOf(aSession).id.Value() },
                 { "how", kNames[static_cast<std::size_t>(aHow)] },
                 { "why", aWhy } });
  outbox_.Propose(jobs::EndTask{ .task = aTask,
                                 .attempt = aRun.attempt,
                                 .how = aHow,
                                 .checkpoint = std::move(aCheckpoint),
                                 .at = now_.wall });
}

void
Scheduler::On(const WorkerReply& aReply, Moment aNow)
{
  now_ = aNow;
  const auto found = calls_.find(aReply.id);
  if (found == calls_.end())
    return;
  const PendingCall call = found->second;
  calls_.erase(found);
  WorkerSession* session = SessionOf(call.worker);
  if (session == nullptr)
    return;
  WorkerReply reply = aReply;
  if (IsOfOtherLife(*session, reply)) {
    // Whatever it says, it says nothing of this life.
    reply = WorkerReply();
    reply.id = aReply.id;
    reply.detail = "another life of the worker answered";
  }
  const bool hasAnswered =
    reply.answer != WorkerAnswer::NotSent && reply.answer != WorkerAnswer::None;
  if (hasAnswered) {
    session->lastAnswer = aNow.steady;
    if (reply.clock)
      session->clockOffset = *reply.clock - aNow.steady;
  }
  if (reply.refusal == RefusalReason::Fenced)
    observe::Log(observe::LogLevel::Warning,
                 "worker-fenced",
                 { { "worker", RecordOf(*session).id.Value() },
                   { "fence", std::to_string(fence_->Value()) } });
  switch (call.kind) {
    case CallKind::Start:
      OnStartReply(*session, call, reply);
      break;
    case CallKind::Stop:
      OnStopReply(*session, call, reply);
      break;
    case CallKind::Renew:
      OnRenewReply(*session, call, reply);
      break;
    case CallKind::Throttle:
      break;
  }
}

/// Whether another life answered, by its birth or by a clock that began anew.
/// Its beat registers it and gives the runs of this one up.
bool
Scheduler::IsOfOtherLife(const WorkerSession& aSession,
                         const WorkerReply& aReply) const
{
  const jobs::Incarnation known = RecordOf(aSession).incarnation;
  if (aReply.incarnation && known != jobs::Incarnation(0))
    return *aReply.incarnation != known;
  const auto expected = aSession.ClockAt(now_.steady);
  return aReply.clock && expected &&
         *aReply.clock + kClockTolerance < *expected;
}

void
Scheduler::OnStartReply(WorkerSession& aSession,
                        const PendingCall& aCall,
                        const WorkerReply& aReply)
{
  const auto waiting = aSession.unanswered.find(aCall.task);
  if (aReply.answer != WorkerAnswer::None &&
      waiting != aSession.unanswered.end() &&
      waiting->second.attempt == aCall.attempt && --waiting->second.count == 0)
    aSession.unanswered.erase(waiting);
  const auto found = aSession.runs.find(aCall.task);
  if (found == aSession.runs.end() || found->second.attempt != aCall.attempt)
    return;
  Run& run = found->second;
  run.isCallInFlight = false;
  run.nextCall = now_.steady;
  if (run.stage != RunStage::Starting)
    return;
  switch (aReply.answer) {
    case WorkerAnswer::Done:
      run.stage = RunStage::Running;
      run.confirmedAt = now_.steady;
      run.listedFrom = aSession.renewals + 1;
      if (!aSession.isRenewalInFlight)
        aSession.nextRenewal = now_.steady;
      break;
    case WorkerAnswer::NotSent:
    case WorkerAnswer::None:
      run.nextCall = now_.steady + kRetryInterval;
      break;
    default:
      observe::Log(observe::LogLevel::Warning,
                   "start-refused",
                   { { "task", ToString(aCall.task) },
                     { "worker", RecordOf(aSession).id.Value() },
                     { "reason", aReply.detail } });
      // An earlier send of the same start may have been carried out; the stop
      // and the lists after it tell.
      run.isStopWanted = true;
      break;
  }
  TickSession(aSession);
}

void
Scheduler::OnStopReply(WorkerSession& aSession,
                       const PendingCall& aCall,
                       const WorkerReply& aReply) const
{
  const bool isStopped = aReply.answer == WorkerAnswer::Done ||
                         aReply.answer == WorkerAnswer::OtherWorker ||
                         aReply.refusal == RefusalReason::OldAttempt;
  const auto found = aSession.runs.find(aCall.task);
  if (found == aSession.runs.end() || found->second.attempt != aCall.attempt)
    return;
  Run& run = found->second;
  run.isCallInFlight = false;
  run.nextCall = now_.steady + kRetryInterval;
  if (!isStopped)
    return;
  run.listedFrom = aSession.renewals + 1;
  run.nextCall = now_.steady + kStopPatience;
  if (!aSession.isRenewalInFlight)
    aSession.nextRenewal = now_.steady;
}

void
Scheduler::OnRenewReply(WorkerSession& aSession,
                        const PendingCall& aCall,
                        const WorkerReply& aReply)
{
  if (aCall.renewal == aSession.renewals)
    aSession.isRenewalInFlight = false;
  if (aReply.answer != WorkerAnswer::Done || !aReply.hasLists) {
    ++aSession.failedCalls;
    aSession.nextRenewal = now_.steady + kRetryInterval;
    if (aSession.failedCalls == 1)
      observe::Log(observe::LogLevel::Warning,
                   "worker-not-answering",
                   { { "worker", RecordOf(aSession).id.Value() },
                     { "runs", std::to_string(aSession.runs.size()) },
                     { "reason", aReply.detail } });
    return;
  }
  if (aSession.failedCalls > 0)
    observe::Log(observe::LogLevel::Info,
                 "worker-answering",
                 { { "worker", RecordOf(aSession).id.Value() } });
  const bool wasFailing = aSession.failedCalls > 0 || !aSession.isRead;
  aSession.failedCalls = 0;
  TakeEnds(aSession, aReply);
  const bool hasStrays = TakeRuns(aSession, aReply);
  FindLostRuns(aSession, aCall, aReply);
  KeepTargets(aSession, aReply);
  EndRunsOfEarlierLives(aSession, aReply);
  if (aReply.ended.size() < kMaxListedEnds && !hasStrays)
    aSession.isRead = true;
  if (wasFailing)
    isDirty_ = true;
  aSession.nextRenewal =
    aSession.pendingEnds.empty() ? now_.steady : now_.steady + kCommitPatience;
  TickSession(aSession);
}

static jobs::RunEnd
RunEndOf(ListedEndKind aKind)
{
  if (aKind == ListedEndKind::Done)
    return jobs::RunEnd::Done;
  if (aKind == ListedEndKind::Failed)
    return jobs::RunEnd::Failed;
  return jobs::RunEnd::Lost;
}

static const char*
NameOf(ListedEndKind aKind)
{
  switch (aKind) {
    case ListedEndKind::Done:
      return "worker lists it as done";
    case ListedEndKind::Failed:
      return "worker lists it as failed";
    case ListedEndKind::Stopped:
      return "worker has stopped it";
    case ListedEndKind::LeaseExpired:
      return "its lease ran out on the worker";
    case ListedEndKind::GangBroken:
      return "another member of the gang ended";
    case ListedEndKind::GangIncomplete:
      return "the rest of the gang did not come";
  }
  return "";
}

void
Scheduler::TakeEnds(WorkerSession& aSession, const WorkerReply& aReply)
{
  for (const ListedEnd& end : aReply.ended) {
    aSession.listedUpTo = std::max(aSession.listedUpTo, end.number);
    const auto found = aSession.runs.find(end.task);
    if (found == aSession.runs.end() || found->second.attempt != end.attempt ||
        found->second.stage == RunStage::Proposed)
      continue;
    Run& run = found->second;
    aSession.pendingEnds.insert(end.number);
    run.endNumber = end.number;
    if (run.stage == RunStage::Ending)
      continue;
    if (end.how == ListedEndKind::Failed &&
        ++aSession.failedRuns >= kMaxFailedRuns) {
      aSession.suspendedUntil = now_.steady + kSuspension;
      observe::Log(observe::LogLevel::Warning,
                   "worker-suspended",
                   { { "worker", RecordOf(aSession).id.Value() },
                     { "failed_runs", std::to_string(aSession.failedRuns) } });
    }
    if (end.how == ListedEndKind::Done) {
      aSession.failedRuns = 0;
      if (const jobs::Job* job = book_.Find(end.task.job))
        LearnRunTime(*job, run);
    }
    EndRun(aSession,
           end.task,
           run,
           RunEndOf(end.how),
           end.checkpoint,
           NameOf(end.how));
  }
}

/// \returns whether the worker runs what it should not.
bool
Scheduler::TakeRuns(WorkerSession& aSession, const WorkerReply& aReply)
{
  bool hasStrays = false;
  for (const ListedRun& listed : aReply.running) {
    const auto found = aSession.runs.find(listed.task);
    const bool isKnown =
      found != aSession.runs.end() && found->second.attempt == listed.attempt;
    if (!isKnown) {
      observe::Log(observe::LogLevel::Warning,
                   "stray-run-stopped",
                   { { "task", ToString(listed.task) },
                     { "attempt", std::to_string(listed.attempt.Value()) },
                     { "worker", RecordOf(aSession).id.Value() } });
      SendStop(aSession, listed.task, listed.attempt, nullptr);
      hasStrays = true;
      continue;
    }
    Run& run = found->second;
    run.listedPercent = listed.percent;
    if (run.stage != RunStage::Starting)
      continue;
    run.stage = RunStage::Running;
    if (!run.isStopWanted)
      run.listedFrom = aSession.renewals;
  }
  return hasStrays;
}

static bool
ListsRun(const WorkerReply& aReply, const TaskId& aTask)
{
  return std::any_of(aReply.running.begin(),
                     aReply.running.end(),
                     [&](const ListedRun& aRun) { return aRun.task == aTask; });
}

/// The worker has answered under a fencing token that is higher than those of
/// its earlier lives: what was sent to them is refused from now on.
void
Scheduler::EndRunsOfEarlierLives(const WorkerSession& aSession,
                                 const WorkerReply& aReply)
{
  const jobs::WorkerRecord& record = RecordOf(aSession);
  for (auto& [number, earlier] : sessions_) {
    if (!earlier.isGone || RecordOf(earlier).id != record.id)
      continue;
    for (auto& [task, run] : earlier.runs) {
      if (!ListsRun(aReply, task) && run.stage != RunStage::Proposed)
        EndRun(earlier, task, run, jobs::RunEnd::Lost, {}, "worker restarted");
    }
  }
}

/// Runs that neither list names, though the worker confirmed them or can't
/// begin them any more.
void
Scheduler::FindLostRuns(WorkerSession& aSession,
                        const PendingCall& aCall,
                        const WorkerReply& aReply)
{
  if (aReply.ended.size() >= kMaxListedEnds)
    return;
  std::set<TaskId> listed;
  for (const ListedRun& run : aReply.running)
    listed.insert(run.task);
  for (auto& [task, run] : aSession.runs) {
    if (run.stage != RunStage::Starting && run.stage != RunStage::Running)
      continue;
    if (listed.count(task) != 0)
      continue;
    const bool isConfirmed = run.listedFrom && *run.listedFrom <= aCall.renewal;
    const bool isTooLate = run.stage == RunStage::Starting && run.isStartSent &&
                           !run.isCallInFlight && aReply.clock &&
                           *aReply.clock > run.validUntil &&
                           run.validUntil > Time(0);
    if (isConfirmed || isTooLate)
      EndRun(aSession,
             task,
             run,
             jobs::RunEnd::Lost,
             {},
             isConfirmed ? "worker lists it no more" : "it was never begun");
  }
}

/// Slows filling tasks down while a serving one beside them is near its target.
void
Scheduler::KeepTargets(WorkerSession& aSession, const WorkerReply& aReply)
{
  std::int64_t worstPercent = 0;
  for (const ListedRun& listed : aReply.running) {
    const auto found = aSession.runs.find(listed.task);
    if (found == aSession.runs.end() ||
        found->second.targetLatency <= Duration(0))
      continue;
    worstPercent =
      std::max(worstPercent,
               listed.load * kPercent / found->second.targetLatency.Millis());
  }
  for (auto& [task, run] : aSession.runs) {
    if (!run.usesIdleProcessors || run.stage != RunStage::Running)
      continue;
    std::uint32_t percent = run.percent;
    if (worstPercent > kPercent)
      percent = 0;
    else if (worstPercent > kThrottleAbovePercent)
      percent -= std::min(percent, kThrottleStep);
    else if (worstPercent < kReleaseBelowPercent)
      percent = std::min<std::uint32_t>(percent + kReleaseStep, kPercent);
    if (percent == run.percent)
      continue;
    run.percent = percent;
    Send(aSession,
         { .kind = CallKind::Throttle,
           .worker = {},
           .task = task,
           .attempt = run.attempt,
           .sentAt = {} },
         ThrottleRun{ .task = task,
                      .attempt = run.attempt,
                      .percent = percent,
                      .fence = FenceOf(aSession) },
         kCallTimeout);
  }
}

const WorkerSession*
Scheduler::Find(jobs::WorkerNumber aWorker) const
{
  const auto found = sessions_.find(aWorker);
  return found == sessions_.end() ? nullptr : &found->second;
}

void
Scheduler::Cordon(jobs::WorkerNumber aWorker, bool aIsCordoned)
{
  WorkerSession* session = SessionOf(aWorker);
  if (session == nullptr || session->isCordoned == aIsCordoned)
    return;
  session->isCordoned = aIsCordoned;
  isDirty_ = true;
}

bool
Scheduler::IsAtWork(const WorkerSession& aSession, const TaskId& aTask) const
{
  const auto found = aSession.runs.find(aTask);
  if (found == aSession.runs.end() || aSession.failedCalls > 0)
    return false;
  const Run& run = found->second;
  return run.stage == RunStage::Running && !run.isStopWanted &&
         run.listedPercent >= kPercent;
}

/// Whether a task's step bears that one more of its tasks is away.
bool
Scheduler::MayStop(const TaskId& aTask) const
{
  const jobs::Job* job = book_.Find(aTask.job);
  if (job == nullptr || job->state != jobs::JobState::Live)
    return true;
  const jobs::Step& step = job->description.steps[aTask.step];
  std::uint32_t away = 0;
  TaskId other = aTask;
  for (other.index = 0; other.index < step.count; ++other.index) {
    if (other.index == aTask.index)
      continue;
    const jobs::TaskState* state = book_.Find(other);
    const WorkerSession* session =
      state->phase == jobs::TaskPhase::Assigned ? Find(state->worker) : nullptr;
    away += session != nullptr && IsAtWork(*session, other) ? 0 : 1;
  }
  return away < step.maxUnavailable;
}

/// Keeps room for a run on another worker; true once it is there.
bool
Scheduler::HasRoomElsewhere(const WorkerSession& aSession, const TaskId& aTask)
{
  const jobs::Job* job = book_.Find(aTask.job);
  const auto pool = job == nullptr ? pools_.end() : pools_.find(job->queue);
  if (pool == pools_.end() || book_.CurrentConfiguration() == nullptr)
    return true;
  if (holds_.count(aTask) == 0 &&
      !MakeHold(CandidateOf(*job, pool->second), aTask, aSession.number))
    return false;
  return IsHoldMet(aTask);
}

void
Scheduler::Evacuate(jobs::WorkerNumber aWorker)
{
  WorkerSession* session = SessionOf(aWorker);
  if (session == nullptr)
    return;
  for (auto& [task, run] : session->runs) {
    if (!run.isPersistent || run.stage != RunStage::Running ||
        run.isStopWanted || !MayStop(task) || !HasRoomElsewhere(*session, task))
      continue;
    observe::Log(observe::LogLevel::Info,
                 "run-evacuated",
                 { { "task", ToString(task) },
                   { "worker", RecordOf(*session).id.Value() } });
    run.isStopWanted = true;
    run.nextCall = now_.steady;
    TickRun(*session, task, run);
  }
}

void
Scheduler::Tick(Moment aNow)
{
  if (!IsLeading())
    return;
  now_ = aNow;
  for (auto& [number, session] : sessions_)
    TickSession(session);
  ForgetOldJobs();
  // Occurrences come due and suspended workers come back by time alone.
  if (!live_.empty() && now_.steady >= nextDispatch_) {
    nextDispatch_ = now_.steady + kDispatchInterval;
    isDirty_ = true;
  }
}
