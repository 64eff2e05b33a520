#include "greengage/schedule/Scheduler.h"

#include "TakenRoom.h"

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
  return !aCandidate.advice ||
         advice_.Find(StepOf(aTask), aRecord.id, now_.steady).has_value();
}

/// Requests permits for a step from the adviser, for the workers with the most
/// free processors first.
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

/// Requests permits for the next steps of a started job in advance, so that
/// their tasks do not wait for the adviser.
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
