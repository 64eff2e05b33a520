#include "JsonReader.h"

#include "greengage/core/JsonNesting.h"
#include "greengage/core/Utf8.h"

using namespace greengage;
using namespace greengage::api::detail;

JsonReader::JsonReader(const std::string& aText)
  : object_(
      IsNestedDeeper(aText)
        ? nlohmann::json(nlohmann::json::value_t::discarded)
        : nlohmann::json::parse(aText, nullptr, /*allow_exceptions=*/false))
{
  if (object_.is_discarded())
    Reject("body is not JSON in UTF-8 of limited depth");
  else if (!object_.is_object())
    Reject("body is not a JSON object");
}

JsonReader::JsonReader(const nlohmann::json& aObject)
  : object_(aObject)
{
  if (!object_.is_object())
    Reject("not a JSON object");
}

void
JsonReader::Reject(const std::string& aDetail)
{
  if (!problem_)
    problem_ = aDetail;
}

const nlohmann::json*
JsonReader::Field(const char* aName)
{
  if (problem_)
    return nullptr;
  read_.insert(aName);
  const auto found = object_.find(aName);
  return found == object_.end() ? nullptr : &*found;
}

std::string
JsonReader::Identifier(const char* aName,
                       std::size_t aMaxLength,
                       bool aAllowSlash)
{
  const nlohmann::json* field = Field(aName);
  if (field != nullptr && field->is_string()) {
    const auto& text = field->get_ref<const std::string&>();
    if (IsValidIdentifier(text, aMaxLength, aAllowSlash))
      return text;
  }
  Reject("field \"" + std::string(aName) + "\" is not an identifier of 1 to " +
         std::to_string(aMaxLength) + " letters, digits or . _ - :");
  return {};
}

std::string
JsonReader::Text(const char* aName,
                 std::size_t aMaxLength,
                 const std::string& aDefault)
{
  const nlohmann::json* field = Field(aName);
  if (field == nullptr)
    return aDefault;
  if (field->is_string() &&
      field->get_ref<const std::string&>().size() <= aMaxLength)
    return field->get<std::string>();
  Reject("field \"" + std::string(aName) + "\" is not a text of at most " +
         std::to_string(aMaxLength) + " bytes");
  return {};
}

std::string
JsonReader::RequiredText(const char* aName, std::size_t aMaxLength)
{
  if (Field(aName) == nullptr)
    Reject("field \"" + std::string(aName) + "\" is missing");
  return Text(aName, aMaxLength);
}

std::optional<std::string>
JsonReader::TextOrNull(const char* aName, std::size_t aMaxLength)
{
  const nlohmann::json* field = Field(aName);
  if (field != nullptr && field->is_null())
    return std::nullopt;
  return RequiredText(aName, aMaxLength);
}

std::vector<JsonReader>
JsonReader::Objects(const char* aName, std::size_t aMaxCount)
{
  std::vector<JsonReader> objects;
  const nlohmann::json* field = Field(aName);
  if (field == nullptr || !field->is_array() || field->size() > aMaxCount) {
    Reject("field \"" + std::string(aName) + "\" is not a list of at most " +
           std::to_string(aMaxCount) + " objects");
    return objects;
  }
  for (const nlohmann::json& item : *field)
    objects.push_back(JsonReader(item));
  return objects;
}

void
JsonReader::Include(const char* aName, JsonReader& aObject)
{
  Error reason;
  if (!aObject.Finish(reason))
    Reject("field \"" + std::string(aName) + "\": " + reason.detail);
}

std::int64_t
JsonReader::Integer(const char* aName,
                    std::int64_t aLow,
                    std::int64_t aHigh,
                    std::optional<std::int64_t> aDefault)
{
  const nlohmann::json* field = Field(aName);
  if (field == nullptr && aDefault)
    return *aDefault;
  if (field != nullptr && field->is_number_integer()) {
    const bool isHuge =
      field->is_number_unsigned() &&
      field->get<std::uint64_t>() > static_cast<std::uint64_t>(aHigh);
    const auto value = isHuge ? aLow - 1 : field->get<std::int64_t>();
    if (value >= aLow && value <= aHigh)
      return value;
  }
  Reject("field \"" + std::string(aName) + "\" is not a whole number from " +
         std::to_string(aLow) + " to " + std::to_string(aHigh));
  return aLow;
}

bool
JsonReader::Boolean(const char* aName, bool aDefault)
{
  const nlohmann::json* field = Field(aName);
  if (field == nullptr)
    return aDefault;
  if (field->is_boolean())
    return field->get<bool>();
  Reject("field \"" + std::string(aName) + "\" is not true or false");
  return aDefault;
}

bool
JsonReader::Finish(Error& aReason)
{
  if (!problem_)
    for (const auto& [name, value] : object_.items())
      if (!read_.contains(name))
        Reject("field \"" + name.substr(0, 64) + "\" is not known");
  if (!problem_)
    return true;
  Fail(aReason, ErrorKind::Malformed, *problem_);
  return false;
}
