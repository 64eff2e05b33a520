/// \file
/// Value types of the availability budgets: how many hosts may be down at once,
/// why hosts are down, and why a takedown is denied.

#ifndef GREENGAGE_FLEET_BUDGET_H
#define GREENGAGE_FLEET_BUDGET_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/fleet/Host.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace greengage::fleet {

/// A budget that is never exhausted. Half of the maximum leaves room to add
/// counts without overflow.
constexpr Hosts kUnlimitedHosts(INT64_MAX / 2);

/// The maximum number of hosts that may be down at once, for each pool and
/// failure domain.
struct Budgets
{
  std::map<PoolId, Hosts> pools;
  std::map<AvailabilityZoneId, Hosts> zones;
  std::map<Placement, Hosts> racks;
  /// Budgets of the pools, zones and racks that have no entry above.
  Hosts defaultPool = kUnlimitedHosts;
  Hosts defaultZone = kUnlimitedHosts;
  Hosts defaultRack = kUnlimitedHosts;

  Hosts OfPool(const PoolId& aPool) const;
  Hosts OfZone(const AvailabilityZoneId& aZone) const;
  Hosts OfRack(const Placement& aRack) const;

  friend bool operator==(const Budgets&, const Budgets&) = default;
};

/// Why a host is down. A host with several causes counts once, under the first
/// of them in this order.
enum class DownCause : std::uint8_t
{
  Failed,
  InMaintenance,
  /// Back from maintenance and still under observation, as it may fail again.
  Watched,
  /// Granted for maintenance that has not started.
  Granted,
  /// Moving between pools.
  Moving,
};

/// The number of down hosts by cause.
struct DownCounts
{
  Hosts failed;
  Hosts inMaintenance;
  Hosts watched;
  Hosts granted;
  Hosts moving;

  Hosts Total() const;
  /// Adds \p aHosts to the count for \p aCause.
  void Add(DownCause aCause, Hosts aHosts);

  friend bool operator==(const DownCounts&, const DownCounts&) = default;
};

/// The kinds of reasons to deny a takedown.
enum class DenialKind : std::uint8_t
{
  UnknownHost,
  HostMoving,
  /// The host already has a claim.
  HostClaimed,
  NoGrant,
  GrantExpired,
  /// Another entry host holds the zone's quota of the pool's budget.
  NotQuotaHolder,
  PoolBudgetSpent,
  /// The zone's quota of the pool's budget is used up.
  ZoneQuotaSpent,
  ZoneBudgetSpent,
  RackBudgetSpent,
};

/// One reason why a takedown is denied.
struct Denial
{
  DenialKind kind = DenialKind::UnknownHost;
  /// The pool, zone, rack, entry host or host that the reason refers to.
  std::string subject;
  /// The exhausted budget or quota and the hosts that use it up. Both are set
  /// only for the four kinds that end in "Spent".
  Hosts budget{};
  DownCounts spent{};
};

/// The reasons to deny a takedown; empty if it is allowed.
using Denials = std::vector<Denial>;

/// Formats a denial as one human-readable line. For an exhausted budget, it
/// includes the causes that use it up.
std::string
Describe(const Denial& aDenial);

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_BUDGET_H
