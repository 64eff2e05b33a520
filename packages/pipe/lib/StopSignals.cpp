#include "greengage/pipe/StopSignals.h"

using namespace greengage::pipe;

StopSignals::StopSignals()
{
  sigemptyset(&signals_);
  sigaddset(&signals_, SIGTERM);
  sigaddset(&signals_, SIGINT);
  sigaddset(&signals_, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void
StopSignals::Wait() const
{
  int signal = 0;
  do {
    sigwait(&signals_, &signal);
  } while (signal == SIGHUP);
}

SignalKind
StopSignals::WaitFor(Duration aSpan) const
{
  static constexpr std::int64_t kMillis = 1000;
  static constexpr std::int64_t kNanosPerMilli = 1000000;
  const timespec span{ .tv_sec = aSpan.Millis() / kMillis,
                       .tv_nsec = aSpan.Millis() % kMillis * kNanosPerMilli };
  const int signal = sigtimedwait(&signals_, nullptr, &span);
  if (signal < 0)
    return SignalKind::None;
  return signal == SIGHUP ? SignalKind::Reload : SignalKind::Stop;
}
