/// \file
/// The way to the request plane, on which whatever concerns request ids takes
/// the turn through the once duty.

#ifndef GREENGAGE_DAEMON_LIB_SOURCES_ONCEINLET_H
#define GREENGAGE_DAEMON_LIB_SOURCES_ONCEINLET_H

#include "../filters/OnceFilter.h"

#include "greengage/dispatch/Messages.h"
#include "greengage/pipe/Pipe.h"

namespace greengage::daemon::detail {

/// Sends submissions and withdrawals to the once duty, the reachability of
/// peers to both duties, and all else to the dispatch duty.
class OnceInlet final : public pipe::Pipe<dispatch::Event>
{
public:
  OnceInlet(pipe::Pipe<OnceMessage>& aOnce,
            pipe::Pipe<dispatch::Event>& aDispatch);
  bool TryPush(dispatch::Event&& aEvent) override;
  bool Push(dispatch::Event&& aEvent) override;

private:
  pipe::Pipe<OnceMessage>& once_;
  pipe::Pipe<dispatch::Event>& dispatch_;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_SOURCES_ONCEINLET_H
