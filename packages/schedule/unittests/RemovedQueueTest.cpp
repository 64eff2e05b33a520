// Jobs that outlive the configuration of their queue.

#include "ConfiguredFleet.h"

#include <catch2/catch.hpp>

using namespace greengage;
using namespace greengage::schedule;

using Fixture = ConfiguredFleetWithWorkers;

// Guards against a job that fails at its first failed run because its queue is
// not configured at that moment.
TEST_CASE_METHOD(Fixture,
                 "a job whose queue is not configured for a while keeps its "
                 "attempt limit")
{
  const bool isGang = GENERATE(false, true);
  jobs::Step step = MakeStep(2);
  step.isGang = isGang;
  const jobs::JobId job = Submit({ step, MakeStep(1) }, { .failures = 1 });
  Run(Duration(300));
  REQUIRE(RunCountOf(job) > 0);
  Configure(2, {});
  SECTION("while it has the same leader") {}
  SECTION("and after all control hosts have restarted")
  {
    RestartControlHosts();
  }
  Run(Duration(2000));
  Configure(3, { Plan() });
  CHECK(ReachesState(job, JobProgress::Completed));
  CheckInvariants();
}

// Guards against a job that fails when a run ends in any way while its queue is
// not configured, because an earlier run of the task has failed.
TEST_CASE_METHOD(Fixture,
                 "a task that has failed before may end in any way while its "
                 "queue is not configured")
{
  const jobs::JobId job = Submit({ MakeStep(1), MakeStep(1) },
                                 { .runTime = Duration(800), .failures = 1 });
  REQUIRE(RunUntil([&] { return MaxFailures(job) == 1; }, Duration(3000)));
  Run(Duration(300));
  Configure(2, {});
  SECTION("by success")
  {
    Run(Duration(2000));
  }
  SECTION("by the loss of its worker")
  {
    for (const char* id : { "w1", "w2" })
      CrashWorker(id, Duration(3000));
    Run(Duration::Seconds(8));
  }
  Configure(3, { Plan() });
  CHECK(ReachesState(job, JobProgress::Completed));
}

TEST_CASE_METHOD(Fixture,
                 "a job of a removed queue fails once its attempts are used up")
{
  const jobs::JobId failing = Submit({ MakeStep(1) }, { .failures = 3 });
  const jobs::JobId succeeding = Submit({ MakeStep(1) }, { .failures = 2 });
  Configure(2, {});
  Run(Duration::Seconds(10));
  CHECK(MaxFailures(failing) == 3);
  CHECK(MaxFailures(succeeding) == 2);
  Configure(3, { Plan() });
  CHECK(QueryState(failing) == JobProgress::Failed);
  CHECK(QueryState(succeeding) == JobProgress::Completed);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "the attempt limit of a queue that is configured again is "
                 "that of the new version")
{
  const jobs::JobId job = Submit({ MakeStep(1) }, { .failures = 4 });
  Configure(2, {});
  Run(Duration(1000));
  jobs::Queue plan = Plan();
  plan.maxAttempts = 5;
  reader.maxAttempts = 5;
  Configure(3, { plan });
  CHECK(ReachesState(job, JobProgress::Completed));
  CheckInvariants();
}

// Guards against a job that fails by the success of a task because the limit
// was lowered to what the task had failed before.
TEST_CASE_METHOD(Fixture,
                 "a task that succeeds doesn't make its job fail after its "
                 "limit was lowered")
{
  jobs::Step second = MakeStep(1);
  second.dependencies = { 0 };
  const jobs::JobId job = Submit({ MakeStep(1), second }, { .failures = 1 });
  REQUIRE(RunUntil([&] { return MaxFailures(job) == 1; }, Duration(3000)));
  Run(Duration(500));
  jobs::Queue plan = Plan();
  plan.maxAttempts = 1;
  Configure(2, { plan });
  Run(Duration(600));
  CHECK(QueryState(job) == JobProgress::Running);
}

// Guards against starts without a permit, which the placement policy of the
// queue asks for, while the queue is not configured.
TEST_CASE_METHOD(Fixture,
                 "tasks of a removed queue are started by its placement policy")
{
  reader.advice = jobs::PlacementPolicy{ .base = Duration(20),
                                         .perWorker = Duration(5),
                                         .validity = Duration(3000) };
  jobs::Queue plan = Plan();
  Configure(2, { plan });
  forbiddenWorkers = { "w1" };
  jobs::Step second = MakeStep(2);
  second.dependencies = { 0 };
  const jobs::JobId job = Submit({ MakeStep(1), second });
  REQUIRE(RunUntil([&] { return RunCountOf(job) == 1; }, Duration(2000)));
  Configure(3, {});
  Run(Duration(4000));
  CHECK(refusedPermitCount == 0);
  Configure(4, { plan });
  CHECK(ReachesState(job, JobProgress::Completed));
  CheckInvariants();
}

// Guards against a job that goes before all others, as one of the highest
// priority without an objective, because its queue is not configured.
TEST_CASE_METHOD(ConfiguredFleet,
                 "a job of a removed queue is not served before jobs of a "
                 "higher priority")
{
  jobs::Queue urgent = Plan();
  urgent.id = jobs::QueueId("urgent");
  urgent.pathPrefix = "/urgent/";
  jobs::Queue plan = Plan();
  plan.priority = 1;
  Configure(2, { plan, urgent });
  const jobs::JobId planned = Submit({ MakeStep(4) });
  pathPrefix = "/urgent/";
  const jobs::JobId other = Submit({ MakeStep(4) });
  Configure(3, { urgent });
  AddWorker("w1");
  Run(Duration(600));
  CHECK(RunCountOf(other) == 4);
  CHECK(RunCountOf(planned) == 0);
}
