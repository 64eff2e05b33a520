#include "greengage/settings/IniFile.h"

#include "greengage/core/Utf8.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <fstream>
#include <map>
#include <sstream>
#include <utility>

using namespace greengage;
using namespace greengage::settings;

namespace pt = boost::property_tree;

using LineMap = std::map<std::pair<std::string, std::string>, std::size_t>;

static std::string
Trim(const std::string& aText)
{
  const std::size_t first = aText.find_first_not_of(" \t\r");
  if (first == std::string::npos)
    return {};
  return aText.substr(first, aText.find_last_not_of(" \t\r") - first + 1);
}

/// The line of each key. The parser itself does not keep them.
static LineMap
LinesOf(const std::string& aText)
{
  LineMap lines;
  std::istringstream stream(aText);
  std::string raw;
  std::string section;
  for (std::size_t number = 1; std::getline(stream, raw); ++number) {
    const std::string line = Trim(raw);
    if (line.empty() || line.front() == ';' || line.front() == '#')
      continue;
    if (line.front() == '[' && line.back() == ']') {
      section = Trim(line.substr(1, line.size() - 2));
      continue;
    }
    const std::string key = Trim(line.substr(0, line.find('=')));
    lines.emplace(std::pair(section, key), number);
  }
  return lines;
}

static std::size_t
LineOf(const LineMap& aLines,
       const std::string& aSection,
       const std::string& aKey)
{
  const auto found = aLines.find({ aSection, aKey });
  return found == aLines.end() ? 0 : found->second;
}

std::optional<IniFile>
IniFile::Parse(const std::string& aText, std::string aName, Error& aReason)
{
  if (!IsValidUtf8(aText))
    return Fail(
      aReason, ErrorKind::InvalidSetting, aName + ": text is not UTF-8");
  pt::ptree tree;
  std::istringstream stream(aText);
  try {
    pt::read_ini(stream, tree);
  } catch (const pt::ini_parser_error& error) {
    return Fail(aReason,
                ErrorKind::InvalidSetting,
                aName + ":" + std::to_string(error.line()) + ": " +
                  error.message());
  }
  const LineMap lines = LinesOf(aText);
  IniFile file;
  file.name_ = std::move(aName);
  for (const auto& [name, node] : tree) {
    if (node.empty() && LineOf(lines, "", name) != 0) {
      file.entries_.push_back({ .section = "",
                                .key = name,
                                .value = node.data(),
                                .line = LineOf(lines, "", name) });
      continue;
    }
    for (const auto& [key, value] : node)
      file.entries_.push_back({ .section = name,
                                .key = key,
                                .value = value.data(),
                                .line = LineOf(lines, name, key) });
  }
  return file;
}

std::optional<IniFile>
IniFile::Load(const std::string& aPath, Error& aReason)
{
  const std::ifstream stream(aPath, std::ios::binary);
  if (!stream)
    return Fail(aReason,
                ErrorKind::InvalidSetting,
                "settings file \"" + aPath + "\" cannot be opened");
  std::ostringstream text;
  text << stream.rdbuf();
  return Parse(text.str(), aPath, aReason);
}

const IniEntry*
IniFile::Find(std::string_view aSection, std::string_view aKey) const
{
  for (const IniEntry& entry : entries_)
    if (entry.section == aSection && entry.key == aKey)
      return &entry;
  return nullptr;
}

std::string
IniFile::Where(const IniEntry& aEntry) const
{
  return name_ + ":" + std::to_string(aEntry.line) + ": [" + aEntry.section +
         "] " + aEntry.key;
}
