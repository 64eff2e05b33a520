/// \file
/// The operations on the replicated job state, and their encoding in the log.

#ifndef GREENGAGE_JOBS_OPERATION_H
#define GREENGAGE_JOBS_OPERATION_H

#include "greengage/core/Endpoint.h"
#include "greengage/core/Error.h"
#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/jobs/Configuration.h"
#include "greengage/jobs/Ids.h"
#include "greengage/jobs/Job.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace greengage::jobs {

/// Replaces the configuration if the version in \p text is higher than the
/// current one.
struct PutConfiguration
{
  std::string text;
};

/// Accepts a job. Has no effect if a job with the same id exists.
struct AcceptJob
{
  JobId id;
  QueueId queue;
  /// Empty if the queue allows calls without a key.
  TeamId team;
  /// The leader's wall clock time.
  Time at;
  JobDescription description;
  /// Where the client submitted the job. Empty in entries of versions that did
  /// not state it.
  QueueAddress address = {};
};

/// Cancels a job. With an address, the leader did not know the job: only a job
/// of that address and team is cancelled, and if there is none the cancellation
/// is remembered for a submission that comes later.
struct CancelJob
{
  JobId id;
  Time at;
  std::optional<QueueAddress> address = {};
  TeamId team = {};
};

/// Removes the record of a job that has ended and has no assigned tasks.
struct RemoveJobRecord
{
  JobId id;
};

/// Assigns a task to a worker. Committed before the worker is called, so that a
/// later leader knows of the run.
struct AssignTask
{
  TaskId task;
  Attempt attempt;
  WorkerNumber worker;
};

/// The outcome of a run.
enum class RunOutcome : std::uint8_t
{
  /// The task succeeded.
  Succeeded,
  /// The run failed, because of the task or the worker, and counts towards
  /// the limit of failed attempts.
  Failed,
  /// The run never started or ended without a result; the task is rescheduled
  /// and no failure is counted.
  Lost,
};

/// Whether a run whose worker is silent may have crashed it.
enum class CrashSuspicion : std::uint8_t
{
  None,
  /// The run had begun shortly before, or its start request may have arrived.
  StartUnconfirmed,
  /// The run had been confirmed shortly before.
  StartConfirmed,
};

/// Records the end of a run, or the result of a run that was given up as lost
/// and whose task has not been assigned again. Committed before the worker is
/// allowed to discard its record of the end.
struct EndRun
{
  TaskId task;
  Attempt attempt;
  RunOutcome outcome = RunOutcome::Lost;
  /// The latest checkpoint; empty if there is none.
  std::string checkpoint;
  Time at;
  CrashSuspicion suspicion = CrashSuspicion::None;
  /// By which all hosts decide whether the job fails: with this many failed
  /// runs of the task or, in a gang, failures of all members together. 0 in
  /// entries of versions that did not state it. See
  /// JobStateMachine::StatedLimitOf.
  std::uint32_t maxAttempts = 0;
};

/// The registration data of one worker incarnation.
struct WorkerRecord
{
  WorkerId id = {};
  Incarnation incarnation = {};
  HostId host = {};
  Endpoint endpoint = {};
  PoolId pool = {};
  AvailabilityZoneId availabilityZone = {};
  RackId rack = {};
  std::vector<std::string> labels = {};
  Resources capacity = {};
  /// Leaving: no new tasks are assigned to it.
  bool isDraining = false;

  friend bool operator==(const WorkerRecord&, const WorkerRecord&) = default;
};

/// Registers a worker incarnation or updates its record.
struct RegisterWorker
{
  WorkerRecord worker;
};

/// Removes a worker incarnation on which no task is running any more.
struct RetireWorker
{
  WorkerNumber worker;
};

/// Starts a wave: the hosts must be maintained by a deadline.
struct StartWave
{
  WaveId id;
  std::vector<HostId> hosts;
  /// Maximum number of hosts under maintenance at the same time.
  std::uint32_t maxConcurrentHosts = 1;
  /// The leader's wall clock time.
  Time deadline;
};

/// Records that the maintenance of one host of a wave has begun.
struct BeginMaintenance
{
  WaveId wave;
  HostId host;
};

/// Records the intent to send the provider an order for a host. Committed
/// before the order is sent, so that the next leader knows which hosts may have
/// an order outstanding.
struct RecordOrderIntent
{
  HostId host;
  /// The leader's wall clock time.
  Time at;
};

/// Records that the worker has confirmed the start of a run, and that no start
/// request of the attempt can be executed any more.
struct ConfirmStart
{
  TaskId task;
  Attempt attempt;
};

/// Records that a worker crashed under an attempt of a task. Counts once for
/// each attempt, whether the task is still assigned to that worker or not.
struct RecordCrash
{
  TaskId task;
  Attempt attempt;
  /// Whether the worker was known to have started the attempt. If not, the
  /// start may never have reached it.
  bool isStartConfirmed = false;
  /// The leader's wall clock time.
  Time at;
};

/// Records that the worker that is suspected to have crashed under runs is up
/// in the same incarnation, so that they have not crashed it.
struct DismissSuspicions
{
  WorkerId worker;
  Incarnation incarnation;
};

/// Records that the start request of a run is about to be sent again. Committed
/// before, so that a later leader knows whether a copy of it may be outstanding
/// although the run has begun.
struct RepeatStart
{
  TaskId task;
  Attempt attempt;
};

using Operation = std::variant<PutConfiguration,
                               AcceptJob,
                               CancelJob,
                               RemoveJobRecord,
                               AssignTask,
                               EndRun,
                               RegisterWorker,
                               RetireWorker,
                               StartWave,
                               BeginMaintenance,
                               RecordOrderIntent,
                               ConfirmStart,
                               RecordCrash,
                               DismissSuspicions,
                               RepeatStart>;
using Operations = std::vector<Operation>;

/// Encodes \p aOperations as one log entry.
std::string
Encode(const Operations& aOperations);

/// An upper bound for the size that \p aOperation adds to a log entry.
std::size_t
EncodedSizeBound(const Operation& aOperation);

/// Decodes one log entry.
/// \returns nothing, and in \p aReason Malformed if the entry can't be decoded
/// or Unsupported if it has an unknown operation code.
std::optional<Operations>
Decode(std::string_view aBytes, Error& aReason);

} // namespace greengage::jobs

#endif // GREENGAGE_JOBS_OPERATION_H
