/// \file
/// What an upstream says of itself when it announces itself.

#ifndef GREENGAGE_CORE_UPSTREAM_H
#define GREENGAGE_CORE_UPSTREAM_H

#include "greengage/core/Endpoint.h"
#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"

namespace greengage {

/// One announcement. It is a lease: without a repeat it ends after \p lease.
struct UpstreamAnnouncement
{
  UpstreamId id;
  Endpoint endpoint;
  AvailabilityZoneId availabilityZone;
  RackId rack;
  PoolId pool;
  Slots slots;
  Connections connections;
  MilliCores processors;
  Mebibytes memory;
  Accelerators accelerators;
  Duration lease;
  /// True once the upstream is leaving: it finishes its work and takes none.
  bool leaving = false;
};

} // namespace greengage

#endif // GREENGAGE_CORE_UPSTREAM_H
