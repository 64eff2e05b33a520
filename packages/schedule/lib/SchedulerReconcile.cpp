#include "greengage/schedule/Scheduler.h"

#include "SchedulerBounds.h"

#include "greengage/observe/Log.h"

#include <algorithm>
#include <utility>

using namespace greengage;
using namespace greengage::schedule;
using namespace greengage::schedule::detail;

/// Consecutive failed runs after which a worker is suspended.
static constexpr std::uint32_t kMaxFailedRuns = 4;
static constexpr Duration kSuspensionTime = Duration::Seconds(3);
/// A run without progress for this long is stalled, unless one percent of it
/// takes longer. Lists arrive at least once a second.
static constexpr Duration kMinStallTimeout = Duration(1500);
/// A run is stalled after this many times the time of one percent.
static constexpr std::int64_t kStallFactor = 2;
/// How much less than it takes a client may state as a task's run time.
static constexpr std::int64_t kMaxUnderestimation = 10;
/// A run is moved if its remaining time is more than this many times the time
/// of a complete run on another worker.
static constexpr std::int64_t kMinMoveGainFactor = 2;
/// Lower bound of the expected run time that decides whether a run is slow:
/// clients may underestimate the run time by a factor of ten, and one second is
/// enough to detect a slow worker.
static constexpr Duration kMinExpectedRunTime = Duration::Seconds(1);
/// Time from the decision to stop a run until the task can start elsewhere.
static constexpr Duration kMoveDelay = Duration(500);
/// The last attempt at which a slow task is moved. A task that is slow again
/// may be equally slow on every worker.
static constexpr std::uint32_t kMaxMovedAttempt = 2;
/// Consecutive slow runs after which a worker is suspended.
static constexpr std::uint32_t kMaxSlowRuns = 2;
/// Percentages of the target latency above which best-effort tasks are
/// throttled, and below which their limit is raised again.
static constexpr std::int64_t kThrottleAbovePercent = 70;
static constexpr std::int64_t kUnthrottleBelowPercent = 45;
/// How much the speed limit of best-effort tasks is lowered or raised per reply
/// of the worker, in percent of full speed.
static constexpr std::uint32_t kThrottleStepPercent = 40;
static constexpr std::uint32_t kUnthrottleStepPercent = 10;

static jobs::RunOutcome
ToRunOutcome(ListedEndKind aKind)
{
  if (aKind == ListedEndKind::Done)
    return jobs::RunOutcome::Succeeded;
  if (aKind == ListedEndKind::Failed)
    return jobs::RunOutcome::Failed;
  return jobs::RunOutcome::Lost;
}

static const char*
EndDescription(ListedEndKind aKind)
{
  switch (aKind) {
    case ListedEndKind::Done:
      return "worker lists it as done";
    case ListedEndKind::Failed:
      return "worker lists it as failed";
    case ListedEndKind::Stopped:
      return "stopped by the worker";
    case ListedEndKind::LeaseExpired:
      return "its lease ran out on the worker";
    case ListedEndKind::GangBroken:
      return "another member of the gang ended";
    case ListedEndKind::GangIncomplete:
      return "the rest of the gang did not come";
  }
  return "";
}

/// Assigns no new runs to the worker for \ref kSuspensionTime.
void
Scheduler::Suspend(WorkerSession& aSession, const char* aReason) const
{
  aSession.suspendedUntil = now_.steady + kSuspensionTime;
  observe::Log(
    observe::LogLevel::Warning,
    "worker-suspended",
    { { "worker", RecordOf(aSession).id.Value() },
      { "failed_runs", std::to_string(aSession.consecutiveFailedRuns) },
      { "slow_runs", std::to_string(aSession.consecutiveSlowRuns) },
      { "why", aReason } });
}

/// \returns the session of the worker that lists the end of a run, or of an
/// earlier incarnation of it, to which the run is assigned; null if there is
/// none. A later incarnation at the same address may have executed the start.
WorkerSession*
Scheduler::FindSessionOfEndedRun(WorkerSession& aListing, const ListedEnd& aEnd)
{
  const auto isAssignedTo = [&](const WorkerSession& aSession) {
    const auto found = aSession.runs.find(aEnd.task);
    return found != aSession.runs.end() &&
           found->second.attempt == aEnd.attempt &&
           found->second.stage != RunStage::Proposed;
  };
  if (isAssignedTo(aListing))
    return &aListing;
  const auto superseded = supersededWorkers_.find(RecordOf(aListing).id);
  if (superseded == supersededWorkers_.end())
    return nullptr;
  for (const jobs::WorkerNumber number : superseded->second)
    if (WorkerSession& earlier = sessions_.at(number); isAssignedTo(earlier))
      return &earlier;
  return nullptr;
}

/// Handles the listed end of a run that is not assigned any more. If it is the
/// result of a run that was given up, the task must not run again: the worker
/// may discard the end only once the result is committed.
void
Scheduler::ProcessLateEnd(WorkerSession& aSession, const ListedEnd& aEnd)
{
  const jobs::Job* job = stateMachine_.Find(aEnd.task.job);
  const jobs::TaskState* task = stateMachine_.Find(aEnd.task);
  const jobs::RunOutcome outcome = ToRunOutcome(aEnd.kind);
  const bool isResult =
    task != nullptr && job->state == jobs::JobState::Live &&
    proposedTasks_.count(aEnd.task) == 0 &&
    jobs::IsLateResult(
      *task, job->description.steps[aEnd.task.step], aEnd.attempt, outcome);
  if (!isResult) {
    aSession.pendingEnds.erase(aEnd.number);
    return;
  }
  if (!aSession.pendingEnds.insert(aEnd.number).second)
    return;
  observe::Log(observe::LogLevel::Info,
               "late-result",
               { { "task", ToString(aEnd.task) },
                 { "attempt", std::to_string(aEnd.attempt.Value()) },
                 { "worker", RecordOf(aSession).id.Value() },
                 { "why", EndDescription(aEnd.kind) } });
  outbox_.Propose(jobs::EndRun{ .task = aEnd.task,
                                .attempt = aEnd.attempt,
                                .outcome = outcome,
                                .checkpoint = aEnd.checkpoint,
                                .at = now_.wall,
                                .maxAttempts = stateMachine_.StatedLimitOf(
                                  aEnd.task, aEnd.attempt, outcome) });
}

void
Scheduler::ProcessListedEnds(WorkerSession& aSession, const WorkerReply& aReply)
{
  for (const ListedEnd& end : aReply.ended) {
    aSession.lastListedEnd = std::max(aSession.lastListedEnd, end.number);
    unstartedJobs_.erase(end.task.job);
    WorkerSession* assigned = FindSessionOfEndedRun(aSession, end);
    if (assigned == nullptr) {
      ProcessLateEnd(aSession, end);
      continue;
    }
    Run& run = assigned->runs.at(end.task);
    aSession.pendingEnds.insert(end.number);
    run.endNumber = end.number;
    run.endListedBy = aSession.number;
    if (run.stage == RunStage::Ending)
      continue;
    if (end.kind == ListedEndKind::Failed &&
        ++aSession.consecutiveFailedRuns >= kMaxFailedRuns)
      Suspend(aSession, "its runs fail");
    if (end.kind == ListedEndKind::Done) {
      aSession.consecutiveFailedRuns = 0;
      aSession.consecutiveSlowRuns = 0;
      if (const jobs::Job* job = stateMachine_.Find(end.task.job))
        UpdateMeanRunTime(*job, run, aReply.clock);
    }
    EndRun(*assigned,
           end.task,
           run,
           ToRunOutcome(end.kind),
           end.checkpoint,
           EndDescription(end.kind));
  }
}

/// How long the listed percent of a run may stay the same. One percent takes as
/// long as those before it have on average; until the first one is listed, it
/// may take what it does in the longest run that the expected time stands for.
static Duration
StallTimeout(Duration aExpected, Duration aElapsed, std::int64_t aPercent)
{
  const Duration perPercent(aPercent > 0 ? aElapsed.Millis() / aPercent
                                         : aExpected.Millis() *
                                             kMaxUnderestimation / kPercent);
  return std::max(kMinStallTimeout, perPercent * kStallFactor);
}

/// Stops a run that is stalled or that would finish sooner on another worker,
/// so that it is placed again. \p aListedAt is the worker's clock when it made
/// the list: this host may handle the list late, which says nothing about the
/// run.
void
Scheduler::CheckProgress(WorkerSession& aSession,
                         const ListedRun& aListed,
                         Time aListedAt,
                         Run& aRun)
{
  if (!aRun.lastProgressAt || aListed.progressPercent > aRun.progressPercent)
    aRun.lastProgressAt = aListedAt;
  const jobs::Job* job = stateMachine_.Find(aListed.task.job);
  if (!aRun.isMovable || aRun.isStopRequested || job == nullptr ||
      aRun.stage != RunStage::Running || !aRun.confirmedAt)
    return;
  const Duration expected =
    std::max(ExpectedRunTime(FindQueue(job->queue),
                             job->description.steps[aListed.task.step]),
             kMinExpectedRunTime);
  const Duration elapsed = aListedAt - *aRun.confirmedAt;
  const std::int64_t percent =
    std::clamp<std::int64_t>(aListed.progressPercent, 1, kPercent);
  const Duration remaining(elapsed.Millis() * (kPercent - percent) / percent);
  const bool isSlow =
    elapsed > expected &&
    remaining > (expected + kMoveDelay) * kMinMoveGainFactor &&
    aRun.attempt.Value() <= kMaxMovedAttempt;
  const bool isStalled =
    *aRun.lastProgressAt +
      StallTimeout(expected, elapsed, aListed.progressPercent) <=
    aListedAt;
  if (!isSlow && !isStalled)
    return;
  observe::Log(observe::LogLevel::Info,
               "run-moved",
               { { "task", ToString(aListed.task) },
                 { "worker", RecordOf(aSession).id.Value() },
                 { "percent", std::to_string(aListed.progressPercent) },
                 { "taken_ms", std::to_string(elapsed.Millis()) },
                 { "usual_ms", std::to_string(expected.Millis()) } });
  aRun.isStopRequested = true;
  aRun.nextCallAt = now_.steady;
  if (++aSession.consecutiveSlowRuns >= kMaxSlowRuns)
    Suspend(aSession, "its runs hardly get on");
}

/// \returns whether the worker lists runs that are not assigned to it.
bool
Scheduler::ProcessListedRuns(WorkerSession& aSession, const WorkerReply& aReply)
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
    aSession.NoteBegun(listed.task, listed.attempt);
    unstartedJobs_.erase(listed.task.job);
    if (aReply.clock)
      CheckProgress(aSession, listed, *aReply.clock, run);
    run.progressPercent = listed.progressPercent;
    if (run.stage != RunStage::Starting)
      continue;
    run.stage = RunStage::Running;
    run.runningSince = now_.steady;
    if (!run.isStopRequested)
      run.firstListingRenewal = aSession.renewalCount;
  }
  return hasStrays;
}

/// Ends runs that are in neither list although the worker must list them, and
/// runs that were not started before their deadline.
void
Scheduler::EndLostRuns(WorkerSession& aSession,
                       const PendingCall& aCall,
                       const WorkerReply& aReply)
{
  // The list of ended runs may be truncated, so a missing run may have ended.
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
    const bool isConfirmed = run.firstListingRenewal &&
                             *run.firstListingRenewal <= aCall.renewalNumber;
    const bool isPastDeadline =
      run.stage == RunStage::Starting && run.isStartSent &&
      !run.isCallInFlight && aReply.clock &&
      *aReply.clock > run.startDeadline && run.startDeadline > Time(0);
    if (isConfirmed || isPastDeadline)
      EndRun(aSession,
             task,
             run,
             jobs::RunOutcome::Lost,
             {},
             isConfirmed ? "worker lists it no more" : "it was never begun");
  }
}

/// Throttles best-effort tasks while a latency-sensitive task on the same
/// worker is close to or above its target latency.
void
Scheduler::AdjustThrottling(WorkerSession& aSession, const WorkerReply& aReply)
{
  if (!HoldsLeaderLease())
    return;
  std::int64_t highestLoadPercent = 0;
  for (const ListedRun& listed : aReply.running) {
    const auto found = aSession.runs.find(listed.task);
    if (found == aSession.runs.end() ||
        found->second.targetLatency <= Duration(0))
      continue;
    highestLoadPercent =
      std::max(highestLoadPercent,
               listed.load * kPercent / found->second.targetLatency.Millis());
  }
  for (auto& [task, run] : aSession.runs) {
    if (!run.usesIdleProcessors || run.stage != RunStage::Running)
      continue;
    std::uint32_t percent = run.speedLimitPercent;
    if (highestLoadPercent > kPercent)
      percent = 0;
    else if (highestLoadPercent > kThrottleAbovePercent)
      percent -= std::min(percent, kThrottleStepPercent);
    else if (highestLoadPercent < kUnthrottleBelowPercent)
      percent =
        std::min<std::uint32_t>(percent + kUnthrottleStepPercent, kPercent);
    if (percent == run.speedLimitPercent)
      continue;
    run.speedLimitPercent = percent;
    Send(aSession,
         { .kind = CallKind::Throttle,
           .worker = {},
           .task = task,
           .attempt = run.attempt,
           .sentAt = {} },
         ThrottleRun{ .task = task,
                      .attempt = run.attempt,
                      .speedLimitPercent = percent,
                      .fence = FenceOf(aSession) },
         kCallTimeout);
  }
}
