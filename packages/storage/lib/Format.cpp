#include "Format.h"

#include <xxhash.h>

namespace greengage::storage {

namespace {

constexpr std::uint32_t kSegmentMagic = 0x4A474747;
constexpr std::uint32_t kWholeMagic = 0x57474747;
constexpr int kBitsPerByte = 8;
constexpr std::size_t kFrameHeaderBytes = 24;
constexpr std::size_t kHeaderBytes = 24;
constexpr std::size_t kWholeHeaderBytes = 40;

template<typename Number>
void
Put(std::string& aOut, Number aValue)
{
  for (std::size_t at = 0; at < sizeof(Number); ++at)
    aOut.push_back(static_cast<char>(aValue >> (at * kBitsPerByte)));
}

void
PutByte(std::string& aOut, std::uint8_t aValue)
{
  aOut.push_back(static_cast<char>(aValue));
}

/// Reads a number at \p aAt, which must be inside.
template<typename Number>
Number
Get(std::string_view aBytes, std::size_t aAt)
{
  Number value = 0;
  for (std::size_t at = 0; at < sizeof(Number); ++at) {
    const auto byte = static_cast<std::uint8_t>(aBytes[aAt + at]);
    value |= static_cast<Number>(byte) << (at * kBitsPerByte);
  }
  return value;
}

std::uint64_t
ChecksumOf(std::string_view aBytes)
{
  return XXH64(aBytes.data(), aBytes.size(), 0);
}

std::string
MakeHeader(std::uint32_t aMagic, std::uint64_t aNumber)
{
  std::string header;
  Put<std::uint32_t>(header, aMagic);
  Put<std::uint32_t>(header, kFormatVersion);
  Put<std::uint64_t>(header, aNumber);
  Put<std::uint64_t>(header, ChecksumOf(header));
  return header;
}

HeaderState
CheckHeader(std::string_view aBytes, std::uint32_t aMagic)
{
  if (aBytes.size() < kHeaderBytes || Get<std::uint32_t>(aBytes, 0) != aMagic ||
      Get<std::uint64_t>(aBytes, 16) != ChecksumOf(aBytes.substr(0, 16)))
    return HeaderState::Bad;
  return Get<std::uint32_t>(aBytes, 4) == kFormatVersion
           ? HeaderState::Good
           : HeaderState::OtherVersion;
}

/// Whether the size of a frame can be trusted.
bool
HasFrameHeader(std::string_view aBytes)
{
  return aBytes.size() >= kFrameHeaderBytes &&
         Get<std::uint64_t>(aBytes, 8) == ChecksumOf(aBytes.substr(0, 8));
}

bool
HasWholeFrame(std::string_view aBytes)
{
  if (!HasFrameHeader(aBytes))
    return false;
  const std::uint64_t size = Get<std::uint64_t>(aBytes, 0);
  if (size > aBytes.size() - kFrameHeaderBytes)
    return false;
  return Get<std::uint64_t>(aBytes, 16) ==
         ChecksumOf(aBytes.substr(kFrameHeaderBytes, size));
}

bool
HasFrameInside(std::string_view aBytes)
{
  for (std::size_t at = 1; at < aBytes.size(); ++at)
    if (HasWholeFrame(aBytes.substr(at)))
      return true;
  return false;
}

} // namespace

const std::size_t kSegmentHeaderBytes = kHeaderBytes;

void
AddOperation(std::string& aBody,
             Operation aKind,
             std::uint64_t aIndex,
             std::string_view aBytes)
{
  PutByte(aBody, static_cast<std::uint8_t>(aKind));
  Put<std::uint64_t>(aBody, aIndex);
  Put<std::uint64_t>(aBody, aBytes.size());
  aBody.append(aBytes);
}

std::optional<ParsedOperation>
TakeOperation(std::string_view& aBody)
{
  constexpr std::size_t kOperationHeaderBytes = 17;
  if (aBody.size() < kOperationHeaderBytes)
    return std::nullopt;
  const auto kind = static_cast<std::uint8_t>(aBody[0]);
  const std::uint64_t size = Get<std::uint64_t>(aBody, 9);
  const bool isKnown = kind >= static_cast<std::uint8_t>(Operation::Record) &&
                       kind <= static_cast<std::uint8_t>(Operation::State);
  if (!isKnown || size > aBody.size() - kOperationHeaderBytes)
    return std::nullopt;
  const ParsedOperation parsed{ .kind = static_cast<Operation>(kind),
                                .index = Get<std::uint64_t>(aBody, 1),
                                .bytes =
                                  aBody.substr(kOperationHeaderBytes, size) };
  aBody.remove_prefix(kOperationHeaderBytes + size);
  return parsed;
}

std::string
MakeFrame(std::string_view aBody)
{
  std::string frame;
  frame.reserve(kFrameHeaderBytes + aBody.size());
  Put<std::uint64_t>(frame, aBody.size());
  Put<std::uint64_t>(frame, ChecksumOf(frame));
  Put<std::uint64_t>(frame, ChecksumOf(aBody));
  frame.append(aBody);
  return frame;
}

ParsedFrame
ParseFrame(std::string_view aBytes)
{
  if (HasWholeFrame(aBytes)) {
    const std::uint64_t size = Get<std::uint64_t>(aBytes, 0);
    return { .state = FrameState::Whole,
             .body = aBytes.substr(kFrameHeaderBytes, size),
             .size = kFrameHeaderBytes + size };
  }
  // A frame is synced before the next one is written.
  bool isFollowed = false;
  if (HasFrameHeader(aBytes))
    isFollowed =
      Get<std::uint64_t>(aBytes, 0) < aBytes.size() - kFrameHeaderBytes;
  else
    isFollowed = HasFrameInside(aBytes);
  return { .state = isFollowed ? FrameState::Damaged : FrameState::Unfinished,
           .body = {},
           .size = 0 };
}

std::string
MakeSegmentHeader(std::uint64_t aNumber)
{
  return MakeHeader(kSegmentMagic, aNumber);
}

HeaderState
CheckSegmentHeader(std::string_view aBytes, std::uint64_t aNumber)
{
  const HeaderState state = CheckHeader(aBytes, kSegmentMagic);
  const bool isOther =
    state == HeaderState::Good && Get<std::uint64_t>(aBytes, 8) != aNumber;
  return isOther ? HeaderState::Bad : state;
}

std::string
MakeWhole(std::uint64_t aNumber, std::string_view aContent)
{
  std::string whole = MakeHeader(kWholeMagic, aNumber);
  Put<std::uint64_t>(whole, aContent.size());
  Put<std::uint64_t>(whole, ChecksumOf(aContent));
  whole.append(aContent);
  return whole;
}

ParsedWhole
ParseWhole(std::string_view aBytes)
{
  ParsedWhole parsed;
  parsed.state = CheckHeader(aBytes, kWholeMagic);
  if (parsed.state != HeaderState::Good)
    return parsed;
  parsed.state = HeaderState::Bad;
  if (aBytes.size() < kWholeHeaderBytes)
    return parsed;
  parsed.number = Get<std::uint64_t>(aBytes, 8);
  parsed.content = aBytes.substr(kWholeHeaderBytes);
  const bool isGood =
    Get<std::uint64_t>(aBytes, 24) == parsed.content.size() &&
    Get<std::uint64_t>(aBytes, 32) == ChecksumOf(parsed.content);
  if (isGood)
    parsed.state = HeaderState::Good;
  return parsed;
}

} // namespace greengage::storage
