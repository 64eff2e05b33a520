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

struct ClaimantOptions
{
  EntryHostId self;
  Incarnation incarnation;
  /// How long to wait for grants from a majority of the replicas.
  Duration claimTimeout = Duration(500);
  /// Interval at which a claim is resent to replicas that have not granted it.
  Duration claimRetry = Duration(100);
  /// Initial and longest delay before a retry of a claim that conflicted with
  /// another host's.
  Duration minBackoff = Duration(20);
  Duration maxBackoff = Duration(500);
  /// Interval at which an outcome is resent to replicas that have not
  /// acknowledged it.
  Duration outcomeRetry = Duration::Seconds(1);
  /// How long an unacknowledged outcome is resent.
  Duration retention = Duration::Seconds(600);
  /// Limit of requests in progress.
  std::size_t maxRequests = 100000;
  /// Limit of callers that wait for the same request.
  std::size_t maxCallers = 16;
  /// Limit of outcomes that are not acknowledged by all replicas. Beyond it,
  /// the oldest is no longer resent.
  std::size_t maxUnrecorded = 20000;
  /// Limit of released claims that are tracked. A host that asks about an older
  /// one is told that it is lost.
  std::size_t maxReleased = 65536;
};

/// Coordinates the requests that callers submit to this host.
class Claimant
{
public:
  /// The replica sets and the outbox must outlive this object.
  Claimant(ClaimantOptions aOptions, const KeeperSets& aSets, Outbox& aOutbox);

  void Submit(CallId aCall, Request&& aRequest, Time aNow, Actions& aOut);
  /// Cancels a request. Returns true if the cancellation must be forwarded to
  /// the request plane.
  bool Cancel(CallId aCall, const RecordKey& aKey, Actions& aOut);
  /// Handles the request plane's outcome of a call that was dispatched to it.
  void OnOutcome(CallId aCall, Outcome&& aOutcome, Time aNow, Actions& aOut);

  void On(const EntryHostId& aFrom,
          Incarnation aIncarnation,
          const ClaimReply& aItem,
          Time aNow,
          Actions& aOut);
  void On(const EntryHostId& aFrom, const OutcomeRecorded& aItem);
  void On(const EntryHostId& aFrom, const CheckClaim& aItem);
  void On(const ClaimLost& aItem, Actions& aOut);

  void SetUp(const EntryHostId& aPeer, bool aIsUp);
  void Tick(Time aNow, Actions& aOut);
  /// Fails all requests that have not been dispatched.
  void Close(Actions& aOut);
  bool IsIdle() const { return entries_.empty() && unrecorded_.empty(); }

private:
  enum class Stage : std::uint8_t
  {
    /// Waits for the replicas' replies to a claim.
    Claiming,
    /// Has released its claim and waits for another host's claim to end.
    Waiting,
    /// Was handed to the request plane.
    Dispatched,
  };
  struct Vote
  {
    Incarnation incarnation;
    ClaimReply reply;
  };
  struct Entry
  {
    Request request;
    std::uint64_t fingerprint = 0;
    /// Calls that have not been answered.
    std::vector<CallId> calls;
    Stage stage = Stage::Claiming;
    ClaimNumber number;
    std::map<EntryHostId, Vote> votes;
    /// The conflicting claim that was reported last.
    std::optional<ClaimId> holder;
    /// The caller states that no other host can have received this request
    /// before.
    bool isFirstSend = false;
    /// It is proven that no other host has run the request.
    bool isProven = false;
    /// The request plane has reported an outcome other than NotRun.
    bool mayHaveRun = false;
    Time claimedAt;
    Duration backoff;
    Time timer;
  };
  using Entries = std::map<RecordKey, Entry>;

  /// An outcome that not all replicas have acknowledged.
  struct Unrecorded
  {
    KeptRecord record;
    std::set<EntryHostId> keepers;
    Time until;
  };
  /// A call or cancellation that was handed to the request plane.
  struct Passed
  {
    RecordKey key;
    bool isCancel = false;
    bool isProven = false;
  };

  void Join(Entries::iterator aEntry, CallId aCall, Actions& aOut);
  void StartClaim(Entries::iterator aEntry, Time aNow, Actions& aOut);
  void SendClaim(const Entries::value_type& aEntry, Time aNow);
  bool CanReachMajority(const RecordKey& aKey) const;
  bool IsUp(const EntryHostId& aHost) const;
  void Count(Entries::iterator aEntry, Time aNow, Actions& aOut);
  static std::size_t Grants(const Entry& aEntry);
  bool MeetHolder(Entries::iterator aEntry, Actions& aOut);
  static bool HasMetHolder(const Entry& aEntry);
  void WaitForHolder(Entries::iterator aEntry, Time aNow, Actions& aOut);
  void GiveUp(Entries::iterator aEntry, Error&& aWhy, Actions& aOut);
  void Dispatch(Entries::iterator aEntry, Actions& aOut);
  void PassCall(const Entries::value_type& aEntry, CallId aCall, Actions& aOut);
  void AnswerAll(Entries::iterator aEntry,
                 const Outcome& aOutcome,
                 Actions& aOut);
  void SendRelease(const RecordKey& aKey, ClaimNumber aNumber);
  void Record(const Entries::value_type& aEntry,
              const Outcome& aOutcome,
              Time aNow);
  void SendOutcome(const Unrecorded& aOutcome);
  void RetryOutcomes(Time aNow);
  bool IsInProgress(const RecordKey& aKey, ClaimNumber aNumber) const;
  void OnTimer(Entries::iterator aEntry, Time aNow, Actions& aOut);
  void SetTimer(Entries::iterator aEntry, Time aAt);
  void Erase(Entries::iterator aEntry);
  ClaimId ClaimOf(ClaimNumber aNumber) const;

  ClaimantOptions options_;
  const KeeperSets& sets_;
  Outbox& outbox_;
  std::set<EntryHostId> up_;
  Entries entries_;
  std::set<std::pair<Time, RecordKey>> timers_;
  std::unordered_map<CallId, Passed> passed_;
  std::map<ClaimNumber, Unrecorded> unrecorded_;
  std::deque<std::pair<Time, ClaimNumber>> outcomeTimers_;
  /// The most recently released claims. No request was run under any of them.
  std::unordered_set<ClaimNumber> released_;
  std::deque<ClaimNumber> releaseOrder_;
  std::uint64_t lastNumber_ = 0;
};

} // namespace greengage::once

#endif // GREENGAGE_ONCE_CLAIMCOORDINATOR_H
