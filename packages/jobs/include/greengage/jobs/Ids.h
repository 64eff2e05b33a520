/// \file
/// Identifiers of jobs, queues, workers and hosts, and their text forms.

#ifndef GREENGAGE_JOBS_IDS_H
#define GREENGAGE_JOBS_IDS_H

#include "greengage/core/StrongId.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengage::jobs {

/// Job id, chosen by the client: 64 bits, written as 16 hexadecimal digits.
using JobId = StrongId<struct JobTag, std::uint64_t>;
/// Name of a queue in the configuration.
using QueueId = StrongId<struct QueueTag, std::string>;
/// Name that a worker reports for itself; kept across restarts.
using WorkerId = StrongId<struct WorkerTag, std::string>;
/// Identifies one incarnation of a worker in the replicated state.
using WorkerNumber = StrongId<struct WorkerNumberTag, std::uint32_t>;
/// Incarnation of a worker: its start time in Unix milliseconds.
using Incarnation = StrongId<struct WorkerIncarnationTag, std::int64_t>;
/// The host that a worker runs on.
using HostId = StrongId<struct FleetHostTag, std::string>;
/// Attempt number of a task, counted from 1.
using Attempt = StrongId<struct AttemptTag, std::uint32_t>;
/// Sequence number of a run end that one incarnation of a worker reports,
/// counted from 1.
using RunEndSequence = StrongId<struct RunEndSequenceTag, std::uint64_t>;
/// Fencing token: a worker refuses a call whose token is lower than the highest
/// that it has seen.
using FencingToken = StrongId<struct FencingTokenTag, std::uint64_t>;
/// Configuration version; versions increase but need not be consecutive.
using ConfigurationVersion =
  StrongId<struct ConfigurationVersionTag, std::uint64_t>;
/// A wave of host maintenance.
using WaveId = StrongId<struct WaveTag, std::uint64_t>;

/// One step of one occurrence of a job.
struct StepId
{
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  friend auto operator<=>(const StepId&, const StepId&) = default;
};

/// One task: its job, the occurrence of the job, the step and the task's index
/// in the step. The occurrence, the step and the index are counted from 0.
struct TaskId
{
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

/// The step that \p aTask belongs to.
StepId
StepOf(const TaskId& aTask);

/// Parses exactly 16 lower-case hexadecimal digits.
std::optional<JobId>
ParseJobId(std::string_view aText);

/// The form that ParseJobId accepts.
std::string
ToString(JobId aJob);

/// "JOB.OCCURRENCE.STEP".
std::string
ToString(const StepId& aStep);

/// "JOB.OCCURRENCE.STEP.INDEX".
std::string
ToString(const TaskId& aTask);

/// Parses the form that ToString(const TaskId&) returns.
std::optional<TaskId>
ParseTaskId(std::string_view aText);

} // namespace greengage::jobs

#endif // GREENGAGE_JOBS_IDS_H
