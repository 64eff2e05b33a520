#include "../lib/filters/ConsensusFilter.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace greengage;
using namespace greengage::daemon::detail;

namespace {

class NoMachine final : public state::StateMachine
{
public:
  std::string Apply(state::LogIndex /*aIndex*/,
                    std::string_view /*aCommand*/) override
  {
    return {};
  }
  std::string Snapshot() const override { return {}; }
  bool Restore(std::string_view /*aSnapshot*/, Error& /*aReason*/) override
  {
    return true;
  }
};

template<typename Message>
class ListPipe final : public pipe::Pipe<Message>
{
public:
  bool TryPush(Message&& aMessage) override
  {
    messages.push_back(std::move(aMessage));
    return true;
  }
  bool Push(Message&& aMessage) override
  {
    return TryPush(std::move(aMessage));
  }
  std::vector<Message> messages;
};

consensus::ReplicaId
Replica(const char* aHost)
{
  return { .host = EntryHostId(aHost),
           .incarnation = consensus::Incarnation(1) };
}

/// The filter of host "a", which leads, with peers that take all entries.
class Leader
{
public:
  void Pass(Duration aTime)
  {
    const Duration tick(50);
    for (Time end = now + aTime; now < end; now = now + tick) {
      filter_.OnTimer(now);
      for (peer::PeerSend& send : std::exchange(peers_.messages, {}))
        Answer(std::get<wire::LogMessage>(std::move(send.message)));
    }
  }
  void Accept(ConsensusInput&& aInput)
  {
    filter_.Accept(std::move(aInput), now);
  }
  void Locate(const char* aHost, const char* aZone)
  {
    Accept(consensus::Event(
      consensus::HostLocated{ .host = EntryHostId(aHost),
                              .availabilityZone = AvailabilityZoneId(aZone) }));
  }
  void Join(const char* aHost)
  {
    Accept(
      consensus::Event(consensus::Receive{ .from = Replica(aHost),
                                           .to = Replica("a"),
                                           .message = consensus::Join{} }));
  }
  std::set<std::string> Voters() const
  {
    std::set<std::string> hosts;
    for (const consensus::ReplicaId& voter :
         replica_.CurrentLog().LatestVoters())
      hosts.insert(voter.host.Value());
    return hosts;
  }

  Time now{ 1000 };

private:
  void Answer(wire::LogMessage&& aMessage)
  {
    const auto* append = std::get_if<consensus::Append>(&aMessage.message);
    if (append == nullptr)
      return;
    const consensus::LogIndex last =
      consensus::Next(append->prevIndex, append->entries.size());
    Accept(consensus::Event(consensus::Receive{
      .from = aMessage.to,
      .to = aMessage.from,
      .message = consensus::AppendReply{ .term = append->term,
                                         .accepted = true,
                                         .verifiedIndex = last,
                                         .matchIndex = last,
                                         .sentAt = append->sentAt } }));
  }

  HostState host_{ EntryHostId("a"), AvailabilityZoneId("z1") };
  NoMachine machine_;
  consensus::Replica replica_{ { .self = Replica("a"),
                                 .voters = { EntryHostId("a") },
                                 .toleratedLosses = 1,
                                 .voterReplacementTimeout =
                                   Duration::Seconds(6) },
                               {},
                               now };
  ListPipe<peer::PeerSend> peers_;
  ListPipe<ProposalEnded> proposals_;
  ConsensusFilter filter_{
    replica_,
    machine_,
    host_,
    { .peers = peers_, .journal = nullptr, .proposals = proposals_ }
  };
};

} // namespace

/// The voters that host "a" chooses; it learns of the others while its journal
/// fails, or before.
static std::set<std::string>
ChosenVoters(bool aIsLearnedInSilence)
{
  Leader leader;
  leader.Locate("a", "z1");
  if (aIsLearnedInSilence)
    leader.Accept(JournalFailed{});
  leader.Locate("b", "z1");
  leader.Locate("c", "z1");
  leader.Locate("d", "z2");
  if (aIsLearnedInSilence)
    leader.Accept(JournalRepaired{});
  leader.Pass(Duration::Seconds(5));
  REQUIRE(leader.Voters() == std::set<std::string>{ "a" });
  for (const char* host : { "b", "c", "d" })
    leader.Join(host);
  leader.Pass(Duration::Seconds(3));
  return leader.Voters();
}

TEST_CASE("a host learns the availability zones of others while it is silent")
{
  const std::set<std::string> expected = ChosenVoters(false);
  CHECK(expected.count("d") == 1);
  CHECK(ChosenVoters(true) == expected);
}
