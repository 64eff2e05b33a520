/// \file
/// The one source of time. Decisions never read a clock: the duty that drives
/// them does, and passes the time in, so that tests run on a manual clock.

#ifndef GREENGAGE_CORE_CLOCK_H
#define GREENGAGE_CORE_CLOCK_H

#include "greengage/core/Units.h"

namespace greengage {

/// A source of time in milliseconds.
class Clock
{
public:
  virtual ~Clock() = default;
  virtual Time Now() const = 0;
};

/// Time since boot. It never goes back, and it advances while the process or
/// the machine is suspended, so that a lease held across a freeze has expired.
class BootClock final : public Clock
{
public:
  Time Now() const override;
};

/// Time since 1970 in UTC. Only for records that people read.
class WallClock final : public Clock
{
public:
  Time Now() const override;
};

/// A clock that tests move by hand.
class ManualClock final : public Clock
{
public:
  explicit ManualClock(Time aStart = Time(0))
    : now_(aStart)
  {
  }
  Time Now() const override { return now_; }
  void Advance(Duration aSpan) { now_ = now_ + aSpan; }

private:
  Time now_;
};

} // namespace greengage

#endif // GREENGAGE_CORE_CLOCK_H
