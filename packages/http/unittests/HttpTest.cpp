#include "greengage/core/Clock.h"
#include "greengage/http/Client.h"
#include "greengage/http/Server.h"
#include "greengage/pipe/Ring.h"
#include "greengage/support/DescriptorShortage.h"
#include "greengage/support/FreePort.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <ctime>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace greengage;
using namespace greengage::http;

namespace asio = boost::asio;

namespace {

/// Keeps messages for a test to take.
template<typename Message>
class RingPipe final : public pipe::Pipe<Message>
{
public:
  explicit RingPipe(std::size_t aCapacity)
    : ring_(aCapacity)
  {
  }
  bool TryPush(Message&& aMessage) override
  {
    return ring_.TryPush(std::move(aMessage));
  }
  bool Push(Message&& aMessage) override
  {
    return ring_.Push(std::move(aMessage));
  }
  /// The next message within five seconds.
  Message Take()
  {
    Message message;
    const auto status = ring_.PopFor(message, Duration::Seconds(5));
    REQUIRE(status == pipe::PopStatus::Taken);
    return message;
  }

private:
  pipe::Ring<Message> ring_;
};

/// A server whose requests a test answers.
class ServerFixture
{
public:
  ServerFixture()
  {
    Error reason;
    REQUIRE(server.Listen(reason));
    duty.Start();
  }
  ~ServerFixture() { duty.Stop(); }

  asio::ip::tcp::socket Connect()
  {
    asio::ip::tcp::socket socket(context);
    socket.connect({ asio::ip::make_address("127.0.0.1"), port });
    return socket;
  }

  /// All that the server sends until it closes the connection.
  static std::string ReadAll(asio::ip::tcp::socket& aSocket)
  {
    std::string text;
    boost::system::error_code error;
    asio::read(aSocket, asio::dynamic_buffer(text), error);
    return text;
  }

  std::string Exchange(const std::string& aBytes)
  {
    auto socket = Connect();
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(aBytes), ignored);
    return ReadAll(socket);
  }

  void Answer(const HttpRequest& aRequest, std::string aBody)
  {
    HttpResponse response;
    response.exchange = aRequest.exchange;
    response.body = std::move(aBody);
    server.Responses().Push(std::move(response));
  }

  /// Drains the server while it has seen nothing of what was sent since the
  /// call of \p aSend began.
  template<typename Send>
  std::future<void> DrainBehind(Send aSend)
  {
    std::promise<void> sent;
    asio::post(duty.Context(),
               [done = sent.get_future().share()] { done.wait(); });
    aSend();
    auto drained = server.Drain();
    sent.set_value();
    return drained;
  }

  asio::io_context context;
  std::uint16_t port = support::FreePort();
  RingPipe<HttpRequest> requests{ 4 };
  pipe::IoDuty duty{ "server" };
  Server server{ duty,
                 { .endpoint = { "127.0.0.1", port },
                   .maxConnections = 8,
                   .maxHeaderBytes = 1024,
                   .maxBodyBytes = 2048,
                   .readTimeout = Duration(300) },
                 requests };
};

} // namespace

static const std::string kGet =
  "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

TEST_CASE_METHOD(ServerFixture, "bad requests get their documented status")
{
  struct Case
  {
    const char* name;
    std::string bytes;
    const char* status;
    const char* code;
  };
  const std::vector<Case> rows = {
    { "header too large",
      "GET /x HTTP/1.1\r\nX: " + std::string(4000, 'x') + "\r\n\r\n",
      "HTTP/1.1 431",
      "too-large" },
    { "body too large by its length",
      "POST /x HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
      "HTTP/1.1 413",
      "too-large" },
    { "body too large in chunks",
      "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n" +
        std::string(0x1000, 'x') + "\r\n0\r\n\r\n",
      "HTTP/1.1 413",
      "too-large" },
    { "not HTTP", "\x16\x03\x01 hello\r\n\r\n", "HTTP/1.1 400", "malformed" },
    { "other version", "GET /x HTTP/9.9\r\n\r\n", "HTTP/1.1 400", "malformed" },
    { "negative length",
      "POST /x HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
      "HTTP/1.1 400",
      "malformed" },
    { "two lengths",
      "POST /x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      "HTTP/1.1 400",
      "malformed" },
    { "bad chunk",
      "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "HTTP/1.1 400",
      "malformed" },
    { "slow header", "GET /x HTT", "HTTP/1.1 408", "timeout" },
    { "slow body",
      "POST /x HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc",
      "HTTP/1.1 408",
      "timeout" },
  };
  for (const Case& row : rows) {
    CAPTURE(row.name);
    const std::string response = Exchange(row.bytes);
    CAPTURE(response);
    CHECK(response.find(row.status) == 0);
    CHECK(response.find(row.code) != std::string::npos);
    CHECK(response.find("\"remedy\"") != std::string::npos);
  }
}

TEST_CASE_METHOD(ServerFixture, "a refused body can be sent to its end")
{
  // Most clients read the response only after they have sent everything.
  const std::string bytes = "POST /x HTTP/1.1\r\nContent-Length: 4000000\r\n"
                            "\r\n" +
                            std::string(4000000, 'x');
  auto socket = Connect();
  boost::system::error_code error;
  asio::write(socket, asio::buffer(bytes), error);
  CAPTURE(error.message());
  REQUIRE_FALSE(error);
  socket.shutdown(asio::ip::tcp::socket::shutdown_send);
  REQUIRE(ReadAll(socket).find("HTTP/1.1 413") == 0);
}

TEST_CASE_METHOD(ServerFixture, "a slow sender does not hold others up")
{
  auto slow = Connect();
  asio::write(slow, asio::buffer(std::string("GET /x HT")));
  auto socket = Connect();
  asio::write(socket, asio::buffer(kGet));
  Answer(requests.Take(), "quick");
  REQUIRE(ReadAll(socket).find("quick") != std::string::npos);
  REQUIRE(ReadAll(slow).find("408") != std::string::npos);
}

TEST_CASE_METHOD(ServerFixture, "answers find their callers out of order")
{
  auto first = Connect();
  asio::write(first, asio::buffer(kGet));
  const HttpRequest firstRequest = requests.Take();
  auto second = Connect();
  asio::write(second, asio::buffer(kGet));
  const HttpRequest secondRequest = requests.Take();
  Answer(secondRequest, "for the second");
  Answer(firstRequest, "for the first");
  REQUIRE(ReadAll(second).find("for the second") != std::string::npos);
  REQUIRE(ReadAll(first).find("for the first") != std::string::npos);
}

TEST_CASE_METHOD(ServerFixture, "an answer to a caller that left hurts nobody")
{
  {
    auto gone = Connect();
    asio::write(gone, asio::buffer(kGet));
  }
  const HttpRequest request = requests.Take();
  Answer(request, "too late");
  Answer(request, "and twice");
  auto socket = Connect();
  asio::write(socket, asio::buffer(kGet));
  Answer(requests.Take(), "still here");
  REQUIRE(ReadAll(socket).find("still here") != std::string::npos);
}

TEST_CASE_METHOD(ServerFixture, "a full ring is answered not run, with a time")
{
  std::vector<asio::ip::tcp::socket> waiting;
  for (int index = 0; index < 3; ++index) {
    waiting.push_back(Connect());
    asio::write(waiting.back(), asio::buffer(kGet));
  }
  // The ring has room for three; the next one must be refused.
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  const std::string response = Exchange(kGet);
  CAPTURE(response);
  REQUIRE(response.find("HTTP/1.1 503") == 0);
  REQUIRE(response.find("\"not-run\"") != std::string::npos);
  REQUIRE(response.find("Retry-After: 1") != std::string::npos);
  for (auto& socket : waiting) {
    Answer(requests.Take(), "served");
    REQUIRE(ReadAll(socket).find("served") != std::string::npos);
  }
}

TEST_CASE_METHOD(ServerFixture, "connections beyond the limit are refused")
{
  std::vector<asio::ip::tcp::socket> idle;
  idle.reserve(8);
  for (int index = 0; index < 8; ++index)
    idle.push_back(Connect());
  auto refused = Connect();
  REQUIRE(ReadAll(refused).find("HTTP/1.1 503") == 0);
  idle.clear();
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  auto socket = Connect();
  asio::write(socket, asio::buffer(kGet));
  Answer(requests.Take(), "room again");
  REQUIRE(ReadAll(socket).find("room again") != std::string::npos);
}

TEST_CASE_METHOD(ServerFixture,
                 "a server without free descriptors waits until it has one")
{
  asio::ip::tcp::socket socket(context);
  socket.open(asio::ip::tcp::v4());
  {
    const support::DescriptorShortage shortage;
    socket.connect({ asio::ip::make_address("127.0.0.1"), port });
    const std::clock_t before = std::clock();
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    // A thread that spins uses the processor all the time.
    CHECK(std::clock() - before < CLOCKS_PER_SEC / 4);
  }
  asio::write(socket, asio::buffer(kGet));
  CHECK(requests.Take().target == "/x");
}

TEST_CASE("draining waits for the response, however the threads run")
{
  for (int round = 0; round < 300; ++round) {
    RingPipe<HttpRequest> requests(4);
    pipe::IoDuty duty("server");
    Server server(
      duty, { .endpoint = { "127.0.0.1", support::FreePort() } }, requests);
    duty.Start();
    const auto status = server.Drain().wait_for(std::chrono::seconds(5));
    duty.Stop();
    REQUIRE(status == std::future_status::ready);
  }
}

TEST_CASE_METHOD(ServerFixture, "a retiring server ends connections politely")
{
  const std::string keepAlive = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  auto socket = Connect();
  asio::write(socket, asio::buffer(keepAlive));
  const HttpRequest request = requests.Take();
  server.Retire();
  // Posted after Retire, so the loop sees them in this order.
  Answer(request, "last");
  const std::string response = ReadAll(socket);
  REQUIRE(response.find("Connection: close") != std::string::npos);
  REQUIRE(response.find("last") != std::string::npos);
}

TEST_CASE_METHOD(ServerFixture, "draining writes what is under way")
{
  auto socket = Connect();
  asio::write(socket, asio::buffer(kGet));
  const HttpRequest request = requests.Take();
  auto drained = server.Drain();
  REQUIRE(drained.wait_for(std::chrono::milliseconds(50)) ==
          std::future_status::timeout);
  Answer(request, std::string(100000, 'y'));
  REQUIRE(ReadAll(socket).size() > 100000);
  REQUIRE(drained.wait_for(std::chrono::seconds(5)) ==
          std::future_status::ready);
}

static void
RequireRefusedByShutdown(const std::string& aResponse)
{
  CAPTURE(aResponse);
  REQUIRE(aResponse.find("HTTP/1.1 503") == 0);
  REQUIRE(aResponse.find("Connection: close") != std::string::npos);
  REQUIRE(aResponse.find("\"not-run\"") != std::string::npos);
  REQUIRE(aResponse.find("\"shutting-down\"") != std::string::npos);
}

TEST_CASE_METHOD(ServerFixture,
                 "draining answers a request on a connection not yet accepted")
{
  asio::ip::tcp::socket socket(context);
  DrainBehind([&] {
    socket = Connect();
    asio::write(socket, asio::buffer(kGet));
  });
  RequireRefusedByShutdown(ReadAll(socket));
}

TEST_CASE_METHOD(ServerFixture,
                 "draining answers a request that comes after its connection")
{
  asio::ip::tcp::socket socket(context);
  auto drained = DrainBehind([&] { socket = Connect(); });
  REQUIRE(drained.wait_for(std::chrono::milliseconds(50)) ==
          std::future_status::timeout);
  asio::write(socket, asio::buffer(kGet));
  RequireRefusedByShutdown(ReadAll(socket));
  REQUIRE(drained.wait_for(std::chrono::seconds(5)) ==
          std::future_status::ready);
}

TEST_CASE_METHOD(ServerFixture, "draining waits for the rest of a request")
{
  const std::size_t half = kGet.size() / 2;
  auto socket = Connect();
  auto drained = DrainBehind(
    [&] { asio::write(socket, asio::buffer(kGet.substr(0, half))); });
  REQUIRE(drained.wait_for(std::chrono::milliseconds(50)) ==
          std::future_status::timeout);
  asio::write(socket, asio::buffer(kGet.substr(half)));
  RequireRefusedByShutdown(ReadAll(socket));
}

TEST_CASE_METHOD(ServerFixture,
                 "draining answers a request that a kept connection brought")
{
  const std::string keepAlive = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  auto socket = Connect();
  asio::write(socket, asio::buffer(keepAlive));
  Answer(requests.Take(), "first");
  std::string first;
  asio::read_until(socket, asio::dynamic_buffer(first), "first");
  DrainBehind([&] { asio::write(socket, asio::buffer(keepAlive)); });
  RequireRefusedByShutdown(ReadAll(socket));
}

TEST_CASE_METHOD(ServerFixture, "draining ends without silent connections")
{
  auto socket = Connect();
  REQUIRE(server.Drain().wait_for(std::chrono::seconds(5)) ==
          std::future_status::ready);
  REQUIRE(ReadAll(socket).empty());
}

namespace {

/// A client with its results.
struct ClientFixture : ServerFixture
{
  ClientFixture() { clientDuty.Start(); }
  ~ClientFixture() { clientDuty.Stop(); }

  void Call(std::uint16_t aPort, Duration aTimeout = Duration::Seconds(5))
  {
    ClientCall call;
    call.id = ClientCallId(++lastId);
    call.endpoint = { "127.0.0.1", aPort };
    call.body = "work";
    call.timeout = aTimeout;
    client.Calls().Push(std::move(call));
  }

  std::uint64_t lastId = 0;
  RingPipe<ClientResult> results{ 16 };
  pipe::IoDuty clientDuty{ "client" };
  Client client{ clientDuty, {}, results };
};

} // namespace

TEST_CASE_METHOD(ClientFixture, "a call to a closed port was not sent")
{
  Call(support::FreePort());
  REQUIRE(results.Take().progress == CallProgress::NotSent);
}

TEST_CASE_METHOD(ClientFixture, "a call without an answer may have run")
{
  Call(port, Duration(200));
  REQUIRE(requests.Take().body == "work");
  REQUIRE(results.Take().progress == CallProgress::SentNoResponse);
}

TEST_CASE_METHOD(ClientFixture,
                 "a call is not sent once its permission has run out")
{
  const bool hasConnection = GENERATE(false, true);
  if (hasConnection) {
    Call(port);
    Answer(requests.Take(), "one");
    REQUIRE(results.Take().body == "one");
  }
  ClientCall call;
  call.id = ClientCallId(7);
  call.endpoint = { "127.0.0.1", port };
  call.body = "late";
  call.sendBefore = BootClock().Now();
  client.Calls().Push(std::move(call));
  const ClientResult result = results.Take();
  CHECK(result.progress == CallProgress::NotSent);
  CHECK(result.id == ClientCallId(7));
  Call(port);
  CHECK(requests.Take().body == "work");
}

TEST_CASE_METHOD(ClientFixture, "a kept connection that was closed is not used")
{
  Call(port);
  Answer(requests.Take(), "one");
  REQUIRE(results.Take().body == "one");
  // The server closes the kept connection when it drains.
  server.Drain().wait();
  duty.Stop();
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  Call(port);
  const ClientResult result = results.Take();
  REQUIRE(result.progress != CallProgress::Responded);
}

TEST_CASE_METHOD(ClientFixture, "a call that is given up resets its connection")
{
  // Bytes that a partition holds up are lost with a reset, so that the call
  // can't arrive after it was given up.
  asio::ip::tcp::acceptor acceptor(context,
                                   { asio::ip::make_address("127.0.0.1"), 0 });
  Call(acceptor.local_endpoint().port(), Duration(200));
  asio::ip::tcp::socket socket = acceptor.accept();
  REQUIRE(results.Take().progress == CallProgress::SentNoResponse);
  std::string text;
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(text), error);
  CHECK(error == asio::error::connection_reset);
}

TEST_CASE_METHOD(ServerFixture, "calls to one endpoint take turns")
{
  RingPipe<ClientResult> results{ 16 };
  pipe::IoDuty clientDuty{ "client" };
  Client client{ clientDuty, { .maxPerEndpoint = 2 }, results };
  clientDuty.Start();
  for (const std::uint64_t id : { 1U, 2U, 3U }) {
    ClientCall call;
    call.id = ClientCallId(id);
    call.endpoint = { "127.0.0.1", port };
    call.body = std::to_string(id);
    client.Calls().Push(std::move(call));
  }
  const HttpRequest first = requests.Take();
  const HttpRequest second = requests.Take();
  CHECK(first.body != "3");
  CHECK(second.body != "3");
  Answer(first, "done");
  CHECK(requests.Take().body == "3");
  clientDuty.Stop();
}

namespace {

/// Calls of a client to several endpoints, each of which answers one call.
struct IdleFixture
{
  explicit IdleFixture(ClientOptions aOptions)
    : client(duty, aOptions, results)
  {
    duty.Start();
  }
  ~IdleFixture() { duty.Stop(); }

  /// Makes a call to a new endpoint, which keeps its connection open.
  /// \returns the endpoint's side of the connection.
  std::unique_ptr<asio::ip::tcp::socket> CallNewEndpoint()
  {
    asio::ip::tcp::acceptor acceptor(
      context, { asio::ip::make_address("127.0.0.1"), 0 });
    ClientCall call;
    call.id = ClientCallId(++lastId);
    call.endpoint = { "127.0.0.1", acceptor.local_endpoint().port() };
    client.Calls().Push(std::move(call));
    auto socket = std::make_unique<asio::ip::tcp::socket>(acceptor.accept());
    std::string request;
    asio::read_until(*socket, asio::dynamic_buffer(request), "\r\n\r\n");
    asio::write(*socket,
                asio::buffer(
                  std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
    REQUIRE(results.Take().progress == CallProgress::Responded);
    return socket;
  }

  /// Whether the client closes the connection within \p aSpan.
  bool IsClosedWithin(asio::ip::tcp::socket& aSocket,
                      std::chrono::milliseconds aSpan)
  {
    bool isClosed = false;
    char byte = 0;
    aSocket.async_receive(
      asio::buffer(&byte, 1),
      [&](const boost::system::error_code& aError, std::size_t) {
        isClosed = aError && aError != asio::error::operation_aborted;
      });
    context.restart();
    context.run_for(aSpan);
    aSocket.cancel();
    context.restart();
    context.run();
    return isClosed;
  }

  asio::io_context context;
  std::uint64_t lastId = 0;
  RingPipe<ClientResult> results{ 16 };
  pipe::IoDuty duty{ "client" };
  Client client;
};

} // namespace

TEST_CASE("connections to endpoints that are called no more are closed")
{
  IdleFixture fixture({ .idleTimeout = Duration(200) });
  const auto first = fixture.CallNewEndpoint();
  const auto second = fixture.CallNewEndpoint();
  CHECK(fixture.IsClosedWithin(*first, std::chrono::seconds(5)));
  CHECK(fixture.IsClosedWithin(*second, std::chrono::seconds(5)));
}

TEST_CASE("the longest idle connection is closed beyond the limit")
{
  IdleFixture fixture({ .maxIdle = 2 });
  const auto first = fixture.CallNewEndpoint();
  const auto second = fixture.CallNewEndpoint();
  const auto third = fixture.CallNewEndpoint();
  CHECK(fixture.IsClosedWithin(*first, std::chrono::seconds(5)));
  CHECK_FALSE(fixture.IsClosedWithin(*second, std::chrono::milliseconds(100)));
  CHECK_FALSE(fixture.IsClosedWithin(*third, std::chrono::milliseconds(100)));
}
