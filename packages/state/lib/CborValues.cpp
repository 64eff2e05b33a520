#include "CborValues.h"

#include <utility>

using namespace greengage;
using namespace greengage::state;
using detail::Cbor;

std::string
greengage::state::detail::BytesOf(const Cbor& aObject)
{
  std::string bytes;
  Cbor::to_cbor(aObject, nlohmann::detail::output_adapter<char>(bytes));
  return bytes;
}

Cbor
greengage::state::detail::ToCbor(const std::optional<std::string>& aText)
{
  return aText ? Cbor(*aText) : Cbor(nullptr);
}

std::optional<std::string>
greengage::state::detail::TextFrom(const Cbor& aValue)
{
  if (aValue.is_null())
    return std::nullopt;
  return aValue.get<std::string>();
}

Cbor
greengage::state::detail::ToCbor(const Origin& aOrigin)
{
  return { { "who", aOrigin.who.Value() },
           { "change", aOrigin.change.Value() },
           { "from", aOrigin.remoteAddress },
           { "at", aOrigin.at.Millis() } };
}

Origin
greengage::state::detail::OriginFrom(const Cbor& aObject)
{
  return { .who = OperatorId(aObject.at("who").get<std::string>()),
           .change = ChangeId(aObject.at("change").get<std::string>()),
           .remoteAddress = aObject.at("from").get<std::string>(),
           .at = Time(aObject.at("at").get<std::int64_t>()) };
}

Cbor
greengage::state::detail::ToCbor(const std::vector<ValueChange>& aChanges)
{
  Cbor list = Cbor::array();
  for (const ValueChange& change : aChanges)
    list.push_back(Cbor::array({ change.branch,
                                 change.name,
                                 ToCbor(change.before),
                                 ToCbor(change.after) }));
  return list;
}

std::vector<ValueChange>
greengage::state::detail::ChangesFrom(const Cbor& aList)
{
  std::vector<ValueChange> changes;
  for (const Cbor& item : aList)
    changes.push_back({ item.at(0).get<std::string>(),
                        item.at(1).get<std::string>(),
                        TextFrom(item.at(2)),
                        TextFrom(item.at(3)) });
  return changes;
}

Cbor
greengage::state::detail::ToCbor(const SettingsTree& aTree)
{
  Cbor object = Cbor::object();
  for (const auto& [branch, values] : aTree.All())
    object[branch] = values;
  return object;
}

SettingsTree
greengage::state::detail::TreeFrom(const Cbor& aObject)
{
  SettingsTree tree;
  for (const auto& [branch, values] : aObject.items())
    for (const auto& [name, value] : values.items())
      tree.Set(branch, name, value.get<std::string>());
  return tree;
}

ErrorKind
greengage::state::detail::ErrorKindFrom(const Cbor& aValue)
{
  const auto number = aValue.get<std::uint64_t>();
  if (number > static_cast<std::uint64_t>(ErrorKind::Internal))
    return ErrorKind::Internal;
  return static_cast<ErrorKind>(number);
}

static Cbor
ToCborOne(const Accepted& aAccepted)
{
  return { { "version", aAccepted.version.Value() },
           { "note", aAccepted.note } };
}

static Cbor
ToCborOne(const Refused& aRefused)
{
  Cbor object = { { "kind", static_cast<std::uint64_t>(aRefused.error.kind) },
                  { "detail", aRefused.error.detail },
                  { "current", aRefused.current.Value() } };
  if (aRefused.winner)
    object["winner"] = { { "version", aRefused.winner->version.Value() },
                         { "origin", detail::ToCbor(aRefused.winner->origin) },
                         { "changes",
                           detail::ToCbor(aRefused.winner->changes) } };
  return object;
}

Cbor
greengage::state::detail::ToCbor(const CommandResult& aResult)
{
  const bool isAccepted = std::holds_alternative<Accepted>(aResult.end);
  Cbor end =
    std::visit([](const auto& aEnd) { return ToCborOne(aEnd); }, aResult.end);
  return { { isAccepted ? "accepted" : "refused", std::move(end) },
           { "resend", aResult.isResend } };
}

static Refused
RefusedFrom(const Cbor& aObject)
{
  Refused refused;
  refused.error = { detail::ErrorKindFrom(aObject.at("kind")),
                    aObject.at("detail").get<std::string>() };
  refused.current = Version(aObject.at("current").get<std::uint64_t>());
  const auto winner = aObject.find("winner");
  if (winner != aObject.end())
    refused.winner =
      Winner{ Version(winner->at("version").get<std::uint64_t>()),
              detail::OriginFrom(winner->at("origin")),
              detail::ChangesFrom(winner->at("changes")) };
  return refused;
}

CommandResult
greengage::state::detail::ResultFrom(const Cbor& aObject)
{
  CommandResult result;
  result.isResend = aObject.at("resend").get<bool>();
  const auto accepted = aObject.find("accepted");
  if (accepted == aObject.end())
    result.end = RefusedFrom(aObject.at("refused"));
  else
    result.end =
      Accepted{ Version(accepted->at("version").get<std::uint64_t>()),
                accepted->at("note").get<std::string>() };
  return result;
}
