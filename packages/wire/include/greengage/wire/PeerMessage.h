/// \file
/// The messages between entry hosts and their encoding in FlatBuffers. Only
/// this package knows the encoding.

#ifndef GREENGAGE_WIRE_PEERMESSAGE_H
#define GREENGAGE_WIRE_PEERMESSAGE_H

#include "greengage/consensus/Messages.h"
#include "greengage/core/Error.h"
#include "greengage/core/Ids.h"
#include "greengage/core/Request.h"
#include "greengage/core/Units.h"
#include "greengage/core/Upstream.h"
#include "greengage/dispatch/Grants.h"
#include "greengage/dispatch/Messages.h"
#include "greengage/http/Message.h"
#include "greengage/once/Messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace greengage::wire {

/// Counts incompatible changes of the messages.
inline constexpr std::uint32_t kProtocolVersion = 1;

/// The accepting side's first message.
struct Challenge
{
  std::uint32_t protocol = kProtocolVersion;
  std::string nonce;
};

/// The dialling side's reply, which proves that it knows the shared secret.
struct Hello
{
  std::uint32_t protocol = kProtocolVersion;
  EntryHostId from;
  AvailabilityZoneId availabilityZone;
  std::string mac;
};

/// Says that the sender is there.
struct Heartbeat
{};

/// A request to run on an upstream of the receiver.
struct ForwardRequest
{
  DispatchId dispatch;
  Request request;
};

/// A forwarded request that is withdrawn.
struct CancelRequest
{
  DispatchId dispatch;
};

/// How a forwarded request ended.
struct ForwardResult
{
  DispatchId dispatch;
  Outcome outcome;
};

/// An announcement on its way to the host that serves the upstream.
struct RelayedAnnouncement
{
  UpstreamAnnouncement announcement;
};

/// What room the sender has.
struct LoadReport
{
  bool leaving = false;
  std::vector<dispatch::PoolLoad> pools;
};

/// A message between replicas of the agreed log.
struct LogMessage
{
  consensus::ReplicaId from;
  consensus::ReplicaId to;
  consensus::Message message;
};

/// A command of the agreed state for whoever leads the log.
struct ForwardedProposal
{
  std::string command;
};

/// A call of an outsider for the leader, as it came.
struct RelayedCall
{
  /// Chosen by the sender; the reply repeats it.
  std::uint64_t number = 0;
  http::HttpRequest request;
};

/// The reply to a relayed call.
struct RelayedReply
{
  std::uint64_t number = 0;
  http::HttpResponse response;
};

/// Who leads the agreed log, as far as the sender knows.
struct LeaderNotice
{
  consensus::Term term;
  std::optional<EntryHostId> leader;
};

using PeerMessage = std::variant<Challenge,
                                 Hello,
                                 Heartbeat,
                                 ForwardRequest,
                                 ForwardResult,
                                 RelayedAnnouncement,
                                 LoadReport,
                                 dispatch::GrantReport,
                                 CancelRequest,
                                 once::LedgerBatch,
                                 LogMessage,
                                 ForwardedProposal,
                                 RelayedCall,
                                 RelayedReply,
                                 LeaderNotice>;

/// Encodes a message. Deadlines are sent as the time that remains at \p aNow.
std::string
Encode(const PeerMessage& aMessage, Time aNow);

/// The time on the sender's clock when a message was encoded.
/// \returns nothing if the message is not well-formed.
std::optional<Time>
SentAt(std::string_view aBytes, Error& aReason);

/// Verifies and decodes a message whose remaining times count from \p aNow.
std::optional<PeerMessage>
Decode(std::string_view aBytes, Time aNow, Error& aReason);

} // namespace greengage::wire

#endif // GREENGAGE_WIRE_PEERMESSAGE_H
