#include "OnceCodec.h"

#include "OutcomeCodec.h"

#include <string>
#include <utility>
#include <vector>

using namespace greengage;
using namespace greengage::wire;
using namespace greengage::wire::detail;

using Builder = flatbuffers::FlatBufferBuilder;
using ItemOffset = flatbuffers::Offset<fb::OnceItem>;

static flatbuffers::Offset<fb::RecordKey>
EncodeKey(Builder& aBuilder, const once::RequestKey& aKey)
{
  return fb::CreateRecordKey(aBuilder,
                             aBuilder.CreateString(aKey.team.Value()),
                             aBuilder.CreateString(aKey.id.Value()));
}

static flatbuffers::Offset<fb::RecordKey>
EncodeKey(Builder& aBuilder, const std::optional<once::RequestKey>& aKey)
{
  if (!aKey)
    return {};
  return EncodeKey(aBuilder, *aKey);
}

static flatbuffers::Offset<fb::ClaimId>
EncodeClaimId(Builder& aBuilder, const once::ClaimId& aClaim)
{
  return fb::CreateClaimId(aBuilder,
                           aBuilder.CreateString(aClaim.host.Value()),
                           aClaim.incarnation.Value(),
                           aClaim.number.Value());
}

static flatbuffers::Offset<fb::KeptRecord>
EncodeRecord(Builder& aBuilder, const once::ReplicaRecord& aRecord)
{
  flatbuffers::Offset<fb::Outcome> outcome;
  if (aRecord.outcome)
    outcome = EncodeOutcome(aBuilder, *aRecord.outcome);
  return fb::CreateKeptRecord(aBuilder,
                              EncodeKey(aBuilder, aRecord.key),
                              EncodeClaimId(aBuilder, aRecord.claim),
                              aRecord.fingerprint,
                              aRecord.hasEnded,
                              outcome,
                              aRecord.timeToLive.Millis());
}

static ItemOffset
EncodeItem(Builder& aBuilder, const once::Claim& aItem)
{
  const auto key = EncodeKey(aBuilder, aItem.key);
  const auto claim = EncodeClaimId(aBuilder, aItem.claim);
  fb::OnceItemBuilder item(aBuilder);
  item.add_kind(fb::OnceKind::Claim);
  item.add_key(key);
  item.add_claim(claim);
  item.add_fingerprint(aItem.fingerprint);
  item.add_remaining_ms(aItem.remaining.Millis());
  return item.Finish();
}

static ItemOffset
EncodeItem(Builder& aBuilder, const once::ClaimReply& aItem)
{
  const auto key = EncodeKey(aBuilder, aItem.key);
  flatbuffers::Offset<fb::KeptRecord> record;
  if (aItem.conflictingRecord)
    record = EncodeRecord(aBuilder, *aItem.conflictingRecord);
  std::vector<flatbuffers::Offset<fb::KnownIncarnation>> hosts;
  for (const once::ReplicaIncarnation& known : aItem.replicaIncarnations)
    hosts.push_back(
      fb::CreateKnownIncarnation(aBuilder,
                                 aBuilder.CreateString(known.host.Value()),
                                 known.incarnation.Value()));
  const auto known = aBuilder.CreateVector(hosts);
  fb::OnceItemBuilder item(aBuilder);
  item.add_kind(fb::OnceKind::ClaimReply);
  item.add_key(key);
  item.add_number(aItem.number.Value());
  item.add_verdict(static_cast<fb::Verdict>(aItem.verdict));
  item.add_record(record);
  item.add_known(known);
  return item.Finish();
}

/// An item of a key and a claim.
template<typename Kind>
static ItemOffset
EncodeClaimItem(Builder& aBuilder, fb::OnceKind aKind, const Kind& aItem)
{
  const auto key = EncodeKey(aBuilder, aItem.key);
  const auto claim = EncodeClaimId(aBuilder, aItem.claim);
  fb::OnceItemBuilder item(aBuilder);
  item.add_kind(aKind);
  item.add_key(key);
  item.add_claim(claim);
  return item.Finish();
}

static ItemOffset
EncodeItem(Builder& aBuilder, const once::ReleaseClaim& aItem)
{
  return EncodeClaimItem(aBuilder, fb::OnceKind::Release, aItem);
}

static ItemOffset
EncodeItem(Builder& aBuilder, const once::QueryClaim& aItem)
{
  return EncodeClaimItem(aBuilder, fb::OnceKind::CheckClaim, aItem);
}

static ItemOffset
EncodeItem(Builder& aBuilder, const once::ClaimUntracked& aItem)
{
  return EncodeClaimItem(aBuilder, fb::OnceKind::ClaimLost, aItem);
}

static ItemOffset
EncodeItem(Builder& aBuilder, const once::RecordOutcome& aItem)
{
  const auto record = EncodeRecord(aBuilder, aItem.record);
  fb::OnceItemBuilder item(aBuilder);
  item.add_kind(fb::OnceKind::RecordOutcome);
  item.add_record(record);
  return item.Finish();
}

static ItemOffset
EncodeItem(Builder& aBuilder, const once::OutcomeRecorded& aItem)
{
  const auto key = EncodeKey(aBuilder, aItem.key);
  fb::OnceItemBuilder item(aBuilder);
  item.add_kind(fb::OnceKind::OutcomeRecorded);
  item.add_key(key);
  item.add_number(aItem.number.Value());
  return item.Finish();
}

static ItemOffset
EncodeItem(Builder& aBuilder, const once::CopyRequest& aItem)
{
  const auto after = EncodeKey(aBuilder, aItem.after);
  fb::OnceItemBuilder item(aBuilder);
  item.add_kind(fb::OnceKind::CopyRequest);
  item.add_set(aItem.set.Value());
  item.add_key(after);
  return item.Finish();
}

static ItemOffset
EncodeItem(Builder& aBuilder, const once::RecordPage& aItem)
{
  const auto after = EncodeKey(aBuilder, aItem.after);
  std::vector<flatbuffers::Offset<fb::KeptRecord>> offsets;
  for (const once::ReplicaRecord& record : aItem.records)
    offsets.push_back(EncodeRecord(aBuilder, record));
  const auto records = aBuilder.CreateVector(offsets);
  fb::OnceItemBuilder item(aBuilder);
  item.add_kind(fb::OnceKind::CopyPage);
  item.add_set(aItem.set.Value());
  item.add_to(aItem.requesterIncarnation.Value());
  item.add_key(after);
  item.add_is_serving(aItem.isServing);
  item.add_is_cold_start(aItem.isColdStart);
  item.add_is_last(aItem.isLast);
  item.add_records(records);
  return item.Finish();
}

flatbuffers::Offset<fb::OnceBatch>
greengage::wire::detail::EncodeBatch(Builder& aBuilder,
                                     const once::LedgerBatch& aBatch)
{
  std::vector<ItemOffset> offsets;
  for (const once::LedgerMessage& item : aBatch.items)
    offsets.push_back(std::visit(
      [&](const auto& aAny) { return EncodeItem(aBuilder, aAny); }, item));
  const auto items = aBuilder.CreateVector(offsets);
  return fb::CreateOnceBatch(
    aBuilder, aBatch.membershipDigest, aBatch.incarnation.Value(), items);
}

static once::RequestKey
DecodeKey(const fb::RecordKey& aFrom)
{
  return { .team = TeamId(aFrom.team()->str()),
           .id = RequestId(aFrom.id()->str()) };
}

static std::optional<once::RequestKey>
DecodeOptionalKey(const fb::RecordKey* aFrom)
{
  if (aFrom == nullptr)
    return std::nullopt;
  return DecodeKey(*aFrom);
}

static once::ClaimId
DecodeClaimId(const fb::ClaimId& aFrom)
{
  return { .host = EntryHostId(aFrom.host()->str()),
           .incarnation = once::Incarnation(aFrom.incarnation()),
           .number = once::ClaimNumber(aFrom.number()) };
}

static once::ReplicaRecord
DecodeRecord(const fb::KeptRecord& aFrom)
{
  once::ReplicaRecord record{ .key = DecodeKey(*aFrom.key()),
                              .claim = DecodeClaimId(*aFrom.claim()),
                              .fingerprint = aFrom.fingerprint(),
                              .hasEnded = aFrom.has_ended(),
                              .outcome = std::nullopt,
                              .timeToLive = Duration(aFrom.keep_ms()) };
  if (aFrom.outcome() != nullptr)
    record.outcome = DecodeOutcome(*aFrom.outcome());
  return record;
}

static once::ClaimReply
DecodeReply(const fb::OnceItem& aFrom)
{
  once::ClaimReply reply{ .key = DecodeKey(*aFrom.key()),
                          .number = once::ClaimNumber(aFrom.number()),
                          .verdict = once::Verdict::Recovering,
                          .conflictingRecord = std::nullopt,
                          .replicaIncarnations = {} };
  // A verdict that this version does not know proves nothing.
  if (aFrom.verdict() <= fb::Verdict::Full)
    reply.verdict = static_cast<once::Verdict>(aFrom.verdict());
  if (aFrom.record() != nullptr)
    reply.conflictingRecord = DecodeRecord(*aFrom.record());
  if (aFrom.known() != nullptr)
    for (const fb::KnownIncarnation* known : *aFrom.known())
      reply.replicaIncarnations.push_back(
        { .host = EntryHostId(known->host()->str()),
          .incarnation = once::Incarnation(known->incarnation()) });
  return reply;
}

static once::RecordPage
DecodePage(const fb::OnceItem& aFrom)
{
  once::RecordPage page{ .set = once::ReplicaSetId(aFrom.set()),
                         .requesterIncarnation = once::Incarnation(aFrom.to()),
                         .after = DecodeOptionalKey(aFrom.key()),
                         .isServing = aFrom.is_serving(),
                         .isColdStart = aFrom.is_cold_start(),
                         .isLast = aFrom.is_last(),
                         .records = {} };
  if (aFrom.records() != nullptr)
    for (const fb::KeptRecord* record : *aFrom.records())
      page.records.push_back(DecodeRecord(*record));
  return page;
}

/// Whether the fields that the kind needs are there.
static bool
IsComplete(const fb::OnceItem& aFrom)
{
  switch (aFrom.kind()) {
    case fb::OnceKind::Claim:
    case fb::OnceKind::Release:
    case fb::OnceKind::CheckClaim:
    case fb::OnceKind::ClaimLost:
      return aFrom.key() != nullptr && aFrom.claim() != nullptr;
    case fb::OnceKind::ClaimReply:
    case fb::OnceKind::OutcomeRecorded:
      return aFrom.key() != nullptr;
    case fb::OnceKind::RecordOutcome:
      return aFrom.record() != nullptr;
    case fb::OnceKind::CopyRequest:
    case fb::OnceKind::CopyPage:
      break;
  }
  return true;
}

static std::optional<once::LedgerMessage>
DecodeItem(const fb::OnceItem& aFrom)
{
  switch (aFrom.kind()) {
    case fb::OnceKind::Claim:
      return once::Claim{ .key = DecodeKey(*aFrom.key()),
                          .claim = DecodeClaimId(*aFrom.claim()),
                          .fingerprint = aFrom.fingerprint(),
                          .remaining = Duration(aFrom.remaining_ms()) };
    case fb::OnceKind::ClaimReply:
      return DecodeReply(aFrom);
    case fb::OnceKind::Release:
      return once::ReleaseClaim{ .key = DecodeKey(*aFrom.key()),
                                 .claim = DecodeClaimId(*aFrom.claim()) };
    case fb::OnceKind::RecordOutcome:
      return once::RecordOutcome{ .record = DecodeRecord(*aFrom.record()) };
    case fb::OnceKind::OutcomeRecorded:
      return once::OutcomeRecorded{ .key = DecodeKey(*aFrom.key()),
                                    .number =
                                      once::ClaimNumber(aFrom.number()) };
    case fb::OnceKind::CheckClaim:
      return once::QueryClaim{ .key = DecodeKey(*aFrom.key()),
                               .claim = DecodeClaimId(*aFrom.claim()) };
    case fb::OnceKind::ClaimLost:
      return once::ClaimUntracked{ .key = DecodeKey(*aFrom.key()),
                                   .claim = DecodeClaimId(*aFrom.claim()) };
    case fb::OnceKind::CopyRequest:
      return once::CopyRequest{ .set = once::ReplicaSetId(aFrom.set()),
                                .after = DecodeOptionalKey(aFrom.key()) };
    case fb::OnceKind::CopyPage:
      return DecodePage(aFrom);
  }
  return std::nullopt;
}

std::optional<once::LedgerBatch>
greengage::wire::detail::DecodeBatch(const fb::OnceBatch& aFrom, Error& aReason)
{
  once::LedgerBatch batch{ .membershipDigest = aFrom.layout(),
                           .incarnation =
                             once::Incarnation(aFrom.incarnation()),
                           .items = {} };
  if (aFrom.items() == nullptr)
    return batch;
  for (const fb::OnceItem* from : *aFrom.items()) {
    if (!IsComplete(*from))
      return Fail(
        aReason, ErrorKind::Malformed, "item about a request id lacks a field");
    if (auto item = DecodeItem(*from))
      batch.items.push_back(std::move(*item));
  }
  return batch;
}
