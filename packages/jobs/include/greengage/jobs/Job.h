/// \file
/// Job descriptions as clients submit them: a graph of steps, each with a
/// number of identical tasks.

#ifndef GREENGAGE_JOBS_JOB_H
#define GREENGAGE_JOBS_JOB_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/jobs/Ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace greengage::jobs {

/// Resources that a task requests, or the capacity of a worker, or a team's
/// quota.
struct Resources
{
  MilliCores processors;
  Mebibytes memory;
  Accelerators accelerators;

  friend bool operator==(const Resources&, const Resources&) = default;
  Resources& operator+=(const Resources& aOther);
  Resources& operator-=(const Resources& aOther);
};

/// Whether \p aRequest fits into \p aCapacity when \p aUsed is already taken.
bool
Fits(const Resources& aRequest,
     const Resources& aUsed,
     const Resources& aCapacity);

/// A step of a job: a number of identical tasks.
struct Step
{
  std::uint32_t count = 1;
  Resources request = {};
  /// The client's rough estimate of one task's run time.
  Duration estimate = {};
  /// Indexes of the steps whose tasks must all succeed before this one starts.
  std::vector<std::uint32_t> dependencies = {};
  /// The tasks write checkpoints from which a later attempt can resume.
  bool writesCheckpoints = false;
  /// Gang scheduling: the tasks make progress only while all of them run, and
  /// they end together.
  bool isGang = false;
  /// The tasks run slower when they are spread over several racks.
  bool wantsOneRack = false;
  /// The label that a worker must have; empty if any worker is eligible.
  std::string requiredLabel = {};
  /// The rack that holds the input data; empty if there is no preference.
  RackId preferredRack = {};
  /// Maximum number of tasks of this step on one worker; 0 for no limit.
  std::uint32_t maxPerWorker = 0;
  /// Several copies of a task may run at the same time.
  bool allowsSpeculativeCopies = false;
  /// The tasks run until the job is cancelled: a task that ends is restarted.
  bool isPersistent = false;
  /// Name of the program image; tasks with the same image behave alike.
  std::string image = {};
  /// Tail latency objective of tasks that serve requests; 0 if they serve none.
  Duration targetLatency = {};
  /// Best-effort tasks that use idle processor time: their processor request is
  /// not charged against the worker's capacity.
  bool usesIdleProcessors = false;
  /// Disruption budget: a task may be stopped only while fewer than this many
  /// other tasks of the step are unavailable.
  std::uint32_t maxUnavailable = 0;

  friend bool operator==(const Step&, const Step&) = default;
};

/// The schedule of a job that runs several times.
struct Recurrence
{
  /// Number of occurrences; 0 for a job that runs once, immediately.
  std::uint32_t count = 0;
  /// Wall clock time of the first occurrence.
  Time firstDueAt = {};
  Duration interval = {};

  friend bool operator==(const Recurrence&, const Recurrence&) = default;
};

/// The part of a job that its client specifies.
struct JobDescription
{
  /// Passed to the worker with each task; opaque to the scheduler.
  std::string payload;
  std::vector<Step> steps;
  Recurrence recurrence = {};

  friend bool operator==(const JobDescription&,
                         const JobDescription&) = default;
};

/// Length of the critical path: the largest sum of estimates along a chain of
/// dependent steps.
Duration
CriticalPathLength(const JobDescription& aJob);

/// Whether the job is to be done by some time after it was handed in: jobs with
/// persistent tasks or occurrences are not.
bool
HasObjective(const JobDescription& aJob);

} // namespace greengage::jobs

#endif // GREENGAGE_JOBS_JOB_H
