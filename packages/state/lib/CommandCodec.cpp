#include "greengage/state/CommandCodec.h"

#include "CborValues.h"

#include <utility>

using namespace greengage;
using namespace greengage::state;
using detail::Cbor;

static Cbor
ToCborOne(const Bootstrap& aCommand)
{
  return { { "tree", detail::ToCbor(aCommand.tree) } };
}

static Cbor
ToCborOne(const ChangeSettings& aCommand)
{
  Cbor list = Cbor::array();
  for (const SettingChange& change : aCommand.changes)
    list.push_back(Cbor::array(
      { change.branch, change.name, detail::ToCbor(change.value) }));
  return { { "based_on", aCommand.basedOn.Value() },
           { "changes", std::move(list) } };
}

static Cbor
ToCborOne(const ImportSettings& aCommand)
{
  return { { "based_on", aCommand.basedOn.Value() },
           { "tree", detail::ToCbor(aCommand.tree) } };
}

static Cbor
ToCborOne(const GrantKey& aCommand)
{
  return { { "role", static_cast<std::uint64_t>(aCommand.holder.role) },
           { "holder", aCommand.holder.name },
           { "id", aCommand.id.Value() },
           { "digest", aCommand.digest.ToString() },
           { "made_by_host", aCommand.isMadeByHost } };
}

static Cbor
ToCborOne(const WithdrawKey& aCommand)
{
  return { { "id", aCommand.id.Value() } };
}

std::string
greengage::state::EncodeCommand(const Command& aCommand)
{
  const Cbor body = std::visit(
    [](const auto& aBody) { return ToCborOne(aBody); }, aCommand.body);
  return detail::BytesOf({ { "origin", detail::ToCbor(aCommand.origin) },
                           { "command", std::string(NameOf(aCommand.body)) },
                           { "body", body } });
}

static std::optional<CommandBody>
ChangeSettingsFrom(const Cbor& aObject)
{
  ChangeSettings command;
  command.basedOn = Version(aObject.at("based_on").get<std::uint64_t>());
  for (const Cbor& item : aObject.at("changes"))
    command.changes.push_back({ item.at(0).get<std::string>(),
                                item.at(1).get<std::string>(),
                                detail::TextFrom(item.at(2)) });
  return command;
}

static std::optional<CommandBody>
GrantKeyFrom(const Cbor& aObject, Error& aReason)
{
  GrantKey command;
  const auto role = aObject.at("role").get<std::uint64_t>();
  if (role > static_cast<std::uint64_t>(Role::Upstream))
    return Fail(aReason, ErrorKind::Malformed, "role is not known");
  command.holder = { static_cast<Role>(role),
                     aObject.at("holder").get<std::string>() };
  command.id = KeyId(aObject.at("id").get<std::string>());
  command.isMadeByHost = aObject.at("made_by_host").get<bool>();
  const auto digest =
    KeyDigest::Parse(aObject.at("digest").get<std::string>(), aReason);
  if (!digest)
    return std::nullopt;
  command.digest = *digest;
  return command;
}

static std::optional<CommandBody>
BodyFrom(const std::string& aName, const Cbor& aObject, Error& aReason)
{
  if (aName == NameOf(Bootstrap{}))
    return Bootstrap{ detail::TreeFrom(aObject.at("tree")) };
  if (aName == NameOf(ChangeSettings{}))
    return ChangeSettingsFrom(aObject);
  if (aName == NameOf(ImportSettings{}))
    return ImportSettings{ Version(aObject.at("based_on").get<std::uint64_t>()),
                           detail::TreeFrom(aObject.at("tree")) };
  if (aName == NameOf(GrantKey{}))
    return GrantKeyFrom(aObject, aReason);
  if (aName == NameOf(WithdrawKey{}))
    return WithdrawKey{ KeyId(aObject.at("id").get<std::string>()) };
  return Fail(aReason, ErrorKind::Unsupported, "command is not known");
}

std::optional<Command>
greengage::state::DecodeCommand(std::string_view aBytes, Error& aReason)
{
  const auto read = [&](const Cbor& aObject) -> std::optional<Command> {
    auto body = BodyFrom(
      aObject.at("command").get<std::string>(), aObject.at("body"), aReason);
    if (!body)
      return std::nullopt;
    return Command{ detail::OriginFrom(aObject.at("origin")),
                    std::move(*body) };
  };
  auto command = detail::ReadBytes(aBytes, "command", aReason, read);
  return command ? std::move(*command) : std::nullopt;
}

std::string
greengage::state::EncodeResult(const CommandResult& aResult)
{
  return detail::BytesOf(detail::ToCbor(aResult));
}

std::optional<CommandResult>
greengage::state::DecodeResult(std::string_view aBytes, Error& aReason)
{
  return detail::ReadBytes(aBytes, "result", aReason, detail::ResultFrom);
}
