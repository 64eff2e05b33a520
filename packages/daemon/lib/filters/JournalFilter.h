/// \file
/// The filter that makes a replica's writes durable, in a duty of its own so
/// that a slow disk delays nothing else.

#ifndef GREENGAGE_DAEMON_LIB_FILTERS_JOURNALFILTER_H
#define GREENGAGE_DAEMON_LIB_FILTERS_JOURNALFILTER_H

#include "ConsensusMessages.h"

#include "greengage/pipe/Filter.h"
#include "greengage/pipe/Pipe.h"
#include "greengage/storage/Journal.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace greengage::daemon::detail {

/// Writes and syncs, and reports what is durable. Writes that queue while the
/// disk is busy share the next sync. A write that fails, for example because
/// the disk is full, is tried again until it succeeds. The filter never waits
/// for room in front of the replica, which waits for room in front of the
/// journal.
class JournalFilter final : public pipe::Filter<consensus::Persist>
{
public:
  JournalFilter(storage::Journal& aJournal,
                pipe::Pipe<ConsensusInput>& aReports);
  void Accept(consensus::Persist&& aPersist, Time aNow) override;
  void OnBatchEnd(Time aNow) override { WritePending(aNow); }
  std::optional<Time> NextTimer() const override;
  void OnTimer(Time aNow) override;

private:
  /// Writes that become durable together.
  struct PendingWrite
  {
    storage::Batch batch;
    /// The latest write in the batch.
    consensus::PersistId id;
  };

  void WritePending(Time aNow);
  void TryRepair(Time aNow);
  void OnWritten(Time aNow);
  void OnFailed(const Error& aReason, Time aNow);
  void Report(Time aNow);
  bool ReportFailure();
  bool ReportDurable();

  storage::Journal& journal_;
  pipe::Pipe<ConsensusInput>& reports_;
  consensus::PersistId durable_;
  consensus::PersistId reportedDurable_;
  /// What is not written yet, in order. More than one only after a failure.
  std::deque<PendingWrite> pending_;
  std::size_t pendingBytes_ = 0;
  /// Since when the first pending write has failed, if it has.
  std::optional<Time> failedAt_;
  bool isFailureReported_ = false;
  /// Why the last repair failed, as it was logged.
  std::string repairFailure_;
  /// When to try the first pending write again.
  std::optional<Time> repairAt_;
  /// When to report again what found no room.
  std::optional<Time> reportAt_;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_FILTERS_JOURNALFILTER_H
