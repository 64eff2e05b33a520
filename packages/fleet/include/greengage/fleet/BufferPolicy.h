/// \file
/// Policies for the number of spare hosts in the fleet. Spare hosts have a
/// constant holding cost; with too few of them, teams get less than their
/// shares when a rack or zone is lost.

#ifndef GREENGAGE_FLEET_BUFFERPOLICY_H
#define GREENGAGE_FLEET_BUFFERPOLICY_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/fleet/Demand.h"
#include "greengage/fleet/Host.h"
#include "greengage/fleet/PoolRegistry.h"
#include "greengage/fleet/Weights.h"

#include <cstdint>

namespace greengage::fleet {

/// The largest failure domain whose loss the spares must cover completely,
/// regardless of cost.
enum class CoveredDomain : std::uint8_t
{
  None,
  Rack,
  Zone,
};

/// Costs and outage rates that determine the number of spares.
struct BufferCosts
{
  CoveredDomain covered = CoveredDomain::Rack;
  /// Cost of holding one spare host for a day.
  double spareCostPerDay = 1;
  /// Cost of leaving the demand of one host unmet for an hour.
  double shortfallCostPerHour = 5;
  /// Expected rack and zone outages per day in the whole fleet, not for each
  /// rack or zone.
  double rackLossesPerDay = 1.0 / 45;
  double zoneLossesPerDay = 3.0 / 365;
  /// The duration of one rack outage and of one zone outage.
  Duration rackOutage = Duration::Seconds(8 * 3600);
  Duration zoneOutage = Duration::Seconds(4 * 3600);
};

/// The fleet and the demand that the spares are sized for.
struct BufferInput
{
  const PoolRegistry& registry;
  const DemandByPool& demand;
  PoolId sparePool;
  Slots slotsPerHost;
  /// Number of hosts that maintenance may take down at once.
  Hosts maxInMaintenance;
};

/// A number of spares and the figures that justify it.
struct BufferSizing
{
  Hosts spares;
  /// The failure domain whose loss would leave the most hosts missing.
  Placement worstDomain;
  /// Whether the worst domain is a whole zone, in which case its rack is empty.
  bool isWorstZone = false;
  /// Number of hosts that would be missing after its loss if there were no
  /// spares.
  Hosts worstShortfall;
  /// Cost per day of holding the spares, and expected cost per day of unmet
  /// demand.
  double holdingCost = 0;
  double shortfallCost = 0;
};

/// Decides how many spare hosts to hold.
class BufferPolicy
{
public:
  virtual ~BufferPolicy() = default;
  virtual BufferSizing Size(const BufferInput& aInput) const = 0;
};

/// Baseline policy with a fixed number of spares. The costs in its result
/// assume the default BufferCosts.
class FixedBufferPolicy final : public BufferPolicy
{
public:
  explicit FixedBufferPolicy(Hosts aSpares)
    : spares_(aSpares)
  {
  }
  BufferSizing Size(const BufferInput& aInput) const override;

private:
  Hosts spares_;
};

/// Minimizes the weighted sum of the holding cost and the expected cost of
/// unmet demand over the losses of each rack and zone. The result covers the
/// loss of any single domain up to the covered kind. If no number of spares can
/// do that, because all of them are in the one domain that is lost, the result
/// is zero spares.
class CostOptimizedBufferPolicy final : public BufferPolicy
{
public:
  CostOptimizedBufferPolicy(BufferCosts aCosts, FleetWeights aWeights)
    : costs_(aCosts)
    , weights_(aWeights)
  {
  }
  BufferSizing Size(const BufferInput& aInput) const override;

private:
  BufferCosts costs_;
  FleetWeights weights_;
};

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_BUFFERPOLICY_H
