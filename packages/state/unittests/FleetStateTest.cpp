#include "greengage/state/FleetState.h"

#include "greengage/settings/IniFile.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>

using namespace greengage;
using namespace greengage::state;

static const char* const kIni = "limit = 10\n"
                                "[teams/a]\nshare = 2\n"
                                "[teams/g/b]\nshare = 1\n"
                                "[pools/lines]\ndescription = lines\n"
                                "[pools/depot]\nspare = 3\n";

static std::string
DigestOf(const char* aSecret)
{
  return KeyDigest::Compute(aSecret, "0123456789abcdef").ToString();
}

static SettingsTree
TreeOf(const std::string& aText)
{
  Error reason;
  const auto file = settings::IniFile::Parse(aText, "test", reason);
  REQUIRE(file);
  return SettingsTree::FromIni(*file);
}

static Origin
From(const char* aWho, std::string aChange)
{
  return {
    OperatorId(aWho), ChangeId(std::move(aChange)), "127.0.0.1", Time(1000)
  };
}

static FleetState
BegunState()
{
  FleetState state;
  const SettingsTree tree = TreeOf(
    std::string(kIni) + "[operators/night]\nkey.op1 = " + DigestOf("s") + "\n");
  const auto result =
    state.Apply({ From("settings-file", "bootstrap"), Bootstrap{ tree } });
  REQUIRE(std::holds_alternative<Accepted>(result.end));
  return state;
}

static CommandResult
Set(FleetState& aState,
    const Origin& aOrigin,
    std::uint64_t aBasedOn,
    std::vector<SettingChange> aChanges)
{
  return aState.Apply(
    { aOrigin, ChangeSettings{ Version(aBasedOn), std::move(aChanges) } });
}

static GrantKey
Grant(Role aRole, const char* aHolder, const char* aId)
{
  return { .holder = { aRole, aHolder },
           .id = KeyId(aId),
           .digest = KeyDigest::Compute("secret", "0123456789abcdef") };
}

static const Refused&
RefusalOf(const CommandResult& aResult)
{
  REQUIRE(std::holds_alternative<Refused>(aResult.end));
  return std::get<Refused>(aResult.end);
}

static Version
VersionOf(const CommandResult& aResult)
{
  REQUIRE(std::holds_alternative<Accepted>(aResult.end));
  return std::get<Accepted>(aResult.end).version;
}

TEST_CASE("a wrong change of settings is refused with its reason")
{
  struct Case
  {
    SettingChange change;
    ErrorKind kind;
    const char* detail;
  };
  using Kind = ErrorKind;
  const auto row = GENERATE(
    Case{ { "teams/a", "limt", "4" }, Kind::InvalidSetting, "\"limit\"" },
    Case{ { "team/a", "limit", "4" }, Kind::InvalidSetting, "\"teams\"" },
    Case{ { "teams//a", "limit", "4" }, Kind::InvalidSetting, "branch path" },
    Case{ { "teams/a/", "limit", "4" }, Kind::InvalidSetting, "branch path" },
    Case{ { "teams/a", "limit", "-1" }, Kind::InvalidSetting, "whole number" },
    Case{ { "teams/a", "limit", "1000001" }, Kind::InvalidSetting, "1000000" },
    Case{ { "teams/a", "share", "nan" }, Kind::InvalidSetting, "number" },
    Case{ { "teams/a", "queue.max", "0" }, Kind::InvalidSetting, "from 1" },
    Case{ { "pools/lines", "limit", "4" }, Kind::InvalidSetting, "no effect" },
    Case{ { "teams/a", "spare", "4" }, Kind::InvalidSetting, "no effect" },
    Case{ { "teams/a", "key.k", "x" }, Kind::InvalidSetting, "granted" },
    Case{ { "teams/a", "a b", "x" }, Kind::InvalidSetting, "identifier" },
    Case{ { "", "description", "a\nb" }, Kind::InvalidSetting, "one line" },
    Case{ { "", "description", " a" }, Kind::InvalidSetting, "one line" },
    Case{ { "", "description", "\xFF" }, Kind::InvalidSetting, "one line" },
    Case{ { "", "description", std::string(257, 'x') },
          Kind::InvalidSetting,
          "256 bytes" },
    Case{ { "", "keys.max_staleness", "9s" }, Kind::InvalidSetting, "10000" },
    Case{ { "", "keys.max_staleness", "9" }, Kind::InvalidSetting, "time" },
    Case{ { "", "weight.moves", "0.5" }, Kind::InvalidSetting, "add up" },
    Case{ { "", "price.patient", "3" }, Kind::InvalidSetting, "cost more" },
    Case{ { "", "budget.zone", "2" }, Kind::InvalidSetting, "wider budget" },
    Case{ { "pools/lines", "spare.pool", "x" },
          Kind::InvalidSetting,
          "does not exist" },
    Case{ { "teams/a", "limit", {} }, Kind::NotFound, "not set" },
    Case{ { "operators/night/x", "description", "x" },
          Kind::InvalidSetting,
          "can hold a key" });
  CAPTURE(row.change.branch, row.change.name);
  FleetState state = BegunState();
  const SettingsTree before = state.Tree();
  // The right change in front of the wrong one must be undone.
  const auto result = Set(state,
                          From("night", "c1"),
                          1,
                          { { "teams/g/b", "share", "5" }, row.change });
  const Refused& refusal = RefusalOf(result);
  CAPTURE(refusal.error.detail);
  REQUIRE(refusal.error.kind == row.kind);
  REQUIRE(refusal.error.detail.find(row.detail) != std::string::npos);
  REQUIRE(refusal.current == Version(1));
  REQUIRE(state.Tree() == before);
  REQUIRE(state.Audit().Chain().entries.back().refusal == row.kind);
}

TEST_CASE("a wrong grant or withdrawal is refused with its reason")
{
  struct Case
  {
    CommandBody body;
    ErrorKind kind;
    const char* detail;
  };
  using Kind = ErrorKind;
  const auto row = GENERATE(
    Case{ Grant(Role::Team, "x", "k1"), Kind::NotFound, "does not exist" },
    Case{ Grant(Role::Team, "g", "k1"), Kind::NotFound, "does not exist" },
    Case{ Grant(Role::Team, "a", "k.1"), Kind::Malformed, "key id" },
    Case{ Grant(Role::Team, "a", ""), Kind::Malformed, "key id" },
    Case{ Grant(Role::Operator, "a/b", "k1"), Kind::Malformed, "holder" },
    Case{ Grant(Role::Team, "a", "op1"), Kind::Conflict, "in force" },
    Case{ WithdrawKey{ KeyId("op1") }, Kind::Conflict, "last key" },
    Case{ WithdrawKey{ KeyId("a b") }, Kind::Malformed, "key id" },
    Case{ ChangeSettings{ Version(1), {} }, Kind::Malformed, "1 to" },
    Case{ ChangeSettings{ Version(9), { { "", "limit", "1" } } },
          Kind::Conflict,
          "does not exist" },
    Case{ Bootstrap{}, Kind::Conflict, "already" });
  FleetState state = BegunState();
  const auto result = state.Apply({ From("night", "c1"), row.body });
  const Refused& refusal = RefusalOf(result);
  CAPTURE(refusal.error.detail);
  REQUIRE(refusal.error.kind == row.kind);
  REQUIRE(refusal.error.detail.find(row.detail) != std::string::npos);
  REQUIRE(state.CurrentVersion() == Version(1));
}

TEST_CASE("of two operators with equal versions one wins and the other knows")
{
  FleetState state = BegunState();
  const auto first =
    Set(state, From("night", "n1"), 1, { { "teams/a", "limit", "4" } });
  const auto second =
    Set(state, From("day", "d1"), 1, { { "teams/a", "limit", "6" } });
  REQUIRE(VersionOf(first) == Version(2));
  const Refused& refusal = RefusalOf(second);
  REQUIRE(refusal.error.kind == ErrorKind::Conflict);
  REQUIRE(refusal.current == Version(2));
  REQUIRE(refusal.winner);
  REQUIRE(refusal.winner->origin.who == OperatorId("night"));
  REQUIRE(refusal.winner->version == Version(2));
  const ValueChange won{ "teams/a", "limit", std::nullopt, "4" };
  REQUIRE(refusal.winner->changes == std::vector{ won });
  REQUIRE(state.View()->teams.at(TeamId("a")).limit == Slots(4));
  // Decided again on the version in force, the change is accepted.
  REQUIRE(VersionOf(Set(
            state, From("day", "d2"), 2, { { "teams/a", "limit", "6" } })) ==
          Version(3));
}

TEST_CASE("a grant between does not make a change of settings stale")
{
  FleetState state = BegunState();
  VersionOf(state.Apply({ From("day", "d1"), Grant(Role::Team, "a", "k1") }));
  VersionOf(Set(state, From("night", "n1"), 1, { { "", "limit", "4" } }));
}

TEST_CASE("a resend gets the first answer and has no second effect")
{
  FleetState state = BegunState();
  const Origin origin = From("night", "n1");
  VersionOf(Set(state, origin, 1, { { "teams/a", "limit", "4" } }));
  VersionOf(Set(state, From("day", "d1"), 2, { { "teams/a", "limit", "6" } }));
  const std::size_t entries = state.Audit().Chain().entries.size();
  // Through another entry host: the address and the time differ.
  Origin again = origin;
  again.remoteAddress = "127.0.0.2";
  again.at = Time(9000);
  const auto resent = Set(state, again, 1, { { "teams/a", "limit", "4" } });
  REQUIRE(resent.isResend);
  REQUIRE(VersionOf(resent) == Version(2));
  REQUIRE(state.View()->teams.at(TeamId("a")).limit == Slots(6));
  REQUIRE(state.Audit().Chain().entries.size() == entries);

  // A refusal stays one, although the change would be right by now.
  const Origin late = From("late", "l1");
  RefusalOf(Set(state, late, 4, { { "", "limit", "1" } }));
  VersionOf(Set(state, From("day", "d2"), 3, { { "", "limit", "2" } }));
  const auto refused = Set(state, late, 4, { { "", "limit", "1" } });
  REQUIRE(refused.isResend);
  REQUIRE(RefusalOf(refused).current == Version(3));
}

TEST_CASE("a request id can't be used for another change")
{
  FleetState state = BegunState();
  VersionOf(Set(state, From("night", "n1"), 1, { { "", "limit", "4" } }));
  const auto other =
    Set(state, From("night", "n1"), 2, { { "", "limit", "5" } });
  REQUIRE(RefusalOf(other).error.kind == ErrorKind::DuplicateRequest);
  // Ids are the operator's own.
  VersionOf(Set(state, From("day", "n1"), 2, { { "", "limit", "5" } }));
}

TEST_CASE("a resent grant with a secret made by the host is the same change")
{
  FleetState state = BegunState();
  GrantKey grant = Grant(Role::Team, "a", "k1");
  grant.isMadeByHost = true;
  VersionOf(state.Apply({ From("night", "n1"), grant }));
  grant.digest = KeyDigest::Compute("other", "0123456789abcdef");
  const auto resent = state.Apply({ From("night", "n1"), grant });
  REQUIRE(resent.isResend);
  REQUIRE(state.View()->keys.at(KeyId("k1")).digest.Matches("secret"));
}

TEST_CASE("remembered answers are bounded, the oldest go first")
{
  FleetState state = BegunState();
  for (std::size_t count = 0; count < kMaxRemembered; ++count)
    RefusalOf(
      Set(state, From("night", "n" + std::to_string(count)), 99, { {} }));
  REQUIRE(state.Save().results.size() == kMaxRemembered);
  REQUIRE(
    state.Apply({ From("night", "n0"), ChangeSettings{ Version(99), { {} } } })
      .isResend);
  // The bootstrap's answer has made room.
  REQUIRE(state.Save().results.front().change == ChangeId("n0"));
}

TEST_CASE("a withdrawn key never comes back")
{
  FleetState state = BegunState();
  const GrantKey grant = Grant(Role::Team, "a", "k1");
  const bool isGrantedBefore = GENERATE(true, false);
  if (isGrantedBefore)
    VersionOf(state.Apply({ From("night", "n1"), grant }));
  const auto withdrawn =
    state.Apply({ From("night", "n2"), WithdrawKey{ KeyId("k1") } });
  REQUIRE(std::get<Accepted>(withdrawn.end).note.empty() == isGrantedBefore);
  const auto late = state.Apply({ From("night", "n3"), grant });
  REQUIRE(RefusalOf(late).error.kind == ErrorKind::Conflict);
  REQUIRE_FALSE(state.View()->keys.contains(KeyId("k1")));
  // Nor after a restart from a snapshot.
  FleetState other;
  Error reason;
  REQUIRE(other.Load(state.Save(), reason));
  RefusalOf(other.Apply({ From("night", "n4"), grant }));
}

TEST_CASE("a team stays when its last value was a key")
{
  FleetState state = BegunState();
  VersionOf(state.Apply({ From("night", "n1"), Grant(Role::Team, "a", "k1") }));
  VersionOf(Set(state, From("night", "n2"), 2, { { "teams/a", "share", {} } }));
  VersionOf(state.Apply({ From("night", "n3"), WithdrawKey{ KeyId("k1") } }));
  REQUIRE(state.View()->teams.contains(TeamId("a")));
}

TEST_CASE("the last operator's key can go once there is another one")
{
  FleetState state = BegunState();
  VersionOf(
    state.Apply({ From("night", "n1"), Grant(Role::Operator, "day", "op2") }));
  VersionOf(state.Apply({ From("night", "n2"), WithdrawKey{ KeyId("op1") } }));
  RefusalOf(state.Apply({ From("day", "n3"), WithdrawKey{ KeyId("op2") } }));
}

TEST_CASE("pool policies are inherited and defaulted")
{
  FleetState state = BegunState();
  VersionOf(Set(state,
                From("night", "n1"),
                1,
                { { "pools", "budget.pool", "4" },
                  { "pools/lines", "budget.zone", "2" },
                  { "pools/lines", "spare.pool", "depot" },
                  { "pools", "weight.moves", "0.4" },
                  { "pools", "weight.roll_out_time", "0.1" },
                  { "", "price.urgent", "9" } }));
  const PoolPolicy& lines = state.View()->poolPolicies.at(PoolId("lines"));
  REQUIRE(lines.budget.pool == HostCount(4));
  REQUIRE(lines.budget.availabilityZone == HostCount(2));
  REQUIRE(lines.budget.rack == HostCount(2));
  REQUIRE(lines.sparePool == PoolId("depot"));
  REQUIRE(lines.weights.moves == 0.4);
  REQUIRE(lines.prices.urgent == 9);
  REQUIRE(lines.prices.patient == 1);
}

TEST_CASE("an import makes the settings those of the file and keeps the keys")
{
  FleetState state = BegunState();
  const std::string text = std::string(kIni) + "[teams/c]\nlimit = 3\n";
  const Command import{ From("night", "n1"),
                        ImportSettings{ Version(1), TreeOf(text) } };
  REQUIRE(VersionOf(state.Apply(import)) == Version(2));
  REQUIRE(state.View()->teams.at(TeamId("c")).limit == Slots(3));
  REQUIRE(state.View()->keys.contains(KeyId("op1")));
  // A resend is known as such although nothing differs by now.
  const auto resent = state.Apply(import);
  REQUIRE(resent.isResend);
  REQUIRE(VersionOf(resent) == Version(2));
  // It removes what the file leaves out, and is subject to the same race.
  const Command back{ From("night", "n2"),
                      ImportSettings{ Version(2), TreeOf(kIni) } };
  REQUIRE(VersionOf(state.Apply(back)) == Version(3));
  REQUIRE_FALSE(state.View()->teams.contains(TeamId("c")));
  const Command stale{ From("day", "d1"),
                       ImportSettings{ Version(2), TreeOf(text) } };
  REQUIRE(RefusalOf(state.Apply(stale)).winner->version == Version(3));
}

TEST_CASE("a refused change of a group leaves nothing in later views")
{
  FleetState state = BegunState();
  VersionOf(Set(state,
                From("night", "n1"),
                1,
                { { "pools", "budget.pool", "4" },
                  { "pools/lines", "budget.zone", "2" } }));
  // Right for the pool that is read first, wrong for the other one.
  RefusalOf(
    Set(state, From("night", "n2"), 2, { { "pools", "budget.pool", "1" } }));
  VersionOf(
    Set(state, From("night", "n3"), 2, { { "teams/a", "limit", "1" } }));
  const PoolPolicy& depot = state.View()->poolPolicies.at(PoolId("depot"));
  REQUIRE(depot.budget.pool == HostCount(4));
}
