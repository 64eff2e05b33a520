/// \file
/// The upper limits of teams as one entry host may use them. The limit holds
/// across the fleet, so each host spends only its own part of it.

#ifndef GREENGAGE_DISPATCH_LIMITLEDGER_H
#define GREENGAGE_DISPATCH_LIMITLEDGER_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/dispatch/Messages.h"
#include "greengage/state/FleetView.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace greengage::dispatch {

/// What this entry host may have running for each team.
class LimitLedger
{
public:
  virtual ~LimitLedger() = default;

  /// Takes a version of the agreed state into account.
  virtual void Update(const state::FleetView& aView) = 0;
  /// Counts one more running request, unless the team's part is used up.
  virtual bool TryAcquire(const TeamId& aTeam) = 0;
  /// Counts one running request less.
  virtual void Release(const TeamId& aTeam) = 0;
  /// Whether TryAcquire would succeed.
  virtual bool HasRoom(const TeamId& aTeam) const = 0;

  /// Notes how many requests of a team wait on this host. Only a ledger that
  /// follows demand needs it.
  virtual void NoteWaiting(const TeamId& /*aTeam*/, std::size_t /*aWaiting*/) {}
  /// Takes a peer's report on grants into account.
  virtual void Receive(const PeerGrants& /*aReport*/, Time /*aNow*/) {}
  /// The reports that are due for peers.
  virtual std::vector<SendGrants> Reports(Time /*aNow*/) { return {}; }
};

/// The place of one entry host among all of them.
struct SplitOptions
{
  /// Counted from 0 in the order of all hosts' ids.
  std::size_t rank = 0;
  std::size_t hosts = 1;
};

/// The part of \p aLimit that falls to one host. The parts of all hosts add up
/// to the limit, and none shrinks while the limit grows.
Slots
EvenQuota(Slots aLimit, const TeamId& aTeam, const SplitOptions& aOptions);

/// Splits each limit evenly; the parts add up to exactly the limit.
class StaticSplitLedger final : public LimitLedger
{
public:
  explicit StaticSplitLedger(SplitOptions aOptions)
    : options_(aOptions)
  {
  }
  void Update(const state::FleetView& aView) override;
  bool TryAcquire(const TeamId& aTeam) override;
  void Release(const TeamId& aTeam) override;
  bool HasRoom(const TeamId& aTeam) const override;

private:
  struct Account
  {
    Slots quota;
    Slots running;
  };
  SplitOptions options_;
  std::unordered_map<TeamId, Account> accounts_;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_LIMITLEDGER_H
