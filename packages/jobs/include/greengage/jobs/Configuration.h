/// \file
/// What operators configure: queues, the pools that serve them, and teams with
/// their keys, shares and quotas.

#ifndef GREENGAGE_JOBS_CONFIGURATION_H
#define GREENGAGE_JOBS_CONFIGURATION_H

#include "greengage/core/Error.h"
#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/jobs/Ids.h"
#include "greengage/jobs/Job.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengage::jobs {

/// Only some workers may run a queue's steps, and an adviser knows which. How
/// long its answer takes, and its permits are good for.
struct AdvicePolicy
{
  Duration base = {};
  Duration perWorker = {};
  Duration validity = {};
};

/// Where clients hand jobs in, and how they are run.
struct Queue
{
  QueueId id;
  /// The host name and the path prefix that select the queue.
  std::string hostName;
  std::string pathPrefix;
  /// The pool whose workers run the tasks.
  PoolId pool;
  /// 0 comes first.
  std::uint32_t priority = 0;
  /// Failed runs of one task after which its job has failed.
  std::uint32_t maxAttempts = 1;
  /// The objective is this times the longest chain, and \p objective more.
  double stretch = 1;
  Duration objective = {};
  Duration timeout = {};
  /// Calls need no key.
  bool isOpen = false;
  std::optional<AdvicePolicy> advice = {};
};

/// A pool of workers.
struct Pool
{
  PoolId id;
  /// The workers refuse what does not fit.
  bool enforcesCapacity = false;
  /// The hosts are off and cost nothing.
  bool isSpare = false;
};

/// A customer with keys and a quota.
struct Team
{
  TeamId id;
  std::vector<std::string> keys;
  std::int64_t weight = 1;
  /// What the team may have running; a zero is no limit.
  Resources quota = {};
};

/// One version of the configuration.
struct Configuration
{
  ConfigurationVersion version;
  std::vector<Queue> queues;
  std::vector<Pool> pools;
  std::vector<Team> teams;

  /// The queue of the longest prefix that \p aPath begins with, or null.
  const Queue* Route(std::string_view aHostName, std::string_view aPath) const;
  /// Null if there is none.
  const Queue* Find(const QueueId& aQueue) const;
  const Pool* Find(const PoolId& aPool) const;
  const Team* Find(const TeamId& aTeam) const;
  /// The team that holds the key, or null.
  const Team* Authenticate(std::string_view aKey) const;
};

/// Reads the text in which operators hand a configuration in. Every host reads
/// the same text to the same result.
class ConfigurationReader
{
public:
  virtual ~ConfigurationReader() = default;
  /// \returns nothing, with Malformed or InvalidSetting, if the text can't be
  /// read whole or contradicts itself.
  virtual std::optional<Configuration> Read(std::string_view aText,
                                            Error& aReason) const = 0;
};

} // namespace greengage::jobs

#endif // GREENGAGE_JOBS_CONFIGURATION_H
