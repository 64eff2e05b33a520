/// \file
/// Quantities with their units in the type. All time is in milliseconds.

#ifndef GREENGAGE_CORE_UNITS_H
#define GREENGAGE_CORE_UNITS_H

#include <compare>
#include <cstdint>

namespace greengage {

/// A span of time in milliseconds.
class Duration
{
public:
  constexpr Duration() = default;
  constexpr explicit Duration(std::int64_t aMillis)
    : millis_(aMillis)
  {
  }
  static constexpr Duration Seconds(std::int64_t aSeconds)
  {
    return Duration(aSeconds * kMillisPerSecond);
  }
  constexpr std::int64_t Millis() const { return millis_; }

  friend constexpr auto operator<=>(Duration, Duration) = default;
  friend constexpr Duration operator+(Duration aLeft, Duration aRight)
  {
    return Duration(aLeft.millis_ + aRight.millis_);
  }
  friend constexpr Duration operator-(Duration aLeft, Duration aRight)
  {
    return Duration(aLeft.millis_ - aRight.millis_);
  }
  friend constexpr Duration operator*(Duration aLeft, std::int64_t aFactor)
  {
    return Duration(aLeft.millis_ * aFactor);
  }

private:
  static constexpr std::int64_t kMillisPerSecond = 1000;
  std::int64_t millis_ = 0;
};

/// A point in time in milliseconds since an epoch of the clock that gave it.
class Time
{
public:
  constexpr Time() = default;
  constexpr explicit Time(std::int64_t aMillis)
    : millis_(aMillis)
  {
  }
  constexpr std::int64_t Millis() const { return millis_; }

  friend constexpr auto operator<=>(Time, Time) = default;
  friend constexpr Time operator+(Time aTime, Duration aSpan)
  {
    return Time(aTime.millis_ + aSpan.Millis());
  }
  friend constexpr Time operator-(Time aTime, Duration aSpan)
  {
    return Time(aTime.millis_ - aSpan.Millis());
  }
  friend constexpr Duration operator-(Time aLeft, Time aRight)
  {
    return Duration(aLeft.millis_ - aRight.millis_);
  }

private:
  std::int64_t millis_ = 0;
};

/// A whole quantity of the unit that \p Tag names.
template<typename Tag>
class Quantity
{
public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(std::int64_t aCount)
    : count_(aCount)
  {
  }
  constexpr std::int64_t Count() const { return count_; }

  friend constexpr auto operator<=>(Quantity, Quantity) = default;
  friend constexpr Quantity operator+(Quantity aLeft, Quantity aRight)
  {
    return Quantity(aLeft.count_ + aRight.count_);
  }
  friend constexpr Quantity operator-(Quantity aLeft, Quantity aRight)
  {
    return Quantity(aLeft.count_ - aRight.count_);
  }
  constexpr Quantity& operator+=(Quantity aOther)
  {
    count_ += aOther.count_;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity aOther)
  {
    count_ -= aOther.count_;
    return *this;
  }

private:
  std::int64_t count_ = 0;
};

/// Requests that an upstream can run at once.
using Slots = Quantity<struct SlotsTag>;
/// Connections that an upstream accepts at once.
using Connections = Quantity<struct ConnectionsTag>;
/// Thousandths of a processor core.
using MilliCores = Quantity<struct MilliCoresTag>;
/// Memory in mebibytes.
using Mebibytes = Quantity<struct MebibytesTag>;
/// Accelerator devices.
using Accelerators = Quantity<struct AcceleratorsTag>;

} // namespace greengage

#endif // GREENGAGE_CORE_UNITS_H
