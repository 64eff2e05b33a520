/// \file
/// Takes the hosts of a wave through drain, reboot, check and watch. It has no
/// driver of its own: events and a time go in, actions come out.

#ifndef GREENGAGE_FLEET_WAVERUNNER_H
#define GREENGAGE_FLEET_WAVERUNNER_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/fleet/BudgetPicture.h"
#include "greengage/fleet/Wave.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace greengage::fleet {

/// The bounds of a wave's steps.
struct WaveOptions
{
  /// After it, tasks are checkpointed; after it again, the host returns.
  Duration drainTimeout = Duration::Seconds(1800);
  Duration rebootTimeout = Duration::Seconds(900);
  Duration checkTimeout = Duration::Seconds(300);
  /// How long a grant request may stay without an answer.
  Duration grantTimeout = Duration::Seconds(10);
  /// How long a host that came back is watched, and how long one that was
  /// repaired waits for its turn.
  Duration watchDuration = Duration::Seconds(600);
  /// Losses count as correlated if they happen within this time.
  Duration failureWindow = Duration::Seconds(300);
  int rackFailureThreshold = 2;
  int zoneFailureThreshold = 3;
  /// How long the wave stands still after correlated failures or second losses.
  Duration pauseDuration = Duration::Seconds(1800);
  /// How long a host waits after a failed attempt.
  Duration retryDelay = Duration::Seconds(3600);
  int maxAttempts = 3;
};

/// Why a host waits.
enum class WaitKind : std::uint8_t
{
  /// It may go now, or its grant has been asked for.
  Ready,
  Paused,
  /// A budget is spent, see the denials.
  Budget,
  /// An earlier attempt failed, it is tried again later.
  RetryDelay,
  /// The host is down; it is taken once it is back.
  Down,
  /// The wave takes no more hosts at once.
  ConcurrencyLimit,
};

/// The reason for one wait.
struct WaitReason
{
  WaitKind kind = WaitKind::Ready;
  /// For Paused and RetryLater.
  Time until;
  /// For Paused.
  std::optional<Pause> pause;
  /// For Budget.
  Denials denials;
};

/// Runs one wave.
class WaveRunner
{
public:
  /// Begins a planned wave or goes on with a stored one.
  WaveRunner(WaveOptions aOptions, EntryHostId aSelf, WaveState aState);

  /// Asks again for the step that each host is in; once after a restart.
  void ReissueActions(WaveActions& aOut) const;
  void Handle(const WaveEvent& aEvent, Time aNow, WaveActions& aOut);
  /// Ends what took too long and asks for grants. \p aPicture must be of the
  /// same moment.
  void Tick(Time aNow, BudgetPicture aPicture, WaveActions& aOut);

  /// Why a waiting host waits.
  WaitReason WaitReasonOf(const HostId& aHost,
                          const BudgetPicture& aPicture,
                          Time aNow) const;
  /// No host waits or is being maintained.
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
  void PruneRemovedHosts(const BudgetPicture& aPicture);
  void RequestGrants(Time aNow, BudgetPicture& aPicture, WaveActions& aOut);
  std::optional<Pause> ActivePause(const HostProgress& aHostProgress,
                                   Time aNow) const;
  Hosts HostsInProgress() const;

  WaveOptions options_;
  EntryHostId self_;
  WaveState state_;
  /// Grants asked for, and when.
  std::map<HostId, Time> pendingGrants_;
};

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_WAVERUNNER_H
