/// \file
/// The filter that answers operators and probes.

#ifndef GREENGAGE_DAEMON_LIB_FILTERS_OPERATEFILTER_H
#define GREENGAGE_DAEMON_LIB_FILTERS_OPERATEFILTER_H

#include "../HostState.h"
#include "AuthenticateFilter.h"
#include "StateFilter.h"

#include "greengage/api/Calls.h"
#include "greengage/pipe/Filter.h"
#include "greengage/pipe/Pipe.h"

namespace greengage::daemon::detail {

/// Answers probes and questions about this process, and hands calls on the
/// agreed state to the duty that owns it.
class OperateFilter final : public pipe::Filter<OperatorCall>
{
public:
  OperateFilter(HostState& aHost,
                pipe::Pipe<StateMessage>& aState,
                pipe::Pipe<api::Reply>& aReplies);
  void Accept(OperatorCall&& aCall, Time aNow) override;

private:
  /// False if the state duty has no room.
  bool Administer(OperatorCall& aCall);
  bool IsReady() const
  {
    return host_.isReady && host_.isLogHealthy && host_.hasState &&
           host_.hasRecords;
  }
  api::TextReply Probe(api::ProbeKind aKind) const;
  api::TextReply Status() const;

  HostState& host_;
  pipe::Pipe<StateMessage>& state_;
  pipe::Pipe<api::Reply>& replies_;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_FILTERS_OPERATEFILTER_H
