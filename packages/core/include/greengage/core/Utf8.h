/// \file
/// Validation of text from outside before it reaches a log, a file or a peer.

#ifndef GREENGAGE_CORE_UTF8_H
#define GREENGAGE_CORE_UTF8_H

#include <cstddef>
#include <string_view>

namespace greengage {

/// Whether \p aText is well-formed UTF-8 (RFC 3629: no overlong forms, no
/// surrogates, nothing above U+10FFFF).
bool
IsValidUtf8(std::string_view aText);

/// Whether \p aText can serve as an identifier: 1 to \p aMaxLength characters
/// of letters, digits, '.', '_', '-', ':' and, if \p aAllowSlash, '/'.
bool
IsValidIdentifier(std::string_view aText,
                  std::size_t aMaxLength,
                  bool aAllowSlash = false);

} // namespace greengage

#endif // GREENGAGE_CORE_UTF8_H
