#include "greengage/fleet/PoolRegistry.h"
#include "greengage/fleet/MoveSteps.h"

#include <catch2/catch.hpp>

#include <random>

using namespace greengage;
using namespace greengage::fleet;

namespace {

const HostId kHost("h1");
const PoolId kSpare("spare");
const PoolId kLines("lines");
const Placement kPlacement{ AvailabilityZoneId("z1"), RackId("r1") };

PoolRegistry
RegistryWithOneHost()
{
  PoolRegistry registry;
  Error reason;
  REQUIRE(
    registry.Apply(AddHost{ kHost, kPlacement, kSpare, Time(0) }, reason));
  return registry;
}

PoolEpoch
EpochOf(const PoolRegistry& aRegistry)
{
  return aRegistry.Find(kHost)->epoch;
}

UpstreamAnnouncement
AnnouncementIn(const PoolId& aPool)
{
  UpstreamAnnouncement announcement;
  announcement.id = UpstreamId("h1");
  announcement.availabilityZone = kPlacement.availabilityZone;
  announcement.rack = kPlacement.rack;
  announcement.pool = aPool;
  return announcement;
}

/// Reports the only pending step as done, as a new driver would that knows only
/// the registry.
void
ExecuteNextStep(PoolRegistry& aRegistry, Time aNow)
{
  const auto steps = NextMoveSteps(aRegistry, aNow);
  REQUIRE(steps.size() == 1);
  Error reason;
  REQUIRE(aRegistry.Apply(MakeReportCommand(steps[0], aNow), reason));
}

} // namespace

TEST_CASE("A move completes across drivers that share only the registry state")
{
  PoolRegistry registry = RegistryWithOneHost();
  Error reason;
  REQUIRE(registry.Apply(
    BeginMove{ kHost, kSpare, kLines, EpochOf(registry), Time(0) }, reason));
  CHECK_FALSE(MayDispatch(registry, kHost, kSpare, EpochOf(registry), reason));
  ExecuteNextStep(registry, Time(1));
  CHECK(registry.Find(kHost)->pool == kSpare);
  PoolRegistry restored(registry.State());
  ExecuteNextStep(restored, Time(2));
  CHECK(restored.Find(kHost)->pool == kLines);
  CHECK_FALSE(CheckAnnouncement(restored, AnnouncementIn(kSpare), reason));
  CHECK(reason.kind == ErrorKind::Conflict);
  CHECK(CheckAnnouncement(restored, AnnouncementIn(kLines), reason));
  ExecuteNextStep(restored, Time(3));
  CHECK(NextMoveSteps(restored, Time(4)).empty());
  CHECK(MayDispatch(restored, kHost, kLines, EpochOf(restored), reason));
}

TEST_CASE(
  "Stale or malformed commands are rejected and leave the state unchanged")
{
  PoolRegistry registry = RegistryWithOneHost();
  const PoolEpoch outdatedEpoch = EpochOf(registry);
  Error reason;
  REQUIRE(registry.Apply(
    BeginMove{ kHost, kSpare, kLines, outdatedEpoch, Time(0) }, reason));
  const PoolEpoch currentEpoch = EpochOf(registry);
  struct Case
  {
    RegistryCommand command;
    ErrorKind kind;
  };
  const HostId unknownHost("h2");
  const std::vector<Case> cases = {
    { AddHost{ kHost, kPlacement, kLines, Time(1) }, ErrorKind::Conflict },
    { AddHost{ unknownHost, kPlacement, PoolId(), Time(1) },
      ErrorKind::Malformed },
    { BeginMove{ kHost, kSpare, kLines, outdatedEpoch, Time(1) },
      ErrorKind::Conflict },
    { BeginMove{ kHost, kSpare, kLines, currentEpoch, Time(1) },
      ErrorKind::Conflict },
    { BeginMove{ kHost, kLines, kSpare, currentEpoch, Time(1) },
      ErrorKind::Conflict },
    { BeginMove{ kHost, kSpare, kSpare, currentEpoch, Time(1) },
      ErrorKind::Malformed },
    { FinishDrain{ kHost, outdatedEpoch, Time(1) }, ErrorKind::Conflict },
    { HandOver{ kHost, currentEpoch, Time(1) }, ErrorKind::Conflict },
    { FinishMove{ kHost, currentEpoch }, ErrorKind::Conflict },
    { AbortMove{ kHost, outdatedEpoch }, ErrorKind::Conflict },
    { AbortMove{ unknownHost, currentEpoch }, ErrorKind::NotFound },
    { RemoveHost{ kHost, outdatedEpoch }, ErrorKind::Conflict },
  };
  for (std::size_t i = 0; i < cases.size(); ++i) {
    CAPTURE(i);
    const RegistryState before = registry.State();
    CHECK_FALSE(registry.Apply(cases[i].command, reason));
    CHECK(reason.kind == cases[i].kind);
    CHECK(registry.State() == before);
  }
}

TEST_CASE("An announcement with another pool or placement is rejected")
{
  const PoolRegistry registry = RegistryWithOneHost();
  Error reason;
  CHECK(CheckAnnouncement(registry, AnnouncementIn(kSpare), reason));
  CHECK_FALSE(CheckAnnouncement(registry, AnnouncementIn(kLines), reason));
  UpstreamAnnouncement mismatched = AnnouncementIn(kSpare);
  mismatched.rack = RackId("r2");
  CHECK_FALSE(CheckAnnouncement(registry, mismatched, reason));
  CHECK(reason.kind == ErrorKind::Conflict);
  mismatched.id = UpstreamId("h2");
  CHECK_FALSE(CheckAnnouncement(registry, mismatched, reason));
  CHECK(reason.kind == ErrorKind::NotFound);
}

TEST_CASE(
  "A stuck move is aborted before hand-over and needs an operator after it")
{
  PoolRegistry registry = RegistryWithOneHost();
  Error reason;
  REQUIRE(registry.Apply(
    BeginMove{ kHost, kSpare, kLines, EpochOf(registry), Time(0) }, reason));
  const Time afterTimeout = Time(0) + Duration::Seconds(3600);
  CHECK(NextMoveSteps(registry, afterTimeout)[0].kind == MoveStepKind::Abort);
  PoolRegistry handedOver(registry.State());
  ExecuteNextStep(registry, afterTimeout);
  CHECK(registry.Find(kHost)->pool == kSpare);
  CHECK_FALSE(registry.Find(kHost)->move);
  ExecuteNextStep(handedOver, Time(1));
  ExecuteNextStep(handedOver, Time(2));
  CHECK(NextMoveSteps(handedOver, afterTimeout)[0].kind ==
        MoveStepKind::AskOperator);
  CHECK_FALSE(
    handedOver.Apply(AbortMove{ kHost, EpochOf(handedOver) }, reason));
  ExecuteNextStep(handedOver, afterTimeout);
  CHECK_FALSE(handedOver.Find(kHost)->move);
}

namespace {

/// Simulates drivers that race. Each acts on its own copy of the registry,
/// which may be stale, and may crash and be replaced by a driver that starts
/// from a current snapshot.
class DriverRaceModel
{
public:
  explicit DriverRaceModel(unsigned aSeed)
    : random_(aSeed)
    , driverCopies_(3)
  {
  }

  void Step()
  {
    now_ = now_ + Duration::Seconds(1);
    PoolRegistry& copy = driverCopies_[RandomBelow(driverCopies_.size())];
    if (RandomBelow(3) == 0) {
      copy = PoolRegistry(registry_.State());
    }
    const auto steps = NextMoveSteps(copy, now_);
    std::optional<RegistryCommand> command;
    if (!steps.empty() && RandomBelow(2) == 0) {
      command = MakeReportCommand(steps[RandomBelow(steps.size())], now_);
    }
    Send(command ? *command : RandomCommand(copy));
  }

private:
  std::size_t RandomBelow(std::size_t aBound) { return random_() % aBound; }
  HostId RandomHost() { return HostId("h" + std::to_string(RandomBelow(6))); }
  PoolId RandomPool() { return PoolId("p" + std::to_string(RandomBelow(3))); }

  RegistryCommand RandomCommand(const PoolRegistry& aCopy)
  {
    const HostId host = RandomHost();
    const Membership* member = aCopy.Find(host);
    const PoolEpoch epoch = member ? member->epoch : PoolEpoch(RandomBelow(50));
    switch (RandomBelow(5)) {
      case 0:
        return AddHost{ host, kPlacement, RandomPool(), now_ };
      case 1:
        return AbortMove{ host, epoch };
      case 2:
        return RandomBelow(4) == 0 ? RegistryCommand(RemoveHost{ host, epoch })
                                   : HandOver{ host, epoch, now_ };
      default:
        return BeginMove{
          host, member ? member->pool : RandomPool(), RandomPool(), epoch, now_
        };
    }
  }

  void Send(const RegistryCommand& aCommand)
  {
    const RegistryState before = registry_.State();
    PoolRegistry replica(before);
    Error reason;
    const auto epoch = registry_.Apply(aCommand, reason);
    Error replicaReason;
    REQUIRE(replica.Apply(aCommand, replicaReason) == epoch);
    REQUIRE(replica.State() == registry_.State());
    REQUIRE((epoch || registry_.State() == before));
    CheckChange(before, aCommand);
  }

  void CheckChange(const RegistryState& aBefore,
                   const RegistryCommand& aCommand)
  {
    REQUIRE(registry_.State().lastEpoch >= aBefore.lastEpoch);
    for (const auto& [host, member] : registry_.Members()) {
      REQUIRE_FALSE(member.pool.Value().empty());
      auto& last = lastEpochs_[host];
      REQUIRE(member.epoch >= last);
      auto old = aBefore.members.find(host);
      if (old != aBefore.members.end() && !(old->second == member)) {
        REQUIRE(member.epoch > last);
      }
      if (old != aBefore.members.end() && old->second.pool != member.pool) {
        REQUIRE(std::holds_alternative<HandOver>(aCommand));
        REQUIRE(old->second.move->to == member.pool);
      }
      last = member.epoch;
    }
    for (const auto& [host, member] : aBefore.members) {
      REQUIRE(
        (registry_.Find(host) || std::holds_alternative<RemoveHost>(aCommand)));
    }
  }

  std::mt19937 random_;
  PoolRegistry registry_;
  std::vector<PoolRegistry> driverCopies_;
  std::map<HostId, PoolEpoch> lastEpochs_;
  Time now_;
};

} // namespace

TEST_CASE("Drivers that race or crash leave each host in exactly one pool")
{
  const unsigned seed = GENERATE(range(1U, 21U));
  CAPTURE(seed);
  DriverRaceModel model(seed);
  for (int i = 0; i < 2000; ++i) {
    model.Step();
  }
}
