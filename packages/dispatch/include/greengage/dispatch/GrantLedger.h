/// \file
/// A limit ledger that rebalances each limit by demand: entry hosts lend each
/// other the slots that they don't need. The sum over all hosts never exceeds
/// the limit, since a host deducts a transfer from its own slots before it
/// sends the report that announces the transfer to the receiver.

#ifndef GREENGAGE_DISPATCH_GRANTLEDGER_H
#define GREENGAGE_DISPATCH_GRANTLEDGER_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/dispatch/Grants.h"
#include "greengage/dispatch/LimitLedger.h"
#include "greengage/dispatch/Messages.h"
#include "greengage/state/FleetView.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace greengage::dispatch {

/// The entry hosts that exchange grants, and the parameters of the exchange.
struct GrantOptions
{
  EntryHostId self;
  /// All entry hosts, this one included.
  std::vector<EntryHostId> members;
  Incarnation incarnation;
  /// This fraction (1 / reserveDivisor) of a host's even quota is never lent,
  /// so that the host can use it immediately after a restart.
  std::int64_t reserveDivisor = 4;
  /// Minimum interval between reports to one peer, except after a restart of
  /// either host.
  Duration reportInterval = Duration(200);
  /// Maximum number of teams in a report, unless the report must list all teams
  /// with a balance (GrantReport::isComplete).
  std::size_t maxTeamsPerReport = 8;
  /// How long a reported demand is used if the peer does not repeat it.
  Duration demandExpiry = Duration::Seconds(2);
};

/// Holds this host's quota of each limit and its balance with each peer.
///
/// A host may use its even quota, plus all slots it received, minus all it
/// gave. The balances are not persistent: after a restart the host asks each
/// peer for them. Until all peers have answered, it uses only its reserve and
/// the slots that it receives from then on.
///
/// When a limit shrinks, each host that applies the new limit stops using
/// borrowed slots and returns them as its requests end, so that the smaller
/// limit holds without communication between hosts.
class GrantLedger final : public LimitLedger
{
public:
  explicit GrantLedger(GrantOptions aOptions);

  void Update(const state::FleetView& aView) override;
  bool TryAcquire(const TeamId& aTeam) override;
  void Release(const TeamId& aTeam) override;
  bool CanAcquire(const TeamId& aTeam) const override;
  void SetWaiting(const TeamId& aTeam, std::size_t aWaiting) override;
  void ApplyReport(const PeerGrants& aReport, Time aNow) override;
  std::vector<SendGrants> TakeDueReports(Time aNow) override;

  /// The slots that the team may use on this host.
  Slots Holding(const TeamId& aTeam) const;
  Slots Running(const TeamId& aTeam) const;
  /// Whether the balance with every peer is known.
  bool AreBalancesKnown() const { return unknownBalances_ == 0; }

private:
  /// The transfers of one team's slots between this host and one peer.
  struct Balance
  {
    /// Cumulative, as are the other counters of transfers.
    Slots given;
    /// The value of \c given when the limit last decreased; loans up to it are
    /// revoked.
    Slots givenRevoked;
    Slots received;
    /// What the peer has confirmed of \c given.
    Slots acknowledged;
    /// Borrowed slots that were revoked by a new epoch or borrowed before a
    /// restart, and that are still to be returned to the peer.
    Slots toReturn;
    /// The net balance that predates the restart or has been revoked.
    /// MinOwnedSlots counts only the transfers beyond it as usable while
    /// balances with other peers are unknown.
    Slots baseline;
    Slots peerHolding;
    Slots peerDemand;
    Time lastReportAt;
    Slots sentDemand;
    Time demandSentAt;
    bool mustAcknowledge = false;

    Slots Net() const { return received - given; }
  };
  /// The state of one team. \c balances has the order of \c peers_.
  struct Account
  {
    Slots limit;
    Slots quota;
    Slots running;
    Slots waiting;
    /// Slots in use that peers need; they are transferred as requests end, and
    /// no new request may take them.
    Slots pledged;
    /// The version of the replicated state at which borrowed slots were last
    /// revoked.
    Version epoch;
    /// The greatest limit in force at a lender when it lent slots to this host
    /// in this epoch. A new limit below it starts a new epoch.
    Slots maxLenderLimit;
    std::vector<Balance> balances;
  };
  struct Peer
  {
    EntryHostId id;
    Incarnation incarnation;
    /// Whether this host has learned its balance with the peer since this host
    /// started.
    bool isBalanceKnown = false;
    /// The peer's current incarnation has reported that it knows its balance
    /// with this host.
    bool isBalanceKnownToPeer = false;
    /// The peer has sent a complete report, which asks for a report in return.
    bool mustReply = false;
    Time nextReport;
    /// The last team in the previous report; the next report continues after
    /// it, so that no team is left out.
    TeamId cursor;
  };
  using AccountEntry = std::pair<const TeamId, Account>;

  Account& AccountOf(const TeamId& aTeam);
  std::optional<std::size_t> IndexOf(const EntryHostId& aPeer) const;
  Slots ReserveOf(const Account& aAccount) const;
  Slots OwnedSlots(const Account& aAccount) const;
  Slots MinOwnedSlots(const Account& aAccount) const;
  Slots UsableSlots(const Account& aAccount) const;
  Slots Demand(const Account& aAccount) const;

  static void StartEpoch(Account& aAccount, Version aEpoch);
  void AdoptBalances(std::size_t aPeer, const GrantReport& aReport);
  void ApplyGrant(std::size_t aPeer, const TeamGrant& aGrant, Time aNow);
  void ReturnBorrowed(Account& aAccount) const;
  void Rebalance(Account& aAccount, Time aNow) const;
  Slots Give(Account& aAccount, std::size_t aPeer, Slots aMax) const;
  bool IsReportDue(const Account& aAccount,
                   const Balance& aBalance,
                   Time aNow) const;
  GrantReport MakeReport(std::size_t aPeer, Time aNow);
  TeamGrant MakeGrant(AccountEntry& aEntry, std::size_t aPeer, Time aNow) const;

  GrantOptions options_;
  SplitOptions split_;
  Version version_;
  std::vector<Peer> peers_;
  std::size_t unknownBalances_ = 0;
  std::map<TeamId, Account> accounts_;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_GRANTLEDGER_H
