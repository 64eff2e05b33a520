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
};

/// What holds for one key.
struct KeyPolicy
{
  Principal principal;
  KeyDigest digest;
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
};

using FleetViewPtr = std::shared_ptr<const FleetView>;

/// Builds the view, checking every value, reference and range in the tree.
std::optional<FleetView>
BuildFleetView(const SettingsTree& aTree, Version aVersion, Error& aReason);

/// Who holds the key that \p aAuthorization carries.
/// \returns nothing, with the same reason, for unknown ids and wrong secrets.
std::optional<Principal>
Authenticate(const FleetView& aView,
             std::string_view aAuthorization,
             Error& aReason);

} // namespace greengage::state

#endif // GREENGAGE_STATE_FLEETVIEW_H
