#include "PoolSimulation.h"

#include "greengage/dispatch/FairQueue.h"

#include <benchmark/benchmark.h>

using namespace greengage;
using namespace greengage::dispatch;

static constexpr std::uint64_t kSeed = 20261204;

/// One pool under demand that varies by team. The arguments are the mean demand
/// in percent of the pool's capacity, and whether the deadline gate refuses
/// requests.
template<typename Queue>
static void
PoolInTurns(benchmark::State& aState)
{
  PoolSimulationResult result;
  const double demand = static_cast<double>(aState.range(0)) / 100;
  for (auto _ : aState) {
    Queue queue;
    result =
      PoolSimulation(
        { .seed = kSeed, .demand = demand, .hasGate = aState.range(1) > 0 },
        queue)
        .Run();
  }
  aState.counters["ontime_urgent"] = result.OnTimeFraction(PriceClass::Urgent);
  aState.counters["ontime_standard"] =
    result.OnTimeFraction(PriceClass::Standard);
  aState.counters["ontime_patient"] =
    result.OnTimeFraction(PriceClass::Patient);
  aState.counters["urgent_in_1.1s"] = result.promptUrgentFraction;
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

/// Adds and takes one request. The arguments are the number of teams, and the
/// percentage of them that are at their limits.
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
  for (int request = 0; request < 10; ++request)
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
