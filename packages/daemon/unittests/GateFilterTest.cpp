#include "../lib/filters/GateFilter.h"

#include <catch2/catch.hpp>

#include <deque>
#include <string>
#include <variant>

using namespace greengage;
using namespace greengage::daemon::detail;

namespace {

template<typename Message>
class ListPipe final : public pipe::Pipe<Message>
{
public:
  bool TryPush(Message&& aMessage) override
  {
    if (isFull)
      return false;
    messages.push_back(std::move(aMessage));
    return true;
  }
  bool Push(Message&& aMessage) override
  {
    messages.push_back(std::move(aMessage));
    return true;
  }
  std::deque<Message> messages;
  bool isFull = false;
};

const EntryHostId kSelf("10.0.0.1");
const EntryHostId kLeader("10.0.0.2");
const EntryHostId kOther("10.0.0.3");

/// The gate of an entry host or, with a log, of a control host.
struct Fixture
{
  explicit Fixture(bool aHasLog = false)
    : gate(host,
           { .ports = { { http::PortRole::Callers, &responses },
                        { http::PortRole::Readiness, &responses } },
             .peers = peers,
             .served = aHasLog ? &served : nullptr,
             .log = aHasLog ? &log : nullptr })
  {
  }

  void Do(GateMessage aMessage) { gate.Accept(std::move(aMessage), now); }
  void Request(http::PortRole aPort = http::PortRole::Callers)
  {
    http::HttpRequest request;
    request.port = aPort;
    request.exchange = http::ExchangeId(++lastExchange);
    request.method = "POST";
    request.target = "/q/1";
    request.body = "job";
    Do(std::move(request));
  }
  void Connect(const EntryHostId& aPeer)
  {
    Do(peer::PeerEvent(
      peer::PeerConnected{ .peer = aPeer, .availabilityZone = {} }));
  }
  void Disconnect(const EntryHostId& aPeer)
  {
    Do(peer::PeerEvent(peer::PeerDisconnected{ .peer = aPeer }));
  }
  void Receive(const EntryHostId& aFrom, wire::PeerMessage aMessage)
  {
    Do(peer::PeerEvent(
      peer::PeerReceived{ .peer = aFrom, .message = std::move(aMessage) }));
  }
  void Notice(std::uint64_t aTerm, std::optional<EntryHostId> aLeader)
  {
    Receive(kOther,
            wire::LeaderNotice{ .term = consensus::Term(aTerm),
                                .leader = std::move(aLeader) });
  }
  /// The status of the next response; 0 if there is none.
  unsigned NextStatus()
  {
    if (responses.messages.empty())
      return 0;
    const unsigned status = responses.messages.front().status;
    responses.messages.pop_front();
    return status;
  }
  /// The call that was relayed last.
  const wire::RelayedCall* LastRelayed() const
  {
    if (peers.messages.empty())
      return nullptr;
    return std::get_if<wire::RelayedCall>(&peers.messages.back().message);
  }

  HostState host{ kSelf, AvailabilityZoneId("z") };
  Time now{ 1000 };
  std::uint64_t lastExchange = 0;
  ListPipe<http::HttpResponse> responses;
  ListPipe<peer::PeerSend> peers;
  ListPipe<RawCall> served;
  ListPipe<ConsensusInput> log;
  GateFilter gate;
};

struct ControlFixture : Fixture
{
  ControlFixture()
    : Fixture(true)
  {
  }
  void Lead()
  {
    Do(Leadership{
      .term = consensus::Term(3), .leader = kSelf, .isReadyHere = true });
  }
};

wire::RelayedReply
ReplyTo(std::uint64_t aNumber)
{
  wire::RelayedReply reply{ .number = aNumber, .response = {} };
  reply.response.status = 200;
  return reply;
}

} // namespace

TEST_CASE_METHOD(Fixture, "without a leader a call is refused at once")
{
  Request();
  CHECK(NextStatus() == 503);
  // A leader that can't be reached is none.
  Notice(2, kLeader);
  Request();
  REQUIRE(responses.messages.size() == 1);
  CHECK(responses.messages.front().retryAfter.has_value());
  CHECK(NextStatus() == 503);
  CHECK(LastRelayed() == nullptr);
}

TEST_CASE_METHOD(Fixture,
                 "the longer there is no leader, the later clients come back")
{
  const auto retryAfter = [&] {
    Request();
    const auto time = responses.messages.back().retryAfter;
    responses.messages.clear();
    return time.value_or(Duration(0));
  };
  CHECK(retryAfter() == Duration::Seconds(1));
  now = now + Duration(3000);
  CHECK(retryAfter() == Duration::Seconds(3));
  now = now + Duration::Seconds(60);
  CHECK(retryAfter() == Duration::Seconds(8));
  Connect(kLeader);
  Notice(2, kLeader);
  Request();
  Notice(3, std::nullopt);
  CHECK(retryAfter() == Duration::Seconds(1));
}

TEST_CASE_METHOD(Fixture, "a call goes to the leader and its reply comes back")
{
  Connect(kLeader);
  Notice(2, kLeader);
  Request();
  REQUIRE(LastRelayed() != nullptr);
  CHECK(peers.messages.back().to == kLeader);
  CHECK(LastRelayed()->request.body == "job");
  const std::uint64_t number = LastRelayed()->number;
  // Only the leader that was asked can answer.
  Receive(kOther, ReplyTo(number));
  CHECK(NextStatus() == 0);
  Receive(kLeader, ReplyTo(number));
  REQUIRE(responses.messages.size() == 1);
  CHECK(responses.messages.front().exchange == http::ExchangeId(1));
  CHECK(NextStatus() == 200);
  Receive(kLeader, ReplyTo(number));
  CHECK(NextStatus() == 0);
}

TEST_CASE_METHOD(Fixture,
                 "a call that may have been carried out is not refused")
{
  Connect(kLeader);
  Notice(2, kLeader);
  Request();
  Disconnect(kLeader);
  // The caller waits for the next leader, if its time allows.
  CHECK(NextStatus() == 0);
  now = now + Duration(2400);
  gate.OnTimer(now);
  CHECK(NextStatus() == 0);
  now = now + Duration(100);
  gate.OnTimer(now);
  CHECK(NextStatus() == 504);
  // The same if the leader does not answer.
  Connect(kLeader);
  Request();
  CHECK(gate.NextTimer().has_value());
  now = now + Duration(2500);
  gate.OnTimer(now);
  CHECK(NextStatus() == 504);
  CHECK_FALSE(gate.NextTimer().has_value());
}

TEST_CASE_METHOD(Fixture,
                 "a call whose leader is lost is answered by the next leader")
{
  Connect(kLeader);
  Connect(kOther);
  Notice(2, kLeader);
  Request();
  const bool isSilent = GENERATE(false, true);
  if (!isSilent)
    Disconnect(kLeader);
  now = now + Duration(1200);
  peers.messages.clear();
  Notice(3, kOther);
  REQUIRE(LastRelayed() != nullptr);
  CHECK(peers.messages.back().to == kOther);
  CHECK(LastRelayed()->request.body == "job");
  const std::uint64_t number = LastRelayed()->number;
  // The next leader may not be ready yet.
  wire::RelayedReply refusal = ReplyTo(number);
  refusal.response.status = 503;
  Receive(kOther, std::move(refusal));
  CHECK(NextStatus() == 0);
  peers.messages.clear();
  now = now + Duration(100);
  gate.OnTimer(now);
  REQUIRE(LastRelayed() != nullptr);
  Receive(kOther, ReplyTo(number));
  CHECK(NextStatus() == 200);
  CHECK_FALSE(gate.NextTimer().has_value());
}

TEST_CASE_METHOD(
  Fixture,
  "a call in doubt is not refused, whatever the next leader says")
{
  Connect(kLeader);
  Connect(kOther);
  Notice(2, kLeader);
  Request();
  Notice(3, kOther);
  for (const unsigned status : { 401U, 404U, 429U, 503U, 504U }) {
    wire::RelayedReply refusal = ReplyTo(LastRelayed()->number);
    refusal.response.status = status;
    Receive(kOther, std::move(refusal));
    CHECK(NextStatus() == 0);
    now = now + Duration(100);
    gate.OnTimer(now);
  }
  now = now + Duration(2000);
  gate.OnTimer(now);
  CHECK(NextStatus() == 504);
}

TEST_CASE_METHOD(
  Fixture,
  "a leader that can't tell the outcome of a call is asked again")
{
  Connect(kLeader);
  Notice(2, kLeader);
  Request();
  const std::uint64_t number = LastRelayed()->number;
  wire::RelayedReply unknown = ReplyTo(number);
  unknown.response.status = 504;
  Receive(kLeader, std::move(unknown));
  CHECK(NextStatus() == 0);
  peers.messages.clear();
  now = now + Duration(100);
  gate.OnTimer(now);
  REQUIRE(LastRelayed() != nullptr);
  CHECK(LastRelayed()->number == number);
  Receive(kLeader, ReplyTo(number));
  CHECK(NextStatus() == 200);
}

TEST_CASE_METHOD(Fixture, "a call that never left is refused")
{
  Connect(kLeader);
  Notice(2, kLeader);
  Request();
  wire::RelayedCall call = *LastRelayed();
  Do(peer::PeerEvent(
    peer::PeerUndeliverable{ .peer = kLeader, .message = std::move(call) }));
  CHECK(NextStatus() == 503);
  peers.isFull = true;
  Request();
  CHECK(NextStatus() == 503);
}

TEST_CASE_METHOD(Fixture, "news of an older term change nothing")
{
  Connect(kLeader);
  Connect(kOther);
  Notice(4, kLeader);
  Notice(3, kOther);
  Notice(4, std::nullopt);
  Request();
  CHECK(peers.messages.back().to == kLeader);
  Notice(5, std::nullopt);
  Request();
  CHECK(NextStatus() == 503);
}

// Guards against REFUSED: clients got the answers to the calls that this host
// had relayed before it was restarted.
TEST_CASE(
  "a reply to a call of an earlier incarnation of the host answers no other")
{
  std::uint64_t earlier = 0;
  {
    Fixture incarnation;
    incarnation.Connect(kLeader);
    incarnation.Notice(2, kLeader);
    incarnation.Request();
    REQUIRE(incarnation.LastRelayed() != nullptr);
    earlier = incarnation.LastRelayed()->number;
  }
  Fixture next;
  next.Connect(kLeader);
  next.Notice(2, kLeader);
  next.Request();
  REQUIRE(next.LastRelayed() != nullptr);
  wire::RelayedReply reply = ReplyTo(earlier);
  reply.response.status = 410;
  next.Receive(kLeader, std::move(reply));
  CHECK(next.NextStatus() == 0);
  CHECK(next.host.metrics.Serialize().find(
          "greengage_relayed_replies_ignored_total 1") != std::string::npos);
  next.Receive(kLeader, ReplyTo(next.LastRelayed()->number));
  CHECK(next.NextStatus() == 200);
}

TEST_CASE_METHOD(Fixture, "readiness follows the way to the leader")
{
  const auto readiness = [&] {
    Request(http::PortRole::Readiness);
    return NextStatus();
  };
  CHECK(readiness() == 503);
  Notice(2, kLeader);
  CHECK(readiness() == 503);
  Connect(kLeader);
  CHECK(readiness() == 200);
  Disconnect(kLeader);
  CHECK(readiness() == 503);
  Connect(kLeader);
  Do(BeginStop{});
  CHECK(readiness() == 503);
  // A host that stops serves on.
  Request();
  CHECK(LastRelayed() != nullptr);
}

TEST_CASE_METHOD(Fixture, "a leader that is no peer yet becomes one")
{
  Notice(2, kLeader);
  REQUIRE(peers.messages.size() == 1);
  CHECK(peers.messages.front().to == kLeader);
}

TEST_CASE_METHOD(ControlFixture,
                 "the leader serves calls of its own and others")
{
  Lead();
  Request();
  REQUIRE(served.messages.size() == 1);
  Receive(kOther, wire::RelayedCall{ .number = 7, .request = {} });
  REQUIRE(served.messages.size() == 2);
  http::HttpResponse response;
  response.status = 200;
  Do(CallAnswered{ .caller = served.messages[0].caller, .response = response });
  CHECK(NextStatus() == 200);
  Do(CallAnswered{ .caller = served.messages[1].caller, .response = response });
  const auto& sent = peers.messages.back();
  CHECK(sent.to == kOther);
  REQUIRE(std::holds_alternative<wire::RelayedReply>(sent.message));
  CHECK(std::get<wire::RelayedReply>(sent.message).number == 7);
}

// Guards against REFUSED on a fleet that is being upgraded: an entry host of
// the former build uses the same numbers again after a restart.
TEST_CASE_METHOD(
  ControlFixture,
  "the answer to a call does not go to a later connection of the peer")
{
  Lead();
  Connect(kOther);
  Receive(kOther, wire::RelayedCall{ .number = 1, .request = {} });
  Disconnect(kOther);
  Connect(kOther);
  Receive(kOther, wire::RelayedCall{ .number = 1, .request = {} });
  REQUIRE(served.messages.size() == 2);
  peers.messages.clear();
  http::HttpResponse response;
  response.status = 410;
  Do(CallAnswered{ .caller = served.messages[0].caller, .response = response });
  CHECK(peers.messages.empty());
  response.status = 200;
  Do(CallAnswered{ .caller = served.messages[1].caller, .response = response });
  REQUIRE(peers.messages.size() == 1);
  const auto& reply =
    std::get<wire::RelayedReply>(peers.messages.front().message);
  CHECK(reply.response.status == 200);
}

TEST_CASE_METHOD(ControlFixture, "a call is relayed only once")
{
  Connect(kLeader);
  Do(Leadership{ .term = consensus::Term(3), .leader = kLeader });
  Receive(kOther, wire::RelayedCall{ .number = 7, .request = {} });
  const auto& sent = peers.messages.back();
  CHECK(sent.to == kOther);
  REQUIRE(std::holds_alternative<wire::RelayedReply>(sent.message));
  CHECK(std::get<wire::RelayedReply>(sent.message).response.status == 503);
}

TEST_CASE_METHOD(ControlFixture, "a full leader refuses, and tells who leads")
{
  Connect(kOther);
  Lead();
  REQUIRE(!peers.messages.empty());
  CHECK(std::get<wire::LeaderNotice>(peers.messages.back().message).leader ==
        kSelf);
  served.isFull = true;
  Request();
  CHECK(NextStatus() == 503);
}

TEST_CASE_METHOD(ControlFixture,
                 "a notice of the leader that found no room is repeated")
{
  Connect(kOther);
  peers.isFull = true;
  Lead();
  peers.isFull = false;
  REQUIRE(peers.messages.empty());
  for (int repeated = 0; repeated < 2; ++repeated) {
    REQUIRE(gate.NextTimer());
    CHECK(*gate.NextTimer() <= now + Duration::Seconds(1));
    now = *gate.NextTimer();
    gate.OnTimer(now);
    REQUIRE(peers.messages.size() == 1);
    // Notices may be lost on their way too, so they go to all peers.
    CHECK_FALSE(peers.messages.front().to);
    const auto& notice =
      std::get<wire::LeaderNotice>(peers.messages.front().message);
    CHECK(notice.leader == kSelf);
    CHECK(notice.term == consensus::Term(3));
    peers.messages.clear();
  }
}

TEST_CASE_METHOD(ControlFixture,
                 "the zone of a peer that found no room is told again")
{
  Lead();
  log.isFull = true;
  Connect(kOther);
  log.isFull = false;
  REQUIRE(log.messages.empty());
  const Time end = now + Duration::Seconds(15);
  while (now < end && log.messages.empty()) {
    REQUIRE(gate.NextTimer());
    now = *gate.NextTimer();
    gate.OnTimer(now);
  }
  REQUIRE(log.messages.size() == 1);
  const auto& event = std::get<consensus::Event>(log.messages.front());
  CHECK(std::get<consensus::HostLocated>(event).host == kOther);
  // Nothing is told of a peer that is gone.
  Disconnect(kOther);
  log.messages.clear();
  for (int timer = 0; timer < 30; ++timer) {
    now = *gate.NextTimer();
    gate.OnTimer(now);
  }
  CHECK(log.messages.empty());
}

TEST_CASE_METHOD(Fixture,
                 "a leader becomes a peer though the first attempt found no "
                 "room")
{
  peers.isFull = true;
  Notice(2, kLeader);
  peers.isFull = false;
  Notice(2, kLeader);
  REQUIRE(peers.messages.size() == 1);
  CHECK(peers.messages.front().to == kLeader);
  Connect(kLeader);
  Notice(2, kLeader);
  CHECK(peers.messages.size() == 1);
}

TEST_CASE_METHOD(ControlFixture,
                 "a control host tells its replica who leads elsewhere")
{
  Notice(2, std::nullopt);
  CHECK(log.messages.empty());
  Notice(2, kLeader);
  REQUIRE(log.messages.size() == 1);
  const auto& event = std::get<consensus::Event>(log.messages.front());
  CHECK(std::get<consensus::LeaderAnnounced>(event).host == kLeader);
}

TEST_CASE_METHOD(ControlFixture, "a host speaks only for its own replica")
{
  const auto message = [](const EntryHostId& aFrom) {
    return wire::LogMessage{ .from = { aFrom, consensus::Incarnation(1) },
                             .to = { kSelf, consensus::Incarnation(1) },
                             .message = consensus::Join{} };
  };
  Receive(kOther, message(kLeader));
  CHECK(log.messages.empty());
  Receive(kOther, message(kOther));
  CHECK(log.messages.size() == 1);
}
