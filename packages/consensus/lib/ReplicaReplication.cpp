#include "greengage/consensus/Replica.h"

#include <algorithm>

namespace greengage::consensus {

bool
Replica::RejectStaleTerm(const ReplicaId& aFrom, Term aTerm, Time aSentAt)
{
  if (aTerm >= hardState_.term)
    return false;
  QueueMessage(aFrom,
               AppendReply{ .term = hardState_.term, .sentAt = aSentAt });
  return true;
}

void
Replica::FollowLeader(const ReplicaId& aLeader)
{
  if (role_ != Role::Follower || leader_ != aLeader)
    BecomeFollower(hardState_.term, aLeader);
  lastLeaderContactAt_ = now_;
  ResetElectionTimer();
}

void
Replica::On(const ReplicaId& aFrom, Append&& aMessage)
{
  if (RejectStaleTerm(aFrom, aMessage.term, aMessage.sentAt))
    return;
  FollowLeader(aFrom);
  leaderSentAt_ = std::max(leaderSentAt_, aMessage.sentAt);
  const LogIndex lastIndex = Next(aMessage.prevIndex, aMessage.entries.size());
  if (lastIndex < commitIndex_) {
    verifiedIndex_ = std::max(verifiedIndex_, commitIndex_);
    Acknowledge(aMessage.sentAt);
    return;
  }
  const bool isPrevCompacted = aMessage.prevIndex < log_.BaseIndex();
  if (!isPrevCompacted &&
      log_.TermAt(aMessage.prevIndex) != aMessage.prevTerm) {
    const LogIndex hint =
      log_.FindConflictByTerm(aMessage.prevIndex, aMessage.prevTerm);
    QueueMessage(aFrom,
                 AppendReply{ .term = hardState_.term,
                              .prevIndex = aMessage.prevIndex,
                              .hintIndex = hint,
                              .hintTerm = log_.TermAt(hint).value_or(Term(0)),
                              .sentAt = aMessage.sentAt });
    return;
  }
  const bool hasAppended =
    AppendMissing(aMessage.prevIndex, std::move(aMessage.entries));
  verifiedIndex_ = std::max({ verifiedIndex_, lastIndex, commitIndex_ });
  AdvanceCommit(std::min(aMessage.commit, lastIndex));
  // New entries are acknowledged when they are durable; see On(Persisted).
  if (!hasAppended)
    Acknowledge(aMessage.sentAt);
}

bool
Replica::AppendMissing(LogIndex aAfter, std::vector<Entry>&& aEntries)
{
  LogIndex index = aAfter;
  bool hasAppended = false;
  for (Entry& entry : aEntries) {
    index = Next(index);
    if (index <= commitIndex_ || log_.TermAt(index) == entry.term)
      continue;
    if (index <= log_.LastIndex())
      TruncateFrom(index);
    AppendToLog(std::move(entry));
    hasAppended = true;
  }
  return hasAppended;
}

LogIndex
Replica::DurableMatch() const
{
  return IsTermDurable() ? std::min(verifiedIndex_, durableIndex_)
                         : LogIndex(0);
}

void
Replica::Acknowledge(Time aSentAt)
{
  QueueMessage(*leader_,
               AppendReply{ .term = hardState_.term,
                            .accepted = true,
                            .verifiedIndex = verifiedIndex_,
                            .matchIndex = DurableMatch(),
                            .sentAt = aSentAt });
}

Progress*
Replica::RecordReplyFrom(const ReplicaId& aFrom, Term aTerm, Time aSentAt)
{
  const auto found = progress_.find(aFrom);
  if (role_ != Role::Leader || aTerm != hardState_.term ||
      found == progress_.end())
    return nullptr;
  found->second.RecordReply(now_, aSentAt);
  return &found->second;
}

void
Replica::On(const ReplicaId& aFrom, AppendReply&& aMessage)
{
  Progress* sender = RecordReplyFrom(aFrom, aMessage.term, aMessage.sentAt);
  if (sender == nullptr)
    return;
  Progress& progress = *sender;
  if (aMessage.accepted) {
    const bool hasAdvanced =
      progress.RecordAck(aMessage.verifiedIndex, aMessage.matchIndex);
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
Replica::Replicate(const ReplicaId& aTo, Progress& aProgress)
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
Replica::SendAppend(const ReplicaId& aTo,
                    Progress& aProgress,
                    bool aWithEntries)
{
  const LogIndex previous = Previous(aProgress.NextIndex());
  const std::optional<Term> previousTerm = log_.TermAt(previous);
  if (!previousTerm) {
    aProgress.BeginSnapshot(log_.LastSnapshot());
    SendSnapshotChunk(aTo, aProgress);
    return;
  }
  Append append{ .term = hardState_.term,
                 .prevIndex = previous,
                 .prevTerm = *previousTerm,
                 .entries = {},
                 .commit = commitIndex_,
                 .sentAt = now_ };
  if (aWithEntries) {
    append.entries = log_.Slice(Next(previous), options_.maxMessageBytes);
    std::size_t bytes = 0;
    for (const Entry& entry : append.entries)
      bytes += SizeOf(entry);
    aProgress.RecordSent(Next(previous, append.entries.size()), bytes);
  }
  QueueMessage(aTo, std::move(append));
}

void
Replica::SendHeartbeat(const ReplicaId& aTo, Progress& aProgress)
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
  for (const ReplicaId& member : log_.LatestVoters()) {
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
  if (majorityMatch <= commitIndex_ ||
      log_.TermAt(majorityMatch) != hardState_.term)
    return;
  AdvanceCommit(majorityMatch);
  for (auto& [member, progress] : progress_)
    if (progress.CurrentState() == Progress::State::Replicate)
      SendAppend(member, progress, false);
  StepDownIfRemoved();
}

void
Replica::StepDownIfRemoved()
{
  const bool isRemoved = !IsVoter() && log_.LatestVotersIndex() <= commitIndex_;
  if (isRemoved)
    BecomeFollower(hardState_.term, std::nullopt);
}

} // namespace greengage::consensus
