/// \file
/// Typed values out of setting texts, with ranges.

#ifndef GREENGAGE_SETTINGS_VALUES_H
#define GREENGAGE_SETTINGS_VALUES_H

#include "greengage/core/Error.h"
#include "greengage/core/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengage::settings {

/// The smallest and largest value that a setting may have.
struct IntegerRange
{
  std::int64_t low = 0;
  std::int64_t high = 0;
};

/// Reads a whole number inside \p aRange.
std::optional<std::int64_t>
ParseInteger(std::string_view aText, IntegerRange aRange, Error& aReason);

/// Reads a decimal number that is at least zero and at most \p aHigh.
std::optional<double>
ParseDecimal(std::string_view aText, double aHigh, Error& aReason);

/// Reads "true" or "false".
std::optional<bool>
ParseBoolean(std::string_view aText, Error& aReason);

/// Reads a whole number with its unit: "250ms", "10s", "5min", "2h", "8w".
std::optional<Duration>
ParseDuration(std::string_view aText, Error& aReason);

} // namespace greengage::settings

#endif // GREENGAGE_SETTINGS_VALUES_H
