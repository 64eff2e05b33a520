#include "OperateFilter.h"

#include <nlohmann/json.hpp>

#include <utility>

using namespace greengage;
using namespace greengage::daemon::detail;

static constexpr unsigned kUnavailable = 503;

OperateFilter::OperateFilter(HostState& aHost, pipe::Pipe<api::Reply>& aReplies)
  : host_(aHost)
  , replies_(aReplies)
{
}

void
OperateFilter::Accept(OperatorCall&& aCall, Time /*aNow*/)
{
  api::Reply reply{ .call = aCall.call.id, .body = {} };
  if (const auto* probe = std::get_if<api::ProbeCall>(&aCall.call.body))
    reply.body = Probe(probe->kind);
  else
    reply.body = Status();
  replies_.Push(std::move(reply));
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
    case api::ProbeKind::Ready: {
      const bool isReady = host_.isReady && host_.hasRecords;
      reply.status = isReady ? 200 : kUnavailable;
      reply.body = isReady ? "ready\n" : "not ready\n";
      break;
    }
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
  object["ready"] = host_.isReady.load();
  api::TextReply reply;
  reply.body = object.dump() + "\n";
  return reply;
}
