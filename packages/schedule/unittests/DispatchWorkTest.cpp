#include "SimulatedFleet.h"

#include <catch2/catch.hpp>

#include <string>

using namespace greengage;
using namespace greengage::schedule;

namespace {

constexpr std::uint64_t kWorkers = 350;
constexpr std::uint64_t kJobs = 600;

/// A fleet whose only usable capacity is taken by persistent tasks, so that all
/// further jobs wait.
struct FullFleet : SimulatedFleet
{
  FullFleet()
  {
    for (std::uint64_t number = 0; number < kWorkers; ++number)
      AddWorker("w" + std::to_string(number));
    Run(Duration(1000));
    Submit({ { .count = kWorkers,
               .request = { kDefaultCapacity.processors, Mebibytes(1), {} },
               .isPersistent = true } });
    Run(Duration(1000));
    REQUIRE(TotalRuns() == kWorkers);
  }

  void SubmitWaitingJobs()
  {
    for (std::uint64_t number = 0; number < kJobs; ++number)
      Submit(
        { { .count = 1, .request = { MilliCores(100), Mebibytes(1), {} } } });
    Run(Duration(500));
  }

  /// Work of dispatch in \p aSpan.
  DispatchWork WorkDuring(Duration aSpan)
  {
    const DispatchWork before = Work();
    Run(aSpan);
    const DispatchWork after = Work();
    return { .passes = after.passes - before.passes,
             .rankedJobs = after.rankedJobs - before.rankedJobs,
             .examinedWorkers = after.examinedWorkers - before.examinedWorkers,
             .proposedRuns = after.proposedRuns - before.proposedRuns };
  }
};

} // namespace

TEST_CASE_METHOD(
  FullFleet,
  "waiting jobs don't each examine the whole fleet in every pass")
{
  SubmitWaitingJobs();
  const DispatchWork work = WorkDuring(Duration(2000));
  REQUIRE(work.passes > 0);
  REQUIRE(work.proposedRuns == 0);
  // One search for a place and one for capacity to reserve, for all jobs.
  REQUIRE(work.examinedWorkers <= work.passes * 2 * kWorkers);
}

TEST_CASE_METHOD(FullFleet,
                 "events don't each rank all waiting jobs when there are many")
{
  SubmitWaitingJobs();
  const DispatchWork before = Work();
  constexpr std::uint64_t kEvents = 200;
  constexpr std::uint64_t kEventInterval = 10;
  for (std::uint64_t event = 0; event < kEvents; ++event) {
    Submit(
      { { .count = 1, .request = { MilliCores(100), Mebibytes(1), {} } } });
    Run(Duration(kEventInterval));
  }
  constexpr std::uint64_t kRankedPerMilli = 20;
  constexpr std::uint64_t kLastPass = kJobs + kEvents;
  CAPTURE(Work().passes - before.passes);
  REQUIRE(Work().passes > before.passes);
  REQUIRE(Work().rankedJobs - before.rankedJobs <=
          kEvents * kEventInterval * kRankedPerMilli + kLastPass);
}

TEST_CASE_METHOD(
  FullFleet,
  "jobs that lack a labelled worker don't each examine the fleet")
{
  for (std::uint64_t number = 0; number < kWorkers; ++number)
    AddWorker("x" + std::to_string(number));
  Run(Duration(1000));
  for (std::uint64_t number = 0; number < kJobs; ++number)
    Submit({ { .count = 1,
               .request = { MilliCores(100), Mebibytes(1), {} },
               .requiredLabel = "gpu" } });
  Run(Duration(500));
  const DispatchWork work = WorkDuring(Duration(2000));
  REQUIRE(work.passes > 0);
  REQUIRE(work.proposedRuns == 0);
  REQUIRE(work.examinedWorkers <= work.passes * 4 * kWorkers);
}

TEST_CASE_METHOD(FullFleet,
                 "gangs that find too little room don't each examine the fleet")
{
  AddWorker("x");
  Run(Duration(1000));
  const MilliCores all = kDefaultCapacity.processors;
  for (std::uint64_t number = 0; number < kJobs; ++number)
    Submit(
      { { .count = 2, .request = { all, Mebibytes(1), {} }, .isGang = true } });
  Run(Duration(500));
  const DispatchWork work = WorkDuring(Duration(2000));
  REQUIRE(work.passes > 0);
  REQUIRE(work.proposedRuns == 0);
  REQUIRE(work.examinedWorkers <= work.passes * 4 * kWorkers);
}

TEST_CASE_METHOD(
  FullFleet,
  "persistent jobs that find no place don't each examine the fleet")
{
  for (std::uint64_t number = 0; number < kJobs; ++number)
    Submit({ { .count = 1,
               .request = { MilliCores(100), Mebibytes(1), {} },
               .isPersistent = true } });
  Run(Duration(500));
  const DispatchWork work = WorkDuring(Duration(2000));
  REQUIRE(work.passes > 0);
  REQUIRE(work.proposedRuns == 0);
  REQUIRE(work.examinedWorkers <= work.passes * 4 * kWorkers);
}

namespace {

/// Workers on racks of twelve, with room for eight tasks each.
struct OpenFleet : SimulatedFleet
{
  static constexpr std::uint64_t kRackSize = 12;
  static constexpr std::uint64_t kTasksPerWorker = 8;

  explicit OpenFleet(std::uint64_t aWorkers)
    : workers(aWorkers)
  {
    for (std::uint64_t number = 0; number < workers; ++number)
      AddWorker("w" + std::to_string(number),
                kDefaultCapacity,
                RackOf(number / kRackSize));
    Run(Duration(1000));
  }

  static std::string RackOf(std::uint64_t aNumber)
  {
    return "r" + std::to_string(aNumber);
  }

  /// Submits jobs for \p aTasks tasks in half a second. Each job has a task for
  /// each place on a worker; every second one has its data on some rack.
  void SubmitTasks(std::uint64_t aTasks)
  {
    constexpr std::uint64_t kBatches = 50;
    const std::uint64_t jobs = aTasks / kTasksPerWorker;
    for (std::uint64_t batch = 0; batch < kBatches; ++batch) {
      for (std::uint64_t job = 0; job < jobs / kBatches; ++job) {
        jobs::Step step{ .count = kTasksPerWorker,
                         .request = { MilliCores(500), Mebibytes(256), {} },
                         .estimate = Duration(1000) };
        if (job % 2 == 1)
          step.preferredRack =
            RackId(RackOf((batch + job) % (workers / kRackSize)));
        Submit({ step }, { .runTime = Duration(1000) });
      }
      Run(Duration(10));
    }
  }

  const std::uint64_t workers;
};

} // namespace

TEST_CASE("placing a task examines few workers however many there are")
{
  constexpr std::uint64_t kMaxExaminedPerRun = 20;
  OpenFleet fleet(GENERATE(350U, 2200U));
  CAPTURE(fleet.workers);
  // Three times as many tasks as there is room for.
  fleet.SubmitTasks(fleet.workers * OpenFleet::kTasksPerWorker * 3);
  fleet.Run(Duration(2500));
  const DispatchWork& work = fleet.Work();
  CAPTURE(work.passes, work.examinedWorkers);
  CHECK(work.proposedRuns >= fleet.workers * OpenFleet::kTasksPerWorker * 2);
  CHECK(work.examinedWorkers <= work.proposedRuns * kMaxExaminedPerRun);
  for (const std::string& violation : fleet.violations)
    FAIL_CHECK(violation);
}

TEST_CASE("the former incarnations of restarted workers don't pile up")
{
  constexpr std::size_t kFleetSize = 10;
  SimulatedFleet fleet;
  for (std::size_t number = 0; number < kFleetSize; ++number)
    fleet.AddWorker("w" + std::to_string(number));
  fleet.Run(Duration(1000));
  for (int restart = 0; restart < 5; ++restart) {
    fleet.Submit(
      { { .count = 20, .request = { MilliCores(500), Mebibytes(256), {} } } },
      { .runTime = Duration(300) });
    fleet.Run(Duration(100));
    for (std::size_t number = 0; number < kFleetSize; ++number)
      fleet.CrashWorker("w" + std::to_string(number), Duration(100));
    fleet.Run(Duration(1000));
  }
  // A call without an answer keeps a former incarnation for some seconds.
  CHECK(fleet.RegisteredWorkers() <= kFleetSize * 2);
  for (const std::string& violation : fleet.violations)
    FAIL_CHECK(violation);
}
