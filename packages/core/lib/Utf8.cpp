#include "greengage/core/Utf8.h"

#include <cstdint>

using namespace greengage;

namespace {

/// The valid range of a lead byte's first continuation byte.
struct LeadRule
{
  std::size_t continuations;
  std::uint8_t firstLow;
  std::uint8_t firstHigh;
};

} // namespace

static constexpr std::uint8_t kContinuationLow = 0x80;
static constexpr std::uint8_t kContinuationHigh = 0xBF;

static LeadRule
RuleOf(std::uint8_t aLead)
{
  if (aLead <= 0x7F)
    return { 0, 0, 0 };
  if (aLead >= 0xC2 && aLead <= 0xDF)
    return { 1, kContinuationLow, kContinuationHigh };
  if (aLead == 0xE0)
    return { 2, 0xA0, kContinuationHigh };
  if (aLead == 0xED)
    return { 2, kContinuationLow, 0x9F };
  if (aLead >= 0xE1 && aLead <= 0xEF)
    return { 2, kContinuationLow, kContinuationHigh };
  if (aLead == 0xF0)
    return { 3, 0x90, kContinuationHigh };
  if (aLead >= 0xF1 && aLead <= 0xF3)
    return { 3, kContinuationLow, kContinuationHigh };
  if (aLead == 0xF4)
    return { 3, kContinuationLow, 0x8F };
  return { 1, 1, 0 }; // An impossible range: the lead byte is invalid.
}

bool
greengage::IsValidUtf8(std::string_view aText)
{
  std::size_t index = 0;
  while (index < aText.size()) {
    const LeadRule rule = RuleOf(static_cast<std::uint8_t>(aText[index]));
    if (index + rule.continuations >= aText.size())
      return false;
    for (std::size_t step = 1; step <= rule.continuations; ++step) {
      const auto byte = static_cast<std::uint8_t>(aText[index + step]);
      const auto low = step == 1 ? rule.firstLow : kContinuationLow;
      const auto high = step == 1 ? rule.firstHigh : kContinuationHigh;
      if (byte < low || byte > high)
        return false;
    }
    index += rule.continuations + 1;
  }
  return true;
}

static bool
IsIdentifierCharacter(char aCharacter, bool aAllowSlash)
{
  if (aCharacter >= 'a' && aCharacter <= 'z')
    return true;
  if (aCharacter >= 'A' && aCharacter <= 'Z')
    return true;
  if (aCharacter >= '0' && aCharacter <= '9')
    return true;
  if (aCharacter == '/')
    return aAllowSlash;
  return aCharacter == '.' || aCharacter == '_' || aCharacter == '-' ||
         aCharacter == ':';
}

bool
greengage::IsValidIdentifier(std::string_view aText,
                             std::size_t aMaxLength,
                             bool aAllowSlash)
{
  if (aText.empty() || aText.size() > aMaxLength)
    return false;
  for (const char character : aText)
    if (!IsIdentifierCharacter(character, aAllowSlash))
      return false;
  return true;
}
