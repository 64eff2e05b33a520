/// \file
/// The log of a replica in memory: the entries after a compacted prefix, and
/// which voters each place of the log has. It decides nothing.

#ifndef GREENGAGE_CONSENSUS_LOG_H
#define GREENGAGE_CONSENSUS_LOG_H

#include "greengage/consensus/Messages.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace greengage::consensus {

/// Entries counted from 1, of which a prefix may be gone.
class Log
{
public:
  /// \p aEntries follow \p aSnapshot, which may be empty, without a gap.
  Log(SnapshotPtr aSnapshot, std::vector<Entry> aEntries);

  bool IsEmpty() const { return LastIndex() == LogIndex(0); }
  LogIndex LastIndex() const;
  Term LastTerm() const;
  /// The last index that is compacted away.
  LogIndex BaseIndex() const { return base_; }
  /// \returns nothing for places that are compacted away or not written.
  std::optional<Term> TermAt(LogIndex aIndex) const;
  /// The entry at \p aIndex, which must be there.
  const Entry& At(LogIndex aIndex) const;
  /// Entries from \p aFrom on, at least one, up to \p aMaxBytes in sum.
  std::vector<Entry> Slice(LogIndex aFrom, std::size_t aMaxBytes) const;
  /// The largest index up to \p aIndex whose term is at most \p aTerm; one
  /// before the base if all that is left is of later terms.
  LogIndex LastNotAfter(LogIndex aIndex, Term aTerm) const;
  /// The bytes of all entries from the snapshot's index on.
  std::size_t BytesAfterSnapshot() const { return bytesAfterSnapshot_; }

  void Append(Entry aEntry);
  void TruncateFrom(LogIndex aIndex);
  /// Takes a newer snapshot of this log, and keeps up to \p aKeep entries
  /// before its index for followers that lag.
  void Compact(SnapshotPtr aSnapshot, std::size_t aKeep);
  /// Forgets all entries in favour of a snapshot of another replica.
  void Reset(SnapshotPtr aSnapshot);

  const SnapshotPtr& LastSnapshot() const { return snapshot_; }
  /// The voters by the last entry that names them.
  const Members& LatestMembers() const;
  /// Where they are named; 0 if nowhere.
  LogIndex LatestMembersIndex() const;
  Members MembersAt(LogIndex aIndex) const;

private:
  std::size_t OffsetOf(LogIndex aIndex) const;
  void CountBytes();

  SnapshotPtr snapshot_;
  LogIndex base_;
  Term baseTerm_;
  std::deque<Entry> entries_;
  std::size_t bytesAfterSnapshot_ = 0;
  std::map<LogIndex, Members> members_;
};

/// The index \p aCount places after \p aIndex.
LogIndex
Next(LogIndex aIndex, std::uint64_t aCount = 1);

/// The index before \p aIndex, which must not be 0.
LogIndex
Previous(LogIndex aIndex);

} // namespace greengage::consensus

#endif // GREENGAGE_CONSENSUS_LOG_H
