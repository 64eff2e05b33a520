// What the job state machine knows of queues that the configuration lacks.

#include "greengage/jobs/JobStateMachine.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

using namespace greengage;
using namespace greengage::jobs;

namespace {

/// Parses "VERSION [NAME,HOST,PREFIX,MAX_ATTEMPTS]...".
class ListReader final : public ConfigurationReader
{
public:
  std::optional<Configuration> Read(std::string_view aText,
                                    Error& /*aReason*/) const override
  {
    std::istringstream text{ std::string(aText) };
    std::uint64_t version = 0;
    text >> version;
    Configuration configuration;
    configuration.version = ConfigurationVersion(version);
    configuration.pools.push_back({ .id = PoolId("lines") });
    for (std::string item; text >> item;) {
      std::istringstream fields(item);
      std::string name;
      std::string host;
      std::string prefix;
      std::string attempts;
      std::getline(fields, name, ',');
      std::getline(fields, host, ',');
      std::getline(fields, prefix, ',');
      std::getline(fields, attempts, ',');
      configuration.queues.push_back(
        { .id = QueueId(name),
          .hostName = host,
          .pathPrefix = prefix,
          .pool = PoolId("lines"),
          .maxAttempts = static_cast<std::uint32_t>(std::stoul(attempts)) });
    }
    return configuration;
  }
};

std::string
FromHex(std::string_view aText)
{
  std::string bytes;
  for (std::size_t at = 0; at < aText.size(); at += 2)
    bytes.push_back(static_cast<char>(
      std::stoi(std::string(aText.substr(at, 2)), nullptr, 16)));
  return bytes;
}

const JobId kJob(0x5c0e7a21d94b36f8);
const TaskId kTask{ .job = kJob };

struct Fixture
{
  void Apply(std::string_view aEntry)
  {
    Error reason;
    REQUIRE(machine.Apply(aEntry, nullptr, reason));
  }
  void Apply(const Operations& aOperations)
  {
    Apply(std::string_view(Encode(aOperations)));
  }
  void Configure(std::string aText)
  {
    Apply({ PutConfiguration{ .text = std::move(aText) } });
  }
  void Restore(std::string_view aSnapshot)
  {
    Error reason;
    REQUIRE(machine.Restore(aSnapshot, reason));
  }
  /// Accepts a job of two tasks in queue "plan", which has an attempt limit of
  /// 3, on a worker with number 1.
  void AcceptPlan()
  {
    Configure("1 plan,a,/p/,3");
    AcceptJob accept{ .id = kJob,
                      .queue = QueueId("plan"),
                      .team = TeamId("caxias"),
                      .at = Time(1000),
                      .description = { .payload = "x", .steps = { {} } } };
    accept.description.steps[0].count = 2;
    Apply({ accept,
            RegisterWorker{ .worker = { .id = WorkerId("w1"),
                                        .incarnation = Incarnation(5),
                                        .pool = PoolId("lines") } } });
  }
  void FailRun(std::uint32_t aAttempt, std::uint32_t aMaxAttempts)
  {
    Apply({ AssignTask{ .task = kTask,
                        .attempt = Attempt(aAttempt),
                        .worker = WorkerNumber(1) },
            EndRun{ .task = kTask,
                    .attempt = Attempt(aAttempt),
                    .outcome = RunOutcome::Failed,
                    .checkpoint = {},
                    .at = Time(2000),
                    .maxAttempts = aMaxAttempts } });
  }
  JobState State() const { return machine.Find(kJob)->state; }
  std::string QueueOfJob() const { return machine.Find(kJob)->queue.Value(); }
  bool IsKnown(const char* aQueue) const
  {
    return machine.Queues().count(QueueId(aQueue)) != 0;
  }

  ListReader reader;
  JobStateMachine machine{ reader };
};

/// Written by the version before attempt limits were stated in the log: a job
/// of queue "plan" (limit 3) whose first task has failed once and runs again,
/// after a configuration without queues.
constexpr const char* kEarlierSnapshot =
  "896132818b1b5c0e7a21d94b36f864706c616e666361786961731903e80000f5020085417881"
  "9002830000000080f4f4f4606000f4f46000f400000000818300f48183828701010201f4f4f4"
  "8701000101f4f4f48080018182018b62773105606000656c696e657360608083000000f48080"
  "818264706c616e656c696e6573801907d0";
/// Written by the same version while the queue was configured.
constexpr const char* kEarlierConfiguredSnapshot =
  "896e3120706c616e2c612c2f702f2c33818b1b5c0e7a21d94b36f864706c616e666361786961"
  "731903e80000f50100854178819002830000000080f4f4f4606000f4f46000f4000000008183"
  "00f48183828700010101f4f4f48701000101f4f4f48080018182018b62773105606000656c69"
  "6e657360608083000000f48080818264706c616e656c696e6573801907d0";
/// The entries that led to the first one.
const std::vector<const char*> kEarlierLog = {
  "8282016e3120706c616e2c612c2f702f2c3382078b62773105606000656c696e657360608083"
  "000000f4",
  "8186021b5c0e7a21d94b36f864706c616e666361786961731903e8854178819002830000000"
  "080f4f4f4606000f4f46000f400000000",
  "828405841b5c0e7a21d94b36f800000001018405841b5c0e7a21d94b36f80000010101",
  "818706841b5c0e7a21d94b36f80000000101601907d000",
  "8182016132",
  "818405841b5c0e7a21d94b36f80000000201"
};
/// The entry by which that version failed the job: the second failed run.
constexpr const char* kEarlierFailure =
  "818706841b5c0e7a21d94b36f8000000020160190bb800";

} // namespace

TEST_CASE_METHOD(Fixture,
                 "a removed queue keeps its definition in snapshots while it "
                 "has jobs")
{
  AcceptPlan();
  Configure("2");
  CHECK(machine.RemovedQueueCount() == 1);
  Restore(machine.Snapshot());
  CHECK(machine.MaxAttemptsOf(kJob) == 3);
  const KnownQueue& queue = machine.Queues().at(QueueId("plan"));
  CHECK(queue.absences == 1);
  CHECK(queue.definition.hostName == "a");
  CHECK(queue.definition.pathPrefix == "/p/");
  CHECK(queue.definition.pool == PoolId("lines"));
  for (const char* version : { "3 plan,a,/p/,4", "4" })
    Configure(version);
  Restore(machine.Snapshot());
  CHECK(machine.MaxAttemptsOf(kJob) == 4);
}

TEST_CASE_METHOD(Fixture,
                 "a removed queue without jobs is forgotten after a number of "
                 "configurations")
{
  AcceptPlan();
  Configure("2 plan,a,/p/,3 other,a,/o/,2");
  for (std::uint64_t version = 3; version < 3 + kMaxAbsences; ++version)
    Configure(std::to_string(version));
  CHECK(IsKnown("plan"));
  CHECK(IsKnown("other"));
  Restore(machine.Snapshot());
  Configure("100");
  CHECK(IsKnown("plan"));
  CHECK_FALSE(IsKnown("other"));
  Apply({ CancelJob{ .id = kJob, .at = Time(3000) },
          RemoveJobRecord{ .id = kJob } });
  Configure("101");
  CHECK(machine.Queues().empty());
}

TEST_CASE_METHOD(Fixture,
                 "a job fails by the attempt limit that the log states")
{
  AcceptPlan();
  Configure("2");
  const std::string snapshot = machine.Snapshot();
  FailRun(1, machine.MaxAttemptsOf(kJob));
  FailRun(2, machine.MaxAttemptsOf(kJob));
  CHECK(State() == JobState::Live);
  FailRun(3, machine.MaxAttemptsOf(kJob));
  CHECK(State() == JobState::Failed);
  Restore(snapshot);
  FailRun(1, 1);
  CHECK(State() == JobState::Failed);
}

TEST_CASE_METHOD(Fixture,
                 "the log of an earlier version is replayed as that version "
                 "applied it")
{
  for (const char* entry : kEarlierLog)
    Apply(std::string_view(FromHex(entry)));
  CHECK(State() == JobState::Live);
  SECTION("its entries have no attempt limit")
  {
    Apply(std::string_view(FromHex(kEarlierFailure)));
    CHECK(State() == JobState::Failed);
  }
  SECTION("and the next entries go on with the limit of the removed queue")
  {
    CHECK(machine.MaxAttemptsOf(kJob) == 3);
  }
}

TEST_CASE_METHOD(Fixture,
                 "a job of a queue that the snapshot of an earlier version "
                 "knows only by its pool does not fail")
{
  Restore(FromHex(kEarlierSnapshot));
  CHECK(machine.Queues().at(QueueId("plan")).definition.pool ==
        PoolId("lines"));
  CHECK(machine.MaxAttemptsOf(kJob) == kUnlimitedAttempts);
  Apply({ EndRun{ .task = kTask,
                  .attempt = Attempt(2),
                  .outcome = RunOutcome::Failed,
                  .checkpoint = {},
                  .at = Time(3000),
                  .maxAttempts = machine.MaxAttemptsOf(kJob) } });
  CHECK(State() == JobState::Live);
  Configure("3 plan,a,/p/,3");
  FailRun(3, machine.MaxAttemptsOf(kJob));
  CHECK(State() == JobState::Failed);
}

TEST_CASE_METHOD(Fixture, "a job is governed by the queue that has its address")
{
  AcceptPlan();
  SECTION("after a change of name")
  {
    Configure("2 renamed,a,/p/,4");
    CHECK(QueueOfJob() == "renamed");
  }
  SECTION("after queues have exchanged their addresses")
  {
    Configure("2 plan,a,/q/,2 other,a,/p/,4");
    CHECK(QueueOfJob() == "other");
  }
  SECTION("after a version without it and a snapshot")
  {
    Configure("2");
    Restore(machine.Snapshot());
    CHECK(QueueOfJob() == "plan");
    Configure("3 plan,b,/p/,2 renamed,a,/p/,4");
    CHECK(QueueOfJob() == "renamed");
  }
  SECTION("also if that is removed again")
  {
    Configure("2 renamed,a,/p/,4");
    Configure("3 plan,a,/q/,2");
    CHECK(QueueOfJob() == "renamed");
  }
  Restore(machine.Snapshot());
  CHECK(machine.MaxAttemptsOf(kJob) == 4);
}

TEST_CASE_METHOD(Fixture,
                 "a job that was accepted before its queue got another name is "
                 "recorded under that name")
{
  AcceptPlan();
  Apply({ CancelJob{ .id = kJob, .at = Time(3000) },
          RemoveJobRecord{ .id = kJob } });
  Configure("2 renamed,a,/p/,4 plan,a,/q/,2");
  Apply({ AcceptJob{ .id = kJob,
                     .queue = QueueId("plan"),
                     .team = TeamId("caxias"),
                     .at = Time(4000),
                     .description = { .payload = "x", .steps = { {} } },
                     .address = { .hostName = "a", .pathPrefix = "/p/" } } });
  CHECK(QueueOfJob() == "renamed");
}

TEST_CASE_METHOD(Fixture,
                 "a job of an earlier version's log follows its address")
{
  for (const char* entry : kEarlierLog)
    Apply(std::string_view(FromHex(entry)));
  Configure("3 renamed,a,/p/,4");
  CHECK(QueueOfJob() == "renamed");
  // That version did not know the new name, and failed the job.
  Apply(std::string_view(FromHex(kEarlierFailure)));
  CHECK(State() == JobState::Failed);
}

TEST_CASE_METHOD(Fixture,
                 "a job of an earlier version's snapshot follows the address "
                 "that its queue has there")
{
  Restore(FromHex(kEarlierConfiguredSnapshot));
  Configure("2 renamed,a,/p/,4");
  CHECK(QueueOfJob() == "renamed");
  Restore(FromHex(kEarlierSnapshot));
  Configure("3 renamed,a,/p/,4");
  CHECK(QueueOfJob() == "plan");
}
