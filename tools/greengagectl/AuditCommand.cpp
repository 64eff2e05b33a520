#include "Commands.h"
#include "FleetClient.h"

#include <cstdint>
#include <iostream>
#include <memory>
#include <optional>
#include <string>

using namespace greengage;
using namespace greengage::ctl;
using nlohmann::json;

namespace {

struct AuditArguments
{
  FleetOptions fleet;
  std::optional<std::uint64_t> from;
  std::optional<std::uint64_t> to;
  std::uint64_t limit = 100;
  std::string who;
  std::string branch;
};

} // namespace

static void
PrintEntry(const json& aEntry)
{
  std::cout << aEntry["sequence"] << " at_ms=" << aEntry["at_ms"]
            << " who=" << TextOf(aEntry["who"])
            << " from=" << TextOf(aEntry["from"])
            << " request=" << TextOf(aEntry["request_id"]) << " "
            << TextOf(aEntry["action"]) << " " << TextOf(aEntry["result"])
            << " version=" << aEntry["version"] << "\n";
  if (aEntry.contains("detail"))
    std::cout << "  why: " << TextOf(aEntry["detail"]) << "\n";
  PrintChanges(std::cout, aEntry["changes"]);
}

static int
ShowAudit(const AuditArguments& aArguments)
{
  FleetCall call;
  call.target = "/v1/audit?limit=" + std::to_string(aArguments.limit);
  if (aArguments.from)
    call.target += "&from=" + std::to_string(*aArguments.from);
  if (aArguments.to)
    call.target += "&to=" + std::to_string(*aArguments.to);
  if (!aArguments.who.empty())
    call.target += "&who=" + EscapeQuery(aArguments.who);
  if (!aArguments.branch.empty())
    call.target += "&branch=" + EscapeQuery(aArguments.branch);
  FleetClient client(aArguments.fleet);
  int exitCode = kExitOk;
  const auto answer = Ask(client, call, exitCode);
  if (!answer)
    return exitCode;
  for (const json& entry : (*answer)["entries"])
    PrintEntry(entry);
  return kExitOk;
}

static int
VerifyAudit(const FleetOptions& aOptions)
{
  FleetClient client(aOptions);
  FleetCall call;
  call.target = "/v1/audit/verify";
  int exitCode = kExitOk;
  const auto answer = Ask(client, call, exitCode);
  if (!answer)
    return exitCode;
  std::cout << (*answer)["entries"] << " entries from "
            << (*answer)["first_kept"] << ", head " << TextOf((*answer)["head"])
            << "\n";
  if ((*answer)["intact"].get<bool>()) {
    std::cout << "the chain holds\n";
    return kExitOk;
  }
  std::cerr << "greengagectl: the chain breaks at entry "
            << (*answer)["broken_at"] << ": " << TextOf((*answer)["detail"])
            << "\n";
  return kExitFailed;
}

Command
greengage::ctl::AddAuditCommand(CLI::App& aApp)
{
  auto arguments = std::make_shared<AuditArguments>();
  CLI::App* group = aApp.add_subcommand("audit", "read the audit trail");
  CLI::App* show = group->add_subcommand("show", "show entries, oldest first");
  AddFleetOptions(*show, arguments->fleet);
  show->add_option("--from", arguments->from, "first entry");
  show->add_option("--to", arguments->to, "last entry");
  show->add_option("--limit", arguments->limit, "the newest so many");
  show->add_option("--who", arguments->who, "of this operator");
  show->add_option("--branch", arguments->branch, "on this branch or below");
  CLI::App* verify = group->add_subcommand("verify", "check the hash chain");
  AddFleetOptions(*verify, arguments->fleet);
  return GroupOf(
    group,
    { { show, [arguments] { return ShowAudit(*arguments); } },
      { verify, [arguments] { return VerifyAudit(arguments->fleet); } } });
}
