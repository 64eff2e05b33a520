#include "DispatchFilter.h"

#include "greengage/api/UpstreamCodec.h"
#include "greengage/observe/Log.h"
#include "greengage/wire/PeerMessage.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

using namespace greengage;
using namespace greengage::daemon::detail;

static constexpr Duration kTickInterval = Duration(25);
/// How often the plane is told the time while it has no request.
static constexpr Duration kIdleTickInterval = Duration(100);

DispatchFilter::DispatchFilter(dispatch::RequestPlane& aPlane,
                               HostState& aHost,
                               DispatchOutlets aOutlets)
  : plane_(aPlane)
  , host_(aHost)
  , outlets_(std::move(aOutlets))
{
}

void
DispatchFilter::Accept(dispatch::Event&& aEvent, Time aNow)
{
  dispatch::Actions actions;
  plane_.Handle(std::move(aEvent), aNow, actions);
  CarryOut(std::move(actions), aNow);
  nextTick_ = std::min(nextTick_, aNow + kTickInterval);
}

void
DispatchFilter::OnTimer(Time aNow)
{
  dispatch::Actions actions;
  plane_.Tick(aNow, actions);
  CarryOut(std::move(actions), aNow);
  const bool isIdle = plane_.RequestsInProgress() == 0;
  nextTick_ = aNow + (isIdle ? kIdleTickInterval : kTickInterval);
}

void
DispatchFilter::CarryOut(dispatch::Actions&& aActions, Time aNow)
{
  for (dispatch::Action& action : aActions)
    std::visit(
      [&](auto&& aAny) { Do(std::forward<decltype(aAny)>(aAny), aNow); },
      std::move(action));
}

static const char*
LabelOf(const Outcome& aOutcome)
{
  if (std::holds_alternative<Answered>(aOutcome))
    return "answered";
  return std::holds_alternative<NotRun>(aOutcome) ? "not-run" : "unknown";
}

void
DispatchFilter::Do(dispatch::Answer&& aAction, Time /*aNow*/)
{
  host_.metrics.Count("greengage_requests_total",
                      { { "outcome", LabelOf(aAction.outcome) } });
  outlets_.replies.Push(
    { .call = aAction.call,
      .body = api::OutcomeReply{ .id = std::move(aAction.id),
                                 .outcome = std::move(aAction.outcome) } });
}

void
DispatchFilter::Do(dispatch::AnswerCancel&& aAction, Time /*aNow*/)
{
  outlets_.replies.Push(
    { .call = aAction.call,
      .body = api::OutcomeReply{ .id = std::move(aAction.id),
                                 .outcome = std::move(aAction.outcome) } });
}

void
DispatchFilter::Do(dispatch::Execute&& aAction, Time aNow)
{
  observe::Log(observe::LogLevel::Debug,
               "execute",
               { { "request", aAction.request.id.Value() },
                 { "team", aAction.request.team.Value() },
                 { "upstream", aAction.upstream.Value() } });
  http::ClientCall call = api::EncodeRun(aAction, host_.id, aNow);
  if (outlets_.upstreams.TryPush(std::move(call)))
    return;
  Accept(dispatch::AttemptEnded{ .dispatch = aAction.dispatch,
                                 .end = dispatch::AttemptEnd::NotSent,
                                 .payload = {},
                                 .reason = "too many calls to upstreams" },
         aNow);
}

void
DispatchFilter::Do(dispatch::CancelAttempt&& aAction, Time /*aNow*/)
{
  // A request whose cancellation is lost ends by itself or by its lease.
  if (!outlets_.upstreams.TryPush(api::EncodeCancel(aAction, host_.id)))
    host_.metrics.Count("greengage_cancellations_dropped_total");
}

void
DispatchFilter::Do(dispatch::CancelForward&& aAction, Time /*aNow*/)
{
  const bool isSent = outlets_.peers.TryPush(
    { .to = std::move(aAction.peer),
      .message = wire::CancelRequest{ .dispatch = aAction.dispatch } });
  if (!isSent)
    host_.metrics.Count("greengage_peer_messages_dropped_total");
}

void
DispatchFilter::Do(dispatch::Forward&& aAction, Time aNow)
{
  wire::ForwardRequest message{ .dispatch = aAction.dispatch,
                                .request = std::move(aAction.request) };
  if (outlets_.peers.TryPush(
        { .to = aAction.peer, .message = std::move(message) }))
    return;
  Accept(
    dispatch::ForwardEnded{
      .from = std::move(aAction.peer),
      .dispatch = aAction.dispatch,
      .outcome = NotRun{ .error = { ErrorKind::Unreachable,
                                    "too many messages to entry hosts" },
                         .retryAfter = {} } },
    aNow);
}

void
DispatchFilter::Do(dispatch::ReturnOutcome&& aAction, Time /*aNow*/)
{
  // A peer that misses this answer tells its caller "unknown" in time.
  const bool isSent =
    outlets_.peers.TryPush({ .to = std::move(aAction.peer),
                             .message = wire::ForwardResult{
                               .dispatch = aAction.dispatch,
                               .outcome = std::move(aAction.outcome) } });
  if (!isSent)
    host_.metrics.Count("greengage_peer_messages_dropped_total");
}

void
DispatchFilter::Do(dispatch::RelayAnnouncement&& aAction, Time /*aNow*/)
{
  // The upstream repeats its announcement, so a lost one does no harm.
  const bool isSent = outlets_.peers.TryPush(
    { .to = std::move(aAction.peer),
      .message = wire::RelayedAnnouncement{
        .announcement = std::move(aAction.announcement) } });
  if (!isSent)
    host_.metrics.Count("greengage_peer_messages_dropped_total");
}

void
DispatchFilter::Do(dispatch::AnswerAnnouncement&& aAction, Time /*aNow*/)
{
  api::Reply reply{ .call = aAction.call, .body = {} };
  if (aAction.refusal)
    reply.body = api::ErrorReply{ .error = std::move(*aAction.refusal) };
  else
    reply.body =
      api::AnnouncementReply{ .servedBy = std::move(aAction.servedBy) };
  outlets_.replies.Push(std::move(reply));
}

void
DispatchFilter::Do(dispatch::PublishLoad&& aAction, Time /*aNow*/)
{
  for (const dispatch::PoolLoad& load : aAction.pools) {
    const observe::MetricLabels labels{ { "pool", load.pool.Value() } };
    host_.metrics.Set("greengage_free_slots",
                      static_cast<double>(load.freeSlots.Count()),
                      labels);
    host_.metrics.Set("greengage_queued_requests", load.queued, labels);
  }
  const bool isSent = outlets_.peers.TryPush(
    { .to = std::nullopt,
      .message = wire::LoadReport{ .leaving = aAction.leaving,
                                   .pools = std::move(aAction.pools) } });
  if (!isSent)
    host_.metrics.Count("greengage_peer_messages_dropped_total");
}

void
DispatchFilter::Do(dispatch::SendGrants&& aAction, Time /*aNow*/)
{
  // Reports are cumulative: a later one makes up for a lost one.
  const bool isSent = outlets_.peers.TryPush(
    { .to = std::move(aAction.peer), .message = std::move(aAction.report) });
  if (!isSent)
    host_.metrics.Count("greengage_peer_messages_dropped_total");
}

void
DispatchFilter::Do(dispatch::Drained&& /*aAction*/, Time /*aNow*/) const
{
  outlets_.onDrained();
}
