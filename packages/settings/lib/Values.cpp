#include "greengage/settings/Values.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <system_error>

using namespace greengage;
using namespace greengage::settings;

namespace {

struct UnitText
{
  std::string_view suffix;
  std::int64_t millis;
};

} // namespace

// "ms" stands before "s": the first suffix that matches wins.
static constexpr std::array<UnitText, 6> kUnits = { {
  { "ms", 1 },
  { "min", 60 * 1000 },
  { "s", 1000 },
  { "h", 60 * 60 * 1000 },
  { "d", 24 * 60 * 60 * 1000 },
  { "w", 7 * 24 * 60 * 60 * 1000 },
} };

template<typename Number>
static bool
ReadWhole(std::string_view aText, Number& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, aNumber);
  return result.ec == std::errc() && result.ptr == end;
}

static std::nullopt_t
FailValue(Error& aReason, std::string_view aText, const std::string& aWanted)
{
  return Fail(aReason,
              ErrorKind::InvalidSetting,
              "\"" + std::string(aText) + "\" is not " + aWanted);
}

std::optional<std::int64_t>
greengage::settings::ParseInteger(std::string_view aText,
                                  IntegerRange aRange,
                                  Error& aReason)
{
  std::int64_t value = 0;
  const bool isRead = ReadWhole(aText, value);
  if (!isRead || value < aRange.low || value > aRange.high)
    return FailValue(aReason,
                     aText,
                     "a whole number from " + std::to_string(aRange.low) +
                       " to " + std::to_string(aRange.high));
  return value;
}

std::optional<double>
greengage::settings::ParseDecimal(std::string_view aText,
                                  double aHigh,
                                  Error& aReason)
{
  double value = 0;
  const bool isRead = ReadWhole(aText, value);
  // The negated form also turns away NaN.
  if (!isRead || !(value >= 0 && value <= aHigh))
    return FailValue(
      aReason, aText, "a number from 0 to " + std::to_string(aHigh));
  return value;
}

std::optional<bool>
greengage::settings::ParseBoolean(std::string_view aText, Error& aReason)
{
  if (aText == "true")
    return true;
  if (aText == "false")
    return false;
  return FailValue(aReason, aText, "true or false");
}

/// Reads "" or "." with digits as a part of \p aUnit milliseconds, which must
/// come to whole milliseconds.
static bool
ReadFraction(std::string_view aText, std::int64_t aUnit, std::int64_t& aMillis)
{
  aMillis = 0;
  if (aText.empty())
    return true;
  constexpr std::size_t kMaxDigits = 6;
  std::int64_t digits = 0;
  if (aText.size() > kMaxDigits + 1 || !ReadWhole(aText.substr(1), digits) ||
      digits < 0)
    return false;
  std::int64_t scale = 1;
  for (std::size_t place = 1; place < aText.size(); ++place)
    scale *= 10;
  aMillis = digits * aUnit / scale;
  return digits * aUnit % scale == 0;
}

std::optional<Duration>
greengage::settings::ParseDuration(std::string_view aText, Error& aReason)
{
  const std::string wanted =
    "a time such as 250ms, 1.5s, 10s, 5min, 2h, 3d or 8w";
  for (const UnitText& unit : kUnits) {
    if (!aText.ends_with(unit.suffix))
      continue;
    const auto digits = aText.substr(0, aText.size() - unit.suffix.size());
    const auto point = std::min(digits.find('.'), digits.size());
    std::int64_t count = 0;
    const std::int64_t most =
      std::numeric_limits<std::int64_t>::max() / (1000 * unit.millis);
    std::int64_t fraction = 0;
    if (!ReadWhole(digits.substr(0, point), count) || count < 0 ||
        count > most ||
        !ReadFraction(digits.substr(point), unit.millis, fraction))
      return FailValue(aReason, aText, wanted);
    return Duration(count * unit.millis + fraction);
  }
  return FailValue(aReason, aText, wanted);
}
