#include "greengage/observe/Log.h"

#include "greengage/core/Utf8.h"
#include "greengage/pipe/DutyLoad.h"
#include "greengage/pipe/Ring.h"

#include <easylogging++.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

INITIALIZE_EASYLOGGINGPP

using namespace greengage::observe;

static LogLevel gLowestLevel = LogLevel::Info;
static bool gIsToFile = false;
/// Held while a line is written.
static std::mutex gOutputMutex;

namespace {

/// A line on its way to the thread that writes.
struct QueuedLine
{
  LogLevel level = LogLevel::Info;
  std::string text;
};

/// Lines that may wait; a power of two. Some seconds' worth at 400 tasks a
/// second, about 0.5 MB when full.
constexpr std::size_t kQueuedLines = 2048;

struct LogQueue
{
  greengage::pipe::Ring<QueuedLine> lines{ kQueuedLines };
  std::thread writer;
};

} // namespace

static std::unique_ptr<LogQueue> gQueue;
static std::atomic<std::uint64_t> gWritten{ 0 };
static std::atomic<std::uint64_t> gDropped{ 0 };

static bool
IsPlain(char aCharacter)
{
  const auto byte = static_cast<unsigned char>(aCharacter);
  return byte > ' ' && byte != '"' && byte != '=' && byte != '\\' &&
         byte != 0x7F;
}

/// Escapes each byte from 0x80 if the value is not UTF-8.
static std::string
Quote(const std::string& aValue)
{
  static constexpr char kHexDigits[] = "0123456789abcdef";
  const bool isUtf8 = greengage::IsValidUtf8(aValue);
  std::string text = "\"";
  for (const char character : aValue) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte < ' ' || byte == 0x7F || (byte >= 0x80 && !isUtf8)) {
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
    const bool isPlain = !value.empty() &&
                         std::all_of(value.begin(), value.end(), IsPlain) &&
                         IsValidUtf8(value);
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
  gIsToFile = toFile;
  configurations.setGlobally(el::ConfigurationType::ToFile,
                             toFile ? "true" : "false");
  configurations.setGlobally(el::ConfigurationType::ToStandardOutput,
                             toFile ? "false" : "true");
  if (toFile)
    configurations.setGlobally(el::ConfigurationType::Filename, aOptions.path);
  el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
  el::Loggers::reconfigureLogger("default", configurations);
}

/// Where lines go; null if the file could not be opened.
static std::ostream*
Output()
{
  if (!gIsToFile)
    return &std::cout;
  return el::Loggers::getLogger("default")->typedConfigurations()->fileStream(
    el::Level::Info);
}

/// \returns false if the line is lost, for example because the disk is full.
static bool
Write(LogLevel aLevel, const std::string& aLine)
{
  const std::lock_guard lock(gOutputMutex);
  std::ostream* const output = Output();
  // A stream that has failed refuses all that comes later, too.
  if (output != nullptr && output->fail())
    output->clear();
  switch (aLevel) {
    case LogLevel::Debug:
      LOG(DEBUG) << aLine;
      break;
    case LogLevel::Info:
      LOG(INFO) << aLine;
      break;
    case LogLevel::Warning:
      LOG(WARNING) << aLine;
      break;
    case LogLevel::Error:
      LOG(ERROR) << aLine;
      break;
  }
  if (output == nullptr || output->fail())
    return false;
  ++gWritten;
  return true;
}

static constexpr std::uint64_t kLinesPerLoadSample = 100;

/// Writes lines until the queue is closed and empty.
static void
WriteQueued(LogQueue& aQueue)
{
  std::uint64_t reported = 0;
  QueuedLine line;
  greengage::pipe::DutyMeter meter;
  const greengage::pipe::DutyScope scope("log", meter);
  std::uint64_t sampled = 0;
  while (aQueue.lines.Pop(line) == greengage::pipe::PopStatus::Taken) {
    if (!Write(line.level, line.text))
      ++gDropped;
    if (gWritten.load() >= sampled + kLinesPerLoadSample) {
      sampled = gWritten.load();
      meter.Sample();
    }
    const std::uint64_t dropped = gDropped.load();
    if (dropped == reported)
      continue;
    const std::string report = FormatLogLine(
      "log-lines-dropped", { { "count", std::to_string(dropped - reported) } });
    if (Write(LogLevel::Warning, report))
      reported = dropped;
  }
}

LogDuty::LogDuty()
{
  gQueue = std::make_unique<LogQueue>();
  gQueue->writer = std::thread([] { WriteQueued(*gQueue); });
}

LogDuty::~LogDuty()
{
  gQueue->lines.Close();
  gQueue->writer.join();
  gQueue.reset();
}

LogCounts
LogDuty::Counts()
{
  return { .written = gWritten.load(), .dropped = gDropped.load() };
}

void
greengage::observe::Log(LogLevel aLevel,
                        std::string_view aEvent,
                        std::initializer_list<LogField> aFields)
{
  if (aLevel < gLowestLevel)
    return;
  std::string line = FormatLogLine(aEvent, aFields);
  if (!gQueue) {
    if (!Write(aLevel, line))
      ++gDropped;
    return;
  }
  if (!gQueue->lines.TryPush({ aLevel, std::move(line) }))
    ++gDropped;
}
