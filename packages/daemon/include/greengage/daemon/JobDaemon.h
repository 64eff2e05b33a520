/// \file
/// The job path of one host: its duties and how they are joined. An entry host
/// relays clients' calls; a control host also holds the agreed state and, while
/// it leads, schedules.

#ifndef GREENGAGE_DAEMON_JOBDAEMON_H
#define GREENGAGE_DAEMON_JOBDAEMON_H

#include "greengage/core/Endpoint.h"
#include "greengage/core/Error.h"
#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/frontend/Codecs.h"
#include "greengage/jobs/Configuration.h"
#include "greengage/observe/Log.h"
#include "greengage/schedule/Scheduler.h"
#include "greengage/settings/IniFile.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace greengage::daemon {

/// The checked settings of a host of the job path.
struct JobSettings
{
  /// The host's IP number, by which the others know it.
  EntryHostId id;
  AvailabilityZoneId availabilityZone;
  /// The port for other hosts, the same on all.
  std::uint16_t peerPort = 0;
  std::string peerSecret;
  /// Control hosts to begin with, by their IP numbers.
  std::vector<EntryHostId> seeds;
  /// Set on a control host.
  std::string dataFolder;
  /// The number of control hosts whose disks may be lost at the same time.
  std::size_t toleratedLosses = 0;
  /// Whether the whole system starts for the first time.
  bool mayBootstrap = true;

  std::optional<Endpoint> callers;
  std::optional<Endpoint> readiness;
  std::optional<Endpoint> control;
  std::optional<Endpoint> metrics;

  schedule::SchedulerOptions scheduler;
  /// Who provides the fleet's hosts; without it hosts stay as they are.
  std::optional<Endpoint> hostProvider;
  /// Who knows the queues' placement policies; without it, jobs of queues that
  /// have one wait.
  std::optional<Endpoint> adviser;
  /// How long the orders of two leaders for hosts must be apart.
  Duration hostOrderGap = Duration::Seconds(3);
  /// How long a host takes from one pool to another.
  Duration hostMoveTime = Duration(1500);
  /// How long a stopping host serves on for those who have not noticed.
  Duration shutdownNotice = Duration(2500);
  observe::LogOptions log;
};

/// Reads the settings of \p aFile; the reason names file, line and key.
std::optional<JobSettings>
ReadJobSettings(const settings::IniFile& aFile, Error& aReason);

/// How the daemon speaks with the outside; must outlive it.
struct FrontEnd
{
  const frontend::CallCodec& calls;
  const frontend::WorkerCodec& workers;
  const frontend::HostCodec& hosts;
  const frontend::AdviceCodec& advice;
  const jobs::ConfigurationReader& configurations;
};

namespace detail {
class JobDaemonImpl;
} // namespace detail

/// A running host of the job path.
class JobDaemon
{
public:
  JobDaemon(JobSettings aSettings, FrontEnd aFrontEnd);
  JobDaemon(const JobDaemon&) = delete;
  JobDaemon& operator=(const JobDaemon&) = delete;
  ~JobDaemon();

  /// Opens the ports and starts the duties.
  /// \returns false with StorageFull if the disk has no space for the data
  /// folder; Start may then be called again.
  bool Start(Error& aReason);
  /// Takes over what may change while the daemon runs: the seeds.
  void Reload(const JobSettings& aSettings);
  /// Finishes what is in progress, hands leadership over and ends the duties.
  void ShutDown();

private:
  std::unique_ptr<detail::JobDaemonImpl> impl_;
};

} // namespace greengage::daemon

#endif // GREENGAGE_DAEMON_JOBDAEMON_H
