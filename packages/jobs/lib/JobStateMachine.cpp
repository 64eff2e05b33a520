#include "greengage/jobs/JobStateMachine.h"

#include <algorithm>
#include <utility>

using namespace greengage;
using namespace greengage::jobs;

JobStateMachine::JobStateMachine(const ConfigurationReader& aReader)
  : reader_(aReader)
{
}

bool
JobStateMachine::Apply(std::string_view aBytes,
                       JobStateObserver* aObserver,
                       Error& aReason)
{
  auto operations = Decode(aBytes, aReason);
  if (!operations)
    return false;
  JobStateObserver noObserver;
  JobStateObserver& observer = aObserver != nullptr ? *aObserver : noObserver;
  for (Operation& operation : *operations)
    std::visit(
      [&](auto&& aOperation) {
        ApplyOperation(std::forward<decltype(aOperation)>(aOperation),
                       observer);
      },
      std::move(operation));
  return true;
}

const Job*
JobStateMachine::Find(JobId aJob) const
{
  const auto found = jobs_.find(aJob);
  return found == jobs_.end() ? nullptr : &found->second;
}

const StepState*
JobStateMachine::FindStep(const TaskId& aTask) const
{
  const Job* job = Find(aTask.job);
  if (job == nullptr)
    return nullptr;
  const auto occurrence = job->occurrences.find(aTask.occurrence);
  if (occurrence == job->occurrences.end() ||
      aTask.step >= occurrence->second.steps.size())
    return nullptr;
  return &occurrence->second.steps[aTask.step];
}

const TaskState*
JobStateMachine::Find(const TaskId& aTask) const
{
  const StepState* step = FindStep(aTask);
  return step == nullptr || aTask.index >= step->tasks.size()
           ? nullptr
           : &step->tasks[aTask.index];
}

TaskState*
JobStateMachine::FindTask(const TaskId& aTask)
{
  return const_cast<TaskState*>(std::as_const(*this).Find(aTask));
}

void
FailedGangRuns::Record(Attempt aAttempt)
{
  if (count > 0 && latest == aAttempt)
    return;
  ++count;
  latest = aAttempt;
}

/// What one crash adds to a task's score.
static std::size_t
CrashScore(bool aIsStartConfirmed)
{
  return aIsStartConfirmed ? 2 : 1;
}

std::size_t
TaskCrashes::Score() const
{
  std::size_t score = 0;
  for (const auto& [attempt, isStartConfirmed] : attempts)
    score += CrashScore(isStartConfirmed);
  return score;
}

bool
TaskCrashes::IsNextDecisive() const
{
  constexpr std::size_t kMaxScorePerCrash = 2;
  return Score() + kMaxScorePerCrash >= kCrashScoreLimit;
}

const TaskCrashes*
JobStateMachine::FindCrashes(const TaskId& aTask) const
{
  const StepState* step = FindStep(aTask);
  if (step == nullptr)
    return nullptr;
  const auto found = step->crashes.find(aTask.index);
  return found == step->crashes.end() ? nullptr : &found->second;
}

SuspectedCrashes
JobStateMachine::SuspectedCrashesOf(const TaskId& aTask) const
{
  SuspectedCrashes suspected;
  for (auto it = suspectedRuns_.lower_bound({ aTask, Attempt(0) });
       it != suspectedRuns_.end() && it->first.first == aTask;
       ++it) {
    suspected.score += CrashScore(it->second.isStartConfirmed);
    suspected.latestAt = std::max(suspected.latestAt, it->second.at);
  }
  const TaskCrashes* crashes =
    suspected.score == 0 ? nullptr : FindCrashes(aTask);
  if (crashes != nullptr)
    suspected.score += crashes->Score();
  return suspected;
}

std::optional<WorkerNumber>
JobStateMachine::FindWorkerNumber(const WorkerId& aWorker) const
{
  const auto found = workerNumbers_.find(aWorker);
  if (found == workerNumbers_.end())
    return std::nullopt;
  return found->second;
}

std::uint64_t
JobStateMachine::OrderIntentCount(const HostId& aHost) const
{
  const auto found = orderIntents_.find(aHost);
  return found == orderIntents_.end() ? 0 : found->second.count;
}

std::uint32_t
JobStateMachine::MaxAttemptsOf(JobId aJob) const
{
  const Job* job = Find(aJob);
  const auto queue = job == nullptr ? queues_.end() : queues_.find(job->queue);
  return queue == queues_.end() ? kUnlimitedAttempts
                                : queue->second.definition.maxAttempts;
}

std::uint32_t
JobStateMachine::FailedRunsOf(const TaskId& aTask) const
{
  const TaskState* task = Find(aTask);
  if (task == nullptr)
    return 0;
  // A snapshot of an earlier version may state more failures of one task than
  // could be told apart as runs of its gang.
  return std::max(task->failures, FindStep(aTask)->failedGangRuns.count);
}

std::uint32_t
JobStateMachine::StatedLimitOf(const TaskId& aTask,
                               Attempt aAttempt,
                               RunOutcome aOutcome) const
{
  const std::uint32_t limit = MaxAttemptsOf(aTask.job);
  const TaskState* task = Find(aTask);
  if (limit == kUnlimitedAttempts || task == nullptr ||
      !Find(aTask.job)->description.steps[aTask.step].isGang)
    return limit;
  FailedGangRuns runs = FindStep(aTask)->failedGangRuns;
  std::uint32_t failures = task->failures;
  if (aOutcome == RunOutcome::Failed) {
    runs.Record(aAttempt);
    ++failures;
  }
  return std::max(runs.count, failures) >= limit ? 1 : kUnlimitedAttempts;
}

std::size_t
JobStateMachine::RemovedQueueCount() const
{
  return static_cast<std::size_t>(
    std::count_if(queues_.begin(), queues_.end(), [](const auto& aItem) {
      return aItem.second.absences > 0;
    }));
}

void
JobStateMachine::ApplyOperation(PutConfiguration&& aOperation,
                                JobStateObserver& aObserver)
{
  Error reason;
  auto configuration = reader_.Read(aOperation.text, reason);
  // The proposer has already validated the text. A version that is not higher
  // than the current one has no effect.
  if (!configuration ||
      (configuration_ && configuration->version <= configuration_->version))
    return;
  configuration_ = std::move(configuration);
  configurationText_ = std::move(aOperation.text);
  for (auto& [id, queue] : queues_)
    ++queue.absences;
  RecordConfiguredQueues();
  FollowAddresses();
  ForgetUnusedQueues();
  aObserver.OnConfigurationChanged();
}

void
JobStateMachine::RecordConfiguredQueues()
{
  for (const Queue& queue : configuration_->queues)
    queues_[queue.id] = { .definition = queue, .absences = 0 };
}

/// Puts a job under the queue that has its address, if there is one: that is
/// where its client asks for it, whatever the queue is named.
void
JobStateMachine::FollowAddress(Job& aJob) const
{
  if (!configuration_ || aJob.address == QueueAddress())
    return;
  const Queue* queue = configuration_->FindAt(aJob.address);
  if (queue != nullptr)
    aJob.queue = queue->id;
}

void
JobStateMachine::FollowAddresses()
{
  std::map<QueueAddress, const Queue*> queues;
  for (const Queue& queue : configuration_->queues)
    queues.emplace(queue.Address(), &queue);
  for (auto& [id, job] : jobs_)
    if (const auto found = queues.find(job.address); found != queues.end())
      job.queue = found->second->id;
}

void
JobStateMachine::ForgetUnusedQueues()
{
  const auto isExpired = [](const auto& aItem) {
    return aItem.second.absences > kMaxAbsences;
  };
  if (std::none_of(queues_.begin(), queues_.end(), isExpired))
    return;
  std::set<QueueId> used;
  for (const auto& [id, job] : jobs_)
    used.insert(job.queue);
  std::erase_if(queues_, [&](const auto& aItem) {
    return isExpired(aItem) && used.count(aItem.first) == 0;
  });
}

static Occurrence
MakeOccurrence(const JobDescription& aJob)
{
  Occurrence occurrence;
  for (const Step& step : aJob.steps) {
    StepState state;
    state.tasks.resize(step.count);
    state.waitingTasks = step.count;
    occurrence.steps.push_back(std::move(state));
  }
  return occurrence;
}

std::uint32_t
greengage::jobs::OccurrenceCount(const Job& aJob)
{
  return std::max<std::uint32_t>(aJob.description.recurrence.count, 1);
}

bool
greengage::jobs::AreDependenciesDone(const Job& aJob,
                                     const Occurrence& aOccurrence,
                                     std::size_t aStep)
{
  const auto& dependencies = aJob.description.steps[aStep].dependencies;
  return std::all_of(
    dependencies.begin(), dependencies.end(), [&](std::uint32_t aDependency) {
      const StepState& state = aOccurrence.steps[aDependency];
      return state.doneTasks == state.tasks.size();
    });
}

bool
greengage::jobs::IsLateResult(const TaskState& aTask,
                              const Step& aStep,
                              Attempt aAttempt,
                              RunOutcome aOutcome)
{
  // The result of one member of a gang concerns all members, which may have
  // been assigned again. A persistent task has no result.
  return aTask.phase == TaskPhase::Waiting && aTask.isResultUnknown &&
         aTask.attempt == aAttempt && aOutcome != RunOutcome::Lost &&
         !aStep.isGang && !aStep.isPersistent;
}

void
JobStateMachine::ApplyOperation(AcceptJob&& aOperation,
                                JobStateObserver& aObserver)
{
  const auto [position, isInserted] = jobs_.try_emplace(aOperation.id);
  if (!isInserted)
    return;
  Job& job = position->second;
  job.id = aOperation.id;
  job.acceptedQueue = std::move(aOperation.queue);
  job.queue = job.acceptedQueue;
  job.address = std::move(aOperation.address);
  const auto queue = queues_.find(job.queue);
  // Entries of earlier versions don't state the address.
  if (job.address == QueueAddress() && queue != queues_.end())
    job.address = queue->second.definition.Address();
  // The queue may have got another name since the leader accepted the job.
  if (queue == queues_.end() || queue->second.absences > 0 ||
      queue->second.definition.Address() != job.address)
    FollowAddress(job);
  job.team = std::move(aOperation.team);
  job.acceptedAt = aOperation.at;
  latestTime_ = std::max(latestTime_, aOperation.at);
  cancelledJobs_.Forget(latestTime_);
  job.description = std::move(aOperation.description);
  for (std::uint32_t number = 0; number < OccurrenceCount(job); ++number)
    job.occurrences.emplace(number, MakeOccurrence(job.description));
  aObserver.OnJobAccepted(job);
}

void
JobStateMachine::EndJob(Job& aJob,
                        JobState aState,
                        Time aEndedAt,
                        JobStateObserver& aObserver)
{
  aJob.state = aState;
  aJob.endedAt = aEndedAt;
  std::erase_if(suspectedRuns_, [&](const auto& aItem) {
    return aItem.first.first.job == aJob.id;
  });
  aObserver.OnJobEnded(aJob);
  if (aJob.assignedTasks > 0)
    return;
  aJob.occurrences.clear();
  aJob.description = {};
}

void
JobStateMachine::ApplyOperation(CancelJob&& aOperation,
                                JobStateObserver& aObserver)
{
  const auto found = jobs_.find(aOperation.id);
  if (found == jobs_.end()) {
    if (!aOperation.address)
      return;
    latestTime_ = std::max(latestTime_, aOperation.at);
    cancelledJobs_.Forget(latestTime_);
    cancelledJobs_.Record({ .id = aOperation.id,
                            .address = std::move(*aOperation.address),
                            .team = std::move(aOperation.team) },
                          latestTime_);
    return;
  }
  Job& job = found->second;
  const bool isMeant = !aOperation.address ||
                       (job.address == *aOperation.address &&
                        (job.team == aOperation.team || job.team == TeamId() ||
                         aOperation.team == TeamId()));
  if (isMeant && job.state == JobState::Live)
    EndJob(job, JobState::Cancelled, aOperation.at, aObserver);
}

void
JobStateMachine::ApplyOperation(RemoveJobRecord&& aOperation,
                                JobStateObserver& /*aObserver*/)
{
  const auto found = jobs_.find(aOperation.id);
  if (found == jobs_.end())
    return;
  const Job& job = found->second;
  if (job.state != JobState::Live && job.assignedTasks == 0)
    jobs_.erase(found);
}

void
JobStateMachine::ApplyOperation(AssignTask&& aOperation,
                                JobStateObserver& aObserver)
{
  TaskState* task = FindTask(aOperation.task);
  Job* job = task == nullptr ? nullptr : &jobs_.at(aOperation.task.job);
  const bool isValid = job != nullptr && job->state == JobState::Live &&
                       task->phase == TaskPhase::Waiting &&
                       aOperation.attempt > task->attempt &&
                       workers_.count(aOperation.worker) != 0;
  if (!isValid) {
    aObserver.OnAssignmentRejected(aOperation);
    return;
  }
  task->phase = TaskPhase::Assigned;
  task->attempt = aOperation.attempt;
  task->worker = aOperation.worker;
  task->isStartConfirmed = false;
  task->isResultUnknown = false;
  task->isStartRepeated = false;
  ++job->assignedTasks;
  job->wasEverAssigned = true;
  --job->occurrences.at(aOperation.task.occurrence)
      .steps[aOperation.task.step]
      .waitingTasks;
  aObserver.OnAssigned(aOperation);
}

/// Counts a task as done and, if it was the last one, its occurrence.
void
JobStateMachine::CompleteTask(Job& aJob, const TaskId& aTask)
{
  Occurrence& occurrence = aJob.occurrences.at(aTask.occurrence);
  ++occurrence.steps[aTask.step].doneTasks;
  const bool isComplete =
    std::all_of(occurrence.steps.begin(),
                occurrence.steps.end(),
                [](const StepState& aStep) {
                  return aStep.doneTasks == aStep.tasks.size();
                });
  if (!isComplete)
    return;
  occurrence.isDone = true;
  ++aJob.completedOccurrences;
}

/// Marks all other tasks of a gang as done: the tasks of a gang end together,
/// so that the success of one member implies that of the others.
void
JobStateMachine::CompleteGang(Job& aJob,
                              const EndRun& aEnd,
                              JobStateObserver& aObserver)
{
  StepState& step =
    aJob.occurrences.at(aEnd.task.occurrence).steps[aEnd.task.step];
  step.checkpoints.clear();
  EndRun end = aEnd;
  for (end.task.index = 0; end.task.index < step.tasks.size();
       ++end.task.index) {
    TaskState& member = step.tasks[end.task.index];
    if (member.phase == TaskPhase::Done)
      continue;
    const bool isAssigned = member.phase == TaskPhase::Assigned;
    member.phase = TaskPhase::Done;
    CompleteTask(aJob, end.task);
    if (!isAssigned) {
      --step.waitingTasks;
      continue;
    }
    --aJob.assignedTasks;
    end.attempt = member.attempt;
    aObserver.OnRunEnded(end, member.worker);
  }
}

/// The number that EndRun::maxAttempts is compared with. In a gang the failures
/// of all members are added up, however many of them are of one run: earlier
/// versions do so, and JobStateMachine::StatedLimitOf allows for it.
static std::uint32_t
CountFailures(const Step& aStep,
              const StepState& aState,
              const TaskState& aTask)
{
  if (!aStep.isGang)
    return aTask.failures;
  std::uint32_t failures = 0;
  for (const TaskState& member : aState.tasks)
    failures += member.failures;
  return failures;
}

/// Whether the job fails by the end of a run, which left the task in \p aTask.
bool
JobStateMachine::HasFailed(const Job& aJob,
                           const EndRun& aEnd,
                           const TaskState& aTask) const
{
  const Step& description = aJob.description.steps[aEnd.task.step];
  if (description.isPersistent)
    return false;
  const StepState& step =
    aJob.occurrences.at(aEnd.task.occurrence).steps[aEnd.task.step];
  const std::uint32_t failures = CountFailures(description, step, aTask);
  if (aEnd.maxAttempts != 0)
    return aTask.phase != TaskPhase::Done && failures >= aEnd.maxAttempts;
  // The entry is from an earlier version, which took the limit from the current
  // configuration, and 1 for a queue that is not in it. Other hosts may have a
  // snapshot that this version made by that rule.
  const Queue* queue =
    configuration_ ? configuration_->Find(aJob.acceptedQueue) : nullptr;
  return failures >= (queue == nullptr ? 1 : queue->maxAttempts);
}

void
JobStateMachine::ApplyOperation(EndRun&& aOperation,
                                JobStateObserver& aObserver)
{
  latestTime_ = std::max(latestTime_, aOperation.at);
  TaskState* task = FindTask(aOperation.task);
  if (task == nullptr || task->attempt != aOperation.attempt)
    return;
  Job& job = jobs_.at(aOperation.task.job);
  const Step& description = job.description.steps[aOperation.task.step];
  const bool isAssigned = task->phase == TaskPhase::Assigned;
  if (!isAssigned &&
      !IsLateResult(*task, description, aOperation.attempt, aOperation.outcome))
    return;
  StepState& step =
    job.occurrences.at(aOperation.task.occurrence).steps[aOperation.task.step];
  const bool isPersistent = description.isPersistent;
  const WorkerNumber worker = task->worker;
  if (isAssigned) {
    task->phase = TaskPhase::Waiting;
    --job.assignedTasks;
    ++step.waitingTasks;
  }
  task->isResultUnknown = aOperation.outcome == RunOutcome::Lost;
  suspectedRuns_.erase({ aOperation.task, aOperation.attempt });
  if (job.state == JobState::Live)
    SuspectRun(aOperation, worker);
  if (!aOperation.checkpoint.empty())
    step.checkpoints[aOperation.task.index] = std::move(aOperation.checkpoint);
  if (aOperation.outcome == RunOutcome::Succeeded && !isPersistent) {
    task->phase = TaskPhase::Done;
    --step.waitingTasks;
    step.checkpoints.erase(aOperation.task.index);
    step.crashes.erase(aOperation.task.index);
    CompleteTask(job, aOperation.task);
  } else if (aOperation.outcome == RunOutcome::Failed) {
    ++task->failures;
    if (description.isGang)
      step.failedGangRuns.Record(aOperation.attempt);
  }
  const bool hasFailed = HasFailed(job, aOperation, *task);
  aObserver.OnRunEnded(aOperation, worker);
  if (description.isGang && aOperation.outcome == RunOutcome::Succeeded)
    CompleteGang(job, aOperation, aObserver);
  if (job.state != JobState::Live) {
    if (job.assignedTasks == 0) {
      job.occurrences.clear();
      job.description = {};
    }
    return;
  }
  if (job.completedOccurrences == OccurrenceCount(job))
    EndJob(job, JobState::Completed, aOperation.at, aObserver);
  else if (hasFailed)
    EndJob(job, JobState::Failed, aOperation.at, aObserver);
}

/// Records the run as one that may have crashed its worker, if the operation
/// says so. A worker that had announced its departure has not crashed.
void
JobStateMachine::SuspectRun(const EndRun& aEnd, WorkerNumber aWorker)
{
  if (aEnd.suspicion == CrashSuspicion::None)
    return;
  std::erase_if(suspectedRuns_, [&](const auto& aItem) {
    return aItem.second.at + kCrashMemory < aEnd.at;
  });
  const TaskCrashes* crashes = FindCrashes(aEnd.task);
  const bool isRecorded =
    crashes != nullptr && crashes->attempts.count(aEnd.attempt) != 0;
  const auto worker = workers_.find(aWorker);
  if (isRecorded || worker == workers_.end() || worker->second.isDraining)
    return;
  const WorkerRecord& record = worker->second;
  suspectedRuns_[{ aEnd.task, aEnd.attempt }] = {
    .id = record.id,
    .host = record.host,
    .incarnation = record.incarnation,
    .isStartConfirmed = aEnd.suspicion == CrashSuspicion::StartConfirmed,
    .hostOrderCount = OrderIntentCount(record.host),
    .at = aEnd.at
  };
}

void
JobStateMachine::ApplyOperation(DismissSuspicions&& aOperation,
                                JobStateObserver& /*aObserver*/)
{
  std::erase_if(suspectedRuns_, [&](const auto& aItem) {
    return aItem.second.id == aOperation.worker &&
           aItem.second.incarnation == aOperation.incarnation;
  });
}

void
JobStateMachine::ApplyOperation(RepeatStart&& aOperation,
                                JobStateObserver& aObserver)
{
  TaskState* task = FindTask(aOperation.task);
  if (task == nullptr || task->phase != TaskPhase::Assigned ||
      task->attempt != aOperation.attempt)
    return;
  task->isStartRepeated = true;
  aObserver.OnStartRepeated(aOperation);
}

void
JobStateMachine::ApplyOperation(RegisterWorker&& aOperation,
                                JobStateObserver& aObserver)
{
  WorkerRecord& worker = aOperation.worker;
  const auto latest = workerNumbers_.find(worker.id);
  if (latest != workerNumbers_.end()) {
    WorkerRecord& latestRecord = workers_.at(latest->second);
    if (latestRecord.incarnation > worker.incarnation)
      return;
    if (latestRecord.incarnation == worker.incarnation) {
      // A delayed heartbeat from before the drain must not clear the flag.
      worker.isDraining = worker.isDraining || latestRecord.isDraining;
      latestRecord = std::move(worker);
      aObserver.OnWorkerRegistered(latest->second);
      return;
    }
  }
  const WorkerNumber number(++lastWorkerNumber_);
  workerNumbers_[worker.id] = number;
  workers_.emplace(number, std::move(worker));
  aObserver.OnWorkerRegistered(number);
}

void
JobStateMachine::ApplyOperation(RetireWorker&& aOperation,
                                JobStateObserver& aObserver)
{
  const auto found = workers_.find(aOperation.worker);
  if (found == workers_.end())
    return;
  const auto number = workerNumbers_.find(found->second.id);
  if (number != workerNumbers_.end() && number->second == aOperation.worker)
    workerNumbers_.erase(number);
  aObserver.OnWorkerRetired(aOperation.worker);
  workers_.erase(found);
}

void
JobStateMachine::ApplyOperation(StartWave&& aOperation,
                                JobStateObserver& /*aObserver*/)
{
  const WaveId id = aOperation.id;
  waves_.try_emplace(id,
                     Wave{ .plan = std::move(aOperation), .startedHosts = {} });
}

void
JobStateMachine::ApplyOperation(BeginMaintenance&& aOperation,
                                JobStateObserver& /*aObserver*/)
{
  const auto found = waves_.find(aOperation.wave);
  if (found != waves_.end())
    found->second.startedHosts.insert(std::move(aOperation.host));
}

void
JobStateMachine::ApplyOperation(RecordOrderIntent&& aOperation,
                                JobStateObserver& /*aObserver*/)
{
  OrderIntents& intents = orderIntents_[std::move(aOperation.host)];
  ++intents.count;
  latestTime_ = std::max(latestTime_, aOperation.at);
  intents.latestAt = aOperation.at == Time(0) ? Time(0) : latestTime_;
}

void
JobStateMachine::ApplyOperation(ConfirmStart&& aOperation,
                                JobStateObserver& /*aObserver*/)
{
  TaskState* task = FindTask(aOperation.task);
  if (task != nullptr && task->phase == TaskPhase::Assigned &&
      task->attempt == aOperation.attempt)
    task->isStartConfirmed = true;
}

void
JobStateMachine::ApplyOperation(RecordCrash&& aOperation,
                                JobStateObserver& aObserver)
{
  suspectedRuns_.erase({ aOperation.task, aOperation.attempt });
  const TaskState* task = FindTask(aOperation.task);
  if (task == nullptr || task->phase == TaskPhase::Done ||
      aOperation.attempt > task->attempt)
    return;
  Job& job = jobs_.at(aOperation.task.job);
  if (job.state != JobState::Live)
    return;
  TaskCrashes& crashes = job.occurrences.at(aOperation.task.occurrence)
                           .steps[aOperation.task.step]
                           .crashes[aOperation.task.index];
  if (crashes.latestAt + kCrashMemory < aOperation.at)
    crashes.attempts.clear();
  if (!crashes.attempts
         .try_emplace(aOperation.attempt, aOperation.isStartConfirmed)
         .second)
    return;
  crashes.latestAt = std::max(crashes.latestAt, aOperation.at);
  aObserver.OnCrashRecorded(aOperation, crashes);
  if (crashes.Score() < kCrashScoreLimit)
    return;
  // A persistent task is restarted however its runs end. Attempts beyond those
  // that reach the limit tell nothing more.
  if (job.description.steps[aOperation.task.step].isPersistent)
    while (crashes.attempts.size() > kCrashScoreLimit)
      crashes.attempts.erase(crashes.attempts.begin());
  else
    EndJob(job, JobState::Failed, aOperation.at, aObserver);
}
