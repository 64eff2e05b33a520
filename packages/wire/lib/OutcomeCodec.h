/// \file
/// Outcomes in FlatBuffers, for the messages that carry one.

#ifndef GREENGAGE_WIRE_LIB_OUTCOMECODEC_H
#define GREENGAGE_WIRE_LIB_OUTCOMECODEC_H

#include "generated/peer_generated.h"

#include "greengage/core/Request.h"

#include <string>

namespace greengage::wire::detail {

/// The text of an optional field.
std::string
Text(const flatbuffers::String* aText);

flatbuffers::Offset<fb::Outcome>
EncodeOutcome(flatbuffers::FlatBufferBuilder& aBuilder,
              const Outcome& aOutcome);

Outcome
DecodeOutcome(const fb::Outcome& aFrom);

} // namespace greengage::wire::detail

#endif // GREENGAGE_WIRE_LIB_OUTCOMECODEC_H
