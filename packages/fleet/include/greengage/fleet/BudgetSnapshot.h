/// \file
/// The usage of all budgets at one point in time. It is computed once, so that
/// many takedowns can be checked against it cheaply.

#ifndef GREENGAGE_FLEET_BUDGETSNAPSHOT_H
#define GREENGAGE_FLEET_BUDGETSNAPSHOT_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/fleet/Budget.h"
#include "greengage/fleet/BudgetLedger.h"
#include "greengage/fleet/PoolRegistry.h"

#include <map>
#include <optional>
#include <vector>

namespace greengage::fleet {

/// The result of checking a takedown of one host.
struct TakedownEligibility
{
  HostId host;
  /// Empty if the host may be taken down now.
  Denials denials;
};

/// The budget usage at one point in time. Keeps references to the registry and
/// to the state of the ledger, which must outlive it.
class BudgetSnapshot
{
public:
  BudgetSnapshot(const PoolRegistry& aRegistry,
                 const BudgetLedger& aLedger,
                 Time aNow);

  /// Returns the reasons to deny a takedown of \p aHost. \p aBy is the entry
  /// host that would take it down; if absent, the holder of the zone's quota is
  /// assumed. An existing claim on the host is not one of the reasons; the
  /// commands AcquireGrant and ConfirmDrain check it.
  Denials CheckTakedown(const HostId& aHost,
                        const std::optional<EntryHostId>& aBy = {}) const;
  /// The same check for an entry host that is partitioned from the other zones.
  /// The zone's quota replaces the pool's budget; without a quota the budget is
  /// zero.
  Denials CheckIsolatedTakedown(const HostId& aHost,
                                const EntryHostId& aBy) const;

  /// Counts \p aHost as granted in all later checks.
  void CountAsGranted(const HostId& aHost);

  bool IsRegistered(const HostId& aHost) const;
  /// Returns why a host is down, or nothing if it is up.
  std::optional<DownCause> DownCauseOf(const HostId& aHost) const;
  /// Returns the usage of a zone's quota.
  DownCounts QuotaUsage(const ZoneQuotaKey& aKey) const;

private:
  void CountDownHost(const HostId& aHost,
                     const Membership& aMember,
                     DownCause aCause);
  void CheckPoolBudget(const Membership& aMember,
                       bool aIsDown,
                       Denials& aOut) const;
  void CheckZoneQuota(const Membership& aMember,
                      bool aIsDown,
                      const std::optional<EntryHostId>& aBy,
                      Denials& aOut) const;
  void CheckZoneAndRackBudgets(const Membership& aMember,
                               bool aIsDown,
                               Denials& aOut) const;
  const Membership* FindTakedownCandidate(const HostId& aHost,
                                          Denials& aOut) const;

  const PoolRegistry& registry_;
  const BudgetState& state_;
  std::map<HostId, DownCause> causes_;
  std::map<PoolId, DownCounts> poolUsage_;
  std::map<ZoneQuotaKey, DownCounts> quotaUsage_;
  std::map<AvailabilityZoneId, DownCounts> zoneUsage_;
  std::map<Placement, DownCounts> rackUsage_;
  /// The sum of the zone quotas, for each pool whose budget is split.
  std::map<PoolId, Hosts> assignedQuotas_;
};

/// Checks a takedown of every host, ordered by id. Each result assumes that no
/// other host is taken down. Hosts that are claimed already are denied, unless
/// the claim is an expired grant.
std::vector<TakedownEligibility>
CheckTakedownOfAll(const PoolRegistry& aRegistry,
                   const BudgetLedger& aLedger,
                   Time aNow);

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_BUDGETSNAPSHOT_H
