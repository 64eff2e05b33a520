#include "greengage/observe/Log.h"
#include "greengage/observe/Metrics.h"

#include <catch2/catch.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <csignal>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <streambuf>
#include <string>

using namespace greengage::observe;

namespace {

/// Stands in for standard output, on a disk that can be made to look full.
class FullableOutput final : public std::streambuf
{
public:
  FullableOutput()
    : former_(std::cout.rdbuf(this))
  {
  }
  FullableOutput(const FullableOutput&) = delete;
  FullableOutput& operator=(const FullableOutput&) = delete;
  ~FullableOutput() override
  {
    std::cout.clear();
    std::cout.rdbuf(former_);
  }

  bool isFull = false;
  std::string text;

private:
  int_type overflow(int_type aCharacter) override
  {
    if (isFull)
      return traits_type::eof();
    text += traits_type::to_char_type(aCharacter);
    return aCharacter;
  }

  std::streambuf* former_;
};

/// While it exists, no file of this process grows beyond \p aBytes.
class FileSizeLimit
{
public:
  explicit FileSizeLimit(rlim_t aBytes)
    : formerHandler_(std::signal(SIGXFSZ, SIG_IGN))
  {
    getrlimit(RLIMIT_FSIZE, &former_);
    const rlimit limit{ .rlim_cur = aBytes, .rlim_max = former_.rlim_max };
    setrlimit(RLIMIT_FSIZE, &limit);
  }
  FileSizeLimit(const FileSizeLimit&) = delete;
  FileSizeLimit& operator=(const FileSizeLimit&) = delete;
  ~FileSizeLimit()
  {
    setrlimit(RLIMIT_FSIZE, &former_);
    std::signal(SIGXFSZ, formerHandler_);
  }

private:
  rlimit former_{};
  void (*formerHandler_)(int);
};

} // namespace

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

TEST_CASE("lines are written again after standard output was full for a while")
{
  const LogCounts before = LogDuty::Counts();
  FullableOutput output;
  ConfigureLog({ .path = {}, .level = LogLevel::Info });
  {
    const LogDuty duty;
    Log(LogLevel::Info, "early", {});
  }
  output.isFull = true;
  {
    const LogDuty duty;
    Log(LogLevel::Info, "refused", {});
    Log(LogLevel::Info, "refused", {});
  }
  output.isFull = false;
  {
    const LogDuty duty;
    Log(LogLevel::Info, "late", {});
  }
  CHECK(output.text.find("early") != std::string::npos);
  CHECK(output.text.find("late") != std::string::npos);
  CHECK(LogDuty::Counts().dropped - before.dropped == 2);
}

TEST_CASE("lines are written again after the disk of the log file was full")
{
  const std::filesystem::path path =
    std::filesystem::temp_directory_path() /
    ("greengage-observe-" + std::to_string(getpid()) + ".log");
  ConfigureLog({ .path = path.string(), .level = LogLevel::Info });
  Log(LogLevel::Info, "early", {});
  {
    const FileSizeLimit limit(200);
    for (int line = 0; line < 20; ++line)
      Log(LogLevel::Info, "refused", { { "text", std::string(50, 'x') } });
  }
  Log(LogLevel::Info, "late", {});
  std::stringstream text;
  text << std::ifstream(path).rdbuf();
  std::filesystem::remove(path);
  ConfigureLog({ .path = "/dev/null", .level = LogLevel::Info });
  CHECK(text.str().find("early") != std::string::npos);
  CHECK(text.str().find("late") != std::string::npos);
}
