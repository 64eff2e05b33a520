// The exchange of grants with peers: reports in, transfers, reports out.

#include "greengage/dispatch/GrantLedger.h"

#include <algorithm>
#include <cassert>
#include <utility>

using namespace greengage;
using namespace greengage::dispatch;

static constexpr Slots kNone = Slots(0);
/// How often a demand that is not met is repeated.
static constexpr Duration kDemandRepeat = Duration(500);

void
GrantLedger::Receive(const PeerGrants& aReport, Time aNow)
{
  const GrantReport& report = aReport.report;
  const auto index = IndexOf(aReport.peer);
  if (!index || report.sender < peers_[*index].incarnation)
    return;
  Peer& peer = peers_[*index];
  if (report.sender > peer.incarnation) {
    // The peer has started. What this host knows of the balance stays true.
    peer.incarnation = report.sender;
    peer.hasSettled = false;
    peer.nextReport = aNow;
  }
  // A peer that has not heard of this incarnation may still accept reports of
  // the last one, so its balance is not final.
  if (report.receiver != options_.incarnation)
    return;
  peer.hasSettled |= report.isSettled;
  peer.mustAnswer |= report.isWhole;
  if (!peer.isSettled && !report.isWhole)
    return;
  if (!peer.isSettled)
    Settle(*index, report);
  for (const TeamGrant& grant : report.grants)
    Merge(*index, grant, aNow);
}

/// Takes over the peer's account of the balance.
void
GrantLedger::Settle(std::size_t aPeer, const GrantReport& aReport)
{
  for (const TeamGrant& grant : aReport.grants) {
    Balance& balance = AccountOf(grant.team).balances[aPeer];
    balance.given = grant.received;
    balance.givenVoid = grant.received;
    balance.acknowledged = grant.received;
    balance.received = grant.given;
    balance.baseline = balance.Net();
    balance.toReturn = std::max(kNone, balance.Net());
  }
  peers_[aPeer].isSettled = true;
  peers_[aPeer].nextReport = Time(0);
  --unsettled_;
}

void
GrantLedger::Merge(std::size_t aPeer, const TeamGrant& aGrant, Time aNow)
{
  Account& account = AccountOf(aGrant.team);
  // A decrease that this host has passed over without seeing it.
  if (aGrant.term > account.term && aGrant.term <= version_)
    StartTerm(account, aGrant.term);
  Balance& balance = account.balances[aPeer];
  balance.acknowledged = std::max(balance.acknowledged, aGrant.received);
  balance.peerHolding = aGrant.holding;
  balance.peerDemand = aGrant.demand;
  balance.heardAt = aNow;
  const Slots before = balance.received;
  if (aGrant.given > before) {
    const Slots delta = aGrant.given - before;
    balance.received = aGrant.given;
    account.lentUnder = std::max(account.lentUnder, aGrant.limit);
    const Slots isVoid =
      aGrant.term < account.term
        ? delta
        : std::clamp(aGrant.givenVoid - before, kNone, delta);
    // What comes back to this host has been lent by it and is never void.
    const Slots borrowed = std::max(kNone, balance.Net());
    balance.toReturn = std::min(balance.toReturn + isVoid, borrowed);
    balance.baseline += std::min(isVoid, borrowed);
  }
  balance.mustAcknowledge |= aGrant.acknowledged < balance.received;
}

/// Gives back what is to be returned and is not in use.
void
GrantLedger::ReturnBorrowed(Account& aAccount) const
{
  for (Balance& balance : aAccount.balances) {
    if (balance.toReturn <= kNone)
      continue;
    const Slots unused = Owned(aAccount) - aAccount.running;
    const Slots returned = std::clamp(unused, kNone, balance.toReturn);
    balance.given += returned;
    balance.toReturn -= returned;
  }
}

namespace {

/// A peer that lacks room, and what it ought to hold.
struct Lack
{
  std::size_t peer = 0;
  Slots holding;
  Slots demand;
  Slots target;

  Slots Missing() const { return std::max(kNone, target - holding); }
};

/// What hosts hold of a team and need, as one host knows it.
struct Balancing
{
  Slots holding;
  Slots demand;
  std::vector<Lack> lacks;

  bool IsShort() const { return demand > holding; }
  /// The share of a host in a total that is too small for all.
  std::int64_t ShareOf(Slots aDemand) const
  {
    return holding.Count() * aDemand.Count() /
           std::max<std::int64_t>(1, demand.Count());
  }
};

} // namespace

/// Sets what each host in need ought to hold. \returns what all of them miss.
static Slots
SetTargets(Balancing& aBalancing)
{
  Slots missing;
  for (Lack& lack : aBalancing.lacks) {
    lack.target = lack.demand;
    // One request at least, so that a small demand is not starved.
    if (aBalancing.IsShort())
      lack.target =
        Slots(std::max<std::int64_t>(1, aBalancing.ShareOf(lack.demand)));
    missing += lack.Missing();
  }
  return missing;
}

/// What this host keeps for itself.
static Slots
OwnTarget(const Balancing& aBalancing, Slots aDemand)
{
  if (!aBalancing.IsShort())
    return aDemand;
  Slots rest = aBalancing.holding;
  for (const Lack& lack : aBalancing.lacks)
    rest -= lack.target;
  const Slots least = aDemand > kNone ? Slots(1) : kNone;
  const Slots share = Slots(aBalancing.ShareOf(aDemand) + 1);
  return std::max(least, std::min(rest, share));
}

/// Gives peers in need what this host can spare, and pledges what it ought to
/// spare as its requests end.
void
GrantLedger::Rebalance(Account& aAccount, Time aNow) const
{
  aAccount.pledged = kNone;
  if (!IsSettled())
    return;
  const Slots own = Spendable(aAccount);
  Balancing balancing;
  balancing.holding = own;
  balancing.demand = Demand(aAccount);
  for (std::size_t index = 0; index < peers_.size(); ++index) {
    const Balance& balance = aAccount.balances[index];
    const bool isFresh = balance.heardAt + options_.demandExpiry > aNow;
    if (!isFresh || !peers_[index].hasSettled ||
        balance.peerDemand <= balance.peerHolding)
      continue;
    balancing.lacks.push_back({ .peer = index,
                                .holding = balance.peerHolding,
                                .demand = balance.peerDemand,
                                .target = {} });
    balancing.holding += balance.peerHolding;
    balancing.demand += balance.peerDemand;
  }
  if (balancing.lacks.empty())
    return;
  Slots missing = SetTargets(balancing);
  const Slots keep =
    std::max(ReserveOf(aAccount), OwnTarget(balancing, Demand(aAccount)));
  const Slots toGive = std::min(missing, std::max(kNone, own - keep));
  Slots now = std::clamp(own - aAccount.running, kNone, toGive);
  aAccount.pledged = toGive - now;
  for (const Lack& lack : balancing.lacks) {
    if (missing <= kNone)
      break;
    const std::int64_t part = now.Count() * lack.Missing().Count();
    const Slots gift((part + missing.Count() - 1) / missing.Count());
    now -= Give(aAccount, lack.peer, std::min(now, gift));
    missing -= lack.Missing();
  }
  // What is left was borrowed: its owners lend it on.
  for (std::size_t index = 0; index < peers_.size(); ++index) {
    const Slots borrowed = aAccount.balances[index].Net();
    if (now > kNone && borrowed > kNone)
      now -= Give(aAccount, index, std::min(now, borrowed));
  }
}

/// Gives a peer up to \p aMost: what it lent this host, then what this host
/// may lend of its own part. Nothing is lent on, so that a balance that both
/// sides forget leaves no third host in debt.
Slots
GrantLedger::Give(Account& aAccount, std::size_t aPeer, Slots aMost) const
{
  Slots ownPart = aAccount.part - ReserveOf(aAccount);
  for (const Balance& balance : aAccount.balances)
    ownPart += std::min(kNone, balance.Net());
  Balance& balance = aAccount.balances[aPeer];
  const Slots available =
    std::max(kNone, ownPart) + std::max(kNone, balance.Net());
  const Slots gift = std::clamp(aMost, kNone, available);
  balance.given += gift;
  balance.toReturn = std::min(balance.toReturn, std::max(kNone, balance.Net()));
  balance.peerHolding += gift;
  return gift;
}

std::vector<SendGrants>
GrantLedger::Reports(Time aNow)
{
  for (auto& [team, account] : accounts_) {
    if (IsSettled())
      ReturnBorrowed(account);
    Rebalance(account, aNow);
  }
  std::vector<SendGrants> reports;
  for (std::size_t index = 0; index < peers_.size(); ++index) {
    Peer& peer = peers_[index];
    if (peer.nextReport > aNow)
      continue;
    GrantReport report = MakeReport(index, aNow);
    const bool isKnown = peer.isSettled && peer.hasSettled && !peer.mustAnswer;
    if (isKnown && report.grants.empty())
      continue;
    peer.mustAnswer = false;
    peer.nextReport = aNow + options_.reportInterval;
    reports.push_back({ .peer = peer.id, .report = std::move(report) });
  }
  return reports;
}

bool
GrantLedger::IsDue(const Account& aAccount,
                   const Balance& aBalance,
                   Time aNow) const
{
  if (aBalance.mustAcknowledge || aBalance.given != aBalance.acknowledged)
    return true;
  const Slots demand = Demand(aAccount);
  const bool isLacking = demand > Spendable(aAccount);
  if (!isLacking)
    return aBalance.sentDemand > kNone;
  return demand != aBalance.sentDemand ||
         aBalance.sentAt + kDemandRepeat <= aNow;
}

TeamGrant
GrantLedger::MakeGrant(AccountEntry& aEntry, std::size_t aPeer, Time aNow) const
{
  Account& account = aEntry.second;
  Balance& balance = account.balances[aPeer];
  const Slots demand = Demand(account);
  const Slots holding = Spendable(account);
  balance.sentDemand = demand > holding ? demand : kNone;
  balance.sentAt = aNow;
  balance.mustAcknowledge = false;
  return { .team = aEntry.first,
           .given = balance.given,
           .givenVoid = balance.givenVoid,
           .received = balance.received,
           .acknowledged = balance.acknowledged,
           .holding = holding,
           .demand = demand,
           .term = account.term,
           .limit = account.limit };
}

GrantReport
GrantLedger::MakeReport(std::size_t aPeer, Time aNow)
{
  Peer& peer = peers_[aPeer];
  GrantReport report;
  report.sender = options_.incarnation;
  report.receiver = peer.incarnation;
  report.isSettled = peer.isSettled;
  report.isWhole = !peer.hasSettled;
  auto place = accounts_.upper_bound(peer.cursor);
  for (std::size_t seen = 0; seen < accounts_.size(); ++seen) {
    if (place == accounts_.end())
      place = accounts_.begin();
    AccountEntry& entry = *place++;
    const Balance& balance = entry.second.balances[aPeer];
    const bool hasBalance = balance.given + balance.received > kNone;
    const bool isListed =
      IsDue(entry.second, balance, aNow) || (report.isWhole && hasBalance);
    if (!isListed)
      continue;
    if (!report.isWhole && report.grants.size() >= options_.maxReportTeams)
      break;
    peer.cursor = entry.first;
    report.grants.push_back(MakeGrant(entry, aPeer, aNow));
  }
  return report;
}
