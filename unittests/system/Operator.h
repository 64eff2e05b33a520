/// \file
/// An operator of a test's fleet, who works with greengagectl.

#ifndef GREENGAGE_UNITTESTS_SYSTEM_OPERATOR_H
#define GREENGAGE_UNITTESTS_SYSTEM_OPERATOR_H

#include "Fleet.h"

#include "greengage/core/Endpoint.h"

#include <chrono>
#include <cstddef>
#include <fstream>
#include <sstream>
#include <string>

namespace greengage::system_tests {

/// What a run of the command line said.
struct CommandResult
{
  int code = -1;
  std::string text;
};

/// Runs greengagectl as the operator of a fleet.
class Operator
{
public:
  /// The operator asks the given host; one that is not there is asked first.
  explicit Operator(const Fleet& aFleet, std::size_t aHost = 0)
    : fleet_(aFleet)
    , access_(" --entry-host 127.0.0.1:1 " +
              ToString(aFleet.Ports(aHost).operators) + " --key " +
              aFleet.Key("operator"))
  {
  }

  std::string OutputOf(const std::string& aName) const
  {
    return (fleet_.Folder() / (aName + ".out")).string();
  }

  /// Starts a command; the first entry host that it asks is not there.
  Process Start(const std::string& aArguments, const std::string& aName) const
  {
    return Process({ "/bin/sh",
                     "-c",
                     std::string(GREENGAGECTL) + " " + aArguments + access_ +
                       " > " + OutputOf(aName) + " 2>&1" });
  }

  CommandResult Finish(Process& aProcess, const std::string& aName) const
  {
    CommandResult result;
    result.code = aProcess.Wait(std::chrono::seconds(15)).value_or(-1);
    std::ifstream file(OutputOf(aName));
    std::stringstream text;
    text << file.rdbuf();
    result.text = text.str();
    return result;
  }

  CommandResult Run(const std::string& aArguments) const
  {
    Process process = Start(aArguments, "ctl");
    return Finish(process, "ctl");
  }

private:
  const Fleet& fleet_;
  std::string access_;
};

} // namespace greengage::system_tests

#endif // GREENGAGE_UNITTESTS_SYSTEM_OPERATOR_H
