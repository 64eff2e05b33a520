// Calls that only a certain server may execute, at an address that passes from
// one server to the next.

#include "greengage/http/Client.h"
#include "greengage/pipe/Ring.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <cstdint>
#include <optional>
#include <string>

using namespace greengage;
using namespace greengage::http;

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

const PeerIdentity kFirst(1001);
const PeerIdentity kSecond(1002);

/// Takes a body that is a number for the identity.
class NumberReader final : public PeerReader
{
public:
  std::optional<PeerIdentity> ReadPeer(const std::string& aBody) const override
  {
    if (aBody.empty() ||
        aBody.find_first_not_of("0123456789") != std::string::npos)
      return std::nullopt;
    return PeerIdentity(std::stoll(aBody));
  }
};

struct ResultPipe final : pipe::Pipe<ClientResult>
{
  bool TryPush(ClientResult&& aResult) override
  {
    return ring.TryPush(std::move(aResult));
  }
  bool Push(ClientResult&& aResult) override
  {
    return ring.Push(std::move(aResult));
  }
  pipe::Ring<ClientResult> ring{ 16 };
};

/// A client, and the servers that have one address in turn.
struct Fixture
{
  Fixture() { duty.Start(); }
  ~Fixture() { duty.Stop(); }

  void Call(std::optional<PeerIdentity> aPeer,
            Duration aTimeout = Duration::Seconds(5))
  {
    ClientCall call;
    call.id = ClientCallId(++lastId);
    call.endpoint = { "127.0.0.1", acceptor.local_endpoint().port() };
    call.target = "/work";
    call.timeout = aTimeout;
    if (aPeer)
      call.inquiry = { .target = "/who", .body = {}, .expectedPeer = *aPeer };
    client.Calls().Push(std::move(call));
  }
  ClientResult TakeResult()
  {
    ClientResult result;
    REQUIRE(results.ring.PopFor(result, Duration::Seconds(5)) ==
            pipe::PopStatus::Taken);
    return result;
  }
  /// Reads a request. \returns its target.
  std::string Read(tcp::socket& aSocket)
  {
    std::string text;
    asio::read_until(aSocket, asio::dynamic_buffer(text), "\r\n\r\n");
    const std::size_t begin = text.find(' ') + 1;
    return text.substr(begin, text.find(' ', begin) - begin);
  }
  void Answer(tcp::socket& aSocket, const std::string& aBody, int aStatus = 200)
  {
    asio::write(aSocket,
                asio::buffer(
                  "HTTP/1.1 " + std::to_string(aStatus) +
                  " status\r\nContent-Length: " + std::to_string(aBody.size()) +
                  "\r\n\r\n" + aBody));
  }
  /// Accepts a connection as the server \p aPeer and answers an inquiry.
  tcp::socket AcceptAs(PeerIdentity aPeer)
  {
    tcp::socket socket = acceptor.accept();
    CHECK(Read(socket) == "/who");
    Answer(socket, std::to_string(aPeer.Value()));
    return socket;
  }
  /// Makes a call that \p aPeer answers.
  tcp::socket CallAnsweredBy(PeerIdentity aPeer)
  {
    Call(aPeer);
    tcp::socket socket = AcceptAs(aPeer);
    CHECK(Read(socket) == "/work");
    Answer(socket, "done");
    CHECK(TakeResult().body == "done");
    return socket;
  }

  asio::io_context context;
  tcp::acceptor acceptor{ context, { asio::ip::make_address("127.0.0.1"), 0 } };
  std::uint64_t lastId = 0;
  NumberReader reader;
  ResultPipe results;
  pipe::IoDuty duty{ "client" };
  Client client{ duty, { .peerReader = &reader }, results };
};

} // namespace

TEST_CASE_METHOD(Fixture, "a server is asked who it is once on each connection")
{
  tcp::socket socket = CallAnsweredBy(kFirst);
  Call(kFirst);
  CHECK(Read(socket) == "/work");
  Answer(socket, "done");
  CHECK(TakeResult().progress == CallProgress::Responded);
}

TEST_CASE_METHOD(Fixture,
                 "a call is not sent to the next server at the address")
{
  SECTION("that a new connection leads to") {}
  SECTION("after the kept connection was closed")
  {
    CallAnsweredBy(kFirst).close();
  }
  Call(kFirst);
  tcp::socket socket = AcceptAs(kSecond);
  const ClientResult result = TakeResult();
  CHECK(result.progress == CallProgress::NotSent);
  CHECK(result.otherPeer == kSecond);
  // The connection serves calls to the next server without another inquiry.
  Call(kSecond);
  CHECK(Read(socket) == "/work");
}

TEST_CASE_METHOD(
  Fixture,
  "a call is sent on the connection of its server while there are "
  "kept ones of another")
{
  tcp::socket first = CallAnsweredBy(kFirst);
  const tcp::socket second = CallAnsweredBy(kSecond);
  Call(kFirst);
  CHECK(Read(first) == "/work");
}

TEST_CASE_METHOD(Fixture, "any response may say who has accepted a connection")
{
  Call(std::nullopt);
  tcp::socket socket = acceptor.accept();
  CHECK(Read(socket) == "/work");
  Answer(socket, std::to_string(kFirst.Value()));
  CHECK(TakeResult().progress == CallProgress::Responded);
  Call(kFirst);
  CHECK(Read(socket) == "/work");
}

TEST_CASE_METHOD(Fixture, "the refusal of an inquiry is that of its call")
{
  Call(kFirst);
  tcp::socket socket = acceptor.accept();
  CHECK(Read(socket) == "/who");
  Answer(socket, "fenced", 409);
  const ClientResult result = TakeResult();
  CHECK(result.progress == CallProgress::Responded);
  CHECK(result.status == 409);
  CHECK(result.body == "fenced");
}

TEST_CASE_METHOD(Fixture, "a refusal by another server leaves the call unsent")
{
  Call(kFirst);
  tcp::socket socket = acceptor.accept();
  CHECK(Read(socket) == "/who");
  Answer(socket, std::to_string(kSecond.Value()), 503);
  const ClientResult result = TakeResult();
  CHECK(result.progress == CallProgress::NotSent);
  CHECK(result.otherPeer == kSecond);
}

TEST_CASE_METHOD(Fixture, "a second response to an inquiry is not the call's")
{
  Call(kFirst);
  tcp::socket socket = acceptor.accept();
  CHECK(Read(socket) == "/who");
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" +
                               std::to_string(kFirst.Value());
  asio::write(socket, asio::buffer(response + response));
  CHECK(TakeResult().progress == CallProgress::NotSent);
}

TEST_CASE_METHOD(Fixture, "a call whose inquiry fails is not sent")
{
  Call(kFirst, Duration(300));
  tcp::socket socket = acceptor.accept();
  CHECK(Read(socket) == "/who");
  SECTION("without an answer") {}
  SECTION("by an answer without an identity")
  {
    Answer(socket, "somebody");
  }
  SECTION("by the end of the connection")
  {
    socket.close();
  }
  const ClientResult result = TakeResult();
  CHECK(result.progress == CallProgress::NotSent);
  CHECK_FALSE(result.otherPeer);
}
