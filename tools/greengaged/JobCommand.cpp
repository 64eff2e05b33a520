#include "JobCommand.h"

#include "StartDaemon.h"

#include "greengage/daemon/JobDaemon.h"
#include "greengage/observe/Log.h"
#include "greengage/pipe/StopSignals.h"
#include "greengage/platform/PlatformCodec.h"
#include "greengage/settings/IniFile.h"

#include <filesystem>
#include <optional>

using namespace greengage;
using namespace greengage::tools;

/// How often the settings file is looked at.
static constexpr Duration kFileInterval = Duration::Seconds(1);

static std::optional<daemon::JobSettings>
Load(const std::string& aPath, Error& aReason)
{
  const auto file = settings::IniFile::Load(aPath, aReason);
  if (!file)
    return std::nullopt;
  return daemon::ReadJobSettings(*file, aReason);
}

static std::filesystem::file_time_type
ChangedAt(const std::string& aPath)
{
  std::error_code missing;
  return std::filesystem::last_write_time(aPath, missing);
}

/// Serves until a signal to stop comes. \p aReadAt is the time of the file that
/// the daemon was started with.
static void
Serve(daemon::JobDaemon& aDaemon,
      const pipe::StopSignals& aSignals,
      const std::string& aPath,
      std::filesystem::file_time_type aReadAt)
{
  auto changedAt = aReadAt;
  for (;;) {
    const pipe::SignalKind signal = aSignals.WaitFor(kFileInterval);
    if (signal == pipe::SignalKind::Stop)
      return;
    const auto latest = ChangedAt(aPath);
    if (signal == pipe::SignalKind::None && latest == changedAt)
      continue;
    changedAt = latest;
    Error reason;
    if (const auto settings = Load(aPath, reason))
      aDaemon.Reload(*settings);
    else
      observe::Log(observe::LogLevel::Error,
                   "settings-refused",
                   { { "reason", Describe(reason) } });
  }
}

JobExit
greengage::tools::RunJobs(const std::string& aPath,
                          bool aCheckOnly,
                          Error& aReason)
{
  const auto readAt = ChangedAt(aPath);
  auto settings = Load(aPath, aReason);
  if (!settings)
    return JobExit::InvalidSettings;
  if (aCheckOnly)
    return JobExit::Stopped;
  const pipe::StopSignals signals;
  observe::ConfigureLog(settings->log);
  const observe::LogDuty log;
  const platform::PlatformCallCodec calls;
  const platform::PlatformWorkerCodec workers;
  const platform::PlatformConfigurationReader configurations;
  const platform::PlatformHostCodec hosts(
    settings->hostProvider.value_or(Endpoint()));
  const platform::PlatformAdviceCodec advice(
    settings->adviser.value_or(Endpoint()));
  daemon::JobDaemon daemon(std::move(*settings),
                           { .calls = calls,
                             .workers = workers,
                             .hosts = hosts,
                             .advice = advice,
                             .configurations = configurations });
  const StartResult start = StartDaemon(daemon, signals, aReason);
  if (start != StartResult::Started)
    return start == StartResult::Stopped ? JobExit::Stopped
                                         : JobExit::Unavailable;
  Serve(daemon, signals, aPath, readAt);
  daemon.ShutDown();
  return JobExit::Stopped;
}
