#include "greengage/fleet/Budget.h"

namespace greengage::fleet {

namespace {

template<typename Key>
Hosts
Lookup(const std::map<Key, Hosts>& aBudgets, const Key& aKey, Hosts aDefault)
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
DescribeSpent(const DownCounts& aSpent)
{
  std::string text;
  AppendCount(text, aSpent.failed, "failed");
  AppendCount(text, aSpent.inMaintenance, "in maintenance");
  AppendCount(text, aSpent.watched, "watched");
  AppendCount(text, aSpent.granted, "granted");
  AppendCount(text, aSpent.moving, "moving");
  return text.empty() ? "none down" : text;
}

std::string
DescribeBudget(const char* aName, const Denial& aDenial)
{
  return std::string(aName) + " \"" + aDenial.subject +
         "\" is spent: " + std::to_string(aDenial.budget.Count()) +
         " may be down, " + DescribeSpent(aDenial.spent);
}

} // namespace

Hosts
Budgets::OfPool(const PoolId& aPool) const
{
  return Lookup(pools, aPool, defaultPool);
}

Hosts
Budgets::OfZone(const AvailabilityZoneId& aZone) const
{
  return Lookup(zones, aZone, defaultZone);
}

Hosts
Budgets::OfRack(const Placement& aRack) const
{
  return Lookup(racks, aRack, defaultRack);
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
      return "the grant of host " + subject + " has expired";
    case DenialKind::NotQuotaHolder:
      return "the zone's quota of the pool's budget is held by " + subject;
    case DenialKind::PoolBudgetSpent:
      return DescribeBudget("the budget of pool", aDenial);
    case DenialKind::ZoneQuotaSpent:
      return DescribeBudget("the quota of the pool's budget for zone", aDenial);
    case DenialKind::ZoneBudgetSpent:
      return DescribeBudget("the budget of zone", aDenial);
    case DenialKind::RackBudgetSpent:
      break;
  }
  return DescribeBudget("the budget of rack", aDenial);
}

} // namespace greengage::fleet
