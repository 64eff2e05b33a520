#include "greengage/fleet/Budget.h"

namespace greengage::fleet {

namespace {

template<typename Key>
Hosts
FindOrDefault(const std::map<Key, Hosts>& aBudgets,
              const Key& aKey,
              Hosts aDefault)
{
  auto found = aBudgets.find(aKey);
  return found == aBudgets.end() ? aDefault : found->second;
}

void
AppendCount(std::string& aText, Hosts aHosts, const char* aName)
{
  if (aHosts.Count() == 0) {
    return;
  }
  aText += aText.empty() ? "" : ", ";
  aText += std::to_string(aHosts.Count()) + " " + aName;
}

std::string
DescribeDownCounts(const DownCounts& aCounts)
{
  std::string text;
  AppendCount(text, aCounts.failed, "failed");
  AppendCount(text, aCounts.inMaintenance, "in maintenance");
  AppendCount(text, aCounts.watched, "watched");
  AppendCount(text, aCounts.granted, "granted");
  AppendCount(text, aCounts.moving, "moving");
  return text.empty() ? "none down" : text;
}

std::string
DescribeExhaustedBudget(const char* aName, const Denial& aDenial)
{
  return std::string(aName) + " \"" + aDenial.subject +
         "\" is spent: " + std::to_string(aDenial.budget.Count()) +
         " may be down, " + DescribeDownCounts(aDenial.spent);
}

} // namespace

Hosts
Budgets::OfPool(const PoolId& aPool) const
{
  return FindOrDefault(pools, aPool, defaultPool);
}

Hosts
Budgets::OfZone(const AvailabilityZoneId& aZone) const
{
  return FindOrDefault(zones, aZone, defaultZone);
}

Hosts
Budgets::OfRack(const Placement& aRack) const
{
  return FindOrDefault(racks, aRack, defaultRack);
}

Hosts
DownCounts::Total() const
{
  return failed + inMaintenance + watched + granted + moving;
}

void
DownCounts::Add(DownCause aCause, Hosts aHosts)
{
  switch (aCause) {
    case DownCause::Failed:
      failed += aHosts;
      return;
    case DownCause::InMaintenance:
      inMaintenance += aHosts;
      return;
    case DownCause::Watched:
      watched += aHosts;
      return;
    case DownCause::Granted:
      granted += aHosts;
      return;
    case DownCause::Moving:
      moving += aHosts;
      return;
  }
}

std::string
Describe(const Denial& aDenial)
{
  const std::string subject = "\"" + aDenial.subject + "\"";
  switch (aDenial.kind) {
    case DenialKind::UnknownHost:
      return "host " + subject + " is not registered";
    case DenialKind::HostMoving:
      return "host " + subject + " is moving between pools";
    case DenialKind::HostClaimed:
      return "host " + subject + " already has a claim";
    case DenialKind::NoGrant:
      return "host " + subject + " has no grant";
    case DenialKind::GrantExpired:
      return "the grant for host " + subject + " has expired";
    case DenialKind::NotQuotaHolder:
      return "the zone's quota of the pool's budget is held by " + subject;
    case DenialKind::PoolBudgetSpent:
      return DescribeExhaustedBudget("the budget of pool", aDenial);
    case DenialKind::ZoneQuotaSpent:
      return DescribeExhaustedBudget("the quota of the pool's budget for zone",
                                     aDenial);
    case DenialKind::ZoneBudgetSpent:
      return DescribeExhaustedBudget("the budget of zone", aDenial);
    case DenialKind::RackBudgetSpent:
      break;
  }
  return DescribeExhaustedBudget("the budget of rack", aDenial);
}

} // namespace greengage::fleet
