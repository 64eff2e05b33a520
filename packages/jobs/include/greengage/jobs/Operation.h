/// \file
/// The changes of the agreed job state, and their encoding in the log.

#ifndef GREENGAGE_JOBS_OPERATION_H
#define GREENGAGE_JOBS_OPERATION_H

#include "greengage/core/Endpoint.h"
#include "greengage/core/Error.h"
#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/jobs/Ids.h"
#include "greengage/jobs/Job.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace greengage::jobs {

/// Replaces the configuration if the version in the text is higher.
struct PutConfiguration
{
  std::string text;
};

/// A job is accepted. A second one with the same id changes nothing.
struct AcceptJob
{
  JobId id;
  QueueId queue;
  /// Empty for a job of an open queue.
  TeamId team;
  /// On the wall clock of the leader.
  Time at;
  JobDescription description;
};

struct CancelJob
{
  JobId id;
  Time at;
};

/// The record of a job that ended long ago is dropped.
struct ForgetJob
{
  JobId id;
};

/// A task is to run on a worker. Committed before the worker is asked.
struct AssignTask
{
  TaskId task;
  Attempt attempt;
  WorkerNumber worker;
};

/// How a run of a task ended.
enum class RunEnd : std::uint8_t
{
  /// The task has succeeded.
  Done,
  /// The run failed, by the task's fault or the worker's.
  Failed,
  /// The run never began, or ended without a result.
  Lost,
};

/// A run has ended. Committed before the worker may forget the end.
struct EndTask
{
  TaskId task;
  Attempt attempt;
  RunEnd how = RunEnd::Lost;
  /// The progress saved last; empty if there is none.
  std::string checkpoint;
  Time at;
};

/// What a worker says of itself that lasts as long as it lives.
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
  /// It is leaving and takes no new work.
  bool isDraining = false;

  friend bool operator==(const WorkerRecord&, const WorkerRecord&) = default;
};

/// A worker has come, or says something new of itself.
struct RegisterWorker
{
  WorkerRecord worker;
};

/// An incarnation of a worker is gone, and nothing runs on it.
struct RetireWorker
{
  WorkerNumber worker;
};

/// Hosts are to have their upkeep by a deadline.
struct StartWave
{
  WaveId id;
  std::vector<HostId> hosts;
  /// Hosts that may be down for it at once.
  std::uint32_t maxAtOnce = 1;
  /// On the wall clock of the leader.
  Time deadline;
};

/// The upkeep of one host of a wave has begun.
struct BeginUpkeep
{
  WaveId wave;
  HostId host;
};

/// The provider is about to get an order for a host. Committed before it is
/// given, so that the next leader knows which hosts may be under an order.
struct AnnounceOrder
{
  HostId host;
};

using Operation = std::variant<PutConfiguration,
                               AcceptJob,
                               CancelJob,
                               ForgetJob,
                               AssignTask,
                               EndTask,
                               RegisterWorker,
                               RetireWorker,
                               StartWave,
                               BeginUpkeep,
                               AnnounceOrder>;
using Operations = std::vector<Operation>;

/// The bytes of one log entry.
std::string
Encode(const Operations& aOperations);

/// \returns nothing, with Malformed, for bytes that Encode did not make.
std::optional<Operations>
Decode(std::string_view aBytes, Error& aReason);

} // namespace greengage::jobs

#endif // GREENGAGE_JOBS_OPERATION_H
