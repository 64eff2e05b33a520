/// \file
/// The value types of a maintenance wave: the events that WaveRunner handles,
/// the actions that it emits, and the state from which another runner resumes
/// after a restart.

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

/// The phase of a host within a wave.
enum class HostPhase : std::uint8_t
{
  Waiting,
  Draining,
  Rebooting,
  Checking,
  /// Back in service and monitored, since it may fail again.
  Watching,
  Done,
  Failed,
};
constexpr std::size_t kHostPhases = 7;

/// The positive reply to RequestGrant.
struct GrantIssued
{
  HostId host;
  Time expiresAt;
};
/// The negative reply to RequestGrant, or to Drain if the budget check that
/// precedes the drain failed.
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
/// A host of the wave failed, in any phase except Rebooting: the failure of a
/// rebooting host is not reported, since the reboot timeout detects it.
struct HostFailed
{
  HostId host;
};
struct HostRecovered
{
  HostId host;
};
/// An operator request to end all pauses.
struct ResumeWave
{};

/// Any event that the runner handles.
using WaveEvent = std::variant<GrantIssued,
                               GrantDenied,
                               HostDrained,
                               HostRebooted,
                               HostChecked,
                               HostFailed,
                               HostRecovered,
                               ResumeWave>;

/// Propose AcquireGrant; reply with GrantIssued or GrantDenied.
struct RequestGrant
{
  HostId host;
};
/// Propose ConfirmDrain and drain the host once it is accepted.
struct Drain
{
  HostId host;
};
/// The drain has timed out: checkpoint the host's tasks and move them away.
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
/// Let the host accept work again. Propose BeginWatch if it is to be watched,
/// EndClaim otherwise.
struct ReturnToService
{
  HostId host;
  bool isWatched = false;
};
/// The watch period has ended: propose EndClaim.
struct EndWatch
{
  HostId host;
};

/// The operator's remedy for a host that failed in a wave.
enum class HostRemedy : std::uint8_t
{
  /// The drain did not complete: find the task that blocks it.
  FindStuckTask,
  /// The host did not come back from its reboot.
  PowerCycle,
  /// The host came back unhealthy, or failed after its return to service.
  Replace,
};

/// The host has failed in the wave: propose MarkFailed and EndClaim.
struct MarkHostFailed
{
  HostId host;
  HostRemedy remedy = HostRemedy::Replace;
};

/// Any action that the runner emits. Actions may be emitted again after a
/// restart, so their execution must be idempotent.
using WaveAction = std::variant<RequestGrant,
                                Drain,
                                CheckpointTasks,
                                Reboot,
                                Check,
                                ReturnToService,
                                EndWatch,
                                MarkHostFailed>;
using WaveActions = std::vector<WaveAction>;

/// Why a wave is paused.
enum class PauseKind : std::uint8_t
{
  /// The failures in one rack or zone reached its threshold within the failure
  /// window.
  CorrelatedFailures,
  /// A host failed soon after it or another host of its zone had returned from
  /// maintenance.
  FailureAfterMaintenance,
};

/// A pause of one zone or of the whole wave: no drain begins there until it
/// ends.
struct Pause
{
  PauseKind kind = PauseKind::CorrelatedFailures;
  /// The zone that is paused; all zones if it is empty.
  std::optional<AvailabilityZoneId> zone;
  Time until;

  friend bool operator==(const Pause&, const Pause&) = default;
};

/// The progress of one host in a wave.
struct HostProgress
{
  HostPhase phase = HostPhase::Waiting;
  /// The time at which the phase began.
  Time phaseSince;
  /// The time at which the drain of the current attempt began.
  Time attemptStartedAt;
  /// The earliest time of the next drain, after a failed attempt or a repair.
  Time notBefore;
  /// The number of attempts that failed because the drain timed out.
  int attempts = 0;
  bool isCheckpointRequested = false;
  /// Valid in phase Failed.
  HostRemedy remedy = HostRemedy::Replace;
  Placement placement;

  friend bool operator==(const HostProgress&, const HostProgress&) = default;
};

/// A host failure, kept for the failure window.
struct FailureRecord
{
  Placement placement;
  Time at;

  friend bool operator==(const FailureRecord&, const FailureRecord&) = default;
};

/// The complete state of a runner; it is persisted after each change.
struct WaveState
{
  Time startedAt;
  /// The hosts in the order in which grants are requested.
  std::vector<HostId> order;
  /// The maximum number of hosts between the start of the drain and the end of
  /// the watch period.
  Hosts maxConcurrentHosts = kUnlimitedHosts;
  std::map<HostId, HostProgress> hosts;
  std::vector<Pause> pauses;
  std::vector<FailureRecord> recentFailures;
  /// The total cycle time and the number of completed hosts, for the forecast.
  Duration completedCycleTime;
  int completedHosts = 0;

  friend bool operator==(const WaveState&, const WaveState&) = default;
};

/// The human-readable name of a phase.
const char*
NameOf(HostPhase aPhase);
/// A human-readable description of the fault and its remedy.
const char*
Describe(HostRemedy aRemedy);

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_WAVE_H
