/// \file
/// The claimant's side of the ledger: claims each request id from a majority
/// of its keepers before the request plane may have it, and writes the outcome
/// back.

#ifndef GREENGAGE_ONCE_CLAIMANT_H
#define GREENGAGE_ONCE_CLAIMANT_H

#include "greengage/core/Ids.h"
#include "greengage/core/Request.h"
#include "greengage/core/Units.h"
#include "greengage/once/KeeperSets.h"
#include "greengage/once/Messages.h"
#include "greengage/once/Outbox.h"

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

/// How a claimant is set up.
struct ClaimantOptions
{
  EntryHostId self;
  Incarnation incarnation;
  /// How long to wait for a majority of the keepers.
  Duration claimTimeout = Duration(500);
  /// After how long a claim is sent again to keepers that have not replied.
  Duration claimRetry = Duration(100);
  /// The first and the longest wait for another host's claim.
  Duration minBackoff = Duration(20);
  Duration maxBackoff = Duration(500);
  /// After how long an outcome is sent again to keepers that have not replied.
  Duration outcomeRetry = Duration::Seconds(1);
  /// How long an outcome is offered to keepers that can't be reached.
  Duration retention = Duration::Seconds(600);
  /// Requests on their way at once.
  std::size_t maxRequests = 100000;
  /// Callers that wait for one request.
  std::size_t maxCallers = 16;
  /// Outcomes that some keeper has not recorded.
  std::size_t maxUnrecorded = 20000;
  /// Claims remembered as given up; older ones end as unknown.
  std::size_t maxReleased = 65536;
};

/// The requests that this host has taken.
class Claimant
{
public:
  /// The sets and the outbox must outlive the claimant.
  Claimant(ClaimantOptions aOptions, const KeeperSets& aSets, Outbox& aOutbox);

  void Submit(CallId aCall, Request&& aRequest, Time aNow, Actions& aOut);
  /// Takes a withdrawal. True if the request plane is to hear of it too.
  bool Cancel(CallId aCall, const RecordKey& aKey, Actions& aOut);
  /// What the request plane says of a call that it was handed.
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
  /// Ends what the request plane has not been handed.
  void Close(Actions& aOut);
  bool IsIdle() const { return entries_.empty() && unrecorded_.empty(); }

private:
  enum class Stage : std::uint8_t
  {
    /// Waits for keepers.
    Claiming,
    /// Waits for another host's claim to end.
    Waiting,
    /// The request plane has it.
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
    /// Callers without an outcome.
    std::vector<CallId> calls;
    Stage stage = Stage::Claiming;
    ClaimNumber number;
    std::map<EntryHostId, Vote> votes;
    /// The claim that was met last.
    std::optional<ClaimId> holder;
    /// The caller says that no earlier send can have been taken elsewhere.
    bool isFirstSend = false;
    /// No other host can have run it.
    bool isProven = false;
    /// Some outcome other than "not run" has come.
    bool mayHaveRun = false;
    Time claimedAt;
    Duration backoff;
    Time timer;
  };
  using Entries = std::map<RecordKey, Entry>;

  /// An outcome that some keeper has not recorded.
  struct Unrecorded
  {
    KeptRecord record;
    std::set<EntryHostId> keepers;
    Time until;
  };
  /// A call that the request plane has.
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
  /// Claims under which nothing was run, the latest ones.
  std::unordered_set<ClaimNumber> released_;
  std::deque<ClaimNumber> releaseOrder_;
  std::uint64_t lastNumber_ = 0;
};

} // namespace greengage::once

#endif // GREENGAGE_ONCE_CLAIMANT_H
