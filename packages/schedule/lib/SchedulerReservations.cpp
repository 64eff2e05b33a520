#include "greengage/schedule/Scheduler.h"

#include "TaskAllocation.h"

#include <algorithm>
#include <vector>

using namespace greengage;
using namespace greengage::schedule;
using namespace greengage::schedule::detail;

using jobs::Resources;

/// How long a reservation lasts. Tasks run for at most 3.3 s, so the reserved
/// capacity is free by then.
static constexpr Duration kReservationTimeout = Duration(4000);

/// Whether all of the capacity reserved for a task is free. A worker's used
/// resources include its reservations, so they exceed its capacity until then.
bool
Scheduler::IsReservedCapacityFree(const TaskId& aTask)
{
  const Reservation& reservation = reservations_.at(aTask);
  const WorkerSession* session = SessionOf(reservation.worker);
  return session != nullptr && session->IsUsable(now_.steady) &&
         jobs::Fits({}, session->used, session->capacity);
}

/// Reserves capacity for a task on the eligible worker with the most free
/// processors, which is expected to have enough first. A worker that persistent
/// runs keep too full for the task is not considered: the reservation would
/// only keep other tasks off it.
bool
Scheduler::ReserveCapacity(const Candidate& aCandidate,
                           const TaskId& aTask,
                           jobs::WorkerNumber aExcluded)
{
  const jobs::Step& step = aCandidate.job->description.steps[aTask.step];
  const Resources allocation = AllocationFor(step);
  const WorkerClass workerClass = ClassOf(aCandidate, step);
  if (unreservable_.Contains(workerClass, allocation))
    return false;
  WorkerSession* best = nullptr;
  MilliCores bestFree;
  bool hasCapacity = false;
  const FreeOrder::Sessions& workers =
    poolIndex_.WorkersOf(aCandidate.Pool()).All();
  for (auto it = workers.rbegin(); it != workers.rend(); ++it) {
    // Of the workers with the most free processors, the first one is taken.
    if (best != nullptr && it->first.first < bestFree)
      break;
    WorkerSession& session = *it->second;
    const jobs::WorkerRecord& record = RecordOf(session);
    ++work_.examinedWorkers;
    if (session.reservationCount > 0 || !session.IsUsable(now_.steady) ||
        !IsInClass(record, aCandidate, step) ||
        !jobs::Fits(allocation, session.usedByPersistentRuns, session.capacity))
      continue;
    hasCapacity = true;
    if (session.number == aExcluded ||
        !IsEligible(session, record, aCandidate, aTask) ||
        !IsPermitted(record, aCandidate, aTask))
      continue;
    best = &session;
    bestFree = it->first.first;
  }
  if (!hasCapacity)
    unreservable_.Add(workerClass, allocation);
  if (best == nullptr)
    return false;
  best->used += allocation;
  ++best->reservationCount;
  poolIndex_.Update(*best);
  reservations_[aTask] = { .worker = best->number,
                           .reserved = allocation,
                           .expiresAt = now_.steady + kReservationTimeout };
  return true;
}

void
Scheduler::CancelReservation(const TaskId& aTask)
{
  const auto found = reservations_.find(aTask);
  if (found == reservations_.end())
    return;
  if (WorkerSession* session = SessionOf(found->second.worker)) {
    session->used -= found->second.reserved;
    --session->reservationCount;
    poolIndex_.Update(*session);
    unplaceable_.Clear();
    unreservable_.Clear();
  }
  reservations_.erase(found);
}

void
Scheduler::CancelStaleReservations()
{
  std::vector<TaskId> stale;
  for (const auto& [task, reservation] : reservations_) {
    const jobs::Job* job = stateMachine_.Find(task.job);
    const WorkerSession* session = SessionOf(reservation.worker);
    if (reservation.expiresAt <= now_.steady || job == nullptr ||
        job->state != jobs::JobState::Live || session == nullptr ||
        !session->IsUsable(now_.steady) ||
        !jobs::Fits(reservation.reserved, {}, session->capacity))
      stale.push_back(task);
  }
  for (const TaskId& task : stale)
    CancelReservation(task);
}

bool
Scheduler::HasReservation(jobs::WorkerNumber aWorker) const
{
  const WorkerSession* session = FindSession(aWorker);
  return session != nullptr && session->reservationCount > 0;
}
