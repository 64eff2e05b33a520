/// \file
/// What operators can ask of the agreed state and what they are told. The
/// commands are plain values; CommandCodec.h turns them into bytes.

#ifndef GREENGAGE_STATE_COMMAND_H
#define GREENGAGE_STATE_COMMAND_H

#include "greengage/core/Error.h"
#include "greengage/core/Ids.h"
#include "greengage/core/StrongId.h"
#include "greengage/core/Units.h"
#include "greengage/state/Key.h"
#include "greengage/state/SettingsTree.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace greengage::state {

/// An operator; the name below "operators/".
using OperatorId = StrongId<struct OperatorTag, std::string>;
/// The operator's own id of a change, unique for that operator.
using ChangeId = StrongId<struct ChangeTag, std::string>;

/// The most values that one command may change.
inline constexpr std::size_t kMaxChanges = 5000;

/// Who asks for a change, from where, and when the entry host took it.
struct Origin
{
  OperatorId who;
  ChangeId change;
  std::string remoteAddress;
  /// On the wall clock of the entry host that took the call.
  Time at;
};

/// Sets a value on a branch, or unsets it if there is no value.
struct SettingChange
{
  BranchPath branch;
  std::string name;
  std::optional<std::string> value;
};

/// The settings file that the fleet begins with; only the first is taken.
struct Bootstrap
{
  SettingsTree tree;
};

/// Changes settings if none has changed since the version it is based on.
struct ChangeSettings
{
  Version basedOn;
  std::vector<SettingChange> changes;
};

/// Makes the settings those of \p tree, under the same condition. Keys stay.
struct ImportSettings
{
  Version basedOn;
  SettingsTree tree;
};

/// Gives a key to a team, operator or upstream group.
struct GrantKey
{
  Principal holder;
  KeyId id;
  KeyDigest digest;
  /// Whether the entry host made the secret. A resend then carries another
  /// digest and is still the same change.
  bool isMadeByHost = false;
};

/// Ends a key for good, also one that is not known yet.
struct WithdrawKey
{
  KeyId id;
};

using CommandBody = std::
  variant<Bootstrap, ChangeSettings, ImportSettings, GrantKey, WithdrawKey>;

/// One change that someone asks for.
struct Command
{
  Origin origin;
  CommandBody body;
};

/// The change is part of the agreed state.
struct Accepted
{
  /// The version that it made.
  Version version;
  /// What the operator should know beside that; empty as a rule.
  std::string note;
};

/// The change that was accepted in place of a refused one.
struct Winner
{
  Version version;
  Origin origin;
  /// The first kMaxWinnerChanges of its changes.
  std::vector<ValueChange> changes;
};

/// The most changes that a refusal tells of the winner.
inline constexpr std::size_t kMaxWinnerChanges = 16;

/// The change was refused and nothing has changed.
struct Refused
{
  Error error;
  /// The version in force.
  Version current;
  std::optional<Winner> winner;
};

/// How a command ended.
struct CommandResult
{
  std::variant<Accepted, Refused> end;
  /// Whether this is the first answer to the same change, given again.
  bool isResend = false;
};

/// The name of the command in messages and in the audit trail.
std::string_view
NameOf(const CommandBody& aBody);

/// A digest by which a resend is told from another change with the same id.
std::string
FingerprintOf(const CommandBody& aBody);

} // namespace greengage::state

#endif // GREENGAGE_STATE_COMMAND_H
