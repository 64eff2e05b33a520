/// \file
/// The values of a maintenance wave: what the runner reacts to, what it asks
/// for, and the state that lets another runner go on after a restart.

#ifndef GREENGAGE_FLEET_WAVE_H
#define GREENGAGE_FLEET_WAVE_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/fleet/Budget.h"
#include "greengage/fleet/Host.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace greengage::fleet {

/// How far a host is in a wave.
enum class HostPhase : std::uint8_t
{
  Waiting,
  Draining,
  Rebooting,
  Checking,
  /// Back in service, and watched since it may be lost again.
  Watching,
  Done,
  Failed,
};
constexpr std::size_t kHostPhases = 7;

/// The answer to RequestGrant.
struct GrantIssued
{
  HostId host;
  Time expiresAt;
};
/// The answer to RequestGrant, or to Drain if the second check failed.
struct GrantDenied
{
  HostId host;
  Denials denials;
};
struct HostDrained
{
  HostId host;
};
struct HostRebooted
{
  HostId host;
};
struct HostChecked
{
  HostId host;
  bool isHealthy = false;
};
/// A host was lost that the wave did not take down. A host that is rebooting
/// is not reported as lost; it has its timeout.
struct HostFailed
{
  HostId host;
};
struct HostRecovered
{
  HostId host;
};
/// An operator ends all pauses.
struct ResumeWave
{};

/// Anything that the runner reacts to.
using WaveEvent = std::variant<GrantIssued,
                               GrantDenied,
                               HostDrained,
                               HostRebooted,
                               HostChecked,
                               HostFailed,
                               HostRecovered,
                               ResumeWave>;

/// Propose TakeGrant; answer by GrantGiven or GrantDenied.
struct RequestGrant
{
  HostId host;
};
/// Propose ConfirmDrain, and once it is accepted drain the host.
struct Drain
{
  HostId host;
};
/// The drain takes too long: have the host's tasks saved and moved.
struct CheckpointTasks
{
  HostId host;
};
struct Reboot
{
  HostId host;
};
struct Check
{
  HostId host;
};
/// Let the host take work again; propose BeginWatch if it is watched, EndClaim
/// otherwise.
struct ReturnToService
{
  HostId host;
  bool isWatched = false;
};
/// The watch is over: propose EndClaim.
struct EndWatch
{
  HostId host;
};

/// What people can do about a host that a wave gave up.
enum class HostRemedy : std::uint8_t
{
  /// The drain never ended: look for the task that holds it.
  FindStuckTask,
  /// It did not come back from its reboot.
  PowerCycle,
  /// It came back and is not healthy, or was lost after its return.
  Replace,
};

/// The wave gives a host up: propose NoteFailed and EndClaim.
struct MarkHostFailed
{
  HostId host;
  HostRemedy remedy = HostRemedy::Replace;
};

/// Anything that the runner asks for. Each may be asked for again after a
/// restart, and doing it twice has to do what doing it once does.
using WaveAction = std::variant<RequestGrant,
                                Drain,
                                CheckpointTasks,
                                Reboot,
                                Check,
                                ReturnToService,
                                EndWatch,
                                MarkHostFailed>;
using WaveActions = std::vector<WaveAction>;

/// Why a wave stands still.
enum class PauseKind : std::uint8_t
{
  /// Several hosts of one rack or zone were lost together.
  CorrelatedFailures,
  /// A host was lost soon after one came back from maintenance.
  FailureAfterMaintenance,
};

/// No drain begins until the pause ends.
struct Pause
{
  PauseKind kind = PauseKind::CorrelatedFailures;
  /// The zone that it holds for; all zones without one.
  std::optional<AvailabilityZoneId> zone;
  Time until;

  friend bool operator==(const Pause&, const Pause&) = default;
};

/// One host of a wave.
struct HostProgress
{
  HostPhase phase = HostPhase::Waiting;
  /// When the phase began.
  Time phaseSince;
  /// When the host was first drained in the attempt that goes on.
  Time attemptStartedAt;
  /// Not drained before then, after a failed attempt.
  Time notBefore;
  int attempts = 0;
  bool isCheckpointRequested = false;
  /// Of a host given up.
  HostRemedy remedy = HostRemedy::Replace;
  Placement placement;

  friend bool operator==(const HostProgress&, const HostProgress&) = default;
};

/// A loss, kept as long as it can be correlated with another one.
struct FailureRecord
{
  Placement placement;
  Time at;

  friend bool operator==(const FailureRecord&, const FailureRecord&) = default;
};

/// All that a runner needs to go on; it is stored after each change.
struct WaveState
{
  Time startedAt;
  /// The order in which hosts are tried.
  std::vector<HostId> order;
  /// The most hosts between the begin of the drain and the end of the watch.
  Hosts maxConcurrentHosts = kUnlimitedHosts;
  std::map<HostId, HostProgress> hosts;
  std::vector<Pause> pauses;
  std::vector<FailureRecord> recentFailures;
  /// What the hosts that are done took together, for the forecast.
  Duration completedCycleTime;
  int completedHosts = 0;

  friend bool operator==(const WaveState&, const WaveState&) = default;
};

/// The name of a phase for people.
const char*
NameOf(HostPhase aPhase);
/// What people can do about a host that was given up.
const char*
Describe(HostRemedy aRemedy);

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_WAVE_H
