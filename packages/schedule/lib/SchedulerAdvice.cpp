#include "greengage/schedule/Scheduler.h"

#include "TaskAllocation.h"

#include <algorithm>
#include <utility>
#include <vector>

using namespace greengage;
using namespace greengage::schedule;
using namespace greengage::schedule::detail;

/// Whether the worker has a valid permit for the step or needs none.
bool
Scheduler::IsPermitted(const jobs::WorkerRecord& aRecord,
                       const Candidate& aCandidate,
                       const TaskId& aTask) const
{
  return !aCandidate.AdvicePolicy() ||
         permitCache_.FindPermit(StepOf(aTask), aRecord.id, now_.steady)
           .has_value();
}

/// Requests permits for a step from the adviser, for the workers with the most
/// free processors first.
void
Scheduler::RequestStepPermits(const Candidate& aCandidate, const TaskId& aTask)
{
  if (permitCache_.IsCallPending())
    return;
  const jobs::Step& step = aCandidate.job->description.steps[aTask.step];
  std::vector<std::pair<std::int64_t, jobs::WorkerId>> byFreeProcessors;
  for (const auto& [entry, worker] :
       poolIndex_.WorkersOf(aCandidate.Pool()).All()) {
    const WorkerSession& session = *worker;
    const jobs::WorkerRecord& record = RecordOf(session);
    ++work_.examinedWorkers;
    if (session.IsUsable(now_.steady) &&
        IsEligible(session, record, aCandidate, aTask) &&
        jobs::Fits(AllocationFor(step), session.used, record.capacity))
      byFreeProcessors.emplace_back(
        (session.used.processors - record.capacity.processors).Count(),
        record.id);
  }
  std::sort(byFreeProcessors.begin(), byFreeProcessors.end());
  std::vector<jobs::WorkerId> workers;
  workers.reserve(byFreeProcessors.size());
  for (auto& [negatedFree, worker] : byFreeProcessors)
    workers.push_back(std::move(worker));
  permitCache_.RequestPermits(StepOf(aTask),
                              workers,
                              step.count,
                              *aCandidate.AdvicePolicy(),
                              now_.steady);
}

/// Requests permits for the next steps of a started job in advance, so that
/// their tasks do not wait for the adviser.
void
Scheduler::PrefetchPermits(const Candidate& aCandidate)
{
  const jobs::Job& job = *aCandidate.job;
  if (!job.wasEverAssigned)
    return;
  for (const auto& item : job.occurrences) {
    const auto& steps = item.second.steps;
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
      const auto& predecessors = job.description.steps[step].dependencies;
      const bool isNext =
        std::all_of(predecessors.begin(),
                    predecessors.end(),
                    [&](std::uint32_t aPredecessor) {
                      return steps[aPredecessor].waitingTasks == 0;
                    });
      if (isNext && steps[step].waitingTasks > 0)
        RequestStepPermits(aCandidate,
                           { .job = job.id,
                             .occurrence = item.first,
                             .step = step,
                             .index = 0 });
    }
  }
}
