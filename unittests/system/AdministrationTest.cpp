#include "Fleet.h"
#include "Http.h"
#include "Operator.h"

#include <catch2/catch.hpp>

#include <cstdio>

#include <fstream>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

using namespace greengage;
using namespace greengage::system_tests;

using std::chrono::seconds;

/// The status of a request of the team that holds \p aKey.
static unsigned
StatusOfRequest(const Fleet& aFleet, const std::string& aKey, const char* aId)
{
  return Fetch(aFleet.Ports(0).callers,
               "POST",
               "/v1/requests",
               aKey,
               std::string(R"({"id":")") + aId +
                 R"(","pool":"lines","deadline_ms":3000,"payload":"ms=1"})")
    .status;
}

TEST_CASE("operators change a running fleet from the command line")
{
  const Fleet fleet({ .zones = { "z1" }, .workersPerZone = 1 });
  const Operator night(fleet);
  const std::string ini = (fleet.Folder() / "import.ini").string();
  std::ofstream(ini) << "limit = 64\n[teams/new]\nlimit = 5\n";
  struct Case
  {
    std::string arguments;
    int code;
    const char* text;
  };
  const std::vector<Case> rows = {
    { "settings get", 0, "[] limit = 64" },
    { "settings set / limit=32 --based-on 1 --request-id r1", 0, "version 2" },
    { "settings set / limit=9 --based-on 1", 1, "limit: 64 -> 32" },
    { "settings set / limit=32 --based-on 1 --request-id r1", 0, "version 2" },
    { "settings set / limit=9 --request-id r1", 2, "--based-on" },
    { "settings set / limt=9", 1, "nearest is \"limit\"" },
    { "settings set / limit", 2, "no \"=\"" },
    { "settings explain pools/lines spare", 0, "spare = 0 (by default)" },
    { "settings explain teams/new limit", 0, "limit = 32 (set on [])" },
    { "settings diff " + ini, 0, "[teams/new] limit: - -> 5" },
    { "settings import " + ini, 0, "version 3" },
    { "settings unset teams/new limt", 1, "not set" },
    { "settings export", 0, "[teams/new]\nlimit = 5" },
    { "teams list", 0, "team=new" },
    { "pools", 2, "" },
    { "keys grant team nobody k9", 1, "does not exist" },
    { "keys grant king new k9", 1, "\"role\"" },
    { "audit show --limit 1", 0, "grant-key refused" },
    { "audit verify", 0, "the chain holds" },
    { "settings frobnicate", 2, "" },
  };
  for (const Case& row : rows) {
    CAPTURE(row.arguments);
    const CommandResult result = night.Run(row.arguments);
    CAPTURE(result.text);
    CHECK(result.code == row.code);
    CHECK(result.text.find(row.text) != std::string::npos);
  }
}

TEST_CASE("a key works once granted and stops once withdrawn")
{
  const Fleet fleet({ .zones = { "z1" }, .workersPerZone = 1 });
  const Operator night(fleet);
  REQUIRE(night.Run("settings set teams/late share=1").code == 0);
  const CommandResult granted = night.Run("keys grant team late late1");
  REQUIRE(granted.code == 0);
  const std::size_t at = granted.text.find("key: ") + 5;
  const std::string key =
    granted.text.substr(at, granted.text.find('\n', at) - at);
  CHECK(StatusOfRequest(fleet, key, "q1") != 401);
  CHECK(night.Run("keys list").text.find("late1 team late") !=
        std::string::npos);
  CHECK(night.Run("keys withdraw late1").code == 0);
  CHECK(StatusOfRequest(fleet, key, "q2") == 401);
  CHECK(night.Run("keys grant team late late1").code == 1);
  const CommandResult keys = night.Run("keys list");
  CHECK(keys.text.find("late1 withdrawn") != std::string::npos);
}

TEST_CASE("of operators who race with equal versions exactly one wins")
{
  static constexpr int kRounds = 5;
  static constexpr int kOperators = 4;
  const Fleet fleet({ .zones = { "z1" }, .workersPerZone = 1 });
  const Operator night(fleet);
  for (int round = 1; round <= kRounds; ++round) {
    CAPTURE(round);
    std::vector<Process> racers;
    racers.reserve(kOperators);
    for (int racer = 0; racer < kOperators; ++racer)
      racers.push_back(night.Start(
        "settings set / limit=" + std::to_string(10 * round + racer) +
          " --based-on " + std::to_string(round),
        "racer" + std::to_string(racer)));
    int winners = 0;
    for (int racer = 0; racer < kOperators; ++racer) {
      const auto result = night.Finish(racers[static_cast<std::size_t>(racer)],
                                       "racer" + std::to_string(racer));
      winners += result.code == 0 ? 1 : 0;
      const std::string told =
        "version " + std::to_string(round + 1) + " was made by";
      CAPTURE(result.text);
      CHECK((result.code == 0 || result.text.find(told) != std::string::npos));
    }
    CHECK(winners == 1);
  }
}
