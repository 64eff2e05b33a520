/// \file
/// Which hosts to move between pools. A plan is advice over a picture; each
/// move begins by a command that the registry may refuse.

#ifndef GREENGAGE_FLEET_MOVEPLANNER_H
#define GREENGAGE_FLEET_MOVEPLANNER_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/fleet/BudgetPicture.h"
#include "greengage/fleet/Demand.h"
#include "greengage/fleet/PoolRegistry.h"
#include "greengage/fleet/Weights.h"

#include <vector>

namespace greengage::fleet {

/// What moves are planned from.
struct MoveInput
{
  const PoolRegistry& registry;
  const BudgetPicture& budgets;
  /// Of the working pools; pools that are missing here ask for nothing.
  const DemandByPool& demand;
  PoolId sparePool;
  /// Hosts that the spare pool is meant to have.
  Hosts spareTarget;
  Slots slotsPerHost;
  Time now;
};

/// One move to begin.
struct PlannedMove
{
  HostId host;
  PoolId from;
  PoolId to;
};

/// The command that begins \p aMove, based on the registry it was planned on.
BeginMove
MakeBeginMove(const PlannedMove& aMove,
              const PoolRegistry& aRegistry,
              Time aNow);

/// A way to plan moves.
class MovePlanner
{
public:
  virtual ~MovePlanner() = default;
  /// The moves to begin now; each host is named once.
  virtual std::vector<PlannedMove> Plan(const MoveInput& aInput) const = 0;
};

/// The baseline: hosts follow the demand, whichever is given as its measure.
class ReactiveMovePlanner final : public MovePlanner
{
public:
  explicit ReactiveMovePlanner(double PoolDemand::*aMeasure = &PoolDemand::now)
    : demandMeasure_(aMeasure)
  {
  }
  std::vector<PlannedMove> Plan(const MoveInput& aInput) const override;

private:
  double PoolDemand::*demandMeasure_;
};

/// The bounds of moves.
struct DampedMoveOptions
{
  FleetWeights weights;
  /// How long a host stays in a pool at least.
  Duration minStay = Duration::Seconds(2 * 3600);
  /// How long a host in maintenance is expected to be away.
  Duration maintenance = Duration::Seconds(20 * 60);
  /// What a move costs, as time of one host.
  Duration moveCost = Duration::Seconds(20 * 60);
  /// Hosts that a pool holds beyond the mean demand, as a part of it.
  double headroom = 0.1;
};

/// Moves hosts by the mean demand only, if the demand they meet during the
/// minimum stay is worth more than the move, and not before they have stayed.
/// Hosts go back to the spare pool only to fill it, from pools that have some
/// over in their high hours too.
class DampedMovePlanner final : public MovePlanner
{
public:
  explicit DampedMovePlanner(DampedMoveOptions aOptions)
    : options_(aOptions)
  {
  }
  std::vector<PlannedMove> Plan(const MoveInput& aInput) const override;

private:
  DampedMoveOptions options_;
};

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_MOVEPLANNER_H
