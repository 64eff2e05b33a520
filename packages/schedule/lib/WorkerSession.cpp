#include "greengage/schedule/WorkerSession.h"

#include "SchedulerBounds.h"

#include <algorithm>
#include <iterator>

using namespace greengage;
using namespace greengage::schedule;
using namespace greengage::schedule::detail;

/// A worker that has been silent for longer gets no new runs. Covers two
/// heartbeat intervals of 1.5 s.
static constexpr Duration kMaxUsableSilence = Duration(3200);
/// A worker that crashes later after the start of a run crashed for another
/// reason.
static constexpr Duration kCrashSuspicionTime = Duration(1000);
/// How long a stated capacity is relied on. A smaller one counts 4.5 s after
/// the shrinkage: 3 s for contact with the leader, and a heartbeat interval.
/// The rest is for the start to reach the worker.
static constexpr Duration kMaxCapacityAge = Duration(4000);

RunEndSequence
WorkerSession::LastCommittedEnd() const
{
  if (pendingEnds.empty())
    return lastListedEnd;
  return RunEndSequence(pendingEnds.begin()->Value() - 1);
}

std::optional<Time>
WorkerSession::WorkerClockAt(Time aNow) const
{
  if (!statedClock)
    return std::nullopt;
  const std::int64_t elapsed = (aNow - statedClock->handledAt).Millis();
  return statedClock->clock +
         Duration(elapsed * kMinClockRatePercent / kPercent);
}

void
WorkerSession::UpdateClock(Time aClock, Time aNow)
{
  if (const auto current = WorkerClockAt(aNow); !current || aClock >= *current)
    statedClock = { .clock = aClock, .handledAt = aNow };
}

void
WorkerSession::DropExpiredStarts(Time aSentAt)
{
  for (auto it = unansweredStarts.begin(); it != unansweredStarts.end();) {
    const bool isExpired = it->second.lastSentAt + kMaxDeliveryDelay <= aSentAt;
    it = isExpired ? unansweredStarts.erase(it) : std::next(it);
  }
}

void
WorkerSession::NoteBegun(const TaskId& aTask, Attempt aAttempt)
{
  const auto starts = unansweredStarts.find(aTask);
  if (starts != unansweredStarts.end() && starts->second.attempt == aAttempt &&
      starts->second.sent == 1)
    unansweredStarts.erase(starts);
}

bool
WorkerSession::NeedsRenewal() const
{
  if (isSuperseded || laterIncarnationAnsweredAt)
    return false;
  if (!isReconciled || consecutiveFailedCalls > 0 || !pendingEnds.empty() ||
      LastCommittedEnd() > lastAcknowledgedEnd)
    return true;
  return std::any_of(runs.begin(), runs.end(), [](const auto& aItem) {
    return aItem.second.stage != RunStage::Proposed;
  });
}

bool
WorkerSession::MayRepeatStart(const TaskId& aTask, const Run& aRun) const
{
  const auto starts = unansweredStarts.find(aTask);
  return !aRun.isStartSent || starts == unansweredStarts.end() ||
         lastAnsweredCallSentAt >= starts->second.lastSentAt;
}

bool
WorkerSession::NeedsProbe() const
{
  return laterIncarnationAnsweredAt && !isSuperseded &&
         std::any_of(runs.begin(), runs.end(), [](const auto& aItem) {
           return aItem.second.stage == RunStage::Starting ||
                  aItem.second.stage == RunStage::Running;
         });
}

bool
WorkerSession::IsCapacityCurrent(Time aNow) const
{
  const auto clock = WorkerClockAt(aNow);
  return clock && capacityStatedAt &&
         *capacityStatedAt + kMaxCapacityAge > *clock;
}

bool
WorkerSession::HasRoomToStart(const TaskId& aTask, Time aNow) const
{
  jobs::Resources allocated;
  for (const auto& [task, run] : runs)
    if (task != aTask && (run.isStartSent || HasUnansweredStart(task)))
      allocated += run.allocated;
  return IsCapacityCurrent(aNow) &&
         jobs::Fits(runs.at(aTask).allocated, allocated, capacity);
}

bool
WorkerSession::IsUsable(Time aNow) const
{
  const Time lastContact = std::max(lastHeartbeat, lastAnswer);
  return isReconciled && !isSuperseded && !laterIncarnationAnsweredAt &&
         !isCordoned && consecutiveFailedCalls == 0 &&
         IsCapacityCurrent(aNow) && lastContact + kMaxUsableSilence > aNow &&
         suspendedUntil <= aNow;
}

std::uint32_t
WorkerSession::CountRunsOfStep(const TaskId& aTask) const
{
  // The map is ordered by TaskId, so the tasks of a step are adjacent.
  TaskId first = aTask;
  first.index = 0;
  std::uint32_t count = 0;
  for (auto it = runs.lower_bound(first); it != runs.end(); ++it) {
    const TaskId& task = it->first;
    if (task.job != aTask.job || task.occurrence != aTask.occurrence ||
        task.step != aTask.step)
      break;
    ++count;
  }
  return count;
}

bool
WorkerSession::MayHaveCrashedWorker(const TaskId& aTask, const Run& aRun) const
{
  const bool mayHaveStarted =
    aRun.stage == RunStage::Running ||
    (aRun.stage == RunStage::Starting && HasUnansweredStart(aTask));
  const Time startedAt =
    aRun.stage == RunStage::Running ? aRun.runningSince : aRun.startSentAt;
  return mayHaveStarted && !aRun.startedBeforeTakeOver &&
         startedAt + kCrashSuspicionTime >= std::max(lastHeartbeat, lastAnswer);
}

/// Whether the run has not been running long enough to be safe for its worker.
static bool
IsRecentStart(const Run& aRun, Time aNow)
{
  return aRun.stage != RunStage::Ending && !aRun.startedBeforeTakeOver &&
         (aRun.runningSince == Time(0) ||
          aRun.runningSince + kCrashSuspicionTime > aNow);
}

bool
WorkerSession::HasRecentStart(Time aNow) const
{
  return std::any_of(runs.begin(), runs.end(), [&](const auto& aItem) {
    return IsRecentStart(aItem.second, aNow);
  });
}

bool
WorkerSession::HasRecentSuspect(jobs::JobId aExceptOf, Time aNow) const
{
  if (crashSuspectCount == 0)
    return false;
  return std::any_of(runs.begin(), runs.end(), [&](const auto& aItem) {
    return aItem.second.isCrashSuspect && aItem.first.job != aExceptOf &&
           IsRecentStart(aItem.second, aNow);
  });
}

bool
WorkerSession::HasRecentDecisiveRun(jobs::JobId aExceptOf, Time aNow) const
{
  if (crashSuspectCount == 0)
    return false;
  return std::any_of(runs.begin(), runs.end(), [&](const auto& aItem) {
    return aItem.second.isCrashDecisive && aItem.first.job != aExceptOf &&
           IsRecentStart(aItem.second, aNow);
  });
}
