#include "greengage/state/Key.h"

#include "greengage/core/Utf8.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cassert>
#include <cstddef>
#include <utility>
#include <vector>

using namespace greengage;
using namespace greengage::state;

static constexpr std::size_t kDigestBytes = 32;
static constexpr std::size_t kMaxKeyId = 64;
static constexpr std::size_t kMaxSecret = 256;
static constexpr std::size_t kMinSalt = 8;

static std::string
ToHex(const unsigned char* aBytes, std::size_t aSize)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(2 * aSize);
  for (std::size_t index = 0; index < aSize; ++index) {
    text += kDigits[aBytes[index] >> 4U];
    text += kDigits[aBytes[index] & 0xFU];
  }
  return text;
}

static bool
IsHex(std::string_view aText)
{
  return aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::string
greengage::state::MacOf(std::string_view aKey, std::string_view aText)
{
  std::array<unsigned char, kDigestBytes> digest{};
  unsigned int size = kDigestBytes;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aText.data()),
       aText.size(),
       digest.data(),
       &size);
  return ToHex(digest.data(), size);
}

bool
greengage::state::ConstantTimeEqual(std::string_view aLeft,
                                    std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

KeyDigest
KeyDigest::Compute(std::string_view aSecret, std::string aSalt)
{
  KeyDigest result;
  result.digest_ = MacOf(aSalt, aSecret);
  result.salt_ = std::move(aSalt);
  return result;
}

std::optional<KeyDigest>
KeyDigest::Parse(std::string_view aText, Error& aReason)
{
  const std::size_t colon = aText.find(':');
  const std::string_view salt = aText.substr(0, colon);
  const std::string_view digest =
    colon == std::string_view::npos ? "" : aText.substr(colon + 1);
  if (salt.size() < kMinSalt || digest.size() != 2 * kDigestBytes ||
      !IsHex(salt) || !IsHex(digest))
    return Fail(aReason,
                ErrorKind::InvalidSetting,
                "key digest is not \"salt:digest\" in lower-case hex");
  KeyDigest result;
  result.salt_ = std::string(salt);
  result.digest_ = std::string(digest);
  return result;
}

std::string
KeyDigest::ToString() const
{
  return salt_ + ":" + digest_;
}

bool
KeyDigest::Matches(std::string_view aSecret) const
{
  return ConstantTimeEqual(MacOf(salt_, aSecret), digest_);
}

bool
greengage::state::IsKeyId(std::string_view aText)
{
  return IsValidIdentifier(aText, kMaxKeyId) &&
         aText.find('.') == std::string_view::npos;
}

std::optional<PresentedKey>
greengage::state::ParseAuthorization(std::string_view aHeader, Error& aReason)
{
  static constexpr std::string_view kScheme = "Bearer ";
  if (!aHeader.starts_with(kScheme))
    return Fail(aReason,
                ErrorKind::Unauthenticated,
                "authorization header is not \"Bearer id.secret\"");
  const std::string_view key = aHeader.substr(kScheme.size());
  const std::size_t dot = key.find('.');
  const std::string_view id = key.substr(0, dot);
  const std::string_view secret =
    dot == std::string_view::npos ? "" : key.substr(dot + 1);
  if (!IsValidIdentifier(id, kMaxKeyId) ||
      !IsValidIdentifier(secret, kMaxSecret))
    return Fail(aReason,
                ErrorKind::Unauthenticated,
                "authorization header is not \"Bearer id.secret\"");
  return PresentedKey{ .id = KeyId(std::string(id)),
                       .secret = std::string(secret) };
}

std::string
greengage::state::RandomHex(std::size_t aBytes)
{
  std::vector<unsigned char> bytes(aBytes);
  [[maybe_unused]] const int status =
    RAND_bytes(bytes.data(), static_cast<int>(aBytes));
  assert(status == 1 && "the random source failed");
  return ToHex(bytes.data(), aBytes);
}
