/// \file
/// The bytes of the journal's files: headers, frames and the operations inside
/// a frame. Numbers are little-endian; every part has an XXH64 checksum.
///
///   segment:  magic, version, segment number, checksum; then frames
///   frame:    body size, checksum of the size; checksum of the body; body
///   body:     operations, each a kind, an index, a size and that many bytes
///   whole:    magic, version, number, size, checksum; content

#ifndef GREENGAGE_STORAGE_LIB_FORMAT_H
#define GREENGAGE_STORAGE_LIB_FORMAT_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengage::storage {

constexpr std::uint32_t kFormatVersion = 1;

enum class Operation : std::uint8_t
{
  Record = 1,
  TruncateFrom = 2,
  /// All records up to the index are in a snapshot.
  Snapshot = 3,
  State = 4,
};

/// Appends one operation to the body of a frame.
void
AddOperation(std::string& aBody,
             Operation aKind,
             std::uint64_t aIndex,
             std::string_view aBytes);

struct ParsedOperation
{
  Operation kind = Operation::Record;
  std::uint64_t index = 0;
  std::string_view bytes;
};

/// Takes the first operation off \p aBody; nothing if it is malformed.
std::optional<ParsedOperation>
TakeOperation(std::string_view& aBody);

/// A frame around \p aBody.
std::string
MakeFrame(std::string_view aBody);

enum class FrameState : std::uint8_t
{
  Whole,
  /// Cut off or damaged, and nothing follows that was ever a frame: the rest of
  /// a write that was not synced.
  Unfinished,
  /// Damaged, and later frames show that it had been synced.
  Damaged,
};

struct ParsedFrame
{
  FrameState state = FrameState::Unfinished;
  std::string_view body;
  std::size_t size = 0;
};

/// Reads the frame at the start of \p aBytes, which is not empty.
ParsedFrame
ParseFrame(std::string_view aBytes);

/// The header of a segment file.
std::string
MakeSegmentHeader(std::uint64_t aNumber);

enum class HeaderState : std::uint8_t
{
  Good,
  OtherVersion,
  Bad,
};

extern const std::size_t kSegmentHeaderBytes;

HeaderState
CheckSegmentHeader(std::string_view aBytes, std::uint64_t aNumber);

/// A file that is written and read as a whole.
std::string
MakeWhole(std::uint64_t aNumber, std::string_view aContent);

struct ParsedWhole
{
  HeaderState state = HeaderState::Bad;
  std::uint64_t number = 0;
  std::string_view content;
};

ParsedWhole
ParseWhole(std::string_view aBytes);

} // namespace greengage::storage

#endif // GREENGAGE_STORAGE_LIB_FORMAT_H
