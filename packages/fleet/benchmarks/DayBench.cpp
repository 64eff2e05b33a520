/// \file
/// A day with a wave, bursty demand and failures: the four measures of each
/// user under the candidate policies and under the baseline of a fixed buffer,
/// reactive moves and a sequential wave. Also the time that planning moves and
/// sizing the buffer need as the fleet grows.

#include "../unittests/Scenario.h"

#include <benchmark/benchmark.h>

#include <string>

using namespace greengage;
using namespace greengage::fleet;
using namespace greengage::fleet::test;

namespace {

constexpr int kSeeds = 10;

/// Accumulates the measures of several days.
class Totals
{
public:
  void Add(const DayOutcome& aDay)
  {
    ++days_;
    spares_ += static_cast<double>(aDay.spares);
    rollOut_ += static_cast<double>(aDay.rollOut.Millis()) / 3600000.0;
    moves_ += static_cast<double>(aDay.moves);
    unmet_ += aDay.unmetDemandRatio;
    broken_ += aDay.budgetViolations;
    unfinished_ += aDay.isWaveFinished ? 0 : 1;
  }
  void Report(benchmark::State& aState) const
  {
    aState.counters["spares"] = spares_ / days_;
    aState.counters["rollout_h"] = rollOut_ / days_;
    aState.counters["moves"] = moves_ / days_;
    aState.counters["unmet_pct"] = 100 * unmet_ / days_;
    aState.counters["broken"] = broken_;
    aState.counters["unfinished"] = unfinished_;
  }

private:
  double days_ = 0;
  double spares_ = 0;
  double rollOut_ = 0;
  double moves_ = 0;
  double unmet_ = 0;
  double broken_ = 0;
  double unfinished_ = 0;
};

template<typename Run>
void
RunDays(benchmark::State& aState, const Run& aRun)
{
  Totals totals;
  unsigned seed = 0;
  for (auto _ : aState) {
    const DayOutcome day = aRun(++seed);
    aState.SetIterationTime(static_cast<double>(day.rollOut.Millis()) / 1000.0);
    totals.Add(day);
  }
  totals.Report(aState);
}

/// Pool sizes follow the current demand.
void
ReactiveToNow(benchmark::State& aState, const FleetShape& aShape)
{
  const ReactiveMovePlanner moves;
  RunDays(aState,
          [&](unsigned aSeed) { return RunBaselineDay(aShape, aSeed, moves); });
}

/// Pool sizes follow the mean demand, as under the candidate policies.
void
ReactiveToMean(benchmark::State& aState, const FleetShape& aShape)
{
  RunDays(aState,
          [&](unsigned aSeed) { return RunReactiveDay(aShape, aSeed); });
}

void
WithoutMoves(benchmark::State& aState, const FleetShape& aShape)
{
  const NoMoves moves;
  RunDays(aState,
          [&](unsigned aSeed) { return RunBaselineDay(aShape, aSeed, moves); });
}

void
CandidatePolicies(benchmark::State& aState,
                  const FleetShape& aShape,
                  const FleetWeights& aWeights,
                  CoveredDomain aCovered)
{
  RunDays(aState, [&](unsigned aSeed) {
    return RunCandidateDay(aShape, aSeed, aWeights, aCovered);
  });
}

void
RegisterDayBenchmarks(const char* aUser,
                      const FleetShape& aShape,
                      const FleetWeights& aWeights)
{
  const auto add = [&](const std::string& aName, auto aRun) {
    benchmark::RegisterBenchmark(("Day/" + aName + "/" + aUser).c_str(), aRun)
      ->UseManualTime()
      ->Iterations(kSeeds);
  };
  add("ReactiveToNow",
      [=](benchmark::State& aState) { ReactiveToNow(aState, aShape); });
  add("ReactiveToMean",
      [=](benchmark::State& aState) { ReactiveToMean(aState, aShape); });
  add("WithoutMoves",
      [=](benchmark::State& aState) { WithoutMoves(aState, aShape); });
  add("Ours", [=](benchmark::State& aState) {
    CandidatePolicies(aState, aShape, aWeights, CoveredDomain::Rack);
  });
  add("OursZoneCovered", [=](benchmark::State& aState) {
    CandidatePolicies(aState, aShape, aWeights, CoveredDomain::Zone);
  });
}

const bool kAreBenchmarksRegistered = [] {
  RegisterDayBenchmarks("RenovaSul", RenovaSul(), kRenovaSulWeights);
  RegisterDayBenchmarks("Tinkerbots", Tinkerbots(), kTinkerbotsWeights);
  return true;
}();

/// A fleet of 18 zones with even demand.
struct PlannedFleet
{
  explicit PlannedFleet(std::int64_t aWorkers)
    : shape{ .zones = 18,
             .workers = static_cast<int>(aWorkers),
             .pools = aWorkers < 500 ? 5 : 26,
             .spares = static_cast<int>(aWorkers / 5) }
    , registry(BuildRegistry(shape))
  {
    const double slots = 0.75 * static_cast<double>(kSlotsPerHost.Count()) *
                         (shape.workers - shape.spares) / (shape.pools - 1);
    for (int pool = 0; pool + 1 < shape.pools; ++pool) {
      demand[PoolOf(pool)] = { .latest = slots,
                               .mean = slots,
                               .peakMean = slots };
    }
  }

  FleetShape shape;
  PoolRegistry registry;
  BudgetLedger ledger;
  DemandByPool demand;
};

void
PlanMoves(benchmark::State& aState)
{
  const PlannedFleet fleet(aState.range(0));
  const HysteresisMovePlanner planner({ .weights = kTinkerbotsWeights });
  for (auto _ : aState) {
    const BudgetSnapshot snapshot(fleet.registry, fleet.ledger, Time(0));
    benchmark::DoNotOptimize(
      planner.Plan({ .registry = fleet.registry,
                     .budgets = snapshot,
                     .demand = fleet.demand,
                     .sparePool = SparePool(fleet.shape),
                     .spareTarget = Hosts(fleet.shape.spares),
                     .slotsPerHost = kSlotsPerHost,
                     .now = Time(0) }));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(PlanMoves)->Arg(50)->Arg(500)->Arg(2200)->Complexity();

void
SizeBuffer(benchmark::State& aState)
{
  const PlannedFleet fleet(aState.range(0));
  const CostOptimizedBufferPolicy policy({}, kTinkerbotsWeights);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(policy.Size({ .registry = fleet.registry,
                                           .demand = fleet.demand,
                                           .sparePool = SparePool(fleet.shape),
                                           .slotsPerHost = kSlotsPerHost,
                                           .maxInMaintenance = Hosts(1) }));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(SizeBuffer)->Arg(50)->Arg(500)->Arg(2200)->Complexity();

} // namespace
