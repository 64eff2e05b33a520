#include "SimulatedFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

using namespace greengage;
using namespace greengage::schedule;

namespace {

/// Workers with room for four tasks each, and clients that hand in jobs of two
/// steps at a steady rate.
struct LoadedFleet : SimulatedFleet
{
  static constexpr std::int64_t kWorkers = 20;
  static constexpr std::int64_t kTasksPerWorker = 4;
  static constexpr std::uint32_t kSteps = 2;
  static constexpr std::uint32_t kTasksPerStep = 4;
  static constexpr Duration kRunTime = Duration(800);
  /// Of the configuration: 600 ms and 1.6 times the critical path.
  static constexpr Duration kObjective = Duration(600 + 2560);
  static constexpr Duration kSampleInterval = Duration(20);

  LoadedFleet()
  {
    for (std::int64_t number = 0; number < kWorkers; ++number)
      AddWorker("w" + std::to_string(number));
    Run(Duration(1000));
  }

  /// Hands in jobs for \p aSpan at \p aPercent of the rate that all workers
  /// could carry out if no time passed between two tasks, and then waits until
  /// none can be in time any more.
  void Load(std::int64_t aPercent, Duration aSpan)
  {
    constexpr std::int64_t kRunsAtOnce = kWorkers * kTasksPerWorker;
    const std::int64_t spanMs = aSpan.Millis();
    const std::int64_t jobMs = kSteps * kTasksPerStep * kRunTime.Millis();
    Duration elapsed;
    while (elapsed < aSpan + kObjective) {
      const std::int64_t due = std::min(elapsed.Millis(), spanMs) *
                               kRunsAtOnce * aPercent / (jobMs * 100);
      while (submitted < due)
        SubmitJob(elapsed);
      Run(kSampleInterval);
      elapsed = elapsed + kSampleInterval;
      CountCompletions(elapsed);
      if (elapsed <= aSpan)
        fitting = static_cast<std::int64_t>(Work().proposedRuns) /
                  (kSteps * kTasksPerStep);
    }
    for (const std::string& violation : violations)
      FAIL_CHECK(violation);
  }

  void SubmitJob(Duration aElapsed)
  {
    const jobs::Step first{ .count = kTasksPerStep,
                            .request = { MilliCores(1000), Mebibytes(1), {} },
                            .estimate = kRunTime };
    jobs::Step second = first;
    second.dependencies = { 0 };
    openJobs[Submit({ first, second }, { .runTime = kRunTime })] = aElapsed;
    ++submitted;
  }

  void CountCompletions(Duration aElapsed)
  {
    std::erase_if(openJobs, [&](const auto& aItem) {
      if (QueryState(aItem.first) != JobProgress::Completed)
        return false;
      inTime += aElapsed <= aItem.second + kObjective ? 1 : 0;
      return true;
    });
  }

  std::int64_t submitted = 0;
  std::int64_t inTime = 0;
  /// The jobs that the runs begun under load would have been enough for.
  std::int64_t fitting = 0;
  /// When each job that is not known to be completed was handed in.
  std::map<jobs::JobId, Duration> openJobs;
};

} // namespace

TEST_CASE_METHOD(LoadedFleet,
                 "jobs that fit are in time while more come than fit")
{
  const Duration span = Duration::Seconds(12);
  const int percent = GENERATE(130, 200);
  SECTION("all workers are usable") {}
  SECTION("a third of the workers is silent")
  {
    for (std::int64_t number = 0; number < kWorkers / 3; ++number)
      BlockCalls("w" + std::to_string(number), span + kObjective);
  }
  SECTION("the leader is slow")
  {
    SetHandlingLag(Duration(100));
  }
  Load(percent, span);
  CAPTURE(percent, submitted);
  REQUIRE(fitting < submitted);
  CHECK(inTime >= fitting * 9 / 10);
}

TEST_CASE_METHOD(LoadedFleet, "all jobs are in time while all fit")
{
  Load(90, Duration::Seconds(12));
  CHECK(inTime == submitted);
}

TEST_CASE_METHOD(LoadedFleet, "jobs that had to wait are done once fewer come")
{
  Load(200, Duration::Seconds(6));
  REQUIRE(!openJobs.empty());
  // At the rate of 80 tasks, what is left takes less than twice as long as it
  // took to come.
  Load(0, Duration::Seconds(12));
  CHECK(openJobs.empty());
}
