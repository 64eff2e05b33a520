#include "greengage/consensus/Replica.h"

#include <algorithm>

namespace greengage::consensus {

bool
Replica::RefuseStale(const MemberId& aFrom, Term aTerm, Time aSentAt)
{
  if (aTerm >= hard_.term)
    return false;
  Queue(aFrom, AppendReply{ .term = hard_.term, .sentAt = aSentAt });
  return true;
}

void
Replica::FollowLeader(const MemberId& aLeader)
{
  if (role_ != Role::Follower || leader_ != aLeader)
    BecomeFollower(hard_.term, aLeader);
  leaderHeardAt_ = now_;
  ResetElectionTimer();
}

void
Replica::On(const MemberId& aFrom, Append&& aMessage)
{
  if (RefuseStale(aFrom, aMessage.term, aMessage.sentAt))
    return;
  FollowLeader(aFrom);
  lastSentAt_ = std::max(lastSentAt_, aMessage.sentAt);
  const LogIndex lastIndex = Next(aMessage.prevIndex, aMessage.entries.size());
  if (lastIndex < commit_) {
    verified_ = std::max(verified_, commit_);
    Acknowledge(aMessage.sentAt);
    return;
  }
  const bool isPrevCompacted = aMessage.prevIndex < log_.BaseIndex();
  if (!isPrevCompacted &&
      log_.TermAt(aMessage.prevIndex) != aMessage.prevTerm) {
    const LogIndex hint =
      log_.FindConflictByTerm(aMessage.prevIndex, aMessage.prevTerm);
    Queue(aFrom,
          AppendReply{ .term = hard_.term,
                       .prevIndex = aMessage.prevIndex,
                       .hintIndex = hint,
                       .hintTerm = log_.TermAt(hint).value_or(Term(0)),
                       .sentAt = aMessage.sentAt });
    return;
  }
  const bool hasAppended =
    TakeEntries(aMessage.prevIndex, std::move(aMessage.entries));
  verified_ = std::max({ verified_, lastIndex, commit_ });
  CommitTo(std::min(aMessage.commit, lastIndex));
  // New entries are acknowledged when they are durable; see On(Persisted).
  if (!hasAppended)
    Acknowledge(aMessage.sentAt);
}

bool
Replica::TakeEntries(LogIndex aAfter, std::vector<Entry>&& aEntries)
{
  LogIndex at = aAfter;
  bool hasAppended = false;
  for (Entry& entry : aEntries) {
    at = Next(at);
    if (at <= commit_ || log_.TermAt(at) == entry.term)
      continue;
    if (at <= log_.LastIndex())
      TruncateFrom(at);
    AppendOwn(std::move(entry));
    hasAppended = true;
  }
  return hasAppended;
}

LogIndex
Replica::DurableMatch() const
{
  return IsTermDurable() ? std::min(verified_, durableIndex_) : LogIndex(0);
}

void
Replica::Acknowledge(Time aSentAt)
{
  Queue(*leader_,
        AppendReply{ .term = hard_.term,
                     .accepted = true,
                     .verified = verified_,
                     .match = DurableMatch(),
                     .sentAt = aSentAt });
}

Progress*
Replica::HeardFrom(const MemberId& aFrom, Term aTerm, Time aSentAt)
{
  const auto found = progress_.find(aFrom);
  if (role_ != Role::Leader || aTerm != hard_.term || found == progress_.end())
    return nullptr;
  found->second.RecordReply(now_, aSentAt);
  return &found->second;
}

void
Replica::On(const MemberId& aFrom, AppendReply&& aMessage)
{
  Progress* sender = HeardFrom(aFrom, aMessage.term, aMessage.sentAt);
  if (sender == nullptr)
    return;
  Progress& progress = *sender;
  if (aMessage.accepted) {
    const bool hasAdvanced =
      progress.RecordAck(aMessage.verified, aMessage.match);
    if (hasAdvanced) {
      MaybeCommit();
      TryTransfer();
    }
  } else if (progress.IsRejectionCurrent(aMessage.prevIndex)) {
    progress.RecordRejection(
      log_.FindConflictByTerm(aMessage.hintIndex, aMessage.hintTerm));
  }
  // The reply may have committed the removal of this replica, which ends its
  // leadership and destroys the progress.
  if (role_ == Role::Leader)
    Replicate(aFrom, progress);
}

void
Replica::ReplicateToAll()
{
  for (auto& [member, progress] : progress_)
    Replicate(member, progress);
}

void
Replica::Replicate(const MemberId& aTo, Progress& aProgress)
{
  while (aProgress.CanSend()) {
    const bool hasEntries = aProgress.NextIndex() <= log_.LastIndex();
    const bool isProbe = aProgress.CurrentState() == Progress::State::Probe;
    if (!hasEntries && !isProbe)
      return;
    SendAppend(aTo, aProgress, true);
  }
}

void
Replica::SendAppend(const MemberId& aTo, Progress& aProgress, bool aWithEntries)
{
  const LogIndex previous = Previous(aProgress.NextIndex());
  const std::optional<Term> previousTerm = log_.TermAt(previous);
  if (!previousTerm) {
    aProgress.BeginSnapshot(log_.LastSnapshot());
    SendSnapshotChunk(aTo, aProgress);
    return;
  }
  Append append{ .term = hard_.term,
                 .prevIndex = previous,
                 .prevTerm = *previousTerm,
                 .entries = {},
                 .commit = commit_,
                 .sentAt = now_ };
  if (aWithEntries) {
    append.entries = log_.Slice(Next(previous), options_.maxMessageBytes);
    std::size_t bytes = 0;
    for (const Entry& entry : append.entries)
      bytes += SizeOf(entry);
    aProgress.RecordSent(Next(previous, append.entries.size()), bytes);
  }
  Queue(aTo, std::move(append));
}

void
Replica::Heartbeat(const MemberId& aTo, Progress& aProgress)
{
  switch (aProgress.CurrentState()) {
    case Progress::State::Probe:
      aProgress.ResumeProbe();
      Replicate(aTo, aProgress);
      break;
    case Progress::State::Replicate:
      SendAppend(aTo, aProgress, false);
      break;
    case Progress::State::Snapshot:
      SendSnapshotChunk(aTo, aProgress);
      break;
  }
}

void
Replica::MaybeCommit()
{
  std::vector<LogIndex> matches;
  for (const MemberId& member : log_.LatestVoters()) {
    const auto found = progress_.find(member);
    if (member == options_.self)
      matches.push_back(IsTermDurable() ? durableIndex_ : LogIndex(0));
    else
      matches.push_back(found == progress_.end() ? LogIndex(0)
                                                 : found->second.MatchIndex());
  }
  std::sort(matches.rbegin(), matches.rend());
  const LogIndex majorityMatch = matches[Majority() - 1];
  // An entry of an earlier term is only committed together with one of this
  // term, since a later leader could still overwrite it (Raft, section 5.4.2).
  if (majorityMatch <= commit_ || log_.TermAt(majorityMatch) != hard_.term)
    return;
  CommitTo(majorityMatch);
  for (auto& [member, progress] : progress_)
    if (progress.CurrentState() == Progress::State::Replicate)
      SendAppend(member, progress, false);
  LeaveIfRemoved();
}

void
Replica::LeaveIfRemoved()
{
  const bool isRemoved = !IsVoter() && log_.LatestVotersIndex() <= commit_;
  if (isRemoved)
    BecomeFollower(hard_.term, std::nullopt);
}

} // namespace greengage::consensus
