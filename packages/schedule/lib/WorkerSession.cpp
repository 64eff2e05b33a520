#include "greengage/schedule/WorkerSession.h"

#include <algorithm>

using namespace greengage;
using namespace greengage::schedule;

/// A worker that has been silent for longer gets no new runs. Covers two
/// heartbeat intervals of 1.5 s.
static constexpr Duration kUsableSilence = Duration(3200);

EndNumber
WorkerSession::LastSeen() const
{
  if (pendingEnds.empty())
    return listedUpTo;
  return EndNumber(pendingEnds.begin()->Value() - 1);
}

std::optional<Time>
WorkerSession::ClockAt(Time aNow) const
{
  if (!clockOffset)
    return std::nullopt;
  return aNow + *clockOffset;
}

bool
WorkerSession::NeedsRenewal() const
{
  if (isGone)
    return false;
  if (!isRead || failedCalls > 0 || LastSeen() > toldSeen)
    return true;
  return std::any_of(runs.begin(), runs.end(), [](const auto& aItem) {
    return aItem.second.stage != RunStage::Proposed;
  });
}

bool
WorkerSession::IsUsable(Time aNow) const
{
  const Time heard = std::max(lastBeat, lastAnswer);
  return isRead && !isGone && !isCordoned && failedCalls == 0 && clockOffset &&
         heard + kUsableSilence > aNow && suspendedUntil <= aNow;
}

std::uint32_t
WorkerSession::RunsOfStep(const TaskId& aTask) const
{
  // The map is ordered by TaskId, so the tasks of a step are adjacent.
  TaskId first = aTask;
  first.index = 0;
  std::uint32_t count = 0;
  for (auto at = runs.lower_bound(first); at != runs.end(); ++at) {
    const TaskId& task = at->first;
    if (task.job != aTask.job || task.occurrence != aTask.occurrence ||
        task.step != aTask.step)
      break;
    ++count;
  }
  return count;
}

bool
WorkerSession::HasServingRun() const
{
  return std::any_of(runs.begin(), runs.end(), [](const auto& aItem) {
    return aItem.second.targetLatency > Duration(0);
  });
}

bool
WorkerSession::HasPersistentRun() const
{
  return std::any_of(runs.begin(), runs.end(), [](const auto& aItem) {
    return aItem.second.isPersistent;
  });
}
