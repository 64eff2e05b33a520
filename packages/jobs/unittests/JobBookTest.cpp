#include "greengage/jobs/JobBook.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace greengage;
using namespace greengage::jobs;

namespace {

/// Parses "VERSION MAX_ATTEMPTS" into a configuration with one queue.
class TinyReader final : public ConfigurationReader
{
public:
  std::optional<Configuration> Read(std::string_view aText,
                                    Error& aReason) const override
  {
    const std::string text(aText);
    const auto space = text.find(' ');
    if (space == std::string::npos)
      return Fail(aReason, ErrorKind::Malformed, "no space");
    Configuration read;
    read.version = ConfigurationVersion(std::stoull(text));
    read.pools.push_back({ .id = PoolId("lines") });
    read.queues.push_back({ .id = QueueId("plan"),
                            .hostName = "a",
                            .pathPrefix = "/p/",
                            .pool = PoolId("lines"),
                            .maxAttempts = static_cast<std::uint32_t>(
                              std::stoul(text.substr(space))) });
    return read;
  }
};

/// Records rejected assignments and the final states of jobs.
class Recorder final : public JobBookObserver
{
public:
  void OnAssignmentVoid(const AssignTask& aAssignment) override
  {
    voided.push_back(aAssignment.task);
  }
  void OnJobEnded(const Job& aJob) override { ended.push_back(aJob.state); }

  std::vector<TaskId> voided;
  std::vector<JobState> ended;
};

const JobId kJob(0x5c0e7a21d94b36f8);

struct Fixture
{
  Fixture()
  {
    Do({ PutConfiguration{ .text = "1 2" },
         RegisterWorker{ .worker = { .id = WorkerId("w1"),
                                     .incarnation = Incarnation(5),
                                     .pool = PoolId("lines") } } });
  }
  void Do(const Operations& aOperations)
  {
    Error reason;
    REQUIRE(book.Apply(Encode(aOperations), &recorder, reason));
  }
  /// A job with a step of two tasks, followed by a step of one task.
  static AcceptJob TwoSteps()
  {
    AcceptJob accept{ .id = kJob,
                      .queue = QueueId("plan"),
                      .team = TeamId("caxias"),
                      .at = Time(1000),
                      .description = {} };
    accept.description.payload = std::string("x\0y", 3);
    accept.description.steps.resize(2);
    accept.description.steps[0].count = 2;
    accept.description.steps[1].after = { 0 };
    return accept;
  }
  static TaskId Task(std::uint32_t aStep, std::uint32_t aIndex)
  {
    return { .job = kJob, .occurrence = 0, .step = aStep, .index = aIndex };
  }
  void Assign(TaskId aTask, std::uint32_t aAttempt)
  {
    Do({ AssignTask{ .task = aTask,
                     .attempt = Attempt(aAttempt),
                     .worker = WorkerNumber(1) } });
  }
  void End(TaskId aTask, std::uint32_t aAttempt, RunEnd aHow)
  {
    Do({ EndTask{ .task = aTask,
                  .attempt = Attempt(aAttempt),
                  .how = aHow,
                  .checkpoint = "c",
                  .at = Time(2000) } });
  }

  TinyReader reader;
  JobBook book{ reader };
  Recorder recorder;
};

} // namespace

TEST_CASE("a task id is parsed from its text form, and other text is rejected")
{
  const TaskId task = Fixture::Task(1, 17);
  CHECK(ToString(task) == "5c0e7a21d94b36f8.0.1.17");
  CHECK(ParseTaskId("5c0e7a21d94b36f8.0.1.17") == task);
  for (const char* wrong : { "",
                             "5c0e7a21d94b36f8",
                             "5c0e7a21d94b36f8.0.1",
                             "5c0e7a21d94b36f8.0.1.",
                             "5c0e7a21d94b36f8.0.1.2.3",
                             "5C0E7A21D94B36F8.0.1.2",
                             "5c0e7a21d94b36f.0.1.2" })
    CHECK_FALSE(ParseTaskId(wrong));
}

TEST_CASE("a decoded operation equals the encoded one")
{
  AcceptJob accept = Fixture::TwoSteps();
  Step& step = accept.description.steps[0];
  step = { .count = 3,
           .request = { MilliCores(880), Mebibytes(1300), Accelerators(1) },
           .estimate = Duration(800),
           .after = {},
           .checkpoints = true,
           .isGang = true,
           .wantsOneRack = true,
           .requiredLabel = "a",
           .preferredRack = RackId("r1-3"),
           .maxPerWorker = 2,
           .allowsCopies = true,
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
  Do({ TwoSteps() });
  const Occurrence& occurrence = book.Find(kJob)->occurrences.at(0);
  CHECK(IsReady(*book.Find(kJob), occurrence, 0));
  CHECK_FALSE(IsReady(*book.Find(kJob), occurrence, 1));
  for (const std::uint32_t index : { 0U, 1U }) {
    Assign(Task(0, index), 1);
    End(Task(0, index), 1, RunEnd::Done);
  }
  CHECK(IsReady(*book.Find(kJob), occurrence, 1));
  Assign(Task(1, 0), 1);
  CHECK(book.Find(kJob)->state == JobState::Live);
  End(Task(1, 0), 1, RunEnd::Done);
  CHECK(book.Find(kJob)->state == JobState::Completed);
}

TEST_CASE_METHOD(Fixture, "accepting a job with an existing id has no effect")
{
  Do({ TwoSteps() });
  AcceptJob other = TwoSteps();
  other.description.steps.resize(1);
  Do({ other });
  CHECK(book.Find(kJob)->description.steps.size() == 2);
}

TEST_CASE_METHOD(Fixture,
                 "a task that is already assigned is not assigned again")
{
  Do({ TwoSteps() });
  Assign(Task(0, 0), 2);
  Assign(Task(0, 0), 1);
  Assign(Task(0, 0), 1);
  Assign(Task(0, 0), 2);
  CHECK(recorder.voided.size() == 3);
  CHECK(book.Find(kJob)->assigned == 1);
}

TEST_CASE_METHOD(Fixture, "the end of an earlier attempt has no effect")
{
  Do({ TwoSteps() });
  Assign(Task(0, 0), 1);
  End(Task(0, 0), 1, RunEnd::Lost);
  Assign(Task(0, 0), 2);
  End(Task(0, 0), 1, RunEnd::Done);
  CHECK(book.Find(Task(0, 0))->phase == TaskPhase::Assigned);
}

TEST_CASE_METHOD(
  Fixture,
  "a job fails when a task reaches the queue's limit of failed attempts")
{
  Do({ TwoSteps() });
  Assign(Task(0, 0), 1);
  End(Task(0, 0), 1, RunEnd::Failed);
  // Lost runs don't count as failed attempts.
  Assign(Task(0, 0), 2);
  End(Task(0, 0), 2, RunEnd::Lost);
  CHECK(book.Find(kJob)->state == JobState::Live);
  Assign(Task(0, 0), 3);
  End(Task(0, 0), 3, RunEnd::Failed);
  CHECK(book.Find(kJob)->state == JobState::Failed);
}

TEST_CASE_METHOD(
  Fixture,
  "a persistent task is rescheduled whether its run succeeds or fails")
{
  AcceptJob accept = TwoSteps();
  accept.description.steps.resize(1);
  accept.description.steps[0].isPersistent = true;
  Do({ accept });
  for (const std::uint32_t attempt : { 1U, 2U, 3U }) {
    Assign(Task(0, 0), attempt);
    End(Task(0, 0), attempt, attempt == 2 ? RunEnd::Done : RunEnd::Failed);
  }
  CHECK(book.Find(kJob)->state == JobState::Live);
  CHECK(book.Find(Task(0, 0))->phase == TaskPhase::Waiting);
}

TEST_CASE_METHOD(Fixture,
                 "a cancelled job is kept until its assigned runs have ended")
{
  Do({ TwoSteps() });
  Assign(Task(0, 0), 1);
  Do({ CancelJob{ .id = kJob, .at = Time(1500) } });
  CHECK(book.Find(kJob)->state == JobState::Cancelled);
  Assign(Task(0, 1), 1);
  CHECK(recorder.voided.size() == 1);
  Do({ ForgetJob{ .id = kJob } });
  REQUIRE(book.Find(kJob) != nullptr);
  End(Task(0, 0), 1, RunEnd::Done);
  CHECK(book.Find(kJob)->state == JobState::Cancelled);
  Do({ ForgetJob{ .id = kJob } });
  CHECK(book.Find(kJob) == nullptr);
}

TEST_CASE_METHOD(Fixture,
                 "a configuration is replaced only by a higher version")
{
  Do({ PutConfiguration{ .text = "7 3" } });
  Do({ PutConfiguration{ .text = "7 4" } });
  Do({ PutConfiguration{ .text = "6 5" } });
  CHECK(book.ConfigurationText() == "7 3");
  CHECK(book.CurrentConfiguration()->queues[0].maxAttempts == 3);
}

TEST_CASE_METHOD(
  Fixture,
  "a restarted worker gets a new number, and its old incarnation is stale")
{
  const WorkerNumber old = *book.NumberOf(WorkerId("w1"));
  WorkerRecord record = book.Workers().at(old);
  record.isDraining = true;
  Do({ RegisterWorker{ .worker = record } });
  CHECK(book.Workers().at(old).isDraining);
  // A delayed heartbeat does not clear the draining flag.
  record.isDraining = false;
  Do({ RegisterWorker{ .worker = record } });
  CHECK(book.Workers().at(old).isDraining);
  record.incarnation = Incarnation(6);
  Do({ RegisterWorker{ .worker = record } });
  const WorkerNumber fresh = *book.NumberOf(WorkerId("w1"));
  CHECK(fresh != old);
  CHECK_FALSE(book.Workers().at(fresh).isDraining);
  Do({ RetireWorker{ .worker = old } });
  CHECK(book.NumberOf(WorkerId("w1")) == fresh);
  // A delayed heartbeat of the old incarnation registers nothing.
  record.incarnation = Incarnation(5);
  Do({ RegisterWorker{ .worker = record } });
  CHECK(book.Workers().size() == 1);
}

TEST_CASE_METHOD(
  Fixture,
  "a restored snapshot holds the full state, a damaged one changes nothing")
{
  Do({ TwoSteps(),
       StartWave{ .id = WaveId(3),
                  .hosts = { HostId("m-1"), HostId("m-2") },
                  .maxAtOnce = 1,
                  .deadline = Time(9000) },
       BeginUpkeep{ .wave = WaveId(3), .host = HostId("m-1") },
       AnnounceOrder{ .host = HostId("m-1") },
       AnnounceOrder{ .host = HostId("m-1") } });
  Assign(Task(0, 0), 1);
  End(Task(0, 0), 1, RunEnd::Failed);
  Assign(Task(0, 0), 2);
  JobBook other(reader);
  Error reason;
  REQUIRE(other.Restore(book.Snapshot(), reason));
  CHECK(other.Snapshot() == book.Snapshot());
  CHECK(other.Find(Task(0, 0))->attempt == Attempt(2));
  CHECK(other.Find(Task(0, 0))->failures == 1);
  CHECK(other.Waves().at(WaveId(3)).begun.count(HostId("m-1")) == 1);
  CHECK(other.AnnouncedOrders().at(HostId("m-1")) == 2);
  CHECK(other.Find(kJob)->occurrences.at(0).steps[0].checkpoints.at(0) == "c");
  CHECK_FALSE(other.Restore("damaged", reason));
  CHECK(reason.kind == ErrorKind::DataCorrupt);
  CHECK(other.Snapshot() == book.Snapshot());
}

TEST_CASE_METHOD(
  Fixture,
  "a recurring job completes once all of its occurrences are done")
{
  AcceptJob accept = TwoSteps();
  accept.description.steps.resize(1);
  accept.description.steps[0].count = 1;
  accept.description.recurrence = { 2, Time(5000), Duration(3000) };
  Do({ accept });
  for (const std::uint32_t occurrence : { 0U, 1U }) {
    CHECK(book.Find(kJob)->state == JobState::Live);
    const TaskId task{ .job = kJob, .occurrence = occurrence };
    Assign(task, 1);
    End(task, 1, RunEnd::Done);
  }
  CHECK(book.Find(kJob)->state == JobState::Completed);
}
