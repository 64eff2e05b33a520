#include "greengage/fleet/WaveRunner.h"

#include <algorithm>
#include <utility>

namespace greengage::fleet {

namespace {

bool
IsInProgress(HostPhase aPhase)
{
  return aPhase == HostPhase::Draining || aPhase == HostPhase::Rebooting ||
         aPhase == HostPhase::Checking || aPhase == HostPhase::Watching;
}

void
EnterPhase(HostProgress& aHost, HostPhase aPhase, Time aNow)
{
  aHost.phase = aPhase;
  aHost.phaseSince = aNow;
}

} // namespace

WaveRunner::WaveRunner(WaveOptions aOptions,
                       EntryHostId aSelf,
                       WaveState aState)
  : options_(aOptions)
  , self_(std::move(aSelf))
  , state_(std::move(aState))
{
}

void
WaveRunner::ReissueActions(WaveActions& aOut) const
{
  for (const auto& [host, progress] : state_.hosts) {
    switch (progress.phase) {
      case HostPhase::Draining:
        aOut.emplace_back(Drain{ host });
        break;
      case HostPhase::Rebooting:
        aOut.emplace_back(Reboot{ host });
        break;
      case HostPhase::Checking:
        aOut.emplace_back(Check{ host });
        break;
      case HostPhase::Watching:
        aOut.emplace_back(ReturnToService{ .host = host, .isWatched = true });
        break;
      case HostPhase::Waiting:
      case HostPhase::Done:
      case HostPhase::Failed:
        break;
    }
  }
}

void
WaveRunner::Handle(const WaveEvent& aEvent, Time aNow, WaveActions& aOut)
{
  std::visit([&](const auto& aValue) { On(aValue, aNow, aOut); }, aEvent);
}

HostProgress*
WaveRunner::FindInPhase(const HostId& aHost, HostPhase aPhase)
{
  auto found = state_.hosts.find(aHost);
  const bool isInPhase =
    found != state_.hosts.end() && found->second.phase == aPhase;
  return isInPhase ? &found->second : nullptr;
}

void
WaveRunner::On(const GrantIssued& aEvent, Time aNow, WaveActions& aOut)
{
  pendingGrants_.erase(aEvent.host);
  HostProgress* host = FindInPhase(aEvent.host, HostPhase::Waiting);
  // A grant that arrives late or during a pause is left to expire.
  if (!host || aNow >= aEvent.expiresAt || ActivePause(*host, aNow)) {
    return;
  }
  EnterPhase(*host, HostPhase::Draining, aNow);
  host->attemptStartedAt = aNow;
  host->isCheckpointRequested = false;
  aOut.emplace_back(Drain{ aEvent.host });
}

void
WaveRunner::On(const GrantDenied& aEvent, Time aNow, WaveActions&)
{
  pendingGrants_.erase(aEvent.host);
  if (HostProgress* host = FindInPhase(aEvent.host, HostPhase::Draining)) {
    EnterPhase(*host, HostPhase::Waiting, aNow);
  }
}

void
WaveRunner::On(const HostDrained& aEvent, Time aNow, WaveActions& aOut)
{
  if (HostProgress* host = FindInPhase(aEvent.host, HostPhase::Draining)) {
    EnterPhase(*host, HostPhase::Rebooting, aNow);
    aOut.emplace_back(Reboot{ aEvent.host });
  }
}

void
WaveRunner::On(const HostRebooted& aEvent, Time aNow, WaveActions& aOut)
{
  if (HostProgress* host = FindInPhase(aEvent.host, HostPhase::Rebooting)) {
    EnterPhase(*host, HostPhase::Checking, aNow);
    aOut.emplace_back(Check{ aEvent.host });
  }
}

void
WaveRunner::On(const HostChecked& aEvent, Time aNow, WaveActions& aOut)
{
  HostProgress* host = FindInPhase(aEvent.host, HostPhase::Checking);
  if (!host) {
    return;
  }
  if (!aEvent.isHealthy) {
    FailHost(aEvent.host, *host, HostRemedy::Replace, aNow, aOut);
    return;
  }
  EnterPhase(*host, HostPhase::Watching, aNow);
  aOut.emplace_back(ReturnToService{ .host = aEvent.host, .isWatched = true });
}

void
WaveRunner::On(const HostFailed& aEvent, Time aNow, WaveActions& aOut)
{
  auto found = state_.hosts.find(aEvent.host);
  if (found == state_.hosts.end()) {
    return;
  }
  HostProgress& host = found->second;
  if (host.phase == HostPhase::Failed) {
    return;
  }
  if (IsFailureAfterMaintenance(host.placement, aNow)) {
    StartOrExtendPause(PauseKind::FailureAfterMaintenance, std::nullopt, aNow);
  }
  RecordFailure(host.placement, aNow);
  if (IsInProgress(host.phase)) {
    FailHost(aEvent.host, host, HostRemedy::Replace, aNow, aOut);
  }
}

void
WaveRunner::On(const HostRecovered& aEvent, Time aNow, WaveActions&)
{
  HostProgress* host = FindInPhase(aEvent.host, HostPhase::Failed);
  if (!host) {
    return;
  }
  EnterPhase(*host, HostPhase::Waiting, aNow);
  host->notBefore = aNow + options_.watchDuration;
}

void
WaveRunner::On(const ResumeWave&, Time, WaveActions&)
{
  state_.pauses.clear();
  state_.recentFailures.clear();
}

void
WaveRunner::FailHost(const HostId& aHost,
                     HostProgress& aHostProgress,
                     HostRemedy aRemedy,
                     Time aNow,
                     WaveActions& aOut)
{
  EnterPhase(aHostProgress, HostPhase::Failed, aNow);
  aHostProgress.remedy = aRemedy;
  aOut.emplace_back(MarkHostFailed{ .host = aHost, .remedy = aRemedy });
}

void
WaveRunner::ScheduleRetry(const HostId& aHost,
                          HostProgress& aHostProgress,
                          Time aNow)
{
  pendingGrants_.erase(aHost);
  EnterPhase(aHostProgress, HostPhase::Waiting, aNow);
  ++aHostProgress.attempts;
  aHostProgress.notBefore = aNow + options_.retryDelay;
}

void
WaveRunner::StartOrExtendPause(PauseKind aKind,
                               std::optional<AvailabilityZoneId> aZone,
                               Time aNow)
{
  const Time until = aNow + options_.pauseDuration;
  for (Pause& pause : state_.pauses) {
    if (pause.kind == aKind && pause.zone == aZone) {
      pause.until = until;
      return;
    }
  }
  state_.pauses.push_back(
    { .kind = aKind, .zone = std::move(aZone), .until = until });
}

void
WaveRunner::RecordFailure(const Placement& aPlacement, Time aNow)
{
  PruneExpired(aNow);
  state_.recentFailures.push_back({ .placement = aPlacement, .at = aNow });
  int rackFailures = 0;
  int zoneFailures = 0;
  for (const FailureRecord& failure : state_.recentFailures) {
    rackFailures += failure.placement == aPlacement ? 1 : 0;
    const bool isSameZone =
      failure.placement.availabilityZone == aPlacement.availabilityZone;
    zoneFailures += isSameZone ? 1 : 0;
  }
  if (rackFailures >= options_.rackFailureThreshold ||
      zoneFailures >= options_.zoneFailureThreshold) {
    StartOrExtendPause(
      PauseKind::CorrelatedFailures, aPlacement.availabilityZone, aNow);
  }
}

bool
WaveRunner::IsFailureAfterMaintenance(const Placement& aPlacement,
                                      Time aNow) const
{
  return std::any_of(
    state_.hosts.begin(), state_.hosts.end(), [&](const auto& aEntry) {
      const HostProgress& host = aEntry.second;
      const bool isSameZone =
        host.placement.availabilityZone == aPlacement.availabilityZone;
      const bool isRecentlyDone =
        host.phase == HostPhase::Done &&
        host.phaseSince + options_.failureWindow > aNow;
      return isSameZone &&
             (host.phase == HostPhase::Watching || isRecentlyDone);
    });
}

void
WaveRunner::HandlePhaseTimeout(const HostId& aHost,
                               HostProgress& aHostProgress,
                               Time aNow,
                               WaveActions& aOut)
{
  const Duration elapsed = aNow - aHostProgress.phaseSince;
  switch (aHostProgress.phase) {
    case HostPhase::Draining:
      if (elapsed >= options_.drainTimeout) {
        HandleDrainTimeout(aHost, aHostProgress, aNow, aOut);
      }
      return;
    case HostPhase::Rebooting:
      if (elapsed >= options_.rebootTimeout) {
        FailHost(aHost, aHostProgress, HostRemedy::PowerCycle, aNow, aOut);
      }
      return;
    case HostPhase::Checking:
      if (elapsed >= options_.checkTimeout) {
        FailHost(aHost, aHostProgress, HostRemedy::Replace, aNow, aOut);
      }
      return;
    case HostPhase::Watching:
      if (elapsed >= options_.watchDuration) {
        EnterPhase(aHostProgress, HostPhase::Done, aNow);
        state_.completedCycleTime =
          state_.completedCycleTime + (aNow - aHostProgress.attemptStartedAt);
        ++state_.completedHosts;
        aOut.emplace_back(EndWatch{ aHost });
      }
      return;
    case HostPhase::Waiting:
    case HostPhase::Done:
    case HostPhase::Failed:
      return;
  }
}

void
WaveRunner::HandleDrainTimeout(const HostId& aHost,
                               HostProgress& aHostProgress,
                               Time aNow,
                               WaveActions& aOut)
{
  if (!aHostProgress.isCheckpointRequested) {
    aHostProgress.isCheckpointRequested = true;
    aHostProgress.phaseSince = aNow;
    aOut.emplace_back(CheckpointTasks{ aHost });
    return;
  }
  ScheduleRetry(aHost, aHostProgress, aNow);
  aOut.emplace_back(ReturnToService{ .host = aHost, .isWatched = false });
  if (aHostProgress.attempts >= options_.maxAttempts) {
    EnterPhase(aHostProgress, HostPhase::Failed, aNow);
    aHostProgress.remedy = HostRemedy::FindStuckTask;
  }
}

void
WaveRunner::PruneExpired(Time aNow)
{
  std::erase_if(state_.pauses,
                [&](const Pause& aPause) { return aPause.until <= aNow; });
  std::erase_if(state_.recentFailures, [&](const FailureRecord& aFailure) {
    return aFailure.at + options_.failureWindow <= aNow;
  });
}

std::optional<Pause>
WaveRunner::ActivePause(const HostProgress& aHostProgress, Time aNow) const
{
  for (const Pause& pause : state_.pauses) {
    const bool isApplicable =
      !pause.zone || *pause.zone == aHostProgress.placement.availabilityZone;
    if (isApplicable && pause.until > aNow) {
      return pause;
    }
  }
  return std::nullopt;
}

Hosts
WaveRunner::HostsInProgress() const
{
  const auto taken = std::count_if(
    state_.hosts.begin(), state_.hosts.end(), [](const auto& aEntry) {
      return IsInProgress(aEntry.second.phase);
    });
  return Hosts(taken + static_cast<std::int64_t>(pendingGrants_.size()));
}

void
WaveRunner::PruneRemovedHosts(const BudgetSnapshot& aSnapshot)
{
  const auto isRemoved = [&](const HostId& aHost) {
    return !aSnapshot.IsRegistered(aHost);
  };
  std::erase_if(state_.order, isRemoved);
  std::erase_if(pendingGrants_,
                [&](const auto& aEntry) { return isRemoved(aEntry.first); });
  std::erase_if(state_.hosts,
                [&](const auto& aEntry) { return isRemoved(aEntry.first); });
}

void
WaveRunner::Tick(Time aNow, BudgetSnapshot aSnapshot, WaveActions& aOut)
{
  PruneExpired(aNow);
  PruneRemovedHosts(aSnapshot);
  std::erase_if(pendingGrants_, [&](const auto& aEntry) {
    return aEntry.second + options_.grantTimeout <= aNow;
  });
  for (auto& [host, progress] : state_.hosts) {
    HandlePhaseTimeout(host, progress, aNow, aOut);
  }
  RequestGrants(aNow, aSnapshot, aOut);
}

void
WaveRunner::RequestGrants(Time aNow,
                          BudgetSnapshot& aSnapshot,
                          WaveActions& aOut)
{
  for (const auto& [host, since] : pendingGrants_) {
    aSnapshot.CountAsGranted(host);
  }
  Hosts taken = HostsInProgress();
  for (const HostId& host : state_.order) {
    if (taken >= state_.maxConcurrentHosts) {
      return;
    }
    const HostProgress& progress = state_.hosts.at(host);
    const bool isEligible =
      progress.phase == HostPhase::Waiting && progress.notBefore <= aNow &&
      !pendingGrants_.contains(host) && !ActivePause(progress, aNow) &&
      aSnapshot.DownCauseOf(host) != DownCause::Failed;
    if (!isEligible || !aSnapshot.CheckTakedown(host, self_).empty()) {
      continue;
    }
    pendingGrants_[host] = aNow;
    aSnapshot.CountAsGranted(host);
    taken += Hosts(1);
    aOut.emplace_back(RequestGrant{ host });
  }
}

WaitReason
WaveRunner::WaitReasonOf(const HostId& aHost,
                         const BudgetSnapshot& aSnapshot,
                         Time aNow) const
{
  WaitReason reason;
  auto found = state_.hosts.find(aHost);
  if (found == state_.hosts.end() || pendingGrants_.contains(aHost)) {
    return reason;
  }
  if (std::optional<Pause> pause = ActivePause(found->second, aNow)) {
    reason.kind = WaitKind::Paused;
    reason.until = pause->until;
    reason.pause = std::move(pause);
    return reason;
  }
  if (found->second.notBefore > aNow) {
    reason.kind = WaitKind::RetryDelay;
    reason.until = found->second.notBefore;
    return reason;
  }
  if (aSnapshot.DownCauseOf(aHost) == DownCause::Failed) {
    reason.kind = WaitKind::Down;
    return reason;
  }
  reason.denials = aSnapshot.CheckTakedown(aHost, self_);
  if (!reason.denials.empty()) {
    reason.kind = WaitKind::Budget;
  } else if (HostsInProgress() >= state_.maxConcurrentHosts) {
    reason.kind = WaitKind::ConcurrencyLimit;
  }
  return reason;
}

bool
WaveRunner::IsFinished() const
{
  return std::all_of(
    state_.hosts.begin(), state_.hosts.end(), [](const auto& aEntry) {
      return aEntry.second.phase == HostPhase::Done ||
             aEntry.second.phase == HostPhase::Failed;
    });
}

} // namespace greengage::fleet
