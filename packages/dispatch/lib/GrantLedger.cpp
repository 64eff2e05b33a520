#include "greengage/dispatch/GrantLedger.h"

#include <algorithm>
#include <cassert>
#include <utility>

using namespace greengage;
using namespace greengage::dispatch;

static constexpr Slots kNoSlots = Slots(0);

GrantLedger::GrantLedger(GrantOptions aOptions)
  : options_(std::move(aOptions))
{
  std::sort(options_.members.begin(), options_.members.end());
  split_.hosts = options_.members.size();
  for (std::size_t rank = 0; rank < options_.members.size(); ++rank) {
    if (options_.members[rank] == options_.self) {
      split_.rank = rank;
      continue;
    }
    Peer peer;
    peer.id = options_.members[rank];
    peers_.push_back(std::move(peer));
  }
  unknownBalances_ = peers_.size();
  assert(peers_.size() + 1 == split_.hosts &&
         "this host is not listed exactly once among the members");
}

GrantLedger::Account&
GrantLedger::AccountOf(const TeamId& aTeam)
{
  const auto [place, isNew] = accounts_.try_emplace(aTeam);
  if (isNew) {
    place->second.epoch = version_;
    place->second.balances.resize(peers_.size());
  }
  return place->second;
}

std::optional<std::size_t>
GrantLedger::IndexOf(const EntryHostId& aPeer) const
{
  for (std::size_t index = 0; index < peers_.size(); ++index)
    if (peers_[index].id == aPeer)
      return index;
  return std::nullopt;
}

/// Revokes all outstanding loans: marks borrowed slots as to be returned, and
/// lent slots as revoked.
void
GrantLedger::StartEpoch(Account& aAccount, Version aEpoch)
{
  aAccount.epoch = aEpoch;
  aAccount.maxLenderLimit = kNoSlots;
  for (Balance& balance : aAccount.balances) {
    balance.toReturn = std::max(kNoSlots, balance.Net());
    balance.baseline = std::max(balance.baseline, balance.Net());
    balance.givenRevoked = balance.given;
  }
}

void
GrantLedger::Update(const state::FleetView& aView)
{
  const bool isFirst = version_ == Version();
  version_ = aView.version;
  for (auto& [team, account] : accounts_) {
    // Peers may have reported before the first view arrived.
    if (isFirst)
      StartEpoch(account, version_);
    if (!aView.teams.contains(team)) {
      StartEpoch(account, version_);
      account.limit = kNoSlots;
      account.quota = kNoSlots;
    }
  }
  for (const auto& [team, policy] : aView.teams) {
    Account& account = AccountOf(team);
    // A peer may have lent slots under a greater limit of a version that this
    // host skipped.
    if (policy.limit < std::max(account.limit, account.maxLenderLimit))
      StartEpoch(account, version_);
    account.limit = policy.limit;
    account.quota = EvenQuota(policy.limit, team, split_);
  }
}

Slots
GrantLedger::ReserveOf(const Account& aAccount) const
{
  return Slots(aAccount.quota.Count() / options_.reserveDivisor);
}

/// The quota of this host plus its net balances with all peers, or a lower
/// bound while some balances are unknown. Negative if the limit shrank while
/// slots were lent.
Slots
GrantLedger::OwnedSlots(const Account& aAccount) const
{
  if (!AreBalancesKnown())
    return MinOwnedSlots(aAccount);
  Slots owned = aAccount.quota;
  for (const Balance& balance : aAccount.balances)
    owned += balance.Net();
  return owned;
}

/// A lower bound of the owned slots while some balances are unknown: the
/// reserve and the slots received since the restart, bounded by the quota of
/// the current limit.
Slots
GrantLedger::MinOwnedSlots(const Account& aAccount) const
{
  Slots atLeast = ReserveOf(aAccount);
  Slots atMost = aAccount.quota;
  for (std::size_t index = 0; index < peers_.size(); ++index) {
    if (!peers_[index].isBalanceKnown)
      continue;
    const Balance& balance = aAccount.balances[index];
    atLeast += balance.Net() - balance.baseline;
    atMost += balance.Net() - std::max(kNoSlots, balance.baseline);
  }
  return std::min(atLeast, atMost);
}

/// The slots that requests may use. Excludes slots that are to be returned.
Slots
GrantLedger::UsableSlots(const Account& aAccount) const
{
  Slots usable = OwnedSlots(aAccount);
  if (unknownBalances_ == 0)
    for (const Balance& balance : aAccount.balances)
      usable -= balance.toReturn;
  return std::max(kNoSlots, usable);
}

Slots
GrantLedger::Demand(const Account& aAccount) const
{
  return aAccount.running + aAccount.waiting;
}

bool
GrantLedger::TryAcquire(const TeamId& aTeam)
{
  if (!CanAcquire(aTeam))
    return false;
  accounts_.at(aTeam).running += Slots(1);
  return true;
}

void
GrantLedger::Release(const TeamId& aTeam)
{
  Account& account = accounts_.at(aTeam);
  assert(account.running > kNoSlots && "Release without a matching TryAcquire");
  account.running -= Slots(1);
}

bool
GrantLedger::CanAcquire(const TeamId& aTeam) const
{
  const auto found = accounts_.find(aTeam);
  if (found == accounts_.end())
    return false;
  const Account& account = found->second;
  return account.running + account.pledged < UsableSlots(account);
}

void
GrantLedger::SetWaiting(const TeamId& aTeam, std::size_t aWaiting)
{
  const auto found = accounts_.find(aTeam);
  if (found != accounts_.end())
    found->second.waiting = Slots(static_cast<std::int64_t>(aWaiting));
}

Slots
GrantLedger::Holding(const TeamId& aTeam) const
{
  const auto found = accounts_.find(aTeam);
  return found == accounts_.end() ? kNoSlots : UsableSlots(found->second);
}

Slots
GrantLedger::Running(const TeamId& aTeam) const
{
  const auto found = accounts_.find(aTeam);
  return found == accounts_.end() ? kNoSlots : found->second.running;
}
