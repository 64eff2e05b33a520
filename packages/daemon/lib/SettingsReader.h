/// \file
/// Reads typed values out of a settings file and keeps the first reason why one
/// can't be had.

#ifndef GREENGAGE_DAEMON_LIB_SETTINGSREADER_H
#define GREENGAGE_DAEMON_LIB_SETTINGSREADER_H

#include "greengage/core/Endpoint.h"
#include "greengage/core/Error.h"
#include "greengage/core/Units.h"
#include "greengage/core/Utf8.h"
#include "greengage/settings/IniFile.h"
#include "greengage/settings/Values.h"

#include <cstddef>
#include <set>
#include <string>
#include <utility>

namespace greengage::daemon::detail {

/// Characters of a name in the settings.
inline constexpr std::size_t kMaxSettingName = 64;

/// Reads keys until one is wrong and remembers which were asked for.
class SettingsReader
{
public:
  SettingsReader(const settings::IniFile& aFile, Error& aReason)
    : file_(aFile)
    , reason_(aReason)
  {
  }

  bool HasFailed() const { return failed_; }

  /// The entry, or null; null for a required one is a failure.
  const settings::IniEntry* Entry(const char* aSection,
                                  const char* aKey,
                                  bool aRequired)
  {
    asked_.emplace(aSection, aKey);
    const settings::IniEntry* entry = file_.Find(aSection, aKey);
    if (entry == nullptr && aRequired)
      Fail("[" + std::string(aSection) + "] " + aKey + " is missing");
    return failed_ ? nullptr : entry;
  }

  std::string Identifier(const char* aSection, const char* aKey)
  {
    const settings::IniEntry* entry = Entry(aSection, aKey, true);
    if (entry == nullptr)
      return {};
    if (!IsValidIdentifier(entry->value, kMaxSettingName))
      FailAt(*entry, "\"" + entry->value + "\" is not an identifier");
    return entry->value;
  }

  Endpoint ReadEndpoint(const char* aSection, const char* aKey)
  {
    const settings::IniEntry* entry = Entry(aSection, aKey, true);
    return entry == nullptr ? Endpoint() : EndpointOf(*entry, entry->value);
  }

  Endpoint EndpointOf(const settings::IniEntry& aEntry,
                      const std::string& aText)
  {
    Error reason;
    const auto endpoint = ParseEndpoint(aText, reason);
    if (!endpoint)
      FailAt(aEntry, reason.detail);
    return endpoint.value_or(Endpoint());
  }

  void ReadDuration(const char* aSection, const char* aKey, Duration& aValue)
  {
    const settings::IniEntry* entry = Entry(aSection, aKey, false);
    if (entry == nullptr)
      return;
    Error reason;
    const auto value = settings::ParseDuration(entry->value, reason);
    if (!value)
      FailAt(*entry, reason.detail);
    aValue = value.value_or(aValue);
  }

  template<typename Number>
  void ReadInteger(const char* aSection,
                   const char* aKey,
                   settings::IntegerRange aRange,
                   Number& aValue)
  {
    const settings::IniEntry* entry = Entry(aSection, aKey, false);
    if (entry == nullptr)
      return;
    Error reason;
    const auto value = settings::ParseInteger(entry->value, aRange, reason);
    if (value)
      aValue = static_cast<Number>(*value);
    else
      FailAt(*entry, reason.detail);
  }

  void ReadBoolean(const char* aSection, const char* aKey, bool& aValue)
  {
    const settings::IniEntry* entry = Entry(aSection, aKey, false);
    if (entry == nullptr)
      return;
    Error reason;
    const auto value = settings::ParseBoolean(entry->value, reason);
    if (!value)
      FailAt(*entry, reason.detail);
    aValue = value.value_or(aValue);
  }

  void FailAt(const settings::IniEntry& aEntry, const std::string& aDetail)
  {
    Fail(file_.Where(aEntry) + ": " + aDetail);
  }

  void Fail(const std::string& aDetail)
  {
    if (failed_)
      return;
    failed_ = true;
    const bool isLocated = aDetail.starts_with(file_.Name());
    greengage::Fail(reason_,
                    ErrorKind::InvalidSetting,
                    isLocated ? aDetail : file_.Name() + ": " + aDetail);
  }

  /// Fails on the first key that nobody asked for, but for sections whose keys
  /// are free.
  void RejectUnknown(const std::set<std::string>& aOpenSections = {})
  {
    for (const settings::IniEntry& entry : file_.Entries())
      if (!aOpenSections.contains(entry.section) &&
          !asked_.contains({ entry.section, entry.key }))
        FailAt(entry, "setting is not known");
  }

private:
  const settings::IniFile& file_;
  Error& reason_;
  std::set<std::pair<std::string, std::string>> asked_;
  bool failed_ = false;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_SETTINGSREADER_H
