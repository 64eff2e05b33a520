#include "greengage/consensus/Replica.h"

#include <algorithm>
#include <utility>

namespace greengage::consensus {

namespace {

/// Number of election timeouts without a reply after which the leader stops
/// replicating to a learner.
constexpr std::int64_t kLearnerTimeoutInElectionTimeouts = 10;

/// Number of election timeouts without a reply after which a voter counts as
/// lost if another replica of its host replies.
constexpr std::int64_t kFormerReplicaTimeoutInElectionTimeouts = 2;

} // namespace

void
Replica::On(const ReplicaId& aFrom, Join&& /*aMessage*/)
{
  if (aFrom == options_.self)
    return;
  joinRequests_[aFrom.host] = { .from = aFrom, .receivedAt = now_ };
  if (role_ != Role::Leader) {
    QueueMessage(
      aFrom, JoinReply{ .leader = leader_, .isBootstrapped = !log_.IsEmpty() });
    return;
  }
  const auto [added, isNew] = progress_.try_emplace(
    aFrom, Next(log_.LastIndex()), now_, options_.flowControl);
  if (isNew)
    Replicate(aFrom, added->second);
}

void
Replica::On(const ReplicaId& /*aFrom*/, JoinReply&& aMessage)
{
  isBootstrappedElsewhere_ =
    isBootstrappedElsewhere_ || aMessage.isBootstrapped;
  // The leader may be on a host that isn't among the configured voters, so that
  // TickJoin doesn't reach it.
  const bool hasLeader = leader_ && HasLiveLeader();
  if (aMessage.leader && *aMessage.leader != options_.self && !hasLeader)
    QueueMessage(*aMessage.leader, Join{});
}

void
Replica::On(HostLocated&& aEvent)
{
  zones_[aEvent.host] = aEvent.availabilityZone;
}

void
Replica::On(LeaderAnnounced&& aEvent)
{
  isBootstrappedElsewhere_ = true;
  announcedLeader_ = std::move(aEvent.host);
  nextJoinAt_ = now_;
}

void
Replica::On(ChangeVoter&& aEvent)
{
  if (const auto refusal = CheckMemberChange(aEvent)) {
    pendingActions_.push_back(ProposalRefused{
      .id = aEvent.id, .reason = *refusal, .leader = leader_ });
    return;
  }
  pendingProposals_[Next(log_.LastIndex())] = aEvent.id;
  AppendMemberChange(aEvent.member, aEvent.isAdded);
}

std::optional<Refusal>
Replica::CheckMemberChange(const ChangeVoter& aEvent) const
{
  if (role_ != Role::Leader)
    return Refusal::NotLeader;
  if (transferTarget_)
    return Refusal::Transferring;
  if (IsChangePending())
    return Refusal::ChangePending;
  const bool isVoter = log_.LatestVoters().count(aEvent.member) != 0;
  if (isVoter == aEvent.isAdded || aEvent.member == options_.self)
    return Refusal::Invalid;
  if (aEvent.isAdded && !HasCaughtUp(aEvent.member))
    return Refusal::NotCaughtUp;
  return std::nullopt;
}

bool
Replica::IsChangePending() const
{
  // Until an entry of this term is committed, a configuration that an earlier
  // leader proposed may still turn out to be committed.
  return log_.LatestVotersIndex() > commitIndex_ ||
         commitIndex_ < termStartIndex_;
}

bool
Replica::HasCaughtUp(const ReplicaId& aMember) const
{
  const auto found = progress_.find(aMember);
  if (found == progress_.end())
    return false;
  const Progress& progress = found->second;
  const bool isResponsive =
    now_ - progress.LastReplyAt() < options_.electionTimeout;
  return isResponsive && Next(progress.MatchIndex(),
                              options_.maxPromotionLag) >= log_.LastIndex();
}

void
Replica::AppendMemberChange(const ReplicaId& aMember, bool aIsAdded)
{
  VoterSet members = log_.LatestVoters();
  if (aIsAdded)
    members.insert(aMember);
  else
    members.erase(aMember);
  AppendToLog({ .term = hardState_.term,
                .kind = EntryKind::Configuration,
                .command = {},
                .members = std::move(members) });
  TrackVoters();
  ReplicateToAll();
}

void
Replica::TrackVoters()
{
  for (const ReplicaId& member : log_.LatestVoters())
    if (member != options_.self)
      progress_.try_emplace(
        member, Next(log_.LastIndex()), now_, options_.flowControl);
}

std::size_t
Replica::TargetVoterCount() const
{
  return std::max(options_.voters.size(), 2 * options_.toleratedLosses + 1);
}

const ReplicaId*
Replica::VoterOf(const EntryHostId& aHost) const
{
  const VoterSet& voters = log_.LatestVoters();
  const auto found =
    std::find_if(voters.begin(), voters.end(), [&](const ReplicaId& aVoter) {
      return aVoter.host == aHost;
    });
  return found == voters.end() ? nullptr : &*found;
}

std::size_t
Replica::VotersInZoneOf(const EntryHostId& aHost) const
{
  const VoterSet& voters = log_.LatestVoters();
  const auto zone = zones_.find(aHost);
  // A host in an unknown zone counts as the only one in its zone.
  if (zone == zones_.end())
    return VoterOf(aHost) != nullptr ? 1 : 0;
  return static_cast<std::size_t>(
    std::count_if(voters.begin(), voters.end(), [&](const ReplicaId& aVoter) {
      const auto other = zones_.find(aVoter.host);
      return other != zones_.end() && other->second == zone->second;
    }));
}

/// Returns whether adding \p aLearner and removing another voter leads towards
/// a configuration that keeps a majority when any one zone is lost.
bool
Replica::ImprovesZoneSpread(const ReplicaId& aLearner) const
{
  const VoterSet& voters = log_.LatestVoters();
  return std::any_of(
    voters.begin(), voters.end(), [&](const ReplicaId& aVoter) {
      const std::size_t count = VotersInZoneOf(aVoter.host);
      return voters.size() - count < Majority() &&
             VotersInZoneOf(aLearner.host) + 1 < count;
    });
}

/// Returns the caught-up learner that should become the next voter, or null.
/// Zones with few voters go first, then configured hosts.
const ReplicaId*
Replica::PreferredLearner() const
{
  // Without replacement, learners on other hosts may have no disk.
  const bool areOthersEligible = options_.voterReplacementTimeout > Duration(0);
  const auto rank = [&](const ReplicaId& aMember) {
    const bool isConfigured = options_.voters.count(aMember.host) != 0;
    return std::pair(VotersInZoneOf(aMember.host), !isConfigured);
  };
  const ReplicaId* preferred = nullptr;
  for (const auto& [member, progress] : progress_) {
    const bool isConfigured = options_.voters.count(member.host) != 0;
    if ((!isConfigured && !areOthersEligible) ||
        VoterOf(member.host) != nullptr || !HasCaughtUp(member))
      continue;
    if (preferred == nullptr || rank(member) < rank(*preferred))
      preferred = &member;
  }
  return preferred;
}

void
Replica::ReconcileVoters()
{
  if (transferTarget_ || IsChangePending())
    return;
  if (!RemoveOutdatedIncarnation() && !AddMissingVoter())
    ReplaceUnresponsiveVoter();
}

/// Whether \p aVoter has been silent for so long that another replica of its
/// host that replies must have taken its place. Incarnations can't tell: the
/// clock that the newer one comes from may have been set back.
bool
Replica::IsFormerReplica(const ReplicaId& aVoter) const
{
  const auto found = progress_.find(aVoter);
  return found != progress_.end() &&
         now_ - found->second.LastReplyAt() >=
           options_.electionTimeout * kFormerReplicaTimeoutInElectionTimeouts;
}

/// Removes a voter whose disk is lost. The host's new incarnation is added once
/// the removal is committed.
bool
Replica::RemoveOutdatedIncarnation()
{
  for (const auto& [member, progress] : progress_) {
    const ReplicaId* voter = VoterOf(member.host);
    if (voter == nullptr || *voter == member || *voter == options_.self ||
        !HasCaughtUp(member))
      continue;
    if (voter->incarnation < member.incarnation || IsFormerReplica(*voter)) {
      AppendMemberChange(*voter, false);
      return true;
    }
  }
  return false;
}

bool
Replica::AddMissingVoter()
{
  // If replacement is enabled and the configuration has its full size, another
  // host has replaced the voter of a configured host.
  if (options_.voterReplacementTimeout > Duration(0) &&
      log_.LatestVoters().size() >= TargetVoterCount())
    return false;
  const ReplicaId* learner = PreferredLearner();
  if (learner == nullptr)
    return false;
  AppendMemberChange(*learner, true);
  return true;
}

/// Returns the priority for removal from an oversized configuration; the voter
/// with the highest value is removed. Hosts in the zone with the most voters
/// come first, among them those that aren't configured, and the leader last.
std::tuple<bool, std::size_t, bool>
Replica::RemovalPriority(const ReplicaId& aVoter) const
{
  return { aVoter != options_.self,
           VotersInZoneOf(aVoter.host),
           options_.voters.count(aVoter.host) == 0 };
}

/// Adds a caught-up learner as a voter, then removes the unresponsive voter, or
/// one of a zone whose loss would leave no majority. The two changes are
/// committed one after the other, and the number of voters never drops below
/// the target.
void
Replica::ReplaceUnresponsiveVoter()
{
  if (options_.voterReplacementTimeout <= Duration(0))
    return;
  const VoterSet& voters = log_.LatestVoters();
  const auto unresponsive =
    std::find_if(voters.begin(), voters.end(), [&](const ReplicaId& aVoter) {
      const auto found = progress_.find(aVoter);
      return found != progress_.end() && now_ - found->second.LastReplyAt() >=
                                           options_.voterReplacementTimeout;
    });
  if (voters.size() > TargetVoterCount()) {
    // Remove the unresponsive voter, or another one if all respond again.
    const auto removed =
      unresponsive != voters.end()
        ? unresponsive
        : std::max_element(
            voters.begin(),
            voters.end(),
            [&](const ReplicaId& aLeft, const ReplicaId& aRight) {
              return RemovalPriority(aLeft) < RemovalPriority(aRight);
            });
    AppendMemberChange(*removed, false);
    return;
  }
  const ReplicaId* learner = PreferredLearner();
  if (learner != nullptr &&
      (unresponsive != voters.end() || ImprovesZoneSpread(*learner)))
    AppendMemberChange(*learner, true);
}

void
Replica::RemoveUnresponsiveLearners()
{
  const Duration timeout =
    options_.electionTimeout * kLearnerTimeoutInElectionTimeouts;
  for (auto it = progress_.begin(); it != progress_.end();) {
    const bool isVoter = log_.LatestVoters().count(it->first) != 0;
    const bool isUnresponsive = now_ - it->second.LastReplyAt() >= timeout;
    it = !isVoter && isUnresponsive ? progress_.erase(it) : std::next(it);
  }
}

void
Replica::TickJoin()
{
  // Voters send Join too, since they may have been removed without receiving
  // the new configuration.
  const bool hasLeader = leader_ && HasLiveLeader();
  if (hasLeader || now_ < nextJoinAt_)
    return;
  nextJoinAt_ = now_ + options_.joinInterval;
  std::set<EntryHostId> targets = options_.voters;
  // None of the configured hosts may have the log.
  if (announcedLeader_)
    targets.insert(*announcedLeader_);
  for (const EntryHostId& host : targets)
    if (host != options_.self.host)
      QueueMessage({ .host = host, .incarnation = kAnyIncarnation }, Join{});
}

void
Replica::TryBootstrap()
{
  const bool isBootstrapHost =
    !options_.voters.empty() && *options_.voters.begin() == options_.self.host;
  const bool hasOtherBootstrapVote =
    hardState_.bootstrapVote && *hardState_.bootstrapVote != options_.self;
  if (!isBootstrapHost || !hardState_.mayBootstrap || !log_.IsEmpty() ||
      hasOtherBootstrapVote || isBootstrappedElsewhere_)
    return;
  VoterSet initialVoters{ options_.self };
  for (const EntryHostId& host : options_.voters) {
    if (host == options_.self.host)
      continue;
    const auto request = joinRequests_.find(host);
    const bool isRecent =
      request != joinRequests_.end() &&
      now_ - request->second.receivedAt < options_.electionTimeout * 2;
    if (!isRecent)
      return;
    initialVoters.insert(request->second.from);
  }
  bootstrapVoters_ = std::move(initialVoters);
  StartElection(false);
}

} // namespace greengage::consensus
