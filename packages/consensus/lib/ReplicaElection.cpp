#include "greengage/consensus/Replica.h"

#include <algorithm>
#include <tuple>

namespace greengage::consensus {

namespace {

/// Returns the term that the receiver of a message has to adopt if it is later
/// than its own; nullopt for messages that don't change the term.
struct TermOfMessage
{
  std::optional<Term> operator()(const Join& /*aMessage*/) const { return {}; }
  std::optional<Term> operator()(const JoinReply& /*aMessage*/) const
  {
    return {};
  }
  /// A pre-vote carries the term of the next election, which has not begun. A
  /// granted reply echoes that term; a rejection carries the voter's own term.
  std::optional<Term> operator()(const RequestVote& aMessage) const
  {
    if (aMessage.isPreVote)
      return {};
    return aMessage.term;
  }
  std::optional<Term> operator()(const VoteReply& aMessage) const
  {
    if (aMessage.isPreVote && aMessage.granted)
      return {};
    return aMessage.term;
  }
  template<typename Kind>
  std::optional<Term> operator()(const Kind& aMessage) const
  {
    return aMessage.term;
  }
};

} // namespace

bool
Replica::ObserveTerm(const ReplicaId& aFrom, const Message& aMessage)
{
  const auto* vote = std::get_if<RequestVote>(&aMessage);
  if (vote != nullptr && !vote->isTransfer && HasLiveLeader())
    return false;
  const std::optional<Term> term = std::visit(TermOfMessage(), aMessage);
  if (!term || *term <= hardState_.term)
    return true;
  const bool isFromLeader = std::holds_alternative<Append>(aMessage) ||
                            std::holds_alternative<SnapshotChunk>(aMessage);
  BecomeFollower(*term, isFromLeader ? std::optional(aFrom) : std::nullopt);
  return true;
}

bool
Replica::HasLiveLeader() const
{
  return role_ == Role::Leader ||
         now_ < lastLeaderContactAt_ + options_.electionTimeout;
}

bool
Replica::CanCampaign() const
{
  if (IsVoter())
    return true;
  // The latest configuration removes this replica but may not be committed yet.
  // This replica may be the only one whose log is complete enough to win an
  // election and commit it.
  const LogIndex latest = log_.LatestVotersIndex();
  return latest > commitIndex_ &&
         log_.VotersAt(Previous(latest)).count(options_.self) != 0;
}

bool
Replica::CanGrantVote(const ReplicaId& aFrom, const RequestVote& aMessage) const
{
  // The log of the candidate that got the bootstrap vote may hold committed
  // entries that this replica lacks. Another vote could bootstrap a second log
  // without them.
  const bool hasOtherBootstrapVote =
    hardState_.bootstrapVote && *hardState_.bootstrapVote != aFrom;
  if (aMessage.isBootstrap &&
      (!hardState_.mayBootstrap || !log_.IsEmpty() || hasOtherBootstrapVote))
    return false;
  const bool isUpToDate = std::tuple(aMessage.lastTerm, aMessage.lastIndex) >=
                          std::tuple(log_.LastTerm(), log_.LastIndex());
  if (!isUpToDate)
    return false;
  if (aMessage.isPreVote)
    return aMessage.term > hardState_.term;
  return aMessage.term == hardState_.term &&
         (!hardState_.vote || *hardState_.vote == aFrom);
}

void
Replica::On(const ReplicaId& aFrom, RequestVote&& aMessage)
{
  const bool granted = CanGrantVote(aFrom, aMessage);
  if (granted && !aMessage.isPreVote) {
    if (hardState_.vote != aFrom) {
      hardState_.vote = aFrom;
      isHardStateDirty_ = true;
    }
    if (aMessage.isBootstrap)
      hardState_.bootstrapVote = aFrom;
    ResetElectionTimer();
  }
  const bool isPreGrant = granted && aMessage.isPreVote;
  QueueMessage(aFrom,
               VoteReply{ .isPreVote = aMessage.isPreVote,
                          .term = isPreGrant ? aMessage.term : hardState_.term,
                          .granted = granted },
               !aMessage.isPreVote);
}

void
Replica::On(const ReplicaId& aFrom, VoteReply&& aMessage)
{
  if (!aMessage.granted)
    return;
  const bool isPreVote = role_ == Role::PreCandidate && aMessage.isPreVote &&
                         aMessage.term == Term(hardState_.term.Value() + 1);
  const bool isVote = role_ == Role::Candidate && !aMessage.isPreVote &&
                      aMessage.term == hardState_.term;
  if (!isPreVote && !isVote)
    return;
  votes_.insert(aFrom);
  CountVotes();
}

void
Replica::On(const ReplicaId& /*aFrom*/, TimeoutNow&& aMessage)
{
  const bool isCurrent =
    aMessage.term == hardState_.term && role_ == Role::Follower;
  if (isCurrent && IsVoter())
    StartElection(true);
}

void
Replica::ResetElectionTimer()
{
  const std::int64_t minMillis = options_.electionTimeout.Millis();
  std::uniform_int_distribution<std::int64_t> distribution(minMillis,
                                                           2 * minMillis - 1);
  electionDeadline_ = now_ + Duration(distribution(random_));
}

void
Replica::OnElectionTimeout()
{
  ResetElectionTimer();
  bootstrapVoters_.reset();
  if (CanCampaign()) {
    StartPreVote();
    return;
  }
  BecomeFollower(hardState_.term, std::nullopt);
  TryBootstrap();
}

void
Replica::StartPreVote()
{
  SetLeader(std::nullopt);
  role_ = Role::PreCandidate;
  votes_ = { options_.self };
  RequestVotes(true, false);
  CountVotes();
}

void
Replica::StartElection(bool aIsTransfer)
{
  SetLeader(std::nullopt);
  SetTerm(Term(hardState_.term.Value() + 1));
  hardState_.vote = options_.self;
  if (bootstrapVoters_)
    hardState_.bootstrapVote = options_.self;
  isHardStateDirty_ = true;
  role_ = Role::Candidate;
  votes_.clear();
  ResetElectionTimer();
  RequestVotes(false, aIsTransfer);
}

void
Replica::RequestVotes(bool aIsPreVote, bool aIsTransfer)
{
  const std::uint64_t termIncrement = aIsPreVote ? 1 : 0;
  const RequestVote request{ .isPreVote = aIsPreVote,
                             .isBootstrap = bootstrapVoters_.has_value(),
                             .isTransfer = aIsTransfer,
                             .term =
                               Term(hardState_.term.Value() + termIncrement),
                             .lastIndex = log_.LastIndex(),
                             .lastTerm = log_.LastTerm() };
  const VoterSet& voters =
    bootstrapVoters_ ? *bootstrapVoters_ : log_.LatestVoters();
  for (const ReplicaId& voter : voters)
    if (voter != options_.self)
      QueueMessage(voter, request, !aIsPreVote);
}

void
Replica::CountVotes()
{
  if (role_ == Role::Candidate && IsTermDurable())
    votes_.insert(options_.self);
  if (bootstrapVoters_) {
    if (votes_ == *bootstrapVoters_)
      BecomeLeader();
    return;
  }
  std::size_t count = 0;
  for (const ReplicaId& voter : log_.LatestVoters())
    count += votes_.count(voter);
  if (count < Majority())
    return;
  if (role_ == Role::PreCandidate)
    StartElection(false);
  else if (role_ == Role::Candidate)
    BecomeLeader();
}

void
Replica::BecomeLeader()
{
  role_ = Role::Leader;
  votes_.clear();
  SetLeader(options_.self);
  termStartIndex_ = Next(log_.LastIndex());
  Entry firstEntry{ .term = hardState_.term, .kind = EntryKind::Noop };
  if (bootstrapVoters_) {
    firstEntry.kind = EntryKind::Configuration;
    firstEntry.members = *bootstrapVoters_;
    bootstrapVoters_.reset();
  }
  AppendToLog(std::move(firstEntry));
  progress_.clear();
  TrackVoters();
  nextHeartbeatAt_ = now_ + options_.heartbeatInterval;
  ReplicateToAll();
}

void
Replica::CheckQuorum()
{
  std::size_t respondingCount = 0;
  for (const ReplicaId& member : log_.LatestVoters()) {
    const auto found = progress_.find(member);
    const bool isResponsive =
      found != progress_.end() &&
      now_ - found->second.LastReplyAt() < options_.electionTimeout;
    if (member == options_.self || isResponsive)
      ++respondingCount;
  }
  if (respondingCount < Majority())
    BecomeFollower(hardState_.term, std::nullopt);
}

void
Replica::On(TransferLeadership&& /*aEvent*/)
{
  if (role_ != Role::Leader || transferTarget_)
    return;
  const ReplicaId* target = nullptr;
  LogIndex targetMatch;
  for (const auto& [member, progress] : progress_) {
    const bool isVoter = log_.LatestVoters().count(member) != 0;
    const bool isResponsive =
      now_ - progress.LastReplyAt() < options_.electionTimeout;
    if (!isVoter || !isResponsive || progress.MatchIndex() < targetMatch)
      continue;
    target = &member;
    targetMatch = progress.MatchIndex();
  }
  if (target == nullptr)
    return;
  transferTarget_ = *target;
  transferDeadline_ = now_ + options_.electionTimeout;
  TryTransfer();
}

void
Replica::TryTransfer()
{
  if (!transferTarget_ || isTimeoutNowSent_)
    return;
  const auto found = progress_.find(*transferTarget_);
  if (found == progress_.end() || found->second.MatchIndex() < log_.LastIndex())
    return;
  isTimeoutNowSent_ = true;
  QueueMessage(*transferTarget_, TimeoutNow{ .term = hardState_.term });
}

void
Replica::TickTransfer()
{
  if (!transferTarget_ || now_ < transferDeadline_)
    return;
  // Once TimeoutNow is sent, the target may start an election at any time,
  // which voters grant in spite of the lease. This leader can't rely on its
  // lease again, so it steps down.
  if (isTimeoutNowSent_) {
    BecomeFollower(hardState_.term, std::nullopt);
    return;
  }
  transferTarget_.reset();
}

} // namespace greengage::consensus
