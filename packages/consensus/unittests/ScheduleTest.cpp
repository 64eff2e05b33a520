#include "TestNetwork.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace greengage;
using namespace greengage::consensus;
using namespace greengage::consensus::test;

namespace {

/// What random faults a schedule holds, in thousandths a step.
struct Faults
{
  int crashes = 0;
  int lostDisks = 0;
  int freezes = 0;
  int cuts = 0;
  int heals = 0;
  int transfers = 0;
  int removals = 0;
  /// Disks are also lost while others are not yet replaced, but for the last.
  bool losesManyDisks = false;
};

/// One random fault, or none.
void
Disturb(Network& aNetwork, const Faults& aFaults)
{
  const auto pick = [&] {
    return static_cast<std::size_t>(
      aNetwork.Draw(0, static_cast<std::int64_t>(aNetwork.Size()) - 1));
  };
  if (aNetwork.Chance(aFaults.crashes))
    aNetwork.Crash(pick());
  const std::size_t victim = pick();
  const bool maySpareDisk =
    aFaults.losesManyDisks ? victim + 1 < aNetwork.Size() : aNetwork.IsWhole();
  if (aNetwork.Chance(aFaults.lostDisks) && maySpareDisk)
    aNetwork.LoseDisk(victim);
  if (aNetwork.Chance(aFaults.freezes))
    aNetwork.Freeze(pick(), true);
  if (aNetwork.Chance(aFaults.cuts))
    aNetwork.Cut(pick(), pick());
  if (aNetwork.Chance(aFaults.cuts / 4))
    aNetwork.Isolate(pick());
  if (aNetwork.Chance(aFaults.heals))
    aNetwork.Heal();
  const auto leader = aNetwork.Leader();
  if (leader && aNetwork.Chance(aFaults.transfers))
    aNetwork.Handle(*leader, TransferLeadership{});
  if (leader && aNetwork.Chance(aFaults.removals))
    aNetwork.Handle(*leader,
                    ChangeMember{ .id = ProposalId(0),
                                  .member = aNetwork.At(pick()).id,
                                  .isAdded = false });
}

/// Runs \p aSteps steps with proposals at all hosts.
void
RunSchedule(Network& aNetwork, const Faults& aFaults, int aSteps)
{
  for (int step = 0; step < aSteps; ++step) {
    if (!aNetwork.invariants.Violations().empty())
      return;
    Disturb(aNetwork, aFaults);
    for (std::size_t at = 0; at < aNetwork.Size(); ++at) {
      const Node& node = aNetwork.At(at);
      const int chance = aNetwork.IsLeader(at) ? 300 : 5;
      if (node.replica && !node.isFrozen && aNetwork.Chance(chance))
        aNetwork.ProposeAt(at);
    }
    aNetwork.Step();
  }
}

/// Whether, with all faults gone, a new command reaches everyone and all disks
/// vote again.
bool
Recovers(Network& aNetwork)
{
  aNetwork.Heal();
  aNetwork.SetLoss(0, 0, 5);
  const bool isWhole = aNetwork.RunUntil(Duration::Seconds(60),
                                         [&] { return aNetwork.IsWhole(); });
  if (!isWhole)
    return false;
  // A late message of before may end one more leadership, and the proposal
  // that waited there with it.
  constexpr int kTries = 3;
  for (int tries = 0; tries < kTries; ++tries) {
    const auto leader = aNetwork.Leader();
    if (!leader)
      return false;
    const std::string command = aNetwork.ProposeAt(*leader);
    const bool isDone = aNetwork.RunUntil(Duration::Seconds(10), [&] {
      return aNetwork.invariants.IsCommitted(command) &&
             aNetwork.HaveAllDelivered();
    });
    if (isDone)
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

TEST_CASE("no random schedule breaks an invariant or the recovery")
{
  struct Case
  {
    const char* name;
    NetworkOptions network;
    Faults faults;
  };
  const Case cases[] = {
    { "loss and delay",
      { .lostMessages = 100, .doubledMessages = 100, .maxDelay = 60 },
      {} },
    { "crashes",
      { .disks = 3, .learners = 2, .maxWriteDelay = 40 },
      { .crashes = 10, .heals = 10 } },
    { "lost disks",
      { .disks = 3, .lostMessages = 20 },
      { .crashes = 5, .lostDisks = 10, .heals = 10 } },
    { "cuts and freezes",
      { .disks = 5, .doubledMessages = 50 },
      { .freezes = 5, .cuts = 20, .heals = 5 } },
    { "silent voters replaced",
      { .disks = 3,
        .spares = 2,
        .replaceAfter = Duration::Seconds(2),
        .lostMessages = 20 },
      { .crashes = 5, .freezes = 3, .cuts = 10, .heals = 4 } },
    { "members and transfers",
      { .disks = 5, .learners = 1, .lostMessages = 20 },
      { .crashes = 3, .heals = 10, .transfers = 20, .removals = 20 } },
    { "all at once",
      { .disks = 5,
        .learners = 2,
        .lostMessages = 50,
        .doubledMessages = 50,
        .maxDelay = 40,
        .maxWriteDelay = 40 },
      { .crashes = 6,
        .lostDisks = 3,
        .freezes = 4,
        .cuts = 8,
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
      // Every other schedule disturbs the founding too.
      if (seed % 2 == 0)
        REQUIRE(network.RunUntil(Duration::Seconds(60),
                                 [&] { return network.IsWhole(); }));
      RunSchedule(network, item.faults, 3000);
      CAPTURE(network.invariants.Violations());
      CHECK(network.invariants.Violations().empty());
      const bool isRecovered = Recovers(network);
      INFO(network.Describe());
      REQUIRE(isRecovered);
      CAPTURE(network.invariants.Violations());
      REQUIRE(network.invariants.Violations().empty());
      committed += network.invariants.Committed();
      terms += network.invariants.Terms();
    }
    CAPTURE(item.name, committed, terms);
    CHECK(committed > SeedsPerCase() * 100);
    CHECK(terms >= SeedsPerCase());
  }
}

TEST_CASE("many lost disks may stop the log but never change it")
{
  for (std::uint64_t seed = 1; seed <= SeedsPerCase(); ++seed) {
    CAPTURE(seed);
    Network network({ .disks = 3, .seed = seed, .lostMessages = 20 });
    RunSchedule(
      network,
      { .crashes = 5, .lostDisks = 5, .heals = 20, .losesManyDisks = true },
      3000);
    CAPTURE(network.invariants.Violations());
    REQUIRE(network.invariants.Violations().empty());
  }
}

TEST_CASE("the invariant checks notice broken rules")
{
  struct Case
  {
    const char* name;
    BrokenRule rule;
    Faults faults;
  };
  const Case cases[] = {
    { "durable too early",
      BrokenRule::ReportBeforeDurable,
      { .crashes = 20, .cuts = 20, .heals = 40 } },
    { "votes forgotten",
      BrokenRule::ForgetVotes,
      { .crashes = 40, .cuts = 10, .heals = 100 } },
    { "lost disk votes",
      BrokenRule::KeepIncarnation,
      { .crashes = 5, .lostDisks = 10, .heals = 30 } },
  };
  for (const Case& item : cases) {
    CAPTURE(item.name);
    const auto countViolated = [&](BrokenRule aRule) {
      std::size_t violated = 0;
      for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Network network({ .disks = 3,
                          .seed = seed,
                          .brokenRule = aRule,
                          .lostMessages = 50,
                          .maxDelay = 100,
                          .maxWriteDelay = 100,
                          .electionTimeout = Duration(100) });
        RunSchedule(network, item.faults, 5000);
        violated += network.invariants.Violations().empty() ? 0 : 1;
      }
      return violated;
    };
    CHECK(countViolated(item.rule) > 0);
    CHECK(countViolated(BrokenRule::None) == 0);
  }
}
