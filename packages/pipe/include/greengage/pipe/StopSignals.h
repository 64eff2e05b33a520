/// \file
/// The signals that end a program, taken by one thread that waits for them.

#ifndef GREENGAGE_PIPE_STOPSIGNALS_H
#define GREENGAGE_PIPE_STOPSIGNALS_H

#include <csignal>

namespace greengage::pipe {

/// Blocks SIGTERM and SIGINT in the calling thread and all that it starts
/// later, and ignores SIGPIPE. Make one before the first thread.
class StopSignals
{
public:
  StopSignals();

  /// Waits until one of the signals comes.
  void Wait() const;

private:
  sigset_t signals_{};
};

} // namespace greengage::pipe

#endif // GREENGAGE_PIPE_STOPSIGNALS_H
