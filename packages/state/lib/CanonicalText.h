/// \file
/// An unambiguous text of typed fields, for digests.

#ifndef GREENGAGE_STATE_LIB_CANONICALTEXT_H
#define GREENGAGE_STATE_LIB_CANONICALTEXT_H

#include "greengage/state/SettingsTree.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengage::state::detail {

/// Collects fields, each behind its length, so that no two lists of fields
/// have the same text.
class CanonicalText
{
public:
  CanonicalText& Add(std::string_view aField);
  CanonicalText& Add(std::int64_t aNumber);
  CanonicalText& Add(std::uint64_t aNumber);
  CanonicalText& Add(bool aFlag);
  CanonicalText& Add(const std::optional<std::string>& aField);
  CanonicalText& Add(const std::vector<ValueChange>& aChanges);
  // A literal would otherwise turn into a bool.
  CanonicalText& Add(const char* aField)
  {
    return Add(std::string_view(aField));
  }

  /// The SHA-256 of the text, as lower-case hex.
  std::string Sha256() const;

private:
  std::string text_;
};

} // namespace greengage::state::detail

#endif // GREENGAGE_STATE_LIB_CANONICALTEXT_H
