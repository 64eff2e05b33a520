/// \file
/// The operators' command line. Exit codes: 0 done, 1 the fleet refused or
/// could not be reached, 2 the command line is wrong.

#include "Commands.h"

#include <iostream>
#include <utility>
#include <vector>

using namespace greengage;

int
greengage::ctl::Report(const Error& aReason, int aExitCode)
{
  std::cerr << "greengagectl: " << Describe(aReason) << "\n";
  return aExitCode;
}

ctl::Command
greengage::ctl::GroupOf(CLI::App* aApp, std::vector<Command> aCommands)
{
  aApp->require_subcommand(1);
  const auto run = [commands = std::move(aCommands)] {
    for (const Command& command : commands)
      if (command.app->parsed())
        return command.run();
    return kExitUsage;
  };
  return { .app = aApp, .run = run };
}

int
main(int argc, char** argv)
{
  CLI::App app{ "greengagepick operators' command line" };
  app.require_subcommand(1);
  app.set_version_flag("--version", GREENGAGE_VERSION);
  app.footer("Exit codes: 0 done, 1 the fleet refused or could not be "
             "reached,\n2 the command line is wrong.");
  const std::vector<ctl::Command> commands = {
    ctl::AddAuditCommand(app),    ctl::AddKeyCommand(app),
    ctl::AddLoadCommand(app),     ctl::AddPoolsCommand(app),
    ctl::AddSettingsCommand(app), ctl::AddStatusCommand(app),
    ctl::AddTeamsCommand(app),
  };
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? ctl::kExitOk : ctl::kExitUsage;
  }
  for (const ctl::Command& command : commands)
    if (command.app->parsed())
      return command.run();
  return ctl::kExitUsage;
}
