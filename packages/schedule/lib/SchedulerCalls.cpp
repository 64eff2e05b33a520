#include "greengage/schedule/Scheduler.h"

#include "SchedulerBounds.h"

#include "greengage/observe/Log.h"

#include <algorithm>
#include <utility>
#include <variant>

using namespace greengage;
using namespace greengage::schedule;
using namespace greengage::schedule::detail;

/// How long after its first transmission a start request remains valid.
static constexpr Duration kStartValidity = Duration(2000);
/// Long-poll timeout of a renewal: how long a worker may wait for a run to end
/// before it answers with its lists.
static constexpr Duration kLongPollTimeout = Duration(1000);
/// Long-poll timeout while best-effort tasks run, which may slow down
/// latency-sensitive tasks and are then throttled. Workers measure the load
/// over half a second.
static constexpr Duration kThrottlingLongPollTimeout = Duration(400);
/// Long-poll timeout while a persistent task starts up: until the lists show it
/// at work, no other task of its step may be moved off its host.
static constexpr Duration kStartupLongPollTimeout = Duration(200);
/// Delay before an acknowledged stop is sent again if the end of the run is not
/// listed yet.
static constexpr Duration kStopResendInterval = Duration::Seconds(1);
/// Number of low bits of a fencing token that distinguish incarnations of
/// workers.
static constexpr unsigned kIncarnationBits = 20;
/// Interval of calls to an incarnation whose lists have not been processed yet.
static constexpr Duration kReconcileInterval = Duration(100);
/// How far a worker's clock may appear to go back within one incarnation.
static constexpr Duration kClockTolerance = Duration(1000);
/// Delay before the next renewal while listed ends wait for their commit.
static constexpr Duration kPendingCommitInterval = Duration(300);

/// \returns the fencing token for one incarnation of a worker. It increases
/// with the term and, within a term, with each incarnation, so that a later
/// incarnation rejects calls that were sent to an earlier one.
FencingToken
Scheduler::FenceOf(const WorkerSession& aSession) const
{
  return FencingToken(
    (fence_->Value() << kIncarnationBits) |
    (aSession.number.Value() & ((1U << kIncarnationBits) - 1)));
}

/// Whether another incarnation would take what is meant for this one for its
/// own: a run and its lease, whose times are on this one's clock, or the
/// numbers of its ends.
static bool
IsForOneIncarnation(const WorkerRequest& aRequest)
{
  if (const auto* renewal = std::get_if<RenewLease>(&aRequest))
    return renewal->leaseExpiry ||
           renewal->lastAcknowledgedEnd > RunEndSequence(0);
  return std::holds_alternative<StartRun>(aRequest);
}

void
Scheduler::Send(WorkerSession& aSession,
                PendingCall aPending,
                WorkerRequest aRequest,
                Duration aTimeout)
{
  const jobs::WorkerRecord& record = RecordOf(aSession);
  const WorkerCallId id(++lastCallId_);
  aPending.worker = aSession.number;
  aPending.sentAt = now_.steady;
  pendingCalls_.emplace(id, aPending);
  if (aPending.kind != CallKind::Probe)
    ++aSession.pendingCallCount;
  std::optional<jobs::Incarnation> incarnation;
  if (record.incarnation != jobs::Incarnation(0) &&
      IsForOneIncarnation(aRequest))
    incarnation = record.incarnation;
  outbox_.Call({ .id = id,
                 .worker = record.id,
                 .endpoint = record.endpoint,
                 .request = std::move(aRequest),
                 .timeout = aTimeout,
                 .sendBefore = leaderLeaseEnd_,
                 .incarnation = incarnation });
}

void
Scheduler::SendStart(WorkerSession& aSession, const TaskId& aTask, Run& aRun)
{
  const auto clock = aSession.WorkerClockAt(now_.steady);
  const jobs::Job* job = stateMachine_.Find(aTask.job);
  if (!clock || job == nullptr || !HoldsLeaderLease())
    return;
  if (!aSession.HasRoomToStart(aTask, now_.steady)) {
    WithholdStart(aSession, aTask, aRun);
    return;
  }
  const auto unanswered = aSession.unansweredStarts.find(aTask);
  const bool isRepeat =
    aRun.isStartSent || (unanswered != aSession.unansweredStarts.end() &&
                         unanswered->second.attempt == aRun.attempt);
  if (isRepeat && !aRun.isRepeatRecorded) {
    RepeatStart(aTask, aRun);
    return;
  }
  if (!aRun.isStartSent) {
    aRun.startDeadline = *clock + kStartValidity;
    aRun.isStartSent = true;
    aRun.startSentAt = now_.steady;
    // A start request also grants a lease until the start deadline; the next
    // renewal extends it.
    aSession.leaseExpiry = std::max(
      aSession.leaseExpiry, now_.steady + kStartValidity + kClockUncertainty);
  }
  aRun.isCallInFlight = true;
  UnansweredStarts& starts = aSession.unansweredStarts[aTask];
  if (starts.attempt != aRun.attempt)
    starts = {
      .attempt = aRun.attempt, .count = 0, .sent = 0, .lastSentAt = {}
    };
  ++starts.count;
  ++starts.sent;
  starts.lastSentAt = now_.steady;
  const auto& checkpoints =
    job->occurrences.at(aTask.occurrence).steps[aTask.step].checkpoints;
  const bool isGang = job->description.steps[aTask.step].isGang;
  // All members of a gang must resume from the same checkpoint; that of any
  // member is valid.
  const auto savedCheckpoint =
    isGang ? checkpoints.begin() : checkpoints.find(aTask.index);
  const auto permit =
    permitCache_.FindPermit(StepOf(aTask), RecordOf(aSession).id, now_.steady);
  Send(aSession,
       { .kind = CallKind::Start,
         .worker = {},
         .task = aTask,
         .attempt = aRun.attempt,
         .sentAt = {} },
       StartRun{ .task = aTask,
                 .attempt = aRun.attempt,
                 .payload = job->description.payload,
                 .startDeadline = aRun.startDeadline,
                 .fence = FenceOf(aSession),
                 .checkpoint = savedCheckpoint == checkpoints.end()
                                 ? std::string()
                                 : savedCheckpoint->second,
                 .permit = permit.value_or(Permit()) },
       kCallTimeout);
}

/// Records that the start request is about to be sent again, which happens once
/// that is committed. The first request needs no record.
void
Scheduler::RepeatStart(const TaskId& aTask, Run& aRun)
{
  if (aRun.isRepeatProposed)
    return;
  aRun.isRepeatProposed = true;
  outbox_.Propose(jobs::RepeatStart{ .task = aTask, .attempt = aRun.attempt });
}

void
Scheduler::OnStartRepeated(const jobs::RepeatStart& aStart)
{
  const jobs::TaskState* task = stateMachine_.Find(aStart.task);
  WorkerSession* session = IsLeading() ? SessionOf(task->worker) : nullptr;
  if (session == nullptr)
    return;
  const auto found = session->runs.find(aStart.task);
  if (found == session->runs.end() || found->second.attempt != aStart.attempt)
    return;
  found->second.isRepeatRecorded = true;
  TickRun(*session, aStart.task, found->second);
}

/// Gives up a run whose worker lacks the capacity for it, unless an earlier
/// start request may have been executed: the worker's lists show that.
void
Scheduler::WithholdStart(WorkerSession& aSession,
                         const TaskId& aTask,
                         Run& aRun)
{
  if (!aSession.HasUnansweredStart(aTask)) {
    EndRun(aSession,
           aTask,
           aRun,
           jobs::RunOutcome::Lost,
           {},
           "worker's capacity shrank before the start");
    return;
  }
  // A start of an earlier leadership may still arrive. The worker has not
  // listed it, so that a stop ends no run but rules that out.
  if (!aRun.isStartSent && aSession.isReconciled)
    aRun.isStopRequested = true;
}

void
Scheduler::SendStop(WorkerSession& aSession,
                    const TaskId& aTask,
                    Attempt aAttempt,
                    Run* aRun)
{
  if (!HoldsLeaderLease())
    return;
  if (aRun != nullptr) {
    aRun->isCallInFlight = true;
    aRun->nextCallAt = now_.steady + kRetryInterval;
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
Scheduler::Renew(WorkerSession& aSession, RenewalPurpose aPurpose)
{
  if (!HoldsLeaderLease())
    return;
  const auto clock = aSession.WorkerClockAt(now_.steady);
  const bool isContact = aPurpose == RenewalPurpose::Contact;
  // The lease of an unresponsive worker must be able to expire.
  const bool extendsLease =
    clock && aSession.consecutiveFailedCalls == 0 && !isContact;
  const bool hasRuns = !aSession.runs.empty();
  Duration wait;
  if (extendsLease && aSession.isReconciled && hasRuns &&
      aSession.pendingEnds.empty()) {
    const bool hasBestEffortRuns = std::any_of(
      aSession.runs.begin(), aSession.runs.end(), [](const auto& aItem) {
        return aItem.second.usesIdleProcessors;
      });
    wait = hasBestEffortRuns ? kThrottlingLongPollTimeout : kLongPollTimeout;
    const bool isStartingUp = std::any_of(
      aSession.runs.begin(), aSession.runs.end(), [](const auto& aItem) {
        return aItem.second.isPersistent &&
               aItem.second.stage == RunStage::Running &&
               aItem.second.progressPercent < kPercent;
      });
    if (isStartingUp)
      wait = kStartupLongPollTimeout;
  }
  // After a failed call a later incarnation may execute this one, and would
  // take the numbers for those of its own ends.
  const RunEndSequence acknowledged = aSession.consecutiveFailedCalls == 0
                                        ? aSession.LastCommittedEnd()
                                        : RunEndSequence(0);
  RenewLease request{ .leaseExpiry = std::nullopt,
                      .fence = FenceOf(aSession),
                      .lastAcknowledgedEnd = acknowledged,
                      .longPollTimeout = wait };
  if (extendsLease) {
    request.leaseExpiry = *clock + options_.lease;
    const Duration bound = LeaseExpiryBound(options_.lease);
    aSession.leaseExpiry = std::max(aSession.leaseExpiry, now_.steady + bound);
  }
  ++aSession.renewalCount;
  if (isContact) {
    aSession.isContactInFlight = true;
  } else {
    aSession.isRenewalInFlight = true;
    aSession.latestRegularRenewal = aSession.renewalCount;
  }
  if (!aSession.isReconciled)
    aSession.nextRenewalAt = now_.steady + kReconcileInterval;
  aSession.lastAcknowledgedEnd = acknowledged;
  Send(aSession,
       { .kind = CallKind::Renew,
         .worker = {},
         .task = {},
         .attempt = {},
         .sentAt = {},
         .renewalNumber = aSession.renewalCount,
         .isContact = isContact },
       request,
       wait + kCallTimeout);
}

static void
LogForeignReply(const WorkerSession& aSession,
                const WorkerReply& aReply,
                Time aNow)
{
  const auto expected = aSession.WorkerClockAt(aNow);
  observe::Log(
    observe::LogLevel::Warning,
    "other-incarnation-replied",
    { { "worker", aSession.record->id.Value() },
      { "incarnation", std::to_string(aSession.record->incarnation.Value()) },
      { "replied",
        aReply.incarnation ? std::to_string(aReply.incarnation->Value())
                           : "not stated" },
      { "call_sent",
        aReply.answer == WorkerCallStatus::NotSent ? "no" : "yes" },
      { "clock",
        aReply.clock ? std::to_string(aReply.clock->Millis()) : "not stated" },
      { "expected_clock",
        std::to_string(expected.value_or(Time(0)).Millis()) } });
}

void
Scheduler::On(const WorkerReply& aReply, ClockReading aNow)
{
  now_ = aNow;
  const auto found = pendingCalls_.find(aReply.id);
  if (found == pendingCalls_.end())
    return;
  const PendingCall call = found->second;
  pendingCalls_.erase(found);
  WorkerSession* session = SessionOf(call.worker);
  if (session == nullptr)
    return;
  if (call.kind == CallKind::Probe) {
    OnProbeReply(*session, aReply);
    return;
  }
  --session->pendingCallCount;
  if (aReply.answer == WorkerCallStatus::NoAnswer)
    session->lastUnansweredCallAt = std::max(
      session->lastUnansweredCallAt.value_or(call.sentAt), call.sentAt);
  // The reply of another incarnation says nothing about this one: the call is
  // treated as unanswered.
  const bool isFromOther = IsFromOtherIncarnation(*session, aReply);
  WorkerReply unanswered;
  if (isFromOther) {
    unanswered.id = aReply.id;
    // Nobody has executed a call that was refused or held back.
    if (aReply.answer != WorkerCallStatus::Done &&
        aReply.answer != WorkerCallStatus::NoAnswer)
      unanswered.answer = WorkerCallStatus::NotSent;
    unanswered.detail = "another life of the worker answered";
  }
  const WorkerReply& reply = isFromOther ? unanswered : aReply;
  if (call.kind == CallKind::Start)
    SettleStart(*session, call, reply.answer);
  if (isFromOther) {
    LogForeignReply(*session, aReply, now_.steady);
    if (aReply.incarnation &&
        *aReply.incarnation > RecordOf(*session).incarnation)
      OnLaterIncarnationAnswered(*session, *aReply.incarnation);
  }
  // Another worker at the address shows that this one is gone.
  const bool hasAnswered = reply.answer != WorkerCallStatus::NotSent &&
                           reply.answer != WorkerCallStatus::NoAnswer &&
                           reply.answer != WorkerCallStatus::OtherWorker;
  if (hasAnswered) {
    session->lastAnswer = aNow.steady;
    session->lastAnsweredCallSentAt =
      std::max(session->lastAnsweredCallSentAt, call.sentAt);
    if (reply.clock)
      session->UpdateClock(*reply.clock, aNow.steady);
    if (reply.incarnation == RecordOf(*session).incarnation)
      session->DropExpiredStarts(call.sentAt);
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
    case CallKind::Probe:
      break;
  }
}

void
Scheduler::On(const AdviceReply& aReply, ClockReading aNow)
{
  now_ = aNow;
  // The next dispatch pass sends the next call to the adviser.
  permitCache_.On(aReply, aNow.steady);
  isDispatchDue_ = true;
}

/// Whether another incarnation answered, judged by the incarnation in the reply
/// or else by a clock that went back. The heartbeat of that incarnation
/// registers it, which ends the runs of this one.
bool
Scheduler::IsFromOtherIncarnation(const WorkerSession& aSession,
                                  const WorkerReply& aReply) const
{
  const jobs::Incarnation registered = RecordOf(aSession).incarnation;
  if (aReply.incarnation && registered != jobs::Incarnation(0))
    return *aReply.incarnation != registered;
  const auto expected = aSession.WorkerClockAt(now_.steady);
  return aReply.clock && expected &&
         *aReply.clock + kClockTolerance < *expected;
}

/// Forgets a start request that has been answered or was not sent.
void
Scheduler::SettleStart(WorkerSession& aSession,
                       const PendingCall& aCall,
                       WorkerCallStatus aAnswer)
{
  const auto starts = aSession.unansweredStarts.find(aCall.task);
  if (aAnswer == WorkerCallStatus::NoAnswer ||
      starts == aSession.unansweredStarts.end() ||
      starts->second.attempt != aCall.attempt)
    return;
  if (aAnswer == WorkerCallStatus::NotSent)
    --starts->second.sent;
  if (--starts->second.count == 0)
    aSession.unansweredStarts.erase(starts);
}

void
Scheduler::OnStartReply(WorkerSession& aSession,
                        const PendingCall& aCall,
                        const WorkerReply& aReply)
{
  const auto found = aSession.runs.find(aCall.task);
  if (found == aSession.runs.end() || found->second.attempt != aCall.attempt)
    return;
  Run& run = found->second;
  run.isCallInFlight = false;
  run.nextCallAt = now_.steady;
  if (run.stage != RunStage::Starting)
    return;
  switch (aReply.answer) {
    case WorkerCallStatus::Done:
      unstartedJobs_.erase(aCall.task.job);
      run.stage = RunStage::Running;
      run.confirmedAt = aReply.clock;
      run.runningSince = now_.steady;
      run.firstListingRenewal = aSession.renewalCount + 1;
      if (!aSession.isRenewalInFlight)
        aSession.nextRenewalAt = now_.steady;
      break;
    case WorkerCallStatus::NotSent:
    case WorkerCallStatus::NoAnswer:
      run.nextCallAt = now_.steady + kRetryInterval;
      break;
    default:
      observe::Log(observe::LogLevel::Warning,
                   "start-refused",
                   { { "task", ToString(aCall.task) },
                     { "worker", RecordOf(aSession).id.Value() },
                     { "reason", aReply.detail } });
      // An earlier transmission of the same start request may have been
      // executed. A stop makes sure that the run ends, and the lists that
      // follow show whether it existed.
      run.isStopRequested = true;
      if (aReply.refusal == RefusalReason::NotPermitted)
        permitCache_.DropVerdict(StepOf(aCall.task), RecordOf(aSession).id);
      break;
  }
  TickSession(aSession);
}

void
Scheduler::OnStopReply(WorkerSession& aSession,
                       const PendingCall& aCall,
                       const WorkerReply& aReply) const
{
  const bool isStopped = aReply.answer == WorkerCallStatus::Done ||
                         aReply.answer == WorkerCallStatus::OtherWorker ||
                         aReply.refusal == RefusalReason::StaleAttempt;
  const auto found = aSession.runs.find(aCall.task);
  if (found == aSession.runs.end() || found->second.attempt != aCall.attempt)
    return;
  Run& run = found->second;
  run.isCallInFlight = false;
  run.nextCallAt = now_.steady + kRetryInterval;
  if (!isStopped)
    return;
  run.firstListingRenewal = aSession.renewalCount + 1;
  run.nextCallAt = now_.steady + kStopResendInterval;
  if (!aSession.isRenewalInFlight)
    aSession.nextRenewalAt = now_.steady;
}

void
Scheduler::OnRenewReply(WorkerSession& aSession,
                        const PendingCall& aCall,
                        const WorkerReply& aReply)
{
  if (aCall.isContact)
    aSession.isContactInFlight = false;
  if (aCall.renewalNumber == aSession.latestRegularRenewal)
    aSession.isRenewalInFlight = false;
  if (aReply.answer != WorkerCallStatus::Done || !aReply.hasLists) {
    ++aSession.consecutiveFailedCalls;
    aSession.lastAcknowledgedEnd = RunEndSequence(0);
    aSession.nextRenewalAt = now_.steady + kRetryInterval;
    if (aSession.consecutiveFailedCalls == 1)
      observe::Log(observe::LogLevel::Warning,
                   "worker-not-answering",
                   { { "worker", RecordOf(aSession).id.Value() },
                     { "runs", std::to_string(aSession.runs.size()) },
                     { "reason", aReply.detail } });
    return;
  }
  if (aSession.consecutiveFailedCalls > 0)
    observe::Log(observe::LogLevel::Info,
                 "worker-answering",
                 { { "worker", RecordOf(aSession).id.Value() } });
  const bool wasFailing =
    aSession.consecutiveFailedCalls > 0 || !aSession.isReconciled;
  aSession.consecutiveFailedCalls = 0;
  DismissSuspicions(aSession);
  ProcessListedEnds(aSession, aReply);
  const bool hasStrays = ProcessListedRuns(aSession, aReply);
  EndLostRuns(aSession, aCall, aReply);
  AdjustThrottling(aSession, aReply);
  EndRunsOfEarlierIncarnations(aSession, aReply);
  if (aReply.ended.size() < kMaxListedEnds && !hasStrays) {
    // Until this answer the worker may have executed calls to the earlier
    // incarnation; from now on it refuses their lower fencing tokens.
    if (!aSession.isReconciled && aSession.mayHoldForeignLease)
      AllowForForeignLease(aSession);
    aSession.isReconciled = true;
  }
  if (aCall.isContact)
    for (auto& [task, run] : aSession.runs)
      if (run.stage == RunStage::Starting && aSession.HasUnansweredStart(task))
        run.nextCallAt = std::min(run.nextCallAt, now_.steady);
  // An idle worker is only called so that it may take a task.
  if (wasFailing || aCall.isContact || aSession.runs.empty())
    isDispatchDue_ = true;
  aSession.nextRenewalAt = aSession.pendingEnds.empty()
                             ? now_.steady
                             : now_.steady + kPendingCommitInterval;
  TickSession(aSession);
}
