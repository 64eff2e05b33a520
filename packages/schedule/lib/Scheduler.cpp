#include "greengage/schedule/Scheduler.h"

#include "SchedulerBounds.h"

#include "greengage/observe/Log.h"

#include <algorithm>
#include <utility>

using namespace greengage;
using namespace greengage::schedule;
using namespace greengage::schedule::detail;

/// Interval between scans for job records past their retention time.
static constexpr Duration kForgetInterval = Duration::Seconds(1);

Scheduler::Scheduler(SchedulerOptions aOptions,
                     const jobs::JobBook& aBook,
                     Outbox& aOutbox)
  : options_(aOptions)
  , book_(aBook)
  , outbox_(aOutbox)
  , advice_(aOutbox)
{
}

void
Scheduler::Lead(Fence aFence, Moment aNow)
{
  Follow();
  now_ = aNow;
  fence_ = aFence;
  for (const auto& [number, worker] : book_.Workers()) {
    WorkerSession& session = sessions_[number];
    session.number = number;
    session.lastBeat = aNow.steady;
    // The previous leader may have renewed the lease up to now.
    session.leaseEnd = aNow.steady + LongestLease(options_.lease);
  }
  OnConfiguration();
  for (const auto& [id, job] : book_.Jobs())
    Adopt(job);
  for (const auto& [number, worker] : book_.Workers())
    GiveUpEarlierLives(number);
  isDirty_ = true;
}

/// Recreates the state of the job's runs that were assigned by a previous
/// leader.
void
Scheduler::Adopt(const jobs::Job& aJob)
{
  if (aJob.state == jobs::JobState::Live)
    live_.insert(aJob.id);
  TrackPending(aJob);
  for (const auto& [number, occurrence] : aJob.occurrences)
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      const auto& tasks = occurrence.steps[step].tasks;
      for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (tasks[index].phase != jobs::TaskPhase::Assigned)
          continue;
        const TaskId task{
          .job = aJob.id, .occurrence = number, .step = step, .index = index
        };
        WorkerSession* session = SessionOf(tasks[index].worker);
        if (session == nullptr)
          continue;
        Reserve(*session, aJob, task, tasks[index].attempt);
        Run& run = session->runs.at(task);
        run.stage = RunStage::Starting;
        // A run missing from the first lists can no longer start: the worker
        // rejects start requests with an older fencing token.
        run.listedFrom = 1;
        run.isStartSent = true;
        run.isStopWanted = aJob.state != jobs::JobState::Live;
      }
    }
}

void
Scheduler::Follow()
{
  fence_.reset();
  sessions_.clear();
  calls_.clear();
  live_.clear();
  unbegun_.clear();
  proposed_.clear();
  usage_.clear();
  holds_.clear();
  advice_.Clear();
  lackingRoom_.clear();
  isDirty_ = false;
}

void
Scheduler::OnConfiguration()
{
  if (const jobs::Configuration* configuration = book_.CurrentConfiguration())
    for (const jobs::Queue& queue : configuration->queues)
      pools_[queue.id] = queue.pool;
  isDirty_ = IsLeading();
}

void
Scheduler::TrackPending(const jobs::Job& aJob)
{
  const bool isPending = aJob.state == jobs::JobState::Live && !aJob.hasBegun;
  if (isPending)
    unbegun_.insert(aJob.id);
  else
    unbegun_.erase(aJob.id);
}

std::uint64_t
Scheduler::PendingIn(const jobs::QueueId& aQueue) const
{
  return static_cast<std::uint64_t>(
    std::count_if(unbegun_.begin(), unbegun_.end(), [&](jobs::JobId aJob) {
      const jobs::Job* job = book_.Find(aJob);
      return job != nullptr && job->queue == aQueue;
    }));
}

void
Scheduler::OnJobAccepted(const jobs::Job& aJob)
{
  if (!IsLeading())
    return;
  live_.insert(aJob.id);
  TrackPending(aJob);
  isDirty_ = true;
}

void
Scheduler::OnJobEnded(const jobs::Job& aJob)
{
  if (!IsLeading())
    return;
  live_.erase(aJob.id);
  advice_.Forget(aJob.id);
  TrackPending(aJob);
  for (auto& [number, session] : sessions_) {
    const TaskId first{ .job = aJob.id };
    for (auto at = session.runs.lower_bound(first);
         at != session.runs.end() && at->first.job == aJob.id;
         ++at) {
      at->second.isStopWanted = true;
      at->second.nextCall = now_.steady;
      TickRun(session, at->first, at->second);
    }
  }
}

void
Scheduler::OnAssigned(const jobs::AssignTask& aAssignment)
{
  if (!IsLeading())
    return;
  proposed_.erase(aAssignment.task);
  unbegun_.erase(aAssignment.task.job);
  WorkerSession* session = SessionOf(aAssignment.worker);
  if (session == nullptr)
    return;
  const auto found = session->runs.find(aAssignment.task);
  if (found == session->runs.end())
    return;
  Run& run = found->second;
  run.stage = RunStage::Starting;
  if (session->isGone) {
    EndRun(*session,
           aAssignment.task,
           run,
           jobs::RunEnd::Lost,
           {},
           "worker restarted before the start");
    return;
  }
  SendStart(*session, aAssignment.task, run);
}

void
Scheduler::OnAssignmentVoid(const jobs::AssignTask& aAssignment)
{
  if (!IsLeading())
    return;
  proposed_.erase(aAssignment.task);
  WorkerSession* session = SessionOf(aAssignment.worker);
  if (session == nullptr)
    return;
  const auto found = session->runs.find(aAssignment.task);
  if (found != session->runs.end() && found->second.stage == RunStage::Proposed)
    Release(*session, aAssignment.task);
  isDirty_ = true;
}

void
Scheduler::OnRunEnded(const jobs::EndTask& aEnd, jobs::WorkerNumber aWorker)
{
  if (!IsLeading())
    return;
  WorkerSession* session = SessionOf(aWorker);
  if (session == nullptr)
    return;
  const auto found = session->runs.find(aEnd.task);
  if (found == session->runs.end() || found->second.attempt != aEnd.attempt)
    return;
  if (found->second.endNumber)
    session->pendingEnds.erase(*found->second.endNumber);
  Release(*session, aEnd.task);
  isDirty_ = true;
  if (session->pendingEnds.empty())
    session->nextRenewal = now_.steady;
  TickSession(*session);
}

void
Scheduler::ForgetOldJobs()
{
  if (now_.steady < nextForget_)
    return;
  nextForget_ = now_.steady + kForgetInterval;
  for (const auto& [id, job] : book_.Jobs())
    if (job.state != jobs::JobState::Live && job.assigned == 0 &&
        job.endedAt + options_.retention < now_.wall)
      outbox_.Propose(jobs::ForgetJob{ .id = id });
}
