/// \file
/// What operators see of a wave: how far it is, when it will end, and why each
/// host that waits does.

#ifndef GREENGAGE_FLEET_WAVEPROGRESS_H
#define GREENGAGE_FLEET_WAVEPROGRESS_H

#include "greengage/core/Units.h"
#include "greengage/fleet/BudgetPicture.h"
#include "greengage/fleet/PoolRegistry.h"
#include "greengage/fleet/WaveRunner.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace greengage::fleet {

/// A host that waits.
struct WaitingHost
{
  HostId host;
  WaitReason reason;
};

/// A host that was given up.
struct FailedHost
{
  HostId host;
  HostRemedy remedy = HostRemedy::Replace;
};

/// A wave at one moment.
struct WaveProgress
{
  Time at;
  Time startedAt;
  std::size_t total = 0;
  /// Hosts by HostPhase.
  std::array<std::size_t, kHostPhases> phaseCounts{};
  /// When the wave will end if nothing fails from now on; nothing if a budget
  /// of zero hosts never lets it end.
  std::optional<Time> forecastEnd;
  std::vector<Pause> pauses;
  std::vector<WaitingHost> waiting;
  std::vector<FailedHost> failed;

  std::size_t Count(HostPhase aPhase) const
  {
    return phaseCounts[static_cast<std::size_t>(aPhase)];
  }
};

/// The progress of \p aRunner's wave. \p aCycle is what a host takes from the
/// drain to the end of the watch, as long as no host is done.
WaveProgress
MakeWaveProgress(const WaveRunner& aRunner,
                 const PoolRegistry& aRegistry,
                 const BudgetBook& aBook,
                 Duration aCycle,
                 Time aNow);

/// The reason as one line for people.
std::string
Describe(const WaitReason& aReason, Time aNow);

/// A progress bar of \p aWidth characters: '#' for hosts that are done, '>' in
/// maintenance or watched, 'x' given up, '.' waiting.
std::string
RenderBar(const WaveProgress& aProgress, std::size_t aWidth);

/// The bar, counts, forecast and up to \p aMaxHosts lines of reasons.
std::string
RenderStatus(const WaveProgress& aProgress,
             std::size_t aWidth,
             std::size_t aMaxHosts);

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_WAVEPROGRESS_H
