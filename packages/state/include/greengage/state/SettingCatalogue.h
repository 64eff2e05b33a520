/// \file
/// Every setting of the tree with its place, range, unit and default. A value
/// is checked against this list before it can become part of the agreed state.

#ifndef GREENGAGE_STATE_SETTINGCATALOGUE_H
#define GREENGAGE_STATE_SETTINGCATALOGUE_H

#include "greengage/core/Error.h"
#include "greengage/state/SettingsTree.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace greengage::state {

/// The branches below which teams, pools and holders of keys stand.
inline constexpr std::string_view kTeamsBranch = "teams";
inline constexpr std::string_view kPoolsBranch = "pools";
inline constexpr std::string_view kOperatorsBranch = "operators";
inline constexpr std::string_view kUpstreamsBranch = "upstreams";
/// What the name of a key's digest begins with.
inline constexpr std::string_view kKeyPrefix = "key.";
/// Bytes of a value.
inline constexpr std::size_t kMaxValueBytes = 1024;

/// How the text of a setting is read.
enum class SettingKind : std::uint8_t
{
  Text,
  Integer,
  Decimal,
  Duration,
  PoolName,
};

/// Where a setting has an effect. It may also be set on any branch above, the
/// root included.
enum class SettingPlace : std::uint8_t
{
  Teams,
  Pools,
  KeyHolders,
  Everywhere,
};

/// One known setting.
struct SettingSpec
{
  std::string_view name;
  SettingPlace place = SettingPlace::Everywhere;
  SettingKind kind = SettingKind::Text;
  /// The range: of the number, of milliseconds, or of the text's length.
  std::int64_t low = 0;
  std::int64_t high = 0;
  std::string_view unit;
  /// What holds where no branch sets it; empty if nothing does.
  std::string_view defaultText;
};

/// All known settings in order of their names.
const std::vector<SettingSpec>&
KnownSettings();

/// The setting called \p aName, or null.
const SettingSpec*
FindSetting(std::string_view aName);

/// The known setting whose name is most like \p aName.
std::string
NearestSetting(std::string_view aName);

/// Checks that a branch may exist. The reason names the nearest known one.
bool
CheckBranch(const BranchPath& aBranch, Error& aReason);

/// Checks name, place, and range of one value; not that of a key's digest.
bool
CheckSetting(const BranchPath& aBranch,
             const std::string& aName,
             const std::string& aValue,
             Error& aReason);

/// The tree as it may be exported: without the digests of keys.
SettingsTree
WithoutKeys(const SettingsTree& aTree);

/// Puts the place of the value in front of the reason.
void
Locate(Error& aReason, const BranchPath& aBranch, std::string_view aName);

} // namespace greengage::state

#endif // GREENGAGE_STATE_SETTINGCATALOGUE_H
