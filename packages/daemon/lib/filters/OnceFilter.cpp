#include "OnceFilter.h"

#include <algorithm>
#include <utility>

using namespace greengage;
using namespace greengage::daemon::detail;

static constexpr Duration kTickInterval = Duration(20);
/// How often the ledger is told the time while no message comes.
static constexpr Duration kIdleTickInterval = Duration(100);
/// After how long a host that can't copy its records is ready all the same.
static constexpr Duration kRecordsTimeout = Duration::Seconds(10);

OnceFilter::OnceFilter(once::OnceLedger& aLedger,
                       HostState& aHost,
                       OnceOutlets aOutlets)
  : ledger_(aLedger)
  , host_(aHost)
  , outlets_(aOutlets)
{
}

void
OnceFilter::Accept(OnceMessage&& aMessage, Time aNow)
{
  once::Actions actions;
  std::visit(
    [&](auto&& aAny) { On(std::forward<decltype(aAny)>(aAny), aNow, actions); },
    std::move(aMessage));
  CarryOut(std::move(actions), aNow);
  isIdle_ = false;
  nextTick_ = std::min(nextTick_, aNow + kTickInterval);
}

void
OnceFilter::OnTimer(Time aNow)
{
  once::Actions actions;
  ledger_.Tick(aNow, actions);
  CarryOut(std::move(actions), aNow);
  nextTick_ = aNow + (isIdle_ ? kIdleTickInterval : kTickInterval);
  isIdle_ = true;
  if (!startedAt_)
    startedAt_ = aNow;
  if (ledger_.IsServing() || *startedAt_ + kRecordsTimeout <= aNow)
    host_.hasRecords = true;
  host_.metrics.Set("greengage_once_records",
                    static_cast<double>(ledger_.RecordCount()));
  host_.metrics.Set("greengage_once_vouches", ledger_.IsServing() ? 1 : 0);
}

void
OnceFilter::OnClose(Time aNow)
{
  once::Actions actions;
  ledger_.Close(aNow, actions);
  CarryOut(std::move(actions), aNow);
}

void
OnceFilter::On(dispatch::Submit&& aMessage, Time aNow, once::Actions& aOut)
{
  ledger_.Submit(aMessage.call, std::move(aMessage.request), aNow, aOut);
}

void
OnceFilter::On(dispatch::Cancel&& aMessage, Time aNow, once::Actions& aOut)
{
  const CallId call = aMessage.call;
  const once::RequestKey key{ .team = aMessage.team, .id = aMessage.id };
  if (!ledger_.Cancel(call, key, aNow, aOut) ||
      outlets_.dispatch.TryPush(std::move(aMessage)))
    return;
  Outcome outcome =
    Unknown{ .error = { ErrorKind::Overloaded, "entry host is at its limit" } };
  ledger_.OnOutcome(call, std::move(outcome), aNow, aOut);
}

void
OnceFilter::On(dispatch::PeerUp&& aMessage, Time, once::Actions&)
{
  ledger_.PeerUp(aMessage.peer);
}

void
OnceFilter::On(dispatch::PeerDown&& aMessage, Time, once::Actions&)
{
  ledger_.PeerDown(aMessage.peer);
}

void
OnceFilter::On(OnceOutcome&& aMessage, Time aNow, once::Actions& aOut)
{
  ledger_.OnOutcome(aMessage.call, std::move(aMessage.outcome), aNow, aOut);
}

void
OnceFilter::On(OnceReceived&& aMessage, Time aNow, once::Actions& aOut)
{
  ledger_.Receive(aMessage.from, aMessage.batch, aNow, aOut);
}

void
OnceFilter::CarryOut(once::Actions&& aActions, Time aNow)
{
  for (once::Action& action : aActions)
    std::visit(
      [&](auto&& aAny) { Do(std::forward<decltype(aAny)>(aAny), aNow); },
      std::move(action));
}

void
OnceFilter::Do(once::SendBatch&& aAction, Time /*aNow*/)
{
  // Claims and outcomes are sent again until they are answered.
  host_.metrics.Count("greengage_once_messages_total");
  const bool isSent = outlets_.peers.TryPush(
    { .to = std::move(aAction.to), .message = std::move(aAction.batch) });
  if (!isSent)
    host_.metrics.Count("greengage_peer_messages_dropped_total");
}

void
OnceFilter::Do(once::DispatchCall&& aAction, Time aNow)
{
  const CallId call = aAction.call;
  if (outlets_.dispatch.TryPush(dispatch::Submit{
        .call = call, .request = std::move(aAction.request) }))
    return;
  once::Actions actions;
  Outcome outcome =
    NotRun{ .error = { ErrorKind::Overloaded, "entry host is at its limit" },
            .retryAfter = Duration::Seconds(1) };
  ledger_.OnOutcome(call, std::move(outcome), aNow, actions);
  CarryOut(std::move(actions), aNow);
}

void
OnceFilter::Do(once::Reply&& aAction, Time /*aNow*/)
{
  outlets_.replies.Push(
    { .call = aAction.call,
      .body = api::OutcomeReply{ .id = std::move(aAction.id),
                                 .outcome = std::move(aAction.outcome) } });
}
