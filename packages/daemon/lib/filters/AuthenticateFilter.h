/// \file
/// The filter that finds out who calls and lets calls through by their rights.

#ifndef GREENGAGE_DAEMON_LIB_FILTERS_AUTHENTICATEFILTER_H
#define GREENGAGE_DAEMON_LIB_FILTERS_AUTHENTICATEFILTER_H

#include "greengage/api/Calls.h"
#include "greengage/dispatch/Messages.h"
#include "greengage/pipe/Filter.h"
#include "greengage/pipe/Pipe.h"
#include "greengage/state/FleetView.h"

#include <optional>
#include <variant>

namespace greengage::daemon::detail {

/// A call to check, or a new version of the keys to check by.
using AuthenticateMessage = std::variant<api::Call, state::FleetViewPtr>;

/// A call of an operator or a probe, with who made it.
struct OperatorCall
{
  api::Call call;
  /// Nobody for a probe, which needs no key.
  std::optional<state::Principal> principal;
};

/// Sends callers' and upstreams' calls to the request plane and operators'
/// calls to the operators' duty.
class AuthenticateFilter final : public pipe::Filter<AuthenticateMessage>
{
public:
  AuthenticateFilter(pipe::Pipe<dispatch::Event>& aDispatch,
                     pipe::Pipe<OperatorCall>& aOperate,
                     pipe::Pipe<api::Reply>& aReplies);
  void Accept(AuthenticateMessage&& aMessage, Time aNow) override;

private:
  /// The team, operator or upstream that may make this call.
  std::optional<state::Principal> Authorize(const api::Call& aCall,
                                            Error& aReason) const;
  bool Pass(api::Call&& aCall, state::Principal&& aPrincipal);
  void Refuse(CallId aCall, Error&& aReason, bool aIsFirstSend);

  pipe::Pipe<dispatch::Event>& dispatch_;
  pipe::Pipe<OperatorCall>& operate_;
  pipe::Pipe<api::Reply>& replies_;
  state::FleetViewPtr view_;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_FILTERS_AUTHENTICATEFILTER_H
