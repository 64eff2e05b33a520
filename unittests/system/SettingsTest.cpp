#include "Fleet.h"

#include <catch2/catch.hpp>

#include <cstdio>

#include <fstream>
#include <sstream>

using namespace greengage;
using namespace greengage::system_tests;

using std::chrono::seconds;

namespace {

/// What a run of the daemon said.
struct CheckResult
{
  int code = -1;
  std::string text;
};

} // namespace

/// Runs --check-config over the settings of a host.
static CheckResult
CheckSettings(const std::string& aPath)
{
  const std::string output = aPath + ".out";
  const std::string command = std::string(GREENGAGED) + " --check-config" +
                              " --config " + aPath + " > " + output + " 2>&1";
  Process process({ "/bin/sh", "-c", command });
  CheckResult result;
  result.code = process.Wait(seconds(10)).value_or(-1);
  std::ifstream file(output);
  std::stringstream text;
  text << file.rdbuf();
  result.text = text.str();
  return result;
}

static std::string
ReadText(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST_CASE("a wrong setting is named by file, line, section and key")
{
  const Fleet fleet({ .zones = { "z1" }, .workersPerZone = 1 });
  const std::string good = ReadText(fleet.SettingsPath(0));
  const std::string path = (fleet.Folder() / "check.ini").string();
  struct Case
  {
    const char* from;
    const char* to;
    const char* message;
  };
  const std::vector<Case> rows = {
    { "id = entry-0", "id = entry 0", ":2: [host] id" },
    { "id = entry-0", "id = entry-9", "[members] does not list" },
    { "availability_zone = z1", "", "[host] availability_zone is missing" },
    { "notice = 200ms", "notice = soon", "[shutdown] notice" },
    { "notice = 200ms", "notize = 200ms", "setting is not known" },
    { "secret = secret-of-the-tests", "secret = short", "[peers] secret" },
    { "listen = 127.0.0.1", "listen = localhost", ":8: [callers] listen" },
    { "voters = entry-0", "voters = entry-9", "does not list \"entry-9\"" },
    { "[agreed]\nvoters = entry-0", "[agreed]", "[host] data is set" },
    { "\ndata = ", "\nvoid = ", "[host] data is missing" },
    { "[log]", "[log", "check.ini:" },
    { "fleet.ini", "missing.ini", "cannot be opened" },
    { "cold_start = true", "cold_start = maybe", "[once] cold_start" },
    { "cold_start = true", "recovery_window = 1s", "recovery_window" },
    { "[members]\n",
      "[members]\nentry-8 = 127.0.0.1:9\n",
      "availability zone after the address" },
  };
  for (const Case& row : rows) {
    CAPTURE(row.to);
    std::string text = good;
    const std::size_t at = text.find(row.from);
    REQUIRE(at != std::string::npos);
    text.replace(at, std::string(row.from).size(), row.to);
    std::ofstream(path) << text;
    const CheckResult result = CheckSettings(path);
    CAPTURE(result.text);
    CHECK(result.code == 2);
    CHECK(result.text.find(row.message) != std::string::npos);
  }
  std::ofstream(path) << good;
  CHECK(CheckSettings(path).code == 0);
}

TEST_CASE("a port that is taken ends the daemon with code 1")
{
  const Fleet fleet({ .zones = { "z1" }, .workersPerZone = 1 });
  Process second({ GREENGAGED, "--config", fleet.SettingsPath(0) });
  CHECK(second.Wait(seconds(10)) == 1);
}
