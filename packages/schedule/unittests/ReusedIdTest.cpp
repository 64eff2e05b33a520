// Calls that are meant for a worker's former incarnation and reach the next one
// at the same address, whose clock has started anew.

#include "SimulatedFleet.h"

#include <catch2/catch.hpp>

#include <string>

using namespace greengage;
using namespace greengage::schedule;

namespace {

constexpr Duration kUpTime = Duration::Seconds(16);
constexpr Duration kDownTime = Duration(100);
constexpr Duration kHeartbeatGap = Duration(2500);
/// By then the workers have sent heartbeats, and the task has started.
constexpr Duration kMaxWait = Duration(5000);

/// Idle workers that have restarted under their ids and have not sent their
/// next heartbeat, and a long task.
struct Fixture : SimulatedFleet
{
  Fixture()
  {
    statesIncarnationOnlyInLists = GENERATE(true, false);
    CAPTURE(statesIncarnationOnlyInLists);
    for (const char* id : kWorkers)
      AddWorker(id);
    Run(kUpTime);
  }
  void RestartAll()
  {
    for (const char* id : kWorkers) {
      BlockHeartbeats(id, kHeartbeatGap);
      CrashWorker(id, kDownTime);
    }
    Run(kDownTime + Duration(50));
  }
  jobs::JobId SubmitLongTask()
  {
    return Submit({ { .count = 1,
                      .request = { MilliCores(500), Mebibytes(256), {} },
                      .estimate = Duration::Seconds(30) } },
                  { .runTime = Duration::Seconds(30) });
  }
  /// The worker that runs the task, or empty.
  std::string FindWorker() const
  {
    for (const char* id : kWorkers)
      if (IsUp(id) && RunsOn(id) > 0)
        return id;
    return {};
  }
  /// Partitions the worker that starts the task as soon as it has started it.
  void PartitionStarter()
  {
    if (FindWorker().empty())
      faults.lostReplyPercent = 0;
    REQUIRE(RunUntil([&] { return !FindWorker().empty(); }, kMaxWait));
    PartitionWorker(FindWorker(), Duration::Seconds(15));
  }
  void CheckInvariants(jobs::JobId aJob)
  {
    Run(Duration::Seconds(60));
    CHECK(QueryState(aJob) == JobProgress::Completed);
    for (const std::string& violation : violations)
      FAIL_CHECK(violation);
  }

  static constexpr const char* kWorkers[] = {
    "w1", "w2", "w3", "w4", "w5", "w6"
  };
};

} // namespace

TEST_CASE_METHOD(
  Fixture,
  "a start for a former incarnation does not run on the next one "
  "beside another start")
{
  RestartAll();
  const jobs::JobId job = SubmitLongTask();
  const bool losesReply = GENERATE(true, false);
  CAPTURE(losesReply);
  if (losesReply) {
    faults.lostReplyPercent = 100;
    RunUntil([&] { return !FindWorker().empty(); }, kHeartbeatGap);
  }
  PartitionStarter();
  faults.lostReplyPercent = 0;
  CheckInvariants(job);
}

TEST_CASE_METHOD(
  Fixture,
  "a start for a former incarnation does not run on the next one "
  "beside that of a new leader")
{
  RestartAll();
  const jobs::JobId job = SubmitLongTask();
  PartitionStarter();
  const Duration delay(GENERATE(0, 5, 300, 2000));
  CAPTURE(delay.Millis());
  Run(delay);
  ChangeLeader();
  CheckInvariants(job);
}

// A job fails once its tasks have crashed too many workers.
TEST_CASE_METHOD(Fixture,
                 "a start that was not sent to the next incarnation is not "
                 "charged to its task as a crash of the worker")
{
  refusesInquiries = GENERATE(true, false);
  CAPTURE(refusesInquiries);
  RestartAll();
  const jobs::JobId job = SubmitLongTask();
  Run(kHeartbeatGap);
  REQUIRE(QueryState(job) != JobProgress::Failed);
  if (!refusesInquiries)
    CHECK(
      LatestAttempt({ .job = job, .occurrence = 0, .step = 0, .index = 0 }) >
      Attempt(5));
  CheckInvariants(job);
}

TEST_CASE(
  "a renewal for a former incarnation does not outlive the bound of the "
  "next one's lease under a new leader")
{
  const Duration lag(GENERATE(300, 500, 700));
  const Duration delay(GENERATE(0, 300, 900));
  CAPTURE(lag.Millis(), delay.Millis());
  SimulatedFleet fleet;
  fleet.Run(Duration(200));
  fleet.AddWorker("w1");
  fleet.Submit({ { .count = 1,
                   .request = { MilliCores(500), Mebibytes(256), {} },
                   .isPersistent = true } });
  fleet.Run(kUpTime);
  REQUIRE(fleet.RunsOn("w1") == 1);
  // The leader renews the lease of the former incarnation while the next one is
  // up, which registers and starts the task itself.
  fleet.SetHandlingLag(lag);
  fleet.Run(Duration(600));
  fleet.CrashWorker("w1", Duration(10));
  fleet.Run(Duration(1000));
  fleet.SetHandlingLag(Duration(0));
  fleet.RunUntil([&] { return fleet.RunsOn("w1") == 1; }, kMaxWait);
  fleet.Run(delay);
  fleet.PartitionWorker("w1", Duration::Seconds(20));
  fleet.ChangeLeader();
  fleet.Run(Duration(100));
  fleet.AddWorker("w2");
  fleet.Run(Duration::Seconds(15));
  CHECK(fleet.TotalRuns() == 1);
  for (const std::string& violation : fleet.violations)
    FAIL_CHECK(violation);
}

// Guards against LOST: a lease that no incarnation held was waited for.
TEST_CASE("a persistent task restarts in time if its worker is cut off soon "
          "after its next incarnation has registered")
{
  SimulatedFleet fleet;
  fleet.Run(Duration(200));
  fleet.AddWorker("w1");
  fleet.Submit({ { .count = 1,
                   .request = { MilliCores(500), Mebibytes(256), {} },
                   .isPersistent = true } });
  fleet.Run(kUpTime);
  fleet.CrashWorker("w1", Duration(10));
  REQUIRE(fleet.RunUntil([&] { return fleet.RunsOn("w1") == 1; }, kMaxWait));
  fleet.PartitionWorker("w1", Duration::Seconds(20));
  fleet.Run(Duration(100));
  fleet.AddWorker("w2");
  fleet.Run(Duration::Seconds(15));
  for (const std::string& violation : fleet.violations)
    FAIL_CHECK(violation);
}
