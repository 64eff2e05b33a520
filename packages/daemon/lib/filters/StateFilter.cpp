#include "StateFilter.h"

#include "greengage/observe/Log.h"
#include "greengage/state/CommandCodec.h"
#include "greengage/state/SettingCatalogue.h"

#include <algorithm>
#include <cassert>
#include <type_traits>
#include <utility>
#include <vector>

using namespace greengage;
using namespace greengage::daemon::detail;
using state::FleetState;

static constexpr std::size_t kSecretBytes = 24;
static constexpr std::size_t kSaltBytes = 16;
/// How often the state duty looks after its proposals.
static constexpr Duration kTickInterval = Duration(100);
/// After how long a proposal that did not come out of the log is made again.
static constexpr Duration kProposeInterval = Duration(500);
/// After how long its operator is told that its end is not known.
static constexpr Duration kProposeLimit = Duration::Seconds(8);
/// Who proposes the settings file, for the audit trail.
static constexpr const char* kFileOperator = "settings-file";

StateFilter::StateFilter(HostState& aHost,
                         const Clock& aWallClock,
                         StateOutlets aOutlets)
  : host_(aHost)
  , wallClock_(aWallClock)
  , outlets_(aOutlets)
{
}

void
StateFilter::Accept(StateMessage&& aMessage, Time aNow)
{
  now_ = aNow;
  std::visit(
    [this](auto&& aAny) { Handle(std::forward<decltype(aAny)>(aAny)); },
    std::move(aMessage));
  const bool isWaiting = !pending_.empty() || firstSettings_;
  if (isWaiting && !nextTick_)
    nextTick_ = aNow + kTickInterval;
}

void
StateFilter::OnTimer(Time aNow)
{
  now_ = aNow;
  BeginIfEmpty();
  ProposeAgain();
  nextTick_.reset();
  if (!pending_.empty() || firstSettings_)
    nextTick_ = aNow + kTickInterval;
}

void
StateFilter::Handle(AdministrationRequest&& aRequest)
{
  if (auto* change = std::get_if<api::ChangeState>(&aRequest.body)) {
    Change(aRequest, std::move(*change));
    return;
  }
  if (auto* grant = std::get_if<api::GrantKeyCall>(&aRequest.body)) {
    Grant(aRequest, std::move(*grant));
    return;
  }
  const auto answer = [this](const auto& aCall) -> api::ReplyBody {
    using Call = std::decay_t<decltype(aCall)>;
    if constexpr (std::is_same_v<Call, api::ChangeState> ||
                  std::is_same_v<Call, api::GrantKeyCall>)
      return {};
    else
      return Answer(aCall);
  };
  Reply(aRequest.call, std::visit(answer, aRequest.body));
}

void
StateFilter::Handle(BeginFleet&& aBegin)
{
  firstSettings_ = std::move(aBegin.tree);
  beginAt_ = now_ + aBegin.patience;
  BeginIfEmpty();
}

/// Proposes the settings to begin with, unless the fleet has settings.
void
StateFilter::BeginIfEmpty()
{
  if (!firstSettings_ || now_ < beginAt_)
    return;
  if (machine_.State().CurrentVersion() != Version(0)) {
    firstSettings_.reset();
    return;
  }
  const state::Origin origin{ .who = state::OperatorId(kFileOperator),
                              .change = state::ChangeId(host_.id.Value()),
                              .remoteAddress = {},
                              .at = wallClock_.Now() };
  Propose({ origin, state::Bootstrap{ std::move(*firstSettings_) } },
          std::nullopt);
  firstSettings_.reset();
}

api::ReplyBody
StateFilter::Answer(const api::ReadSettings& /*aCall*/) const
{
  const FleetState& fleet = machine_.State();
  return api::AdministrationReply(api::SettingsReply{
    fleet.CurrentVersion(), state::WithoutKeys(fleet.Tree()) });
}

api::ReplyBody
StateFilter::Answer(const api::ExplainSetting& aCall) const
{
  const FleetState& fleet = machine_.State();
  const state::SettingSpec* spec = state::FindSetting(aCall.name);
  if (spec == nullptr)
    return api::ErrorReply{ { ErrorKind::NotFound,
                              "setting is not known; nearest is \"" +
                                state::NearestSetting(aCall.name) + "\"" } };
  return api::AdministrationReply(
    api::ExplainReply{ .version = fleet.CurrentVersion(),
                       .asked = aCall,
                       .found = fleet.Tree().Explain(aCall.branch, aCall.name),
                       .defaultText = std::string(spec->defaultText) });
}

api::ReplyBody
StateFilter::Answer(const api::DiffSettings& aCall) const
{
  const FleetState& fleet = machine_.State();
  return api::AdministrationReply(
    api::DiffReply{ fleet.CurrentVersion(),
                    Difference(state::WithoutKeys(fleet.Tree()),
                               state::WithoutKeys(aCall.tree)) });
}

api::ReplyBody
StateFilter::Answer(const api::ExportSettings& /*aCall*/) const
{
  const FleetState& fleet = machine_.State();
  return api::AdministrationReply(api::ExportReply{
    fleet.CurrentVersion(), state::WithoutKeys(fleet.Tree()).ToIni() });
}

api::ReplyBody
StateFilter::Answer(const api::ListKeys& /*aCall*/) const
{
  const FleetState& fleet = machine_.State();
  api::KeysReply reply;
  reply.version = fleet.CurrentVersion();
  if (const auto view = fleet.View())
    for (const auto& [id, policy] : view->keys)
      reply.keys.emplace_back(id, policy.principal);
  reply.withdrawn.assign(fleet.Withdrawn().begin(), fleet.Withdrawn().end());
  return api::AdministrationReply(std::move(reply));
}

api::ReplyBody
StateFilter::Answer(const api::ListTeams& /*aCall*/) const
{
  return api::AdministrationReply(api::TeamsReply{ machine_.State().View() });
}

api::ReplyBody
StateFilter::Answer(const api::ListPools& /*aCall*/) const
{
  return api::AdministrationReply(api::PoolsReply{ machine_.State().View() });
}

api::ReplyBody
StateFilter::Answer(const api::QueryAudit& aCall) const
{
  const state::AuditTrail& audit = machine_.State().Audit();
  return api::AdministrationReply(
    api::AuditReply{ audit.Chain().first, audit.Find(aCall.query) });
}

api::ReplyBody
StateFilter::Answer(const api::VerifyAudit& /*aCall*/) const
{
  const state::AuditChain& chain = machine_.State().Audit().Chain();
  return api::AdministrationReply(
    api::VerifyReply{ .firstKept = chain.first,
                      .count = chain.entries.size(),
                      .head = chain.head,
                      .broken = state::VerifyChain(chain) });
}

state::Origin
StateFilter::OriginOf(const AdministrationRequest& aRequest,
                      const state::ChangeId& aChange) const
{
  return { .who = aRequest.who,
           .change = aChange,
           .remoteAddress = aRequest.remoteAddress,
           .at = wallClock_.Now() };
}

void
StateFilter::Change(const AdministrationRequest& aRequest,
                    api::ChangeState&& aCall)
{
  state::CommandBody body = std::visit(
    [](auto&& aAny) -> state::CommandBody {
      return std::forward<decltype(aAny)>(aAny);
    },
    std::move(aCall.command));
  Propose({ OriginOf(aRequest, aCall.change), std::move(body) },
          Waiter{ .call = aRequest.call, .secret = std::nullopt });
}

void
StateFilter::Grant(const AdministrationRequest& aRequest,
                   api::GrantKeyCall&& aCall)
{
  Waiter waiter{ .call = aRequest.call, .secret = std::nullopt };
  state::GrantKey grant;
  grant.holder = std::move(aCall.holder);
  grant.id = aCall.id;
  grant.isMadeByHost = !aCall.digest.has_value();
  if (aCall.digest) {
    grant.digest = *aCall.digest;
  } else {
    waiter.secret = state::RandomHex(kSecretBytes);
    grant.digest =
      state::KeyDigest::Compute(*waiter.secret, state::RandomHex(kSaltBytes));
  }
  Propose({ OriginOf(aRequest, aCall.change), std::move(grant) },
          std::move(waiter));
}

void
StateFilter::Propose(const state::Command& aCommand,
                     std::optional<Waiter> aWaiter)
{
  const state::ProposalId id(++lastProposal_);
  Pending pending{ .waiter = std::move(aWaiter),
                   .command = state::EncodeCommand(aCommand),
                   .proposeAgainAt = now_ + kProposeInterval,
                   .givenUpAt = now_ + kProposeLimit };
  state::Proposal proposal{ .id = id, .command = pending.command };
  pending_.emplace(id, std::move(pending));
  if (!outlets_.proposals.TryPush(std::move(proposal)))
    Fail(id, { ErrorKind::Overloaded, "too many changes are on their way" });
}

/// Proposes what the log has not delivered: it may have been lost on its way to
/// the leader, or with a leader. A command that gets in twice is applied once.
void
StateFilter::ProposeAgain()
{
  const bool hasSettings = machine_.State().CurrentVersion() != Version(0);
  std::vector<state::ProposalId> givenUp;
  for (auto& [id, pending] : pending_) {
    // Nobody waits for the first settings: they are proposed until the fleet
    // has some.
    const bool isOver =
      pending.waiter ? pending.givenUpAt <= now_ : hasSettings;
    if (isOver)
      givenUp.push_back(id);
    else if (pending.proposeAgainAt <= now_) {
      pending.proposeAgainAt = now_ + kProposeInterval;
      outlets_.proposals.TryPush({ .id = id, .command = pending.command });
    }
  }
  for (const state::ProposalId id : givenUp)
    Fail(
      id,
      { ErrorKind::OutcomeUnknown,
        "no majority of the hosts with disks agreed in time; send the change "
        "again under the same request id" });
}

/// Answers whoever waits for a proposal and forgets it.
void
StateFilter::Fail(state::ProposalId aId, Error&& aReason)
{
  const auto found = pending_.find(aId);
  if (found == pending_.end())
    return;
  if (found->second.waiter)
    Reply(found->second.waiter->call, api::ErrorReply{ std::move(aReason) });
  pending_.erase(found);
}

/// The proposal that a delivery is the end of. One that another host put into
/// the log for this one is known by its command.
std::map<state::ProposalId, StateFilter::Pending>::iterator
StateFilter::PendingOf(const state::Delivery& aDelivery)
{
  if (aDelivery.proposal)
    return pending_.find(*aDelivery.proposal);
  return std::find_if(
    pending_.begin(), pending_.end(), [&](const auto& aPending) {
      return aPending.second.command == aDelivery.command;
    });
}

void
StateFilter::Handle(state::Delivery&& aDelivery)
{
  const std::string headBefore = machine_.State().Audit().Chain().head;
  const Version before = machine_.State().CurrentVersion();
  const std::string bytes = machine_.Apply(aDelivery.index, aDelivery.command);
  LogNewEntry(headBefore);
  // The new version is on its way to the request path before the operator
  // hears of it.
  if (machine_.State().CurrentVersion() != before)
    PublishView();
  const auto pending = PendingOf(aDelivery);
  if (pending == pending_.end())
    return;
  std::optional<Waiter> waiter = std::move(pending->second.waiter);
  pending_.erase(pending);
  if (!waiter)
    return;
  Error reason;
  auto result = state::DecodeResult(bytes, reason);
  assert(result && "the machine's own result can be read");
  const bool isNew =
    std::holds_alternative<state::Accepted>(result->end) && !result->isResend;
  api::ChangeReply reply{ .result = std::move(*result), .secret = {} };
  if (isNew)
    reply.secret = std::move(waiter->secret);
  Reply(waiter->call, api::AdministrationReply(std::move(reply)));
}

void
StateFilter::Handle(state::ProposalFailed&& aFailed)
{
  Fail(aFailed.id, std::move(aFailed.reason));
}

void
StateFilter::Handle(StateRestored&& aRestored)
{
  Error reason;
  [[maybe_unused]] const bool isRestored =
    machine_.Restore(aRestored.snapshot, reason);
  assert(isRestored && "the log's own copy took this snapshot");
  PublishView();
}

void
StateFilter::Handle(ProposalRedirected&& aRedirected)
{
  const auto found = pending_.find(aRedirected.id);
  if (found == pending_.end())
    return;
  // A lost message is made good by the next proposal.
  outlets_.peers.TryPush(
    { .to = std::move(aRedirected.leader),
      .message = wire::ForwardedProposal{ found->second.command } });
}

void
StateFilter::PublishView()
{
  const state::FleetViewPtr view = machine_.State().View();
  outlets_.authenticate.Push(AuthenticateMessage(view));
  outlets_.dispatch.Push(dispatch::ViewChanged{ .view = view });
  host_.hasState = true;
}

/// A copy of each entry's key facts stays in the log when the trail drops it.
void
StateFilter::LogNewEntry(const std::string& aHeadBefore) const
{
  const state::AuditChain& chain = machine_.State().Audit().Chain();
  if (chain.head == aHeadBefore)
    return;
  const state::AuditEntry& entry = chain.entries.back();
  observe::Log(observe::LogLevel::Info,
               "audit",
               { { "sequence", std::to_string(entry.sequence.Value()) },
                 { "who", entry.origin.who.Value() },
                 { "from", entry.origin.remoteAddress },
                 { "action", entry.action },
                 { "result", std::string(CodeOf(entry.refusal)) },
                 { "version", std::to_string(entry.version.Value()) },
                 { "hash", entry.hash } });
}

void
StateFilter::Reply(CallId aCall, api::ReplyBody&& aBody)
{
  outlets_.replies.Push({ .call = aCall, .body = std::move(aBody) });
}
