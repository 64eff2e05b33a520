#include "greengage/dispatch/UpstreamHealth.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <string>

using namespace greengage;
using namespace greengage::dispatch;

namespace {

const PoolId kPool("lines");

/// Ten upstreams of a pool under steady work. The first one may be bad, and one
/// kind of work may be bad.
class WorkersFixture
{
public:
  WorkersFixture()
  {
    for (int index = 0; index < 10; ++index) {
      UpstreamAnnouncement announcement;
      announcement.id = IdOf(index);
      announcement.pool = kPool;
      announcement.slots = Slots(8);
      announcement.lease = Duration::Seconds(100000);
      table.Announce(announcement, now);
    }
  }
  static UpstreamId IdOf(int aIndex)
  {
    return UpstreamId("w" + std::to_string(aIndex));
  }

  /// Starts a request wherever there is most room, and ends it after its time.
  void Run(const std::string& aKind, bool aIsBadWork)
  {
    const auto upstream = table.TakeSlot(kPool, now);
    REQUIRE(upstream);
    const bool isBad = isFirstBad && *upstream == IdOf(0);
    const Duration ran =
      isBad ? Duration(1) : (*upstream == slow ? Duration(500) : kRun);
    ends.emplace(now + ran,
                 RunEnd{ .upstream = *upstream,
                         .team = TeamId("a"),
                         .kind = aKind,
                         .hasSucceeded = !isBad && !aIsBadWork,
                         .ran = ran,
                         .expectedRun = kRun });
    ++runs[*upstream];
    failedByUpstream += isBad ? 1 : 0;
  }
  void Pass(Duration aSpan)
  {
    now = now + aSpan;
    for (const UpstreamId& upstream : health.TakeReleased(now))
      Apply(upstream);
    while (!ends.empty() && ends.begin()->first <= now) {
      const RunEnd end = ends.begin()->second;
      ends.erase(ends.begin());
      table.ReleaseSlot(end.upstream);
      if (isJudging && health.NoteEnd(end, now))
        Apply(end.upstream);
    }
  }
  void Apply(const UpstreamId& aUpstream)
  {
    table.SetHealth(
      aUpstream, health.StateOf(aUpstream), health.SlownessOf(aUpstream));
  }
  void Work(int aRequests)
  {
    for (int each = 0; each < aRequests; ++each) {
      Run("weigh", false);
      Pass(Duration(5));
    }
  }

  static constexpr Duration kRun = Duration(100);
  Time now{ 1000 };
  UpstreamTable table;
  UpstreamHealth health;
  std::multimap<Time, RunEnd> ends;
  std::map<UpstreamId, int> runs;
  UpstreamId slow;
  bool isFirstBad = false;
  bool isJudging = true;
  int failedByUpstream = 0;
};

} // namespace

TEST_CASE_METHOD(WorkersFixture, "an upstream that fails all is quarantined")
{
  isFirstBad = true;
  Work(4000);
  REQUIRE(health.StateOf(IdOf(0)) != UpstreamState::Normal);
  // The threshold, then single probes at doubling intervals over 20 s.
  REQUIRE(failedByUpstream <= 15);
  for (int index = 1; index < 10; ++index)
    REQUIRE(health.StateOf(IdOf(index)) == UpstreamState::Normal);
}

TEST_CASE_METHOD(WorkersFixture,
                 "without judgement it attracts most of the work")
{
  isFirstBad = true;
  isJudging = false;
  Work(4000);
  REQUIRE(failedByUpstream > 400);
}

TEST_CASE_METHOD(WorkersFixture, "work that fails everywhere blames nobody")
{
  for (int each = 0; each < 2000; ++each) {
    Run("weigh", false);
    Run("poison", true);
    Pass(Duration(10));
  }
  for (int index = 0; index < 10; ++index)
    REQUIRE(health.StateOf(IdOf(index)) == UpstreamState::Normal);
}

TEST_CASE_METHOD(WorkersFixture, "a mended upstream is probed and comes back")
{
  isFirstBad = true;
  Work(1000);
  REQUIRE(health.StateOf(IdOf(0)) != UpstreamState::Normal);
  isFirstBad = false;
  Work(4000);
  REQUIRE(health.StateOf(IdOf(0)) == UpstreamState::Normal);
  runs.clear();
  Work(1000);
  REQUIRE(runs[IdOf(0)] > 50);
}

TEST_CASE_METHOD(WorkersFixture, "a probed upstream gets one request at a time")
{
  table.SetHealth(IdOf(0), UpstreamState::Quarantined, 1);
  REQUIRE(table.FreeSlots(kPool) == Slots(72));
  table.SetHealth(IdOf(0), UpstreamState::Probing, 1);
  REQUIRE(table.FreeSlots(kPool) == Slots(73));
  for (int each = 0; each < 73; ++each)
    Run("weigh", false);
  REQUIRE(runs[IdOf(0)] == 1);
}

TEST_CASE_METHOD(WorkersFixture, "a slow upstream gets less than its share")
{
  Work(2000);
  slow = IdOf(3);
  Work(1000);
  runs.clear();
  Work(2000);
  // An even share is 200; it would be 100 if all had as many in progress.
  REQUIRE(runs[slow] < 50);
  // When nearly all slots are needed, it takes part again.
  Pass(Duration::Seconds(1));
  runs.clear();
  for (int each = 0; each < 78; ++each)
    Run("weigh", false);
  REQUIRE(runs[slow] >= 6);
}
