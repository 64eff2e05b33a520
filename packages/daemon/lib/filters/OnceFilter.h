/// \file
/// The filter in front of the request plane that lets each request id through
/// once over all entry hosts, and through which outcomes come back.

#ifndef GREENGAGE_DAEMON_LIB_FILTERS_ONCEFILTER_H
#define GREENGAGE_DAEMON_LIB_FILTERS_ONCEFILTER_H

#include "../HostState.h"

#include "greengage/api/Calls.h"
#include "greengage/dispatch/Messages.h"
#include "greengage/once/OnceLedger.h"
#include "greengage/peer/Links.h"
#include "greengage/pipe/Filter.h"
#include "greengage/pipe/Pipe.h"

#include <optional>
#include <variant>

namespace greengage::daemon::detail {

/// A batch of another entry host.
struct OnceReceived
{
  EntryHostId from;
  once::LedgerBatch batch;
};

/// The request plane's outcome of a call.
struct OnceOutcome
{
  CallId call;
  Outcome outcome;
};

using OnceMessage = std::variant<dispatch::Submit,
                                 dispatch::Cancel,
                                 dispatch::PeerUp,
                                 dispatch::PeerDown,
                                 OnceOutcome,
                                 OnceReceived>;

/// Where the ledger's actions go.
struct OnceOutlets
{
  pipe::Pipe<api::Reply>& replies;
  pipe::Pipe<dispatch::Event>& dispatch;
  pipe::Pipe<peer::PeerSend>& peers;
};

/// Feeds the ledger. It never waits for the dispatch duty, which waits for it:
/// what finds no room there ends as refused.
class OnceFilter final : public pipe::Filter<OnceMessage>
{
public:
  OnceFilter(once::OnceLedger& aLedger, HostState& aHost, OnceOutlets aOutlets);
  void Accept(OnceMessage&& aMessage, Time aNow) override;
  std::optional<Time> NextTimer() const override { return nextTick_; }
  void OnTimer(Time aNow) override;
  void OnClose(Time aNow) override;

private:
  void On(dispatch::Submit&& aMessage, Time aNow, once::Actions& aOut);
  void On(dispatch::Cancel&& aMessage, Time aNow, once::Actions& aOut);
  void On(dispatch::PeerUp&& aMessage, Time aNow, once::Actions& aOut);
  void On(dispatch::PeerDown&& aMessage, Time aNow, once::Actions& aOut);
  void On(OnceOutcome&& aMessage, Time aNow, once::Actions& aOut);
  void On(OnceReceived&& aMessage, Time aNow, once::Actions& aOut);

  void CarryOut(once::Actions&& aActions, Time aNow);
  void Do(once::SendBatch&& aAction, Time aNow);
  void Do(once::DispatchCall&& aAction, Time aNow);
  void Do(once::Reply&& aAction, Time aNow);

  once::OnceLedger& ledger_;
  HostState& host_;
  OnceOutlets outlets_;
  Time nextTick_;
  /// No message has come since the last tick.
  bool isIdle_ = true;
  std::optional<Time> startedAt_;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_FILTERS_ONCEFILTER_H
