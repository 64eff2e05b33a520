/// \file
/// How long runs keep their places on workers, compared with the run times of
/// their tasks. Reads no clock.

#ifndef GREENGAGE_SCHEDULE_EXECUTIONTIMES_H
#define GREENGAGE_SCHEDULE_EXECUTIONTIMES_H

#include "greengage/core/Units.h"

#include <optional>

namespace greengage::schedule {

/// Moving averages over the latest runs of a pool that have succeeded. A place
/// is taken from the decision to start the run there until its end is
/// committed, so that a leader or a log that is slow lengthens the actual time.
class ExecutionTimes
{
public:
  void Add(Duration aExpected, Duration aActual);
  /// Zero if nothing has been added.
  Duration MeanExpected() const;
  Duration MeanActual() const;
  /// By how much the actual times exceed the expected ones; at least zero.
  Duration Overhead() const;
  /// The expected time as a part of the actual one; 1 if nothing has been
  /// added.
  double Efficiency() const;

private:
  struct Means
  {
    /// In milliseconds.
    double expected;
    double actual;
  };
  std::optional<Means> means_;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_EXECUTIONTIMES_H
