/// \file
/// What the leader knows of one incarnation of a worker beyond the agreed
/// state: its runs, its lease, its clock and how it answers.

#ifndef GREENGAGE_SCHEDULE_WORKERSESSION_H
#define GREENGAGE_SCHEDULE_WORKERSESSION_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/jobs/Ids.h"
#include "greengage/jobs/Job.h"
#include "greengage/schedule/Messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace greengage::schedule {

enum class RunStage : std::uint8_t
{
  /// The assignment is not committed yet.
  Proposed,
  /// The worker has been asked, or will be, and has not confirmed.
  Starting,
  Running,
  /// The end is proposed and not committed yet.
  Ending,
};

/// One run on a worker.
struct Run
{
  Attempt attempt;
  RunStage stage = RunStage::Proposed;
  /// What it takes of the worker.
  jobs::Resources taken;
  /// What it counts against its team's quota.
  jobs::Resources charged;
  TeamId team;
  bool usesIdleProcessors = false;
  bool isPersistent = false;
  /// When the worker confirmed the run.
  Time confirmedAt;
  /// The share of its speed that the worker's lists gave last, 0 to 100; it
  /// grows to 100 while a persistent task starts up.
  std::uint32_t listedPercent = 0;
  /// Whether it may be stopped and run elsewhere when it hardly gets on.
  bool isMovable = false;
  /// When the lists last showed more progress than before.
  Time progressAt;
  /// 0 for a run that serves nobody.
  Duration targetLatency;
  /// To be stopped: its job has ended.
  bool isStopWanted = false;
  bool isCallInFlight = false;
  /// Whether a start may have reached the worker.
  bool isStartSent = false;
  /// When to call the worker next about it.
  Time nextCall;
  /// On the worker's clock: a start can't begin later.
  Time validUntil;
  /// The first lease call after the worker confirmed the run or its stop: the
  /// lists of that call and later ones show it, or it is gone.
  std::optional<std::uint64_t> listedFrom;
  /// The number under which the worker lists its end.
  std::optional<EndNumber> endNumber;
  std::uint32_t percent = 100;
};

/// Starts of one attempt that got no answer. Each may be carried out seconds
/// later, also by a later incarnation at the same address.
struct UnansweredStarts
{
  Attempt attempt;
  std::uint32_t count = 0;
};

/// The leader's record of one incarnation of a worker.
struct WorkerSession
{
  jobs::WorkerNumber number;
  std::map<TaskId, Run> runs;
  jobs::Resources used;
  std::map<TaskId, UnansweredStarts> unanswered;

  /// The worker's lists have been read under the current fencing token.
  bool isRead = false;
  /// A later incarnation is registered, so that nothing of this one runs.
  bool isGone = false;
  Time goneAt;
  Time lastBeat;
  std::uint64_t lastSequence = 0;
  Time lastAnswer;
  std::uint32_t failedCalls = 0;
  /// The worker's clock less the own steady clock, by its latest answer.
  std::optional<Duration> clockOffset;

  bool isRenewalInFlight = false;
  /// Counts the lease calls.
  std::uint64_t renewals = 0;
  Time nextRenewal;
  /// On the own steady clock: everything has ended by then.
  Time leaseEnd;

  EndNumber listedUpTo;
  /// Listed ends whose operations are not committed yet.
  std::set<EndNumber> pendingEnds;
  /// The number that the worker was told last.
  EndNumber toldSeen;

  /// The host is to be emptied: no new work.
  bool isCordoned = false;

  /// Runs in a row that hardly got on.
  std::uint32_t slowRuns = 0;
  /// Failed runs since the last success, and until when it gets no work.
  std::uint32_t failedRuns = 0;
  Time suspendedUntil;

  /// Whether a start of the task may still be carried out.
  bool IsUnresolved(const TaskId& aTask) const
  {
    return unanswered.count(aTask) != 0;
  }
  /// The worker may forget ends up to this number.
  EndNumber LastSeen() const;
  /// The worker's clock at \p aNow, as far as it is known.
  std::optional<Time> ClockAt(Time aNow) const;
  /// Whether the worker has to be called for its lists or its lease.
  bool NeedsRenewal() const;
  /// Whether it answers and takes work at \p aNow.
  bool IsUsable(Time aNow) const;
  /// Runs of one step of one occurrence.
  std::uint32_t RunsOfStep(const TaskId& aTask) const;
  bool HasServingRun() const;
  bool HasPersistentRun() const;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_WORKERSESSION_H
