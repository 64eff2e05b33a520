/// \file
/// Structured logs: one line an event, with its fields as key=value pairs, so
/// that a request, team or host can be followed through all processes.

#ifndef GREENGAGE_OBSERVE_LOG_H
#define GREENGAGE_OBSERVE_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace greengage::observe {

enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

/// One key and value of a log line.
struct LogField
{
  std::string_view key;
  std::string value;
};

/// How the process writes its log.
struct LogOptions
{
  /// The file to append to; standard error if empty.
  std::string path;
  LogLevel level = LogLevel::Info;
};

/// Sets the log up. Call once, before other threads start.
void
ConfigureLog(const LogOptions& aOptions);

/// Counts of lines since the start.
struct LogCounts
{
  std::uint64_t written = 0;
  /// Lines that found no room or came too fast.
  std::uint64_t dropped = 0;
};

/// Hands lines to a thread of their own, which writes them. A caller never
/// waits: a line that finds no room is dropped and counted, and the count is
/// logged once there is room. Until the object ends.
class LogDuty
{
public:
  LogDuty();
  LogDuty(const LogDuty&) = delete;
  LogDuty& operator=(const LogDuty&) = delete;
  /// Writes what is left.
  ~LogDuty();

  static LogCounts Counts();
};

/// Writes the line "time level event key=value ...". Values with spaces,
/// quotes or control characters are quoted and escaped.
void
Log(LogLevel aLevel,
    std::string_view aEvent,
    std::initializer_list<LogField> aFields = {});

/// The line's text without time and level.
std::string
FormatLogLine(std::string_view aEvent, std::initializer_list<LogField> aFields);

} // namespace greengage::observe

#endif // GREENGAGE_OBSERVE_LOG_H
