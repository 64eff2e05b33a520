// The exchange of grants with peers: received reports, transfers and sent
// reports.

#include "greengage/dispatch/GrantLedger.h"

#include <algorithm>
#include <cassert>
#include <utility>

using namespace greengage;
using namespace greengage::dispatch;

static constexpr Slots kNoSlots = Slots(0);
/// Interval at which an unmet demand is reported again.
static constexpr Duration kDemandRepeatInterval = Duration(500);

void
GrantLedger::ApplyReport(const PeerGrants& aReport, Time aNow)
{
  const GrantReport& report = aReport.report;
  const auto index = IndexOf(aReport.peer);
  if (!index || report.sender < peers_[*index].incarnation)
    return;
  Peer& peer = peers_[*index];
  if (report.sender > peer.incarnation) {
    // The peer has restarted. This host's record of the balance is still valid.
    peer.incarnation = report.sender;
    peer.isBalanceKnownToPeer = false;
    peer.nextReport = aNow;
  }
  // A peer that does not know this incarnation may still accept reports of the
  // previous one, so its record of the balance is not final.
  if (report.receiver != options_.incarnation)
    return;
  peer.isBalanceKnownToPeer |= report.isBalanceKnown;
  peer.mustReply |= report.isComplete;
  if (!peer.isBalanceKnown && !report.isComplete)
    return;
  if (!peer.isBalanceKnown)
    AdoptBalances(*index, report);
  for (const TeamGrant& grant : report.grants)
    ApplyGrant(*index, grant, aNow);
}

/// Restores the balances with a peer from the peer's record of them. Slots
/// borrowed before the restart are to be returned.
void
GrantLedger::AdoptBalances(std::size_t aPeer, const GrantReport& aReport)
{
  for (const TeamGrant& grant : aReport.grants) {
    Balance& balance = AccountOf(grant.team).balances[aPeer];
    balance.given = grant.received;
    balance.givenRevoked = grant.received;
    balance.acknowledged = grant.received;
    balance.received = grant.given;
    balance.baseline = balance.Net();
    balance.toReturn = std::max(kNoSlots, balance.Net());
  }
  peers_[aPeer].isBalanceKnown = true;
  peers_[aPeer].nextReport = Time(0);
  --unknownBalances_;
}

void
GrantLedger::ApplyGrant(std::size_t aPeer, const TeamGrant& aGrant, Time aNow)
{
  Account& account = AccountOf(aGrant.team);
  // The limit decreased in a version that this host skipped.
  if (aGrant.epoch > account.epoch && aGrant.epoch <= version_)
    StartEpoch(account, aGrant.epoch);
  Balance& balance = account.balances[aPeer];
  balance.acknowledged = std::max(balance.acknowledged, aGrant.received);
  balance.peerHolding = aGrant.holding;
  balance.peerDemand = aGrant.demand;
  balance.lastReportAt = aNow;
  const Slots previous = balance.received;
  if (aGrant.given > previous) {
    const Slots delta = aGrant.given - previous;
    balance.received = aGrant.given;
    account.maxLenderLimit = std::max(account.maxLenderLimit, aGrant.limit);
    const Slots revoked =
      aGrant.epoch < account.epoch
        ? delta
        : std::clamp(aGrant.givenRevoked - previous, kNoSlots, delta);
    // Slots that the peer returns were lent by this host and are never revoked.
    const Slots borrowed = std::max(kNoSlots, balance.Net());
    balance.toReturn = std::min(balance.toReturn + revoked, borrowed);
    balance.baseline += std::min(revoked, borrowed);
  }
  balance.mustAcknowledge |= aGrant.acknowledged < balance.received;
}

/// Returns the borrowed slots that are due for return and not in use.
void
GrantLedger::ReturnBorrowed(Account& aAccount) const
{
  for (Balance& balance : aAccount.balances) {
    if (balance.toReturn <= kNoSlots)
      continue;
    const Slots unused = OwnedSlots(aAccount) - aAccount.running;
    const Slots returned = std::clamp(unused, kNoSlots, balance.toReturn);
    balance.given += returned;
    balance.toReturn -= returned;
  }
}

namespace {

/// A peer with more demand than slots, and its target number of slots.
struct PeerNeed
{
  std::size_t peer = 0;
  Slots holding;
  Slots demand;
  Slots target;

  Slots Missing() const { return std::max(kNoSlots, target - holding); }
};

/// The slots and the demand of this host and the peers in need for one team, as
/// this host knows them.
struct DemandSummary
{
  Slots holding;
  Slots demand;
  std::vector<PeerNeed> needs;

  bool IsShort() const { return demand > holding; }
  /// A host's part of the held slots in proportion to its demand.
  std::int64_t ProportionalPart(Slots aDemand) const
  {
    return holding.Count() * aDemand.Count() /
           std::max<std::int64_t>(1, demand.Count());
  }
};

} // namespace

/// Sets the target of each peer in need. \returns the slots that all of them
/// lack.
static Slots
SetTargets(DemandSummary& aSummary)
{
  Slots missing;
  for (PeerNeed& need : aSummary.needs) {
    need.target = need.demand;
    // At least one slot, so that a small demand is not starved.
    if (aSummary.IsShort())
      need.target = Slots(
        std::max<std::int64_t>(1, aSummary.ProportionalPart(need.demand)));
    missing += need.Missing();
  }
  return missing;
}

/// The number of slots that this host keeps to meet its own demand.
static Slots
OwnTarget(const DemandSummary& aSummary, Slots aDemand)
{
  if (!aSummary.IsShort())
    return aDemand;
  Slots remaining = aSummary.holding;
  for (const PeerNeed& need : aSummary.needs)
    remaining -= need.target;
  const Slots minTarget = aDemand > kNoSlots ? Slots(1) : kNoSlots;
  const Slots proportional = Slots(aSummary.ProportionalPart(aDemand) + 1);
  return std::max(minTarget, std::min(remaining, proportional));
}

/// Transfers surplus slots to peers in need, and pledges surplus slots that are
/// still in use, to be transferred as requests end.
void
GrantLedger::Rebalance(Account& aAccount, Time aNow) const
{
  aAccount.pledged = kNoSlots;
  if (!AreBalancesKnown())
    return;
  const Slots usable = UsableSlots(aAccount);
  DemandSummary summary;
  summary.holding = usable;
  summary.demand = Demand(aAccount);
  for (std::size_t index = 0; index < peers_.size(); ++index) {
    const Balance& balance = aAccount.balances[index];
    const bool isFresh = balance.lastReportAt + options_.demandExpiry > aNow;
    if (!isFresh || !peers_[index].isBalanceKnownToPeer ||
        balance.peerDemand <= balance.peerHolding)
      continue;
    summary.needs.push_back({ .peer = index,
                              .holding = balance.peerHolding,
                              .demand = balance.peerDemand,
                              .target = {} });
    summary.holding += balance.peerHolding;
    summary.demand += balance.peerDemand;
  }
  if (summary.needs.empty())
    return;
  Slots missing = SetTargets(summary);
  const Slots keep =
    std::max(ReserveOf(aAccount), OwnTarget(summary, Demand(aAccount)));
  const Slots surplus = std::min(missing, std::max(kNoSlots, usable - keep));
  Slots transferable = std::clamp(usable - aAccount.running, kNoSlots, surplus);
  aAccount.pledged = surplus - transferable;
  for (const PeerNeed& need : summary.needs) {
    if (missing <= kNoSlots)
      break;
    const std::int64_t part = transferable.Count() * need.Missing().Count();
    const Slots transfer((part + missing.Count() - 1) / missing.Count());
    transferable -= Give(aAccount, need.peer, std::min(transferable, transfer));
    missing -= need.Missing();
  }
  // The remaining surplus is borrowed. It goes back to its owners, which can
  // lend it to the peers in need.
  for (std::size_t index = 0; index < peers_.size(); ++index) {
    const Slots borrowed = aAccount.balances[index].Net();
    if (transferable > kNoSlots && borrowed > kNoSlots)
      transferable -= Give(aAccount, index, std::min(transferable, borrowed));
  }
}

/// Transfers up to \p aMax slots to a peer: slots that the peer lent, then
/// lendable slots of this host's own quota. Borrowed slots are never lent to a
/// third host, so that no third host owes slots of a loan whose two sides have
/// both lost their record of it.
Slots
GrantLedger::Give(Account& aAccount, std::size_t aPeer, Slots aMax) const
{
  Slots lendable = aAccount.quota - ReserveOf(aAccount);
  for (const Balance& balance : aAccount.balances)
    lendable += std::min(kNoSlots, balance.Net());
  Balance& balance = aAccount.balances[aPeer];
  const Slots available =
    std::max(kNoSlots, lendable) + std::max(kNoSlots, balance.Net());
  const Slots transfer = std::clamp(aMax, kNoSlots, available);
  balance.given += transfer;
  balance.toReturn =
    std::min(balance.toReturn, std::max(kNoSlots, balance.Net()));
  balance.peerHolding += transfer;
  return transfer;
}

std::vector<SendGrants>
GrantLedger::TakeDueReports(Time aNow)
{
  for (auto& [team, account] : accounts_) {
    if (AreBalancesKnown())
      ReturnBorrowed(account);
    Rebalance(account, aNow);
  }
  std::vector<SendGrants> reports;
  for (std::size_t index = 0; index < peers_.size(); ++index) {
    Peer& peer = peers_[index];
    if (peer.nextReport > aNow)
      continue;
    GrantReport report = MakeReport(index, aNow);
    const bool isKnown =
      peer.isBalanceKnown && peer.isBalanceKnownToPeer && !peer.mustReply;
    if (isKnown && report.grants.empty())
      continue;
    peer.mustReply = false;
    peer.nextReport = aNow + options_.reportInterval;
    reports.push_back({ .peer = peer.id, .report = std::move(report) });
  }
  return reports;
}

bool
GrantLedger::IsReportDue(const Account& aAccount,
                         const Balance& aBalance,
                         Time aNow) const
{
  if (aBalance.mustAcknowledge || aBalance.given != aBalance.acknowledged)
    return true;
  const Slots demand = Demand(aAccount);
  const bool isShort = demand > UsableSlots(aAccount);
  if (!isShort)
    return aBalance.sentDemand > kNoSlots;
  return demand != aBalance.sentDemand ||
         aBalance.demandSentAt + kDemandRepeatInterval <= aNow;
}

TeamGrant
GrantLedger::MakeGrant(AccountEntry& aEntry, std::size_t aPeer, Time aNow) const
{
  Account& account = aEntry.second;
  Balance& balance = account.balances[aPeer];
  const Slots demand = Demand(account);
  const Slots holding = UsableSlots(account);
  balance.sentDemand = demand > holding ? demand : kNoSlots;
  balance.demandSentAt = aNow;
  balance.mustAcknowledge = false;
  return { .team = aEntry.first,
           .given = balance.given,
           .givenRevoked = balance.givenRevoked,
           .received = balance.received,
           .acknowledged = balance.acknowledged,
           .holding = holding,
           .demand = demand,
           .epoch = account.epoch,
           .limit = account.limit };
}

GrantReport
GrantLedger::MakeReport(std::size_t aPeer, Time aNow)
{
  Peer& peer = peers_[aPeer];
  GrantReport report;
  report.sender = options_.incarnation;
  report.receiver = peer.incarnation;
  report.isBalanceKnown = peer.isBalanceKnown;
  report.isComplete = !peer.isBalanceKnownToPeer;
  auto next = accounts_.upper_bound(peer.cursor);
  for (std::size_t seen = 0; seen < accounts_.size(); ++seen) {
    if (next == accounts_.end())
      next = accounts_.begin();
    AccountEntry& entry = *next++;
    const Balance& balance = entry.second.balances[aPeer];
    const bool hasBalance = balance.given + balance.received > kNoSlots;
    const bool isListed = IsReportDue(entry.second, balance, aNow) ||
                          (report.isComplete && hasBalance);
    if (!isListed)
      continue;
    if (!report.isComplete &&
        report.grants.size() >= options_.maxTeamsPerReport)
      break;
    peer.cursor = entry.first;
    report.grants.push_back(MakeGrant(entry, aPeer, aNow));
  }
  return report;
}
