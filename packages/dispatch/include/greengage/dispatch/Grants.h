/// \file
/// The messages by which entry hosts move parts of a team's limit between each
/// other. All counters are cumulative, so that a message may be lost, repeated
/// or overtaken without harm.

#ifndef GREENGAGE_DISPATCH_GRANTS_H
#define GREENGAGE_DISPATCH_GRANTS_H

#include "greengage/core/Ids.h"
#include "greengage/core/StrongId.h"
#include "greengage/core/Units.h"

#include <cstdint>
#include <vector>

namespace greengage::dispatch {

/// One run of an entry host's process; a later run has a larger number. Zero
/// stands for a run that is not known.
using Incarnation = StrongId<struct GrantIncarnationTag, std::uint64_t>;

/// What the sender knows of one team's limit between itself and the receiver.
struct TeamGrant
{
  TeamId team;
  /// All that the sender ever gave the receiver.
  Slots given;
  /// What was given before the limit last shrank; it must come back.
  Slots givenVoid;
  /// All that the sender ever got from the receiver.
  Slots received;
  /// What the receiver has confirmed of \c given.
  Slots acknowledged;
  /// What the sender may have running now.
  Slots holding;
  /// What the sender has running and waiting.
  Slots demand;
  /// The version of the agreed state at which transfers last started anew.
  Version term;
  /// The limit that the sender has in force.
  Slots limit;

  friend bool operator==(const TeamGrant&, const TeamGrant&) = default;
};

/// A message between two entry hosts about the limits of some teams.
struct GrantReport
{
  Incarnation sender;
  /// The receiver's incarnation, as far as the sender has heard of it.
  Incarnation receiver;
  /// The sender knows its balance with the receiver.
  bool isSettled = false;
  /// All teams with a balance are listed.
  bool isWhole = false;
  std::vector<TeamGrant> grants;

  friend bool operator==(const GrantReport&, const GrantReport&) = default;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_GRANTS_H
