#include "Fleet.h"
#include "Http.h"

#include <catch2/catch.hpp>

#include <csignal>

#include <future>
#include <thread>

using namespace greengage;
using namespace greengage::system_tests;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Sends a request that runs for so many milliseconds, and lets it begin.
static std::future<HttpAnswer>
StartRequest(const Fleet& aFleet, int aMillis)
{
  auto answer = std::async(std::launch::async, [&aFleet, aMillis] {
    return Fetch(
      aFleet.Ports(0).callers,
      "POST",
      "/v1/requests",
      aFleet.Key("plan"),
      R"({"id":"r1","pool":"lines","deadline_ms":60000,"payload":"ms=)" +
        std::to_string(aMillis) + "\"}");
  });
  std::this_thread::sleep_for(milliseconds(200));
  return answer;
}

TEST_CASE("SIGTERM turns /readyz first, finishes the work, and exits 0")
{
  Fleet fleet(
    { .zones = { "z1" }, .workersPerZone = 1, .shutdownNotice = "500ms" });
  auto answer = StartRequest(fleet, 1500);
  fleet.Host(0).Signal(SIGTERM);
  fleet.AwaitReady(0, 503);
  // During the notice the host still takes work that the balancer sends.
  const auto late =
    Fetch(fleet.Ports(0).callers,
          "POST",
          "/v1/requests",
          fleet.Key("plan"),
          R"({"id":"r2","pool":"lines","deadline_ms":9000,"payload":"ms=1"})");
  CHECK(late.status == 200);
  CHECK(answer.get().status == 200);
  CHECK(fleet.Host(0).Wait(seconds(10)) == 0);
}

TEST_CASE("work that outlasts the shutdown is reported by exit code 3")
{
  Fleet fleet(
    { .zones = { "z1" }, .workersPerZone = 1, .shutdownTimeout = "1s" });
  auto answer = StartRequest(fleet, 9000);
  fleet.Host(0).Signal(SIGTERM);
  const auto code = fleet.Host(0).Wait(seconds(20));
  CHECK(code == 3);
  answer.wait();
}

TEST_CASE("a rolling restart of all entry hosts under load loses nothing")
{
  Fleet fleet;
  auto options = fleet.Load(150, Duration::Seconds(12));
  options.maxSends = 8;
  auto done = Fleet::StartLoad(options);
  for (std::size_t host = 0; host < fleet.size(); ++host) {
    fleet.Host(host).Signal(SIGTERM);
    CAPTURE(host);
    CHECK(fleet.Host(host).Wait(seconds(15)) == 0);
    fleet.StartHost(host);
    fleet.AwaitReady(host);
    std::this_thread::sleep_for(milliseconds(300));
  }
  const load::LoadReport report = done.get();
  REQUIRE(report.size() == 2);
  for (const auto& [team, counts] : report) {
    CAPTURE(team,
            counts.sent,
            counts.answered,
            counts.notRun,
            counts.unknown,
            counts.noResponse,
            counts.failures);
    CHECK(counts.answered == counts.sent);
    CHECK(counts.crossed == 0);
  }
  for (const auto& [id, count] : fleet.Runs()) {
    CAPTURE(id);
    CHECK(count == 1);
  }
}
