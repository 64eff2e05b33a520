/// \file
/// What is known of each request id, so that a resend gets the first answer
/// and never a second run.

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

/// The bounds of the records.
struct RecordOptions
{
  /// How long an ended request is remembered; the time for resends.
  Duration retention = Duration::Seconds(600);
  std::size_t maxRecords = 200000;
  /// Bytes of remembered answers; beyond them the oldest answers are dropped
  /// and their requests are remembered without.
  std::size_t maxAnswerBytes = 64 * 1024 * 1024;
};

/// One request id of one team.
struct RequestRecord
{
  /// Tells a resend from another request under the same id.
  std::uint64_t fingerprint = 0;
  /// The work that answers it.
  WorkId work;
  /// Callers that wait for the outcome, the first one included.
  std::vector<CallId> waiters;
  /// The end, once it is known and as long as it is kept.
  std::optional<Outcome> outcome;
  bool hasEnded = false;
  Time endedAt;
};

/// The records by team and request id.
class RequestRecords
{
public:
  using Key = std::pair<TeamId, RequestId>;

  explicit RequestRecords(RecordOptions aOptions)
    : options_(aOptions)
  {
  }

  /// The record of \p aKey, or null.
  RequestRecord* Find(const Key& aKey);
  /// A new record, or null if there is no room for one.
  RequestRecord* Create(const Key& aKey, std::uint64_t aFingerprint);
  /// Notes the end of a request. One that was not run is forgotten, since its
  /// id may be sent again.
  void End(const Key& aKey, const Outcome& aOutcome, Time aNow);
  /// Forgets requests that ended longer ago than the retention.
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

/// The fingerprint of all that makes two requests the same work.
std::uint64_t
FingerprintOf(const Request& aRequest);

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_REQUESTRECORDS_H
