#include "greengage/wire/Frame.h"

#include <cassert>
#include <cstdint>

using namespace greengage;

static constexpr unsigned kBitsPerByte = 8;

std::string
greengage::wire::MakeFrame(std::string_view aBytes)
{
  assert(!aBytes.empty() && aBytes.size() <= kMaxFrameBytes &&
         "senders keep to the frame limit");
  std::string frame;
  frame.reserve(kFrameHeaderBytes + aBytes.size());
  for (std::size_t index = 0; index < kFrameHeaderBytes; ++index)
    frame += static_cast<char>(aBytes.size() >> (kBitsPerByte * index));
  frame += aBytes;
  return frame;
}

std::optional<std::size_t>
greengage::wire::ParseFrameHeader(std::string_view aHeader, Error& aReason)
{
  assert(aHeader.size() == kFrameHeaderBytes && "a whole header was read");
  std::size_t length = 0;
  for (std::size_t index = 0; index < kFrameHeaderBytes; ++index)
    length |=
      static_cast<std::size_t>(static_cast<std::uint8_t>(aHeader[index]))
      << (kBitsPerByte * index);
  if (length == 0 || length > kMaxFrameBytes)
    return Fail(aReason,
                ErrorKind::TooLarge,
                "frame of " + std::to_string(length) +
                  " bytes is outside the limit");
  return length;
}
