#include "SimulatedFleet.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <string>
#include <vector>

using namespace greengage;
using namespace greengage::schedule;

namespace {

struct StepSize
{
  std::int64_t milliCores = 500;
  std::int64_t mebibytes = 256;
};

jobs::Step
MakePersistentStep(std::uint32_t aCount, StepSize aSize = {})
{
  return {
    .count = aCount,
    .request = { MilliCores(aSize.milliCores), Mebibytes(aSize.mebibytes), {} },
    .maxPerWorker = 1,
    .isPersistent = true
  };
}

jobs::Step
MakeShortStep(std::uint64_t aCount)
{
  return { .count = static_cast<std::uint32_t>(aCount),
           .request = { MilliCores(1500), Mebibytes(2000), {} },
           .estimate = Duration(800) };
}

constexpr Duration kMaxLease = Duration::Seconds(6);
constexpr Duration kLong = Duration::Seconds(60);

/// A fleet of workers that grant leases of up to 6 s.
struct Fixture : SimulatedFleet
{
  explicit Fixture(std::uint64_t aSeed = 1)
    : SimulatedFleet(aSeed, false, kMaxLease)
  {
    Run(Duration(200));
  }
  void AddWorkers(const std::vector<std::string>& aIds)
  {
    for (const std::string& id : aIds)
      AddWorker(id);
    Run(Duration(500));
  }
  void CheckInvariants()
  {
    for (const std::string& violation : violations)
      FAIL_CHECK(violation);
  }
};

} // namespace

TEST_CASE_METHOD(Fixture,
                 "persistent tasks restart if their worker's next incarnation "
                 "answers calls but is lost before it registers")
{
  AddWorkers({ "w1", "w2", "w3", "w4" });
  const jobs::JobId job = Submit({ MakePersistentStep(2) });
  Run(Duration::Seconds(8));
  REQUIRE(RunCountOf(job) == 2);
  REQUIRE(RunsOn("w1") == 1);
  BlockHeartbeats("w1", kLong);
  CrashWorker("w1", Duration(50));
  Run(Duration::Seconds(2));
  CrashWorker("w1", std::nullopt);
  Run(Duration::Seconds(8));
  CHECK(RunCountOf(job) == 2);
  CheckInvariants();
}

TEST_CASE_METHOD(
  Fixture,
  "a persistent task restarts if an unregistered incarnation has "
  "answered its start and is lost")
{
  executesCallsToEarlierIncarnations = true;
  AddWorkers({ "w1", "w2", "w3" });
  Run(Duration::Seconds(8));
  // The worker has answered a call shortly before.
  Submit({ MakeShortStep(1) }, { .runTime = Duration(100) });
  Run(Duration(500));
  BlockHeartbeats("w1", kLong);
  CrashWorker("w1", Duration(50));
  Run(Duration(200));
  const jobs::JobId job = Submit({ MakePersistentStep(1) });
  Run(Duration(1000));
  REQUIRE(RunsOn("w1") == 1);
  CrashWorker("w1", std::nullopt);
  Run(Duration::Seconds(8));
  CHECK(HasRun(job));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "persistent tasks that a new leader has taken over restart if "
                 "their worker restarts and is lost again")
{
  AddWorkers({ "w1", "w2", "w3", "w4" });
  const jobs::JobId job = Submit({ MakePersistentStep(2) });
  Run(Duration(500));
  ChangeLeader();
  Run(Duration::Seconds(20));
  REQUIRE(RunCountOf(job) == 2);
  REQUIRE(RunsOn("w1") == 1);
  // The new incarnation registers, but no call reaches it.
  BlockCalls("w1", kLong);
  CrashWorker("w1", Duration(50));
  Run(Duration::Seconds(1));
  CrashWorker("w1", std::nullopt);
  Run(Duration::Seconds(8));
  CHECK(RunCountOf(job) == 2);
  CheckInvariants();
}

TEST_CASE_METHOD(
  Fixture,
  "persistent tasks restart if their worker restarts and is lost "
  "again shortly after a change of leader")
{
  AddWorkers({ "w1", "w2", "w3", "w4" });
  const jobs::JobId job = Submit({ MakePersistentStep(2) });
  Run(Duration::Seconds(8));
  ChangeLeader();
  Run(Duration(500));
  REQUIRE(RunCountOf(job) == 2);
  REQUIRE(RunsOn("w1") == 1);
  BlockCalls("w1", kLong);
  CrashWorker("w1", Duration(50));
  Run(Duration::Seconds(1));
  CrashWorker("w1", std::nullopt);
  Run(Duration::Seconds(8));
  CHECK(RunCountOf(job) == 2);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a task with a reservation starts on another worker that has "
                 "enough capacity")
{
  AddWorkers({ "w1", "w2" });
  Submit({ MakePersistentStep(2, { .mebibytes = 6000 }) });
  Run(Duration(200));
  const jobs::JobId job =
    Submit({ MakePersistentStep(1, { .mebibytes = 4000 }) });
  Run(Duration(200));
  AddWorkers({ "w3" });
  CHECK(HasRun(job));
  CheckInvariants();
}

TEST_CASE_METHOD(
  Fixture,
  "no capacity is reserved on workers that persistent tasks keep "
  "full")
{
  AddWorkers({ "w1", "w2" });
  Submit({ MakePersistentStep(2, { .mebibytes = 5000 }) });
  Run(Duration(200));
  const jobs::JobId tooLarge =
    Submit({ MakePersistentStep(2, { .mebibytes = 6000 }) });
  Run(Duration(200));
  const jobs::JobId small =
    Submit({ MakePersistentStep(1, { .mebibytes = 1000 }) });
  Run(Duration::Seconds(10));
  CHECK(HasRun(small));
  CHECK_FALSE(HasRun(tooLarge));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a persistent task of a removed queue restarts after all "
                 "control hosts have restarted")
{
  AddWorkers({ "w1", "w2", "w3", "w4" });
  const jobs::JobId job = Submit({ MakePersistentStep(1) });
  Run(Duration(500));
  REQUIRE(RunsOn("w1") == 1);
  Send(ConfigurationPut{ .version = jobs::ConfigurationVersion(2),
                         .text = kNoQueues });
  Run(Duration(500));
  RestartControlHosts();
  Run(Duration::Seconds(8));
  CrashWorker("w1", std::nullopt);
  Run(Duration::Seconds(8));
  CHECK(HasRun(job));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a persistent task is not started on one unreachable worker "
                 "after another")
{
  AddWorkers({ "w1", "w2", "w3", "w4", "w5", "w6" });
  const jobs::JobId job = Submit({ MakePersistentStep(1) });
  Run(Duration::Seconds(8));
  REQUIRE(RunsOn("w1") == 1);
  for (const char* id : { "w2", "w3", "w4" })
    BlockCalls(id, kLong);
  CrashWorker("w1", std::nullopt);
  Run(Duration::Seconds(20));
  CHECK(HasRun(job));
  CheckInvariants();
}

TEST_CASE_METHOD(
  Fixture,
  "a persistent task whose start was not recorded before a change of leader "
  "restarts if its worker restarts unregistered and is lost")
{
  AddWorkers({ "w1", "w2", "w3", "w4" });
  const jobs::JobId job = Submit({ MakePersistentStep(2) });
  REQUIRE(RunUntil([&] { return RunCountOf(job) == 2; }, Duration::Seconds(1)));
  ChangeLeader();
  Run(Duration::Seconds(8));
  REQUIRE(RunsOn("w1") == 1);
  BlockHeartbeats("w1", kLong);
  CrashWorker("w1", Duration(50));
  Run(Duration::Seconds(2));
  CrashWorker("w1", std::nullopt);
  Run(Duration::Seconds(8));
  CHECK(RunCountOf(job) == 2);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a persistent task restarts in time if busy workers have "
                 "stopped answering shortly before")
{
  const std::vector<std::string> ids{ "w1", "w2", "w3", "w4", "w5" };
  AddWorkers(ids);
  Submit({ MakePersistentStep(3, { .milliCores = 1000 }) });
  Run(Duration::Seconds(1));
  const jobs::JobId job = Submit({ MakePersistentStep(1) });
  Run(Duration::Seconds(8));
  REQUIRE(HasRun(job));
  std::vector<std::string> busy;
  std::string lost;
  for (const std::string& id : ids) {
    if (RunsOn(id) == 2)
      lost = id;
    if (RunsOn(id) == 1)
      busy.push_back(id);
  }
  REQUIRE(!lost.empty());
  REQUIRE(busy.size() == 2);
  // The lease of the lost worker expires 3.9 to 4.9 s after its loss.
  const Duration span = Duration(GENERATE(3800, 4000, 4200, 4400, 4600, 4800));
  INFO("calls blocked after " << span.Millis() << " ms");
  CrashWorker(lost, std::nullopt);
  Run(span);
  for (const std::string& id : busy)
    BlockCalls(id, kLong);
  Run(Duration::Seconds(6) - span);
  CHECK(HasRun(job));
  Run(Duration::Seconds(6));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a persistent task restarts in time after two crashes of its "
                 "workers although all others have persistent runs")
{
  const std::vector<std::string> ids{ "w1", "w2", "w3", "w4", "w5" };
  AddWorkers(ids);
  Submit({ MakePersistentStep(5) });
  Run(Duration::Seconds(2));
  const jobs::JobId job = Submit({ MakePersistentStep(1) });
  for (int crash = 0; crash < 2; ++crash) {
    REQUIRE(RunUntil([&] { return HasRun(job); }, Duration::Seconds(8)));
    Run(Duration(300));
    for (const std::string& id : ids)
      if (RunsOn(id) == 2)
        CrashWorker(id, Duration::Seconds(2));
    REQUIRE_FALSE(HasRun(job));
  }
  Run(Duration::Seconds(6));
  CHECK(HasRun(job));
  Run(Duration::Seconds(6));
  CheckInvariants();
}

namespace {

/// Workers that execute calls sent to their earlier incarnations. A start on
/// w1, which runs the task, is still in flight.
struct DelayedStartFixture : Fixture
{
  DelayedStartFixture()
  {
    executesCallsToEarlierIncarnations = true;
    AddWorkers({ "w1", "w2", "w3", "w4" });
    faults.minCallDelay = Duration(4000);
    faults.maxCallDelay = Duration(4001);
    faults.delayedCallPercent = 100;
    job = Submit({ MakePersistentStep(1) });
    Run(Duration(100));
    faults.delayedCallPercent = 0;
  }
  /// Restarts w1 so that the start arrives before any call of the leader.
  void RestartBeforeStartArrives()
  {
    Run(Duration(1000));
    BlockHeartbeats("w1", Duration(4000));
    CrashWorker("w1", Duration(50));
    Run(Duration::Seconds(10));
  }

  jobs::JobId job;
};

} // namespace

TEST_CASE_METHOD(DelayedStartFixture,
                 "a start of the leader's own term that the worker's next "
                 "incarnation executes does not run beside another one")
{
  REQUIRE(RunUntil([&] { return HasRun(job); }, Duration::Seconds(2)));
  Run(Duration(1400));
  REQUIRE(RunsOn("w1") == 1);
  RestartBeforeStartArrives();
  CheckInvariants();
}

TEST_CASE_METHOD(DelayedStartFixture,
                 "a start of an earlier term that the worker's next "
                 "incarnation executes does not run beside another one")
{
  REQUIRE(RunUntil([&] { return HasRun(job); }, Duration::Seconds(2)));
  ChangeLeader();
  Run(Duration(1400));
  REQUIRE(RunsOn("w1") == 1);
  RestartBeforeStartArrives();
  CheckInvariants();
}

TEST_CASE_METHOD(DelayedStartFixture,
                 "a start of an earlier term that the worker has not listed "
                 "does not run beside another one")
{
  ChangeLeader();
  REQUIRE(RunUntil([&] { return HasRun(job); }, Duration::Seconds(2)));
  Run(Duration(1400));
  RestartBeforeStartArrives();
  CheckInvariants();
}

namespace {

/// Workers under random faults, and jobs on them.
class FaultInjector
{
public:
  explicit FaultInjector(SimulatedFleet& aFleet)
    : fleet_(aFleet)
  {
    for (int number = 1; number <= 10; ++number)
      workers_.push_back(AddWorker());
  }

  /// Injects one fault of a worker or, in half of the calls, none.
  void InjectWorkerFault()
  {
    std::string& worker = workers_[fleet_.random() % workers_.size()];
    const auto fault = fleet_.random() % 16;
    if (!fleet_.IsUp(worker))
      return;
    switch (fault) {
      case 0:
        fleet_.CrashWorker(worker, RandomDuration(4000));
        break;
      case 1: {
        // The host's next worker has another id.
        const std::string next = "w" + std::to_string(++lastWorker_);
        fleet_.ReplaceWorker(worker, next, RandomDuration(4000));
        worker = next;
        break;
      }
      case 2:
        fleet_.CrashWorker(worker, std::nullopt);
        worker = AddWorker();
        break;
      case 3:
        fleet_.PartitionWorker(worker, RandomDuration(9000));
        break;
      case 4:
        fleet_.BlockCalls(worker, RandomDuration(9000));
        break;
      case 5:
        fleet_.BlockHeartbeats(worker, RandomDuration(9000));
        break;
      case 6:
      case 7:
        RestartAndLose(worker, fault == 6);
        worker = AddWorker();
        break;
      default:
        break;
    }
  }

  /// Injects one fault that concerns leaders or all workers or, in half of the
  /// calls, none.
  void InjectGeneralFault()
  {
    switch (fleet_.random() % 10) {
      case 0:
        fleet_.ChangeLeader(RandomDuration(3000));
        break;
      case 1:
        fleet_.ChangeLeader();
        fleet_.Run(RandomDuration(1000));
        fleet_.ChangeLeader();
        break;
      case 2:
        fleet_.RestartControlHosts();
        break;
      case 3:
        fleet_.faults.lostReplyPercent = static_cast<int>(RandomBelow(20));
        break;
      case 4:
        for (const std::string& worker : workers_)
          if (RandomBelow(3) == 0 && fleet_.IsUp(worker))
            fleet_.PartitionWorker(worker, RandomDuration(9000));
        break;
      default:
        break;
    }
  }

  std::uint64_t RandomBelow(std::uint64_t aLimit)
  {
    return fleet_.random() % aLimit;
  }
  Duration RandomDuration(std::uint64_t aLimit)
  {
    return Duration(static_cast<std::int64_t>(RandomBelow(aLimit)));
  }

private:
  std::string AddWorker()
  {
    std::string id = "w" + std::to_string(++lastWorker_);
    const std::vector<std::string> labels =
      lastWorker_ % 2 == 0 ? std::vector<std::string>{ "fast" }
                           : std::vector<std::string>{};
    fleet_.AddWorker(id, SimulatedFleet::kDefaultCapacity, "r1", labels);
    return id;
  }

  /// The worker restarts, either its calls or its heartbeats are lost, and it
  /// stops for good.
  void RestartAndLose(const std::string& aWorker, bool aLosesCalls)
  {
    if (aLosesCalls)
      fleet_.BlockCalls(aWorker, kLong);
    else
      fleet_.BlockHeartbeats(aWorker, kLong);
    const Duration restart = RandomDuration(500);
    fleet_.CrashWorker(aWorker, restart);
    fleet_.Run(restart + RandomDuration(3000));
    if (fleet_.IsUp(aWorker))
      fleet_.CrashWorker(aWorker, std::nullopt);
  }

  SimulatedFleet& fleet_;
  std::vector<std::string> workers_;
  int lastWorker_ = 0;
};

} // namespace

TEST_CASE("persistent tasks restart in time under random faults")
{
  const auto seeds = SeedRange();
  const auto seed =
    GENERATE_COPY(range<std::uint64_t>(seeds.first, seeds.second + 1));
  INFO("seed " << seed);
  Fixture fleet(seed);
  FaultInjector injector(fleet);
  fleet.Run(Duration(500));
  std::vector<jobs::JobId> jobs;
  for (int number = 0; number < 4; ++number) {
    const auto randomSize = [&] {
      return StepSize{
        .milliCores = static_cast<std::int64_t>(injector.RandomBelow(1000)),
        .mebibytes = static_cast<std::int64_t>(injector.RandomBelow(4000))
      };
    };
    jobs::Step labelled = MakePersistentStep(1, randomSize());
    labelled.requiredLabel = "fast";
    jobs.push_back(
      fleet.Submit({ MakePersistentStep(3, randomSize()), labelled }));
    fleet.Run(Duration(100));
  }
  constexpr Duration kPeriod = Duration::Seconds(25);
  constexpr Duration kGeneralFaultTime = Duration::Seconds(6);
  for (int period = 0; period < 3; ++period) {
    for (Duration elapsed; elapsed < kPeriod;) {
      const bool isGeneral = elapsed < kGeneralFaultTime;
      if (isGeneral)
        injector.InjectGeneralFault();
      else
        fleet.faults = {};
      injector.InjectWorkerFault();
      if (injector.RandomBelow(2) == 0) {
        const Duration runTime = injector.RandomDuration(1500);
        fleet.Submit({ MakeShortStep(1 + injector.RandomBelow(4)) },
                     { .runTime = runTime });
      }
      const Duration span = Duration(100) + injector.RandomDuration(700);
      fleet.Run(span);
      elapsed = elapsed + span;
    }
  }
  fleet.Run(Duration::Seconds(15));
  for (const jobs::JobId job : jobs)
    CHECK(fleet.RunCountOf(job) == 4);
  for (const std::string& violation : fleet.violations)
    FAIL_CHECK(violation);
}
