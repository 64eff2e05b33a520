/// \file
/// Messages with which entry hosts transfer parts of a team's limit between
/// each other. The transfer counters are cumulative totals, so that lost,
/// duplicated or reordered messages don't corrupt a balance.

#ifndef GREENGAGE_DISPATCH_GRANTS_H
#define GREENGAGE_DISPATCH_GRANTS_H

#include "greengage/core/Ids.h"
#include "greengage/core/StrongId.h"
#include "greengage/core/Units.h"

#include <cstdint>
#include <vector>

namespace greengage::dispatch {

/// Identifies one run of an entry host's process and increases with each
/// restart. Zero means unknown.
using Incarnation = StrongId<struct GrantIncarnationTag, std::uint64_t>;

/// The sender's view of one team's transfers between it and the receiver.
struct TeamGrant
{
  TeamId team;
  /// All slots that the sender has ever given to the receiver, lent or
  /// returned.
  Slots given;
  /// The value of \c given when the limit last decreased. Loans up to this
  /// value are revoked, and the receiver must return them.
  Slots givenRevoked;
  /// All slots that the sender has ever received from the receiver.
  Slots received;
  /// The part of \c given that the receiver has confirmed.
  Slots acknowledged;
  /// Slots that the sender may use now.
  Slots holding;
  /// The number of running and waiting requests on the sender.
  Slots demand;
  /// The version of the replicated state at which the sender last revoked
  /// borrowed slots.
  Version epoch;
  /// The limit that is in force at the sender.
  Slots limit;

  friend bool operator==(const TeamGrant&, const TeamGrant&) = default;
};

/// A message between two entry hosts about the limits of some teams.
struct GrantReport
{
  Incarnation sender;
  /// The receiver's latest incarnation known to the sender; zero if unknown.
  Incarnation receiver;
  /// Whether the sender knows its balance with the receiver.
  bool isBalanceKnown = false;
  /// Whether all teams with a balance are listed, so that the receiver can
  /// restore its balances from the report.
  bool isComplete = false;
  std::vector<TeamGrant> grants;

  friend bool operator==(const GrantReport&, const GrantReport&) = default;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_GRANTS_H
