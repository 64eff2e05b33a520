/// \file
/// The source that turns what happens on peer links into events of the request
/// plane and of the records of request ids.

#ifndef GREENGAGE_DAEMON_LIB_SOURCES_PEERSOURCE_H
#define GREENGAGE_DAEMON_LIB_SOURCES_PEERSOURCE_H

#include "../filters/OnceFilter.h"

#include "greengage/dispatch/Messages.h"
#include "greengage/peer/Links.h"
#include "greengage/pipe/Pipe.h"

namespace greengage::daemon::detail {

/// Called by the link duty; pushes to the dispatch duty or, what concerns
/// request ids, to the once duty.
class PeerSource final : public pipe::Pipe<peer::PeerEvent>
{
public:
  PeerSource(pipe::Pipe<dispatch::Event>& aDispatch,
             pipe::Pipe<OnceMessage>& aOnce);
  bool TryPush(peer::PeerEvent&& aEvent) override;
  bool Push(peer::PeerEvent&& aEvent) override;

private:
  pipe::Pipe<dispatch::Event>& dispatch_;
  pipe::Pipe<OnceMessage>& once_;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_SOURCES_PEERSOURCE_H
