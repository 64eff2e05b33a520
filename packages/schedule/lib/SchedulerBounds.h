/// \file
/// Bounds that several parts of the scheduler share.

#ifndef GREENGAGE_SCHEDULE_LIB_SCHEDULERBOUNDS_H
#define GREENGAGE_SCHEDULE_LIB_SCHEDULERBOUNDS_H

#include "greengage/core/Units.h"

#include <cstddef>
#include <cstdint>

namespace greengage::schedule::detail {

inline constexpr std::int64_t kPercent = 100;

/// How long a start or stop may stay unanswered; a worker answers within a few
/// milliseconds, a lost packet comes again after some hundred.
inline constexpr Duration kCallTimeout = Duration(700);

/// Ends that a worker lists in one answer at most, by the platform's pages.
inline constexpr std::size_t kMaxListedEnds = 500;

/// What a worker's clock is known to.
inline constexpr Duration kLeaseSlack = Duration(250);

/// When a lease of \p aLease has run out by the own clock, counted from its
/// renewal: the worker's clock may be 2 % slow.
constexpr Duration
LongestLease(Duration aLease)
{
  constexpr std::int64_t kSlowClockPercent = 3;
  return aLease + Duration(aLease.Millis() * kSlowClockPercent / kPercent) +
         kLeaseSlack;
}

} // namespace greengage::schedule::detail

#endif // GREENGAGE_SCHEDULE_LIB_SCHEDULERBOUNDS_H
