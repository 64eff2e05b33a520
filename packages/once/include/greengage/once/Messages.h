/// \file
/// The messages that entry hosts exchange to deduplicate request ids, and
/// the actions that the ledger asks its caller to perform. Plain values,
/// independent of their encoding and transport.

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

/// Identifies one run of a host's process. Increases with each restart.
using Incarnation = StrongId<struct LedgerIncarnationTag, std::uint64_t>;
/// Sequence number of a claim within one incarnation of its host.
using ClaimNumber = StrongId<struct ClaimNumberTag, std::uint64_t>;
/// Index of a replica set. All members compute the same assignment.
using ReplicaSetId = StrongId<struct ReplicaSetTag, std::uint32_t>;

/// Identifies a request. Request ids are unique only within a team.
struct RequestKey
{
  TeamId team;
  RequestId id;

  friend auto operator<=>(const RequestKey&, const RequestKey&) = default;
};

/// Identifies one host's claim to run a request.
struct ClaimId
{
  EntryHostId host;
  Incarnation incarnation;
  ClaimNumber number;

  friend auto operator<=>(const ClaimId&, const ClaimId&) = default;
};

/// A replica's record of a request id.
struct ReplicaRecord
{
  RequestKey key;
  ClaimId claim;
  std::uint64_t fingerprint = 0;
  bool hasEnded = false;
  /// The outcome of a completed request, unless it has been evicted.
  std::optional<Outcome> outcome;
  /// Remaining lifetime of the record.
  Duration timeToLive;
};

/// Asks a replica to grant a claim.
struct Claim
{
  RequestKey key;
  ClaimId claim;
  std::uint64_t fingerprint = 0;
  /// Time left until the request's deadline.
  Duration remaining;
};

/// A replica's decision on a claim.
enum class Verdict : std::uint8_t
{
  /// The replica has recorded this claim as the only one.
  Granted,
  /// The replica has a record of another claim or of an outcome.
  Conflict,
  /// The replica has restarted and may have lost an earlier claim.
  Recovering,
  /// There is no record of this request id and no capacity for one.
  AtCapacity,
};

/// The latest incarnation of a host that a replica has observed.
struct ReplicaIncarnation
{
  EntryHostId host;
  Incarnation incarnation;
};

/// A replica's reply to a claim.
struct ClaimReply
{
  RequestKey key;
  ClaimNumber number;
  Verdict verdict = Verdict::Recovering;
  /// The record that refuses the claim, if the verdict is Conflict.
  std::optional<ReplicaRecord> conflictingRecord;
  /// The incarnations of the replicas in this set. A grant from an earlier
  /// incarnation is void, since the replica may have lost it in the restart.
  std::vector<ReplicaIncarnation> replicaIncarnations;
};

/// Withdraws a claim under which nothing was sent to an upstream.
struct ReleaseClaim
{
  RequestKey key;
  ClaimId claim;
};

/// Asks a replica to record the outcome of a claimed request.
struct RecordOutcome
{
  ReplicaRecord record;
};

/// Acknowledges that a replica has recorded an outcome.
struct OutcomeRecorded
{
  RequestKey key;
  ClaimNumber number;
};

/// Asks the host that made a claim for the state of the claim.
struct QueryClaim
{
  RequestKey key;
  ClaimId claim;
};

/// Reports that the host that made a claim has restarted or no longer tracks
/// it, so that the outcome is unknown.
struct ClaimUntracked
{
  RequestKey key;
  ClaimId claim;
};

/// Sent by a restarted replica to copy the records of a replica set.
struct CopyRequest
{
  ReplicaSetId set;
  /// The last key of the previous page.
  std::optional<RequestKey> after;
};

/// One page of a replica set's records, in key order.
struct RecordPage
{
  ReplicaSetId set;
  /// The requester's incarnation, to discard pages for an earlier one.
  Incarnation requesterIncarnation;
  /// Copied from the CopyRequest, to discard duplicate pages.
  std::optional<RequestKey> after;
  /// False if the sender is recovering its records as well.
  bool isServing = false;
  /// The sender allows a cold start and is not serving yet, or it has completed
  /// a cold start together with this incarnation of the receiver.
  bool isColdStart = false;
  bool isLast = false;
  std::vector<ReplicaRecord> records;
};

using LedgerMessage = std::variant<Claim,
                                   ClaimReply,
                                   ReleaseClaim,
                                   RecordOutcome,
                                   OutcomeRecorded,
                                   QueryClaim,
                                   ClaimUntracked,
                                   CopyRequest,
                                   RecordPage>;

/// The ledger messages that one host sends to another in one network message.
struct LedgerBatch
{
  /// Hash of the sender's member list. Hosts with different lists may choose
  /// different replicas, so their claims and grants must not be combined.
  std::uint64_t membershipDigest = 0;
  Incarnation incarnation;
  std::vector<LedgerMessage> items;
};

/// Send a batch to another member.
struct SendBatch
{
  EntryHostId to;
  LedgerBatch batch;
};

/// Submit a call to the request plane.
struct DispatchCall
{
  CallId call;
  Request request;
};

/// Send a caller its outcome.
struct Reply
{
  CallId call;
  RequestId id;
  Outcome outcome;
};

using Action = std::variant<SendBatch, DispatchCall, Reply>;
using Actions = std::vector<Action>;

} // namespace greengage::once

#endif // GREENGAGE_ONCE_MESSAGES_H
