#include "greengage/dispatch/UpstreamHealth.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <string>

using namespace greengage;
using namespace greengage::dispatch;

namespace {

const PoolId kPool("lines");

/// Ten upstreams of a pool under a steady load. The first upstream may fail all
/// requests, and one kind of work may fail on all upstreams.
class UpstreamsFixture
{
public:
  UpstreamsFixture()
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

  /// Starts a request on the upstream with the most free slots and schedules
  /// its end.
  void StartRequest(const std::string& aKind, bool aIsFailingWork)
  {
    const auto upstream = table.TakeSlot(kPool, now);
    REQUIRE(upstream);
    const bool isFailing = isFirstFailing && *upstream == IdOf(0);
    const Duration ran =
      isFailing ? Duration(1) : (*upstream == slow ? Duration(500) : kRun);
    pendingEnds.emplace(now + ran,
                        RunEnd{ .upstream = *upstream,
                                .team = TeamId("a"),
                                .kind = aKind,
                                .hasSucceeded = !isFailing && !aIsFailingWork,
                                .runTime = ran,
                                .expectedRunTime = kRun });
    ++runs[*upstream];
    failedByUpstream += isFailing ? 1 : 0;
  }
  void Advance(Duration aSpan)
  {
    now = now + aSpan;
    for (const UpstreamId& upstream : health.StartDueProbes(now))
      ApplyHealth(upstream);
    while (!pendingEnds.empty() && pendingEnds.begin()->first <= now) {
      const RunEnd end = pendingEnds.begin()->second;
      pendingEnds.erase(pendingEnds.begin());
      table.ReleaseSlot(end.upstream);
      if (isTrackingHealth && health.RecordEnd(end, now))
        ApplyHealth(end.upstream);
    }
  }
  void ApplyHealth(const UpstreamId& aUpstream)
  {
    table.SetHealth(
      aUpstream, health.StateOf(aUpstream), health.SlownessOf(aUpstream));
  }
  void RunRequests(int aRequests)
  {
    for (int each = 0; each < aRequests; ++each) {
      StartRequest("weigh", false);
      Advance(Duration(5));
    }
  }

  static constexpr Duration kRun = Duration(100);
  Time now{ 1000 };
  UpstreamTable table;
  UpstreamHealth health;
  std::multimap<Time, RunEnd> pendingEnds;
  std::map<UpstreamId, int> runs;
  UpstreamId slow;
  bool isFirstFailing = false;
  bool isTrackingHealth = true;
  int failedByUpstream = 0;
};

} // namespace

TEST_CASE_METHOD(UpstreamsFixture,
                 "an upstream that fails all requests is quarantined")
{
  isFirstFailing = true;
  RunRequests(4000);
  REQUIRE(health.StateOf(IdOf(0)) != UpstreamState::Normal);
  // Failures up to the threshold, then single probes at doubling intervals over
  // 20 s.
  REQUIRE(failedByUpstream <= 15);
  for (int index = 1; index < 10; ++index)
    REQUIRE(health.StateOf(IdOf(index)) == UpstreamState::Normal);
}

TEST_CASE_METHOD(
  UpstreamsFixture,
  "without health tracking a failing upstream exceeds an even share")
{
  isFirstFailing = true;
  isTrackingHealth = false;
  RunRequests(4000);
  REQUIRE(failedByUpstream > 400);
}

TEST_CASE_METHOD(UpstreamsFixture,
                 "work that fails everywhere quarantines no upstream")
{
  for (int each = 0; each < 2000; ++each) {
    StartRequest("weigh", false);
    StartRequest("poison", true);
    Advance(Duration(10));
  }
  for (int index = 0; index < 10; ++index)
    REQUIRE(health.StateOf(IdOf(index)) == UpstreamState::Normal);
}

TEST_CASE_METHOD(UpstreamsFixture,
                 "a recovered upstream is probed and returns to normal")
{
  isFirstFailing = true;
  RunRequests(1000);
  REQUIRE(health.StateOf(IdOf(0)) != UpstreamState::Normal);
  isFirstFailing = false;
  RunRequests(4000);
  REQUIRE(health.StateOf(IdOf(0)) == UpstreamState::Normal);
  runs.clear();
  RunRequests(1000);
  REQUIRE(runs[IdOf(0)] > 50);
}

TEST_CASE_METHOD(UpstreamsFixture,
                 "an upstream under probing gets one request at a time")
{
  table.SetHealth(IdOf(0), UpstreamState::Quarantined, 1);
  REQUIRE(table.FreeSlots(kPool) == Slots(72));
  table.SetHealth(IdOf(0), UpstreamState::Probing, 1);
  REQUIRE(table.FreeSlots(kPool) == Slots(73));
  for (int each = 0; each < 73; ++each)
    StartRequest("weigh", false);
  REQUIRE(runs[IdOf(0)] == 1);
}

TEST_CASE_METHOD(UpstreamsFixture,
                 "a slow upstream gets less than an even share")
{
  RunRequests(2000);
  slow = IdOf(3);
  RunRequests(1000);
  runs.clear();
  RunRequests(2000);
  // An even share is 200. Equal numbers of requests in progress would give it
  // 100.
  REQUIRE(runs[slow] < 50);
  // It gets work again when nearly all slots are needed.
  Advance(Duration::Seconds(1));
  runs.clear();
  for (int each = 0; each < 78; ++each)
    StartRequest("weigh", false);
  REQUIRE(runs[slow] >= 6);
}
