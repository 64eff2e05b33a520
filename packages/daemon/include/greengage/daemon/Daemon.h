/// \file
/// The process of one entry host: its duties, the rings that join them, and
/// the order in which they start and stop.

#ifndef GREENGAGE_DAEMON_DAEMON_H
#define GREENGAGE_DAEMON_DAEMON_H

#include "greengage/core/Error.h"
#include "greengage/daemon/DaemonSettings.h"
#include "greengage/state/SettingsTree.h"

#include <memory>

namespace greengage::daemon {

namespace detail {
class DaemonImpl;
} // namespace detail

/// One running entry host.
class Daemon
{
public:
  /// \p aFirstSettings hold until the agreed state has settings of its own;
  /// BuildFleetView must have found them right.
  Daemon(DaemonSettings aSettings, state::SettingsTree aFirstSettings);
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon();

  /// Opens all ports and starts all duties.
  /// \returns false with StorageFull if the disk has no space for the data
  /// folder; Start may then be called again.
  bool Start(Error& aReason);

  /// Stops without cutting off a request: says not ready, waits for the
  /// notice, ends admission, finishes what is in progress, and only then
  /// closes the ports. False if work was still running after the timeout.
  bool ShutDown();

private:
  std::unique_ptr<detail::DaemonImpl> impl_;
};

} // namespace greengage::daemon

#endif // GREENGAGE_DAEMON_DAEMON_H
