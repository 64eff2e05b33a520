#include "SimulatedFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

using namespace greengage;
using namespace greengage::schedule;

namespace {

const TaskBehavior kCrashing{ .crashesWorkerAfter = Duration(10) };
/// Time for three crashes and restarts, and for the delays between them.
constexpr Duration kGiveUpTime = Duration::Seconds(20);

jobs::Step
MakeStep(std::uint32_t aCount)
{
  return { .count = aCount,
           .request = { MilliCores(500), Mebibytes(256), {} },
           .estimate = Duration(800) };
}

jobs::Step
MakePersistentStep()
{
  jobs::Step step = MakeStep(1);
  step.isPersistent = true;
  return step;
}

/// An idle fleet of five registered workers.
struct Fixture : SimulatedFleet
{
  explicit Fixture(bool aHasProvider = false)
    : SimulatedFleet(1, aHasProvider)
  {
    // Long enough that no job is rejected for load.
    reader.objective = Duration::Seconds(600);
    Run(Duration(200));
    for (const std::string& id : workerIds)
      AddWorker(id);
    Run(Duration(500));
  }
  bool ReachesState(jobs::JobId aJob, JobProgress aState, Duration aSpan)
  {
    return RunUntil([&] { return QueryState(aJob) == aState; }, aSpan);
  }
  std::string WorkerOf(jobs::JobId aJob)
  {
    REQUIRE(RunUntil([&] { return HasRun(aJob); }, Duration::Seconds(12)));
    for (const std::string& id : workerIds)
      if (RunsOn(id) > 0)
        return id;
    return {};
  }
  void CheckInvariants()
  {
    for (const std::string& violation : violations)
      FAIL_CHECK(violation);
  }

  const std::vector<std::string> workerIds{ "w1", "w2", "w3", "w4", "w5" };
};

/// The same, after the planner has read the provider's list of hosts.
struct ProviderFixture : Fixture
{
  ProviderFixture()
    : Fixture(true)
  {
    Run(Duration(4500));
  }
};

} // namespace

TEST_CASE_METHOD(Fixture,
                 "a task that crashes each worker that starts it is given up")
{
  const Duration crashesAfter = GENERATE(Duration(10), Duration(600));
  const jobs::JobId job =
    Submit({ MakeStep(1) }, { .crashesWorkerAfter = crashesAfter });
  CHECK(ReachesState(job, JobProgress::Failed, kGiveUpTime));
  Run(Duration::Seconds(10));
  CHECK(MaxCrashes(job) == 3);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a persistent task that crashes its workers is started again "
                 "each time")
{
  const jobs::JobId job = Submit({ MakePersistentStep() }, kCrashing);
  CHECK(RunUntil([&] { return MaxCrashes(job) == 12; }, Duration::Seconds(60)));
  CHECK(QueryState(job) == JobProgress::Running);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a gang with a task that crashes its workers is given up")
{
  jobs::Step gang = MakeStep(4);
  gang.isGang = true;
  const jobs::JobId job = Submit({ gang }, kCrashing);
  CHECK(ReachesState(job, JobProgress::Failed, kGiveUpTime));
  CHECK(MaxCrashes(job) == 3);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "tasks that run beside one that crashes its workers complete")
{
  std::vector<jobs::JobId> neighbors;
  neighbors.reserve(5);
  for (int count = 0; count < 4; ++count)
    neighbors.push_back(Submit({ MakeStep(3) }, { .runTime = Duration(1500) }));
  neighbors.push_back(Submit({ MakePersistentStep() }));
  const std::vector<jobs::JobId> crashing{ Submit({ MakeStep(4) }, kCrashing),
                                           Submit({ MakeStep(1) }, kCrashing) };
  for (const jobs::JobId job : crashing)
    CHECK(ReachesState(job, JobProgress::Failed, kGiveUpTime));
  const jobs::JobId service = neighbors.back();
  CHECK(QueryState(service) == JobProgress::Running);
  neighbors.pop_back();
  for (const jobs::JobId job : neighbors)
    CHECK(ReachesState(job, JobProgress::Completed, Duration::Seconds(10)));
  CHECK(RunUntil([&] { return HasRun(service); }, Duration::Seconds(4)));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture, "the crashes under a task are counted across leaders")
{
  const jobs::JobId job = Submit({ MakeStep(1) }, kCrashing);
  for (const std::uint32_t crashes : { 1U, 2U }) {
    REQUIRE(RunUntil([&] { return MaxCrashes(job) == crashes; }, kGiveUpTime));
    // Before the crashed worker has restarted.
    Run(Duration(500));
    ChangeLeader();
  }
  CHECK(ReachesState(job, JobProgress::Failed, kGiveUpTime));
  // The new leaders don't know whether the first two starts were confirmed.
  CHECK(MaxCrashes(job) <= 4);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a crash is charged if the leader changes seconds after it")
{
  const jobs::JobId job = Submit(
    { MakeStep(1) },
    { .crashesWorkerAfter = Duration(250), .restartDelay = Duration(6000) });
  for (const std::uint32_t crashes : { 1U, 2U, 3U }) {
    REQUIRE(RunUntil([&] { return MaxCrashes(job) == crashes; }, kGiveUpTime));
    // Shortly before the lease of the run expires.
    Run(Duration(4000));
    ChangeLeader();
  }
  CHECK(ReachesState(job, JobProgress::Failed, Duration::Seconds(40)));
  CheckInvariants();
}

TEST_CASE_METHOD(
  Fixture,
  "a worker that restarts after the lease of its runs has expired has crashed")
{
  const jobs::JobId job = Submit(
    { MakeStep(1) },
    { .crashesWorkerAfter = Duration(10), .restartDelay = Duration(7000) });
  CHECK(ReachesState(job, JobProgress::Failed, Duration::Seconds(40)));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a new worker on the host of an earlier one shows its crash")
{
  const jobs::JobId job = Submit({ MakeStep(1) });
  for (const char* suffix : { "-b", "-c", "-d" }) {
    REQUIRE(QueryState(job) != JobProgress::Failed);
    const std::string worker = WorkerOf(job);
    CrashWorker(worker, std::nullopt);
    Run(Duration(3000));
    AddWorker(worker + suffix, kDefaultCapacity, "r1", {}, "host-" + worker);
    Run(Duration(30));
  }
  CHECK(QueryState(job) == JobProgress::Failed);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture, "a partition of a worker is not a crash")
{
  const jobs::JobId job = Submit({ MakePersistentStep() });
  for (int count = 0; count < 3; ++count) {
    PartitionWorker(WorkerOf(job), Duration(8000));
    Run(Duration(9000));
  }
  CHECK(QueryState(job) == JobProgress::Running);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "workers that were cut off until they were retired have not "
                 "crashed")
{
  const jobs::JobId job =
    Submit({ MakeStep(1) }, { .runTime = Duration::Seconds(100) });
  std::vector<std::string> workers;
  for (int count = 0; count < 3; ++count) {
    workers.push_back(WorkerOf(job));
    PartitionWorker(workers.back(), Duration::Seconds(14));
    REQUIRE(RunUntil([&] { return !HasRun(job); }, Duration::Seconds(8)));
  }
  Run(Duration::Seconds(16));
  for (const std::string& worker : workers)
    CrashWorker(worker, Duration(1000));
  Run(Duration::Seconds(3));
  CHECK(QueryState(job) == JobProgress::Running);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture, "an announced departure of a worker is not a crash")
{
  const jobs::JobId job = Submit({ MakePersistentStep() });
  for (int count = 0; count < 3; ++count) {
    const std::string worker = WorkerOf(job);
    ReclaimWorker(worker, Duration(100));
    Run(Duration(3000));
    AddWorker(worker);
    Run(Duration(100));
  }
  CHECK(QueryState(job) == JobProgress::Running);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a task that has run for long is not blamed for a crash")
{
  const jobs::JobId job = Submit({ MakePersistentStep() });
  for (int count = 0; count < 4; ++count) {
    const std::string worker = WorkerOf(job);
    Run(Duration(5000));
    CrashWorker(worker, Duration(3000));
    Run(Duration(100));
  }
  CHECK(QueryState(job) == JobProgress::Running);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "tasks with a crash run although few workers are left")
{
  for (const char* id : { "w2", "w3", "w4", "w5" })
    CrashWorker(id, std::nullopt);
  Run(Duration(4000));
  std::vector<jobs::JobId> jobs;
  jobs.reserve(6);
  for (int count = 0; count < 6; ++count)
    jobs.push_back(Submit({ MakeStep(1) }));
  Run(Duration(100));
  REQUIRE(RunsOn("w1") == 6);
  CrashWorker("w1", Duration(3000));
  Run(Duration(3200));
  for (const jobs::JobId job : jobs)
    CHECK(RunUntil(
      [&] { return HasRun(job) || QueryState(job) == JobProgress::Completed; },
      Duration(2500)));
  for (const jobs::JobId job : jobs)
    CHECK(ReachesState(job, JobProgress::Completed, Duration::Seconds(6)));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a task with a crash does not hold up the others of its step")
{
  for (const char* id : { "w2", "w3", "w4", "w5" })
    CrashWorker(id, std::nullopt);
  Run(Duration(4000));
  // The worker has room for eight tasks, so four of the second job wait.
  const jobs::JobId first =
    Submit({ MakeStep(1) }, { .runTime = Duration(3000) });
  const jobs::JobId second = Submit({ MakeStep(11) });
  Run(Duration(100));
  REQUIRE(RunsOn("w1") == 8);
  CrashWorker("w1", Duration(3000));
  Run(Duration(3000));
  CHECK(RunUntil([&] { return RunsOn("w1") == 5; }, Duration(300)));
  CHECK(HasRun(first));
  CHECK(ReachesState(first, JobProgress::Completed, Duration::Seconds(6)));
  CHECK(ReachesState(second, JobProgress::Completed, Duration::Seconds(6)));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "only tasks that crash their workers are given up in a full "
                 "pool")
{
  std::vector<jobs::JobId> innocent;
  std::vector<jobs::JobId> crashing;
  constexpr int kRounds = 40;
  innocent.reserve(kRounds * 3);
  crashing.reserve(kRounds);
  for (int round = 0; round < kRounds; ++round) {
    for (int count = 0; count < 3; ++count)
      innocent.push_back(
        Submit({ MakeStep(4) }, { .runTime = Duration(1200) }));
    if (round % 8 == 0)
      crashing.push_back(Submit({ MakeStep(3) }, kCrashing));
    Run(Duration(250));
  }
  for (const jobs::JobId job : innocent)
    CHECK(ReachesState(job, JobProgress::Completed, Duration::Seconds(60)));
  for (const jobs::JobId job : crashing)
    CHECK(ReachesState(job, JobProgress::Failed, Duration::Seconds(60)));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a task is given up whose crashed workers restart only after "
                 "they were retired")
{
  for (int number = 6; number < 14; ++number)
    AddWorker("w" + std::to_string(number));
  Run(Duration(500));
  const jobs::JobId job = Submit(
    { MakeStep(1) },
    { .crashesWorkerAfter = Duration(10), .restartDelay = Duration(14000) });
  CHECK(ReachesState(job, JobProgress::Failed, Duration::Seconds(60)));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a task is given up whose crashed workers take 20 s to "
                 "restart")
{
  for (int number = 6; number < 14; ++number)
    AddWorker("w" + std::to_string(number));
  Run(Duration(500));
  const jobs::JobId job = Submit(
    { MakeStep(1) },
    { .crashesWorkerAfter = Duration(10), .restartDelay = Duration(20000) });
  CHECK(ReachesState(job, JobProgress::Failed, Duration::Seconds(60)));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a task is given up whose crashed workers restart only after "
                 "a change of leader")
{
  for (int number = 6; number < 14; ++number)
    AddWorker("w" + std::to_string(number));
  Run(Duration(500));
  const jobs::JobId job = Submit(
    { MakeStep(1) },
    { .crashesWorkerAfter = Duration(10), .restartDelay = Duration(14000) });
  REQUIRE(RunUntil([&] { return MaxCrashes(job) == 2; }, kGiveUpTime));
  // The leases of both runs have expired.
  Run(Duration(6000));
  ChangeLeader();
  CHECK(ReachesState(job, JobProgress::Failed, Duration::Seconds(60)));
  CheckInvariants();
}

TEST_CASE_METHOD(ProviderFixture,
                 "maintenance of hosts whose workers were retired is not a "
                 "crash")
{
  const jobs::JobId job =
    Submit({ MakeStep(1) }, { .runTime = Duration::Seconds(100) });
  std::vector<jobs::HostId> hosts;
  for (int count = 0; count < 3; ++count) {
    const std::string worker = WorkerOf(job);
    hosts.emplace_back("host-" + worker);
    PartitionWorker(worker, Duration::Seconds(60));
    REQUIRE(RunUntil([&] { return !HasRun(job); }, Duration::Seconds(8)));
  }
  Run(Duration::Seconds(13));
  Send(WaveStart{ .id = jobs::WaveId(1),
                  .hosts = hosts,
                  .maxConcurrentHosts = 3,
                  .timeLimit = Duration::Seconds(20) });
  Run(Duration::Seconds(10));
  const auto orders = std::count_if(
    hostCalls.begin(), hostCalls.end(), [](const HostCall& aCall) {
      return std::holds_alternative<MaintainHost>(aCall.request);
    });
  CHECK(orders == 3);
  CHECK(QueryState(job) == JobProgress::Running);
  CheckInvariants();
}

TEST_CASE_METHOD(
  Fixture,
  "crashes beside changes of leader are not charged to runs that "
  "have gone on for long")
{
  constexpr std::size_t kJobs = 30;
  std::vector<jobs::JobId> jobs;
  jobs.reserve(kJobs);
  for (std::size_t count = 0; count < kJobs; ++count)
    jobs.push_back(
      Submit({ MakeStep(1) }, { .runTime = Duration::Seconds(60) }));
  for (int round = 0; round < 6; ++round) {
    CHECK(
      RunUntil([&] { return TotalRuns() == kJobs; }, Duration::Seconds(20)));
    Run(Duration::Seconds(5));
    for (const std::string& id : workerIds)
      CrashWorker(id, Duration(1000));
    RestartControlHosts();
  }
  Run(Duration::Seconds(20));
  for (const jobs::JobId job : jobs)
    CHECK(QueryState(job) != JobProgress::Failed);
}

TEST_CASE_METHOD(Fixture,
                 "crashes shortly after changes of leader are not charged to "
                 "runs that have gone on for long")
{
  const jobs::JobId job =
    Submit({ MakeStep(1) }, { .runTime = Duration::Seconds(60) });
  for (int round = 0; round < 4; ++round) {
    const std::string worker = WorkerOf(job);
    Run(Duration::Seconds(5));
    ChangeLeader();
    // The worker lists the run to the new leader.
    Run(Duration(300));
    CrashWorker(worker, Duration(1000));
    REQUIRE(RunUntil([&] { return !HasRun(job); }, Duration(100)));
    Run(Duration(1500));
  }
  CHECK(QueryState(job) != JobProgress::Failed);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a persistent task that crashes its workers restarts in time "
                 "each time")
{
  jobs::Step spread = MakePersistentStep();
  spread.count = 5;
  spread.maxPerWorker = 1;
  Submit({ spread });
  Run(Duration::Seconds(2));
  const jobs::JobId job = Submit(
    { MakePersistentStep() },
    { .crashesWorkerAfter = Duration(300), .restartDelay = Duration(2000) });
  Run(Duration::Seconds(60));
  CHECK(MaxCrashes(job) >= 8);
  CHECK(QueryState(job) == JobProgress::Running);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a persistent task is not given up for crashes of its workers "
                 "beside changes of leader")
{
  const jobs::JobId job = Submit({ MakePersistentStep() });
  for (int round = 0; round < 3; ++round) {
    const std::string worker = WorkerOf(job);
    Run(Duration::Seconds(10));
    ChangeLeader();
    Run(Duration(300));
    CrashWorker(worker, Duration(1000));
    Run(Duration(1500));
  }
  Run(Duration::Seconds(20));
  CHECK(QueryState(job) != JobProgress::Failed);
  CHECK(HasRun(job));
  CheckInvariants();
}
