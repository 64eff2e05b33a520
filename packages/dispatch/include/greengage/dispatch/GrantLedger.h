/// \file
/// The ledger whose parts of the limits follow demand: entry hosts give each
/// other what they do not need. The sum over all hosts never exceeds the limit,
/// since a giver takes its part down before the receiver can hear of it.

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

/// The place of one entry host, and the bounds of the exchange.
struct GrantOptions
{
  EntryHostId self;
  /// All entry hosts, this one included.
  std::vector<EntryHostId> members;
  Incarnation incarnation;
  /// One part in so many of a host's even part is never given away, so that
  /// the host has it at once after a restart.
  std::int64_t reserveDivisor = 4;
  /// How often one peer hears a report.
  Duration reportInterval = Duration(200);
  /// Teams in one report, unless it is a whole one.
  std::size_t maxTeamsPerReport = 8;
  /// How long a peer's demand counts without a repeat.
  Duration demandExpiry = Duration::Seconds(2);
};

/// Holds this host's part of each limit and its balance with each peer.
///
/// A host may spend: its even part, plus all it received, minus all it gave.
/// After a restart it has forgotten the last two, and asks each peer for the
/// balance; until all have answered it spends only its reserve and what it is
/// given from then on.
///
/// When a limit shrinks, each host that sees it stops using what it borrowed
/// and returns it as its requests end, so no host needs another's help to keep
/// the smaller limit.
class GrantLedger final : public LimitLedger
{
public:
  explicit GrantLedger(GrantOptions aOptions);

  void Update(const state::FleetView& aView) override;
  bool TryAcquire(const TeamId& aTeam) override;
  void Release(const TeamId& aTeam) override;
  bool HasRoom(const TeamId& aTeam) const override;
  void NoteWaiting(const TeamId& aTeam, std::size_t aWaiting) override;
  void Receive(const PeerGrants& aReport, Time aNow) override;
  std::vector<SendGrants> Reports(Time aNow) override;

  /// What the team may have running on this host.
  Slots Holding(const TeamId& aTeam) const;
  Slots Running(const TeamId& aTeam) const;
  /// Whether the balance with every peer is known.
  bool AreBalancesKnown() const { return unknownBalances_ == 0; }

private:
  /// One team between this host and one peer.
  struct Balance
  {
    Slots given;
    Slots givenVoid;
    Slots received;
    /// What the peer says that it received.
    Slots acknowledged;
    /// What was borrowed before transfers started anew and goes back.
    Slots toReturn;
    /// What counts as received while other balances are not known yet.
    Slots baseline;
    Slots peerHolding;
    Slots peerDemand;
    Time lastReportAt;
    Slots sentDemand;
    Time demandSentAt;
    bool mustAcknowledge = false;

    Slots Net() const { return received - given; }
  };
  /// One team. The balances stand in the order of the peers.
  struct Account
  {
    Slots limit;
    Slots quota;
    Slots running;
    Slots waiting;
    /// Promised to peers in need, to be given as requests end.
    Slots pledged;
    Version epoch;
    /// The greatest limit under which what is held can have been lent.
    Slots maxLenderLimit;
    std::vector<Balance> balances;
  };
  struct Peer
  {
    EntryHostId id;
    Incarnation incarnation;
    /// This host knows its balance with the peer's present incarnation.
    bool isBalanceKnown = false;
    /// The peer says that it knows its balance with this host.
    bool isBalanceKnownToPeer = false;
    /// The peer does not know yet what this host knows of it.
    bool mustReply = false;
    Time nextReport;
    /// The team after which the next report goes on.
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
