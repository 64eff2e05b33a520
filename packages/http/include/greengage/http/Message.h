/// \file
/// HTTP requests and responses as the decoders see them: text and numbers, no
/// sockets and no library types.

#ifndef GREENGAGE_HTTP_MESSAGE_H
#define GREENGAGE_HTTP_MESSAGE_H

#include "greengage/core/StrongId.h"
#include "greengage/core/Units.h"

#include <cstdint>
#include <optional>
#include <string>

namespace greengage::http {

/// One request that waits for its response, unique inside a server.
using ExchangeId = StrongId<struct ExchangeTag, std::uint64_t>;

/// Whom a server is there for. Each port has its own rights.
enum class PortRole : std::uint8_t
{
  Callers,
  Upstreams,
  Operators,
  /// Workers and operators of a deployment that gives both one address.
  Control,
  /// A balancer that asks whether the host takes requests.
  Readiness,
  /// Whoever collects the host's metrics.
  Metrics,
};

/// A whole request.
struct HttpRequest
{
  PortRole port = PortRole::Callers;
  ExchangeId exchange;
  std::string method;
  std::string target;
  /// The value of the Host header.
  std::string hostName;
  /// The value of the Authorization header; empty if there is none.
  std::string authorization;
  /// The peer's IP number, for logs and the audit trail.
  std::string remoteAddress;
  std::string body;
};

/// A whole response.
struct HttpResponse
{
  PortRole port = PortRole::Callers;
  ExchangeId exchange;
  unsigned status = 200;
  std::string contentType = "application/json";
  /// Sent as a Retry-After header in whole seconds, rounded up.
  std::optional<Duration> retryAfter;
  std::string body;
};

} // namespace greengage::http

#endif // GREENGAGE_HTTP_MESSAGE_H
