/// \file
/// What clients, workers and operators ask of the leader, and its replies, free
/// of any encoding.

#ifndef GREENGAGE_SCHEDULE_CALLS_H
#define GREENGAGE_SCHEDULE_CALLS_H

#include "greengage/core/Endpoint.h"
#include "greengage/core/Error.h"
#include "greengage/core/Ids.h"
#include "greengage/core/StrongId.h"
#include "greengage/core/Units.h"
#include "greengage/jobs/Ids.h"
#include "greengage/jobs/Job.h"
#include "greengage/jobs/JobBook.h"
#include "greengage/schedule/Messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace greengage::schedule {

/// Who waits for a reply; unique inside a process.
using CallerId = StrongId<struct CallerTag, std::uint64_t>;

enum class QueueVerb : std::uint8_t
{
  /// Hand a job in.
  Submit,
  /// Ask for a job's state or, without a job's id, for the queue's depth.
  Query,
  Cancel,
};

/// A client's call about a queue or a job in it.
struct QueueCall
{
  QueueVerb verb = QueueVerb::Query;
  /// The host name and the path select the queue; what follows the queue's
  /// prefix is the job's id.
  std::string hostName;
  std::string path;
  /// Empty if there is none.
  std::string key;
  /// For Submit.
  std::optional<jobs::JobDescription> job;
};

/// A worker leaves after its notice.
struct WorkerLeave
{
  jobs::WorkerId worker;
};

/// An operator's new configuration; its text has been checked.
struct ConfigurationPut
{
  jobs::ConfigurationVersion version;
  std::string text;
};

struct ConfigurationQuery
{};

/// An operator asks for the upkeep of hosts.
struct WaveStart
{
  jobs::WaveId id;
  std::vector<jobs::HostId> hosts;
  std::uint32_t maxAtOnce = 1;
  Duration within;
};

struct WaveQuery
{
  jobs::WaveId id;
};

/// A call that can't be read or names nothing; the reason is its reply.
struct InvalidCall
{
  Error reason;
};

using Call = std::variant<QueueCall,
                          WorkerBeat,
                          WorkerLeave,
                          ConfigurationPut,
                          ConfigurationQuery,
                          WaveStart,
                          WaveQuery,
                          InvalidCall>;

/// A call with whoever waits for its reply.
struct IncomingCall
{
  CallerId caller;
  Call call;
};

/// What was asked for is done, and survives the loss of this host.
struct Accepted
{};

/// How far a job is.
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

/// There is no such job.
struct NoSuchJob
{};

struct QueueDepth
{
  std::uint64_t pending = 0;
};

/// A beat is acknowledged.
struct BeatAccepted
{};

struct ConfigurationText
{
  std::string text;
};

struct WaveReport
{
  bool isCompleted = false;
};

/// Proved: what was asked for was not done and will not be.
struct Refused
{
  Error reason;
  /// When to ask again; zero if no time can be given.
  Duration retryAfter = {};
};

/// It is not known whether what was asked for will be done.
struct OutcomeUnknown
{};

using Reply = std::variant<Accepted,
                           JobReport,
                           NoSuchJob,
                           QueueDepth,
                           BeatAccepted,
                           ConfigurationText,
                           WaveReport,
                           Refused,
                           OutcomeUnknown>;

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_CALLS_H
