#include "LedgerSimulation.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace greengage;
using namespace greengage::once;
using namespace greengage::once::test;

static const std::vector<std::string> kThreeZones = { "z1", "z1", "z1", "z2",
                                                      "z2", "z3", "z3" };
static const std::vector<std::string> kFourZones = { "z1", "z1", "z2", "z2",
                                                     "z3", "z3", "z4" };

/// The seed of the first schedule. GREENGAGE_SEED overrides the default.
static std::uint64_t
BaseSeed()
{
  const char* text = std::getenv("GREENGAGE_SEED");
  return text == nullptr ? 20261204 : std::strtoull(text, nullptr, 10);
}

/// Partitions, drops, duplicates, restarts and lost answers in combination.
static FaultPlan
AllFaults()
{
  return { .dropRate = 0.05,
           .duplicateRate = 0.05,
           .maxDelay = Duration(40),
           .hasPartitions = true,
           .restarts = 3,
           .lostAnswerRate = 0.1,
           .modifyBatch = {} };
}

/// Runs one random schedule and returns the first violated guarantee.
static std::string
RunSchedule(std::uint64_t aSeed, const FaultPlan& aFaults)
{
  LedgerSimulation simulation(
    aSeed, aSeed % 2 == 0 ? kThreeZones : kFourZones, aFaults);
  simulation.ScheduleRequests(12, 5, Duration::Seconds(3));
  simulation.RunFor(Duration::Seconds(9));
  std::string violation = simulation.FindViolation();
  bool hasUnansweredCall = false;
  for (const auto idempotence :
       { Idempotence::NonIdempotent, Idempotence::Idempotent })
    hasUnansweredCall =
      hasUnansweredCall || simulation.Outcomes(idempotence).contains("none");
  if (!violation.empty() || !hasUnansweredCall)
    return violation;
  return "a call had no outcome after its deadline";
}

TEST_CASE("under faults no non-idempotent request runs twice and no outcome "
          "contradicts the runs")
{
  constexpr std::uint64_t kSchedules = 2000;
  for (std::uint64_t index = 0; index < kSchedules; ++index) {
    const std::uint64_t seed = BaseSeed() + index;
    CAPTURE(seed);
    const std::string violation = RunSchedule(seed, AllFaults());
    CAPTURE(violation);
    REQUIRE(violation.empty());
  }
}

TEST_CASE("without faults every call is answered or not run")
{
  for (std::uint64_t index = 0; index < 200; ++index) {
    const std::uint64_t seed = BaseSeed() + index;
    CAPTURE(seed);
    LedgerSimulation simulation(
      seed, index % 2 == 0 ? kThreeZones : kFourZones, {});
    REQUIRE(simulation.AllServing());
    simulation.ScheduleRequests(20, 5, Duration::Seconds(2));
    simulation.RunFor(Duration::Seconds(8));
    REQUIRE(simulation.FindViolation().empty());
    const auto outcomes = simulation.Outcomes(Idempotence::NonIdempotent);
    REQUIRE_FALSE(outcomes.contains("none"));
    REQUIRE_FALSE(outcomes.contains("unknown"));
    REQUIRE_FALSE(
      simulation.Outcomes(Idempotence::Idempotent).contains("none"));
  }
}

TEST_CASE("random schedules detect each violation of the protocol")
{
  struct Defect
  {
    const char* name;
    bool skipsRecovery;
    std::function<void(LedgerBatch&)> modifyBatch;
  };
  const auto grantInsteadOf = [](Verdict aVerdict) {
    return [aVerdict](LedgerBatch& aBatch) {
      for (LedgerMessage& item : aBatch.items)
        if (auto* reply = std::get_if<ClaimReply>(&item))
          if (reply->verdict == aVerdict) {
            reply->verdict = Verdict::Granted;
            reply->conflictingRecord.reset();
          }
    };
  };
  const std::vector<Defect> defects = {
    { "restarted replica grants without copying", true, {} },
    { "conflicting claim counts as a grant",
      false,
      grantInsteadOf(Verdict::Conflict) },
    { "recovering replica grants claims",
      false,
      grantInsteadOf(Verdict::Recovering) },
  };
  for (const Defect& defect : defects) {
    FaultPlan faults = AllFaults();
    faults.skipsRecovery = defect.skipsRecovery;
    faults.modifyBatch = defect.modifyBatch;
    int detected = 0;
    std::uint64_t index = 0;
    for (; index < 2000 && detected == 0; ++index)
      detected += RunSchedule(BaseSeed() + index, faults).empty() ? 0 : 1;
    INFO(defect.name << " after " << index << " schedules");
    REQUIRE(detected == 1);
  }
}

namespace {

/// A record store with shorthands for its inputs.
class StoreFixture
{
public:
  explicit StoreFixture(RecordStoreOptions aOptions)
    : store(aOptions)
  {
  }

  static RequestKey MakeKey(const std::string& aTeam, const std::string& aId)
  {
    return { .team = TeamId(aTeam), .id = RequestId(aId) };
  }
  static ClaimId MakeClaimId(std::uint64_t aNumber)
  {
    return { .host = EntryHostId("e"),
             .incarnation = Incarnation(1),
             .number = ClaimNumber(aNumber) };
  }
  Verdict TryClaim(const std::string& aTeam,
                   const std::string& aId,
                   std::uint64_t aNumber = 1)
  {
    return store.TryClaim({ .key = MakeKey(aTeam, aId),
                            .claim = MakeClaimId(aNumber),
                            .fingerprint = 7,
                            .remaining = Duration(100) },
                          now);
  }
  static ReplicaRecord MakeRecord(const std::string& aTeam,
                                  const std::string& aId,
                                  std::uint64_t aNumber,
                                  const std::string& aAnswer = {})
  {
    ReplicaRecord record{ .key = MakeKey(aTeam, aId),
                          .claim = MakeClaimId(aNumber),
                          .fingerprint = 7,
                          .hasEnded = !aAnswer.empty(),
                          .outcome = std::nullopt,
                          .timeToLive = Duration::Seconds(60) };
    if (record.hasEnded)
      record.outcome = Answered{ .upstream = UpstreamId("w"),
                                 .succeeded = true,
                                 .payload = aAnswer };
    return record;
  }

  RecordStore store;
  Time now = Time(1000);
};

} // namespace

TEST_CASE("a team at its limit leaves capacity for other teams")
{
  StoreFixture fixture({ .retention = Duration::Seconds(10),
                         .maxRecords = 100,
                         .maxAnswerBytes = 1000 });
  int granted = 0;
  while (fixture.TryClaim("heavy", std::to_string(granted)) == Verdict::Granted)
    ++granted;
  REQUIRE(granted == 50);
  for (int id = 0; id < 20; ++id)
    REQUIRE(fixture.TryClaim("light", std::to_string(id)) == Verdict::Granted);

  const std::string answer(100, 'x');
  fixture.store.Complete(StoreFixture::MakeRecord("light", "0", 1, answer),
                         fixture.now);
  for (int id = 0; id < 30; ++id)
    fixture.store.Complete(
      StoreFixture::MakeRecord("heavy", std::to_string(id), 1, answer),
      fixture.now);
  REQUIRE(fixture.store.AnswerBytes() <= 1000);
  const auto light =
    fixture.store.Find(StoreFixture::MakeKey("light", "0"), fixture.now);
  REQUIRE(light->outcome);
  const auto dropped =
    fixture.store.Find(StoreFixture::MakeKey("heavy", "0"), fixture.now);
  REQUIRE((dropped->hasEnded && !dropped->outcome));
}

TEST_CASE("a record expires after its deadline plus the retention")
{
  StoreFixture fixture({ .retention = Duration::Seconds(10) });
  REQUIRE(fixture.TryClaim("a", "r") == Verdict::Granted);
  REQUIRE(fixture.TryClaim("a", "r", 2) == Verdict::Conflict);
  fixture.store.RemoveExpired(fixture.now + Duration(10099));
  REQUIRE(fixture.store.size() == 1);
  fixture.store.RemoveExpired(fixture.now + Duration(10100));
  REQUIRE(fixture.store.size() == 0);
}

TEST_CASE("an id can be claimed only after all copied claims are released")
{
  StoreFixture fixture({});
  const RequestKey key = StoreFixture::MakeKey("a", "r");
  fixture.store.Merge(StoreFixture::MakeRecord("a", "r", 1), fixture.now);
  fixture.store.Merge(StoreFixture::MakeRecord("a", "r", 2), fixture.now);
  fixture.store.RemoveClaim(
    { .key = key, .claim = StoreFixture::MakeClaimId(1) });
  REQUIRE(fixture.TryClaim("a", "r", 3) == Verdict::Conflict);
  fixture.store.RemoveClaim(
    { .key = key, .claim = StoreFixture::MakeClaimId(2) });
  REQUIRE(fixture.TryClaim("a", "r", 3) == Verdict::Granted);
}

TEST_CASE("a copied outcome replaces a claim but not the reverse")
{
  StoreFixture fixture({});
  const RequestKey key = StoreFixture::MakeKey("a", "r");
  fixture.store.Merge(StoreFixture::MakeRecord("a", "r", 1), fixture.now);
  fixture.store.Merge(StoreFixture::MakeRecord("a", "r", 1, "x"), fixture.now);
  fixture.store.Merge(StoreFixture::MakeRecord("a", "r", 1), fixture.now);
  fixture.store.RemoveClaim(
    { .key = key, .claim = StoreFixture::MakeClaimId(1) });
  REQUIRE(fixture.store.Find(key, fixture.now)->hasEnded);
}

TEST_CASE("a grant is void if a replica reports a restart of its host")
{
  const bool isRestartReported = GENERATE(false, true);
  Outbox outbox(EntryHostId("c"), Incarnation(1), 0);
  const ReplicaSets sets({ { EntryHostId("a"), AvailabilityZoneId("z") },
                           { EntryHostId("b"), AvailabilityZoneId("z") },
                           { EntryHostId("c"), AvailabilityZoneId("z") } });
  ClaimCoordinator coordinator(
    { .self = EntryHostId("c"), .incarnation = Incarnation(1) }, sets, outbox);
  coordinator.SetReachable(EntryHostId("a"), true);
  coordinator.SetReachable(EntryHostId("b"), true);
  Request request;
  request.team = TeamId("t");
  request.id = RequestId("r");
  request.deadline = Time(5000);
  Actions actions;
  coordinator.Submit(CallId(1), std::move(request), Time(0), actions);
  ClaimReply grant{ .key = { TeamId("t"), RequestId("r") },
                    .number = ClaimNumber(1),
                    .verdict = Verdict::Granted,
                    .conflictingRecord = std::nullopt,
                    .replicaIncarnations = {} };
  coordinator.On(EntryHostId("a"), Incarnation(1), grant, Time(1), actions);
  REQUIRE(actions.empty());
  grant.replicaIncarnations = { { EntryHostId("a"),
                                  Incarnation(isRestartReported ? 2 : 1) } };
  coordinator.On(EntryHostId("b"), Incarnation(1), grant, Time(1), actions);
  REQUIRE(actions.empty() == isRestartReported);
}

TEST_CASE("a partitioned zone can claim only ids with its prefix")
{
  LedgerSimulation simulation(BaseSeed(), kThreeZones, {});
  simulation.Partition({ 3, 4 });
  simulation.Send(3, "z2:own", Idempotence::NonIdempotent, false);
  simulation.Send(3, "z1:first", Idempotence::NonIdempotent, true);
  simulation.Send(3, "z1:again", Idempotence::NonIdempotent, false);
  simulation.Send(3, "z1:safe", Idempotence::Idempotent, false);
  simulation.RunFor(Duration::Seconds(5));
  const auto& calls = simulation.Calls();
  CHECK_FALSE(std::holds_alternative<Unknown>(*calls[0].outcome));
  CHECK(std::holds_alternative<NotRun>(*calls[1].outcome));
  CHECK(std::holds_alternative<Unknown>(*calls[2].outcome));
  CHECK(simulation.Runs().count("z1:first") +
          simulation.Runs().count("z1:again") ==
        0);
  REQUIRE(simulation.FindViolation().empty());
}

TEST_CASE("all members choose the same replicas, home zone first")
{
  std::vector<Member> members;
  members.reserve(kFourZones.size());
  for (const std::string& zone : kFourZones)
    members.push_back(
      { .id = EntryHostId("entry-" + std::to_string(members.size())),
        .availabilityZone = AvailabilityZoneId(zone) });
  const ReplicaSets sets(members);
  const ReplicaSets reversed({ members.rbegin(), members.rend() });
  REQUIRE(sets.MembershipDigest() == reversed.MembershipDigest());
  for (int index = 0; index < 100; ++index) {
    const RequestKey key{ .team = TeamId("t"),
                          .id = RequestId("z2:" + std::to_string(index)) };
    const auto& hosts = sets.HostsOf(sets.SetOf(key));
    REQUIRE(hosts == reversed.HostsOf(reversed.SetOf(key)));
    REQUIRE(hosts.size() == kReplicationFactor);
    for (std::size_t host = 0; host < 2; ++host)
      REQUIRE((hosts[host] == EntryHostId("entry-2") ||
               hosts[host] == EntryHostId("entry-3")));
  }
  members.pop_back();
  REQUIRE(ReplicaSets(members).MembershipDigest() != sets.MembershipDigest());
}
