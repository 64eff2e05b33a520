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
#include <optional>

namespace greengage::daemon::detail {

/// Writes and syncs, and reports what is durable. Writes that queue while the
/// disk is busy share the next sync. It never waits for room in front of the
/// replica, which waits for room in front of the journal.
class JournalFilter final : public pipe::Filter<consensus::Persist>
{
public:
  JournalFilter(storage::Journal& aJournal,
                pipe::Pipe<ConsensusInput>& aReports);
  void Accept(consensus::Persist&& aPersist, Time aNow) override;
  void OnBatchEnd(Time aNow) override { WritePending(aNow); }
  std::optional<Time> NextTimer() const override { return retryAt_; }
  void OnTimer(Time aNow) override { Report(aNow); }

private:
  void WritePending(Time aNow);
  void Report(Time aNow);

  storage::Journal& journal_;
  pipe::Pipe<ConsensusInput>& reports_;
  consensus::PersistId durable_;
  /// The merged writes that are not written yet, and the id of the latest.
  std::optional<storage::Batch> pending_;
  consensus::PersistId pendingId_;
  std::size_t pendingBytes_ = 0;
  /// When to report again what found no room.
  std::optional<Time> retryAt_;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_FILTERS_JOURNALFILTER_H
