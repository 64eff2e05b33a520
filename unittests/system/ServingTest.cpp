#include "Fleet.h"
#include "Http.h"

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <future>
#include <thread>

using namespace greengage;
using namespace greengage::system_tests;
using nlohmann::json;

static HttpAnswer
Submit(const Fleet& aFleet,
       std::size_t aHost,
       const std::string& aKey,
       const std::string& aBody)
{
  return Fetch(
    aFleet.Ports(aHost).callers, "POST", "/v1/requests", aKey, aBody);
}

TEST_CASE("seven entry hosts serve a load, each answer to its own caller")
{
  const Fleet fleet;
  Error reason;
  const auto options = fleet.Load(300, Duration::Seconds(2));
  const auto report = load::RunLoad(options, reason);
  REQUIRE(report);
  for (const auto& [team, counts] : *report) {
    CAPTURE(team);
    CHECK(counts.sent == 300);
    CHECK(counts.answered == 300);
    CHECK(counts.failed == 0);
    CHECK(counts.crossed == 0);
  }
  const auto runs = fleet.Runs();
  CHECK(runs.size() == 600);
  for (const auto& [id, count] : runs)
    CHECK(count == 1);
}

TEST_CASE("every port refuses what it must, and goes on serving")
{
  const Fleet fleet({ .zones = { "z1" }, .workersPerZone = 1 });
  const std::string good =
    R"({"id":"r1","pool":"lines","deadline_ms":3000,"payload":"ms=1"})";
  struct Case
  {
    const char* name;
    const Endpoint& port;
    const char* target;
    std::string key;
    std::string body;
    unsigned status;
    const char* error;
  };
  const HostPorts& ports = fleet.Ports(0);
  const std::string plan = fleet.Key("plan");
  const std::vector<Case> rows = {
    { "no key",
      ports.callers,
      "/v1/requests",
      "",
      good,
      401,
      "unauthenticated" },
    { "unknown key",
      ports.callers,
      "/v1/requests",
      "nobody.secret",
      good,
      401,
      "unauthenticated" },
    { "wrong secret",
      ports.callers,
      "/v1/requests",
      "plan1.wrong",
      good,
      401,
      "unauthenticated" },
    { "operator's key at the callers' port",
      ports.callers,
      "/v1/requests",
      fleet.Key("operator"),
      good,
      403,
      "forbidden" },
    { "team's key at the upstreams' port",
      ports.upstreams,
      "/v1/upstreams",
      plan,
      R"({"id":"w","availability_zone":"z","rack":"k","pool":"lines",
          "address":"127.0.0.1","port":9,"slots":8,"connections":64})",
      403,
      "forbidden" },
    { "upstream of an unknown pool",
      ports.upstreams,
      "/v1/upstreams",
      fleet.Key("upstream"),
      R"({"id":"w","availability_zone":"z","rack":"k","pool":"nowhere",
          "address":"127.0.0.1","port":9,"slots":8,"connections":64})",
      404,
      "not-found" },
    { "unknown pool",
      ports.callers,
      "/v1/requests",
      plan,
      R"({"id":"r2","pool":"nowhere","deadline_ms":3000})",
      404,
      "not-found" },
    { "absurd deadline",
      ports.callers,
      "/v1/requests",
      plan,
      R"({"id":"r2","pool":"lines","deadline_ms":99999999999})",
      400,
      "malformed" },
    { "invalid UTF-8",
      ports.callers,
      "/v1/requests",
      plan,
      "{\"id\":\"r2\",\"pool\":\"\xC0\xAF\"}",
      400,
      "malformed" },
    { "body over the limit",
      ports.callers,
      "/v1/requests",
      plan,
      std::string(2 * 1024 * 1024, 'x'),
      413,
      "too-large" },
    { "unknown path", ports.callers, "/v2", plan, "", 404, "not-found" },
    { "metrics at the callers' port",
      ports.callers,
      "/metrics",
      plan,
      "",
      404,
      "not-found" },
  };
  for (const Case& row : rows) {
    CAPTURE(row.name);
    const HttpAnswer answer =
      Fetch(row.port, "POST", row.target, row.key, row.body);
    CAPTURE(answer.body);
    CHECK(answer.status == row.status);
    const json body = json::parse(answer.body, nullptr, false);
    CHECK(body.value("error", "") == row.error);
    CHECK_FALSE(body.value("remedy", "").empty());
    // Nobody else's request suffers.
    const std::string id = "ok-" + std::to_string(&row - rows.data());
    const std::string request =
      json{ { "id", id }, { "pool", "lines" }, { "deadline_ms", 3000 } }.dump();
    CHECK(Submit(fleet, 0, plan, request).status == 200);
  }
}

TEST_CASE("a repeated id gets the first answer, another request a conflict")
{
  const Fleet fleet({ .zones = { "z1" }, .workersPerZone = 1 });
  const std::string body =
    R"({"id":"r1","pool":"lines","deadline_ms":3000,"payload":"ms=1"})";
  const auto first = Submit(fleet, 0, fleet.Key("plan"), body);
  REQUIRE(first.status == 200);
  REQUIRE(Submit(fleet, 0, fleet.Key("plan"), body).body == first.body);
  // The same id of another team is another request.
  REQUIRE(Submit(fleet, 0, fleet.Key("certify"), body).status == 200);
  const auto other =
    Submit(fleet,
           0,
           fleet.Key("plan"),
           R"({"id":"r1","pool":"lines","deadline_ms":3000,"payload":"ms=2"})");
  REQUIRE(other.status == 409);
  REQUIRE(json::parse(other.body)["outcome"] == "unknown");
  REQUIRE(fleet.Runs().at("plan r1") == 1);
  REQUIRE(fleet.Runs().at("certify r1") == 1);
}

TEST_CASE("a running request is stopped on its upstream when it is cancelled")
{
  const Fleet fleet({ .zones = { "z1", "z1" }, .workersPerZone = 1 });
  const std::string body =
    R"({"id":"long","pool":"lines","deadline_ms":20000,"payload":"ms=15000"})";
  const std::string plan = fleet.Key("plan");
  const auto sent = std::chrono::steady_clock::now();
  auto answer = std::async(std::launch::async,
                           [&] { return Submit(fleet, 0, plan, body); });
  while (fleet.Record().empty() &&
         std::chrono::steady_clock::now() - sent < std::chrono::seconds(5))
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  REQUIRE(fleet.Record().size() == 1);
  const Endpoint& port = fleet.Ports(0).callers;
  const std::string target = "/v1/requests/long";
  // Another team has no such request.
  Fetch(port, "DELETE", target, fleet.Key("certify"));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  REQUIRE(fleet.Record().size() == 1);
  Fetch(port, "DELETE", target, plan);
  const HttpAnswer outcome = answer.get();
  CHECK(std::chrono::steady_clock::now() - sent < std::chrono::seconds(8));
  CHECK(json::parse(outcome.body)["outcome"] == "unknown");
  const auto record = fleet.Record();
  REQUIRE(record.size() == 2);
  CHECK(record[1]["event"] == "cancel");
  CHECK(record[1]["id"] == "long");
}

TEST_CASE("a team never has more running than its limit over all hosts")
{
  const Fleet fleet({ .defaults = "limit = 5\nqueue.max = 2000\n" });
  Error reason;
  auto options = fleet.Load(200, Duration::Seconds(1));
  options.payload = "ms=50";
  options.teams.resize(1);
  const auto report = load::RunLoad(options, reason);
  REQUIRE(report);
  CHECK(report->at("plan").answered + report->at("plan").notRun ==
        report->at("plan").sent);
  int running = 0;
  int most = 0;
  for (const json& entry : fleet.Record()) {
    running += entry["event"] == "start" ? 1 : -1;
    most = std::max(most, running);
  }
  CHECK(most <= 5);
  CHECK(most >= 1);
}
