#include "SimulatedFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace greengage;
using namespace greengage::schedule;

namespace {

jobs::Step
MakeStep(std::uint32_t aCount, std::int64_t aMilliCores = 1000)
{
  return { .count = aCount,
           .request = { MilliCores(aMilliCores), Mebibytes(256), {} },
           .estimate = Duration(800) };
}

/// An idle fleet of three registered workers.
struct Fixture : SimulatedFleet
{
  explicit Fixture(Duration aObjective = Duration(600))
  {
    reader.objective = aObjective;
    Run(Duration(200));
    for (const char* id : { "w1", "w2", "w3" })
      AddWorker(id);
    Run(Duration(500));
  }
  bool ReachesState(jobs::JobId aJob, JobProgress aState, Duration aSpan)
  {
    return RunUntil([&] { return QueryState(aJob) == aState; }, aSpan);
  }
  void CheckInvariants()
  {
    for (const std::string& violation : violations)
      FAIL_CHECK(violation);
  }
};

} // namespace

TEST_CASE_METHOD(Fixture, "a job with two dependent steps completes")
{
  jobs::Step second = MakeStep(2);
  second.dependencies = { 0 };
  const jobs::JobId job = Submit({ MakeStep(6), second });
  CHECK(QueryState(job) == std::nullopt);
  Run(Duration(100));
  CHECK(QueryState(job) == JobProgress::Running);
  CHECK(TotalRuns() == 6);
  CHECK(ReachesState(job, JobProgress::Completed, Duration(3000)));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture, "the first run of a job starts within a few commits")
{
  Submit({ MakeStep(1) });
  CHECK(RunUntil([&] { return TotalRuns() == 1; }, Duration(60)));
}

TEST_CASE_METHOD(
  Fixture,
  "a repeated submission of a job is accepted, and the job runs once")
{
  const jobs::JobId job = Submit({ MakeStep(1) });
  Run(Duration(50));
  Send(QueueCall{
    .verb = QueueVerb::Submit,
    .hostName = "h",
    .path = "/p/" + ToString(job),
    .key = "key",
    .job = jobs::JobDescription{ .payload = "x", .steps = { MakeStep(1) } } });
  REQUIRE(LastReply() != nullptr);
  CHECK(std::holds_alternative<Accepted>(*LastReply()));
  CHECK(ReachesState(job, JobProgress::Completed, Duration(3000)));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "invalid queue calls are refused with the documented errors")
{
  const auto refusal =
    [&](std::string aHost, std::string aPath, std::string aKey) {
      Send(QueueCall{ .verb = QueueVerb::Query,
                      .hostName = std::move(aHost),
                      .path = std::move(aPath),
                      .key = std::move(aKey),
                      .job = std::nullopt });
      const auto* refused = std::get_if<Refused>(LastReply());
      return refused == nullptr ? ErrorKind::None : refused->reason.kind;
    };
  CHECK(refusal("h", "/other/", "key") == ErrorKind::NotFound);
  CHECK(refusal("other", "/p/", "key") == ErrorKind::NotFound);
  CHECK(refusal("h", "/p/", "wrong") == ErrorKind::Unauthenticated);
  CHECK(refusal("h", "/p/", "") == ErrorKind::Unauthenticated);
  CHECK(refusal("h", "/p/xyz", "key") == ErrorKind::Malformed);
  CHECK(refusal("h", "/p/", "key") == ErrorKind::None);
  CHECK(QueryState(jobs::JobId(77)) == std::nullopt);
  CHECK(std::holds_alternative<NoSuchJob>(*LastReply()));
}

TEST_CASE_METHOD(Fixture,
                 "operations that arrive during a commit share one log entry")
{
  constexpr std::size_t kSubmissions = 100;
  const Duration interval(5);
  const std::size_t before = LogEntryCount();
  for (std::size_t number = 0; number < kSubmissions; ++number) {
    Submit({ { .count = 1 } });
    Run(interval);
  }
  const std::size_t commits = kSubmissions *
                              static_cast<std::size_t>(interval.Millis()) /
                              static_cast<std::size_t>(kCommitLatency.Millis());
  REQUIRE(LogEntryCount() > before);
  REQUIRE(LogEntryCount() - before <= commits + 1);
}

TEST_CASE_METHOD(Fixture, "cancelling a job stops all of its runs")
{
  const jobs::JobId job =
    Submit({ MakeStep(12) }, { .runTime = Duration(60000) });
  Run(Duration(300));
  REQUIRE(TotalRuns() == 12);
  Cancel(job);
  CHECK(RunUntil([&] { return TotalRuns() == 0; }, Duration(500)));
  CHECK(QueryState(job) == JobProgress::Cancelled);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a failed task is retried until its attempts are used up")
{
  const jobs::JobId succeeding = Submit({ MakeStep(1) }, { .failures = 2 });
  const jobs::JobId failing = Submit({ MakeStep(1) }, { .failures = 3 });
  CHECK(ReachesState(succeeding, JobProgress::Completed, Duration(10000)));
  CHECK(ReachesState(failing, JobProgress::Failed, Duration(10000)));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "jobs whose starts are not carried out are counted as pending")
{
  const auto pending = [&] {
    Send(QueueCall{ .verb = QueueVerb::Query,
                    .hostName = "h",
                    .path = "/p/",
                    .key = "key",
                    .job = std::nullopt });
    return std::get<QueueDepth>(*LastReply()).pending;
  };
  faults.delayedCallPercent = 100;
  faults.minCallDelay = Duration(4000);
  faults.maxCallDelay = Duration(4001);
  for (int job = 0; job < 3; ++job)
    Submit({ MakeStep(1) }, { .runTime = Duration(10000) });
  Run(Duration(3000));
  CHECK(pending() == 3);
  ChangeLeader();
  CHECK(pending() == 3);
  faults = {};
  Run(Duration(3000));
  CHECK(pending() == 0);
  ChangeLeader();
  Run(Duration(200));
  CHECK(pending() == 0);
}

TEST_CASE_METHOD(Fixture, "tasks of a lost worker run again on other workers")
{
  const jobs::JobId job =
    Submit({ MakeStep(6) }, { .runTime = Duration(1500) });
  Run(Duration(300));
  CrashWorker("w1", std::nullopt);
  CHECK(ReachesState(job, JobProgress::Completed, Duration(12000)));
  CheckInvariants();
}

TEST_CASE_METHOD(
  Fixture,
  "tasks of a restarted worker run again before its old lease expires")
{
  const jobs::JobId job =
    Submit({ MakeStep(12) }, { .runTime = Duration(1500) });
  Run(Duration(300));
  CrashWorker("w1", Duration(500));
  // Expiry of the old lease alone would take at least 4.5 s.
  CHECK(ReachesState(job, JobProgress::Completed, Duration(4500)));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a partitioned worker keeps its tasks until its lease expires")
{
  const jobs::JobId job =
    Submit({ MakeStep(12) }, { .runTime = Duration(3000) });
  Run(Duration(300));
  PartitionWorker("w1", Duration(60000));
  CHECK(ReachesState(job, JobProgress::Completed, Duration(15000)));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture, "a new leader takes over the runs of its predecessor")
{
  const jobs::JobId job =
    Submit({ MakeStep(12) }, { .runTime = Duration(2000) });
  Run(Duration(300));
  ChangeLeader();
  Run(Duration(50));
  CHECK(TotalRuns() == 12);
  CHECK(ReachesState(job, JobProgress::Completed, Duration(2500)));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a deposed leader that is late to notice extends no lease")
{
  jobs::Step step = MakeStep(3);
  step.isPersistent = true;
  Submit({ step });
  Run(Duration(300));
  REQUIRE(TotalRuns() == 3);
  // The new leader can't ask these workers what they run.
  for (const char* id : { "w1", "w2", "w3" })
    PartitionWorkerFromSuccessors(id, Duration(20000));
  AddWorker("w4");
  ChangeLeader(Duration(3000));
  Run(Duration(12000));
  CheckInvariants();
}

TEST_CASE("the lease of a worker with a slow clock ends within its bound after "
          "a long idle time")
{
  SimulatedFleet fleet;
  fleet.SetWorkerClockRate(98);
  fleet.Run(Duration(200));
  for (const char* id : { "w1", "w2" })
    fleet.AddWorker(id);
  fleet.Run(Duration(60000));
  // The worker gets the start and a renewal, but its answers are lost.
  fleet.faults.lostReplyPercent = 100;
  fleet.Submit({ MakeStep(1) }, { .runTime = Duration(9000) });
  REQUIRE(
    fleet.RunUntil([&] { return fleet.TotalRuns() == 1; }, Duration(100)));
  fleet.Run(Duration(100));
  const std::string worker = fleet.RunsOn("w1") == 1 ? "w1" : "w2";
  fleet.PartitionWorker(worker, Duration(20000));
  fleet.faults = {};
  fleet.Run(Duration(12000));
  for (const std::string& violation : fleet.violations)
    FAIL_CHECK(violation);
}

TEST_CASE_METHOD(Fixture, "a scheduler that is late still starts tasks in time")
{
  SetHandlingLag(Duration(2500));
  const auto measureRun = [&] {
    const jobs::JobId job = Submit({ MakeStep(12) });
    // The entries of the job and of its assignments are handled 2.5 s late, and
    // so are the ends of its runs and their entry.
    return ReachesState(job, JobProgress::Completed, Duration(12000));
  };
  CHECK(measureRun());
  // The workers' clocks are now known from answers that were handled late.
  CHECK(measureRun());
  CheckInvariants();
}

TEST_CASE("a delayed heartbeat of an earlier incarnation does not change the "
          "clock of the next one")
{
  SimulatedFleet fleet;
  fleet.Run(Duration(200));
  fleet.AddWorker("w1");
  jobs::Step step = MakeStep(1);
  step.isPersistent = true;
  fleet.Submit({ step });
  fleet.Run(Duration(1000));
  REQUIRE(fleet.RunsOn("w1") == 1);
  fleet.Send(WorkerHeartbeat{ .worker = { .id = jobs::WorkerId("w1"),
                                          .incarnation = jobs::Incarnation(1) },
                              .sequence = 1000,
                              .clock = Time(60000) });
  fleet.Run(Duration(2000));
  fleet.AddWorker("w2");
  fleet.PartitionWorker("w1", Duration(20000));
  fleet.Run(Duration(12000));
  CHECK(fleet.RunsOn("w2") == 1);
  for (const std::string& violation : fleet.violations)
    FAIL_CHECK(violation);
}

TEST_CASE_METHOD(
  Fixture,
  "a delayed start is not executed after leadership resumes in the same term")
{
  faults = { .delayedCallPercent = 100,
             .minCallDelay = Duration(1000),
             .maxCallDelay = Duration(1001) };
  const jobs::JobId job =
    Submit({ MakeStep(1) }, { .runTime = Duration(3000) });
  Run(Duration(40));
  faults = {};
  RestartLeadership();
  CHECK(ReachesState(job, JobProgress::Completed, Duration(9000)));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "an assignment that commits after leadership resumes starts")
{
  const jobs::JobId job = Submit({ MakeStep(3) });
  // The job is accepted, and its assignments are proposed but not committed.
  REQUIRE(RunUntil([&] { return QueryState(job) == JobProgress::Queued; },
                   Duration(100)));
  Run(Duration(5));
  REQUIRE(QueryState(job) == JobProgress::Queued);
  RestartLeadership();
  Run(Duration(10));
  REQUIRE(QueryState(job) == JobProgress::Running);
  CHECK(ReachesState(job, JobProgress::Completed, Duration(5000)));
  CheckInvariants();
}

TEST_CASE_METHOD(
  Fixture,
  "a success on a later incarnation of the worker counts for the task")
{
  SetHandlingLag(Duration(1200));
  const jobs::JobId job = Submit({ MakeStep(1) }, { .runTime = Duration(200) });
  Run(Duration(15));
  // The start reaches the new incarnation before its heartbeat is handled.
  CrashWorker("w1", Duration(10));
  Run(Duration(4000));
  SetHandlingLag(Duration(0));
  CHECK(ReachesState(job, JobProgress::Completed, Duration(5000)));
  Run(Duration(3000));
  CheckInvariants();
}

TEST_CASE_METHOD(
  Fixture,
  "a later incarnation keeps its ends while the earlier one's are acknowledged")
{
  const jobs::JobId first = Submit({ MakeStep(1) });
  REQUIRE(ReachesState(first, JobProgress::Completed, Duration(2000)));
  SetHandlingLag(Duration(1200));
  const jobs::JobId job = Submit({ MakeStep(1) }, { .runTime = Duration(200) });
  // The new incarnation executes the start and lists the run as done. Its
  // answers are handled before the entry that registers it.
  Run(Duration(2130));
  CrashWorker("w1", Duration(10));
  Run(Duration(4000));
  SetHandlingLag(Duration(0));
  CHECK(ReachesState(job, JobProgress::Completed, Duration(5000)));
  Run(Duration(3000));
  CheckInvariants();
}

TEST_CASE_METHOD(
  Fixture,
  "a new leader expects starts of its predecessor on a restarted worker")
{
  executesCallsToEarlierIncarnations = true;
  const jobs::JobId job =
    Submit({ MakeStep(1) }, { .runTime = Duration(2000) });
  REQUIRE(RunUntil([&] { return QueryState(job) == JobProgress::Queued; },
                   Duration(100)));
  Run(Duration(5));
  // The worker restarts just before the start, which the new incarnation
  // executes. It registers, but the next leader can't ask it for its lists.
  CrashWorker("w1", Duration(5));
  Run(Duration(20));
  REQUIRE(RunsOn("w1") == 1);
  PartitionWorkerFromSuccessors("w1", Duration(1000));
  ChangeLeader();
  CHECK(ReachesState(job, JobProgress::Completed, Duration(9000)));
  CheckInvariants();
}

TEST_CASE("a lease meant for an earlier incarnation that stated none is waited "
          "for")
{
  SimulatedFleet fleet;
  fleet.statesNoIncarnation = true;
  fleet.Run(Duration(200));
  fleet.AddWorker("w1");
  jobs::Step step = MakeStep(1);
  step.isPersistent = true;
  fleet.Submit({ step });
  fleet.Run(Duration(15000));
  REQUIRE(fleet.RunsOn("w1") == 1);
  fleet.statesNoIncarnation = false;
  // The new incarnation executes renewals whose lease ends on the clock of the
  // earlier one, and which name none.
  fleet.SetHandlingLag(Duration(500));
  fleet.Run(Duration(600));
  fleet.CrashWorker("w1", Duration(10));
  fleet.Run(Duration(1000));
  fleet.SetHandlingLag(Duration(0));
  REQUIRE(
    fleet.RunUntil([&] { return fleet.RunsOn("w1") == 1; }, Duration(3000)));
  fleet.PartitionWorker("w1", Duration(20000));
  fleet.Run(Duration(100));
  fleet.AddWorker("w2");
  fleet.Run(Duration(15000));
  CHECK(fleet.TotalRuns() == 1);
  for (const std::string& violation : fleet.violations)
    FAIL_CHECK(violation);
}

namespace {

constexpr jobs::Resources kShrunkCapacity{ MilliCores(1000),
                                           Mebibytes(2048),
                                           Accelerators(0) };

/// A fleet of one registered worker.
struct SingleWorkerFixture : SimulatedFleet
{
  SingleWorkerFixture()
  {
    Run(Duration(200));
    AddWorker("w1");
    Run(Duration(500));
  }
  void CheckInvariants()
  {
    for (const std::string& violation : violations)
      FAIL_CHECK(violation);
  }
};

} // namespace

TEST_CASE_METHOD(SingleWorkerFixture,
                 "a delayed heartbeat does not restore a shrunk capacity")
{
  SendDelayedHeartbeat("w1", Duration(5200));
  SetCapacity("w1", kShrunkCapacity);
  Run(Duration(5210));
  Submit({ MakeStep(4) }, { .runTime = Duration(3000) });
  Run(Duration(100));
  CHECK(RunsOn("w1") == 1);
  CheckInvariants();
}

TEST_CASE_METHOD(
  SingleWorkerFixture,
  "a delayed heartbeat does not restore a shrunk capacity for a new leader")
{
  SendDelayedHeartbeat("w1", Duration(5200));
  SetCapacity("w1", kShrunkCapacity);
  Run(Duration(5150));
  ChangeLeader();
  Run(Duration(60));
  Submit({ MakeStep(4) }, { .runTime = Duration(3000) });
  Run(Duration(100));
  CHECK(RunsOn("w1") == 0);
  // The next heartbeat states the shrunk capacity.
  Run(Duration(1000));
  CHECK(RunsOn("w1") == 1);
  CheckInvariants();
}

TEST_CASE_METHOD(SingleWorkerFixture,
                 "a worker whose heartbeats are missing gets no new runs")
{
  jobs::Step step = MakeStep(1);
  step.isPersistent = true;
  Submit({ step });
  Run(Duration(200));
  REQUIRE(RunsOn("w1") == 1);
  // The worker still answers lease renewals.
  faults.delayedHeartbeatPercent = 100;
  faults.minHeartbeatDelay = Duration(20000);
  faults.maxHeartbeatDelay = Duration(20001);
  SetCapacity("w1", kShrunkCapacity);
  Run(Duration(6000));
  Submit({ MakeStep(3) });
  Run(Duration(1000));
  CHECK(RunsOn("w1") == 1);
  CheckInvariants();
}

TEST_CASE_METHOD(SingleWorkerFixture,
                 "an assignment committed after its worker's capacity shrank "
                 "is not started there")
{
  commitLatency = Duration(3000);
  const jobs::JobId job =
    Submit({ MakeStep(1, 3000) }, { .runTime = Duration(5000) });
  Run(Duration(3100));
  REQUIRE(QueryState(job) == JobProgress::Queued);
  SetCapacity("w1", kShrunkCapacity);
  Run(Duration(5000));
  CHECK(RunsOn("w1") == 0);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a reservation on a worker whose capacity shrank is dropped")
{
  Submit({ MakeStep(3, 3000) }, { .runTime = Duration(1500) });
  Run(Duration(200));
  REQUIRE(TotalRuns() == 3);
  jobs::Step large = MakeStep(1, 4000);
  large.isPersistent = true;
  const jobs::JobId service = Submit({ large });
  Run(Duration(200));
  for (const char* id : { "w1", "w2" })
    SetCapacity(id, kShrunkCapacity);
  // The capacity of the third worker is free when its run ends, which is within
  // the time of a heartbeat and of the rest of the run.
  CHECK(RunUntil([&] { return HasRun(service); }, Duration(2500)));
  CHECK(RunsOn("w3") == 1);
  CheckInvariants();
}

TEST_CASE_METHOD(SingleWorkerFixture,
                 "a waiting persistent task starts when the capacity of its "
                 "worker grows again")
{
  SetCapacity("w1", kShrunkCapacity);
  Run(Duration(2000));
  jobs::Step step = MakeStep(1, 3000);
  step.isPersistent = true;
  const jobs::JobId service = Submit({ step });
  Run(Duration(6000));
  REQUIRE_FALSE(HasRun(service));
  SetCapacity("w1", kDefaultCapacity);
  CHECK(RunUntil([&] { return HasRun(service); }, Duration(1700)));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture, "a persistent task is restarted in a full pool")
{
  jobs::Step persistent = MakeStep(1, 3000);
  persistent.isPersistent = true;
  const jobs::JobId service = Submit({ persistent });
  Run(Duration(200));
  REQUIRE(HasRun(service));
  // Small tasks that would fill all capacity as soon as it is released.
  for (int count = 0; count < 60; ++count)
    Submit({ MakeStep(2, 900) }, { .runTime = Duration(1100) });
  Run(Duration(500));
  for (const char* id : { "w1", "w2", "w3" })
    CrashWorker(id, Duration(100));
  Run(Duration(600));
  CHECK(RunUntil([&] { return HasRun(service); }, Duration(3000)));
  CheckInvariants();
}

TEST_CASE("small tasks don't starve a large one")
{
  // Long enough that no job is rejected for load.
  Fixture fleet(Duration::Seconds(20));
  const auto submit = [&](jobs::Step aStep) {
    const jobs::JobId job =
      fleet.Submit({ std::move(aStep) }, { .runTime = Duration(700) });
    REQUIRE(fleet.LastReply() == nullptr);
    return job;
  };
  for (int count = 0; count < 40; ++count)
    submit(MakeStep(3, 900));
  fleet.Run(Duration(50));
  const jobs::JobId large = submit(MakeStep(1, 4000));
  for (int count = 0; count < 30; ++count) {
    submit(MakeStep(3, 900));
    fleet.Run(Duration(100));
  }
  CHECK(fleet.ReachesState(large, JobProgress::Completed, Duration(12000)));
  fleet.CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "capacity released by small tasks is reserved for a large one")
{
  const bool isPersistent = GENERATE(false, true);
  // Slightly more load than three workers can handle, so that a task is always
  // waiting for released capacity.
  const auto submitSmallTask = [&] {
    Submit({ MakeStep(1, 900) }, { .runTime = Duration(1100) });
    Run(Duration(80));
  };
  for (int count = 0; count < 40; ++count)
    submitSmallTask();
  jobs::Step large = MakeStep(1, 3600);
  large.isPersistent = isPersistent;
  const jobs::JobId job = Submit({ large });
  // All runs on a worker end within 1.1 s; the rest of the 2 s is for the next
  // placement, for the worker's reports and for commits.
  for (int count = 0; count < 25 && !HasRun(job); ++count)
    submitSmallTask();
  CHECK(HasRun(job));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "reservations don't break a step's limit of tasks per worker")
{
  jobs::Step limited = MakeStep(3, 1500);
  limited.isPersistent = true;
  limited.maxPerWorker = 1;
  Submit({ limited });
  Submit({ MakeStep(12, 1000) }, { .runTime = Duration(900) });
  Run(Duration(2000));
  for (const char* id : { "w1", "w2" })
    CrashWorker(id, Duration(200));
  Run(Duration(4000));
  CheckInvariants();
}

TEST_CASE("the running tasks of a team stay within its quota")
{
  SimulatedFleet fleet;
  fleet.reader.quota = { MilliCores(5000), {}, {} };
  // The first configuration, without the quota, is lost with the leader that
  // received it.
  fleet.ChangeLeader();
  fleet.Send(ConfigurationPut{ .version = jobs::ConfigurationVersion(1),
                               .text = "configuration" });
  fleet.Run(Duration(200));
  for (const char* id : { "w1", "w2", "w3" })
    fleet.AddWorker(id);
  fleet.Run(Duration(300));
  fleet.Submit({ MakeStep(12) });
  fleet.Run(Duration(100));
  CHECK(fleet.TotalRuns() == 5);
  fleet.Run(Duration(4000));
  for (const std::string& violation : fleet.violations)
    FAIL_CHECK(violation);
}

TEST_CASE_METHOD(
  Fixture,
  "a job that can still meet its objective runs before late jobs")
{
  // Far more work than the workers' twelve cores can complete in time.
  std::vector<jobs::JobId> lateJobs;
  lateJobs.reserve(40);
  for (int count = 0; count < 40; ++count)
    lateJobs.push_back(Submit({ MakeStep(6) }));
  Run(Duration(6000));
  const jobs::JobId punctualJob = Submit({ MakeStep(2) });
  CHECK(ReachesState(punctualJob, JobProgress::Completed, Duration(2500)));
  CHECK(std::any_of(lateJobs.begin(), lateJobs.end(), [&](jobs::JobId aJob) {
    return QueryState(aJob) != JobProgress::Completed;
  }));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "runs with little progress are moved to other workers")
{
  slowWorkers = { "w1" };
  const jobs::JobId job = Submit({ MakeStep(9) });
  CHECK(ReachesState(job, JobProgress::Completed, Duration(4000)));
  // The slow worker gets no new tasks meanwhile.
  const jobs::JobId nextJob = Submit({ MakeStep(6) });
  Run(Duration(100));
  CHECK(RunsOn("w1") == 0);
  CHECK(ReachesState(nextJob, JobProgress::Completed, Duration(1500)));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "tasks that are slow on every worker are not moved forever")
{
  // Runs take fifty times the normal time on every worker.
  slowWorkers = { "w1", "w2", "w3" };
  const jobs::JobId job = Submit({ MakeStep(3) }, { .runTime = Duration(300) });
  CHECK(ReachesState(job, JobProgress::Completed, Duration(25000)));
  CheckInvariants();
}

TEST_CASE_METHOD(
  Fixture,
  "a gang starts together, and its job completes after a failed attempt")
{
  jobs::Step gang = MakeStep(5);
  gang.isGang = true;
  jobs::Step second = MakeStep(1);
  second.dependencies = { 0 };
  const jobs::JobId job = Submit({ gang, second }, { .failures = 1 });
  CHECK(ReachesState(job, JobProgress::Completed, Duration(4000)));
  CHECK(incompleteGangRuns == 0);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture, "a gang waits until all its tasks fit")
{
  const jobs::JobId first =
    Submit({ MakeStep(9) }, { .runTime = Duration(1500) });
  Run(Duration(100));
  jobs::Step gang = MakeStep(6);
  gang.isGang = true;
  const jobs::JobId job = Submit({ gang });
  Run(Duration(500));
  CHECK(TotalRuns() == 9);
  CHECK(ReachesState(job, JobProgress::Completed, Duration(4000)));
  CHECK(QueryState(first) == JobProgress::Completed);
  CHECK(incompleteGangRuns == 0);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture, "a gang that uses up its attempts fails its job")
{
  jobs::Step gang = MakeStep(3);
  gang.isGang = true;
  const jobs::JobId job = Submit({ gang }, { .failures = 3 });
  CHECK(ReachesState(job, JobProgress::Failed, Duration(8000)));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture, "a gang that loses a task runs again as a whole")
{
  jobs::Step gang = MakeStep(9);
  gang.isGang = true;
  const jobs::JobId job = Submit({ gang }, { .runTime = Duration(1500) });
  Run(Duration(500));
  CrashWorker("w2", Duration(200));
  CHECK(ReachesState(job, JobProgress::Completed, Duration(9000)));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "the success of one task of a gang completes the gang")
{
  jobs::Step gang = MakeStep(9);
  gang.isGang = true;
  const jobs::JobId job = Submit({ gang }, { .runTime = Duration(1000) });
  Run(Duration(500));
  REQUIRE(TotalRuns() == 9);
  // Two workers are partitioned, so the ends of their runs are not reported.
  PartitionWorker("w1", Duration(20000));
  PartitionWorker("w2", Duration(20000));
  CHECK(ReachesState(job, JobProgress::Completed, Duration(1500)));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture, "tasks that request one rack are placed in one rack")
{
  for (const char* id : { "x1", "x2", "x3" })
    AddWorker(id, kDefaultCapacity, "r2");
  Run(Duration(300));
  // Uneven free capacity, so that packing alone would mix the racks.
  Submit({ MakeStep(2) }, { .runTime = Duration(3000) });
  Run(Duration(100));
  jobs::Step sameRack = MakeStep(8);
  sameRack.wantsOneRack = true;
  const std::size_t firstRackBefore =
    RunsOn("w1") + RunsOn("w2") + RunsOn("w3");
  const std::size_t secondRackBefore =
    RunsOn("x1") + RunsOn("x2") + RunsOn("x3");
  Submit({ sameRack });
  Run(Duration(100));
  const std::size_t firstRack =
    RunsOn("w1") + RunsOn("w2") + RunsOn("w3") - firstRackBefore;
  const std::size_t secondRack =
    RunsOn("x1") + RunsOn("x2") + RunsOn("x3") - secondRackBefore;
  CHECK(firstRack + secondRack == 8);
  CHECK(std::max(firstRack, secondRack) == 8);
}

namespace {

/// A fleet with a placement policy that forbids one of four workers.
struct AdvisedFixture : SimulatedFleet
{
  explicit AdvisedFixture(Duration aValidity = Duration(3000))
  {
    reader.advice = { .base = Duration(20),
                      .perWorker = Duration(3),
                      .validity = aValidity };
    // The first configuration, without the policy, is lost with the leader that
    // received it.
    ChangeLeader();
    Send(ConfigurationPut{ .version = jobs::ConfigurationVersion(2),
                           .text = "configuration" });
    Run(Duration(200));
    forbiddenWorkers = { "w1" };
    for (const char* id : { "w1", "w2", "w3", "w4" })
      AddWorker(id);
    Run(Duration(500));
  }
  void CheckInvariants()
  {
    for (const std::string& violation : violations)
      FAIL_CHECK(violation);
    CHECK(refusedPermitCount == 0);
  }
};

} // namespace

TEST_CASE("a step runs only on workers that the policy permits")
{
  AdvisedFixture fleet;
  jobs::Step second = MakeStep(4);
  second.dependencies = { 0 };
  const jobs::JobId job = fleet.Submit({ MakeStep(8), second });
  CHECK(fleet.RunUntil([&] { return fleet.TotalRuns() == 8; }, Duration(120)));
  CHECK(fleet.RunsOn("w1") == 0);
  CHECK(fleet.RunUntil(
    [&] { return fleet.QueryState(job) == JobProgress::Completed; },
    // Two run times; permits for the second step are requested in advance.
    Duration(1800)));
  // The adviser is not asked again about workers with a valid answer.
  CHECK(fleet.adviceWorkerCount <= 8);
  fleet.CheckInvariants();
}

TEST_CASE("expired permits are requested again")
{
  AdvisedFixture fleet(Duration(600));
  std::vector<jobs::JobId> jobs;
  jobs.reserve(6);
  for (int count = 0; count < 6; ++count)
    jobs.push_back(fleet.Submit({ MakeStep(8) }, { .failures = 1 }));
  CHECK(fleet.RunUntil(
    [&] {
      return std::all_of(jobs.begin(), jobs.end(), [&](jobs::JobId aJob) {
        return fleet.QueryState(aJob) == JobProgress::Completed;
      });
    },
    Duration(20000)));
  fleet.CheckInvariants();
}

TEST_CASE("a new incarnation of a worker needs a new permit")
{
  AdvisedFixture fleet;
  const jobs::JobId job =
    fleet.Submit({ MakeStep(24) }, { .runTime = Duration(500) });
  fleet.Run(Duration(200));
  fleet.CrashWorker("w2", Duration(100));
  CHECK(fleet.RunUntil(
    [&] { return fleet.QueryState(job) == JobProgress::Completed; },
    Duration(9000)));
  fleet.CheckInvariants();
}

/// Injects one random fault or, in most calls, none.
static void
InjectRandomFault(SimulatedFleet& aFleet,
                  const std::vector<std::string>& aWorkers,
                  const std::vector<jobs::JobId>& aJobs)
{
  const auto randomDuration = [&](std::uint64_t aLimit) {
    return Duration(static_cast<std::int64_t>(aFleet.random() % aLimit));
  };
  const std::string& worker = aWorkers[aFleet.random() % aWorkers.size()];
  switch (aFleet.random() % 14) {
    case 0:
      aFleet.CrashWorker(worker, randomDuration(4000));
      break;
    case 1:
      aFleet.PartitionWorker(worker, randomDuration(9000));
      break;
    case 2:
      aFleet.ChangeLeader();
      break;
    case 3:
      aFleet.Cancel(aJobs[aFleet.random() % aJobs.size()]);
      break;
    default:
      break;
  }
}

/// Changes the capacity of a worker or, in most calls, does nothing.
static void
ChangeRandomCapacity(SimulatedFleet& aFleet,
                     const std::vector<std::string>& aWorkers)
{
  constexpr std::int64_t kMaxQuarters = 4;
  if (aFleet.random() % 3 != 0)
    return;
  const std::string& worker = aWorkers[aFleet.random() % (aWorkers.size() - 1)];
  const auto randomQuarters = [&] {
    return 1 + static_cast<std::int64_t>(aFleet.random() % kMaxQuarters);
  };
  jobs::Resources capacity = SimulatedFleet::kDefaultCapacity;
  capacity.processors =
    MilliCores(capacity.processors.Count() * randomQuarters() / kMaxQuarters);
  capacity.memory =
    Mebibytes(capacity.memory.Count() * randomQuarters() / kMaxQuarters);
  aFleet.SetCapacity(worker, capacity);
}

/// Delays the scheduler, or changes the leader while it is late.
static void
InjectRandomLateness(SimulatedFleet& aFleet,
                     const std::vector<std::string>& aWorkers)
{
  const auto randomDuration = [&](std::uint64_t aLimit) {
    return Duration(static_cast<std::int64_t>(aFleet.random() % aLimit));
  };
  switch (aFleet.random() % 14) {
    case 0:
    case 1:
      aFleet.SetHandlingLag(randomDuration(4000));
      break;
    case 2:
    case 3:
      aFleet.SetHandlingLag(Duration(0));
      break;
    case 4:
    case 5:
      for (const std::string& worker : aWorkers)
        if (aFleet.random() % 2 == 0)
          aFleet.PartitionWorkerFromSuccessors(worker, randomDuration(9000));
      aFleet.ChangeLeader(randomDuration(6000));
      break;
    case 6:
      aFleet.RestartLeadership();
      break;
    default:
      break;
  }
}

/// Runs random jobs while \p aInjectFault, called before each job's share of
/// time, injects faults; then restores the workers' capacities and checks that
/// all jobs end, and that those fail that have cause to. One in
/// \p aJobsPerCrashing jobs, or none if that is 0, has a task that crashes its
/// workers.
static void
RunUnderFaults(
  SimulatedFleet& aFleet,
  FaultProbabilities aFaults,
  const std::function<void(const std::vector<std::string>&,
                           const std::vector<jobs::JobId>&)>& aInjectFault,
  std::uint64_t aJobsPerCrashing = 0)
{
  const std::vector<std::string> workers{ "w1", "w2", "w3", "w4" };
  for (const std::string& id : workers)
    aFleet.AddWorker(id);
  aFleet.Run(Duration(300));
  const auto randomBelow = [&](std::uint64_t aLimit) {
    return aFleet.random() % aLimit;
  };
  std::vector<jobs::JobId> jobs;
  std::vector<jobs::JobId> crashing;
  aFleet.faults = aFaults;
  aFleet.faults.lostReplyPercent = static_cast<int>(randomBelow(20));
  aFleet.faults.delayedCallPercent = static_cast<int>(randomBelow(15));
  for (int round = 0; round < 60; ++round) {
    jobs::Step second =
      MakeStep(static_cast<std::uint32_t>(1 + randomBelow(3)));
    second.dependencies = { 0 };
    second.maxPerWorker = static_cast<std::uint32_t>(randomBelow(3));
    // Drawn one by one, since the order in which arguments are evaluated
    // differs between machines.
    const TaskBehavior behavior{
      .runTime = Duration(static_cast<std::int64_t>(200 + randomBelow(1500))),
      .failures = static_cast<std::uint32_t>(randomBelow(5) == 0 ? 1 : 0)
    };
    const auto processors = static_cast<std::int64_t>(500 + randomBelow(2500));
    const auto count = static_cast<std::uint32_t>(1 + randomBelow(4));
    jobs.push_back(
      aFleet.Submit({ MakeStep(count, processors), second }, behavior));
    if (aJobsPerCrashing > 0 && randomBelow(aJobsPerCrashing) == 0) {
      const TaskBehavior crash{
        .crashesWorkerAfter =
          Duration(static_cast<std::int64_t>(5 + randomBelow(300))),
        .restartDelay =
          Duration(static_cast<std::int64_t>(2000 + randomBelow(5000)))
      };
      crashing.push_back(aFleet.Submit(
        { MakeStep(static_cast<std::uint32_t>(1 + randomBelow(4))) }, crash));
      jobs.push_back(crashing.back());
    }
    aInjectFault(workers, jobs);
    aFleet.Run(Duration(static_cast<std::int64_t>(50 + randomBelow(500))));
  }
  aFleet.faults = {};
  aFleet.SetHandlingLag(Duration(0));
  for (const std::string& id : workers)
    aFleet.SetCapacity(id, SimulatedFleet::kDefaultCapacity);
  const auto hasEnded = [&](jobs::JobId aJob) {
    const auto state = aFleet.QueryState(aJob);
    return state != JobProgress::Queued && state != JobProgress::Running;
  };
  const bool haveAllEnded = aFleet.RunUntil(
    [&] { return std::all_of(jobs.begin(), jobs.end(), hasEnded); },
    Duration(90000));
  CHECK(haveAllEnded);
  // The run of a job that fails because of an earlier run has to be stopped.
  const Duration stopTime(aJobsPerCrashing > 0 ? 1000 : 0);
  CHECK(aFleet.RunUntil([&] { return aFleet.TotalRuns() == 0; }, stopTime));
  constexpr std::uint32_t kMinCrashesToFail = 2;
  for (const jobs::JobId job : jobs) {
    INFO("job " << ToString(job));
    if (aFleet.QueryState(job) == JobProgress::Failed)
      CHECK((aFleet.MaxCrashes(job) >= kMinCrashesToFail ||
             aFleet.MaxFailures(job) >= aFleet.reader.maxAttempts));
  }
  for (const jobs::JobId job : crashing)
    CHECK(aFleet.QueryState(job) != JobProgress::Completed);
  for (const std::string& violation : aFleet.violations)
    FAIL_CHECK(violation);
}

TEST_CASE("no invariant is violated under random faults")
{
  const auto seeds = SeedRange();
  const auto seed =
    GENERATE_COPY(range<std::uint64_t>(seeds.first, seeds.second + 1));
  INFO("seed " << seed);
  SimulatedFleet fleet(seed);
  fleet.Run(Duration(200));
  RunUnderFaults(fleet, {}, [&](const auto& aWorkers, const auto& aJobs) {
    InjectRandomFault(fleet, aWorkers, aJobs);
  });
}

TEST_CASE("no invariant is violated by a late scheduler under random faults")
{
  const auto seeds = SeedRange();
  const auto seed =
    GENERATE_COPY(range<std::uint64_t>(seeds.first, seeds.second + 1));
  INFO("seed " << seed);
  SimulatedFleet fleet(seed);
  if (seed % 2 == 0)
    fleet.SetWorkerClockRate(98);
  fleet.Run(Duration(200));
  RunUnderFaults(fleet,
                 { .minCallDelay = Duration(200) },
                 [&](const auto& aWorkers, const auto& aJobs) {
                   InjectRandomFault(fleet, aWorkers, aJobs);
                   InjectRandomLateness(fleet, aWorkers);
                 });
}

TEST_CASE("tasks that crash their workers are given up under random faults")
{
  const auto seeds = SeedRange();
  const auto seed =
    GENERATE_COPY(range<std::uint64_t>(seeds.first, seeds.second + 1));
  INFO("seed " << seed);
  constexpr std::uint64_t kJobsPerCrashing = 12;
  SimulatedFleet fleet(seed);
  fleet.Run(Duration(200));
  RunUnderFaults(
    fleet,
    {},
    [&](const auto& aWorkers, const auto& aJobs) {
      InjectRandomFault(fleet, aWorkers, aJobs);
    },
    kJobsPerCrashing);
}

TEST_CASE("no start exceeds a capacity that shrinks and grows under random "
          "faults")
{
  const auto seeds = SeedRange();
  const auto seed =
    GENERATE_COPY(range<std::uint64_t>(seeds.first, seeds.second + 1));
  INFO("seed " << seed);
  SimulatedFleet fleet(seed);
  fleet.Run(Duration(200));
  RunUnderFaults(fleet,
                 { .delayedHeartbeatPercent = 20 },
                 [&](const auto& aWorkers, const auto& aJobs) {
                   InjectRandomFault(fleet, aWorkers, aJobs);
                   ChangeRandomCapacity(fleet, aWorkers);
                 });
}
