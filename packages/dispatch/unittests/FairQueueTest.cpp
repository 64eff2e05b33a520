#include "../benchmarks/PoolLoad.h"

#include "greengage/dispatch/FairQueue.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace greengage;
using namespace greengage::dispatch;

namespace {

const PoolId kPool("lines");
const auto kAnyTeam = [](const TeamId&) { return true; };

/// A queue whose teams always have work, served at a steady pace.
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
    for (int each = 0; each < aCount; ++each)
      Add(aTeam, aClass);
  }
  QueueEntry Take()
  {
    now = now + Duration(10);
    return queue.TakeNext(kPool, kAnyTeam, now).value();
  }
  /// How many requests of each team come first.
  std::map<std::string, int> TakeMany(int aCount)
  {
    std::map<std::string, int> taken;
    for (int each = 0; each < aCount; ++each)
      ++taken[Take().team.Value()];
    return taken;
  }

  Time now{ 1000 };
  std::uint64_t lastWork = 0;
  FairQueue queue;
};

} // namespace

TEST_CASE_METHOD(QueueFixture, "two teams share a pool by their weights")
{
  queue.SetShare("a", 3);
  queue.SetShare("b", 1);
  AddMany("a", 100);
  AddMany("b", 100);
  const int ofA = TakeMany(80)["a"];
  REQUIRE(ofA >= 59);
  REQUIRE(ofA <= 61);
}

TEST_CASE_METHOD(QueueFixture, "groups share first, then the teams inside")
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

TEST_CASE_METHOD(QueueFixture, "long runs are charged for, short ones less")
{
  for (int each = 0; each < 200; ++each) {
    Add("a", PriceClass::Standard, Duration::Seconds(600), Duration(300));
    Add("b", PriceClass::Standard, Duration::Seconds(600), Duration(100));
  }
  const int ofA = TakeMany(80)["a"];
  REQUIRE(std::abs(ofA - 20) <= 1);
}

TEST_CASE_METHOD(QueueFixture, "a run longer than expected is charged late")
{
  AddMany("a", 300);
  AddMany("b", 300);
  int ofA = 0;
  for (int each = 0; each < 200; ++each) {
    const QueueEntry entry = Take();
    if (entry.team != TeamId("a"))
      continue;
    ++ofA;
    queue.AdjustCharge(entry, Duration(300), now);
  }
  REQUIRE(std::abs(ofA - 50) <= 2);
}

TEST_CASE_METHOD(QueueFixture, "urgent work of one team passes other teams")
{
  AddMany("a", 200, PriceClass::Patient);
  TakeMany(100);
  Add("b", PriceClass::Urgent);
  REQUIRE(Take().team == TeamId("b"));
}

TEST_CASE_METHOD(QueueFixture, "a flood of urgent work can't starve a team")
{
  AddMany("a", 3000, PriceClass::Urgent);
  AddMany("b", 3000, PriceClass::Standard);
  TakeMany(1500);
  // Urgent work costs twice, so beyond its lead the team gets half as much.
  REQUIRE(TakeMany(900)["b"] >= 580);
}

TEST_CASE_METHOD(QueueFixture, "patient work yields, and yet is in time")
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

TEST_CASE_METHOD(QueueFixture, "the earliest deadline of a team goes first")
{
  Add("a", PriceClass::Standard, Duration::Seconds(50));
  Add("a", PriceClass::Standard, Duration::Seconds(40));
  Add("a", PriceClass::Patient, Duration::Seconds(30));
  REQUIRE(Take().work == WorkId(2));
  REQUIRE(Take().work == WorkId(1));
  REQUIRE(Take().work == WorkId(3));
}

TEST_CASE_METHOD(QueueFixture, "a team makes up for what it lacked lately")
{
  AddMany("b", 2000);
  TakeMany(200);
  // Its requests were waiting and passed over until their deadline.
  Add("a", PriceClass::Patient, Duration::Seconds(3), Duration(0));
  TakeMany(50);
  REQUIRE(queue.Remove(WorkId(lastWork), now));
  AddMany("a", 200);
  const int after = TakeMany(60)["a"];
  REQUIRE(after > 40);
  // A team that only was idle has no such claim.
  AddMany("c", 200);
  auto taken = TakeMany(60);
  REQUIRE(taken["c"] <= 22);
}

TEST_CASE_METHOD(QueueFixture, "a team without room is asked once")
{
  AddMany("a", 10);
  AddMany("b", 10);
  int asked = 0;
  const auto onlyB = [&](const TeamId& aTeam) {
    asked += aTeam == TeamId("a") ? 1 : 0;
    return aTeam == TeamId("b");
  };
  for (int each = 0; each < 10; ++each)
    REQUIRE(queue.TakeNext(kPool, onlyB, now)->team == TeamId("b"));
  REQUIRE_FALSE(queue.TakeNext(kPool, onlyB, now));
  REQUIRE(asked == 1);
  REQUIRE(queue.BlockedTeams() == std::vector<TeamId>{ TeamId("a") });
  queue.UnblockTeam(TeamId("a"), now);
  REQUIRE(Take().team == TeamId("a"));
}

template<typename Queue>
static PoolLoadResult
RunPool(std::uint64_t aSeed, double aDemand)
{
  Queue queue;
  return PoolLoad({ .seed = aSeed,
                    .demand = aDemand,
                    .hasGate = true,
                    .length = Duration::Seconds(60) },
                  queue)
    .Run();
}

TEST_CASE("a full pool is shared better than first in, first out")
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    const auto fifo = RunPool<FifoQueue>(seed, 5);
    const auto fair = RunPool<FairQueue>(seed, 5);
    REQUIRE(fair.shareDistance <= 0.5 * fifo.shareDistance);
  }
}

TEST_CASE("urgent work is in time more often than first in, first out")
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    const auto fifo = RunPool<FifoQueue>(seed, 1);
    const auto fair = RunPool<FairQueue>(seed, 1);
    REQUIRE(fair.OnTimePart(PriceClass::Urgent) >=
            1.25 * fifo.OnTimePart(PriceClass::Urgent));
  }
}

TEST_CASE("goodput at five times the demand stays within 5 %")
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    const auto normal = RunPool<FairQueue>(seed, 1);
    const auto overload = RunPool<FairQueue>(seed, 5);
    REQUIRE(overload.goodput >= 0.95 * normal.goodput);
  }
}
