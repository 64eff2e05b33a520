/// \file
/// Whether a request can still meet its deadline, judged at the door, so that
/// its caller hears "not run" at once and not when the deadline has passed.

#ifndef GREENGAGE_DISPATCH_DEADLINEGATE_H
#define GREENGAGE_DISPATCH_DEADLINEGATE_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>

namespace greengage::dispatch {

/// How sure the gate must be.
struct DeadlineGateOptions
{
  /// Over how long the pace of starts is measured.
  Duration window = Duration::Seconds(4);
  /// How long a team must have had requests waiting before its pace counts.
  Duration minBacklogAge = Duration::Seconds(2);
  /// A request is let in if so many times the measured pace would do.
  double rateMargin = 2;
};

/// The paces at which the waiting requests of teams are started in pools.
class DeadlineGate
{
public:
  /// A request at the door.
  struct Arrival
  {
    PoolId pool;
    TeamId team;
    /// Waiting requests of the team that are started before it.
    std::size_t ahead = 0;
    /// How long it runs at least.
    Duration leastRun;
    Time deadline;
  };

  explicit DeadlineGate(DeadlineGateOptions aOptions = {})
    : options_(aOptions)
  {
  }

  /// Notes that a request was started and how many still wait.
  void NoteStart(const PoolId& aPool,
                 const TeamId& aTeam,
                 std::size_t aWaiting,
                 Time aNow);
  /// How long to wait before another try, if the deadline can't be met.
  std::optional<Duration> Refuse(const Arrival& aArrival, Time aNow);

private:
  struct StartRate
  {
    /// Starts, each counting less as it gets older.
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
