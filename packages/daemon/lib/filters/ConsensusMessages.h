/// \file
/// What the duties of the agreed log hand to each other and to those who
/// propose.

#ifndef GREENGAGE_DAEMON_LIB_FILTERS_CONSENSUSMESSAGES_H
#define GREENGAGE_DAEMON_LIB_FILTERS_CONSENSUSMESSAGES_H

#include "greengage/consensus/Messages.h"

#include <future>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace greengage::daemon::detail {

/// The journal can't be written: until it is repaired, this replica promises
/// nothing new.
struct JournalFailed
{};

/// The journal takes writes again, and has those that it refused.
struct JournalRepaired
{};

/// A planned stop: hand leadership over, then keep the promise.
struct HandOver
{
  std::shared_ptr<std::promise<void>> done;
};

/// Anything that reaches the duty of the agreed log.
using ConsensusInput =
  std::variant<consensus::Event, JournalFailed, JournalRepaired, HandOver>;

/// A proposal was committed and this is the state machine's result.
struct ProposalApplied
{
  consensus::LogIndex index;
  std::string result;
};

/// Who leads the agreed log, as far as this host knows.
struct Leadership
{
  consensus::Term term;
  std::optional<EntryHostId> leader;
  /// This host leads and has applied all entries of earlier terms.
  bool isReadyHere = false;

  friend bool operator==(const Leadership&, const Leadership&) = default;
};

/// How a proposal of this host ended.
struct ProposalEnded
{
  consensus::ProposalId id;
  std::variant<ProposalApplied,
               consensus::ProposalRefused,
               consensus::ProposalUnknown>
    end;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_FILTERS_CONSENSUSMESSAGES_H
