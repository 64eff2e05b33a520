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
  , hardState_(aState.hardState)
  , log_(aState.snapshot, std::move(aState.entries))
  , commitIndex_(log_.BaseIndex())
  , deliveredIndex_(commitIndex_)
  , durableIndex_(log_.LastIndex())
  , durableTerm_(hardState_.term)
  , lastLeaderContactAt_(aNow)
{
  assert(options_.self.incarnation != kAnyIncarnation &&
         "kAnyIncarnation cannot identify a replica");
  if (options_.mayBootstrap && log_.IsEmpty() && !hardState_.mayBootstrap) {
    hardState_.mayBootstrap = true;
    isBootstrapPermissionDirty_ = true;
  }
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
  isHardStateDirty_ = isHardStateDirty_ || isBootstrapPermissionDirty_;
  if (role_ == Role::Leader)
    CheckQuorum();
  if (role_ == Role::Leader) {
    TickTransfer();
    if (now_ >= nextHeartbeatAt_) {
      nextHeartbeatAt_ = now_ + options_.heartbeatInterval;
      RemoveUnresponsiveLearners();
      for (auto& [member, progress] : progress_)
        SendHeartbeat(member, progress);
      ReconcileVoters();
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
Replica::LeaseExpiresAt() const
{
  const Time never(std::numeric_limits<std::int64_t>::min() / 2);
  if (role_ != Role::Leader || transferTarget_)
    return never;
  std::vector<Time> answeredSendTimes;
  for (const ReplicaId& member : log_.LatestVoters()) {
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
  return quorumSendTime + options_.electionTimeout - options_.maxClockDrift;
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
  while (!deferredSends_.empty() &&
         deferredSends_.front().persistId <= aEvent.id) {
    outgoing_.push_back({ .send = std::move(deferredSends_.front().send),
                          .needsDurableState = false });
    deferredSends_.pop_front();
  }
  if (role_ == Role::Leader)
    MaybeCommit();
  else if (role_ == Role::Candidate)
    CountVotes();
  else if (leader_ && DurableMatch() > LogIndex(0))
    Acknowledge(leaderSentAt_);
}

void
Replica::On(Propose&& aEvent)
{
  std::optional<Refusal> refusal;
  if (role_ != Role::Leader ||
      aEvent.term.value_or(hardState_.term) != hardState_.term)
    refusal = Refusal::NotLeader;
  else if (transferTarget_)
    refusal = Refusal::Transferring;
  else if (aEvent.command.size() > options_.maxCommandBytes)
    refusal = Refusal::TooLarge;
  else if (pendingProposals_.size() >= options_.maxPendingProposals)
    refusal = Refusal::Overloaded;
  if (refusal) {
    pendingActions_.push_back(ProposalRefused{
      .id = aEvent.id, .reason = *refusal, .leader = leader_ });
    return;
  }
  pendingProposals_[Next(log_.LastIndex())] = aEvent.id;
  AppendToLog({ .term = hardState_.term,
                .kind = EntryKind::Command,
                .command = std::move(aEvent.command) });
  ReplicateToAll();
}

void
Replica::On(StepDown&& /*aEvent*/)
{
  BecomeFollower(hardState_.term, std::nullopt);
}

void
Replica::QueueMessage(const ReplicaId& aTo,
                      Message aMessage,
                      bool aNeedsDurableState)
{
  outgoing_.push_back({ .send = { .to = aTo, .message = std::move(aMessage) },
                        .needsDurableState = aNeedsDurableState });
}

void
Replica::Flush(Actions& aOut)
{
  EmitPersist(aOut);
  for (OutgoingMessage& outgoing : outgoing_) {
    if (outgoing.needsDurableState && !pendingWrites_.empty())
      deferredSends_.push_back(
        { .persistId = lastPersistId_, .send = std::move(outgoing.send) });
    else
      aOut.push_back(std::move(outgoing.send));
  }
  outgoing_.clear();
  for (Action& action : pendingActions_)
    aOut.push_back(std::move(action));
  pendingActions_.clear();
}

void
Replica::EmitPersist(Actions& aOut)
{
  if (!isHardStateDirty_ && !dirtySnapshot_ && !truncateFrom_ &&
      !firstDirtyIndex_)
    return;
  lastPersistId_ = PersistId(lastPersistId_.Value() + 1);
  Persist persist{ .id = lastPersistId_,
                   .hardState = std::nullopt,
                   .snapshot = std::move(dirtySnapshot_),
                   .truncateFrom = truncateFrom_,
                   .firstIndex = Next(log_.LastIndex()),
                   .entries = {} };
  if (isHardStateDirty_)
    persist.hardState = hardState_;
  if (firstDirtyIndex_ && *firstDirtyIndex_ <= log_.LastIndex()) {
    persist.firstIndex = *firstDirtyIndex_;
    persist.entries =
      log_.Slice(*firstDirtyIndex_, std::numeric_limits<std::size_t>::max());
  }
  pendingWrites_.push_back({ .id = lastPersistId_,
                             .lastIndex = log_.LastIndex(),
                             .term = hardState_.term });
  aOut.push_back(std::move(persist));
  isHardStateDirty_ = false;
  isBootstrapPermissionDirty_ = false;
  dirtySnapshot_.reset();
  truncateFrom_.reset();
  firstDirtyIndex_.reset();
}

void
Replica::AppendToLog(Entry aEntry)
{
  log_.Append(std::move(aEntry));
  if (!firstDirtyIndex_)
    firstDirtyIndex_ = log_.LastIndex();
}

void
Replica::TruncateFrom(LogIndex aIndex)
{
  assert(aIndex > commitIndex_ && "a committed entry cannot be truncated");
  log_.TruncateFrom(aIndex);
  truncateFrom_ = truncateFrom_ ? std::min(*truncateFrom_, aIndex) : aIndex;
  if (firstDirtyIndex_)
    firstDirtyIndex_ = std::min(*firstDirtyIndex_, aIndex);
  const LogIndex last = log_.LastIndex();
  durableIndex_ = std::min(durableIndex_, last);
  for (PendingWrite& write : pendingWrites_)
    write.lastIndex = std::min(write.lastIndex, last);
}

void
Replica::AdvanceCommit(LogIndex aIndex)
{
  if (aIndex <= commitIndex_)
    return;
  commitIndex_ = aIndex;
  DeliverCommitted();
  MaybeRequestSnapshot();
}

void
Replica::DeliverCommitted()
{
  while (deliveredIndex_ < commitIndex_) {
    deliveredIndex_ = Next(deliveredIndex_);
    const Entry& entry = log_.At(deliveredIndex_);
    Deliver deliver{ .index = deliveredIndex_,
                     .kind = entry.kind,
                     .command = entry.command,
                     .proposal = std::nullopt };
    const auto pending = pendingProposals_.find(deliveredIndex_);
    if (pending != pendingProposals_.end()) {
      deliver.proposal = pending->second;
      pendingProposals_.erase(pending);
    }
    pendingActions_.push_back(std::move(deliver));
  }
}

void
Replica::SetLeader(std::optional<ReplicaId> aLeader)
{
  if (leader_ == aLeader)
    return;
  leader_ = std::move(aLeader);
  pendingActions_.push_back(
    LeaderChanged{ .term = hardState_.term, .leader = leader_ });
}

void
Replica::SetTerm(Term aTerm)
{
  assert(aTerm >= hardState_.term && "the term cannot decrease");
  if (aTerm == hardState_.term)
    return;
  hardState_.term = aTerm;
  hardState_.vote.reset();
  isHardStateDirty_ = true;
  verifiedIndex_ = LogIndex(0);
  incomingSnapshot_.reset();
}

void
Replica::BecomeFollower(Term aTerm, std::optional<ReplicaId> aLeader)
{
  SetTerm(aTerm);
  for (const auto& [index, proposal] : pendingProposals_)
    pendingActions_.push_back(ProposalUnknown{ .id = proposal });
  pendingProposals_.clear();
  if (role_ != Role::Follower)
    ResetElectionTimer();
  if (role_ == Role::Candidate)
    std::erase_if(deferredSends_, [](const DeferredSend& aDeferred) {
      return std::holds_alternative<RequestVote>(aDeferred.send.message);
    });
  role_ = Role::Follower;
  progress_.clear();
  votes_.clear();
  bootstrapVoters_.reset();
  transferTarget_.reset();
  isTimeoutNowSent_ = false;
  SetLeader(std::move(aLeader));
}

std::size_t
Replica::Majority() const
{
  return log_.LatestVoters().size() / 2 + 1;
}

} // namespace greengage::consensus
