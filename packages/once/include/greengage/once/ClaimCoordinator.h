/// \file
/// The coordinator's side of the ledger: claims each request id at a
/// majority of its replicas before it dispatches the request to the request
/// plane, and replicates the outcome.

#ifndef GREENGAGE_ONCE_CLAIMCOORDINATOR_H
#define GREENGAGE_ONCE_CLAIMCOORDINATOR_H

#include "greengage/core/Ids.h"
#include "greengage/core/Request.h"
#include "greengage/core/Units.h"
#include "greengage/once/Messages.h"
#include "greengage/once/Outbox.h"
#include "greengage/once/ReplicaSets.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace greengage::once {

struct CoordinatorOptions
{
  EntryHostId self;
  Incarnation incarnation;
  /// How long to wait for grants from a majority of the replicas.
  Duration claimTimeout = Duration(500);
  /// Interval at which a claim is resent to replicas that have not granted it.
  Duration claimRetryInterval = Duration(100);
  /// Initial and longest delay before a retry of a claim that conflicted with
  /// another host's.
  Duration minBackoff = Duration(20);
  Duration maxBackoff = Duration(500);
  /// Interval at which an outcome is resent to replicas that have not
  /// acknowledged it.
  Duration outcomeResendInterval = Duration::Seconds(1);
  /// How long an unacknowledged outcome is resent.
  Duration retention = Duration::Seconds(600);
  /// Limit of requests in progress.
  std::size_t maxRequests = 100000;
  /// Limit of callers that wait for the same request.
  std::size_t maxCallsPerRequest = 16;
  /// Limit of outcomes that are not acknowledged by all replicas. Beyond it,
  /// the oldest is no longer resent.
  std::size_t maxPendingOutcomes = 20000;
  /// Limit of released claims that are tracked. A query about an older one is
  /// answered with ClaimUntracked.
  std::size_t maxReleasedClaims = 65536;
};

/// Coordinates the requests that callers submit to this host.
class ClaimCoordinator
{
public:
  /// The replica sets and the outbox must outlive this object.
  ClaimCoordinator(CoordinatorOptions aOptions,
                   const ReplicaSets& aSets,
                   Outbox& aOutbox);

  void Submit(CallId aCall, Request&& aRequest, Time aNow, Actions& aOut);
  /// Cancels a request. Returns true if the cancellation must be forwarded to
  /// the request plane.
  bool Cancel(CallId aCall, const RequestKey& aKey, Actions& aOut);
  /// Handles the outcome that the request plane reports for a call or a
  /// cancellation.
  void OnOutcome(CallId aCall, Outcome&& aOutcome, Time aNow, Actions& aOut);

  void On(const EntryHostId& aFrom,
          Incarnation aIncarnation,
          const ClaimReply& aItem,
          Time aNow,
          Actions& aOut);
  void On(const EntryHostId& aFrom, const OutcomeRecorded& aItem);
  void On(const EntryHostId& aFrom, const QueryClaim& aItem);
  void On(const ClaimUntracked& aItem, Actions& aOut);

  void SetReachable(const EntryHostId& aPeer, bool aIsReachable);
  void Tick(Time aNow, Actions& aOut);
  /// Fails all requests that have not been dispatched.
  void Close(Actions& aOut);
  bool IsIdle() const { return requests_.empty() && pendingOutcomes_.empty(); }

private:
  enum class Stage : std::uint8_t
  {
    /// Waits for the replicas' replies to a claim.
    Claiming,
    /// Has released its claim and waits for another host's claim to end.
    BackingOff,
    /// Was handed to the request plane.
    Dispatched,
  };
  struct Vote
  {
    Incarnation incarnation;
    ClaimReply reply;
  };
  struct RequestState
  {
    Request request;
    std::uint64_t fingerprint = 0;
    /// Calls that have not been answered.
    std::vector<CallId> calls;
    Stage stage = Stage::Claiming;
    ClaimNumber claimNumber;
    std::map<EntryHostId, Vote> votes;
    /// The conflicting claim that was reported last.
    std::optional<ClaimId> conflict;
    /// No other host can have run this request under a claim: the caller
    /// declared this its first send, or a majority of the replicas has no
    /// record of another claim.
    bool isFirstSend = false;
    /// It is proven that no other host has run the request.
    bool isProvenExclusive = false;
    /// The request plane has reported an outcome other than NotRun.
    bool mayHaveRun = false;
    Time claimedAt;
    Duration backoff;
    Time timerDue;
  };
  using RequestStates = std::map<RequestKey, RequestState>;

  /// An outcome that not all replicas have acknowledged.
  struct PendingOutcome
  {
    ReplicaRecord record;
    std::set<EntryHostId> unacknowledged;
    Time resendUntil;
  };
  /// A call or cancellation that was handed to the request plane.
  struct DispatchedCall
  {
    RequestKey key;
    bool isCancel = false;
    bool isProvenExclusive = false;
  };

  void AddCall(RequestStates::iterator aEntry, CallId aCall, Actions& aOut);
  void StartClaim(RequestStates::iterator aEntry, Time aNow, Actions& aOut);
  void SendClaim(const RequestStates::value_type& aEntry, Time aNow);
  bool CanReachMajority(const RequestKey& aKey) const;
  bool IsReachable(const EntryHostId& aHost) const;
  void EvaluateVotes(RequestStates::iterator aEntry, Time aNow, Actions& aOut);
  static std::size_t CountValidGrants(const RequestState& aState);
  bool ResolveByRecord(RequestStates::iterator aEntry, Actions& aOut);
  static bool HasConflict(const RequestState& aState);
  void BackOff(RequestStates::iterator aEntry, Time aNow, Actions& aOut);
  void FailClaim(RequestStates::iterator aEntry, Error&& aError, Actions& aOut);
  void DispatchRequest(RequestStates::iterator aEntry, Actions& aOut);
  void EmitDispatchCall(const RequestStates::value_type& aEntry,
                        CallId aCall,
                        Actions& aOut);
  void CompleteRequest(RequestStates::iterator aEntry,
                       const Outcome& aOutcome,
                       Actions& aOut);
  void SendRelease(const RequestKey& aKey, ClaimNumber aNumber);
  void ReplicateOutcome(const RequestStates::value_type& aEntry,
                        const Outcome& aOutcome,
                        Time aNow);
  void SendOutcome(const PendingOutcome& aOutcome);
  void ResendOutcomes(Time aNow);
  bool IsClaimActive(const RequestKey& aKey, ClaimNumber aNumber) const;
  void OnTimer(RequestStates::iterator aEntry, Time aNow, Actions& aOut);
  void SetTimer(RequestStates::iterator aEntry, Time aDueTime);
  void Erase(RequestStates::iterator aEntry);
  ClaimId MakeClaimId(ClaimNumber aNumber) const;

  CoordinatorOptions options_;
  const ReplicaSets& replicaSets_;
  Outbox& outbox_;
  std::set<EntryHostId> reachablePeers_;
  RequestStates requests_;
  std::set<std::pair<Time, RequestKey>> timers_;
  std::unordered_map<CallId, DispatchedCall> dispatchedCalls_;
  std::map<ClaimNumber, PendingOutcome> pendingOutcomes_;
  std::deque<std::pair<Time, ClaimNumber>> resendTimes_;
  /// The most recently released claims. No request was run under any of them,
  /// except an idempotent one that could not be claimed.
  std::unordered_set<ClaimNumber> releasedClaims_;
  std::deque<ClaimNumber> releaseOrder_;
  std::uint64_t lastClaimNumber_ = 0;
};

} // namespace greengage::once

#endif // GREENGAGE_ONCE_CLAIMCOORDINATOR_H
