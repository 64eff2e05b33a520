#include "RelayCodec.h"

#include "OutcomeCodec.h"

using namespace greengage;
using namespace greengage::wire;

static constexpr std::int64_t kNoRetryAfter = -1;

flatbuffers::Offset<fb::RelayedCall>
detail::EncodeRelayedCall(flatbuffers::FlatBufferBuilder& aBuilder,
                          const RelayedCall& aCall)
{
  const http::HttpRequest& request = aCall.request;
  return fb::CreateRelayedCall(aBuilder,
                               aCall.number,
                               static_cast<std::uint8_t>(request.port),
                               aBuilder.CreateString(request.method),
                               aBuilder.CreateString(request.target),
                               aBuilder.CreateString(request.hostName),
                               aBuilder.CreateString(request.authorization),
                               aBuilder.CreateString(request.remoteAddress),
                               aBuilder.CreateString(request.body));
}

RelayedCall
detail::DecodeRelayedCall(const fb::RelayedCall& aFrom)
{
  RelayedCall call;
  call.number = aFrom.number();
  call.request.port = static_cast<http::PortRole>(aFrom.port());
  call.request.method = Text(aFrom.method());
  call.request.target = Text(aFrom.target());
  call.request.hostName = Text(aFrom.host_name());
  call.request.authorization = Text(aFrom.authorization());
  call.request.remoteAddress = Text(aFrom.remote_address());
  call.request.body = Text(aFrom.body());
  return call;
}

flatbuffers::Offset<fb::RelayedReply>
detail::EncodeRelayedReply(flatbuffers::FlatBufferBuilder& aBuilder,
                           const RelayedReply& aReply)
{
  const http::HttpResponse& response = aReply.response;
  return fb::CreateRelayedReply(
    aBuilder,
    aReply.number,
    static_cast<std::uint16_t>(response.status),
    aBuilder.CreateString(response.contentType),
    response.retryAfter ? response.retryAfter->Millis() : kNoRetryAfter,
    aBuilder.CreateString(response.body));
}

RelayedReply
detail::DecodeRelayedReply(const fb::RelayedReply& aFrom)
{
  RelayedReply reply;
  reply.number = aFrom.number();
  reply.response.status = aFrom.status();
  reply.response.contentType = Text(aFrom.content_type());
  if (aFrom.retry_after_ms() >= 0)
    reply.response.retryAfter = Duration(aFrom.retry_after_ms());
  reply.response.body = Text(aFrom.body());
  return reply;
}

flatbuffers::Offset<fb::LeaderNotice>
detail::EncodeLeaderNotice(flatbuffers::FlatBufferBuilder& aBuilder,
                           const LeaderNotice& aNotice)
{
  return fb::CreateLeaderNotice(
    aBuilder,
    aNotice.term.Value(),
    aBuilder.CreateString(aNotice.leader ? aNotice.leader->Value() : ""));
}

LeaderNotice
detail::DecodeLeaderNotice(const fb::LeaderNotice& aFrom)
{
  LeaderNotice notice;
  notice.term = consensus::Term(aFrom.term());
  const std::string leader = Text(aFrom.leader());
  if (!leader.empty())
    notice.leader = EntryHostId(leader);
  return notice;
}
