#include "greengage/state/FleetStateMachine.h"

#include "greengage/state/CommandCodec.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <iterator>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

using namespace greengage;
using namespace greengage::state;

static constexpr int kSteps = 400;

namespace {

/// Makes random commands, many of them wrong, stale or sent again.
class CommandSource
{
public:
  explicit CommandSource(std::uint32_t aSeed)
    : random_(aSeed)
  {
  }

  Command Next(Version aCurrent)
  {
    if (!sent_.empty() && Below(6) == 0)
      return sent_[Below(sent_.size())];
    Command command{ { OperatorId(Below(2) == 0 ? "night" : "day"),
                       ChangeId("c" + std::to_string(sent_.size())),
                       "127.0.0.1",
                       Time(static_cast<std::int64_t>(sent_.size())) },
                     Body(aCurrent) };
    sent_.push_back(command);
    return command;
  }

  std::size_t Below(std::size_t aBound) { return random_() % aBound; }

private:
  CommandBody Body(Version aCurrent)
  {
    const std::size_t kind = Below(4);
    const KeyId id("k" + std::to_string(Below(12)));
    const std::string team = "t" + std::to_string(Below(4));
    if (kind == 0)
      return GrantKey{ .holder = { Role::Team, team },
                       .id = id,
                       .digest = KeyDigest::Compute("s", "0123456789abcdef") };
    if (kind == 1)
      return WithdrawKey{ id };
    const std::uint64_t behind = Below(3) == 0 ? 1 : 0;
    ChangeSettings change{ Version(aCurrent.Value() - behind), {} };
    for (std::size_t count = 1 + Below(2); count > 0; --count)
      change.changes.push_back(Change());
    return change;
  }

  /// Branches come and go, groups and defaults change, some values are wrong.
  SettingChange Change()
  {
    static const char* const kBranches[] = { "",           "teams",
                                             "teams/t0",   "teams/t1",
                                             "teams/t2/x", "pools",
                                             "pools/p1",   "pools/p2" };
    static const char* const kNames[] = { "limit",       "share",
                                          "budget.zone", "budget.pool",
                                          "description", "keys.max_staleness" };
    std::optional<std::string> value = std::to_string(Below(4));
    if (Below(3) == 0)
      value.reset();
    const char* name = kNames[Below(std::size(kNames))];
    if (value && name == kNames[5])
      value = *value + "min";
    return { kBranches[Below(std::size(kBranches))], name, value };
  }

  std::mt19937 random_;
  std::vector<Command> sent_;
};

/// What must be true, kept the simplest way.
class Model
{
public:
  void Note(const Command& aCommand, const CommandResult& aResult)
  {
    if (aResult.isResend || !std::holds_alternative<Accepted>(aResult.end))
      return;
    ++version;
    if (const auto* grant = std::get_if<GrantKey>(&aCommand.body))
      keys.insert(grant->id);
    if (const auto* withdraw = std::get_if<WithdrawKey>(&aCommand.body)) {
      keys.erase(withdraw->id);
      withdrawn.insert(withdraw->id);
    }
    if (const auto* change = std::get_if<ChangeSettings>(&aCommand.body))
      for (const SettingChange& each : change->changes)
        values[{ each.branch, each.name }] = each.value;
  }

  std::uint64_t version = 1;
  std::set<KeyId> keys;
  std::set<KeyId> withdrawn;
  std::map<std::pair<BranchPath, std::string>, std::optional<std::string>>
    values;
};

} // namespace

static std::string
BootstrapBytes()
{
  SettingsTree tree;
  for (const char* team : { "teams/t0", "teams/t1", "teams/t2", "teams/t3" })
    tree.Set(team, "share", "1");
  const Origin origin{ OperatorId("file"), ChangeId("b"), "", Time(0) };
  return EncodeCommand({ origin, Bootstrap{ std::move(tree) } });
}

static CommandResult
ApplyTo(FleetStateMachine& aMachine, const Command& aCommand)
{
  Error reason;
  const auto result =
    DecodeResult(aMachine.Apply(LogIndex(1), EncodeCommand(aCommand)), reason);
  REQUIRE(result);
  return *result;
}

static void
CheckAgainst(const Model& aModel, const FleetState& aState)
{
  REQUIRE(aState.CurrentVersion() == Version(aModel.version));
  REQUIRE(aState.View()->keys.size() == aModel.keys.size());
  for (const KeyId& id : aModel.keys)
    REQUIRE_FALSE(aModel.withdrawn.contains(id));
  REQUIRE(aState.Withdrawn() == aModel.withdrawn);
  for (const auto& [place, value] : aModel.values) {
    const auto& own = aState.Tree().OwnValues(place.first);
    const auto found = own.find(place.second);
    REQUIRE((found != own.end()) == value.has_value());
    if (value)
      REQUIRE(found->second == *value);
  }
  // The view that is kept up by parts is the one built as a whole.
  Error reason;
  REQUIRE(BuildFleetView(aState.Tree(), aState.CurrentVersion(), reason) ==
          *aState.View());
  REQUIRE_FALSE(VerifyChain(aState.Audit().Chain()));
}

TEST_CASE("random commands keep to the model, to copies and to snapshots")
{
  const std::uint32_t seed =
    GENERATE(20260104U, 20260105U, 20260106U, 20260107U);
  CAPTURE(seed);
  CommandSource source(seed);
  const AuditLimits limits{ .maxEntries = 50 };
  FleetStateMachine machine(limits);
  FleetStateMachine copy(limits);
  machine.Apply(LogIndex(1), BootstrapBytes());
  copy.Apply(LogIndex(1), BootstrapBytes());
  Model model;
  int accepted = 0;
  for (int step = 0; step < kSteps; ++step) {
    CAPTURE(step);
    const Command command = source.Next(machine.State().CurrentVersion());
    const CommandResult result = ApplyTo(machine, command);
    model.Note(command, result);
    accepted += std::holds_alternative<Accepted>(result.end) ? 1 : 0;
    ApplyTo(copy, command);
    CheckAgainst(model, machine.State());
    if (source.Below(20) != 0)
      continue;
    // The copy restarts from the other's snapshot.
    const std::string bytes = machine.Snapshot();
    REQUIRE(copy.Snapshot() == bytes);
    Error reason;
    FleetStateMachine restored(limits);
    REQUIRE(restored.Restore(bytes, reason));
    copy = std::move(restored);
  }
  REQUIRE(machine.Snapshot() == copy.Snapshot());
  CAPTURE(accepted);
  REQUIRE(accepted > kSteps / 4);
  REQUIRE(accepted < kSteps);
}

TEST_CASE("what can't be read changes nothing")
{
  FleetStateMachine machine;
  machine.Apply(LogIndex(1), BootstrapBytes());
  const std::string before = machine.Snapshot();
  Error reason;
  std::string bytes = BootstrapBytes();
  const std::string bad = GENERATE_COPY(std::string(),
                                        std::string("x"),
                                        bytes.substr(0, bytes.size() - 1),
                                        bytes + "x");
  const auto result = DecodeResult(machine.Apply(LogIndex(2), bad), reason);
  REQUIRE(result);
  REQUIRE(std::get<Refused>(result->end).error.kind == ErrorKind::Malformed);
  REQUIRE(machine.Snapshot() == before);
  REQUIRE_FALSE(machine.Restore(bad, reason));
  REQUIRE(reason.kind == ErrorKind::DataCorrupt);
  REQUIRE(machine.Snapshot() == before);
}

TEST_CASE("a command of a later version is refused by name")
{
  FleetStateMachine machine;
  std::string bytes = BootstrapBytes();
  bytes.replace(bytes.find("bootstrap"), 9, "bootstrip");
  Error reason;
  const auto result = DecodeResult(machine.Apply(LogIndex(1), bytes), reason);
  REQUIRE(result);
  REQUIRE(std::get<Refused>(result->end).error.kind == ErrorKind::Unsupported);
}
