#include "FakeFleet.h"

#include "greengage/fleet/BufferPolicy.h"
#include "greengage/fleet/Demand.h"
#include "greengage/fleet/MovePlanner.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

using namespace greengage;
using namespace greengage::fleet;
using namespace greengage::fleet::test;

namespace {

constexpr Slots kSlots(8);

Time
Hour(int aHours)
{
  return Time(0) + Duration::Seconds(3600LL * aHours);
}

PoolDemand
DemandOf(double aHosts, double aPeak)
{
  const auto slots = static_cast<double>(kSlots.Count());
  return { .latest = aHosts * slots,
           .mean = aHosts * slots,
           .peakMean = aPeak * slots };
}

/// Returns a demand of \p aHosts hosts for each working pool, with a peak mean
/// of \p aPeak hosts.
DemandByPool
UniformDemand(const FleetShape& aShape, double aHosts, double aPeak)
{
  DemandByPool demand;
  for (int pool = 0; pool + 1 < aShape.pools; ++pool) {
    demand[PoolOf(pool)] = DemandOf(aHosts, aPeak);
  }
  return demand;
}

/// The input of a move planner: a fleet in which all hosts are up until
/// FailHosts is called.
struct MoveFixture
{
  std::vector<PlannedMove> Plan(const MovePlanner& aPlanner, Time aNow) const
  {
    const BudgetSnapshot snapshot(registry, ledger, aNow);
    return aPlanner.Plan({ .registry = registry,
                           .budgets = snapshot,
                           .demand = demand,
                           .sparePool = SparePool(shape),
                           .spareTarget = Hosts(10),
                           .slotsPerHost = kSlots,
                           .now = aNow });
  }
  void SetDemand(int aPool, double aHosts)
  {
    demand[PoolOf(aPool)] = DemandOf(aHosts, aHosts);
  }
  void FailHosts(int aPool, int aHosts)
  {
    for (const auto& [host, member] : registry.Members()) {
      if (member.pool == PoolOf(aPool) && aHosts-- > 0) {
        BudgetRejection rejection;
        REQUIRE(ledger.Apply(MarkFailed{ host }, registry, rejection));
      }
    }
  }

  FleetShape shape = RenovaSul();
  PoolRegistry registry = BuildRegistry(shape);
  BudgetLedger ledger;
  DemandByPool demand = UniformDemand(shape, 7, 9.5);
};

BufferSizing
SizeFor(const BufferPolicy& aPolicy, const FleetShape& aShape, double aHosts)
{
  const PoolRegistry registry = BuildRegistry(aShape);
  const DemandByPool demand = UniformDemand(aShape, aHosts, aHosts);
  return aPolicy.Size({ .registry = registry,
                        .demand = demand,
                        .sparePool = SparePool(aShape),
                        .slotsPerHost = kSlots,
                        .maxInMaintenance = Hosts(1) });
}

} // namespace

TEST_CASE("The mean of alternating demand stays within 5% of its true value")
{
  // Each fifth observation is 500 and the others are 5, so the true mean is
  // 104.
  DemandTracker tracker;
  const PoolId pool("p");
  double lowestMean = 1e9;
  double highestMean = 0;
  for (int i = 0; i < 5000; ++i) {
    const Time now = Time(0) + Duration::Seconds(10LL * i);
    tracker.Observe(pool, i % 5 == 0 ? 500 : 5, now);
    if (i > 1000) {
      lowestMean = std::min(lowestMean, tracker.Pools().at(pool).mean);
      highestMean = std::max(highestMean, tracker.Pools().at(pool).mean);
    }
  }
  CHECK(lowestMean > 0.95 * 104);
  CHECK(highestMean < 1.05 * 104);
  CHECK(tracker.Pools().at(pool).peakMean < 1.05 * 104);
}

TEST_CASE(
  "More spares are held for larger covered domains and costlier shortfalls")
{
  const FleetShape shape = RenovaSul();
  const auto sparesFor = [&](BufferCosts aCosts, FleetWeights aWeights) {
    return SizeFor(CostOptimizedBufferPolicy(aCosts, aWeights), shape, 9.5)
      .spares;
  };
  const Hosts forRack = sparesFor({ .covered = CoveredDomain::Rack }, {});
  const Hosts forZone = sparesFor({ .covered = CoveredDomain::Zone }, {});
  CHECK(sparesFor({ .covered = CoveredDomain::None, .shortfallCostPerHour = 0 },
                  {}) == Hosts(0));
  CHECK(forRack >= Hosts(kHostsPerRack));
  CHECK(forZone > forRack);
  const BufferCosts highShortfallCost = { .shortfallCostPerHour = 60 };
  CHECK(sparesFor(highShortfallCost, kTinkerbotsWeights) >
        sparesFor(highShortfallCost, kRenovaSulWeights));

  const BufferSizing size =
    SizeFor(CostOptimizedBufferPolicy({}, {}), shape, 9.5);
  CHECK(size.isWorstZone);
  CHECK(size.worstShortfall > Hosts(10));
  CHECK(SizeFor(FixedBufferPolicy(Hosts(10)), shape, 9.5).spares == Hosts(10));
}

TEST_CASE("Spares that cover a zone leave no shortfall when any zone is lost")
{
  const double hosts = GENERATE(5.0, 7.0, 8.5, 9.5, 10.0);
  FleetShape shape = GENERATE(RenovaSul(), Tinkerbots());
  CAPTURE(hosts, shape.zones);
  const CostOptimizedBufferPolicy policy({ .covered = CoveredDomain::Zone },
                                         {});
  const BufferSizing size = SizeFor(policy, shape, hosts);
  shape.workers += static_cast<int>(size.spares.Count()) - shape.spares;
  shape.spares = static_cast<int>(size.spares.Count());
  const PoolRegistry registry = BuildRegistry(shape);
  for (int zone = 0; zone < shape.zones; ++zone) {
    CAPTURE(zone);
    std::map<PoolId, int> remaining;
    for (const auto& [host, member] : registry.Members()) {
      const bool isLost = member.placement.availabilityZone ==
                          AvailabilityZoneId("z" + std::to_string(zone));
      remaining[member.pool] += isLost ? 0 : 1;
    }
    int missing = 0;
    for (int pool = 0; pool + 1 < shape.pools; ++pool) {
      const int need = static_cast<int>(std::ceil(hosts));
      missing += std::max(0, need - remaining[PoolOf(pool)]);
    }
    CHECK(remaining[SparePool(shape)] >= missing);
  }
}

TEST_CASE("Spares replace failed hosts only if the gain exceeds the move cost")
{
  MoveFixture fleet;
  const HysteresisMovePlanner planner({ .weights = kRenovaSulWeights });
  CHECK(fleet.Plan(planner, Hour(3)).empty());
  fleet.FailHosts(0, 4);
  const auto plan = fleet.Plan(planner, Hour(3));
  REQUIRE(plan.size() == 2);
  CHECK(plan[0].from == SparePool(fleet.shape));
  CHECK(plan[0].to == PoolOf(0));
  CHECK(plan[0].host != plan[1].host);
  const HysteresisMovePlanner highMoveCost({ .weights = { .moves = 10 } });
  CHECK(fleet.Plan(highMoveCost, Hour(3)).empty());
}

TEST_CASE("Without spares, surplus hosts move after their minimum stay")
{
  MoveFixture fleet;
  fleet.shape.spares = 0;
  fleet.shape.workers = 40;
  fleet.registry = BuildRegistry(fleet.shape);
  fleet.demand = UniformDemand(fleet.shape, 8, 9.5);
  fleet.SetDemand(0, 11);
  const HysteresisMovePlanner planner({ .weights = kTinkerbotsWeights });
  CHECK(fleet.Plan(planner, Hour(1)).empty());
  const auto plan = fleet.Plan(planner, Hour(2));
  REQUIRE(plan.size() == 3);
  for (const PlannedMove& move : plan) {
    CHECK(move.to == PoolOf(0));
    CHECK(move.from != SparePool(fleet.shape));
  }
  Budgets budgets;
  budgets.defaultPool = Hosts(0);
  BudgetRejection rejection;
  REQUIRE(fleet.ledger.Apply(SetBudgets{ budgets }, fleet.registry, rejection));
  CHECK(fleet.Plan(planner, Hour(2)).empty());
}

TEST_CASE(
  "Hosts return only to refill the spare pool, and bursts cause no moves")
{
  MoveFixture fleet;
  const HysteresisMovePlanner planner({ .weights = kTinkerbotsWeights });
  for (int pool = 0; pool < 4; ++pool) {
    fleet.demand[PoolOf(pool)].latest = pool % 2 == 0 ? 500 : 5;
  }
  CHECK(fleet.Plan(planner, Hour(3)).empty());
  CHECK_FALSE(fleet.Plan(ReactiveMovePlanner(), Hour(3)).empty());
  fleet.FailHosts(4, 2);
  CHECK(fleet.Plan(planner, Hour(3)).empty());
  fleet.SetDemand(0, 5);
  const auto plan = fleet.Plan(planner, Hour(3));
  REQUIRE(plan.size() == 2);
  CHECK(plan[0].to == SparePool(fleet.shape));
  CHECK(fleet.Plan(planner, Hour(1)).empty());
}
