/// \file
/// Deadline check at admission. A request that can't meet its deadline is
/// refused at once as not run, rather than failed when the deadline has passed.

#ifndef GREENGAGE_DISPATCH_DEADLINEGATE_H
#define GREENGAGE_DISPATCH_DEADLINEGATE_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>

namespace greengage::dispatch {

/// When the gate refuses a request.
struct DeadlineGateOptions
{
  /// Time constant of the exponential decay of the start rate.
  Duration window = Duration::Seconds(4);
  /// How long a team must have had requests waiting before its measured start
  /// rate is used.
  Duration minBacklogAge = Duration::Seconds(2);
  /// A request is admitted if it would start in time at this multiple of the
  /// measured start rate.
  double rateMargin = 2;
};

/// Measures the rate at which each team's requests start in each pool, and
/// refuses requests that can't start in time at that rate.
class DeadlineGate
{
public:
  /// A request to be admitted or refused.
  struct Arrival
  {
    PoolId pool;
    TeamId team;
    /// Waiting requests of the team that start before this one.
    std::size_t queuedAhead = 0;
    /// Its estimated minimum run time.
    Duration minRunTime;
    Time deadline;
  };

  explicit DeadlineGate(DeadlineGateOptions aOptions = {})
    : options_(aOptions)
  {
  }

  /// Records the start of a request; \p aWaiting other requests of the team are
  /// still queued. The backlog of the team ends when there are none.
  void RecordStart(const PoolId& aPool,
                   const TeamId& aTeam,
                   std::size_t aWaiting,
                   Time aNow);
  /// \returns the delay before a retry if the deadline can't be met, or nothing
  /// if the request is admitted.
  std::optional<Duration> CheckDeadline(const Arrival& aArrival, Time aNow);

private:
  struct StartRate
  {
    /// Starts, weighted by exponential decay with age.
    double starts = 0;
    Time updatedAt;
    std::optional<Time> backlogSince;
  };

  void Decay(StartRate& aRate, Time aNow) const;

  DeadlineGateOptions options_;
  std::map<std::pair<PoolId, TeamId>, StartRate> startRates_;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_DEADLINEGATE_H
