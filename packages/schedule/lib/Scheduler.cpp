#include "greengage/schedule/Scheduler.h"

#include "SchedulerBounds.h"

#include "greengage/observe/Log.h"

#include <algorithm>
#include <utility>

using namespace greengage;
using namespace greengage::schedule;
using namespace greengage::schedule::detail;

/// Interval between scans for job records past their retention time.
static constexpr Duration kRetentionScanInterval = Duration::Seconds(1);

Scheduler::Scheduler(SchedulerOptions aOptions,
                     const jobs::JobStateMachine& aStateMachine,
                     Outbox& aOutbox)
  : options_(aOptions)
  , stateMachine_(aStateMachine)
  , outbox_(aOutbox)
  , permitCache_(aOutbox)
{
}

/// Logs what a new leader assumes of a worker with runs.
static void
LogTakeOver(const WorkerSession& aSession, Time aNow)
{
  if (aSession.runs.empty())
    return;
  observe::Log(
    observe::LogLevel::Info,
    "worker-taken-over",
    { { "worker", aSession.record->id.Value() },
      { "incarnation", std::to_string(aSession.record->incarnation.Value()) },
      { "runs", std::to_string(aSession.runs.size()) },
      { "unconfirmed_starts",
        std::to_string(aSession.unansweredStarts.size()) },
      { "superseded", aSession.isSuperseded ? "yes" : "no" },
      { "lease_bound_ms",
        std::to_string((aSession.leaseExpiry - aNow).Millis()) } });
}

void
Scheduler::BecomeLeader(FencingToken aFence, ClockReading aNow)
{
  BecomeFollower();
  now_ = aNow;
  fence_ = aFence;
  isFenceReused_ = lastFence_ == aFence;
  lastFence_ = aFence;
  for (const auto& [number, worker] : stateMachine_.Workers()) {
    WorkerSession& session = sessions_[number];
    session.number = number;
    session.record = &worker;
    session.lastHeartbeat = aNow.steady;
    AdoptCapacity(session);
    poolIndex_.Put(worker.pool, worker.rack, session);
    // The previous leader may have renewed the lease up to now.
    session.leaseExpiry = aNow.steady + LeaseExpiryBound(options_.lease);
    session.lastUnansweredCallAt = aNow.steady;
  }
  OnConfigurationChanged();
  for (const auto& [id, job] : stateMachine_.Jobs())
    RecoverRuns(job);
  for (const auto& [number, worker] : stateMachine_.Workers()) {
    SupersedeEarlierIncarnations(number);
    ChargeSuspectedRuns(worker);
    sessions_.at(number).isCrashSuspected = HasSuspectedRuns(worker);
    LogTakeOver(sessions_.at(number), aNow.steady);
  }
  isDispatchDue_ = true;
}

/// Recreates the state of the job's runs that were assigned by a previous
/// leader.
void
Scheduler::RecoverRuns(const jobs::Job& aJob)
{
  if (aJob.state == jobs::JobState::Live)
    liveJobs_.insert(aJob.id);
  UpdateUnstartedJobs(aJob);
  for (const auto& [number, occurrence] : aJob.occurrences)
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      const auto& tasks = occurrence.steps[step].tasks;
      for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (tasks[index].phase != jobs::TaskPhase::Assigned)
          continue;
        const TaskId task{
          .job = aJob.id, .occurrence = number, .step = step, .index = index
        };
        WorkerSession* session = SessionOf(tasks[index].worker);
        if (session == nullptr)
          continue;
        AddRun(*session, aJob, task, tasks[index].attempt);
        const bool isStartConfirmed = tasks[index].isStartConfirmed;
        // The previous leader may have sent a start that was not answered.
        if (!isStartConfirmed)
          session->unansweredStarts[task] = {
            .attempt = tasks[index].attempt,
            .count = 1,
            .sent = tasks[index].isStartRepeated ? 2U : 1U,
            .lastSentAt = now_.steady
          };
        Run& run = session->runs.at(task);
        run.isStartRecorded = isStartConfirmed;
        run.isRepeatProposed = tasks[index].isStartRepeated;
        run.isRepeatRecorded = tasks[index].isStartRepeated;
        run.startedBeforeTakeOver = isStartConfirmed;
        run.stage = RunStage::Starting;
        run.startSentAt = now_.steady;
        // A run missing from the first lists can no longer start: the worker
        // rejects start requests with an older fencing token. It does not
        // reject this host's own earlier ones if their token is the same, so
        // the start is then sent again, with a later deadline than theirs.
        if (!isFenceReused_ || isStartConfirmed) {
          run.firstListingRenewal = 1;
          run.isStartSent = true;
        }
        run.isStopRequested = aJob.state != jobs::JobState::Live;
      }
    }
}

void
Scheduler::BecomeFollower()
{
  fence_.reset();
  sessions_.clear();
  poolIndex_.Clear();
  supersededWorkers_.clear();
  pendingCalls_.clear();
  liveJobs_.clear();
  unstartedJobs_.clear();
  proposedTasks_.clear();
  quotaUsage_.clear();
  poolBacklogs_.clear();
  teamBacklogs_.clear();
  backlogsAt_ = Time(0);
  for (auto& [id, pool] : pools_)
    pool.isSaturated = false;
  reservations_.clear();
  permitCache_.Clear();
  lastShortageAt_.clear();
  idleTasks_.clear();
  idlePersistentTasks_ = 0;
  isDispatchDue_ = false;
}

void
Scheduler::OnConfigurationChanged()
{
  std::erase_if(queues_, [&](const auto& aItem) {
    return stateMachine_.Queues().count(aItem.first) == 0;
  });
  std::vector<const jobs::KnownQueue*> changed;
  for (const auto& [id, queue] : stateMachine_.Queues()) {
    QueueState& state = queues_[id];
    const bool isRemoved = queue.absences > 0;
    if (state.definition != nullptr && state.isRemoved != isRemoved)
      changed.push_back(&queue);
    state.definition = &queue.definition;
    state.pool = &pools_[queue.definition.pool];
    state.isRemoved = isRemoved;
  }
  std::erase_if(pools_, [&](const auto& aPool) {
    return std::none_of(
      queues_.begin(), queues_.end(), [&](const auto& aQueue) {
        return aQueue.second.pool == &aPool.second;
      });
  });
  LogQueueChanges(changed);
  quotas_.clear();
  if (const jobs::Configuration* configuration =
        stateMachine_.CurrentConfiguration())
    for (const jobs::Team& team : configuration->teams)
      quotas_[team.id] = team.quota;
  isDispatchDue_ = IsLeading();
}

const Scheduler::QueueState*
Scheduler::FindQueue(const jobs::QueueId& aQueue) const
{
  const auto found = queues_.find(aQueue);
  return found == queues_.end() ? nullptr : &found->second;
}

/// Logs which of the queues, each of which was removed or is configured again,
/// have live jobs.
void
Scheduler::LogQueueChanges(
  const std::vector<const jobs::KnownQueue*>& aQueues) const
{
  if (!IsLeading() || aQueues.empty())
    return;
  std::map<jobs::QueueId, std::size_t> liveJobs;
  for (const jobs::JobId id : liveJobs_)
    if (const jobs::Job* job = stateMachine_.Find(id))
      ++liveJobs[job->queue];
  for (const jobs::KnownQueue* queue : aQueues) {
    const jobs::Queue& definition = queue->definition;
    const auto count = liveJobs.find(definition.id);
    if (count == liveJobs.end())
      continue;
    observe::Log(
      observe::LogLevel::Info,
      queue->absences > 0 ? "queue-removed" : "queue-configured-again",
      { { "queue", definition.id.Value() },
        { "live_jobs", std::to_string(count->second) },
        { "pool", definition.pool.Value() },
        { "max_attempts", std::to_string(definition.maxAttempts) },
        { "configuration",
          std::to_string(
            stateMachine_.CurrentConfiguration()->version.Value()) } });
  }
}

std::optional<Time>
Scheduler::NextDispatch() const
{
  if (!isDispatchDue_)
    return std::nullopt;
  return earliestDispatch_;
}

/// Whether a task of the job is recorded to have begun.
static bool
HasRecordedStart(const jobs::Job& aJob)
{
  for (const auto& [number, occurrence] : aJob.occurrences)
    for (const jobs::StepState& step : occurrence.steps)
      for (const jobs::TaskState& task : step.tasks)
        if (task.phase == jobs::TaskPhase::Done || task.isStartConfirmed ||
            task.failures > 0)
          return true;
  return false;
}

void
Scheduler::UpdateUnstartedJobs(const jobs::Job& aJob)
{
  if (aJob.state == jobs::JobState::Live && !HasRecordedStart(aJob))
    unstartedJobs_.insert(aJob.id);
  else
    unstartedJobs_.erase(aJob.id);
}

std::uint64_t
Scheduler::CountPendingJobs(const jobs::QueueId& aQueue) const
{
  return static_cast<std::uint64_t>(std::count_if(
    unstartedJobs_.begin(), unstartedJobs_.end(), [&](jobs::JobId aJob) {
      const jobs::Job* job = stateMachine_.Find(aJob);
      return job != nullptr && job->queue == aQueue;
    }));
}

void
Scheduler::OnJobAccepted(const jobs::Job& aJob)
{
  if (!IsLeading())
    return;
  liveJobs_.insert(aJob.id);
  UpdateUnstartedJobs(aJob);
  isDispatchDue_ = true;
}

/// Logs which tasks made the job fail.
static void
LogFailure(const jobs::Job& aJob, const jobs::JobStateMachine& aState)
{
  for (const auto& [number, occurrence] : aJob.occurrences)
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      const jobs::StepState& state = occurrence.steps[step];
      for (std::uint32_t index = 0; index < state.tasks.size(); ++index) {
        const auto found = state.crashes.find(index);
        const std::size_t crashes =
          found == state.crashes.end() ? 0 : found->second.attempts.size();
        const std::uint32_t failures = state.tasks[index].failures;
        if (failures == 0 && crashes == 0)
          continue;
        const TaskId task{
          .job = aJob.id, .occurrence = number, .step = step, .index = index
        };
        observe::Log(
          observe::LogLevel::Warning,
          "job-failed",
          { { "job", ToString(aJob.id) },
            { "task", ToString(task) },
            { "failures", std::to_string(failures) },
            { "failed_runs", std::to_string(aState.FailedRunsOf(task)) },
            { "crashes", std::to_string(crashes) } });
      }
    }
}

void
Scheduler::OnCrashRecorded(const jobs::RecordCrash& aCrash,
                           const jobs::TaskCrashes& aCrashes)
{
  if (!IsLeading())
    return;
  observe::Log(observe::LogLevel::Info,
               "crash-recorded",
               { { "task", ToString(aCrash.task) },
                 { "attempt", std::to_string(aCrash.attempt.Value()) },
                 { "crashes", std::to_string(aCrashes.attempts.size()) } });
}

void
Scheduler::OnJobEnded(const jobs::Job& aJob)
{
  if (!IsLeading())
    return;
  liveJobs_.erase(aJob.id);
  if (aJob.state == jobs::JobState::Failed)
    LogFailure(aJob, stateMachine_);
  permitCache_.DropJob(aJob.id);
  UpdateUnstartedJobs(aJob);
  // A proposed assignment is rejected once the job has ended, so only the
  // assigned tasks have runs to stop.
  for (const auto& [number, occurrence] : aJob.occurrences)
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      const auto& tasks = occurrence.steps[step].tasks;
      for (std::uint32_t index = 0; index < tasks.size(); ++index)
        if (tasks[index].phase == jobs::TaskPhase::Assigned)
          StopRunOfEndedJob({ .job = aJob.id,
                              .occurrence = number,
                              .step = step,
                              .index = index },
                            tasks[index].worker);
    }
}

void
Scheduler::StopRunOfEndedJob(const TaskId& aTask, jobs::WorkerNumber aWorker)
{
  WorkerSession* session = SessionOf(aWorker);
  if (session == nullptr)
    return;
  const auto found = session->runs.find(aTask);
  if (found == session->runs.end())
    return;
  found->second.isStopRequested = true;
  found->second.nextCallAt = now_.steady;
  TickRun(*session, aTask, found->second);
}

void
Scheduler::OnAssigned(const jobs::AssignTask& aAssignment)
{
  if (!IsLeading())
    return;
  proposedTasks_.erase(aAssignment.task);
  WorkerSession* session = SessionOf(aAssignment.worker);
  if (session == nullptr)
    return;
  // This host may have proposed the assignment before it lost and regained
  // leadership, which discarded its record of the run. The run was never
  // started, and the worker may have been filled since: place the task again.
  const bool isFromEarlierLeadership =
    session->runs.count(aAssignment.task) == 0;
  if (isFromEarlierLeadership)
    AddRun(*session,
           *stateMachine_.Find(aAssignment.task.job),
           aAssignment.task,
           aAssignment.attempt);
  Run& run = session->runs.at(aAssignment.task);
  run.stage = RunStage::Starting;
  if (isFromEarlierLeadership) {
    EndRun(*session,
           aAssignment.task,
           run,
           jobs::RunOutcome::Lost,
           {},
           "assigned before leadership was lost");
    return;
  }
  if (session->isSuperseded || session->laterIncarnationAnsweredAt) {
    EndRun(*session,
           aAssignment.task,
           run,
           jobs::RunOutcome::Lost,
           {},
           "worker restarted before the start");
    return;
  }
  SendStart(*session, aAssignment.task, run);
}

void
Scheduler::OnAssignmentRejected(const jobs::AssignTask& aAssignment)
{
  if (!IsLeading())
    return;
  proposedTasks_.erase(aAssignment.task);
  WorkerSession* session = SessionOf(aAssignment.worker);
  if (session == nullptr)
    return;
  const auto found = session->runs.find(aAssignment.task);
  if (found != session->runs.end() && found->second.stage == RunStage::Proposed)
    RemoveRun(*session, aAssignment.task);
  isDispatchDue_ = true;
}

void
Scheduler::OnRunEnded(const jobs::EndRun& aEnd, jobs::WorkerNumber aWorker)
{
  if (!IsLeading())
    return;
  WorkerSession* session = SessionOf(aWorker);
  if (session == nullptr)
    return;
  const auto found = session->runs.find(aEnd.task);
  if (found == session->runs.end() || found->second.attempt != aEnd.attempt)
    return;
  // A later incarnation may have listed the end of the run.
  WorkerSession* listing =
    found->second.endNumber ? SessionOf(found->second.endListedBy) : nullptr;
  if (listing == nullptr)
    listing = session;
  if (found->second.endNumber)
    listing->pendingEnds.erase(*found->second.endNumber);
  if (aEnd.outcome == jobs::RunOutcome::Succeeded)
    CountTimes(aEnd.task, found->second);
  RemoveRun(*session, aEnd.task);
  isDispatchDue_ = true;
  if (listing->pendingEnds.empty())
    listing->nextRenewalAt = now_.steady;
  TickSession(*listing);
}

void
Scheduler::ForgetExpiredJobs()
{
  if (now_.steady < nextRetentionScan_)
    return;
  nextRetentionScan_ = now_.steady + kRetentionScanInterval;
  for (const auto& [id, job] : stateMachine_.Jobs())
    if (job.state != jobs::JobState::Live && job.assignedTasks == 0 &&
        job.endedAt + options_.retention < now_.wall)
      outbox_.Propose(jobs::RemoveJobRecord{ .id = id });
}
