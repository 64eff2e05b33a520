#include "greengage/state/FleetState.h"

#include "greengage/core/Utf8.h"
#include "greengage/state/SettingCatalogue.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

using namespace greengage;
using namespace greengage::state;

static constexpr std::size_t kMaxId = 128;
static constexpr std::size_t kMaxHolderName = 120;

FleetState::FleetState(AuditLimits aLimits)
  : audit_(aLimits)
{
}

static bool
IsWellFormed(const Origin& aOrigin)
{
  return IsValidIdentifier(aOrigin.who.Value(), kMaxId) &&
         IsValidIdentifier(aOrigin.change.Value(), kMaxId) &&
         aOrigin.remoteAddress.size() <= kMaxId &&
         IsValidUtf8(aOrigin.remoteAddress);
}

CommandResult
FleetState::Apply(const Command& aCommand)
{
  if (!IsWellFormed(aCommand.origin))
    return Refuse(
      { ErrorKind::Malformed, "operator or request id is not an identifier" });
  std::string fingerprint = FingerprintOf(aCommand.body);
  const RememberedResult* first = Recall(aCommand.origin);
  if (first != nullptr && first->fingerprint == fingerprint)
    return { .end = first->result.end, .isResend = true };
  Changes changes;
  CommandResult result =
    first == nullptr ? Decide(aCommand, changes)
                     : Refuse({ ErrorKind::DuplicateRequest,
                                "the request id was used for another change" });
  if (first == nullptr)
    Remember(aCommand, std::move(fingerprint), result);
  Record(aCommand, std::move(changes), result);
  return result;
}

CommandResult
FleetState::Decide(const Command& aCommand, Changes& aChanges)
{
  const bool isBootstrap = std::holds_alternative<Bootstrap>(aCommand.body);
  if (!HasBegun() && !isBootstrap)
    return Refuse(
      { ErrorKind::Conflict, "the fleet has not got its first settings yet" });
  return std::visit([&](const auto& aAny) { return Do(aAny, aChanges); },
                    aCommand.body);
}

CommandResult
FleetState::Do(const Bootstrap& aCommand, Changes& aChanges)
{
  if (HasBegun())
    return Refuse(
      { ErrorKind::Conflict, "the fleet has got its first settings already" });
  Error reason;
  auto view = BuildFleetView(aCommand.tree, Version(1), reason);
  if (!view)
    return Refuse(std::move(reason));
  aChanges = Difference(tree_, aCommand.tree);
  tree_ = aCommand.tree;
  version_ = Version(1);
  settingsVersion_ = version_;
  fleet_ = std::move(*view);
  published_.reset();
  return Accept();
}

/// Checks what does not depend on the state.
static bool
CheckChanges(const std::vector<SettingChange>& aChanges, Error& aReason)
{
  if (aChanges.empty() || aChanges.size() > kMaxChanges) {
    Fail(aReason,
         ErrorKind::Malformed,
         "a change sets or unsets 1 to " + std::to_string(kMaxChanges) +
           " values");
    return false;
  }
  std::set<std::pair<std::string, std::string>> seen;
  for (const SettingChange& change : aChanges) {
    const char* problem = nullptr;
    if (!IsValidIdentifier(change.name, kMaxId))
      problem = "the name of a setting is not an identifier";
    else if (change.name.starts_with(kKeyPrefix))
      problem = "keys are granted and withdrawn, not set";
    else if (!seen.emplace(change.branch, change.name).second)
      problem = "the same value is changed twice";
    if (problem == nullptr)
      continue;
    Fail(aReason, ErrorKind::InvalidSetting, problem);
    return false;
  }
  return true;
}

bool
FleetState::CheckBase(Version aBasedOn, Error& aReason) const
{
  if (aBasedOn > version_) {
    Fail(aReason,
         ErrorKind::Conflict,
         "version " + std::to_string(aBasedOn.Value()) + " does not exist");
    return false;
  }
  if (aBasedOn >= settingsVersion_)
    return true;
  Fail(aReason,
       ErrorKind::Conflict,
       "settings have changed since version " +
         std::to_string(aBasedOn.Value()));
  return false;
}

static ValueChange
DescribeChange(const SettingsTree& aTree, const SettingChange& aChange)
{
  const auto& values = aTree.OwnValues(aChange.branch);
  const auto found = values.find(aChange.name);
  ValueChange change{ aChange.branch, aChange.name, {}, aChange.value };
  if (found != values.end())
    change.before = found->second;
  return change;
}

CommandResult
FleetState::Change(Version aBasedOn,
                   const std::vector<SettingChange>& aWanted,
                   Changes& aChanges)
{
  Error reason;
  if (aWanted.size() <= kMaxChanges)
    for (const SettingChange& change : aWanted)
      aChanges.push_back(DescribeChange(tree_, change));
  if (!CheckChanges(aWanted, reason))
    return Refuse(std::move(reason));
  if (!CheckBase(aBasedOn, reason)) {
    CommandResult result = Refuse(std::move(reason));
    std::get<Refused>(result.end).winner = WinnerSince(aBasedOn);
    return result;
  }
  if (!Commit(aWanted, reason))
    return Refuse(std::move(reason));
  settingsVersion_ = version_;
  return Accept();
}

CommandResult
FleetState::Do(const ChangeSettings& aCommand, Changes& aChanges)
{
  return Change(aCommand.basedOn, aCommand.changes, aChanges);
}

CommandResult
FleetState::Do(const ImportSettings& aCommand, Changes& aChanges)
{
  std::vector<SettingChange> wanted;
  for (ValueChange& change : Difference(WithoutKeys(tree_), aCommand.tree))
    wanted.push_back({ std::move(change.branch),
                       std::move(change.name),
                       std::move(change.after) });
  if (wanted.empty())
    return Accept("the settings are like this already");
  return Change(aCommand.basedOn, wanted, aChanges);
}

/// Makes one change. False if there was nothing to unset.
static bool
ApplyTo(SettingsTree& aTree, const SettingChange& aChange)
{
  if (!aChange.value)
    return aTree.Unset(aChange.branch, aChange.name);
  aTree.Set(aChange.branch, aChange.name, *aChange.value);
  return true;
}

/// Takes changes back, the last first.
static void
Undo(SettingsTree& aTree, const std::vector<ValueChange>& aDone)
{
  for (auto change = aDone.rbegin(); change != aDone.rend(); ++change) {
    if (change->before)
      aTree.Set(change->branch, change->name, *change->before);
    else
      aTree.Unset(change->branch, change->name);
  }
}

/// Makes all changes, noting them in \p aDone.
static bool
ApplyAll(SettingsTree& aTree,
         const std::vector<SettingChange>& aChanges,
         std::vector<ValueChange>& aDone,
         Error& aReason)
{
  for (const SettingChange& change : aChanges) {
    ValueChange described = DescribeChange(aTree, change);
    if (!ApplyTo(aTree, change)) {
      Fail(aReason, ErrorKind::NotFound, "value is not set on this branch");
      Locate(aReason, change.branch, change.name);
      return false;
    }
    aDone.push_back(std::move(described));
  }
  return true;
}

static bool
HasBranches(const SettingsTree& aTree,
            const std::vector<SettingChange>& aChanges)
{
  return std::all_of(
    aChanges.begin(), aChanges.end(), [&](const SettingChange& aChange) {
      return aTree.All().contains(aChange.branch);
    });
}

bool
FleetState::Rebuild(Error& aReason)
{
  auto view = BuildFleetView(tree_, version_, aReason);
  if (!view)
    return false;
  fleet_ = std::move(*view);
  return true;
}

bool
FleetState::Commit(const std::vector<SettingChange>& aChanges, Error& aReason)
{
  const bool hadBranches = HasBranches(tree_, aChanges);
  Changes done;
  if (!ApplyAll(tree_, aChanges, done, aReason)) {
    Undo(tree_, done);
    return false;
  }
  const bool isRefresh = hadBranches && HasBranches(tree_, aChanges);
  const bool isRight = isRefresh
                         ? RefreshFleetView(fleet_, tree_, done, aReason)
                         : Rebuild(aReason);
  if (isRight) {
    version_ = Version(version_.Value() + 1);
    fleet_.version = version_;
    published_.reset();
    return true;
  }
  Undo(tree_, done);
  Error ignored;
  [[maybe_unused]] const bool isUndone =
    !isRefresh || RefreshFleetView(fleet_, tree_, done, ignored);
  assert(isUndone && "the tree before a refused change was right");
  return false;
}

static BranchPath
BranchOf(const Principal& aHolder)
{
  switch (aHolder.role) {
    case Role::Team:
      return std::string(kTeamsBranch) + "/" + aHolder.name;
    case Role::Operator:
      return std::string(kOperatorsBranch) + "/" + aHolder.name;
    case Role::Upstream:
      break;
  }
  return std::string(kUpstreamsBranch) + "/" + aHolder.name;
}

static std::string
SettingOf(const KeyId& aId)
{
  return std::string(kKeyPrefix) + aId.Value();
}

bool
FleetState::CheckGrant(const GrantKey& aCommand, Error& aReason) const
{
  const Principal& holder = aCommand.holder;
  const bool isTeam = holder.role == Role::Team;
  std::optional<Error> problem;
  if (!IsKeyId(aCommand.id.Value()))
    problem = { ErrorKind::Malformed,
                "key id is not 1 to 64 letters, digits or _ - :" };
  else if (!IsValidIdentifier(holder.name, kMaxHolderName, isTeam))
    problem = { ErrorKind::Malformed, "holder's name is not an identifier" };
  else if (withdrawn_.contains(aCommand.id))
    problem = { ErrorKind::Conflict,
                "this key id was withdrawn and can't be granted again; grant "
                "a key under a new id" };
  else if (fleet_.keys.contains(aCommand.id))
    problem = { ErrorKind::Conflict,
                "this key id is in force already; grant a key under a new id" };
  else if (isTeam && !fleet_.teams.contains(TeamId(holder.name)))
    problem = { ErrorKind::NotFound,
                "team \"" + holder.name +
                  "\" does not exist; set its share or limit first" };
  if (problem)
    aReason = std::move(*problem);
  return !problem;
}

CommandResult
FleetState::Do(const GrantKey& aCommand, Changes& aChanges)
{
  const SettingChange change{ BranchOf(aCommand.holder),
                              SettingOf(aCommand.id),
                              aCommand.digest.ToString() };
  aChanges.push_back({ change.branch, change.name, {}, change.value });
  Error reason;
  if (!CheckGrant(aCommand, reason) || !Commit({ change }, reason))
    return Refuse(std::move(reason));
  return Accept();
}

bool
FleetState::CheckWithdrawal(const KeyId& aId, Error& aReason) const
{
  if (!IsKeyId(aId.Value())) {
    Fail(aReason,
         ErrorKind::Malformed,
         "key id is not 1 to 64 letters, digits or _ - :");
    return false;
  }
  const auto found = fleet_.keys.find(aId);
  if (found == fleet_.keys.end() ||
      found->second.principal.role != Role::Operator)
    return true;
  const auto operatorKeys = std::count_if(
    fleet_.keys.begin(), fleet_.keys.end(), [](const auto& aEntry) {
      return aEntry.second.principal.role == Role::Operator;
    });
  if (operatorKeys > 1)
    return true;
  Fail(aReason,
       ErrorKind::Conflict,
       "this is the last key of an operator; grant another one first");
  return false;
}

/// Unsets a key. A team that sets nothing else keeps its branch.
void
FleetState::AddUnsetOfKey(const KeyId& aId,
                          std::vector<SettingChange>& aChanges)
{
  const Principal& holder = fleet_.keys.at(aId).principal;
  const BranchPath branch = BranchOf(holder);
  if (holder.role == Role::Team && tree_.OwnValues(branch).size() == 1)
    aChanges.push_back({ branch, "description", "no key in force" });
  aChanges.push_back({ branch, SettingOf(aId), std::nullopt });
}

CommandResult
FleetState::Do(const WithdrawKey& aCommand, Changes& aChanges)
{
  std::vector<SettingChange> changes;
  Error reason;
  const bool isKnown = fleet_.keys.contains(aCommand.id);
  if (isKnown)
    AddUnsetOfKey(aCommand.id, changes);
  for (const SettingChange& change : changes)
    aChanges.push_back(DescribeChange(tree_, change));
  if (!isKnown)
    aChanges.push_back({ {}, SettingOf(aCommand.id), {}, {} });
  if (!CheckWithdrawal(aCommand.id, reason) || !Commit(changes, reason))
    return Refuse(std::move(reason));
  const bool isFirst = withdrawn_.insert(aCommand.id).second;
  if (isKnown)
    return Accept();
  return Accept(isFirst ? "no such key was in force; the id can never be "
                          "granted now"
                        : "the key had been withdrawn before");
}

CommandResult
FleetState::Accept(std::string aNote) const
{
  return { .end = Accepted{ .version = version_, .note = std::move(aNote) } };
}

CommandResult
FleetState::Refuse(Error aReason) const
{
  return { .end = Refused{
             .error = std::move(aReason), .current = version_, .winner = {} } };
}

static bool
IsWinner(const AuditEntry& aEntry)
{
  static const std::string kChange(NameOf(ChangeSettings{}));
  static const std::string kImport(NameOf(ImportSettings{}));
  return aEntry.refusal == ErrorKind::None &&
         (aEntry.action == kChange || aEntry.action == kImport);
}

/// The first change of settings after \p aBasedOn that the trail still has.
std::optional<Winner>
FleetState::WinnerSince(Version aBasedOn) const
{
  const AuditEntry* first = nullptr;
  const auto& entries = audit_.Chain().entries;
  for (auto entry = entries.rbegin();
       entry != entries.rend() && entry->version > aBasedOn;
       ++entry)
    if (IsWinner(*entry))
      first = &*entry;
  if (first == nullptr)
    return std::nullopt;
  Winner winner{ first->version, first->origin, first->changes };
  if (winner.changes.size() > kMaxWinnerChanges)
    winner.changes.resize(kMaxWinnerChanges);
  return winner;
}

/// Keeps what a refused command may carry from filling the trail.
static void
PrepareForAudit(ValueChange& aChange)
{
  aChange.before = AuditedText(aChange.name, aChange.before);
  aChange.after = AuditedText(aChange.name, aChange.after);
  if (aChange.branch.size() > kMaxId)
    aChange.branch.resize(kMaxId);
  if (aChange.name.size() > kMaxId)
    aChange.name.resize(kMaxId);
  if (aChange.after && aChange.after->size() > kMaxValueBytes)
    aChange.after->resize(kMaxValueBytes);
}

void
FleetState::Record(const Command& aCommand,
                   Changes aChanges,
                   const CommandResult& aResult)
{
  AuditEntry entry;
  entry.origin = aCommand.origin;
  entry.action = std::string(NameOf(aCommand.body));
  entry.version = version_;
  for (ValueChange& change : aChanges)
    PrepareForAudit(change);
  entry.changes = std::move(aChanges);
  if (const auto* refused = std::get_if<Refused>(&aResult.end)) {
    entry.refusal = refused->error.kind;
    entry.why = refused->error.detail;
  }
  audit_.Append(std::move(entry));
}
