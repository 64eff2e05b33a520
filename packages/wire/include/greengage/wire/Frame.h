/// \file
/// Frames on a byte stream: a length of four bytes, little-endian, and that
/// many bytes.

#ifndef GREENGAGE_WIRE_FRAME_H
#define GREENGAGE_WIRE_FRAME_H

#include "greengage/core/Error.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace greengage::wire {

/// Bytes of the length in front of a frame.
inline constexpr std::size_t kFrameHeaderBytes = 4;
/// The largest frame; a longer one ends the connection.
inline constexpr std::size_t kMaxFrameBytes = 8 * 1024 * 1024;

/// Puts the length in front of \p aBytes.
std::string
MakeFrame(std::string_view aBytes);

/// The length that a frame header of kFrameHeaderBytes bytes gives.
/// \returns nothing for an empty frame or one that is too large.
std::optional<std::size_t>
ParseFrameHeader(std::string_view aHeader, Error& aReason);

} // namespace greengage::wire

#endif // GREENGAGE_WIRE_FRAME_H
