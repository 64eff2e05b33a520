#include "Commands.h"
#include "FleetClient.h"

#include <cstdint>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

using namespace greengage;
using namespace greengage::ctl;
using nlohmann::json;

namespace {

struct SettingsArguments
{
  FleetOptions fleet;
  std::string branch;
  std::vector<std::string> values;
  std::vector<std::string> unset;
  std::string name;
  std::string file;
  std::string requestId;
  std::optional<std::uint64_t> basedOn;
};

using Arguments = std::shared_ptr<SettingsArguments>;

} // namespace

/// The root's path is empty; on the command line it is "/".
static std::string
BranchOf(const SettingsArguments& aArguments)
{
  return aArguments.branch == "/" ? "" : aArguments.branch;
}

static FleetCall
Get(std::string aTarget)
{
  FleetCall call;
  call.target = std::move(aTarget);
  return call;
}

static bool
IsAtOrBelow(const std::string& aBranch, const std::string& aTop)
{
  return aTop.empty() || aBranch == aTop || aBranch.starts_with(aTop + "/");
}

static int
ShowSettings(const SettingsArguments& aArguments)
{
  FleetClient client(aArguments.fleet);
  int exitCode = kExitOk;
  const auto answer = Ask(client, Get("/v1/settings"), exitCode);
  if (!answer)
    return exitCode;
  std::cout << "version " << (*answer)["version"] << "\n";
  for (const auto& [branch, values] : (*answer)["branches"].items())
    if (IsAtOrBelow(branch, BranchOf(aArguments)))
      for (const auto& [name, value] : values.items())
        std::cout << "[" << branch << "] " << name << " = " << TextOf(value)
                  << "\n";
  return kExitOk;
}

/// The version that a change is based on: the one given, or the current one.
static std::optional<std::uint64_t>
BaseOf(const SettingsArguments& aArguments,
       FleetClient& aClient,
       int& aExitCode)
{
  if (aArguments.basedOn)
    return aArguments.basedOn;
  const auto answer = Ask(aClient, Get("/v1/settings"), aExitCode);
  if (!answer)
    return std::nullopt;
  return (*answer)["version"].get<std::uint64_t>();
}

static int
SendBased(const SettingsArguments& aArguments,
          const std::string& aTarget,
          json aBody)
{
  // A resend must be based on what the first one was.
  if (!aArguments.requestId.empty() && !aArguments.basedOn) {
    const Error reason{ ErrorKind::Malformed, "--request-id needs --based-on" };
    return Report(reason, kExitUsage);
  }
  FleetClient client(aArguments.fleet);
  int exitCode = kExitOk;
  const auto base = BaseOf(aArguments, client, exitCode);
  if (!base)
    return exitCode;
  aBody["based_on"] = *base;
  json answer;
  exitCode =
    SendChange(client, aTarget, std::move(aBody), aArguments.requestId, answer);
  if (exitCode != kExitOk)
    std::cerr << "the change was based on version " << *base << "\n";
  return exitCode;
}

static int
ChangeSettings(const SettingsArguments& aArguments)
{
  json changes = json::array();
  const std::string branch = BranchOf(aArguments);
  for (const std::string& text : aArguments.values) {
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos)
      return Report({ ErrorKind::Malformed, "\"" + text + "\" has no \"=\"" },
                    kExitUsage);
    changes.push_back({ { "branch", branch },
                        { "name", text.substr(0, equals) },
                        { "value", text.substr(equals + 1) } });
  }
  for (const std::string& name : aArguments.unset)
    changes.push_back(
      { { "branch", branch }, { "name", name }, { "value", nullptr } });
  return SendBased(
    aArguments, "/v1/settings", { { "changes", std::move(changes) } });
}

static int
ExplainOne(const SettingsArguments& aArguments)
{
  FleetClient client(aArguments.fleet);
  int exitCode = kExitOk;
  const auto answer =
    Ask(client,
        Get("/v1/settings/explain?branch=" + EscapeQuery(BranchOf(aArguments)) +
            "&name=" + EscapeQuery(aArguments.name)),
        exitCode);
  if (!answer)
    return exitCode;
  const json& setOn = (*answer)["set_on"];
  const std::string source =
    setOn.is_null() ? "by default" : "set on [" + TextOf(setOn) + "]";
  std::cout << aArguments.name << " = " << TextOf((*answer)["value"]) << " ("
            << source << ")\n";
  return kExitOk;
}

static std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream stream(aPath, std::ios::binary);
  std::ostringstream text;
  text << stream.rdbuf();
  if (stream)
    return text.str();
  Report({ ErrorKind::NotFound, aPath + " can't be read" }, kExitUsage);
  return std::nullopt;
}

static int
ShowDifference(const SettingsArguments& aArguments)
{
  const auto text = ReadFile(aArguments.file);
  if (!text)
    return kExitUsage;
  FleetClient client(aArguments.fleet);
  FleetCall call;
  call.method = "POST";
  call.target = "/v1/settings/diff";
  call.body = json{ { "ini", *text } }.dump(
    -1, ' ', false, json::error_handler_t::replace);
  int exitCode = kExitOk;
  const auto answer = Ask(client, call, exitCode);
  if (!answer)
    return exitCode;
  std::cout << "version " << (*answer)["version"] << "\n";
  PrintChanges(std::cout, (*answer)["changes"]);
  return kExitOk;
}

static int
ImportFile(const SettingsArguments& aArguments)
{
  const auto text = ReadFile(aArguments.file);
  if (!text)
    return kExitUsage;
  return SendBased(aArguments, "/v1/settings/import", { { "ini", *text } });
}

static int
ExportFile(const SettingsArguments& aArguments)
{
  FleetClient client(aArguments.fleet);
  int exitCode = kExitOk;
  const auto answer = Ask(client, Get("/v1/settings/export"), exitCode);
  if (!answer)
    return exitCode;
  std::cout << "; version " << (*answer)["version"] << "\n"
            << TextOf((*answer)["ini"]);
  return kExitOk;
}

static CLI::App*
AddOne(CLI::App& aGroup,
       const Arguments& aArguments,
       const char* aName,
       const char* aHelp)
{
  CLI::App* app = aGroup.add_subcommand(aName, aHelp);
  AddFleetOptions(*app, aArguments->fleet);
  return app;
}

static void
AddChangeOptions(CLI::App& aApp, const Arguments& aArguments)
{
  aApp.add_option("--based-on",
                  aArguments->basedOn,
                  "version that the change was decided on; else the current");
  aApp.add_option(
    "--request-id", aArguments->requestId, "to send a change once more");
}

static Command
AddSet(CLI::App& aGroup, const Arguments& aArguments)
{
  CLI::App* app =
    AddOne(aGroup, aArguments, "set", "set values on a branch, all or none");
  app->add_option("branch", aArguments->branch, "/ is the root")->required();
  app->add_option("values", aArguments->values, "name=value")->required();
  app->add_option("--unset", aArguments->unset, "unset this one as well");
  AddChangeOptions(*app, aArguments);
  return { app, [aArguments] { return ChangeSettings(*aArguments); } };
}

static Command
AddUnset(CLI::App& aGroup, const Arguments& aArguments)
{
  CLI::App* app = AddOne(
    aGroup, aArguments, "unset", "let a branch inherit values, all or none");
  app->add_option("branch", aArguments->branch, "/ is the root")->required();
  app->add_option("names", aArguments->unset)->required();
  AddChangeOptions(*app, aArguments);
  return { app, [aArguments] { return ChangeSettings(*aArguments); } };
}

static Command
AddExplain(CLI::App& aGroup, const Arguments& aArguments)
{
  CLI::App* app = AddOne(
    aGroup, aArguments, "explain", "show a value in force and who sets it");
  app->add_option("branch", aArguments->branch, "/ is the root")->required();
  app->add_option("name", aArguments->name)->required();
  return { app, [aArguments] { return ExplainOne(*aArguments); } };
}

Command
greengage::ctl::AddSettingsCommand(CLI::App& aApp)
{
  auto arguments = std::make_shared<SettingsArguments>();
  CLI::App* group = aApp.add_subcommand("settings", "show and change settings");
  CLI::App* get = AddOne(*group, arguments, "get", "show what branches set");
  get->add_option("branch", arguments->branch, "show this one and those below");
  CLI::App* diff = AddOne(
    *group, arguments, "diff", "show what an import of a file would change");
  diff->add_option("file", arguments->file, "INI")->required();
  CLI::App* import =
    AddOne(*group, arguments, "import", "make the settings those of a file");
  import->add_option("file", arguments->file, "INI")->required();
  AddChangeOptions(*import, arguments);
  CLI::App* print =
    AddOne(*group, arguments, "export", "print the settings as INI");
  return GroupOf(group,
                 { { get, [arguments] { return ShowSettings(*arguments); } },
                   AddSet(*group, arguments),
                   AddUnset(*group, arguments),
                   AddExplain(*group, arguments),
                   { diff, [arguments] { return ShowDifference(*arguments); } },
                   { import, [arguments] { return ImportFile(*arguments); } },
                   { print, [arguments] { return ExportFile(*arguments); } } });
}
