#include "HotspotWorkload.h"

#include <benchmark/benchmark.h>

using namespace greengage;
using namespace greengage::dispatch;

static constexpr std::uint64_t kSeed = 20261204;

static void
SetCounters(benchmark::State& aState, const HotspotResult& aResult)
{
  aState.counters["used_part"] = aResult.utilization;
  aState.counters["overshoot"] = static_cast<double>(aResult.overshoot);
  aState.counters["reports_per_host_s"] = aResult.reportsPerHostSecond;
  aState.counters["seed"] = kSeed;
}

static void
DemandInTurnsStaticSplit(benchmark::State& aState)
{
  HotspotResult result;
  for (auto _ : aState)
    result = HotspotWorkload(kSeed).RunSplit();
  SetCounters(aState, result);
}
BENCHMARK(DemandInTurnsStaticSplit)->Unit(benchmark::kMillisecond);

static void
DemandInTurnsGrants(benchmark::State& aState)
{
  HotspotResult result;
  for (auto _ : aState)
    result = HotspotWorkload(kSeed).RunGrants();
  SetCounters(aState, result);
}
BENCHMARK(DemandInTurnsGrants)->Unit(benchmark::kMillisecond);

/// The periodic reports of one host with the given number of teams, all idle.
static void
GrantTick(benchmark::State& aState)
{
  std::vector<EntryHostId> members;
  members.reserve(7);
  for (int host = 0; host < 7; ++host)
    members.emplace_back("e" + std::to_string(host));
  GrantLedger ledger(
    { .self = members[0], .members = members, .incarnation = Incarnation(1) });
  state::FleetView view;
  view.version = Version(1);
  for (std::int64_t team = 0; team < aState.range(0); ++team)
    view.teams[TeamId("group/team" + std::to_string(team))] = {
      .share = 1, .limit = Slots(64), .maxQueued = 9
    };
  ledger.Update(view);
  Time now(0);
  for (auto _ : aState) {
    now = now + Duration(25);
    benchmark::DoNotOptimize(ledger.TakeDueReports(now));
  }
}
BENCHMARK(GrantTick)->Arg(6)->Arg(330)->Unit(benchmark::kMicrosecond);
