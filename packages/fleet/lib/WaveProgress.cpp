#include "greengage/fleet/WaveProgress.h"

#include "greengage/fleet/WavePlanner.h"

#include <algorithm>

namespace greengage::fleet {

namespace {

/// A longer forecast is reported as none, since it results from a budget of
/// zero, which prevents the wave from completing.
constexpr Duration kMaxForecast = Duration::Seconds(10LL * 365 * 24 * 3600);

std::string
FormatDuration(Duration aDuration)
{
  constexpr std::int64_t kMinuteMillis = 60 * 1000;
  const std::int64_t minutes =
    (aDuration.Millis() + kMinuteMillis - 1) / kMinuteMillis;
  if (minutes < 60) {
    return std::to_string(minutes) + " min";
  }
  return std::to_string(minutes / 60) + " h " + std::to_string(minutes % 60) +
         " min";
}

const char*
NameOf(PauseKind aKind)
{
  return aKind == PauseKind::FailureAfterMaintenance
           ? "a host failed soon after a host of its zone returned from "
             "maintenance"
           : "several hosts of a rack or zone failed within a short time";
}

std::string
Describe(const Pause& aPause)
{
  const std::string where =
    aPause.zone ? "zone \"" + aPause.zone->Value() + "\"" : "the wave";
  return where + " is paused because " + NameOf(aPause.kind);
}

std::optional<Time>
ForecastEnd(const WaveRunner& aRunner,
            const PoolRegistry& aRegistry,
            const Budgets& aBudgets,
            Duration aCycle,
            Time aNow)
{
  const WaveState& wave = aRunner.State();
  const Duration cycleTime =
    wave.completedHosts > 0
      ? Duration(wave.completedCycleTime.Millis() / wave.completedHosts)
      : aCycle;
  RemainingWork work(aBudgets);
  for (const auto& [host, progress] : wave.hosts) {
    const Membership* member = aRegistry.Find(host);
    const bool isUnfinished =
      progress.phase != HostPhase::Done && progress.phase != HostPhase::Failed;
    if (member && isUnfinished) {
      work.Add(*member);
    }
  }
  Time start = aNow;
  for (const Pause& pause : wave.pauses) {
    start = std::max(start, pause.until);
  }
  const Duration remaining = work.Forecast(cycleTime, wave.maxConcurrentHosts);
  return remaining > kMaxForecast ? std::nullopt
                                  : std::optional(start + remaining);
}

std::size_t
Scale(std::size_t aCount, std::size_t aTotal, std::size_t aWidth)
{
  return aTotal == 0 ? 0 : aCount * aWidth / aTotal;
}

} // namespace

WaveProgress
MakeWaveProgress(const WaveRunner& aRunner,
                 const PoolRegistry& aRegistry,
                 const BudgetLedger& aLedger,
                 Duration aCycle,
                 Time aNow)
{
  const BudgetSnapshot snapshot(aRegistry, aLedger, aNow);
  const WaveState& wave = aRunner.State();
  WaveProgress progress;
  progress.at = aNow;
  progress.startedAt = wave.startedAt;
  progress.total = wave.hosts.size();
  progress.pauses = wave.pauses;
  progress.forecastEnd =
    ForecastEnd(aRunner, aRegistry, aLedger.State().budgets, aCycle, aNow);
  for (const HostId& host : wave.order) {
    const HostProgress& hostProgress = wave.hosts.at(host);
    ++progress.phaseCounts[static_cast<std::size_t>(hostProgress.phase)];
    if (hostProgress.phase == HostPhase::Waiting) {
      progress.waiting.push_back(
        { .host = host, .reason = aRunner.WaitReasonOf(host, snapshot, aNow) });
    } else if (hostProgress.phase == HostPhase::Failed) {
      progress.failed.push_back(
        { .host = host, .remedy = hostProgress.remedy });
    }
  }
  return progress;
}

std::string
Describe(const WaitReason& aReason, Time aNow)
{
  switch (aReason.kind) {
    case WaitKind::Paused:
      return Describe(*aReason.pause) + "; the pause ends in " +
             FormatDuration(aReason.until - aNow);
    case WaitKind::Budget:
      return Describe(aReason.denials.front());
    case WaitKind::RetryDelay:
      return "the host failed or its drain timed out; the next attempt is in " +
             FormatDuration(aReason.until - aNow);
    case WaitKind::Down:
      return "the host is down; it is eligible once it recovers";
    case WaitKind::ConcurrencyLimit:
      return "the wave has reached its limit of concurrent hosts";
    case WaitKind::Ready:
      break;
  }
  return "the host can be taken down now";
}

std::string
RenderBar(const WaveProgress& aProgress, std::size_t aWidth)
{
  const std::size_t total = aProgress.total;
  const std::size_t done = aProgress.Count(HostPhase::Done);
  const std::size_t failed = aProgress.Count(HostPhase::Failed);
  const std::size_t waiting = aProgress.Count(HostPhase::Waiting);
  const std::size_t inProgress = total - done - failed - waiting;
  // Scale each boundary rather than each count, so that rounding leaves no gap.
  const std::size_t doneEnd = Scale(done, total, aWidth);
  const std::size_t inProgressEnd = Scale(done + inProgress, total, aWidth);
  const std::size_t failedEnd =
    Scale(done + inProgress + failed, total, aWidth);
  return std::string(doneEnd, '#') + std::string(inProgressEnd - doneEnd, '>') +
         std::string(failedEnd - inProgressEnd, 'x') +
         std::string(aWidth - failedEnd, '.');
}

std::string
RenderStatus(const WaveProgress& aProgress,
             std::size_t aWidth,
             std::size_t aMaxHosts)
{
  const std::size_t done = aProgress.Count(HostPhase::Done);
  std::string text = "[" + RenderBar(aProgress, aWidth) + "] " +
                     std::to_string(done) + "/" +
                     std::to_string(aProgress.total) + "\n";
  for (std::size_t i = 0; i < kHostPhases; ++i) {
    text += i == 0 ? "" : ", ";
    text += std::to_string(aProgress.phaseCounts[i]) + " " +
            NameOf(static_cast<HostPhase>(i));
  }
  text +=
    aProgress.forecastEnd
      ? "\nends in " + FormatDuration(*aProgress.forecastEnd - aProgress.at)
      : "\nnever ends: a budget allows no host to be down";
  for (const FailedHost& failed : aProgress.failed) {
    text += "\n" + failed.host.Value() + ": " + Describe(failed.remedy);
  }
  const std::size_t shown = std::min(aMaxHosts, aProgress.waiting.size());
  for (std::size_t i = 0; i < shown; ++i) {
    const WaitingHost& waitingHost = aProgress.waiting[i];
    text += "\n" + waitingHost.host.Value() + ": " +
            Describe(waitingHost.reason, aProgress.at);
  }
  if (shown < aProgress.waiting.size()) {
    text += "\n" + std::to_string(aProgress.waiting.size() - shown) +
            " more are waiting";
  }
  return text + "\n";
}

const char*
NameOf(HostPhase aPhase)
{
  switch (aPhase) {
    case HostPhase::Waiting:
      return "waiting";
    case HostPhase::Draining:
      return "draining";
    case HostPhase::Rebooting:
      return "rebooting";
    case HostPhase::Checking:
      return "checking";
    case HostPhase::Watching:
      return "watched";
    case HostPhase::Done:
      return "done";
    case HostPhase::Failed:
      break;
  }
  return "failed";
}

const char*
Describe(HostRemedy aRemedy)
{
  switch (aRemedy) {
    case HostRemedy::FindStuckTask:
      return "the drain timed out; find the task that blocks it";
    case HostRemedy::PowerCycle:
      return "the host did not come back from its reboot; power-cycle it";
    case HostRemedy::Replace:
      break;
  }
  return "the host is unhealthy; replace it";
}

} // namespace greengage::fleet
