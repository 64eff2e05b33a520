/// \file
/// What the replicated log drives: the agreed state as a deterministic machine.
/// The log knows nothing of the commands, and the machine nothing of the log.

#ifndef GREENGAGE_STATE_STATEMACHINE_H
#define GREENGAGE_STATE_STATEMACHINE_H

#include "greengage/core/Error.h"
#include "greengage/core/StrongId.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace greengage::state {

/// A place in the replicated log, counted from 1.
using LogIndex = StrongId<struct LogIndexTag, std::uint64_t>;

/// A deterministic machine: the same commands in the same order give the same
/// state and results on every host. It reads no clock and no random source.
class StateMachine
{
public:
  virtual ~StateMachine() = default;

  /// Applies the command at \p aIndex; indexes come in order without a gap.
  /// \returns the result for whoever proposed the command. A command that is
  /// refused or can't be read changes nothing and says so in its result.
  virtual std::string Apply(LogIndex aIndex, std::string_view aCommand) = 0;

  /// The whole state, for Restore on this or another host.
  virtual std::string Snapshot() const = 0;

  /// Replaces the state by a snapshot. False, with the state unchanged, if it
  /// can't be read.
  virtual bool Restore(std::string_view aSnapshot, Error& aReason) = 0;
};

} // namespace greengage::state

#endif // GREENGAGE_STATE_STATEMACHINE_H
