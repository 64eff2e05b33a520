#include "greengage/fleet/BudgetLedger.h"

#include "greengage/fleet/BudgetSnapshot.h"

#include <utility>

namespace greengage::fleet {

namespace {

bool
Refuse(BudgetRejection& aRejection, ErrorKind aKind, std::string aDetail)
{
  aRejection.error = { .kind = aKind, .detail = std::move(aDetail) };
  return false;
}

bool
Refuse(BudgetRejection& aRejection, Denials&& aDenials)
{
  const ErrorKind kind = aDenials.front().kind == DenialKind::UnknownHost
                           ? ErrorKind::NotFound
                           : ErrorKind::LimitReached;
  aRejection.error = { .kind = kind, .detail = Describe(aDenials.front()) };
  aRejection.denials = std::move(aDenials);
  return false;
}

bool
RefuseHost(BudgetRejection& aRejection, DenialKind aKind, const HostId& aHost)
{
  return Refuse(aRejection,
                Denials{ { .kind = aKind, .subject = aHost.Value() } });
}

/// Returns the sum of the zone quotas of a pool.
Hosts
SumQuotas(const BudgetState& aState, const PoolId& aPool)
{
  Hosts sum;
  for (const auto& [key, quota] : aState.quotas) {
    if (key.first == aPool) {
      sum += quota.hosts;
    }
  }
  return sum;
}

} // namespace

BudgetLedger::BudgetLedger(BudgetState aState)
  : state_(std::move(aState))
{
}

const DownRecord*
BudgetLedger::Find(const HostId& aHost) const
{
  auto found = state_.down.find(aHost);
  return found == state_.down.end() ? nullptr : &found->second;
}

bool
BudgetLedger::Apply(const BudgetCommand& aCommand,
                    const PoolRegistry& aRegistry,
                    BudgetRejection& aRejection)
{
  return std::visit(
    [&](const auto& aTyped) { return On(aTyped, aRegistry, aRejection); },
    aCommand);
}

bool
BudgetLedger::On(const SetBudgets& aCommand,
                 const PoolRegistry&,
                 BudgetRejection&)
{
  state_.budgets = aCommand.budgets;
  return true;
}

bool
BudgetLedger::On(const SetZoneQuota& aCommand,
                 const PoolRegistry&,
                 BudgetRejection& aRejection)
{
  auto found = state_.quotas.find(aCommand.key);
  const bool hasHolder = found != state_.quotas.end();
  if (hasHolder && aCommand.expectedHolder != found->second.holder) {
    return Refuse(aRejection,
                  ErrorKind::Conflict,
                  "the zone's quota is held by \"" +
                    found->second.holder.Value() + "\"");
  }
  const Hosts previousHosts = hasHolder ? found->second.hosts : Hosts(0);
  const Hosts otherQuotas =
    SumQuotas(state_, aCommand.key.first) - previousHosts;
  const Hosts budget = state_.budgets.OfPool(aCommand.key.first);
  if (aCommand.quota.hosts < Hosts(0) ||
      otherQuotas + aCommand.quota.hosts > budget) {
    return Refuse(aRejection,
                  ErrorKind::LimitReached,
                  "the zone quotas would exceed the pool's budget of " +
                    std::to_string(budget.Count()));
  }
  state_.quotas[aCommand.key] = aCommand.quota;
  return true;
}

bool
BudgetLedger::On(const TransferQuota& aCommand,
                 const PoolRegistry& aRegistry,
                 BudgetRejection& aRejection)
{
  auto from = state_.quotas.find(aCommand.from);
  auto to = state_.quotas.find({ aCommand.from.first, aCommand.to });
  if (from == state_.quotas.end() || to == state_.quotas.end()) {
    return Refuse(aRejection,
                  ErrorKind::NotFound,
                  "one of the zones has no quota of the pool's budget");
  }
  if (from->second.holder != aCommand.by) {
    return Refuse(aRejection,
                  ErrorKind::Forbidden,
                  "only the holder of a zone's quota may transfer it");
  }
  // The earliest possible time makes expired grants count as well, so that the
  // result doesn't depend on any clock.
  const BudgetSnapshot snapshot(aRegistry, *this, Time(INT64_MIN));
  const Hosts unspent =
    from->second.hosts - snapshot.QuotaUsage(aCommand.from).Total();
  if (aCommand.hosts <= Hosts(0) || aCommand.hosts > unspent) {
    return Refuse(
      aRejection,
      ErrorKind::LimitReached,
      "only a positive part of the unused quota can be transferred");
  }
  from->second.hosts -= aCommand.hosts;
  to->second.hosts += aCommand.hosts;
  return true;
}

bool
BudgetLedger::On(const AcquireGrant& aCommand,
                 const PoolRegistry& aRegistry,
                 BudgetRejection& aRejection)
{
  const BudgetSnapshot snapshot(aRegistry, *this, aCommand.at);
  const DownRecord* record = Find(aCommand.host);
  const bool isClaimed = record && record->claim;
  if (isClaimed) {
    const Claim& claim = *record->claim;
    const bool isExpired =
      claim.stage == ClaimStage::Granted && aCommand.at >= claim.expiresAt;
    const bool isOwnGrant =
      claim.stage == ClaimStage::Granted && claim.by == aCommand.by;
    if (!isExpired && !isOwnGrant) {
      return RefuseHost(aRejection, DenialKind::HostClaimed, aCommand.host);
    }
  }
  Denials denials = snapshot.CheckTakedown(aCommand.host, aCommand.by);
  if (!denials.empty()) {
    return Refuse(aRejection, std::move(denials));
  }
  state_.down[aCommand.host].claim = Claim{ .stage = ClaimStage::Granted,
                                            .by = aCommand.by,
                                            .expiresAt = aCommand.expiresAt };
  return true;
}

bool
BudgetLedger::On(const ConfirmDrain& aCommand,
                 const PoolRegistry& aRegistry,
                 BudgetRejection& aRejection)
{
  auto found = state_.down.find(aCommand.host);
  if (found == state_.down.end() || !found->second.claim) {
    return RefuseHost(aRejection, DenialKind::NoGrant, aCommand.host);
  }
  Claim& claim = *found->second.claim;
  if (claim.by != aCommand.by) {
    return RefuseHost(aRejection, DenialKind::HostClaimed, aCommand.host);
  }
  if (claim.stage == ClaimStage::InMaintenance) {
    return true;
  }
  if (claim.stage == ClaimStage::Watched) {
    return RefuseHost(aRejection, DenialKind::NoGrant, aCommand.host);
  }
  if (aCommand.at >= claim.expiresAt) {
    return RefuseHost(aRejection, DenialKind::GrantExpired, aCommand.host);
  }
  const BudgetSnapshot snapshot(aRegistry, *this, aCommand.at);
  Denials denials = snapshot.CheckTakedown(aCommand.host, aCommand.by);
  if (!denials.empty()) {
    return Refuse(aRejection, std::move(denials));
  }
  claim.stage = ClaimStage::InMaintenance;
  return true;
}

bool
BudgetLedger::On(const RecordIsolatedTakedown& aCommand,
                 const PoolRegistry& aRegistry,
                 BudgetRejection& aRejection)
{
  const Membership* member = aRegistry.Find(aCommand.host);
  if (!member) {
    return RefuseHost(aRejection, DenialKind::UnknownHost, aCommand.host);
  }
  auto quota =
    state_.quotas.find({ member->pool, member->placement.availabilityZone });
  if (quota == state_.quotas.end() || quota->second.holder != aCommand.by) {
    return Refuse(aRejection,
                  ErrorKind::Forbidden,
                  "only the holder of the zone's quota may use it");
  }
  state_.down[aCommand.host].claim = Claim{ .stage = ClaimStage::InMaintenance,
                                            .by = aCommand.by,
                                            .expiresAt = Time() };
  return true;
}

bool
BudgetLedger::On(const BeginWatch& aCommand,
                 const PoolRegistry&,
                 BudgetRejection& aRejection)
{
  auto found = state_.down.find(aCommand.host);
  const bool isClaimed = found != state_.down.end() && found->second.claim;
  if (!isClaimed || found->second.claim->stage == ClaimStage::Granted) {
    return RefuseHost(aRejection, DenialKind::NoGrant, aCommand.host);
  }
  found->second.claim->stage = ClaimStage::Watched;
  return true;
}

bool
BudgetLedger::On(const EndClaim& aCommand,
                 const PoolRegistry&,
                 BudgetRejection&)
{
  auto found = state_.down.find(aCommand.host);
  if (found != state_.down.end()) {
    found->second.claim.reset();
    EraseIfUp(aCommand.host);
  }
  return true;
}

bool
BudgetLedger::On(const MarkFailed& aCommand,
                 const PoolRegistry& aRegistry,
                 BudgetRejection& aRejection)
{
  if (!aRegistry.Find(aCommand.host)) {
    return RefuseHost(aRejection, DenialKind::UnknownHost, aCommand.host);
  }
  state_.down[aCommand.host].failed = true;
  return true;
}

bool
BudgetLedger::On(const MarkRecovered& aCommand,
                 const PoolRegistry&,
                 BudgetRejection&)
{
  auto found = state_.down.find(aCommand.host);
  if (found != state_.down.end()) {
    found->second.failed = false;
    EraseIfUp(aCommand.host);
  }
  return true;
}

void
BudgetLedger::EraseIfUp(const HostId& aHost)
{
  const DownRecord& record = state_.down[aHost];
  if (!record.failed && !record.claim) {
    state_.down.erase(aHost);
  }
}

} // namespace greengage::fleet
