/// \file
/// Starts a daemon whose disk may be full at the moment.

#ifndef GREENGAGE_TOOLS_GREENGAGED_STARTDAEMON_H
#define GREENGAGE_TOOLS_GREENGAGED_STARTDAEMON_H

#include "greengage/core/Error.h"
#include "greengage/observe/Log.h"
#include "greengage/pipe/StopSignals.h"

#include <cstdint>

namespace greengage::tools {

enum class StartResult : std::uint8_t
{
  Started,
  /// A signal to stop came first.
  Stopped,
  Failed,
};

namespace detail {

inline constexpr Duration kStartRetryInterval = Duration::Seconds(1);

} // namespace detail

/// Starts \p aDaemon. While the disk has no space for its data folder, tries
/// again until it starts or a signal to stop comes.
/// \returns Failed, with the reason, after any other failure.
template<typename Daemon>
StartResult
StartDaemon(Daemon& aDaemon, const pipe::StopSignals& aSignals, Error& aReason)
{
  while (!aDaemon.Start(aReason)) {
    if (aReason.kind != ErrorKind::StorageFull)
      return StartResult::Failed;
    observe::Log(observe::LogLevel::Error,
                 "start-delayed",
                 { { "reason", Describe(aReason) } });
    if (aSignals.WaitFor(detail::kStartRetryInterval) == pipe::SignalKind::Stop)
      return StartResult::Stopped;
  }
  return StartResult::Started;
}

} // namespace greengage::tools

#endif // GREENGAGE_TOOLS_GREENGAGED_STARTDAEMON_H
