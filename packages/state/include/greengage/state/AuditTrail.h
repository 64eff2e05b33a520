/// \file
/// Who changed what, when and from where, with a hash chain that shows an
/// entry that is missing or was altered. Secrets and digests of keys never
/// get in.

#ifndef GREENGAGE_STATE_AUDITTRAIL_H
#define GREENGAGE_STATE_AUDITTRAIL_H

#include "greengage/core/Error.h"
#include "greengage/core/Ids.h"
#include "greengage/core/StrongId.h"
#include "greengage/core/Units.h"
#include "greengage/state/Command.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace greengage::state {

/// The place of an entry, counted from 1.
using AuditSequence = StrongId<struct AuditSequenceTag, std::uint64_t>;

/// One command, accepted or refused.
struct AuditEntry
{
  AuditSequence sequence;
  Origin origin;
  /// The name of the command.
  std::string action;
  std::vector<ValueChange> changes;
  /// None if the command was accepted.
  ErrorKind refusal = ErrorKind::None;
  /// Why it was refused.
  std::string why;
  /// The version in force after the command.
  Version version;
  /// SHA-256 over the hash before and all fields above, in lower-case hex.
  std::string hash;
};

/// The first place at which a chain does not hold.
struct ChainBreak
{
  AuditSequence at;
  /// What is wrong there.
  std::string detail;
};

/// The part of a chain that is kept.
struct AuditChain
{
  /// The hash of the last entry that is not kept any more.
  std::string anchor;
  AuditSequence first{ 1 };
  std::deque<AuditEntry> entries;
  /// The hash of the newest entry, or \p anchor if none is kept.
  std::string head;
};

/// Checks places, hashes and both ends of a chain.
std::optional<ChainBreak>
VerifyChain(const AuditChain& aChain);

/// Which entries to show. Both ends of a range are part of it.
struct AuditQuery
{
  AuditSequence from{ 1 };
  AuditSequence to{ std::numeric_limits<std::uint64_t>::max() };
  std::optional<OperatorId> who = std::nullopt;
  /// Entries that change this branch or one below it.
  std::optional<BranchPath> branch = std::nullopt;
  /// Counted from the newest.
  std::size_t limit = 100;
};

/// How much of the trail is kept.
struct AuditLimits
{
  std::size_t maxEntries = 5000;
  /// Bytes of the kept entries' texts; the newest entry is always kept.
  std::size_t maxBytes = 4 * 1024 * 1024;
};

/// The newest entries of the chain.
class AuditTrail
{
public:
  explicit AuditTrail(AuditLimits aLimits = {});

  /// Takes an entry, gives it its place and hash, and drops the oldest ones
  /// that find no room.
  void Append(AuditEntry aEntry);

  const AuditChain& Chain() const { return chain_; }
  /// The entries that \p aQuery asks for, oldest first.
  std::vector<AuditEntry> Find(const AuditQuery& aQuery) const;

  /// Replaces the trail. False, with the trail unchanged, if the chain does
  /// not hold.
  bool Load(AuditChain aChain, Error& aReason);

private:
  void DropOldest();

  AuditLimits limits_;
  AuditChain chain_;
  std::size_t bytes_ = 0;
};

/// The text of a value as the trail may show it: not that of a key or of a
/// name that is not known.
std::optional<std::string>
AuditedText(const std::string& aName, const std::optional<std::string>& aValue);

} // namespace greengage::state

#endif // GREENGAGE_STATE_AUDITTRAIL_H
