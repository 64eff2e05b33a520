/// \file
/// Host identity and placement, as used by fleet decisions. A host is a machine
/// that runs exactly one upstream. The upstream announces itself under the
/// host's id.

#ifndef GREENGAGE_FLEET_HOST_H
#define GREENGAGE_FLEET_HOST_H

#include "greengage/core/Ids.h"
#include "greengage/core/StrongId.h"
#include "greengage/core/Units.h"
#include "greengage/core/Upstream.h"

#include <compare>
#include <string>

namespace greengage::fleet {

/// Identifies a machine of the fleet.
using HostId = StrongId<struct HostTag, std::string>;
/// A number of hosts.
using Hosts = Quantity<struct HostsTag>;

/// The failure domains that contain a host.
struct Placement
{
  AvailabilityZoneId availabilityZone;
  RackId rack;

  friend auto operator<=>(const Placement&, const Placement&) = default;
};

/// Returns the host whose upstream sent \p aAnnouncement.
inline HostId
HostOf(const UpstreamAnnouncement& aAnnouncement)
{
  return HostId(aAnnouncement.id.Value());
}

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_HOST_H
