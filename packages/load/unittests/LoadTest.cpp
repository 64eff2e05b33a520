#include "greengage/load/Load.h"

#include <catch2/catch.hpp>

using namespace greengage;
using namespace greengage::load;

TEST_CASE("percentiles come from the answers")
{
  TeamReport report;
  REQUIRE(report.Percentile(0.5) == 0);
  for (int value = 100; value >= 1; --value)
    report.latencies.push_back(value);
  REQUIRE(report.Percentile(0.5) == 51);
  REQUIRE(report.Percentile(0.99) == 100);
  REQUIRE(report.Percentile(1) == 100);
}

TEST_CASE("a load without target, team or requests is refused")
{
  Error reason;
  LoadOptions options;
  REQUIRE_FALSE(RunLoad(options, reason));
  options.entryHosts.push_back({ "127.0.0.1", 1 });
  REQUIRE_FALSE(RunLoad(options, reason));
  options.teams.push_back({ "a", "k.s" });
  options.rate = 0;
  REQUIRE_FALSE(RunLoad(options, reason));
  REQUIRE(reason.kind == ErrorKind::InvalidSetting);
}

TEST_CASE("requests to a fleet that is not there were not run")
{
  Error reason;
  LoadOptions options;
  options.entryHosts.push_back({ "127.0.0.1", 1 });
  options.teams.push_back({ "a", "k.s" });
  options.pool = PoolId("p");
  options.rate = 100;
  options.span = Duration(100);
  const auto report = RunLoad(options, reason);
  REQUIRE(report);
  REQUIRE(report->at("a").sent == 10);
  REQUIRE(report->at("a").notRun == 10);
  REQUIRE(report->at("a").notRunIds.size() == 10);
}
