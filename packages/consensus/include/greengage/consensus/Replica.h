/// \file
/// One replica of the agreed log, by the Raft algorithm with pre-vote, check
/// quorum, single-step changes of members and leadership transfer. Events and
/// a time go in, actions come out; there are no sockets, encodings, threads,
/// disks or clocks inside.

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
#include <vector>

namespace greengage::consensus {

/// What a replica knows of its own host, and its bounds.
struct ReplicaOptions
{
  MemberId self;
  /// The hosts that are to vote, by the settings of the fleet. A replica of
  /// another host only follows.
  std::set<EntryHostId> voters = {};
  /// Silence of the leader after which a voter may stand; each wait is drawn
  /// between this and its double.
  Duration electionTimeout = Duration(1000);
  Duration heartbeatInterval = Duration(100);
  /// Silence after which a voter's place goes to a follower that has caught up,
  /// if there is one; zero for never. All followers must have disks then.
  Duration replaceAfter = {};
  /// By how much clocks may drift apart during an election timeout.
  Duration clockDrift = Duration(50);
  /// How often a replica that nobody leads asks to join.
  Duration joinInterval = Duration(500);
  /// A message holds at most this much of entries or of a snapshot.
  std::size_t maxMessageBytes = 256 * 1024;
  std::size_t maxCommandBytes = 192 * 1024;
  /// Proposals that may wait for agreement.
  std::size_t maxProposals = 1024;
  FlowOptions flow = {};
  /// Bytes of log after which a snapshot is asked for.
  std::size_t snapshotBytes = 4 << 20;
  /// Entries kept before a snapshot, for followers that lag.
  std::size_t keptEntries = 1000;
  /// Entries that a follower may lack and still be made a voter.
  std::uint64_t maxLagToVote = 64;
  std::uint64_t seed = 1;
};

/// What a replica finds on its disk; all empty on an empty one.
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

/// One replica of the log.
class Replica
{
public:
  /// The driver has restored the state machine from the snapshot, if any.
  Replica(ReplicaOptions aOptions, DurableState aState, Time aNow);

  /// Reacts to one event and appends what is to be done to \p aOut.
  void Handle(Event&& aEvent, Time aNow, Actions& aOut);
  /// Reacts to the time; to be called a few times per heartbeat interval.
  void Tick(Time aNow, Actions& aOut);

  const MemberId& Self() const { return options_.self; }
  Role CurrentRole() const { return role_; }
  Term CurrentTerm() const { return hard_.term; }
  LogIndex Committed() const { return commit_; }
  /// Whether this replica leads and has committed an entry of its term, so that
  /// it has delivered all that earlier leaders committed.
  bool IsLeaderReady() const
  {
    return role_ == Role::Leader && !successor_ && delivered_ >= termStart_;
  }
  LogIndex Delivered() const { return delivered_; }
  const std::optional<MemberId>& Leader() const { return leader_; }
  /// Until when no other replica can lead; in the past if this one doesn't
  /// lead, or hands over, or can't tell. To be compared with a clock that
  /// advances while the machine is suspended.
  Time LeaderUntil() const;
  const Log& CurrentLog() const { return log_; }
  bool IsVoter() const;

private:
  struct Outgoing
  {
    Send send;
    /// Promises something that has to be durable first.
    bool isPromise;
  };
  struct PendingWrite
  {
    PersistId id;
    LogIndex lastIndex;
    Term term;
  };
  struct HeldSend
  {
    PersistId after;
    Send send;
  };
  struct IncomingSnapshot
  {
    MemberId from;
    Snapshot snapshot;
    std::uint64_t size;
  };
  struct Joiner
  {
    MemberId id;
    Time at;
  };

  // Events; in Replica.cpp unless said otherwise.
  void On(Receive&& aEvent);
  void On(Persisted&& aEvent);
  void On(Propose&& aEvent);
  void On(ChangeMember&& aEvent);
  void On(TransferLeadership&& aEvent);
  void On(StepDown&& aEvent);
  void On(SnapshotTaken&& aEvent);
  void Flush(Actions& aOut);
  void EmitPersist(Actions& aOut);
  void Queue(const MemberId& aTo, Message aMessage, bool aIsPromise = false);
  void AppendOwn(Entry aEntry);
  void TruncateFrom(LogIndex aIndex);
  void DeliverCommitted();
  void CommitTo(LogIndex aIndex);
  void SetLeader(std::optional<MemberId> aLeader);
  void SetTerm(Term aTerm);
  void BecomeFollower(Term aTerm, std::optional<MemberId> aLeader);
  std::size_t Majority() const;
  bool IsTermDurable() const { return durableTerm_ == hard_.term; }

  // Elections; in ReplicaElection.cpp.
  void On(const MemberId& aFrom, RequestVote&& aMessage);
  void On(const MemberId& aFrom, VoteReply&& aMessage);
  void On(const MemberId& aFrom, TimeoutNow&& aMessage);
  bool ObserveTerm(const MemberId& aFrom, const Message& aMessage);
  bool HasLeaderLease() const;
  bool MayStand() const;
  bool MayGrant(const MemberId& aFrom, const RequestVote& aMessage) const;
  void ResetElectionTimer();
  void OnElectionTimeout();
  void StartPreVote();
  void StartElection(bool aIsTransfer);
  void RequestVotes(bool aIsPreVote, bool aIsTransfer);
  void CountVotes();
  void BecomeLeader();
  void CheckQuorum();
  void TickTransfer();
  void TryTransfer();

  // Replication; in ReplicaReplication.cpp.
  void On(const MemberId& aFrom, Append&& aMessage);
  void On(const MemberId& aFrom, AppendReply&& aMessage);
  Progress* HeardFrom(const MemberId& aFrom, Term aTerm, Time aSentAt);
  void FollowLeader(const MemberId& aLeader);
  bool RefuseStale(const MemberId& aFrom, Term aTerm, Time aSentAt);
  /// \returns whether an entry was not there before.
  bool TakeEntries(LogIndex aAfter, std::vector<Entry>&& aEntries);
  void Acknowledge(Time aSentAt);
  LogIndex DurableMatch() const;
  void ReplicateToAll();
  void Replicate(const MemberId& aTo, Progress& aProgress);
  void SendAppend(const MemberId& aTo, Progress& aProgress, bool aWithEntries);
  void Heartbeat(const MemberId& aTo, Progress& aProgress);
  void MaybeCommit();
  void LeaveIfRemoved();

  // Snapshots; in ReplicaSnapshot.cpp.
  void On(const MemberId& aFrom, SnapshotChunk&& aMessage);
  void On(const MemberId& aFrom, SnapshotReply&& aMessage);
  void SendSnapshotChunk(const MemberId& aTo, Progress& aProgress);
  void Install(Snapshot&& aSnapshot);
  void MaybeWantSnapshot();

  // Members; in ReplicaMembership.cpp.
  void On(const MemberId& aFrom, Join&& aMessage);
  void On(const MemberId& aFrom, JoinReply&& aMessage);
  std::optional<Refusal> RefusalOf(const ChangeMember& aEvent) const;
  bool IsChangePending() const;
  bool HasCaughtUp(const MemberId& aMember) const;
  void ChangeMembers(const MemberId& aMember, bool aIsAdded);
  void AddVoterProgress();
  void MaintainMembers();
  void DropSilentLearners();
  void ReplaceSilentVoter();
  int RemovalRank(const MemberId& aVoter) const;
  void TickJoin();
  void TryFound();

  ReplicaOptions options_;
  std::mt19937_64 random_;
  Time now_;
  Time startedAt_;

  HardState hard_;
  Log log_;
  Role role_ = Role::Follower;
  std::optional<MemberId> leader_;
  LogIndex commit_;
  LogIndex delivered_;

  // What is durable, and what waits for it.
  LogIndex durableIndex_;
  Term durableTerm_;
  PersistId lastPersist_;
  std::deque<PendingWrite> pendingWrites_;
  std::deque<HeldSend> held_;
  bool isHardStateDirty_ = false;
  SnapshotPtr dirtySnapshot_;
  std::optional<LogIndex> truncateFrom_;
  std::optional<LogIndex> dirtyFrom_;
  std::vector<Outgoing> outgoing_;
  /// Actions other than Send and Persist, in order.
  Actions others_;

  // Following.
  Time leaderHeardAt_;
  Time electionDeadline_;
  LogIndex verified_;
  Time lastSentAt_;
  std::optional<IncomingSnapshot> incoming_;
  LogIndex snapshotWanted_;

  // Standing for election.
  std::set<MemberId> votes_;
  /// The voters that found the log, while this replica tries to.
  std::optional<Members> founders_;

  // Leading.
  std::map<MemberId, Progress> progress_;
  std::map<LogIndex, ProposalId> proposals_;
  LogIndex termStart_;
  Time nextHeartbeat_;
  std::optional<MemberId> successor_;
  bool isSuccessorAsked_ = false;
  Time transferDeadline_;

  // Joining.
  Time nextJoin_;
  bool isFoundedElsewhere_ = false;
  std::map<EntryHostId, Joiner> joiners_;
};

} // namespace greengage::consensus

#endif // GREENGAGE_CONSENSUS_REPLICA_H
