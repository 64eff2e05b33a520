// Submissions that arrive after the cancellation of their job.

#include "ConfiguredFleet.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <variant>

using namespace greengage;
using namespace greengage::schedule;

namespace {

struct Fixture : ConfiguredFleetWithWorkers
{
  void SendCancel(jobs::JobId aJob)
  {
    Send(QueueCall{ .verb = QueueVerb::Cancel,
                    .hostName = "h",
                    .path = pathPrefix + ToString(aJob),
                    .key = key,
                    .job = std::nullopt });
  }
  /// Cancels a job that is not known, and waits for the answer.
  void CancelEarly(jobs::JobId aJob)
  {
    SendCancel(aJob);
    Run(Duration(50));
    REQUIRE(LastReply() != nullptr);
    CHECK(std::holds_alternative<NoSuchJob>(*LastReply()));
  }
  jobs::JobId SubmitPersistent()
  {
    jobs::Step step = MakeStep(2);
    step.isPersistent = true;
    const jobs::JobId job = Submit({ step });
    Run(Duration(300));
    return job;
  }
  bool IsRefusedAs(ErrorKind aKind) const
  {
    const auto* refused = std::get_if<Refused>(LastReply());
    return refused != nullptr && refused->reason.kind == aKind;
  }
  /// A configuration whose other team has key "o".
  jobs::Configuration TwoTeams() const
  {
    Error reason;
    jobs::Configuration configuration = *reader.Read("", reason);
    configuration.version = jobs::ConfigurationVersion(2);
    configuration.teams.push_back({ .id = TeamId("other"), .keys = { "o" } });
    return configuration;
  }
  void Put(const jobs::Configuration& aConfiguration)
  {
    const std::string text =
      "put " + std::to_string(aConfiguration.version.Value());
    reader.configurations[text] = aConfiguration;
    Send(ConfigurationPut{ .version = aConfiguration.version, .text = text });
    Run(Duration(100));
  }
};

const jobs::JobId kFirst(1);

} // namespace

// Guards against a job that starts after its cancellation was acknowledged,
// because the submission was held up on its way.
TEST_CASE_METHOD(Fixture,
                 "a submission that arrives after its cancellation is refused")
{
  CancelEarly(kFirst);
  SECTION("by the leader that was told to cancel") {}
  SECTION("by the next leader")
  {
    ChangeLeader();
  }
  SECTION("after all control hosts have restarted")
  {
    RestartControlHosts();
    Run(Duration::Seconds(8));
  }
  SECTION("after its queue got another name")
  {
    jobs::Queue renamed = Plan();
    renamed.id = jobs::QueueId("renamed");
    Configure(2, { renamed });
  }
  SECTION("after a second cancellation")
  {
    CancelEarly(kFirst);
  }
  REQUIRE(SubmitPersistent() == kFirst);
  CHECK(IsRefusedAs(ErrorKind::Cancelled));
  CHECK_FALSE(HasRun(kFirst));
  CHECK(QueryState(kFirst) == std::nullopt);
  CHECK(std::holds_alternative<NoSuchJob>(*LastReply()));
}

// Guards against a submission that is accepted between the call that cancels it
// and the commit of its entry.
TEST_CASE_METHOD(Fixture,
                 "a submission is refused while its cancellation is not yet "
                 "committed")
{
  SendCancel(kFirst);
  CHECK(LastReply() == nullptr);
  REQUIRE(SubmitPersistent() == kFirst);
  CHECK_FALSE(HasRun(kFirst));
}

// Guards against a cancellation that is acknowledged without effect because the
// entry that accepts the job is proposed and not committed.
TEST_CASE_METHOD(Fixture,
                 "a job is cancelled while its acceptance is not yet committed")
{
  jobs::Step step = MakeStep(2);
  step.isPersistent = true;
  const jobs::JobId job = Submit({ step });
  SECTION("or proposed") {}
  SECTION("but proposed")
  {
    Run(Duration(10));
  }
  SendCancel(job);
  REQUIRE(RunUntil([&] { return LastReply() != nullptr; }, Duration(100)));
  CHECK(std::holds_alternative<Accepted>(*LastReply()));
  Run(Duration(500));
  CHECK_FALSE(HasRun(job));
  CHECK(QueryState(job) == JobProgress::Cancelled);
}

TEST_CASE_METHOD(Fixture,
                 "a submission whose first copy was accepted by the former "
                 "leader is cancelled by the next one")
{
  jobs::Step step = MakeStep(2);
  step.isPersistent = true;
  const jobs::JobId job = Submit({ step });
  Run(Duration(20));
  ChangeLeader();
  SendCancel(job);
  Run(Duration::Seconds(6));
  CHECK_FALSE(HasRun(job));
  CHECK(QueryState(job) == JobProgress::Cancelled);
}

TEST_CASE_METHOD(Fixture,
                 "an early cancellation does not concern other teams or queues")
{
  jobs::Configuration configuration = TwoTeams();
  jobs::Queue other = Plan();
  other.id = jobs::QueueId("other");
  other.pathPrefix = "/o/";
  configuration.queues.push_back(other);
  Put(configuration);
  SECTION("with the key of another team")
  {
    key = "o";
    CancelEarly(kFirst);
    key = "key";
  }
  SECTION("in another queue")
  {
    pathPrefix = "/o/";
    CancelEarly(kFirst);
    pathPrefix = "/p/";
  }
  REQUIRE(SubmitPersistent() == kFirst);
  CHECK(RunCountOf(kFirst) == 2);
}

TEST_CASE_METHOD(Fixture,
                 "a cancellation without a key holds for all teams of a queue "
                 "that needs none")
{
  jobs::Configuration configuration = TwoTeams();
  configuration.queues.at(0).allowsAnonymous = true;
  Put(configuration);
  key = "";
  CancelEarly(kFirst);
  key = "key";
  REQUIRE(SubmitPersistent() == kFirst);
  CHECK(IsRefusedAs(ErrorKind::Cancelled));
  CHECK_FALSE(HasRun(kFirst));
}

TEST_CASE_METHOD(Fixture,
                 "early cancellations of a team are limited, forgotten in time "
                 "and do not use up those of another")
{
  Put(TwoTeams());
  constexpr std::size_t kShare = jobs::kMaxEarlyCancellations / 3;
  for (std::uint64_t number = 0; number < kShare; ++number)
    SendCancel(jobs::JobId(1000000 + number));
  SendCancel(jobs::JobId(7));
  REQUIRE(LastReply() != nullptr);
  CHECK(IsRefusedAs(ErrorKind::LimitReached));
  Run(Duration::Seconds(1));
  SendCancel(jobs::JobId(7));
  REQUIRE(IsRefusedAs(ErrorKind::LimitReached));
  const Duration wait = std::get<Refused>(*LastReply()).retryAfter;
  CHECK(wait > jobs::kCancellationMemory - Duration::Seconds(2));
  CHECK(wait <= jobs::kCancellationMemory);
  key = "o";
  CancelEarly(jobs::JobId(8));
  Run(wait + Duration(1000));
  key = "key";
  CancelEarly(jobs::JobId(7));
  CancelEarly(jobs::JobId(9));
}
