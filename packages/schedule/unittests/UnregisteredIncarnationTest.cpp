// Runs whose start was not answered, if a later incarnation of the worker
// answers and is lost before its first heartbeat.

#include "SimulatedFleet.h"

#include <catch2/catch.hpp>

#include <string>

using namespace greengage;
using namespace greengage::schedule;

namespace {

constexpr Duration kLong = Duration::Seconds(60);
constexpr Duration kDownTime = Duration(300);
/// Nothing may be without a run for longer while there is capacity for it.
constexpr Duration kMaxIdleTime = Duration::Seconds(3);

/// A fleet in which the start of a job's only task has been carried out on a
/// worker, but its reply is lost.
struct Fixture : SimulatedFleet
{
  Fixture()
  {
    Run(Duration(200));
    for (const char* id : { "w1", "w2", "w3", "w4" })
      AddWorker(id);
    Run(Duration(500));
  }
  void StartWithoutReply(bool aIsPersistent = true)
  {
    faults.lostReplyPercent = 100;
    job = Submit({ { .count = 1,
                     .request = { MilliCores(500), Mebibytes(256), {} },
                     .estimate = Duration(800),
                     .maxPerWorker = 1,
                     .isPersistent = aIsPersistent } },
                 { .runTime = Duration::Seconds(3) });
    REQUIRE(RunUntil([&] { return HasRun(job); }, Duration(1000)));
    faults.lostReplyPercent = 0;
    worker = FindWorker();
  }
  std::string FindWorker() const
  {
    for (const char* id : { "w1", "w2", "w3", "w4" })
      if (IsUp(id) && RunsOn(id) > 0)
        return id;
    return {};
  }
  /// The worker restarts, and its next incarnation sends no heartbeat.
  void RestartUnregistered()
  {
    BlockHeartbeats(worker, kLong);
    CrashWorker(worker, kDownTime);
    Run(kDownTime + Duration(700));
  }
  bool RunsAgain()
  {
    return RunUntil([&] { return HasRun(job); }, kMaxIdleTime);
  }
  void CheckInvariants()
  {
    Run(Duration::Seconds(20));
    CHECK(RunCountOf(job) <= 1);
    for (const std::string& violation : violations)
      FAIL_CHECK(violation);
  }

  jobs::JobId job;
  std::string worker;
};

} // namespace

// Guards against a task without a run for the longest late delivery and the
// longest lease, although the later incarnation could have been asked whether
// it runs the task.
TEST_CASE_METHOD(
  Fixture,
  "a task runs again in time if its worker restarts, answers and "
  "is lost before it registers")
{
  StartWithoutReply(GENERATE(true, false));
  RestartUnregistered();
  CrashWorker(worker, std::nullopt);
  CHECK(RunsAgain());
  CheckInvariants();
}

// The same, while the leader changes.
TEST_CASE_METHOD(Fixture,
                 "a task runs again in time if its worker restarts under a new "
                 "leader and is lost before it registers")
{
  StartWithoutReply();
  SECTION("before the restart")
  {
    ChangeLeader();
    RestartUnregistered();
  }
  SECTION("after the restart")
  {
    RestartUnregistered();
    ChangeLeader();
    Run(Duration(700));
  }
  CrashWorker(worker, std::nullopt);
  CHECK(RunsAgain());
  CheckInvariants();
}

// A late start that is carried out before the later incarnation is asked is in
// its lists; one that comes afterwards is refused.
TEST_CASE_METHOD(Fixture,
                 "a start that an unregistered incarnation carries out late "
                 "does not run beside another one")
{
  executesCallsToEarlierIncarnations = true;
  const Duration delay(GENERATE(350, 450, 600, 900, 3000, 7000));
  faults.delayedCallPercent = 100;
  faults.minCallDelay = delay;
  faults.maxCallDelay = delay + Duration(1);
  job = Submit({ { .count = 1,
                   .request = { MilliCores(500), Mebibytes(256), {} },
                   .isPersistent = true } });
  Run(Duration(50));
  faults.delayedCallPercent = 0;
  BlockHeartbeats("w1", Duration(4000));
  CrashWorker("w1", kDownTime);
  Run(Duration::Seconds(10));
  CHECK(HasRun(job));
  CheckInvariants();
}
