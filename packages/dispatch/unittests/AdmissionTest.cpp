#include "greengage/dispatch/DeadlineGate.h"
#include "greengage/dispatch/RunTimes.h"

#include <catch2/catch.hpp>

#include <random>
#include <string>

using namespace greengage;
using namespace greengage::dispatch;

static const TeamId kTeam("a");
static const PoolId kPool("lines");

TEST_CASE("run times are estimated per team and kind")
{
  RunTimes times;
  REQUIRE(times.Mean(kTeam, "weigh") == Duration(100));
  for (int run = 0; run < 50; ++run) {
    times.Record(kTeam, "weigh", Duration(20));
    times.Record(kTeam, "plan", Duration(300));
  }
  REQUIRE(times.Mean(kTeam, "weigh") == Duration(20));
  REQUIRE(times.Mean(kTeam, "plan") == Duration(300));
  // A new kind uses the team's overall estimate.
  const Duration fresh = times.Mean(kTeam, "sort");
  REQUIRE(fresh > Duration(100));
  REQUIRE(fresh < Duration(220));
  REQUIRE(times.Mean(TeamId("b"), "plan") == Duration(100));
}

TEST_CASE(
  "an outlier kind's estimate stays within a multiple of the team's mean")
{
  RunTimes times;
  for (int run = 0; run < 1000; ++run)
    times.Record(kTeam, "weigh", Duration(100));
  times.Record(kTeam, "false", Duration::Seconds(100000));
  for (int run = 0; run < 200; ++run)
    times.Record(kTeam, "weigh", Duration(100));
  REQUIRE(times.Mean(kTeam, "false") <= Duration(2100));
}

TEST_CASE("kinds beyond maxKinds share one estimate")
{
  RunTimes times({ .maxKinds = 2 });
  for (int kind = 0; kind < 1000; ++kind)
    times.Record(kTeam, std::to_string(kind), Duration(10));
  times.Record(kTeam, "0", Duration(10));
  REQUIRE(times.Mean(kTeam, "999") == times.Mean(kTeam, "998"));
}

TEST_CASE("the low estimate tracks the 10th percentile of run times")
{
  std::mt19937_64 random(20261204);
  RunTimes times;
  const auto draw = [&] {
    return Duration(100 + static_cast<std::int64_t>(random() % 900));
  };
  for (int run = 0; run < 19; ++run)
    times.Record(kTeam, "k", draw());
  REQUIRE(times.Percentile10(kTeam, "k") == Duration(0));
  for (int run = 0; run < 2000; ++run)
    times.Record(kTeam, "k", draw());
  int below = 0;
  for (int run = 0; run < 1000; ++run) {
    below += draw() < times.Percentile10(kTeam, "k") ? 1 : 0;
    times.Record(kTeam, "k", draw());
  }
  REQUIRE(below > 30);
  REQUIRE(below < 200);
}

namespace {

/// A gate for a team that has had a backlog for 20 s, during which ten of its
/// requests started per second.
class GateFixture
{
public:
  GateFixture()
  {
    REQUIRE_FALSE(gate.CheckDeadline(Arrive(5, Duration::Seconds(60)), now));
    for (int start = 0; start < 200; ++start) {
      now = now + Duration(100);
      gate.RecordStart(kPool, kTeam, 50, now);
    }
  }
  DeadlineGate::Arrival Arrive(std::size_t aAhead,
                               Duration aUntilDeadline) const
  {
    return { .pool = kPool,
             .team = kTeam,
             .queuedAhead = aAhead,
             .minRunTime = Duration(100),
             .deadline = now + aUntilDeadline };
  }

  Time now{ 1000 };
  DeadlineGate gate;
};

} // namespace

TEST_CASE_METHOD(GateFixture, "a request that can't start in time is refused")
{
  // 100 requests ahead take about 10 s at the measured rate, and half of that
  // at the rate with the margin.
  REQUIRE_FALSE(gate.CheckDeadline(Arrive(100, Duration::Seconds(11)), now));
  REQUIRE_FALSE(gate.CheckDeadline(Arrive(100, Duration::Seconds(6)), now));
  const auto retry = gate.CheckDeadline(Arrive(100, Duration::Seconds(4)), now);
  REQUIRE(retry);
  REQUIRE(*retry >= Duration::Seconds(5));
  REQUIRE(*retry <= Duration::Seconds(7));
}

TEST_CASE_METHOD(GateFixture,
                 "with no requests ahead only the run time is checked")
{
  REQUIRE_FALSE(gate.CheckDeadline(Arrive(0, Duration(101)), now));
  REQUIRE(gate.CheckDeadline(Arrive(0, Duration(100)), now));
}

TEST_CASE("a new backlog causes no refusals")
{
  DeadlineGate gate;
  const DeadlineGate::Arrival arrival{ .pool = kPool,
                                       .team = kTeam,
                                       .queuedAhead = 1000,
                                       .minRunTime = Duration(1),
                                       .deadline = Time(5000) };
  REQUIRE_FALSE(gate.CheckDeadline(arrival, Time(0)));
  REQUIRE_FALSE(gate.CheckDeadline(arrival, Time(1999)));
  REQUIRE(gate.CheckDeadline(arrival, Time(2000)));
  // The backlog clears, so its age starts again from zero.
  gate.RecordStart(kPool, kTeam, 0, Time(2100));
  REQUIRE_FALSE(gate.CheckDeadline(arrival, Time(2200)));
}
