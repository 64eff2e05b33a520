/// \file
/// What the leader says to whoever provides the fleet's hosts, and hears from
/// it, free of any encoding.

#ifndef GREENGAGE_SCHEDULE_HOSTCALLS_H
#define GREENGAGE_SCHEDULE_HOSTCALLS_H

#include "greengage/core/Ids.h"
#include "greengage/core/StrongId.h"
#include "greengage/jobs/Ids.h"
#include "greengage/jobs/Job.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace greengage::schedule {

using jobs::HostId;

/// One call to the provider, unique inside a process.
using HostCallId = StrongId<struct HostCallTag, std::uint64_t>;

/// List the hosts, from a page on.
struct ListHosts
{
  /// Empty for the first page.
  std::string page;
};

/// Put a host into another pool. All that runs on it ends at once.
struct MoveHost
{
  HostId host;
  PoolId pool;
};

/// Take a host down for its upkeep in a wave. All that runs on it ends at once.
struct MaintainHost
{
  HostId host;
  jobs::WaveId wave;
};

using HostRequest = std::variant<ListHosts, MoveHost, MaintainHost>;

/// A call to the provider.
struct HostCall
{
  HostCallId id;
  HostRequest request;
  /// Who gives orders, and the fencing token that it holds.
  EntryHostId holder;
  jobs::Fence fence;
};

enum class HostAnswer : std::uint8_t
{
  /// The order may have been carried out, or may be later.
  None,
  Done,
  /// The host is not up, or leaves.
  Busy,
  /// The provider has seen a higher fencing token.
  Fenced,
  /// The host is not of the wave.
  NotInWave,
  /// There is no such host, or it can't go into the pool.
  Invalid,
  /// The provider takes no more calls for now; nothing was done.
  Overloaded,
};

enum class HostState : std::uint8_t
{
  Up,
  Moving,
  Maintained,
  Down,
};

/// A host that the provider lists.
struct ListedHost
{
  HostId host;
  PoolId pool;
  HostState state = HostState::Up;
  jobs::Resources capacity;
};

/// The end of a call to the provider. Each call has exactly one.
struct HostReply
{
  HostCallId id;
  HostAnswer answer = HostAnswer::None;
  std::vector<ListedHost> hosts;
  /// The next page of a list; empty if this was the last.
  std::string nextPage;
  /// Why there is no answer, for the log.
  std::string detail;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_HOSTCALLS_H
