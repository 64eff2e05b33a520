#include "greengage/state/FleetStateMachine.h"

#include "greengage/state/CommandCodec.h"

#include <utility>

using namespace greengage;
using namespace greengage::state;

FleetStateMachine::FleetStateMachine(AuditLimits aLimits)
  : state_(aLimits)
{
}

std::string
FleetStateMachine::Apply(LogIndex /*aIndex*/, std::string_view aCommand)
{
  Error reason;
  const auto command = DecodeCommand(aCommand, reason);
  if (command)
    return EncodeResult(state_.Apply(*command));
  return EncodeResult({ .end = Refused{ .error = std::move(reason),
                                        .current = state_.CurrentVersion(),
                                        .winner = {} } });
}

std::string
FleetStateMachine::Snapshot() const
{
  return EncodeSnapshot(state_.Save());
}

bool
FleetStateMachine::Restore(std::string_view aSnapshot, Error& aReason)
{
  auto snapshot = DecodeSnapshot(aSnapshot, aReason);
  if (snapshot)
    return state_.Load(std::move(*snapshot), aReason);
  if (aReason.kind == ErrorKind::Malformed)
    aReason.kind = ErrorKind::DataCorrupt;
  return false;
}
