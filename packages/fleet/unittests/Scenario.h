/// \file
/// A simulated day of a fleet for tests and benchmarks: bursty demand, a wave,
/// moves and failures, with the four fleet measures as the result. Demand
/// depends only on the fleet and the seed, and the scheduled failures also on
/// the number of spares. Move and wave policies have no influence on them, so
/// that these policies can be compared.

#ifndef GREENGAGE_FLEET_UNITTESTS_SCENARIO_H
#define GREENGAGE_FLEET_UNITTESTS_SCENARIO_H

#include "FakeFleet.h"

#include "greengage/fleet/BufferPolicy.h"
#include "greengage/fleet/Demand.h"
#include "greengage/fleet/MovePlanner.h"

#include <cmath>
#include <numbers>

namespace greengage::fleet::test {

constexpr Slots kSlotsPerHost(8);

/// The policies under test.
struct Policies
{
  const BufferPolicy& buffer;
  const MovePlanner& moves;
  const WavePlanner& wave;
};

/// The four measures of a day and its budget violations.
struct DayOutcome
{
  /// The size of the spare buffer.
  std::int64_t spares = 0;
  Duration rollOut;
  std::size_t moves = 0;
  /// Unmet demand as a fraction of the mean demand.
  double unmetDemandRatio = 0;
  int budgetViolations = 0;
  bool isWaveFinished = false;
};

/// Demand in bursts: five times the mean for 10 s of every 50 s, and a
/// twentieth of it in between. The mean itself varies over a period of 12
/// hours.
class BurstyDemand
{
public:
  BurstyDemand(const FleetShape& aShape, unsigned aSeed)
    : pools_(aShape.pools - 1)
    , seed_(aSeed)
    , meanSlots_(0.7 * kSlotsPerHost.Count() *
                 (aShape.workers - aShape.spares) / pools_)
  {
  }
  int Pools() const { return pools_; }
  double Mean(int aPool, Time aNow) const
  {
    constexpr double kPeriodHours = 12;
    const double hours = static_cast<double>(aNow.Millis()) / 3600000.0;
    const double phase = static_cast<double>(aPool) / pools_ + 0.1 * seed_;
    const double wave =
      std::sin(2 * std::numbers::pi * (hours / kPeriodHours + phase));
    return meanSlots_ * (1 + 0.3 * wave);
  }
  double Now(int aPool, Time aNow) const
  {
    constexpr std::int64_t kBurstPeriodMillis = 50000;
    constexpr std::int64_t kBurstMillis = 10000;
    const std::int64_t offset = 10000LL * aPool + 1000LL * (seed_ % 10);
    const bool isBusy =
      (aNow.Millis() + offset) % kBurstPeriodMillis < kBurstMillis;
    return Mean(aPool, aNow) * (isBusy ? 5 : 0.05);
  }

private:
  int pools_;
  unsigned seed_;
  double meanSlots_;
};

/// Simulates one day under the given policies. The day before it is used only
/// to observe the demand by which the spare buffer is sized. If the wave is not
/// finished at the end of the day, it continues for at most one more day,
/// without new moves.
class DaySimulation
{
public:
  DaySimulation(FleetShape aShape, unsigned aSeed, Policies aPolicies)
    : shape_(aShape)
    , budgets_(MakeDayBudgets(aShape))
    , policies_(aPolicies)
    , demand_(aShape, aSeed)
    , seed_(aSeed)
  {
    SizeBuffer();
  }

  DayOutcome Run()
  {
    const Time start(kDay.Millis());
    const OutageCounts counts{ .span = kDay, .singles = 4 };
    std::vector<HostOutage> outages = GenerateOutages(shape_, counts, seed_);
    for (HostOutage& outage : outages) {
      outage.at = outage.at + kDay;
    }
    FakeFleet fleet(shape_, budgets_, std::move(outages), seed_);
    const std::map<HostId, Time> never;
    WaveRunner runner({},
                      EntryHostId("e1"),
                      policies_.wave.Plan({ .registry = fleet.registry,
                                            .budgets = fleet.budgets,
                                            .lastMaintained = never,
                                            .policy = {},
                                            .cycleTime = kEstimatedCycleTime,
                                            .now = start }));
    const Time limit = start + kDay * 2;
    Time now = start;
    while (now < limit && (now < start + kDay || !runner.IsFinished())) {
      now = now + kTickStep;
      const bool wasOver = runner.IsFinished();
      fleet.Step(runner, now);
      if (!wasOver) {
        outcome_.rollOut = now - start;
      }
      if (now <= start + kDay) {
        MoveAndMeasure(fleet, now);
      }
      fleet.DriveMoves(now);
    }
    outcome_.moves = fleet.moves;
    outcome_.budgetViolations = fleet.budgetViolations;
    outcome_.isWaveFinished = runner.IsFinished();
    outcome_.unmetDemandRatio = unmetHosts_ / requestedHosts_;
    return outcome_;
  }

private:
  static constexpr Duration kDay = Duration::Seconds(24 * 3600);

  static Budgets MakeDayBudgets(const FleetShape& aShape)
  {
    Budgets budgets = DefaultBudgets(aShape);
    budgets.pools[SparePool(aShape)] = kUnlimitedHosts;
    return budgets;
  }

  /// Observes one day of demand and sizes the spare buffer by it.
  void SizeBuffer()
  {
    for (Time now; now <= Time(kDay.Millis()); now = now + kTickStep) {
      Observe(now);
    }
    const PoolRegistry registry = BuildRegistry(shape_);
    const BufferSizing size =
      policies_.buffer.Size({ .registry = registry,
                              .demand = observedDemand_.Pools(),
                              .sparePool = SparePool(shape_),
                              .slotsPerHost = kSlotsPerHost,
                              .maxInMaintenance = Hosts(1) });
    shape_.workers += static_cast<int>(size.spares.Count()) - shape_.spares;
    shape_.spares = static_cast<int>(size.spares.Count());
    outcome_.spares = size.spares.Count();
  }

  void Observe(Time aNow)
  {
    for (int pool = 0; pool < demand_.Pools(); ++pool) {
      observedDemand_.Observe(PoolOf(pool), demand_.Now(pool, aNow), aNow);
    }
  }

  void MoveAndMeasure(FakeFleet& aFleet, Time aNow)
  {
    Observe(aNow);
    const BudgetSnapshot snapshot(aFleet.registry, aFleet.ledger, aNow);
    aFleet.BeginMoves(
      policies_.moves.Plan({ .registry = aFleet.registry,
                             .budgets = snapshot,
                             .demand = observedDemand_.Pools(),
                             .sparePool = SparePool(shape_),
                             .spareTarget = Hosts(shape_.spares),
                             .slotsPerHost = kSlotsPerHost,
                             .now = aNow }),
      SparePool(shape_),
      aNow);
    std::map<PoolId, int> serving;
    for (const auto& [host, member] : aFleet.registry.Members()) {
      serving[member.pool] += aFleet.IsServing(host) ? 1 : 0;
    }
    for (int pool = 0; pool < demand_.Pools(); ++pool) {
      const double need =
        demand_.Mean(pool, aNow) / static_cast<double>(kSlotsPerHost.Count());
      requestedHosts_ += need;
      unmetHosts_ += std::max(0.0, need - serving[PoolOf(pool)]);
    }
  }

  FleetShape shape_;
  /// Computed before the buffer is sized, so that it is the same for each
  /// policy.
  Budgets budgets_;
  Policies policies_;
  BurstyDemand demand_;
  unsigned seed_;
  DemandTracker observedDemand_;
  DayOutcome outcome_;
  double unmetHosts_ = 0;
  double requestedHosts_ = 0;
};

/// A planner that never moves a host.
class NoMoves final : public MovePlanner
{
public:
  std::vector<PlannedMove> Plan(const MoveInput&) const override { return {}; }
};

/// Runs a day with a fixed buffer, a sequential wave and \p aMoves.
inline DayOutcome
RunBaselineDay(const FleetShape& aShape,
               unsigned aSeed,
               const MovePlanner& aMoves)
{
  const FixedBufferPolicy buffer(Hosts(aShape.spares));
  const SequentialPlanner wave;
  return DaySimulation(aShape, aSeed, { buffer, aMoves, wave }).Run();
}

/// Runs a baseline day whose moves follow the same mean demand as the candidate
/// policies, without a minimum stay or a move cost.
inline DayOutcome
RunReactiveDay(const FleetShape& aShape, unsigned aSeed)
{
  const ReactiveMovePlanner moves(&PoolDemand::mean);
  return RunBaselineDay(aShape, aSeed, moves);
}

inline DayOutcome
RunCandidateDay(const FleetShape& aShape,
                unsigned aSeed,
                const FleetWeights& aWeights,
                CoveredDomain aCovered = CoveredDomain::Rack)
{
  const CostOptimizedBufferPolicy buffer({ .covered = aCovered }, aWeights);
  const HysteresisMovePlanner moves({ .weights = aWeights });
  const BottleneckPlanner wave;
  return DaySimulation(aShape, aSeed, { buffer, moves, wave }).Run();
}

} // namespace greengage::fleet::test

#endif // GREENGAGE_FLEET_UNITTESTS_SCENARIO_H
