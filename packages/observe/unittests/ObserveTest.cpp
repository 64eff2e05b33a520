#include "greengage/observe/Log.h"
#include "greengage/observe/Metrics.h"

#include <catch2/catch.hpp>

using namespace greengage::observe;

TEST_CASE("log values cannot forge fields or lines")
{
  REQUIRE(FormatLogLine("start", { { "host", "e1" } }) == "start host=e1");
  REQUIRE(FormatLogLine("x", { { "a", "b c=\"d\"\n" } }) ==
          R"(x a="b c=\"d\"\x0a")");
  REQUIRE(FormatLogLine("x", { { "a", "" } }) == R"(x a="")");
}

TEST_CASE("log lines are UTF-8 whatever the values hold")
{
  REQUIRE(FormatLogLine("x", { { "a", "i-\xff" } }) == R"(x a="i-\xff")");
  REQUIRE(FormatLogLine("x", { { "a", "\xc0\x80 b" } }) ==
          R"(x a="\xc0\x80 b")");
  REQUIRE(FormatLogLine("x", { { "a", "i-\xc3\xa9" } }) == "x a=i-\xc3\xa9");
}

TEST_CASE("metrics appear in the text format")
{
  Metrics metrics;
  metrics.Count("requests_total", { { "team", "plan" } }, 2);
  metrics.Count("requests_total", { { "team", "plan" } });
  metrics.Set("free_slots", 7);
  metrics.Observe("wait_ms", 3);
  const std::string text = metrics.Serialize();
  REQUIRE(text.find("requests_total{team=\"plan\"} 3") != std::string::npos);
  REQUIRE(text.find("free_slots 7") != std::string::npos);
  REQUIRE(text.find("wait_ms_bucket{le=\"5\"} 1") != std::string::npos);
}

TEST_CASE("a caller of the log never waits for its writer")
{
  // Far more lines than the queue holds, as fast as they can be made.
  constexpr int kLines = 50000;
  const LogCounts before = LogDuty::Counts();
  ConfigureLog({ .path = "/dev/null", .level = LogLevel::Info });
  {
    const LogDuty duty;
    for (int line = 0; line < kLines; ++line)
      Log(LogLevel::Info, "line", { { "number", std::to_string(line) } });
  }
  const LogCounts after = LogDuty::Counts();
  const auto written = after.written - before.written;
  const auto dropped = after.dropped - before.dropped;
  // Each line was written or counted; reports of dropped ones come on top.
  CHECK(written + dropped >= kLines);
  CHECK(written > 2000);
}
