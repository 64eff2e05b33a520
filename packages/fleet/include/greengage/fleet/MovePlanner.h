/// \file
/// Selects hosts to move between pools. A plan is advisory and based on a
/// snapshot; each move begins with a command that the registry may refuse.

#ifndef GREENGAGE_FLEET_MOVEPLANNER_H
#define GREENGAGE_FLEET_MOVEPLANNER_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/fleet/BudgetSnapshot.h"
#include "greengage/fleet/Demand.h"
#include "greengage/fleet/PoolRegistry.h"
#include "greengage/fleet/Weights.h"

#include <vector>

namespace greengage::fleet {

/// The input of a move planner.
struct MoveInput
{
  const PoolRegistry& registry;
  const BudgetSnapshot& budgets;
  /// The demand of the working pools; absent pools have none.
  const DemandByPool& demand;
  PoolId sparePool;
  /// The target size of the spare pool.
  Hosts spareTarget;
  Slots slotsPerHost;
  Time now;
};

/// A move that the plan proposes.
struct PlannedMove
{
  HostId host;
  PoolId from;
  PoolId to;
};

/// Returns the command that begins \p aMove. \p aRegistry must be the one that
/// the move was planned on: the command carries the host's epoch from it, by
/// which the replicated registry detects an outdated plan.
BeginMove
MakeBeginMove(const PlannedMove& aMove,
              const PoolRegistry& aRegistry,
              Time aNow);

/// Interface of move planning policies.
class MovePlanner
{
public:
  virtual ~MovePlanner() = default;
  /// Returns the moves to begin now, at most one per host.
  virtual std::vector<PlannedMove> Plan(const MoveInput& aInput) const = 0;
};

/// The baseline policy: pool sizes follow the given measure of demand, without
/// a minimum stay or a move cost.
class ReactiveMovePlanner final : public MovePlanner
{
public:
  explicit ReactiveMovePlanner(
    double PoolDemand::*aMeasure = &PoolDemand::latest)
    : demandMeasure_(aMeasure)
  {
  }
  std::vector<PlannedMove> Plan(const MoveInput& aInput) const override;

private:
  double PoolDemand::*demandMeasure_;
};

/// Limits and costs of moves.
struct HysteresisMoveOptions
{
  FleetWeights weights;
  /// The minimum time that a host stays in a working pool.
  Duration minStay = Duration::Seconds(2 * 3600);
  /// The expected duration of a host's maintenance.
  Duration maintenance = Duration::Seconds(20 * 60);
  /// The cost of a move, as the time for which the host serves no demand.
  Duration moveCost = Duration::Seconds(20 * 60);
  /// Capacity in excess of the mean demand, as a fraction of it.
  double headroom = 0.1;
};

/// Plans by the mean demand, with hysteresis. A host moves only if the demand
/// that it serves during the minimum stay outweighs the cost of the move, and
/// only after its minimum stay in the present pool and within the availability
/// budgets; spare hosts are exempt from the last two conditions. Hosts return
/// to the spare pool only to refill it, from pools with a surplus even at peak
/// demand.
class HysteresisMovePlanner final : public MovePlanner
{
public:
  explicit HysteresisMovePlanner(HysteresisMoveOptions aOptions)
    : options_(aOptions)
  {
  }
  std::vector<PlannedMove> Plan(const MoveInput& aInput) const override;

private:
  HysteresisMoveOptions options_;
};

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_MOVEPLANNER_H
