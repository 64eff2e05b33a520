#include "greengage/jobs/JobStateMachine.h"

#include "CborFields.h"

#include <algorithm>
#include <utility>

using namespace greengage;
using namespace greengage::jobs;
using namespace greengage::jobs::detail;

static Cbor
StepStateToCbor(const StepState& aStep)
{
  Cbor tasks = Cbor::array();
  for (const TaskState& task : aStep.tasks)
    tasks.push_back(Cbor::array({ task.phase,
                                  task.failures,
                                  task.attempt.Value(),
                                  task.worker.Value(),
                                  task.isStartConfirmed,
                                  task.isResultUnknown,
                                  task.isStartRepeated }));
  Cbor checkpoints = Cbor::array();
  for (const auto& [index, text] : aStep.checkpoints)
    checkpoints.push_back(Cbor::array({ index, text }));
  Cbor crashes = Cbor::array();
  for (const auto& [index, record] : aStep.crashes) {
    Cbor attempts = Cbor::array();
    for (const auto& [attempt, isStartConfirmed] : record.attempts)
      attempts.push_back(Cbor::array({ attempt.Value(), isStartConfirmed }));
    crashes.push_back(
      Cbor::array({ index, std::move(attempts), record.latestAt.Millis() }));
  }
  Cbor step = Cbor::array(
    { std::move(tasks), std::move(checkpoints), std::move(crashes) });
  const FailedGangRuns& runs = aStep.failedGangRuns;
  if (runs.count > 0)
    step.push_back(Cbor::array({ runs.count, runs.latest.Value() }));
  return step;
}

/// Estimates the failed runs of a gang from a snapshot of an earlier version,
/// which states only how often each member has failed: no fewer than one member
/// has, the latest with the latest attempt that such a member has ended.
static FailedGangRuns
EstimateFailedGangRuns(const StepState& aStep)
{
  FailedGangRuns runs;
  for (const TaskState& task : aStep.tasks) {
    runs.count = std::max(runs.count, task.failures);
    if (task.failures > 0 && task.phase == TaskPhase::Waiting)
      runs.latest = std::max(runs.latest, task.attempt);
  }
  return runs;
}

static StepState
StepStateFromCbor(const Cbor& aValue, bool aIsGang)
{
  StepState step;
  for (const Cbor& item : aValue.at(0)) {
    const TaskState task{
      .phase = item.at(0).get<TaskPhase>(),
      .failures = item.at(1).get<std::uint32_t>(),
      .attempt = Attempt(item.at(2).get<std::uint32_t>()),
      .worker = WorkerNumber(item.at(3).get<std::uint32_t>()),
      // Snapshots of earlier versions lack the fields.
      .isStartConfirmed = item.size() > 4 && item.at(4).get<bool>(),
      .isResultUnknown = item.size() > 5 && item.at(5).get<bool>(),
      .isStartRepeated = item.size() > 6 && item.at(6).get<bool>()
    };
    step.waitingTasks += task.phase == TaskPhase::Waiting ? 1 : 0;
    step.doneTasks += task.phase == TaskPhase::Done ? 1 : 0;
    step.tasks.push_back(task);
  }
  for (const Cbor& item : aValue.at(1))
    step.checkpoints.emplace(item.at(0).get<std::uint32_t>(),
                             item.at(1).get<std::string>());
  // Snapshots of earlier versions have no crashes.
  constexpr std::size_t kCrashesIndex = 2;
  if (aValue.size() <= kCrashesIndex)
    return step;
  for (const Cbor& item : aValue.at(kCrashesIndex)) {
    TaskCrashes& crashes = step.crashes[item.at(0).get<std::uint32_t>()];
    for (const Cbor& attempt : item.at(1))
      crashes.attempts.emplace(attempt.at(0).get<std::uint32_t>(),
                               attempt.at(1).get<bool>());
    crashes.latestAt = Time(item.at(2).get<std::int64_t>());
  }
  constexpr std::size_t kFailedGangRunsIndex = 3;
  if (aValue.size() > kFailedGangRunsIndex) {
    const Cbor& runs = aValue.at(kFailedGangRunsIndex);
    step.failedGangRuns = { .count = runs.at(0).get<std::uint32_t>(),
                            .latest =
                              Attempt(runs.at(1).get<std::uint32_t>()) };
  } else if (aIsGang) {
    step.failedGangRuns = EstimateFailedGangRuns(step);
  }
  return step;
}

static Cbor
JobToCbor(const Job& aJob)
{
  Cbor occurrences = Cbor::array();
  for (const auto& [number, occurrence] : aJob.occurrences) {
    Cbor steps = Cbor::array();
    for (const StepState& step : occurrence.steps)
      steps.push_back(StepStateToCbor(step));
    occurrences.push_back(
      Cbor::array({ number, occurrence.isDone, std::move(steps) }));
  }
  return Cbor::array({ aJob.id.Value(),
                       aJob.queue.Value(),
                       aJob.team.Value(),
                       aJob.acceptedAt.Millis(),
                       aJob.endedAt.Millis(),
                       aJob.state,
                       aJob.wasEverAssigned,
                       aJob.assignedTasks,
                       aJob.completedOccurrences,
                       ToCbor(aJob.description),
                       std::move(occurrences),
                       aJob.acceptedQueue.Value(),
                       aJob.address.hostName,
                       aJob.address.pathPrefix });
}

static Job
JobFromCbor(const Cbor& aValue)
{
  std::size_t index = 0;
  const auto next = [&]() -> const Cbor& { return aValue.at(index++); };
  Job job;
  job.id = JobId(next().get<std::uint64_t>());
  job.queue = QueueId(next().get<std::string>());
  job.team = TeamId(next().get<std::string>());
  job.acceptedAt = Time(next().get<std::int64_t>());
  job.endedAt = Time(next().get<std::int64_t>());
  job.state = next().get<JobState>();
  job.wasEverAssigned = next().get<bool>();
  job.assignedTasks = next().get<std::uint32_t>();
  job.completedOccurrences = next().get<std::uint32_t>();
  job.description = JobDescriptionFromCbor(next());
  for (const Cbor& item : next()) {
    Occurrence occurrence;
    occurrence.isDone = item.at(1).get<bool>();
    for (const Cbor& step : item.at(2)) {
      const auto& described = job.description.steps;
      const std::size_t number = occurrence.steps.size();
      const bool isGang = number < described.size() && described[number].isGang;
      occurrence.steps.push_back(StepStateFromCbor(step, isGang));
    }
    job.occurrences.emplace(item.at(0).get<std::uint32_t>(),
                            std::move(occurrence));
  }
  // Snapshots of earlier versions lack the fields.
  if (aValue.size() == index) {
    job.acceptedQueue = job.queue;
    return job;
  }
  job.acceptedQueue = QueueId(next().get<std::string>());
  job.address.hostName = next().get<std::string>();
  job.address.pathPrefix = next().get<std::string>();
  return job;
}

static Cbor
SuspectedRunsToCbor(
  const std::map<std::pair<TaskId, Attempt>, SuspectedRun>& aRuns)
{
  Cbor runs = Cbor::array();
  for (const auto& [run, suspicion] : aRuns)
    runs.push_back(Cbor::array({ ToCbor(run.first),
                                 run.second.Value(),
                                 suspicion.id.Value(),
                                 suspicion.host.Value(),
                                 suspicion.incarnation.Value(),
                                 suspicion.isStartConfirmed,
                                 suspicion.hostOrderCount,
                                 suspicion.at.Millis() }));
  return runs;
}

static std::map<std::pair<TaskId, Attempt>, SuspectedRun>
SuspectedRunsFromCbor(const Cbor& aValue)
{
  std::map<std::pair<TaskId, Attempt>, SuspectedRun> runs;
  for (const Cbor& item : aValue) {
    std::size_t index = 0;
    const auto next = [&]() -> const Cbor& { return item.at(index++); };
    const TaskId task = TaskIdFromCbor(next());
    const Attempt attempt(next().get<std::uint32_t>());
    SuspectedRun run;
    run.id = WorkerId(next().get<std::string>());
    run.host = HostId(next().get<std::string>());
    run.incarnation = Incarnation(next().get<std::int64_t>());
    run.isStartConfirmed = next().get<bool>();
    run.hostOrderCount = next().get<std::uint64_t>();
    run.at = Time(next().get<std::int64_t>());
    runs.emplace(std::pair(task, attempt), std::move(run));
  }
  return runs;
}

static Cbor
ToCbor(const EarlyCancellations& aCancellations)
{
  Cbor jobs = Cbor::array();
  for (const auto& cancellation : aCancellations.All()) {
    const CancelledJob& job = cancellation->first;
    jobs.push_back(Cbor::array({ job.id.Value(),
                                 job.address.hostName,
                                 job.address.pathPrefix,
                                 job.team.Value(),
                                 cancellation->second.Millis() }));
  }
  return jobs;
}

static void
RecordFromCbor(const Cbor& aValue, EarlyCancellations& aCancellations)
{
  aCancellations.Record(
    { .id = JobId(aValue.at(0).get<std::uint64_t>()),
      .address = { .hostName = aValue.at(1).get<std::string>(),
                   .pathPrefix = aValue.at(2).get<std::string>() },
      .team = TeamId(aValue.at(3).get<std::string>()) },
    Time(aValue.at(4).get<std::int64_t>()));
}

/// A removed queue as the snapshot of an earlier version states it. No failure
/// ends its jobs, since their limit is lost and a job that failed can't go on.
static Queue
PoolOnlyQueue(QueueId aId, PoolId aPool)
{
  Queue queue;
  queue.id = std::move(aId);
  queue.pool = std::move(aPool);
  queue.maxAttempts = kUnlimitedAttempts;
  return queue;
}

/// Gives the jobs of a snapshot that states no addresses those of their queues,
/// as far as they are configured.
void
JobStateMachine::RecordMissingAddresses()
{
  for (auto& [id, job] : jobs_)
    if (job.address == QueueAddress())
      if (const auto found = queues_.find(job.queue); found != queues_.end())
        job.address = found->second.definition.Address();
}

std::string
JobStateMachine::Snapshot() const
{
  Cbor jobs = Cbor::array();
  for (const auto& [id, job] : jobs_)
    jobs.push_back(JobToCbor(job));
  Cbor workers = Cbor::array();
  for (const auto& [number, worker] : workers_)
    workers.push_back(Cbor::array({ number.Value(), ToCbor(worker) }));
  Cbor waves = Cbor::array();
  for (const auto& [id, wave] : waves_) {
    Cbor startedHosts = Cbor::array();
    for (const HostId& host : wave.startedHosts)
      startedHosts.push_back(host.Value());
    waves.push_back(
      Cbor::array({ ToCbor(wave.plan), std::move(startedHosts) }));
  }
  Cbor orders = Cbor::array();
  for (const auto& [host, intents] : orderIntents_)
    orders.push_back(
      Cbor::array({ host.Value(), intents.count, intents.latestAt.Millis() }));
  // Earlier versions know a removed queue only by its pool.
  Cbor queuePools = Cbor::array();
  Cbor removedQueues = Cbor::array();
  for (const auto& [id, queue] : queues_) {
    queuePools.push_back(
      Cbor::array({ id.Value(), queue.definition.pool.Value() }));
    if (queue.absences > 0)
      removedQueues.push_back(
        Cbor::array({ ToCbor(queue.definition), queue.absences }));
  }
  return SerializeCbor(Cbor::array({ configurationText_,
                                     std::move(jobs),
                                     lastWorkerNumber_,
                                     std::move(workers),
                                     std::move(waves),
                                     std::move(orders),
                                     std::move(queuePools),
                                     SuspectedRunsToCbor(suspectedRuns_),
                                     latestTime_.Millis(),
                                     std::move(removedQueues),
                                     ToCbor(cancelledJobs_) }));
}

bool
JobStateMachine::Restore(std::string_view aSnapshot, Error& aReason)
{
  try {
    const Cbor value = Cbor::from_cbor(aSnapshot.begin(), aSnapshot.end());
    JobStateMachine restored(reader_);
    restored.configurationText_ = value.at(0).get<std::string>();
    if (!restored.configurationText_.empty()) {
      restored.configuration_ =
        reader_.Read(restored.configurationText_, aReason);
      if (!restored.configuration_)
        return false;
    }
    for (const Cbor& item : value.at(1)) {
      Job job = JobFromCbor(item);
      const JobId id = job.id;
      restored.jobs_.emplace(id, std::move(job));
    }
    restored.lastWorkerNumber_ = value.at(2).get<std::uint32_t>();
    for (const Cbor& item : value.at(3)) {
      const WorkerNumber number(item.at(0).get<std::uint32_t>());
      WorkerRecord worker = WorkerRecordFromCbor(item.at(1));
      // Numbers ascend, so that a worker id maps to its latest incarnation.
      restored.workerNumbers_[worker.id] = number;
      restored.workers_.emplace(number, std::move(worker));
    }
    for (const Cbor& item : value.at(4)) {
      Wave wave{ .plan = StartWaveFromCbor(item.at(0)), .startedHosts = {} };
      for (const Cbor& host : item.at(1))
        wave.startedHosts.insert(HostId(host.get<std::string>()));
      const WaveId id = wave.plan.id;
      restored.waves_.emplace(id, std::move(wave));
    }
    for (const Cbor& item : value.at(5))
      restored.orderIntents_.emplace(
        item.at(0).get<std::string>(),
        OrderIntents{ .count = item.at(1).get<std::uint64_t>(),
                      .latestAt =
                        Time(item.size() > 2 ? item.at(2).get<std::int64_t>()
                                             : std::int64_t(0)) });
    // Snapshots of earlier versions may end here or after any later field.
    constexpr std::size_t kQueuePools = 6;
    if (value.size() > kQueuePools)
      for (const Cbor& item : value.at(kQueuePools)) {
        const QueueId id(item.at(0).get<std::string>());
        restored.queues_[id] = { .definition = PoolOnlyQueue(
                                   id, PoolId(item.at(1).get<std::string>())),
                                 .absences = 1 };
      }
    constexpr std::size_t kSuspectedRuns = 7;
    if (value.size() > kSuspectedRuns)
      restored.suspectedRuns_ = SuspectedRunsFromCbor(value.at(kSuspectedRuns));
    constexpr std::size_t kLatestTime = 8;
    if (value.size() > kLatestTime)
      restored.latestTime_ = Time(value.at(kLatestTime).get<std::int64_t>());
    constexpr std::size_t kRemovedQueues = 9;
    if (value.size() > kRemovedQueues)
      for (const Cbor& item : value.at(kRemovedQueues)) {
        Queue queue = QueueFromCbor(item.at(0));
        const QueueId id = queue.id;
        restored.queues_[id] = { .definition = std::move(queue),
                                 .absences = item.at(1).get<std::uint32_t>() };
      }
    if (restored.configuration_)
      restored.RecordConfiguredQueues();
    restored.RecordMissingAddresses();
    constexpr std::size_t kCancelledJobs = 10;
    if (value.size() > kCancelledJobs)
      for (const Cbor& item : value.at(kCancelledJobs))
        RecordFromCbor(item, restored.cancelledJobs_);
    configuration_ = std::move(restored.configuration_);
    configurationText_ = std::move(restored.configurationText_);
    queues_ = std::move(restored.queues_);
    cancelledJobs_ = std::move(restored.cancelledJobs_);
    jobs_ = std::move(restored.jobs_);
    workers_ = std::move(restored.workers_);
    workerNumbers_ = std::move(restored.workerNumbers_);
    lastWorkerNumber_ = restored.lastWorkerNumber_;
    waves_ = std::move(restored.waves_);
    orderIntents_ = std::move(restored.orderIntents_);
    latestTime_ = restored.latestTime_;
    suspectedRuns_ = std::move(restored.suspectedRuns_);
    return true;
  } catch (const nlohmann::json::exception& error) {
    Fail(aReason,
         ErrorKind::DataCorrupt,
         std::string("can't decode the job state snapshot: ") + error.what());
    return false;
  }
}
