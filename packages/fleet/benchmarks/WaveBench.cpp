/// \file
/// Roll-out times of the bottleneck planner, a sequential wave and a sequential
/// wave without budgets, under the same scheduled failures; and the time and
/// memory that planning, checks and ticks need as the fleet grows.

#include "../unittests/FakeFleet.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

using namespace greengage;
using namespace greengage::fleet;
using namespace greengage::fleet::test;

namespace {

constexpr int kSeeds = 20;

FleetShape
ShapeOfUser(std::int64_t aUser)
{
  return aUser == 0 ? RenovaSul() : Tinkerbots();
}

/// Runs one wave per seed; the reported time is the mean roll-out in simulated
/// time.
template<typename Planner, bool HasBudgets>
void
RollOut(benchmark::State& aState)
{
  const FleetShape shape = ShapeOfUser(aState.range(0));
  const OutageCounts counts{ .span = Duration::Seconds(10 * 3600) };
  unsigned seed = 0;
  int budgetViolations = 0;
  std::size_t failedHosts = 0;
  for (auto _ : aState) {
    ++seed;
    FakeFleet fleet(
      shape, DefaultBudgets(shape), GenerateOutages(shape, counts, seed), seed);
    if (!HasBudgets) {
      fleet.IgnoreBudgets();
    }
    const WaveOutcome outcome = RunWave(fleet, Planner());
    aState.SetIterationTime(static_cast<double>(outcome.rollOut.Millis()) /
                            1000.0);
    budgetViolations += outcome.budgetViolations;
    failedHosts += outcome.failed;
  }
  aState.counters["broken"] = budgetViolations;
  aState.counters["not_done"] = static_cast<double>(failedHosts);
}
BENCHMARK_TEMPLATE(RollOut, SequentialPlanner, true)
  ->Name("RollOut/OneAtATime")
  ->Arg(0)
  ->Arg(1)
  ->UseManualTime()
  ->Iterations(kSeeds);
BENCHMARK_TEMPLATE(RollOut, SequentialPlanner, false)
  ->Name("RollOut/OneAtATimeNoBudgets")
  ->Arg(0)
  ->Arg(1)
  ->UseManualTime()
  ->Iterations(kSeeds);
BENCHMARK_TEMPLATE(RollOut, BottleneckPlanner, true)
  ->Name("RollOut/Bottleneck")
  ->Arg(0)
  ->Arg(1)
  ->UseManualTime()
  ->Iterations(kSeeds);

FleetShape
MakeShape(std::int64_t aWorkers)
{
  return { .zones = 18,
           .workers = static_cast<int>(aWorkers),
           .pools = aWorkers < 500 ? 5 : 26,
           .spares = static_cast<int>(aWorkers / 5) };
}

/// A fleet of the given size in which one host in 50 has failed.
struct SizedFleet
{
  explicit SizedFleet(std::int64_t aWorkers)
    : shape(MakeShape(aWorkers))
    , registry(BuildRegistry(shape))
    , budgets(DefaultBudgets(shape))
  {
    BudgetRejection rejection;
    ledger.Apply(SetBudgets{ budgets }, registry, rejection);
    for (std::int64_t i = 0; i < aWorkers; i += 50) {
      ledger.Apply(
        MarkFailed{ HostAt(static_cast<int>(i)) }, registry, rejection);
    }
  }
  WaveState Plan() const
  {
    const std::map<HostId, Time> never;
    return BottleneckPlanner().Plan({ .registry = registry,
                                      .budgets = budgets,
                                      .lastMaintained = never,
                                      .policy = {},
                                      .cycleTime = kEstimatedCycleTime,
                                      .now = Time(0) });
  }

  FleetShape shape;
  PoolRegistry registry;
  Budgets budgets;
  BudgetLedger ledger;
};

double
BytesInUse()
{
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

void
PlanWave(benchmark::State& aState)
{
  const SizedFleet fleet(aState.range(0));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(fleet.Plan());
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(PlanWave)->Arg(50)->Arg(500)->Arg(2200)->Complexity();

void
TickWave(benchmark::State& aState)
{
  const SizedFleet fleet(aState.range(0));
  WaveRunner runner({}, EntryHostId("e1"), fleet.Plan());
  Time now;
  for (auto _ : aState) {
    WaveActions actions;
    runner.Tick(
      now, BudgetSnapshot(fleet.registry, fleet.ledger, now), actions);
    benchmark::DoNotOptimize(actions);
    now = now + Duration::Seconds(1);
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(TickWave)->Arg(50)->Arg(500)->Arg(2200)->Complexity();

void
AnswerOperators(benchmark::State& aState)
{
  const SizedFleet fleet(aState.range(0));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      CheckTakedownOfAll(fleet.registry, fleet.ledger, Time(0)));
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(AnswerOperators)->Arg(50)->Arg(500)->Arg(2200)->Complexity();

void
GrantAndConfirm(benchmark::State& aState)
{
  SizedFleet fleet(aState.range(0));
  const EntryHostId by("e1");
  const HostId host = HostAt(49);
  BudgetRejection rejection;
  for (auto _ : aState) {
    fleet.ledger.Apply(
      AcquireGrant{ host, by, Time(0), Time(1) }, fleet.registry, rejection);
    fleet.ledger.Apply(
      ConfirmDrain{ host, by, Time(0) }, fleet.registry, rejection);
    fleet.ledger.Apply(EndClaim{ host }, fleet.registry, rejection);
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(GrantAndConfirm)->Arg(50)->Arg(500)->Arg(2200)->Complexity();

void
MemoryOfState(benchmark::State& aState)
{
  double bytes = 0;
  for (auto _ : aState) {
    const double before = BytesInUse();
    const SizedFleet fleet(aState.range(0));
    const WaveState wave = fleet.Plan();
    bytes = BytesInUse() - before;
    benchmark::DoNotOptimize(wave.order.data());
  }
  aState.counters["bytes"] = bytes;
  aState.counters["bytes_per_worker"] =
    bytes / static_cast<double>(aState.range(0));
}
BENCHMARK(MemoryOfState)->Arg(50)->Arg(500)->Arg(2200)->Iterations(3);

} // namespace
