// Tasks whose runs have failed on a worker that fails all that it starts.

#include "ConfiguredFleet.h"

#include <catch2/catch.hpp>

using namespace greengage;
using namespace greengage::schedule;

// Guards against a job that uses up its attempts on the one worker near its
// data, which fails them all, beside workers that would run it.
TEST_CASE_METHOD(ConfiguredFleet,
                 "a task that has failed on the only worker of its preferred "
                 "rack runs on another one")
{
  reader.maxAttempts = 2;
  Configure(2, { Plan() });
  AddWorker("near", kDefaultCapacity, "r1");
  for (const char* id : { "far1", "far2" })
    AddWorker(id, kDefaultCapacity, "r2");
  Run(Duration(500));
  failingWorkers = { "near" };
  jobs::Step step = MakeStep(2);
  step.preferredRack = RackId("r1");
  step.isGang = GENERATE(false, true);
  const jobs::JobId job = Submit({ step });
  REQUIRE(RunUntil([&] { return RunsOn("near") == 2; }, Duration(1000)));
  CHECK(ReachesState(job, JobProgress::Completed));
  CHECK(MaxFailures(job) == 1);
  failingWorkers.clear();
  SECTION("later jobs run near their data")
  {
    Run(Duration::Seconds(4));
    Submit({ step });
    CHECK(RunUntil([&] { return RunsOn("near") == 2; }, Duration(1000)));
  }
  CheckInvariants();
}
