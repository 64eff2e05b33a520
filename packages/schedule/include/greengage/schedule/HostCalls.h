/// \file
/// Calls from the leader to the host provider, which moves and maintains the
/// fleet's hosts, and the provider's replies, independent of their wire
/// encoding. A call that moves or maintains a host is called an order.

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

/// Identifies a call to the provider; unique within a process.
using HostCallId = StrongId<struct HostCallTag, std::uint64_t>;

/// Lists one page of hosts.
struct ListHosts
{
  /// Empty for the first page.
  std::string page;
};

/// Moves a host to another pool. Everything that runs on it ends immediately.
struct MoveHost
{
  HostId host;
  PoolId pool;
};

/// Takes a host down for its maintenance in a wave. Everything that runs on it
/// ends immediately.
struct MaintainHost
{
  HostId host;
  jobs::WaveId wave;
};

using HostRequest = std::variant<ListHosts, MoveHost, MaintainHost>;

struct HostCall
{
  HostCallId id;
  HostRequest request;
  /// The leader that makes the call, and its fencing token.
  EntryHostId leader;
  jobs::FencingToken fence;
  /// As for \ref WorkerCall.
  Time sendBefore;
};

enum class HostCallStatus : std::uint8_t
{
  /// No answer arrived: the order may have been carried out, or may still be.
  NoAnswer,
  Done,
  /// The host is not up, or is about to leave its pool.
  Busy,
  /// The provider has seen a higher fencing token.
  Fenced,
  NotInWave,
  /// The host does not exist, or can't be moved to the pool.
  Invalid,
  /// The provider rejected the call because of its load; nothing was done.
  Overloaded,
};

enum class ListedHostState : std::uint8_t
{
  Up,
  Moving,
  Maintained,
  Down,
};

/// A host in the provider's list.
struct ListedHost
{
  HostId host;
  PoolId pool;
  ListedHostState state = ListedHostState::Up;
  jobs::Resources capacity;
};

/// The result of a call to the provider. Each call gets exactly one.
struct HostReply
{
  HostCallId id;
  HostCallStatus answer = HostCallStatus::NoAnswer;
  std::vector<ListedHost> hosts;
  /// The page to request next; empty after the last page.
  std::string nextPage;
  /// Why no answer arrived, for the log.
  std::string detail;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_HOSTCALLS_H
