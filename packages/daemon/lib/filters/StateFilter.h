/// \file
/// The filter that owns the agreed state on this entry host: it answers
/// operators, proposes their changes, applies what the log delivers, and
/// publishes each new version to the duties of the request path.

#ifndef GREENGAGE_DAEMON_LIB_FILTERS_STATEFILTER_H
#define GREENGAGE_DAEMON_LIB_FILTERS_STATEFILTER_H

#include "../HostState.h"
#include "AuthenticateFilter.h"

#include "greengage/api/Administration.h"
#include "greengage/api/Calls.h"
#include "greengage/core/Clock.h"
#include "greengage/dispatch/Messages.h"
#include "greengage/pipe/Filter.h"
#include "greengage/pipe/Pipe.h"
#include "greengage/state/FleetStateMachine.h"
#include "greengage/state/Proposal.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace greengage::daemon::detail {

/// An operator's call on the agreed state.
struct AdministrationRequest
{
  CallId call;
  state::OperatorId who;
  std::string remoteAddress;
  api::AdministrationCall body;
};

/// The settings to begin with; without effect once the fleet has any.
struct BeginFleet
{
  state::SettingsTree tree;
};

using StateMessage = std::variant<AdministrationRequest,
                                  BeginFleet,
                                  state::Delivery,
                                  state::ProposalFailed>;

/// The pipes behind the filter.
struct StateOutlets
{
  /// Whatever orders the proposals of all entry hosts.
  pipe::Pipe<state::Proposal>& proposals;
  pipe::Pipe<AuthenticateMessage>& authenticate;
  pipe::Pipe<dispatch::Event>& dispatch;
  pipe::Pipe<api::Reply>& replies;
};

/// Drives the state machine and answers operators from it.
class StateFilter final : public pipe::Filter<StateMessage>
{
public:
  /// \p aWallClock stamps the changes for the audit trail.
  StateFilter(HostState& aHost, const Clock& aWallClock, StateOutlets aOutlets);
  void Accept(StateMessage&& aMessage, Time aNow) override;

private:
  /// An operator who waits for the end of a proposal.
  struct Waiter
  {
    CallId call;
    std::optional<std::string> secret;
  };

  void Handle(AdministrationRequest&& aRequest);
  void Handle(BeginFleet&& aBegin);
  void Handle(state::Delivery&& aDelivery);
  void Handle(state::ProposalFailed&& aFailed);

  api::ReplyBody Answer(const api::ReadSettings& aCall) const;
  api::ReplyBody Answer(const api::ExplainSetting& aCall) const;
  api::ReplyBody Answer(const api::DiffSettings& aCall) const;
  api::ReplyBody Answer(const api::ExportSettings& aCall) const;
  api::ReplyBody Answer(const api::ListKeys& aCall) const;
  api::ReplyBody Answer(const api::ListTeams& aCall) const;
  api::ReplyBody Answer(const api::ListPools& aCall) const;
  api::ReplyBody Answer(const api::QueryAudit& aCall) const;
  api::ReplyBody Answer(const api::VerifyAudit& aCall) const;

  void Change(const AdministrationRequest& aRequest, api::ChangeState&& aCall);
  void Grant(const AdministrationRequest& aRequest, api::GrantKeyCall&& aCall);
  void Propose(const state::Command& aCommand, std::optional<Waiter> aWaiter);
  state::Origin OriginOf(const AdministrationRequest& aRequest,
                         const state::ChangeId& aChange) const;
  void PublishView();
  void LogNewEntry(const std::string& aHeadBefore) const;
  void Reply(CallId aCall, api::ReplyBody&& aBody);

  HostState& host_;
  const Clock& wallClock_;
  StateOutlets outlets_;
  state::FleetStateMachine machine_;
  std::map<state::ProposalId, Waiter> waiters_;
  std::uint64_t lastProposal_ = 0;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_FILTERS_STATEFILTER_H
