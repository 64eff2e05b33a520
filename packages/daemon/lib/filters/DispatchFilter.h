/// \file
/// The filter that drives the request plane's decisions and carries out their
/// actions through the pipes behind it.

#ifndef GREENGAGE_DAEMON_LIB_FILTERS_DISPATCHFILTER_H
#define GREENGAGE_DAEMON_LIB_FILTERS_DISPATCHFILTER_H

#include "../HostState.h"

#include "greengage/api/Calls.h"
#include "greengage/dispatch/Messages.h"
#include "greengage/dispatch/RequestPlane.h"
#include "greengage/http/Client.h"
#include "greengage/peer/Links.h"
#include "greengage/pipe/Filter.h"
#include "greengage/pipe/Pipe.h"

#include <functional>
#include <optional>

namespace greengage::daemon::detail {

/// Where the request plane's actions go.
struct DispatchOutlets
{
  pipe::Pipe<api::Reply>& replies;
  pipe::Pipe<http::ClientCall>& upstreams;
  pipe::Pipe<peer::PeerSend>& peers;
  /// Called once, when shutdown has drained the request plane.
  std::function<void()> onDrained;
};

/// Feeds events to the request plane. What a full pipe refuses goes back to
/// the plane as an attempt that was never sent.
class DispatchFilter final : public pipe::Filter<dispatch::Event>
{
public:
  DispatchFilter(dispatch::RequestPlane& aPlane,
                 HostState& aHost,
                 DispatchOutlets aOutlets);
  void Accept(dispatch::Event&& aEvent, Time aNow) override;
  std::optional<Time> NextTimer() const override { return nextTick_; }
  void OnTimer(Time aNow) override;

private:
  void CarryOut(dispatch::Actions&& aActions, Time aNow);
  void Do(dispatch::Answer&& aAction, Time aNow);
  void Do(dispatch::AnswerCancel&& aAction, Time aNow);
  void Do(dispatch::Execute&& aAction, Time aNow);
  void Do(dispatch::CancelAttempt&& aAction, Time aNow);
  void Do(dispatch::CancelForward&& aAction, Time aNow);
  void Do(dispatch::Forward&& aAction, Time aNow);
  void Do(dispatch::ReturnOutcome&& aAction, Time aNow);
  void Do(dispatch::RelayAnnouncement&& aAction, Time aNow);
  void Do(dispatch::AnswerAnnouncement&& aAction, Time aNow);
  void Do(dispatch::PublishLoad&& aAction, Time aNow);
  void Do(dispatch::SendGrants&& aAction, Time aNow);
  void Do(dispatch::Drained&& aAction, Time aNow) const;

  dispatch::RequestPlane& plane_;
  HostState& host_;
  DispatchOutlets outlets_;
  Time nextTick_;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_FILTERS_DISPATCHFILTER_H
