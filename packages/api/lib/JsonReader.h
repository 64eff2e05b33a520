/// \file
/// Typed fields out of a JSON object, each with its range and a reason that
/// names the field.

#ifndef GREENGAGE_API_LIB_JSONREADER_H
#define GREENGAGE_API_LIB_JSONREADER_H

#include "greengage/core/Error.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace greengage::api::detail {

/// Reads fields until one is wrong; after that every read gives a default and
/// the first reason is kept.
class JsonReader
{
public:
  explicit JsonReader(const std::string& aText);

  /// A required identifier of at most \p aMaxLength characters.
  std::string Identifier(const char* aName,
                         std::size_t aMaxLength,
                         bool aAllowSlash = false);
  /// A text, or \p aDefault if the field is missing.
  std::string Text(const char* aName,
                   std::size_t aMaxLength,
                   const std::string& aDefault = {});
  /// A whole number; required unless \p aDefault is given.
  std::int64_t Integer(const char* aName,
                       std::int64_t aLow,
                       std::int64_t aHigh,
                       std::optional<std::int64_t> aDefault = std::nullopt);
  /// A text that must be there.
  std::string RequiredText(const char* aName, std::size_t aMaxLength);
  /// A text or null; one of them must be there.
  std::optional<std::string> TextOrNull(const char* aName,
                                        std::size_t aMaxLength);
  /// A required list of at most \p aMaxCount objects.
  std::vector<JsonReader> Objects(const char* aName, std::size_t aMaxCount);
  /// Takes over what is wrong with an object of the list \p aName.
  void Include(const char* aName, JsonReader& aObject);
  bool Boolean(const char* aName, bool aDefault);

  /// Notes that a field is wrong.
  void Reject(const std::string& aDetail);
  /// Whether every field was right and none was left unread.
  bool Finish(Error& aReason);

private:
  explicit JsonReader(const nlohmann::json& aObject);

  /// The field, or null if it is missing.
  const nlohmann::json* Field(const char* aName);

  nlohmann::json object_;
  std::set<std::string> read_;
  std::optional<std::string> problem_;
};

} // namespace greengage::api::detail

#endif // GREENGAGE_API_LIB_JSONREADER_H
