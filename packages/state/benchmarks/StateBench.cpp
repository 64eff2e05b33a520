// Cost of changes of the agreed state: by the number of teams, at the size to
// design for, and on a replay after a restart.

#include "greengage/state/CommandCodec.h"
#include "greengage/state/FleetStateMachine.h"

#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>
#include <vector>

using namespace greengage;
using namespace greengage::state;

static constexpr int kTeams = 330;
static constexpr int kPools = 26;
static constexpr int kReplayed = 1000;

static SettingsTree
TreeOf(std::int64_t aTeams, std::int64_t aPools)
{
  SettingsTree tree;
  const std::string digest =
    KeyDigest::Compute("secret", "0123456789abcdef").ToString();
  tree.Set("", "limit", "64");
  tree.Set("operators/night", "key.op1", digest);
  for (std::int64_t team = 0; team < aTeams; ++team) {
    const std::string number = std::to_string(team);
    const std::string branch =
      "teams/group" + std::to_string(team % 10) + "/team" + number;
    tree.Set(branch, "share", "2");
    tree.Set(branch, "key.a" + number, digest);
    tree.Set(branch, "key.b" + number, digest);
  }
  for (std::int64_t pool = 0; pool < aPools; ++pool)
    tree.Set("pools/pool" + std::to_string(pool), "budget.pool", "2");
  return tree;
}

static std::string
ChangeBytes(std::uint64_t aNumber)
{
  const std::string team = std::to_string(aNumber % kTeams);
  return EncodeCommand(
    { { OperatorId("night"),
        ChangeId("change-" + std::to_string(aNumber)),
        "127.0.0.1",
        Time(static_cast<std::int64_t>(aNumber)) },
      ChangeSettings{
        Version(aNumber),
        { { "teams/group" + std::to_string(aNumber % kTeams % 10) + "/team" +
              team,
            "limit",
            std::to_string(aNumber % 100) } } } });
}

static void
Begin(FleetStateMachine& aMachine, std::int64_t aTeams, std::int64_t aPools)
{
  const Origin origin{ OperatorId("file"), ChangeId("b"), "", Time(0) };
  aMachine.Apply(
    LogIndex(1),
    EncodeCommand({ origin, Bootstrap{ TreeOf(aTeams, aPools) } }));
}

static void
BuildView(benchmark::State& aState)
{
  const SettingsTree tree = TreeOf(aState.range(0), kPools);
  Error reason;
  for (auto _ : aState) {
    const auto view = BuildFleetView(tree, Version(1), reason);
    if (!view)
      aState.SkipWithError(reason.detail.c_str());
    benchmark::DoNotOptimize(view);
  }
  aState.SetComplexityN(aState.range(0));
}
BENCHMARK(BuildView)
  ->RangeMultiplier(2)
  ->Range(kTeams / 4, kTeams * 4)
  ->Complexity(benchmark::oN)
  ->Unit(benchmark::kMicrosecond);

static void
ApplyChange(benchmark::State& aState)
{
  FleetStateMachine machine;
  Begin(machine, kTeams, kPools);
  std::uint64_t number = 0;
  for (auto _ : aState) {
    ++number;
    benchmark::DoNotOptimize(
      machine.Apply(LogIndex(number + 1), ChangeBytes(number)));
  }
  if (machine.State().CurrentVersion() != Version(number + 1))
    aState.SkipWithError("a change was refused");
}
BENCHMARK(ApplyChange)->Unit(benchmark::kMicrosecond);

/// As on a running host, where each version is handed to the request path.
static void
ApplyAndPublish(benchmark::State& aState)
{
  FleetStateMachine machine;
  Begin(machine, kTeams, kPools);
  std::uint64_t number = 0;
  for (auto _ : aState) {
    ++number;
    machine.Apply(LogIndex(number + 1), ChangeBytes(number));
    benchmark::DoNotOptimize(machine.State().View());
  }
}
BENCHMARK(ApplyAndPublish)->Unit(benchmark::kMicrosecond);

static void
ReplayChanges(benchmark::State& aState)
{
  std::vector<std::string> commands;
  for (std::uint64_t number = 1; number <= kReplayed; ++number)
    commands.push_back(ChangeBytes(number));
  for (auto _ : aState) {
    FleetStateMachine machine;
    Begin(machine, kTeams, kPools);
    std::uint64_t index = 1;
    for (const std::string& command : commands)
      machine.Apply(LogIndex(++index), command);
    if (machine.State().CurrentVersion() != Version(kReplayed + 1))
      aState.SkipWithError("a change was refused");
  }
  aState.SetItemsProcessed(aState.iterations() * kReplayed);
}
BENCHMARK(ReplayChanges)->Unit(benchmark::kMillisecond);

static void
RestoreSnapshot(benchmark::State& aState)
{
  FleetStateMachine machine;
  Begin(machine, kTeams, kPools);
  for (std::uint64_t number = 1; number <= kReplayed; ++number)
    machine.Apply(LogIndex(number + 1), ChangeBytes(number));
  const std::string bytes = machine.Snapshot();
  Error reason;
  for (auto _ : aState) {
    FleetStateMachine other;
    if (!other.Restore(bytes, reason))
      aState.SkipWithError(reason.detail.c_str());
  }
  aState.counters["bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(RestoreSnapshot)->Unit(benchmark::kMillisecond);
