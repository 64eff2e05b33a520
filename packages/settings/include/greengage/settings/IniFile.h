/// \file
/// INI text as a list of entries that remember their lines, so that a wrong
/// value can be reported with file, line, section and key.

#ifndef GREENGAGE_SETTINGS_INIFILE_H
#define GREENGAGE_SETTINGS_INIFILE_H

#include "greengage/core/Error.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengage::settings {

/// One "key = value" line.
struct IniEntry
{
  std::string section;
  std::string key;
  std::string value;
  /// Counted from 1.
  std::size_t line = 0;
};

/// The checked text of one INI file.
class IniFile
{
public:
  /// Parses \p aText; \p aName is the file's name in messages.
  static std::optional<IniFile> Parse(const std::string& aText,
                                      std::string aName,
                                      Error& aReason);
  /// Reads and parses the file at \p aPath.
  static std::optional<IniFile> Load(const std::string& aPath, Error& aReason);

  const std::vector<IniEntry>& Entries() const { return entries_; }
  const std::string& Name() const { return name_; }
  /// The entry of \p aSection and \p aKey, or null.
  const IniEntry* Find(std::string_view aSection, std::string_view aKey) const;
  /// "file:line: [section] key" for messages.
  std::string Where(const IniEntry& aEntry) const;

private:
  std::string name_;
  std::vector<IniEntry> entries_;
};

} // namespace greengage::settings

#endif // GREENGAGE_SETTINGS_INIFILE_H
