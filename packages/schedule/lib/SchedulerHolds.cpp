#include "greengage/schedule/Scheduler.h"

#include "TakenRoom.h"

#include <algorithm>
#include <vector>

using namespace greengage;
using namespace greengage::schedule;
using namespace greengage::schedule::detail;

using jobs::Resources;

/// How long a reservation lasts. Tasks run for at most 3.3 s, so the reserved
/// capacity is free by then.
static constexpr Duration kHoldTime = Duration(4000);

/// Whether all of the capacity reserved for a task is free.
bool
Scheduler::IsHoldMet(const TaskId& aTask)
{
  const Hold& hold = holds_.at(aTask);
  const WorkerSession* session = SessionOf(hold.worker);
  return session != nullptr && session->IsUsable(now_.steady) &&
         jobs::Fits({}, session->used, RecordOf(*session).capacity);
}

/// Reserves capacity for a task on the eligible worker with the most free
/// processors, which is expected to have enough first.
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

bool
Scheduler::IsHeld(jobs::WorkerNumber aWorker) const
{
  return std::any_of(holds_.begin(), holds_.end(), [&](const auto& aItem) {
    return aItem.second.worker == aWorker;
  });
}
