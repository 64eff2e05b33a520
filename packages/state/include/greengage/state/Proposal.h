/// \file
/// What the duty that owns the agreed state gives to the log and gets back.
/// Whatever orders the proposals stands between the two.

#ifndef GREENGAGE_STATE_PROPOSAL_H
#define GREENGAGE_STATE_PROPOSAL_H

#include "greengage/core/Error.h"
#include "greengage/core/StrongId.h"
#include "greengage/state/StateMachine.h"

#include <cstdint>
#include <optional>
#include <string>

namespace greengage::state {

/// One proposal, unique inside an entry host's process.
using ProposalId = StrongId<struct ProposalTag, std::uint64_t>;

/// A command that is to be part of the log.
struct Proposal
{
  ProposalId id;
  /// Of EncodeCommand.
  std::string command;
};

/// A command of the log in its turn; every host gets the same ones.
struct Delivery
{
  LogIndex index;
  std::string command;
  /// The proposal, if it was made by this process.
  std::optional<ProposalId> proposal;
};

/// A proposal did not become part of the log, or it is not known whether it
/// did.
struct ProposalFailed
{
  ProposalId id;
  Error reason;
};

} // namespace greengage::state

#endif // GREENGAGE_STATE_PROPOSAL_H
