/// \file
/// The state machine that takes the hosts of a wave through drain, reboot,
/// check and watch. It does no I/O and reads no clock: the caller passes in
/// events and the time and executes the actions that it returns.

#ifndef GREENGAGE_FLEET_WAVERUNNER_H
#define GREENGAGE_FLEET_WAVERUNNER_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/fleet/BudgetSnapshot.h"
#include "greengage/fleet/Wave.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace greengage::fleet {

/// Timeouts and limits of a wave.
struct WaveOptions
{
  /// When it expires for the first time, the tasks are checkpointed and the
  /// drain gets the same time again. After that, the host returns to service
  /// and the attempt has failed.
  Duration drainTimeout = Duration::Seconds(1800);
  Duration rebootTimeout = Duration::Seconds(900);
  Duration checkTimeout = Duration::Seconds(300);
  /// How long a grant request may remain unanswered.
  Duration grantTimeout = Duration::Seconds(10);
  /// How long a host is watched after its return to service, and how long a
  /// repaired host waits before its next attempt.
  Duration watchDuration = Duration::Seconds(600);
  /// Failures within this time of each other count as correlated. For the same
  /// time after its watch period, a host counts as just back from maintenance.
  Duration failureWindow = Duration::Seconds(300);
  /// The numbers of correlated failures that pause the zone.
  int rackFailureThreshold = 2;
  int zoneFailureThreshold = 3;
  /// How long the wave pauses after correlated failures or after a failure that
  /// follows maintenance.
  Duration pauseDuration = Duration::Seconds(1800);
  /// How long a host waits after a failed attempt.
  Duration retryDelay = Duration::Seconds(3600);
  /// The number of failed attempts after which the wave gives up on a host.
  int maxAttempts = 3;
};

/// Why a host waits.
enum class WaitKind : std::uint8_t
{
  /// It may be taken down now, or its grant has been requested.
  Ready,
  Paused,
  /// A budget is exhausted; see the denials.
  Budget,
  /// An earlier attempt failed, or the host was repaired, and the delay before
  /// the next attempt has not elapsed.
  RetryDelay,
  /// The host is down; it becomes eligible once it has recovered.
  Down,
  /// The wave's concurrency limit is reached.
  ConcurrencyLimit,
};

/// Why a host waits, with the details of each kind.
struct WaitReason
{
  WaitKind kind = WaitKind::Ready;
  /// For Paused and RetryDelay.
  Time until;
  /// For Paused.
  std::optional<Pause> pause;
  /// For Budget.
  Denials denials;
};

/// The state machine of one wave.
class WaveRunner
{
public:
  /// Starts a planned wave or resumes a persisted one.
  WaveRunner(WaveOptions aOptions, EntryHostId aSelf, WaveState aState);

  /// Emits the action of each host's current phase again. Call it once after a
  /// restart.
  void ReissueActions(WaveActions& aOut) const;
  void Handle(const WaveEvent& aEvent, Time aNow, WaveActions& aOut);
  /// Handles expired timeouts and requests grants. \p aSnapshot must have been
  /// taken at \p aNow.
  void Tick(Time aNow, BudgetSnapshot aSnapshot, WaveActions& aOut);

  /// Returns why a waiting host waits.
  WaitReason WaitReasonOf(const HostId& aHost,
                          const BudgetSnapshot& aSnapshot,
                          Time aNow) const;
  /// Whether every host is done or failed.
  bool IsFinished() const;
  const WaveState& State() const { return state_; }
  const WaveOptions& Options() const { return options_; }

private:
  void On(const GrantIssued& aEvent, Time aNow, WaveActions& aOut);
  void On(const GrantDenied& aEvent, Time aNow, WaveActions& aOut);
  void On(const HostDrained& aEvent, Time aNow, WaveActions& aOut);
  void On(const HostRebooted& aEvent, Time aNow, WaveActions& aOut);
  void On(const HostChecked& aEvent, Time aNow, WaveActions& aOut);
  void On(const HostFailed& aEvent, Time aNow, WaveActions& aOut);
  void On(const HostRecovered& aEvent, Time aNow, WaveActions& aOut);
  void On(const ResumeWave& aEvent, Time aNow, WaveActions& aOut);

  HostProgress* FindInPhase(const HostId& aHost, HostPhase aPhase);
  void FailHost(const HostId& aHost,
                HostProgress& aHostProgress,
                HostRemedy aRemedy,
                Time aNow,
                WaveActions& aOut);
  void ScheduleRetry(const HostId& aHost,
                     HostProgress& aHostProgress,
                     Time aNow);
  void StartOrExtendPause(PauseKind aKind,
                          std::optional<AvailabilityZoneId> aZone,
                          Time aNow);
  void RecordFailure(const Placement& aPlacement, Time aNow);
  bool IsFailureAfterMaintenance(const Placement& aPlacement, Time aNow) const;
  void HandlePhaseTimeout(const HostId& aHost,
                          HostProgress& aHostProgress,
                          Time aNow,
                          WaveActions& aOut);
  void HandleDrainTimeout(const HostId& aHost,
                          HostProgress& aHostProgress,
                          Time aNow,
                          WaveActions& aOut);
  void PruneExpired(Time aNow);
  void PruneRemovedHosts(const BudgetSnapshot& aSnapshot);
  void RequestGrants(Time aNow, BudgetSnapshot& aSnapshot, WaveActions& aOut);
  std::optional<Pause> ActivePause(const HostProgress& aHostProgress,
                                   Time aNow) const;
  Hosts HostsInProgress() const;

  WaveOptions options_;
  EntryHostId self_;
  WaveState state_;
  /// The unanswered grant requests and the times at which they were made.
  std::map<HostId, Time> pendingGrants_;
};

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_WAVERUNNER_H
