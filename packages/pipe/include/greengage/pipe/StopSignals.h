/// \file
/// The signals that end a program or have it read its settings again, taken by
/// one thread that waits for them.

#ifndef GREENGAGE_PIPE_STOPSIGNALS_H
#define GREENGAGE_PIPE_STOPSIGNALS_H

#include "greengage/core/Units.h"

#include <csignal>
#include <cstdint>

namespace greengage::pipe {

/// What a signal asks of the program.
enum class SignalKind : std::uint8_t
{
  /// None came in time.
  None,
  Stop,
  /// Read the settings again.
  Reload,
};

/// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and all that it
/// starts later, and ignores SIGPIPE. Make one before the first thread.
class StopSignals
{
public:
  StopSignals();

  /// Waits until a signal to stop comes.
  void Wait() const;
  /// Waits for any of the signals, no longer than \p aSpan.
  SignalKind WaitFor(Duration aSpan) const;

private:
  sigset_t signals_{};
};

} // namespace greengage::pipe

#endif // GREENGAGE_PIPE_STOPSIGNALS_H
