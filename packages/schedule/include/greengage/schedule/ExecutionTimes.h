/// \file
/// How long runs or steps take, compared with what is expected. Reads no clock.

#ifndef GREENGAGE_SCHEDULE_EXECUTIONTIMES_H
#define GREENGAGE_SCHEDULE_EXECUTIONTIMES_H

#include "greengage/core/Units.h"

#include <optional>

namespace greengage::schedule {

/// Moving averages of expected and actual times.
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

/// The latest times in a pool, as far as tasks have succeeded.
struct PoolTimes
{
  /// Of runs: from the decision to place a run on a worker until its end is
  /// committed and the place is free, compared with the run time of the task. A
  /// leader or a log that is slow lengthens it.
  ExecutionTimes runs;
  /// Of steps: from the first placement of a task until the end of the last one
  /// is committed, compared with the run time of one task.
  ExecutionTimes steps;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_EXECUTIONTIMES_H
