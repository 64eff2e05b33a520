/// \file
/// A replica of the replicated log. It implements Raft with pre-vote, check
/// quorum, single-server configuration changes and leadership transfer as a
/// deterministic state machine: it gets events and the current time and returns
/// actions, and uses no sockets, encodings, threads, disks or clocks.

#ifndef GREENGAGE_CONSENSUS_REPLICA_H
#define GREENGAGE_CONSENSUS_REPLICA_H

#include "greengage/consensus/Log.h"
#include "greengage/consensus/Messages.h"
#include "greengage/consensus/Progress.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <tuple>
#include <vector>

namespace greengage::consensus {

/// The identity, timeouts and limits of a replica.
struct ReplicaOptions
{
  ReplicaId self;
  /// The hosts that the settings name as voters. A replica on another host is a
  /// learner unless it replaces a voter or more voters are needed.
  std::set<EntryHostId> voters = {};
  /// The number of disks whose simultaneous loss the log has to survive. The
  /// leader adds learners until there are 2 * toleratedLosses + 1 voters; it
  /// never aims for fewer voters than the settings name. Takes effect only with
  /// a \c voterReplacementTimeout.
  std::size_t toleratedLosses = 0;
  /// Whether the whole system starts for the first time, so that an empty disk
  /// means that no log exists. It is kept on the disk: a replica that restarts
  /// before the log is bootstrapped still takes part if this is then false.
  bool mayBootstrap = true;
  /// The minimum time without a message from the leader after which a voter
  /// starts an election. The actual time is random, up to twice the minimum.
  Duration electionTimeout = Duration(1000);
  Duration heartbeatInterval = Duration(100);
  /// A voter that has not replied for this long is replaced by a learner that
  /// has caught up, if there is one. Zero disables replacement. If it is
  /// enabled, every learner must have a disk, since any of them may become a
  /// voter.
  Duration voterReplacementTimeout = {};
  /// The largest drift between two clocks during one election timeout.
  Duration maxClockDrift = Duration(50);
  /// How often a replica that hears no leader sends Join.
  Duration joinInterval = Duration(500);
  /// The limit for the entries or the snapshot bytes in one message. A single
  /// entry may exceed it.
  std::size_t maxMessageBytes = 256 * 1024;
  std::size_t maxCommandBytes = 192 * 1024;
  /// The limit for uncommitted proposals.
  std::size_t maxPendingProposals = 1024;
  FlowControlOptions flowControl = {};
  /// The size of the log after the last snapshot that triggers a new one.
  std::size_t snapshotThresholdBytes = 4 << 20;
  /// Entries up to a snapshot's index that are kept for lagging followers.
  std::size_t trailingEntries = 1000;
  /// How many entries a learner may lag behind and still be made a voter.
  std::uint64_t maxPromotionLag = 64;
  std::uint64_t seed = 1;
};

/// The state that a replica recovers from its disk; empty for an empty disk.
struct DurableState
{
  HardState hardState = {};
  SnapshotPtr snapshot = nullptr;
  std::vector<Entry> entries = {};
};

enum class Role : std::uint8_t
{
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

/// A single-threaded Raft replica that is driven by events and ticks.
class Replica
{
public:
  /// \pre The driver has restored the state machine from the snapshot, if any.
  Replica(ReplicaOptions aOptions, DurableState aState, Time aNow);

  /// Handles one event and appends the resulting actions to \p aOut.
  void Handle(Event&& aEvent, Time aNow, Actions& aOut);
  /// Checks all timeouts. The driver calls this a few times per heartbeat
  /// interval.
  void Tick(Time aNow, Actions& aOut);

  const ReplicaId& Self() const { return options_.self; }
  Role CurrentRole() const { return role_; }
  Term CurrentTerm() const { return hardState_.term; }
  LogIndex CommitIndex() const { return commitIndex_; }
  /// Whether this replica leads, is not transferring leadership and has
  /// committed an entry of its term, so that it has delivered every entry that
  /// earlier leaders committed.
  bool IsLeaderReady() const
  {
    return role_ == Role::Leader && !transferTarget_ &&
           deliveredIndex_ >= termStartIndex_;
  }
  LogIndex DeliveredIndex() const { return deliveredIndex_; }
  const std::optional<ReplicaId>& Leader() const { return leader_; }
  /// When the leader's lease expires; no other replica can become leader
  /// before. It lies in the past if this replica doesn't lead, is transferring
  /// leadership or has no replies from a majority. It has to be compared with a
  /// clock that advances while the machine is suspended.
  Time LeaseExpiresAt() const;
  const Log& CurrentLog() const { return log_; }
  bool IsVoter() const;

private:
  struct OutgoingMessage
  {
    Send send;
    /// Depends on state that must be durable before the message is sent.
    bool needsDurableState;
  };
  /// A write that is not durable yet, and the last index and term that become
  /// durable with it.
  struct PendingWrite
  {
    PersistId id;
    LogIndex lastIndex;
    Term term;
  };
  /// A message to be sent once the write \c persistId is durable.
  struct DeferredSend
  {
    PersistId persistId;
    Send send;
  };
  /// A snapshot of which only the first chunks have been received.
  struct IncomingSnapshot
  {
    ReplicaId from;
    Snapshot snapshot;
    std::uint64_t size;
  };
  /// The latest Join of a host.
  struct JoinRequest
  {
    ReplicaId from;
    Time receivedAt;
  };

  // Event handling, defined in Replica.cpp. The handlers of ChangeVoter,
  // TransferLeadership and SnapshotTaken are in the files of their topics.
  void On(Receive&& aEvent);
  void On(Persisted&& aEvent);
  void On(Propose&& aEvent);
  void On(ChangeVoter&& aEvent);
  void On(TransferLeadership&& aEvent);
  void On(StepDown&& aEvent);
  void On(SnapshotTaken&& aEvent);
  void On(HostLocated&& aEvent);
  void On(LeaderAnnounced&& aEvent);
  void Flush(Actions& aOut);
  void EmitPersist(Actions& aOut);
  void QueueMessage(const ReplicaId& aTo,
                    Message aMessage,
                    bool aNeedsDurableState = false);
  void AppendToLog(Entry aEntry);
  void TruncateFrom(LogIndex aIndex);
  void DeliverCommitted();
  void AdvanceCommit(LogIndex aIndex);
  void SetLeader(std::optional<ReplicaId> aLeader);
  void SetTerm(Term aTerm);
  void BecomeFollower(Term aTerm, std::optional<ReplicaId> aLeader);
  std::size_t Majority() const;
  bool IsTermDurable() const { return durableTerm_ == hardState_.term; }

  // Elections and leadership transfer, defined in ReplicaElection.cpp.
  void On(const ReplicaId& aFrom, RequestVote&& aMessage);
  void On(const ReplicaId& aFrom, VoteReply&& aMessage);
  void On(const ReplicaId& aFrom, TimeoutNow&& aMessage);
  /// Adopts a later term. \returns false if the message has to be ignored.
  bool ObserveTerm(const ReplicaId& aFrom, const Message& aMessage);
  /// Whether this replica leads or has heard a leader within the last election
  /// timeout. It then ignores vote requests that aren't part of a transfer.
  bool HasLiveLeader() const;
  /// Whether this replica may start an election.
  bool CanCampaign() const;
  bool CanGrantVote(const ReplicaId& aFrom, const RequestVote& aMessage) const;
  void ResetElectionTimer();
  void OnElectionTimeout();
  void StartPreVote();
  void StartElection(bool aIsTransfer);
  void RequestVotes(bool aIsPreVote, bool aIsTransfer);
  void CountVotes();
  void BecomeLeader();
  /// Steps down unless a majority has replied within an election timeout.
  void CheckQuorum();
  void TickTransfer();
  void TryTransfer();

  // Replication, defined in ReplicaReplication.cpp.
  void On(const ReplicaId& aFrom, Append&& aMessage);
  void On(const ReplicaId& aFrom, AppendReply&& aMessage);
  /// Records a reply to this leader.
  /// \returns null if it is of another term or from an unknown replica.
  Progress* RecordReplyFrom(const ReplicaId& aFrom, Term aTerm, Time aSentAt);
  void FollowLeader(const ReplicaId& aLeader);
  /// Rejects a message from a leader of an earlier term.
  /// \returns whether it was rejected.
  bool RejectStaleTerm(const ReplicaId& aFrom, Term aTerm, Time aSentAt);
  /// Appends those of the entries after \p aAfter that the log lacks, and
  /// truncates conflicting ones.
  /// \returns whether an entry was appended.
  bool AppendMissing(LogIndex aAfter, std::vector<Entry>&& aEntries);
  void Acknowledge(Time aSentAt);
  /// The last durable index that matches the leader's log.
  LogIndex DurableMatch() const;
  void ReplicateToAll();
  void Replicate(const ReplicaId& aTo, Progress& aProgress);
  void SendAppend(const ReplicaId& aTo, Progress& aProgress, bool aWithEntries);
  void SendHeartbeat(const ReplicaId& aTo, Progress& aProgress);
  void MaybeCommit();
  /// Ends the leadership once a configuration without this replica is
  /// committed.
  void StepDownIfRemoved();

  // Snapshots, defined in ReplicaSnapshot.cpp.
  void On(const ReplicaId& aFrom, SnapshotChunk&& aMessage);
  void On(const ReplicaId& aFrom, SnapshotReply&& aMessage);
  void SendSnapshotChunk(const ReplicaId& aTo, Progress& aProgress);
  void InstallSnapshot(Snapshot&& aSnapshot);
  void MaybeRequestSnapshot();

  // Configuration changes, learners and bootstrap, defined in
  // ReplicaMembership.cpp.
  void On(const ReplicaId& aFrom, Join&& aMessage);
  void On(const ReplicaId& aFrom, JoinReply&& aMessage);
  std::optional<Refusal> CheckMemberChange(const ChangeVoter& aEvent) const;
  bool IsChangePending() const;
  bool HasCaughtUp(const ReplicaId& aMember) const;
  void AppendMemberChange(const ReplicaId& aMember, bool aIsAdded);
  void TrackVoters();
  /// Appends at most one configuration change, which removes an outdated
  /// incarnation, adds a missing voter, or replaces a voter that is
  /// unresponsive or in a zone with too many voters.
  void ReconcileVoters();
  /// The number of voters that the leader aims for.
  std::size_t TargetVoterCount() const;
  bool RemoveOutdatedIncarnation();
  bool IsFormerReplica(const ReplicaId& aVoter) const;
  bool AddMissingVoter();
  /// The voter on \p aHost, or null.
  const ReplicaId* VoterOf(const EntryHostId& aHost) const;
  const ReplicaId* PreferredLearner() const;
  /// The number of voters in the availability zone of \p aHost.
  std::size_t VotersInZoneOf(const EntryHostId& aHost) const;
  bool ImprovesZoneSpread(const ReplicaId& aLearner) const;
  void RemoveUnresponsiveLearners();
  void ReplaceUnresponsiveVoter();
  std::tuple<bool, std::size_t, bool> RemovalPriority(
    const ReplicaId& aVoter) const;
  void TickJoin();
  /// Starts a bootstrap election if this replica may bootstrap, the log is
  /// empty, this host is the first of the configured voters and all others have
  /// recently sent Join.
  void TryBootstrap();

  ReplicaOptions options_;
  std::mt19937_64 random_;
  Time now_;
  Time startedAt_;

  HardState hardState_;
  Log log_;
  Role role_ = Role::Follower;
  std::optional<ReplicaId> leader_;
  LogIndex commitIndex_;
  LogIndex deliveredIndex_;

  // Durable state, writes in flight and changes not yet written.
  LogIndex durableIndex_;
  Term durableTerm_;
  PersistId lastPersistId_;
  std::deque<PendingWrite> pendingWrites_;
  std::deque<DeferredSend> deferredSends_;
  bool isHardStateDirty_ = false;
  /// The permission to bootstrap is new and has to be written.
  bool isBootstrapPermissionDirty_ = false;
  SnapshotPtr dirtySnapshot_;
  std::optional<LogIndex> truncateFrom_;
  std::optional<LogIndex> firstDirtyIndex_;
  std::vector<OutgoingMessage> outgoing_;
  /// Actions other than Send and Persist, in order.
  Actions pendingActions_;

  // State of a follower.
  Time lastLeaderContactAt_;
  Time electionDeadline_;
  /// The last index up to which the log matches that of the term's leader.
  LogIndex verifiedIndex_;
  /// The latest send time of a message from a leader.
  Time leaderSentAt_;
  std::optional<IncomingSnapshot> incomingSnapshot_;
  /// The index of the requested snapshot; 0 if none is pending.
  LogIndex requestedSnapshotIndex_;

  // State of a candidate.
  std::set<ReplicaId> votes_;
  /// The initial configuration, during a bootstrap election of this replica.
  std::optional<VoterSet> bootstrapVoters_;

  // State of a leader.
  std::map<ReplicaId, Progress> progress_;
  std::map<LogIndex, ProposalId> pendingProposals_;
  /// The index of the first entry of this leader's term.
  LogIndex termStartIndex_;
  Time nextHeartbeatAt_;
  /// The target of the leadership transfer in progress.
  std::optional<ReplicaId> transferTarget_;
  bool isTimeoutNowSent_ = false;
  Time transferDeadline_;

  // Joining and bootstrap.
  /// The host that peers have announced as the leader's.
  std::optional<EntryHostId> announcedLeader_;
  /// The availability zones of the hosts that have been located.
  std::map<EntryHostId, AvailabilityZoneId> zones_;
  Time nextJoinAt_;
  /// Another replica has reported a log that is not empty.
  bool isBootstrappedElsewhere_ = false;
  std::map<EntryHostId, JoinRequest> joinRequests_;
};

} // namespace greengage::consensus

#endif // GREENGAGE_CONSENSUS_REPLICA_H
