/// \file
/// The messages about request ids in FlatBuffers.

#ifndef GREENGAGE_WIRE_LIB_ONCECODEC_H
#define GREENGAGE_WIRE_LIB_ONCECODEC_H

#include "generated/peer_generated.h"

#include "greengage/core/Error.h"
#include "greengage/once/Messages.h"

#include <optional>

namespace greengage::wire::detail {

flatbuffers::Offset<fb::OnceBatch>
EncodeBatch(flatbuffers::FlatBufferBuilder& aBuilder,
            const once::LedgerBatch& aBatch);

/// Items of kinds that this version does not know are left out.
/// \returns nothing if an item lacks a field that its kind needs.
std::optional<once::LedgerBatch>
DecodeBatch(const fb::OnceBatch& aFrom, Error& aReason);

} // namespace greengage::wire::detail

#endif // GREENGAGE_WIRE_LIB_ONCECODEC_H
