/// \file
/// What the fleet's decisions need to know of a host besides its pool. A host
/// is a machine that runs one upstream, which announces itself by the host's
/// id.

#ifndef GREENGAGE_FLEET_HOST_H
#define GREENGAGE_FLEET_HOST_H

#include "greengage/core/Ids.h"
#include "greengage/core/StrongId.h"
#include "greengage/core/Units.h"
#include "greengage/core/Upstream.h"

#include <compare>
#include <string>

namespace greengage::fleet {

/// A machine of the fleet.
using HostId = StrongId<struct HostTag, std::string>;
/// A number of hosts.
using Hosts = Quantity<struct HostsTag>;

/// The failure domains that a host is in.
struct Placement
{
  AvailabilityZoneId availabilityZone;
  RackId rack;

  friend auto operator<=>(const Placement&, const Placement&) = default;
};

/// The host whose upstream sent \p aAnnouncement.
inline HostId
HostOf(const UpstreamAnnouncement& aAnnouncement)
{
  return HostId(aAnnouncement.id.Value());
}

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_HOST_H
