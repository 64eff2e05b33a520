#include "greengage/jobs/EarlyCancellations.h"
#include "greengage/jobs/JobStateMachine.h"

#include <catch2/catch.hpp>

#include <string>
#include <string_view>

using namespace greengage;
using namespace greengage::jobs;

namespace {

/// Every text is a configuration with queue "plan" at "a" and "/p/".
class OneQueueReader final : public ConfigurationReader
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
                                     .pool = PoolId("lines") });
    return configuration;
  }
};

const JobId kJob(0x5c0e7a21d94b36f8);
const QueueAddress kAddress{ .hostName = "a", .pathPrefix = "/p/" };
const CancelledJob kCancelled{ .id = kJob,
                               .address = kAddress,
                               .team = TeamId("caxias") };

struct Fixture
{
  Fixture() { Apply({ PutConfiguration{ .text = "x" } }); }
  void Apply(const Operations& aOperations)
  {
    Error reason;
    REQUIRE(machine.Apply(Encode(aOperations), nullptr, reason));
  }
  void Cancel(const CancelledJob& aJob, Time aAt)
  {
    Apply({ CancelJob{
      .id = aJob.id, .at = aAt, .address = aJob.address, .team = aJob.team } });
  }
  void Accept(JobId aJob, Time aAt)
  {
    Apply({ AcceptJob{ .id = aJob,
                       .queue = QueueId("plan"),
                       .team = kCancelled.team,
                       .at = aAt,
                       .description = { .payload = "x", .steps = { {} } },
                       .address = kAddress } });
  }
  bool IsRemembered() const
  {
    return machine.CancelledJobs().Find(kCancelled).has_value();
  }

  OneQueueReader reader;
  JobStateMachine machine{ reader };
};

} // namespace

TEST_CASE_METHOD(Fixture,
                 "the cancellation of an unknown job is kept in snapshots for "
                 "its time")
{
  Cancel(kCancelled, Time(1000));
  Cancel(kCancelled, Time(5000));
  Error reason;
  REQUIRE(machine.Restore(machine.Snapshot(), reason));
  CHECK(machine.CancelledJobs().Find(kCancelled) == Time(1000));
  CHECK(machine.CancelledJobs().CountOf(kCancelled.team) == 1);
  const Time end = Time(1000) + kCancellationMemory;
  Accept(JobId(1), end);
  CHECK(IsRemembered());
  Accept(JobId(2), end + Duration(1));
  CHECK_FALSE(IsRemembered());
  CHECK(machine.CancelledJobs().Count() == 0);
  CHECK(machine.CancelledJobs().CountOf(kCancelled.team) == 0);
}

TEST_CASE_METHOD(Fixture,
                 "a cancellation is not older than the log, so that a clock "
                 "that is behind does not shorten its time")
{
  Accept(JobId(1), Time(500000));
  Cancel(kCancelled, Time(1000));
  Accept(JobId(2), Time(500000) + kCancellationMemory);
  CHECK(IsRemembered());
}

TEST_CASE_METHOD(Fixture,
                 "a cancellation that overtook the acceptance of its job in "
                 "the same entry cancels only a job of its team and address")
{
  CancelledJob cancelled = kCancelled;
  bool isMeant = true;
  SECTION("its own") {}
  SECTION("without a key")
  {
    cancelled.team = TeamId();
  }
  SECTION("of another team")
  {
    cancelled.team = TeamId("other");
    isMeant = false;
  }
  SECTION("at another address")
  {
    cancelled.address.pathPrefix = "/o/";
    isMeant = false;
  }
  Accept(kJob, Time(1000));
  Cancel(cancelled, Time(1001));
  CHECK((machine.Find(kJob)->state == JobState::Cancelled) == isMeant);
  CHECK(machine.CancelledJobs().Count() == 0);
}

TEST_CASE_METHOD(Fixture,
                 "the cancellation of an unknown job in the log of an earlier "
                 "version leaves nothing")
{
  // CancelJob of that version, of kJob at 4000.
  const std::string_view entry("\x81\x83\x03\x1b\x5c\x0e\x7a\x21\xd9\x4b\x36"
                               "\xf8\x19\x0f\xa0",
                               15);
  Error reason;
  REQUIRE(machine.Apply(entry, nullptr, reason));
  CHECK(machine.CancelledJobs().Count() == 0);
  CHECK(Encode({ CancelJob{ .id = kJob, .at = Time(4000) } }) == entry);
  Accept(kJob, Time(4001));
  REQUIRE(machine.Apply(entry, nullptr, reason));
  CHECK(machine.Find(kJob)->state == JobState::Cancelled);
}
