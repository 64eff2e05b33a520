#include "greengage/jobs/JobStateMachine.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace greengage;
using namespace greengage::jobs;

namespace {

/// Parses "VERSION MAX_ATTEMPTS" into a configuration with one queue.
class StubConfigurationReader final : public ConfigurationReader
{
public:
  std::optional<Configuration> Read(std::string_view aText,
                                    Error& aReason) const override
  {
    const std::string text(aText);
    const auto space = text.find(' ');
    if (space == std::string::npos)
      return Fail(aReason, ErrorKind::Malformed, "no space");
    Configuration configuration;
    configuration.version = ConfigurationVersion(std::stoull(text));
    configuration.pools.push_back({ .id = PoolId("lines") });
    configuration.queues.push_back({ .id = QueueId("plan"),
                                     .hostName = "a",
                                     .pathPrefix = "/p/",
                                     .pool = PoolId("lines"),
                                     .maxAttempts = static_cast<std::uint32_t>(
                                       std::stoul(text.substr(space))) });
    return configuration;
  }
};

/// Records rejected assignments and the final states of jobs.
class RecordingObserver final : public JobStateObserver
{
public:
  void OnAssignmentRejected(const AssignTask& aAssignment) override
  {
    rejectedAssignments.push_back(aAssignment.task);
  }
  void OnJobEnded(const Job& aJob) override { endStates.push_back(aJob.state); }

  std::vector<TaskId> rejectedAssignments;
  std::vector<JobState> endStates;
};

const JobId kJob(0x5c0e7a21d94b36f8);

struct Fixture
{
  Fixture()
  {
    Apply({ PutConfiguration{ .text = "1 2" },
            RegisterWorker{ .worker = { .id = WorkerId("w1"),
                                        .incarnation = Incarnation(5),
                                        .pool = PoolId("lines") } } });
  }
  void Apply(const Operations& aOperations)
  {
    Error reason;
    REQUIRE(machine.Apply(Encode(aOperations), &recorder, reason));
  }
  /// A job with a step of two tasks, followed by a step of one task.
  static AcceptJob TwoStepJob()
  {
    AcceptJob accept{ .id = kJob,
                      .queue = QueueId("plan"),
                      .team = TeamId("caxias"),
                      .at = Time(1000),
                      .description = {} };
    accept.description.payload = std::string("x\0y", 3);
    accept.description.steps.resize(2);
    accept.description.steps[0].count = 2;
    accept.description.steps[1].dependencies = { 0 };
    return accept;
  }
  static TaskId Task(std::uint32_t aStep, std::uint32_t aIndex)
  {
    return { .job = kJob, .occurrence = 0, .step = aStep, .index = aIndex };
  }
  void Assign(TaskId aTask, std::uint32_t aAttempt)
  {
    Apply({ AssignTask{ .task = aTask,
                        .attempt = Attempt(aAttempt),
                        .worker = WorkerNumber(1) } });
  }
  void ApplyEndRun(TaskId aTask, std::uint32_t aAttempt, RunOutcome aOutcome)
  {
    Apply({ EndRun{ .task = aTask,
                    .attempt = Attempt(aAttempt),
                    .outcome = aOutcome,
                    .checkpoint = "c",
                    .at = Time(2000) } });
  }

  void ApplyCrash(TaskId aTask,
                  std::uint32_t aAttempt,
                  Time aAt,
                  bool aIsStartConfirmed = true)
  {
    Apply({ RecordCrash{ .task = aTask,
                         .attempt = Attempt(aAttempt),
                         .isStartConfirmed = aIsStartConfirmed,
                         .at = aAt } });
  }

  StubConfigurationReader reader;
  JobStateMachine machine{ reader };
  RecordingObserver recorder;
};

} // namespace

TEST_CASE("a task id is parsed from its text form, and other text is rejected")
{
  const TaskId task = Fixture::Task(1, 17);
  CHECK(ToString(task) == "5c0e7a21d94b36f8.0.1.17");
  CHECK(ParseTaskId("5c0e7a21d94b36f8.0.1.17") == task);
  for (const char* invalidText : { "",
                                   "5c0e7a21d94b36f8",
                                   "5c0e7a21d94b36f8.0.1",
                                   "5c0e7a21d94b36f8.0.1.",
                                   "5c0e7a21d94b36f8.0.1.2.3",
                                   "5C0E7A21D94B36F8.0.1.2",
                                   "5c0e7a21d94b36f.0.1.2" })
    CHECK_FALSE(ParseTaskId(invalidText));
}

TEST_CASE("a decoded operation equals the encoded one")
{
  AcceptJob accept = Fixture::TwoStepJob();
  Step& step = accept.description.steps[0];
  step = { .count = 3,
           .request = { MilliCores(880), Mebibytes(1300), Accelerators(1) },
           .estimate = Duration(800),
           .dependencies = {},
           .writesCheckpoints = true,
           .isGang = true,
           .wantsOneRack = true,
           .requiredLabel = "a",
           .preferredRack = RackId("r1-3"),
           .maxPerWorker = 2,
           .allowsSpeculativeCopies = true,
           .isPersistent = true,
           .image = "i",
           .targetLatency = Duration(40),
           .usesIdleProcessors = true,
           .maxUnavailable = 1 };
  accept.description.recurrence = { 4, Time(77), Duration(3000) };
  Error reason;
  const auto decoded = Decode(Encode({ accept }), reason);
  REQUIRE(decoded.has_value());
  const auto& read = std::get<AcceptJob>(decoded->front());
  CHECK(read.description == accept.description);
  CHECK(read.team == accept.team);
  CHECK_FALSE(Decode("no cbor", reason).has_value());
  CHECK(reason.kind == ErrorKind::Malformed);
}

TEST_CASE_METHOD(Fixture,
                 "a job completes once all of its tasks have succeeded")
{
  Apply({ TwoStepJob() });
  const Occurrence& occurrence = machine.Find(kJob)->occurrences.at(0);
  CHECK(AreDependenciesDone(*machine.Find(kJob), occurrence, 0));
  CHECK_FALSE(AreDependenciesDone(*machine.Find(kJob), occurrence, 1));
  for (const std::uint32_t index : { 0U, 1U }) {
    Assign(Task(0, index), 1);
    ApplyEndRun(Task(0, index), 1, RunOutcome::Succeeded);
  }
  CHECK(AreDependenciesDone(*machine.Find(kJob), occurrence, 1));
  Assign(Task(1, 0), 1);
  CHECK(machine.Find(kJob)->state == JobState::Live);
  ApplyEndRun(Task(1, 0), 1, RunOutcome::Succeeded);
  CHECK(machine.Find(kJob)->state == JobState::Completed);
}

TEST_CASE_METHOD(Fixture, "accepting a job with an existing id has no effect")
{
  Apply({ TwoStepJob() });
  AcceptJob duplicate = TwoStepJob();
  duplicate.description.steps.resize(1);
  Apply({ duplicate });
  CHECK(machine.Find(kJob)->description.steps.size() == 2);
}

TEST_CASE_METHOD(Fixture,
                 "a task that is already assigned is not assigned again")
{
  Apply({ TwoStepJob() });
  Assign(Task(0, 0), 2);
  Assign(Task(0, 0), 1);
  Assign(Task(0, 0), 1);
  Assign(Task(0, 0), 2);
  CHECK(recorder.rejectedAssignments.size() == 3);
  CHECK(machine.Find(kJob)->assignedTasks == 1);
}

TEST_CASE_METHOD(Fixture, "the end of an earlier attempt has no effect")
{
  Apply({ TwoStepJob() });
  Assign(Task(0, 0), 1);
  ApplyEndRun(Task(0, 0), 1, RunOutcome::Lost);
  Assign(Task(0, 0), 2);
  ApplyEndRun(Task(0, 0), 1, RunOutcome::Succeeded);
  CHECK(machine.Find(Task(0, 0))->phase == TaskPhase::Assigned);
}

TEST_CASE_METHOD(
  Fixture,
  "a job fails when a task reaches the queue's limit of failed attempts")
{
  Apply({ TwoStepJob() });
  Assign(Task(0, 0), 1);
  ApplyEndRun(Task(0, 0), 1, RunOutcome::Failed);
  // Lost runs don't count as failed attempts.
  Assign(Task(0, 0), 2);
  ApplyEndRun(Task(0, 0), 2, RunOutcome::Lost);
  CHECK(machine.Find(kJob)->state == JobState::Live);
  Assign(Task(0, 0), 3);
  ApplyEndRun(Task(0, 0), 3, RunOutcome::Failed);
  CHECK(machine.Find(kJob)->state == JobState::Failed);
}

TEST_CASE_METHOD(
  Fixture,
  "a persistent task is rescheduled whether its run succeeds or fails")
{
  AcceptJob accept = TwoStepJob();
  accept.description.steps.resize(1);
  accept.description.steps[0].isPersistent = true;
  Apply({ accept });
  for (const std::uint32_t attempt : { 1U, 2U, 3U }) {
    Assign(Task(0, 0), attempt);
    ApplyEndRun(Task(0, 0),
                attempt,
                attempt == 2 ? RunOutcome::Succeeded : RunOutcome::Failed);
  }
  CHECK(machine.Find(kJob)->state == JobState::Live);
  CHECK(machine.Find(Task(0, 0))->phase == TaskPhase::Waiting);
}

TEST_CASE_METHOD(Fixture,
                 "a cancelled job is kept until its assigned runs have ended")
{
  Apply({ TwoStepJob() });
  Assign(Task(0, 0), 1);
  Apply({ CancelJob{ .id = kJob, .at = Time(1500) } });
  CHECK(machine.Find(kJob)->state == JobState::Cancelled);
  Assign(Task(0, 1), 1);
  CHECK(recorder.rejectedAssignments.size() == 1);
  Apply({ RemoveJobRecord{ .id = kJob } });
  REQUIRE(machine.Find(kJob) != nullptr);
  ApplyEndRun(Task(0, 0), 1, RunOutcome::Succeeded);
  CHECK(machine.Find(kJob)->state == JobState::Cancelled);
  Apply({ RemoveJobRecord{ .id = kJob } });
  CHECK(machine.Find(kJob) == nullptr);
}

TEST_CASE_METHOD(Fixture,
                 "a configuration is replaced only by a higher version")
{
  Apply({ PutConfiguration{ .text = "7 3" } });
  Apply({ PutConfiguration{ .text = "7 4" } });
  Apply({ PutConfiguration{ .text = "6 5" } });
  CHECK(machine.ConfigurationText() == "7 3");
  CHECK(machine.CurrentConfiguration()->queues[0].maxAttempts == 3);
}

TEST_CASE_METHOD(
  Fixture,
  "a restarted worker gets a new number, and late heartbeats are ignored")
{
  const WorkerNumber oldNumber = *machine.FindWorkerNumber(WorkerId("w1"));
  WorkerRecord record = machine.Workers().at(oldNumber);
  record.isDraining = true;
  Apply({ RegisterWorker{ .worker = record } });
  CHECK(machine.Workers().at(oldNumber).isDraining);
  // A delayed heartbeat does not clear the draining flag.
  record.isDraining = false;
  Apply({ RegisterWorker{ .worker = record } });
  CHECK(machine.Workers().at(oldNumber).isDraining);
  record.incarnation = Incarnation(6);
  Apply({ RegisterWorker{ .worker = record } });
  const WorkerNumber newNumber = *machine.FindWorkerNumber(WorkerId("w1"));
  CHECK(newNumber != oldNumber);
  CHECK_FALSE(machine.Workers().at(newNumber).isDraining);
  Apply({ RetireWorker{ .worker = oldNumber } });
  CHECK(machine.FindWorkerNumber(WorkerId("w1")) == newNumber);
  // A delayed heartbeat of the old incarnation registers nothing.
  record.incarnation = Incarnation(5);
  Apply({ RegisterWorker{ .worker = record } });
  CHECK(machine.Workers().size() == 1);
}

TEST_CASE_METHOD(
  Fixture,
  "a restored snapshot holds the full state, a damaged one changes nothing")
{
  Apply({ TwoStepJob(),
          StartWave{ .id = WaveId(3),
                     .hosts = { HostId("m-1"), HostId("m-2") },
                     .maxConcurrentHosts = 1,
                     .deadline = Time(9000) },
          BeginMaintenance{ .wave = WaveId(3), .host = HostId("m-1") },
          RecordOrderIntent{ .host = HostId("m-1"), .at = Time(500) },
          RecordOrderIntent{ .host = HostId("m-1"), .at = Time(1500) } });
  Assign(Task(0, 0), 1);
  ApplyEndRun(Task(0, 0), 1, RunOutcome::Failed);
  Assign(Task(0, 0), 2);
  JobStateMachine restored(reader);
  Error reason;
  REQUIRE(restored.Restore(machine.Snapshot(), reason));
  CHECK(restored.Snapshot() == machine.Snapshot());
  CHECK(restored.Find(Task(0, 0))->attempt == Attempt(2));
  CHECK(restored.Find(Task(0, 0))->failures == 1);
  CHECK(restored.Waves().at(WaveId(3)).startedHosts.count(HostId("m-1")) == 1);
  CHECK(restored.OrderIntentCount(HostId("m-1")) == 2);
  CHECK(restored.OrderIntentsByHost().at(HostId("m-1")).latestAt == Time(1500));
  CHECK(restored.LatestTime() == Time(2000));
  CHECK(restored.Find(kJob)->occurrences.at(0).steps[0].checkpoints.at(0) ==
        "c");
  CHECK_FALSE(restored.Restore("damaged", reason));
  CHECK(reason.kind == ErrorKind::DataCorrupt);
  CHECK(restored.Snapshot() == machine.Snapshot());
}

TEST_CASE_METHOD(Fixture, "an order intent is not younger than the log")
{
  // The clock of the second leader is behind that of the first.
  Apply({ RecordOrderIntent{ .host = HostId("m-1"), .at = Time(9000) },
          RecordOrderIntent{ .host = HostId("m-2"), .at = Time(4000) },
          RecordOrderIntent{ .host = HostId("m-3"), .at = Time(0) } });
  const auto& intents = machine.OrderIntentsByHost();
  CHECK(intents.at(HostId("m-2")).latestAt == Time(9000));
  CHECK(intents.at(HostId("m-3")).latestAt == Time(0));
  CHECK(machine.LatestTime() == Time(9000));
}

TEST_CASE("a decoded crash equals the encoded one")
{
  Error reason;
  const RecordCrash crash{ .task = Fixture::Task(1, 7),
                           .attempt = Attempt(3),
                           .isStartConfirmed = true,
                           .at = Time(2000) };
  const auto decoded = Decode(Encode({ crash }), reason);
  REQUIRE(decoded.has_value());
  const auto& read = std::get<RecordCrash>(decoded->front());
  CHECK(read.task == Fixture::Task(1, 7));
  CHECK(read.attempt == Attempt(3));
  CHECK(read.isStartConfirmed);
  CHECK(read.at == Time(2000));
}

TEST_CASE_METHOD(Fixture,
                 "a job fails once three workers have crashed under one task")
{
  Apply({ TwoStepJob() });
  for (const std::uint32_t attempt : { 1U, 2U, 3U }) {
    CHECK(machine.Find(kJob)->state == JobState::Live);
    Assign(Task(0, 0), attempt);
    // One crash of an attempt may be reported by several leaders, before or
    // after the end of the run.
    ApplyCrash(Task(0, 0), attempt, Time(2000));
    ApplyEndRun(Task(0, 0), attempt, RunOutcome::Lost);
    ApplyCrash(Task(0, 0), attempt, Time(2000));
  }
  CHECK(machine.Find(kJob)->state == JobState::Failed);
  CHECK(recorder.endStates == std::vector{ JobState::Failed });
}

TEST_CASE_METHOD(Fixture,
                 "no number of crashes under a persistent task ends its job")
{
  AcceptJob accept = TwoStepJob();
  accept.description.steps[0].isPersistent = true;
  Apply({ accept });
  for (std::uint32_t attempt = 1; attempt <= 100; ++attempt) {
    Assign(Task(0, 0), attempt);
    ApplyCrash(Task(0, 0), attempt, Time(2000));
    ApplyEndRun(Task(0, 0), attempt, RunOutcome::Lost);
  }
  CHECK(machine.Find(kJob)->state == JobState::Live);
  // The record of the crashes stays small.
  CHECK(machine.FindCrashes(Task(0, 0))->attempts.size() <= kCrashScoreLimit);
  CHECK(machine.FindCrashes(Task(0, 0))->IsNextDecisive());
}

TEST_CASE_METHOD(Fixture, "a crash counts half if the start was not confirmed")
{
  Apply({ TwoStepJob() });
  for (const std::uint32_t attempt : { 1U, 2U, 3U, 4U }) {
    CHECK(machine.Find(kJob)->state == JobState::Live);
    Assign(Task(0, 0), attempt);
    ApplyCrash(Task(0, 0), attempt, Time(2000), attempt == 1);
    ApplyEndRun(Task(0, 0), attempt, RunOutcome::Lost);
  }
  CHECK(machine.Find(kJob)->state == JobState::Failed);
}

TEST_CASE_METHOD(Fixture, "crashes under different tasks are not added up")
{
  Apply({ TwoStepJob() });
  for (const std::uint32_t attempt : { 1U, 2U })
    for (const std::uint32_t index : { 0U, 1U }) {
      Assign(Task(0, index), attempt);
      ApplyCrash(Task(0, index), attempt, Time(2000));
      ApplyEndRun(Task(0, index), attempt, RunOutcome::Lost);
    }
  CHECK(machine.Find(kJob)->state == JobState::Live);
}

TEST_CASE_METHOD(Fixture, "crashes are forgotten after a time without any")
{
  Apply({ TwoStepJob() });
  Time at(2000);
  for (const std::uint32_t attempt : { 1U, 2U, 3U, 4U }) {
    Assign(Task(0, 0), attempt);
    ApplyCrash(Task(0, 0), attempt, at);
    ApplyEndRun(Task(0, 0), attempt, RunOutcome::Lost);
    at = at + kCrashMemory + Duration(1);
  }
  CHECK(machine.Find(kJob)->state == JobState::Live);
  CHECK(machine.FindCrashes(Task(0, 0))->attempts.size() == 1);
}

TEST_CASE_METHOD(Fixture, "a crash of an attempt that never began is ignored")
{
  Apply({ TwoStepJob() });
  ApplyCrash(Task(0, 0), 1, Time(2000));
  ApplyCrash(Task(1, 5), 1, Time(2000));
  CHECK(machine.FindCrashes(Task(0, 0)) == nullptr);
}

TEST_CASE_METHOD(Fixture, "a restored snapshot counts crashes on")
{
  Apply({ TwoStepJob() });
  for (const std::uint32_t attempt : { 1U, 2U }) {
    Assign(Task(0, 1), attempt);
    ApplyCrash(Task(0, 1), attempt, Time(2000));
    ApplyEndRun(Task(0, 1), attempt, RunOutcome::Lost);
  }
  Error reason;
  const std::string snapshot = machine.Snapshot();
  REQUIRE(machine.Restore(snapshot, reason));
  CHECK(machine.Snapshot() == snapshot);
  Assign(Task(0, 1), 3);
  ApplyCrash(Task(0, 1), 3, Time(2000));
  CHECK(machine.Find(kJob)->state == JobState::Failed);
}

TEST_CASE("suspicions and repeated starts are decoded as they were encoded")
{
  Error reason;
  const auto decoded =
    Decode(Encode({ EndRun{ .task = Fixture::Task(0, 1),
                            .attempt = Attempt(2),
                            .outcome = RunOutcome::Lost,
                            .checkpoint = {},
                            .at = Time(2000),
                            .suspicion = CrashSuspicion::StartConfirmed },
                    DismissSuspicions{ .worker = WorkerId("w1"),
                                       .incarnation = Incarnation(5) },
                    RepeatStart{ .task = Fixture::Task(1, 0),
                                 .attempt = Attempt(4) } }),
           reason);
  REQUIRE(decoded.has_value());
  CHECK(std::get<EndRun>(decoded->at(0)).suspicion ==
        CrashSuspicion::StartConfirmed);
  const auto& dismissal = std::get<DismissSuspicions>(decoded->at(1));
  CHECK(dismissal.worker == WorkerId("w1"));
  CHECK(dismissal.incarnation == Incarnation(5));
  const auto& repeat = std::get<RepeatStart>(decoded->at(2));
  CHECK(repeat.task == Fixture::Task(1, 0));
  CHECK(repeat.attempt == Attempt(4));
}

TEST_CASE_METHOD(Fixture,
                 "suspected runs are kept until they are explained, also by a "
                 "snapshot")
{
  Apply({ TwoStepJob() });
  const auto suspect = [&](std::uint32_t aAttempt) {
    Assign(Task(0, 0), aAttempt);
    Apply({ EndRun{ .task = Task(0, 0),
                    .attempt = Attempt(aAttempt),
                    .outcome = RunOutcome::Lost,
                    .checkpoint = {},
                    .at = Time(2000),
                    .suspicion = CrashSuspicion::StartConfirmed } });
  };
  suspect(1);
  suspect(2);
  Error reason;
  REQUIRE(machine.Restore(machine.Snapshot(), reason));
  REQUIRE(machine.SuspectedRuns().size() == 2);
  CHECK(machine.SuspectedCrashesOf(Task(0, 0)).score == 4);
  CHECK(machine.SuspectedCrashesOf(Task(0, 0)).latestAt == Time(2000));
  CHECK(machine.SuspectedCrashesOf(Task(0, 1)).score == 0);
  const SuspectedRun& run = machine.SuspectedRuns().begin()->second;
  CHECK(run.id == WorkerId("w1"));
  CHECK(run.incarnation == Incarnation(5));

  SECTION("by a crash, which is counted once")
  {
    ApplyCrash(Task(0, 0), 1, Time(3000));
    CHECK(machine.SuspectedRuns().size() == 1);
    CHECK(machine.SuspectedCrashesOf(Task(0, 0)).score == 4);
  }
  SECTION("by the worker, which is up")
  {
    Apply({ DismissSuspicions{ .worker = WorkerId("w1"),
                               .incarnation = Incarnation(4) } });
    CHECK(machine.SuspectedRuns().size() == 2);
    Apply({ DismissSuspicions{ .worker = WorkerId("w1"),
                               .incarnation = Incarnation(5) } });
    CHECK(machine.SuspectedRuns().empty());
  }
  SECTION("or by the end of their job")
  {
    Apply({ CancelJob{ .id = kJob, .at = Time(3000) } });
    CHECK(machine.SuspectedRuns().empty());
  }
}

TEST_CASE_METHOD(Fixture, "a departing worker is not suspected of a crash")
{
  Apply({ TwoStepJob() });
  Assign(Task(0, 0), 1);
  Apply({ RegisterWorker{ .worker = { .id = WorkerId("w1"),
                                      .incarnation = Incarnation(5),
                                      .pool = PoolId("lines"),
                                      .isDraining = true } },
          EndRun{ .task = Task(0, 0),
                  .attempt = Attempt(1),
                  .outcome = RunOutcome::Lost,
                  .checkpoint = {},
                  .at = Time(2000),
                  .suspicion = CrashSuspicion::StartConfirmed } });
  CHECK(machine.SuspectedRuns().empty());
}

TEST_CASE_METHOD(Fixture,
                 "a repeated start is on record until the next attempt")
{
  Apply({ TwoStepJob() });
  Assign(Task(0, 0), 1);
  Apply({ RepeatStart{ .task = Task(0, 0), .attempt = Attempt(2) } });
  CHECK_FALSE(machine.Find(Task(0, 0))->isStartRepeated);
  Apply({ RepeatStart{ .task = Task(0, 0), .attempt = Attempt(1) } });
  Error reason;
  REQUIRE(machine.Restore(machine.Snapshot(), reason));
  CHECK(machine.Find(Task(0, 0))->isStartRepeated);
  ApplyEndRun(Task(0, 0), 1, RunOutcome::Lost);
  Assign(Task(0, 0), 2);
  CHECK_FALSE(machine.Find(Task(0, 0))->isStartRepeated);
}

TEST_CASE_METHOD(
  Fixture,
  "a recurring job completes once all of its occurrences are done")
{
  AcceptJob accept = TwoStepJob();
  accept.description.steps.resize(1);
  accept.description.steps[0].count = 1;
  accept.description.recurrence = { 2, Time(5000), Duration(3000) };
  Apply({ accept });
  for (const std::uint32_t occurrence : { 0U, 1U }) {
    CHECK(machine.Find(kJob)->state == JobState::Live);
    const TaskId task{ .job = kJob, .occurrence = occurrence };
    Assign(task, 1);
    ApplyEndRun(task, 1, RunOutcome::Succeeded);
  }
  CHECK(machine.Find(kJob)->state == JobState::Completed);
}

TEST_CASE_METHOD(Fixture,
                 "a result that is listed after its run was given up counts "
                 "until the task is assigned again")
{
  Apply({ TwoStepJob() });
  const TaskId first = Task(0, 0);
  const TaskId second = Task(0, 1);
  const Job& job = *machine.Find(kJob);
  for (const TaskId& task : { first, second }) {
    Assign(task, 1);
    ApplyEndRun(task, 1, RunOutcome::Lost);
  }
  const auto outcome = GENERATE(RunOutcome::Succeeded, RunOutcome::Failed);
  const bool isSuccess = outcome == RunOutcome::Succeeded;

  SECTION("once, also after a snapshot")
  {
    Error reason;
    REQUIRE(machine.Restore(machine.Snapshot(), reason));
    ApplyEndRun(first, 1, outcome);
    ApplyEndRun(first, 1, outcome);
    const TaskState& task = *machine.Find(first);
    CHECK((task.phase == TaskPhase::Done) == isSuccess);
    CHECK(task.failures == (isSuccess ? 0 : 1));
    const StepState& step = machine.Find(kJob)->occurrences.at(0).steps[0];
    CHECK(step.doneTasks == (isSuccess ? 1 : 0));
    CHECK(step.waitingTasks == (isSuccess ? 1 : 2));
  }
  SECTION("not once it is assigned again")
  {
    Assign(first, 2);
    ApplyEndRun(first, 1, outcome);
    CHECK(machine.Find(first)->phase == TaskPhase::Assigned);
    CHECK(machine.Find(first)->failures == 0);
  }
  SECTION("and completes its job")
  {
    ApplyEndRun(first, 1, RunOutcome::Succeeded);
    ApplyEndRun(second, 1, RunOutcome::Succeeded);
    Assign(Task(1, 0), 1);
    ApplyEndRun(Task(1, 0), 1, RunOutcome::Lost);
    ApplyEndRun(Task(1, 0), 1, RunOutcome::Succeeded);
    CHECK(job.state == JobState::Completed);
  }
}

TEST_CASE("the encoded size of each operation is within its bound")
{
  const std::string text(100000, 'x');
  const std::vector<std::string> texts(20, text);
  const JobDescription job{
    .payload = text,
    .steps = { { .dependencies = std::vector<std::uint32_t>(50000, 1U << 31U),
                 .requiredLabel = text,
                 .preferredRack = RackId(text),
                 .image = text } }
  };
  const WorkerRecord worker{ .id = WorkerId(text),
                             .host = HostId(text),
                             .endpoint = { text, 1 },
                             .pool = PoolId(text),
                             .availabilityZone = AvailabilityZoneId(text),
                             .rack = RackId(text),
                             .labels = texts };
  const std::vector<HostId> hosts(20, HostId(text));
  const QueueAddress address{ .hostName = text, .pathPrefix = text };
  const Operation operation = GENERATE_COPY(
    as<Operation>{},
    PutConfiguration{ .text = text },
    AcceptJob{ .queue = QueueId(text),
               .team = TeamId(text),
               .description = job,
               .address = address },
    CancelJob{},
    CancelJob{ .address = address, .team = TeamId(text) },
    RemoveJobRecord{},
    AssignTask{},
    EndRun{ .checkpoint = text },
    RegisterWorker{ .worker = worker },
    RetireWorker{},
    StartWave{ .hosts = hosts },
    BeginMaintenance{ .host = HostId(text) },
    RecordOrderIntent{ .host = HostId(text), .at = {} },
    ConfirmStart{},
    RecordCrash{},
    DismissSuspicions{ .worker = WorkerId(text), .incarnation = {} },
    RepeatStart{});
  const std::size_t size = Encode({ operation }).size();
  CAPTURE(operation.index());
  CHECK(size <= EncodedSizeBound(operation));
  // A bound far above the size would make entries needlessly small.
  CHECK(EncodedSizeBound(operation) <= size * 2 + 2048);
}
