#include "../benchmarks/HotspotWorkload.h"

#include "greengage/dispatch/GrantLedger.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <random>
#include <string>

using namespace greengage;
using namespace greengage::dispatch;

namespace {

const TeamId kTeam("caxias/plan");
constexpr std::size_t kHosts = 4;

/// Message loss and duplication in thousandths, and the greatest delay.
struct NetworkFaults
{
  unsigned lost = 0;
  unsigned repeated = 0;
  std::int64_t maxDelayMs = 5;
};

/// Simulates the fault of a ledger that uses its full quota after a restart, as
/// if it had never lent any slots.
class RestartWithoutRecovery
{
public:
  static void ReportNoGrants(GrantLedger& aLedger,
                             const std::vector<EntryHostId>& aMembers,
                             Incarnation aIncarnation)
  {
    for (const EntryHostId& peer : aMembers) {
      GrantReport report;
      report.receiver = aIncarnation;
      report.isBalanceKnown = true;
      report.isComplete = true;
      aLedger.ApplyReport({ .peer = peer, .report = report }, Time(0));
    }
  }
};

/// Several ledgers connected by a network that loses, duplicates, reorders and
/// delays messages, and that can be partitioned.
class Network
{
public:
  Network(std::uint64_t aSeed, NetworkFaults aFaults)
    : random(aSeed)
    , faults(aFaults)
  {
    for (std::size_t host = 0; host < kHosts; ++host)
      members.emplace_back("e" + std::to_string(host));
    hosts.resize(kHosts);
    for (std::size_t host = 0; host < kHosts; ++host)
      Restart(host);
  }

  void Restart(std::size_t aHost)
  {
    Host& host = hosts[aHost];
    const Incarnation incarnation(++lastIncarnation);
    host.ledger = std::make_unique<GrantLedger>(GrantOptions{
      .self = members[aHost], .members = members, .incarnation = incarnation });
    host.waiting = 0;
    ApplyLimit(aHost, host.version == 0 ? 1 : host.version, host.limit);
    if (skipsRecovery)
      RestartWithoutRecovery::ReportNoGrants(
        *host.ledger, members, incarnation);
  }

  void ApplyLimit(std::size_t aHost,
                  std::uint64_t aVersion,
                  std::int64_t aLimit)
  {
    state::FleetView view;
    view.version = Version(aVersion);
    view.teams[kTeam] = { .share = 1, .limit = Slots(aLimit), .maxQueued = 9 };
    hosts[aHost].version = aVersion;
    hosts[aHost].limit = aLimit;
    hosts[aHost].ledger->Update(view);
  }

  /// Simulates 25 ms: delivers messages, ends and starts requests, sends
  /// reports.
  void Step()
  {
    now = now + Duration(25);
    Deliver();
    for (std::size_t index = 0; index < kHosts; ++index) {
      Host& host = hosts[index];
      const auto running = host.ledger->Running(kTeam).Count();
      for (std::int64_t each = 0; each < running; ++each)
        if (random() % 1000 < endsPerMille)
          host.ledger->Release(kTeam);
      while (host.waiting > 0 && host.ledger->TryAcquire(kTeam)) {
        --host.waiting;
        ++started;
        peakRunning = std::max(peakRunning, TotalRunning());
      }
      host.ledger->SetWaiting(kTeam, host.waiting);
      for (SendGrants& report : host.ledger->TakeDueReports(now))
        Send(index, std::move(report));
    }
  }

  void Advance(Duration aSpan)
  {
    for (const Time end = now + aSpan; now < end;)
      Step();
  }

  std::int64_t TotalRunning() const
  {
    std::int64_t total = 0;
    for (const Host& host : hosts)
      total += host.ledger->Running(kTeam).Count();
    return total;
  }
  std::int64_t TotalHolding() const
  {
    std::int64_t total = 0;
    for (const Host& host : hosts)
      total += host.ledger->Holding(kTeam).Count();
    return total;
  }
  std::int64_t HoldingOf(std::size_t aHost) const
  {
    return hosts[aHost].ledger->Holding(kTeam).Count();
  }
  std::uint64_t OldestVersion() const
  {
    std::uint64_t oldest = hosts[0].version;
    for (const Host& host : hosts)
      oldest = std::min(oldest, host.version);
    return oldest;
  }

  struct Host
  {
    std::unique_ptr<GrantLedger> ledger;
    std::uint64_t version = 0;
    std::int64_t limit = 40;
    std::size_t waiting = 0;
  };
  struct InFlightMessage
  {
    Time arrival;
    std::size_t to = 0;
    PeerGrants report;
  };

  void Send(std::size_t aFrom, SendGrants&& aReport)
  {
    const auto member = std::find(members.begin(), members.end(), aReport.peer);
    const auto to = static_cast<std::size_t>(member - members.begin());
    if (isCut[aFrom] != isCut[to] || random() % 1000 < faults.lost)
      return;
    const int copies = random() % 1000 < faults.repeated ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
      inFlight.push_back(
        { .arrival = now + Duration(static_cast<std::int64_t>(
                             random() % (faults.maxDelayMs + 1))),
          .to = to,
          .report = { .peer = members[aFrom], .report = aReport.report } });
  }

  void Deliver()
  {
    std::vector<InFlightMessage> stillInFlight;
    std::vector<InFlightMessage> arrived;
    for (InFlightMessage& message : inFlight)
      (message.arrival <= now ? arrived : stillInFlight)
        .push_back(std::move(message));
    inFlight = std::move(stillInFlight);
    for (const InFlightMessage& message : arrived)
      hosts[message.to].ledger->ApplyReport(message.report, now);
  }

  std::mt19937_64 random;
  NetworkFaults faults;
  std::vector<EntryHostId> members;
  std::vector<Host> hosts;
  std::vector<InFlightMessage> inFlight;
  std::array<bool, kHosts> isCut{};
  Time now{ 1000 };
  std::uint64_t lastIncarnation = 0;
  unsigned endsPerMille = 100;
  std::int64_t started = 0;
  std::int64_t peakRunning = 0;
  bool skipsRecovery = false;
};

constexpr NetworkFaults kSevereFaults{ .lost = 200,
                                       .repeated = 200,
                                       .maxDelayMs = 900 };

/// Runs 150 s with demand that moves between hosts, partitions and restarts.
/// \returns the largest total of the slots held by all hosts.
std::int64_t
RunWithFaults(Network& aNetwork)
{
  std::int64_t largest = 0;
  for (int step = 0; step < 6000; ++step) {
    auto& random = aNetwork.random;
    const std::size_t host = random() % kHosts;
    if (random() % 40 == 0)
      aNetwork.hosts[host].waiting = random() % 60;
    if (random() % 200 == 0)
      aNetwork.isCut[host] = random() % 3 == 0;
    if (random() % 300 == 0)
      aNetwork.Restart(host);
    aNetwork.Step();
    largest = std::max(largest, aNetwork.TotalHolding());
  }
  return largest;
}

} // namespace

TEST_CASE("slots held never exceed the limit under network faults and restarts")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Network network(seed, kSevereFaults);
    REQUIRE(RunWithFaults(network) <= 40);
    REQUIRE(network.peakRunning <= 40);
    REQUIRE(network.started > 1000);
  }
}

TEST_CASE(
  "the checks detect a restarted host that ignores the slots it has lent")
{
  int caught = 0;
  CAPTURE(caught);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Network network(seed, kSevereFaults);
    network.skipsRecovery = true;
    caught += RunWithFaults(network) > 40 && network.peakRunning > 40 ? 1 : 0;
  }
  REQUIRE(caught >= 10);
}

/// The limit in a version; it rises and falls between 10 and 69.
static std::int64_t
LimitAt(std::uint64_t aVersion)
{
  return aVersion == 1 ? 40
                       : 10 + static_cast<std::int64_t>(aVersion * 37 % 60);
}

/// The greatest limit that any host may still have in force: that of the oldest
/// version on any host, or of any later one.
static std::int64_t
MaxLimitInForce(const Network& aNetwork, std::uint64_t aNewest)
{
  std::int64_t greatest = 0;
  for (auto version = aNetwork.OldestVersion(); version <= aNewest; ++version)
    greatest = std::max(greatest, LimitAt(version));
  return greatest;
}

TEST_CASE("slots held stay within the limits in force while limits change")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Network network(seed, kSevereFaults);
    std::uint64_t version = 1;
    int exact = 0;
    for (int step = 0; step < 6000; ++step) {
      auto& random = network.random;
      const std::size_t host = random() % kHosts;
      if (random() % 40 == 0)
        network.hosts[host].waiting = random() % 60;
      if (random() % 400 == 0)
        network.Restart(host);
      if (random() % 200 == 0)
        network.isCut[host] = random() % 3 == 0;
      // Hosts apply versions at different times and may skip some.
      if (random() % 100 == 0)
        ++version;
      if (random() % 20 == 0 && network.hosts[host].version < version)
        network.ApplyLimit(host, version, LimitAt(version));
      network.Step();
      REQUIRE(network.TotalHolding() <= MaxLimitInForce(network, version));
      exact += network.OldestVersion() == version ? 1 : 0;
    }
    // All hosts often had the newest version, so that only its limit applied.
    REQUIRE(exact > 500);
  }
}

TEST_CASE("transfers in lost reports complete when the network recovers")
{
  Network network(1, {});
  network.Advance(Duration::Seconds(2));
  REQUIRE(network.TotalHolding() == 40);
  network.faults.lost = 900;
  for (int turn = 0; turn < 20; ++turn) {
    network.hosts[turn % kHosts].waiting = 50;
    network.Advance(Duration::Seconds(1));
  }
  network.faults.lost = 0;
  network.Advance(Duration::Seconds(5));
  REQUIRE(network.TotalHolding() == 40);
}

TEST_CASE("a host with demand gets the slots that idle hosts don't need")
{
  Network network(1, {});
  network.Advance(Duration::Seconds(2));
  network.hosts[2].waiting = 1000;
  network.Advance(Duration::Seconds(1));
  // All slots but the reserves of three hosts with a quota of 10 each.
  REQUIRE(network.HoldingOf(2) == 40 - 3 * 2);
}

TEST_CASE("two hosts with demand split the limit and neither is starved")
{
  Network network(1, {});
  network.Advance(Duration::Seconds(2));
  network.hosts[0].waiting = 100000;
  network.Advance(Duration::Seconds(2));
  network.hosts[1].waiting = 100000;
  network.Advance(Duration::Seconds(5));
  // An even split of 40 slots less the idle hosts' reserves of 2 is 18 each.
  REQUIRE(network.HoldingOf(0) >= 14);
  REQUIRE(network.HoldingOf(1) >= 14);
}

TEST_CASE("a smaller limit holds at once without messages between the hosts")
{
  Network network(1, {});
  network.Advance(Duration::Seconds(2));
  network.hosts[2].waiting = 1000;
  network.Advance(Duration::Seconds(2));
  network.isCut = { true, false, false, false };
  for (std::size_t host = 0; host < kHosts; ++host)
    network.ApplyLimit(host, 2, 12);
  REQUIRE(network.TotalHolding() <= 12);
  network.isCut = {};
  network.Advance(Duration::Seconds(5));
  REQUIRE(network.TotalHolding() == 12);
}

TEST_CASE(
  "a restarted host uses its reserve and grants until all peers have answered")
{
  Network network(1, {});
  network.Advance(Duration::Seconds(2));
  network.isCut = { true, false, false, false };
  network.Restart(1);
  network.Advance(Duration::Seconds(2));
  REQUIRE(network.HoldingOf(1) == 2);
  network.hosts[1].waiting = 1000;
  network.Advance(Duration::Seconds(2));
  // The two peers that have answered lend their quotas of 10 less their
  // reserves of 2.
  REQUIRE(network.HoldingOf(1) >= 2 + 8 + 8);
  network.isCut = {};
  network.hosts[1].waiting = 0;
  network.Advance(Duration::Seconds(5));
  REQUIRE(network.hosts[1].ledger->AreBalancesKnown());
  REQUIRE(network.TotalHolding() == 40);
}

TEST_CASE("idle hosts with known balances send no reports")
{
  Network network(1, {});
  network.Advance(Duration::Seconds(5));
  for (auto& host : network.hosts)
    REQUIRE(
      host.ledger->TakeDueReports(network.now + Duration::Seconds(9)).empty());
}

TEST_CASE("grants at least double the utilization of a static split")
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    const HotspotResult split = HotspotWorkload(seed).RunSplit();
    const HotspotResult grants = HotspotWorkload(seed).RunGrants();
    REQUIRE(grants.utilization >= 2 * split.utilization);
    REQUIRE(grants.overshoot <= 0);
  }
}
