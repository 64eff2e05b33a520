#include "greengage/peer/Links.h"
#include "greengage/state/Key.h"
#include "greengage/support/DescriptorShortage.h"
#include "greengage/support/FreePort.h"
#include "greengage/wire/Frame.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <ctime>
#include <thread>

using namespace greengage;
using namespace greengage::peer;

namespace asio = boost::asio;

namespace {

/// Collects events for a test to wait for.
class EventRing final : public pipe::Pipe<PeerEvent>
{
public:
  bool TryPush(PeerEvent&& aEvent) override
  {
    return ring_.TryPush(std::move(aEvent));
  }
  bool Push(PeerEvent&& aEvent) override
  {
    return ring_.Push(std::move(aEvent));
  }
  /// The next event of type Kind within five seconds; others are dropped.
  template<typename Kind>
  std::optional<Kind> Await()
  {
    PeerEvent event;
    while (ring_.PopFor(event, Duration::Seconds(5)) == pipe::PopStatus::Taken)
      if (auto* kind = std::get_if<Kind>(&event))
        return std::move(*kind);
    return std::nullopt;
  }

private:
  pipe::Ring<PeerEvent> ring_{ 256 };
};

/// One entry host's links on the loopback.
struct Host
{
  Host(const std::string& aSelf,
       std::uint16_t aPort,
       const std::string& aPeer,
       std::uint16_t aPeerPort,
       const std::string& aSecret = "secret")
    : Host({ .self = EntryHostId(aSelf),
             .availabilityZone = AvailabilityZoneId("z-" + aSelf),
             .endpoint = { .address = "127.0.0.1", .port = aPort },
             .secret = aSecret,
             .peers = { { EntryHostId(aPeer), { "127.0.0.1", aPeerPort } } } })
  {
  }
  /// \p aOptions without the intervals, which are short here.
  explicit Host(LinkOptions aOptions)
    : links(duty, WithShortIntervals(std::move(aOptions)), clock, events)
  {
    Error reason;
    REQUIRE(links.Start(reason));
    duty.Start();
  }
  ~Host() { duty.Stop(); }

  static LinkOptions WithShortIntervals(LinkOptions aOptions)
  {
    aOptions.heartbeat = Duration(50);
    aOptions.silence = Duration(400);
    aOptions.redial = Duration(50);
    return aOptions;
  }

  BootClock clock;
  EventRing events;
  pipe::IoDuty duty{ "links" };
  Links links;
};

} // namespace

TEST_CASE("two hosts meet, exchange messages, and notice a loss")
{
  const std::uint16_t port1 = support::FreePort();
  const std::uint16_t port2 = support::FreePort();
  Host first("e1", port1, "e2", port2);
  {
    Host second("e2", port2, "e1", port1);
    const auto up = first.events.Await<PeerConnected>();
    REQUIRE(up);
    REQUIRE(up->availabilityZone == AvailabilityZoneId("z-e2"));
    REQUIRE(second.events.Await<PeerConnected>());
    first.links.Outbox().Push(
      { .to = EntryHostId("e2"),
        .message = wire::LoadReport{ .leaving = true, .pools = {} } });
    const auto received = second.events.Await<PeerReceived>();
    REQUIRE(received);
    REQUIRE(received->peer == EntryHostId("e1"));
    REQUIRE(std::get<wire::LoadReport>(received->message).leaving);
  }
  REQUIRE(first.events.Await<PeerDisconnected>());
  first.links.Outbox().Push(
    { .to = EntryHostId("e2"), .message = wire::LoadReport{} });
  REQUIRE(first.events.Await<PeerUndeliverable>());
  Host again("e2", port2, "e1", port1);
  REQUIRE(first.events.Await<PeerConnected>());
}

TEST_CASE("a host with another secret is not let in")
{
  const std::uint16_t port1 = support::FreePort();
  const std::uint16_t port2 = support::FreePort();
  Host first("e1", port1, "e2", port2);
  Host second("e2", port2, "e1", port1, "other");
  pipe::Ring<int> unused(2);
  int nothing = 0;
  REQUIRE(unused.PopFor(nothing, Duration(500)) == pipe::PopStatus::TimedOut);
  first.links.Outbox().Push(
    { .to = EntryHostId("e2"), .message = wire::LoadReport{} });
  REQUIRE(first.events.Await<PeerUndeliverable>());
}

TEST_CASE("a stranger is cut off, whatever it sends")
{
  const std::string row = GENERATE(std::string("\xFF\xFF\xFF\xFF", 4),
                                   std::string("\0\0\0\0", 4),
                                   wire::MakeFrame("not a message"),
                                   std::string("\x10\0\0\0part", 8),
                                   std::string());
  const std::uint16_t port = support::FreePort();
  Host host("e1", port, "e2", support::FreePort());
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect({ asio::ip::make_address("127.0.0.1"), port });
  boost::system::error_code error;
  asio::write(socket, asio::buffer(row), error);
  // Reads the challenge and then the end of the connection.
  std::string all;
  asio::read(socket, asio::dynamic_buffer(all), error);
  REQUIRE(error);
  REQUIRE(all.size() < 200);
}

namespace {

/// The other end of a link, written by hand.
class RawPeer
{
public:
  RawPeer(std::uint16_t aPort, const std::string& aSecret)
  {
    socket_.connect({ asio::ip::make_address("127.0.0.1"), aPort });
    Error reason;
    const auto challenge = wire::Decode(ReadFrame(), Time(0), reason);
    REQUIRE(challenge);
    const std::string nonce = std::get<wire::Challenge>(*challenge).nonce;
    Send(wire::Hello{ .from = EntryHostId("e2"),
                      .availabilityZone = AvailabilityZoneId("z"),
                      .mac = state::MacOf(aSecret, nonce + "|e2|e1") },
         Time(0));
  }

  /// Sends a message that claims to have been encoded at \p aSentAt.
  void Send(const wire::PeerMessage& aMessage, Time aSentAt)
  {
    asio::write(socket_,
                asio::buffer(wire::MakeFrame(Encode(aMessage, aSentAt))));
  }

private:
  std::string ReadFrame()
  {
    std::string header(wire::kFrameHeaderBytes, 0);
    asio::read(socket_, asio::buffer(header));
    Error reason;
    std::string body(*wire::ParseFrameHeader(header, reason), 0);
    asio::read(socket_, asio::buffer(body));
    return body;
  }

  asio::io_context context_;
  asio::ip::tcp::socket socket_{ context_ };
};

} // namespace

TEST_CASE("a delayed message has so much less time left")
{
  const std::uint16_t port = support::FreePort();
  Host host("e1", port, "e2", support::FreePort());
  RawPeer peer(port, "secret");
  const Time sentAt = host.clock.Now();
  peer.Send(wire::Heartbeat{}, sentAt);
  wire::ForwardRequest forward;
  // The next message claims to be a minute old: it has expired on its way.
  forward.request.deadline =
    sentAt - Duration::Seconds(60) + Duration::Seconds(10);
  peer.Send(forward, sentAt - Duration::Seconds(60));
  const auto received = host.events.Await<PeerReceived>();
  REQUIRE(received);
  const auto& request =
    std::get<wire::ForwardRequest>(received->message).request;
  REQUIRE(request.deadline < host.clock.Now());
}

namespace {

/// Accepts connections and says nothing on them, as a stopped process does.
class SilentPeer
{
public:
  explicit SilentPeer(std::uint16_t aPort)
    : acceptor_(context_, { asio::ip::make_address("127.0.0.1"), aPort })
  {
  }
  asio::ip::tcp::socket Accept() { return acceptor_.accept(); }

private:
  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
};

/// Whether the other side closes \p aSocket within five seconds.
bool
IsClosedByPeer(asio::ip::tcp::socket& aSocket)
{
  aSocket.non_blocking(true);
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (std::chrono::steady_clock::now() < until) {
    std::array<char, 4096> bytes{};
    boost::system::error_code error;
    aSocket.receive(asio::buffer(bytes), 0, error);
    if (error && error != asio::error::would_block)
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

} // namespace

TEST_CASE(
  "a connection to a peer that doesn't answer is closed before the next "
  "attempt")
{
  const std::uint16_t port = support::FreePort();
  SilentPeer peer(port);
  Host host("e1", support::FreePort(), "e2", port);
  asio::ip::tcp::socket first = peer.Accept();
  asio::ip::tcp::socket second = peer.Accept();
  CHECK(IsClosedByPeer(first));
  CHECK(IsClosedByPeer(second));
}

TEST_CASE("a connection without one back is made anew")
{
  const std::uint16_t port = support::FreePort();
  SilentPeer peer(port);
  Host host("e1", support::FreePort(), "e2", port);
  // The peer lost its power, or the way back, right after its challenge.
  asio::ip::tcp::socket first = peer.Accept();
  const wire::Challenge challenge{ .nonce = "nonce" };
  asio::write(first, asio::buffer(wire::MakeFrame(Encode(challenge, Time(0)))));
  REQUIRE(IsClosedByPeer(first));
  peer.Accept();
}

namespace {

/// A host that is named by its address and listens where all others do.
struct AddressedHost : Host
{
  AddressedHost(const std::string& aAddress,
                std::uint16_t aPort,
                const std::string& aSecret = "secret")
    : Host({ .self = EntryHostId(aAddress),
             .availabilityZone = AvailabilityZoneId("z"),
             .endpoint = { .address = aAddress, .port = aPort },
             .secret = aSecret,
             .peers = {},
             .commonPort = aPort })
  {
  }
};

} // namespace

TEST_CASE("hosts named by their addresses meet without a list")
{
  const std::uint16_t port = support::FreePort();
  AddressedHost first("127.0.0.1", port);
  AddressedHost second("127.0.0.2", port);
  // The first message finds no connection and makes the other a peer.
  first.links.Outbox().Push(
    { .to = EntryHostId("127.0.0.2"), .message = wire::LoadReport{} });
  REQUIRE(first.events.Await<PeerUndeliverable>());
  const auto up = first.events.Await<PeerConnected>();
  REQUIRE(up);
  CHECK(up->peer == EntryHostId("127.0.0.2"));
  const auto back = second.events.Await<PeerConnected>();
  REQUIRE(back);
  CHECK(back->peer == EntryHostId("127.0.0.1"));
}

TEST_CASE("a host without the secret does not become a peer")
{
  const std::uint16_t port = support::FreePort();
  AddressedHost first("127.0.0.1", port);
  AddressedHost second("127.0.0.2", port, "another secret");
  second.links.Outbox().Push(
    { .to = EntryHostId("127.0.0.1"), .message = wire::LoadReport{} });
  REQUIRE(second.events.Await<PeerUndeliverable>());
  first.links.Outbox().Push(
    { .to = EntryHostId("name"), .message = wire::LoadReport{} });
  CHECK(first.events.Await<PeerUndeliverable>());
}

TEST_CASE("links without free descriptors wait until they have one")
{
  const std::uint16_t port1 = support::FreePort();
  const std::uint16_t port2 = support::FreePort();
  Host first("e1", port1, "e2", port2);
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.open(asio::ip::tcp::v4());
  {
    const support::DescriptorShortage shortage;
    socket.connect({ asio::ip::make_address("127.0.0.1"), port1 });
    const std::clock_t before = std::clock();
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    // A thread that spins uses the processor all the time.
    CHECK(std::clock() - before < CLOCKS_PER_SEC / 4);
  }
  const Host second("e2", port2, "e1", port1);
  CHECK(first.events.Await<PeerConnected>());
}
