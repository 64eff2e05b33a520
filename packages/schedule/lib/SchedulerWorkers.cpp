#include "greengage/schedule/Scheduler.h"

#include "SchedulerBounds.h"

#include "greengage/observe/Log.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <utility>

using namespace greengage;
using namespace greengage::schedule;
using namespace greengage::schedule::detail;

/// Interval of dispatch passes when no event has triggered one.
static constexpr Duration kDispatchInterval = Duration(100);
/// A run that is not persistent must have been running for this long when its
/// worker last answered before its start is recorded. Few runs last as long, so
/// that few need a log entry.
static constexpr Duration kMinRecordedRunTime = Duration(4000);
/// A worker that has been silent for this long is removed from the registry.
static constexpr Duration kRetireSilence = Duration::Seconds(12);

WorkerSession*
Scheduler::SessionOf(jobs::WorkerNumber aWorker)
{
  const auto found = sessions_.find(aWorker);
  return found == sessions_.end() ? nullptr : &found->second;
}

void
Scheduler::OnWorkerRegistered(jobs::WorkerNumber aWorker)
{
  if (!IsLeading())
    return;
  const auto [it, isNew] = sessions_.try_emplace(aWorker);
  WorkerSession& session = it->second;
  session.number = aWorker;
  session.record = &stateMachine_.Workers().at(aWorker);
  session.lastHeartbeat = now_.steady;
  if (isNew)
    AdoptCapacity(session);
  if (!session.isSuperseded)
    poolIndex_.Put(session.record->pool, session.record->rack, session);
  isDispatchDue_ = true;
  if (!isNew)
    return;
  session.leaseExpiry = now_.steady;
  permitCache_.ExpirePermits(RecordOf(session).id);
  SupersedeEarlierIncarnations(aWorker);
  ChargeSuspectedRuns(RecordOf(session));
  // A worker that was retired and registers again was only cut off.
  session.isCrashSuspected = HasSuspectedRuns(RecordOf(session));
  DismissSuspicions(session);
  TickSession(session);
}

/// Whether \p aLatest is a later incarnation of the worker that \p aEarlier
/// names, or a later worker on its host.
template<typename Identity>
static bool
IsSuccessor(const jobs::WorkerRecord& aLatest, const Identity& aEarlier)
{
  const bool isSameHost =
    !aLatest.host.Value().empty() && aEarlier.host == aLatest.host;
  return (aEarlier.id == aLatest.id || isSameHost) &&
         aEarlier.incarnation < aLatest.incarnation;
}

/// Marks earlier incarnations on the same worker or host as superseded and ends
/// their runs, except those that may still start on the new incarnation.
void
Scheduler::SupersedeEarlierIncarnations(jobs::WorkerNumber aWorker)
{
  const jobs::WorkerRecord& latest = stateMachine_.Workers().at(aWorker);
  for (auto& [number, session] : sessions_) {
    if (number == aWorker || session.isSuperseded)
      continue;
    const jobs::WorkerRecord& record = RecordOf(session);
    if (!IsSuccessor(latest, record))
      continue;
    ChargeCrash(session);
    session.isSuperseded = true;
    session.supersededAt = now_.steady;
    supersededWorkers_[record.id].insert(number);
    poolIndex_.Remove(session);
    const bool isSameAddress =
      record.id == latest.id && record.endpoint == latest.endpoint;
    // Calls that name an incarnation are only sent on connections that it has
    // accepted, so that no later one gets them.
    if (isSameAddress && record.incarnation == jobs::Incarnation(0))
      AllowForForeignLease(sessions_.at(aWorker));
    for (auto& [task, run] : session.runs) {
      run.isStopRequested = true;
      run.nextCallAt = now_.steady;
      // An unanswered start request may still be executed by the new
      // incarnation, until that has seen its own, higher fencing token.
      const bool mayStillStart =
        isSameAddress && session.HasUnansweredStart(task);
      if (run.stage != RunStage::Proposed && run.stage != RunStage::Ending &&
          !mayStillStart)
        EndRun(
          session, task, run, jobs::RunOutcome::Lost, {}, "worker restarted");
    }
  }
}

/// Records a crash for the runs that may have crashed a worker whose later
/// incarnation has registered or answered.
void
Scheduler::ChargeCrash(WorkerSession& aSession)
{
  const jobs::WorkerRecord& worker = RecordOf(aSession);
  for (const auto& [task, run] : aSession.runs)
    if (!worker.isDraining && aSession.MayHaveCrashedWorker(task, run))
      RecordCrash(worker, task, run.attempt, run.stage == RunStage::Running);
}

void
Scheduler::RecordCrash(const jobs::WorkerRecord& aWorker,
                       const TaskId& aTask,
                       Attempt aAttempt,
                       bool aIsStartConfirmed)
{
  observe::Log(observe::LogLevel::Warning,
               "worker-crashed-under-task",
               { { "task", ToString(aTask) },
                 { "attempt", std::to_string(aAttempt.Value()) },
                 { "worker", aWorker.id.Value() },
                 { "host", aWorker.host.Value() },
                 { "start_confirmed", aIsStartConfirmed ? "yes" : "no" } });
  outbox_.Propose(jobs::RecordCrash{ .task = aTask,
                                     .attempt = aAttempt,
                                     .isStartConfirmed = aIsStartConfirmed,
                                     .at = now_.wall });
}

/// Records the crashes that \p aLatest shows: those under the suspected runs of
/// its earlier incarnations and of earlier workers on its host. Where the host
/// was ordered from the provider after such a run, the order explains the later
/// incarnation. A host with runs is not ordered.
void
Scheduler::ChargeSuspectedRuns(const jobs::WorkerRecord& aLatest)
{
  for (const auto& [run, suspected] : stateMachine_.SuspectedRuns())
    if (IsSuccessor(aLatest, suspected) &&
        suspected.hostOrderCount ==
          stateMachine_.OrderIntentCount(aLatest.host))
      RecordCrash(aLatest, run.first, run.second, suspected.isStartConfirmed);
}

bool
Scheduler::HasSuspectedRuns(const jobs::WorkerRecord& aWorker) const
{
  const auto& runs = stateMachine_.SuspectedRuns();
  return std::any_of(runs.begin(), runs.end(), [&](const auto& aItem) {
    return aItem.second.id == aWorker.id &&
           aItem.second.incarnation == aWorker.incarnation;
  });
}

/// Clears the runs that were suspected of having crashed a worker which has
/// turned out to be up: it was only cut off.
void
Scheduler::DismissSuspicions(WorkerSession& aSession)
{
  if (!aSession.isCrashSuspected)
    return;
  aSession.isCrashSuspected = false;
  const jobs::WorkerRecord& worker = RecordOf(aSession);
  outbox_.Propose(jobs::DismissSuspicions{ .worker = worker.id,
                                           .incarnation = worker.incarnation });
}

/// Extends the bound of the worker's lease for calls meant for an earlier
/// incarnation: their times, on the clock of that one, may be far ahead of this
/// one's, so that only the worker's own limit shortens the lease.
void
Scheduler::AllowForForeignLease(WorkerSession& aSession) const
{
  aSession.mayHoldForeignLease = true;
  const Duration bound = LeaseExpiryBound(options_.maxLease);
  aSession.leaseExpiry = std::max(aSession.leaseExpiry, now_.steady + bound);
  observe::Log(
    observe::LogLevel::Info,
    "longest-lease-allowed",
    { { "worker", RecordOf(aSession).id.Value() },
      { "incarnation", std::to_string(RecordOf(aSession).incarnation.Value()) },
      { "bound_ms", std::to_string(bound.Millis()) } });
}

void
Scheduler::OnWorkerRetired(jobs::WorkerNumber aWorker)
{
  std::erase_if(latestHeartbeats_, [&](const auto& aItem) {
    return !stateMachine_.FindWorkerNumber(aItem.first);
  });
  const auto found = sessions_.find(aWorker);
  if (found == sessions_.end())
    return;
  poolIndex_.Remove(found->second);
  for (auto it = supersededWorkers_.begin(); it != supersededWorkers_.end();) {
    it->second.erase(aWorker);
    it = it->second.empty() ? supersededWorkers_.erase(it) : std::next(it);
  }
  sessions_.erase(found);
}

bool
Scheduler::IsOutdated(const WorkerHeartbeat& aBeat) const
{
  const auto number = stateMachine_.FindWorkerNumber(aBeat.worker.id);
  if (number && aBeat.worker.incarnation <
                  stateMachine_.Workers().at(*number).incarnation)
    return true;
  const auto latest = latestHeartbeats_.find(aBeat.worker.id);
  return latest != latestHeartbeats_.end() &&
         std::tie(aBeat.worker.incarnation, aBeat.sequence) <
           std::tie(latest->second.worker.incarnation, latest->second.sequence);
}

void
Scheduler::OnHeartbeat(const WorkerHeartbeat& aBeat, Time aNow)
{
  if (IsOutdated(aBeat))
    return;
  latestHeartbeats_.insert_or_assign(aBeat.worker.id, aBeat);
  const auto number = stateMachine_.FindWorkerNumber(aBeat.worker.id);
  WorkerSession* session = number ? SessionOf(*number) : nullptr;
  if (session == nullptr ||
      RecordOf(*session).incarnation != aBeat.worker.incarnation)
    return;
  session->lastHeartbeat = aNow;
  if (aBeat.clock)
    session->UpdateClock(*aBeat.clock, aNow);
  const jobs::Resources previous = session->capacity;
  AdoptCapacity(*session);
  isDispatchDue_ = isDispatchDue_ || session->capacity != previous;
}

/// Takes the capacity from the worker's latest heartbeat. Until one has been
/// handled, the capacity is the registered one.
void
Scheduler::AdoptCapacity(WorkerSession& aSession)
{
  const jobs::WorkerRecord& record = RecordOf(aSession);
  const auto latest = latestHeartbeats_.find(record.id);
  const bool hasHeartbeat =
    latest != latestHeartbeats_.end() &&
    latest->second.worker.incarnation == record.incarnation;
  aSession.capacity =
    hasHeartbeat ? latest->second.worker.capacity : record.capacity;
  if (hasHeartbeat)
    aSession.capacityStatedAt = latest->second.clock;
  poolIndex_.Update(aSession);
}

void
Scheduler::TickSession(WorkerSession& aSession)
{
  for (auto& [task, run] : aSession.runs)
    TickRun(aSession, task, run);
  RecordConfirmedStarts(aSession);
  if (aSession.NeedsProbe() && !aSession.isProbeInFlight &&
      aSession.nextProbeAt <= now_.steady)
    ProbeLaterIncarnation(aSession);
  // Until the worker's lists have been processed, the renewal is repeated
  // without waiting for an answer, because the first call that arrives raises
  // the worker's fencing token.
  const bool mayRenew = !aSession.isRenewalInFlight || !aSession.isReconciled;
  if (mayRenew && aSession.NeedsRenewal() &&
      aSession.nextRenewalAt <= now_.steady)
    Renew(aSession);
  ExpireLease(aSession);
}

/// Records the confirmed starts of persistent runs and of those that go on for
/// long. A later leader then neither expects these starts on another
/// incarnation of the worker nor takes the runs for just started. Other runs
/// end too soon to be worth a record.
void
Scheduler::RecordConfirmedStarts(WorkerSession& aSession)
{
  for (auto& [task, run] : aSession.runs) {
    const bool isDue =
      run.isPersistent ||
      run.runningSince + kMinRecordedRunTime <= aSession.lastAnswer;
    if (!isDue || run.isStartRecorded || run.stage != RunStage::Running ||
        aSession.HasUnansweredStart(task))
      continue;
    run.isStartRecorded = true;
    outbox_.Propose(jobs::ConfirmStart{ .task = task, .attempt = run.attempt });
  }
}

void
Scheduler::TickRun(WorkerSession& aSession, const TaskId& aTask, Run& aRun)
{
  if (aSession.isSuperseded || aSession.laterIncarnationAnsweredAt ||
      aRun.isCallInFlight || aRun.nextCallAt > now_.steady)
    return;
  if (aRun.stage == RunStage::Proposed || aRun.stage == RunStage::Ending)
    return;
  if (aRun.isStopRequested) {
    if (!aRun.firstListingRenewal || aRun.stage == RunStage::Running)
      SendStop(aSession, aTask, aRun.attempt, &aRun);
    return;
  }
  const auto clock = aSession.WorkerClockAt(now_.steady);
  const bool mayStart = clock && *clock < aRun.startDeadline;
  const bool isDue = aRun.stage == RunStage::Starting &&
                     !aRun.firstListingRenewal &&
                     (mayStart || !aRun.isStartSent);
  if (!isDue)
    return;
  if (aSession.MayRepeatStart(aTask, aRun)) {
    SendStart(aSession, aTask, aRun);
    return;
  }
  aRun.nextCallAt = now_.steady + kRetryInterval;
  if (!aSession.isContactInFlight)
    Renew(aSession, RenewalPurpose::Contact);
}

/// Logs by which bound the lease has expired, if runs end with it.
static void
LogExpiry(const WorkerSession& aSession, Time aNow)
{
  const auto runs = std::count_if(
    aSession.runs.begin(), aSession.runs.end(), [](const auto& aItem) {
      return aItem.second.stage == RunStage::Starting ||
             aItem.second.stage == RunStage::Running;
    });
  if (runs == 0)
    return;
  const char* bound = "lease";
  if (aSession.laterIncarnationAnsweredAt)
    bound = "later incarnation answered";
  if (aSession.isSuperseded)
    bound = "superseded";
  const auto age = [&](Time aTime) {
    return aTime == Time(0) ? "never" : std::to_string((aNow - aTime).Millis());
  };
  observe::Log(
    observe::LogLevel::Info,
    "lease-expired",
    { { "worker", aSession.record->id.Value() },
      { "incarnation", std::to_string(aSession.record->incarnation.Value()) },
      { "bound", bound },
      { "runs", std::to_string(runs) },
      { "unanswered_starts", std::to_string(aSession.unansweredStarts.size()) },
      { "last_answer_age_ms", age(aSession.lastAnswer) },
      { "unanswered_call_age_ms",
        age(aSession.lastUnansweredCallAt.value_or(Time(0))) } });
}

void
Scheduler::ExpireLease(WorkerSession& aSession)
{
  if (aSession.IsObsolete() && HoldsLeaderLease()) {
    outbox_.Propose(jobs::RetireWorker{ .worker = aSession.number });
    return;
  }
  const bool isAnswering = aSession.consecutiveFailedCalls == 0 &&
                           aSession.isReconciled && !aSession.isSuperseded &&
                           !aSession.laterIncarnationAnsweredAt;
  if (isAnswering || !HoldsLeaderLease() ||
      LeaseExpiryOf(aSession) > now_.steady)
    return;
  LogExpiry(aSession, now_.steady);
  for (auto& [task, run] : aSession.runs) {
    if (run.stage != RunStage::Starting && run.stage != RunStage::Running)
      continue;
    jobs::CrashSuspicion suspicion = jobs::CrashSuspicion::None;
    if (!aSession.isSuperseded && aSession.MayHaveCrashedWorker(task, run)) {
      suspicion = run.stage == RunStage::Running
                    ? jobs::CrashSuspicion::StartConfirmed
                    : jobs::CrashSuspicion::StartUnconfirmed;
      aSession.isCrashSuspected = true;
    }
    EndRun(aSession,
           task,
           run,
           jobs::RunOutcome::Lost,
           {},
           "lease expired",
           suspicion);
  }
  const bool isSilent =
    std::max(aSession.lastHeartbeat, aSession.lastAnswer) + kRetireSilence <=
    now_.steady;
  if (aSession.runs.empty() && (isSilent || aSession.isSuperseded))
    outbox_.Propose(jobs::RetireWorker{ .worker = aSession.number });
}

void
Scheduler::EndRun(WorkerSession& aSession,
                  const TaskId& aTask,
                  Run& aRun,
                  jobs::RunOutcome aOutcome,
                  std::string aCheckpoint,
                  const char* aReason,
                  jobs::CrashSuspicion aSuspicion)
{
  static constexpr const char* kNames[] = { "done", "failed", "lost" };
  if (aRun.stage == RunStage::Ending)
    return;
  aRun.stage = RunStage::Ending;
  const std::uint32_t maxAttempts = stateMachine_.MaxAttemptsOf(aTask.job);
  const std::uint32_t statedLimit =
    stateMachine_.StatedLimitOf(aTask, aRun.attempt, aOutcome);
  observe::Log(
    observe::LogLevel::Info,
    "run-ended",
    { { "task", ToString(aTask) },
      { "attempt", std::to_string(aRun.attempt.Value()) },
      { "worker", RecordOf(aSession).id.Value() },
      { "how", kNames[static_cast<std::size_t>(aOutcome)] },
      { "why", aReason },
      { "failed_runs", std::to_string(stateMachine_.FailedRunsOf(aTask)) },
      { "max_attempts", std::to_string(maxAttempts) },
      { "stated_limit", std::to_string(statedLimit) } });
  outbox_.Propose(jobs::EndRun{ .task = aTask,
                                .attempt = aRun.attempt,
                                .outcome = aOutcome,
                                .checkpoint = std::move(aCheckpoint),
                                .at = now_.wall,
                                .suspicion = aSuspicion,
                                .maxAttempts = statedLimit });
}

const WorkerSession*
Scheduler::FindSession(jobs::WorkerNumber aWorker) const
{
  const auto found = sessions_.find(aWorker);
  return found == sessions_.end() ? nullptr : &found->second;
}

void
Scheduler::Contact(jobs::WorkerNumber aWorker)
{
  WorkerSession* session = SessionOf(aWorker);
  if (session != nullptr && !session->isRenewalInFlight &&
      !session->isSuperseded && !session->laterIncarnationAnsweredAt)
    Renew(*session);
}

void
Scheduler::Cordon(jobs::WorkerNumber aWorker, bool aIsCordoned)
{
  WorkerSession* session = SessionOf(aWorker);
  if (session == nullptr || session->isCordoned == aIsCordoned)
    return;
  session->isCordoned = aIsCordoned;
  isDispatchDue_ = true;
}

bool
Scheduler::IsAvailable(const WorkerSession& aSession, const TaskId& aTask) const
{
  const auto found = aSession.runs.find(aTask);
  if (found == aSession.runs.end() || aSession.consecutiveFailedCalls > 0)
    return false;
  const Run& run = found->second;
  return run.stage == RunStage::Running && !run.isStopRequested &&
         run.progressPercent >= kPercent;
}

/// Whether stopping the task keeps its step within its limit on unavailable
/// tasks.
bool
Scheduler::MayDisrupt(const TaskId& aTask) const
{
  const jobs::Job* job = stateMachine_.Find(aTask.job);
  if (job == nullptr || job->state != jobs::JobState::Live)
    return true;
  const jobs::Step& step = job->description.steps[aTask.step];
  std::uint32_t unavailable = 0;
  TaskId other = aTask;
  for (other.index = 0; other.index < step.count; ++other.index) {
    if (other.index == aTask.index)
      continue;
    const jobs::TaskState* state = stateMachine_.Find(other);
    const WorkerSession* session = state->phase == jobs::TaskPhase::Assigned
                                     ? FindSession(state->worker)
                                     : nullptr;
    unavailable += session != nullptr && IsAvailable(*session, other) ? 0 : 1;
  }
  return unavailable < step.maxUnavailable;
}

/// Reserves capacity for a task on a worker other than the one that runs it.
/// \returns whether the reserved capacity is free. Also true if the task's pool
/// is unknown, since no capacity can be reserved then.
bool
Scheduler::ReserveElsewhere(const WorkerSession& aSession, const TaskId& aTask)
{
  const jobs::Job* job = stateMachine_.Find(aTask.job);
  const QueueState* queue = job == nullptr ? nullptr : FindQueue(job->queue);
  if (queue == nullptr)
    return true;
  if (reservations_.count(aTask) == 0 &&
      !ReserveCapacity(MakeCandidate(*job, *queue), aTask, aSession.number)) {
    lastShortageAt_[queue->definition->pool] = now_.steady;
    return false;
  }
  return IsReservedCapacityFree(aTask);
}

void
Scheduler::Evacuate(jobs::WorkerNumber aWorker)
{
  WorkerSession* session = SessionOf(aWorker);
  if (session == nullptr)
    return;
  unreservable_.Clear();
  for (auto& [task, run] : session->runs) {
    if (!run.isPersistent || run.stage != RunStage::Running ||
        run.isStopRequested || !MayDisrupt(task) ||
        !ReserveElsewhere(*session, task))
      continue;
    observe::Log(observe::LogLevel::Info,
                 "run-evacuated",
                 { { "task", ToString(task) },
                   { "worker", RecordOf(*session).id.Value() } });
    run.isStopRequested = true;
    run.nextCallAt = now_.steady;
    TickRun(*session, task, run);
  }
}

void
Scheduler::Tick(ClockReading aNow)
{
  if (!IsLeading())
    return;
  now_ = aNow;
  for (auto& [number, session] : sessions_)
    TickSession(session);
  ForgetExpiredJobs();
  ReportIdlePersistentTasks();
  // No event marks that an occurrence has come due or a suspension has ended,
  // so dispatch also runs periodically.
  if (!liveJobs_.empty() && now_.steady >= nextDispatchAt_) {
    nextDispatchAt_ = now_.steady + kDispatchInterval;
    isDispatchDue_ = true;
  }
}
