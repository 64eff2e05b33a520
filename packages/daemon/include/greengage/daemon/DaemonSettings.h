/// \file
/// The settings of one entry host's process, read from INI and checked as a
/// whole before anything starts.

#ifndef GREENGAGE_DAEMON_DAEMONSETTINGS_H
#define GREENGAGE_DAEMON_DAEMONSETTINGS_H

#include "greengage/core/Endpoint.h"
#include "greengage/core/Error.h"
#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/observe/Log.h"
#include "greengage/peer/Links.h"
#include "greengage/settings/IniFile.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace greengage::daemon {

/// One HTTP port.
struct PortSettings
{
  Endpoint endpoint;
  std::size_t maxConnections = 1024;
  std::uint64_t maxBodyBytes = 1024 * 1024 + 64 * 1024;
  Duration readTimeout = Duration::Seconds(10);
};

/// The records of request ids.
struct OnceSettings
{
  /// How long after a request's end or deadline a resend may come.
  Duration retention = Duration::Seconds(600);
  /// How long a restarted host that cannot copy its records refuses new claims.
  Duration recoveryWindow = Duration::Seconds(24 * 60 * 60 + 600);
  /// The operator states that the fleet starts for the first time.
  bool coldStart = false;
  std::size_t maxRecords = 200000;
  std::size_t maxAnswerBytes = 64 * 1024 * 1024;
};

/// Everything that an entry host's settings file says.
struct DaemonSettings
{
  EntryHostId id;
  AvailabilityZoneId availabilityZone;
  PortSettings callers;
  PortSettings upstreams;
  PortSettings operators;
  Endpoint peerEndpoint;
  std::string peerSecret;
  /// All entry hosts, this one included, in order of their ids.
  std::vector<peer::PeerAddress> members;
  OnceSettings once;
  /// The hosts with disks that agree on the state; the same on all hosts. If
  /// there are none, each host keeps a state of its own in memory.
  std::set<EntryHostId> voters;
  /// Where this host keeps the agreed log; empty on a host without a disk.
  std::string dataFolder;
  /// The settings tree to begin with.
  std::string fleetFile;
  observe::LogOptions log;
  /// How long /readyz says no before admission ends.
  Duration shutdownNotice = Duration::Seconds(2);
  /// How long work in progress may take at shutdown.
  Duration shutdownTimeout = Duration::Seconds(30);
};

/// Reads the settings. The reason names file, line, section and key.
std::optional<DaemonSettings>
ReadDaemonSettings(const settings::IniFile& aFile, Error& aReason);

} // namespace greengage::daemon

#endif // GREENGAGE_DAEMON_DAEMONSETTINGS_H
