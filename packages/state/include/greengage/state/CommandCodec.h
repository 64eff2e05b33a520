/// \file
/// The bytes of commands, results and snapshots, in CBOR. Equal values give
/// equal bytes.

#ifndef GREENGAGE_STATE_COMMANDCODEC_H
#define GREENGAGE_STATE_COMMANDCODEC_H

#include "greengage/core/Error.h"
#include "greengage/state/Command.h"
#include "greengage/state/FleetState.h"

#include <optional>
#include <string>
#include <string_view>

namespace greengage::state {

/// The bytes of a command, for the replicated log.
std::string
EncodeCommand(const Command& aCommand);

/// Reads what EncodeCommand wrote.
std::optional<Command>
DecodeCommand(std::string_view aBytes, Error& aReason);

/// The bytes of a result, for whoever proposed the command.
std::string
EncodeResult(const CommandResult& aResult);

/// Reads what EncodeResult wrote.
std::optional<CommandResult>
DecodeResult(std::string_view aBytes, Error& aReason);

/// The bytes of the whole state.
std::string
EncodeSnapshot(const FleetSnapshot& aSnapshot);

/// Reads what EncodeSnapshot wrote.
std::optional<FleetSnapshot>
DecodeSnapshot(std::string_view aBytes, Error& aReason);

} // namespace greengage::state

#endif // GREENGAGE_STATE_COMMANDCODEC_H
