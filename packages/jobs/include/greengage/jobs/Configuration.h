/// \file
/// The configuration that operators set: queues, the pools that serve them, and
/// teams with their keys, shares and quotas.

#ifndef GREENGAGE_JOBS_CONFIGURATION_H
#define GREENGAGE_JOBS_CONFIGURATION_H

#include "greengage/core/Error.h"
#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/jobs/Ids.h"
#include "greengage/jobs/Job.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengage::jobs {

/// Placement policy of a queue whose steps may run only on workers that an
/// external adviser permits. The adviser takes \p base plus \p perWorker for
/// each worker in a call, and its permits expire after \p validity.
struct PlacementPolicy
{
  Duration base = {};
  Duration perWorker = {};
  Duration validity = {};
};

/// Where clients reach a queue: the host name of their calls, and what precedes
/// the job id in the path. Clients don't know a queue's name.
struct QueueAddress
{
  std::string hostName;
  std::string pathPrefix;

  friend auto operator<=>(const QueueAddress&, const QueueAddress&) = default;
};

/// A queue to which clients submit jobs, and its scheduling parameters.
struct Queue
{
  QueueId id;
  /// The host name and the path prefix that select the queue.
  std::string hostName;
  std::string pathPrefix;
  /// The pool whose workers run the tasks.
  PoolId pool;
  /// 0 is the highest priority.
  std::uint32_t priority = 0;
  /// Number of failed runs of one task, or of all tasks of a gang together,
  /// after which its job fails.
  std::uint32_t maxAttempts = 1;
  /// The completion time objective of a job is \p stretch times the critical
  /// path of its steps, plus \p objective.
  double stretch = 1;
  Duration objective = {};
  Duration timeout = {};
  /// Calls to this queue need no key.
  bool allowsAnonymous = false;
  std::optional<PlacementPolicy> advice = {};

  QueueAddress Address() const { return { hostName, pathPrefix }; }
};

/// A pool of workers.
struct Pool
{
  PoolId id;
  /// The workers themselves refuse runs that exceed their capacity.
  bool enforcesCapacity = false;
  /// The hosts of this pool are powered off and cost nothing.
  bool isSpare = false;
};

/// A tenant with keys, a fair-share weight and a quota.
struct Team
{
  TeamId id;
  std::vector<std::string> keys;
  std::int64_t weight = 1;
  /// Limit on the resources of the team's running tasks; a field that is 0 sets
  /// no limit.
  Resources quota = {};
};

/// One version of the configuration.
struct Configuration
{
  ConfigurationVersion version;
  std::vector<Queue> queues;
  std::vector<Pool> pools;
  std::vector<Team> teams;

  /// The queue of \p aHostName with the longest prefix of \p aPath, or null.
  const Queue* Route(std::string_view aHostName, std::string_view aPath) const;
  /// Null if there is no such entry.
  const Queue* Find(const QueueId& aQueue) const;
  const Queue* FindAt(const QueueAddress& aAddress) const;
  const Pool* Find(const PoolId& aPool) const;
  const Team* Find(const TeamId& aTeam) const;
  /// The team that holds the key, or null.
  const Team* Authenticate(std::string_view aKey) const;
};

/// Parses the configuration text that operators submit. Parsing is
/// deterministic: every host gets the same result from the same text.
class ConfigurationReader
{
public:
  virtual ~ConfigurationReader() = default;
  /// \returns nothing, and Malformed or InvalidSetting in \p aReason, if the
  /// text can't be parsed completely or is inconsistent.
  virtual std::optional<Configuration> Read(std::string_view aText,
                                            Error& aReason) const = 0;
};

} // namespace greengage::jobs

#endif // GREENGAGE_JOBS_CONFIGURATION_H
