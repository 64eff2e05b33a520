#include "FakeFleet.h"

#include "greengage/fleet/WavePlanner.h"
#include "greengage/fleet/WaveProgress.h"
#include "greengage/fleet/WaveRunner.h"

#include <catch2/catch.hpp>

using namespace greengage;
using namespace greengage::fleet;
using namespace greengage::fleet::test;

namespace {

const EntryHostId kSelf("e1");

Time
At(std::int64_t aSeconds)
{
  return Time(0) + Duration::Seconds(aSeconds);
}

/// A wave of eight hosts in two pools: one rack of four in each of the zones z0
/// and z1, with a rack budget of one host.
struct WaveFixture
{
  WaveFixture()
    : shape{ .zones = 2, .workers = 8, .pools = 2, .spares = 0 }
    , registry(BuildRegistry(shape))
    , runner({}, kSelf, MakePlan())
  {
    Budgets budgets;
    budgets.defaultRack = Hosts(1);
    BudgetRejection rejection;
    ledger.Apply(SetBudgets{ budgets }, registry, rejection);
  }

  WaveState MakePlan() const
  {
    const std::map<HostId, Time> never;
    const Budgets budgets;
    return BottleneckPlanner().Plan({ .registry = registry,
                                      .budgets = budgets,
                                      .lastMaintained = never,
                                      .policy = {},
                                      .cycleTime = kEstimatedCycleTime,
                                      .now = Time(0) });
  }
  void Tick(Time aNow)
  {
    actions.clear();
    runner.Tick(aNow, BudgetSnapshot(registry, ledger, aNow), actions);
  }
  void Send(const WaveEvent& aEvent, Time aNow)
  {
    actions.clear();
    runner.Handle(aEvent, aNow, actions);
  }
  template<typename Action>
  std::vector<HostId> HostsOf() const
  {
    std::vector<HostId> hosts;
    for (const WaveAction& action : actions) {
      if (const auto* typed = std::get_if<Action>(&action)) {
        hosts.push_back(typed->host);
      }
    }
    return hosts;
  }
  HostPhase PhaseOf(const HostId& aHost) const
  {
    return runner.State().hosts.at(aHost).phase;
  }
  /// Advances a host from its grant to the start of the watch period.
  void AdvanceToWatching(const HostId& aHost, Time aNow)
  {
    Send(GrantIssued{ aHost, aNow + Duration::Seconds(60) }, aNow);
    Send(HostDrained{ aHost }, aNow);
    Send(HostRebooted{ aHost }, aNow);
    Send(HostChecked{ aHost, true }, aNow);
    REQUIRE(HostsOf<ReturnToService>() == std::vector<HostId>{ aHost });
  }

  FleetShape shape;
  PoolRegistry registry;
  BudgetLedger ledger;
  WaveRunner runner;
  WaveActions actions;
};

} // namespace

TEST_CASE("A host is drained, rebooted, checked, put in service and watched")
{
  WaveFixture wave;
  wave.Tick(At(0));
  REQUIRE(wave.HostsOf<RequestGrant>().size() == 2);
  const HostId host = wave.HostsOf<RequestGrant>()[0];
  wave.Send(GrantIssued{ host, At(60) }, At(1));
  CHECK(wave.HostsOf<Drain>() == std::vector<HostId>{ host });
  wave.Send(HostDrained{ host }, At(2));
  CHECK(wave.HostsOf<Reboot>() == std::vector<HostId>{ host });
  wave.Send(HostRebooted{ host }, At(3));
  CHECK(wave.HostsOf<Check>() == std::vector<HostId>{ host });
  wave.Send(HostChecked{ host, true }, At(4));
  CHECK(wave.HostsOf<ReturnToService>() == std::vector<HostId>{ host });
  wave.Tick(At(603));
  CHECK(wave.HostsOf<EndWatch>().empty());
  wave.Tick(At(604));
  CHECK(wave.HostsOf<EndWatch>() == std::vector<HostId>{ host });
  CHECK(wave.PhaseOf(host) == HostPhase::Done);
}

TEST_CASE("Expired grants and grants refused at the drain start no maintenance")
{
  WaveFixture wave;
  wave.Tick(At(0));
  const HostId host = wave.HostsOf<RequestGrant>()[0];
  wave.Send(GrantIssued{ host, At(5) }, At(5));
  CHECK(wave.actions.empty());
  wave.Send(GrantIssued{ host, At(60) }, At(6));
  wave.Send(GrantDenied{ host, {} }, At(7));
  CHECK(wave.PhaseOf(host) == HostPhase::Waiting);
  wave.Send(HostDrained{ host }, At(8));
  CHECK(wave.actions.empty());
}

TEST_CASE("A host that fails in a phase is reported with the phase's remedy")
{
  WaveFixture wave;
  const HostId host = HostAt(0);
  SECTION("a stuck drain is checkpointed, then retried until attempts run out")
  {
    std::int64_t now = 0;
    for (int attempt = 1; attempt <= 3; ++attempt) {
      wave.Send(GrantIssued{ host, At(now + 60) }, At(now));
      wave.Tick(At(now + 1800));
      CHECK(wave.HostsOf<CheckpointTasks>() == std::vector<HostId>{ host });
      wave.Tick(At(now + 3600));
      CHECK(wave.HostsOf<ReturnToService>() == std::vector<HostId>{ host });
      now += 7200;
    }
    CHECK(wave.PhaseOf(host) == HostPhase::Failed);
    CHECK(wave.runner.State().hosts.at(host).remedy ==
          HostRemedy::FindStuckTask);
  }
  SECTION("a host that does not come back needs a power cycle")
  {
    wave.Send(GrantIssued{ host, At(60) }, At(0));
    wave.Send(HostDrained{ host }, At(1));
    wave.Tick(At(901));
    REQUIRE(wave.HostsOf<MarkHostFailed>().size() == 1);
    CHECK(std::get<MarkHostFailed>(wave.actions[0]).remedy ==
          HostRemedy::PowerCycle);
  }
  SECTION("an unhealthy host needs replacement and waits again once recovered")
  {
    wave.Send(GrantIssued{ host, At(60) }, At(0));
    wave.Send(HostDrained{ host }, At(1));
    wave.Send(HostRebooted{ host }, At(2));
    wave.Send(HostChecked{ host, false }, At(3));
    REQUIRE(wave.HostsOf<MarkHostFailed>().size() == 1);
    CHECK(std::get<MarkHostFailed>(wave.actions[0]).remedy ==
          HostRemedy::Replace);
    wave.Send(HostRecovered{ host }, At(100));
    CHECK(wave.PhaseOf(host) == HostPhase::Waiting);
  }
}

TEST_CASE("Correlated failures pause their zone")
{
  WaveFixture wave;
  wave.Send(HostFailed{ HostAt(0) }, At(0));
  CHECK(wave.runner.State().pauses.empty());
  wave.Send(HostFailed{ HostAt(1) }, At(299));
  REQUIRE(wave.runner.State().pauses.size() == 1);
  CHECK(wave.runner.State().pauses[0].kind == PauseKind::CorrelatedFailures);
  wave.Tick(At(300));
  REQUIRE(wave.HostsOf<RequestGrant>().size() == 1);
  const HostId other = wave.HostsOf<RequestGrant>()[0];
  CHECK(PlacementOf(wave.shape, 4) == wave.registry.Find(other)->placement);
  wave.Send(GrantIssued{ HostAt(2), At(400) }, At(301));
  CHECK(wave.actions.empty());
  wave.Tick(At(299 + 1800));
  CHECK(wave.runner.State().pauses.empty());
  CHECK(wave.HostsOf<RequestGrant>().size() == 2);
}

TEST_CASE("A failure soon after maintenance pauses the wave until resumed")
{
  WaveFixture wave;
  wave.AdvanceToWatching(HostAt(0), At(0));
  SECTION("a host of the zone fails while another one is watched")
  {
    wave.Send(HostFailed{ HostAt(1) }, At(10));
    REQUIRE(wave.runner.State().pauses.size() == 1);
    CHECK(wave.runner.State().pauses[0].kind ==
          PauseKind::FailureAfterMaintenance);
    wave.Tick(At(11));
    CHECK(wave.HostsOf<RequestGrant>().empty());
    wave.Send(ResumeWave{}, At(12));
    wave.Tick(At(13));
    CHECK_FALSE(wave.HostsOf<RequestGrant>().empty());
  }
  SECTION("the watched host itself fails")
  {
    wave.Send(HostFailed{ HostAt(0) }, At(10));
    CHECK(wave.HostsOf<MarkHostFailed>().size() == 1);
    CHECK(wave.runner.State().pauses.size() == 1);
  }
  SECTION("a failure in another zone or after the window does not pause")
  {
    wave.Send(HostFailed{ HostAt(4) }, At(10));
    CHECK(wave.runner.State().pauses.empty());
    wave.Tick(At(600));
    wave.Send(HostFailed{ HostAt(1) }, At(901));
    CHECK(wave.runner.State().pauses.empty());
  }
}

TEST_CASE(
  "A plan contains due hosts only, overdue ones first, then by scarcest budget")
{
  const FleetShape shape = RenovaSul();
  const PoolRegistry registry = BuildRegistry(shape);
  const Time now = At(100LL * 24 * 3600);
  constexpr std::int64_t kWeek = 7 * 24 * 3600;
  std::map<HostId, Time> last;
  for (int i = 0; i < shape.workers; ++i) {
    last[HostAt(i)] = now - Duration::Seconds(5 * kWeek);
  }
  last[HostAt(7)] = now - Duration::Seconds(6 * kWeek);
  last[HostAt(8)] = now - Duration::Seconds(9 * kWeek);
  last.erase(HostAt(9));
  Budgets budgets;
  budgets.defaultPool = Hosts(4);
  budgets.pools[registry.Find(HostAt(9))->pool] = Hosts(1);
  const WaveState wave =
    BottleneckPlanner().Plan({ .registry = registry,
                               .budgets = budgets,
                               .lastMaintained = last,
                               .policy = {},
                               .cycleTime = kEstimatedCycleTime,
                               .now = now });
  const std::vector<HostId> expected = { HostAt(8), HostAt(9), HostAt(7) };
  CHECK(wave.order == expected);
}

TEST_CASE("Progress reports the reason for each wait and renders a bar")
{
  WaveFixture wave;
  wave.Tick(At(0));
  wave.AdvanceToWatching(HostAt(0), At(1));
  BudgetRejection rejection;
  const auto apply = [&](const BudgetCommand& aCommand) {
    REQUIRE(wave.ledger.Apply(aCommand, wave.registry, rejection));
  };
  apply(AcquireGrant{ HostAt(0), kSelf, At(1), At(60) });
  apply(ConfirmDrain{ HostAt(0), kSelf, At(1) });
  apply(MarkFailed{ HostAt(5) });
  wave.Send(HostFailed{ HostAt(5) }, At(2));
  wave.Send(HostFailed{ HostAt(6) }, At(2));
  const WaveProgress progress = MakeWaveProgress(
    wave.runner, wave.registry, wave.ledger, kEstimatedCycleTime, At(3));
  CHECK(progress.Count(HostPhase::Watching) == 1);
  REQUIRE(progress.waiting.size() == 7);
  CHECK(progress.forecastEnd > At(1802));
  for (const WaitingHost& entry : progress.waiting) {
    CAPTURE(entry.host.Value());
    const bool isFirstRack = entry.host < HostAt(4);
    CHECK((entry.reason.kind == WaitKind::Budget) == isFirstRack);
  }
  CHECK(RenderBar(progress, 16) == ">>..............");
  const std::string text = RenderStatus(progress, 16, 2);
  CHECK(text.find("rack \"z0/r0\" is spent: 1 may be down, 1 in maintenance") !=
        std::string::npos);
  CHECK(text.find("5 more are waiting") != std::string::npos);
}

TEST_CASE("A wave takes every host down despite failures and restarts")
{
  const unsigned seed = GENERATE(range(1U, 9U));
  const int restartEvery = GENERATE(0, 37);
  CAPTURE(seed, restartEvery);
  const FleetShape shape = seed % 2 == 0 ? RenovaSul() : Tinkerbots();
  const OutageCounts counts{ .span = Duration::Seconds(10 * 3600) };
  FakeFleet fleet(
    shape, DefaultBudgets(shape), GenerateOutages(shape, counts, seed), seed);
  const WaveOutcome outcome =
    RunWave(fleet, BottleneckPlanner(), {}, restartEvery);
  CHECK(outcome.isFinished);
  CHECK(outcome.budgetViolations == 0);
  CHECK(outcome.done + outcome.failed == 50);
  CHECK(outcome.failed <= 2);
  std::map<HostId, int> taken;
  for (const HostId& host : fleet.drained) {
    ++taken[host];
  }
  CHECK(taken.size() == 50);
}
