/// \file
/// What several duties of one entry host read of the process as a whole.

#ifndef GREENGAGE_DAEMON_LIB_HOSTSTATE_H
#define GREENGAGE_DAEMON_LIB_HOSTSTATE_H

#include "greengage/core/Ids.h"
#include "greengage/observe/Metrics.h"

#include <atomic>
#include <cstdint>
#include <utility>

namespace greengage::daemon::detail {

/// Shared by the duties; every member is safe from any thread.
struct HostState
{
  HostState(EntryHostId aId, AvailabilityZoneId aAvailabilityZone)
    : id(std::move(aId))
    , availabilityZone(std::move(aAvailabilityZone))
  {
  }

  const EntryHostId id;
  const AvailabilityZoneId availabilityZone;
  /// Whether the ports are open and no shutdown has begun.
  std::atomic<bool> isReady{ false };
  /// Whether this host's replica of the agreed log, if it has one, takes part.
  std::atomic<bool> isLogHealthy{ true };
  /// Whether a version of the agreed state has reached the request path.
  std::atomic<bool> hasState{ false };
  /// Whether the records of request ids are whole again, or can't be had soon.
  /// Until then the next host must not be restarted.
  std::atomic<bool> hasRecords{ false };
  /// Until when no other host can lead the agreed log, on the boot clock in
  /// milliseconds; in the past while this host doesn't lead.
  std::atomic<std::int64_t> leaderUntil{ 0 };
  /// The term that \ref leaderUntil belongs to. Written before it, so that a
  /// reader that reads it afterwards never takes the end of a later term's
  /// lease for that of its own.
  std::atomic<std::uint64_t> leaderTerm{ 0 };
  observe::Metrics metrics;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_HOSTSTATE_H
