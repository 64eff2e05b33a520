/// \file
/// What a client hands in: a job of steps, each of equal tasks.

#ifndef GREENGAGE_JOBS_JOB_H
#define GREENGAGE_JOBS_JOB_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/jobs/Ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace greengage::jobs {

/// What a task takes of a worker, or what a worker or a team's quota has.
struct Resources
{
  MilliCores processors;
  Mebibytes memory;
  Accelerators accelerators;

  friend bool operator==(const Resources&, const Resources&) = default;
  Resources& operator+=(const Resources& aOther);
  Resources& operator-=(const Resources& aOther);
};

/// Whether \p aRequest fits into what \p aRoom has beside \p aUsed.
bool
Fits(const Resources& aRequest, const Resources& aUsed, const Resources& aRoom);

/// Equal tasks of a job.
struct Step
{
  std::uint32_t count = 1;
  Resources request = {};
  /// The client's rough estimate of one task's run time.
  Duration estimate = {};
  /// Steps whose tasks must all have succeeded first.
  std::vector<std::uint32_t> after = {};
  /// The tasks save their progress while they run.
  bool checkpoints = false;
  /// The tasks work only while all of them run, and end together.
  bool isGang = false;
  /// The tasks are slower on more than one rack.
  bool wantsOneRack = false;
  /// The worker must have this label; empty if any will do.
  std::string requiredLabel = {};
  /// The rack that holds the data; empty if there is none.
  RackId preferredRack = {};
  /// Tasks of this step that one worker may run; 0 if there is no limit.
  std::uint32_t maxPerWorker = 0;
  /// A task may run in several copies.
  bool allowsCopies = false;
  /// The tasks run until the job is cancelled and are restarted when they end.
  bool isPersistent = false;
  /// Tasks of one image behave alike.
  std::string image = {};
  /// The tail latency that the tasks must keep for their own users; 0 if they
  /// serve nobody.
  Duration targetLatency = {};
  /// The tasks use the processors that others leave idle: their request does
  /// not count against a worker's processors.
  bool usesIdleProcessors = false;
  /// Tasks that the system may make unavailable at the same time.
  std::uint32_t maxUnavailable = 0;

  friend bool operator==(const Step&, const Step&) = default;
};

/// A job that runs several times.
struct Recurrence
{
  /// How often the steps run; 0 for a job that runs once, at once.
  std::uint32_t count = 0;
  /// When the first occurrence is due, on the wall clock.
  Time first = {};
  Duration interval = {};

  friend bool operator==(const Recurrence&, const Recurrence&) = default;
};

/// What a client asks for.
struct JobDescription
{
  /// What workers get with each task; opaque to the system.
  std::string payload;
  std::vector<Step> steps;
  Recurrence recurrence = {};

  friend bool operator==(const JobDescription&,
                         const JobDescription&) = default;
};

/// The sum of the estimates along the longest chain of steps.
Duration
LongestChain(const JobDescription& aJob);

} // namespace greengage::jobs

#endif // GREENGAGE_JOBS_JOB_H
