#include "SimulatedFleet.h"

#include "greengage/schedule/Admission.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

using namespace greengage;
using namespace greengage::schedule;

namespace {

constexpr Time kNow(100000);

/// A job of 1 s with an objective of 2 s, before a backlog that takes
/// \p aBacklog.
JobOffer
OfferBehind(Duration aBacklog, std::uint64_t aJob = 7)
{
  constexpr std::int64_t kCapacity = 4000;
  return { .job = jobs::JobId(aJob),
           .path = Duration(1000),
           .objective = Duration(2000),
           .pool = { .backlog = MilliCoreMillis(aBacklog.Millis() * kCapacity),
                     .capacity = MilliCores(kCapacity) },
           .team = {} };
}

} // namespace

TEST_CASE("a job that will be late is admitted, one that will be worthless not")
{
  BacklogAdmission admission;
  for (const int backlog : { 0, 1500, 3000, 5000 }) {
    const auto decision =
      admission.Decide(OfferBehind(Duration(backlog)), kNow);
    CAPTURE(backlog);
    CHECK(decision.isAdmitted);
    CHECK(decision.acceptedAt == kNow);
  }
  const auto decision = admission.Decide(OfferBehind(Duration(5100)), kNow);
  CHECK_FALSE(decision.isAdmitted);
  CHECK(decision.retryAfter >= Duration::Seconds(1));
}

TEST_CASE("without known capacity a job is admitted")
{
  BacklogAdmission admission;
  JobOffer offer = OfferBehind(Duration(90000));
  offer.pool.capacity = MilliCores(0);
  CHECK(admission.Decide(offer, kNow).isAdmitted);
}

TEST_CASE("a team that floods its quota is rejected, others are not")
{
  BacklogAdmission admission;
  JobOffer offer = OfferBehind(Duration(1000));
  CHECK(admission.Decide(offer, kNow).isAdmitted);
  offer.job = jobs::JobId(8);
  offer.team = { .backlog = MilliCoreMillis(6000 * 500),
                 .capacity = MilliCores(500) };
  CHECK_FALSE(admission.Decide(offer, kNow).isAdmitted);
}

TEST_CASE(
  "clients are asked to return once the backlog has drained, and spread")
{
  BacklogAdmission admission;
  std::vector<Duration> times;
  for (std::uint64_t job = 1; job <= 100; ++job) {
    // Clients draw the ids of their jobs at random.
    const std::uint64_t id = job * 0x9e3779b97f4a7c15;
    const auto decision =
      admission.Decide(OfferBehind(Duration(9000), id), kNow);
    REQUIRE_FALSE(decision.isAdmitted);
    times.push_back(decision.retryAfter);
  }
  const auto [earliest, latest] =
    std::minmax_element(times.begin(), times.end());
  // The backlog exceeds what is allowed by 4 s.
  CHECK(*earliest >= Duration(4000));
  CHECK(*latest < Duration(8000));
  for (Duration from(4000); from < Duration(8000);
       from = from + Duration(1000)) {
    const auto returning =
      std::count_if(times.begin(), times.end(), [&](Duration aTime) {
        return aTime >= from && aTime < from + Duration(1000);
      });
    CHECK(returning >= 15);
    CHECK(returning <= 35);
  }
}

TEST_CASE("a client that comes back goes first and is not sent away for ever")
{
  BacklogAdmission admission;
  const JobOffer hopeless = OfferBehind(Duration(9000));
  CHECK_FALSE(admission.Decide(hopeless, kNow).isAdmitted);
  const Time later = kNow + Duration(500);

  SECTION("as the first of those that can be in time")
  {
    const auto decision = admission.Decide(OfferBehind(Duration(1000)), later);
    CHECK(decision.isAdmitted);
    CHECK(decision.acceptedAt == kNow);
    const Time muchLater = kNow + Duration(9000);
    const auto last = admission.Decide(OfferBehind(Duration(1000)), muchLater);
    CHECK(last.acceptedAt == muchLater - Duration(1000));
  }
  SECTION("at the third time whatever the load is")
  {
    CHECK_FALSE(admission.Decide(hopeless, later).isAdmitted);
    CHECK(admission.Decide(hopeless, later + Duration(8000)).isAdmitted);
  }
  SECTION("unless it has been away for long")
  {
    const Time muchLater = kNow + Duration::Seconds(61);
    for (int offer = 0; offer < 2; ++offer)
      CHECK_FALSE(admission.Decide(hopeless, muchLater).isAdmitted);
  }
}

TEST_CASE("rejections are remembered within a bound")
{
  BacklogAdmission admission;
  for (std::uint64_t job = 1; job <= 10000; ++job)
    CHECK_FALSE(
      admission.Decide(OfferBehind(Duration(9000), job), kNow).isAdmitted);
  // The first ones are forgotten.
  for (int offer = 0; offer < 2; ++offer)
    CHECK_FALSE(
      admission.Decide(OfferBehind(Duration(9000), 1), kNow).isAdmitted);
}

namespace {

/// Five workers with room for forty tasks, and jobs of eight tasks of 1 s.
struct ReplayFixture : SimulatedFleet
{
  ReplayFixture()
  {
    for (const char* id : { "w1", "w2", "w3", "w4", "w5" })
      AddWorker(id);
    Run(Duration(1000));
  }

  /// Hands in a job. \returns whether it was rejected.
  bool Offer()
  {
    jobs.push_back(
      Submit({ { .count = 8,
                 .request = { MilliCores(500), Mebibytes(256), {} },
                 .estimate = Duration(1000) } },
             { .runTime = Duration(1000) }));
    if (LastReply() == nullptr)
      return false;
    const auto* refused = std::get_if<Refused>(LastReply());
    REQUIRE(refused != nullptr);
    CHECK(refused->retryAfter >= Duration::Seconds(1));
    jobs.pop_back();
    return true;
  }

  bool AreAllCompleted()
  {
    return std::all_of(jobs.begin(), jobs.end(), [&](jobs::JobId aJob) {
      return QueryState(aJob) == JobProgress::Completed;
    });
  }

  std::vector<jobs::JobId> jobs;
};

} // namespace

TEST_CASE_METHOD(ReplayFixture,
                 "in a burst of twenty times the pool what is accepted is done "
                 "while it is of use")
{
  constexpr int kJobs = 500;
  int rejected = 0;
  for (int job = 0; job < kJobs; ++job) {
    rejected += Offer() ? 1 : 0;
    Run(Duration(10));
  }
  CAPTURE(rejected);
  // Three times the objective of 2.2 s after the last job was handed in.
  CHECK(RunUntil([&] { return AreAllCompleted(); }, Duration(6600)));
  // The pool does five jobs a second from the first arrival to that time.
  CHECK(kJobs - rejected >= 50);
  for (const std::string& violation : violations)
    FAIL_CHECK(violation);
}

TEST_CASE_METHOD(ReplayFixture, "twice the load of the pool rejects nothing")
{
  for (int job = 0; job < 40; ++job) {
    CHECK_FALSE(Offer());
    Run(Duration(100));
  }
}

TEST_CASE_METHOD(ReplayFixture,
                 "a job that is about to be accepted is not rejected")
{
  for (int job = 0; job < 20; ++job)
    CHECK_FALSE(Offer());
  // The same call arrives again before the commit, behind many others.
  while (!Offer())
    continue;
  for (const jobs::JobId job : jobs) {
    Send(QueueCall{
      .verb = QueueVerb::Submit,
      .hostName = "h",
      .path = "/p/" + ToString(job),
      .key = "key",
      .job = jobs::JobDescription{
        .payload = "x",
        .steps = { { .count = 8,
                     .request = { MilliCores(500), Mebibytes(256), {} },
                     .estimate = Duration(1000) } } } });
    CHECK(LastReply() == nullptr);
  }
}
