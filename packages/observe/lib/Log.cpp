#include "greengage/observe/Log.h"

#include <easylogging++.h>

#include <algorithm>

INITIALIZE_EASYLOGGINGPP

using namespace greengage::observe;

static LogLevel gLowestLevel = LogLevel::Info;

static bool
IsPlain(char aCharacter)
{
  const auto byte = static_cast<unsigned char>(aCharacter);
  return byte > ' ' && byte != '"' && byte != '=' && byte != '\\' &&
         byte != 0x7F;
}

static std::string
Quote(const std::string& aValue)
{
  static constexpr char kHexDigits[] = "0123456789abcdef";
  std::string text = "\"";
  for (const char character : aValue) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte < ' ' || byte == 0x7F) {
      text += "\\x";
      text += kHexDigits[byte >> 4U];
      text += kHexDigits[byte & 0xFU];
      continue;
    }
    if (character == '"' || character == '\\')
      text += '\\';
    text += character;
  }
  return text + "\"";
}

std::string
greengage::observe::FormatLogLine(std::string_view aEvent,
                                  std::initializer_list<LogField> aFields)
{
  std::string line(aEvent);
  for (const LogField& field : aFields) {
    line += ' ';
    line += field.key;
    line += '=';
    const std::string& value = field.value;
    const bool isPlain =
      !value.empty() && std::all_of(value.begin(), value.end(), IsPlain);
    line += isPlain ? value : Quote(value);
  }
  return line;
}

void
greengage::observe::ConfigureLog(const LogOptions& aOptions)
{
  gLowestLevel = aOptions.level;
  el::Configurations configurations;
  configurations.setToDefault();
  configurations.setGlobally(el::ConfigurationType::Format,
                             "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  const bool toFile = !aOptions.path.empty();
  configurations.setGlobally(el::ConfigurationType::ToFile,
                             toFile ? "true" : "false");
  configurations.setGlobally(el::ConfigurationType::ToStandardOutput,
                             toFile ? "false" : "true");
  if (toFile)
    configurations.setGlobally(el::ConfigurationType::Filename, aOptions.path);
  el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
  el::Loggers::reconfigureLogger("default", configurations);
}

void
greengage::observe::Log(LogLevel aLevel,
                        std::string_view aEvent,
                        std::initializer_list<LogField> aFields)
{
  if (aLevel < gLowestLevel)
    return;
  const std::string line = FormatLogLine(aEvent, aFields);
  switch (aLevel) {
    case LogLevel::Debug:
      LOG(DEBUG) << line;
      break;
    case LogLevel::Info:
      LOG(INFO) << line;
      break;
    case LogLevel::Warning:
      LOG(WARNING) << line;
      break;
    case LogLevel::Error:
      LOG(ERROR) << line;
      break;
  }
}
