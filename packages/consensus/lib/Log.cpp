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
  return Next(base_, entries_.size());
}

Term
Log::LastTerm() const
{
  return entries_.empty() ? baseTerm_ : entries_.back().term;
}

std::size_t
Log::OffsetOf(LogIndex aIndex) const
{
  assert(aIndex > base_ && aIndex <= LastIndex() &&
         "the index is compacted or past the end of the log");
  return aIndex.Value() - base_.Value() - 1;
}

std::optional<Term>
Log::TermAt(LogIndex aIndex) const
{
  if (aIndex == base_)
    return baseTerm_;
  if (aIndex < base_ || aIndex > LastIndex())
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
  for (LogIndex at = aFrom; at <= LastIndex(); at = Next(at)) {
    const Entry& entry = At(at);
    bytes += SizeOf(entry);
    if (!slice.empty() && bytes > aMaxBytes)
      break;
    slice.push_back(entry);
  }
  return slice;
}

LogIndex
Log::LastNotAfter(LogIndex aIndex, Term aTerm) const
{
  LogIndex at = std::min(aIndex, LastIndex());
  while (at > base_ && At(at).term > aTerm)
    at = Previous(at);
  const bool isBaseTermLater = at == base_ && baseTerm_ > aTerm;
  return isBaseTermLater ? Previous(at) : at;
}

void
Log::Append(Entry aEntry)
{
  bytesAfterSnapshot_ += SizeOf(aEntry);
  entries_.push_back(std::move(aEntry));
  if (entries_.back().kind == EntryKind::NewMembers)
    members_[LastIndex()] = entries_.back().members;
}

void
Log::TruncateFrom(LogIndex aIndex)
{
  assert(aIndex > base_ && "a compacted entry cannot be truncated");
  while (LastIndex() >= aIndex) {
    bytesAfterSnapshot_ -=
      std::min(bytesAfterSnapshot_, SizeOf(entries_.back()));
    entries_.pop_back();
  }
  members_.erase(members_.lower_bound(aIndex), members_.end());
}

void
Log::Compact(SnapshotPtr aSnapshot, std::size_t aKeepCount)
{
  const LogIndex at = aSnapshot->index;
  assert(TermAt(at) == aSnapshot->term &&
         "the snapshot does not match the log");
  snapshot_ = std::move(aSnapshot);
  const std::size_t coveredCount = at.Value() - base_.Value();
  const std::size_t dropCount =
    coveredCount > aKeepCount ? coveredCount - aKeepCount : 0;
  const LogIndex base = Next(base_, dropCount);
  baseTerm_ = *TermAt(base);
  base_ = base;
  entries_.erase(entries_.begin(),
                 entries_.begin() + static_cast<std::ptrdiff_t>(dropCount));
  members_.erase(members_.begin(), members_.upper_bound(at));
  members_[at] = snapshot_->members;
  CountBytes();
}

void
Log::Reset(SnapshotPtr aSnapshot)
{
  snapshot_ = std::move(aSnapshot);
  base_ = snapshot_->index;
  baseTerm_ = snapshot_->term;
  entries_.clear();
  members_.clear();
  members_[base_] = snapshot_->members;
  bytesAfterSnapshot_ = 0;
}

void
Log::CountBytes()
{
  bytesAfterSnapshot_ = 0;
  for (LogIndex at = Next(snapshot_->index); at <= LastIndex(); at = Next(at))
    bytesAfterSnapshot_ += SizeOf(At(at));
}

const Members&
Log::LatestMembers() const
{
  static const Members kNone;
  return members_.empty() ? kNone : members_.rbegin()->second;
}

LogIndex
Log::LatestMembersIndex() const
{
  return members_.empty() ? LogIndex(0) : members_.rbegin()->first;
}

Members
Log::MembersAt(LogIndex aIndex) const
{
  const auto upper = members_.upper_bound(aIndex);
  return upper == members_.begin() ? Members() : std::prev(upper)->second;
}

} // namespace greengage::consensus
