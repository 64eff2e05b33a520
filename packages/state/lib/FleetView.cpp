#include "greengage/state/FleetView.h"

#include "greengage/core/Utf8.h"
#include "greengage/settings/Values.h"

#include <string>
#include <string_view>
#include <utility>

using namespace greengage;
using namespace greengage::state;

static constexpr std::string_view kTeamsBranch = "teams";
static constexpr std::string_view kPoolsBranch = "pools";
static constexpr std::string_view kOperatorsBranch = "operators";
static constexpr std::string_view kUpstreamsBranch = "upstreams";
static constexpr std::string_view kKeyPrefix = "key.";
static constexpr std::size_t kMaxPath = 128;
static constexpr double kMaxShare = 1e6;
static constexpr settings::IntegerRange kLimitRange{ 0, 1000000 };
static constexpr settings::IntegerRange kQueueRange{ 1, 1000000 };

/// Puts the place of the value in front of the reason.
static void
Locate(Error& aReason, const BranchPath& aBranch, std::string_view aName)
{
  aReason.detail =
    "[" + aBranch + "] " + std::string(aName) + ": " + aReason.detail;
}

/// The name of \p aBranch below its top branch.
static std::string
NameBelow(const BranchPath& aBranch, std::string_view aTop)
{
  return aBranch.substr(aTop.size() + 1);
}

/// Reads the weight in force on \p aBranch; 1 if none is set.
static bool
ReadShare(const SettingsTree& aTree,
          const BranchPath& aBranch,
          double& aShare,
          Error& aReason)
{
  const auto share = aTree.Explain(aBranch, "share");
  if (!share)
    return true;
  const auto value = settings::ParseDecimal(share->value, kMaxShare, aReason);
  if (!value) {
    Locate(aReason, share->from, "share");
    return false;
  }
  aShare = *value;
  return true;
}

static bool
ReadTeam(const SettingsTree& aTree,
         const BranchPath& aBranch,
         TeamPolicy& aPolicy,
         Error& aReason)
{
  if (!ReadShare(aTree, aBranch, aPolicy.share, aReason))
    return false;
  if (const auto limit = aTree.Explain(aBranch, "limit")) {
    const auto value =
      settings::ParseInteger(limit->value, kLimitRange, aReason);
    if (!value) {
      Locate(aReason, limit->from, "limit");
      return false;
    }
    aPolicy.limit = Slots(*value);
  }
  if (const auto queue = aTree.Explain(aBranch, "queue.max")) {
    const auto value =
      settings::ParseInteger(queue->value, kQueueRange, aReason);
    if (!value) {
      Locate(aReason, queue->from, "queue.max");
      return false;
    }
    aPolicy.maxQueued = static_cast<std::size_t>(*value);
  }
  return true;
}

/// Reads the "key.<id>" values that \p aBranch itself sets.
static bool
ReadKeys(const SettingsTree& aTree,
         const BranchPath& aBranch,
         const Principal& aPrincipal,
         FleetView& aView,
         Error& aReason)
{
  for (const auto& [name, value] : aTree.OwnValues(aBranch)) {
    if (!name.starts_with(kKeyPrefix))
      continue;
    const auto digest = KeyDigest::Parse(value, aReason);
    if (!digest) {
      Locate(aReason, aBranch, name);
      return false;
    }
    const KeyId id(name.substr(kKeyPrefix.size()));
    const KeyPolicy policy{ .principal = aPrincipal, .digest = *digest };
    if (aView.keys.emplace(id, policy).second)
      continue;
    Fail(aReason, ErrorKind::InvalidSetting, "another branch has this key id");
    Locate(aReason, aBranch, name);
    return false;
  }
  return true;
}

/// Reads the weights of the groups above a team.
static bool
ReadGroups(const SettingsTree& aTree,
           const std::string& aTeam,
           FleetView& aView,
           Error& aReason)
{
  for (auto slash = aTeam.find('/'); slash != std::string::npos;
       slash = aTeam.find('/', slash + 1)) {
    double share = 1;
    const BranchPath branch =
      std::string(kTeamsBranch) + "/" + aTeam.substr(0, slash);
    if (!ReadShare(aTree, branch, share, aReason))
      return false;
    aView.groupShares.emplace(aTeam.substr(0, slash + 1), share);
  }
  return true;
}

static bool
ReadTeams(const SettingsTree& aTree, FleetView& aView, Error& aReason)
{
  for (const BranchPath& branch :
       aTree.LeavesBelow(std::string(kTeamsBranch))) {
    const std::string name = NameBelow(branch, kTeamsBranch);
    TeamPolicy policy;
    if (!ReadTeam(aTree, branch, policy, aReason) ||
        !ReadGroups(aTree, name, aView, aReason))
      return false;
    aView.teams.emplace(TeamId(name), policy);
    const Principal principal{ .role = Role::Team, .name = name };
    if (!ReadKeys(aTree, branch, principal, aView, aReason))
      return false;
  }
  return true;
}

static bool
ReadHolders(const SettingsTree& aTree,
            std::string_view aTop,
            Role aRole,
            FleetView& aView,
            Error& aReason)
{
  for (const BranchPath& branch : aTree.LeavesBelow(std::string(aTop))) {
    const Principal principal{ .role = aRole, .name = NameBelow(branch, aTop) };
    if (!ReadKeys(aTree, branch, principal, aView, aReason))
      return false;
  }
  return true;
}

static bool
CheckPaths(const SettingsTree& aTree, Error& aReason)
{
  for (const BranchPath& branch : aTree.Branches()) {
    if (branch.empty() || IsValidIdentifier(branch, kMaxPath, true))
      continue;
    Fail(aReason,
         ErrorKind::InvalidSetting,
         "\"" + branch + "\" is not a branch path");
    return false;
  }
  return true;
}

std::optional<FleetView>
greengage::state::BuildFleetView(const SettingsTree& aTree,
                                 Version aVersion,
                                 Error& aReason)
{
  FleetView view;
  view.version = aVersion;
  if (!CheckPaths(aTree, aReason) || !ReadTeams(aTree, view, aReason))
    return std::nullopt;
  if (!ReadHolders(aTree, kOperatorsBranch, Role::Operator, view, aReason) ||
      !ReadHolders(aTree, kUpstreamsBranch, Role::Upstream, view, aReason))
    return std::nullopt;
  for (const BranchPath& branch : aTree.LeavesBelow(std::string(kPoolsBranch)))
    view.pools.emplace(NameBelow(branch, kPoolsBranch));
  return view;
}

std::optional<Principal>
greengage::state::Authenticate(const FleetView& aView,
                               std::string_view aAuthorization,
                               Error& aReason)
{
  const auto key = ParseAuthorization(aAuthorization, aReason);
  if (!key)
    return std::nullopt;
  // An unknown id costs the same digest as a wrong secret does.
  static const KeyDigest kNoDigest = KeyDigest::Compute("", RandomHex(16));
  const auto found = aView.keys.find(key->id);
  const bool isKnown = found != aView.keys.end();
  const KeyDigest& digest = isKnown ? found->second.digest : kNoDigest;
  if (!digest.Matches(key->secret) || !isKnown)
    return Fail(
      aReason, ErrorKind::Unauthenticated, "key is unknown or withdrawn");
  return found->second.principal;
}
