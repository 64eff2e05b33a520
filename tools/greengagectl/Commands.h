/// \file
/// The subcommands of the operators' command line. Each adds itself to the
/// application and returns its exit code from a function kept in a Command.

#ifndef GREENGAGE_TOOLS_GREENGAGECTL_COMMANDS_H
#define GREENGAGE_TOOLS_GREENGAGECTL_COMMANDS_H

#include "greengage/core/Error.h"

#include <CLI/CLI.hpp>

#include <functional>
#include <vector>

namespace greengage::ctl {

inline constexpr int kExitOk = 0;
/// The fleet refused or could not be reached.
inline constexpr int kExitFailed = 1;
/// The command line is wrong.
inline constexpr int kExitUsage = 2;

/// A subcommand and what it does.
struct Command
{
  CLI::App* app = nullptr;
  std::function<int()> run;
};

/// Prints the reason to standard error and returns \p aExitCode.
int
Report(const Error& aReason, int aExitCode);

/// A subcommand that only holds others, one of which must be given.
Command
GroupOf(CLI::App* aApp, std::vector<Command> aCommands);

/// "settings": shows and changes the settings tree.
Command
AddSettingsCommand(CLI::App& aApp);

/// "teams list": shows what holds for each team.
Command
AddTeamsCommand(CLI::App& aApp);

/// "pools list": shows what holds for each pool.
Command
AddPoolsCommand(CLI::App& aApp);

/// "audit": reads and checks the audit trail.
Command
AddAuditCommand(CLI::App& aApp);

/// "keys": makes, grants, withdraws and lists keys.
Command
AddKeyCommand(CLI::App& aApp);

/// "load": drives a running fleet.
Command
AddLoadCommand(CLI::App& aApp);

/// "status": shows the state of entry hosts.
Command
AddStatusCommand(CLI::App& aApp);

} // namespace greengage::ctl

#endif // GREENGAGE_TOOLS_GREENGAGECTL_COMMANDS_H
