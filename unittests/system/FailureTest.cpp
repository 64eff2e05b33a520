#include "Fleet.h"
#include "Http.h"

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

#include <csignal>

#include <future>
#include <thread>

using namespace greengage;
using namespace greengage::system_tests;
using nlohmann::json;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// No request may run twice, and one that its caller was told is not run may
/// not have run at all.
static void
CheckTruth(const Fleet& aFleet, const load::LoadReport& aReport)
{
  const auto runs = aFleet.Runs();
  for (const auto& [id, count] : runs) {
    CAPTURE(id);
    CHECK(count == 1);
  }
  for (const auto& [team, counts] : aReport) {
    CAPTURE(team);
    CHECK(counts.crossed == 0);
    for (const std::string& id : counts.notRunIds) {
      CAPTURE(id);
      std::string key = team;
      key.append(" ").append(id);
      CHECK_FALSE(runs.contains(key));
    }
  }
}

TEST_CASE("killing an entry host costs only what it had in progress")
{
  Fleet fleet;
  auto options = fleet.Load(150, Duration::Seconds(6));
  options.maxSends = 4;
  auto done = Fleet::StartLoad(options);
  std::this_thread::sleep_for(seconds(2));
  fleet.Host(1).Signal(SIGKILL);
  const load::LoadReport report = done.get();
  REQUIRE(report.size() == 2);
  CheckTruth(fleet, report);
  for (const auto& [team, counts] : report) {
    CAPTURE(team, counts.sent, counts.answered, counts.notRun, counts.unknown);
    // 150 a second, 20 ms each: a handful was on its way through the host.
    CHECK(counts.answered + 25 >= counts.sent);
  }
}

TEST_CASE("a frozen entry host wakes without doubling anything")
{
  Fleet fleet;
  auto options = fleet.Load(150, Duration::Seconds(8));
  options.maxSends = 4;
  auto done = Fleet::StartLoad(options);
  std::this_thread::sleep_for(seconds(1));
  fleet.Host(3).Signal(SIGSTOP);
  std::this_thread::sleep_for(seconds(4));
  fleet.Host(3).Signal(SIGCONT);
  const load::LoadReport report = done.get();
  REQUIRE(report.size() == 2);
  CheckTruth(fleet, report);
  fleet.AwaitReady(3);
}

TEST_CASE("a killed upstream process makes its requests unknown, no more")
{
  Fleet fleet;
  auto options = fleet.Load(100, Duration::Seconds(5));
  auto done = Fleet::StartLoad(options);
  std::this_thread::sleep_for(seconds(2));
  fleet.Workers("z1").Signal(SIGKILL);
  const load::LoadReport report = done.get();
  REQUIRE(report.size() == 2);
  CheckTruth(fleet, report);
  for (const auto& [team, counts] : report) {
    CAPTURE(team, counts.answered, counts.unknown, counts.notRun);
    CHECK(counts.answered + 25 >= counts.sent);
  }
}

TEST_CASE("a leaving upstream gets no new work after two seconds")
{
  Fleet fleet(
    { .zones = { "z1", "z2" }, .workersPerZone = 1, .workersLinger = true });
  auto done = Fleet::StartLoad(fleet.Load(200, Duration::Seconds(7)));
  std::this_thread::sleep_for(seconds(1));
  fleet.Workers("z1").Signal(SIGTERM);
  CHECK(fleet.Workers("z1").Wait(seconds(10)) == 0);
  const load::LoadReport report = done.get();
  CHECK(report.at("plan").answered == report.at("plan").sent);
  std::optional<std::int64_t> leftAt;
  int startsBefore = 0;
  int startsAfter = 0;
  for (const json& entry : fleet.Record()) {
    if (entry["event"] == "end" || entry["upstream"] != "worker-z1-0")
      continue;
    const auto at = entry["at_ms"].get<std::int64_t>();
    if (entry["event"] == "leave")
      leftAt = at;
    else
      ++(leftAt && at > *leftAt + 2000 ? startsAfter : startsBefore);
  }
  REQUIRE(leftAt);
  CHECK(startsBefore > 0);
  CHECK(startsAfter == 0);
}
