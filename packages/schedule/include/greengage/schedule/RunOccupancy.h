/// \file
/// How long runs keep their places on workers, compared with the run times of
/// their tasks. Reads no clock.

#ifndef GREENGAGE_SCHEDULE_RUNOCCUPANCY_H
#define GREENGAGE_SCHEDULE_RUNOCCUPANCY_H

#include "greengage/core/Units.h"

#include <optional>

namespace greengage::schedule {

/// Moving averages over the runs of a pool that have succeeded. A place is
/// taken from the decision to start the run there until its end is committed,
/// so that a leader or a log that is slow lengthens the time.
class RunOccupancy
{
public:
  /// Counts a run that kept its place for \p aOccupied. \p aExpected is the
  /// expected run time of its task.
  void Add(Duration aExpected, Duration aOccupied);
  /// Zero if no run has been counted.
  Duration MeanExpected() const;
  Duration MeanOccupied() const;

private:
  struct Means
  {
    /// In milliseconds.
    double expected;
    double occupied;
  };
  std::optional<Means> means_;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_RUNOCCUPANCY_H
