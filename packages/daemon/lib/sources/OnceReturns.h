/// \file
/// The way of the request plane's replies, on which outcomes take the turn
/// through the once duty, so that they are recorded.

#ifndef GREENGAGE_DAEMON_LIB_SOURCES_ONCERETURNS_H
#define GREENGAGE_DAEMON_LIB_SOURCES_ONCERETURNS_H

#include "../filters/OnceFilter.h"

#include "greengage/api/Calls.h"
#include "greengage/pipe/Pipe.h"

namespace greengage::daemon::detail {

/// Sends outcomes to the once duty and all else to the callers.
class OnceReturns final : public pipe::Pipe<api::Reply>
{
public:
  OnceReturns(pipe::Pipe<OnceMessage>& aOnce, pipe::Pipe<api::Reply>& aReplies);
  bool TryPush(api::Reply&& aReply) override;
  bool Push(api::Reply&& aReply) override;

private:
  pipe::Pipe<OnceMessage>& once_;
  pipe::Pipe<api::Reply>& replies_;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_SOURCES_ONCERETURNS_H
