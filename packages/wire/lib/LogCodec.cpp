#include "LogCodec.h"

#include "greengage/wire/LogRecord.h"

#include <utility>

using namespace greengage;
using namespace greengage::wire;
using namespace greengage::wire::detail;
using consensus::LogIndex;
using consensus::Term;

using Builder = flatbuffers::FlatBufferBuilder;
using MemberVector =
  flatbuffers::Vector<flatbuffers::Offset<greengage::wire::fb::Member>>;

namespace {

/// A finished body with its type.
struct EncodedBody
{
  fb::LogBody type;
  flatbuffers::Offset<void> offset;
};

} // namespace

static std::string
Text(const flatbuffers::String* aText)
{
  return aText == nullptr ? std::string() : aText->str();
}

static flatbuffers::Offset<fb::Member>
EncodeMember(Builder& aBuilder, const consensus::ReplicaId& aMember)
{
  return fb::CreateMember(aBuilder,
                          aBuilder.CreateString(aMember.host.Value()),
                          aMember.incarnation.Value());
}

static flatbuffers::Offset<fb::Member>
EncodeMember(Builder& aBuilder,
             const std::optional<consensus::ReplicaId>& aMember)
{
  return aMember ? EncodeMember(aBuilder, *aMember)
                 : flatbuffers::Offset<fb::Member>();
}

static flatbuffers::Offset<MemberVector>
EncodeMembers(Builder& aBuilder, const consensus::VoterSet& aMembers)
{
  std::vector<flatbuffers::Offset<fb::Member>> offsets;
  for (const consensus::ReplicaId& member : aMembers)
    offsets.push_back(EncodeMember(aBuilder, member));
  return aBuilder.CreateVector(offsets);
}

static flatbuffers::Offset<fb::LogEntry>
EncodeEntry(Builder& aBuilder, const consensus::Entry& aEntry)
{
  return fb::CreateLogEntry(aBuilder,
                            aEntry.term.Value(),
                            static_cast<std::uint8_t>(aEntry.kind),
                            aBuilder.CreateString(aEntry.command),
                            EncodeMembers(aBuilder, aEntry.members));
}

static consensus::ReplicaId
DecodeMember(const fb::Member& aMember)
{
  return { .host = EntryHostId(Text(aMember.host())),
           .incarnation = consensus::Incarnation(aMember.incarnation()) };
}

static std::optional<consensus::ReplicaId>
DecodeMember(const fb::Member* aMember)
{
  if (aMember == nullptr)
    return std::nullopt;
  return DecodeMember(*aMember);
}

static consensus::VoterSet
DecodeMembers(const MemberVector* aMembers)
{
  consensus::VoterSet members;
  if (aMembers != nullptr)
    for (const fb::Member* member : *aMembers)
      members.insert(DecodeMember(*member));
  return members;
}

static std::optional<consensus::Entry>
DecodeEntry(const fb::LogEntry& aEntry)
{
  const auto last =
    static_cast<std::uint8_t>(consensus::EntryKind::Configuration);
  if (aEntry.kind() > last)
    return std::nullopt;
  return consensus::Entry{ .term = Term(aEntry.term()),
                           .kind =
                             static_cast<consensus::EntryKind>(aEntry.kind()),
                           .command = Text(aEntry.command()),
                           .members = DecodeMembers(aEntry.members()) };
}

static EncodedBody
EncodeBody(Builder& aBuilder, const consensus::RequestVote& aMessage)
{
  return { fb::LogBody::VoteRequest,
           fb::CreateVoteRequest(aBuilder,
                                 aMessage.isPreVote,
                                 aMessage.isBootstrap,
                                 aMessage.isTransfer,
                                 aMessage.term.Value(),
                                 aMessage.lastIndex.Value(),
                                 aMessage.lastTerm.Value())
             .Union() };
}

static EncodedBody
EncodeBody(Builder& aBuilder, const consensus::VoteReply& aMessage)
{
  return { fb::LogBody::VoteReply,
           fb::CreateVoteReply(aBuilder,
                               aMessage.isPreVote,
                               aMessage.term.Value(),
                               aMessage.granted)
             .Union() };
}

static EncodedBody
EncodeBody(Builder& aBuilder, const consensus::Append& aMessage)
{
  std::vector<flatbuffers::Offset<fb::LogEntry>> entries;
  for (const consensus::Entry& entry : aMessage.entries)
    entries.push_back(EncodeEntry(aBuilder, entry));
  return { fb::LogBody::Append,
           fb::CreateAppend(aBuilder,
                            aMessage.term.Value(),
                            aMessage.prevIndex.Value(),
                            aMessage.prevTerm.Value(),
                            aBuilder.CreateVector(entries),
                            aMessage.commit.Value(),
                            aMessage.sentAt.Millis())
             .Union() };
}

static EncodedBody
EncodeBody(Builder& aBuilder, const consensus::AppendReply& aMessage)
{
  return { fb::LogBody::AppendReply,
           fb::CreateAppendReply(aBuilder,
                                 aMessage.term.Value(),
                                 aMessage.accepted,
                                 aMessage.verifiedIndex.Value(),
                                 aMessage.matchIndex.Value(),
                                 aMessage.prevIndex.Value(),
                                 aMessage.hintIndex.Value(),
                                 aMessage.hintTerm.Value(),
                                 aMessage.sentAt.Millis())
             .Union() };
}

static EncodedBody
EncodeBody(Builder& aBuilder, const consensus::SnapshotChunk& aMessage)
{
  const auto members = EncodeMembers(aBuilder, aMessage.members);
  return { fb::LogBody::SnapshotChunk,
           fb::CreateSnapshotChunk(aBuilder,
                                   aMessage.term.Value(),
                                   aMessage.index.Value(),
                                   aMessage.lastTerm.Value(),
                                   members,
                                   aMessage.size,
                                   aMessage.offset,
                                   aBuilder.CreateString(aMessage.bytes),
                                   aMessage.sentAt.Millis())
             .Union() };
}

static EncodedBody
EncodeBody(Builder& aBuilder, const consensus::SnapshotReply& aMessage)
{
  return { fb::LogBody::SnapshotReply,
           fb::CreateSnapshotReply(aBuilder,
                                   aMessage.term.Value(),
                                   aMessage.index.Value(),
                                   aMessage.nextOffset,
                                   aMessage.sentAt.Millis())
             .Union() };
}

static EncodedBody
EncodeBody(Builder& aBuilder, const consensus::Join& /*aMessage*/)
{
  return { fb::LogBody::Join, fb::CreateJoin(aBuilder).Union() };
}

static EncodedBody
EncodeBody(Builder& aBuilder, const consensus::JoinReply& aMessage)
{
  const auto leader = EncodeMember(aBuilder, aMessage.leader);
  return {
    fb::LogBody::JoinReply,
    fb::CreateJoinReply(aBuilder, leader, aMessage.isBootstrapped).Union()
  };
}

static EncodedBody
EncodeBody(Builder& aBuilder, const consensus::TimeoutNow& aMessage)
{
  return { fb::LogBody::TimeoutNow,
           fb::CreateTimeoutNow(aBuilder, aMessage.term.Value()).Union() };
}

flatbuffers::Offset<fb::LogMessage>
greengage::wire::detail::EncodeLogMessage(Builder& aBuilder,
                                          const LogMessage& aMessage)
{
  const EncodedBody body =
    std::visit([&](const auto& aKind) { return EncodeBody(aBuilder, aKind); },
               aMessage.message);
  const auto from = EncodeMember(aBuilder, aMessage.from);
  const auto to = EncodeMember(aBuilder, aMessage.to);
  return fb::CreateLogMessage(aBuilder, from, to, body.type, body.offset);
}

static std::optional<consensus::Message>
DecodeAppend(const fb::Append& aFrom)
{
  consensus::Append append{ .term = Term(aFrom.term()),
                            .prevIndex = LogIndex(aFrom.prev_index()),
                            .prevTerm = Term(aFrom.prev_term()),
                            .entries = {},
                            .commit = LogIndex(aFrom.commit()),
                            .sentAt = Time(aFrom.sent_at()) };
  if (aFrom.entries() == nullptr)
    return append;
  for (const fb::LogEntry* from : *aFrom.entries()) {
    auto entry = DecodeEntry(*from);
    if (!entry)
      return std::nullopt;
    append.entries.push_back(std::move(*entry));
  }
  return append;
}

static consensus::Message
DecodeKind(const fb::VoteRequest& aFrom)
{
  return consensus::RequestVote{ .isPreVote = aFrom.is_pre_vote(),
                                 .isBootstrap = aFrom.is_founding(),
                                 .isTransfer = aFrom.is_transfer(),
                                 .term = Term(aFrom.term()),
                                 .lastIndex = LogIndex(aFrom.last_index()),
                                 .lastTerm = Term(aFrom.last_term()) };
}

static consensus::Message
DecodeKind(const fb::AppendReply& aFrom)
{
  return consensus::AppendReply{ .term = Term(aFrom.term()),
                                 .accepted = aFrom.accepted(),
                                 .verifiedIndex = LogIndex(aFrom.verified()),
                                 .matchIndex = LogIndex(aFrom.match()),
                                 .prevIndex = LogIndex(aFrom.prev_index()),
                                 .hintIndex = LogIndex(aFrom.hint_index()),
                                 .hintTerm = Term(aFrom.hint_term()),
                                 .sentAt = Time(aFrom.sent_at()) };
}

static consensus::Message
DecodeKind(const fb::SnapshotChunk& aFrom)
{
  return consensus::SnapshotChunk{ .term = Term(aFrom.term()),
                                   .index = LogIndex(aFrom.index()),
                                   .lastTerm = Term(aFrom.last_term()),
                                   .members = DecodeMembers(aFrom.members()),
                                   .size = aFrom.size(),
                                   .offset = aFrom.offset(),
                                   .bytes = Text(aFrom.bytes()),
                                   .sentAt = Time(aFrom.sent_at()) };
}

static consensus::Message
DecodeKind(const fb::SnapshotReply& aFrom)
{
  return consensus::SnapshotReply{ .term = Term(aFrom.term()),
                                   .index = LogIndex(aFrom.index()),
                                   .nextOffset = aFrom.received(),
                                   .sentAt = Time(aFrom.sent_at()) };
}

static std::optional<consensus::Message>
DecodeBody(const fb::LogMessage& aFrom)
{
  switch (aFrom.body_type()) {
    case fb::LogBody::VoteRequest:
      return DecodeKind(*aFrom.body_as_VoteRequest());
    case fb::LogBody::VoteReply: {
      const auto* from = aFrom.body_as_VoteReply();
      return consensus::VoteReply{ .isPreVote = from->is_pre_vote(),
                                   .term = Term(from->term()),
                                   .granted = from->granted() };
    }
    case fb::LogBody::Append:
      return DecodeAppend(*aFrom.body_as_Append());
    case fb::LogBody::AppendReply:
      return DecodeKind(*aFrom.body_as_AppendReply());
    case fb::LogBody::SnapshotChunk:
      return DecodeKind(*aFrom.body_as_SnapshotChunk());
    case fb::LogBody::SnapshotReply:
      return DecodeKind(*aFrom.body_as_SnapshotReply());
    case fb::LogBody::Join:
      return consensus::Join{};
    case fb::LogBody::JoinReply: {
      const auto* from = aFrom.body_as_JoinReply();
      return consensus::JoinReply{ .leader = DecodeMember(from->leader()),
                                   .isBootstrapped = from->is_founded() };
    }
    case fb::LogBody::TimeoutNow:
      return consensus::TimeoutNow{ .term = Term(
                                      aFrom.body_as_TimeoutNow()->term()) };
    case fb::LogBody::NONE:
      break;
  }
  return std::nullopt;
}

std::optional<PeerMessage>
greengage::wire::detail::DecodeLogMessage(const fb::LogMessage& aMessage,
                                          Error& aReason)
{
  auto message = DecodeBody(aMessage);
  if (!message)
    return Fail(
      aReason, ErrorKind::Unsupported, "log message of a peer is not known");
  return LogMessage{ .from = DecodeMember(*aMessage.from()),
                     .to = DecodeMember(*aMessage.to()),
                     .message = std::move(*message) };
}

template<typename Table>
static std::string
Finish(Builder& aBuilder, flatbuffers::Offset<Table> aTable)
{
  aBuilder.Finish(aTable);
  const auto* bytes =
    reinterpret_cast<const char*>(aBuilder.GetBufferPointer());
  return { bytes, aBuilder.GetSize() };
}

/// The verified table in \p aBytes, or null.
template<typename Table>
static const Table*
Verified(std::string_view aBytes, Error& aReason)
{
  const auto* data = reinterpret_cast<const std::uint8_t*>(aBytes.data());
  flatbuffers::Verifier verifier(data, aBytes.size());
  if (verifier.VerifyBuffer<Table>(nullptr))
    return flatbuffers::GetRoot<Table>(data);
  Fail(aReason, ErrorKind::DataCorrupt, "record of the log is not well-formed");
  return nullptr;
}

std::string
greengage::wire::Encode(const consensus::Entry& aEntry)
{
  Builder builder;
  return Finish(builder, EncodeEntry(builder, aEntry));
}

std::string
greengage::wire::Encode(const consensus::HardState& aState)
{
  Builder builder;
  const auto vote = EncodeMember(builder, aState.vote);
  const auto bootstrapVote = EncodeMember(builder, aState.bootstrapVote);
  return Finish(
    builder,
    fb::CreateHardState(
      builder, aState.term.Value(), vote, bootstrapVote, aState.mayBootstrap));
}

std::string
greengage::wire::Encode(const consensus::Snapshot& aSnapshot)
{
  Builder builder;
  const auto members = EncodeMembers(builder, aSnapshot.members);
  return Finish(builder,
                fb::CreateSnapshot(builder,
                                   aSnapshot.index.Value(),
                                   aSnapshot.term.Value(),
                                   members,
                                   builder.CreateString(aSnapshot.data)));
}

std::optional<consensus::Entry>
greengage::wire::DecodeEntry(std::string_view aBytes, Error& aReason)
{
  const auto* table = Verified<fb::LogEntry>(aBytes, aReason);
  if (table == nullptr)
    return std::nullopt;
  auto entry = ::DecodeEntry(*table);
  if (!entry)
    return Fail(
      aReason, ErrorKind::Unsupported, "kind of a log entry is not known");
  return entry;
}

std::optional<consensus::HardState>
greengage::wire::DecodeHardState(std::string_view aBytes, Error& aReason)
{
  const auto* table = Verified<fb::HardState>(aBytes, aReason);
  if (table == nullptr)
    return std::nullopt;
  return consensus::HardState{ .term = Term(table->term()),
                               .vote = DecodeMember(table->vote()),
                               .bootstrapVote = DecodeMember(table->founder()),
                               .mayBootstrap = table->may_bootstrap() };
}

std::optional<consensus::Snapshot>
greengage::wire::DecodeSnapshot(std::string_view aBytes, Error& aReason)
{
  const auto* table = Verified<fb::Snapshot>(aBytes, aReason);
  if (table == nullptr)
    return std::nullopt;
  return consensus::Snapshot{ .index = LogIndex(table->index()),
                              .term = Term(table->term()),
                              .members = DecodeMembers(table->members()),
                              .data = Text(table->data()) };
}
