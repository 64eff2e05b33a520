/// \file
/// The hosts that are down or claimed for a takedown, as part of the replicated
/// state. Failures and maintenance draw on the same budgets. A takedown is
/// checked twice, when it is granted and when its drain begins, unless the zone
/// was partitioned from the others at that time.
///
/// A pool's budget can be split into quotas, one for each zone. Only the entry
/// host that holds a zone's quota may use it or transfer some of it to another
/// zone. A zone that is partitioned from the others can therefore continue to
/// take hosts down within its own quota, and the quotas used by all zones never
/// add up to more than the budget.

#ifndef GREENGAGE_FLEET_BUDGETLEDGER_H
#define GREENGAGE_FLEET_BUDGETLEDGER_H

#include "greengage/core/Error.h"
#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/fleet/Budget.h"
#include "greengage/fleet/PoolRegistry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <variant>

namespace greengage::fleet {

/// The stages of a claim on a host.
enum class ClaimStage : std::uint8_t
{
  Granted,
  InMaintenance,
  Watched,
};

/// The right to take a host down.
struct Claim
{
  ClaimStage stage = ClaimStage::Granted;
  EntryHostId by;
  /// A grant that is not confirmed before this time stops counting against the
  /// budgets. Not used in the later stages.
  Time expiresAt;

  friend bool operator==(const Claim&, const Claim&) = default;
};

/// The record of a host that has failed or is claimed.
struct DownRecord
{
  bool failed = false;
  std::optional<Claim> claim;

  friend bool operator==(const DownRecord&, const DownRecord&) = default;
};

/// A zone's quota of a pool's budget, and the entry host that holds it.
struct ZoneQuota
{
  EntryHostId holder;
  Hosts hosts;

  friend bool operator==(const ZoneQuota&, const ZoneQuota&) = default;
};

/// Identifies a quota by its pool and zone.
using ZoneQuotaKey = std::pair<PoolId, AvailabilityZoneId>;

/// Replaces the budgets. Quotas that exceed a reduced pool budget stay with
/// their holders until they are set again; the pool's new budget is enforced in
/// addition to the quotas.
struct SetBudgets
{
  Budgets budgets;
};

/// Sets a zone's quota from the part of the pool's budget that is not assigned
/// to other zones.
struct SetZoneQuota
{
  ZoneQuotaKey key;
  ZoneQuota quota;
  /// The current holder, if the zone has one. Unless it is also the new holder,
  /// it must have been removed from the entry hosts permanently, because it
  /// could otherwise still use the quota.
  std::optional<EntryHostId> expectedHolder;
};

/// Transfers some of a zone's unused quota to another zone that has a quota of
/// the same pool.
struct TransferQuota
{
  ZoneQuotaKey from;
  AvailabilityZoneId to;
  Hosts hosts;
  EntryHostId by;
};

/// Requests a grant to take a host down. The drain must be confirmed before
/// expiresAt. The entry host that holds a grant may request it again to extend
/// it.
struct AcquireGrant
{
  HostId host;
  EntryHostId by;
  Time at;
  Time expiresAt;
};

/// Checks the budgets again immediately before the drain begins. If they allow
/// it, the host counts as in maintenance from then on. Idempotent.
struct ConfirmDrain
{
  HostId host;
  EntryHostId by;
  Time at;
};

/// Reports a takedown that the quota's holder made while its zone was
/// partitioned. The host is already down, so the command is accepted even if a
/// budget is exhausted.
struct RecordIsolatedTakedown
{
  HostId host;
  EntryHostId by;
};

/// Reports that the host is back in service and under observation.
struct BeginWatch
{
  HostId host;
};

/// Ends the claim on the host, if there is one.
struct EndClaim
{
  HostId host;
};

struct MarkFailed
{
  HostId host;
};

struct MarkRecovered
{
  HostId host;
};

/// A command that changes the budgets or the records of down hosts.
using BudgetCommand = std::variant<SetBudgets,
                                   SetZoneQuota,
                                   TransferQuota,
                                   AcquireGrant,
                                   ConfirmDrain,
                                   RecordIsolatedTakedown,
                                   BeginWatch,
                                   EndClaim,
                                   MarkFailed,
                                   MarkRecovered>;

/// Why a command was rejected.
struct BudgetRejection
{
  Error error;
  /// For takedowns: every reason, of which \p error names the first.
  Denials denials;
};

/// The complete budget state, as stored in snapshots.
struct BudgetState
{
  Budgets budgets;
  std::map<ZoneQuotaKey, ZoneQuota> quotas;
  std::map<HostId, DownRecord> down;

  friend bool operator==(const BudgetState&, const BudgetState&) = default;
};

/// The deterministic state machine of the availability budgets.
class BudgetLedger
{
public:
  BudgetLedger() = default;
  explicit BudgetLedger(BudgetState aState);

  /// Applies a command. The result depends only on the state, the registry and
  /// the command. Returns false and leaves the state unchanged if the command
  /// is rejected.
  bool Apply(const BudgetCommand& aCommand,
             const PoolRegistry& aRegistry,
             BudgetRejection& aRejection);

  const BudgetState& State() const { return state_; }
  /// Returns the record of a host that has failed or is claimed, or null.
  const DownRecord* Find(const HostId& aHost) const;

private:
  bool On(const SetBudgets&, const PoolRegistry&, BudgetRejection&);
  bool On(const SetZoneQuota&, const PoolRegistry&, BudgetRejection&);
  bool On(const TransferQuota&, const PoolRegistry&, BudgetRejection&);
  bool On(const AcquireGrant&, const PoolRegistry&, BudgetRejection&);
  bool On(const ConfirmDrain&, const PoolRegistry&, BudgetRejection&);
  bool On(const RecordIsolatedTakedown&, const PoolRegistry&, BudgetRejection&);
  bool On(const BeginWatch&, const PoolRegistry&, BudgetRejection&);
  bool On(const EndClaim&, const PoolRegistry&, BudgetRejection&);
  bool On(const MarkFailed&, const PoolRegistry&, BudgetRejection&);
  bool On(const MarkRecovered&, const PoolRegistry&, BudgetRejection&);
  void EraseIfUp(const HostId& aHost);

  BudgetState state_;
};

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_BUDGETLEDGER_H
