/// \file
/// The identifiers of jobs, queues and workers.

#ifndef GREENGAGE_JOBS_IDS_H
#define GREENGAGE_JOBS_IDS_H

#include "greengage/core/StrongId.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengage::jobs {

/// A job, chosen by its client: 64 bits, written as 16 hexadecimal digits.
using JobId = StrongId<struct JobTag, std::uint64_t>;
/// A queue of the configuration.
using QueueId = StrongId<struct QueueTag, std::string>;
/// A worker process, as it names itself.
using WorkerId = StrongId<struct WorkerTag, std::string>;
/// The place of a worker's incarnation in the agreed registry.
using WorkerNumber = StrongId<struct WorkerNumberTag, std::uint32_t>;
/// Which life of a worker is meant: the Unix millisecond of its start.
using Incarnation = StrongId<struct WorkerIncarnationTag, std::int64_t>;
/// The host that a worker is one life of.
using HostId = StrongId<struct FleetHostTag, std::string>;
/// Counts the starts of one task from 1.
using Attempt = StrongId<struct AttemptTag, std::uint32_t>;
/// Numbers the ends that one incarnation of a worker lists, from 1.
using EndNumber = StrongId<struct EndNumberTag, std::uint64_t>;
/// Fencing token: workers do nothing for a lower one than they have seen.
using Fence = StrongId<struct FenceTag, std::uint64_t>;
/// A version of the configuration; versions grow in uneven steps.
using ConfigurationVersion =
  StrongId<struct ConfigurationVersionTag, std::uint64_t>;
/// A wave of host upkeep.
using WaveId = StrongId<struct WaveTag, std::uint64_t>;

/// One step of one occurrence of a job.
struct StepId
{
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  friend auto operator<=>(const StepId&, const StepId&) = default;
};

/// One task: its job, the occurrence of the job, the step and the place in it.
/// All but the job count from 0.
struct TaskId
{
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

/// The step that a task is of.
StepId
StepOf(const TaskId& aTask);

/// Reads 16 lower-case hexadecimal digits.
std::optional<JobId>
ParseJobId(std::string_view aText);

/// The text that ParseJobId reads.
std::string
ToString(JobId aJob);

/// "JOB.OCCURRENCE.STEP".
std::string
ToString(const StepId& aStep);

/// "JOB.OCCURRENCE.STEP.INDEX".
std::string
ToString(const TaskId& aTask);

/// Reads the text of ToString.
std::optional<TaskId>
ParseTaskId(std::string_view aText);

} // namespace greengage::jobs

#endif // GREENGAGE_JOBS_IDS_H
