/// \file
/// The in-memory log of a replica: the entries after the compacted prefix, the
/// latest snapshot and the voter configurations. It makes no protocol
/// decisions.

#ifndef GREENGAGE_CONSENSUS_LOG_H
#define GREENGAGE_CONSENSUS_LOG_H

#include "greengage/consensus/Messages.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace greengage::consensus {

/// A log whose indexes start at 1 and whose prefix may be compacted away.
class Log
{
public:
  /// \p aEntries start right after the index of \p aSnapshot, or at index 1 if
  /// \p aSnapshot is null.
  Log(SnapshotPtr aSnapshot, std::vector<Entry> aEntries);

  bool IsEmpty() const { return LastIndex() == LogIndex(0); }
  LogIndex LastIndex() const;
  Term LastTerm() const;
  /// The last compacted index; 0 if nothing is compacted.
  LogIndex BaseIndex() const { return baseIndex_; }
  /// The term of the entry at \p aIndex, which may be the base index.
  /// \returns nullopt if \p aIndex is below the base or after the last entry.
  std::optional<Term> TermAt(LogIndex aIndex) const;
  /// \pre \p aIndex is neither compacted nor past the last entry.
  const Entry& At(LogIndex aIndex) const;
  /// Entries from \p aFrom on with a total size of at most \p aMaxBytes, but
  /// always the first one if there is any.
  std::vector<Entry> Slice(LogIndex aFrom, std::size_t aMaxBytes) const;
  /// The largest index not above \p aIndex whose term is at most \p aTerm. A
  /// log that has \p aTerm at \p aIndex can't match this one after the returned
  /// index, since terms never decrease along a log. If the base and all entries
  /// up to \p aIndex have later terms, it is the index before the base.
  LogIndex FindConflictByTerm(LogIndex aIndex, Term aTerm) const;
  /// The total size of the entries after the index of the latest snapshot.
  std::size_t BytesAfterSnapshot() const { return bytesAfterSnapshot_; }

  void Append(Entry aEntry);
  /// Removes the entries from \p aIndex on, none of which may be compacted.
  void TruncateFrom(LogIndex aIndex);
  /// Replaces the snapshot by a newer one of this log and compacts all but
  /// \p aKeepCount entries up to its index. These remain for lagging followers,
  /// so that they don't need the snapshot.
  void Compact(SnapshotPtr aSnapshot, std::size_t aKeepCount);
  /// Discards all entries and starts after \p aSnapshot, which comes from
  /// another replica and doesn't match this log.
  void Reset(SnapshotPtr aSnapshot);

  const SnapshotPtr& LastSnapshot() const { return snapshot_; }
  /// The voters of the latest configuration in the log, committed or not.
  const VoterSet& LatestVoters() const;
  /// The index of that configuration; 0 if there is none.
  LogIndex LatestVotersIndex() const;
  /// The voters of the latest configuration at or before \p aIndex.
  VoterSet VotersAt(LogIndex aIndex) const;

private:
  std::size_t OffsetOf(LogIndex aIndex) const;
  void RecountBytesAfterSnapshot();

  SnapshotPtr snapshot_;
  LogIndex baseIndex_;
  Term baseTerm_;
  std::deque<Entry> entries_;
  std::size_t bytesAfterSnapshot_ = 0;
  /// Voter configurations by the index of their entry or snapshot.
  std::map<LogIndex, VoterSet> votersByIndex_;
};

/// The index \p aCount after \p aIndex.
LogIndex
Next(LogIndex aIndex, std::uint64_t aCount = 1);

/// The index before \p aIndex.
/// \pre \p aIndex is not 0.
LogIndex
Previous(LogIndex aIndex);

} // namespace greengage::consensus

#endif // GREENGAGE_CONSENSUS_LOG_H
