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
  Duration watch = Duration::Seconds(600);
  /// Losses count as correlated if they happen within this time.
  Duration lossWindow = Duration::Seconds(300);
  int lossesInRack = 2;
  int lossesInZone = 3;
  /// How long the wave stands still after correlated failures or second losses.
  Duration pause = Duration::Seconds(1800);
  /// How long a host waits after a failed attempt.
  Duration retryAfter = Duration::Seconds(3600);
  int maxAttempts = 3;
};

/// Why a host waits.
enum class WaitKind : std::uint8_t
{
  /// It may go now, or its grant has been asked for.
  Next,
  Paused,
  /// A budget is spent, see the denials.
  Budget,
  /// An earlier attempt failed, it is tried again later.
  RetryLater,
  /// The host is down; it is taken once it is back.
  Down,
  /// The wave takes no more hosts at once.
  AtOnce,
};

/// The reason for one wait.
struct WaitReason
{
  WaitKind kind = WaitKind::Next;
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
  void Resume(WaveActions& aOut) const;
  void Handle(const WaveEvent& aEvent, Time aNow, WaveActions& aOut);
  /// Ends what took too long and asks for grants. \p aPicture must be of the
  /// same moment.
  void Tick(Time aNow, BudgetPicture aPicture, WaveActions& aOut);

  /// Why a waiting host waits.
  WaitReason ReasonOf(const HostId& aHost,
                      const BudgetPicture& aPicture,
                      Time aNow) const;
  /// No host waits or is being maintained.
  bool IsOver() const;
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

  HostProgress* InPhase(const HostId& aHost, HostPhase aPhase);
  void Abandon(const HostId& aHost,
               HostProgress& aHostProgress,
               HostRemedy aRemedy,
               Time aNow,
               WaveActions& aOut);
  void RetryLater(const HostId& aHost, HostProgress& aHostProgress, Time aNow);
  void PauseUntil(PauseKind aKind,
                  std::optional<AvailabilityZoneId> aZone,
                  Time aNow);
  void NoteLoss(const Placement& aPlacement, Time aNow);
  bool IsSecondLoss(const Placement& aPlacement, Time aNow) const;
  void CheckTimeout(const HostId& aHost,
                    HostProgress& aHostProgress,
                    Time aNow,
                    WaveActions& aOut);
  void OnDrainTimeout(const HostId& aHost,
                      HostProgress& aHostProgress,
                      Time aNow,
                      WaveActions& aOut);
  void ForgetOld(Time aNow);
  void ForgetRemoved(const BudgetPicture& aPicture);
  void RequestGrants(Time aNow, BudgetPicture& aPicture, WaveActions& aOut);
  std::optional<Pause> PauseOf(const HostProgress& aHostProgress,
                               Time aNow) const;
  Hosts TakenNow() const;

  WaveOptions options_;
  EntryHostId self_;
  WaveState state_;
  /// Grants asked for, and when.
  std::map<HostId, Time> requested_;
};

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_WAVERUNNER_H
