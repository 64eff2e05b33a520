/// \file
/// Calls that clients, workers and operators make to the leader, and the
/// leader's replies, independent of their wire encoding.

#ifndef GREENGAGE_SCHEDULE_CALLS_H
#define GREENGAGE_SCHEDULE_CALLS_H

#include "greengage/core/Endpoint.h"
#include "greengage/core/Error.h"
#include "greengage/core/Ids.h"
#include "greengage/core/StrongId.h"
#include "greengage/core/Units.h"
#include "greengage/jobs/Ids.h"
#include "greengage/jobs/Job.h"
#include "greengage/jobs/JobStateMachine.h"
#include "greengage/schedule/Messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace greengage::schedule {

/// Identifies the call that a reply belongs to; unique within a process.
using CallerId = StrongId<struct CallerTag, std::uint64_t>;

enum class QueueVerb : std::uint8_t
{
  Submit,
  /// Returns a job's progress or, if the path has no job id, the queue depth.
  Query,
  Cancel,
};

/// A client call on a queue or on a job in it.
struct QueueCall
{
  QueueVerb verb = QueueVerb::Query;
  /// The host name and the path select the queue. The rest of the path after
  /// the queue's prefix is the job id.
  std::string hostName;
  std::string path;
  /// Empty if the client sent no key.
  std::string key;
  /// Set for Submit only.
  std::optional<jobs::JobDescription> job;
};

/// A worker leaves, after its heartbeats have announced that it is draining.
struct WorkerDeparture
{
  jobs::WorkerId worker;
};

/// A new configuration from an operator; its text has been validated.
struct ConfigurationPut
{
  jobs::ConfigurationVersion version;
  std::string text;
};

struct ConfigurationQuery
{};

/// An operator's request for maintenance of a set of hosts.
struct WaveStart
{
  jobs::WaveId id;
  std::vector<jobs::HostId> hosts;
  std::uint32_t maxConcurrentHosts = 1;
  Duration timeLimit;
};

struct WaveQuery
{
  jobs::WaveId id;
};

/// A call that could not be decoded or has no route; it is refused with
/// \c reason.
struct InvalidCall
{
  Error reason;
};

using Call = std::variant<QueueCall,
                          WorkerHeartbeat,
                          WorkerDeparture,
                          ConfigurationPut,
                          ConfigurationQuery,
                          WaveStart,
                          WaveQuery,
                          InvalidCall>;

/// A call and the caller that its reply goes to.
struct IncomingCall
{
  CallerId caller;
  Call call;
};

/// The request has taken effect, and the effect survives the loss of this host.
struct Accepted
{};

enum class JobProgress : std::uint8_t
{
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled,
};

struct JobReport
{
  JobProgress progress = JobProgress::Queued;
};

struct NoSuchJob
{};

struct QueueDepth
{
  std::uint64_t pending = 0;
};

/// Acknowledges a heartbeat.
struct HeartbeatAccepted
{};

struct ConfigurationText
{
  std::string text;
};

struct WaveReport
{
  /// Whether the maintenance of every host of the wave has started.
  bool isCompleted = false;
};

/// The request has not taken effect and never will.
struct Refused
{
  Error reason;
  /// How long to wait before a retry; zero if a retry would not help.
  Duration retryAfter = {};
};

/// The request may or may not take effect.
struct OutcomeUnknown
{};

using Reply = std::variant<Accepted,
                           JobReport,
                           NoSuchJob,
                           QueueDepth,
                           HeartbeatAccepted,
                           ConfigurationText,
                           WaveReport,
                           Refused,
                           OutcomeUnknown>;

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_CALLS_H
