#include "greengage/fleet/BudgetSnapshot.h"

#include <string>

namespace greengage::fleet {

namespace {

constexpr Hosts kOneHost(1);

std::optional<DownCause>
CauseOfRecord(const DownRecord& aRecord, Time aNow)
{
  if (aRecord.failed) {
    return DownCause::Failed;
  }
  if (!aRecord.claim) {
    return std::nullopt;
  }
  switch (aRecord.claim->stage) {
    case ClaimStage::InMaintenance:
      return DownCause::InMaintenance;
    case ClaimStage::Watched:
      return DownCause::Watched;
    case ClaimStage::Granted:
      break;
  }
  if (aNow >= aRecord.claim->expiresAt) {
    return std::nullopt;
  }
  return DownCause::Granted;
}

template<typename Key>
DownCounts
CountsFor(const std::map<Key, DownCounts>& aCounts, const Key& aKey)
{
  auto found = aCounts.find(aKey);
  return found == aCounts.end() ? DownCounts{} : found->second;
}

/// Adds \p aDenial if one more down host would exceed its budget. A host that
/// is down already is included in the counts.
void
CheckBudget(Denial&& aDenial, bool aIsDown, Denials& aOut)
{
  const Hosts additional = aIsDown ? Hosts(0) : kOneHost;
  if (aDenial.spent.Total() + additional > aDenial.budget) {
    aOut.push_back(std::move(aDenial));
  }
}

std::string
RackName(const Placement& aRack)
{
  return aRack.availabilityZone.Value() + "/" + aRack.rack.Value();
}

} // namespace

BudgetSnapshot::BudgetSnapshot(const PoolRegistry& aRegistry,
                               const BudgetLedger& aLedger,
                               Time aNow)
  : registry_(aRegistry)
  , state_(aLedger.State())
{
  for (const auto& [key, quota] : state_.quotas) {
    assignedQuotas_[key.first] += quota.hosts;
  }
  for (const auto& [host, record] : state_.down) {
    const Membership* member = registry_.Find(host);
    const auto cause = CauseOfRecord(record, aNow);
    if (member && cause) {
      CountDownHost(host, *member, *cause);
    }
  }
  for (const auto& [host, member] : registry_.Members()) {
    if (member.move && !causes_.contains(host)) {
      CountDownHost(host, member, DownCause::Moving);
    }
  }
}

void
BudgetSnapshot::CountDownHost(const HostId& aHost,
                              const Membership& aMember,
                              DownCause aCause)
{
  const AvailabilityZoneId& zone = aMember.placement.availabilityZone;
  causes_[aHost] = aCause;
  poolUsage_[aMember.pool].Add(aCause, kOneHost);
  quotaUsage_[{ aMember.pool, zone }].Add(aCause, kOneHost);
  zoneUsage_[zone].Add(aCause, kOneHost);
  rackUsage_[aMember.placement].Add(aCause, kOneHost);
}

bool
BudgetSnapshot::IsRegistered(const HostId& aHost) const
{
  return registry_.Find(aHost) != nullptr;
}

std::optional<DownCause>
BudgetSnapshot::DownCauseOf(const HostId& aHost) const
{
  auto found = causes_.find(aHost);
  if (found == causes_.end()) {
    return std::nullopt;
  }
  return found->second;
}

DownCounts
BudgetSnapshot::QuotaUsage(const ZoneQuotaKey& aKey) const
{
  return CountsFor(quotaUsage_, aKey);
}

void
BudgetSnapshot::CountAsGranted(const HostId& aHost)
{
  const Membership* member = registry_.Find(aHost);
  if (member && !causes_.contains(aHost)) {
    CountDownHost(aHost, *member, DownCause::Granted);
  }
}

const Membership*
BudgetSnapshot::FindTakedownCandidate(const HostId& aHost, Denials& aOut) const
{
  const Membership* member = registry_.Find(aHost);
  if (!member) {
    aOut.push_back(
      { .kind = DenialKind::UnknownHost, .subject = aHost.Value() });
    return nullptr;
  }
  if (member->move) {
    aOut.push_back(
      { .kind = DenialKind::HostMoving, .subject = aHost.Value() });
    return nullptr;
  }
  return member;
}

void
BudgetSnapshot::CheckPoolBudget(const Membership& aMember,
                                bool aIsDown,
                                Denials& aOut) const
{
  CheckBudget({ .kind = DenialKind::PoolBudgetSpent,
                .subject = aMember.pool.Value(),
                .budget = state_.budgets.OfPool(aMember.pool),
                .spent = CountsFor(poolUsage_, aMember.pool) },
              aIsDown,
              aOut);
}

void
BudgetSnapshot::CheckZoneQuota(const Membership& aMember,
                               bool aIsDown,
                               const std::optional<EntryHostId>& aBy,
                               Denials& aOut) const
{
  const AvailabilityZoneId& zone = aMember.placement.availabilityZone;
  const ZoneQuotaKey key(aMember.pool, zone);
  auto quota = state_.quotas.find(key);
  const bool hasQuota = quota != state_.quotas.end();
  if (hasQuota && aBy && *aBy != quota->second.holder) {
    aOut.push_back({ .kind = DenialKind::NotQuotaHolder,
                     .subject = quota->second.holder.Value() });
    return;
  }
  CheckBudget({ .kind = DenialKind::ZoneQuotaSpent,
                .subject = zone.Value(),
                .budget = hasQuota ? quota->second.hosts : Hosts(0),
                .spent = CountsFor(quotaUsage_, key) },
              aIsDown,
              aOut);
}

void
BudgetSnapshot::CheckZoneAndRackBudgets(const Membership& aMember,
                                        bool aIsDown,
                                        Denials& aOut) const
{
  const AvailabilityZoneId& zone = aMember.placement.availabilityZone;
  CheckBudget({ .kind = DenialKind::ZoneBudgetSpent,
                .subject = zone.Value(),
                .budget = state_.budgets.OfZone(zone),
                .spent = CountsFor(zoneUsage_, zone) },
              aIsDown,
              aOut);
  CheckBudget({ .kind = DenialKind::RackBudgetSpent,
                .subject = RackName(aMember.placement),
                .budget = state_.budgets.OfRack(aMember.placement),
                .spent = CountsFor(rackUsage_, aMember.placement) },
              aIsDown,
              aOut);
}

Denials
BudgetSnapshot::CheckTakedown(const HostId& aHost,
                              const std::optional<EntryHostId>& aBy) const
{
  Denials denials;
  const Membership* member = FindTakedownCandidate(aHost, denials);
  if (!member) {
    return denials;
  }
  const bool isDown = causes_.contains(aHost);
  CheckPoolBudget(*member, isDown, denials);
  if (assignedQuotas_.contains(member->pool)) {
    CheckZoneQuota(*member, isDown, aBy, denials);
  }
  CheckZoneAndRackBudgets(*member, isDown, denials);
  return denials;
}

Denials
BudgetSnapshot::CheckIsolatedTakedown(const HostId& aHost,
                                      const EntryHostId& aBy) const
{
  Denials denials;
  const Membership* member = FindTakedownCandidate(aHost, denials);
  if (!member) {
    return denials;
  }
  const bool isDown = causes_.contains(aHost);
  CheckZoneQuota(*member, isDown, aBy, denials);
  CheckZoneAndRackBudgets(*member, isDown, denials);
  return denials;
}

std::vector<TakedownEligibility>
CheckTakedownOfAll(const PoolRegistry& aRegistry,
                   const BudgetLedger& aLedger,
                   Time aNow)
{
  const BudgetSnapshot snapshot(aRegistry, aLedger, aNow);
  std::vector<TakedownEligibility> results;
  results.reserve(aRegistry.Members().size());
  for (const auto& [host, member] : aRegistry.Members()) {
    results.push_back(
      { .host = host, .denials = snapshot.CheckTakedown(host) });
    const DownRecord* record = aLedger.Find(host);
    if (record && record->claim && snapshot.DownCauseOf(host)) {
      results.back().denials.push_back(
        { .kind = DenialKind::HostClaimed, .subject = host.Value() });
    }
  }
  return results;
}

} // namespace greengage::fleet
