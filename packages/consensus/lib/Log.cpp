#include "greengage/consensus/Log.h"

#include <algorithm>
#include <cassert>

namespace greengage::consensus {

std::size_t
SizeOf(const Entry& aEntry)
{
  constexpr std::size_t kEntryOverhead = 32;
  constexpr std::size_t kMemberBytes = 64;
  return kEntryOverhead + aEntry.command.size() +
         aEntry.members.size() * kMemberBytes;
}

LogIndex
Next(LogIndex aIndex, std::uint64_t aCount)
{
  return LogIndex(aIndex.Value() + aCount);
}

LogIndex
Previous(LogIndex aIndex)
{
  assert(aIndex.Value() > 0 && "index 0 has no predecessor");
  return LogIndex(aIndex.Value() - 1);
}

Log::Log(SnapshotPtr aSnapshot, std::vector<Entry> aEntries)
{
  if (aSnapshot)
    Reset(std::move(aSnapshot));
  for (Entry& entry : aEntries)
    Append(std::move(entry));
}

LogIndex
Log::LastIndex() const
{
  return Next(baseIndex_, entries_.size());
}

Term
Log::LastTerm() const
{
  return entries_.empty() ? baseTerm_ : entries_.back().term;
}

std::size_t
Log::OffsetOf(LogIndex aIndex) const
{
  assert(aIndex > baseIndex_ && aIndex <= LastIndex() &&
         "the index is compacted or past the end of the log");
  return aIndex.Value() - baseIndex_.Value() - 1;
}

std::optional<Term>
Log::TermAt(LogIndex aIndex) const
{
  if (aIndex == baseIndex_)
    return baseTerm_;
  if (aIndex < baseIndex_ || aIndex > LastIndex())
    return std::nullopt;
  return entries_[OffsetOf(aIndex)].term;
}

const Entry&
Log::At(LogIndex aIndex) const
{
  return entries_[OffsetOf(aIndex)];
}

std::vector<Entry>
Log::Slice(LogIndex aFrom, std::size_t aMaxBytes) const
{
  std::vector<Entry> slice;
  std::size_t bytes = 0;
  for (LogIndex index = aFrom; index <= LastIndex(); index = Next(index)) {
    const Entry& entry = At(index);
    bytes += SizeOf(entry);
    if (!slice.empty() && bytes > aMaxBytes)
      break;
    slice.push_back(entry);
  }
  return slice;
}

LogIndex
Log::FindConflictByTerm(LogIndex aIndex, Term aTerm) const
{
  LogIndex index = std::min(aIndex, LastIndex());
  while (index > baseIndex_ && At(index).term > aTerm)
    index = Previous(index);
  const bool isBaseTermLater = index == baseIndex_ && baseTerm_ > aTerm;
  return isBaseTermLater ? Previous(index) : index;
}

void
Log::Append(Entry aEntry)
{
  bytesAfterSnapshot_ += SizeOf(aEntry);
  entries_.push_back(std::move(aEntry));
  if (entries_.back().kind == EntryKind::Configuration)
    votersByIndex_[LastIndex()] = entries_.back().members;
}

void
Log::TruncateFrom(LogIndex aIndex)
{
  assert(aIndex > baseIndex_ && "a compacted entry cannot be truncated");
  while (LastIndex() >= aIndex) {
    bytesAfterSnapshot_ -=
      std::min(bytesAfterSnapshot_, SizeOf(entries_.back()));
    entries_.pop_back();
  }
  votersByIndex_.erase(votersByIndex_.lower_bound(aIndex),
                       votersByIndex_.end());
}

void
Log::Compact(SnapshotPtr aSnapshot, std::size_t aKeepCount)
{
  const LogIndex index = aSnapshot->index;
  assert(TermAt(index) == aSnapshot->term &&
         "the snapshot does not match the log");
  snapshot_ = std::move(aSnapshot);
  const std::size_t coveredCount = index.Value() - baseIndex_.Value();
  const std::size_t dropCount =
    coveredCount > aKeepCount ? coveredCount - aKeepCount : 0;
  const LogIndex base = Next(baseIndex_, dropCount);
  baseTerm_ = *TermAt(base);
  baseIndex_ = base;
  entries_.erase(entries_.begin(),
                 entries_.begin() + static_cast<std::ptrdiff_t>(dropCount));
  votersByIndex_.erase(votersByIndex_.begin(),
                       votersByIndex_.upper_bound(index));
  votersByIndex_[index] = snapshot_->members;
  RecountBytesAfterSnapshot();
}

void
Log::Reset(SnapshotPtr aSnapshot)
{
  snapshot_ = std::move(aSnapshot);
  baseIndex_ = snapshot_->index;
  baseTerm_ = snapshot_->term;
  entries_.clear();
  votersByIndex_.clear();
  votersByIndex_[baseIndex_] = snapshot_->members;
  bytesAfterSnapshot_ = 0;
}

void
Log::RecountBytesAfterSnapshot()
{
  bytesAfterSnapshot_ = 0;
  for (LogIndex index = Next(snapshot_->index); index <= LastIndex();
       index = Next(index))
    bytesAfterSnapshot_ += SizeOf(At(index));
}

const VoterSet&
Log::LatestVoters() const
{
  static const VoterSet kNone;
  return votersByIndex_.empty() ? kNone : votersByIndex_.rbegin()->second;
}

LogIndex
Log::LatestVotersIndex() const
{
  return votersByIndex_.empty() ? LogIndex(0) : votersByIndex_.rbegin()->first;
}

VoterSet
Log::VotersAt(LogIndex aIndex) const
{
  const auto upper = votersByIndex_.upper_bound(aIndex);
  return upper == votersByIndex_.begin() ? VoterSet()
                                         : std::prev(upper)->second;
}

} // namespace greengage::consensus
