/// \file
/// The encoding of outsiders' calls that hosts relay to the leader.

#ifndef GREENGAGE_WIRE_LIB_RELAYCODEC_H
#define GREENGAGE_WIRE_LIB_RELAYCODEC_H

#include "generated/peer_generated.h"

#include "greengage/wire/PeerMessage.h"

namespace greengage::wire::detail {

flatbuffers::Offset<fb::RelayedCall>
EncodeRelayedCall(flatbuffers::FlatBufferBuilder& aBuilder,
                  const RelayedCall& aCall);
RelayedCall
DecodeRelayedCall(const fb::RelayedCall& aFrom);

flatbuffers::Offset<fb::RelayedReply>
EncodeRelayedReply(flatbuffers::FlatBufferBuilder& aBuilder,
                   const RelayedReply& aReply);
RelayedReply
DecodeRelayedReply(const fb::RelayedReply& aFrom);

flatbuffers::Offset<fb::LeaderNotice>
EncodeLeaderNotice(flatbuffers::FlatBufferBuilder& aBuilder,
                   const LeaderNotice& aNotice);
LeaderNotice
DecodeLeaderNotice(const fb::LeaderNotice& aFrom);

} // namespace greengage::wire::detail

#endif // GREENGAGE_WIRE_LIB_RELAYCODEC_H
