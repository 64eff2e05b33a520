// The lease of a worker that has come back under its id, and is lost or cut off
// soon after it has started a persistent task.

#include "SimulatedFleet.h"

#include <catch2/catch.hpp>

#include <string>

using namespace greengage;
using namespace greengage::schedule;

namespace {

/// Longer than any lease.
constexpr Duration kLong = Duration::Seconds(30);
constexpr Duration kMaxStartTime = Duration::Seconds(5);
/// The clock of the earlier incarnation is then ahead of the next one's by more
/// than the longest lease.
constexpr Duration kUpTime = Duration::Seconds(16);

/// A worker w1 that restarts once or more, idle or while it runs a persistent
/// task, and then runs one. No other worker is up meanwhile.
struct Fixture : SimulatedFleet
{
  explicit Fixture(Duration aMaxLease)
    : SimulatedFleet(1, false, aMaxLease)
  {
    Run(Duration(200));
    AddWorker("w1");
    Run(Duration(500));
  }
  void SubmitPersistentTask()
  {
    Submit({ { .count = 1,
               .request = { MilliCores(500), Mebibytes(256), {} },
               .isPersistent = true } });
  }
  void Restart()
  {
    CrashWorker("w1", Duration(300));
    Run(Duration(1000));
  }
  void RestartAndStart(bool aIsIdle, int aRestarts)
  {
    if (!aIsIdle)
      SubmitPersistentTask();
    Run(kUpTime);
    REQUIRE(RunsOn("w1") == (aIsIdle ? 0U : 1U));
    for (int restart = 0; restart < aRestarts; ++restart)
      Restart();
    if (aIsIdle)
      SubmitPersistentTask();
    REQUIRE(RunUntil([&] { return RunsOn("w1") == 1; }, kMaxStartTime));
  }
  /// The fleet reports a task that has been without a run for too long, and one
  /// with two runs.
  void CheckInvariants()
  {
    Run(kLong);
    CHECK(TotalRuns() == 1);
    for (const std::string& violation : violations)
      FAIL_CHECK(violation);
  }
};

} // namespace

// Guards against LOST: the leader waited for the longest lease of the worker,
// as if it had executed a renewal meant for its earlier incarnation.
TEST_CASE("a persistent task restarts in time if its worker is lost soon after "
          "a restart")
{
  const Duration maxLease(GENERATE(6000, 10000));
  const bool isIdle = GENERATE(true, false);
  const int restarts = GENERATE(1, 2);
  const Duration delay(GENERATE(0, 300, 2000));
  CAPTURE(maxLease.Millis(), isIdle, restarts, delay.Millis());
  Fixture fleet(maxLease);
  fleet.RestartAndStart(isIdle, restarts);
  fleet.Run(delay);
  fleet.CrashWorker("w1", std::nullopt);
  fleet.AddWorker("w2");
  fleet.CheckInvariants();
}

// Guards against TWICE: a worker that is cut off runs the task until the lease
// of its own renewals has expired.
TEST_CASE("a persistent task does not run twice if its worker is cut off soon "
          "after a restart")
{
  const Duration maxLease(GENERATE(6000, 10000));
  const bool isIdle = GENERATE(true, false);
  const int restarts = GENERATE(1, 2);
  const bool changesLeader = GENERATE(true, false);
  const Duration delay(GENERATE(0, 300, 2000));
  CAPTURE(maxLease.Millis(), isIdle, restarts, changesLeader, delay.Millis());
  Fixture fleet(maxLease);
  fleet.SetWorkerClockRate(98);
  fleet.RestartAndStart(isIdle, restarts);
  fleet.Run(delay);
  fleet.PartitionWorker("w1", kLong);
  if (changesLeader)
    fleet.ChangeLeader();
  fleet.AddWorker("w2");
  fleet.CheckInvariants();
}
