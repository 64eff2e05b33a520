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
#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/dispatch/Messages.h"
#include "greengage/peer/Links.h"
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
  /// How long to wait for the settings that the fleet may have already.
  Duration patience;
};

/// The state was replaced by a snapshot.
struct StateRestored
{
  std::string snapshot;
};

/// A proposal has to be made by the host that leads the log.
struct ProposalRedirected
{
  state::ProposalId id;
  EntryHostId leader;
};

using StateMessage = std::variant<AdministrationRequest,
                                  BeginFleet,
                                  state::Delivery,
                                  state::ProposalFailed,
                                  StateRestored,
                                  ProposalRedirected>;

/// The pipes behind the filter.
struct StateOutlets
{
  /// Whatever orders the proposals of all entry hosts.
  pipe::Pipe<state::Proposal>& proposals;
  pipe::Pipe<AuthenticateMessage>& authenticate;
  pipe::Pipe<dispatch::Event>& dispatch;
  pipe::Pipe<api::Reply>& replies;
  /// For proposals that another host has to make.
  pipe::Pipe<peer::PeerSend>& peers;
};

/// Drives the state machine and answers operators from it.
class StateFilter final : public pipe::Filter<StateMessage>
{
public:
  /// \p aWallClock stamps the changes for the audit trail.
  StateFilter(HostState& aHost, const Clock& aWallClock, StateOutlets aOutlets);
  void Accept(StateMessage&& aMessage, Time aNow) override;
  std::optional<Time> NextTimer() const override { return nextTick_; }
  void OnTimer(Time aNow) override;

private:
  /// An operator who waits for the end of a proposal.
  struct Waiter
  {
    CallId call;
    std::optional<std::string> secret;
  };

  /// A proposal that has not come out of the log yet.
  struct Pending
  {
    std::optional<Waiter> waiter;
    std::string command;
    Time proposeAgainAt;
    Time givenUpAt;
  };

  void Handle(AdministrationRequest&& aRequest);
  void Handle(BeginFleet&& aBegin);
  void Handle(state::Delivery&& aDelivery);
  void Handle(state::ProposalFailed&& aFailed);
  void Handle(StateRestored&& aRestored);
  void Handle(ProposalRedirected&& aRedirected);

  void BeginIfEmpty();
  void ProposeAgain();
  std::map<state::ProposalId, Pending>::iterator PendingOf(
    const state::Delivery& aDelivery);
  void Fail(state::ProposalId aId, Error&& aReason);

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
  std::map<state::ProposalId, Pending> pending_;
  std::uint64_t lastProposal_ = 0;
  /// The settings to begin with, until the fleet has any.
  std::optional<state::SettingsTree> firstSettings_;
  Time beginAt_;
  /// When the last message came or the timer fired.
  Time now_;
  std::optional<Time> nextTick_;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_FILTERS_STATEFILTER_H
