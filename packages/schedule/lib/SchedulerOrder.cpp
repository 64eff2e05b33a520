#include "greengage/schedule/Scheduler.h"

#include "SchedulerBounds.h"
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
/// A pool grows if its usable workers become more by this percentage in the
/// time that a host takes to move.
static constexpr std::size_t kGrowthPercent = 10;
static constexpr Duration kGrowthInterval = Duration(1500);
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
                       .queue = &aQueue,
                       .priority = 0,
                       .latestStart = aJob.acceptedAt };
  // Jobs with persistent tasks have no objective: their tasks should always
  // run, so they keep the highest priority.
  const bool isPersistent =
    std::any_of(aJob.description.steps.begin(),
                aJob.description.steps.end(),
                [](const jobs::Step& aStep) { return aStep.isPersistent; });
  if (isPersistent)
    return candidate;
  const CriticalPaths paths = ComputePaths(aJob, aQueue);
  candidate.priority = queue.priority;
  const Duration objective =
    queue.objective +
    Duration(static_cast<std::int64_t>(
      queue.stretch * static_cast<double>(paths.complete.Millis())));
  const Duration remaining =
    paths.remaining + aQueue.pool->times.Overhead() * paths.remainingSteps;
  const auto isPast = [&](Time aLatestStart) {
    return aJob.description.recurrence.count == 0 &&
           aLatestStart + kLateTolerance < now_.wall;
  };
  candidate.latestStart = aJob.acceptedAt + objective - remaining;
  if (!isPast(candidate.latestStart))
    return candidate;
  candidate.latestStart =
    aJob.acceptedAt + objective * kWorthlessFactor - remaining;
  candidate.timeliness =
    isPast(candidate.latestStart) ? Timeliness::Worthless : Timeliness::Late;
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

Scheduler::CriticalPaths
Scheduler::ComputePaths(const jobs::Job& aJob, const QueueState& aQueue) const
{
  const auto& steps = aJob.description.steps;
  const jobs::Occurrence* occurrence =
    aJob.occurrences.empty() ? nullptr : &aJob.occurrences.begin()->second;
  pathEnds_.resize(steps.size());
  CriticalPaths longest;
  const auto extend = [](CriticalPaths& aPaths, const CriticalPaths& aOther) {
    aPaths.complete = std::max(aPaths.complete, aOther.complete);
    if (aPaths.remaining >= aOther.remaining)
      return;
    aPaths.remaining = aOther.remaining;
    aPaths.remainingSteps = aOther.remainingSteps;
  };
  for (std::size_t index = 0; index < steps.size(); ++index) {
    CriticalPaths& end = pathEnds_[index];
    end = {};
    for (const std::uint32_t predecessor : steps[index].dependencies)
      extend(end, pathEnds_[predecessor]);
    const Duration runTime = ExpectedRunTime(&aQueue, steps[index]);
    end.complete = end.complete + runTime;
    const bool isDone =
      occurrence != nullptr && occurrence->steps[index].doneTasks ==
                                 occurrence->steps[index].tasks.size();
    if (!isDone) {
      end.remaining = end.remaining + runTime;
      ++end.remainingSteps;
    }
    extend(longest, end);
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
Scheduler::CountTimes(const TaskId& aTask, const Run& aRun)
{
  const jobs::Job* job = stateMachine_.Find(aTask.job);
  const QueueState* queue = job == nullptr ? nullptr : FindQueue(job->queue);
  if (!aRun.placedAt || aRun.isPersistent || queue == nullptr)
    return;
  queue->pool->times.Add(
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

/// The order in which jobs are served.
bool
Scheduler::IsServedBefore(const Candidate& aLeft, const Candidate& aRight)
{
  // Finishing a late job sooner gains little, and a worthless one nothing.
  const auto rank = [](const Candidate& aCandidate) {
    return std::tuple(
      aCandidate.timeliness, aCandidate.isDeferred, aCandidate.priority);
  };
  if (rank(aLeft) != rank(aRight))
    return rank(aLeft) < rank(aRight);
  if (aLeft.latestStart == aRight.latestStart)
    return aLeft.job->id < aRight.job->id;
  // The deferred job with the most slack can best be in time after all.
  return (aLeft.latestStart < aRight.latestStart) != aLeft.isDeferred;
}

/// \returns the live jobs with tasks that may be placed or need permits, in the
/// order in which they are served.
std::vector<Scheduler::Candidate>
Scheduler::RankedCandidates() const
{
  std::vector<Candidate> candidates;
  candidates.reserve(liveJobs_.size());
  for (const jobs::JobId id : liveJobs_) {
    const jobs::Job* job = stateMachine_.Find(id);
    const QueueState* queue = job == nullptr ? nullptr : FindQueue(job->queue);
    if (queue == nullptr)
      continue;
    const bool needsPermits = queue->definition->advice.has_value();
    if (needsPermits || HasDispatchableStep(*job))
      candidates.push_back(MakeCandidate(*job, *queue));
  }
  std::sort(candidates.begin(), candidates.end(), IsServedBefore);
  DeferCandidates(candidates);
  return candidates;
}

/// The work of the tasks of a step that have no place yet. None is counted of
/// persistent tasks, which don't give their places back.
MilliCoreMillis
Scheduler::WaitingWork(const jobs::Step& aStep,
                       const jobs::StepState& aState,
                       const QueueState& aQueue)
{
  if (aStep.isPersistent)
    return {};
  return MilliCoreMillis(AllocationFor(aStep).processors.Count() *
                         static_cast<std::int64_t>(aState.waitingTasks) *
                         ExpectedRunTime(&aQueue, aStep).Millis());
}

PendingJob
Scheduler::MakePendingJob(const Candidate& aCandidate) const
{
  const jobs::Job& job = *aCandidate.job;
  const QueueState& queue = *aCandidate.queue;
  PendingJob pending{ .isLate = aCandidate.timeliness != Timeliness::InTime,
                      .priority = aCandidate.priority,
                      .latestStart = aCandidate.latestStart,
                      .startable = {},
                      .remaining = {},
                      .isDeferrable =
                        jobs::HasObjective(job.description) && !HasBegun(job) };
  for (const auto& [number, occurrence] : job.occurrences) {
    if (DueTime(job, number) > now_.wall)
      break;
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
      const jobs::StepState& state = occurrence.steps[step];
      const MilliCoreMillis work =
        WaitingWork(job.description.steps[step], state, queue);
      pending.remaining += work;
      if (jobs::AreDependenciesDone(job, occurrence, step))
        pending.startable += work;
    }
  }
  return pending;
}

/// Moves the candidates of saturated pools that have to wait for others behind
/// these. \p aCandidates are in the order of service.
void
Scheduler::DeferCandidates(std::vector<Candidate>& aCandidates) const
{
  bool isAnyDeferred = false;
  for (const auto& [id, pool] : pools_)
    if (pool.isSaturated && DeferCandidatesOf(pool, aCandidates))
      isAnyDeferred = true;
  if (isAnyDeferred)
    std::sort(aCandidates.begin(), aCandidates.end(), IsServedBefore);
}

/// \returns whether any candidate has been deferred.
bool
Scheduler::DeferCandidatesOf(const PoolState& aPool,
                             std::vector<Candidate>& aCandidates) const
{
  std::vector<Candidate*> candidates;
  std::vector<PendingJob> jobs;
  candidates.reserve(aCandidates.size());
  jobs.reserve(aCandidates.size());
  for (Candidate& candidate : aCandidates)
    if (candidate.queue->pool == &aPool &&
        candidate.timeliness != Timeliness::Worthless) {
      candidates.push_back(&candidate);
      jobs.push_back(MakePendingJob(candidate));
    }
  deferral_.Defer(jobs, aPool.rate, now_.wall);
  bool isAnyDeferred = false;
  for (std::size_t index = 0; index < jobs.size(); ++index) {
    candidates[index]->isDeferred = jobs[index].isDeferred;
    isAnyDeferred = isAnyDeferred || jobs[index].isDeferred;
  }
  return isAnyDeferred;
}

/// Measures how much work each saturated pool begins per unit of time: the
/// processors in use, each of which begins a task whenever another one gives
/// its place back.
void
Scheduler::MeasureRates()
{
  for (auto& [id, pool] : pools_) {
    if (!pool.isSaturated)
      continue;
    MilliCores inUse;
    std::size_t usable = 0;
    for (const auto& [entry, worker] : poolIndex_.WorkersOf(id).All())
      if (worker->IsUsable(now_.steady)) {
        ++usable;
        inUse +=
          worker->used.processors - worker->usedByPersistentRuns.processors;
      }
    NoteGrowth(pool, usable);
    pool.rate.reset();
    if (!pool.isGrowing)
      pool.rate = MilliCores(static_cast<std::int64_t>(
        static_cast<double>(inUse.Count()) * pool.times.Efficiency()));
  }
}

/// Notes whether hosts are on the move to a pool: what it will begin soon is
/// not known then.
void
Scheduler::NoteGrowth(PoolState& aPool, std::size_t aUsableWorkers) const
{
  const bool isFirstInterval =
    aPool.growthIntervalEnd + kGrowthInterval <= now_.steady;
  const bool hasGrown =
    !isFirstInterval && aUsableWorkers * kPercent >
                          aPool.usableBefore * (kPercent + kGrowthPercent);
  if (aPool.growthIntervalEnd > now_.steady) {
    aPool.isGrowing = aPool.isGrowing || hasGrown;
    return;
  }
  aPool.isGrowing = hasGrown;
  aPool.usableBefore = aUsableWorkers;
  aPool.growthIntervalEnd = now_.steady + kGrowthInterval;
}

std::map<PoolId, PoolDemand>
Scheduler::ComputeDemand() const
{
  std::map<PoolId, PoolDemand> demand;
  for (const Candidate& candidate : LiveCandidates()) {
    const jobs::Job& job = *candidate.job;
    PoolDemand& poolDemand = demand[candidate.Pool()];
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
          (candidate.timeliness == Timeliness::InTime ? 1 : kLateDemandDivisor);
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
