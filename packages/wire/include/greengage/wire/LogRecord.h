/// \file
/// The bytes that a replica of the agreed log keeps on its disk.

#ifndef GREENGAGE_WIRE_LOGRECORD_H
#define GREENGAGE_WIRE_LOGRECORD_H

#include "greengage/consensus/Messages.h"
#include "greengage/core/Error.h"

#include <optional>
#include <string>
#include <string_view>

namespace greengage::wire {

std::string
Encode(const consensus::Entry& aEntry);

std::string
Encode(const consensus::HardState& aState);

std::string
Encode(const consensus::Snapshot& aSnapshot);

/// \returns nothing, with DataCorrupt, if the bytes are not well-formed; so do
/// the others.
std::optional<consensus::Entry>
DecodeEntry(std::string_view aBytes, Error& aReason);

std::optional<consensus::HardState>
DecodeHardState(std::string_view aBytes, Error& aReason);

std::optional<consensus::Snapshot>
DecodeSnapshot(std::string_view aBytes, Error& aReason);

} // namespace greengage::wire

#endif // GREENGAGE_WIRE_LOGRECORD_H
