/// \file
/// Which hosts are down or about to be, as part of the agreed state. Failures
/// and maintenance spend the same budgets, and each takedown is checked twice:
/// when it is granted, and when its drain begins.
///
/// The budget of a pool can be split into parts that zones hold. Only the
/// entry host that holds a zone's part may spend it, and only the holder gives
/// any of it away; so a zone that is cut off can go on with its own part, and
/// the parts that all zones spend never add up to more than the budget.

#ifndef GREENGAGE_FLEET_BUDGETBOOK_H
#define GREENGAGE_FLEET_BUDGETBOOK_H

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

/// How far a claimed host is.
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
  /// A grant that is not confirmed until then counts no longer.
  Time expiresAt;

  friend bool operator==(const Claim&, const Claim&) = default;
};

/// What is known of a host that is down or claimed.
struct DownRecord
{
  bool failed = false;
  std::optional<Claim> claim;

  friend bool operator==(const DownRecord&, const DownRecord&) = default;
};

/// A part of a pool's budget.
struct ZonePart
{
  EntryHostId holder;
  Hosts hosts;

  friend bool operator==(const ZonePart&, const ZonePart&) = default;
};

/// A zone's part of a pool's budget, by pool and zone.
using ZonePartKey = std::pair<PoolId, AvailabilityZoneId>;

/// Replaces the budgets. Parts that no longer fit stay with their holders, who
/// give them back; until then the pool's new budget holds besides.
struct SetBudgets
{
  Budgets budgets;
};

/// Gives a zone a part of a pool's budget that no zone holds.
struct SetPart
{
  ZonePartKey key;
  ZonePart part;
  /// The former holder, if the zone has one. It must have been removed from
  /// the entry hosts for good, since it could still spend the part.
  std::optional<EntryHostId> replaces;
};

/// Gives some of a zone's unspent part to another zone that has one.
struct GivePart
{
  ZonePartKey from;
  AvailabilityZoneId to;
  Hosts hosts;
  EntryHostId by;
};

/// Asks to take a host down before \p expiresAt.
struct TakeGrant
{
  HostId host;
  EntryHostId by;
  Time at;
  Time expiresAt;
};

/// Checks the budgets again, right before the drain begins.
struct ConfirmDrain
{
  HostId host;
  EntryHostId by;
  Time at;
};

/// A takedown that the part's holder made while it was cut off. It is a fact
/// and not refused for a spent budget.
struct RecordTakenAlone
{
  HostId host;
  EntryHostId by;
};

/// The host is back and watched.
struct BeginWatch
{
  HostId host;
};

/// The claim on the host ends.
struct EndClaim
{
  HostId host;
};

struct NoteFailed
{
  HostId host;
};

struct NoteRecovered
{
  HostId host;
};

/// Any change of the book.
using BudgetCommand = std::variant<SetBudgets,
                                   SetPart,
                                   GivePart,
                                   TakeGrant,
                                   ConfirmDrain,
                                   RecordTakenAlone,
                                   BeginWatch,
                                   EndClaim,
                                   NoteFailed,
                                   NoteRecovered>;

/// Why a command was refused.
struct BudgetRefusal
{
  Error error;
  /// For takedowns: each reason by itself.
  Denials denials;
};

/// The whole content, for snapshots.
struct BudgetState
{
  Budgets budgets;
  std::map<ZonePartKey, ZonePart> parts;
  std::map<HostId, DownRecord> down;

  friend bool operator==(const BudgetState&, const BudgetState&) = default;
};

/// The deterministic machine that holds the budgets.
class BudgetBook
{
public:
  BudgetBook() = default;
  explicit BudgetBook(BudgetState aState);

  /// Applies a command; the result depends on the state, the registry and the
  /// command only. False, with the book unchanged, if it is refused.
  bool Apply(const BudgetCommand& aCommand,
             const PoolRegistry& aRegistry,
             BudgetRefusal& aRefusal);

  const BudgetState& State() const { return state_; }
  /// What is known of a host that is down or claimed, or null.
  const DownRecord* Find(const HostId& aHost) const;

private:
  bool On(const SetBudgets&, const PoolRegistry&, BudgetRefusal&);
  bool On(const SetPart&, const PoolRegistry&, BudgetRefusal&);
  bool On(const GivePart&, const PoolRegistry&, BudgetRefusal&);
  bool On(const TakeGrant&, const PoolRegistry&, BudgetRefusal&);
  bool On(const ConfirmDrain&, const PoolRegistry&, BudgetRefusal&);
  bool On(const RecordTakenAlone&, const PoolRegistry&, BudgetRefusal&);
  bool On(const BeginWatch&, const PoolRegistry&, BudgetRefusal&);
  bool On(const EndClaim&, const PoolRegistry&, BudgetRefusal&);
  bool On(const NoteFailed&, const PoolRegistry&, BudgetRefusal&);
  bool On(const NoteRecovered&, const PoolRegistry&, BudgetRefusal&);
  void ForgetIfUp(const HostId& aHost);

  BudgetState state_;
};

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_BUDGETBOOK_H
