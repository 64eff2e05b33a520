#include "greengage/consensus/Replica.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace greengage::consensus {

Replica::Replica(ReplicaOptions aOptions, DurableState aState, Time aNow)
  : options_(std::move(aOptions))
  , random_(options_.seed)
  , now_(aNow)
  , startedAt_(aNow)
  , hard_(aState.hardState)
  , log_(aState.snapshot, std::move(aState.entries))
  , commit_(log_.BaseIndex())
  , delivered_(commit_)
  , durableIndex_(log_.LastIndex())
  , durableTerm_(hard_.term)
  , leaderHeardAt_(aNow)
{
  assert(options_.self.incarnation != kAnyIncarnation &&
         "kAnyIncarnation cannot identify a replica");
  ResetElectionTimer();
}

void
Replica::Handle(Event&& aEvent, Time aNow, Actions& aOut)
{
  now_ = aNow;
  std::visit([this](auto&& aKind) { On(std::forward<decltype(aKind)>(aKind)); },
             std::move(aEvent));
  Flush(aOut);
}

void
Replica::Tick(Time aNow, Actions& aOut)
{
  now_ = aNow;
  if (role_ == Role::Leader)
    CheckQuorum();
  if (role_ == Role::Leader) {
    TickTransfer();
    if (now_ >= nextHeartbeat_) {
      nextHeartbeat_ = now_ + options_.heartbeatInterval;
      DropSilentLearners();
      for (auto& [member, progress] : progress_)
        Heartbeat(member, progress);
      MaintainMembers();
    }
  } else {
    if (now_ >= electionDeadline_)
      OnElectionTimeout();
    TickJoin();
  }
  Flush(aOut);
}

bool
Replica::IsVoter() const
{
  return log_.LatestVoters().count(options_.self) != 0;
}

Time
Replica::LeaderUntil() const
{
  const Time never(std::numeric_limits<std::int64_t>::min() / 2);
  if (role_ != Role::Leader || successor_)
    return never;
  std::vector<Time> answeredSendTimes;
  for (const MemberId& member : log_.LatestVoters()) {
    const auto found = progress_.find(member);
    if (member == options_.self)
      answeredSendTimes.push_back(now_);
    else
      answeredSendTimes.push_back(found == progress_.end()
                                    ? never
                                    : found->second.LastAnsweredSendTime());
  }
  std::sort(answeredSendTimes.rbegin(), answeredSendTimes.rend());
  // A majority has answered messages that were sent at this time or later, and
  // denies votes for an election timeout after it received them.
  const Time quorumSendTime = answeredSendTimes[Majority() - 1];
  return quorumSendTime + options_.electionTimeout - options_.clockDrift;
}

void
Replica::On(Receive&& aEvent)
{
  // Messages to an earlier incarnation of this host are dropped.
  const bool isForAnyIncarnation = aEvent.to.incarnation == kAnyIncarnation &&
                                   std::holds_alternative<Join>(aEvent.message);
  const bool isForSelf = aEvent.to == options_.self;
  const bool isSameHost = aEvent.to.host == options_.self.host;
  if (!isForSelf && !(isForAnyIncarnation && isSameHost))
    return;
  if (!ObserveTerm(aEvent.from, aEvent.message))
    return;
  std::visit(
    [this, &aEvent](auto&& aKind) {
      On(aEvent.from, std::forward<decltype(aKind)>(aKind));
    },
    std::move(aEvent.message));
}

void
Replica::On(Persisted&& aEvent)
{
  while (!pendingWrites_.empty() && pendingWrites_.front().id <= aEvent.id) {
    durableIndex_ = pendingWrites_.front().lastIndex;
    durableTerm_ = pendingWrites_.front().term;
    pendingWrites_.pop_front();
  }
  while (!held_.empty() && held_.front().after <= aEvent.id) {
    outgoing_.push_back(
      { .send = std::move(held_.front().send), .isPromise = false });
    held_.pop_front();
  }
  if (role_ == Role::Leader)
    MaybeCommit();
  else if (role_ == Role::Candidate)
    CountVotes();
  else if (leader_ && DurableMatch() > LogIndex(0))
    Acknowledge(lastSentAt_);
}

void
Replica::On(Propose&& aEvent)
{
  std::optional<Refusal> refusal;
  if (role_ != Role::Leader)
    refusal = Refusal::NotLeader;
  else if (successor_)
    refusal = Refusal::Transferring;
  else if (aEvent.command.size() > options_.maxCommandBytes)
    refusal = Refusal::TooLarge;
  else if (proposals_.size() >= options_.maxProposals)
    refusal = Refusal::Overloaded;
  if (refusal) {
    others_.push_back(ProposalRefused{
      .id = aEvent.id, .reason = *refusal, .leader = leader_ });
    return;
  }
  proposals_[Next(log_.LastIndex())] = aEvent.id;
  AppendOwn({ .term = hard_.term,
              .kind = EntryKind::Command,
              .command = std::move(aEvent.command) });
  ReplicateToAll();
}

void
Replica::On(StepDown&& /*aEvent*/)
{
  BecomeFollower(hard_.term, std::nullopt);
}

void
Replica::Queue(const MemberId& aTo, Message aMessage, bool aNeedsDurableState)
{
  outgoing_.push_back({ .send = { .to = aTo, .message = std::move(aMessage) },
                        .isPromise = aNeedsDurableState });
}

void
Replica::Flush(Actions& aOut)
{
  EmitPersist(aOut);
  for (Outgoing& outgoing : outgoing_) {
    if (outgoing.isPromise && !pendingWrites_.empty())
      held_.push_back(
        { .after = lastPersist_, .send = std::move(outgoing.send) });
    else
      aOut.push_back(std::move(outgoing.send));
  }
  outgoing_.clear();
  for (Action& action : others_)
    aOut.push_back(std::move(action));
  others_.clear();
}

void
Replica::EmitPersist(Actions& aOut)
{
  if (!isHardStateDirty_ && !dirtySnapshot_ && !truncateFrom_ && !dirtyFrom_)
    return;
  lastPersist_ = PersistId(lastPersist_.Value() + 1);
  Persist persist{ .id = lastPersist_,
                   .hardState = std::nullopt,
                   .snapshot = std::move(dirtySnapshot_),
                   .truncateFrom = truncateFrom_,
                   .firstIndex = Next(log_.LastIndex()),
                   .entries = {} };
  if (isHardStateDirty_)
    persist.hardState = hard_;
  if (dirtyFrom_ && *dirtyFrom_ <= log_.LastIndex()) {
    persist.firstIndex = *dirtyFrom_;
    persist.entries =
      log_.Slice(*dirtyFrom_, std::numeric_limits<std::size_t>::max());
  }
  pendingWrites_.push_back(
    { .id = lastPersist_, .lastIndex = log_.LastIndex(), .term = hard_.term });
  aOut.push_back(std::move(persist));
  isHardStateDirty_ = false;
  dirtySnapshot_.reset();
  truncateFrom_.reset();
  dirtyFrom_.reset();
}

void
Replica::AppendOwn(Entry aEntry)
{
  log_.Append(std::move(aEntry));
  if (!dirtyFrom_)
    dirtyFrom_ = log_.LastIndex();
}

void
Replica::TruncateFrom(LogIndex aIndex)
{
  assert(aIndex > commit_ && "a committed entry cannot be truncated");
  log_.TruncateFrom(aIndex);
  truncateFrom_ = truncateFrom_ ? std::min(*truncateFrom_, aIndex) : aIndex;
  if (dirtyFrom_)
    dirtyFrom_ = std::min(*dirtyFrom_, aIndex);
  const LogIndex last = log_.LastIndex();
  durableIndex_ = std::min(durableIndex_, last);
  for (PendingWrite& write : pendingWrites_)
    write.lastIndex = std::min(write.lastIndex, last);
}

void
Replica::CommitTo(LogIndex aIndex)
{
  if (aIndex <= commit_)
    return;
  commit_ = aIndex;
  DeliverCommitted();
  MaybeWantSnapshot();
}

void
Replica::DeliverCommitted()
{
  while (delivered_ < commit_) {
    delivered_ = Next(delivered_);
    const Entry& entry = log_.At(delivered_);
    Deliver deliver{ .index = delivered_,
                     .kind = entry.kind,
                     .command = entry.command,
                     .proposal = std::nullopt };
    const auto pending = proposals_.find(delivered_);
    if (pending != proposals_.end()) {
      deliver.proposal = pending->second;
      proposals_.erase(pending);
    }
    others_.push_back(std::move(deliver));
  }
}

void
Replica::SetLeader(std::optional<MemberId> aLeader)
{
  if (leader_ == aLeader)
    return;
  leader_ = std::move(aLeader);
  others_.push_back(LeaderChanged{ .term = hard_.term, .leader = leader_ });
}

void
Replica::SetTerm(Term aTerm)
{
  assert(aTerm >= hard_.term && "the term cannot decrease");
  if (aTerm == hard_.term)
    return;
  hard_.term = aTerm;
  hard_.vote.reset();
  isHardStateDirty_ = true;
  verified_ = LogIndex(0);
  incoming_.reset();
}

void
Replica::BecomeFollower(Term aTerm, std::optional<MemberId> aLeader)
{
  SetTerm(aTerm);
  for (const auto& [index, proposal] : proposals_)
    others_.push_back(ProposalUnknown{ .id = proposal });
  proposals_.clear();
  if (role_ != Role::Follower)
    ResetElectionTimer();
  role_ = Role::Follower;
  progress_.clear();
  votes_.clear();
  founders_.reset();
  successor_.reset();
  isSuccessorAsked_ = false;
  SetLeader(std::move(aLeader));
}

std::size_t
Replica::Majority() const
{
  return log_.LatestVoters().size() / 2 + 1;
}

} // namespace greengage::consensus
