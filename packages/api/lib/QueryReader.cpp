#include "QueryReader.h"

#include "greengage/core/Utf8.h"
#include "greengage/settings/Values.h"

#include <charconv>
#include <utility>

using namespace greengage;
using namespace greengage::api::detail;

static constexpr std::size_t kMaxShownName = 64;

/// The text behind %XX; nothing if it is malformed or not UTF-8.
static std::optional<std::string>
Unescape(std::string_view aText)
{
  static constexpr int kHexBase = 16;
  std::string text;
  for (std::size_t index = 0; index < aText.size(); ++index) {
    if (aText[index] != '%') {
      text += aText[index];
      continue;
    }
    const std::string_view digits = aText.substr(index + 1, 2);
    unsigned value = 0;
    const char* end = digits.data() + digits.size();
    const auto result = std::from_chars(digits.data(), end, value, kHexBase);
    if (digits.size() != 2 || result.ec != std::errc() || result.ptr != end)
      return std::nullopt;
    text += static_cast<char>(value);
    index += 2;
  }
  if (!IsValidUtf8(text))
    return std::nullopt;
  return text;
}

QueryReader::QueryReader(std::string_view aTarget)
{
  const std::size_t question = aTarget.find('?');
  if (question == std::string_view::npos)
    return;
  std::string_view rest = aTarget.substr(question + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    AddField(rest.substr(0, end));
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
  }
}

void
QueryReader::AddField(std::string_view aField)
{
  const std::size_t equals = aField.find('=');
  const auto name = Unescape(aField.substr(0, equals));
  const auto value =
    Unescape(equals == std::string_view::npos ? "" : aField.substr(equals + 1));
  if (!name || !value)
    Reject("query is not percent-encoded UTF-8");
  else if (!fields_.emplace(*name, *value).second)
    Reject("query has field \"" + name->substr(0, kMaxShownName) + "\" twice");
}

void
QueryReader::Reject(const std::string& aDetail)
{
  if (!problem_)
    problem_ = aDetail;
}

std::string
QueryReader::Text(const char* aName, std::size_t aMaxLength)
{
  read_.insert(aName);
  const auto found = fields_.find(aName);
  if (found == fields_.end())
    return {};
  if (found->second.size() <= aMaxLength)
    return found->second;
  Reject("query field \"" + std::string(aName) + "\" is longer than " +
         std::to_string(aMaxLength) + " bytes");
  return {};
}

std::string
QueryReader::Required(const char* aName, std::size_t aMaxLength)
{
  std::string text = Text(aName, aMaxLength);
  if (text.empty())
    Reject("query field \"" + std::string(aName) + "\" is missing");
  return text;
}

std::int64_t
QueryReader::Integer(const char* aName,
                     std::int64_t aLow,
                     std::int64_t aHigh,
                     std::int64_t aDefault)
{
  static constexpr std::size_t kMaxDigits = 20;
  const std::string text = Text(aName, kMaxDigits);
  if (text.empty())
    return aDefault;
  Error reason;
  const auto value = settings::ParseInteger(text, { aLow, aHigh }, reason);
  if (!value)
    Reject("query field \"" + std::string(aName) + "\": " + reason.detail);
  return value.value_or(aDefault);
}

bool
QueryReader::Finish(Error& aReason)
{
  if (!problem_)
    for (const auto& [name, value] : fields_)
      if (!read_.contains(name))
        Reject("query field \"" + name.substr(0, kMaxShownName) +
               "\" is not known");
  if (!problem_)
    return true;
  Fail(aReason, ErrorKind::Malformed, *problem_);
  return false;
}
