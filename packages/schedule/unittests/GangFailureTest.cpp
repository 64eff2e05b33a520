// Failed runs of gangs, and the attempt limit of their queue.

#include "ConfiguredFleet.h"

#include <catch2/catch.hpp>

#include <cstdint>

using namespace greengage;
using namespace greengage::schedule;

namespace {

constexpr std::uint32_t kMaxAttempts = 2;

struct Fixture : ConfiguredFleetWithWorkers
{
  Fixture()
  {
    reader.maxAttempts = kMaxAttempts;
    Configure(2, { Plan() });
    failingWorkers = { "w1", "w2", "w3" };
  }
  /// A step of \p aCount tasks that run as a gang, each on another worker.
  static jobs::Step MakeSpreadGang(std::uint32_t aCount)
  {
    jobs::Step gang = MakeStep(aCount);
    gang.isGang = true;
    gang.maxPerWorker = 1;
    return gang;
  }
  bool HasFailedRun(jobs::JobId aJob)
  {
    return RunUntil([&] { return MaxFailures(aJob) > 0; },
                    Duration::Seconds(5));
  }
};

} // namespace

// Guards against a job that fails after one failed run of a gang, because each
// member that failed in it counts for an attempt.
TEST_CASE_METHOD(Fixture,
                 "a run of a gang in which several members fail is one failed "
                 "run")
{
  jobs::Step gang = MakeSpreadGang(3);
  SECTION("on one worker")
  {
    gang.maxPerWorker = 0;
  }
  SECTION("on several workers") {}
  const jobs::JobId job = Submit({ gang });
  REQUIRE(HasFailedRun(job));
  failingWorkers.clear();
  CHECK(ReachesState(job, JobProgress::Completed));
  CHECK(MaxFailures(job) == 1);
  CheckInvariants();
}

// The same, if the ends of the members' runs are known seconds apart.
TEST_CASE_METHOD(Fixture,
                 "members that are listed as failed one after the other have "
                 "failed in one run")
{
  const jobs::JobId job = Submit({ MakeSpreadGang(3) });
  REQUIRE(RunUntil([&] { return TotalRuns() == 3; }, Duration(2000)));
  for (const char* id : { "w2", "w3" })
    PartitionWorker(id, Duration(1500));
  REQUIRE(HasFailedRun(job));
  failingWorkers.clear();
  Run(Duration(500));
  SECTION("to one leader") {}
  SECTION("to two leaders")
  {
    ChangeLeader();
  }
  SECTION("to leaders before and after a restart")
  {
    RestartControlHosts();
  }
  CHECK(ReachesState(job, JobProgress::Completed));
  CHECK(MaxFailures(job) == 1);
  CheckInvariants();
}

// Guards against a gang that runs more often than its queue allows.
TEST_CASE_METHOD(Fixture,
                 "a gang fails its job once as many of its runs have failed as "
                 "the queue allows")
{
  const jobs::JobId job = Submit({ MakeSpreadGang(3) });
  SECTION("under one leader") {}
  SECTION("under two leaders")
  {
    REQUIRE(HasFailedRun(job));
    ChangeLeader();
  }
  SECTION("before and after a restart")
  {
    REQUIRE(HasFailedRun(job));
    RestartControlHosts();
  }
  CHECK(ReachesState(job, JobProgress::Failed));
  Run(Duration::Seconds(5));
  CHECK(MaxFailures(job) == kMaxAttempts);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "runs of a gang count as failed whichever of its members fail")
{
  failingWorkers = { "w1" };
  const jobs::JobId job = Submit({ MakeSpreadGang(3) });
  CHECK(ReachesState(job, JobProgress::Failed));
  Run(Duration::Seconds(5));
  CHECK(TotalRuns() == 0);
  CheckInvariants();
}

// One member is lost with its worker in the run in which another one fails.
TEST_CASE_METHOD(
  Fixture,
  "a run of a gang with a lost and a failed member is one failed "
  "run")
{
  failingWorkers = { "w1", "w3" };
  const jobs::JobId job = Submit({ MakeSpreadGang(3) });
  REQUIRE(RunUntil([&] { return TotalRuns() == 3; }, Duration(2000)));
  CrashWorker("w2", Duration(1000));
  REQUIRE(HasFailedRun(job));
  failingWorkers.clear();
  CHECK(ReachesState(job, JobProgress::Completed));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture, "steps and occurrences count their failed runs apart")
{
  jobs::Step second = MakeSpreadGang(2);
  second.dependencies = { 0 };
  const jobs::JobId job = Submit({ MakeSpreadGang(3), second });
  REQUIRE(HasFailedRun(job));
  failingWorkers.clear();
  REQUIRE(RunUntil([&] { return TotalRuns() == 2; }, Duration::Seconds(10)));
  CHECK(QueryState(job) == JobProgress::Running);
  CheckInvariants();
}
