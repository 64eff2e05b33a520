/// \file
/// The entry-host daemon. Exit codes: 0 stopped after all work was finished,
/// 1 a port or file could not be had, 2 the command line or a settings file is
/// wrong, 3 stopped while work was still in progress.

#include "JobCommand.h"
#include "StartDaemon.h"

#include "greengage/core/Error.h"
#include "greengage/daemon/Daemon.h"
#include "greengage/daemon/DaemonSettings.h"
#include "greengage/observe/Log.h"
#include "greengage/pipe/StopSignals.h"
#include "greengage/settings/IniFile.h"
#include "greengage/state/FleetView.h"
#include "greengage/state/SettingsTree.h"

#include <CLI/CLI.hpp>

#include <iostream>
#include <optional>
#include <string>

using namespace greengage;

static constexpr int kExitUnavailable = 1;
static constexpr int kExitUsage = 2;
static constexpr int kExitWorkInProgress = 3;

static std::optional<daemon::DaemonSettings>
LoadSettings(const std::string& aPath, Error& aReason)
{
  const auto file = settings::IniFile::Load(aPath, aReason);
  if (!file)
    return std::nullopt;
  return daemon::ReadDaemonSettings(*file, aReason);
}

static std::optional<state::SettingsTree>
LoadFleet(const std::string& aPath, Error& aReason)
{
  const auto file = settings::IniFile::Load(aPath, aReason);
  if (!file)
    return std::nullopt;
  auto tree = state::SettingsTree::FromIni(*file);
  if (!state::BuildFleetView(tree, Version(1), aReason))
    return std::nullopt;
  return tree;
}

static int
Report(const Error& aReason, int aExitCode)
{
  std::cerr << "greengaged: " << Describe(aReason) << "\n";
  return aExitCode;
}

int
main(int argc, char** argv)
{
  CLI::App app{ "greengagepick entry-host daemon" };
  std::string path;
  bool checkOnly = false;
  app.add_option("--config", path, "settings file (INI)")
    ->envname("GREENGAGEPICK_SETTINGS")
    ->required();
  app.add_flag("--check-config", checkOnly, "check the settings and exit");
  const CLI::App* jobs =
    app.add_subcommand("jobs", "serve jobs on the users' platform");
  app.set_version_flag("--version", GREENGAGE_VERSION);
  app.footer("Exit codes: 0 stopped with all work finished, 1 port or file "
             "not available,\n2 wrong command line or settings, 3 stopped "
             "while work was in progress.");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitUsage;
  }

  Error reason;
  if (jobs->parsed()) {
    const auto exit = tools::RunJobs(path, checkOnly, reason);
    if (exit != tools::JobExit::Stopped)
      return Report(reason, static_cast<int>(exit));
    if (checkOnly)
      std::cout << path << ": settings are valid\n";
    return 0;
  }
  auto settings = LoadSettings(path, reason);
  if (!settings)
    return Report(reason, kExitUsage);
  auto fleet = LoadFleet(settings->fleetFile, reason);
  if (!fleet)
    return Report(reason, kExitUsage);
  if (checkOnly) {
    std::cout << path << ": settings are valid\n";
    return 0;
  }

  const pipe::StopSignals signals;
  observe::ConfigureLog(settings->log);
  daemon::Daemon daemon(std::move(*settings), std::move(*fleet));
  const auto start = tools::StartDaemon(daemon, signals, reason);
  if (start == tools::StartResult::Stopped)
    return 0;
  if (start == tools::StartResult::Failed)
    return Report(reason, kExitUnavailable);
  signals.Wait();
  return daemon.ShutDown() ? 0 : kExitWorkInProgress;
}
