#include "greengage/pipe/StopSignals.h"

using namespace greengage::pipe;

StopSignals::StopSignals()
{
  sigemptyset(&signals_);
  sigaddset(&signals_, SIGTERM);
  sigaddset(&signals_, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void
StopSignals::Wait() const
{
  int signal = 0;
  sigwait(&signals_, &signal);
}
