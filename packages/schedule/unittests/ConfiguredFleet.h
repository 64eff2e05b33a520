/// \file
/// A simulated fleet whose tests change the queues of the configuration.

#ifndef GREENGAGE_SCHEDULE_UNITTESTS_CONFIGUREDFLEET_H
#define GREENGAGE_SCHEDULE_UNITTESTS_CONFIGUREDFLEET_H

#include "SimulatedFleet.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace greengage::schedule {

/// The tests submit to queue "plan", which version 1 of the configuration has
/// with an attempt limit of 3.
struct ConfiguredFleet : SimulatedFleet
{
  ConfiguredFleet() { Run(Duration(200)); }
  /// Puts a version with the queues \p aQueues.
  void Configure(std::uint64_t aVersion, std::vector<jobs::Queue> aQueues)
  {
    Error reason;
    jobs::Configuration configuration = *reader.Read("", reason);
    configuration.version = jobs::ConfigurationVersion(aVersion);
    configuration.queues = std::move(aQueues);
    const std::string text = "version " + std::to_string(aVersion);
    reader.configurations[text] = std::move(configuration);
    Send(ConfigurationPut{ .version = jobs::ConfigurationVersion(aVersion),
                           .text = text });
    Run(Duration(100));
  }
  /// The queue of version 1.
  jobs::Queue Plan() const
  {
    Error reason;
    return reader.Read("", reason)->queues.at(0);
  }
  static jobs::Step MakeStep(std::uint32_t aCount)
  {
    return { .count = aCount,
             .request = { MilliCores(1000), Mebibytes(256), {} },
             .estimate = Duration(800) };
  }
  bool ReachesState(jobs::JobId aJob, JobProgress aState)
  {
    return RunUntil([&] { return QueryState(aJob) == aState; },
                    Duration::Seconds(20));
  }
  void CheckInvariants()
  {
    for (const std::string& violation : violations)
      FAIL_CHECK(violation);
  }
};

/// A configured fleet of three registered workers.
struct ConfiguredFleetWithWorkers : ConfiguredFleet
{
  ConfiguredFleetWithWorkers()
  {
    for (const char* id : { "w1", "w2", "w3" })
      AddWorker(id);
    Run(Duration(500));
  }
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_UNITTESTS_CONFIGUREDFLEET_H
