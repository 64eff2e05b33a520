/// \file
/// The filter that answers operators and probes.

#ifndef GREENGAGE_DAEMON_LIB_FILTERS_OPERATEFILTER_H
#define GREENGAGE_DAEMON_LIB_FILTERS_OPERATEFILTER_H

#include "../HostState.h"
#include "AuthenticateFilter.h"

#include "greengage/api/Calls.h"
#include "greengage/pipe/Filter.h"
#include "greengage/pipe/Pipe.h"

namespace greengage::daemon::detail {

/// Answers probes and operators' calls.
class OperateFilter final : public pipe::Filter<OperatorCall>
{
public:
  OperateFilter(HostState& aHost, pipe::Pipe<api::Reply>& aReplies);
  void Accept(OperatorCall&& aCall, Time aNow) override;

private:
  api::TextReply Probe(api::ProbeKind aKind) const;
  api::TextReply Status() const;

  HostState& host_;
  pipe::Pipe<api::Reply>& replies_;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_FILTERS_OPERATEFILTER_H
