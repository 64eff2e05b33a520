/// \file
/// Idempotency records by request id: a resend receives the outcome of the
/// first request and is not run again, unless the first one was not run.

#ifndef GREENGAGE_DISPATCH_REQUESTRECORDS_H
#define GREENGAGE_DISPATCH_REQUESTRECORDS_H

#include "greengage/core/Ids.h"
#include "greengage/core/Request.h"
#include "greengage/core/Units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace greengage::dispatch {

/// Limits of the idempotency records.
struct RecordOptions
{
  /// How long the record of an ended request is kept to answer resends.
  Duration retention = Duration::Seconds(600);
  std::size_t maxRecords = 200000;
  /// Maximum total size of the kept answers. Beyond it the oldest answers are
  /// dropped; their records stay without an answer.
  std::size_t maxAnswerBytes = 64 * 1024 * 1024;
};

/// The record of one request id of one team.
struct RequestRecord
{
  /// Distinguishes a resend from a different request under the same id.
  std::uint64_t fingerprint = 0;
  /// The work whose outcome answers the request.
  WorkId work;
  /// Calls that wait for the outcome, the first one included.
  std::vector<CallId> waiters;
  /// The outcome, once it is known and until it is dropped for space.
  std::optional<Outcome> outcome;
  bool hasEnded = false;
  Time endedAt;
};

/// The idempotency records by team and request id.
class RequestRecords
{
public:
  using Key = std::pair<TeamId, RequestId>;

  explicit RequestRecords(RecordOptions aOptions)
    : options_(aOptions)
  {
  }

  /// Returns the record of \p aKey, or null.
  RequestRecord* Find(const Key& aKey);
  /// Creates a record. Returns null if the number of records is at its limit.
  RequestRecord* Create(const Key& aKey, std::uint64_t aFingerprint);
  /// Records the outcome of a request. The record of a request that was not run
  /// is removed, since its id may be sent again.
  void End(const Key& aKey, const Outcome& aOutcome, Time aNow);
  /// Removes the records of requests that ended at least the retention period
  /// ago.
  void Expire(Time aNow);
  std::size_t size() const { return records_.size(); }

private:
  void DropOldestAnswers();

  RecordOptions options_;
  std::map<Key, RequestRecord> records_;
  std::set<std::pair<Time, Key>> byEnd_;
  /// Records that still hold an answer, oldest first.
  std::set<std::pair<Time, Key>> withAnswer_;
  std::size_t answerBytes_ = 0;
};

/// Hashes the fields in which a resend must match the first request.
std::uint64_t
FingerprintOf(const Request& aRequest);

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_REQUESTRECORDS_H
