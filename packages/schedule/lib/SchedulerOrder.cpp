#include "greengage/schedule/Scheduler.h"

#include "TakenRoom.h"

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
static constexpr double kLearningRate = 0.05;
/// Divisors that discount the demand of late jobs, and of steps that wait for
/// other steps, when hosts are requested.
static constexpr std::int64_t kLateDivisor = 2;
static constexpr std::int64_t kLaterStepDivisor = 3;
/// How long a task that found no worker to move to counts as demand. The move
/// is retried every 150 ms.
static constexpr Duration kLackingRoomTime = Duration(500);

Scheduler::Candidate
Scheduler::CandidateOf(const jobs::Job& aJob, const PoolId& aPool) const
{
  const jobs::Queue* queue = book_.CurrentConfiguration()->Find(aJob.queue);
  Candidate candidate{
    .job = &aJob, .pool = aPool, .priority = 0, .latestStart = aJob.acceptedAt
  };
  // Jobs with persistent tasks have no objective: their tasks should always
  // run, so they keep the highest priority.
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

/// \returns the expected run time of a step's tasks: the mean of the client's
/// estimate, which is rough, and the average measured for the queue.
Duration
Scheduler::RunTimeOf(const jobs::Job& aJob, const jobs::Step& aStep) const
{
  const auto learned = runTimes_.find(aJob.queue);
  if (learned == runTimes_.end())
    return aStep.estimate;
  const auto mean = static_cast<std::int64_t>(learned->second);
  return Duration((aStep.estimate.Millis() + mean) / 2);
}

/// \returns the expected run time of the critical path through all steps, or
/// through the unfinished ones only.
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
