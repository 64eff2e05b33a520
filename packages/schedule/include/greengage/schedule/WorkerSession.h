/// \file
/// The leader's volatile state for one incarnation of a worker, in addition to
/// the replicated state: its runs, lease, clock offset and responsiveness.

#ifndef GREENGAGE_SCHEDULE_WORKERSESSION_H
#define GREENGAGE_SCHEDULE_WORKERSESSION_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/jobs/Ids.h"
#include "greengage/jobs/Job.h"
#include "greengage/jobs/Operation.h"
#include "greengage/schedule/Messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace greengage::schedule {

enum class RunStage : std::uint8_t
{
  /// The assignment is proposed but not committed.
  Proposed,
  /// The assignment is committed, but the worker has not confirmed the start.
  Starting,
  Running,
  /// The end of the run is proposed but not committed.
  Ending,
};

/// One attempt of a task on a worker.
struct Run
{
  Attempt attempt;
  RunStage stage = RunStage::Proposed;
  /// When the run was given its place on the worker; none if a previous leader
  /// did that.
  std::optional<Time> placedAt;
  /// Resources allocated on the worker.
  jobs::Resources allocated;
  /// Resources charged to the team's quota.
  jobs::Resources quotaCharge;
  TeamId team;
  bool usesIdleProcessors = false;
  bool isPersistent = false;
  /// The worker's clock when it confirmed the start; none if it has not, or if
  /// the run is known only from the worker's list.
  std::optional<Time> confirmedAt;
  /// When the run was first known to be running; zero before.
  Time runningSince;
  /// A worker has crashed under an earlier attempt of the task.
  bool isCrashSuspect = false;
  /// A crash of the worker may make the job fail.
  bool isCrashDecisive = false;
  /// The progress last listed by the worker, 0 to 100. A persistent task
  /// reaches 100, its full speed, when its startup is complete.
  std::uint32_t progressPercent = 0;
  /// Whether the run may be stopped and restarted on another worker if it makes
  /// too little progress.
  bool isMovable = false;
  /// The worker's clock when it first listed the current progress.
  std::optional<Time> lastProgressAt;
  /// Tail latency objective; 0 for a run that serves no requests.
  Duration targetLatency;
  /// Whether the run is to be stopped: its job has ended, its worker restarted
  /// or refused it, or the task is to move to another worker.
  bool isStopRequested = false;
  bool isCallInFlight = false;
  /// Whether a start request may have reached the worker.
  bool isStartSent = false;
  /// Whether it is recorded, or proposed to be, that the start request may be
  /// sent again.
  bool isRepeatProposed = false;
  bool isRepeatRecorded = false;
  /// Whether the confirmation of the start is recorded or proposed.
  bool isStartRecorded = false;
  /// Whether the start was recorded when this leader took the run over, so that
  /// the run does not count as just started once the worker lists it.
  bool startedBeforeTakeOver = false;
  /// When a start request was first sent, or when this leader took the run over
  /// from the previous one, which may have sent it.
  Time startSentAt;
  /// Earliest time of the next start or stop request.
  Time nextCallAt;
  /// The latest time, on the worker's clock, at which the run may start.
  Time startDeadline;
  /// The number of the first lease renewal whose reply must list the run if the
  /// worker still has it: set when the worker confirms a start or a stop, when
  /// it lists a run whose start is not confirmed, and when a new leader takes
  /// over the run. If that reply or a later one does not list the run, the
  /// worker no longer has it.
  std::optional<std::uint64_t> firstListingRenewal;
  /// The number of the run's entry in the list of ended runs of \ref
  /// endListedBy: the run's own incarnation of the worker or, if that executed
  /// the start, a later one.
  std::optional<RunEndSequence> endNumber;
  jobs::WorkerNumber endListedBy;
  /// The speed limit last sent to the worker, 0 to 100.
  std::uint32_t speedLimitPercent = 100;
};

/// Start requests of one attempt that have not been answered. Each may still be
/// executed seconds later, even by a later incarnation at the same address.
struct UnansweredStarts
{
  Attempt attempt;
  std::uint32_t count = 0;
  /// Number of requests of the attempt that may have been sent, answered or
  /// not. A single one can't be executed again once the run has begun.
  std::uint32_t sent = 0;
  /// When the last of them was sent, at the latest.
  Time lastSentAt;
};

/// The leader's volatile state for one incarnation of a worker.
struct WorkerSession
{
  jobs::WorkerNumber number;
  /// The worker's record in the job state machine, which outlives the session.
  const jobs::WorkerRecord* record = nullptr;
  std::map<TaskId, Run> runs;
  /// Number of runs whose task has had a crash.
  std::uint32_t crashSuspectCount = 0;
  std::uint32_t persistentRunCount = 0;
  /// Number of runs with a target latency.
  std::uint32_t latencySensitiveRunCount = 0;
  /// Resources of the runs and of the reservations on this worker.
  jobs::Resources used;
  /// Resources of the persistent runs, which don't end by themselves.
  jobs::Resources usedByPersistentRuns;
  std::uint32_t reservationCount = 0;
  std::map<TaskId, UnansweredStarts> unansweredStarts;
  /// Runs that may have crashed this incarnation are recorded or proposed as
  /// suspected.
  bool isCrashSuspected = false;

  /// Whether the worker's complete lists have been processed under the current
  /// fencing token and contained no unknown runs.
  bool isReconciled = false;
  /// A later incarnation of the worker, or a later worker on the same host, has
  /// been registered, so no run of this one continues.
  bool isSuperseded = false;
  Time supersededAt;
  /// When a later incarnation last answered a call meant for this one. Until it
  /// has registered it is only probed, since an acknowledgement of this one's
  /// ends would make it discard its own.
  std::optional<Time> laterIncarnationAnsweredAt;
  bool isProbeInFlight = false;
  Time nextProbeAt;
  /// Whether this incarnation may hold a lease that was meant for an earlier
  /// one at its address, which stated no incarnation for its calls to name.
  bool mayHoldForeignLease = false;
  Time lastHeartbeat;
  /// The capacity in the worker's latest heartbeat, which its record may not
  /// show yet.
  jobs::Resources capacity;
  /// The worker's clock when it stated \ref capacity; null if this host has
  /// handled no heartbeat of it.
  std::optional<Time> capacityStatedAt;
  Time lastAnswer;
  /// When the latest of the answered calls was sent.
  Time lastAnsweredCallSentAt;
  std::uint32_t consecutiveFailedCalls = 0;
  /// Number of calls without a reply or timeout yet, except probes.
  std::uint32_t pendingCallCount = 0;
  /// When the latest call that timed out was sent, except probes; it may still
  /// be executed.
  std::optional<Time> lastUnansweredCallAt;
  /// The worker's clock, as stated in an answer or a heartbeat that was handled
  /// at a time on the local steady clock.
  struct StatedClock
  {
    Time clock;
    Time handledAt;
  };
  std::optional<StatedClock> statedClock;

  bool isRenewalInFlight = false;
  /// Whether a renewal that the worker answers at once is in flight beside.
  bool isContactInFlight = false;
  /// Number of lease renewals sent.
  std::uint64_t renewalCount = 0;
  /// The number of the latest renewal that wasn't sent only to contact the
  /// worker.
  std::uint64_t latestRegularRenewal = 0;
  Time nextRenewalAt;
  /// Upper bound of the lease expiry, on the local steady clock: every run has
  /// ended by then unless the lease is renewed.
  Time leaseExpiry;

  /// The highest number in the worker's lists of ended runs so far.
  RunEndSequence lastListedEnd;
  /// Listed ends whose operations are not committed yet.
  std::set<RunEndSequence> pendingEnds;
  /// The highest number acknowledged to the worker since a call last failed.
  RunEndSequence lastAcknowledgedEnd;

  /// The host is being drained, so the worker gets no new runs.
  bool isCordoned = false;

  /// Runs stopped for lack of progress since a run on this worker last
  /// succeeded.
  std::uint32_t consecutiveSlowRuns = 0;
  /// Failed runs since a run on this worker last succeeded.
  std::uint32_t consecutiveFailedRuns = 0;
  /// The worker gets no new runs before this time.
  Time suspendedUntil;

  /// Notes that a list of this incarnation shows the attempt to have begun: if
  /// its start request was sent once, no copy of it is outstanding.
  void NoteBegun(const TaskId& aTask, Attempt aAttempt);
  /// Whether the worker may still execute a start request for the task.
  bool HasUnansweredStart(const TaskId& aTask) const
  {
    return unansweredStarts.count(aTask) != 0;
  }
  /// Forgets the unanswered starts that can't be executed any more, given that
  /// this incarnation has answered a call that was sent at \p aSentAt. No later
  /// incarnation can have executed them before that.
  void DropExpiredStarts(Time aSentAt);
  /// The number up to which all listed ends are committed, so that the worker
  /// may discard them.
  RunEndSequence LastCommittedEnd() const;
  /// Takes the worker's clock from a message that is handled at \p aNow, unless
  /// an earlier message gives a later time.
  void UpdateClock(Time aClock, Time aNow);
  /// A lower bound of the worker's clock at \p aNow, if it has stated one: a
  /// message may be handled late, and the worker's clock may be slow. A lease
  /// or a start deadline that counts from it ends no later on the worker than
  /// the local clock allows for.
  std::optional<Time> WorkerClockAt(Time aNow) const;
  /// Whether a call is needed to extend the lease, to get the worker's lists or
  /// to acknowledge ended runs.
  bool NeedsRenewal() const;
  /// Whether the start request of the run may be sent, for the first time or
  /// since this incarnation has answered a call that was sent after the latest
  /// request: a later incarnation would carry out the repeated one.
  bool MayRepeatStart(const TaskId& aTask, const Run& aRun) const;
  /// Whether a run of this incarnation waits for what a later one, which has
  /// answered and not registered, may have started.
  bool NeedsProbe() const;
  /// Whether the worker has stated its capacity recently enough for a run to
  /// start on it at \p aNow.
  bool IsCapacityCurrent(Time aNow) const;
  /// Whether the worker's capacity has room at \p aNow for the start of the
  /// task's run, beside all runs that may be on the worker.
  bool HasRoomToStart(const TaskId& aTask, Time aNow) const;
  /// Whether the worker is responsive at \p aNow and may be assigned new runs.
  bool IsUsable(Time aNow) const;
  /// Whether a call has been answered at \p aTime or later. An idle worker gets
  /// no calls, so that its heartbeats may arrive while calls to it are lost,
  /// and a busy one may take a second to answer.
  bool HasAnsweredSince(Time aTime) const { return lastAnswer >= aTime; }
  /// Whether this incarnation is superseded, and no run or call of it is left.
  bool IsObsolete() const
  {
    return isSuperseded && runs.empty() && unansweredStarts.empty() &&
           pendingCallCount == 0;
  }
  /// Number of runs on this worker of the task's step, in the same occurrence.
  std::uint32_t CountRunsOfStep(const TaskId& aTask) const;
  bool HasLatencySensitiveRun() const { return latencySensitiveRunCount > 0; }
  /// Whether the run started so shortly before the worker was last heard of
  /// that it may have crashed the worker.
  bool MayHaveCrashedWorker(const TaskId& aTask, const Run& aRun) const;
  /// Whether the worker may still crash because of the recent start of a run.
  bool HasRecentStart(Time aNow) const;
  /// Whether the worker may still crash because of the recent start of a task
  /// of another job that already had a crash.
  bool HasRecentSuspect(jobs::JobId aExceptOf, Time aNow) const;
  /// The same for a task whose job a crash may make fail.
  bool HasRecentDecisiveRun(jobs::JobId aExceptOf, Time aNow) const;
  bool HasPersistentRun() const { return persistentRunCount > 0; }
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_WORKERSESSION_H
