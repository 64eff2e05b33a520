/// \file
/// The records that one replica holds for one replica set, in bounded memory.

#ifndef GREENGAGE_ONCE_RECORDSTORE_H
#define GREENGAGE_ONCE_RECORDSTORE_H

#include "greengage/core/Units.h"
#include "greengage/once/Messages.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace greengage::once {

/// The limits of a record store. A full store refuses new claims rather than
/// evict a record before it expires: losing a record would allow a second run.
struct RecordStoreOptions
{
  /// How long a record is kept after its request has completed or reached its
  /// deadline. Resends within this time are recognized.
  Duration retention = Duration::Seconds(600);
  std::size_t maxRecords = 200000;
  /// Total size of the stored answers.
  std::size_t maxAnswerBytes = 64 * 1024 * 1024;
};

/// Records by key. A team may use at most as much capacity as remains free, so
/// that a single team can fill no more than half of the store.
class RecordStore
{
public:
  explicit RecordStore(RecordStoreOptions aOptions)
    : options_(aOptions)
  {
  }

  /// Records the claim unless there is a record already or the store is full.
  /// A repeated claim is granted again.
  Verdict TryClaim(const Claim& aClaim, Time aNow);
  /// Removes a claim. Has no effect once an outcome is recorded.
  void RemoveClaim(const ReleaseClaim& aRelease);
  /// Records an outcome, which replaces all claims of the request id.
  void Complete(const ReplicaRecord& aRecord, Time aNow);
  /// Merges a record that was copied from another replica. An outcome replaces
  /// claims and is never replaced by one; different claims are all kept.
  void Merge(const ReplicaRecord& aRecord, Time aNow);
  std::optional<ReplicaRecord> Find(const RequestKey& aKey, Time aNow) const;
  /// Returns the records after \p aAfter in key order, or from the start if it
  /// is not set. The page ends with the request id that brings it to
  /// \p aMaxRecords records or to \p aMaxBytes bytes of answers.
  std::vector<ReplicaRecord> ReadPage(const std::optional<RequestKey>& aAfter,
                                      std::size_t aMaxRecords,
                                      std::size_t aMaxBytes,
                                      Time aNow) const;
  void RemoveExpired(Time aNow);
  std::size_t size() const { return records_.size(); }
  std::size_t AnswerBytes() const { return answerBytes_; }

private:
  struct ConflictingClaim
  {
    ClaimId claim;
    std::uint64_t fingerprint = 0;
  };
  struct Entry
  {
    ClaimId claim;
    std::uint64_t fingerprint = 0;
    /// Different claims of the same request id that other replicas recorded.
    /// Any of them may have been granted by a majority, so the id can be
    /// claimed again only when all of them have been released.
    std::vector<ConflictingClaim> conflictingClaims;
    bool hasEnded = false;
    std::optional<Outcome> outcome;
    Time expiresAt;
  };
  struct TeamUsage
  {
    std::size_t records = 0;
    std::size_t answerBytes = 0;
    /// Requests with a stored answer, oldest first. May contain ids whose
    /// records have been erased.
    std::deque<RequestId> answeredRequests;
  };
  using Records = std::map<RequestKey, Entry>;

  static ReplicaRecord MakeRecord(const Records::value_type& aRecord,
                                  Time aNow);
  static bool RemoveConflictingClaim(Entry& aEntry, const ClaimId& aClaim);
  Entry& Insert(const RequestKey& aKey, Time aExpiresAt);
  void AddConflictingClaim(Records::iterator aRecord,
                           const ReplicaRecord& aOther,
                           Time aNow);
  void SetExpiry(Records::iterator aRecord, Time aExpiresAt);
  void SetOutcome(Records::iterator aRecord, std::optional<Outcome> aOutcome);
  void EvictOldestAnswers(const TeamId& aTeam);
  void Erase(Records::iterator aRecord);

  RecordStoreOptions options_;
  Records records_;
  std::set<std::pair<Time, const RequestKey*>> byExpiry_;
  std::map<TeamId, TeamUsage> usageByTeam_;
  std::size_t answerBytes_ = 0;
};

} // namespace greengage::once

#endif // GREENGAGE_ONCE_RECORDSTORE_H
