/// \file
/// Remembers cancellations that came before the submission that they cancel. A
/// client's calls can overtake each other on their way: the submission may
/// still be held by a host that was suspended, or by a slow connection, when
/// its cancellation is acknowledged.

#ifndef GREENGAGE_JOBS_EARLYCANCELLATIONS_H
#define GREENGAGE_JOBS_EARLYCANCELLATIONS_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/jobs/Configuration.h"
#include "greengage/jobs/Ids.h"

#include <compare>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace greengage::jobs {

/// How long a cancellation is remembered: as long as the record of a job that
/// was cancelled after it was accepted. Clients may ask for that for 120 s.
inline constexpr Duration kCancellationMemory = Duration::Seconds(180);
/// How many are remembered at most. The teams of the configuration, and the
/// calls without a key together, have equal shares of this.
inline constexpr std::size_t kMaxEarlyCancellations = 32768;

/// A job that may be submitted although it has been cancelled.
struct CancelledJob
{
  JobId id;
  /// Where the cancelling call was sent.
  QueueAddress address;
  /// The team whose key it had; empty if the queue needs none. Jobs of other
  /// teams are not cancelled by it.
  TeamId team;

  friend auto operator<=>(const CancelledJob&, const CancelledJob&) = default;
};

/// The early cancellations of the last kCancellationMemory. Part of the
/// replicated state: it reads no clock.
class EarlyCancellations
{
public:
  using Times = std::map<CancelledJob, Time>;

  EarlyCancellations() = default;
  // A copy's order_ would refer to the times of the original.
  EarlyCancellations(const EarlyCancellations&) = delete;
  EarlyCancellations& operator=(const EarlyCancellations&) = delete;
  EarlyCancellations(EarlyCancellations&&) = default;
  EarlyCancellations& operator=(EarlyCancellations&&) = default;
  ~EarlyCancellations() = default;

  /// Has no effect if the cancellation is remembered. \p aAt must not be
  /// earlier than that of the last call.
  void Record(CancelledJob aJob, Time aAt);
  /// Forgets what is older than kCancellationMemory at \p aNow.
  void Forget(Time aNow);

  /// When the job was cancelled by its team or without a key, if it was.
  std::optional<Time> Find(const CancelledJob& aJob) const;
  std::size_t Count() const { return times_.size(); }
  std::size_t CountOf(const TeamId& aTeam) const;
  /// The cancellations and their times, in the order in which they were
  /// recorded.
  const std::deque<Times::const_iterator>& All() const { return order_; }

private:
  Times times_;
  std::deque<Times::const_iterator> order_;
  std::map<TeamId, std::size_t> counts_;
};

} // namespace greengage::jobs

#endif // GREENGAGE_JOBS_EARLYCANCELLATIONS_H
