#include "Commands.h"
#include "FleetClient.h"

#include "greengage/state/Key.h"

#include <iostream>
#include <memory>
#include <string>

using namespace greengage;
using namespace greengage::ctl;
using nlohmann::json;

static constexpr std::size_t kSecretBytes = 24;
static constexpr std::size_t kSaltBytes = 16;

namespace {

struct KeyArguments
{
  FleetOptions fleet;
  std::string id;
  std::string role;
  std::string holder;
  std::string requestId;
};

/// A key as its holder and as the settings have it.
struct NewKey
{
  std::string text;
  std::string digest;
};

using Arguments = std::shared_ptr<KeyArguments>;

} // namespace

static NewKey
MakeKey(const std::string& aId)
{
  const std::string secret = state::RandomHex(kSecretBytes);
  const auto digest =
    state::KeyDigest::Compute(secret, state::RandomHex(kSaltBytes));
  return { aId + "." + secret, digest.ToString() };
}

static bool
CheckId(const std::string& aId)
{
  if (state::IsKeyId(aId))
    return true;
  Report({ ErrorKind::Malformed,
           "\"" + aId + "\" is not a key id of letters, digits or _ - :" },
         kExitUsage);
  return false;
}

static int
PrintNewKey(const KeyArguments& aArguments)
{
  if (!CheckId(aArguments.id))
    return kExitUsage;
  const NewKey key = MakeKey(aArguments.id);
  std::cout << "key: " << key.text << "\n"
            << "setting: key." << aArguments.id << " = " << key.digest << "\n";
  return kExitOk;
}

/// The secret is made here, so that only its digest travels and a resend
/// loses nothing.
static int
GrantKey(const KeyArguments& aArguments)
{
  if (!CheckId(aArguments.id))
    return kExitUsage;
  const NewKey key = MakeKey(aArguments.id);
  FleetClient client(aArguments.fleet);
  json answer;
  const int exitCode = SendChange(client,
                                  "/v1/keys",
                                  { { "id", aArguments.id },
                                    { "role", aArguments.role },
                                    { "holder", aArguments.holder },
                                    { "digest", key.digest } },
                                  {},
                                  answer);
  if (exitCode == kExitOk)
    std::cout << "key: " << key.text << "\n";
  return exitCode;
}

static int
WithdrawKey(const KeyArguments& aArguments)
{
  if (!CheckId(aArguments.id))
    return kExitUsage;
  FleetClient client(aArguments.fleet);
  json answer;
  return SendChange(client,
                    "/v1/keys/withdraw",
                    { { "id", aArguments.id } },
                    aArguments.requestId,
                    answer);
}

static int
ListKeys(const KeyArguments& aArguments)
{
  FleetClient client(aArguments.fleet);
  FleetCall call;
  call.target = "/v1/keys";
  int exitCode = kExitOk;
  const auto answer = Ask(client, call, exitCode);
  if (!answer)
    return exitCode;
  for (const json& key : (*answer)["keys"])
    std::cout << TextOf(key["id"]) << " " << TextOf(key["role"]) << " "
              << TextOf(key["holder"]) << "\n";
  for (const json& id : (*answer)["withdrawn"])
    std::cout << TextOf(id) << " withdrawn\n";
  return kExitOk;
}

static Command
AddGrant(CLI::App& aGroup, const Arguments& aArguments)
{
  CLI::App* app =
    aGroup.add_subcommand("grant", "make a key, grant it and print it once");
  AddFleetOptions(*app, aArguments->fleet);
  app->add_option("role", aArguments->role, "team, operator or upstream")
    ->required();
  app->add_option("holder", aArguments->holder, "name of the holder")
    ->required();
  app->add_option("id", aArguments->id, "public part of the key")->required();
  return { app, [aArguments] { return GrantKey(*aArguments); } };
}

static Command
AddWithdraw(CLI::App& aGroup, const Arguments& aArguments)
{
  CLI::App* app = aGroup.add_subcommand("withdraw", "end a key for good");
  AddFleetOptions(*app, aArguments->fleet);
  app->add_option("id", aArguments->id, "public part of the key")->required();
  app->add_option(
    "--request-id", aArguments->requestId, "to send a change once more");
  return { app, [aArguments] { return WithdrawKey(*aArguments); } };
}

Command
greengage::ctl::AddKeyCommand(CLI::App& aApp)
{
  auto arguments = std::make_shared<KeyArguments>();
  CLI::App* group =
    aApp.add_subcommand("keys", "make, grant and withdraw keys");
  CLI::App* make = group->add_subcommand(
    "new", "print a new key for its holder and its digest for the settings");
  make->add_option("id", arguments->id, "public part of the key")->required();
  CLI::App* list = group->add_subcommand("list", "show who holds which key");
  AddFleetOptions(*list, arguments->fleet);
  return GroupOf(group,
                 { { make, [arguments] { return PrintNewKey(*arguments); } },
                   AddGrant(*group, arguments),
                   AddWithdraw(*group, arguments),
                   { list, [arguments] { return ListKeys(*arguments); } } });
}
