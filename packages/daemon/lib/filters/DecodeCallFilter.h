/// \file
/// The filter that decodes the calls that this host serves.

#ifndef GREENGAGE_DAEMON_LIB_FILTERS_DECODECALLFILTER_H
#define GREENGAGE_DAEMON_LIB_FILTERS_DECODECALLFILTER_H

#include "JobMessages.h"

#include "greengage/frontend/Codecs.h"
#include "greengage/pipe/Filter.h"
#include "greengage/pipe/Pipe.h"

#include <utility>

namespace greengage::daemon::detail {

/// Hands decoded calls to the scheduling duty, which takes them in the end.
class DecodeCallFilter final : public pipe::Filter<RawCall>
{
public:
  DecodeCallFilter(const frontend::CallCodec& aCodec,
                   pipe::Pipe<ScheduleMessage>& aNext)
    : codec_(aCodec)
    , next_(aNext)
  {
  }
  void Accept(RawCall&& aCall, Time /*aNow*/) override
  {
    next_.Push(schedule::IncomingCall{
      .caller = aCall.caller,
      .call = codec_.Decode(std::move(aCall.request)) });
  }

private:
  const frontend::CallCodec& codec_;
  pipe::Pipe<ScheduleMessage>& next_;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_FILTERS_DECODECALLFILTER_H
