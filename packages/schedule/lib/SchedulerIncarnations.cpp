#include "greengage/schedule/Scheduler.h"

#include "SchedulerBounds.h"

#include "greengage/observe/Log.h"

#include <algorithm>
#include <cstdint>

using namespace greengage;
using namespace greengage::schedule;
using namespace greengage::schedule::detail;

static bool
ListsRun(const WorkerReply& aReply, const TaskId& aTask)
{
  return std::any_of(aReply.running.begin(),
                     aReply.running.end(),
                     [&](const ListedRun& aRun) { return aRun.task == aTask; });
}

static bool
ListsEnd(const WorkerReply& aReply, const TaskId& aTask)
{
  return std::any_of(aReply.ended.begin(),
                     aReply.ended.end(),
                     [&](const ListedEnd& aEnd) { return aEnd.task == aTask; });
}

/// Ends the runs of an incarnation of which a later one has answered, except
/// those that the later one may have started. It may be lost before it
/// registers.
void
Scheduler::OnLaterIncarnationAnswered(WorkerSession& aSession,
                                      jobs::Incarnation aLater)
{
  if (!aSession.laterIncarnationAnsweredAt)
    observe::Log(observe::LogLevel::Warning,
                 "later-incarnation-answered",
                 { { "worker", RecordOf(aSession).id.Value() },
                   { "incarnation",
                     std::to_string(RecordOf(aSession).incarnation.Value()) },
                   { "later", std::to_string(aLater.Value()) },
                   { "unanswered_starts",
                     std::to_string(aSession.unansweredStarts.size()) } });
  ChargeCrash(aSession);
  aSession.laterIncarnationAnsweredAt = now_.steady;
  for (auto& [task, run] : aSession.runs)
    if (run.stage != RunStage::Proposed && !aSession.HasUnansweredStart(task))
      EndRun(
        aSession, task, run, jobs::RunOutcome::Lost, {}, "worker restarted");
}

/// Calls the later incarnation with a fencing token above that of this session
/// and not above that of the next registered one. Once it has answered, it
/// refuses the calls of this session, and its lists show what earlier ones have
/// started there. A copy that is executed late grants no lease, acknowledges no
/// end and starts nothing, so that nothing has to wait for its answer.
void
Scheduler::ProbeLaterIncarnation(WorkerSession& aSession)
{
  if (!HoldsLeaderLease())
    return;
  aSession.isProbeInFlight = true;
  Send(aSession,
       { .kind = CallKind::Probe,
         .worker = {},
         .task = {},
         .attempt = {},
         .sentAt = {} },
       RenewLease{ .leaseExpiry = std::nullopt,
                   .fence = FencingToken(FenceOf(aSession).Value() + 1),
                   .lastAcknowledgedEnd = RunEndSequence(0),
                   .longPollTimeout = {} },
       kCallTimeout);
}

/// Ends the runs that the later incarnation has not started. Those in its lists
/// are left to its registration.
void
Scheduler::OnProbeReply(WorkerSession& aSession, const WorkerReply& aReply)
{
  aSession.isProbeInFlight = false;
  aSession.nextProbeAt = now_.steady + kRetryInterval;
  const jobs::WorkerRecord& record = RecordOf(aSession);
  const bool isFromLater =
    aReply.incarnation && *aReply.incarnation > record.incarnation;
  const bool hasCompleteLists = aReply.answer == WorkerCallStatus::Done &&
                                aReply.hasLists &&
                                aReply.ended.size() < kMaxListedEnds;
  if (aSession.isSuperseded || !isFromLater || !hasCompleteLists)
    return;
  std::size_t endedRuns = 0;
  for (auto& [task, run] : aSession.runs) {
    const bool mayRun =
      run.stage == RunStage::Starting || run.stage == RunStage::Running;
    if (!mayRun || ListsRun(aReply, task) || ListsEnd(aReply, task))
      continue;
    ++endedRuns;
    EndRun(aSession,
           task,
           run,
           jobs::RunOutcome::Lost,
           {},
           "later incarnation has not started it");
  }
  observe::Log(observe::LogLevel::Info,
               "later-incarnation-probed",
               { { "worker", record.id.Value() },
                 { "incarnation", std::to_string(record.incarnation.Value()) },
                 { "later", std::to_string(aReply.incarnation->Value()) },
                 { "listed", std::to_string(aReply.running.size()) },
                 { "ended_runs", std::to_string(endedRuns) } });
}

/// Ends the runs of the worker's earlier incarnations, except the ones in the
/// list of \p aReply. To be called once the worker has answered a call with a
/// higher fencing token than theirs, since it rejects calls sent to them from
/// then on.
void
Scheduler::EndRunsOfEarlierIncarnations(const WorkerSession& aSession,
                                        const WorkerReply& aReply)
{
  const auto superseded = supersededWorkers_.find(RecordOf(aSession).id);
  if (superseded == supersededWorkers_.end())
    return;
  for (const jobs::WorkerNumber number : superseded->second) {
    WorkerSession& earlier = sessions_.at(number);
    for (auto& [task, run] : earlier.runs) {
      if (!ListsRun(aReply, task) && run.stage != RunStage::Proposed)
        EndRun(
          earlier, task, run, jobs::RunOutcome::Lost, {}, "worker restarted");
    }
  }
}

/// \returns the time by which all runs of the session have ended unless its
/// lease is renewed, including those that a later incarnation has started.
Time
Scheduler::LeaseExpiryOf(const WorkerSession& aSession) const
{
  const Duration longestLease = LeaseExpiryBound(options_.maxLease);
  if (aSession.isSuperseded)
    return aSession.supersededAt + kMaxDeliveryDelay + longestLease;
  if (!aSession.laterIncarnationAnsweredAt)
    return aSession.leaseExpiry;
  // Each call that the later incarnation executes may grant its longest lease.
  Time lastExecution = *aSession.laterIncarnationAnsweredAt;
  if (aSession.pendingCallCount > 0)
    lastExecution = now_.steady;
  if (aSession.lastUnansweredCallAt)
    lastExecution = std::max(
      lastExecution, *aSession.lastUnansweredCallAt + kMaxDeliveryDelay);
  return lastExecution + longestLease;
}
