#include "../benchmarks/PoolSimulation.h"

#include "greengage/dispatch/FairQueue.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace greengage;
using namespace greengage::dispatch;

namespace {

const PoolId kPool("lines");
const auto kAnyTeam = [](const TeamId&) { return true; };

/// A queue that serves one request every 10 ms.
class QueueFixture
{
public:
  void Add(const std::string& aTeam,
           PriceClass aClass = PriceClass::Standard,
           Duration aUntilDeadline = Duration::Seconds(600),
           Duration aRunTime = Duration(100))
  {
    queue.Add({ .work = WorkId(++lastWork),
                .team = TeamId(aTeam),
                .pool = kPool,
                .priceClass = aClass,
                .deadline = now + aUntilDeadline,
                .expectedRunTime = aRunTime },
              now);
  }
  void AddMany(const std::string& aTeam,
               int aCount,
               PriceClass aClass = PriceClass::Standard)
  {
    for (int index = 0; index < aCount; ++index)
      Add(aTeam, aClass);
  }
  QueueEntry Take()
  {
    now = now + Duration(10);
    return queue.TakeNext(kPool, kAnyTeam, now).value();
  }
  /// Takes \p aCount requests and counts them by team.
  std::map<std::string, int> TakeMany(int aCount)
  {
    std::map<std::string, int> taken;
    for (int index = 0; index < aCount; ++index)
      ++taken[Take().team.Value()];
    return taken;
  }

  Time now{ 1000 };
  std::uint64_t lastWork = 0;
  FairQueue queue;
};

} // namespace

TEST_CASE_METHOD(QueueFixture,
                 "two teams with weights 3 and 1 are served in that ratio")
{
  queue.SetShare("a", 3);
  queue.SetShare("b", 1);
  AddMany("a", 100);
  AddMany("b", 100);
  const int ofA = TakeMany(80)["a"];
  REQUIRE(ofA >= 59);
  REQUIRE(ofA <= 61);
}

TEST_CASE_METHOD(
  QueueFixture,
  "shares apply between groups, then between the teams of a group")
{
  queue.SetShare("north/", 1);
  queue.SetShare("south/", 1);
  queue.SetShare("south/d", 3);
  for (const char* team : { "north/a", "north/b", "south/c", "south/d" })
    AddMany(team, 200);
  auto taken = TakeMany(160);
  REQUIRE(std::abs(taken["north/a"] + taken["north/b"] - 80) <= 2);
  REQUIRE(std::abs(taken["north/a"] - 40) <= 2);
  REQUIRE(std::abs(taken["south/d"] - 60) <= 2);
}

TEST_CASE_METHOD(
  QueueFixture,
  "a team whose runs take three times as long starts a third as many")
{
  for (int index = 0; index < 200; ++index) {
    Add("a", PriceClass::Standard, Duration::Seconds(600), Duration(300));
    Add("b", PriceClass::Standard, Duration::Seconds(600), Duration(100));
  }
  const int ofA = TakeMany(80)["a"];
  REQUIRE(std::abs(ofA - 20) <= 1);
}

TEST_CASE_METHOD(
  QueueFixture,
  "the excess of a run over its expected time is charged when it ends")
{
  AddMany("a", 300);
  AddMany("b", 300);
  int ofA = 0;
  for (int index = 0; index < 200; ++index) {
    const QueueEntry entry = Take();
    if (entry.team != TeamId("a"))
      continue;
    ++ofA;
    queue.AdjustCharge(entry, Duration(300), now);
  }
  REQUIRE(std::abs(ofA - 50) <= 2);
}

TEST_CASE_METHOD(QueueFixture,
                 "an urgent request is served before other teams' patient work")
{
  AddMany("a", 200, PriceClass::Patient);
  TakeMany(100);
  Add("b", PriceClass::Urgent);
  REQUIRE(Take().team == TeamId("b"));
}

TEST_CASE_METHOD(
  QueueFixture,
  "a team with only urgent work can't starve a team with standard work")
{
  AddMany("a", 3000, PriceClass::Urgent);
  AddMany("b", 3000, PriceClass::Standard);
  TakeMany(1500);
  // Urgent work is charged at twice the rate of standard work, so once its lead
  // is used up the team gets half as much service as the other one.
  REQUIRE(TakeMany(900)["b"] >= 580);
}

TEST_CASE_METHOD(QueueFixture,
                 "patient work waits for standard work but meets its deadline")
{
  AddMany("a", 2000, PriceClass::Standard);
  TakeMany(100);
  Add("b", PriceClass::Patient, Duration::Seconds(10));
  const std::uint64_t patient = lastWork;
  int before = 0;
  QueueEntry entry = Take();
  for (; entry.work != WorkId(patient); entry = Take())
    ++before;
  REQUIRE(before >= 100);
  REQUIRE(now <= entry.deadline - Duration::Seconds(1));
}

TEST_CASE_METHOD(
  QueueFixture,
  "a team's requests are served by class, then by earliest deadline")
{
  Add("a", PriceClass::Standard, Duration::Seconds(50));
  Add("a", PriceClass::Standard, Duration::Seconds(40));
  Add("a", PriceClass::Patient, Duration::Seconds(30));
  REQUIRE(Take().work == WorkId(2));
  REQUIRE(Take().work == WorkId(1));
  REQUIRE(Take().work == WorkId(3));
}

TEST_CASE_METHOD(QueueFixture,
                 "an underserved team catches up, an idle one doesn't")
{
  AddMany("b", 2000);
  TakeMany(200);
  // The patient request of team "a" waits and is not served, so the team falls
  // behind its share.
  Add("a", PriceClass::Patient, Duration::Seconds(3), Duration(0));
  TakeMany(50);
  REQUIRE(queue.Remove(WorkId(lastWork), now));
  AddMany("a", 200);
  const int after = TakeMany(60)["a"];
  REQUIRE(after > 40);
  // A team that was merely idle has no credit.
  AddMany("c", 200);
  auto taken = TakeMany(60);
  REQUIRE(taken["c"] <= 22);
}

TEST_CASE_METHOD(
  QueueFixture,
  "a team at its limit is checked once and blocked until UnblockTeam")
{
  AddMany("a", 10);
  AddMany("b", 10);
  int asked = 0;
  const auto onlyB = [&](const TeamId& aTeam) {
    asked += aTeam == TeamId("a") ? 1 : 0;
    return aTeam == TeamId("b");
  };
  for (int index = 0; index < 10; ++index)
    REQUIRE(queue.TakeNext(kPool, onlyB, now)->team == TeamId("b"));
  REQUIRE_FALSE(queue.TakeNext(kPool, onlyB, now));
  REQUIRE(asked == 1);
  REQUIRE(queue.BlockedTeams() == std::vector<TeamId>{ TeamId("a") });
  queue.UnblockTeam(TeamId("a"), now);
  REQUIRE(Take().team == TeamId("a"));
}

template<typename Queue>
static PoolSimulationResult
RunPool(std::uint64_t aSeed, double aDemand)
{
  Queue queue;
  return PoolSimulation({ .seed = aSeed,
                          .demand = aDemand,
                          .hasGate = true,
                          .length = Duration::Seconds(60) },
                        queue)
    .Run();
}

TEST_CASE("an overloaded pool is shared more fairly than by the FIFO queue")
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    const auto fifo = RunPool<FifoQueue>(seed, 5);
    const auto fair = RunPool<FairQueue>(seed, 5);
    REQUIRE(fair.shareDistance <= 0.5 * fifo.shareDistance);
  }
}

TEST_CASE("urgent work is on time more often than with the FIFO queue")
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    const auto fifo = RunPool<FifoQueue>(seed, 1);
    const auto fair = RunPool<FairQueue>(seed, 1);
    REQUIRE(fair.OnTimeFraction(PriceClass::Urgent) >=
            1.25 * fifo.OnTimeFraction(PriceClass::Urgent));
  }
}

TEST_CASE(
  "goodput at five times full load is at least 95 % of that at full load")
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    const auto normal = RunPool<FairQueue>(seed, 1);
    const auto overload = RunPool<FairQueue>(seed, 5);
    REQUIRE(overload.goodput >= 0.95 * normal.goodput);
  }
}
