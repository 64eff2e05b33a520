/// \file
/// The decisions on operators' commands: which change is accepted, who is told
/// what, and what the audit trail keeps. It reads no clock and no random
/// source and knows nothing of encodings; FleetStateMachine adds those.

#ifndef GREENGAGE_STATE_FLEETSTATE_H
#define GREENGAGE_STATE_FLEETSTATE_H

#include "greengage/core/Error.h"
#include "greengage/core/Ids.h"
#include "greengage/state/AuditTrail.h"
#include "greengage/state/Command.h"
#include "greengage/state/FleetView.h"
#include "greengage/state/SettingsTree.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace greengage::state {

/// The answers that are remembered for resends.
inline constexpr std::size_t kMaxRemembered = 4096;

/// The first answer to a change.
struct RememberedResult
{
  OperatorId who;
  ChangeId change;
  std::string fingerprint;
  CommandResult result;
};

/// All of the agreed state that a snapshot carries.
struct FleetSnapshot
{
  /// Counts the accepted commands; 0 before the bootstrap.
  Version version;
  /// The version that the last accepted change of settings made.
  Version settingsVersion;
  SettingsTree tree;
  /// Ids that can never be granted again.
  std::set<KeyId> withdrawn;
  /// Oldest first; at most kMaxRemembered.
  std::deque<RememberedResult> results;
  AuditChain audit;
};

/// The agreed state. Equal commands in equal order give equal states.
class FleetState
{
public:
  explicit FleetState(AuditLimits aLimits = {});

  /// Decides on one command.
  CommandResult Apply(const Command& aCommand);

  Version CurrentVersion() const { return version_; }
  const SettingsTree& Tree() const { return tree_; }
  /// The view of the current version; null before the bootstrap.
  FleetViewPtr View() const;
  const AuditTrail& Audit() const { return audit_; }
  const std::set<KeyId>& Withdrawn() const { return withdrawn_; }

  FleetSnapshot Save() const;
  /// Replaces the state. False, with the state unchanged, if the snapshot
  /// contradicts itself.
  bool Load(FleetSnapshot aSnapshot, Error& aReason);

private:
  using ResultKey = std::pair<OperatorId, ChangeId>;
  /// What a command did, for the audit trail.
  using Changes = std::vector<ValueChange>;

  CommandResult Decide(const Command& aCommand, Changes& aChanges);
  CommandResult Do(const Bootstrap& aCommand, Changes& aChanges);
  CommandResult Do(const ChangeSettings& aCommand, Changes& aChanges);
  CommandResult Do(const ImportSettings& aCommand, Changes& aChanges);
  CommandResult Do(const GrantKey& aCommand, Changes& aChanges);
  CommandResult Do(const WithdrawKey& aCommand, Changes& aChanges);

  CommandResult Change(Version aBasedOn,
                       const std::vector<SettingChange>& aWanted,
                       Changes& aChanges);
  bool CheckBase(Version aBasedOn, Error& aReason) const;
  bool CheckGrant(const GrantKey& aCommand, Error& aReason) const;
  bool CheckWithdrawal(const KeyId& aId, Error& aReason) const;
  bool HasBegun() const { return version_ > Version(0); }
  /// Builds fleet_ anew; leaves it if the tree is wrong.
  bool Rebuild(Error& aReason);
  /// Changes the tree and checks it as a whole; undoes all if it is wrong.
  bool Commit(const std::vector<SettingChange>& aChanges, Error& aReason);
  void AddUnsetOfKey(const KeyId& aId, std::vector<SettingChange>& aChanges);
  CommandResult Accept(std::string aNote = {}) const;
  CommandResult Refuse(Error aReason) const;
  std::optional<Winner> WinnerSince(Version aBasedOn) const;

  const RememberedResult* Recall(const Origin& aOrigin) const;
  void Remember(const Command& aCommand,
                std::string aFingerprint,
                const CommandResult& aResult);
  void Record(const Command& aCommand,
              Changes aChanges,
              const CommandResult& aResult);
  void IndexResults();

  Version version_;
  Version settingsVersion_;
  SettingsTree tree_;
  /// What the tree says, kept up change by change.
  FleetView fleet_;
  /// The copy of fleet_ that others hold; made when it is asked for.
  mutable FleetViewPtr published_;
  std::set<KeyId> withdrawn_;
  std::deque<RememberedResult> results_;
  /// Places in results_, counted over all results that ever were.
  std::map<ResultKey, std::size_t> places_;
  std::size_t forgotten_ = 0;
  AuditTrail audit_;
};

} // namespace greengage::state

#endif // GREENGAGE_STATE_FLEETSTATE_H
