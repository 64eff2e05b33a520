/// \file
/// Calls to the operators' ports of a fleet, shared by the commands. A call
/// that one entry host does not answer goes to the next; it carries the same
/// request id, so that it has one effect only.

#ifndef GREENGAGE_TOOLS_GREENGAGECTL_FLEETCLIENT_H
#define GREENGAGE_TOOLS_GREENGAGECTL_FLEETCLIENT_H

#include "greengage/core/Endpoint.h"
#include "greengage/core/Error.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace greengage::ctl {

/// Where the fleet is and who asks.
struct FleetOptions
{
  std::vector<std::string> entryHosts;
  std::string key;
};

/// Adds --entry-host and --key.
void
AddFleetOptions(CLI::App& aApp, FleetOptions& aOptions);

/// A call to an operators' port.
struct FleetCall
{
  std::string method = "GET";
  std::string target;
  std::string body;
  /// The request id that the body carries; empty for questions.
  std::string requestId;
};

/// What an entry host says.
struct FleetAnswer
{
  unsigned status = 0;
  std::string body;
  /// The body, or null if it is not JSON.
  nlohmann::json json;
};

namespace detail {
class FleetClientImpl;
} // namespace detail

/// Makes one call after the other.
class FleetClient
{
public:
  explicit FleetClient(FleetOptions aOptions);
  FleetClient(const FleetClient&) = delete;
  FleetClient& operator=(const FleetClient&) = delete;
  ~FleetClient();

  /// Asks the entry hosts in turn until one answers.
  /// \returns nothing if none does: Unreachable if nothing was sent, and
  /// OutcomeUnknown if a change may have been made.
  std::optional<FleetAnswer> Call(const FleetCall& aCall, Error& aReason);

  /// Asks one entry host only.
  std::optional<FleetAnswer> CallOne(const std::string& aEntryHost,
                                     const FleetCall& aCall,
                                     Error& aReason);

  const FleetOptions& Options() const { return options_; }

private:
  FleetOptions options_;
  std::unique_ptr<detail::FleetClientImpl> impl_;
};

/// The answer's JSON if it is one of success. Otherwise the refusal, with the
/// change that won if there is one, has been printed to standard error.
std::optional<nlohmann::json>
Ask(FleetClient& aClient, const FleetCall& aCall, int& aExitCode);

/// Sends a change under its request id and prints how it ended.
/// \returns the exit code; \p aAnswer is null unless the change was accepted.
int
SendChange(FleetClient& aClient,
           const std::string& aTarget,
           nlohmann::json aBody,
           std::string aRequestId,
           nlohmann::json& aAnswer);

/// \p aText as it may stand in a query.
std::string
EscapeQuery(const std::string& aText);

/// A value of the answer as a text; a dash for null.
std::string
TextOf(const nlohmann::json& aValue);

/// Prints "[branch] name: before -> after" for each change of a list.
void
PrintChanges(std::ostream& aStream, const nlohmann::json& aChanges);

} // namespace greengage::ctl

#endif // GREENGAGE_TOOLS_GREENGAGECTL_FLEETCLIENT_H
