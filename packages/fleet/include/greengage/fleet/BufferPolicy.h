/// \file
/// How many spare hosts the fleet holds. Spares cost money all the time; too
/// few of them cost closeness to the shares when a rack or zone is lost.

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

/// The failure domain that spares cover wholly, whatever that costs.
enum class CoveredDomain : std::uint8_t
{
  None,
  Rack,
  Zone,
};

/// Prices and rates that a buffer is sized by.
struct BufferPrices
{
  CoveredDomain covered = CoveredDomain::Rack;
  /// The cost of holding one spare host for a day.
  double hostDay = 1;
  /// The cost of one host's worth of demand unmet for an hour.
  double missingHostHour = 5;
  double rackLossesPerDay = 1.0 / 45;
  double zoneLossesPerDay = 3.0 / 365;
  Duration rackOutage = Duration::Seconds(8 * 3600);
  Duration zoneOutage = Duration::Seconds(4 * 3600);
};

/// What the fleet needs.
struct BufferInput
{
  const PoolRegistry& registry;
  const DemandByPool& demand;
  PoolId sparePool;
  /// Slots of one host.
  Slots slotsPerHost;
  /// Hosts that maintenance may have down at once.
  Hosts maintained;
};

/// A size of the buffer and what speaks for it.
struct BufferSize
{
  Hosts spares;
  /// The failure domain whose loss leaves the most demand unmet.
  Placement worst;
  /// True if the worst domain is the whole zone.
  bool isZone = false;
  /// Hosts that its loss leaves missing without any spare.
  Hosts worstShortfall;
  /// Per day: holding the spares, and the demand expected to stay unmet.
  double holdingCost = 0;
  double missingCost = 0;
};

/// A way to size the buffer.
class BufferPolicy
{
public:
  virtual ~BufferPolicy() = default;
  virtual BufferSize Size(const BufferInput& aInput) const = 0;
};

/// The baseline: as many spares as ever.
class FixedBuffer final : public BufferPolicy
{
public:
  explicit FixedBuffer(Hosts aSpares)
    : spares_(aSpares)
  {
  }
  BufferSize Size(const BufferInput& aInput) const override;

private:
  Hosts spares_;
};

/// The number of spares at which holding them and missing them cost the least
/// together, over the losses of each rack and zone; but never fewer than cover
/// the largest of the covered domains.
class PricedBuffer final : public BufferPolicy
{
public:
  PricedBuffer(BufferPrices aPrices, FleetWeights aWeights)
    : prices_(aPrices)
    , weights_(aWeights)
  {
  }
  BufferSize Size(const BufferInput& aInput) const override;

private:
  BufferPrices prices_;
  FleetWeights weights_;
};

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_BUFFERPOLICY_H
