/// \file
/// The source that turns what happens on peer links into events of the request
/// plane and of the agreed log.

#ifndef GREENGAGE_DAEMON_LIB_SOURCES_PEERSOURCE_H
#define GREENGAGE_DAEMON_LIB_SOURCES_PEERSOURCE_H

#include "../filters/ConsensusMessages.h"

#include "greengage/dispatch/Messages.h"
#include "greengage/peer/Links.h"
#include "greengage/pipe/Pipe.h"

namespace greengage::daemon::detail {

/// Called by the link duty; pushes to the dispatch duty.
class PeerSource final : public pipe::Pipe<peer::PeerEvent>
{
public:
  /// \param aConsensus takes the messages of the agreed log, which are dropped
  /// if there is none or it is full: replicas send again.
  explicit PeerSource(pipe::Pipe<dispatch::Event>& aDispatch,
                      pipe::Pipe<ConsensusInput>* aConsensus = nullptr);
  bool TryPush(peer::PeerEvent&& aEvent) override;
  bool Push(peer::PeerEvent&& aEvent) override;

private:
  bool TakeLogMessage(peer::PeerEvent& aEvent);

  pipe::Pipe<dispatch::Event>& dispatch_;
  pipe::Pipe<ConsensusInput>* consensus_;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_SOURCES_PEERSOURCE_H
