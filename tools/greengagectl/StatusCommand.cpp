#include "Commands.h"

#include "greengage/core/Endpoint.h"
#include "greengage/http/Client.h"
#include "greengage/pipe/IoDuty.h"
#include "greengage/pipe/Ring.h"

#include <iostream>
#include <memory>
#include <string>
#include <vector>

using namespace greengage;

namespace {

struct StatusArguments
{
  std::vector<std::string> entryHosts;
  std::string key;
};

/// Keeps results for a thread that waits for them.
class ResultRing final : public pipe::Pipe<http::ClientResult>
{
public:
  bool TryPush(http::ClientResult&& aResult) override
  {
    return ring_.TryPush(std::move(aResult));
  }
  bool Push(http::ClientResult&& aResult) override
  {
    return ring_.Push(std::move(aResult));
  }
  http::ClientResult Pop()
  {
    http::ClientResult result;
    ring_.Pop(result);
    return result;
  }

private:
  pipe::Ring<http::ClientResult> ring_{ 16 };
};

} // namespace

static bool
ShowOne(const std::string& aEntryHost,
        const std::string& aKey,
        http::Client& aClient,
        ResultRing& aResults)
{
  Error reason;
  const auto endpoint = ParseEndpoint(aEntryHost, reason);
  if (!endpoint) {
    ctl::Report(reason, ctl::kExitUsage);
    return false;
  }
  http::ClientCall call;
  call.endpoint = *endpoint;
  call.method = "GET";
  call.target = "/v1/status";
  call.authorization = "Bearer " + aKey;
  call.timeout = Duration::Seconds(2);
  aClient.Calls().Push(std::move(call));
  const http::ClientResult result = aResults.Pop();
  if (result.progress != http::CallProgress::Responded) {
    Fail(reason, ErrorKind::Unreachable, aEntryHost + ": " + result.reason);
    ctl::Report(reason, ctl::kExitFailed);
    return false;
  }
  std::cout << result.body;
  return result.status == 200;
}

static int
ShowStatus(const StatusArguments& aArguments)
{
  pipe::IoDuty duty("status");
  ResultRing results;
  http::Client client(duty, {}, results);
  duty.Start();
  bool isWhole = true;
  for (const std::string& entryHost : aArguments.entryHosts)
    isWhole = ShowOne(entryHost, aArguments.key, client, results) && isWhole;
  duty.Stop();
  return isWhole ? ctl::kExitOk : ctl::kExitFailed;
}

ctl::Command
greengage::ctl::AddStatusCommand(CLI::App& aApp)
{
  auto arguments = std::make_shared<StatusArguments>();
  CLI::App* app = aApp.add_subcommand("status", "show entry hosts");
  app
    ->add_option(
      "--entry-host", arguments->entryHosts, "operators' ports, repeatable")
    ->required();
  app->add_option("--key", arguments->key, "operator's key, id.secret")
    ->required();
  return { .app = app, .run = [arguments] { return ShowStatus(*arguments); } };
}
