#include "StateFilter.h"

#include "greengage/observe/Log.h"
#include "greengage/state/CommandCodec.h"
#include "greengage/state/SettingCatalogue.h"

#include <cassert>
#include <type_traits>
#include <utility>

using namespace greengage;
using namespace greengage::daemon::detail;
using state::FleetState;

static constexpr std::size_t kSecretBytes = 24;
static constexpr std::size_t kSaltBytes = 16;
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
StateFilter::Accept(StateMessage&& aMessage, Time /*aNow*/)
{
  std::visit(
    [this](auto&& aAny) { Handle(std::forward<decltype(aAny)>(aAny)); },
    std::move(aMessage));
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
  const state::Origin origin{ .who = state::OperatorId(kFileOperator),
                              .change = state::ChangeId(host_.id.Value()),
                              .remoteAddress = {},
                              .at = wallClock_.Now() };
  Propose({ origin, state::Bootstrap{ std::move(aBegin.tree) } }, std::nullopt);
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
  std::optional<CallId> call;
  if (aWaiter) {
    call = aWaiter->call;
    waiters_.emplace(id, std::move(*aWaiter));
  }
  if (outlets_.proposals.TryPush(
        { .id = id, .command = state::EncodeCommand(aCommand) }))
    return;
  waiters_.erase(id);
  if (call)
    Reply(*call,
          api::ErrorReply{
            { ErrorKind::Overloaded, "too many changes are on their way" } });
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
  const auto waiter =
    aDelivery.proposal ? waiters_.find(*aDelivery.proposal) : waiters_.end();
  if (waiter == waiters_.end())
    return;
  Error reason;
  auto result = state::DecodeResult(bytes, reason);
  assert(result && "the machine's own result can be read");
  const bool isNew =
    std::holds_alternative<state::Accepted>(result->end) && !result->isResend;
  api::ChangeReply reply{ .result = std::move(*result), .secret = {} };
  if (isNew)
    reply.secret = std::move(waiter->second.secret);
  Reply(waiter->second.call, api::AdministrationReply(std::move(reply)));
  waiters_.erase(waiter);
}

void
StateFilter::Handle(state::ProposalFailed&& aFailed)
{
  const auto waiter = waiters_.find(aFailed.id);
  if (waiter == waiters_.end())
    return;
  Reply(waiter->second.call, api::ErrorReply{ std::move(aFailed.reason) });
  waiters_.erase(waiter);
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
