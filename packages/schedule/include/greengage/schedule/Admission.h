/// \file
/// Decides whether a job is accepted. Reads no clock and does no I/O: the load
/// and the time are arguments.

#ifndef GREENGAGE_SCHEDULE_ADMISSION_H
#define GREENGAGE_SCHEDULE_ADMISSION_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/jobs/Ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace greengage::schedule {

/// Processor time: thousandths of a core for a millisecond.
using MilliCoreMillis = Quantity<struct MilliCoreMillisTag>;

/// Work that is left to do, and what can do it.
struct Load
{
  MilliCoreMillis backlog;
  /// The most that can work on the backlog at once; zero if that is not known.
  MilliCores capacity;

  /// How long the backlog takes at least; zero if the capacity is not known.
  Duration DrainTime() const;
};

/// A job that a client hands in.
struct JobOffer
{
  jobs::JobId job;
  /// The expected run time of the critical path.
  Duration path;
  /// From handing in to the time by which the job should be done.
  Duration objective;
  /// The accepted jobs of the pool, and those of the team, whose quota is the
  /// capacity.
  Load pool;
  Load team;
};

struct AdmissionDecision
{
  bool isAdmitted = false;
  /// The time from which the objective of an admitted job counts. Earlier than
  /// now for a client that comes back, so that it goes before those who come
  /// anew, but not so early that the job counts as late.
  Time acceptedAt;
  /// When to hand the job in again. Zero if it is admitted.
  Duration retryAfter;
};

/// Decides which jobs are accepted. An accepted job is always carried out.
class AdmissionPolicy
{
public:
  virtual ~AdmissionPolicy() = default;
  virtual AdmissionDecision Decide(const JobOffer& aOffer, Time aNow) = 0;
};

/// Answers a burst that is far beyond the fleet, or a team that floods its
/// quota: jobs that would be worthless by the time they end, even if the whole
/// capacity worked on the backlog, are rejected at once. A job that is only
/// late is accepted, since it is still worth something to its client.
class BacklogAdmission final : public AdmissionPolicy
{
public:
  AdmissionDecision Decide(const JobOffer& aOffer, Time aNow) override;

private:
  struct Rejection
  {
    Time firstOfferedAt;
    std::size_t count = 0;
  };

  void ForgetOldRejections(Time aNow);

  std::unordered_map<jobs::JobId, Rejection> rejections_;
  /// The rejected jobs in the order of their first offers.
  std::deque<jobs::JobId> order_;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_ADMISSION_H
