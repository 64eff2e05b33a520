#include "greengage/state/FleetView.h"

#include "greengage/settings/Values.h"
#include "greengage/state/SettingCatalogue.h"

#include <cassert>
#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

using namespace greengage;
using namespace greengage::state;

/// How far the sum of the weights may be from 1.
static constexpr double kWeightTolerance = 1e-6;
static constexpr double kMaxDecimal = 1e6;

/// The name of \p aBranch below its top branch.
static std::string
NameBelow(const BranchPath& aBranch, std::string_view aTop)
{
  return aBranch.substr(aTop.size() + 1);
}

/// The text in force on a branch: inherited, or else the default.
static std::string
TextOn(const SettingsTree& aTree,
       const BranchPath& aBranch,
       const std::string& aName)
{
  if (auto found = aTree.Explain(aBranch, aName))
    return std::move(found->value);
  const SettingSpec* spec = FindSetting(aName);
  assert(spec != nullptr && "only known settings are read");
  return std::string(spec->defaultText);
}

// CheckTree has checked every text that these three read.

static double
DecimalOn(const SettingsTree& aTree,
          const BranchPath& aBranch,
          const std::string& aName)
{
  Error ignored;
  return settings::ParseDecimal(
           TextOn(aTree, aBranch, aName), kMaxDecimal, ignored)
    .value();
}

static std::int64_t
IntegerOn(const SettingsTree& aTree,
          const BranchPath& aBranch,
          const std::string& aName)
{
  const SettingSpec* spec = FindSetting(aName);
  Error ignored;
  return settings::ParseInteger(
           TextOn(aTree, aBranch, aName), { spec->low, spec->high }, ignored)
    .value();
}

static Duration
DurationOn(const SettingsTree& aTree,
           const BranchPath& aBranch,
           const std::string& aName)
{
  Error ignored;
  return settings::ParseDuration(TextOn(aTree, aBranch, aName), ignored)
    .value();
}

static bool
CheckKey(const SettingsTree& aTree,
         const BranchPath& aBranch,
         const std::string& aName,
         const std::string& aValue,
         Error& aReason)
{
  const bool canHold = aBranch.find('/') != BranchPath::npos &&
                       !aBranch.starts_with(std::string(kPoolsBranch) + "/");
  bool isRight = false;
  if (!IsKeyId(aName.substr(kKeyPrefix.size())))
    Fail(aReason, ErrorKind::InvalidSetting, "key id is not valid");
  else if (!canHold || !aTree.IsLeaf(aBranch))
    Fail(aReason,
         ErrorKind::InvalidSetting,
         "only a team, operator or upstream group can hold a key");
  else
    isRight = KeyDigest::Parse(aValue, aReason).has_value();
  if (!isRight)
    Locate(aReason, aBranch, aName);
  return isRight;
}

static bool
CheckOne(const SettingsTree& aTree,
         const BranchPath& aBranch,
         const std::string& aName,
         const std::string& aValue,
         Error& aReason)
{
  if (aName.starts_with(kKeyPrefix))
    return CheckKey(aTree, aBranch, aName, aValue, aReason);
  return CheckSetting(aBranch, aName, aValue, aReason);
}

/// Checks each value by itself.
static bool
CheckTree(const SettingsTree& aTree, Error& aReason)
{
  for (const auto& [branch, values] : aTree.All()) {
    if (!CheckBranch(branch, aReason))
      return false;
    for (const auto& [name, value] : values)
      if (!CheckOne(aTree, branch, name, value, aReason))
        return false;
  }
  return true;
}

static TeamPolicy
ReadTeam(const SettingsTree& aTree, const BranchPath& aBranch)
{
  TeamPolicy policy;
  policy.share = DecimalOn(aTree, aBranch, "share");
  policy.limit = Slots(IntegerOn(aTree, aBranch, "limit"));
  policy.maxQueued =
    static_cast<std::size_t>(IntegerOn(aTree, aBranch, "queue.max"));
  return policy;
}

/// Reads the "key.<id>" values that \p aBranch itself sets.
static bool
ReadKeys(const SettingsTree& aTree,
         const BranchPath& aBranch,
         const Principal& aPrincipal,
         FleetView& aView,
         Error& aReason)
{
  const Duration staleness = DurationOn(aTree, aBranch, "keys.max_staleness");
  for (const auto& [name, value] : aTree.OwnValues(aBranch)) {
    if (!name.starts_with(kKeyPrefix))
      continue;
    const auto digest = KeyDigest::Parse(value, aReason);
    assert(digest && "the digest was checked");
    const KeyId id(name.substr(kKeyPrefix.size()));
    const KeyPolicy policy{ .principal = aPrincipal,
                            .digest = *digest,
                            .maxStaleness = staleness };
    if (aView.keys.emplace(id, policy).second)
      continue;
    Fail(aReason, ErrorKind::InvalidSetting, "another branch has this key id");
    Locate(aReason, aBranch, name);
    return false;
  }
  return true;
}

/// Reads the weights of the groups above a team.
static void
ReadGroups(const SettingsTree& aTree,
           const std::string& aTeam,
           FleetView& aView)
{
  for (auto slash = aTeam.find('/'); slash != std::string::npos;
       slash = aTeam.find('/', slash + 1)) {
    const BranchPath branch =
      std::string(kTeamsBranch) + "/" + aTeam.substr(0, slash);
    aView.groupShares[aTeam.substr(0, slash + 1)] =
      DecimalOn(aTree, branch, "share");
  }
}

/// Reads one team, operator or upstream group with its keys.
static bool
ReadHolder(const SettingsTree& aTree,
           const BranchPath& aBranch,
           const Principal& aHolder,
           FleetView& aView,
           Error& aReason)
{
  if (aHolder.role == Role::Team) {
    aView.teams[TeamId(aHolder.name)] = ReadTeam(aTree, aBranch);
    ReadGroups(aTree, aHolder.name, aView);
  }
  return ReadKeys(aTree, aBranch, aHolder, aView, aReason);
}

static bool
FailPool(Error& aReason,
         const BranchPath& aBranch,
         const char* aName,
         std::string aDetail)
{
  Fail(aReason, ErrorKind::InvalidSetting, std::move(aDetail));
  Locate(aReason, aBranch, aName);
  return false;
}

static bool
ReadPrices(const SettingsTree& aTree,
           const BranchPath& aBranch,
           PriceList& aPrices,
           Error& aReason)
{
  aPrices.urgent = DecimalOn(aTree, aBranch, "price.urgent");
  aPrices.standard = DecimalOn(aTree, aBranch, "price.standard");
  aPrices.patient = DecimalOn(aTree, aBranch, "price.patient");
  if (aPrices.patient <= aPrices.standard && aPrices.standard <= aPrices.urgent)
    return true;
  return FailPool(aReason,
                  aBranch,
                  "price",
                  "patient work must not cost more than standard work, nor "
                  "standard work more than urgent work");
}

/// A narrower budget that no branch sets is as large as the wider one.
static bool
ReadNarrowerBudget(const SettingsTree& aTree,
                   const BranchPath& aBranch,
                   const char* aName,
                   HostCount aWider,
                   HostCount& aBudget,
                   Error& aReason)
{
  aBudget = aWider;
  if (!aTree.Explain(aBranch, aName))
    return true;
  aBudget = HostCount(IntegerOn(aTree, aBranch, aName));
  if (aBudget <= aWider)
    return true;
  return FailPool(aReason,
                  aBranch,
                  aName,
                  std::to_string(aBudget.Count()) +
                    " hosts are more than the wider budget of " +
                    std::to_string(aWider.Count()));
}

static bool
ReadBudget(const SettingsTree& aTree,
           const BranchPath& aBranch,
           AvailabilityBudget& aBudget,
           Error& aReason)
{
  aBudget.pool = HostCount(IntegerOn(aTree, aBranch, "budget.pool"));
  return ReadNarrowerBudget(aTree,
                            aBranch,
                            "budget.zone",
                            aBudget.pool,
                            aBudget.availabilityZone,
                            aReason) &&
         ReadNarrowerBudget(aTree,
                            aBranch,
                            "budget.rack",
                            aBudget.availabilityZone,
                            aBudget.rack,
                            aReason);
}

static bool
ReadWeights(const SettingsTree& aTree,
            const BranchPath& aBranch,
            MeasureWeights& aWeights,
            Error& aReason)
{
  aWeights.bufferCost = DecimalOn(aTree, aBranch, "weight.buffer_cost");
  aWeights.rollOutTime = DecimalOn(aTree, aBranch, "weight.roll_out_time");
  aWeights.moves = DecimalOn(aTree, aBranch, "weight.moves");
  aWeights.closenessToShare =
    DecimalOn(aTree, aBranch, "weight.closeness_to_share");
  const double sum = aWeights.bufferCost + aWeights.rollOutTime +
                     aWeights.moves + aWeights.closenessToShare;
  if (std::abs(sum - 1) <= kWeightTolerance)
    return true;
  return FailPool(aReason,
                  aBranch,
                  "weight",
                  "the four weights add up to " + std::to_string(sum) +
                    " and not to 1");
}

static bool
ReadPool(const SettingsTree& aTree,
         const BranchPath& aBranch,
         PoolPolicy& aPolicy,
         Error& aReason)
{
  aPolicy.spare = HostCount(IntegerOn(aTree, aBranch, "spare"));
  if (const auto lender = aTree.Explain(aBranch, "spare.pool")) {
    const BranchPath branch = std::string(kPoolsBranch) + "/" + lender->value;
    if (!aTree.All().contains(branch) || !aTree.IsLeaf(branch))
      return FailPool(aReason,
                      lender->from,
                      "spare.pool",
                      "pool \"" + lender->value + "\" does not exist");
    aPolicy.sparePool = PoolId(lender->value);
  }
  return ReadPrices(aTree, aBranch, aPolicy.prices, aReason) &&
         ReadBudget(aTree, aBranch, aPolicy.budget, aReason) &&
         ReadWeights(aTree, aBranch, aPolicy.weights, aReason);
}

/// Who holds the keys of a leaf; nobody for those of pools or a top branch.
static std::optional<Principal>
HolderOf(const BranchPath& aLeaf)
{
  const std::size_t slash = aLeaf.find('/');
  if (slash == BranchPath::npos)
    return std::nullopt;
  const std::string_view top = std::string_view(aLeaf).substr(0, slash);
  if (top == kTeamsBranch)
    return Principal{ Role::Team, NameBelow(aLeaf, top) };
  if (top == kOperatorsBranch)
    return Principal{ Role::Operator, NameBelow(aLeaf, top) };
  if (top == kUpstreamsBranch)
    return Principal{ Role::Upstream, NameBelow(aLeaf, top) };
  return std::nullopt;
}

static bool
ReadLeaf(const SettingsTree& aTree,
         const BranchPath& aLeaf,
         FleetView& aView,
         Error& aReason)
{
  // A value on a top branch makes no team or pool.
  if (aLeaf.find('/') == BranchPath::npos)
    return true;
  if (const auto holder = HolderOf(aLeaf))
    return ReadHolder(aTree, aLeaf, *holder, aView, aReason);
  PoolPolicy policy;
  if (!ReadPool(aTree, aLeaf, policy, aReason))
    return false;
  const PoolId id(NameBelow(aLeaf, kPoolsBranch));
  aView.pools.insert(id);
  aView.poolPolicies[id] = policy;
  return true;
}

std::optional<FleetView>
greengage::state::BuildFleetView(const SettingsTree& aTree,
                                 Version aVersion,
                                 Error& aReason)
{
  FleetView view;
  view.version = aVersion;
  if (!CheckTree(aTree, aReason))
    return std::nullopt;
  for (const auto& [branch, values] : aTree.All())
    if (aTree.IsLeaf(branch) && !ReadLeaf(aTree, branch, view, aReason))
      return std::nullopt;
  return view;
}

/// Forgets a key if \p aHolder has it.
static void
EraseKey(FleetView& aView, const Principal& aHolder, const std::string& aName)
{
  if (!aName.starts_with(kKeyPrefix))
    return;
  const auto found = aView.keys.find(KeyId(aName.substr(kKeyPrefix.size())));
  if (found != aView.keys.end() && found->second.principal == aHolder)
    aView.keys.erase(found);
}

/// The leaves at or below \p aBranch.
static std::vector<BranchPath>
LeavesFrom(const SettingsTree& aTree, const BranchPath& aBranch)
{
  if (!aBranch.empty() && aTree.IsLeaf(aBranch))
    return { aBranch };
  if (!aBranch.empty())
    return aTree.LeavesBelow(aBranch);
  std::vector<BranchPath> leaves;
  for (const auto& [branch, values] : aTree.All())
    if (aTree.IsLeaf(branch))
      leaves.push_back(branch);
  return leaves;
}

static bool
RefreshLeaf(FleetView& aView,
            const SettingsTree& aTree,
            const BranchPath& aLeaf,
            Error& aReason)
{
  if (const auto holder = HolderOf(aLeaf))
    for (const auto& [name, value] : aTree.OwnValues(aLeaf))
      EraseKey(aView, *holder, name);
  return ReadLeaf(aTree, aLeaf, aView, aReason);
}

bool
greengage::state::RefreshFleetView(FleetView& aView,
                                   const SettingsTree& aTree,
                                   const std::vector<ValueChange>& aChanges,
                                   Error& aReason)
{
  std::set<BranchPath> leaves;
  for (const ValueChange& change : aChanges) {
    const auto& values = aTree.OwnValues(change.branch);
    const auto found = values.find(change.name);
    if (found != values.end() &&
        !CheckOne(aTree, change.branch, change.name, found->second, aReason))
      return false;
    for (BranchPath& leaf : LeavesFrom(aTree, change.branch))
      leaves.insert(std::move(leaf));
    if (const auto holder = HolderOf(change.branch))
      EraseKey(aView, *holder, change.name);
  }
  for (const BranchPath& leaf : leaves)
    if (!RefreshLeaf(aView, aTree, leaf, aReason))
      return false;
  return true;
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
