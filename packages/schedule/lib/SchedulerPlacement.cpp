#include "greengage/schedule/Scheduler.h"

#include "greengage/observe/Log.h"

#include <algorithm>
#include <tuple>
#include <utility>

using namespace greengage;
using namespace greengage::schedule;

using jobs::Resources;

/// How far estimates may be off before a job counts as late.
static constexpr Duration kLateTolerance = Duration(300);
/// The weight of the latest run time in the mean.
static constexpr double kLearningRate = 0.05;
/// How much of the demand of late jobs asks for hosts, and of steps that wait
/// for others.
static constexpr std::int64_t kLateDivisor = 2;
static constexpr std::int64_t kLaterStepDivisor = 3;
/// How long a task that found no worker to move to counts as demand; it is
/// tried again every 150 ms.
static constexpr Duration kLackingRoomTime = Duration(500);
/// How long room is kept for a task. Tasks run for 3.3 s at most, so that it is
/// there by then.
static constexpr Duration kHoldTime = Duration(4000);

/// Filling tasks use processors that others leave idle and reserve none.
static Resources
TakenOf(const jobs::Step& aStep)
{
  Resources taken = aStep.request;
  if (aStep.usesIdleProcessors)
    taken.processors = {};
  return taken;
}

Scheduler::Candidate
Scheduler::CandidateOf(const jobs::Job& aJob, const PoolId& aPool) const
{
  const jobs::Queue* queue = book_.CurrentConfiguration()->Find(aJob.queue);
  Candidate candidate{
    .job = &aJob, .pool = aPool, .priority = 0, .latestStart = aJob.acceptedAt
  };
  // Persistent tasks have no objective; they are owed at any time.
  const bool isPersistent =
    std::any_of(aJob.description.steps.begin(),
                aJob.description.steps.end(),
                [](const jobs::Step& aStep) { return aStep.isPersistent; });
  if (queue != nullptr)
    candidate.advice = queue->advice;
  if (queue == nullptr || isPersistent)
    return candidate;
  const auto chain = static_cast<double>(ChainOf(aJob, false).Millis());
  candidate.priority = queue->priority;
  candidate.latestStart =
    aJob.acceptedAt + queue->objective +
    Duration(static_cast<std::int64_t>(queue->stretch * chain)) -
    ChainOf(aJob, true);
  candidate.isLate = aJob.description.recurrence.count == 0 &&
                     candidate.latestStart + kLateTolerance < now_.wall;
  return candidate;
}

/// The run time to expect of a step's tasks: clients' estimates are rough, so
/// half of it is what tasks of the queue have taken.
Duration
Scheduler::RunTimeOf(const jobs::Job& aJob, const jobs::Step& aStep) const
{
  const auto learned = runTimes_.find(aJob.queue);
  if (learned == runTimes_.end())
    return aStep.estimate;
  const auto mean = static_cast<std::int64_t>(learned->second);
  return Duration((aStep.estimate.Millis() + mean) / 2);
}

/// The run time along the longest chain of steps, of all or of those left.
Duration
Scheduler::ChainOf(const jobs::Job& aJob, bool aIsLeftOnly) const
{
  const auto& steps = aJob.description.steps;
  const jobs::Occurrence* occurrence =
    aJob.occurrences.empty() ? nullptr : &aJob.occurrences.begin()->second;
  std::vector<Duration> ends(steps.size());
  Duration longest;
  for (std::size_t place = 0; place < steps.size(); ++place) {
    const bool isDone =
      aIsLeftOnly && occurrence != nullptr &&
      occurrence->steps[place].done == occurrence->steps[place].tasks.size();
    Duration start;
    for (const std::uint32_t earlier : steps[place].after)
      start = std::max(start, ends[earlier]);
    ends[place] =
      start + (isDone ? Duration(0) : RunTimeOf(aJob, steps[place]));
    longest = std::max(longest, ends[place]);
  }
  return longest;
}

void
Scheduler::LearnRunTime(const jobs::Job& aJob, const Run& aRun)
{
  if (aRun.confirmedAt == Time(0))
    return;
  const auto taken =
    static_cast<double>((now_.steady - aRun.confirmedAt).Millis());
  const auto [at, isFirst] = runTimes_.try_emplace(aJob.queue, taken);
  if (!isFirst)
    at->second += (taken - at->second) * kLearningRate;
}

std::vector<Scheduler::Candidate>
Scheduler::Candidates() const
{
  std::vector<Candidate> candidates;
  if (book_.CurrentConfiguration() == nullptr)
    return candidates;
  const auto add = [&](const jobs::Job& aJob) {
    const auto pool = pools_.find(aJob.queue);
    if (pool != pools_.end())
      candidates.push_back(CandidateOf(aJob, pool->second));
  };
  if (IsLeading()) {
    for (const jobs::JobId id : live_)
      if (const jobs::Job* job = book_.Find(id))
        add(*job);
  } else {
    for (const auto& [id, job] : book_.Jobs())
      if (job.state == jobs::JobState::Live)
        add(job);
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const Candidate& aLeft, const Candidate& aRight) {
              // Late jobs wait for those that can still be in time: one that
              // is late earns little more now than later.
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

void
Scheduler::Dispatch(Moment aNow)
{
  now_ = aNow;
  isDirty_ = false;
  if (!IsLeading())
    return;
  DropStaleHolds();
  heldPools_.clear();
  const std::vector<Candidate> candidates = Candidates();
  for (const Candidate& candidate : candidates)
    DispatchJob(candidate);
  for (const Candidate& candidate : candidates)
    if (candidate.advice)
      AskAhead(candidate);
}

/// Whether the worker has leave to run the step, where that is needed.
bool
Scheduler::IsPermitted(const jobs::WorkerRecord& aRecord,
                       const Candidate& aCandidate,
                       const TaskId& aTask) const
{
  return !aCandidate.advice ||
         advice_.Find(StepOf(aTask), aRecord.id, now_.steady).has_value();
}

/// Asks which workers may run a step, those with the most room first.
void
Scheduler::AskAdvice(const Candidate& aCandidate, const TaskId& aTask)
{
  if (advice_.IsAsking())
    return;
  const jobs::Step& step = aCandidate.job->description.steps[aTask.step];
  std::vector<std::pair<std::int64_t, jobs::WorkerId>> byRoom;
  for (const auto& [number, session] : sessions_) {
    const jobs::WorkerRecord& record = RecordOf(session);
    if (session.IsUsable(now_.steady) &&
        Suits(session, record, aCandidate, aTask) &&
        jobs::Fits(TakenOf(step), session.used, record.capacity))
      byRoom.emplace_back(
        (session.used.processors - record.capacity.processors).Count(),
        record.id);
  }
  std::sort(byRoom.begin(), byRoom.end());
  std::vector<jobs::WorkerId> workers;
  workers.reserve(byRoom.size());
  for (auto& [room, worker] : byRoom)
    workers.push_back(std::move(worker));
  advice_.Ask(
    StepOf(aTask), workers, step.count, *aCandidate.advice, now_.steady);
}

/// Asks about the next steps of a job that has begun, so that they need not
/// wait for the answer.
void
Scheduler::AskAhead(const Candidate& aCandidate)
{
  const jobs::Job& job = *aCandidate.job;
  if (!job.hasBegun)
    return;
  for (const auto& item : job.occurrences) {
    const auto& steps = item.second.steps;
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
      const auto& after = job.description.steps[step].after;
      const bool isNext =
        std::all_of(after.begin(), after.end(), [&](std::uint32_t aEarlier) {
          return steps[aEarlier].waiting == 0;
        });
      if (isNext && steps[step].waiting > 0)
        AskAdvice(aCandidate,
                  { .job = job.id,
                    .occurrence = item.first,
                    .step = step,
                    .index = 0 });
    }
  }
}

void
Scheduler::DispatchJob(const Candidate& aCandidate)
{
  const jobs::Job& job = *aCandidate.job;
  const jobs::Recurrence& recurrence = job.description.recurrence;
  for (const auto& [number, occurrence] : job.occurrences) {
    if (occurrence.isDone)
      continue;
    const Time due = recurrence.first + recurrence.interval * number;
    if (recurrence.count > 0 && due > now_.wall) {
      // The next tick that finds it due dispatches it.
      break;
    }
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step)
      if (occurrence.steps[step].waiting > 0 &&
          jobs::IsReady(job, occurrence, step))
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
  for (task.index = 0; task.index < tasks.size(); ++task.index) {
    if (tasks[task.index].phase != jobs::TaskPhase::Waiting ||
        proposed_.count(task) != 0)
      continue;
    // Equal tasks: where one finds no room, the next finds none either. Room is
    // kept for persistent ones, which are owed at any time, and for the first
    // task in the order of its pool.
    const bool mayHold =
      step.isPersistent || heldPools_.insert(aCandidate.pool).second;
    const bool isPlaced = Place(aCandidate, task, mayHold);
    if (!isPlaced && aCandidate.advice)
      AskAdvice(aCandidate, task);
    if (!isPlaced && !step.isPersistent)
      return;
    if (!step.isPersistent && holds_.count(task) == 0)
      heldPools_.erase(aCandidate.pool);
  }
}

bool
Scheduler::Place(const Candidate& aCandidate,
                 const TaskId& aTask,
                 bool aMayHold)
{
  const jobs::Step& step = aCandidate.job->description.steps[aTask.step];
  if (!IsWithinQuota(aCandidate.job->team, step.request))
    return false;
  WorkerSession* session = nullptr;
  if (const auto hold = holds_.find(aTask); hold != holds_.end()) {
    session = SessionOf(hold->second.worker);
    // Other tasks of the step may have come to the worker since.
    const bool suits = session != nullptr &&
                       Suits(*session, RecordOf(*session), aCandidate, aTask) &&
                       IsPermitted(RecordOf(*session), aCandidate, aTask);
    if (suits && !IsHoldMet(aTask))
      return false;
    DropHold(aTask);
    if (!suits)
      session = nullptr;
  }
  if (session == nullptr)
    session = Choose(aCandidate, aTask);
  if (session == nullptr) {
    if (aMayHold)
      MakeHold(aCandidate, aTask, jobs::WorkerNumber(0));
    return false;
  }
  const Attempt latest = book_.Find(aTask)->attempt;
  Reserve(*session, *aCandidate.job, aTask, Attempt(latest.Value() + 1));
  ProposeAssignment(*session, aTask);
  return true;
}

/// Whether the room that is held for a task is all there.
bool
Scheduler::IsHoldMet(const TaskId& aTask)
{
  const Hold& hold = holds_.at(aTask);
  const WorkerSession* session = SessionOf(hold.worker);
  return session != nullptr && session->IsUsable(now_.steady) &&
         jobs::Fits({}, session->used, RecordOf(*session).capacity);
}

/// Keeps room for a task on the worker that will have it first.
bool
Scheduler::MakeHold(const Candidate& aCandidate,
                    const TaskId& aTask,
                    jobs::WorkerNumber aExcept)
{
  const jobs::Step& step = aCandidate.job->description.steps[aTask.step];
  const Resources taken = TakenOf(step);
  WorkerSession* best = nullptr;
  std::int64_t bestFree = 0;
  for (auto& [number, session] : sessions_) {
    const jobs::WorkerRecord& record = RecordOf(session);
    if (number == aExcept || IsHeld(number) || !session.IsUsable(now_.steady) ||
        !Suits(session, record, aCandidate, aTask) ||
        !IsPermitted(record, aCandidate, aTask) ||
        !jobs::Fits(taken, {}, record.capacity))
      continue;
    const std::int64_t free =
      (record.capacity.processors - session.used.processors).Count();
    if (best == nullptr || free > bestFree) {
      best = &session;
      bestFree = free;
    }
  }
  if (best == nullptr)
    return false;
  best->used += taken;
  holds_[aTask] = { .worker = best->number,
                    .taken = taken,
                    .until = now_.steady + kHoldTime };
  return true;
}

void
Scheduler::DropHold(const TaskId& aTask)
{
  const auto found = holds_.find(aTask);
  if (found == holds_.end())
    return;
  if (WorkerSession* session = SessionOf(found->second.worker))
    session->used -= found->second.taken;
  holds_.erase(found);
}

void
Scheduler::DropStaleHolds()
{
  std::vector<TaskId> stale;
  for (const auto& [task, hold] : holds_) {
    const jobs::Job* job = book_.Find(task.job);
    const WorkerSession* session = SessionOf(hold.worker);
    if (hold.until <= now_.steady || job == nullptr ||
        job->state != jobs::JobState::Live || session == nullptr ||
        !session->IsUsable(now_.steady))
      stale.push_back(task);
  }
  for (const TaskId& task : stale)
    DropHold(task);
}

void
Scheduler::ProposeAssignment(const WorkerSession& aSession, const TaskId& aTask)
{
  outbox_.Propose(jobs::AssignTask{ .task = aTask,
                                    .attempt = aSession.runs.at(aTask).attempt,
                                    .worker = aSession.number });
}

/// Places all tasks of a gang or none.
void
Scheduler::DispatchGang(const Candidate& aCandidate, const TaskId& aFirst)
{
  const auto& tasks =
    aCandidate.job->occurrences.at(aFirst.occurrence).steps[aFirst.step].tasks;
  std::vector<std::pair<TaskId, jobs::WorkerNumber>> placed;
  TaskId task = aFirst;
  // The members share the number of their attempt, whatever became of the last.
  Attempt latest;
  for (const jobs::TaskState& member : tasks)
    latest = std::max(latest, member.attempt);
  for (task.index = 0; task.index < tasks.size(); ++task.index) {
    const bool isFree = tasks[task.index].phase == jobs::TaskPhase::Waiting &&
                        proposed_.count(task) == 0;
    const jobs::Step& step = aCandidate.job->description.steps[task.step];
    WorkerSession* session =
      isFree && IsWithinQuota(aCandidate.job->team, step.request)
        ? Choose(aCandidate, task)
        : nullptr;
    if (session == nullptr) {
      if (aCandidate.advice)
        AskAdvice(aCandidate, task);
      for (const auto& [member, worker] : placed)
        Release(sessions_.at(worker), member);
      return;
    }
    Reserve(*session, *aCandidate.job, task, Attempt(latest.Value() + 1));
    placed.emplace_back(task, session->number);
  }
  for (const auto& [member, worker] : placed)
    ProposeAssignment(sessions_.at(worker), member);
}

bool
Scheduler::IsWithinQuota(const TeamId& aTeam, const Resources& aRequest) const
{
  const jobs::Configuration* configuration = book_.CurrentConfiguration();
  const jobs::Team* team =
    configuration == nullptr ? nullptr : configuration->Find(aTeam);
  const auto used = usage_.find(aTeam);
  if (team == nullptr || used == usage_.end())
    return true;
  const auto fits = [](auto aUsed, auto aAsked, auto aLimit) {
    return aLimit.Count() == 0 || aUsed + aAsked <= aLimit;
  };
  return fits(used->second.processors,
              aRequest.processors,
              team->quota.processors) &&
         fits(used->second.memory, aRequest.memory, team->quota.memory) &&
         fits(used->second.accelerators,
              aRequest.accelerators,
              team->quota.accelerators);
}

/// Whether a worker may run a task, its room aside.
bool
Scheduler::Suits(const WorkerSession& aSession,
                 const jobs::WorkerRecord& aRecord,
                 const Candidate& aCandidate,
                 const TaskId& aTask)
{
  const jobs::Step& step = aCandidate.job->description.steps[aTask.step];
  if (aRecord.pool != aCandidate.pool || aRecord.isDraining)
    return false;
  const bool hasLabel = step.requiredLabel.empty() ||
                        std::find(aRecord.labels.begin(),
                                  aRecord.labels.end(),
                                  step.requiredLabel) != aRecord.labels.end();
  return hasLabel && (step.maxPerWorker == 0 ||
                      aSession.RunsOfStep(aTask) < step.maxPerWorker);
}

/// The rack that a task is best on: the one with its data, or for a step that
/// wants one rack the one where its tasks are or have the most room.
RackId
Scheduler::RackFor(const Candidate& aCandidate, const TaskId& aTask) const
{
  const jobs::Step& step = aCandidate.job->description.steps[aTask.step];
  if (!step.preferredRack.Value().empty() || !step.wantsOneRack)
    return step.preferredRack;
  std::map<RackId, std::int64_t> free;
  for (const auto& [number, session] : sessions_) {
    const jobs::WorkerRecord& record = RecordOf(session);
    if (session.RunsOfStep(aTask) > 0)
      return record.rack;
    if (session.IsUsable(now_.steady) &&
        Suits(session, record, aCandidate, aTask))
      free[record.rack] +=
        (record.capacity.processors - session.used.processors).Count();
  }
  const auto best = std::max_element(
    free.begin(), free.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  return best == free.end() ? RackId() : best->first;
}

WorkerSession*
Scheduler::Choose(const Candidate& aCandidate, const TaskId& aTask)
{
  const jobs::Step& step = aCandidate.job->description.steps[aTask.step];
  const Resources taken = TakenOf(step);
  const jobs::TaskState* state = book_.Find(aTask);
  const RackId rack = RackFor(aCandidate, aTask);
  WorkerSession* best = nullptr;
  // Larger is better, place by place.
  std::tuple<bool, bool, bool, bool, std::int64_t, std::int64_t> bestRank;
  for (auto& [number, session] : sessions_) {
    const jobs::WorkerRecord& record = RecordOf(session);
    if (!session.IsUsable(now_.steady) ||
        !jobs::Fits(taken, session.used, record.capacity) ||
        !Suits(session, record, aCandidate, aTask) ||
        !IsPermitted(record, aCandidate, aTask))
      continue;
    const bool isNearData = rack.Value().empty() || rack == record.rack;
    const bool isFirstTry = state == nullptr || state->attempt == Attempt(0) ||
                            state->worker != number;
    // Persistent tasks keep together, so that other hosts can leave the pool.
    const bool isBesideAlike = step.isPersistent == session.HasPersistentRun();
    // Those of one step are apart: they leave a host one after the other.
    const std::int64_t ofStep =
      step.isPersistent ? session.RunsOfStep(aTask) : 0;
    const bool isUndisturbed =
      !step.usesIdleProcessors || !session.HasServingRun();
    const std::tuple rank(
      isNearData,
      isFirstTry,
      isUndisturbed,
      step.isPersistent ? isBesideAlike : false,
      -ofStep,
      (session.used.processors - record.capacity.processors).Count());
    if (best == nullptr || rank > bestRank) {
      best = &session;
      bestRank = rank;
    }
  }
  return best;
}

bool
Scheduler::IsHeld(jobs::WorkerNumber aWorker) const
{
  return std::any_of(holds_.begin(), holds_.end(), [&](const auto& aItem) {
    return aItem.second.worker == aWorker;
  });
}

std::map<PoolId, PoolDemand>
Scheduler::Demand() const
{
  std::map<PoolId, PoolDemand> demand;
  for (const Candidate& candidate : Candidates()) {
    const jobs::Job& job = *candidate.job;
    PoolDemand& sum = demand[candidate.pool];
    for (const auto& [number, occurrence] : job.occurrences)
      for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
        const jobs::StepState& state = occurrence.steps[step];
        const Resources each = TakenOf(job.description.steps[step]);
        if (job.description.steps[step].isPersistent && state.waiting > 0)
          ++sum.persistentWaiting;
        const auto left =
          static_cast<std::int64_t>(state.tasks.size() - state.done);
        const std::int64_t divisor =
          (jobs::IsReady(job, occurrence, step) ? 1 : kLaterStepDivisor) *
          (candidate.isLate ? kLateDivisor : 1);
        sum.processors += each.processors.Count() * left / divisor;
        sum.memory += each.memory.Count() * left / divisor;
      }
  }
  for (const auto& [pool, since] : lackingRoom_)
    if (since + kLackingRoomTime > now_.steady)
      ++demand[pool].persistentWaiting;
  return demand;
}

void
Scheduler::Reserve(WorkerSession& aSession,
                   const jobs::Job& aJob,
                   const TaskId& aTask,
                   Attempt aAttempt)
{
  const jobs::Step& step = aJob.description.steps[aTask.step];
  Run& run = aSession.runs[aTask];
  run.taken = TakenOf(step);
  run.charged = step.request;
  run.team = aJob.team;
  run.usesIdleProcessors = step.usesIdleProcessors;
  run.isPersistent = step.isPersistent;
  run.isMovable = !step.isPersistent && !step.isGang;
  run.targetLatency = step.targetLatency;
  aSession.used += run.taken;
  usage_[run.team] += run.charged;
  run.attempt = aAttempt;
  if (book_.Find(aTask)->phase == jobs::TaskPhase::Waiting)
    proposed_.insert(aTask);
}

void
Scheduler::Release(WorkerSession& aSession, const TaskId& aTask)
{
  const auto found = aSession.runs.find(aTask);
  aSession.used -= found->second.taken;
  usage_[found->second.team] -= found->second.charged;
  aSession.runs.erase(found);
  proposed_.erase(aTask);
}
