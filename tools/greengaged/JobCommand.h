/// \file
/// The job path as a program: settings, signals and the front end.

#ifndef GREENGAGE_TOOLS_GREENGAGED_JOBCOMMAND_H
#define GREENGAGE_TOOLS_GREENGAGED_JOBCOMMAND_H

#include "greengage/core/Error.h"

#include <string>

namespace greengage::tools {

/// How the program ended, as its exit code.
enum class JobExit : int
{
  Stopped = 0,
  Unavailable = 1,
  InvalidSettings = 2,
};

/// Runs a host of the job path until a signal stops it. SIGHUP, or a change of
/// the file at \p aPath, has the settings read again.
JobExit
RunJobs(const std::string& aPath, bool aCheckOnly, Error& aReason);

} // namespace greengage::tools

#endif // GREENGAGE_TOOLS_GREENGAGED_JOBCOMMAND_H
