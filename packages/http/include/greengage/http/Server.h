/// \file
/// The HTTP/1.1 server of one port: the source of requests and the sink of
/// their responses. It reads whole requests within limits, so that a slow or
/// oversized sender costs a bounded amount and only itself.

#ifndef GREENGAGE_HTTP_SERVER_H
#define GREENGAGE_HTTP_SERVER_H

#include "greengage/core/Endpoint.h"
#include "greengage/core/Error.h"
#include "greengage/core/Units.h"
#include "greengage/http/Message.h"
#include "greengage/pipe/IoDuty.h"
#include "greengage/pipe/Pipe.h"

#include <cstddef>
#include <cstdint>
#include <future>
#include <memory>

namespace greengage::http {

/// The limits of one port.
struct ServerOptions
{
  PortRole port = PortRole::Callers;
  Endpoint endpoint;
  /// Connections beyond these are answered 503 and closed.
  std::size_t maxConnections = 1024;
  /// Bytes of a request's header.
  std::uint32_t maxHeaderBytes = 8 * 1024;
  /// Bytes of a request's body.
  std::uint64_t maxBodyBytes = 1024 * 1024;
  /// How long a request may take to arrive whole.
  Duration readTimeout = Duration::Seconds(10);
  /// How long a connection may be idle between requests.
  Duration idleTimeout = Duration::Seconds(60);
};

namespace detail {
class ServerImpl;
} // namespace detail

/// Serves one port on the loop of an IoDuty.
class Server
{
public:
  /// Requests go to \p aNext; one that finds no room there is answered
  /// "not run" at once.
  Server(pipe::IoDuty& aDuty,
         const ServerOptions& aOptions,
         pipe::Pipe<HttpRequest>& aNext);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  /// The duty must have been stopped.
  ~Server();

  /// Binds and listens. False if the address can't be had, with \p aReason.
  bool Listen(Error& aReason);

  /// Where responses go. One whose caller has gone is dropped.
  pipe::Pipe<HttpResponse>& Responses();

  /// From now on each response ends its connection, so that few are left when
  /// the server drains. Safe from any thread.
  void Retire();

  /// Closes the listening socket and ends each connection after the response
  /// it waits for. A request that is read from now on, also on a connection
  /// that was not accepted yet, is answered 503. The future is ready once all
  /// those responses have been written. Safe from any thread.
  std::future<void> Drain();

private:
  std::shared_ptr<detail::ServerImpl> impl_;
};

} // namespace greengage::http

#endif // GREENGAGE_HTTP_SERVER_H
