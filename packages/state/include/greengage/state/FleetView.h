/// \file
/// The agreed state as the request path reads it: one immutable picture per
/// version, built from the settings tree and checked as a whole.

#ifndef GREENGAGE_STATE_FLEETVIEW_H
#define GREENGAGE_STATE_FLEETVIEW_H

#include "greengage/core/Error.h"
#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/state/Key.h"
#include "greengage/state/SettingsTree.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace greengage::state {

/// What holds for one team.
struct TeamPolicy
{
  /// The team's weight when pools are full.
  double share = 1;
  /// The most that the team may have running across the fleet.
  Slots limit;
  /// The most requests that may wait on one entry host.
  std::size_t maxQueued = 1000;

  friend bool operator==(const TeamPolicy&, const TeamPolicy&) = default;
};

/// What holds for one key.
struct KeyPolicy
{
  Principal principal;
  KeyDigest digest;
  /// How long an entry host that can't confirm the key goes on taking it.
  Duration maxStaleness;

  friend bool operator==(const KeyPolicy&, const KeyPolicy&) = default;
};

/// A number of hosts.
using HostCount = Quantity<struct HostCountTag>;

/// What an hour of one slot costs a team, by how long the work may wait.
struct PriceList
{
  double urgent = 0;
  double standard = 0;
  double patient = 0;

  friend bool operator==(const PriceList&, const PriceList&) = default;
};

/// The most hosts of a pool that may be out of service at once, by failures
/// and maintenance together.
struct AvailabilityBudget
{
  HostCount pool;
  /// In any one availability zone.
  HostCount availabilityZone;
  /// In any one rack.
  HostCount rack;

  friend bool operator==(const AvailabilityBudget&,
                         const AvailabilityBudget&) = default;
};

/// How much each of the four measures counts; the sum is 1.
struct MeasureWeights
{
  double bufferCost = 0;
  double rollOutTime = 0;
  double moves = 0;
  double closenessToShare = 0;

  friend bool operator==(const MeasureWeights&,
                         const MeasureWeights&) = default;
};

/// What holds for one pool.
struct PoolPolicy
{
  PriceList prices;
  AvailabilityBudget budget;
  MeasureWeights weights;
  /// The least number of hosts kept idle as buffer.
  HostCount spare;
  /// The pool that lends hosts to this one.
  std::optional<PoolId> sparePool;

  friend bool operator==(const PoolPolicy&, const PoolPolicy&) = default;
};

/// One version of the agreed state.
struct FleetView
{
  Version version;
  std::map<TeamId, TeamPolicy> teams;
  /// The weights of groups among their siblings, by path with a "/" behind.
  std::map<std::string, double> groupShares;
  std::map<KeyId, KeyPolicy> keys;
  std::set<PoolId> pools;
  /// What holds for each of the pools.
  std::map<PoolId, PoolPolicy> poolPolicies;

  friend bool operator==(const FleetView&, const FleetView&) = default;
};

using FleetViewPtr = std::shared_ptr<const FleetView>;

/// Builds the view, checking every value, reference and range in the tree.
std::optional<FleetView>
BuildFleetView(const SettingsTree& aTree, Version aVersion, Error& aReason);

/// Brings \p aView up to \p aTree after \p aChanges, at the cost of what stands
/// at or below their branches. The changes must neither have made nor removed
/// a branch. Where this fails, the view is right again after the changes have
/// been taken back in the tree and this was called once more.
bool
RefreshFleetView(FleetView& aView,
                 const SettingsTree& aTree,
                 const std::vector<ValueChange>& aChanges,
                 Error& aReason);

/// Who holds the key that \p aAuthorization carries.
/// \returns nothing, with the same reason, for unknown ids and wrong secrets.
std::optional<Principal>
Authenticate(const FleetView& aView,
             std::string_view aAuthorization,
             Error& aReason);

} // namespace greengage::state

#endif // GREENGAGE_STATE_FLEETVIEW_H
