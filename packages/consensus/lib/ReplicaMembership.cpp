#include "greengage/consensus/Replica.h"

#include <algorithm>

namespace greengage::consensus {

namespace {

/// Silence after which a learner is dropped, in election timeouts.
constexpr std::int64_t kLearnerTimeouts = 10;

} // namespace

void
Replica::On(const MemberId& aFrom, Join&& /*aMessage*/)
{
  if (aFrom == options_.self)
    return;
  joiners_[aFrom.host] = { .id = aFrom, .at = now_ };
  if (role_ != Role::Leader) {
    Queue(aFrom, JoinReply{ .leader = leader_, .isFounded = !log_.IsEmpty() });
    return;
  }
  const auto [added, isNew] =
    progress_.try_emplace(aFrom, Next(log_.LastIndex()), now_, options_.flow);
  if (isNew)
    Replicate(aFrom, added->second);
}

void
Replica::On(const MemberId& /*aFrom*/, JoinReply&& aMessage)
{
  isFoundedElsewhere_ = isFoundedElsewhere_ || aMessage.isFounded;
  // The leader may be a host that the settings don't name.
  const bool isLed = leader_ && HasLeaderLease();
  if (aMessage.leader && *aMessage.leader != options_.self && !isLed)
    Queue(*aMessage.leader, Join{});
}

void
Replica::On(ChangeMember&& aEvent)
{
  if (const auto refusal = RefusalOf(aEvent)) {
    others_.push_back(ProposalRefused{
      .id = aEvent.id, .reason = *refusal, .leader = leader_ });
    return;
  }
  proposals_[Next(log_.LastIndex())] = aEvent.id;
  ChangeMembers(aEvent.member, aEvent.isAdded);
}

std::optional<Refusal>
Replica::RefusalOf(const ChangeMember& aEvent) const
{
  if (role_ != Role::Leader)
    return Refusal::NotLeader;
  if (successor_)
    return Refusal::Transferring;
  if (IsChangePending())
    return Refusal::ChangePending;
  const bool isVoter = log_.LatestMembers().count(aEvent.member) != 0;
  if (isVoter == aEvent.isAdded || aEvent.member == options_.self)
    return Refusal::Invalid;
  if (aEvent.isAdded && !HasCaughtUp(aEvent.member))
    return Refusal::NotCaughtUp;
  return std::nullopt;
}

bool
Replica::IsChangePending() const
{
  // Until an entry of this term is committed, a change of an earlier leader
  // may still come to light.
  return log_.LatestMembersIndex() > commit_ || commit_ < termStart_;
}

bool
Replica::HasCaughtUp(const MemberId& aMember) const
{
  const auto found = progress_.find(aMember);
  if (found == progress_.end())
    return false;
  const Progress& progress = found->second;
  const bool isHeard = now_ - progress.LastHeard() < options_.electionTimeout;
  return isHeard &&
         Next(progress.Match(), options_.maxLagToVote) >= log_.LastIndex();
}

void
Replica::ChangeMembers(const MemberId& aMember, bool aIsAdded)
{
  Members members = log_.LatestMembers();
  if (aIsAdded)
    members.insert(aMember);
  else
    members.erase(aMember);
  AppendOwn({ .term = hard_.term,
              .kind = EntryKind::NewMembers,
              .command = {},
              .members = std::move(members) });
  AddVoterProgress();
  ReplicateToAll();
}

void
Replica::AddVoterProgress()
{
  for (const MemberId& member : log_.LatestMembers())
    if (member != options_.self)
      progress_.try_emplace(
        member, Next(log_.LastIndex()), now_, options_.flow);
}

void
Replica::MaintainMembers()
{
  if (successor_ || IsChangePending())
    return;
  const Members& voters = log_.LatestMembers();
  for (const auto& [member, progress] : progress_) {
    const bool isWanted = options_.voters.count(member.host) != 0;
    if (!isWanted || voters.count(member) != 0 || !HasCaughtUp(member))
      continue;
    const EntryHostId& host = member.host;
    const auto former =
      std::find_if(voters.begin(), voters.end(), [&](const MemberId& aVoter) {
        return aVoter.host == host;
      });
    if (former == voters.end()) {
      // Another host may have taken its place.
      if (options_.replaceAfter > Duration(0) &&
          voters.size() >= options_.voters.size())
        continue;
      ChangeMembers(member, true);
      return;
    }
    // The host has lost the disk of its former incarnation.
    if (former->incarnation < member.incarnation && *former != options_.self) {
      ChangeMembers(*former, false);
      return;
    }
  }
  ReplaceSilentVoter();
}

/// The higher, the sooner a voter is removed where there is one too many.
int
Replica::RemovalRank(const MemberId& aVoter) const
{
  if (aVoter == options_.self)
    return 0;
  return options_.voters.count(aVoter.host) != 0 ? 1 : 2;
}

/// Makes a follower a voter, and then the silent one none: one change at a
/// time, and never fewer voters than wanted.
void
Replica::ReplaceSilentVoter()
{
  if (options_.replaceAfter <= Duration(0))
    return;
  const Members& voters = log_.LatestMembers();
  const auto silent =
    std::find_if(voters.begin(), voters.end(), [&](const MemberId& aVoter) {
      const auto found = progress_.find(aVoter);
      return found != progress_.end() &&
             now_ - found->second.LastHeard() >= options_.replaceAfter;
    });
  if (voters.size() > options_.voters.size()) {
    // The silent one, or if it has come back meanwhile the one that was added.
    const auto surplus =
      silent != voters.end()
        ? silent
        : std::max_element(voters.begin(),
                           voters.end(),
                           [&](const MemberId& aLeft, const MemberId& aRight) {
                             return RemovalRank(aLeft) < RemovalRank(aRight);
                           });
    ChangeMembers(*surplus, false);
    return;
  }
  if (silent == voters.end())
    return;
  const auto isOfVoter = [&](const MemberId& aMember) {
    return std::any_of(
      voters.begin(), voters.end(), [&](const MemberId& aVoter) {
        return aVoter.host == aMember.host;
      });
  };
  for (const auto& [member, progress] : progress_)
    if (!isOfVoter(member) && HasCaughtUp(member)) {
      ChangeMembers(member, true);
      return;
    }
}

void
Replica::DropSilentLearners()
{
  const Duration silence = options_.electionTimeout * kLearnerTimeouts;
  for (auto at = progress_.begin(); at != progress_.end();) {
    const bool isVoter = log_.LatestMembers().count(at->first) != 0;
    const bool isSilent = now_ - at->second.LastHeard() >= silence;
    at = !isVoter && isSilent ? progress_.erase(at) : std::next(at);
  }
}

void
Replica::TickJoin()
{
  // Voters ask too: they may have been removed without hearing of it.
  const bool isLed = leader_ && HasLeaderLease();
  if (isLed || now_ < nextJoin_)
    return;
  nextJoin_ = now_ + options_.joinInterval;
  for (const EntryHostId& host : options_.voters)
    if (host != options_.self.host)
      Queue({ .host = host, .incarnation = kAnyIncarnation }, Join{});
}

void
Replica::TryFound()
{
  const bool isFirst =
    !options_.voters.empty() && *options_.voters.begin() == options_.self.host;
  const bool isPromised = hard_.founder && *hard_.founder != options_.self;
  if (!isFirst || !log_.IsEmpty() || isPromised || isFoundedElsewhere_)
    return;
  Members founders{ options_.self };
  for (const EntryHostId& host : options_.voters) {
    if (host == options_.self.host)
      continue;
    const auto joiner = joiners_.find(host);
    const bool isRecent =
      joiner != joiners_.end() &&
      now_ - joiner->second.at < options_.electionTimeout * 2;
    if (!isRecent)
      return;
    founders.insert(joiner->second.id);
  }
  founders_ = std::move(founders);
  StartElection(false);
}

} // namespace greengage::consensus
