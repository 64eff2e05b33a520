/// \file
/// The depth of JSON from outside, which is checked before it is parsed: values
/// are copied, written and decoded recursively.

#ifndef GREENGAGE_CORE_JSONNESTING_H
#define GREENGAGE_CORE_JSONNESTING_H

#include <cstddef>
#include <string_view>

namespace greengage {

/// Far beyond that of any message.
inline constexpr std::size_t kMaxJsonNesting = 64;

/// Whether arrays and objects in \p aText are nested more than \p aMaxDepth
/// deep. The text need not be valid JSON.
bool
IsNestedDeeper(std::string_view aText, std::size_t aMaxDepth = kMaxJsonNesting);

} // namespace greengage

#endif // GREENGAGE_CORE_JSONNESTING_H
