/// \file
/// The operator's view of a wave: its progress, its forecast end, and the
/// reason why each waiting host waits.

#ifndef GREENGAGE_FLEET_WAVEPROGRESS_H
#define GREENGAGE_FLEET_WAVEPROGRESS_H

#include "greengage/core/Units.h"
#include "greengage/fleet/BudgetSnapshot.h"
#include "greengage/fleet/PoolRegistry.h"
#include "greengage/fleet/WaveRunner.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace greengage::fleet {

/// A host in phase Waiting and the reason why it waits.
struct WaitingHost
{
  HostId host;
  WaitReason reason;
};

/// A host that failed in the wave.
struct FailedHost
{
  HostId host;
  HostRemedy remedy = HostRemedy::Replace;
};

/// A snapshot of the progress of a wave.
struct WaveProgress
{
  Time at;
  Time startedAt;
  std::size_t total = 0;
  /// The number of hosts in each HostPhase.
  std::array<std::size_t, kHostPhases> phaseCounts{};
  /// The forecast end if no further host fails. Empty if it is more than ten
  /// years away, which indicates that a budget of zero hosts blocks the wave.
  std::optional<Time> forecastEnd;
  std::vector<Pause> pauses;
  std::vector<WaitingHost> waiting;
  std::vector<FailedHost> failed;

  std::size_t Count(HostPhase aPhase) const
  {
    return phaseCounts[static_cast<std::size_t>(aPhase)];
  }
};

/// Returns the progress of \p aRunner's wave. \p aCycle is the estimated time
/// from a drain to the end of the watch period; it is used until the first host
/// completes.
WaveProgress
MakeWaveProgress(const WaveRunner& aRunner,
                 const PoolRegistry& aRegistry,
                 const BudgetLedger& aLedger,
                 Duration aCycle,
                 Time aNow);

/// Describes the reason in one human-readable line.
std::string
Describe(const WaitReason& aReason, Time aNow);

/// Renders a progress bar of \p aWidth characters: '#' for completed hosts, '>'
/// for hosts in maintenance or watched, 'x' for failed ones, '.' for waiting
/// ones.
std::string
RenderBar(const WaveProgress& aProgress, std::size_t aWidth);

/// Renders the progress bar, counts, forecast, failed hosts and up to
/// \p aMaxHosts waiting hosts with their reasons.
std::string
RenderStatus(const WaveProgress& aProgress,
             std::size_t aWidth,
             std::size_t aMaxHosts);

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_WAVEPROGRESS_H
