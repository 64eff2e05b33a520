#include "greengage/state/SettingCatalogue.h"

#include "greengage/core/Utf8.h"
#include "greengage/settings/Values.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <numeric>

using namespace greengage;
using namespace greengage::state;

static constexpr std::size_t kMaxPath = 128;
static constexpr std::int64_t kMaxCount = 1000000;
static constexpr std::int64_t kMaxText = 256;
static constexpr std::int64_t kMaxPoolName = 64;
static constexpr std::int64_t kMinStaleness = 10 * 1000;
static constexpr std::int64_t kMaxStaleness = 24 * 60 * 60 * 1000;

const std::vector<SettingSpec>&
greengage::state::KnownSettings()
{
  using enum SettingKind;
  using enum SettingPlace;
  // In order of the names; the defaults are those of docs/SETTINGS.md.
  static const std::vector<SettingSpec> kSettings = {
    { "budget.pool", Pools, Integer, 0, kMaxCount, "hosts", "1" },
    { "budget.rack", Pools, Integer, 0, kMaxCount, "hosts", "" },
    { "budget.zone", Pools, Integer, 0, kMaxCount, "hosts", "" },
    { "description", Everywhere, Text, 0, kMaxText, "bytes", "" },
    { "keys.max_staleness",
      KeyHolders,
      Duration,
      kMinStaleness,
      kMaxStaleness,
      "time",
      "10min" },
    { "limit", Teams, Integer, 0, kMaxCount, "slots", "0" },
    { "price.patient", Pools, Decimal, 0, kMaxCount, "per slot hour", "1" },
    { "price.standard", Pools, Decimal, 0, kMaxCount, "per slot hour", "2" },
    { "price.urgent", Pools, Decimal, 0, kMaxCount, "per slot hour", "4" },
    { "queue.max", Teams, Integer, 1, kMaxCount, "requests", "1000" },
    { "share", Teams, Decimal, 0, kMaxCount, "", "1" },
    { "spare", Pools, Integer, 0, kMaxCount, "hosts", "0" },
    { "spare.pool", Pools, PoolName, 1, kMaxPoolName, "", "" },
    { "weight.buffer_cost", Pools, Decimal, 0, 1, "", "0.25" },
    { "weight.closeness_to_share", Pools, Decimal, 0, 1, "", "0.25" },
    { "weight.moves", Pools, Decimal, 0, 1, "", "0.25" },
    { "weight.roll_out_time", Pools, Decimal, 0, 1, "", "0.25" },
  };
  return kSettings;
}

const SettingSpec*
greengage::state::FindSetting(std::string_view aName)
{
  const auto& known = KnownSettings();
  const auto found =
    std::lower_bound(known.begin(),
                     known.end(),
                     aName,
                     [](const SettingSpec& aSpec, std::string_view aWanted) {
                       return aSpec.name < aWanted;
                     });
  return found != known.end() && found->name == aName ? &*found : nullptr;
}

/// The Levenshtein distance.
static std::size_t
DistanceOf(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{ 0 });
  for (const char letter : aLeft) {
    std::size_t diagonal = row[0]++;
    for (std::size_t right = 0; right < aRight.size(); ++right) {
      const std::size_t replaced = diagonal + (letter == aRight[right] ? 0 : 1);
      diagonal = row[right + 1];
      row[right + 1] =
        std::min({ replaced, row[right] + 1, row[right + 1] + 1 });
    }
  }
  return row.back();
}

template<typename Names>
static std::string
NearestOf(std::string_view aName, const Names& aNames)
{
  const std::string_view text = aName.substr(0, kMaxPath);
  std::string_view best = *aNames.begin();
  for (const std::string_view name : aNames)
    if (DistanceOf(text, name) < DistanceOf(text, best))
      best = name;
  return std::string(best);
}

std::string
greengage::state::NearestSetting(std::string_view aName)
{
  std::vector<std::string_view> names;
  for (const SettingSpec& spec : KnownSettings())
    names.push_back(spec.name);
  return NearestOf(aName, names);
}

static std::string_view
TopOf(std::string_view aBranch)
{
  return aBranch.substr(0, aBranch.find('/'));
}

static bool
IsPath(const BranchPath& aBranch)
{
  return IsValidIdentifier(aBranch, kMaxPath, true) && aBranch.front() != '/' &&
         aBranch.back() != '/' && aBranch.find("//") == BranchPath::npos;
}

bool
greengage::state::CheckBranch(const BranchPath& aBranch, Error& aReason)
{
  static constexpr std::array<std::string_view, 4> kTops = {
    kTeamsBranch, kPoolsBranch, kOperatorsBranch, kUpstreamsBranch
  };
  if (aBranch.empty())
    return true;
  if (!IsPath(aBranch)) {
    Fail(aReason,
         ErrorKind::InvalidSetting,
         "a branch path is names of letters, digits or . _ - : joined by /");
    return false;
  }
  const std::string_view top = TopOf(aBranch);
  if (std::find(kTops.begin(), kTops.end(), top) != kTops.end())
    return true;
  Fail(aReason,
       ErrorKind::InvalidSetting,
       "branch \"" + std::string(top) + "\" is not known; nearest is \"" +
         NearestOf(top, kTops) + "\"");
  return false;
}

static bool
HasEffect(SettingPlace aPlace, std::string_view aTop)
{
  switch (aPlace) {
    case SettingPlace::Teams:
      return aTop == kTeamsBranch;
    case SettingPlace::Pools:
      return aTop == kPoolsBranch;
    case SettingPlace::KeyHolders:
      return aTop != kPoolsBranch;
    case SettingPlace::Everywhere:
      break;
  }
  return true;
}

/// Control characters would break the lines of INI files and logs.
static bool
IsPlainText(std::string_view aText, std::size_t aMaxBytes)
{
  const bool hasControl =
    std::any_of(aText.begin(), aText.end(), [](char aByte) {
      return static_cast<unsigned char>(aByte) < ' ' || aByte == '\x7F';
    });
  const bool isTrimmed =
    aText.empty() || (aText.front() != ' ' && aText.back() != ' ');
  return aText.size() <= aMaxBytes && !hasControl && isTrimmed &&
         IsValidUtf8(aText);
}

static bool
CheckText(std::string_view aValue, std::int64_t aHigh, Error& aReason)
{
  if (IsPlainText(aValue, static_cast<std::size_t>(aHigh)))
    return true;
  Fail(aReason,
       ErrorKind::InvalidSetting,
       "value is not one line of UTF-8 of at most " + std::to_string(aHigh) +
         " bytes without spaces at its ends");
  return false;
}

static bool
CheckDuration(const SettingSpec& aSpec, std::string_view aValue, Error& aReason)
{
  const auto value = settings::ParseDuration(aValue, aReason);
  if (!value)
    return false;
  if (value->Millis() >= aSpec.low && value->Millis() <= aSpec.high)
    return true;
  Fail(aReason,
       ErrorKind::InvalidSetting,
       "time is not from " + std::to_string(aSpec.low) + "ms to " +
         std::to_string(aSpec.high) + "ms");
  return false;
}

static bool
CheckValue(const SettingSpec& aSpec, const std::string& aValue, Error& aReason)
{
  if (!CheckText(aValue, kMaxValueBytes, aReason))
    return false;
  switch (aSpec.kind) {
    case SettingKind::Integer:
      return settings::ParseInteger(aValue, { aSpec.low, aSpec.high }, aReason)
        .has_value();
    case SettingKind::Decimal:
      return settings::ParseDecimal(
               aValue, static_cast<double>(aSpec.high), aReason)
        .has_value();
    case SettingKind::Duration:
      return CheckDuration(aSpec, aValue, aReason);
    case SettingKind::Text:
    case SettingKind::PoolName:
      break;
  }
  return CheckText(aValue, aSpec.high, aReason);
}

bool
greengage::state::CheckSetting(const BranchPath& aBranch,
                               const std::string& aName,
                               const std::string& aValue,
                               Error& aReason)
{
  const SettingSpec* spec = FindSetting(aName);
  bool isRight = false;
  if (spec == nullptr)
    Fail(aReason,
         ErrorKind::InvalidSetting,
         "setting is not known; nearest is \"" + NearestSetting(aName) + "\"");
  else if (!aBranch.empty() && !HasEffect(spec->place, TopOf(aBranch)))
    Fail(aReason,
         ErrorKind::InvalidSetting,
         "setting has no effect on this branch");
  else
    isRight = CheckValue(*spec, aValue, aReason);
  if (!isRight)
    Locate(aReason, aBranch, aName);
  return isRight;
}

SettingsTree
greengage::state::WithoutKeys(const SettingsTree& aTree)
{
  SettingsTree tree;
  for (const auto& [branch, values] : aTree.All())
    for (const auto& [name, value] : values)
      if (!name.starts_with(kKeyPrefix))
        tree.Set(branch, name, value);
  return tree;
}

void
greengage::state::Locate(Error& aReason,
                         const BranchPath& aBranch,
                         std::string_view aName)
{
  aReason.detail =
    "[" + aBranch + "] " + std::string(aName) + ": " + aReason.detail;
}
