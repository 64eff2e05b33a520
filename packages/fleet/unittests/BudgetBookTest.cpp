#include "greengage/fleet/BudgetBook.h"
#include "greengage/fleet/BudgetPicture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <set>

using namespace greengage;
using namespace greengage::fleet;

namespace {

const EntryHostId kDriver("e1");
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

/// A BudgetBook for the small fleet, with small budgets. Checks that rejected
/// commands leave the state unchanged.
struct BookFixture
{
  BookFixture()
  {
    Budgets budgets;
    budgets.defaultPool = Hosts(3);
    budgets.defaultZone = Hosts(4);
    budgets.defaultRack = Hosts(2);
    Must(SetBudgets{ budgets });
  }

  bool Apply(const BudgetCommand& aCommand)
  {
    refusal = {};
    const BudgetState before = book.State();
    const bool accepted = book.Apply(aCommand, registry, refusal);
    REQUIRE((accepted || book.State() == before));
    return accepted;
  }
  void Must(const BudgetCommand& aCommand) { REQUIRE(Apply(aCommand)); }
  bool Grant(const std::string& aHost, Time aNow = Time(0))
  {
    return Apply(
      TakeGrant{ HostId(aHost), kDriver, aNow, aNow + Duration(100) });
  }
  bool Confirm(const std::string& aHost, Time aNow = Time(0))
  {
    return Apply(ConfirmDrain{ HostId(aHost), kDriver, aNow });
  }
  DenialKind FirstDenial() const
  {
    REQUIRE_FALSE(refusal.denials.empty());
    return refusal.denials.front().kind;
  }

  PoolRegistry registry = SmallFleet();
  BudgetBook book;
  BudgetRefusal refusal;
};

} // namespace

TEST_CASE("Failures and grants use the same budgets, and denials report both")
{
  BookFixture fleet;
  fleet.Must(NoteFailed{ HostId("z0r0h0") });
  fleet.Must(NoteFailed{ HostId("z0r0h1") });
  CHECK_FALSE(fleet.Grant("z0r0h2"));
  CHECK(fleet.FirstDenial() == DenialKind::RackBudgetSpent);
  CHECK(fleet.refusal.denials[0].spent.failed == Hosts(2));
  CHECK(Describe(fleet.refusal.denials[0]) ==
        "the budget of rack \"z0/r0\" is spent: 2 may be down, 2 failed");
  REQUIRE(fleet.Grant("z0r1h0"));
  REQUIRE(fleet.Grant("z1r0h0"));
  CHECK_FALSE(fleet.Grant("z2r0h0"));
  CHECK(fleet.FirstDenial() == DenialKind::PoolBudgetSpent);
  CHECK(fleet.refusal.denials[0].spent.granted == Hosts(2));
  REQUIRE(fleet.Grant("z0r1h1"));
  CHECK_FALSE(fleet.Grant("z0r1h3"));
  CHECK(fleet.refusal.denials.size() == 2);
  fleet.Must(NoteRecovered{ HostId("z0r0h0") });
  CHECK(fleet.Grant("z2r0h0"));
}

TEST_CASE(
  "The budgets are checked again when the drain of a granted host begins")
{
  BookFixture fleet;
  SECTION("other hosts have failed since the grant: the drain is denied")
  {
    REQUIRE(fleet.Grant("z0r0h0"));
    for (const char* host : { "z1r0h0", "z1r0h1", "z1r0h2", "z1r0h3" }) {
      fleet.Must(NoteFailed{ HostId(host) });
    }
    fleet.Must(NoteFailed{ HostId("z2r0h0") });
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
  BookFixture fleet;
  REQUIRE(fleet.Grant("z0r0h0"));
  REQUIRE(fleet.Confirm("z0r0h0"));
  fleet.Must(NoteFailed{ HostId("z0r0h0") });
  REQUIRE(fleet.Grant("z1r0h0"));
  Error reason;
  const HostId moving("z1r1h0");
  REQUIRE(fleet.registry.Apply(
    BeginMove{
      moving, kLines, kSort, fleet.registry.Find(moving)->epoch, Time(0) },
    reason));
  CHECK_FALSE(fleet.Grant("z1r1h0"));
  CHECK(fleet.FirstDenial() == DenialKind::HostMoving);
  CHECK_FALSE(fleet.Grant("z2r0h0"));
  const DownCounts spent = fleet.refusal.denials[0].spent;
  CHECK(spent == DownCounts{ .failed = Hosts(1),
                             .inMaintenance = Hosts(0),
                             .watched = Hosts(0),
                             .granted = Hosts(1),
                             .moving = Hosts(1) });
}

TEST_CASE(
  "Each host is reported as free for takedown or with reasons for denial")
{
  BookFixture fleet;
  for (const char* host : { "z0r0h0", "z0r0h1" }) {
    fleet.Must(NoteFailed{ HostId(host) });
  }
  REQUIRE(fleet.Grant("z1r0h0"));
  int free = 0;
  for (const TakedownEligibility& answer :
       AnswerForAll(fleet.registry, fleet.book, Time(1))) {
    CAPTURE(answer.host.Value());
    free += answer.denials.empty() ? 1 : 0;
    const bool inFailedRack = answer.host.Value().rfind("z0r0", 0) == 0;
    const bool isFailed =
      answer.host.Value() == "z0r0h0" || answer.host.Value() == "z0r0h1";
    const bool isGranted = answer.host == HostId("z1r0h0");
    CHECK(answer.denials.empty() ==
          ((!inFailedRack || isFailed) && !isGranted));
  }
  CHECK(free == 21);
}

TEST_CASE("Only the holder of a zone's quota can use or transfer it")
{
  BookFixture fleet;
  const ZoneQuotaKey first(kLines, Zone(0));
  const ZoneQuotaKey second(kLines, Zone(1));
  const EntryHostId other("e2");
  fleet.Must(SetZoneQuota{ first, { kDriver, Hosts(2) }, std::nullopt });
  fleet.Must(SetZoneQuota{ second, { other, Hosts(1) }, std::nullopt });
  CHECK_FALSE(fleet.Apply(
    SetZoneQuota{ { kLines, Zone(2) }, { other, Hosts(1) }, std::nullopt }));
  CHECK(fleet.refusal.error.kind == ErrorKind::LimitReached);
  CHECK_FALSE(
    fleet.Apply(SetZoneQuota{ first, { other, Hosts(2) }, std::nullopt }));
  CHECK(fleet.refusal.error.kind == ErrorKind::Conflict);
  CHECK_FALSE(fleet.Grant("z1r0h0"));
  CHECK(fleet.FirstDenial() == DenialKind::NotQuotaHolder);
  CHECK_FALSE(fleet.Grant("z2r0h0"));
  CHECK(fleet.FirstDenial() == DenialKind::ZoneQuotaSpent);
  REQUIRE(fleet.Grant("z0r0h0"));
  CHECK_FALSE(fleet.Apply(TransferQuota{ first, Zone(1), Hosts(1), other }));
  CHECK_FALSE(fleet.Apply(TransferQuota{ first, Zone(1), Hosts(2), kDriver }));
  fleet.Must(TransferQuota{ first, Zone(1), Hosts(1), kDriver });
  CHECK_FALSE(fleet.Grant("z0r1h0"));
  const BudgetPicture picture(fleet.registry, fleet.book, Time(0));
  CHECK(picture.CheckIsolatedTakedown(HostId("z1r0h0"), other).empty());
  CHECK_FALSE(picture.CheckIsolatedTakedown(HostId("z0r1h0"), kDriver).empty());
  CHECK_FALSE(picture.CheckIsolatedTakedown(HostId("z0r0h1"), kDriver).empty());
}

namespace {

/// Simulates three zones with one quota holder each, whose partitions begin and
/// end at random. A holder works on its own copy of the budget state and counts
/// its proposals there before they are committed. After a partition it submits
/// the commands that it executed while isolated.
class CutModel
{
public:
  explicit CutModel(unsigned aSeed)
    : random_(aSeed)
  {
    Budgets budgets;
    budgets.defaultPool = kBudget;
    Agree(SetBudgets{ budgets });
    for (int i = 0; i < kZones; ++i) {
      Agree(
        SetZoneQuota{ KeyOf(i), { HolderOf(i), Hosts(i + 1) }, std::nullopt });
    }
    for (ZoneSide& side : sides_) {
      side.copy = agreed_;
    }
  }

  void Step()
  {
    const int zone = static_cast<int>(Below(kZones));
    ZoneSide& side = sides_[zone];
    switch (Below(6)) {
      case 0:
        side.isCut ? Rejoin(side) : void(side.isCut = true);
        break;
      case 1:
        Commit(side);
        break;
      case 2:
        ProposeGift(zone, side);
        break;
      case 3:
        Finish(zone, side);
        break;
      default:
        side.isCut ? TakeAlone(zone, side) : ProposeTake(zone, side);
        break;
    }
    REQUIRE(Hosts(static_cast<std::int64_t>(down_.size())) <= kBudget);
  }

  std::size_t Most() const { return most_; }

private:
  static constexpr int kZones = 3;
  static constexpr Hosts kBudget = Hosts(6);
  struct ZoneSide
  {
    bool isCut = false;
    BudgetBook copy;
    std::vector<BudgetCommand> pending;
    std::vector<BudgetCommand> doneAlone;
  };

  std::size_t Below(std::size_t aBound) { return random_() % aBound; }
  static ZoneQuotaKey KeyOf(int aZone) { return { kLines, Zone(aZone) }; }
  static EntryHostId HolderOf(int aZone)
  {
    return EntryHostId("e" + std::to_string(aZone));
  }
  HostId AnyHost(int aZone)
  {
    return HostId("z" + std::to_string(aZone) + "r" + std::to_string(Below(2)) +
                  "h" + std::to_string(2 * Below(2)));
  }
  bool Agree(const BudgetCommand& aCommand)
  {
    BudgetRefusal refusal;
    return agreed_.Apply(aCommand, registry_, refusal);
  }
  void SetDown(const HostId& aHost)
  {
    down_.insert(aHost);
    most_ = std::max(most_, down_.size());
  }

  /// Applies a holder's proposals to the replicated state, possibly long after
  /// the holder was partitioned.
  void Commit(ZoneSide& aSide)
  {
    for (const BudgetCommand& command : aSide.pending) {
      const auto* confirm = std::get_if<ConfirmDrain>(&command);
      if (Agree(command) && confirm) {
        SetDown(confirm->host);
      }
    }
    aSide.pending.clear();
    if (!aSide.isCut) {
      aSide.copy = agreed_;
    }
  }

  void Rejoin(ZoneSide& aSide)
  {
    Commit(aSide);
    for (const BudgetCommand& command : aSide.doneAlone) {
      REQUIRE(Agree(command));
    }
    aSide.doneAlone.clear();
    aSide.isCut = false;
    aSide.copy = agreed_;
  }

  void Propose(ZoneSide& aSide, const BudgetCommand& aCommand)
  {
    BudgetRefusal refusal;
    if (aSide.copy.Apply(aCommand, registry_, refusal)) {
      aSide.pending.push_back(aCommand);
    }
  }

  void ProposeTake(int aZone, ZoneSide& aSide)
  {
    if (!aSide.pending.empty()) {
      return;
    }
    const HostId host = AnyHost(aZone);
    const EntryHostId by = HolderOf(aZone);
    Propose(aSide, TakeGrant{ host, by, Time(0), Time(1) });
    Propose(aSide, ConfirmDrain{ host, by, Time(0) });
  }

  void ProposeGift(int aZone, ZoneSide& aSide)
  {
    const int to = (aZone + 1) % kZones;
    if (!aSide.isCut && aSide.pending.empty()) {
      Propose(
        aSide,
        TransferQuota{ KeyOf(aZone), Zone(to), Hosts(1), HolderOf(aZone) });
    }
  }

  void TakeAlone(int aZone, ZoneSide& aSide)
  {
    const HostId host = AnyHost(aZone);
    const BudgetPicture picture(registry_, aSide.copy, Time(0));
    const DownRecord* record = aSide.copy.Find(host);
    if (record ||
        !picture.CheckIsolatedTakedown(host, HolderOf(aZone)).empty()) {
      return;
    }
    BudgetRefusal refusal;
    const RecordIsolatedTakedown taken{ host, HolderOf(aZone) };
    REQUIRE(aSide.copy.Apply(taken, registry_, refusal));
    aSide.doneAlone.emplace_back(taken);
    SetDown(host);
  }

  void Finish(int aZone, ZoneSide& aSide)
  {
    const HostId host = AnyHost(aZone);
    if (!down_.contains(host) || !aSide.pending.empty()) {
      return;
    }
    BudgetRefusal refusal;
    const EndClaim end{ host };
    aSide.copy.Apply(end, registry_, refusal);
    if (aSide.isCut) {
      aSide.doneAlone.emplace_back(end);
    } else {
      Agree(end);
      aSide.copy = agreed_;
    }
    down_.erase(host);
  }

  std::mt19937 random_;
  PoolRegistry registry_ = SmallFleet();
  BudgetBook agreed_;
  std::array<ZoneSide, kZones> sides_;
  std::set<HostId> down_;
  std::size_t most_ = 0;
};

} // namespace

TEST_CASE("Partitioned zones together never exceed the pool's budget")
{
  const unsigned seed = GENERATE(range(1U, 21U));
  CAPTURE(seed);
  CutModel model(seed);
  for (int i = 0; i < 5000; ++i) {
    model.Step();
  }
  CHECK(model.Most() == 6);
}
