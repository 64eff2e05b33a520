#include "PoolLoad.h"

#include "greengage/dispatch/FairQueue.h"

#include <benchmark/benchmark.h>

using namespace greengage;
using namespace greengage::dispatch;

static constexpr std::uint64_t kSeed = 20261204;

/// The arguments are the mean demand in percent of what the pool serves, and
/// whether the gate refuses.
template<typename Queue>
static void
PoolInTurns(benchmark::State& aState)
{
  PoolLoadResult result;
  const double demand = static_cast<double>(aState.range(0)) / 100;
  for (auto _ : aState) {
    Queue queue;
    result =
      PoolLoad(
        { .seed = kSeed, .demand = demand, .hasGate = aState.range(1) > 0 },
        queue)
        .Run();
  }
  aState.counters["ontime_urgent"] = result.OnTimePart(PriceClass::Urgent);
  aState.counters["ontime_standard"] = result.OnTimePart(PriceClass::Standard);
  aState.counters["ontime_patient"] = result.OnTimePart(PriceClass::Patient);
  aState.counters["urgent_in_1.1s"] = result.urgentPrompt;
  aState.counters["share_distance"] = result.shareDistance;
  aState.counters["goodput"] = result.goodput;
  aState.counters["gated"] = result.gated;
  aState.counters["falsely_gated"] = result.falselyGated;
}
BENCHMARK(PoolInTurns<FifoQueue>)
  ->ArgsProduct({ { 100, 500 }, { 0 } })
  ->Unit(benchmark::kMillisecond);
BENCHMARK(PoolInTurns<FairQueue>)
  ->ArgsProduct({ { 100, 500 }, { 0, 1 } })
  ->Unit(benchmark::kMillisecond);

/// One request in and one out, with so many teams, of which so many percent
/// are at their limits.
template<typename Queue>
static void
AddAndTake(benchmark::State& aState)
{
  const auto teams = static_cast<std::uint64_t>(aState.range(0));
  const std::uint64_t full =
    teams * static_cast<std::uint64_t>(aState.range(1)) / 100;
  const PoolId pool("lines");
  std::vector<TeamId> ids;
  for (std::uint64_t team = 0; team < teams; ++team)
    ids.emplace_back("g" + std::to_string(team % 8) + "/t" +
                     std::to_string(team));
  std::set<TeamId> atLimit(ids.begin(),
                           ids.begin() + static_cast<std::ptrdiff_t>(full));
  const auto mayRun = [&](const TeamId& aTeam) {
    return !atLimit.contains(aTeam);
  };
  Queue queue;
  std::uint64_t work = 0;
  Time now(0);
  const auto add = [&](const TeamId& aTeam) {
    queue.Add({ .work = WorkId(++work),
                .team = aTeam,
                .pool = pool,
                .priceClass = PriceClass::Standard,
                .deadline = now + Duration::Seconds(100000000) },
              now);
  };
  for (int each = 0; each < 10; ++each)
    for (const TeamId& team : ids)
      add(team);
  for (auto _ : aState) {
    now = now + Duration(1);
    const auto entry = queue.TakeNext(pool, mayRun, now);
    add(entry->team);
  }
}
BENCHMARK(AddAndTake<FifoQueue>)->ArgsProduct({ { 6, 330 }, { 0, 90 } });
BENCHMARK(AddAndTake<FairQueue>)->ArgsProduct({ { 6, 330 }, { 0, 90 } });
