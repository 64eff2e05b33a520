#include "SimulatedFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

#include <string>
#include <variant>

using namespace greengage;
using namespace greengage::schedule;

namespace {

constexpr std::uint32_t kHosts = 3;

/// A pool of three hosts, after the planner has read the provider's list.
struct Fixture : SimulatedFleet
{
  Fixture()
    : SimulatedFleet(1, true)
  {
    Run(Duration(200));
    for (std::uint32_t number = 1; number <= kHosts; ++number)
      AddWorker("w" + std::to_string(number));
    Run(Duration(4500));
  }

  template<typename Order>
  bool RunUntilOrderCount(std::size_t aCount)
  {
    return RunUntil(
      [&] {
        std::size_t count = 0;
        for (const HostCall& call : hostCalls)
          count += std::holds_alternative<Order>(call.request) ? 1 : 0;
        return count >= aCount;
      },
      Duration::Seconds(15));
  }

  void StartWaveOfOneHost()
  {
    Send(WaveStart{ .id = jobs::WaveId(1),
                    .hosts = { jobs::HostId("host-w1") },
                    .maxConcurrentHosts = 1,
                    .timeLimit = Duration::Seconds(20) });
  }

  /// Submits persistent tasks of which each needs a host of its own.
  jobs::JobId SubmitSpreadTasks(std::uint32_t aCount)
  {
    return Submit({ { .count = aCount,
                      .request = { MilliCores(100), Mebibytes(256), {} },
                      .maxPerWorker = 1,
                      .isPersistent = true } });
  }
};

} // namespace

TEST_CASE_METHOD(
  Fixture,
  "a host takes tasks after a new leader repeated its maintenance order")
{
  StartWaveOfOneHost();
  REQUIRE(RunUntilOrderCount<MaintainHost>(1));
  // The earlier leader does not record that the maintenance has started.
  ChangeLeader();
  REQUIRE(RunUntilOrderCount<MaintainHost>(2));
  Run(Duration::Seconds(5));
  SubmitSpreadTasks(kHosts);
  Run(Duration::Seconds(3));
  REQUIRE(TotalRuns() == kHosts);
}

TEST_CASE_METHOD(
  Fixture,
  "a host takes tasks after the answer to its maintenance order was lost")
{
  losesProviderAnswers = true;
  StartWaveOfOneHost();
  REQUIRE(RunUntilOrderCount<MaintainHost>(1));
  Run(Duration::Seconds(4));
  losesProviderAnswers = false;
  Run(Duration::Seconds(5));
  SubmitSpreadTasks(kHosts);
  Run(Duration::Seconds(3));
  REQUIRE(TotalRuns() == kHosts);
}

TEST_CASE_METHOD(Fixture,
                 "a host takes tasks after the answer to its move was lost")
{
  AddSpareHost("s1");
  Run(Duration::Seconds(5));
  losesProviderAnswers = true;
  const jobs::JobId job = SubmitSpreadTasks(kHosts + 1);
  REQUIRE(RunUntilOrderCount<MoveHost>(1));
  Cancel(job);
  Run(Duration::Seconds(4));
  losesProviderAnswers = false;
  Run(Duration::Seconds(5));
  SubmitSpreadTasks(kHosts + 1);
  Run(Duration::Seconds(3));
  REQUIRE(TotalRuns() == kHosts + 1);
}

TEST_CASE_METHOD(Fixture,
                 "a heartbeat delayed beyond its worker's maintenance does not "
                 "end the maintenance")
{
  const Duration delay =
    GENERATE(Duration(100), Duration(1300), Duration(1600), Duration(1900));
  Send(WaveStart{ .id = jobs::WaveId(1),
                  .hosts = { jobs::HostId("host-w1"),
                             jobs::HostId("host-w2"),
                             jobs::HostId("host-w3") },
                  .maxConcurrentHosts = 1,
                  .timeLimit = Duration::Seconds(30) });
  const auto isOrdered = [&] {
    return std::any_of(
      hostCalls.begin(), hostCalls.end(), [](const HostCall& aCall) {
        return std::holds_alternative<MaintainHost>(aCall.request);
      });
  };
  for (Duration elapsed; !isOrdered() && elapsed < Duration::Seconds(1);
       elapsed = elapsed + Duration(10)) {
    for (const char* id : { "w1", "w2", "w3" })
      SendDelayedHeartbeat(id, delay);
    Run(Duration(10));
  }
  Run(Duration::Seconds(25));
  CHECK(maxConcurrentMaintenance == 1);
}
