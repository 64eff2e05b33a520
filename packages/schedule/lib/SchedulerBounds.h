/// \file
/// Constants shared by the source files of the scheduler.

#ifndef GREENGAGE_SCHEDULE_LIB_SCHEDULERBOUNDS_H
#define GREENGAGE_SCHEDULE_LIB_SCHEDULERBOUNDS_H

#include "greengage/core/Units.h"

#include <cstddef>
#include <cstdint>

namespace greengage::schedule::detail {

inline constexpr std::int64_t kPercent = 100;

/// A job is worth something to its client until this many times its objective
/// has passed, by the users' rules.
inline constexpr std::int64_t kWorthlessFactor = 3;

/// Timeout of a start or stop request. Workers answer within a few
/// milliseconds; a lost packet is retransmitted after a few hundred.
inline constexpr Duration kCallTimeout = Duration(700);

/// Delay before an unanswered call is sent again.
inline constexpr Duration kRetryInterval = Duration(200);

/// How long an unanswered call may still be executed after it was sent: 12 s on
/// the users' platform, plus a margin.
inline constexpr Duration kMaxDeliveryDelay = Duration::Seconds(15);

/// The maximum number of ended runs in one reply, per the platform's
/// documentation.
inline constexpr std::size_t kMaxListedEnds = 500;

/// Uncertainty of the estimated clock offset of a worker.
inline constexpr Duration kClockUncertainty = Duration(250);

/// The lowest rate of a worker's clock, in percent of the local clock's, per
/// the platform's documentation.
inline constexpr std::int64_t kMinClockRatePercent = 98;

/// \returns the time on the local clock, counted from the renewal, after which
/// a lease of \p aLease has certainly expired on the worker. A worker's clock
/// may run up to 2 % slow, which lengthens the lease by slightly more than 2 %
/// on the local clock; 3 % covers that.
constexpr Duration
LeaseExpiryBound(Duration aLease)
{
  constexpr std::int64_t kSlowClockPercent = 3;
  return aLease + Duration(aLease.Millis() * kSlowClockPercent / kPercent) +
         kClockUncertainty;
}

} // namespace greengage::schedule::detail

#endif // GREENGAGE_SCHEDULE_LIB_SCHEDULERBOUNDS_H
