/// \file
/// Enforcement of team limits on one entry host. A limit holds across the
/// fleet, so each host may use only a part of it.

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

/// Counts the running requests of each team on this entry host and bounds them
/// by the host's part of the team's limit.
class LimitLedger
{
public:
  virtual ~LimitLedger() = default;

  /// Applies a version of the replicated state.
  virtual void Update(const state::FleetView& aView) = 0;
  /// Counts a request as running. \returns false if the team's quota is used
  /// up.
  virtual bool TryAcquire(const TeamId& aTeam) = 0;
  /// Counts the end of a running request.
  virtual void Release(const TeamId& aTeam) = 0;
  /// Whether TryAcquire would succeed.
  virtual bool CanAcquire(const TeamId& aTeam) const = 0;

  /// Sets how many requests of a team wait on this host. Only a ledger that
  /// rebalances by demand uses it.
  virtual void SetWaiting(const TeamId& /*aTeam*/, std::size_t /*aWaiting*/) {}
  /// Applies a peer's grant report.
  virtual void ApplyReport(const PeerGrants& /*aReport*/, Time /*aNow*/) {}
  /// \returns the grant reports that are due, at most one for each peer.
  virtual std::vector<SendGrants> TakeDueReports(Time /*aNow*/) { return {}; }
};

/// The position of one entry host among all of them.
struct SplitOptions
{
  /// The zero-based index in the order of all hosts' ids.
  std::size_t rank = 0;
  std::size_t hosts = 1;
};

/// The even quota of one host. The quotas of all hosts add up to \p aLimit, and
/// no quota decreases when the limit increases.
Slots
EvenQuota(Slots aLimit, const TeamId& aTeam, const SplitOptions& aOptions);

/// Splits each limit evenly and statically; the quotas add up to exactly the
/// limit.
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
  bool CanAcquire(const TeamId& aTeam) const override;

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
