/// \file
/// The agreed state as the replicated log drives it: bytes in and out around
/// the decisions of FleetState.

#ifndef GREENGAGE_STATE_FLEETSTATEMACHINE_H
#define GREENGAGE_STATE_FLEETSTATEMACHINE_H

#include "greengage/core/Error.h"
#include "greengage/state/FleetState.h"
#include "greengage/state/StateMachine.h"

#include <string>
#include <string_view>

namespace greengage::state {

/// Decodes commands, lets the state decide, and encodes what it says.
class FleetStateMachine final : public StateMachine
{
public:
  explicit FleetStateMachine(AuditLimits aLimits = {});

  std::string Apply(LogIndex aIndex, std::string_view aCommand) override;
  std::string Snapshot() const override;
  bool Restore(std::string_view aSnapshot, Error& aReason) override;

  const FleetState& State() const { return state_; }

private:
  FleetState state_;
};

} // namespace greengage::state

#endif // GREENGAGE_STATE_FLEETSTATEMACHINE_H
