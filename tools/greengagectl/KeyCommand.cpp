#include "Commands.h"

#include "greengage/core/Utf8.h"
#include "greengage/state/Key.h"

#include <iostream>
#include <memory>
#include <string>

using namespace greengage;

static constexpr std::size_t kSecretBytes = 24;
static constexpr std::size_t kSaltBytes = 16;
static constexpr std::size_t kMaxKeyId = 64;

static int
MakeKey(const std::string& aId)
{
  Error reason;
  if (!IsValidIdentifier(aId, kMaxKeyId) ||
      aId.find('.') != std::string::npos) {
    Fail(reason,
         ErrorKind::Malformed,
         "\"" + aId + "\" is not a key id of letters, digits or _ - :");
    return ctl::Report(reason, ctl::kExitUsage);
  }
  const std::string secret = state::RandomHex(kSecretBytes);
  const auto digest =
    state::KeyDigest::Compute(secret, state::RandomHex(kSaltBytes));
  std::cout << "key: " << aId << "." << secret << "\n"
            << "setting: key." << aId << " = " << digest.ToString() << "\n";
  return ctl::kExitOk;
}

ctl::Command
greengage::ctl::AddKeyCommand(CLI::App& aApp)
{
  CLI::App* keys = aApp.add_subcommand("keys", "make keys");
  keys->require_subcommand(1);
  CLI::App* make = keys->add_subcommand(
    "new", "print a new key for its holder and its digest for the settings");
  auto id = std::make_shared<std::string>();
  make->add_option("id", *id, "public part of the key")->required();
  return { .app = keys, .run = [id] { return MakeKey(*id); } };
}
