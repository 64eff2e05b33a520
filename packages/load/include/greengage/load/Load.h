/// \file
/// The load tool: sends requests to a running fleet at a fixed rate, whatever
/// the answers take, and reports latencies and outcomes per team.

#ifndef GREENGAGE_LOAD_LOAD_H
#define GREENGAGE_LOAD_LOAD_H

#include "greengage/core/Endpoint.h"
#include "greengage/core/Error.h"
#include "greengage/core/Ids.h"
#include "greengage/core/Request.h"
#include "greengage/core/Units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace greengage::load {

/// One team that sends.
struct LoadTeam
{
  std::string name;
  /// "id.secret".
  std::string key;
};

/// What is sent.
struct LoadOptions
{
  /// Callers' ports of entry hosts, used in turn.
  std::vector<Endpoint> entryHosts;
  /// Teams, used in turn.
  std::vector<LoadTeam> teams;
  PoolId pool;
  PriceClass priceClass = PriceClass::Standard;
  Idempotence idempotence = Idempotence::NonIdempotent;
  /// Requests a second over all teams.
  double rate = 100;
  Duration span = Duration::Seconds(5);
  Duration deadline = Duration::Seconds(5);
  /// Put in front of each payload; the stand-in upstreams run "ms=N" for N
  /// milliseconds.
  std::string payload = "ms=5";
  /// Send straight to upstreams instead of entry hosts, to measure what the
  /// entry hosts add.
  bool direct = false;
  /// How often a request is sent at most: again, to the next entry host, when
  /// it was not run.
  int maxSends = 1;
  /// Distinguishes the request ids of one run from another's.
  std::string runId;
  /// The file that the callers' record is appended to, if any.
  std::string recordPath;
};

/// How the requests of one team ended.
struct TeamReport
{
  std::size_t sent = 0;
  std::size_t answered = 0;
  std::size_t failed = 0;
  std::size_t notRun = 0;
  std::size_t unknown = 0;
  /// Calls without any response, such as refused connections.
  std::size_t noResponse = 0;
  /// Answers that belong to another request.
  std::size_t crossed = 0;
  /// The ids of the requests that were not run.
  std::vector<std::string> notRunIds;
  /// For each request whose outcome is unknown or that got no response: its id,
  /// the entry host that it was sent to last, and the error.
  std::vector<std::string> failures;
  /// Milliseconds from the first sending to the whole answer, answered requests
  /// only.
  std::vector<double> latencies;

  /// The latency that \p aPart (0 to 1) of the answers do not exceed, in
  /// milliseconds; 0 without answers.
  double Percentile(double aPart) const;
};

using LoadReport = std::map<std::string, TeamReport>;

/// Sends the load and waits for the last answer.
std::optional<LoadReport>
RunLoad(const LoadOptions& aOptions, Error& aReason);

/// The report as a table for people.
std::string
FormatReport(const LoadReport& aReport);

} // namespace greengage::load

#endif // GREENGAGE_LOAD_LOAD_H
