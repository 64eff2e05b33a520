#include "greengage/http/Client.h"

#include "greengage/core/Clock.h"
#include "greengage/pipe/Sockets.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cassert>
#include <chrono>
#include <deque>
#include <iterator>
#include <list>
#include <map>
#include <optional>
#include <utility>

using namespace greengage;
using namespace greengage::http;

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using pipe::ToChrono;
using tcp = asio::ip::tcp;

namespace greengage::http::detail {

/// A kept connection.
struct Connection
{
  explicit Connection(asio::io_context& aContext)
    : stream(aContext)
  {
  }
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  /// The server that has accepted the connection, once a response has said so.
  std::optional<PeerIdentity> peer;
};

class Exchange;

class ClientImpl : public std::enable_shared_from_this<ClientImpl>
{
public:
  ClientImpl(pipe::IoDuty& aDuty,
             const ClientOptions& aOptions,
             pipe::Pipe<ClientResult>& aResults)
    : options_(aOptions)
    , results_(aResults)
    , context_(aDuty.Context())
    , idleTimer_(context_)
    , calls_(aDuty, aOptions.capacity, [this](ClientCall&& aCall) {
      Begin(std::move(aCall));
    })
  {
  }

  pipe::Pipe<ClientCall>& Calls() { return calls_; }
  const ClientOptions& Options() const { return options_; }
  void Begin(ClientCall&& aCall);
  /// Ends a call to \p aEndpoint and lets the next one begin.
  void Finish(const Endpoint& aEndpoint, ClientResult&& aResult);
  /// Takes the latest idle connection. If \p aPeer is given, takes one that it
  /// has accepted or else one of which that is not known.
  std::unique_ptr<Connection> TakeIdle(const Endpoint& aEndpoint,
                                       std::optional<PeerIdentity> aPeer);
  void KeepIdle(const Endpoint& aEndpoint,
                std::unique_ptr<Connection> aConnection);
  asio::io_context& Context() { return context_; }

private:
  struct IdleConnection
  {
    Endpoint endpoint;
    std::unique_ptr<Connection> connection;
    std::chrono::steady_clock::time_point since;
  };
  using IdleList = std::list<IdleConnection>;

  void CloseIdle(IdleList::iterator aIdle);
  void ArmIdleTimer();
  void CloseExpiredIdle();

  ClientOptions options_;
  pipe::Pipe<ClientResult>& results_;
  asio::io_context& context_;
  asio::steady_timer idleTimer_;
  /// Armed while there are idle connections.
  bool isIdleTimerArmed_ = false;
  pipe::IoPipe<ClientCall> calls_;
  /// The longest idle connection first, here and for each endpoint.
  IdleList idle_;
  std::map<Endpoint, std::deque<IdleList::iterator>> idleByEndpoint_;
  /// Calls in progress and those that wait for their turn, where the number of
  /// calls is limited.
  struct Turns
  {
    std::size_t inProgress = 0;
    std::deque<std::shared_ptr<Exchange>> waiting;
  };
  std::map<Endpoint, Turns> turns_;
};

/// Whether the other side has closed an idle connection. Writing to such a
/// connection would turn a call that never ran into one that may have run.
static bool
IsClosedByPeer(Connection& aConnection)
{
  tcp::socket& socket = aConnection.stream.socket();
  beast::error_code error;
  socket.non_blocking(true, error);
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

/// One call from connection to response.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(ClientCall&& aCall, std::shared_ptr<ClientImpl> aClient)
    : call_(std::move(aCall))
    , client_(std::move(aClient))
    , until_(std::chrono::steady_clock::now() + ToChrono(call_.timeout))
  {
  }

  void Start()
  {
    if (std::chrono::steady_clock::now() >= until_) {
      End(CallProgress::NotSent, "deadline passed before the call was sent");
      return;
    }
    std::optional<PeerIdentity> peer;
    if (call_.inquiry)
      peer = call_.inquiry->expectedPeer;
    connection_ = client_->TakeIdle(call_.endpoint, peer);
    if (connection_) {
      Send();
      return;
    }
    Connect();
  }

private:
  void Connect()
  {
    connection_ = std::make_unique<Connection>(client_->Context());
    beast::error_code error;
    const auto address = asio::ip::make_address(call_.endpoint.address, error);
    if (error) {
      End(CallProgress::NotSent, error.message());
      return;
    }
    const auto latest = std::chrono::steady_clock::now() +
                        ToChrono(client_->Options().connectTimeout);
    connection_->stream.expires_at(std::min(latest, until_));
    auto self = shared_from_this();
    connection_->stream.async_connect(
      tcp::endpoint(address, call_.endpoint.port),
      [self](beast::error_code aError) { self->OnConnected(aError); });
  }

  void OnConnected(beast::error_code aError)
  {
    if (aError) {
      End(CallProgress::NotSent, "connect: " + aError.message());
      return;
    }
    beast::error_code ignored;
    tcp::socket& socket = connection_->stream.socket();
    socket.set_option(tcp::no_delay(true), ignored);
    // Closing resets the connection: a call that was given up must not arrive
    // later, when a partition heals. A timeout closes without asking again.
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    Send();
  }

  /// The process may have been suspended since the call was made, and the timer
  /// of \c until_ does not count that time.
  bool IsTooLateToSend() const
  {
    return call_.sendBefore && BootClock().Now() >= *call_.sendBefore;
  }

  /// Sends the call, or first the inquiry.
  void Send()
  {
    isInquiring_ =
      call_.inquiry && connection_->peer != call_.inquiry->expectedPeer;
    if (isInquiring_)
      Write(call_.inquiry->target, std::move(call_.inquiry->body));
    else
      Write(call_.target, std::move(call_.body));
  }

  void Write(const std::string& aTarget, std::string aBody)
  {
    request_ = {};
    request_.version(11);
    request_.method_string(call_.method);
    request_.target(aTarget);
    request_.set(bhttp::field::host, ToString(call_.endpoint));
    request_.set(bhttp::field::content_type, "application/json");
    if (!call_.authorization.empty())
      request_.set(bhttp::field::authorization, call_.authorization);
    for (const auto& [name, value] : call_.headers)
      request_.set(name, value);
    request_.body() = std::move(aBody);
    request_.prepare_payload();
    if (IsTooLateToSend()) {
      End(CallProgress::NotSent, "permission to send the call has run out");
      return;
    }
    connection_->stream.expires_at(until_);
    auto self = shared_from_this();
    bhttp::async_write(connection_->stream,
                       request_,
                       [self](beast::error_code aError, std::size_t) {
                         self->OnWritten(aError);
                       });
  }

  void OnWritten(beast::error_code aError)
  {
    if (aError) {
      EndUnanswered("write: " + aError.message());
      return;
    }
    parser_.emplace();
    parser_->body_limit(client_->Options().maxBodyBytes);
    auto self = shared_from_this();
    bhttp::async_read(connection_->stream,
                      connection_->buffer,
                      *parser_,
                      [self](beast::error_code aResult, std::size_t) {
                        self->OnRead(aResult);
                      });
  }

  void OnRead(beast::error_code aError)
  {
    if (aError) {
      EndUnanswered("read: " + aError.message());
      return;
    }
    auto response = parser_->release();
    const PeerReader* reader = client_->Options().peerReader;
    if (reader != nullptr && !connection_->peer)
      connection_->peer = reader->ReadPeer(response.body());
    // Bytes beyond the response belong to no request.
    const bool isReusable =
      response.keep_alive() && connection_->buffer.size() == 0;
    const bool isFromOther = isInquiring_ && connection_->peer &&
                             connection_->peer != call_.inquiry->expectedPeer;
    if (isFromOther ||
        (isInquiring_ && response.result() == bhttp::status::ok)) {
      OnInquiryAnswered(isReusable);
      return;
    }
    if (isReusable)
      client_->KeepIdle(call_.endpoint, std::move(connection_));
    client_->Finish(call_.endpoint,
                    { .id = call_.id,
                      .progress = CallProgress::Responded,
                      .status = response.result_int(),
                      .body = std::move(response.body()),
                      .reason = {} });
  }

  void OnInquiryAnswered(bool aIsReusable)
  {
    const std::optional<PeerIdentity> peer = connection_->peer;
    if (aIsReusable && peer == call_.inquiry->expectedPeer) {
      Send();
      return;
    }
    if (aIsReusable && peer)
      client_->KeepIdle(call_.endpoint, std::move(connection_));
    if (peer == call_.inquiry->expectedPeer)
      End(CallProgress::NotSent,
          "server ends the connection after the inquiry");
    else if (peer)
      End(CallProgress::NotSent, "another server answers", peer);
    else
      End(CallProgress::NotSent, "server states no identity");
  }

  /// An inquiry without an answer leaves the call itself unsent.
  void EndUnanswered(std::string aReason)
  {
    End(isInquiring_ ? CallProgress::NotSent : CallProgress::SentNoResponse,
        std::move(aReason));
  }

  void End(CallProgress aProgress,
           std::string aReason,
           std::optional<PeerIdentity> aOtherPeer = std::nullopt)
  {
    connection_.reset();
    client_->Finish(call_.endpoint,
                    { .id = call_.id,
                      .progress = aProgress,
                      .status = 0,
                      .body = {},
                      .otherPeer = aOtherPeer,
                      .reason = std::move(aReason) });
  }

  ClientCall call_;
  std::shared_ptr<ClientImpl> client_;
  std::chrono::steady_clock::time_point until_;
  std::unique_ptr<Connection> connection_;
  /// The inquiry, not the call, is under way.
  bool isInquiring_ = false;
  bhttp::request<bhttp::string_body> request_;
  std::optional<bhttp::response_parser<bhttp::string_body>> parser_;
};

void
ClientImpl::Begin(ClientCall&& aCall)
{
  const Endpoint endpoint = aCall.endpoint;
  auto exchange =
    std::make_shared<Exchange>(std::move(aCall), shared_from_this());
  if (options_.maxPerEndpoint > 0) {
    Turns& turns = turns_[endpoint];
    if (turns.inProgress >= options_.maxPerEndpoint) {
      turns.waiting.push_back(std::move(exchange));
      return;
    }
    ++turns.inProgress;
  }
  exchange->Start();
}

void
ClientImpl::Finish(const Endpoint& aEndpoint, ClientResult&& aResult)
{
  results_.Push(std::move(aResult));
  const auto found = turns_.find(aEndpoint);
  if (found == turns_.end())
    return;
  Turns& turns = found->second;
  if (turns.waiting.empty()) {
    if (--turns.inProgress == 0)
      turns_.erase(found);
    return;
  }
  // Started from the loop, since a start that fails at once finishes at once.
  asio::post(context_,
             [next = std::move(turns.waiting.front())] { next->Start(); });
  turns.waiting.pop_front();
}

std::unique_ptr<Connection>
ClientImpl::TakeIdle(const Endpoint& aEndpoint,
                     std::optional<PeerIdentity> aPeer)
{
  const auto found = idleByEndpoint_.find(aEndpoint);
  if (found == idleByEndpoint_.end())
    return nullptr;
  auto& kept = found->second;
  const auto findLatest = [&](std::optional<PeerIdentity> aWanted) {
    return std::find_if(
      kept.rbegin(), kept.rend(), [&](const IdleList::iterator& aIdle) {
        return !aPeer || aIdle->connection->peer == aWanted;
      });
  };
  std::unique_ptr<Connection> taken;
  while (taken == nullptr) {
    auto latest = findLatest(aPeer);
    if (latest == kept.rend())
      latest = findLatest(std::nullopt);
    if (latest == kept.rend())
      break;
    const auto idle = *latest;
    kept.erase(std::next(latest).base());
    if (!IsClosedByPeer(*idle->connection))
      taken = std::move(idle->connection);
    idle_.erase(idle);
  }
  if (kept.empty())
    idleByEndpoint_.erase(found);
  return taken;
}

void
ClientImpl::KeepIdle(const Endpoint& aEndpoint,
                     std::unique_ptr<Connection> aConnection)
{
  aConnection->stream.expires_never();
  idle_.push_back({ .endpoint = aEndpoint,
                    .connection = std::move(aConnection),
                    .since = std::chrono::steady_clock::now() });
  auto& kept = idleByEndpoint_[aEndpoint];
  kept.push_back(std::prev(idle_.end()));
  if (kept.size() > options_.idlePerEndpoint)
    CloseIdle(kept.front());
  if (idle_.size() > options_.maxIdle)
    CloseIdle(idle_.begin());
  ArmIdleTimer();
}

/// Closes the longest idle connection of its endpoint.
void
ClientImpl::CloseIdle(IdleList::iterator aIdle)
{
  const auto found = idleByEndpoint_.find(aIdle->endpoint);
  assert(found->second.front() == aIdle && "connections expire in order");
  found->second.pop_front();
  if (found->second.empty())
    idleByEndpoint_.erase(found);
  idle_.erase(aIdle);
}

void
ClientImpl::ArmIdleTimer()
{
  if (isIdleTimerArmed_ || idle_.empty())
    return;
  isIdleTimerArmed_ = true;
  idleTimer_.expires_at(idle_.front().since + ToChrono(options_.idleTimeout));
  idleTimer_.async_wait([weak = weak_from_this()](beast::error_code aError) {
    const auto self = weak.lock();
    if (aError || self == nullptr)
      return;
    self->isIdleTimerArmed_ = false;
    self->CloseExpiredIdle();
    self->ArmIdleTimer();
  });
}

void
ClientImpl::CloseExpiredIdle()
{
  const auto latest =
    std::chrono::steady_clock::now() - ToChrono(options_.idleTimeout);
  while (!idle_.empty() && idle_.front().since <= latest)
    CloseIdle(idle_.begin());
}

} // namespace greengage::http::detail

Client::Client(pipe::IoDuty& aDuty,
               const ClientOptions& aOptions,
               pipe::Pipe<ClientResult>& aResults)
  : impl_(std::make_shared<detail::ClientImpl>(aDuty, aOptions, aResults))
{
}

Client::~Client() = default;

pipe::Pipe<ClientCall>&
Client::Calls()
{
  return impl_->Calls();
}
