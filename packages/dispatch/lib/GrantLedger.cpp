#include "greengage/dispatch/GrantLedger.h"

#include <algorithm>
#include <cassert>
#include <utility>

using namespace greengage;
using namespace greengage::dispatch;

static constexpr Slots kNone = Slots(0);

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
  unsettled_ = peers_.size();
  assert(peers_.size() + 1 == split_.hosts && "this host is a member once");
}

GrantLedger::Account&
GrantLedger::AccountOf(const TeamId& aTeam)
{
  const auto [place, isNew] = accounts_.try_emplace(aTeam);
  if (isNew) {
    place->second.term = version_;
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

/// From here on, what was borrowed goes back and what was lent is recalled.
void
GrantLedger::StartTerm(Account& aAccount, Version aTerm)
{
  aAccount.term = aTerm;
  aAccount.lentUnder = kNone;
  for (Balance& balance : aAccount.balances) {
    balance.toReturn = std::max(kNone, balance.Net());
    balance.baseline = std::max(balance.baseline, balance.Net());
    balance.givenVoid = balance.given;
  }
}

void
GrantLedger::Update(const state::FleetView& aView)
{
  const bool isFirst = version_ == Version();
  version_ = aView.version;
  for (auto& [team, account] : accounts_) {
    // Peers may have reported before the first view came.
    if (isFirst)
      StartTerm(account, version_);
    if (!aView.teams.contains(team)) {
      StartTerm(account, version_);
      account.limit = kNone;
      account.part = kNone;
    }
  }
  for (const auto& [team, policy] : aView.teams) {
    Account& account = AccountOf(team);
    // A peer may have lent under a limit that this host passed over.
    if (policy.limit < std::max(account.limit, account.lentUnder))
      StartTerm(account, version_);
    account.limit = policy.limit;
    account.part = EvenQuota(policy.limit, team, split_);
  }
}

Slots
GrantLedger::ReserveOf(const Account& aAccount) const
{
  return Slots(aAccount.part.Count() / options_.reserveDivisor);
}

/// What belongs to this host, borrowed parts included; below zero if the limit
/// shrank while parts were lent out.
Slots
GrantLedger::Owned(const Account& aAccount) const
{
  if (!IsSettled())
    return OwnedAtLeast(aAccount);
  Slots owned = aAccount.part;
  for (const Balance& balance : aAccount.balances)
    owned += balance.Net();
  return owned;
}

/// What belongs to this host for sure while some balances are not known: the
/// reserve and what came in since, as far as the present limit allows.
Slots
GrantLedger::OwnedAtLeast(const Account& aAccount) const
{
  Slots atLeast = ReserveOf(aAccount);
  Slots atMost = aAccount.part;
  for (std::size_t index = 0; index < peers_.size(); ++index) {
    if (!peers_[index].isSettled)
      continue;
    const Balance& balance = aAccount.balances[index];
    atLeast += balance.Net() - balance.baseline;
    atMost += balance.Net() - std::max(kNone, balance.baseline);
  }
  return std::min(atLeast, atMost);
}

/// What requests may use: nothing that is to be returned.
Slots
GrantLedger::Spendable(const Account& aAccount) const
{
  Slots spendable = Owned(aAccount);
  if (unsettled_ == 0)
    for (const Balance& balance : aAccount.balances)
      spendable -= balance.toReturn;
  return std::max(kNone, spendable);
}

Slots
GrantLedger::Demand(const Account& aAccount) const
{
  return aAccount.running + aAccount.waiting;
}

bool
GrantLedger::TryAcquire(const TeamId& aTeam)
{
  if (!HasRoom(aTeam))
    return false;
  accounts_.at(aTeam).running += Slots(1);
  return true;
}

void
GrantLedger::Release(const TeamId& aTeam)
{
  Account& account = accounts_.at(aTeam);
  assert(account.running > kNone && "each release follows an acquire");
  account.running -= Slots(1);
}

bool
GrantLedger::HasRoom(const TeamId& aTeam) const
{
  const auto found = accounts_.find(aTeam);
  if (found == accounts_.end())
    return false;
  const Account& account = found->second;
  return account.running + account.pledged < Spendable(account);
}

void
GrantLedger::NoteWaiting(const TeamId& aTeam, std::size_t aWaiting)
{
  const auto found = accounts_.find(aTeam);
  if (found != accounts_.end())
    found->second.waiting = Slots(static_cast<std::int64_t>(aWaiting));
}

Slots
GrantLedger::Holding(const TeamId& aTeam) const
{
  const auto found = accounts_.find(aTeam);
  return found == accounts_.end() ? kNone : Spendable(found->second);
}

Slots
GrantLedger::Running(const TeamId& aTeam) const
{
  const auto found = accounts_.find(aTeam);
  return found == accounts_.end() ? kNone : found->second.running;
}
