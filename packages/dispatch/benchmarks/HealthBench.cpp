#include "greengage/dispatch/UpstreamHealth.h"
#include "greengage/dispatch/UpstreamTable.h"

#include <benchmark/benchmark.h>

#include <map>
#include <random>
#include <string>

using namespace greengage;
using namespace greengage::dispatch;

/// One minute of work on 50 upstreams, three of which fail every request after
/// 2 ms. Argument 0 balances by free slots only; argument 1 also tracks
/// the health of upstreams.
static void
BadWorkers(benchmark::State& aState)
{
  constexpr int kUpstreams = 50;
  constexpr int kFailing = 3;
  constexpr std::uint64_t kSeed = 20261204;
  const PoolId pool("lines");
  double sent = 0;
  double failed = 0;
  for (auto _ : aState) {
    std::mt19937_64 random(kSeed);
    UpstreamTable table;
    UpstreamHealth health;
    Time now(0);
    std::multimap<Time, RunEnd> pendingEnds;
    const auto applyHealth = [&](const UpstreamId& aId) {
      table.SetHealth(aId, health.StateOf(aId), health.SlownessOf(aId));
    };
    for (int index = 0; index < kUpstreams; ++index) {
      UpstreamAnnouncement announcement;
      announcement.id = UpstreamId("w" + std::to_string(index));
      announcement.pool = pool;
      announcement.slots = Slots(8);
      announcement.lease = Duration::Seconds(1000);
      table.Announce(announcement, now);
    }
    sent = 0;
    failed = 0;
    while (now < Time(60000)) {
      now = now + Duration(1);
      for (const UpstreamId& id : health.StartDueProbes(now))
        applyHealth(id);
      while (!pendingEnds.empty() && pendingEnds.begin()->first <= now) {
        const RunEnd end = pendingEnds.begin()->second;
        pendingEnds.erase(pendingEnds.begin());
        table.ReleaseSlot(end.upstream);
        if (aState.range(0) > 0 && health.RecordEnd(end, now))
          applyHealth(end.upstream);
      }
      const auto upstream = table.TakeSlot(pool, now);
      if (!upstream)
        continue;
      const bool isFailing =
        upstream->Value() < "w" + std::to_string(kFailing) &&
        upstream->Value().size() == 2;
      const Duration ran(isFailing ? 2
                                   : 100 + static_cast<int>(random() % 200));
      ++sent;
      failed += isFailing ? 1 : 0;
      pendingEnds.emplace(now + ran,
                          RunEnd{ .upstream = *upstream,
                                  .team = TeamId("a"),
                                  .kind = "weigh",
                                  .hasSucceeded = !isFailing,
                                  .runTime = ran,
                                  .expectedRunTime = Duration(200) });
    }
  }
  aState.counters["sent"] = sent;
  aState.counters["failed"] = failed;
}
BENCHMARK(BadWorkers)->Arg(0)->Arg(1)->Unit(benchmark::kMillisecond);
