#include "TestNetwork.h"

#include <catch2/catch.hpp>

using namespace greengage;
using namespace greengage::consensus;
using namespace greengage::consensus::test;

namespace {

constexpr Duration kWaitLimit = Duration::Seconds(30);

/// Bootstraps the log of a network without faults.
void
Bootstrap(Network& aNetwork)
{
  REQUIRE(aNetwork.RunUntil(kWaitLimit, [&] {
    return aNetwork.HasConfiguredVoters() && aNetwork.HaveAllApplied();
  }));
}

bool
WaitUntilCommitted(Network& aNetwork, const std::string& aCommand)
{
  return aNetwork.RunUntil(
    kWaitLimit, [&] { return aNetwork.invariants.IsCommitted(aCommand); });
}

/// Proposes \p aCount commands and waits until the last one is committed.
void
CommitCommands(Network& aNetwork, int aCount)
{
  std::string last;
  for (int count = 0; count < aCount; ++count) {
    last = aNetwork.ProposeAt(*aNetwork.Leader());
    aNetwork.Step();
  }
  REQUIRE(WaitUntilCommitted(aNetwork, last));
}

void
CheckNoViolations(const Network& aNetwork)
{
  CAPTURE(aNetwork.invariants.Violations());
  CHECK(aNetwork.invariants.Violations().empty());
}

} // namespace

TEST_CASE("the log is bootstrapped only when all configured voters are up")
{
  Network network({ .voters = 3, .learners = 1 });
  network.Crash(2);
  network.Run(kWaitLimit);
  CHECK_FALSE(network.Leader());
  network.Restart(2);
  Bootstrap(network);
  CheckNoViolations(network);
}

TEST_CASE("new hosts that are configured as voters later do not bootstrap a "
          "second log")
{
  Network network({ .voters = 3, .spares = 3 });
  for (const std::size_t newHost : { 3, 4, 5 })
    network.LoseDisk(newHost);
  REQUIRE(
    network.RunUntil(kWaitLimit, [&] { return network.Leader().has_value(); }));
  CommitCommands(network, 5);
  const std::size_t leader = *network.Leader();
  network.ChangeSettings({ 3, 4, 5 });
  for (const std::size_t newHost : { 3, 4, 5 })
    network.Restart(newHost);
  network.Run(kWaitLimit);
  CheckNoViolations(network);
  for (const std::size_t newHost : { 3, 4, 5 })
    CHECK_FALSE(network.IsLeader(newHost));
  CHECK(network.IsLeader(leader));
}

TEST_CASE("new hosts follow the announced leader if the settings name only new "
          "hosts")
{
  Network network({ .voters = 3,
                    .spares = 3,
                    .voterReplacementTimeout = Duration::Seconds(2) });
  for (const std::size_t newHost : { 3, 4, 5 })
    network.LoseDisk(newHost);
  REQUIRE(
    network.RunUntil(kWaitLimit, [&] { return network.Leader().has_value(); }));
  CommitCommands(network, 5);
  const EntryHostId leader = network.At(*network.Leader()).id.host;
  network.ChangeSettings({ 3, 4, 5 });
  for (const std::size_t newHost : { 3, 4, 5 }) {
    network.Restart(newHost);
    network.Handle(newHost, LeaderAnnounced{ .host = leader });
  }
  CHECK(network.RunUntil(kWaitLimit, [&] { return network.HaveAllApplied(); }));
  CheckNoViolations(network);
}

TEST_CASE("configured voters that all lost their disks do not bootstrap a "
          "second log")
{
  Network network({ .voters = 3,
                    .spares = 3,
                    .voterReplacementTimeout = Duration::Seconds(2) });
  Bootstrap(network);
  CommitCommands(network, 5);
  const std::size_t committed = network.invariants.CommittedCount();
  network.ChangeSettings({ 0, 1, 2 });
  for (std::size_t at = 0; at < network.Size(); ++at)
    network.Crash(at);
  for (const std::size_t host : { 0, 1, 2 }) {
    network.LoseDisk(host);
    network.Restart(host);
  }
  network.Run(kWaitLimit);
  CHECK_FALSE(network.Leader());
  CHECK(network.invariants.CommittedCount() == committed);
  CheckNoViolations(network);
}

TEST_CASE(
  "hosts that restart before the log is bootstrapped still bootstrap it")
{
  Network network({ .voters = 3 });
  network.Run(Duration(100));
  network.Crash(2);
  network.Run(Duration::Seconds(5));
  network.ChangeSettings({ 0, 1, 2 });
  for (const std::size_t host : { 0, 1 }) {
    network.Crash(host);
    network.Restart(host);
  }
  network.Run(Duration::Seconds(5));
  CHECK_FALSE(network.Leader());
  network.Restart(2);
  Bootstrap(network);
  CheckNoViolations(network);
}

TEST_CASE(
  "a second bootstrap vote is denied after the first candidate lost its disk")
{
  Network network({ .voters = 3 });
  REQUIRE(
    network.RunUntil(kWaitLimit, [&] { return network.Leader().has_value(); }));
  const std::size_t firstCandidate = *network.Leader();
  REQUIRE(firstCandidate == 0);
  network.Isolate(2);
  const std::string command = network.ProposeAt(firstCandidate);
  REQUIRE(WaitUntilCommitted(network, command));
  network.LoseDisk(0);
  network.LoseDisk(1);
  network.Heal();
  network.Run(kWaitLimit);
  CHECK_FALSE(network.Leader());
  CheckNoViolations(network);
}

TEST_CASE(
  "a host that lost its disk becomes a voter again once it has caught up")
{
  Network network({ .voters = 3 });
  Bootstrap(network);
  CommitCommands(network, 50);
  const std::size_t victim = (*network.Leader() + 1) % 3;
  network.LoseDisk(victim);
  network.Restart(victim);
  CHECK_FALSE(network.At(victim).replica->IsVoter());
  REQUIRE(network.RunUntil(kWaitLimit,
                           [&] { return network.HasConfiguredVoters(); }));
  CHECK(network.RunUntil(
    kWaitLimit, [&] { return network.At(victim).replica->IsVoter(); }));
  CHECK(network.At(victim).id.incarnation == Incarnation(2));
  CheckNoViolations(network);
}

TEST_CASE("a host that lost its disk and whose clock was set back becomes a "
          "voter again")
{
  Network network({ .voters = 3 });
  Bootstrap(network);
  const auto replaceDisk = [&](std::size_t aVictim, Incarnation aNext) {
    CommitCommands(network, 5);
    network.LoseDisk(aVictim, aNext);
    network.Restart(aVictim);
    return network.RunUntil(kWaitLimit, [&] {
      return network.HasConfiguredVoters() &&
             network.At(aVictim).replica->IsVoter();
    });
  };
  const std::size_t leader = *network.Leader();
  const std::size_t first = (leader + 1) % 3;
  const std::size_t second = (leader + 2) % 3;
  REQUIRE(replaceDisk(first, Incarnation(9)));
  CHECK(replaceDisk(first, Incarnation(4)));
  // A second host may lose its disk afterwards.
  REQUIRE(replaceDisk(second, Incarnation(9)));
  CHECK(replaceDisk(second, Incarnation(4)));
  CommitCommands(network, 5);
  CheckNoViolations(network);
}

TEST_CASE("a voter that answers keeps its vote beside an earlier folder of its "
          "host")
{
  Network network({ .voters = 3 });
  Bootstrap(network);
  const std::size_t leader = *network.Leader();
  const std::size_t host = (leader + 1) % 3;
  network.LoseDisk(host, Incarnation(9));
  network.Restart(host);
  REQUIRE(network.RunUntil(kWaitLimit,
                           [&] { return network.HasConfiguredVoters(); }));
  const Replica& replica = *network.At(leader).replica;
  const LogIndex votersIndex = replica.CurrentLog().LatestVotersIndex();
  const ReplicaId earlier{ .host = network.At(host).id.host,
                           .incarnation = Incarnation(4) };
  const auto receive = [&](Message aMessage) {
    network.Handle(leader,
                   Receive{ .from = earlier,
                            .to = replica.Self(),
                            .message = std::move(aMessage) });
  };
  receive(Join{});
  const Time end = network.now + Duration::Seconds(20);
  while (network.now < end) {
    network.Step();
    receive(AppendReply{ .term = replica.CurrentTerm(),
                         .accepted = true,
                         .verifiedIndex = replica.CurrentLog().LastIndex(),
                         .matchIndex = replica.CurrentLog().LastIndex(),
                         .sentAt = network.now });
  }
  CHECK(network.IsLeader(leader));
  CHECK(replica.CurrentLog().LatestVotersIndex() == votersIndex);
  CHECK(network.HasConfiguredVoters());
  CheckNoViolations(network);
}

TEST_CASE("an unresponsive voter is replaced by a learner that has caught up")
{
  Network network({ .voters = 3,
                    .spares = 1,
                    .voterReplacementTimeout = Duration::Seconds(5) });
  Bootstrap(network);
  const std::size_t leader = *network.Leader();
  const std::size_t victim = (leader + 1) % 3;
  const std::size_t other = (leader + 2) % 3;
  network.Crash(victim);
  network.Run(Duration::Seconds(4));
  CHECK_FALSE(network.At(3).replica->IsVoter());
  REQUIRE(network.RunUntil(kWaitLimit, [&] {
    return network.At(3).replica->IsVoter() && network.HasConfiguredVoters();
  }));
  // With two of the three initial voters down, commands are still committed.
  network.Crash(other);
  CommitCommands(network, 5);
  // The replaced voter comes back as a learner.
  network.Restart(victim);
  network.Run(Duration::Seconds(3));
  CHECK_FALSE(network.At(victim).replica->IsVoter());
  CheckNoViolations(network);
}

TEST_CASE("an unresponsive voter stays a voter if no learner can replace it")
{
  Network network(
    { .voters = 3, .voterReplacementTimeout = Duration::Seconds(5) });
  Bootstrap(network);
  const std::size_t victim = (*network.Leader() + 1) % 3;
  network.Crash(victim);
  network.Run(Duration::Seconds(20));
  network.Restart(victim);
  network.Run(Duration::Seconds(2));
  CHECK(network.At(victim).replica->IsVoter());
  CheckNoViolations(network);
}

TEST_CASE("a log that has to survive two lost disks survives them")
{
  // Three hosts are named, so the other two voters are learners at first.
  for (const std::size_t spares : { 2, 3 }) {
    CAPTURE(spares);
    Network network({ .voters = 3,
                      .spares = spares,
                      .voterReplacementTimeout = Duration::Seconds(6),
                      .toleratedLosses = 2 });
    REQUIRE(network.RunUntil(kWaitLimit,
                             [&] { return network.Leader().has_value(); }));
    network.Run(Duration::Seconds(5));
    CommitCommands(network, 20);
    const std::size_t committed = network.invariants.CommittedCount();
    // The disks of the leader and of another named host are lost while all
    // other hosts lose power.
    const std::size_t leader = *network.Leader();
    for (std::size_t at = 0; at < network.Size(); ++at)
      network.Crash(at);
    network.LoseDisk(leader);
    network.LoseDisk((leader + 1) % 3);
    network.Heal();
    REQUIRE(network.RunUntil(Duration::Seconds(10),
                             [&] { return network.Leader().has_value(); }));
    CommitCommands(network, 1);
    CHECK(network.invariants.CommittedCount() > committed);
    // Both hosts become voters again, or others have taken their place.
    CHECK(network.RunUntil(kWaitLimit,
                           [&] { return network.HasConfiguredVoters(); }));
    CheckNoViolations(network);
  }
}

TEST_CASE("a log that has to survive one lost disk keeps three voters")
{
  for (const std::size_t spares : { 0, 1 }) {
    CAPTURE(spares);
    Network network({ .voters = 3,
                      .spares = spares,
                      .voterReplacementTimeout = Duration::Seconds(6),
                      .toleratedLosses = 1 });
    Bootstrap(network);
    network.Run(Duration::Seconds(10));
    const std::size_t leader = *network.Leader();
    CHECK(network.At(leader).replica->CurrentLog().LatestVoters().size() == 3);
    CheckNoViolations(network);
  }
}

TEST_CASE("a voter that the settings do not name votes again after it lost its "
          "disk")
{
  Network network({ .voters = 3,
                    .spares = 1,
                    .voterReplacementTimeout = Duration::Seconds(5) });
  Bootstrap(network);
  network.Crash((*network.Leader() + 1) % 3);
  REQUIRE(network.RunUntil(kWaitLimit, [&] {
    return network.At(3).replica->IsVoter() && network.HasConfiguredVoters();
  }));
  network.LoseDisk(3);
  network.Restart(3);
  CHECK(network.RunUntil(kWaitLimit,
                         [&] { return network.At(3).replica->IsVoter(); }));
  CheckNoViolations(network);
}

TEST_CASE("a log in three availability zones survives the loss of one after a "
          "voter was replaced")
{
  // With one spare, the only replacement is in the zone of another voter.
  for (const std::size_t spares : { 1, 3 }) {
    CAPTURE(spares);
    Network network({ .voters = 3,
                      .spares = spares,
                      .voterReplacementTimeout = Duration::Seconds(5),
                      .toleratedLosses = 1,
                      .zones = 3 });
    Bootstrap(network);
    REQUIRE(*network.Leader() == 0);
    const ReplicaId victim = network.At(1).id;
    network.Crash(1);
    REQUIRE(network.RunUntil(kWaitLimit, [&] {
      return network.HasConfiguredVoters() && network.At(*network.Leader())
                                                  .replica->CurrentLog()
                                                  .LatestVoters()
                                                  .count(victim) == 0;
    }));
    network.Restart(1);
    network.Run(Duration::Seconds(5));
    for (std::size_t zone = 0; zone < 3; ++zone) {
      CAPTURE(zone);
      for (std::size_t at = zone; at < network.Size(); at += 3)
        network.Crash(at);
      REQUIRE(network.RunUntil(Duration::Seconds(4),
                               [&] { return network.Leader().has_value(); }));
      CommitCommands(network, 1);
      network.Heal();
      network.Run(Duration::Seconds(5));
    }
    CheckNoViolations(network);
  }
}

TEST_CASE("a vote request to an earlier incarnation is ignored")
{
  ReplicaOptions options{ .self = { EntryHostId("a"), Incarnation(2) } };
  Replica replica(options, {}, Time(0));
  Actions actions;
  const ReplicaId candidate{ EntryHostId("b"), Incarnation(1) };
  const RequestVote request{ .term = Term(5),
                             .lastIndex = LogIndex(9),
                             .lastTerm = Term(4) };
  const Time later(60000);
  ReplicaId earlierSelf = options.self;
  earlierSelf.incarnation = Incarnation(1);
  replica.Handle(
    Receive{ .from = candidate, .to = earlierSelf, .message = request },
    later,
    actions);
  CHECK(actions.empty());
  replica.Handle(
    Receive{ .from = candidate, .to = options.self, .message = request },
    later,
    actions);
  // The vote is sent only once the write of the hard state is durable.
  REQUIRE(actions.size() == 1);
  const PersistId id = std::get<Persist>(actions[0]).id;
  actions.clear();
  replica.Handle(Persisted{ .id = id }, later, actions);
  REQUIRE(actions.size() == 1);
  const Send& send = std::get<Send>(actions[0]);
  CHECK(std::get<VoteReply>(send.message).granted);
}

TEST_CASE("an entry of an earlier term is only committed with one of this term")
{
  const ReplicaId self{ EntryHostId("a"), Incarnation(1) };
  const ReplicaId other{ EntryHostId("b"), Incarnation(1) };
  const ReplicaId third{ EntryHostId("c"), Incarnation(1) };
  DurableState state;
  state.hardState.term = Term(2);
  state.entries = {
    { .term = Term(1),
      .kind = EntryKind::Configuration,
      .members = { self, other, third } },
    { .term = Term(2), .kind = EntryKind::Command, .command = "x" }
  };
  Replica replica({ .self = self }, state, Time(0));
  const Time now(5000);
  Actions actions;
  const auto receive = [&](Message aMessage) {
    replica.Handle(
      Receive{ .from = other, .to = self, .message = std::move(aMessage) },
      now,
      actions);
  };
  replica.Tick(now, actions);
  receive(VoteReply{ .isPreVote = true, .term = Term(3), .granted = true });
  replica.Handle(Persisted{ .id = PersistId(1) }, now, actions);
  receive(VoteReply{ .term = Term(3), .granted = true });
  REQUIRE(replica.CurrentRole() == Role::Leader);
  replica.Handle(Persisted{ .id = PersistId(2) }, now, actions);
  AppendReply reply{ .term = Term(3), .accepted = true };
  reply.verifiedIndex = LogIndex(2);
  reply.matchIndex = LogIndex(2);
  receive(reply);
  CHECK(replica.CommitIndex() == LogIndex(0));
  reply.verifiedIndex = LogIndex(3);
  reply.matchIndex = LogIndex(3);
  receive(reply);
  CHECK(replica.CommitIndex() == LogIndex(3));
}

TEST_CASE(
  "a removed replica may start elections only until its removal is committed")
{
  const ReplicaId self{ EntryHostId("a"), Incarnation(1) };
  const ReplicaId others[] = { { EntryHostId("b"), Incarnation(1) },
                               { EntryHostId("c"), Incarnation(1) } };
  DurableState state;
  state.hardState.term = Term(1);
  state.entries = { { .term = Term(1),
                      .kind = EntryKind::Configuration,
                      .members = { self, others[0], others[1] } },
                    { .term = Term(1),
                      .kind = EntryKind::Configuration,
                      .members = { others[0], others[1] } } };
  Replica replica({ .self = self }, state, Time(0));
  const Time now(5000);
  Actions actions;
  const auto receive = [&](const Message& aMessage) {
    for (const ReplicaId& other : others)
      replica.Handle(Receive{ .from = other, .to = self, .message = aMessage },
                     now,
                     actions);
  };
  replica.Tick(now, actions);
  REQUIRE(replica.CurrentRole() == Role::PreCandidate);
  receive(VoteReply{ .isPreVote = true, .term = Term(2), .granted = true });
  replica.Handle(Persisted{ .id = PersistId(1) }, now, actions);
  // The candidate's own vote doesn't count, since it isn't a voter any more.
  replica.Handle(
    Receive{ .from = others[0],
             .to = self,
             .message = VoteReply{ .term = Term(2), .granted = true } },
    now,
    actions);
  CHECK(replica.CurrentRole() == Role::Candidate);
  receive(VoteReply{ .term = Term(2), .granted = true });
  REQUIRE(replica.CurrentRole() == Role::Leader);
  AppendReply reply{ .term = Term(2), .accepted = true };
  reply.verifiedIndex = LogIndex(3);
  reply.matchIndex = LogIndex(3);
  receive(reply);
  CHECK(replica.CommitIndex() == LogIndex(3));
  CHECK(replica.CurrentRole() == Role::Follower);
  replica.Tick(Time(60000), actions);
  CHECK(replica.CurrentRole() == Role::Follower);
}

TEST_CASE("a leader without replies from a majority steps down and reports its "
          "proposals unknown")
{
  Network network({ .voters = 3 });
  Bootstrap(network);
  const std::size_t leader = *network.Leader();
  network.Isolate(leader);
  const std::size_t unknownBefore = network.unknownProposals;
  network.ProposeAt(leader);
  const Time isolatedAt = network.now;
  REQUIRE(
    network.RunUntil(kWaitLimit, [&] { return !network.IsLeader(leader); }));
  CHECK(network.now - isolatedAt <= Duration(1100));
  CHECK(network.unknownProposals == unknownBefore + 1);
  CHECK(network.At(leader).replica->LeaseExpiresAt() < network.now);
  REQUIRE(
    network.RunUntil(kWaitLimit, [&] { return network.Leader().has_value(); }));
  CHECK(network.now - isolatedAt <= Duration(4000));
  CheckNoViolations(network);
}

TEST_CASE("a host that reconnects after a partition does not depose the leader")
{
  Network network({ .voters = 3 });
  Bootstrap(network);
  const std::size_t leader = *network.Leader();
  const Term term = network.At(leader).replica->CurrentTerm();
  const std::size_t victim = (leader + 1) % 3;
  for (const bool isOneWay : { false, true }) {
    CAPTURE(isOneWay);
    if (isOneWay)
      network.CutLink(leader, victim);
    else
      network.Isolate(victim);
    network.Run(kWaitLimit);
    network.Heal();
    network.Run(kWaitLimit);
    CHECK(network.IsLeader(leader));
    CHECK(network.At(leader).replica->CurrentTerm() == term);
  }
  CheckNoViolations(network);
}

TEST_CASE("a leadership transfer completes without an election timeout")
{
  Network network({ .voters = 3 });
  Bootstrap(network);
  CommitCommands(network, 10);
  const std::size_t formerLeader = *network.Leader();
  const Time start = network.now;
  network.Handle(formerLeader, TransferLeadership{});
  network.ProposeAt(formerLeader);
  REQUIRE(network.RunUntil(kWaitLimit, [&] {
    return network.Leader() && *network.Leader() != formerLeader;
  }));
  CHECK(network.now - start < Duration(500));
  CHECK(network.sentTimeoutNows > 0);
  CheckNoViolations(network);
}

TEST_CASE(
  "a follower that needs compacted entries catches up by a chunked snapshot")
{
  Network network({ .voters = 3, .learners = 1, .lossPermille = 100 });
  Bootstrap(network);
  const std::size_t victim = (*network.Leader() + 1) % 3;
  network.Crash(victim);
  CommitCommands(network, 400);
  const std::size_t restoredBefore = network.snapshotsRestored;
  network.Restart(victim);
  REQUIRE(
    network.RunUntil(kWaitLimit, [&] { return network.HaveAllApplied(); }));
  CHECK(network.snapshotsRestored > restoredBefore);
  const Log& log = network.At(victim).replica->CurrentLog();
  CHECK(log.BaseIndex() > LogIndex(300));
  CheckNoViolations(network);
}

TEST_CASE(
  "installing a snapshot keeps the entries after it only if the log matches")
{
  const ReplicaId self{ EntryHostId("a"), Incarnation(1) };
  const ReplicaId leader{ EntryHostId("b"), Incarnation(1) };
  struct Case
  {
    const char* name;
    Term term;
    LogIndex last;
    std::optional<LogIndex> truncateFrom;
  };
  const Case cases[] = {
    { "log matches", Term(1), LogIndex(5), std::nullopt },
    { "log conflicts", Term(2), LogIndex(3), LogIndex(4) },
  };
  for (const Case& item : cases) {
    CAPTURE(item.name);
    DurableState state;
    state.hardState.term = Term(2);
    state.entries = std::vector<Entry>(5, Entry{ .term = Term(1) });
    Replica replica({ .self = self }, state, Time(0));
    SnapshotChunk chunk{ .term = Term(2),
                         .index = LogIndex(3),
                         .lastTerm = item.term };
    chunk.size = 1;
    chunk.bytes = "s";
    Actions actions;
    replica.Handle(Receive{ .from = leader, .to = self, .message = chunk },
                   Time(1),
                   actions);
    CHECK(replica.CurrentLog().LastIndex() == item.last);
    const auto& persist = std::get<Persist>(actions.front());
    CHECK(persist.snapshot->data == "s");
    CHECK(persist.truncateFrom == item.truncateFrom);
  }
}

TEST_CASE("a refused proposal reports the reason and the leader")
{
  Network network({ .voters = 3 });
  Bootstrap(network);
  const std::size_t leader = *network.Leader();
  const ReplicaId self = network.At(leader).id;
  const ReplicaId unknownMember{ EntryHostId("x"), Incarnation(1) };
  struct Case
  {
    const char* name;
    std::size_t at;
    Event event;
    Refusal reason;
  };
  const ProposalId id(77);
  const Case cases[] = {
    { "not the leader",
      (leader + 1) % 3,
      Propose{ .id = id, .command = "x" },
      Refusal::NotLeader },
    { "too large",
      leader,
      Propose{ .id = id, .command = std::string(1 << 20, 'x') },
      Refusal::TooLarge },
    { "decided on in another term",
      leader,
      Propose{ .id = id, .command = "x", .term = Term(0) },
      Refusal::NotLeader },
    { "leader removed",
      leader,
      ChangeVoter{ .id = id, .member = self, .isAdded = false },
      Refusal::Invalid },
    { "already a voter",
      leader,
      ChangeVoter{ .id = id, .member = self },
      Refusal::Invalid },
    { "unknown replica",
      leader,
      ChangeVoter{ .id = id, .member = unknownMember },
      Refusal::NotCaughtUp },
  };
  for (const Case& item : cases) {
    CAPTURE(item.name);
    Actions actions;
    network.At(item.at).replica->Handle(
      Event(item.event), network.now, actions);
    REQUIRE(actions.size() == 1);
    const auto& refused = std::get<ProposalRefused>(actions[0]);
    CHECK(refused.id == id);
    CHECK(refused.reason == item.reason);
    CHECK(refused.leader == self);
  }
}

TEST_CASE("a configuration change is refused while another one is pending")
{
  Network network({ .voters = 5 });
  Bootstrap(network);
  const std::size_t leader = *network.Leader();
  Replica& replica = *network.At(leader).replica;
  Actions actions;
  for (const std::size_t step : { 1, 2 })
    replica.Handle(ChangeVoter{ .id = ProposalId(step),
                                .member = network.At((leader + step) % 5).id,
                                .isAdded = false },
                   network.now,
                   actions);
  const auto& last = std::get<ProposalRefused>(actions.back());
  CHECK(last.id == ProposalId(2));
  CHECK(last.reason == Refusal::ChangePending);
  CHECK(replica.CurrentLog().LatestVoters().size() == 4);
}

TEST_CASE(
  "FindConflictByTerm returns the index before a base with a later term")
{
  const auto snapshot = std::make_shared<const Snapshot>(Snapshot{
    .index = LogIndex(521), .term = Term(3), .members = {}, .data = {} });
  const Log log(snapshot, { Entry{ .term = Term(3) } });
  CHECK(log.FindConflictByTerm(LogIndex(521), Term(3)) == LogIndex(521));
  CHECK(log.FindConflictByTerm(LogIndex(521), Term(2)) == LogIndex(520));
  CHECK_FALSE(log.TermAt(LogIndex(520)));
  Progress progress(LogIndex(522), Time(0), {});
  progress.RecordRejection(LogIndex(521));
  CHECK(progress.NextIndex() == LogIndex(521));
}

TEST_CASE("a delayed probe reply does not resend durable entries")
{
  Progress progress(LogIndex(11), Time(0), { .maxInflightMessages = 1 });
  progress.RecordAck(LogIndex(10), LogIndex(10));
  progress.RecordRejection(LogIndex(10));
  progress.RecordAck(LogIndex(3), LogIndex(3));
  CHECK(progress.NextIndex() == LogIndex(11));
  progress.RecordSent(LogIndex(10), 10);
  progress.RecordAck(LogIndex(10), LogIndex(10));
  CHECK(progress.CanSend());
}

TEST_CASE(
  "unacknowledged messages to a follower are limited in number and bytes")
{
  ReplicaOptions options{ .self = { EntryHostId("a"), Incarnation(1) } };
  options.flowControl = { .maxInflightMessages = 4, .maxInflightBytes = 1000 };
  Progress progress(LogIndex(1), Time(0), options.flowControl);
  CHECK(progress.CanSend());
  progress.RecordSent(LogIndex(1), 10);
  CHECK_FALSE(progress.CanSend());
  progress.RecordAck(LogIndex(1), LogIndex(1));
  int sent = 0;
  for (; progress.CanSend(); ++sent)
    progress.RecordSent(Next(progress.NextIndex()), 10);
  CHECK(sent == 4);
  progress.RecordAck(LogIndex(20), LogIndex(20));
  progress.RecordSent(LogIndex(21), 1000);
  CHECK_FALSE(progress.CanSend());
}
