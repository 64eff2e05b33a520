#include "Fleet.h"
#include "Http.h"
#include "Operator.h"

#include <catch2/catch.hpp>

#include <csignal>

#include <chrono>
#include <filesystem>
#include <thread>

using namespace greengage;
using namespace greengage::system_tests;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How soon an accepted change has to be in force on every host.
static constexpr milliseconds kInForceWithin(4000);

/// Whether a host says that the limit of team "plan" is \p aLimit.
static bool
HasLimit(const Fleet& aFleet, std::size_t aHost, const std::string& aLimit)
{
  const auto result =
    Operator(aFleet, aHost).Run("settings explain teams/plan limit");
  return result.text.find("limit = " + aLimit + " ") != std::string::npos;
}

/// Waits until all hosts of \p aHosts have the limit; false if it takes longer
/// than a change may.
static bool
AwaitLimit(const Fleet& aFleet,
           const std::vector<std::size_t>& aHosts,
           const std::string& aLimit)
{
  const auto until = std::chrono::steady_clock::now() + kInForceWithin;
  for (const std::size_t host : aHosts)
    while (!HasLimit(aFleet, host, aLimit)) {
      if (std::chrono::steady_clock::now() > until)
        return false;
      std::this_thread::sleep_for(milliseconds(20));
    }
  return true;
}

static const std::vector<std::size_t> kAllHosts = { 0, 1, 2, 3, 4, 5, 6 };

/// Sets the limit of team "plan" through a host, trying again with the same
/// request id until it is accepted or 15 s have passed.
static CommandResult
SetLimit(const Fleet& aFleet, std::size_t aHost, const std::string& aLimit)
{
  CommandResult result;
  const auto until = std::chrono::steady_clock::now() + seconds(15);
  do {
    result =
      Operator(aFleet, aHost).Run("settings set teams/plan limit=" + aLimit);
  } while (result.code != 0 && std::chrono::steady_clock::now() < until);
  return result;
}

TEST_CASE("a change through any host is soon in force on all of them")
{
  const Fleet fleet({ .workersPerZone = 1 });
  int limit = 10;
  for (const std::size_t host : kAllHosts) {
    CAPTURE(host);
    const std::string text = std::to_string(++limit);
    const auto result = SetLimit(fleet, host, text);
    CAPTURE(result.text);
    CHECK(result.code == 0);
    CHECK(AwaitLimit(fleet, kAllHosts, text));
  }
}

TEST_CASE("a withdrawn key stops on every host within seconds")
{
  const Fleet fleet({ .workersPerZone = 1 });
  const auto submit = [&](std::size_t aHost, const std::string& aId) {
    return Fetch(fleet.Ports(aHost).callers,
                 "POST",
                 "/v1/requests",
                 fleet.Key("plan"),
                 R"({"id":")" + aId +
                   R"(","pool":"lines","deadline_ms":3000,"payload":"ms=1"})")
      .status;
  };
  for (const std::size_t host : kAllHosts)
    CHECK(submit(host, "before-" + std::to_string(host)) == 200);
  const auto result = Operator(fleet, 4).Run("keys withdraw plan1");
  CAPTURE(result.text);
  REQUIRE(result.code == 0);
  const auto until = std::chrono::steady_clock::now() + kInForceWithin;
  for (const std::size_t host : kAllHosts) {
    CAPTURE(host);
    int number = 0;
    unsigned status = 0;
    while (status != 401 && std::chrono::steady_clock::now() < until) {
      status = submit(
        host, "after-" + std::to_string(host) + "-" + std::to_string(++number));
      std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK(status == 401);
  }
}

TEST_CASE("changes go on when a host with a disk is killed or frozen")
{
  Fleet fleet({ .workersPerZone = 1 });
  REQUIRE(SetLimit(fleet, 1, "11").code == 0);
  // Any of the three may lead; each is lost and comes back in turn.
  const std::vector<std::pair<std::size_t, int>> losses = { { 0, SIGKILL },
                                                            { 3, SIGSTOP },
                                                            { 5, SIGKILL } };
  int limit = 20;
  for (const auto& [host, signal] : losses) {
    CAPTURE(host, signal);
    fleet.Host(host).Signal(signal);
    const std::string text = std::to_string(++limit);
    const auto result = SetLimit(fleet, 1, text);
    CAPTURE(result.text);
    CHECK(result.code == 0);
    CHECK(AwaitLimit(fleet, { 1, 2, 4, 6 }, text));
    if (signal == SIGSTOP)
      fleet.Host(host).Signal(SIGCONT);
    else
      fleet.StartHost(host);
    fleet.AwaitReady(host);
    CHECK(AwaitLimit(fleet, kAllHosts, text));
  }
}

TEST_CASE("what was accepted survives the loss of all processes at once")
{
  Fleet fleet({ .workersPerZone = 1 });
  for (int limit = 21; limit <= 40; ++limit)
    REQUIRE(SetLimit(fleet, 2, std::to_string(limit)).code == 0);
  for (const std::size_t host : kAllHosts)
    fleet.Host(host).Signal(SIGKILL);
  for (const std::size_t host : kAllHosts)
    fleet.StartHost(host);
  for (const std::size_t host : kAllHosts) {
    CAPTURE(host);
    fleet.AwaitReady(host);
    CHECK(HasLimit(fleet, host, "40"));
  }
  const auto audit = Operator(fleet, 6).Run("audit verify");
  CAPTURE(audit.text);
  CHECK(audit.code == 0);
}

TEST_CASE("a host that lost its disk joins again and nothing reverts")
{
  Fleet fleet({ .workersPerZone = 1 });
  REQUIRE(SetLimit(fleet, 1, "31").code == 0);
  fleet.Host(3).Signal(SIGKILL);
  fleet.Host(3).Wait(seconds(5));
  std::filesystem::remove_all(fleet.DataFolder(3));
  fleet.StartHost(3);
  fleet.AwaitReady(3);
  CHECK(AwaitLimit(fleet, kAllHosts, "31"));
  // Until the new disk votes, a second loss would take the majority.
  fleet.AwaitMetric(3, "greengage_agreed_voter", 1);
  // A second host is often lost just after a repair.
  fleet.Host(0).Signal(SIGKILL);
  const auto result = SetLimit(fleet, 1, "32");
  CAPTURE(result.text);
  CHECK(result.code == 0);
  CHECK(AwaitLimit(fleet, { 1, 2, 3, 4, 5, 6 }, "32"));
}

TEST_CASE("without a majority no change is accepted, and work goes on")
{
  Fleet fleet({ .workersPerZone = 1 });
  REQUIRE(SetLimit(fleet, 1, "31").code == 0);
  fleet.Host(0).Signal(SIGKILL);
  fleet.Host(3).Signal(SIGKILL);
  std::this_thread::sleep_for(seconds(3));
  const auto result =
    Operator(fleet, 1).Run("settings set teams/plan limit=32");
  CAPTURE(result.text);
  CHECK(result.code == 1);
  const auto answer =
    Fetch(fleet.Ports(6).callers,
          "POST",
          "/v1/requests",
          fleet.Key("certify"),
          R"({"id":"r1","pool":"lines","deadline_ms":5000,"payload":"ms=1"})");
  CAPTURE(answer.body);
  CHECK(answer.status == 200);
}
