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
enum class BrokenRule
{
  None,
  /// A write is reported durable while a crash can still lose it.
  ReportBeforeDurable,
  /// The hard state is lost in a restart.
  ForgetVotes,
  /// A host that loses its disk keeps its incarnation.
  KeepIncarnation,
};

struct NetworkOptions
{
  /// Hosts with disks that are configured as voters.
  std::size_t disks = 3;
  /// Hosts without disks.
  std::size_t learners = 0;
  /// Hosts with disks that start as learners.
  std::size_t spares = 0;
  /// See ReplicaOptions.
  Duration replaceAfter = {};
  std::uint64_t seed = 1;
  BrokenRule brokenRule = BrokenRule::None;
  /// The probability that a message is lost or duplicated, per mille.
  int lostMessages = 0;
  int doubledMessages = 0;
  /// The longest delay of a message and of a write, in milliseconds.
  int maxDelay = 5;
  int maxWriteDelay = 5;
  std::size_t snapshotBytes = 4000;
  Duration electionTimeout = Duration(1000);
};

/// Checks the safety properties of Raft, which must hold in every schedule.
class Invariants
{
public:
  /// Election safety: a term has at most one leader.
  void Leads(const Replica& aReplica)
  {
    const auto [found, isNew] =
      leaders_.try_emplace(aReplica.CurrentTerm(), aReplica.Self());
    if (found->second != aReplica.Self())
      Report("more than one leader in term " + Text(aReplica.CurrentTerm()));
    if (!isNew)
      return;
    CheckCompleteness(aReplica);
  }

  /// Log matching: two logs that have the same term at an index are equal up to
  /// it. It suffices that an index and a term determine the entry and the term
  /// of the entry before it.
  void Writes(const Log& aLog, const Persist& aPersist)
  {
    LogIndex at = aPersist.firstIndex;
    for (const Entry& entry : aPersist.entries) {
      const Term previousTerm = aLog.TermAt(Previous(at)).value_or(Term(0));
      const auto [found, isNew] = written_.try_emplace(
        std::pair(at, entry.term), std::pair(previousTerm, entry));
      if (!isNew && found->second != std::pair(previousTerm, entry))
        Report("logs do not match at index " + Text(at));
      at = Next(at);
    }
  }

  /// State machine safety: all replicas deliver the same command at an index,
  /// and no command is committed twice or after it was refused.
  void Delivers(const Replica& aReplica, const Deliver& aDeliver)
  {
    const Log& log = aReplica.CurrentLog();
    const std::size_t offset = aDeliver.index.Value() - 1;
    if (offset > committed_.size()) {
      Report("a gap in the delivered entries before " + Text(aDeliver.index));
      return;
    }
    if (offset < committed_.size()) {
      if (committed_[offset].command != aDeliver.command)
        Report("a different command was delivered at committed index " +
               Text(aDeliver.index));
      return;
    }
    committed_.push_back(log.At(aDeliver.index));
    committedIn_.push_back(aReplica.CurrentTerm());
    const bool isCommand = aDeliver.kind == EntryKind::Command;
    if (isCommand && refused_.count(aDeliver.command) != 0)
      Report("refused command " + aDeliver.command + " is committed");
    if (isCommand && !commands_.insert(aDeliver.command).second)
      Report(aDeliver.command + " is committed twice");
  }

  /// A refused command is never committed.
  void Refuses(const std::string& aCommand)
  {
    refused_.insert(aCommand);
    if (commands_.count(aCommand) != 0)
      Report("committed command " + aCommand + " is refused");
  }

  void Report(std::string aViolation)
  {
    violations_.push_back(std::move(aViolation));
  }

  const std::vector<std::string>& Violations() const { return violations_; }
  std::size_t Committed() const { return committed_.size(); }
  std::size_t Terms() const { return leaders_.size(); }
  bool IsCommitted(const std::string& aCommand) const
  {
    return commands_.count(aCommand) != 0;
  }

private:
  /// Leader completeness: a leader has all entries that were committed in
  /// earlier terms. A candidate that receives its votes after a later term has
  /// begun may lack the entries committed in that term.
  void CheckCompleteness(const Replica& aReplica)
  {
    const Log& log = aReplica.CurrentLog();
    for (std::size_t at = 0; at < committed_.size(); ++at) {
      const LogIndex index(at + 1);
      const bool isEarlier = committedIn_[at] < aReplica.CurrentTerm();
      if (!isEarlier || index <= log.BaseIndex())
        continue;
      if (index > log.LastIndex())
        Report("a leader lacks committed index " + Text(index));
      else if (log.At(index) != committed_[at])
        Report("a leader has a different entry at committed index " +
               Text(index));
    }
  }

  template<typename Id>
  static std::string Text(const Id& aId)
  {
    return std::to_string(aId.Value());
  }

  std::map<Term, MemberId> leaders_;
  std::map<std::pair<LogIndex, Term>, std::pair<Term, Entry>> written_;
  std::vector<Entry> committed_;
  /// For each committed entry, the term of the first replica that delivered it.
  std::vector<Term> committedIn_;
  std::set<std::string> commands_;
  std::set<std::string> refused_;
  std::vector<std::string> violations_;
};

/// A host with its disk, replica and state machine.
struct Node
{
  struct Write
  {
    Persist persist;
    Time doneAt;
  };

  MemberId id;
  bool hasDisk = true;
  bool isFrozen = false;
  DurableState disk;
  std::deque<Write> writes;
  std::unique_ptr<Replica> replica;
  /// The state machine: the last applied index and a digest of all commands.
  LogIndex applied;
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
    const std::size_t diskCount = options_.disks + options_.spares;
    const std::size_t count = diskCount + options_.learners;
    for (std::size_t at = 0; at < count; ++at) {
      Node& node = nodes_.emplace_back();
      node.hasDisk = at < diskCount;
      node.id.host = EntryHostId("h" + std::to_string(at));
      if (at < options_.disks)
        voters_.insert(node.id.host);
      node.id.incarnation = Incarnation(1);
    }
    for (Node& node : nodes_)
      Start(node);
  }

  /// Advances the clock by 1 to 10 ms and processes what is due.
  void Step()
  {
    now = now + Duration(Draw(1, 10));
    for (Node& node : nodes_)
      FinishWrites(node);
    DeliverDue();
    for (Node& node : nodes_)
      if (node.replica && !node.isFrozen)
        Drive(node, [&](Actions& aOut) { node.replica->Tick(now, aOut); });
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
    node.writes.clear();
    node.proposals.clear();
    node.isFrozen = false;
    if (!node.hasDisk)
      LoseDisk(aNode);
  }
  /// Stops a host and erases its disk.
  void LoseDisk(std::size_t aNode)
  {
    Node& node = nodes_[aNode];
    node.replica.reset();
    node.writes.clear();
    node.proposals.clear();
    node.disk = {};
    if (options_.brokenRule != BrokenRule::KeepIncarnation)
      node.id.incarnation = Incarnation(node.id.incarnation.Value() + 1);
  }
  void Restart(std::size_t aNode)
  {
    if (!nodes_[aNode].replica)
      Start(nodes_[aNode]);
  }
  void Freeze(std::size_t aNode, bool aIsFrozen)
  {
    nodes_[aNode].isFrozen = aIsFrozen;
  }
  /// Cuts one direction of a link.
  void Cut(std::size_t aFrom, std::size_t aTo)
  {
    cuts_.insert({ nodes_[aFrom].id.host, nodes_[aTo].id.host });
  }
  void Isolate(std::size_t aNode)
  {
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
      Cut(aNode, other);
      Cut(other, aNode);
    }
  }
  /// Restores all links, and resumes or restarts all hosts.
  void Heal()
  {
    cuts_.clear();
    for (std::size_t at = 0; at < nodes_.size(); ++at) {
      nodes_[at].isFrozen = false;
      Restart(at);
    }
  }
  void SetLoss(int aLossPermille, int aDuplicationPermille, int aMaxDelayMs)
  {
    options_.lostMessages = aLossPermille;
    options_.doubledMessages = aDuplicationPermille;
    options_.maxDelay = aMaxDelayMs;
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
    return node.replica && !node.isFrozen &&
           node.replica->CurrentRole() == Role::Leader;
  }
  /// Whether the committed voters are the current incarnations of all hosts
  /// with disks or, with spares, have their configured number.
  bool IsWhole() const
  {
    const auto leader = Leader();
    if (!leader)
      return false;
    Members diskReplicas;
    for (const Node& node : nodes_)
      if (node.hasDisk)
        diskReplicas.insert(node.id);
    const Replica& replica = *nodes_[*leader].replica;
    if (options_.spares > 0)
      return replica.CurrentLog().LatestVoters().size() == options_.disks &&
             replica.CurrentLog().LatestVotersIndex() <= replica.Committed();
    return replica.CurrentLog().LatestVoters() == diskReplicas &&
           replica.CurrentLog().LatestVotersIndex() <= replica.Committed();
  }
  bool HaveAllDelivered() const
  {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node& aNode) {
      return aNode.replica && aNode.applied.Value() == invariants.Committed();
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
        text += " commit " + std::to_string(replica.Committed().Value());
        const Log& log = replica.CurrentLog();
        text += " last " + std::to_string(log.LastIndex().Value()) + " voters";
        for (const MemberId& voter : log.LatestVoters())
          text += " " + voter.host.Value() + "/" +
                  std::to_string(voter.incarnation.Value());
      }
      text += "\n";
    }
    return text;
  }

  std::int64_t Draw(std::int64_t aMin, std::int64_t aMax)
  {
    return std::uniform_int_distribution<std::int64_t>(aMin, aMax)(random_);
  }
  bool Chance(int aPermille) { return Draw(0, 999) < aPermille; }

  Node& At(std::size_t aNode) { return nodes_[aNode]; }
  std::size_t Size() const { return nodes_.size(); }

  Time now{ 100000 };
  Invariants invariants;
  std::size_t unknownProposals = 0;
  std::size_t snapshotsRestored = 0;
  std::size_t transfersAsked = 0;

private:
  struct Packet
  {
    Time due;
    MemberId from;
    MemberId to;
    Message message;
  };

  void Start(Node& aNode)
  {
    aNode.applied = LogIndex(0);
    aNode.digest = 0;
    if (aNode.disk.snapshot)
      RestoreMachine(aNode, *aNode.disk.snapshot);
    if (options_.brokenRule == BrokenRule::ForgetVotes)
      aNode.disk.hardState = {};
    ReplicaOptions options{ .self = aNode.id, .voters = voters_ };
    options.maxMessageBytes = 300;
    options.flow = { .maxInflightMessages = 4, .maxInflightBytes = 2000 };
    options.snapshotBytes = options_.snapshotBytes;
    options.electionTimeout = options_.electionTimeout;
    options.keptEntries = 10;
    options.replaceAfter = options_.replaceAfter;
    options.seed = random_();
    aNode.replica = std::make_unique<Replica>(options, aNode.disk, now);
  }

  void Handle(Node& aNode, Event aEvent)
  {
    Drive(aNode, [&](Actions& aOut) {
      aNode.replica->Handle(std::move(aEvent), now, aOut);
    });
  }

  template<typename Call>
  void Drive(Node& aNode, Call aCall)
  {
    if (!invariants.Violations().empty())
      return;
    Actions actions;
    aCall(actions);
    if (aNode.replica->CurrentRole() == Role::Leader)
      invariants.Leads(*aNode.replica);
    CheckLeases();
    for (Action& action : actions)
      std::visit([&](auto& aKind) { Do(aNode, aKind); }, action);
  }

  void CheckLeases()
  {
    const auto leaseHolders =
      std::count_if(nodes_.begin(), nodes_.end(), [&](const Node& aNode) {
        return aNode.replica && aNode.replica->LeaderUntil() > now;
      });
    if (leaseHolders > 1)
      invariants.Report("more than one replica holds the leader lease");
  }

  void Do(Node& aNode, Send& aSend)
  {
    if (std::holds_alternative<TimeoutNow>(aSend.message))
      ++transfersAsked;
    if (cuts_.count({ aNode.id.host, aSend.to.host }) != 0)
      return;
    const int copies = Chance(options_.lostMessages)
                         ? 0
                         : (Chance(options_.doubledMessages) ? 2 : 1);
    for (int copy = 0; copy < copies; ++copy) {
      // Some messages arrive up to 100 times later than usual.
      const int longestDelay = Chance(options_.doubledMessages / 10)
                                 ? options_.maxDelay * 100
                                 : options_.maxDelay;
      packets_.push_back({ .due = now + Duration(Draw(0, longestDelay)),
                           .from = aNode.id,
                           .to = aSend.to,
                           .message = aSend.message });
    }
  }
  void Do(Node& aNode, Persist& aPersist)
  {
    invariants.Writes(aNode.replica->CurrentLog(), aPersist);
    const Time last = aNode.writes.empty() ? now : aNode.writes.back().doneAt;
    aNode.writes.push_back(
      { .persist = aPersist,
        .doneAt =
          std::max(now, last) + Duration(Draw(0, options_.maxWriteDelay)) });
    if (options_.brokenRule == BrokenRule::ReportBeforeDurable)
      Handle(aNode, Persisted{ .id = aPersist.id });
  }
  void Do(Node& aNode, Deliver& aDeliver)
  {
    invariants.Delivers(*aNode.replica, aDeliver);
    if (aDeliver.index != Next(aNode.applied))
      invariants.Report("entries are delivered out of order");
    aNode.applied = aDeliver.index;
    aNode.digest =
      std::hash<std::string>()(std::to_string(aNode.digest) + aDeliver.command);
    if (aDeliver.proposal)
      aNode.proposals.erase(*aDeliver.proposal);
    CheckDigest(aNode);
  }
  void Do(Node& aNode, RestoreSnapshot& aRestore)
  {
    ++snapshotsRestored;
    RestoreMachine(aNode, *aRestore.snapshot);
    CheckDigest(aNode);
  }
  void Do(Node& aNode, WantSnapshot& /*aWant*/)
  {
    const std::string padding(700, '.');
    Handle(aNode,
           SnapshotTaken{ .index = aNode.applied,
                          .data = std::to_string(aNode.digest) + padding });
  }
  void Do(Node& aNode, ProposalRefused& aRefused)
  {
    const auto found = aNode.proposals.find(aRefused.id);
    if (found == aNode.proposals.end())
      return;
    invariants.Refuses(found->second);
    aNode.proposals.erase(found);
  }
  void Do(Node& aNode, ProposalUnknown& aUnknown)
  {
    ++unknownProposals;
    aNode.proposals.erase(aUnknown.id);
  }
  void Do(Node& /*aNode*/, LeaderChanged& /*aChanged*/) {}

  static void RestoreMachine(Node& aNode, const Snapshot& aSnapshot)
  {
    aNode.applied = aSnapshot.index;
    aNode.digest = std::stoull(aSnapshot.data);
  }
  /// All state machines have the same state at the same index.
  void CheckDigest(const Node& aNode)
  {
    const auto [found, isNew] =
      digests_.try_emplace(aNode.applied, aNode.digest);
    if (!isNew && found->second != aNode.digest)
      invariants.Report("state machines differ at the same index");
  }

  void FinishWrites(Node& aNode)
  {
    while (aNode.replica && !aNode.isFrozen && !aNode.writes.empty() &&
           aNode.writes.front().doneAt <= now) {
      const Persist persist = std::move(aNode.writes.front().persist);
      aNode.writes.pop_front();
      Apply(aNode.disk, persist);
      if (options_.brokenRule != BrokenRule::ReportBeforeDurable)
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

  void DeliverDue()
  {
    std::shuffle(packets_.begin(), packets_.end(), random_);
    std::vector<Packet> packets;
    packets.swap(packets_);
    for (Packet& packet : packets) {
      Node& node = NodeOf(packet.to.host);
      if (packet.due > now || (node.replica && node.isFrozen)) {
        packets_.push_back(std::move(packet));
        continue;
      }
      const bool isCut = cuts_.count({ packet.from.host, packet.to.host }) != 0;
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
  std::vector<Packet> packets_;
  std::set<std::pair<EntryHostId, EntryHostId>> cuts_;
  std::map<LogIndex, std::uint64_t> digests_;
  std::uint64_t lastProposal_ = 0;
};

} // namespace greengage::consensus::test

#endif // GREENGAGE_CONSENSUS_UNITTESTS_TESTNETWORK_H
