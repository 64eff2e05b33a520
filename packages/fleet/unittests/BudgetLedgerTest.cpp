#include "greengage/fleet/BudgetLedger.h"
#include "greengage/fleet/BudgetSnapshot.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <set>

using namespace greengage;
using namespace greengage::fleet;

namespace {

const EntryHostId kEntryHost("e1");
const PoolId kLines("lines");
const PoolId kSort("sort");

AvailabilityZoneId
Zone(int aNumber)
{
  return AvailabilityZoneId("z" + std::to_string(aNumber));
}

/// Builds a registry of three zones with two racks of four hosts each, named
/// "z<zone>r<rack>h<0..3>". Even hosts belong to pool "lines", odd hosts to
/// pool "sort".
PoolRegistry
SmallFleet()
{
  PoolRegistry registry;
  Error reason;
  for (int i = 0; i < 24; ++i) {
    const int zone = i / 8;
    const int rack = i / 4 % 2;
    const std::string name = "z" + std::to_string(zone) + "r" +
                             std::to_string(rack) + "h" + std::to_string(i % 4);
    const Placement place{ Zone(zone), RackId("r" + std::to_string(rack)) };
    REQUIRE(registry.Apply(
      AddHost{ HostId(name), place, i % 2 == 0 ? kLines : kSort, Time(0) },
      reason));
  }
  return registry;
}

/// A BudgetLedger for the small fleet, with small budgets. Checks that rejected
/// commands leave the state unchanged.
struct BudgetLedgerFixture
{
  BudgetLedgerFixture()
  {
    Budgets budgets;
    budgets.defaultPool = Hosts(3);
    budgets.defaultZone = Hosts(4);
    budgets.defaultRack = Hosts(2);
    RequireApplied(SetBudgets{ budgets });
  }

  bool Apply(const BudgetCommand& aCommand)
  {
    rejection = {};
    const BudgetState before = ledger.State();
    const bool accepted = ledger.Apply(aCommand, registry, rejection);
    REQUIRE((accepted || ledger.State() == before));
    return accepted;
  }
  void RequireApplied(const BudgetCommand& aCommand)
  {
    REQUIRE(Apply(aCommand));
  }
  bool Grant(const std::string& aHost, Time aNow = Time(0))
  {
    return Apply(
      AcquireGrant{ HostId(aHost), kEntryHost, aNow, aNow + Duration(100) });
  }
  bool Confirm(const std::string& aHost, Time aNow = Time(0))
  {
    return Apply(ConfirmDrain{ HostId(aHost), kEntryHost, aNow });
  }
  DenialKind FirstDenial() const
  {
    REQUIRE_FALSE(rejection.denials.empty());
    return rejection.denials.front().kind;
  }

  PoolRegistry registry = SmallFleet();
  BudgetLedger ledger;
  BudgetRejection rejection;
};

} // namespace

TEST_CASE("Failures and grants use the same budgets, and denials report both")
{
  BudgetLedgerFixture fleet;
  fleet.RequireApplied(MarkFailed{ HostId("z0r0h0") });
  fleet.RequireApplied(MarkFailed{ HostId("z0r0h1") });
  CHECK_FALSE(fleet.Grant("z0r0h2"));
  CHECK(fleet.FirstDenial() == DenialKind::RackBudgetSpent);
  CHECK(fleet.rejection.denials[0].spent.failed == Hosts(2));
  CHECK(Describe(fleet.rejection.denials[0]) ==
        "the budget of rack \"z0/r0\" is spent: 2 may be down, 2 failed");
  REQUIRE(fleet.Grant("z0r1h0"));
  REQUIRE(fleet.Grant("z1r0h0"));
  CHECK_FALSE(fleet.Grant("z2r0h0"));
  CHECK(fleet.FirstDenial() == DenialKind::PoolBudgetSpent);
  CHECK(fleet.rejection.denials[0].spent.granted == Hosts(2));
  REQUIRE(fleet.Grant("z0r1h1"));
  CHECK_FALSE(fleet.Grant("z0r1h3"));
  CHECK(fleet.rejection.denials.size() == 2);
  fleet.RequireApplied(MarkRecovered{ HostId("z0r0h0") });
  CHECK(fleet.Grant("z2r0h0"));
}

TEST_CASE(
  "The budgets are checked again when the drain of a granted host begins")
{
  BudgetLedgerFixture fleet;
  SECTION("other hosts have failed since the grant: the drain is denied")
  {
    REQUIRE(fleet.Grant("z0r0h0"));
    for (const char* host : { "z1r0h0", "z1r0h1", "z1r0h2", "z1r0h3" }) {
      fleet.RequireApplied(MarkFailed{ HostId(host) });
    }
    fleet.RequireApplied(MarkFailed{ HostId("z2r0h0") });
    CHECK_FALSE(fleet.Confirm("z0r0h0"));
    CHECK(fleet.FirstDenial() == DenialKind::PoolBudgetSpent);
  }
  SECTION("the grant has expired: the drain is denied, another grant succeeds")
  {
    REQUIRE(fleet.Grant("z0r0h0"));
    CHECK_FALSE(fleet.Confirm("z0r0h0", Time(100)));
    CHECK(fleet.FirstDenial() == DenialKind::GrantExpired);
    CHECK(fleet.Grant("z0r0h1", Time(100)));
  }
  SECTION("the grant is valid: the drain begins, and a repeat has no effect")
  {
    REQUIRE(fleet.Grant("z0r0h0"));
    REQUIRE(fleet.Confirm("z0r0h0", Time(99)));
    CHECK(fleet.Confirm("z0r0h0", Time(500)));
    CHECK_FALSE(fleet.Grant("z0r0h0", Time(500)));
    CHECK(fleet.FirstDenial() == DenialKind::HostClaimed);
  }
  SECTION("there is no grant: the drain is denied")
  {
    CHECK_FALSE(fleet.Confirm("z0r0h0"));
    CHECK(fleet.FirstDenial() == DenialKind::NoGrant);
  }
}

TEST_CASE("Hosts that fail in maintenance and hosts that move count once")
{
  BudgetLedgerFixture fleet;
  REQUIRE(fleet.Grant("z0r0h0"));
  REQUIRE(fleet.Confirm("z0r0h0"));
  fleet.RequireApplied(MarkFailed{ HostId("z0r0h0") });
  REQUIRE(fleet.Grant("z1r0h0"));
  Error reason;
  const HostId movingHost("z1r1h0");
  REQUIRE(
    fleet.registry.Apply(BeginMove{ movingHost,
                                    kLines,
                                    kSort,
                                    fleet.registry.Find(movingHost)->epoch,
                                    Time(0) },
                         reason));
  CHECK_FALSE(fleet.Grant("z1r1h0"));
  CHECK(fleet.FirstDenial() == DenialKind::HostMoving);
  CHECK_FALSE(fleet.Grant("z2r0h0"));
  const DownCounts spent = fleet.rejection.denials[0].spent;
  CHECK(spent == DownCounts{ .failed = Hosts(1),
                             .inMaintenance = Hosts(0),
                             .watched = Hosts(0),
                             .granted = Hosts(1),
                             .moving = Hosts(1) });
}

TEST_CASE(
  "Every host is listed as eligible for takedown or with reasons for denial")
{
  BudgetLedgerFixture fleet;
  for (const char* host : { "z0r0h0", "z0r0h1" }) {
    fleet.RequireApplied(MarkFailed{ HostId(host) });
  }
  REQUIRE(fleet.Grant("z1r0h0"));
  int eligibleCount = 0;
  for (const TakedownEligibility& result :
       CheckTakedownOfAll(fleet.registry, fleet.ledger, Time(1))) {
    CAPTURE(result.host.Value());
    eligibleCount += result.denials.empty() ? 1 : 0;
    const bool inFailedRack = result.host.Value().rfind("z0r0", 0) == 0;
    const bool isFailed =
      result.host.Value() == "z0r0h0" || result.host.Value() == "z0r0h1";
    const bool isGranted = result.host == HostId("z1r0h0");
    CHECK(result.denials.empty() ==
          ((!inFailedRack || isFailed) && !isGranted));
  }
  // Of the 24 hosts, two are up in the rack whose budget is exhausted by failed
  // hosts, and one has a grant.
  CHECK(eligibleCount == 21);
}

TEST_CASE("Only the holder of a zone's quota can use or transfer it")
{
  BudgetLedgerFixture fleet;
  const ZoneQuotaKey firstQuota(kLines, Zone(0));
  const ZoneQuotaKey secondQuota(kLines, Zone(1));
  const EntryHostId otherHolder("e2");
  fleet.RequireApplied(
    SetZoneQuota{ firstQuota, { kEntryHost, Hosts(2) }, std::nullopt });
  fleet.RequireApplied(
    SetZoneQuota{ secondQuota, { otherHolder, Hosts(1) }, std::nullopt });
  CHECK_FALSE(fleet.Apply(SetZoneQuota{
    { kLines, Zone(2) }, { otherHolder, Hosts(1) }, std::nullopt }));
  CHECK(fleet.rejection.error.kind == ErrorKind::LimitReached);
  CHECK_FALSE(fleet.Apply(
    SetZoneQuota{ firstQuota, { otherHolder, Hosts(2) }, std::nullopt }));
  CHECK(fleet.rejection.error.kind == ErrorKind::Conflict);
  CHECK_FALSE(fleet.Grant("z1r0h0"));
  CHECK(fleet.FirstDenial() == DenialKind::NotQuotaHolder);
  CHECK_FALSE(fleet.Grant("z2r0h0"));
  CHECK(fleet.FirstDenial() == DenialKind::ZoneQuotaSpent);
  REQUIRE(fleet.Grant("z0r0h0"));
  CHECK_FALSE(
    fleet.Apply(TransferQuota{ firstQuota, Zone(1), Hosts(1), otherHolder }));
  CHECK_FALSE(
    fleet.Apply(TransferQuota{ firstQuota, Zone(1), Hosts(2), kEntryHost }));
  fleet.RequireApplied(
    TransferQuota{ firstQuota, Zone(1), Hosts(1), kEntryHost });
  CHECK_FALSE(fleet.Grant("z0r1h0"));
  const BudgetSnapshot snapshot(fleet.registry, fleet.ledger, Time(0));
  CHECK(snapshot.CheckIsolatedTakedown(HostId("z1r0h0"), otherHolder).empty());
  CHECK_FALSE(
    snapshot.CheckIsolatedTakedown(HostId("z0r1h0"), kEntryHost).empty());
  CHECK_FALSE(
    snapshot.CheckIsolatedTakedown(HostId("z0r0h1"), kEntryHost).empty());
}

namespace {

/// Simulates three zones with one quota holder each, whose partitions begin and
/// end at random. A holder works on its own copy of the budget state and counts
/// its proposals there before they are committed. After a partition it submits
/// the commands that it executed while isolated.
class PartitionModel
{
public:
  explicit PartitionModel(unsigned aSeed)
    : random_(aSeed)
  {
    Budgets budgets;
    budgets.defaultPool = kPoolBudget;
    ApplyReplicated(SetBudgets{ budgets });
    for (int i = 0; i < kZones; ++i) {
      ApplyReplicated(
        SetZoneQuota{ KeyOf(i), { HolderOf(i), Hosts(i + 1) }, std::nullopt });
    }
    for (QuotaHolder& holder : holders_) {
      holder.localLedger = replicatedLedger_;
    }
  }

  void Step()
  {
    const int zone = static_cast<int>(RandomBelow(kZones));
    QuotaHolder& holder = holders_[zone];
    switch (RandomBelow(6)) {
      case 0:
        holder.isPartitioned ? Rejoin(holder)
                             : void(holder.isPartitioned = true);
        break;
      case 1:
        CommitPending(holder);
        break;
      case 2:
        ProposeTransfer(zone, holder);
        break;
      case 3:
        FinishMaintenance(zone, holder);
        break;
      default:
        holder.isPartitioned ? TakeDownIsolated(zone, holder)
                             : ProposeTakedown(zone, holder);
        break;
    }
    REQUIRE(Hosts(static_cast<std::int64_t>(down_.size())) <= kPoolBudget);
  }

  std::size_t MaxDown() const { return maxDown_; }

private:
  static constexpr int kZones = 3;
  static constexpr Hosts kPoolBudget = Hosts(6);
  struct QuotaHolder
  {
    bool isPartitioned = false;
    BudgetLedger localLedger;
    std::vector<BudgetCommand> pendingCommands;
    std::vector<BudgetCommand> isolatedCommands;
  };

  std::size_t RandomBelow(std::size_t aBound) { return random_() % aBound; }
  static ZoneQuotaKey KeyOf(int aZone) { return { kLines, Zone(aZone) }; }
  static EntryHostId HolderOf(int aZone)
  {
    return EntryHostId("e" + std::to_string(aZone));
  }
  /// Returns a host of pool "lines", whose hosts have even numbers.
  HostId RandomHost(int aZone)
  {
    return HostId("z" + std::to_string(aZone) + "r" +
                  std::to_string(RandomBelow(2)) + "h" +
                  std::to_string(2 * RandomBelow(2)));
  }
  bool ApplyReplicated(const BudgetCommand& aCommand)
  {
    BudgetRejection rejection;
    return replicatedLedger_.Apply(aCommand, registry_, rejection);
  }
  void RecordDown(const HostId& aHost)
  {
    down_.insert(aHost);
    maxDown_ = std::max(maxDown_, down_.size());
  }

  /// Applies a holder's proposals to the replicated state, possibly long after
  /// the holder was partitioned.
  void CommitPending(QuotaHolder& aHolder)
  {
    for (const BudgetCommand& command : aHolder.pendingCommands) {
      const auto* confirm = std::get_if<ConfirmDrain>(&command);
      if (ApplyReplicated(command) && confirm) {
        RecordDown(confirm->host);
      }
    }
    aHolder.pendingCommands.clear();
    if (!aHolder.isPartitioned) {
      aHolder.localLedger = replicatedLedger_;
    }
  }

  void Rejoin(QuotaHolder& aHolder)
  {
    CommitPending(aHolder);
    for (const BudgetCommand& command : aHolder.isolatedCommands) {
      REQUIRE(ApplyReplicated(command));
    }
    aHolder.isolatedCommands.clear();
    aHolder.isPartitioned = false;
    aHolder.localLedger = replicatedLedger_;
  }

  void Propose(QuotaHolder& aHolder, const BudgetCommand& aCommand)
  {
    BudgetRejection rejection;
    if (aHolder.localLedger.Apply(aCommand, registry_, rejection)) {
      aHolder.pendingCommands.push_back(aCommand);
    }
  }

  void ProposeTakedown(int aZone, QuotaHolder& aHolder)
  {
    if (!aHolder.pendingCommands.empty()) {
      return;
    }
    const HostId host = RandomHost(aZone);
    const EntryHostId by = HolderOf(aZone);
    Propose(aHolder, AcquireGrant{ host, by, Time(0), Time(1) });
    Propose(aHolder, ConfirmDrain{ host, by, Time(0) });
  }

  void ProposeTransfer(int aZone, QuotaHolder& aHolder)
  {
    const int to = (aZone + 1) % kZones;
    if (!aHolder.isPartitioned && aHolder.pendingCommands.empty()) {
      Propose(
        aHolder,
        TransferQuota{ KeyOf(aZone), Zone(to), Hosts(1), HolderOf(aZone) });
    }
  }

  void TakeDownIsolated(int aZone, QuotaHolder& aHolder)
  {
    const HostId host = RandomHost(aZone);
    const BudgetSnapshot snapshot(registry_, aHolder.localLedger, Time(0));
    const DownRecord* record = aHolder.localLedger.Find(host);
    if (record ||
        !snapshot.CheckIsolatedTakedown(host, HolderOf(aZone)).empty()) {
      return;
    }
    BudgetRejection rejection;
    const RecordIsolatedTakedown takedown{ host, HolderOf(aZone) };
    REQUIRE(aHolder.localLedger.Apply(takedown, registry_, rejection));
    aHolder.isolatedCommands.emplace_back(takedown);
    RecordDown(host);
  }

  void FinishMaintenance(int aZone, QuotaHolder& aHolder)
  {
    const HostId host = RandomHost(aZone);
    if (!down_.contains(host) || !aHolder.pendingCommands.empty()) {
      return;
    }
    BudgetRejection rejection;
    const EndClaim end{ host };
    aHolder.localLedger.Apply(end, registry_, rejection);
    if (aHolder.isPartitioned) {
      aHolder.isolatedCommands.emplace_back(end);
    } else {
      ApplyReplicated(end);
      aHolder.localLedger = replicatedLedger_;
    }
    down_.erase(host);
  }

  std::mt19937 random_;
  PoolRegistry registry_ = SmallFleet();
  BudgetLedger replicatedLedger_;
  std::array<QuotaHolder, kZones> holders_;
  std::set<HostId> down_;
  std::size_t maxDown_ = 0;
};

} // namespace

TEST_CASE("Partitioned zones together never exceed the pool's budget")
{
  const unsigned seed = GENERATE(range(1U, 21U));
  CAPTURE(seed);
  PartitionModel model(seed);
  for (int i = 0; i < 5000; ++i) {
    model.Step();
  }
  // Each run must use the whole pool budget; otherwise it tests no limit.
  CHECK(model.MaxDown() == 6);
}
