#include "greengage/state/Command.h"

#include "CanonicalText.h"

#include <cstdint>

using namespace greengage;
using namespace greengage::state;
using detail::CanonicalText;

static std::string_view
NameOfOne(const Bootstrap& /*aCommand*/)
{
  return "bootstrap";
}

static std::string_view
NameOfOne(const ChangeSettings& /*aCommand*/)
{
  return "change-settings";
}

static std::string_view
NameOfOne(const ImportSettings& /*aCommand*/)
{
  return "import-settings";
}

static std::string_view
NameOfOne(const GrantKey& /*aCommand*/)
{
  return "grant-key";
}

static std::string_view
NameOfOne(const WithdrawKey& /*aCommand*/)
{
  return "withdraw-key";
}

std::string_view
greengage::state::NameOf(const CommandBody& aBody)
{
  return std::visit([](const auto& aAny) { return NameOfOne(aAny); }, aBody);
}

static void
AddFields(CanonicalText& aText, const Bootstrap& aCommand)
{
  aText.Add(Difference(SettingsTree(), aCommand.tree));
}

static void
AddFields(CanonicalText& aText, const ChangeSettings& aCommand)
{
  aText.Add(aCommand.basedOn.Value());
  for (const SettingChange& change : aCommand.changes)
    aText.Add(std::string_view(change.branch))
      .Add(std::string_view(change.name))
      .Add(change.value);
}

static void
AddFields(CanonicalText& aText, const ImportSettings& aCommand)
{
  aText.Add(aCommand.basedOn.Value())
    .Add(Difference(SettingsTree(), aCommand.tree));
}

static void
AddFields(CanonicalText& aText, const GrantKey& aCommand)
{
  aText.Add(static_cast<std::uint64_t>(aCommand.holder.role))
    .Add(std::string_view(aCommand.holder.name))
    .Add(std::string_view(aCommand.id.Value()))
    .Add(aCommand.isMadeByHost);
  if (!aCommand.isMadeByHost)
    aText.Add(std::string_view(aCommand.digest.ToString()));
}

static void
AddFields(CanonicalText& aText, const WithdrawKey& aCommand)
{
  aText.Add(std::string_view(aCommand.id.Value()));
}

std::string
greengage::state::FingerprintOf(const CommandBody& aBody)
{
  CanonicalText text;
  text.Add(NameOf(aBody));
  std::visit([&](const auto& aAny) { AddFields(text, aAny); }, aBody);
  return text.Sha256();
}
