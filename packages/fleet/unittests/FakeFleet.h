/// \file
/// A simulated fleet for tests and benchmarks: a driver that executes the
/// runner's actions while hosts fail. It tracks which hosts are down
/// independently of the budget ledger, to detect budget violations.

#ifndef GREENGAGE_FLEET_UNITTESTS_FAKEFLEET_H
#define GREENGAGE_FLEET_UNITTESTS_FAKEFLEET_H

#include "FleetShape.h"

#include "greengage/fleet/BudgetLedger.h"
#include "greengage/fleet/BudgetSnapshot.h"
#include "greengage/fleet/MovePlanner.h"
#include "greengage/fleet/MoveSteps.h"
#include "greengage/fleet/PoolRegistry.h"
#include "greengage/fleet/WavePlanner.h"
#include "greengage/fleet/WaveRunner.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace greengage::fleet::test {

/// The minimum and maximum durations of the simulated steps, in seconds, and
/// the rates of injected faults.
struct StepDurations
{
  std::int64_t drainMin = 60;
  std::int64_t drainMax = 600;
  std::int64_t rebootMin = 180;
  std::int64_t rebootMax = 300;
  std::int64_t check = 30;
  /// One in this many hosts is unhealthy after its reboot.
  unsigned unhealthyOneIn = 100;
  /// One in this many returns to service is followed by the failure of a host
  /// in the same rack.
  unsigned neighborFailureOneIn = 10;
};

/// The result of one simulated wave.
struct WaveOutcome
{
  Duration rollOut;
  /// Drains and moves that began although a budget was exhausted.
  int budgetViolations = 0;
  std::size_t drains = 0;
  std::size_t done = 0;
  std::size_t failed = 0;
  bool isFinished = false;
};

/// Executes the actions of a runner on a fleet with injected failures.
class FakeFleet
{
public:
  FakeFleet(const FleetShape& aShape,
            Budgets aBudgets,
            std::vector<HostOutage> aOutages,
            unsigned aSeed,
            StepDurations aTimes = {})
    : registry(BuildRegistry(aShape))
    , budgets(std::move(aBudgets))
    , random_(aSeed)
    , durations_(aTimes)
  {
    BudgetRejection rejection;
    ledger.Apply(SetBudgets{ budgets }, registry, rejection);
    for (const HostOutage& outage : aOutages) {
      outages_.emplace(outage.at, outage);
    }
  }

  /// Removes the budget limits, so that takedowns are no longer denied by them.
  /// Violations are still counted against the configured budgets.
  void IgnoreBudgets()
  {
    BudgetRejection rejection;
    ledger.Apply(SetBudgets{ Budgets{} }, registry, rejection);
  }

  /// Delivers all due events to the runner and ticks it.
  void Step(WaveRunner& aRunner, Time aNow)
  {
    ApplyDueFailures(aRunner, aNow);
    ApplyDueRecoveries(aRunner, aNow);
    while (!events_.empty() && events_.begin()->first <= aNow) {
      const WaveEvent event = events_.begin()->second;
      events_.erase(events_.begin());
      Send(aRunner, event, aNow);
    }
    WaveActions actions;
    aRunner.Tick(aNow, BudgetSnapshot(registry, ledger, aNow), actions);
    Execute(aRunner, actions, aNow);
  }

  /// Begins the planned moves; those that the registry refuses are skipped.
  void BeginMoves(const std::vector<PlannedMove>& aPlan,
                  const PoolId& aSparePool,
                  Time aNow)
  {
    for (const PlannedMove& move : aPlan) {
      Error reason;
      if (!registry.Apply(MakeBeginMove(move, registry, aNow), reason)) {
        continue;
      }
      ++moves;
      // The spare pool has no availability budget.
      if (move.from != aSparePool) {
        CheckBudgets(move.host);
      }
    }
  }

  /// Advances the moves in progress.
  void DriveMoves(Time aNow)
  {
    for (const MoveStep& step : NextMoveSteps(registry, aNow)) {
      const auto [due, isNew] = moveStepDue_.try_emplace(step.host, aNow);
      if (isNew) {
        due->second = aNow + MoveStepDuration(step.kind);
      }
      const bool isAwaitingHost =
        step.kind == MoveStepKind::AwaitAnnouncement ||
        step.kind == MoveStepKind::AskOperator;
      const bool isStuck = isAwaitingHost && lost_.contains(step.host);
      if (due->second > aNow || isStuck) {
        continue;
      }
      Error reason;
      registry.Apply(MakeReportCommand(step, aNow), reason);
      moveStepDue_.erase(step.host);
    }
  }

  /// Drops pending events and executes the actions that a new runner emits
  /// after a restart.
  void Restart(const WaveRunner& aRunner, Time aNow)
  {
    events_.clear();
    WaveActions actions;
    aRunner.ReissueActions(actions);
    Execute(aRunner, actions, aNow);
  }

  /// Whether a host accepts work.
  bool IsServing(const HostId& aHost) const
  {
    const Membership* member = registry.Find(aHost);
    return member && !member->move && !lost_.contains(aHost) &&
           !inMaintenance_.contains(aHost);
  }

  /// Fails the hosts now and schedules their recovery after \p aRepair.
  void FailHosts(WaveRunner& aRunner,
                 const std::vector<HostId>& aHosts,
                 Duration aRepair,
                 Time aNow)
  {
    for (const HostId& host : aHosts) {
      if (lost_.insert(host).second) {
        repairs_.emplace(aNow + aRepair, host);
        Apply(MarkFailed{ host });
        if (!rebooting_.contains(host)) {
          Send(aRunner, HostFailed{ host }, aNow);
        }
      }
    }
  }

  PoolRegistry registry;
  BudgetLedger ledger;
  /// The budgets that violations are counted against.
  Budgets budgets;
  int budgetViolations = 0;
  std::size_t drains = 0;
  std::size_t moves = 0;
  /// The host of each confirmed drain, in order.
  std::vector<HostId> drained;

private:
  std::int64_t RandomBetween(std::int64_t aMin, std::int64_t aMax)
  {
    return aMin + static_cast<std::int64_t>(
                    random_() % static_cast<std::uint64_t>(aMax - aMin + 1));
  }
  Duration MoveStepDuration(MoveStepKind aKind)
  {
    constexpr std::int64_t kOtherSteps = 10;
    const bool isDrain = aKind == MoveStepKind::AwaitDrain;
    return Duration::Seconds(
      isDrain ? RandomBetween(durations_.drainMin, durations_.drainMax)
              : kOtherSteps);
  }
  bool OneIn(unsigned aCount) { return aCount > 0 && random_() % aCount == 0; }
  bool Apply(const BudgetCommand& aCommand)
  {
    rejection_ = {};
    return ledger.Apply(aCommand, registry, rejection_);
  }
  void ScheduleEvent(Time aNow, std::int64_t aSeconds, WaveEvent aEvent)
  {
    events_.emplace(aNow + Duration::Seconds(aSeconds), std::move(aEvent));
  }
  void Send(WaveRunner& aRunner, const WaveEvent& aEvent, Time aNow)
  {
    WaveActions actions;
    aRunner.Handle(aEvent, aNow, actions);
    Execute(aRunner, actions, aNow);
  }
  void Execute(const WaveRunner&, const WaveActions& aActions, Time aNow)
  {
    for (const WaveAction& action : aActions) {
      std::visit([&](const auto& aValue) { On(aValue, aNow); }, action);
    }
  }

  void On(const RequestGrant& aAction, Time aNow)
  {
    const Time expiry = aNow + Duration::Seconds(60);
    if (Apply(AcquireGrant{ aAction.host, kSelf, aNow, expiry })) {
      ScheduleEvent(aNow, 1, GrantIssued{ aAction.host, expiry });
    } else {
      ScheduleEvent(aNow, 1, GrantDenied{ aAction.host, rejection_.denials });
    }
  }
  void On(const Drain& aAction, Time aNow)
  {
    if (!Apply(ConfirmDrain{ aAction.host, kSelf, aNow })) {
      ScheduleEvent(aNow, 1, GrantDenied{ aAction.host, rejection_.denials });
      return;
    }
    const bool isNew = inMaintenance_.insert(aAction.host).second;
    if (isNew) {
      ++drains;
      drained.push_back(aAction.host);
      CheckBudgets(aAction.host);
    }
    ScheduleEvent(aNow,
                  RandomBetween(durations_.drainMin, durations_.drainMax),
                  HostDrained{ aAction.host });
  }
  void On(const CheckpointTasks&, Time) {}
  void On(const Reboot& aAction, Time aNow)
  {
    rebooting_.insert(aAction.host);
    ScheduleEvent(aNow,
                  RandomBetween(durations_.rebootMin, durations_.rebootMax),
                  HostRebooted{ aAction.host });
  }
  void On(const Check& aAction, Time aNow)
  {
    rebooting_.erase(aAction.host);
    const bool isHealthy =
      !OneIn(durations_.unhealthyOneIn) && !lost_.contains(aAction.host);
    ScheduleEvent(
      aNow, durations_.check, HostChecked{ aAction.host, isHealthy });
  }
  void On(const ReturnToService& aAction, Time aNow)
  {
    inMaintenance_.erase(aAction.host);
    aAction.isWatched ? Apply(BeginWatch{ aAction.host })
                      : Apply(EndClaim{ aAction.host });
    if (aAction.isWatched && OneIn(durations_.neighborFailureOneIn)) {
      ScheduleNeighborFailure(aAction.host, aNow);
    }
  }
  void On(const EndWatch& aAction, Time) { Apply(EndClaim{ aAction.host }); }
  void On(const MarkHostFailed& aAction, Time aNow)
  {
    inMaintenance_.erase(aAction.host);
    rebooting_.erase(aAction.host);
    Apply(MarkFailed{ aAction.host });
    Apply(EndClaim{ aAction.host });
    if (lost_.insert(aAction.host).second) {
      repairs_.emplace(aNow + Duration::Seconds(3600), aAction.host);
    }
  }

  void ScheduleNeighborFailure(const HostId& aHost, Time aNow)
  {
    const Placement& place = registry.Find(aHost)->placement;
    for (const auto& [host, member] : registry.Members()) {
      if (host != aHost && member.placement == place && IsServing(host)) {
        const Time at =
          aNow + Duration::Seconds(static_cast<std::int64_t>(random_() % 300));
        outages_.emplace(at,
                         HostOutage{ at, { host }, Duration::Seconds(3600) });
        return;
      }
    }
  }
  void ApplyDueFailures(WaveRunner& aRunner, Time aNow)
  {
    while (!outages_.empty() && outages_.begin()->first <= aNow) {
      const HostOutage outage = outages_.begin()->second;
      outages_.erase(outages_.begin());
      FailHosts(aRunner, outage.hosts, outage.repair, aNow);
    }
  }
  void ApplyDueRecoveries(WaveRunner& aRunner, Time aNow)
  {
    while (!repairs_.empty() && repairs_.begin()->first <= aNow) {
      const HostId host = repairs_.begin()->second;
      repairs_.erase(repairs_.begin());
      lost_.erase(host);
      Apply(MarkRecovered{ host });
      Send(aRunner, HostRecovered{ host }, aNow);
    }
  }

  /// Counts a violation if the hosts that are actually down, including
  /// \p aHost, exceed a budget of its pool, zone or rack.
  void CheckBudgets(const HostId& aHost)
  {
    const Membership& subject = *registry.Find(aHost);
    Hosts inPool;
    Hosts inZone;
    Hosts inRack;
    for (const auto& [host, member] : registry.Members()) {
      if (!lost_.contains(host) && !inMaintenance_.contains(host) &&
          !member.move) {
        continue;
      }
      inPool += Hosts(member.pool == subject.pool ? 1 : 0);
      inZone += Hosts(member.placement.availabilityZone ==
                          subject.placement.availabilityZone
                        ? 1
                        : 0);
      inRack += Hosts(member.placement == subject.placement ? 1 : 0);
    }
    const bool isViolated =
      inPool > budgets.OfPool(subject.pool) ||
      inZone > budgets.OfZone(subject.placement.availabilityZone) ||
      inRack > budgets.OfRack(subject.placement);
    budgetViolations += isViolated ? 1 : 0;
  }

  static inline const EntryHostId kSelf{ "e1" };
  std::mt19937 random_;
  StepDurations durations_;
  std::multimap<Time, HostOutage> outages_;
  std::multimap<Time, HostId> repairs_;
  std::multimap<Time, WaveEvent> events_;
  std::map<HostId, Time> moveStepDue_;
  std::set<HostId> lost_;
  std::set<HostId> inMaintenance_;
  std::set<HostId> rebooting_;
  BudgetRejection rejection_;
};

/// The budgets for the fleet sizes of both users: a fifth of the average pool
/// and zone, at least one host, and half a rack.
inline Budgets
DefaultBudgets(const FleetShape& aShape)
{
  Budgets budgets;
  budgets.defaultPool = Hosts(std::max(1, aShape.workers / aShape.pools / 5));
  budgets.defaultZone = Hosts(std::max(1, aShape.workers / aShape.zones / 5));
  budgets.defaultRack = Hosts(2);
  return budgets;
}

constexpr Duration kTickStep = Duration::Seconds(10);
constexpr Duration kEstimatedCycleTime = Duration::Seconds(1300);

/// Runs a complete wave. If \p aRestartEvery is positive, the runner is
/// replaced every so many steps by one that resumes from the persisted state.
inline WaveOutcome
RunWave(FakeFleet& aFleet,
        const WavePlanner& aPlanner,
        const WaveOptions& aOptions = {},
        int aRestartEvery = 0)
{
  const std::map<HostId, Time> never;
  WaveRunner runner(aOptions,
                    EntryHostId("e1"),
                    aPlanner.Plan({ .registry = aFleet.registry,
                                    .budgets = aFleet.budgets,
                                    .lastMaintained = never,
                                    .policy = {},
                                    .cycleTime = kEstimatedCycleTime,
                                    .now = Time(0) }));
  const Time limit = Time(0) + Duration::Seconds(30 * 24 * 3600);
  Time now;
  for (int step = 1; now < limit && !runner.IsFinished(); ++step) {
    now = now + kTickStep;
    if (aRestartEvery > 0 && step % aRestartEvery == 0) {
      runner = WaveRunner(aOptions, EntryHostId("e1"), runner.State());
      aFleet.Restart(runner, now);
    }
    aFleet.Step(runner, now);
  }
  WaveOutcome outcome;
  outcome.rollOut = now - Time(0);
  outcome.budgetViolations = aFleet.budgetViolations;
  outcome.drains = aFleet.drains;
  outcome.isFinished = runner.IsFinished();
  for (const auto& [host, progress] : runner.State().hosts) {
    outcome.done += progress.phase == HostPhase::Done ? 1 : 0;
    outcome.failed += progress.phase == HostPhase::Failed ? 1 : 0;
  }
  return outcome;
}

} // namespace greengage::fleet::test

#endif // GREENGAGE_FLEET_UNITTESTS_FAKEFLEET_H
