#include "Commands.h"
#include "FleetClient.h"

#include <iostream>
#include <memory>
#include <string>

using namespace greengage;

static constexpr unsigned kOk = 200;

static bool
ShowOne(const std::string& aEntryHost, ctl::FleetClient& aClient)
{
  Error reason;
  const auto answer =
    aClient.CallOne(aEntryHost,
                    { .target = "/v1/status", .body = {}, .requestId = {} },
                    reason);
  if (!answer) {
    ctl::Report(reason, ctl::kExitFailed);
    return false;
  }
  std::cout << answer->body;
  return answer->status == kOk;
}

static int
ShowStatus(const ctl::FleetOptions& aOptions)
{
  ctl::FleetClient client(aOptions);
  bool isWhole = true;
  for (const std::string& entryHost : aOptions.entryHosts)
    isWhole = ShowOne(entryHost, client) && isWhole;
  return isWhole ? ctl::kExitOk : ctl::kExitFailed;
}

ctl::Command
greengage::ctl::AddStatusCommand(CLI::App& aApp)
{
  auto options = std::make_shared<FleetOptions>();
  CLI::App* app = aApp.add_subcommand("status", "show entry hosts");
  AddFleetOptions(*app, *options);
  return { .app = app, .run = [options] { return ShowStatus(*options); } };
}
