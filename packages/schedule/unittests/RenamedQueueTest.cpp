// Jobs whose queue gets another name or another path.

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
  /// The queue of version 1 under another name, path or both.
  jobs::Queue PlanAs(const char* aName, const char* aPrefix = "/p/") const
  {
    jobs::Queue queue = Plan();
    queue.id = jobs::QueueId(aName);
    queue.pathPrefix = aPrefix;
    return queue;
  }
  jobs::JobId SubmitPersistent()
  {
    jobs::Step step = MakeStep(2);
    step.isPersistent = true;
    return Submit({ step });
  }
  bool Stops(jobs::JobId aJob)
  {
    return RunUntil([&] { return !HasRun(aJob); }, Duration(1000));
  }
  std::uint64_t CountPending()
  {
    Send(QueueCall{ .verb = QueueVerb::Query,
                    .hostName = "h",
                    .path = pathPrefix,
                    .key = key,
                    .job = std::nullopt });
    return std::get<QueueDepth>(*LastReply()).pending;
  }
  bool IsRefusedAs(ErrorKind aKind) const
  {
    const auto* refused = std::get_if<Refused>(LastReply());
    return refused != nullptr && refused->reason.kind == aKind;
  }
};

} // namespace

// Guards against a job that its client can't read or cancel after its queue got
// another name.
TEST_CASE_METHOD(Fixture,
                 "a job is found and cancelled at its path after its queue was "
                 "renamed")
{
  const jobs::JobId job = SubmitPersistent();
  Run(Duration(300));
  REQUIRE(RunCountOf(job) == 2);
  SECTION("by one version")
  {
    Configure(2, { PlanAs("plan-new") });
  }
  SECTION("by two versions, the first of which has no queue there")
  {
    Configure(2, {});
    CHECK(QueryState(job) == std::nullopt);
    CHECK(IsRefusedAs(ErrorKind::NotFound));
    Configure(3, { PlanAs("plan-new") });
  }
  SECTION("before all control hosts restarted")
  {
    Configure(2, { PlanAs("plan-new") });
    RestartControlHosts();
    Run(Duration(500));
  }
  SECTION("while all control hosts restarted")
  {
    Configure(2, {});
    RestartControlHosts();
    Run(Duration(500));
    Configure(3, { PlanAs("plan-new") });
  }
  SECTION("twice")
  {
    Configure(2, { PlanAs("plan-new") });
    Configure(3, { PlanAs("plan-newer") });
  }
  CHECK(QueryState(job) == JobProgress::Running);
  Cancel(job);
  CHECK(Stops(job));
  CHECK(QueryState(job) == JobProgress::Cancelled);
  CheckInvariants();
}

// Guards against jobs that are looked for in the queue that has their queue's
// name now.
TEST_CASE_METHOD(Fixture,
                 "a job is found at its path after two queues have exchanged "
                 "their paths")
{
  Configure(2, { PlanAs("plan"), PlanAs("other", "/o/") });
  const jobs::JobId planned = SubmitPersistent();
  pathPrefix = "/o/";
  const jobs::JobId other = SubmitPersistent();
  Run(Duration(300));
  Configure(3, { PlanAs("plan", "/o/"), PlanAs("other") });
  CHECK(QueryState(other) == JobProgress::Running);
  CHECK(QueryState(planned) == std::nullopt);
  pathPrefix = "/p/";
  CHECK(QueryState(planned) == JobProgress::Running);
  Cancel(planned);
  CHECK(Stops(planned));
  CHECK(HasRun(other));
}

TEST_CASE_METHOD(Fixture,
                 "a job follows its queue to a new path while no queue has the "
                 "old one")
{
  const jobs::JobId job = SubmitPersistent();
  Run(Duration(300));
  Configure(2, { PlanAs("plan", "/moved/") });
  CHECK(QueryState(job) == std::nullopt);
  CHECK(IsRefusedAs(ErrorKind::NotFound));
  pathPrefix = "/moved/";
  CHECK(QueryState(job) == JobProgress::Running);
  Configure(3, { PlanAs("plan", "/moved/"), PlanAs("again") });
  pathPrefix = "/p/";
  CHECK(QueryState(job) == JobProgress::Running);
}

TEST_CASE_METHOD(Fixture,
                 "a job that is submitted again at its path after a change of "
                 "name is still one job")
{
  const jobs::JobId job = SubmitPersistent();
  Run(Duration(300));
  Configure(2, { PlanAs("plan-new") });
  Send(QueueCall{
    .verb = QueueVerb::Submit,
    .hostName = "h",
    .path = "/p/" + ToString(job),
    .key = "key",
    .job = jobs::JobDescription{ .payload = "x", .steps = { MakeStep(1) } } });
  REQUIRE(LastReply() != nullptr);
  CHECK(std::holds_alternative<Accepted>(*LastReply()));
  CHECK(QueryState(job) == JobProgress::Running);
  CHECK(RunCountOf(job) == 2);
}

TEST_CASE_METHOD(Fixture,
                 "a job has the attempts of the queue that took over its path")
{
  const jobs::JobId job = Submit({ MakeStep(1) }, { .failures = 4 });
  jobs::Queue renamed = PlanAs("plan-new");
  renamed.maxAttempts = 5;
  reader.maxAttempts = 5;
  Configure(2, { renamed });
  CHECK(ReachesState(job, JobProgress::Completed));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "pending jobs are counted in the queue that took over their "
                 "path")
{
  for (const char* id : { "w1", "w2", "w3" })
    CrashWorker(id, std::nullopt);
  const jobs::JobId job = SubmitPersistent();
  Run(Duration(300));
  REQUIRE(CountPending() == 1);
  Configure(2, { PlanAs("plan-new"), PlanAs("other", "/o/") });
  CHECK(CountPending() == 1);
  pathPrefix = "/o/";
  CHECK(CountPending() == 0);
  CHECK(QueryState(job) == std::nullopt);
}

// Guards against a job that another team's key reads or cancels because the key
// is valid for the queue.
TEST_CASE_METHOD(Fixture, "a job is not found with the key of another team")
{
  Error reason;
  jobs::Configuration configuration = *reader.Read("", reason);
  configuration.version = jobs::ConfigurationVersion(2);
  configuration.teams.push_back({ .id = TeamId("other"), .keys = { "o" } });
  reader.configurations["two teams"] = configuration;
  Send(
    ConfigurationPut{ .version = configuration.version, .text = "two teams" });
  const jobs::JobId job = SubmitPersistent();
  Run(Duration(300));
  key = "o";
  CHECK(QueryState(job) == std::nullopt);
  CHECK(std::holds_alternative<NoSuchJob>(*LastReply()));
  Cancel(job);
  Run(Duration(500));
  CHECK(RunCountOf(job) == 2);

  SECTION("but it is if the queue needs no key")
  {
    configuration.version = jobs::ConfigurationVersion(3);
    configuration.queues.at(0).allowsAnonymous = true;
    reader.configurations["no key needed"] = configuration;
    Send(ConfigurationPut{ .version = configuration.version,
                           .text = "no key needed" });
    Run(Duration(100));
    CHECK(QueryState(job) == JobProgress::Running);
  }
  SECTION("but it is if its team is not configured any more")
  {
    configuration.version = jobs::ConfigurationVersion(3);
    configuration.teams.erase(configuration.teams.begin());
    reader.configurations["one team"] = configuration;
    Send(
      ConfigurationPut{ .version = configuration.version, .text = "one team" });
    Run(Duration(100));
    Cancel(job);
    CHECK(Stops(job));
  }
}
