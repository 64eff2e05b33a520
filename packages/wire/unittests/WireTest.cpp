#include "greengage/wire/Frame.h"
#include "greengage/wire/LogRecord.h"
#include "greengage/wire/PeerMessage.h"

#include <catch2/catch.hpp>

#include <random>

using namespace greengage;
using namespace greengage::wire;

static const Time kNow(5000);

/// One item of each kind, with every field set that the kind has.
static once::LedgerBatch
FullBatch()
{
  const once::RequestKey key{ .team = TeamId("a/b"), .id = RequestId("r1") };
  const once::ClaimId claim{ .host = EntryHostId("e1"),
                             .incarnation = once::Incarnation(77),
                             .number = once::ClaimNumber(5) };
  const once::ReplicaRecord record{ .key = key,
                                    .claim = claim,
                                    .fingerprint = 99,
                                    .hasEnded = true,
                                    .outcome =
                                      Answered{ .upstream = UpstreamId("w1"),
                                                .succeeded = true,
                                                .payload = "p" },
                                    .timeToLive = Duration(600) };
  return { .membershipDigest = 3,
           .incarnation = once::Incarnation(78),
           .items = {
             once::Claim{ .key = key,
                          .claim = claim,
                          .fingerprint = 99,
                          .remaining = Duration(700) },
             once::ClaimReply{
               .key = key,
               .number = once::ClaimNumber(5),
               .verdict = once::Verdict::Conflict,
               .conflictingRecord = record,
               .replicaIncarnations = { { EntryHostId("e2"),
                                          once::Incarnation(4) } } },
             once::ReleaseClaim{ .key = key, .claim = claim },
             once::RecordOutcome{ .record = record },
             once::OutcomeRecorded{ .key = key,
                                    .number = once::ClaimNumber(5) },
             once::QueryClaim{ .key = key, .claim = claim },
             once::ClaimUntracked{ .key = key, .claim = claim },
             once::CopyRequest{ .set = once::ReplicaSetId(2), .after = key },
             once::RecordPage{ .set = once::ReplicaSetId(2),
                               .requesterIncarnation = once::Incarnation(6),
                               .after = key,
                               .isServing = true,
                               .isColdStart = true,
                               .isLast = true,
                               .records = { record } } } };
}

static std::vector<PeerMessage>
AllMessages()
{
  Request request;
  request.id = RequestId("r1");
  request.team = TeamId("a/b");
  request.pool = PoolId("lines");
  request.kind = "plan";
  request.priceClass = PriceClass::Patient;
  request.idempotence = Idempotence::Idempotent;
  request.deadline = kNow + Duration(700);
  request.payload = std::string("x\0y", 3);
  UpstreamAnnouncement announcement;
  announcement.id = UpstreamId("w1");
  announcement.endpoint = { .address = "127.0.0.1", .port = 99 };
  announcement.availabilityZone = AvailabilityZoneId("z1");
  announcement.pool = PoolId("lines");
  announcement.slots = Slots(8);
  announcement.lease = Duration(3000);
  announcement.leaving = true;
  return {
    Challenge{ .nonce = "n" },
    Hello{ .from = EntryHostId("e1"),
           .availabilityZone = AvailabilityZoneId("z1"),
           .mac = "m" },
    Heartbeat{},
    ForwardRequest{ .dispatch = DispatchId(7), .request = request },
    ForwardResult{ .dispatch = DispatchId(7),
                   .outcome = Answered{ .upstream = UpstreamId("w1"),
                                        .succeeded = false,
                                        .payload = "p" } },
    ForwardResult{ .dispatch = DispatchId(8),
                   .outcome = NotRun{ .error = { ErrorKind::NoCapacity, "d" },
                                      .retryAfter = Duration(9) } },
    ForwardResult{ .dispatch = DispatchId(9),
                   .outcome =
                     Unknown{ .error = { ErrorKind::OutcomeUnknown, "u" } } },
    RelayedAnnouncement{ .announcement = announcement },
    LoadReport{ .leaving = true,
                .pools = { { PoolId("lines"), Slots(3), 2 } } },
    FullBatch(),
    CancelRequest{ .dispatch = DispatchId(7) },
    ForwardedProposal{ .command = std::string("c\0d", 3) },
    RelayedCall{ .number = 7,
                 .request = { .port = http::PortRole::Control,
                              .exchange = {},
                              .method = "POST",
                              .target = "/q/1",
                              .hostName = "h",
                              .authorization = "Token k",
                              .remoteAddress = "10.0.0.1",
                              .body = std::string("b\0c", 3) } },
    RelayedReply{ .number = 7,
                  .response = { .port = {},
                                .exchange = {},
                                .status = 503,
                                .contentType = "text/plain",
                                .retryAfter = Duration(500),
                                .body = "later" } },
    LeaderNotice{ .term = consensus::Term(9),
                  .leader = EntryHostId("10.0.0.2") },
    LeaderNotice{ .term = consensus::Term(9), .leader = std::nullopt },
    dispatch::GrantReport{ .sender = dispatch::Incarnation(4),
                           .receiver = dispatch::Incarnation(5),
                           .isBalanceKnown = true,
                           .isComplete = true,
                           .grants = { { .team = TeamId("a/b"),
                                         .given = Slots(1),
                                         .givenRevoked = Slots(2),
                                         .received = Slots(3),
                                         .acknowledged = Slots(4),
                                         .holding = Slots(5),
                                         .demand = Slots(6),
                                         .epoch = Version(7),
                                         .limit = Slots(8) } } },
  };
}

/// One message of each kind between replicas of the log.
static std::vector<PeerMessage>
AllLogMessages()
{
  using namespace greengage::consensus;
  const ReplicaId from{ EntryHostId("a"), Incarnation(3) };
  const ReplicaId to{ EntryHostId("b"), Incarnation(4) };
  const Entry command{ .term = Term(5),
                       .kind = EntryKind::Command,
                       .command = std::string("x\0y", 3) };
  const Entry members{ .term = Term(6),
                       .kind = EntryKind::Configuration,
                       .members = { from, to } };
  const Message messages[] = {
    RequestVote{ .isPreVote = true,
                 .isBootstrap = true,
                 .isTransfer = true,
                 .term = Term(1),
                 .lastIndex = LogIndex(2),
                 .lastTerm = Term(3) },
    consensus::VoteReply{ .isPreVote = true, .term = Term(1), .granted = true },
    consensus::Append{ .term = Term(1),
                       .prevIndex = LogIndex(2),
                       .prevTerm = Term(3),
                       .entries = { command, members },
                       .commit = LogIndex(4),
                       .sentAt = Time(5) },
    consensus::AppendReply{ .term = Term(1),
                            .accepted = true,
                            .verifiedIndex = LogIndex(2),
                            .matchIndex = LogIndex(3),
                            .prevIndex = LogIndex(4),
                            .hintIndex = LogIndex(5),
                            .hintTerm = Term(6),
                            .sentAt = Time(7) },
    consensus::SnapshotChunk{ .term = Term(1),
                              .index = LogIndex(2),
                              .lastTerm = Term(3),
                              .members = { from },
                              .size = 4,
                              .offset = 5,
                              .bytes = "b",
                              .sentAt = Time(6) },
    consensus::SnapshotReply{ .term = Term(1),
                              .index = LogIndex(2),
                              .nextOffset = 3,
                              .sentAt = Time(4) },
    consensus::Join{},
    consensus::JoinReply{ .leader = to, .isBootstrapped = true },
    consensus::JoinReply{},
    consensus::TimeoutNow{ .term = Term(1) },
  };
  std::vector<PeerMessage> all;
  for (const Message& message : messages)
    all.push_back(LogMessage{ .from = from, .to = to, .message = message });
  return all;
}

TEST_CASE("every message between replicas survives encoding")
{
  for (const PeerMessage& message : AllLogMessages()) {
    const auto kind = std::get<LogMessage>(message).message.index();
    CAPTURE(kind);
    Error reason;
    const std::string bytes = Encode(message, kNow);
    const auto decoded = Decode(bytes, kNow, reason);
    REQUIRE(decoded);
    CHECK(std::get<LogMessage>(*decoded).message.index() == kind);
    CHECK(Encode(*decoded, kNow) == bytes);
  }
}

TEST_CASE("what a replica keeps survives encoding, and damage is noticed")
{
  using namespace greengage::consensus;
  const ReplicaId member{ EntryHostId("a"), Incarnation(3) };
  const Entry entry{ .term = Term(5),
                     .kind = EntryKind::Command,
                     .command = std::string("x\0y", 3),
                     .members = { member } };
  const HardState state{ .term = Term(5),
                         .vote = member,
                         .mayBootstrap = true };
  const Snapshot snapshot{
    .index = LogIndex(1), .term = Term(2), .members = { member }, .data = "d"
  };
  Error reason;
  CHECK(DecodeEntry(Encode(entry), reason) == entry);
  CHECK(DecodeHardState(Encode(state), reason) == state);
  const auto decoded = DecodeSnapshot(Encode(snapshot), reason);
  REQUIRE(decoded);
  CHECK(Encode(*decoded) == Encode(snapshot));
  CHECK(decoded->members == snapshot.members);
  CHECK_FALSE(DecodeEntry(Encode(entry).substr(0, 20), reason));
  CHECK(reason.kind == ErrorKind::DataCorrupt);
}

TEST_CASE("every message survives encoding, byte for byte")
{
  for (const PeerMessage& message : AllMessages()) {
    Error reason;
    const std::string bytes = Encode(message, kNow);
    const auto decoded = Decode(bytes, kNow, reason);
    REQUIRE(decoded);
    REQUIRE(decoded->index() == message.index());
    REQUIRE(Encode(*decoded, kNow) == bytes);
  }
}

TEST_CASE("a report on grants is the same after its journey")
{
  Error reason;
  const PeerMessage sent = AllMessages().back();
  const auto decoded = Decode(Encode(sent, kNow), kNow, reason);
  REQUIRE(std::get<dispatch::GrantReport>(*decoded) ==
          std::get<dispatch::GrantReport>(sent));
}

TEST_CASE("items about request ids keep every field")
{
  Error reason;
  const once::LedgerBatch sent = FullBatch();
  const auto decoded = Decode(Encode(sent, kNow), kNow, reason);
  REQUIRE(decoded);
  const auto& batch = std::get<once::LedgerBatch>(*decoded);
  REQUIRE(batch.membershipDigest == 3);
  REQUIRE(batch.incarnation == once::Incarnation(78));
  REQUIRE(batch.items.size() == sent.items.size());
  const auto& claim = std::get<once::Claim>(batch.items[0]);
  REQUIRE(claim.claim == std::get<once::Claim>(sent.items[0]).claim);
  REQUIRE(claim.remaining == Duration(700));
  const auto& reply = std::get<once::ClaimReply>(batch.items[1]);
  REQUIRE(reply.verdict == once::Verdict::Conflict);
  REQUIRE(reply.replicaIncarnations.at(0).incarnation == once::Incarnation(4));
  REQUIRE(reply.conflictingRecord->fingerprint == 99);
  REQUIRE(std::get<Answered>(*reply.conflictingRecord->outcome).payload == "p");
  const auto& page = std::get<once::RecordPage>(batch.items[8]);
  REQUIRE((page.isServing && page.isColdStart && page.isLast));
  REQUIRE(page.requesterIncarnation == once::Incarnation(6));
  REQUIRE(page.after == claim.key);
  REQUIRE(page.records.at(0).timeToLive == Duration(600));
}

TEST_CASE("a deadline crosses as the time that remains")
{
  Error reason;
  const std::string bytes = Encode(AllMessages()[3], kNow);
  const auto decoded = Decode(bytes, Time(90), reason);
  const auto& forward = std::get<ForwardRequest>(*decoded);
  REQUIRE(forward.request.deadline == Time(790));
  REQUIRE(forward.request.payload == std::string("x\0y", 3));
}

TEST_CASE("broken messages are refused, never read past their end")
{
  std::mt19937_64 random(20261204);
  int refused = 0;
  for (const PeerMessage& message : AllMessages()) {
    const std::string bytes = Encode(message, kNow);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      Error reason;
      if (!Decode(std::string(bytes, 0, size), kNow, reason))
        ++refused;
    }
    for (int round = 0; round < 200; ++round) {
      std::string damaged = bytes;
      damaged[random() % damaged.size()] = static_cast<char>(random());
      Error reason;
      const auto decoded = Decode(damaged, kNow, reason);
      if (decoded)
        Encode(*decoded, kNow);
    }
  }
  REQUIRE(refused > 100);
}

TEST_CASE("frames are bounded")
{
  Error reason;
  const std::string frame = MakeFrame("abc");
  REQUIRE(ParseFrameHeader(frame.substr(0, 4), reason) == 3);
  REQUIRE_FALSE(ParseFrameHeader(std::string(4, '\0'), reason));
  REQUIRE_FALSE(ParseFrameHeader("\xFF\xFF\xFF\xFF", reason));
  REQUIRE(reason.kind == ErrorKind::TooLarge);
}
