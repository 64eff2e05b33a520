#include "AuthenticateFilter.h"

#include <utility>

using namespace greengage;
using namespace greengage::daemon::detail;
using state::Principal;
using state::Role;

AuthenticateFilter::AuthenticateFilter(pipe::Pipe<dispatch::Event>& aDispatch,
                                       pipe::Pipe<OperatorCall>& aOperate,
                                       pipe::Pipe<api::Reply>& aReplies)
  : dispatch_(aDispatch)
  , operate_(aOperate)
  , replies_(aReplies)
{
}

void
AuthenticateFilter::Accept(AuthenticateMessage&& aMessage, Time /*aNow*/)
{
  if (auto* view = std::get_if<state::FleetViewPtr>(&aMessage)) {
    view_ = std::move(*view);
    return;
  }
  auto& call = std::get<api::Call>(aMessage);
  const CallId id = call.id;
  const bool isFirstSend = api::IsFirstSend(call);
  Error reason;
  if (std::holds_alternative<api::ProbeCall>(call.body)) {
    if (!operate_.TryPush(
          { .call = std::move(call), .principal = std::nullopt }))
      Refuse(
        id, { ErrorKind::Overloaded, "entry host is at its limit" }, false);
    return;
  }
  auto principal = Authorize(call, reason);
  if (!principal) {
    Refuse(id, std::move(reason), isFirstSend);
    return;
  }
  if (!Pass(std::move(call), std::move(*principal)))
    Refuse(
      id, { ErrorKind::Overloaded, "entry host is at its limit" }, isFirstSend);
}

static Role
RoleFor(http::PortRole aPort)
{
  switch (aPort) {
    case http::PortRole::Callers:
      return Role::Team;
    case http::PortRole::Upstreams:
      return Role::Upstream;
    case http::PortRole::Operators:
    case http::PortRole::Control:
    case http::PortRole::Readiness:
    case http::PortRole::Metrics:
      break;
  }
  return Role::Operator;
}

std::optional<Principal>
AuthenticateFilter::Authorize(const api::Call& aCall, Error& aReason) const
{
  if (!view_)
    return Fail(
      aReason, ErrorKind::Unreachable, "entry host has no agreed state yet");
  auto principal = state::Authenticate(*view_, aCall.authorization, aReason);
  if (principal && principal->role != RoleFor(api::PortOf(aCall.id)))
    return Fail(
      aReason, ErrorKind::Forbidden, "key is not meant for this port");
  return principal;
}

bool
AuthenticateFilter::Pass(api::Call&& aCall, Principal&& aPrincipal)
{
  if (auto* submit = std::get_if<api::SubmitCall>(&aCall.body)) {
    submit->request.team = TeamId(std::move(aPrincipal.name));
    return dispatch_.TryPush(dispatch::Submit{
      .call = aCall.id, .request = std::move(submit->request) });
  }
  if (auto* cancel = std::get_if<api::CancelCall>(&aCall.body))
    return dispatch_.TryPush(
      dispatch::Cancel{ .call = aCall.id,
                        .team = TeamId(std::move(aPrincipal.name)),
                        .id = std::move(cancel->id) });
  if (auto* announce = std::get_if<api::AnnounceCall>(&aCall.body))
    return dispatch_.TryPush(dispatch::Announced{
      .announcement = std::move(announce->announcement), .call = aCall.id });
  return operate_.TryPush(
    { .call = std::move(aCall), .principal = std::move(aPrincipal) });
}

void
AuthenticateFilter::Refuse(CallId aCall, Error&& aReason, bool aIsFirstSend)
{
  replies_.Push({ .call = aCall,
                  .body = api::ErrorReply{ .error = std::move(aReason),
                                           .isFirstSend = aIsFirstSend } });
}
