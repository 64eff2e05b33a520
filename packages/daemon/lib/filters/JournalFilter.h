/// \file
/// The filter that makes a replica's writes durable, in a duty of its own so
/// that a slow disk delays nothing else.

#ifndef GREENGAGE_DAEMON_LIB_FILTERS_JOURNALFILTER_H
#define GREENGAGE_DAEMON_LIB_FILTERS_JOURNALFILTER_H

#include "ConsensusMessages.h"

#include "greengage/pipe/Filter.h"
#include "greengage/pipe/Pipe.h"
#include "greengage/storage/Journal.h"

#include <optional>

namespace greengage::daemon::detail {

/// Writes and syncs, and reports what is durable. It never waits for room in
/// front of the replica, which waits for room in front of the journal.
class JournalFilter final : public pipe::Filter<consensus::Persist>
{
public:
  JournalFilter(storage::Journal& aJournal,
                pipe::Pipe<ConsensusInput>& aReports);
  void Accept(consensus::Persist&& aPersist, Time aNow) override;
  std::optional<Time> NextTimer() const override { return retryAt_; }
  void OnTimer(Time aNow) override { Report(aNow); }

private:
  void Report(Time aNow);

  storage::Journal& journal_;
  pipe::Pipe<ConsensusInput>& reports_;
  consensus::PersistId durable_;
  /// When to report again what found no room.
  std::optional<Time> retryAt_;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_FILTERS_JOURNALFILTER_H
