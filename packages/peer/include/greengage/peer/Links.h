/// \file
/// The connections between entry hosts. Each host dials every other and sends
/// on the connection it dialled; a peer is up while it can be sent to and has
/// been heard from lately, so that a cut in one direction counts as a cut.

#ifndef GREENGAGE_PEER_LINKS_H
#define GREENGAGE_PEER_LINKS_H

#include "greengage/core/Clock.h"
#include "greengage/core/Endpoint.h"
#include "greengage/core/Error.h"
#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/pipe/IoDuty.h"
#include "greengage/pipe/Pipe.h"
#include "greengage/wire/PeerMessage.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace greengage::peer {

/// Another entry host, as the settings name it.
struct PeerAddress
{
  EntryHostId id;
  Endpoint endpoint;
  AvailabilityZoneId availabilityZone = {};
};

/// How an entry host reaches the others.
struct LinkOptions
{
  EntryHostId self;
  AvailabilityZoneId availabilityZone;
  Endpoint endpoint;
  /// Known to all entry hosts and nobody else.
  std::string secret;
  std::vector<PeerAddress> peers;
  /// Set where hosts are named by their IP numbers and all listen on this port:
  /// a host that is not among \p peers becomes one when it proves the secret
  /// or when a message is to go to it.
  std::optional<std::uint16_t> commonPort = {};
  /// How often a host says that it is there.
  Duration heartbeat = Duration(500);
  /// A peer not heard from for so long is down.
  Duration silence = Duration::Seconds(2);
  /// How long to wait before dialling again.
  Duration redial = Duration(300);
  /// Bytes that may wait to be sent to one peer.
  std::size_t maxBacklogBytes = 16 * 1024 * 1024;
  /// Messages that may wait for the loop; a power of two.
  std::size_t capacity = 8192;
};

/// A peer can be reached.
struct PeerConnected
{
  EntryHostId peer;
  AvailabilityZoneId availabilityZone;
};

/// A peer can't be reached any more; what was sent to it lately may be lost.
struct PeerDisconnected
{
  EntryHostId peer;
};

/// A message of a peer.
struct PeerReceived
{
  EntryHostId peer;
  wire::PeerMessage message;
};

/// Proved: no byte of the message has left.
struct PeerUndeliverable
{
  EntryHostId peer;
  wire::PeerMessage message;
};

using PeerEvent = std::
  variant<PeerConnected, PeerDisconnected, PeerReceived, PeerUndeliverable>;

/// A message to one peer or, without \p to, to all that are up.
struct PeerSend
{
  std::optional<EntryHostId> to;
  wire::PeerMessage message;
};

namespace detail {
class LinksImpl;
} // namespace detail

/// Keeps the connections on the loop of an IoDuty.
class Links
{
public:
  /// Events go to \p aEvents, which must always take them in the end.
  Links(pipe::IoDuty& aDuty,
        LinkOptions aOptions,
        const Clock& aClock,
        pipe::Pipe<PeerEvent>& aEvents);
  Links(const Links&) = delete;
  Links& operator=(const Links&) = delete;
  /// The duty must have been stopped.
  ~Links();

  /// Binds, listens and begins to dial. False if the address can't be had.
  bool Start(Error& aReason);
  /// Where messages to peers go.
  pipe::Pipe<PeerSend>& Outbox();

private:
  std::shared_ptr<detail::LinksImpl> impl_;
};

} // namespace greengage::peer

#endif // GREENGAGE_PEER_LINKS_H
