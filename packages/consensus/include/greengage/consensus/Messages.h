/// \file
/// The inputs and outputs of a replica of the agreed log. They are plain
/// values without encodings or sockets, so that any transport and any disk can
/// drive the same decisions.

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

/// A period with at most one leader.
using Term = StrongId<struct TermTag, std::uint64_t>;
/// Which data folder of a host is meant. A host that starts with an empty
/// folder takes a new one, larger than any it had.
using Incarnation = StrongId<struct ReplicaIncarnationTag, std::uint64_t>;
/// Whoever waits for the end of a proposal.
using ProposalId = StrongId<struct LogProposalTag, std::uint64_t>;
/// One write of durable state; they are numbered in their order.
using PersistId = StrongId<struct PersistTag, std::uint64_t>;

/// Stands for whatever incarnation a host has now. Only Join is sent to it.
inline const Incarnation kAnyIncarnation{ 0 };

/// A replica. A host that lost its disk is another replica than before, so that
/// nothing the old one promised is expected of it.
struct MemberId
{
  EntryHostId host;
  Incarnation incarnation;

  friend auto operator<=>(const MemberId&, const MemberId&) = default;
};

/// The replicas that vote.
using Members = std::set<MemberId>;

enum class EntryKind : std::uint8_t
{
  /// Opens the term of a leader.
  Noop,
  /// A command of the state machine.
  Command,
  /// The voters from this entry on.
  NewMembers,
};

/// One entry of the log.
struct Entry
{
  Term term;
  EntryKind kind = EntryKind::Noop;
  std::string command = {};
  Members members = {};

  friend bool operator==(const Entry&, const Entry&) = default;
};

/// The bytes that \p aEntry is counted with.
std::size_t
SizeOf(const Entry& aEntry);

/// What must never be forgotten beside the log.
struct HardState
{
  Term term;
  std::optional<MemberId> vote = {};
  /// Whom this replica has allowed to found the log, in whatever term.
  std::optional<MemberId> founder = {};

  friend bool operator==(const HardState&, const HardState&) = default;
};

/// The state machine after \p index, with the voters at that place.
struct Snapshot
{
  LogIndex index;
  Term term;
  Members members;
  std::string data;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// Asks for a vote.
struct RequestVote
{
  /// Only asks whether a vote would be given; binds nobody.
  bool isPreVote = false;
  /// The log is to be founded: only those with an empty log agree.
  bool isFounding = false;
  /// The leader itself asked for this election.
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

/// Entries for a follower, or only a heartbeat.
struct Append
{
  Term term = {};
  LogIndex prevIndex = {};
  Term prevTerm = {};
  std::vector<Entry> entries = {};
  LogIndex commit = {};
  /// On the leader's clock; the reply repeats it.
  Time sentAt = {};
};

struct AppendReply
{
  Term term = {};
  bool accepted = false;
  /// The log equals the leader's up to here, synced or not.
  LogIndex verified = {};
  /// The log equals the leader's up to here and is durable.
  LogIndex match = {};
  /// If refused: which message, and where the logs may still agree.
  LogIndex prevIndex = {};
  LogIndex hintIndex = {};
  Term hintTerm = {};
  Time sentAt = {};
};

/// A part of a snapshot.
struct SnapshotChunk
{
  Term term = {};
  LogIndex index = {};
  Term lastTerm = {};
  Members members = {};
  std::uint64_t size = 0;
  std::uint64_t offset = 0;
  std::string bytes = {};
  Time sentAt = {};
};

struct SnapshotReply
{
  Term term = {};
  LogIndex index = {};
  /// Where the next chunk has to start.
  std::uint64_t received = 0;
  Time sentAt = {};
};

/// A replica that hears no leader asks whoever leads to send it the log.
struct Join
{};

struct JoinReply
{
  std::optional<MemberId> leader = {};
  /// The log is not empty.
  bool isFounded = false;
};

/// The leader asks its successor to start an election now.
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

/// A message of another replica has come.
struct Receive
{
  MemberId from;
  MemberId to;
  Message message;
};

/// All writes up to \p id are durable.
struct Persisted
{
  PersistId id;
};

/// Asks for a command to be agreed on.
struct Propose
{
  ProposalId id;
  std::string command;
};

/// Asks for one voter more or less. A new one must have caught up first.
struct ChangeMember
{
  ProposalId id;
  MemberId member;
  bool isAdded = true;
};

/// A planned stop: the leader hands over to a voter that has caught up.
struct TransferLeadership
{};

/// The disk has failed: this replica leads no more, and gets no further event.
struct StepDown
{};

/// The state machine after \p index, in answer to WantSnapshot.
struct SnapshotTaken
{
  LogIndex index;
  std::string data;
};

/// Anything that a replica reacts to.
using Event = std::variant<Receive,
                           Persisted,
                           Propose,
                           ChangeMember,
                           TransferLeadership,
                           StepDown,
                           SnapshotTaken>;

/// Send a message. What it promises is durable already.
struct Send
{
  MemberId to;
  Message message;
};

/// Make durable, in this order and after all earlier writes: the snapshot,
/// which supersedes the entries up to its index; the removal of the entries
/// from \p truncateFrom on; the entries from \p firstIndex on; the hard state.
/// Then report Persisted. After a failure nothing may be reported any more.
struct Persist
{
  PersistId id;
  std::optional<HardState> hardState;
  SnapshotPtr snapshot;
  std::optional<LogIndex> truncateFrom;
  LogIndex firstIndex;
  std::vector<Entry> entries;
};

/// An entry is committed. Indexes come in order without a gap; entries that
/// hold no command have an empty one.
struct Deliver
{
  LogIndex index;
  EntryKind kind = EntryKind::Noop;
  std::string command;
  /// Who waits on this replica for the result of the state machine.
  std::optional<ProposalId> proposal;
};

/// Replace the state machine by that of a snapshot.
struct RestoreSnapshot
{
  SnapshotPtr snapshot;
};

/// The log has grown: take a snapshot after what has been delivered.
struct WantSnapshot
{
  LogIndex index;
};

/// Why a proposal did not enter the log.
enum class Refusal : std::uint8_t
{
  /// Another replica leads, or none.
  NotLeader,
  /// The leader is handing over; a new one will be there shortly.
  Transferring,
  /// Too much waits for agreement.
  Overloaded,
  TooLarge,
  /// Another change of members is not committed yet.
  ChangePending,
  /// The new voter has not caught up.
  NotCaughtUp,
  /// Nothing to change, or the leader itself is to go: transfer first.
  Invalid,
};

/// Proved: the proposal is not in the log and will never be applied.
struct ProposalRefused
{
  ProposalId id;
  Refusal reason = Refusal::NotLeader;
  std::optional<MemberId> leader;
};

/// Leadership was lost: the proposal may yet be committed, or never.
struct ProposalUnknown
{
  ProposalId id;
};

/// Who leads has changed, as far as this replica knows.
struct LeaderChanged
{
  Term term;
  std::optional<MemberId> leader;
};

/// Anything that a replica asks its driver to do.
using Action = std::variant<Send,
                            Persist,
                            Deliver,
                            RestoreSnapshot,
                            WantSnapshot,
                            ProposalRefused,
                            ProposalUnknown,
                            LeaderChanged>;
using Actions = std::vector<Action>;

} // namespace greengage::consensus

#endif // GREENGAGE_CONSENSUS_MESSAGES_H
