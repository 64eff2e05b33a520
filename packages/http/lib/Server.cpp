#include "greengage/http/Server.h"

#include "greengage/core/Error.h"
#include "greengage/pipe/Sockets.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <future>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

using namespace greengage;
using namespace greengage::http;

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using pipe::ToChrono;
using tcp = asio::ip::tcp;

static constexpr std::int64_t kMillisPerSecond = 1000;
/// How long a client may take to read its response.
static constexpr std::chrono::seconds kWriteTimeout(30);
/// How long a draining server waits for requests that it has not read whole.
static constexpr std::chrono::milliseconds kDrainReadTimeout(500);

static std::string
ErrorBody(ErrorKind aKind, const std::string& aDetail)
{
  // The details here are fixed texts without characters that need escaping.
  std::string body = R"({"outcome":"not-run","error":")";
  body += CodeOf(aKind);
  body += R"(","detail":")" + aDetail + R"(","remedy":")";
  body += RemedyOf(aKind);
  return body + "\"}\n";
}

static HttpResponse
RefusalOf(unsigned aStatus, ErrorKind aKind, const std::string& aDetail)
{
  HttpResponse response;
  response.status = aStatus;
  response.body = ErrorBody(aKind, aDetail);
  if (aStatus == 503)
    response.retryAfter = Duration::Seconds(1);
  return response;
}

/// The response to a request that could not be read, if one can be sent.
static std::optional<HttpResponse>
RefusalOf(const beast::error_code& aError)
{
  if (aError == bhttp::error::header_limit)
    return RefusalOf(431, ErrorKind::TooLarge, "header exceeds its limit");
  if (aError == bhttp::error::body_limit)
    return RefusalOf(413, ErrorKind::TooLarge, "body exceeds its limit");
  if (aError.category() == make_error_code(bhttp::error::bad_method).category())
    return RefusalOf(400, ErrorKind::Malformed, "request is not HTTP/1.1");
  return std::nullopt;
}

static bhttp::response<bhttp::string_body>
ToBeast(HttpResponse&& aResponse, bool aKeepAlive)
{
  bhttp::response<bhttp::string_body> response;
  response.version(11);
  response.result(aResponse.status);
  response.set(bhttp::field::content_type, aResponse.contentType);
  if (aResponse.retryAfter) {
    const std::int64_t millis = aResponse.retryAfter->Millis();
    response.set(
      bhttp::field::retry_after,
      std::to_string((millis + kMillisPerSecond - 1) / kMillisPerSecond));
  }
  response.body() = std::move(aResponse.body);
  response.keep_alive(aKeepAlive);
  response.prepare_payload();
  return response;
}

namespace greengage::http::detail {

class Session;

class ServerImpl : public std::enable_shared_from_this<ServerImpl>
{
public:
  ServerImpl(pipe::IoDuty& aDuty,
             const ServerOptions& aOptions,
             pipe::Pipe<HttpRequest>& aNext)
    : options_(aOptions)
    , next_(aNext)
    , context_(aDuty.Context())
    , acceptor_(context_)
    , acceptTimer_(context_)
    , drainTimer_(context_)
    , responses_(
        aDuty,
        RingCapacity(aOptions.maxConnections),
        [this](HttpResponse&& aResponse) { Deliver(std::move(aResponse)); })
  {
  }

  bool Listen(Error& aReason);
  void Accept();
  void AcceptLater();
  void AcceptPending();
  void Serve(tcp::socket&& aSocket);
  void Drain(std::promise<void>&& aDone);
  /// Breaks the cycles between this object and the sessions that wait.
  void DropSessions() { waiting_.clear(); }
  ExchangeId Register(std::shared_ptr<Session> aSession);
  void Deliver(HttpResponse&& aResponse);
  void SessionEnded() { --connections_; }
  void IdleBegins(Session* aSession) { idle_.insert(aSession); }
  void IdleEnded(Session* aSession) { idle_.erase(aSession); }
  void ReadBegins() { ++reading_; }
  void ReadEnded()
  {
    --reading_;
    CheckDrained();
  }
  void WriteBegins() { ++writing_; }
  void WriteEnded()
  {
    --writing_;
    CheckDrained();
  }

  const ServerOptions& Options() const { return options_; }
  bool IsRetiring() const { return retiring_; }
  bool IsDraining() const { return draining_; }
  void Retire() { retiring_ = true; }
  pipe::Pipe<HttpRequest>& Next() { return next_; }
  pipe::Pipe<HttpResponse>& Responses() { return responses_; }
  asio::io_context& Context() { return context_; }

private:
  /// Each connection waits for at most one response, so a ring with a place
  /// for each connection never makes the encoder wait for long.
  static std::size_t RingCapacity(std::size_t aConnections)
  {
    std::size_t capacity = 2;
    while (capacity <= aConnections)
      capacity *= 2;
    return capacity;
  }

  void EndDrainReads();
  void CheckDrained();

  ServerOptions options_;
  pipe::Pipe<HttpRequest>& next_;
  asio::io_context& context_;
  tcp::acceptor acceptor_;
  asio::steady_timer acceptTimer_;
  asio::steady_timer drainTimer_;
  pipe::IoPipe<HttpResponse> responses_;
  std::unordered_map<ExchangeId, std::shared_ptr<Session>> waiting_;
  std::uint64_t lastExchange_ = 0;
  std::size_t connections_ = 0;
  /// Connections whose next request has not been read whole.
  std::size_t reading_ = 0;
  std::size_t writing_ = 0;
  /// Connections that wait for a request.
  std::set<Session*> idle_;
  std::optional<std::promise<void>> drained_;
  bool retiring_ = false;
  bool draining_ = false;
  /// A draining server waits for requests that it has not read whole.
  bool awaitsReads_ = true;
};

/// One connection.
class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(tcp::socket&& aSocket, std::shared_ptr<ServerImpl> aServer)
    : stream_(std::move(aSocket))
    , readTimer_(stream_.get_executor())
    , server_(std::move(aServer))
  {
  }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;
  ~Session() { server_->SessionEnded(); }

  void Read()
  {
    server_->ReadBegins();
    parser_.emplace();
    parser_->header_limit(server_->Options().maxHeaderBytes);
    parser_->body_limit(server_->Options().maxBodyBytes);
    if (buffer_.size() > 0) {
      OnFirstBytes({});
      return;
    }
    AwaitFirstBytes();
  }

  /// Whether the last response has been sent and nothing has come since.
  bool IsBetweenRequests()
  {
    beast::error_code ignored;
    return hasResponded_ && stream_.socket().available(ignored) == 0;
  }

  /// Ends a connection that waits for a request.
  void Close() { stream_.close(); }

  void Refuse(HttpResponse&& aResponse)
  {
    Write(std::move(aResponse), /*aKeepAlive=*/false);
  }

  void Respond(HttpResponse&& aResponse)
  {
    Write(std::move(aResponse), keepAlive_ && !server_->IsRetiring());
  }

private:
  static constexpr std::size_t kDiscardRead = 64 * 1024;
  static constexpr std::size_t kMaxLingerBytes = 16 * 1024 * 1024;
  static constexpr std::chrono::seconds kLingerTime{ 2 };

  /// Waits for bytes without reading them: those of a handler that has not run
  /// yet would be missing where IsBetweenRequests looks. An idle connection may
  /// wait longer than a request that has begun.
  void AwaitFirstBytes()
  {
    server_->IdleBegins(this);
    auto self = shared_from_this();
    readTimer_.expires_after(ToChrono(server_->Options().idleTimeout));
    readTimer_.async_wait([self](beast::error_code aError) {
      if (!aError)
        self->Close();
    });
    stream_.socket().async_wait(tcp::socket::wait_read,
                                [self](beast::error_code aError) {
                                  self->readTimer_.cancel();
                                  self->server_->IdleEnded(self.get());
                                  self->OnFirstBytes(aError);
                                });
  }

  void OnFirstBytes(beast::error_code aError)
  {
    beast::error_code ignored;
    const bool hasBytes =
      buffer_.size() > 0 || stream_.socket().available(ignored) > 0;
    if (aError || !hasBytes) {
      // The client left, or was idle for too long.
      server_->ReadEnded();
      return;
    }
    stream_.expires_never();
    StartReadTimer();
    auto self = shared_from_this();
    bhttp::async_read(stream_,
                      buffer_,
                      *parser_,
                      [self](beast::error_code aResult, std::size_t) {
                        self->readTimer_.cancel();
                        self->OnRead(aResult);
                        self->server_->ReadEnded();
                      });
  }

  /// Ends the reading, but not the connection: the sender is told why.
  void StartReadTimer()
  {
    isLate_ = false;
    readTimer_.expires_after(ToChrono(server_->Options().readTimeout));
    auto self = shared_from_this();
    readTimer_.async_wait([self](beast::error_code aError) {
      if (aError)
        return;
      self->isLate_ = true;
      self->stream_.cancel();
    });
  }

  void OnRead(beast::error_code aError)
  {
    if (aError) {
      auto refusal =
        isLate_
          ? RefusalOf(408, ErrorKind::Timeout, "request did not arrive in time")
          : RefusalOf(aError);
      if (refusal)
        Refuse(std::move(*refusal));
      return;
    }
    if (server_->IsDraining()) {
      Refuse(
        RefusalOf(503, ErrorKind::ShuttingDown, "entry host is shutting down"));
      return;
    }
    auto message = parser_->release();
    keepAlive_ = message.keep_alive();
    HttpRequest request;
    request.port = server_->Options().port;
    request.exchange = server_->Register(shared_from_this());
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.hostName = std::string(message[bhttp::field::host]);
    request.authorization = std::string(message[bhttp::field::authorization]);
    beast::error_code ignored;
    request.remoteAddress =
      stream_.socket().remote_endpoint(ignored).address().to_string();
    request.body = std::move(message.body());
    const ExchangeId exchange = request.exchange;
    if (server_->Next().TryPush(std::move(request)))
      return;
    HttpResponse refusal =
      RefusalOf(503, ErrorKind::Overloaded, "entry host is at its limit");
    refusal.exchange = exchange;
    server_->Deliver(std::move(refusal));
  }

  void Write(HttpResponse&& aResponse, bool aKeepAlive)
  {
    server_->WriteBegins();
    hasResponded_ = true;
    response_ = ToBeast(std::move(aResponse), aKeepAlive);
    stream_.expires_after(kWriteTimeout);
    auto self = shared_from_this();
    bhttp::async_write(
      stream_,
      response_,
      [self, aKeepAlive](beast::error_code aError, std::size_t) {
        self->OnWritten(aError, aKeepAlive);
      });
  }

  void OnWritten(beast::error_code aError, bool aKeepAlive)
  {
    server_->WriteEnded();
    if (!aError && aKeepAlive) {
      Read();
      return;
    }
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    if (aError)
      return;
    stream_.expires_after(kLingerTime);
    Discard(kMaxLingerBytes);
  }

  /// Reads on for a while after the last response: closing with unread bytes
  /// would reset the connection and could take the response with it.
  void Discard(std::size_t aMost)
  {
    buffer_.clear();
    auto self = shared_from_this();
    stream_.async_read_some(
      buffer_.prepare(kDiscardRead),
      [self, aMost](beast::error_code aError, std::size_t aBytes) {
        if (!aError && aBytes < aMost)
          self->Discard(aMost - aBytes);
      });
  }

  beast::tcp_stream stream_;
  asio::steady_timer readTimer_;
  bool isLate_ = false;
  std::shared_ptr<ServerImpl> server_;
  beast::flat_buffer buffer_;
  std::optional<bhttp::request_parser<bhttp::string_body>> parser_;
  bhttp::response<bhttp::string_body> response_;
  bool keepAlive_ = true;
  bool hasResponded_ = false;
};

bool
ServerImpl::Listen(Error& aReason)
{
  if (!pipe::ListenOn(acceptor_, options_.endpoint, aReason))
    return false;
  Accept();
  return true;
}

void
ServerImpl::Accept()
{
  auto self = shared_from_this();
  acceptor_.async_accept([self](beast::error_code aError, tcp::socket aSocket) {
    if (!aError)
      self->Serve(std::move(aSocket));
    if (self->draining_ || aError == asio::error::operation_aborted)
      return;
    if (aError)
      self->AcceptLater();
    else
      self->Accept();
  });
}

/// Accepts what the kernel has connected already: closing the listening socket
/// would reset it.
void
ServerImpl::AcceptPending()
{
  beast::error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(context_);
    acceptor_.accept(socket, error);
    if (!error)
      Serve(std::move(socket));
  }
}

void
ServerImpl::Serve(tcp::socket&& aSocket)
{
  beast::error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  const bool isFull = connections_ >= options_.maxConnections;
  ++connections_;
  auto session =
    std::make_shared<Session>(std::move(aSocket), shared_from_this());
  if (isFull)
    session->Refuse(
      RefusalOf(503, ErrorKind::Overloaded, "too many connections"));
  else
    session->Read();
}

void
ServerImpl::AcceptLater()
{
  auto self = shared_from_this();
  acceptTimer_.expires_after(ToChrono(pipe::kAcceptRetryDelay));
  acceptTimer_.async_wait([self](beast::error_code aError) {
    if (!aError && !self->draining_)
      self->Accept();
  });
}

void
ServerImpl::Drain(std::promise<void>&& aDone)
{
  retiring_ = true;
  draining_ = true;
  drained_ = std::move(aDone);
  AcceptPending();
  beast::error_code ignored;
  acceptor_.close(ignored);
  for (Session* session : idle_)
    if (session->IsBetweenRequests())
      session->Close();
  auto self = shared_from_this();
  drainTimer_.expires_after(kDrainReadTimeout);
  drainTimer_.async_wait([self](beast::error_code aError) {
    if (!aError)
      self->EndDrainReads();
  });
  // Behind the handler of a connection that was accepted before.
  asio::post(context_, [self] { self->CheckDrained(); });
}

/// Gives up on the connections without a whole request.
void
ServerImpl::EndDrainReads()
{
  awaitsReads_ = false;
  for (Session* session : idle_)
    session->Close();
  CheckDrained();
}

void
ServerImpl::CheckDrained()
{
  if (!drained_ || !waiting_.empty() || writing_ > 0 ||
      (awaitsReads_ && reading_ > 0))
    return;
  drainTimer_.cancel();
  drained_->set_value();
  drained_.reset();
}

ExchangeId
ServerImpl::Register(std::shared_ptr<Session> aSession)
{
  const ExchangeId exchange(++lastExchange_);
  waiting_.emplace(exchange, std::move(aSession));
  return exchange;
}

void
ServerImpl::Deliver(HttpResponse&& aResponse)
{
  const auto found = waiting_.find(aResponse.exchange);
  if (found == waiting_.end())
    return;
  const std::shared_ptr<Session> session = std::move(found->second);
  waiting_.erase(found);
  session->Respond(std::move(aResponse));
  CheckDrained();
}

} // namespace greengage::http::detail

Server::Server(pipe::IoDuty& aDuty,
               const ServerOptions& aOptions,
               pipe::Pipe<HttpRequest>& aNext)
  : impl_(std::make_shared<detail::ServerImpl>(aDuty, aOptions, aNext))
{
}

Server::~Server()
{
  impl_->DropSessions();
}

bool
Server::Listen(Error& aReason)
{
  return impl_->Listen(aReason);
}

pipe::Pipe<HttpResponse>&
Server::Responses()
{
  return impl_->Responses();
}

void
Server::Retire()
{
  asio::post(impl_->Context(), [impl = impl_] { impl->Retire(); });
}

std::future<void>
Server::Drain()
{
  auto done = std::make_shared<std::promise<void>>();
  // Taken first: the loop may use up the promise at any moment.
  std::future<void> future = done->get_future();
  asio::post(impl_->Context(),
             [impl = impl_, done] { impl->Drain(std::move(*done)); });
  return future;
}
