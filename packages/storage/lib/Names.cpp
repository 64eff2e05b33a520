#include "Names.h"

#include <charconv>

namespace greengage::storage {

std::string
NameOf(const char* aPrefix, std::uint64_t aNumber)
{
  constexpr std::size_t kDigits = 20;
  const std::string digits = std::to_string(aNumber);
  return aPrefix + std::string(kDigits - digits.size(), '0') + digits;
}

std::optional<std::uint64_t>
NumberIn(const std::string& aName, const char* aPrefix)
{
  const std::string prefix = aPrefix;
  if (aName.compare(0, prefix.size(), prefix) != 0)
    return std::nullopt;
  std::uint64_t number = 0;
  const char* const start = aName.data() + prefix.size();
  const char* const end = aName.data() + aName.size();
  const auto [stop, failure] = std::from_chars(start, end, number);
  const bool isNumber = failure == std::errc() && stop == end;
  if (!isNumber || NameOf(aPrefix, number) != aName)
    return std::nullopt;
  return number;
}

} // namespace greengage::storage
