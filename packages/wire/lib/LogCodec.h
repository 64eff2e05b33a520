/// \file
/// The FlatBuffers encoding of the messages between replicas.

#ifndef GREENGAGE_WIRE_LIB_LOGCODEC_H
#define GREENGAGE_WIRE_LIB_LOGCODEC_H

#include "generated/peer_generated.h"

#include "greengage/wire/PeerMessage.h"

#include <optional>

namespace greengage::wire::detail {

flatbuffers::Offset<fb::LogMessage>
EncodeLogMessage(flatbuffers::FlatBufferBuilder& aBuilder,
                 const LogMessage& aMessage);

/// \returns nothing for a body or an entry of unknown kind.
std::optional<PeerMessage>
DecodeLogMessage(const fb::LogMessage& aMessage, Error& aReason);

} // namespace greengage::wire::detail

#endif // GREENGAGE_WIRE_LIB_LOGCODEC_H
