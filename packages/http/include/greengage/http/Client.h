/// \file
/// The HTTP/1.1 client towards upstreams. Its results say whether anything was
/// sent, since only a call of which no byte left may be called "not run".

#ifndef GREENGAGE_HTTP_CLIENT_H
#define GREENGAGE_HTTP_CLIENT_H

#include "greengage/core/Endpoint.h"
#include "greengage/core/StrongId.h"
#include "greengage/core/Units.h"
#include "greengage/pipe/IoDuty.h"
#include "greengage/pipe/Pipe.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace greengage::http {

/// One call, unique inside a client; chosen by who makes it.
using ClientCallId = StrongId<struct ClientCallTag, std::uint64_t>;

/// Tells the servers apart that have the same address one after the other.
using PeerIdentity = StrongId<struct PeerIdentityTag, std::int64_t>;

/// A request to which a server states its identity, before a call that only a
/// certain server may execute.
struct PeerInquiry
{
  std::string target;
  std::string body;
  PeerIdentity expectedPeer;
};

/// Reads from a response who has sent it.
class PeerReader
{
public:
  virtual ~PeerReader() = default;
  /// \returns the identity that the response states, if any.
  virtual std::optional<PeerIdentity> ReadPeer(
    const std::string& aBody) const = 0;
};

/// A request to send.
struct ClientCall
{
  ClientCallId id;
  Endpoint endpoint;
  std::string method = "POST";
  std::string target = "/";
  /// Sent as the Authorization header unless empty.
  std::string authorization;
  /// Further headers, by name.
  std::vector<std::pair<std::string, std::string>> headers = {};
  std::string body;
  /// How long the call may take as a whole.
  Duration timeout = Duration::Seconds(30);
  /// The time on the boot clock from which the call must not be sent any more.
  std::optional<Time> sendBefore = std::nullopt;
  /// If set, the call is sent only on a connection on which the expected server
  /// has answered, since another one may have got its address. The inquiry is
  /// sent first where it is not known who has accepted the connection. A server
  /// that refuses the inquiry would refuse the call, so that its response is
  /// that of the call, unless it states another identity.
  std::optional<PeerInquiry> inquiry = std::nullopt;
};

/// How far a call got.
enum class CallProgress : std::uint8_t
{
  /// Proved: no byte of the call was handed to the network.
  NotSent,
  /// It was sent, wholly or in part, and no whole response came.
  SentNoResponse,
  /// The whole response is here.
  Responded,
};

/// The end of a call. Each call has exactly one.
struct ClientResult
{
  ClientCallId id;
  CallProgress progress = CallProgress::NotSent;
  unsigned status = 0;
  std::string body;
  /// Another server than the expected one has answered the inquiry. The call
  /// was not sent then.
  std::optional<PeerIdentity> otherPeer = std::nullopt;
  /// Why there is no response.
  std::string reason;
};

/// The limits of a client.
struct ClientOptions
{
  /// Calls that may wait for the loop; a power of two.
  std::size_t capacity = 4096;
  /// Idle connections kept for each endpoint.
  std::size_t idlePerEndpoint = 16;
  /// Idle connections kept in all; beyond it, the longest idle one is closed.
  std::size_t maxIdle = 1024;
  /// How long an idle connection is kept. An endpoint may never be called
  /// again, and may have gone without closing its side.
  Duration idleTimeout = Duration::Seconds(30);
  /// Calls to one endpoint at once; further ones wait for their turn, and the
  /// wait counts towards their time. 0 for no limit.
  std::size_t maxPerEndpoint = 0;
  /// How long to wait for a connection.
  Duration connectTimeout = Duration::Seconds(1);
  /// Bytes of a response's body.
  std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
  /// Must outlive the client; null if no call has an inquiry.
  const PeerReader* peerReader = nullptr;
};

namespace detail {
class ClientImpl;
} // namespace detail

/// Makes calls on the loop of an IoDuty over kept connections.
class Client
{
public:
  /// Results go to \p aResults, which must always take them in the end.
  Client(pipe::IoDuty& aDuty,
         const ClientOptions& aOptions,
         pipe::Pipe<ClientResult>& aResults);
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  ~Client();

  /// Where calls go.
  pipe::Pipe<ClientCall>& Calls();

private:
  std::shared_ptr<detail::ClientImpl> impl_;
};

} // namespace greengage::http

#endif // GREENGAGE_HTTP_CLIENT_H
