/// \file
/// What operators ask of the agreed state over the administration port and
/// what they are told, free of any encoding.

#ifndef GREENGAGE_API_ADMINISTRATION_H
#define GREENGAGE_API_ADMINISTRATION_H

#include "greengage/core/Ids.h"
#include "greengage/state/AuditTrail.h"
#include "greengage/state/Command.h"
#include "greengage/state/FleetView.h"
#include "greengage/state/Key.h"
#include "greengage/state/SettingsTree.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace greengage::api {

/// Show all settings; digests of keys are left out.
struct ReadSettings
{};

/// Say which value holds on a branch and which branch sets it.
struct ExplainSetting
{
  state::BranchPath branch;
  std::string name;
};

/// Say what would have to change for the settings to be those of \p tree.
struct DiffSettings
{
  state::SettingsTree tree;
};

/// Show all settings as INI.
struct ExportSettings
{};

/// Show who holds which key.
struct ListKeys
{};

/// Show what holds for each team.
struct ListTeams
{};

/// Show what holds for each pool.
struct ListPools
{};

/// Show entries of the audit trail.
struct QueryAudit
{
  state::AuditQuery query;
};

/// Check the audit trail's hash chain.
struct VerifyAudit
{};

/// Change settings, import them, or withdraw a key.
struct ChangeState
{
  state::ChangeId change;
  std::variant<state::ChangeSettings, state::ImportSettings, state::WithdrawKey>
    command;
};

/// Give a key to a holder.
struct GrantKeyCall
{
  state::ChangeId change;
  state::Principal holder;
  KeyId id;
  /// Without it the entry host makes the secret and tells it once.
  std::optional<state::KeyDigest> digest;
};

using AdministrationCall = std::variant<ReadSettings,
                                        ExplainSetting,
                                        DiffSettings,
                                        ExportSettings,
                                        ListKeys,
                                        ListTeams,
                                        ListPools,
                                        QueryAudit,
                                        VerifyAudit,
                                        ChangeState,
                                        GrantKeyCall>;

struct SettingsReply
{
  Version version;
  state::SettingsTree tree;
};

struct ExplainReply
{
  Version version;
  ExplainSetting asked;
  /// Nothing if no branch sets the value.
  std::optional<state::InheritedValue> found;
  /// What holds if no branch sets it; empty if nothing does.
  std::string defaultText;
};

struct DiffReply
{
  Version version;
  std::vector<state::ValueChange> changes;
};

struct ExportReply
{
  Version version;
  std::string ini;
};

struct KeysReply
{
  Version version;
  std::vector<std::pair<KeyId, state::Principal>> keys;
  std::vector<KeyId> withdrawn;
};

struct TeamsReply
{
  state::FleetViewPtr view;
};

struct PoolsReply
{
  state::FleetViewPtr view;
};

struct AuditReply
{
  /// The first entry that is still kept.
  state::AuditSequence firstKept;
  std::vector<state::AuditEntry> entries;
};

struct VerifyReply
{
  state::AuditSequence firstKept;
  std::uint64_t count = 0;
  std::string head;
  std::optional<state::ChainBreak> broken;
};

/// How a change ended.
struct ChangeReply
{
  state::CommandResult result;
  /// The secret of a key that the entry host has made.
  std::optional<std::string> secret;
};

using AdministrationReply = std::variant<SettingsReply,
                                         ExplainReply,
                                         DiffReply,
                                         ExportReply,
                                         KeysReply,
                                         TeamsReply,
                                         PoolsReply,
                                         AuditReply,
                                         VerifyReply,
                                         ChangeReply>;

} // namespace greengage::api

#endif // GREENGAGE_API_ADMINISTRATION_H
