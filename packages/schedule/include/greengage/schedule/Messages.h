/// \file
/// What the scheduler says to workers and hears from them, free of any
/// encoding.

#ifndef GREENGAGE_SCHEDULE_MESSAGES_H
#define GREENGAGE_SCHEDULE_MESSAGES_H

#include "greengage/core/Endpoint.h"
#include "greengage/core/StrongId.h"
#include "greengage/core/Units.h"
#include "greengage/jobs/Ids.h"
#include "greengage/jobs/Operation.h"
#include "greengage/schedule/AdviceCalls.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace greengage::schedule {

using jobs::Attempt;
using jobs::EndNumber;
using jobs::Fence;
using jobs::TaskId;

/// One call to a worker, unique inside a process.
using WorkerCallId = StrongId<struct WorkerCallTag, std::uint64_t>;

/// The clocks of one moment: intervals are measured on the first, due times
/// and records on the second.
struct Moment
{
  Time steady;
  Time wall;
};

/// Run a task. Repeating the call for the same attempt is harmless.
struct StartRun
{
  TaskId task;
  Attempt attempt;
  std::string payload;
  /// On the worker's clock: not to be begun later.
  Time until;
  Fence fence;
  /// The progress to resume from; empty if there is none.
  std::string checkpoint;
  /// What lets the worker run the step; empty where none is needed.
  Permit permit = {};
};

/// End a run, and never begin it if it has not begun.
struct StopRun
{
  TaskId task;
  Attempt attempt;
  Fence fence;
};

/// Renew the lease of everything that runs, and list it.
struct RenewLease
{
  /// On the worker's clock; without it the lease stays as it is.
  std::optional<Time> until;
  Fence fence;
  /// The worker may forget ends up to this number.
  EndNumber lastSeen;
  /// How long the worker may wait for an end before it answers.
  Duration wait;
};

/// Let a run work at a share of its speed.
struct ThrottleRun
{
  TaskId task;
  Attempt attempt;
  /// 0 to 100.
  std::uint32_t percent = 100;
  Fence fence;
};

using WorkerRequest = std::variant<StartRun, StopRun, RenewLease, ThrottleRun>;

/// A call to one worker.
struct WorkerCall
{
  WorkerCallId id;
  jobs::WorkerId worker;
  Endpoint endpoint;
  WorkerRequest request;
  Duration timeout;
};

/// How far a call to a worker got.
enum class WorkerAnswer : std::uint8_t
{
  /// Proved: nothing was sent.
  NotSent,
  /// The call may have been carried out, or may be later.
  None,
  /// The worker has done it.
  Done,
  /// The worker refuses, for the reason given.
  Refused,
  /// Another incarnation or another worker answers at this address.
  OtherWorker,
  /// The worker is unhealthy and has done nothing.
  Unhealthy,
};

/// Why a worker refuses.
enum class RefusalReason : std::uint8_t
{
  None,
  /// It has seen a higher fencing token.
  Fenced,
  /// It has stopped or ended this attempt or a later one.
  OldAttempt,
  /// The time until which the run might begin has passed.
  Late,
  /// It has no room.
  Capacity,
  /// The permit is not good for it.
  NotPermitted,
  Other,
};

/// A run that a worker lists.
struct ListedRun
{
  TaskId task;
  Attempt attempt;
  std::string checkpoint;
  /// The share of its speed that it works at, 0 to 100.
  std::uint32_t percent = 100;
  /// For a run that serves users their tail latency in milliseconds, else the
  /// processors in use in thousandths; over the last half second.
  std::int64_t load = 0;
};

/// How a worker says that a run ended.
enum class ListedEndKind : std::uint8_t
{
  Done,
  Failed,
  Stopped,
  LeaseExpired,
  /// Another member of its gang has ended.
  GangBroken,
  /// The others of its gang did not come in time.
  GangIncomplete,
};

/// An end that a worker lists.
struct ListedEnd
{
  EndNumber number;
  TaskId task;
  Attempt attempt;
  ListedEndKind how = ListedEndKind::Failed;
  std::string checkpoint;
};

/// The end of a call to a worker. Each call has exactly one.
struct WorkerReply
{
  WorkerCallId id;
  WorkerAnswer answer = WorkerAnswer::None;
  RefusalReason refusal = RefusalReason::None;
  /// The worker's clock when it answered.
  std::optional<Time> clock;
  /// Which life of the worker answered, where it says so.
  std::optional<jobs::Incarnation> incarnation;
  /// Whether the lists below are there.
  bool hasLists = false;
  std::vector<ListedRun> running;
  std::vector<ListedEnd> ended;
  /// Why there is no answer, for the log.
  std::string detail;
};

/// What a worker says of itself from time to time.
struct WorkerBeat
{
  jobs::WorkerRecord worker;
  /// Counts the beats of one incarnation, so that a late one can be told.
  std::uint64_t sequence = 0;
  /// The worker's clock when it sent the beat.
  std::optional<Time> clock;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_MESSAGES_H
