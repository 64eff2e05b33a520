/// \file
/// The records of one keeper for one keeper set, with their bounds.

#ifndef GREENGAGE_ONCE_KEEPERSTORE_H
#define GREENGAGE_ONCE_KEEPERSTORE_H

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

/// The bounds of a keeper's records. A record is never pushed out before its
/// time, since that would allow a second run; new ones are refused instead.
struct StoreOptions
{
  /// How long after a request's end or deadline a resend may come.
  Duration retention = Duration::Seconds(600);
  std::size_t maxRecords = 200000;
  /// Bytes of remembered answers.
  std::size_t maxAnswerBytes = 64 * 1024 * 1024;
};

/// Records by key. One team may use as much room as is left free besides, so
/// that the heaviest team leaves room to the others.
class KeeperStore
{
public:
  explicit KeeperStore(StoreOptions aOptions)
    : options_(aOptions)
  {
  }

  /// Records the claim unless there is another or no room.
  Verdict Take(const Claim& aClaim, Time aNow);
  /// Forgets a claim that has not ended.
  void Drop(const Release& aRelease);
  /// Records an end, in place of whatever claim there is.
  void End(const KeptRecord& aRecord, Time aNow);
  /// Adds a copied record. An end replaces claims, never the other way; of
  /// different claims all are kept.
  void Merge(const KeptRecord& aRecord, Time aNow);
  std::optional<KeptRecord> Find(const RecordKey& aKey, Time aNow) const;
  /// At most \p aCount records of at most about \p aBytes after \p aAfter.
  std::vector<KeptRecord> Page(const std::optional<RecordKey>& aAfter,
                               std::size_t aCount,
                               std::size_t aBytes,
                               Time aNow) const;
  void Expire(Time aNow);
  std::size_t size() const { return records_.size(); }
  std::size_t AnswerBytes() const { return answerBytes_; }

private:
  struct OtherClaim
  {
    ClaimId claim;
    std::uint64_t fingerprint = 0;
  };
  struct Entry
  {
    ClaimId claim;
    std::uint64_t fingerprint = 0;
    /// Claims of the same id that other keepers recorded. Any of them may be
    /// the one with a majority, so that all must be released before the id is
    /// free.
    std::vector<OtherClaim> others;
    bool hasEnded = false;
    std::optional<Outcome> outcome;
    Time expiresAt;
  };
  struct TeamUse
  {
    std::size_t records = 0;
    std::size_t answerBytes = 0;
    /// Ended requests, oldest first; may name records that have gone.
    std::deque<RequestId> ended;
  };
  using Records = std::map<RecordKey, Entry>;

  static KeptRecord ToKept(const Records::value_type& aRecord, Time aNow);
  static bool DropOther(Entry& aEntry, const ClaimId& aClaim);
  Entry& Add(const RecordKey& aKey, Time aExpiresAt);
  void AddOther(Records::iterator aRecord, const KeptRecord& aOther, Time aNow);
  void SetExpiry(Records::iterator aRecord, Time aExpiresAt);
  void SetOutcome(Records::iterator aRecord, std::optional<Outcome> aOutcome);
  void DropOldestAnswers(const TeamId& aTeam);
  void Erase(Records::iterator aRecord);

  StoreOptions options_;
  Records records_;
  std::set<std::pair<Time, const RecordKey*>> byExpiry_;
  std::map<TeamId, TeamUse> teams_;
  std::size_t answerBytes_ = 0;
};

} // namespace greengage::once

#endif // GREENGAGE_ONCE_KEEPERSTORE_H
