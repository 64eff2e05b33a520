// How the failed runs of a gang are counted, across versions and snapshots.

#include "greengage/jobs/JobStateMachine.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

using namespace greengage;
using namespace greengage::jobs;

namespace {

constexpr std::uint32_t kMaxAttempts = 3;

/// Any text is a configuration with the queue "plan".
class FixedReader final : public ConfigurationReader
{
public:
  std::optional<Configuration> Read(std::string_view /*aText*/,
                                    Error& /*aReason*/) const override
  {
    Configuration configuration;
    configuration.version = ConfigurationVersion(1);
    configuration.pools.push_back({ .id = PoolId("lines") });
    configuration.queues.push_back({ .id = QueueId("plan"),
                                     .hostName = "a",
                                     .pathPrefix = "/p/",
                                     .pool = PoolId("lines"),
                                     .maxAttempts = kMaxAttempts });
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

TaskId
Member(std::uint32_t aIndex, std::uint32_t aOccurrence = 0)
{
  return { .job = kJob, .occurrence = aOccurrence, .step = 0, .index = aIndex };
}

/// Written by the version that counted each failure of a member: the accepting
/// of a gang of two.
constexpr const char* kEarlierAcceptance =
  "8188021b5c0e7a21d94b36f864706c616e666361786961731903e885417881900283000000"
  "0080f4f5f4606000f4f46000f4000000006161632f702f";
/// The log of that version, in which both members failed in the first run, of
/// three that the queue allows, and the gang runs again.
const std::vector<const char*> kEarlierLog = {
  "8282016331203382078b62773105606000656c696e657360608083000000f4",
  kEarlierAcceptance,
  "828405841b5c0e7a21d94b36f800000001018405841b5c0e7a21d94b36f80000010101",
  "818806841b5c0e7a21d94b36f80000000101601907d00003",
  "818806841b5c0e7a21d94b36f80000010101601907d00003",
  "828405841b5c0e7a21d94b36f800000002018405841b5c0e7a21d94b36f80000010201",
};
/// The entry by which that version failed the job in the second run.
constexpr const char* kEarlierFailure =
  "818806841b5c0e7a21d94b36f80000000201601907d00003";
/// Its snapshot after the first end of the first run.
constexpr const char* kEarlierSnapshotInRun =
  "8b63312033818e1b5c0e7a21d94b36f864706c616e666361786961731903e80000f501008541"
  "78819002830000000080f4f5f4606000f4f46000f400000000818300f48183828700010101f4"
  "f4f48701000101f4f4f4808064706c616e6161632f702f018182018b62773105606000656c69"
  "6e657360608083000000f48080818264706c616e656c696e6573801907d08080";
/// The same, after the first run.
constexpr const char* kEarlierSnapshot =
  "8b63312033818e1b5c0e7a21d94b36f864706c616e666361786961731903e80000f500008541"
  "78819002830000000080f4f5f4606000f4f46000f400000000818300f48183828700010101f4"
  "f4f48700010101f4f4f4808064706c616e6161632f702f018182018b62773105606000656c69"
  "6e657360608083000000f48080818264706c616e656c696e6573801907d08080";

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
  void Restore(std::string_view aSnapshot)
  {
    Error reason;
    REQUIRE(machine.Restore(aSnapshot, reason));
  }
  /// Accepts a gang of three.
  void AcceptGang(std::uint32_t aOccurrences = 0)
  {
    AcceptJob accept{ .id = kJob,
                      .queue = QueueId("plan"),
                      .team = TeamId("caxias"),
                      .at = Time(1000),
                      .description = { .payload = "x", .steps = { {} } } };
    accept.description.steps[0].count = 3;
    accept.description.steps[0].isGang = true;
    accept.description.recurrence.count = aOccurrences;
    Apply({ PutConfiguration{ .text = "1" },
            accept,
            RegisterWorker{ .worker = { .id = WorkerId("w1"),
                                        .incarnation = Incarnation(5),
                                        .pool = PoolId("lines") } } });
  }
  void Assign(std::uint32_t aAttempt, std::uint32_t aOccurrence = 0)
  {
    const std::size_t count =
      machine.Find(kJob)->occurrences.at(aOccurrence).steps[0].tasks.size();
    for (std::uint32_t index = 0; index < count; ++index)
      Apply({ AssignTask{ .task = Member(index, aOccurrence),
                          .attempt = Attempt(aAttempt),
                          .worker = WorkerNumber(1) } });
  }
  EndRun MakeEnd(const TaskId& aTask, RunOutcome aOutcome) const
  {
    const Attempt attempt = machine.Find(aTask)->attempt;
    return { .task = aTask,
             .attempt = attempt,
             .outcome = aOutcome,
             .checkpoint = {},
             .at = Time(2000),
             .maxAttempts = machine.StatedLimitOf(aTask, attempt, aOutcome) };
  }
  /// Ends the runs of all members at once: one reply of the worker lists them,
  /// so that no entry is applied before the last one is made.
  void EndRuns(const std::vector<RunOutcome>& aOutcomes,
               std::uint32_t aOccurrence = 0)
  {
    Operations ends;
    for (std::uint32_t index = 0; index < aOutcomes.size(); ++index)
      ends.emplace_back(MakeEnd(Member(index, aOccurrence), aOutcomes[index]));
    for (const Operation& end : ends)
      Apply({ end });
  }
  JobState State() const { return machine.Find(kJob)->state; }

  FixedReader reader;
  JobStateMachine machine{ reader };
};

constexpr RunOutcome kFailed = RunOutcome::Failed;
constexpr RunOutcome kLost = RunOutcome::Lost;

} // namespace

TEST_CASE_METHOD(Fixture,
                 "a gang fails its job with as many failed runs as its queue "
                 "allows, whichever members fail in them")
{
  const auto outcomes = GENERATE(
    std::vector<std::vector<RunOutcome>>{ { kFailed, kFailed, kFailed },
                                          { kFailed, kFailed, kFailed },
                                          { kFailed, kFailed, kFailed } },
    std::vector<std::vector<RunOutcome>>{ { kFailed, kLost, kLost },
                                          { kLost, kFailed, kLost },
                                          { kLost, kLost, kFailed } },
    std::vector<std::vector<RunOutcome>>{ { kFailed, kFailed, kLost },
                                          { kLost, kLost, kFailed },
                                          { kFailed, kLost, kFailed } });
  const bool isRestored = GENERATE(false, true);
  AcceptGang();
  for (std::uint32_t run = 0; run < kMaxAttempts; ++run) {
    CHECK(State() == JobState::Live);
    Assign(run + 1);
    if (isRestored)
      Restore(machine.Snapshot());
    EndRuns(outcomes[run]);
  }
  CHECK(State() == JobState::Failed);
}

TEST_CASE_METHOD(Fixture,
                 "a run of a gang counts once, also if a snapshot is restored "
                 "between the ends of its members")
{
  AcceptGang();
  Assign(1);
  for (const std::uint32_t index : { 0U, 1U, 2U }) {
    Apply({ MakeEnd(Member(index), kFailed) });
    CHECK(machine.FailedRunsOf(Member(0)) == 1);
    Restore(machine.Snapshot());
    CHECK(machine.FailedRunsOf(Member(2)) == 1);
  }
  CHECK(State() == JobState::Live);
}

TEST_CASE_METHOD(Fixture, "the occurrences of a gang count their runs apart")
{
  AcceptGang(2);
  for (const std::uint32_t occurrence : { 0U, 1U })
    for (std::uint32_t run = 1; run < kMaxAttempts; ++run) {
      Assign(run, occurrence);
      EndRuns({ kFailed, kFailed, kLost }, occurrence);
      CHECK(machine.FailedRunsOf(Member(0, occurrence)) == run);
    }
  CHECK(State() == JobState::Live);
}

TEST_CASE_METHOD(Fixture,
                 "the log of a version that added up the failures of a gang is "
                 "replayed as that version applied it")
{
  for (const char* entry : kEarlierLog)
    Apply(std::string_view(FromHex(entry)));
  CHECK(State() == JobState::Live);
  SECTION("up to the end of the job")
  {
    Apply(std::string_view(FromHex(kEarlierFailure)));
    CHECK(State() == JobState::Failed);
  }
  SECTION("and later entries count the runs")
  {
    CHECK(machine.FailedRunsOf(Member(0)) == 1);
    EndRuns({ kFailed, kFailed });
    CHECK(State() == JobState::Live);
    Assign(3);
    EndRuns({ kLost, kFailed });
    CHECK(State() == JobState::Failed);
  }
}

TEST_CASE_METHOD(Fixture,
                 "a snapshot of a version that added up the failures of a gang "
                 "is read, and later entries count the runs")
{
  const bool isInRun = GENERATE(true, false);
  Restore(FromHex(isInRun ? kEarlierSnapshotInRun : kEarlierSnapshot));
  CHECK(machine.FailedRunsOf(Member(0)) == 1);
  if (isInRun)
    Apply({ MakeEnd(Member(1), kFailed) });
  CHECK(machine.FailedRunsOf(Member(0)) == 1);
  Assign(2);
  EndRuns({ kFailed, kFailed });
  CHECK(State() == JobState::Live);
  Assign(3);
  EndRuns({ kFailed, kLost });
  CHECK(State() == JobState::Failed);
}

// Hosts of both versions apply the same entries while a fleet is upgraded. The
// earlier one compares the sum of the members' failures with the stated limit.
TEST_CASE_METHOD(Fixture,
                 "a version that adds up the failures of a gang decides alike "
                 "on the entries of this one")
{
  AcceptGang();
  std::uint32_t sum = 0;
  for (std::uint32_t run = 1; run <= kMaxAttempts; ++run) {
    Assign(run);
    for (const std::uint32_t index : { 0U, 1U, 2U }) {
      const EndRun end = MakeEnd(Member(index), index == 1 ? kLost : kFailed);
      const bool wasLive = State() == JobState::Live;
      sum += end.outcome == kFailed ? 1 : 0;
      Apply({ end });
      if (wasLive)
        CHECK((sum >= end.maxAttempts) == (State() == JobState::Failed));
    }
  }
  CHECK(State() == JobState::Failed);
}
