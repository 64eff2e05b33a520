/// \file
/// Keys of teams, operators and upstreams. Only salted digests are kept; a
/// secret is seen once, in the request that carries it.

#ifndef GREENGAGE_STATE_KEY_H
#define GREENGAGE_STATE_KEY_H

#include "greengage/core/Error.h"
#include "greengage/core/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengage::state {

/// What the holder of a key may do.
enum class Role : std::uint8_t
{
  Team,
  Operator,
  Upstream,
};

/// Who holds a key.
struct Principal
{
  Role role = Role::Team;
  /// The team's path, or the operator's or upstream group's name.
  std::string name;

  friend bool operator==(const Principal&, const Principal&) = default;
};

/// A salted digest: "salt:digest" in lower-case hex.
class KeyDigest
{
public:
  /// HMAC-SHA256 of \p aSecret under \p aSalt.
  static KeyDigest Compute(std::string_view aSecret, std::string aSalt);
  static std::optional<KeyDigest> Parse(std::string_view aText, Error& aReason);
  std::string ToString() const;
  /// Compares in constant time.
  bool Matches(std::string_view aSecret) const;

  friend bool operator==(const KeyDigest&, const KeyDigest&) = default;

private:
  std::string salt_;
  std::string digest_;
};

/// The text that a holder sends: "id.secret".
struct PresentedKey
{
  KeyId id;
  std::string secret;
};

/// Whether \p aText can be the id of a key: an identifier without a dot.
bool
IsKeyId(std::string_view aText);

/// Reads the value of an Authorization header, "Bearer id.secret".
std::optional<PresentedKey>
ParseAuthorization(std::string_view aHeader, Error& aReason);

/// HMAC-SHA256 of \p aText under \p aKey, as lower-case hex.
std::string
MacOf(std::string_view aKey, std::string_view aText);

/// Whether two texts are equal, in a time that depends on their lengths only.
bool
ConstantTimeEqual(std::string_view aLeft, std::string_view aRight);

/// A new secret or salt of \p aBytes random bytes, as lower-case hex.
std::string
RandomHex(std::size_t aBytes);

} // namespace greengage::state

#endif // GREENGAGE_STATE_KEY_H
