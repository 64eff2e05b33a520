/// \file
/// The source that turns upstreams' answers into events of the request plane.

#ifndef GREENGAGE_DAEMON_LIB_SOURCES_UPSTREAMSOURCE_H
#define GREENGAGE_DAEMON_LIB_SOURCES_UPSTREAMSOURCE_H

#include "greengage/dispatch/Messages.h"
#include "greengage/http/Client.h"
#include "greengage/pipe/Pipe.h"

namespace greengage::daemon::detail {

/// Called by the client duty; pushes to the dispatch duty.
class UpstreamSource final : public pipe::Pipe<http::ClientResult>
{
public:
  explicit UpstreamSource(pipe::Pipe<dispatch::Event>& aDispatch);
  bool TryPush(http::ClientResult&& aResult) override;
  bool Push(http::ClientResult&& aResult) override;

private:
  pipe::Pipe<dispatch::Event>& dispatch_;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_SOURCES_UPSTREAMSOURCE_H
