/// \file
/// What entry hosts tell each other about request ids, and the inputs and
/// outputs of the ledger, as plain values without encodings or sockets.

#ifndef GREENGAGE_ONCE_MESSAGES_H
#define GREENGAGE_ONCE_MESSAGES_H

#include "greengage/core/Ids.h"
#include "greengage/core/Request.h"
#include "greengage/core/StrongId.h"
#include "greengage/core/Units.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace greengage::once {

/// One run of a host's process; a later run has a greater value.
using Incarnation = StrongId<struct KeeperIncarnationTag, std::uint64_t>;
/// Counts the claims of one incarnation.
using ClaimNumber = StrongId<struct ClaimNumberTag, std::uint64_t>;
/// The place of a keeper set in the layout that all members compute.
using KeeperSetId = StrongId<struct KeeperSetTag, std::uint32_t>;

/// A request id of a team.
struct RecordKey
{
  TeamId team;
  RequestId id;

  friend auto operator<=>(const RecordKey&, const RecordKey&) = default;
};

/// One host's claim to run a request.
struct ClaimId
{
  EntryHostId host;
  Incarnation incarnation;
  ClaimNumber number;

  friend auto operator<=>(const ClaimId&, const ClaimId&) = default;
};

/// What a keeper remembers of a request id.
struct KeptRecord
{
  RecordKey key;
  ClaimId claim;
  std::uint64_t fingerprint = 0;
  bool hasEnded = false;
  /// How the request ended, as long as the answer is kept.
  std::optional<Outcome> outcome;
  /// How long the record is kept on.
  Duration keep;
};

/// Asks a keeper to record a claim unless there is another.
struct Claim
{
  RecordKey key;
  ClaimId claim;
  std::uint64_t fingerprint = 0;
  /// What remains until the request's deadline.
  Duration remaining;
};

/// A keeper's answer to a claim.
enum class Verdict : std::uint8_t
{
  /// There was no record, and the claim is recorded.
  Granted,
  /// There is another claim.
  Held,
  /// The keeper may have forgotten an earlier claim.
  Recovering,
  /// There is no record, and no room for one.
  Full,
};

/// The latest incarnation of a host that a keeper knows of.
struct KnownIncarnation
{
  EntryHostId host;
  Incarnation incarnation;
};

/// What a keeper says to a claim.
struct ClaimReply
{
  RecordKey key;
  ClaimNumber number;
  Verdict verdict = Verdict::Recovering;
  /// The other claim, if it is held.
  std::optional<KeptRecord> held;
  /// A grant of an earlier incarnation than one of these is void.
  std::vector<KnownIncarnation> known;
};

/// The claim was given up: nothing was sent to an upstream under it.
struct Release
{
  RecordKey key;
  ClaimId claim;
};

/// How the request ended that was run under a claim.
struct RecordOutcome
{
  KeptRecord record;
};

/// The keeper has recorded the outcome.
struct OutcomeRecorded
{
  RecordKey key;
  ClaimNumber number;
};

/// Asks the holder of a claim what became of it.
struct CheckClaim
{
  RecordKey key;
  ClaimId claim;
};

/// The holder has restarted or forgotten, so that nobody knows.
struct ClaimLost
{
  RecordKey key;
  ClaimId claim;
};

/// A restarted keeper asks for the records of a keeper set.
struct CopyRequest
{
  KeeperSetId set;
  /// The last key of the page before.
  std::optional<RecordKey> after;
};

/// A page of records.
struct CopyPage
{
  KeeperSetId set;
  /// From the request, to tell late pages.
  Incarnation to;
  std::optional<RecordKey> after;
  /// False if the sender has lost its records as well.
  bool isServing = false;
  /// The sender starts, or started beside this incarnation of the receiver,
  /// in a fleet that was vouched to be empty.
  bool isColdStart = false;
  bool isLast = false;
  std::vector<KeptRecord> records;
};

using Item = std::variant<Claim,
                          ClaimReply,
                          Release,
                          RecordOutcome,
                          OutcomeRecorded,
                          CheckClaim,
                          ClaimLost,
                          CopyRequest,
                          CopyPage>;

/// Items from one host to another in one message.
struct Batch
{
  /// The digest of the sender's member list; hosts with different lists would
  /// choose different keepers and must not count each other.
  std::uint64_t layout = 0;
  Incarnation incarnation;
  std::vector<Item> items;
};

/// Send a batch to a member.
struct SendBatch
{
  EntryHostId to;
  Batch batch;
};

/// Hand a call to the request plane.
struct PassOn
{
  CallId call;
  Request request;
};

/// Give a caller its outcome.
struct Reply
{
  CallId call;
  RequestId id;
  Outcome outcome;
};

using Action = std::variant<SendBatch, PassOn, Reply>;
using Actions = std::vector<Action>;

} // namespace greengage::once

#endif // GREENGAGE_ONCE_MESSAGES_H
