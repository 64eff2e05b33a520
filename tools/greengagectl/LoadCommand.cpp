#include "Commands.h"

#include "greengage/load/Load.h"
#include "greengage/settings/Values.h"
#include "greengage/state/Key.h"

#include <iostream>
#include <memory>
#include <string>
#include <vector>

using namespace greengage;

namespace {

/// The command line as it was given.
struct LoadArguments
{
  std::vector<std::string> entryHosts;
  std::vector<std::string> teams;
  std::string pool;
  std::string priceClass = "standard";
  bool idempotent = false;
  double rate = 100;
  std::string duration = "5s";
  std::string deadline = "5s";
  std::string payload = "ms=5";
  std::string record;
  int sends = 1;
  bool direct = false;
};

} // namespace

static bool
ReadTeams(const LoadArguments& aArguments,
          load::LoadOptions& aOptions,
          Error& aReason)
{
  for (const std::string& text : aArguments.teams) {
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos) {
      Fail(aReason,
           ErrorKind::Malformed,
           "\"" + text + "\" is not name=id.secret");
      return false;
    }
    aOptions.teams.push_back(
      { .name = text.substr(0, equals), .key = text.substr(equals + 1) });
  }
  return true;
}

static bool
ReadPriceClass(const LoadArguments& aArguments,
               load::LoadOptions& aOptions,
               Error& aReason)
{
  for (const auto each :
       { PriceClass::Urgent, PriceClass::Standard, PriceClass::Patient }) {
    if (aArguments.priceClass != NameOf(each))
      continue;
    aOptions.priceClass = each;
    return true;
  }
  Fail(aReason,
       ErrorKind::Malformed,
       "\"" + aArguments.priceClass + "\" is not urgent, standard or patient");
  return false;
}

static std::optional<load::LoadOptions>
ReadOptions(const LoadArguments& aArguments, Error& aReason)
{
  static constexpr std::size_t kRunIdBytes = 4;
  load::LoadOptions options;
  for (const std::string& text : aArguments.entryHosts) {
    const auto endpoint = ParseEndpoint(text, aReason);
    if (!endpoint)
      return std::nullopt;
    options.entryHosts.push_back(*endpoint);
  }
  if (!ReadTeams(aArguments, options, aReason) ||
      !ReadPriceClass(aArguments, options, aReason))
    return std::nullopt;
  const auto span = settings::ParseDuration(aArguments.duration, aReason);
  const auto deadline = settings::ParseDuration(aArguments.deadline, aReason);
  if (!span || !deadline)
    return std::nullopt;
  options.span = *span;
  options.deadline = *deadline;
  options.pool = PoolId(aArguments.pool);
  options.idempotence = aArguments.idempotent ? Idempotence::Idempotent
                                              : Idempotence::NonIdempotent;
  options.rate = aArguments.rate;
  options.payload = aArguments.payload;
  options.direct = aArguments.direct;
  options.maxSends = aArguments.sends;
  options.recordPath = aArguments.record;
  options.runId = "load-" + state::RandomHex(kRunIdBytes);
  return options;
}

static int
Run(const LoadArguments& aArguments)
{
  Error reason;
  const auto options = ReadOptions(aArguments, reason);
  if (!options)
    return ctl::Report(reason, ctl::kExitUsage);
  const auto report = load::RunLoad(*options, reason);
  if (!report)
    return ctl::Report(reason, ctl::kExitUsage);
  std::cout << load::FormatReport(*report);
  for (const auto& [team, counts] : *report)
    if (counts.answered == 0 || counts.crossed > 0)
      return ctl::kExitFailed;
  return ctl::kExitOk;
}

ctl::Command
greengage::ctl::AddLoadCommand(CLI::App& aApp)
{
  auto arguments = std::make_shared<LoadArguments>();
  CLI::App* app = aApp.add_subcommand("load", "drive a running fleet");
  app->add_option("--entry-host", arguments->entryHosts, "callers' ports")
    ->required();
  app->add_option("--team", arguments->teams, "name=id.secret, repeatable")
    ->required();
  app->add_option("--pool", arguments->pool)->required();
  app->add_option("--price-class", arguments->priceClass);
  app->add_flag("--idempotent", arguments->idempotent);
  app->add_option("--rate", arguments->rate, "requests a second in all");
  app->add_option("--duration", arguments->duration, "such as 5s");
  app->add_option("--deadline", arguments->deadline, "such as 800ms");
  app->add_option("--payload", arguments->payload);
  app->add_flag("--direct",
                arguments->direct,
                "send straight to upstreams, for comparison");
  app->add_option(
    "--sends", arguments->sends, "times to send a request that was not run");
  app->add_option("--record", arguments->record, "file for the record");
  return { .app = app, .run = [arguments] { return Run(*arguments); } };
}
