#include "TestNetwork.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace greengage;
using namespace greengage::consensus;
using namespace greengage::consensus::test;

namespace {

/// The probability of each fault in one step, per mille.
struct FaultRates
{
  int crashes = 0;
  int diskLosses = 0;
  int pauses = 0;
  int linkCuts = 0;
  int heals = 0;
  int transfers = 0;
  int removals = 0;
  /// Allows disk losses before the voters have recovered from earlier ones. The
  /// last host always keeps its disk.
  bool allowsConcurrentDiskLoss = false;
};

/// Injects random faults for one step.
void
InjectFaults(Network& aNetwork, const FaultRates& aRates)
{
  const auto pick = [&] {
    return static_cast<std::size_t>(
      aNetwork.RandomInt(0, static_cast<std::int64_t>(aNetwork.Size()) - 1));
  };
  if (aNetwork.RandomChance(aRates.crashes))
    aNetwork.Crash(pick());
  const std::size_t victim = pick();
  const bool mayLoseDisk = aRates.allowsConcurrentDiskLoss
                             ? victim + 1 < aNetwork.Size()
                             : aNetwork.HasConfiguredVoters();
  if (aNetwork.RandomChance(aRates.diskLosses) && mayLoseDisk)
    aNetwork.LoseDisk(victim);
  if (aNetwork.RandomChance(aRates.pauses))
    aNetwork.SetPaused(pick(), true);
  if (aNetwork.RandomChance(aRates.linkCuts))
    aNetwork.CutLink(pick(), pick());
  if (aNetwork.RandomChance(aRates.linkCuts / 4))
    aNetwork.Isolate(pick());
  if (aNetwork.RandomChance(aRates.heals))
    aNetwork.Heal();
  const auto leader = aNetwork.Leader();
  if (leader && aNetwork.RandomChance(aRates.transfers))
    aNetwork.Handle(*leader, TransferLeadership{});
  if (leader && aNetwork.RandomChance(aRates.removals))
    aNetwork.Handle(*leader,
                    ChangeVoter{ .id = ProposalId(0),
                                 .member = aNetwork.At(pick()).id,
                                 .isAdded = false });
}

/// Runs \p aSteps steps with random faults and random proposals, most of them
/// at the leader.
void
RunSchedule(Network& aNetwork, const FaultRates& aRates, int aSteps)
{
  for (int step = 0; step < aSteps; ++step) {
    if (!aNetwork.invariants.Violations().empty())
      return;
    InjectFaults(aNetwork, aRates);
    for (std::size_t at = 0; at < aNetwork.Size(); ++at) {
      const Node& node = aNetwork.At(at);
      const int chance = aNetwork.IsLeader(at) ? 300 : 5;
      if (node.replica && !node.isPaused && aNetwork.RandomChance(chance))
        aNetwork.ProposeAt(at);
    }
    aNetwork.Step();
  }
}

/// Ends all faults. \returns whether the configuration has the expected voters
/// again and a new command is then delivered on all hosts.
bool
Recovers(Network& aNetwork)
{
  aNetwork.Heal();
  aNetwork.SetMessageFaults(0, 0, 5);
  const bool isConfigured = aNetwork.RunUntil(
    Duration::Seconds(60), [&] { return aNetwork.HasConfiguredVoters(); });
  if (!isConfigured)
    return false;
  // A message that was sent before the faults ended may still depose the
  // leader, which may lose the pending proposal.
  constexpr int kMaxAttempts = 3;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto leader = aNetwork.Leader();
    if (!leader)
      return false;
    const std::string command = aNetwork.ProposeAt(*leader);
    const bool isApplied = aNetwork.RunUntil(Duration::Seconds(10), [&] {
      return aNetwork.invariants.IsCommitted(command) &&
             aNetwork.HaveAllApplied();
    });
    if (isApplied)
      return true;
  }
  return false;
}

std::uint64_t
SeedsPerCase()
{
  const char* text = std::getenv("GREENGAGE_CONSENSUS_SEEDS");
  return text == nullptr ? 12 : std::strtoull(text, nullptr, 10);
}

} // namespace

TEST_CASE("random fault schedules keep all invariants, and the log recovers")
{
  struct Case
  {
    const char* name;
    NetworkOptions network;
    FaultRates faultRates;
  };
  const Case cases[] = {
    { "loss and delay",
      { .lossPermille = 100,
        .duplicationPermille = 100,
        .maxMessageDelayMs = 60 },
      {} },
    { "crashes",
      { .voters = 3, .learners = 2, .maxWriteDelayMs = 40 },
      { .crashes = 10, .heals = 10 } },
    { "lost disks",
      { .voters = 3, .lossPermille = 20 },
      { .crashes = 5, .diskLosses = 10, .heals = 10 } },
    { "lost disks on hosts whose clocks are set back",
      { .voters = 3, .hasUnorderedIncarnations = true, .lossPermille = 20 },
      { .crashes = 5, .diskLosses = 10, .heals = 10 } },
    { "lost disks, cut links and pauses on hosts whose clocks are set back",
      { .voters = 5, .hasUnorderedIncarnations = true, .lossPermille = 20 },
      { .crashes = 5,
        .diskLosses = 5,
        .pauses = 4,
        .linkCuts = 10,
        .heals = 8 } },
    { "cut links and paused hosts",
      { .voters = 5, .duplicationPermille = 50 },
      { .pauses = 5, .linkCuts = 20, .heals = 5 } },
    { "unresponsive voters replaced",
      { .voters = 3,
        .spares = 2,
        .voterReplacementTimeout = Duration::Seconds(2),
        .lossPermille = 20 },
      { .crashes = 5, .pauses = 3, .linkCuts = 10, .heals = 4 } },
    { "lost disks with more voters than the settings name",
      { .voters = 3,
        .spares = 3,
        .voterReplacementTimeout = Duration::Seconds(2),
        .toleratedLosses = 2,
        .zones = 3,
        .lossPermille = 20 },
      { .crashes = 5, .diskLosses = 5, .linkCuts = 5, .heals = 8 } },
    { "configuration changes and transfers",
      { .voters = 5, .learners = 1, .lossPermille = 20 },
      { .crashes = 3, .heals = 10, .transfers = 20, .removals = 20 } },
    { "all faults",
      { .voters = 5,
        .learners = 2,
        .lossPermille = 50,
        .duplicationPermille = 50,
        .maxMessageDelayMs = 40,
        .maxWriteDelayMs = 40 },
      { .crashes = 6,
        .diskLosses = 3,
        .pauses = 4,
        .linkCuts = 8,
        .heals = 8,
        .transfers = 5,
        .removals = 5 } },
  };
  for (const Case& item : cases) {
    std::size_t committed = 0;
    std::size_t terms = 0;
    for (std::uint64_t seed = 1; seed <= SeedsPerCase(); ++seed) {
      CAPTURE(item.name, seed);
      NetworkOptions options = item.network;
      options.seed = seed;
      Network network(options);
      // With odd seeds, faults hit the bootstrap of the log too.
      if (seed % 2 == 0)
        REQUIRE(network.RunUntil(Duration::Seconds(60), [&] {
          return network.HasConfiguredVoters();
        }));
      RunSchedule(network, item.faultRates, 3000);
      CAPTURE(network.invariants.Violations());
      CHECK(network.invariants.Violations().empty());
      const bool isRecovered = Recovers(network);
      INFO(network.Describe());
      REQUIRE(isRecovered);
      CAPTURE(network.invariants.Violations());
      REQUIRE(network.invariants.Violations().empty());
      committed += network.invariants.CommittedCount();
      terms += network.invariants.TermCount();
    }
    CAPTURE(item.name, committed, terms);
    CHECK(committed > SeedsPerCase() * 100);
    CHECK(terms >= SeedsPerCase());
  }
}

TEST_CASE("losing many disks may stop the log but violates no invariant")
{
  for (std::uint64_t seed = 1; seed <= SeedsPerCase(); ++seed) {
    CAPTURE(seed);
    Network network({ .voters = 3, .seed = seed, .lossPermille = 20 });
    RunSchedule(network,
                { .crashes = 5,
                  .diskLosses = 5,
                  .heals = 20,
                  .allowsConcurrentDiskLoss = true },
                3000);
    CAPTURE(network.invariants.Violations());
    REQUIRE(network.invariants.Violations().empty());
  }
}

TEST_CASE("losing many disks while clocks are set back violates no invariant")
{
  for (std::uint64_t seed = 1; seed <= SeedsPerCase(); ++seed) {
    CAPTURE(seed);
    Network network({ .voters = 3,
                      .seed = seed,
                      .hasUnorderedIncarnations = true,
                      .lossPermille = 20 });
    RunSchedule(network,
                { .crashes = 5,
                  .diskLosses = 5,
                  .heals = 20,
                  .allowsConcurrentDiskLoss = true },
                3000);
    CAPTURE(network.invariants.Violations());
    REQUIRE(network.invariants.Violations().empty());
  }
}

TEST_CASE("the invariant checks detect violated rules")
{
  struct Case
  {
    const char* name;
    ViolatedRule rule;
    FaultRates faultRates;
  };
  const Case cases[] = {
    { "write reported durable too early",
      ViolatedRule::ReportBeforeDurable,
      { .crashes = 20, .linkCuts = 20, .heals = 40 } },
    { "hard state lost",
      ViolatedRule::LoseHardState,
      { .crashes = 40, .linkCuts = 10, .heals = 100 } },
    { "incarnation kept after disk loss",
      ViolatedRule::KeepIncarnation,
      { .crashes = 5, .diskLosses = 10, .heals = 30 } },
  };
  for (const Case& item : cases) {
    CAPTURE(item.name);
    const auto countViolatingRuns = [&](ViolatedRule aRule) {
      std::size_t violatingRuns = 0;
      for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Network network({ .voters = 3,
                          .seed = seed,
                          .violatedRule = aRule,
                          .lossPermille = 50,
                          .maxMessageDelayMs = 100,
                          .maxWriteDelayMs = 100,
                          .electionTimeout = Duration(100) });
        RunSchedule(network, item.faultRates, 5000);
        violatingRuns += network.invariants.Violations().empty() ? 0 : 1;
      }
      return violatingRuns;
    };
    CHECK(countViolatingRuns(item.rule) > 0);
    CHECK(countViolatingRuns(ViolatedRule::None) == 0);
  }
}
