/// \file
/// The subcommands of the operators' command line. Each adds itself to the
/// application and returns its exit code from a function kept in a Command.

#ifndef GREENGAGE_TOOLS_GREENGAGECTL_COMMANDS_H
#define GREENGAGE_TOOLS_GREENGAGECTL_COMMANDS_H

#include "greengage/core/Error.h"

#include <CLI/CLI.hpp>

#include <functional>

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

/// "keys new": makes a key and its digest.
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
