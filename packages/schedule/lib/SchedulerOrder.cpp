#include "greengage/schedule/Scheduler.h"

#include "TaskAllocation.h"

#include <algorithm>
#include <tuple>
#include <utility>

using namespace greengage;
using namespace greengage::schedule;
using namespace greengage::schedule::detail;

using jobs::Resources;

/// How far a job may be past its latest start before it counts as late, since
/// run times are estimates.
static constexpr Duration kLateTolerance = Duration(300);
/// Weight of the latest run time in the exponential moving average.
static constexpr double kRunTimeSmoothing = 0.05;
/// Divisors that discount the demand of late jobs, and of steps that wait for
/// other steps, when hosts are requested.
static constexpr std::int64_t kLateDemandDivisor = 2;
static constexpr std::int64_t kBlockedDemandDivisor = 3;
/// How often the backlogs for admission are computed anew.
static constexpr Duration kBacklogInterval = Duration(100);
/// How long a failed attempt to move a task to another worker counts as demand.
/// The move is retried every 150 ms.
static constexpr Duration kShortageDemandTime = Duration(500);

Scheduler::Candidate
Scheduler::MakeCandidate(const jobs::Job& aJob, const QueueState& aQueue) const
{
  const jobs::Queue& queue = *aQueue.definition;
  Candidate candidate{ .job = &aJob,
                       .pool = queue.pool,
                       .priority = 0,
                       .latestStart = aJob.acceptedAt,
                       .advicePolicy = queue.advice };
  // Jobs with persistent tasks have no objective: their tasks should always
  // run, so they keep the highest priority.
  const bool isPersistent =
    std::any_of(aJob.description.steps.begin(),
                aJob.description.steps.end(),
                [](const jobs::Step& aStep) { return aStep.isPersistent; });
  if (isPersistent)
    return candidate;
  const auto criticalPathMs =
    static_cast<double>(CriticalPath(aJob, aQueue, false).Millis());
  candidate.priority = queue.priority;
  candidate.latestStart =
    aJob.acceptedAt + queue.objective +
    Duration(static_cast<std::int64_t>(queue.stretch * criticalPathMs)) -
    CriticalPath(aJob, aQueue, true);
  candidate.isLate = aJob.description.recurrence.count == 0 &&
                     candidate.latestStart + kLateTolerance < now_.wall;
  return candidate;
}

/// \returns the expected run time of a step's tasks: the mean of the client's
/// estimate, which is rough, and the average measured for the queue.
Duration
Scheduler::ExpectedRunTime(const QueueState* aQueue, const jobs::Step& aStep)
{
  if (aQueue == nullptr || !aQueue->meanRunTime)
    return aStep.estimate;
  const auto averageMs = static_cast<std::int64_t>(*aQueue->meanRunTime);
  return Duration((aStep.estimate.Millis() + averageMs) / 2);
}

/// \returns the expected run time of the critical path through all steps, or
/// through the unfinished ones only.
Duration
Scheduler::CriticalPath(const jobs::Job& aJob,
                        const QueueState& aQueue,
                        bool aIsRemainingOnly) const
{
  const auto& steps = aJob.description.steps;
  const jobs::Occurrence* occurrence =
    aJob.occurrences.empty() ? nullptr : &aJob.occurrences.begin()->second;
  std::vector<Duration>& ends = pathEnds_;
  ends.resize(steps.size());
  Duration longest;
  for (std::size_t index = 0; index < steps.size(); ++index) {
    const bool isDone = aIsRemainingOnly && occurrence != nullptr &&
                        occurrence->steps[index].doneTasks ==
                          occurrence->steps[index].tasks.size();
    Duration start;
    for (const std::uint32_t predecessor : steps[index].dependencies)
      start = std::max(start, ends[predecessor]);
    ends[index] =
      start + (isDone ? Duration(0) : ExpectedRunTime(&aQueue, steps[index]));
    longest = std::max(longest, ends[index]);
  }
  return longest;
}

void
Scheduler::UpdateMeanRunTime(const jobs::Job& aJob,
                             const Run& aRun,
                             std::optional<Time> aListedAt)
{
  if (!aRun.confirmedAt || !aListedAt)
    return;
  const auto elapsedMs =
    static_cast<double>((*aListedAt - *aRun.confirmedAt).Millis());
  const auto queue = queues_.find(aJob.queue);
  if (queue == queues_.end())
    return;
  std::optional<double>& mean = queue->second.meanRunTime;
  mean = mean ? *mean + (elapsedMs - *mean) * kRunTimeSmoothing : elapsedMs;
}

/// Counts how long a run that has succeeded kept its place on the worker.
void
Scheduler::CountOccupancy(const TaskId& aTask, const Run& aRun)
{
  const jobs::Job* job = stateMachine_.Find(aTask.job);
  const QueueState* queue = job == nullptr ? nullptr : FindQueue(job->queue);
  if (!aRun.placedAt || aRun.isPersistent || queue == nullptr)
    return;
  occupancies_[queue->definition->pool].Add(
    ExpectedRunTime(queue, job->description.steps[aTask.step]),
    now_.steady - *aRun.placedAt);
}

/// Whether a task of the job has been given a place on a worker, as far as that
/// is committed.
bool
Scheduler::HasBegun(const jobs::Job& aJob)
{
  for (const auto& [number, occurrence] : aJob.occurrences)
    for (const jobs::StepState& step : occurrence.steps)
      if (step.waitingTasks < step.tasks.size())
        return true;
  return false;
}

/// Whether a step of the job has tasks that wait for a worker and not for other
/// steps.
bool
Scheduler::HasDispatchableStep(const jobs::Job& aJob)
{
  for (const auto& [number, occurrence] : aJob.occurrences)
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step)
      if (occurrence.steps[step].waitingTasks > 0 &&
          jobs::AreDependenciesDone(aJob, occurrence, step))
        return true;
  return false;
}

/// \returns the live jobs of known queues, without an order.
std::vector<Scheduler::Candidate>
Scheduler::LiveCandidates() const
{
  std::vector<Candidate> candidates;
  const auto add = [&](const jobs::Job& aJob) {
    const QueueState* queue = FindQueue(aJob.queue);
    if (queue != nullptr)
      candidates.push_back(MakeCandidate(aJob, *queue));
  };
  if (!IsLeading()) {
    for (const auto& [id, job] : stateMachine_.Jobs())
      if (job.state == jobs::JobState::Live)
        add(job);
    return candidates;
  }
  for (const jobs::JobId id : liveJobs_)
    if (const jobs::Job* job = stateMachine_.Find(id))
      add(*job);
  return candidates;
}

/// \returns the live jobs with tasks that may be placed or need permits, in the
/// order in which they are served.
std::vector<Scheduler::Candidate>
Scheduler::RankedCandidates() const
{
  std::vector<Candidate> candidates;
  for (const jobs::JobId id : liveJobs_) {
    const jobs::Job* job = stateMachine_.Find(id);
    const QueueState* queue = job == nullptr ? nullptr : FindQueue(job->queue);
    if (queue == nullptr)
      continue;
    const bool needsPermits = queue->definition->advice.has_value();
    if (needsPermits || HasDispatchableStep(*job))
      candidates.push_back(MakeCandidate(*job, *queue));
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const Candidate& aLeft, const Candidate& aRight) {
              // Jobs that can still meet their objective go first: finishing
              // a late job sooner gains little.
              return std::tuple(aLeft.isLate,
                                aLeft.priority,
                                aLeft.latestStart,
                                aLeft.job->id) < std::tuple(aRight.isLate,
                                                            aRight.priority,
                                                            aRight.latestStart,
                                                            aRight.job->id);
            });
  return candidates;
}

std::map<PoolId, PoolDemand>
Scheduler::ComputeDemand() const
{
  std::map<PoolId, PoolDemand> demand;
  for (const Candidate& candidate : LiveCandidates()) {
    const jobs::Job& job = *candidate.job;
    PoolDemand& poolDemand = demand[candidate.pool];
    for (const auto& [number, occurrence] : job.occurrences)
      for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        const jobs::StepState& state = occurrence.steps[step];
        const Resources perTask = AllocationFor(job.description.steps[step]);
        if (job.description.steps[step].isPersistent && state.waitingTasks > 0)
          ++poolDemand.persistentWaiting;
        const auto unfinished =
          static_cast<std::int64_t>(state.tasks.size() - state.doneTasks);
        const std::int64_t divisor =
          (jobs::AreDependenciesDone(job, occurrence, step)
             ? 1
             : kBlockedDemandDivisor) *
          (candidate.isLate ? kLateDemandDivisor : 1);
        poolDemand.processors +=
          perTask.processors.Count() * unfinished / divisor;
        poolDemand.memory += perTask.memory.Count() * unfinished / divisor;
      }
  }
  for (const auto& [pool, shortageAt] : lastShortageAt_)
    if (shortageAt + kShortageDemandTime > now_.steady)
      ++demand[pool].persistentWaiting;
  return demand;
}

/// The work of a step that is left, in thousandths of a core times
/// milliseconds. Half of a running task is left in the mean.
std::int64_t
Scheduler::WorkLeft(const jobs::Step& aStep,
                    const jobs::StepState& aState,
                    const QueueState& aQueue)
{
  if (aStep.isPersistent)
    return 0;
  const auto unfinished =
    static_cast<std::int64_t>(aState.tasks.size() - aState.doneTasks);
  const std::int64_t halfTasks =
    unfinished + static_cast<std::int64_t>(aState.waitingTasks);
  return AllocationFor(aStep).processors.Count() * halfTasks *
         ExpectedRunTime(&aQueue, aStep).Millis() / 2;
}

void
Scheduler::RefreshBacklogs()
{
  if (backlogsAt_ + kBacklogInterval > now_.steady)
    return;
  backlogsAt_ = now_.steady;
  poolBacklogs_.clear();
  teamBacklogs_.clear();
  for (const jobs::JobId id : liveJobs_) {
    const jobs::Job* job = stateMachine_.Find(id);
    const QueueState* queue = job == nullptr ? nullptr : FindQueue(job->queue);
    if (queue == nullptr || job->description.recurrence.count > 0)
      continue;
    std::int64_t left = 0;
    for (const auto& [number, occurrence] : job->occurrences)
      for (std::size_t step = 0; step < occurrence.steps.size(); ++step)
        left += WorkLeft(
          job->description.steps[step], occurrence.steps[step], *queue);
    poolBacklogs_[queue->definition->pool] += MilliCoreMillis(left);
    teamBacklogs_[job->team] += MilliCoreMillis(left);
  }
}

/// The work of a job that has not begun.
static MilliCoreMillis
WorkOf(const jobs::JobDescription& aDescription)
{
  std::int64_t work = 0;
  for (const jobs::Step& step : aDescription.steps)
    work += AllocationFor(step).processors.Count() * step.count *
            step.estimate.Millis();
  return MilliCoreMillis(work);
}

void
Scheduler::CountOffer(const jobs::Queue& aQueue,
                      const TeamId& aTeam,
                      const jobs::JobDescription& aDescription)
{
  const MilliCoreMillis work = WorkOf(aDescription);
  poolBacklogs_[aQueue.pool] += work;
  teamBacklogs_[aTeam] += work;
}

JobOffer
Scheduler::MakeOffer(jobs::JobId aJob,
                     const jobs::Queue& aQueue,
                     const TeamId& aTeam,
                     const jobs::JobDescription& aDescription)
{
  RefreshBacklogs();
  const Duration path = jobs::CriticalPathLength(aDescription);
  const auto stretchedMs = static_cast<std::int64_t>(
    aQueue.stretch * static_cast<double>(path.Millis()));
  JobOffer offer{ .job = aJob,
                  .path = path,
                  .objective = aQueue.objective + Duration(stretchedMs),
                  .pool = {},
                  .team = {} };
  offer.pool.backlog = poolBacklogs_[aQueue.pool];
  for (const auto& [entry, worker] : poolIndex_.WorkersOf(aQueue.pool).All())
    offer.pool.capacity += worker->capacity.processors;
  const auto quota = quotas_.find(aTeam);
  if (quota != quotas_.end()) {
    offer.team.backlog = teamBacklogs_[aTeam];
    offer.team.capacity = quota->second.processors;
  }
  return offer;
}
