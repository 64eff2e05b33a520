/// \file
/// What the budgets are spent by at one moment, counted once so that many
/// questions about hosts can be answered from it.

#ifndef GREENGAGE_FLEET_BUDGETPICTURE_H
#define GREENGAGE_FLEET_BUDGETPICTURE_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/fleet/Budget.h"
#include "greengage/fleet/BudgetBook.h"
#include "greengage/fleet/PoolRegistry.h"

#include <map>
#include <optional>
#include <vector>

namespace greengage::fleet {

/// Whether one host may be taken down.
struct HostAnswer
{
  HostId host;
  /// Empty if it may be taken down now.
  Denials denials;
};

/// The spending at one moment. The registry and the book must outlive it.
class BudgetPicture
{
public:
  BudgetPicture(const PoolRegistry& aRegistry,
                const BudgetBook& aBook,
                Time aNow);

  /// Whether \p aHost may be taken down, or each reason why not. \p aBy is the
  /// entry host that would do it; without one, whoever holds the part.
  Denials MayTakeDown(const HostId& aHost,
                      const std::optional<EntryHostId>& aBy = {}) const;
  /// The answer for an entry host that is cut off from other zones: the zone's
  /// part stands for the pool's budget, and without a part there is none.
  Denials MayTakeDownAlone(const HostId& aHost, const EntryHostId& aBy) const;

  /// Counts \p aHost as granted from now on.
  void AssumeGranted(const HostId& aHost);

  bool IsKnown(const HostId& aHost) const;
  /// By what a host is down, if it is.
  std::optional<DownCause> CauseOf(const HostId& aHost) const;
  /// The spending on a zone's part of a pool's budget.
  Spent OnPart(const ZonePartKey& aKey) const;

private:
  void Count(const HostId& aHost, const Membership& aMember, DownCause aCause);
  void CheckPool(const Membership& aMember, bool aIsDown, Denials& aOut) const;
  void CheckPart(const Membership& aMember,
                 bool aIsDown,
                 const std::optional<EntryHostId>& aBy,
                 Denials& aOut) const;
  void CheckZoneAndRack(const Membership& aMember,
                        bool aIsDown,
                        Denials& aOut) const;
  const Membership* Claimable(const HostId& aHost, Denials& aOut) const;

  const PoolRegistry& registry_;
  const BudgetState& book_;
  std::map<HostId, DownCause> causes_;
  std::map<PoolId, Spent> pools_;
  std::map<ZonePartKey, Spent> parts_;
  std::map<AvailabilityZoneId, Spent> zones_;
  std::map<Placement, Spent> racks_;
  /// Pools whose budget is split into parts.
  std::map<PoolId, Hosts> splitPools_;
};

/// The answer to "what may I take down now, and why not that one": all hosts
/// by id. Each answer is for that host alone.
std::vector<HostAnswer>
AnswerForAll(const PoolRegistry& aRegistry, const BudgetBook& aBook, Time aNow);

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_BUDGETPICTURE_H
