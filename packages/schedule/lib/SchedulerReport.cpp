#include "greengage/schedule/Scheduler.h"

#include "TaskAllocation.h"

#include "greengage/observe/Log.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

using namespace greengage;
using namespace greengage::schedule;
using namespace greengage::schedule::detail;

/// How often persistent tasks are checked for runs.
static constexpr Duration kIdleCheckInterval = Duration::Seconds(1);
/// A persistent task without a run for this long is reported, and again after
/// each such span. Covers the lease of a lost worker.
static constexpr Duration kIdleReportInterval = Duration::Seconds(5);
/// The maximum number of tasks reported by one check.
static constexpr std::size_t kMaxReportsPerCheck = 8;

/// Whether a worker that answers runs the task.
bool
Scheduler::IsRunning(const TaskId& aTask, const jobs::TaskState& aState) const
{
  const WorkerSession* session = aState.phase == jobs::TaskPhase::Assigned
                                   ? FindSession(aState.worker)
                                   : nullptr;
  if (session == nullptr || session->consecutiveFailedCalls > 0)
    return false;
  const auto run = session->runs.find(aTask);
  return run != session->runs.end() && run->second.stage == RunStage::Running;
}

/// \returns the persistent tasks of the live jobs that no worker is known to
/// run.
std::vector<TaskId>
Scheduler::FindIdlePersistentTasks() const
{
  std::vector<TaskId> idle;
  for (const jobs::JobId id : liveJobs_) {
    const jobs::Job* job = stateMachine_.Find(id);
    if (job == nullptr)
      continue;
    for (const auto& [number, occurrence] : job->occurrences)
      for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        if (!job->description.steps[step].isPersistent ||
            !jobs::AreDependenciesDone(*job, occurrence, step))
          continue;
        const auto& tasks = occurrence.steps[step].tasks;
        for (std::uint32_t index = 0; index < tasks.size(); ++index) {
          const TaskId task{
            .job = id, .occurrence = number, .step = step, .index = index
          };
          if (!IsRunning(task, tasks[index]))
            idle.push_back(task);
        }
      }
  }
  return idle;
}

/// Counts the pool's workers by what keeps each from taking the task.
Scheduler::PlacementObstacles
Scheduler::CountObstacles(const Candidate& aCandidate,
                          const TaskId& aTask) const
{
  const jobs::Step& step = aCandidate.job->description.steps[aTask.step];
  const jobs::Resources allocation = AllocationFor(step);
  PlacementObstacles obstacles;
  for (const auto& [entry, session] :
       poolIndex_.WorkersOf(aCandidate.Pool()).All()) {
    const jobs::WorkerRecord& record = RecordOf(*session);
    if (session->isCordoned)
      ++obstacles.cordoned;
    else if (!session->IsUsable(now_.steady))
      ++obstacles.unusable;
    else if (!IsInClass(record, aCandidate, step))
      ++obstacles.outOfClass;
    else if (!IsEligible(*session, record, aCandidate, aTask))
      ++obstacles.atStepLimit;
    else if (!jobs::Fits(allocation, session->used, record.capacity))
      ++obstacles.full;
    else if (!IsPermitted(record, aCandidate, aTask))
      ++obstacles.notPermitted;
    else
      ++obstacles.suitable;
  }
  return obstacles;
}

/// \returns what keeps a task from running, as far as this host knows.
std::string
Scheduler::DescribeIdleTask(const TaskId& aTask) const
{
  const jobs::TaskState& state = *stateMachine_.Find(aTask);
  if (state.phase == jobs::TaskPhase::Assigned) {
    const WorkerSession* session = FindSession(state.worker);
    if (session == nullptr)
      return "assigned to a worker that is not registered";
    const auto run = session->runs.find(aTask);
    if (run == session->runs.end())
      return "assigned without a run";
    if (session->isSuperseded)
      return "assigned to a worker that has restarted";
    if (run->second.stage == RunStage::Ending)
      return "end of the run not committed";
    return session->consecutiveFailedCalls > 0 ? "worker does not answer"
                                               : "start not confirmed";
  }
  const jobs::Job& job = *stateMachine_.Find(aTask.job);
  const QueueState* queue = FindQueue(job.queue);
  if (proposedTasks_.count(aTask) != 0)
    return "assignment not committed";
  if (queue == nullptr)
    return "pool of the queue not known";
  if (!IsWithinQuota(job.team, job.description.steps[aTask.step].request))
    return "over quota";
  return reservations_.count(aTask) != 0 ? "reserved capacity is not free"
                                         : "no worker has capacity";
}

void
Scheduler::LogIdleTask(const TaskId& aTask, Duration aIdleTime) const
{
  const jobs::TaskState& state = *stateMachine_.Find(aTask);
  const jobs::Job& job = *stateMachine_.Find(aTask.job);
  const auto workerName = [&](jobs::WorkerNumber aWorker) {
    const WorkerSession* session = FindSession(aWorker);
    return session == nullptr ? std::string() : RecordOf(*session).id.Value();
  };
  const bool isAssigned = state.phase == jobs::TaskPhase::Assigned;
  const auto reservation = reservations_.find(aTask);
  const QueueState* queue = FindQueue(job.queue);
  PlacementObstacles obstacles;
  if (queue != nullptr)
    obstacles = CountObstacles(MakeCandidate(job, *queue), aTask);
  observe::Log(
    observe::LogLevel::Warning,
    "persistent-task-idle",
    { { "task", ToString(aTask) },
      { "attempt", std::to_string(state.attempt.Value()) },
      { "idle_ms", std::to_string(aIdleTime.Millis()) },
      { "state", isAssigned ? "assigned" : "waiting" },
      { "worker", isAssigned ? workerName(state.worker) : std::string() },
      { "reserved_on",
        reservation == reservations_.end()
          ? std::string()
          : workerName(reservation->second.worker) },
      { "why", DescribeIdleTask(aTask) },
      { "suitable", std::to_string(obstacles.suitable) },
      { "full", std::to_string(obstacles.full) },
      { "at_step_limit", std::to_string(obstacles.atStepLimit) },
      { "cordoned", std::to_string(obstacles.cordoned) },
      { "unusable", std::to_string(obstacles.unusable) },
      { "out_of_class", std::to_string(obstacles.outOfClass) },
      { "not_permitted", std::to_string(obstacles.notPermitted) } });
}

/// Logs persistent tasks that have had no run for long, the longest first.
void
Scheduler::ReportIdlePersistentTasks()
{
  if (now_.steady < nextIdleCheck_)
    return;
  nextIdleCheck_ = now_.steady + kIdleCheckInterval;
  std::map<TaskId, IdleTask> idle;
  std::vector<std::pair<Time, TaskId>> due;
  idlePersistentTasks_ = 0;
  for (const TaskId& task : FindIdlePersistentTasks()) {
    const auto known = idleTasks_.find(task);
    const IdleTask entry =
      known != idleTasks_.end()
        ? known->second
        : IdleTask{ .since = now_.steady,
                    .nextReport = now_.steady + kIdleReportInterval };
    idle.emplace(task, entry);
    idlePersistentTasks_ += entry.since + kIdleReportInterval <= now_.steady;
    if (entry.nextReport <= now_.steady)
      due.emplace_back(entry.since, task);
  }
  idleTasks_ = std::move(idle);
  std::sort(due.begin(), due.end());
  due.resize(std::min(due.size(), kMaxReportsPerCheck));
  for (const auto& [since, task] : due) {
    idleTasks_.at(task).nextReport = now_.steady + kIdleReportInterval;
    LogIdleTask(task, now_.steady - since);
  }
}

std::map<PoolId, PoolLoad>
Scheduler::ComputeLoads() const
{
  std::map<PoolId, PoolLoad> loads;
  for (const Candidate& candidate : LiveCandidates()) {
    if (!jobs::HasObjective(candidate.job->description))
      continue;
    PoolLoad& load = loads[candidate.Pool()];
    const bool hasBegun = HasBegun(*candidate.job);
    ++(hasBegun ? load.begunJobs : load.unbegunJobs);
    if (candidate.timeliness != Timeliness::InTime)
      ++(hasBegun ? load.lateBegunJobs : load.lateUnbegunJobs);
  }
  for (auto& [pool, load] : loads) {
    for (const auto& [entry, worker] : poolIndex_.WorkersOf(pool).All()) {
      ++load.workers;
      if (!worker->IsUsable(now_.steady))
        continue;
      ++load.usableWorkers;
      load.capacity += worker->capacity.processors;
      load.inUse += worker->used.processors;
    }
    load.times = pools_.at(pool).times;
  }
  return loads;
}
