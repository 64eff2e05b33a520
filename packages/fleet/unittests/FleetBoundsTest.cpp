#include "Scenario.h"

#include <catch2/catch.hpp>

using namespace greengage;
using namespace greengage::fleet;
using namespace greengage::fleet::test;

TEST_CASE("A bottleneck wave takes at most half the time of a sequential one")
{
  const unsigned seed = GENERATE(range(1U, 6U));
  const FleetShape shape = GENERATE(RenovaSul(), Tinkerbots());
  CAPTURE(seed, shape.zones);
  const OutageCounts counts{ .span = Duration::Seconds(10 * 3600) };
  const auto run = [&](const WavePlanner& aPlanner) {
    FakeFleet fleet(
      shape, DefaultBudgets(shape), GenerateOutages(shape, counts, seed), seed);
    return RunWave(fleet, aPlanner);
  };
  const WaveOutcome baseline = run(SequentialPlanner());
  const WaveOutcome candidate = run(BottleneckPlanner());
  REQUIRE(baseline.isFinished);
  REQUIRE(candidate.isFinished);
  CHECK(candidate.budgetViolations == 0);
  CHECK(candidate.rollOut * 2 <= baseline.rollOut);
}

TEST_CASE(
  "Candidate policies violate no budget and are no worse than reactive ones")
{
  const bool isRenovaSul = GENERATE(true, false);
  CAPTURE(isRenovaSul);
  const FleetShape shape = isRenovaSul ? RenovaSul() : Tinkerbots();
  const FleetWeights weights =
    isRenovaSul ? kRenovaSulWeights : kTinkerbotsWeights;
  Duration baselineRollOut;
  Duration rollOut;
  for (const unsigned seed : { 1U, 2U, 3U }) {
    CAPTURE(seed);
    const DayOutcome baseline = RunReactiveDay(shape, seed);
    const DayOutcome candidate = RunCandidateDay(shape, seed, weights);
    CHECK(candidate.isWaveFinished);
    CHECK(candidate.budgetViolations == 0);
    CHECK(candidate.moves <= baseline.moves);
    CHECK(candidate.spares <= baseline.spares);
    CHECK(candidate.unmetDemandRatio <= baseline.unmetDemandRatio);
    baselineRollOut = baselineRollOut + baseline.rollOut;
    rollOut = rollOut + candidate.rollOut;
  }
  CHECK(rollOut * 2 <= baselineRollOut);
}
