#include "SimulatedFleet.h"

#include <catch2/catch.hpp>

#include <string>

using namespace greengage;
using namespace greengage::schedule;

namespace {

constexpr std::uint32_t kTasks = 24;

/// Five workers that run the tasks of one job.
struct Fixture : SimulatedFleet
{
  Fixture()
  {
    for (const char* id : { "w1", "w2", "w3", "w4", "w5" })
      AddWorker(id);
    Run(Duration(1000));
    job = Submit({ { .count = kTasks,
                     .request = { MilliCores(500), Mebibytes(256), {} },
                     .estimate = Duration(1000) } },
                 { .runTime = Duration(3400) });
    Run(Duration(200));
    REQUIRE(RunCountOf(job) == kTasks);
  }

  /// Number of tasks that have been started more than once.
  std::uint32_t RestartedTasks() const
  {
    std::uint32_t count = 0;
    for (TaskId task{ .job = job }; task.index < kTasks; ++task.index)
      count += LatestAttempt(task) > Attempt(1) ? 1 : 0;
    return count;
  }

  void CheckInvariants()
  {
    for (const std::string& violation : violations)
      FAIL_CHECK(violation);
  }

  jobs::JobId job;
};

} // namespace

TEST_CASE_METHOD(Fixture,
                 "a leader that was suspended moves no run for its own pause")
{
  const Duration pause = Duration(GENERATE(700, 1200, 2000, 2800));
  CAPTURE(pause.Millis());
  PauseLeader(pause);
  Run(pause + Duration(300));
  CHECK(RestartedTasks() == 0);
  CHECK(RunCountOf(job) == kTasks);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a leader moves a run that stalls while it is suspended")
{
  // Fifty times as slow as the others, and seen to be only after the pause.
  slowWorkers = { "w1", "w2", "w3", "w4", "w5" };
  const jobs::JobId slow =
    Submit({ { .count = 1,
               .request = { MilliCores(500), Mebibytes(256), {} },
               .estimate = Duration(1000) } },
           { .runTime = Duration(1000) });
  Run(Duration(100));
  REQUIRE(RunCountOf(slow) == 1);
  PauseLeader(Duration(1200));
  Run(Duration(4000));
  CHECK(LatestAttempt({ .job = slow }) > Attempt(1));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a leader whose lease has run out proposes nothing before it "
                 "learns who leads")
{
  // Its workers answer it, and their runs end, before it is told.
  Run(Duration(2500));
  PauseLeader(Duration(2000));
  Run(Duration(1900));
  ChangeLeader(Duration(1500));
  Run(Duration(1600));
  CHECK(deposedLeaderProposals == 0);
  CHECK(RunUntil([&] { return QueryState(job) == JobProgress::Completed; },
                 Duration::Seconds(10)));
  CheckInvariants();
}
