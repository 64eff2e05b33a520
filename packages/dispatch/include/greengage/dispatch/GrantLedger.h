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
  std::size_t maxReportTeams = 8;
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
  bool IsSettled() const { return unsettled_ == 0; }

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
    Time heardAt;
    Slots sentDemand;
    Time sentAt;
    bool mustAcknowledge = false;

    Slots Net() const { return received - given; }
  };
  /// One team. The balances stand in the order of the peers.
  struct Account
  {
    Slots limit;
    Slots part;
    Slots running;
    Slots waiting;
    /// Promised to peers in need, to be given as requests end.
    Slots pledged;
    Version term;
    /// The greatest limit under which what is held can have been lent.
    Slots lentUnder;
    std::vector<Balance> balances;
  };
  struct Peer
  {
    EntryHostId id;
    Incarnation incarnation;
    /// This host knows its balance with the peer's present incarnation.
    bool isSettled = false;
    /// The peer says that it knows its balance with this host.
    bool hasSettled = false;
    /// The peer does not know yet what this host knows of it.
    bool mustAnswer = false;
    Time nextReport;
    /// The team after which the next report goes on.
    TeamId cursor;
  };
  using AccountEntry = std::pair<const TeamId, Account>;

  Account& AccountOf(const TeamId& aTeam);
  std::optional<std::size_t> IndexOf(const EntryHostId& aPeer) const;
  Slots ReserveOf(const Account& aAccount) const;
  Slots Owned(const Account& aAccount) const;
  Slots OwnedAtLeast(const Account& aAccount) const;
  Slots Spendable(const Account& aAccount) const;
  Slots Demand(const Account& aAccount) const;

  static void StartTerm(Account& aAccount, Version aTerm);
  void Settle(std::size_t aPeer, const GrantReport& aReport);
  void Merge(std::size_t aPeer, const TeamGrant& aGrant, Time aNow);
  void ReturnBorrowed(Account& aAccount) const;
  void Rebalance(Account& aAccount, Time aNow) const;
  Slots Give(Account& aAccount, std::size_t aPeer, Slots aMost) const;
  bool IsDue(const Account& aAccount, const Balance& aBalance, Time aNow) const;
  GrantReport MakeReport(std::size_t aPeer, Time aNow);
  TeamGrant MakeGrant(AccountEntry& aEntry, std::size_t aPeer, Time aNow) const;

  GrantOptions options_;
  SplitOptions split_;
  Version version_;
  std::vector<Peer> peers_;
  std::size_t unsettled_ = 0;
  std::map<TeamId, Account> accounts_;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_GRANTLEDGER_H
