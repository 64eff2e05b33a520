/// \file
/// The identifiers that more than one package uses.

#ifndef GREENGAGE_CORE_IDS_H
#define GREENGAGE_CORE_IDS_H

#include "greengage/core/StrongId.h"

#include <cstdint>
#include <string>

namespace greengage {

/// An entry host: one daemon of the system.
using EntryHostId = StrongId<struct EntryHostTag, std::string>;
/// A back end that runs requests.
using UpstreamId = StrongId<struct UpstreamTag, std::string>;
/// An availability zone.
using AvailabilityZoneId = StrongId<struct AvailabilityZoneTag, std::string>;
/// A rack inside an availability zone.
using RackId = StrongId<struct RackTag, std::string>;
/// A pool of hosts.
using PoolId = StrongId<struct PoolTag, std::string>;
/// A team; its path in the settings tree below "teams/".
using TeamId = StrongId<struct TeamTag, std::string>;
/// The public part of a team's key.
using KeyId = StrongId<struct KeyTag, std::string>;
/// The caller's own id of a request, unique inside a team.
using RequestId = StrongId<struct RequestTag, std::string>;
/// One attempt to run a request on an upstream, unique among those of an entry
/// host and of its earlier incarnations.
using DispatchId = StrongId<struct DispatchTag, std::uint64_t>;
/// One accepted request on its way, unique inside an entry host.
using WorkId = StrongId<struct WorkTag, std::uint64_t>;
/// One waiting caller, unique inside an entry host.
using CallId = StrongId<struct CallTag, std::uint64_t>;
/// A version of the agreed state.
using Version = StrongId<struct VersionTag, std::uint64_t>;
/// Counts the changes of a host's pool.
using PoolEpoch = StrongId<struct PoolEpochTag, std::uint64_t>;

} // namespace greengage

#endif // GREENGAGE_CORE_IDS_H
