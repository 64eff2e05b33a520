/// \file
/// The values that availability budgets are made of: how many hosts may be
/// down at once, by what they are down, and why another one may not be.

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

/// A budget that is never used up.
constexpr Hosts kUnlimitedHosts(INT64_MAX / 2);

/// The most hosts that may be down at once, in each failure domain and pool.
struct Budgets
{
  std::map<PoolId, Hosts> pools;
  std::map<AvailabilityZoneId, Hosts> zones;
  std::map<Placement, Hosts> racks;
  /// For those that are not named above.
  Hosts defaultPool = kUnlimitedHosts;
  Hosts defaultZone = kUnlimitedHosts;
  Hosts defaultRack = kUnlimitedHosts;

  Hosts OfPool(const PoolId& aPool) const;
  Hosts OfZone(const AvailabilityZoneId& aZone) const;
  Hosts OfRack(const Placement& aRack) const;

  friend bool operator==(const Budgets&, const Budgets&) = default;
};

/// By what a host is down. A host that is down by several counts once, by the
/// first of them in this order.
enum class DownCause : std::uint8_t
{
  Failed,
  InMaintenance,
  /// Back from maintenance and watched, since it may be lost again.
  Watched,
  /// Granted for maintenance that has not begun.
  Granted,
  /// On its way between pools.
  Moving,
};

/// Hosts that are down, by cause.
struct Spent
{
  Hosts failed;
  Hosts inMaintenance;
  Hosts watched;
  Hosts granted;
  Hosts moving;

  Hosts Total() const;
  /// Counts \p aHosts more by \p aCause.
  void Add(DownCause aCause, Hosts aHosts);

  friend bool operator==(const Spent&, const Spent&) = default;
};

/// Why a host may not be taken down.
enum class DenialKind : std::uint8_t
{
  UnknownHost,
  HostMoving,
  /// Another driver has a claim on it.
  HostClaimed,
  NoGrant,
  GrantExpired,
  /// The zone's part of the pool's budget is held by another entry host.
  NotPartHolder,
  PoolBudgetSpent,
  /// The zone's part of the pool's budget is spent.
  ZonePartSpent,
  ZoneBudgetSpent,
  RackBudgetSpent,
};

/// One reason why a host may not be taken down.
struct Denial
{
  DenialKind kind = DenialKind::UnknownHost;
  /// The pool, zone, rack, entry host or host that it is about.
  std::string subject;
  /// For the four kinds of budgets.
  Hosts budget{};
  Spent spent{};
};

/// Empty if the host may be taken down.
using Denials = std::vector<Denial>;

/// The denial as one line for people, with what the budget is spent by.
std::string
Describe(const Denial& aDenial);

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_BUDGET_H
