/// \file
/// Requests from the scheduler to workers and the replies to them, independent
/// of the wire encoding.

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
using jobs::FencingToken;
using jobs::RunEndSequence;
using jobs::TaskId;

/// Identifies a call to a worker; unique within a process.
using WorkerCallId = StrongId<struct WorkerCallTag, std::uint64_t>;

/// Both clocks read at the same instant. Intervals are measured on the steady
/// clock; due times and recorded timestamps use the wall clock.
struct ClockReading
{
  Time steady;
  Time wall;
};

/// Starts a task. The call is idempotent for the same attempt.
struct StartRun
{
  TaskId task;
  Attempt attempt;
  std::string payload;
  /// The latest time, on the worker's clock, at which the run may start.
  Time startDeadline;
  FencingToken fence;
  /// The checkpoint to resume from; empty if there is none.
  std::string checkpoint;
  /// Authorizes the worker to run the step; empty if the queue has no placement
  /// policy.
  Permit permit = {};
};

/// Stops a run, or prevents it from starting if it has not started yet.
struct StopRun
{
  TaskId task;
  Attempt attempt;
  FencingToken fence;
};

/// Renews the lease on all runs of the worker and requests its lists of running
/// and ended runs.
struct RenewLease
{
  /// The new lease expiry on the worker's clock; if unset, the lease is not
  /// extended.
  std::optional<Time> leaseExpiry;
  FencingToken fence;
  /// Acknowledges the listed ends up to this number, which the worker may then
  /// discard.
  RunEndSequence lastAcknowledgedEnd;
  /// Long-poll timeout: how long the worker may wait for a run to end before it
  /// answers.
  Duration longPollTimeout;
};

/// Limits a run to a percentage of its full speed.
struct ThrottleRun
{
  TaskId task;
  Attempt attempt;
  /// The allowed speed, 0 to 100.
  std::uint32_t speedLimitPercent = 100;
  FencingToken fence;
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
  /// The end of the leader lease on the steady clock: another host may lead
  /// from then on, so that the call must not be sent.
  Time sendBefore;
  /// The only incarnation that may execute the call: it must not be sent on a
  /// connection that another one may have accepted. Null for a call that does
  /// no harm on any incarnation.
  std::optional<jobs::Incarnation> incarnation = std::nullopt;
};

/// The outcome of a call to a worker.
enum class WorkerCallStatus : std::uint8_t
{
  /// The request is known not to have been sent.
  NotSent,
  /// No answer: the worker may have executed the call or may still execute it.
  NoAnswer,
  /// The worker executed the call.
  Done,
  /// The worker refused the call; see \ref RefusalReason.
  Refused,
  /// Another worker, or another incarnation of it, answered at this address.
  OtherWorker,
  /// The worker is unhealthy and did not execute the call.
  Unhealthy,
};

/// Why a worker refused a call.
enum class RefusalReason : std::uint8_t
{
  None,
  /// The worker has seen a higher fencing token.
  Fenced,
  /// This attempt or a later one has already been stopped or has ended.
  StaleAttempt,
  /// The latest start time of the run has passed.
  StartDeadlinePassed,
  /// The worker does not have enough free resources.
  InsufficientCapacity,
  /// The permit is not valid for this worker and step.
  NotPermitted,
  Other,
};

/// An entry of a worker's list of running tasks.
struct ListedRun
{
  TaskId task;
  Attempt attempt;
  std::string checkpoint;
  /// Progress, 0 to 100. For a persistent task, the percentage of its full
  /// speed that it has reached, which rises to 100 during startup.
  std::uint32_t progressPercent = 100;
  /// For a run that serves requests, the tail latency of these in milliseconds;
  /// for other runs, processor use in thousandths of a core. Both are measured
  /// over the last half second.
  std::int64_t load = 0;
};

/// How a run ended, as reported by the worker.
enum class ListedEndKind : std::uint8_t
{
  Done,
  Failed,
  Stopped,
  LeaseExpired,
  /// Another member of the run's gang has ended.
  GangBroken,
  /// The other members of the run's gang did not start in time.
  GangIncomplete,
};

/// An entry of a worker's list of ended runs.
struct ListedEnd
{
  RunEndSequence number;
  TaskId task;
  Attempt attempt;
  ListedEndKind kind = ListedEndKind::Failed;
  std::string checkpoint;
};

/// Completes a call to a worker. Each call gets exactly one reply.
struct WorkerReply
{
  WorkerCallId id;
  WorkerCallStatus answer = WorkerCallStatus::NoAnswer;
  RefusalReason refusal = RefusalReason::None;
  /// The worker's clock at the time of its answer.
  std::optional<Time> clock;
  /// The incarnation that answered, if the answer includes it; also that of a
  /// connection on which the call was not sent for that reason.
  std::optional<jobs::Incarnation> incarnation;
  /// Whether the reply includes the lists of running and ended runs.
  bool hasLists = false;
  std::vector<ListedRun> running;
  std::vector<ListedEnd> ended;
  /// Why there is no answer; only for the log.
  std::string detail;
};

/// A periodic heartbeat of a worker.
struct WorkerHeartbeat
{
  jobs::WorkerRecord worker;
  /// Increases with each heartbeat of an incarnation, so that heartbeats that
  /// arrive out of order are detected.
  std::uint64_t sequence = 0;
  /// The worker's clock when it sent the heartbeat.
  std::optional<Time> clock;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_MESSAGES_H
