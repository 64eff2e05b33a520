#include "CanonicalText.h"

#include <openssl/evp.h>

#include <array>
#include <cassert>

using namespace greengage;
using namespace greengage::state;
using namespace greengage::state::detail;

CanonicalText&
CanonicalText::Add(std::string_view aField)
{
  text_.append(std::to_string(aField.size())).append(":").append(aField);
  return *this;
}

CanonicalText&
CanonicalText::Add(std::int64_t aNumber)
{
  return Add(std::string_view(std::to_string(aNumber)));
}

CanonicalText&
CanonicalText::Add(std::uint64_t aNumber)
{
  return Add(std::string_view(std::to_string(aNumber)));
}

CanonicalText&
CanonicalText::Add(bool aFlag)
{
  return Add(aFlag ? "yes" : "no");
}

CanonicalText&
CanonicalText::Add(const std::optional<std::string>& aField)
{
  Add(aField.has_value());
  return aField ? Add(std::string_view(*aField)) : *this;
}

CanonicalText&
CanonicalText::Add(const std::vector<ValueChange>& aChanges)
{
  Add(static_cast<std::uint64_t>(aChanges.size()));
  for (const ValueChange& change : aChanges)
    Add(std::string_view(change.branch))
      .Add(std::string_view(change.name))
      .Add(change.before)
      .Add(change.after);
  return *this;
}

std::string
CanonicalText::Sha256() const
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  [[maybe_unused]] const int status = EVP_Digest(
    text_.data(), text_.size(), digest.data(), &size, EVP_sha256(), nullptr);
  assert(status == 1 && "the digest could not be computed");
  std::string hex;
  for (unsigned int index = 0; index < size; ++index) {
    hex += kDigits[digest.at(index) >> 4U];
    hex += kDigits[digest.at(index) & 0xFU];
  }
  return hex;
}
