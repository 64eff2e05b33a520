#include "Commands.h"
#include "FleetClient.h"

#include <iostream>
#include <memory>
#include <string>

using namespace greengage;
using namespace greengage::ctl;
using nlohmann::json;

/// Prints each object of a list as one line of "name=value".
static int
ShowList(const FleetOptions& aOptions, const std::string& aWhat)
{
  FleetClient client(aOptions);
  FleetCall call;
  call.target = "/v1/" + aWhat;
  int exitCode = kExitOk;
  const auto answer = Ask(client, call, exitCode);
  if (!answer)
    return exitCode;
  for (const json& item : (*answer)[aWhat]) {
    const char* separator = "";
    for (const auto& [name, value] : item.items()) {
      std::cout << separator << name << "=" << TextOf(value);
      separator = " ";
    }
    std::cout << "\n";
  }
  return kExitOk;
}

static Command
AddList(CLI::App& aApp, const std::string& aWhat)
{
  auto options = std::make_shared<FleetOptions>();
  CLI::App* group = aApp.add_subcommand(aWhat, "show " + aWhat);
  CLI::App* list =
    group->add_subcommand("list", "show what holds for each of them");
  AddFleetOptions(*list, *options);
  return GroupOf(group, { { list, [options, aWhat] {
                             return ShowList(*options, aWhat);
                           } } });
}

Command
greengage::ctl::AddTeamsCommand(CLI::App& aApp)
{
  return AddList(aApp, "teams");
}

Command
greengage::ctl::AddPoolsCommand(CLI::App& aApp)
{
  return AddList(aApp, "pools");
}
