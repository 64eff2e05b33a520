/// \file
/// A deterministic simulation of replicas in one thread, with message loss and
/// delay, cut links, crashes, pauses and disk loss driven by a seeded random
/// generator. The invariants are checked after each event.

#ifndef GREENGAGE_CONSENSUS_UNITTESTS_TESTNETWORK_H
#define GREENGAGE_CONSENSUS_UNITTESTS_TESTNETWORK_H

#include "greengage/consensus/Replica.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace greengage::consensus::test {

/// A rule that the simulation violates on purpose, to show that the invariant
/// checks detect it.
enum class ViolatedRule
{
  None,
  /// A write is reported durable while a crash can still lose it.
  ReportBeforeDurable,
  /// The hard state is lost in a restart.
  LoseHardState,
  /// A host that loses its disk keeps its incarnation.
  KeepIncarnation,
};

struct NetworkOptions
{
  /// Hosts with disks that are configured as voters.
  std::size_t voters = 3;
  /// Hosts without disks.
  std::size_t learners = 0;
  /// Hosts with disks that start as learners.
  std::size_t spares = 0;
  /// See ReplicaOptions.
  Duration voterReplacementTimeout = {};
  std::size_t toleratedLosses = 0;
  /// The number of availability zones, among which the hosts alternate. Zero if
  /// the replicas know of none.
  std::size_t zones = 0;
  std::uint64_t seed = 1;
  ViolatedRule violatedRule = ViolatedRule::None;
  /// The clocks of hosts that lose their disks may have been set back: a new
  /// incarnation may be lower than the former one.
  bool hasUnorderedIncarnations = false;
  /// The probability that a message is lost or duplicated, per mille.
  int lossPermille = 0;
  int duplicationPermille = 0;
  /// The longest delay of a message and of a write, in milliseconds.
  int maxMessageDelayMs = 5;
  int maxWriteDelayMs = 5;
  std::size_t snapshotThresholdBytes = 4000;
  Duration electionTimeout = Duration(1000);
};

/// Checks the safety properties of Raft, which must hold in every schedule.
class Invariants
{
public:
  /// Election safety: a term has at most one leader.
  void CheckLeader(const Replica& aReplica)
  {
    const auto [found, isNew] =
      leaders_.try_emplace(aReplica.CurrentTerm(), aReplica.Self());
    if (found->second != aReplica.Self())
      ReportViolation("more than one leader in term " +
                      ToString(aReplica.CurrentTerm()));
    if (!isNew)
      return;
    CheckLeaderCompleteness(aReplica);
  }

  /// Log matching: two logs that have the same term at an index are equal up to
  /// it. It suffices that an index and a term determine the entry and the term
  /// of the entry before it.
  void CheckWrite(const Log& aLog, const Persist& aPersist)
  {
    LogIndex at = aPersist.firstIndex;
    for (const Entry& entry : aPersist.entries) {
      const Term previousTerm = aLog.TermAt(Previous(at)).value_or(Term(0));
      const auto [found, isNew] = writtenEntries_.try_emplace(
        std::pair(at, entry.term), std::pair(previousTerm, entry));
      if (!isNew && found->second != std::pair(previousTerm, entry))
        ReportViolation("logs do not match at index " + ToString(at));
      at = Next(at);
    }
  }

  /// State machine safety: all replicas deliver the same command at an index,
  /// and no command is committed twice or after it was refused.
  void CheckDelivery(const Replica& aReplica, const Deliver& aDeliver)
  {
    const Log& log = aReplica.CurrentLog();
    const std::size_t offset = aDeliver.index.Value() - 1;
    if (offset > committedEntries_.size()) {
      ReportViolation("a gap in the delivered entries before " +
                      ToString(aDeliver.index));
      return;
    }
    if (offset < committedEntries_.size()) {
      if (committedEntries_[offset].command != aDeliver.command)
        ReportViolation(
          "a different command was delivered at committed index " +
          ToString(aDeliver.index));
      return;
    }
    committedEntries_.push_back(log.At(aDeliver.index));
    commitTerms_.push_back(aReplica.CurrentTerm());
    const bool isCommand = aDeliver.kind == EntryKind::Command;
    if (isCommand && refusedCommands_.count(aDeliver.command) != 0)
      ReportViolation("refused command " + aDeliver.command + " is committed");
    if (isCommand && !committedCommands_.insert(aDeliver.command).second)
      ReportViolation(aDeliver.command + " is committed twice");
  }

  /// A refused command is never committed.
  void CheckRefusal(const std::string& aCommand)
  {
    refusedCommands_.insert(aCommand);
    if (committedCommands_.count(aCommand) != 0)
      ReportViolation("committed command " + aCommand + " is refused");
  }

  void ReportViolation(std::string aViolation)
  {
    violations_.push_back(std::move(aViolation));
  }

  const std::vector<std::string>& Violations() const { return violations_; }
  std::size_t CommittedCount() const { return committedEntries_.size(); }
  std::size_t TermCount() const { return leaders_.size(); }
  bool IsCommitted(const std::string& aCommand) const
  {
    return committedCommands_.count(aCommand) != 0;
  }

private:
  /// Leader completeness: a leader has all entries that were committed in
  /// earlier terms. A candidate that receives its votes after a later term has
  /// begun may lack the entries committed in that term.
  void CheckLeaderCompleteness(const Replica& aReplica)
  {
    const Log& log = aReplica.CurrentLog();
    for (std::size_t at = 0; at < committedEntries_.size(); ++at) {
      const LogIndex index(at + 1);
      const bool isEarlier = commitTerms_[at] < aReplica.CurrentTerm();
      if (!isEarlier || index <= log.BaseIndex())
        continue;
      if (index > log.LastIndex())
        ReportViolation("a leader lacks committed index " + ToString(index));
      else if (log.At(index) != committedEntries_[at])
        ReportViolation("a leader has a different entry at committed index " +
                        ToString(index));
    }
  }

  template<typename Id>
  static std::string ToString(const Id& aId)
  {
    return std::to_string(aId.Value());
  }

  std::map<Term, ReplicaId> leaders_;
  std::map<std::pair<LogIndex, Term>, std::pair<Term, Entry>> writtenEntries_;
  std::vector<Entry> committedEntries_;
  /// For each committed entry, the term of the first replica that delivered it.
  std::vector<Term> commitTerms_;
  std::set<std::string> committedCommands_;
  std::set<std::string> refusedCommands_;
  std::vector<std::string> violations_;
};

/// A host with its disk, replica and state machine.
struct Node
{
  struct Write
  {
    Persist persist;
    Time completesAt;
  };

  ReplicaId id;
  bool hasDisk = true;
  bool isPaused = false;
  DurableState disk;
  std::deque<Write> pendingWrites;
  std::unique_ptr<Replica> replica;
  /// The state machine: the last applied index and a digest of all commands.
  LogIndex appliedIndex;
  std::uint64_t digest = 0;
  std::map<ProposalId, std::string> proposals;
};

/// The hosts, the links between them and the simulated clock.
class Network
{
public:
  explicit Network(NetworkOptions aOptions)
    : options_(aOptions)
    , random_(aOptions.seed)
  {
    const std::size_t diskCount = options_.voters + options_.spares;
    const std::size_t count = diskCount + options_.learners;
    for (std::size_t at = 0; at < count; ++at) {
      Node& node = nodes_.emplace_back();
      node.hasDisk = at < diskCount;
      node.id.host = EntryHostId("h" + std::to_string(at));
      if (at < options_.voters)
        voters_.insert(node.id.host);
      node.id.incarnation = Incarnation(1);
    }
    for (Node& node : nodes_)
      Start(node);
  }

  /// Advances the clock by 1 to 10 ms and processes what is due.
  void Step()
  {
    now = now + Duration(RandomInt(1, 10));
    for (Node& node : nodes_)
      CompleteWrites(node);
    DeliverDuePackets();
    for (Node& node : nodes_)
      if (node.replica && !node.isPaused)
        RunReplica(node, [&](Actions& aOut) { node.replica->Tick(now, aOut); });
  }

  /// Steps until \p aIsDone holds, \p aSpan has passed or an invariant is
  /// violated. \returns whether \p aIsDone holds.
  template<typename Predicate>
  bool RunUntil(Duration aSpan, Predicate aIsDone)
  {
    const Time end = now + aSpan;
    while (now < end && invariants.Violations().empty()) {
      if (aIsDone())
        return true;
      Step();
    }
    return aIsDone();
  }
  void Run(Duration aSpan)
  {
    RunUntil(aSpan, [] { return false; });
  }

  /// Stops a host and loses its pending writes; a host without a disk loses its
  /// state.
  void Crash(std::size_t aNode)
  {
    Node& node = nodes_[aNode];
    node.replica.reset();
    node.pendingWrites.clear();
    node.proposals.clear();
    node.isPaused = false;
    if (!node.hasDisk)
      LoseDisk(aNode);
  }
  /// Stops a host and erases its disk.
  void LoseDisk(std::size_t aNode)
  {
    Node& node = nodes_[aNode];
    node.replica.reset();
    node.pendingWrites.clear();
    node.proposals.clear();
    node.disk = {};
    if (options_.violatedRule == ViolatedRule::KeepIncarnation)
      return;
    std::uint64_t next = node.id.incarnation.Value() + 1;
    if (options_.hasUnorderedIncarnations)
      next = static_cast<std::uint64_t>(RandomInt(2, kMaxRandomIncarnation));
    node.id.incarnation = Incarnation(next);
  }
  /// Stops a host and erases its disk; it comes back as \p aNext.
  void LoseDisk(std::size_t aNode, Incarnation aNext)
  {
    LoseDisk(aNode);
    nodes_[aNode].id.incarnation = aNext;
  }
  void Restart(std::size_t aNode)
  {
    if (!nodes_[aNode].replica)
      Start(nodes_[aNode]);
  }
  void SetPaused(std::size_t aNode, bool aIsPaused)
  {
    nodes_[aNode].isPaused = aIsPaused;
  }
  /// Cuts one direction of a link.
  void CutLink(std::size_t aFrom, std::size_t aTo)
  {
    cutLinks_.insert({ nodes_[aFrom].id.host, nodes_[aTo].id.host });
  }
  void Isolate(std::size_t aNode)
  {
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
      CutLink(aNode, other);
      CutLink(other, aNode);
    }
  }
  /// Restores all links, and resumes or restarts all hosts.
  void Heal()
  {
    cutLinks_.clear();
    for (std::size_t at = 0; at < nodes_.size(); ++at) {
      nodes_[at].isPaused = false;
      Restart(at);
    }
  }
  /// Changes the settings that hosts read when they start: the hosts that are
  /// configured as voters, and that the system has started before.
  void ChangeSettings(const std::set<std::size_t>& aVoters)
  {
    voters_.clear();
    for (const std::size_t voter : aVoters)
      voters_.insert(nodes_[voter].id.host);
    mayBootstrap_ = false;
  }
  void SetMessageFaults(int aLossPermille,
                        int aDuplicationPermille,
                        int aMaxDelayMs)
  {
    options_.lossPermille = aLossPermille;
    options_.duplicationPermille = aDuplicationPermille;
    options_.maxMessageDelayMs = aMaxDelayMs;
  }

  /// \returns the proposed command.
  std::string ProposeAt(std::size_t aNode)
  {
    Node& node = nodes_[aNode];
    const ProposalId id(++lastProposal_);
    const std::string command = "c" + std::to_string(lastProposal_);
    node.proposals[id] = command;
    Handle(node, Propose{ .id = id, .command = command });
    return command;
  }
  void Handle(std::size_t aNode, Event aEvent)
  {
    Handle(nodes_[aNode], std::move(aEvent));
  }

  /// The running leader with the highest term, if any.
  std::optional<std::size_t> Leader() const
  {
    std::optional<std::size_t> leader;
    for (std::size_t at = 0; at < nodes_.size(); ++at)
      if (IsLeader(at) && (!leader || nodes_[*leader].replica->CurrentTerm() <
                                        nodes_[at].replica->CurrentTerm()))
        leader = at;
    return leader;
  }
  bool IsLeader(std::size_t aNode) const
  {
    const Node& node = nodes_[aNode];
    return node.replica && !node.isPaused &&
           node.replica->CurrentRole() == Role::Leader;
  }
  /// Whether the committed voters are the current incarnations of all hosts
  /// with disks or, with spares, of as many as there should be.
  bool HasConfiguredVoters() const
  {
    const auto leader = Leader();
    if (!leader)
      return false;
    VoterSet diskReplicas;
    for (const Node& node : nodes_)
      if (node.hasDisk)
        diskReplicas.insert(node.id);
    const Replica& replica = *nodes_[*leader].replica;
    const VoterSet& voters = replica.CurrentLog().LatestVoters();
    if (options_.spares > 0)
      return voters.size() == VoterCount() &&
             std::includes(diskReplicas.begin(),
                           diskReplicas.end(),
                           voters.begin(),
                           voters.end()) &&
             replica.CurrentLog().LatestVotersIndex() <= replica.CommitIndex();
    return replica.CurrentLog().LatestVoters() == diskReplicas &&
           replica.CurrentLog().LatestVotersIndex() <= replica.CommitIndex();
  }
  bool HaveAllApplied() const
  {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node& aNode) {
      return aNode.replica &&
             aNode.appliedIndex.Value() == invariants.CommittedCount();
    });
  }

  /// Describes the state of all hosts for the output of a failed test.
  std::string Describe() const
  {
    std::string text;
    for (const Node& node : nodes_) {
      text += node.id.host.Value() + "/" +
              std::to_string(node.id.incarnation.Value());
      if (node.replica) {
        const Replica& replica = *node.replica;
        text += " role " + std::to_string(int(replica.CurrentRole()));
        text += " term " + std::to_string(replica.CurrentTerm().Value());
        text += " commit " + std::to_string(replica.CommitIndex().Value());
        const Log& log = replica.CurrentLog();
        text += " last " + std::to_string(log.LastIndex().Value()) + " voters";
        for (const ReplicaId& voter : log.LatestVoters())
          text += " " + voter.host.Value() + "/" +
                  std::to_string(voter.incarnation.Value());
      }
      text += "\n";
    }
    return text;
  }

  std::int64_t RandomInt(std::int64_t aMin, std::int64_t aMax)
  {
    return std::uniform_int_distribution<std::int64_t>(aMin, aMax)(random_);
  }
  bool RandomChance(int aPermille) { return RandomInt(0, 999) < aPermille; }

  AvailabilityZoneId ZoneOf(std::size_t aNode) const
  {
    return AvailabilityZoneId("z" + std::to_string(aNode % options_.zones));
  }
  /// The number of voters that the hosts with disks and the tolerated losses
  /// amount to.
  std::size_t VoterCount() const
  {
    return std::min(
      options_.voters + options_.spares,
      std::max(options_.voters, 2 * options_.toleratedLosses + 1));
  }

  Node& At(std::size_t aNode) { return nodes_[aNode]; }
  std::size_t Size() const { return nodes_.size(); }

  static constexpr std::int64_t kMaxRandomIncarnation = 1 << 30;

  Time now{ 100000 };
  Invariants invariants;
  std::size_t unknownProposals = 0;
  std::size_t snapshotsRestored = 0;
  std::size_t sentTimeoutNows = 0;

private:
  struct Packet
  {
    Time dueAt;
    ReplicaId from;
    ReplicaId to;
    Message message;
  };

  void Start(Node& aNode)
  {
    aNode.appliedIndex = LogIndex(0);
    aNode.digest = 0;
    if (aNode.disk.snapshot)
      RestoreStateMachine(aNode, *aNode.disk.snapshot);
    if (options_.violatedRule == ViolatedRule::LoseHardState)
      aNode.disk.hardState = {};
    ReplicaOptions options{ .self = aNode.id, .voters = voters_ };
    options.maxMessageBytes = 300;
    options.flowControl = { .maxInflightMessages = 4,
                            .maxInflightBytes = 2000 };
    options.snapshotThresholdBytes = options_.snapshotThresholdBytes;
    options.electionTimeout = options_.electionTimeout;
    options.trailingEntries = 10;
    options.voterReplacementTimeout = options_.voterReplacementTimeout;
    options.toleratedLosses = options_.toleratedLosses;
    options.mayBootstrap = mayBootstrap_;
    options.seed = random_();
    aNode.replica = std::make_unique<Replica>(options, aNode.disk, now);
    LocateHosts(aNode);
  }

  void LocateHosts(Node& aNode)
  {
    for (std::size_t at = 0; options_.zones > 0 && at < nodes_.size(); ++at)
      Handle(aNode,
             HostLocated{ .host = nodes_[at].id.host,
                          .availabilityZone = ZoneOf(at) });
  }

  void Handle(Node& aNode, Event aEvent)
  {
    RunReplica(aNode, [&](Actions& aOut) {
      aNode.replica->Handle(std::move(aEvent), now, aOut);
    });
  }

  template<typename Call>
  void RunReplica(Node& aNode, Call aCall)
  {
    if (!invariants.Violations().empty())
      return;
    Actions actions;
    aCall(actions);
    if (aNode.replica->CurrentRole() == Role::Leader)
      invariants.CheckLeader(*aNode.replica);
    CheckLeases();
    for (Action& action : actions)
      std::visit([&](auto& aKind) { Execute(aNode, aKind); }, action);
  }

  void CheckLeases()
  {
    const auto leaseHolders =
      std::count_if(nodes_.begin(), nodes_.end(), [&](const Node& aNode) {
        return aNode.replica && aNode.replica->LeaseExpiresAt() > now;
      });
    if (leaseHolders > 1)
      invariants.ReportViolation(
        "more than one replica holds the leader lease");
  }

  void Execute(Node& aNode, Send& aSend)
  {
    if (std::holds_alternative<TimeoutNow>(aSend.message))
      ++sentTimeoutNows;
    if (cutLinks_.count({ aNode.id.host, aSend.to.host }) != 0)
      return;
    const int copies = RandomChance(options_.lossPermille)
                         ? 0
                         : (RandomChance(options_.duplicationPermille) ? 2 : 1);
    for (int copy = 0; copy < copies; ++copy) {
      // Some messages arrive up to 100 times later than usual.
      const int longestDelay = RandomChance(options_.duplicationPermille / 10)
                                 ? options_.maxMessageDelayMs * 100
                                 : options_.maxMessageDelayMs;
      packets_.push_back({ .dueAt = now + Duration(RandomInt(0, longestDelay)),
                           .from = aNode.id,
                           .to = aSend.to,
                           .message = aSend.message });
    }
  }
  void Execute(Node& aNode, Persist& aPersist)
  {
    invariants.CheckWrite(aNode.replica->CurrentLog(), aPersist);
    const Time last = aNode.pendingWrites.empty()
                        ? now
                        : aNode.pendingWrites.back().completesAt;
    aNode.pendingWrites.push_back(
      { .persist = aPersist,
        .completesAt = std::max(now, last) +
                       Duration(RandomInt(0, options_.maxWriteDelayMs)) });
    if (options_.violatedRule == ViolatedRule::ReportBeforeDurable)
      Handle(aNode, Persisted{ .id = aPersist.id });
  }
  void Execute(Node& aNode, Deliver& aDeliver)
  {
    invariants.CheckDelivery(*aNode.replica, aDeliver);
    if (aDeliver.index != Next(aNode.appliedIndex))
      invariants.ReportViolation("entries are delivered out of order");
    aNode.appliedIndex = aDeliver.index;
    aNode.digest =
      std::hash<std::string>()(std::to_string(aNode.digest) + aDeliver.command);
    if (aDeliver.proposal)
      aNode.proposals.erase(*aDeliver.proposal);
    CheckDigest(aNode);
  }
  void Execute(Node& aNode, RestoreSnapshot& aRestore)
  {
    ++snapshotsRestored;
    RestoreStateMachine(aNode, *aRestore.snapshot);
    CheckDigest(aNode);
  }
  void Execute(Node& aNode, RequestSnapshot& /*aRequest*/)
  {
    // Larger than maxMessageBytes, so that a snapshot takes several chunks.
    const std::string padding(700, '.');
    Handle(aNode,
           SnapshotTaken{ .index = aNode.appliedIndex,
                          .data = std::to_string(aNode.digest) + padding });
  }
  void Execute(Node& aNode, ProposalRefused& aRefused)
  {
    const auto found = aNode.proposals.find(aRefused.id);
    if (found == aNode.proposals.end())
      return;
    invariants.CheckRefusal(found->second);
    aNode.proposals.erase(found);
  }
  void Execute(Node& aNode, ProposalUnknown& aUnknown)
  {
    ++unknownProposals;
    aNode.proposals.erase(aUnknown.id);
  }
  void Execute(Node& /*aNode*/, LeaderChanged& /*aChanged*/) {}

  static void RestoreStateMachine(Node& aNode, const Snapshot& aSnapshot)
  {
    aNode.appliedIndex = aSnapshot.index;
    aNode.digest = std::stoull(aSnapshot.data);
  }
  /// All state machines have the same state at the same index.
  void CheckDigest(const Node& aNode)
  {
    const auto [found, isNew] =
      digests_.try_emplace(aNode.appliedIndex, aNode.digest);
    if (!isNew && found->second != aNode.digest)
      invariants.ReportViolation("state machines differ at the same index");
  }

  void CompleteWrites(Node& aNode)
  {
    while (aNode.replica && !aNode.isPaused && !aNode.pendingWrites.empty() &&
           aNode.pendingWrites.front().completesAt <= now) {
      const Persist persist = std::move(aNode.pendingWrites.front().persist);
      aNode.pendingWrites.pop_front();
      Apply(aNode.disk, persist);
      if (options_.violatedRule != ViolatedRule::ReportBeforeDurable)
        Handle(aNode, Persisted{ .id = persist.id });
    }
  }

  static void Apply(DurableState& aDisk, const Persist& aPersist)
  {
    std::uint64_t base = aDisk.snapshot ? aDisk.snapshot->index.Value() : 0;
    if (aPersist.snapshot) {
      const std::uint64_t index = aPersist.snapshot->index.Value();
      const std::size_t dropCount =
        std::min<std::size_t>(index - base, aDisk.entries.size());
      aDisk.entries.erase(aDisk.entries.begin(),
                          aDisk.entries.begin() +
                            static_cast<std::ptrdiff_t>(dropCount));
      aDisk.snapshot = aPersist.snapshot;
      base = index;
    }
    if (aPersist.truncateFrom) {
      const std::uint64_t from = aPersist.truncateFrom->Value();
      const std::size_t keepCount = from > base ? from - base - 1 : 0;
      if (aDisk.entries.size() > keepCount)
        aDisk.entries.resize(keepCount);
    }
    LogIndex at = aPersist.firstIndex;
    for (const Entry& entry : aPersist.entries) {
      if (at.Value() > base)
        aDisk.entries.push_back(entry);
      at = Next(at);
    }
    if (aPersist.hardState)
      aDisk.hardState = *aPersist.hardState;
  }

  void DeliverDuePackets()
  {
    std::shuffle(packets_.begin(), packets_.end(), random_);
    std::vector<Packet> packets;
    packets.swap(packets_);
    for (Packet& packet : packets) {
      Node& node = NodeOf(packet.to.host);
      if (packet.dueAt > now || (node.replica && node.isPaused)) {
        packets_.push_back(std::move(packet));
        continue;
      }
      const bool isCut =
        cutLinks_.count({ packet.from.host, packet.to.host }) != 0;
      if (!node.replica || isCut)
        continue;
      Handle(node,
             Receive{ .from = packet.from,
                      .to = packet.to,
                      .message = std::move(packet.message) });
    }
  }

  Node& NodeOf(const EntryHostId& aHost)
  {
    return *std::find_if(nodes_.begin(), nodes_.end(), [&](const Node& aNode) {
      return aNode.id.host == aHost;
    });
  }

  NetworkOptions options_;
  std::mt19937_64 random_;
  std::deque<Node> nodes_;
  std::set<EntryHostId> voters_;
  bool mayBootstrap_ = true;
  std::vector<Packet> packets_;
  std::set<std::pair<EntryHostId, EntryHostId>> cutLinks_;
  std::map<LogIndex, std::uint64_t> digests_;
  std::uint64_t lastProposal_ = 0;
};

} // namespace greengage::consensus::test

#endif // GREENGAGE_CONSENSUS_UNITTESTS_TESTNETWORK_H
