/// \file
/// The filter from HTTP requests to calls.

#ifndef GREENGAGE_DAEMON_LIB_FILTERS_DECODEFILTER_H
#define GREENGAGE_DAEMON_LIB_FILTERS_DECODEFILTER_H

#include "AuthenticateFilter.h"

#include "greengage/api/Calls.h"
#include "greengage/http/Message.h"
#include "greengage/pipe/Filter.h"
#include "greengage/pipe/Pipe.h"

namespace greengage::daemon::detail {

/// Decodes requests; what is malformed or finds no room is refused at once.
class DecodeFilter final : public pipe::Filter<http::HttpRequest>
{
public:
  DecodeFilter(pipe::Pipe<AuthenticateMessage>& aNext,
               pipe::Pipe<api::Reply>& aReplies);
  void Accept(http::HttpRequest&& aRequest, Time aNow) override;

private:
  pipe::Pipe<AuthenticateMessage>& next_;
  pipe::Pipe<api::Reply>& replies_;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_FILTERS_DECODEFILTER_H
