/// \file
/// The events and actions of a replica of the replicated log, and the messages
/// between replicas. They are plain values, independent of the wire encoding,
/// the transport and the storage.

#ifndef GREENGAGE_CONSENSUS_MESSAGES_H
#define GREENGAGE_CONSENSUS_MESSAGES_H

#include "greengage/core/Ids.h"
#include "greengage/core/StrongId.h"
#include "greengage/core/Units.h"
#include "greengage/state/StateMachine.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace greengage::consensus {

using state::LogIndex;

/// A Raft term, which has at most one leader.
using Term = StrongId<struct TermTag, std::uint64_t>;
/// Tells the successive data folders of one host apart. A host that starts with
/// an empty folder takes an incarnation that it never had: a larger one, unless
/// its clock was set back.
using Incarnation = StrongId<struct ReplicaIncarnationTag, std::uint64_t>;
/// Identifies a proposal to the caller that waits for its outcome.
using ProposalId = StrongId<struct LogProposalTag, std::uint64_t>;
/// Identifies one write of durable state. Ids increase in the order of writes.
using PersistId = StrongId<struct PersistTag, std::uint64_t>;

/// Addresses a host whose incarnation is unknown. Only Join may be sent to it.
inline const Incarnation kAnyIncarnation{ 0 };

/// Identifies a replica. A host that lost its disk comes back as a new replica,
/// since it no longer has the votes and entries that the old one acknowledged.
struct ReplicaId
{
  EntryHostId host;
  Incarnation incarnation;

  friend auto operator<=>(const ReplicaId&, const ReplicaId&) = default;
};

/// The voters of one configuration.
using VoterSet = std::set<ReplicaId>;

enum class EntryKind : std::uint8_t
{
  /// Appended by a new leader, which commits entries of earlier terms with it.
  Noop,
  /// A command for the state machine.
  Command,
  /// A configuration: the voters from this entry on.
  Configuration,
};

/// One entry of the log.
struct Entry
{
  Term term;
  EntryKind kind = EntryKind::Noop;
  std::string command = {};
  VoterSet members = {};

  friend bool operator==(const Entry&, const Entry&) = default;
};

/// The estimated size of \p aEntry in bytes, used for all limits.
std::size_t
SizeOf(const Entry& aEntry);

/// The durable state of a replica besides its log and snapshot.
struct HardState
{
  Term term;
  /// The candidate that got this replica's vote in \c term.
  std::optional<ReplicaId> vote = {};
  /// The candidate that got this replica's vote in the bootstrap election. It
  /// is kept across terms, so that a replica helps to bootstrap only one log.
  std::optional<ReplicaId> bootstrapVote = {};
  /// The data folder was created when the whole system first started, so this
  /// replica may take part in bootstrapping the log.
  bool mayBootstrap = false;

  friend bool operator==(const HardState&, const HardState&) = default;
};

/// The state of the state machine after the entry at \c index, and the voters
/// of the configuration in effect there.
struct Snapshot
{
  LogIndex index;
  Term term;
  VoterSet members;
  std::string data;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// Asks a voter for its vote.
struct RequestVote
{
  /// Asks only whether the vote would be granted, without changing any state.
  bool isPreVote = false;
  /// The election bootstraps the log. Only replicas with an empty log grant it.
  bool isBootstrap = false;
  /// The election is part of a leadership transfer, so voters may grant it even
  /// though they have recently heard the leader.
  bool isTransfer = false;
  Term term = {};
  LogIndex lastIndex = {};
  Term lastTerm = {};
};

struct VoteReply
{
  bool isPreVote = false;
  Term term = {};
  bool granted = false;
};

/// Replicates entries to a follower; without entries, a heartbeat or a probe.
struct Append
{
  Term term = {};
  LogIndex prevIndex = {};
  Term prevTerm = {};
  std::vector<Entry> entries = {};
  LogIndex commit = {};
  /// The leader's clock when it sent this; echoed in the reply.
  Time sentAt = {};
};

struct AppendReply
{
  Term term = {};
  bool accepted = false;
  /// The last index up to which the follower's log matches the leader's,
  /// whether durable or not.
  LogIndex verifiedIndex = {};
  /// The last index up to which it matches and is durable.
  LogIndex matchIndex = {};
  /// Set in a rejection: the \c prevIndex of the rejected message, and the
  /// index and term at which the follower's log may match.
  LogIndex prevIndex = {};
  LogIndex hintIndex = {};
  Term hintTerm = {};
  Time sentAt = {};
};

/// A part of a snapshot, for a follower that needs compacted entries.
struct SnapshotChunk
{
  Term term = {};
  LogIndex index = {};
  Term lastTerm = {};
  VoterSet members = {};
  std::uint64_t size = 0;
  std::uint64_t offset = 0;
  std::string bytes = {};
  Time sentAt = {};
};

struct SnapshotReply
{
  Term term = {};
  LogIndex index = {};
  /// The offset at which the next chunk has to start.
  std::uint64_t nextOffset = 0;
  Time sentAt = {};
};

/// Sent by a replica that hears no leader; asks the leader to replicate to it.
struct Join
{};

/// Sent by a replica that gets a Join but doesn't lead.
struct JoinReply
{
  std::optional<ReplicaId> leader = {};
  /// The sender has entries, so the replicated log has been bootstrapped.
  bool isBootstrapped = false;
};

/// Sent by a leader to its transfer target, which starts an election at once.
struct TimeoutNow
{
  Term term = {};
};

using Message = std::variant<RequestVote,
                             VoteReply,
                             Append,
                             AppendReply,
                             SnapshotChunk,
                             SnapshotReply,
                             Join,
                             JoinReply,
                             TimeoutNow>;

/// A message from another replica arrived.
struct Receive
{
  ReplicaId from;
  ReplicaId to;
  Message message;
};

/// All writes up to and including \c id are durable.
struct Persisted
{
  PersistId id;
};

/// Proposes a command. Only the leader appends it to the log.
struct Propose
{
  ProposalId id;
  std::string command;
  /// The term in which the proposer decided on the command: it is refused in
  /// any other. Unset if the command is valid in every term.
  std::optional<Term> term = {};
};

/// Proposes to add or remove one voter. A new voter must have caught up first.
struct ChangeVoter
{
  ProposalId id;
  ReplicaId member;
  bool isAdded = true;
};

/// Asks a leader to transfer leadership to the most up-to-date voter that it
/// hears, for a planned stop.
struct TransferLeadership
{};

/// Ends this replica's leadership after a disk failure. The driver sends no
/// event after this one.
struct StepDown
{};

/// The state of the state machine after \c index, in response to
/// RequestSnapshot.
struct SnapshotTaken
{
  LogIndex index;
  std::string data;
};

/// The availability zone of a host is known. It affects only which hosts the
/// leader chooses as voters.
struct HostLocated
{
  EntryHostId host;
  AvailabilityZoneId availabilityZone;
};

/// A peer has announced that a replica on \c host leads the log.
struct LeaderAnnounced
{
  EntryHostId host;
};

/// An input of a replica.
using Event = std::variant<Receive,
                           Persisted,
                           Propose,
                           ChangeVoter,
                           TransferLeadership,
                           StepDown,
                           SnapshotTaken,
                           HostLocated,
                           LeaderAnnounced>;

/// Send a message. The state that it acknowledges is already durable.
struct Send
{
  ReplicaId to;
  Message message;
};

/// Make durable, in this order and after all earlier writes: the snapshot,
/// which replaces the entries up to its index; the removal of the entries from
/// \c truncateFrom on; the entries from \c firstIndex on; the hard state. Then
/// report Persisted. After a failed write, Persisted may not be reported for it
/// or any later one.
struct Persist
{
  PersistId id;
  std::optional<HardState> hardState;
  SnapshotPtr snapshot;
  std::optional<LogIndex> truncateFrom;
  LogIndex firstIndex;
  std::vector<Entry> entries;
};

/// Apply a committed entry. Entries are delivered in index order without gaps.
/// The command is empty for entries of another kind than Command.
struct Deliver
{
  LogIndex index;
  EntryKind kind = EntryKind::Noop;
  std::string command;
  /// The proposal of this replica that the entry came from, if it is pending.
  std::optional<ProposalId> proposal;
};

/// Replace the state of the state machine by that of a snapshot.
struct RestoreSnapshot
{
  SnapshotPtr snapshot;
};

/// The log has outgrown its limit: take a snapshot of the state machine after
/// all entries that have been delivered.
struct RequestSnapshot
{
  LogIndex index;
};

/// Why a proposal was not appended to the log.
enum class Refusal : std::uint8_t
{
  /// Another replica leads, or there is no leader.
  NotLeader,
  /// A leadership transfer is in progress; a new leader is expected shortly.
  Transferring,
  /// Too many proposals are uncommitted.
  Overloaded,
  /// The command exceeds the limit for one entry.
  TooLarge,
  /// An earlier configuration change may not be committed yet.
  ChangePending,
  /// The new voter has not caught up.
  NotCaughtUp,
  /// The change has no effect, or it concerns the leader itself, which has to
  /// transfer leadership first.
  Invalid,
};

/// The proposal was not appended to the log and will never be applied.
struct ProposalRefused
{
  ProposalId id;
  Refusal reason = Refusal::NotLeader;
  std::optional<ReplicaId> leader;
};

/// Leadership was lost before the proposal was committed. It may still be
/// committed by a later leader, or be lost.
struct ProposalUnknown
{
  ProposalId id;
};

/// The leader known to this replica has changed.
struct LeaderChanged
{
  Term term;
  std::optional<ReplicaId> leader;
};

/// An output of a replica, to be executed by its driver.
using Action = std::variant<Send,
                            Persist,
                            Deliver,
                            RestoreSnapshot,
                            RequestSnapshot,
                            ProposalRefused,
                            ProposalUnknown,
                            LeaderChanged>;
using Actions = std::vector<Action>;

} // namespace greengage::consensus

#endif // GREENGAGE_CONSENSUS_MESSAGES_H
