/// \file
/// Typed fields out of the query of a request's target, "/path?name=value&...".

#ifndef GREENGAGE_API_LIB_QUERYREADER_H
#define GREENGAGE_API_LIB_QUERYREADER_H

#include "greengage/core/Error.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace greengage::api::detail {

/// Reads fields until one is wrong; after that the first reason is kept.
class QueryReader
{
public:
  explicit QueryReader(std::string_view aTarget);

  /// A text, or an empty one if the field is missing.
  std::string Text(const char* aName, std::size_t aMaxLength);
  /// A text that is not empty.
  std::string Required(const char* aName, std::size_t aMaxLength);
  std::int64_t Integer(const char* aName,
                       std::int64_t aLow,
                       std::int64_t aHigh,
                       std::int64_t aDefault);

  /// Whether every field was right and none was left unread.
  bool Finish(Error& aReason);

private:
  void Reject(const std::string& aDetail);
  void AddField(std::string_view aField);

  std::map<std::string, std::string> fields_;
  std::set<std::string> read_;
  std::optional<std::string> problem_;
};

} // namespace greengage::api::detail

#endif // GREENGAGE_API_LIB_QUERYREADER_H
