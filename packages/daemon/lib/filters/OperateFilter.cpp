#include "OperateFilter.h"

#include <nlohmann/json.hpp>

#include <cassert>
#include <utility>

using namespace greengage;
using namespace greengage::daemon::detail;

static constexpr unsigned kUnavailable = 503;

OperateFilter::OperateFilter(HostState& aHost,
                             pipe::Pipe<StateMessage>& aState,
                             pipe::Pipe<api::Reply>& aReplies)
  : host_(aHost)
  , state_(aState)
  , replies_(aReplies)
{
}

void
OperateFilter::Accept(OperatorCall&& aCall, Time /*aNow*/)
{
  const bool isAdministration =
    std::holds_alternative<api::AdministrationCall>(aCall.call.body);
  if (isAdministration && Administer(aCall))
    return;
  api::Reply reply{ .call = aCall.call.id, .body = {} };
  if (const auto* probe = std::get_if<api::ProbeCall>(&aCall.call.body))
    reply.body = Probe(probe->kind);
  else if (isAdministration)
    reply.body = api::ErrorReply{ { ErrorKind::Overloaded,
                                    "entry host is at its limit" } };
  else
    reply.body = Status();
  replies_.Push(std::move(reply));
}

bool
OperateFilter::Administer(OperatorCall& aCall)
{
  assert(aCall.principal && "only probes come without a key");
  return state_.TryPush(AdministrationRequest{
    .call = aCall.call.id,
    .who = state::OperatorId(aCall.principal->name),
    .remoteAddress = std::move(aCall.call.remoteAddress),
    .body = std::move(std::get<api::AdministrationCall>(aCall.call.body)) });
}

api::TextReply
OperateFilter::Probe(api::ProbeKind aKind) const
{
  api::TextReply reply;
  reply.contentType = "text/plain; charset=utf-8";
  switch (aKind) {
    case api::ProbeKind::Health:
      reply.body = "ok\n";
      break;
    case api::ProbeKind::Ready:
      reply.status = IsReady() ? 200 : kUnavailable;
      reply.body = IsReady() ? "ready\n" : "not ready\n";
      break;
    case api::ProbeKind::Metrics:
      reply.contentType = "text/plain; version=0.0.4; charset=utf-8";
      reply.body = host_.metrics.Serialize();
      break;
  }
  return reply;
}

api::TextReply
OperateFilter::Status() const
{
  nlohmann::ordered_json object;
  object["host"] = host_.id.Value();
  object["availability_zone"] = host_.availabilityZone.Value();
  object["ready"] = IsReady();
  api::TextReply reply;
  reply.body = object.dump() + "\n";
  return reply;
}
