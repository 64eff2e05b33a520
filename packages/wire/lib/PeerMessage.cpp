#include "greengage/wire/PeerMessage.h"

#include "LogCodec.h"
#include "OnceCodec.h"
#include "OutcomeCodec.h"
#include "RelayCodec.h"
#include "generated/peer_generated.h"

#include <type_traits>
#include <utility>

using namespace greengage;
using namespace greengage::wire;
using namespace greengage::wire::detail;

using Builder = flatbuffers::FlatBufferBuilder;

namespace {

/// A finished body with its type.
struct EncodedBody
{
  fb::Body type;
  flatbuffers::Offset<void> offset;
};

} // namespace

template<typename Table>
static EncodedBody
MakeBody(fb::Body aType, flatbuffers::Offset<Table> aOffset)
{
  return { aType, aOffset.Union() };
}

static flatbuffers::Offset<fb::Request>
EncodeRequest(Builder& aBuilder, const Request& aRequest, Time aNow)
{
  return fb::CreateRequest(aBuilder,
                           aBuilder.CreateString(aRequest.id.Value()),
                           aBuilder.CreateString(aRequest.team.Value()),
                           aBuilder.CreateString(aRequest.pool.Value()),
                           aBuilder.CreateString(aRequest.kind),
                           static_cast<fb::PriceClass>(aRequest.priceClass),
                           aRequest.idempotence == Idempotence::Idempotent,
                           (aRequest.deadline - aNow).Millis(),
                           aBuilder.CreateString(aRequest.payload));
}

static EncodedBody
EncodeBody(Builder& aBuilder, const Challenge& aMessage, Time)
{
  return MakeBody(fb::Body::Challenge,
                  fb::CreateChallenge(aBuilder,
                                      aMessage.protocol,
                                      aBuilder.CreateString(aMessage.nonce)));
}

static EncodedBody
EncodeBody(Builder& aBuilder, const Hello& aMessage, Time)
{
  return MakeBody(
    fb::Body::Hello,
    fb::CreateHello(aBuilder,
                    aMessage.protocol,
                    aBuilder.CreateString(aMessage.from.Value()),
                    aBuilder.CreateString(aMessage.availabilityZone.Value()),
                    aBuilder.CreateString(aMessage.mac)));
}

static EncodedBody
EncodeBody(Builder& aBuilder, const Heartbeat&, Time)
{
  return MakeBody(fb::Body::Heartbeat, fb::CreateHeartbeat(aBuilder));
}

static EncodedBody
EncodeBody(Builder& aBuilder, const ForwardRequest& aMessage, Time aNow)
{
  return MakeBody(
    fb::Body::Forward,
    fb::CreateForward(aBuilder,
                      aMessage.dispatch.Value(),
                      EncodeRequest(aBuilder, aMessage.request, aNow)));
}

static EncodedBody
EncodeBody(Builder& aBuilder, const ForwardResult& aMessage, Time)
{
  return MakeBody(fb::Body::Result,
                  fb::CreateResult(aBuilder,
                                   aMessage.dispatch.Value(),
                                   EncodeOutcome(aBuilder, aMessage.outcome)));
}

static EncodedBody
EncodeBody(Builder& aBuilder, const RelayedAnnouncement& aMessage, Time)
{
  const UpstreamAnnouncement& from = aMessage.announcement;
  return MakeBody(
    fb::Body::Announcement,
    fb::CreateAnnouncement(aBuilder,
                           aBuilder.CreateString(from.id.Value()),
                           aBuilder.CreateString(from.endpoint.address),
                           from.endpoint.port,
                           aBuilder.CreateString(from.availabilityZone.Value()),
                           aBuilder.CreateString(from.rack.Value()),
                           aBuilder.CreateString(from.pool.Value()),
                           from.slots.Count(),
                           from.connections.Count(),
                           from.processors.Count(),
                           from.memory.Count(),
                           from.accelerators.Count(),
                           from.lease.Millis(),
                           from.leaving));
}

static EncodedBody
EncodeBody(Builder& aBuilder, const LoadReport& aMessage, Time)
{
  std::vector<flatbuffers::Offset<fb::PoolLoad>> pools;
  pools.reserve(aMessage.pools.size());
  for (const dispatch::PoolLoad& load : aMessage.pools)
    pools.push_back(fb::CreatePoolLoad(aBuilder,
                                       aBuilder.CreateString(load.pool.Value()),
                                       load.freeSlots.Count(),
                                       load.queued));
  return MakeBody(
    fb::Body::Load,
    fb::CreateLoad(aBuilder, aMessage.leaving, aBuilder.CreateVector(pools)));
}

static EncodedBody
EncodeBody(Builder& aBuilder, const dispatch::GrantReport& aMessage, Time)
{
  std::vector<flatbuffers::Offset<fb::TeamGrant>> grants;
  grants.reserve(aMessage.grants.size());
  for (const dispatch::TeamGrant& grant : aMessage.grants)
    grants.push_back(
      fb::CreateTeamGrant(aBuilder,
                          aBuilder.CreateString(grant.team.Value()),
                          grant.given.Count(),
                          grant.givenRevoked.Count(),
                          grant.received.Count(),
                          grant.acknowledged.Count(),
                          grant.holding.Count(),
                          grant.demand.Count(),
                          grant.epoch.Value(),
                          grant.limit.Count()));
  return MakeBody(fb::Body::Grants,
                  fb::CreateGrants(aBuilder,
                                   aMessage.sender.Value(),
                                   aMessage.receiver.Value(),
                                   aMessage.isBalanceKnown,
                                   aMessage.isComplete,
                                   aBuilder.CreateVector(grants)));
}

static EncodedBody
EncodeBody(Builder& aBuilder, const CancelRequest& aMessage, Time)
{
  return MakeBody(fb::Body::Cancel,
                  fb::CreateCancel(aBuilder, aMessage.dispatch.Value()));
}

static EncodedBody
EncodeBody(Builder& aBuilder, const once::LedgerBatch& aMessage, Time)
{
  return MakeBody(fb::Body::OnceBatch, EncodeBatch(aBuilder, aMessage));
}

static EncodedBody
EncodeBody(Builder& aBuilder, const LogMessage& aMessage, Time)
{
  return MakeBody(fb::Body::LogMessage,
                  detail::EncodeLogMessage(aBuilder, aMessage));
}

static EncodedBody
EncodeBody(Builder& aBuilder, const ForwardedProposal& aMessage, Time)
{
  return MakeBody(
    fb::Body::Proposal,
    fb::CreateProposal(aBuilder, aBuilder.CreateString(aMessage.command)));
}

static EncodedBody
EncodeBody(Builder& aBuilder, const RelayedCall& aMessage, Time)
{
  return MakeBody(fb::Body::RelayedCall, EncodeRelayedCall(aBuilder, aMessage));
}

static EncodedBody
EncodeBody(Builder& aBuilder, const RelayedReply& aMessage, Time)
{
  return MakeBody(fb::Body::RelayedReply,
                  EncodeRelayedReply(aBuilder, aMessage));
}

static EncodedBody
EncodeBody(Builder& aBuilder, const LeaderNotice& aMessage, Time)
{
  return MakeBody(fb::Body::LeaderNotice,
                  EncodeLeaderNotice(aBuilder, aMessage));
}

std::string
greengage::wire::Encode(const PeerMessage& aMessage, Time aNow)
{
  Builder builder;
  const EncodedBody body = std::visit(
    [&](const auto& aAny) { return EncodeBody(builder, aAny, aNow); },
    aMessage);
  fb::FinishEnvelopeBuffer(
    builder,
    fb::CreateEnvelope(builder, body.type, body.offset, aNow.Millis()));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

static Request
DecodeRequest(const fb::Request& aFrom, Time aNow)
{
  Request request;
  request.id = RequestId(Text(aFrom.id()));
  request.team = TeamId(Text(aFrom.team()));
  request.pool = PoolId(Text(aFrom.pool()));
  request.kind = Text(aFrom.kind());
  request.priceClass = static_cast<PriceClass>(aFrom.price_class());
  request.idempotence =
    aFrom.idempotent() ? Idempotence::Idempotent : Idempotence::NonIdempotent;
  request.deadline = aNow + Duration(aFrom.remaining_ms());
  request.payload = Text(aFrom.payload());
  return request;
}

static UpstreamAnnouncement
DecodeAnnouncement(const fb::Announcement& aFrom)
{
  UpstreamAnnouncement announcement;
  announcement.id = UpstreamId(Text(aFrom.id()));
  announcement.endpoint = { .address = Text(aFrom.address()),
                            .port = aFrom.port() };
  announcement.availabilityZone =
    AvailabilityZoneId(Text(aFrom.availability_zone()));
  announcement.rack = RackId(Text(aFrom.rack()));
  announcement.pool = PoolId(Text(aFrom.pool()));
  announcement.slots = Slots(aFrom.slots());
  announcement.connections = Connections(aFrom.connections());
  announcement.processors = MilliCores(aFrom.millicores());
  announcement.memory = Mebibytes(aFrom.memory_mib());
  announcement.accelerators = Accelerators(aFrom.accelerators());
  announcement.lease = Duration(aFrom.lease_ms());
  announcement.leaving = aFrom.leaving();
  return announcement;
}

static LoadReport
DecodeLoad(const fb::Load& aFrom)
{
  LoadReport report;
  report.leaving = aFrom.leaving();
  if (aFrom.pools() == nullptr)
    return report;
  for (const fb::PoolLoad* load : *aFrom.pools())
    report.pools.push_back({ .pool = PoolId(Text(load->pool())),
                             .freeSlots = Slots(load->free_slots()),
                             .queued = load->queued() });
  return report;
}

static dispatch::GrantReport
DecodeGrants(const fb::Grants& aFrom)
{
  dispatch::GrantReport report;
  report.sender = dispatch::Incarnation(aFrom.sender());
  report.receiver = dispatch::Incarnation(aFrom.receiver());
  report.isBalanceKnown = aFrom.settled();
  report.isComplete = aFrom.whole();
  if (aFrom.grants() == nullptr)
    return report;
  for (const fb::TeamGrant* grant : *aFrom.grants())
    report.grants.push_back({ .team = TeamId(Text(grant->team())),
                              .given = Slots(grant->given()),
                              .givenRevoked = Slots(grant->given_void()),
                              .received = Slots(grant->received()),
                              .acknowledged = Slots(grant->acknowledged()),
                              .holding = Slots(grant->holding()),
                              .demand = Slots(grant->demand()),
                              .epoch = Version(grant->term()),
                              .limit = Slots(grant->limit()) });
  return report;
}

static std::optional<PeerMessage>
DecodeBody(const fb::Envelope& aEnvelope, Time aNow, Error& aReason)
{
  switch (aEnvelope.body_type()) {
    case fb::Body::Challenge: {
      const auto* from = aEnvelope.body_as_Challenge();
      return Challenge{ .protocol = from->protocol(),
                        .nonce = Text(from->nonce()) };
    }
    case fb::Body::Hello: {
      const auto* from = aEnvelope.body_as_Hello();
      return Hello{ .protocol = from->protocol(),
                    .from = EntryHostId(Text(from->from())),
                    .availabilityZone =
                      AvailabilityZoneId(Text(from->availability_zone())),
                    .mac = Text(from->mac()) };
    }
    case fb::Body::Heartbeat:
      return Heartbeat{};
    case fb::Body::Forward: {
      const auto* from = aEnvelope.body_as_Forward();
      return ForwardRequest{ .dispatch = DispatchId(from->dispatch()),
                             .request = DecodeRequest(*from->request(), aNow) };
    }
    case fb::Body::Result: {
      const auto* from = aEnvelope.body_as_Result();
      return ForwardResult{ .dispatch = DispatchId(from->dispatch()),
                            .outcome = DecodeOutcome(*from->outcome()) };
    }
    case fb::Body::Announcement:
      return RelayedAnnouncement{ .announcement = DecodeAnnouncement(
                                    *aEnvelope.body_as_Announcement()) };
    case fb::Body::Load:
      return DecodeLoad(*aEnvelope.body_as_Load());
    case fb::Body::Grants:
      return DecodeGrants(*aEnvelope.body_as_Grants());
    case fb::Body::Cancel:
      return CancelRequest{ .dispatch = DispatchId(
                              aEnvelope.body_as_Cancel()->dispatch()) };
    case fb::Body::OnceBatch: {
      auto batch = DecodeBatch(*aEnvelope.body_as_OnceBatch(), aReason);
      if (!batch)
        return std::nullopt;
      return std::move(*batch);
    }
    case fb::Body::LogMessage:
      return detail::DecodeLogMessage(*aEnvelope.body_as_LogMessage(), aReason);
    case fb::Body::Proposal:
      return ForwardedProposal{ .command = Text(
                                  aEnvelope.body_as_Proposal()->command()) };
    case fb::Body::RelayedCall:
      return DecodeRelayedCall(*aEnvelope.body_as_RelayedCall());
    case fb::Body::RelayedReply:
      return DecodeRelayedReply(*aEnvelope.body_as_RelayedReply());
    case fb::Body::LeaderNotice:
      return DecodeLeaderNotice(*aEnvelope.body_as_LeaderNotice());
    case fb::Body::NONE:
      break;
  }
  return Fail(
    aReason, ErrorKind::Unsupported, "message type of a peer is not known");
}

/// The verified envelope in \p aBytes, or null.
static const fb::Envelope*
Verified(std::string_view aBytes, Error& aReason)
{
  const auto* data = reinterpret_cast<const std::uint8_t*>(aBytes.data());
  flatbuffers::Verifier verifier(data, aBytes.size());
  const bool hasIdentifier =
    aBytes.size() >= sizeof(flatbuffers::uoffset_t) * 2 &&
    fb::EnvelopeBufferHasIdentifier(data);
  if (hasIdentifier && fb::VerifyEnvelopeBuffer(verifier))
    return fb::GetEnvelope(data);
  Fail(aReason, ErrorKind::Malformed, "message of a peer is not well-formed");
  return nullptr;
}

std::optional<Time>
greengage::wire::SentAt(std::string_view aBytes, Error& aReason)
{
  const fb::Envelope* envelope = Verified(aBytes, aReason);
  if (envelope == nullptr)
    return std::nullopt;
  return Time(envelope->sent_at_ms());
}

std::optional<PeerMessage>
greengage::wire::Decode(std::string_view aBytes, Time aNow, Error& aReason)
{
  const fb::Envelope* envelope = Verified(aBytes, aReason);
  if (envelope == nullptr)
    return std::nullopt;
  return DecodeBody(*envelope, aNow, aReason);
}
