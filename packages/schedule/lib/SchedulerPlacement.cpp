#include "greengage/schedule/Scheduler.h"

#include "TaskAllocation.h"

#include <algorithm>
#include <utility>

using namespace greengage;
using namespace greengage::schedule;
using namespace greengage::schedule::detail;

using jobs::Resources;

/// Passes are spaced so that no more jobs are ranked and workers examined in
/// the mean: with many waiting jobs, a pass for each event would leave no time
/// to handle the events.
static constexpr std::uint64_t kMaxRankedJobsPerMilli = 20;
static constexpr std::uint64_t kMaxExaminedWorkersPerMilli = 1000;
/// How long after its latest crash a task may wait for isolation, and how long
/// if one more crash may make its job fail.
static constexpr Duration kMaxIsolationWait = Duration(2000);
static constexpr Duration kMaxDecisiveIsolationWait = Duration(10000);
/// The same for a persistent task, which has to run again 6 s after its last
/// run. The lease of its lost worker may take 4.9 s of that.
static constexpr Duration kMaxPersistentIsolationWait = Duration(500);
/// How long after its latest suspicious run a task may wait for later
/// incarnations of its workers to show whether they crashed.
static constexpr Duration kMaxCrashProofWait = Duration::Seconds(20);
/// Persistent tasks are given to workers that have answered a call this long
/// ago at most, which covers the round trip of a contact.
static constexpr Duration kMaxAnswerAge = Duration(100);

void
Scheduler::Dispatch(ClockReading aNow)
{
  now_ = aNow;
  isDispatchDue_ = false;
  if (!IsLeading())
    return;
  previousDispatchAt_ = std::exchange(currentDispatchAt_, aNow.steady);
  CancelStaleReservations();
  reservingPools_.clear();
  stepRacks_.clear();
  unplaceable_.Clear();
  unreservable_.Clear();
  const std::vector<Candidate> candidates = RankedCandidates();
  for (auto& [id, pool] : pools_)
    pool.isSaturated = false;
  ++work_.passes;
  work_.rankedJobs += candidates.size();
  const std::uint64_t examinedBefore = work_.examinedWorkers;
  for (const Candidate& candidate : candidates)
    DispatchJob(candidate);
  for (const Candidate& candidate : candidates)
    if (candidate.AdvicePolicy())
      PrefetchPermits(candidate);
  MeasureRates();
  const std::uint64_t pauseMillis = std::max(
    candidates.size() / kMaxRankedJobsPerMilli,
    (work_.examinedWorkers - examinedBefore) / kMaxExaminedWorkersPerMilli);
  earliestDispatch_ =
    aNow.steady + Duration(static_cast<std::int64_t>(pauseMillis));
}

/// When an occurrence of the job is due; in the past for a job that does not
/// recur.
Time
Scheduler::DueTime(const jobs::Job& aJob, std::uint32_t aOccurrence)
{
  const jobs::Recurrence& recurrence = aJob.description.recurrence;
  if (recurrence.count == 0)
    return {};
  return recurrence.firstDueAt + recurrence.interval * aOccurrence;
}

void
Scheduler::DispatchJob(const Candidate& aCandidate)
{
  const jobs::Job& job = *aCandidate.job;
  for (const auto& [number, occurrence] : job.occurrences) {
    if (occurrence.isDone)
      continue;
    // Dispatched by the first pass after it comes due.
    if (DueTime(job, number) > now_.wall)
      break;
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step)
      if (occurrence.steps[step].waitingTasks > 0 &&
          jobs::AreDependenciesDone(job, occurrence, step))
        DispatchStep(aCandidate, number, step);
  }
}

void
Scheduler::DispatchStep(const Candidate& aCandidate,
                        std::uint32_t aOccurrence,
                        std::uint32_t aStep)
{
  TaskId task{ .job = aCandidate.job->id,
               .occurrence = aOccurrence,
               .step = aStep,
               .index = 0 };
  const jobs::Step& step = aCandidate.job->description.steps[aStep];
  if (step.isGang) {
    DispatchGang(aCandidate, task);
    return;
  }
  const auto& tasks =
    aCandidate.job->occurrences.at(aOccurrence).steps[aStep].tasks;
  bool isWorkerLacking = false;
  for (task.index = 0; task.index < tasks.size(); ++task.index) {
    if (tasks[task.index].phase != jobs::TaskPhase::Waiting ||
        proposedTasks_.count(task) != 0)
      continue;
    // The tasks of a step are identical: if one finds no worker and no capacity
    // to reserve, neither does the next, unless that has a reservation.
    if (isWorkerLacking && reservations_.count(task) == 0)
      continue;
    // Capacity is reserved for every persistent task, as these should always
    // run, and for the first task of the pool that cannot be placed.
    const bool mayReserve =
      step.isPersistent || reservingPools_.insert(aCandidate.Pool()).second;
    const PlacementResult result = PlaceTask(aCandidate, task, mayReserve);
    const bool isPlaced = result == PlacementResult::Placed;
    if (!isPlaced && aCandidate.AdvicePolicy())
      RequestStepPermits(aCandidate, task);
    const bool lacksPlace = result == PlacementResult::NoWorker ||
                            result == PlacementResult::Reserved;
    if (lacksPlace && !step.isPersistent)
      aCandidate.queue->pool->isSaturated = true;
    // Neither the other tasks of the step nor reservations have to wait.
    if (result == PlacementResult::Isolated ||
        result == PlacementResult::AwaitingCrashProof) {
      if (mayReserve && !step.isPersistent)
        reservingPools_.erase(aCandidate.Pool());
      continue;
    }
    if (!isPlaced && !step.isPersistent)
      return;
    isWorkerLacking = result == PlacementResult::NoWorker ||
                      result == PlacementResult::OverQuota;
    if (!step.isPersistent && reservations_.count(task) == 0)
      reservingPools_.erase(aCandidate.Pool());
  }
}

Scheduler::PlacementResult
Scheduler::PlaceTask(const Candidate& aCandidate,
                     const TaskId& aTask,
                     bool aMayReserve)
{
  const jobs::Step& step = aCandidate.job->description.steps[aTask.step];
  if (!IsWithinQuota(aCandidate.job->team, step.request))
    return PlacementResult::OverQuota;
  if (AwaitsCrashProof(aTask))
    return PlacementResult::AwaitingCrashProof;
  WorkerSession* session = nullptr;
  if (const auto reservation = reservations_.find(aTask);
      reservation != reservations_.end()) {
    session = SessionOf(reservation->second.worker);
    // The worker may have become ineligible, for example because other tasks of
    // the step were assigned to it.
    const bool isEligible =
      session != nullptr &&
      IsEligible(*session, RecordOf(*session), aCandidate, aTask) &&
      IsPermitted(RecordOf(*session), aCandidate, aTask);
    if (isEligible && !IsReservedCapacityFree(aTask)) {
      // Another worker may have had enough capacity released sooner.
      session = ChooseWorker(aCandidate, aTask);
      if (session == nullptr)
        return PlacementResult::Reserved;
    } else if (!isEligible) {
      session = nullptr;
    }
    CancelReservation(aTask);
  }
  if (session == nullptr)
    session = ChooseWorker(aCandidate, aTask);
  if (session == nullptr && MustBeIsolated(aTask) &&
      !unplaceable_.Contains(ClassOf(aCandidate, step), AllocationFor(step)))
    return PlacementResult::Isolated;
  if (session == nullptr) {
    const bool isReserved =
      aMayReserve && ReserveCapacity(aCandidate, aTask, jobs::WorkerNumber(0));
    return isReserved ? PlacementResult::Reserved : PlacementResult::NoWorker;
  }
  // A start that gets no answer keeps the task from other workers until the
  // lease has expired.
  if (step.isPersistent && !HasFreshAnswer(*session)) {
    Renew(*session, RenewalPurpose::Contact);
    return PlacementResult::ContactingWorker;
  }
  const Attempt latest = stateMachine_.Find(aTask)->attempt;
  AddRun(*session, *aCandidate.job, aTask, Attempt(latest.Value() + 1));
  ProposeAssignment(*session, aTask);
  return PlacementResult::Placed;
}

void
Scheduler::ProposeAssignment(const WorkerSession& aSession, const TaskId& aTask)
{
  ++work_.proposedRuns;
  outbox_.Propose(jobs::AssignTask{ .task = aTask,
                                    .attempt = aSession.runs.at(aTask).attempt,
                                    .worker = aSession.number });
}

/// Places either all tasks of a gang or none.
void
Scheduler::DispatchGang(const Candidate& aCandidate, const TaskId& aFirst)
{
  const auto& tasks =
    aCandidate.job->occurrences.at(aFirst.occurrence).steps[aFirst.step].tasks;
  const jobs::Step& step = aCandidate.job->description.steps[aFirst.step];
  const WorkerClass workerClass = ClassOf(aCandidate, step);
  const Resources allocation = AllocationFor(step);
  if (unplaceable_.Contains(workerClass, allocation, tasks.size()))
    return;
  const UnplaceableRequests unplaceableBefore = unplaceable_;
  std::vector<std::pair<TaskId, jobs::WorkerNumber>> placed;
  TaskId task = aFirst;
  // All members get the same attempt number, one above the highest so far.
  Attempt latest;
  for (const jobs::TaskState& member : tasks)
    latest = std::max(latest, member.attempt);
  for (task.index = 0; task.index < tasks.size(); ++task.index) {
    const bool isUnassigned =
      tasks[task.index].phase == jobs::TaskPhase::Waiting &&
      proposedTasks_.count(task) == 0;
    const bool mayPlace = isUnassigned && !AwaitsCrashProof(task) &&
                          IsWithinQuota(aCandidate.job->team, step.request);
    WorkerSession* session =
      mayPlace ? ChooseWorker(aCandidate, task) : nullptr;
    if (session == nullptr) {
      if (aCandidate.AdvicePolicy())
        RequestStepPermits(aCandidate, task);
      for (const auto& [member, worker] : placed)
        RemoveRun(sessions_.at(worker), member);
      unplaceable_ = unplaceableBefore;
      const bool isCapacityLacking = mayPlace && step.maxPerWorker == 0 &&
                                     !aCandidate.AdvicePolicy() &&
                                     !MustBeIsolated(task);
      if (isCapacityLacking) {
        unplaceable_.Add(workerClass, allocation, placed.size() + 1);
        aCandidate.queue->pool->isSaturated = true;
      }
      return;
    }
    AddRun(*session, *aCandidate.job, task, Attempt(latest.Value() + 1));
    placed.emplace_back(task, session->number);
  }
  for (const auto& [member, worker] : placed)
    ProposeAssignment(sessions_.at(worker), member);
}

bool
Scheduler::IsWithinQuota(const TeamId& aTeam, const Resources& aRequest) const
{
  const auto quota = quotas_.find(aTeam);
  const auto used = quotaUsage_.find(aTeam);
  if (quota == quotas_.end() || used == quotaUsage_.end())
    return true;
  const auto fits = [](auto aUsed, auto aAsked, auto aLimit) {
    return aLimit.Count() == 0 || aUsed + aAsked <= aLimit;
  };
  return fits(used->second.processors,
              aRequest.processors,
              quota->second.processors) &&
         fits(used->second.memory, aRequest.memory, quota->second.memory) &&
         fits(used->second.accelerators,
              aRequest.accelerators,
              quota->second.accelerators);
}

/// Whether a worker is eligible for a task, regardless of its free capacity.
bool
Scheduler::IsEligible(const WorkerSession& aSession,
                      const jobs::WorkerRecord& aRecord,
                      const Candidate& aCandidate,
                      const TaskId& aTask)
{
  const jobs::Step& step = aCandidate.job->description.steps[aTask.step];
  return IsInClass(aRecord, aCandidate, step) &&
         (step.maxPerWorker == 0 ||
          aSession.CountRunsOfStep(aTask) < step.maxPerWorker);
}

WorkerClass
Scheduler::ClassOf(const Candidate& aCandidate, const jobs::Step& aStep)
{
  return { .pool = aCandidate.Pool(), .requiredLabel = aStep.requiredLabel };
}

/// Whether the worker takes new runs and belongs to the class of the step.
bool
Scheduler::IsInClass(const jobs::WorkerRecord& aRecord,
                     const Candidate& aCandidate,
                     const jobs::Step& aStep)
{
  if (aRecord.pool != aCandidate.Pool() || aRecord.isDraining)
    return false;
  return aStep.requiredLabel.empty() ||
         std::find(aRecord.labels.begin(),
                   aRecord.labels.end(),
                   aStep.requiredLabel) != aRecord.labels.end();
}

/// \returns the preferred rack of a task: the rack with its data or, for a step
/// that should run on a single rack, the rack that already runs its tasks or
/// else has the most free processors. Empty if there is no preference.
RackId
Scheduler::PreferredRack(const Candidate& aCandidate, const TaskId& aTask)
{
  const jobs::Step& step = aCandidate.job->description.steps[aTask.step];
  if (!step.preferredRack.Value().empty() || !step.wantsOneRack)
    return step.preferredRack;
  const auto [cached, isNew] = stepRacks_.try_emplace(jobs::StepOf(aTask));
  if (isNew)
    cached->second = FindRack(aCandidate, aTask);
  return cached->second;
}

/// \returns the rack that already runs tasks of the step or else has the most
/// free processors.
RackId
Scheduler::FindRack(const Candidate& aCandidate, const TaskId& aTask) const
{
  std::map<RackId, std::int64_t> freeProcessors;
  for (const auto& [entry, worker] :
       poolIndex_.WorkersOf(aCandidate.Pool()).All()) {
    const WorkerSession& session = *worker;
    const jobs::WorkerRecord& record = RecordOf(session);
    ++work_.examinedWorkers;
    if (session.CountRunsOfStep(aTask) > 0)
      return record.rack;
    if (session.IsUsable(now_.steady) &&
        IsEligible(session, record, aCandidate, aTask))
      freeProcessors[record.rack] +=
        (session.capacity.processors - session.used.processors).Count();
  }
  const auto best = std::max_element(freeProcessors.begin(),
                                     freeProcessors.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return aLeft.second < aRight.second;
                                     });
  return best == freeProcessors.end() ? RackId() : best->first;
}

/// Whether a worker has crashed under the task.
bool
Scheduler::IsCrashSuspect(const TaskId& aTask) const
{
  return stateMachine_.FindCrashes(aTask) != nullptr;
}

/// Whether the task must not start beside one of another job that may crash the
/// worker, so that a further crash tells which of them caused it, nor beside
/// persistent runs, which would be lost with the worker.
bool
Scheduler::MustBeIsolated(const TaskId& aTask) const
{
  const jobs::TaskCrashes* crashes = stateMachine_.FindCrashes(aTask);
  if (crashes == nullptr)
    return false;
  const jobs::Job& job = *stateMachine_.Find(aTask.job);
  if (job.description.steps[aTask.step].isPersistent)
    return now_.wall < crashes->latestAt + kMaxPersistentIsolationWait;
  const Duration maxWait =
    crashes->IsNextDecisive() ? kMaxDecisiveIsolationWait : kMaxIsolationWait;
  return now_.wall < crashes->latestAt + maxWait;
}

/// Whether the workers of the task's runs have been silent since soon after the
/// starts so often that the job fails if they turn out to have crashed. Later
/// incarnations may show that only seconds after more runs could have begun. A
/// persistent task has to run again sooner than that.
bool
Scheduler::AwaitsCrashProof(const TaskId& aTask) const
{
  const jobs::SuspectedCrashes suspected =
    stateMachine_.SuspectedCrashesOf(aTask);
  if (suspected.score < jobs::kCrashScoreLimit ||
      suspected.latestAt + kMaxCrashProofWait <= now_.wall)
    return false;
  const jobs::Job& job = *stateMachine_.Find(aTask.job);
  return !job.description.steps[aTask.step].isPersistent;
}

/// Whether the worker has answered lately or, as passes may be further apart
/// than that, since the previous one, which may have contacted it.
bool
Scheduler::HasFreshAnswer(const WorkerSession& aSession) const
{
  return aSession.HasAnsweredSince(
    std::min(now_.steady - kMaxAnswerAge, previousDispatchAt_));
}

Scheduler::PlacementRequest
Scheduler::MakePlacementRequest(const Candidate& aCandidate,
                                const TaskId& aTask)
{
  const jobs::Step& step = aCandidate.job->description.steps[aTask.step];
  return { .candidate = aCandidate,
           .task = aTask,
           .step = step,
           .state = *stateMachine_.Find(aTask),
           .allocation = AllocationFor(step),
           .rack = PreferredRack(aCandidate, aTask),
           .hasFailed = stateMachine_.FailedRunsOf(aTask) > 0,
           .isSuspect = IsCrashSuspect(aTask),
           .mustBeIsolated = MustBeIsolated(aTask) };
}

/// Whether the worker takes new runs, belongs to the class of the step and has
/// enough free capacity for the task.
bool
Scheduler::HasRoomFor(const PlacementRequest& aRequest,
                      const WorkerSession& aSession) const
{
  ++work_.examinedWorkers;
  return aSession.IsUsable(now_.steady) &&
         jobs::Fits(aRequest.allocation, aSession.used, aSession.capacity) &&
         IsInClass(RecordOf(aSession), aRequest.candidate, aRequest.step);
}

/// \returns how well a worker with room for the task suits it; nothing if it
/// must not run the task.
std::optional<Scheduler::PlacementRank>
Scheduler::Rank(const PlacementRequest& aRequest,
                const WorkerSession& aSession) const
{
  const jobs::Step& step = aRequest.step;
  const TaskId& task = aRequest.task;
  const jobs::WorkerRecord& record = RecordOf(aSession);
  const bool isContactPending = step.isPersistent &&
                                aSession.isContactInFlight &&
                                !HasFreshAnswer(aSession);
  if (isContactPending ||
      !IsEligible(aSession, record, aRequest.candidate, task) ||
      !IsPermitted(record, aRequest.candidate, task))
    return std::nullopt;
  const bool isBesideSuspect = aSession.HasRecentSuspect(task.job, now_.steady);
  if (isBesideSuspect && aSession.HasRecentDecisiveRun(task.job, now_.steady))
    return std::nullopt;
  // A suspect goes where a crash tells and costs the least.
  const bool sparesPersistentRuns =
    !aRequest.isSuspect || !aSession.HasPersistentRun();
  if (aRequest.mustBeIsolated && (isBesideSuspect || !sparesPersistentRuns))
    return std::nullopt;
  const std::int64_t freeProcessors =
    (aSession.capacity.processors - aSession.used.processors).Count();
  const bool differsFromLastWorker = aRequest.state.attempt == Attempt(0) ||
                                     aRequest.state.worker != aSession.number;
  return PlacementRank{
    .isHarmless = !isBesideSuspect && sparesPersistentRuns,
    .sparesRecentStarts =
      !aRequest.isSuspect || !aSession.HasRecentStart(now_.steady),
    .avoidsFailingWorker =
      !aRequest.hasFailed ||
      (differsFromLastWorker && aSession.consecutiveFailedRuns == 0),
    .isOnPreferredRack =
      aRequest.rack.Value().empty() || aRequest.rack == record.rack,
    .differsFromLastWorker = differsFromLastWorker,
    .avoidsInterference =
      !step.usesIdleProcessors || !aSession.HasLatencySensitiveRun(),
    .hasSameKind =
      !step.isPersistent || step.isPersistent == aSession.HasPersistentRun(),
    .runsOfStep = step.isPersistent
                    ? -static_cast<std::int64_t>(aSession.CountRunsOfStep(task))
                    : 0,
    .spareProcessors = aRequest.isSuspect ? freeProcessors : -freeProcessors
  };
}

/// Searches workers in ascending order of their free processors, so that of
/// those which suit the task equally well the fullest is found first.
/// \returns the first of them that no later one can suit better, apart from
/// the preferred rack, or else the best one.
WorkerSession*
Scheduler::FindFullest(const PlacementRequest& aRequest,
                       const FreeOrder& aWorkers,
                       bool& aHasCapacity) const
{
  WorkerSession* best = nullptr;
  std::optional<PlacementRank> bestRank;
  for (auto it = aWorkers.From(aRequest.allocation.processors);
       it != aWorkers.All().end();
       ++it) {
    WorkerSession& session = *it->second;
    if (!HasRoomFor(aRequest, session))
      continue;
    aHasCapacity = true;
    const std::optional<PlacementRank> rank = Rank(aRequest, session);
    if (!rank || (bestRank && !(*bestRank < *rank)))
      continue;
    best = &session;
    bestRank = rank;
    if (rank->isHarmless && rank->avoidsFailingWorker &&
        rank->differsFromLastWorker && rank->avoidsInterference)
      break;
  }
  return best;
}

/// Searches all workers of the pool.
WorkerSession*
Scheduler::FindBest(const PlacementRequest& aRequest,
                    const FreeOrder& aWorkers,
                    bool& aHasCapacity) const
{
  WorkerSession* best = nullptr;
  std::optional<PlacementRank> bestRank;
  for (const auto& [entry, worker] : aWorkers.All()) {
    if (!HasRoomFor(aRequest, *worker))
      continue;
    aHasCapacity = true;
    const std::optional<PlacementRank> rank = Rank(aRequest, *worker);
    if (!rank || (bestRank && !(*bestRank < *rank)))
      continue;
    best = worker;
    bestRank = rank;
  }
  return best;
}

WorkerSession*
Scheduler::ChooseWorker(const Candidate& aCandidate, const TaskId& aTask)
{
  const jobs::Step& step = aCandidate.job->description.steps[aTask.step];
  const WorkerClass workerClass = ClassOf(aCandidate, step);
  const Resources allocation = AllocationFor(step);
  if (unplaceable_.Contains(workerClass, allocation))
    return nullptr;
  const PlacementRequest request = MakePlacementRequest(aCandidate, aTask);
  const FreeOrder& pool = poolIndex_.WorkersOf(aCandidate.Pool());
  bool hasCapacity = false;
  WorkerSession* best = nullptr;
  if (step.isPersistent || request.isSuspect) {
    best = FindBest(request, pool, hasCapacity);
  } else {
    if (!request.rack.Value().empty())
      best = FindFullest(request,
                         poolIndex_.WorkersOf(aCandidate.Pool(), request.rack),
                         hasCapacity);
    const auto rank = best == nullptr ? std::nullopt : Rank(request, *best);
    if (!rank || !rank->isHarmless || !rank->avoidsFailingWorker)
      best = FindFullest(request, pool, hasCapacity);
  }
  if (!hasCapacity)
    unplaceable_.Add(workerClass, allocation);
  return best;
}

void
Scheduler::AddRun(WorkerSession& aSession,
                  const jobs::Job& aJob,
                  const TaskId& aTask,
                  Attempt aAttempt)
{
  const jobs::Step& step = aJob.description.steps[aTask.step];
  Run& run = aSession.runs[aTask];
  run.allocated = AllocationFor(step);
  run.quotaCharge = step.request;
  run.team = aJob.team;
  run.usesIdleProcessors = step.usesIdleProcessors;
  run.isPersistent = step.isPersistent;
  run.isMovable = !step.isPersistent && !step.isGang;
  run.targetLatency = step.targetLatency;
  const jobs::TaskCrashes* crashes = stateMachine_.FindCrashes(aTask);
  run.isCrashSuspect = crashes != nullptr;
  run.isCrashDecisive = crashes != nullptr && crashes->IsNextDecisive();
  aSession.crashSuspectCount += run.isCrashSuspect ? 1 : 0;
  aSession.used += run.allocated;
  if (run.isPersistent)
    aSession.usedByPersistentRuns += run.allocated;
  aSession.persistentRunCount += run.isPersistent ? 1 : 0;
  aSession.latencySensitiveRunCount += run.targetLatency > Duration(0) ? 1 : 0;
  poolIndex_.Update(aSession);
  if (step.wantsOneRack)
    stepRacks_[jobs::StepOf(aTask)] = RecordOf(aSession).rack;
  quotaUsage_[run.team] += run.quotaCharge;
  run.attempt = aAttempt;
  if (stateMachine_.Find(aTask)->phase != jobs::TaskPhase::Waiting)
    return;
  run.placedAt = now_.steady;
  proposedTasks_.insert(aTask);
}

void
Scheduler::RemoveRun(WorkerSession& aSession, const TaskId& aTask)
{
  const auto found = aSession.runs.find(aTask);
  aSession.used -= found->second.allocated;
  if (found->second.isPersistent)
    aSession.usedByPersistentRuns -= found->second.allocated;
  aSession.crashSuspectCount -= found->second.isCrashSuspect ? 1 : 0;
  aSession.persistentRunCount -= found->second.isPersistent ? 1 : 0;
  aSession.latencySensitiveRunCount -=
    found->second.targetLatency > Duration(0) ? 1 : 0;
  poolIndex_.Update(aSession);
  quotaUsage_[found->second.team] -= found->second.quotaCharge;
  aSession.runs.erase(found);
  proposedTasks_.erase(aTask);
  unplaceable_.Clear();
}
