#include "JournalFilter.h"

#include "greengage/observe/Log.h"
#include "greengage/wire/LogRecord.h"

#include <utility>

using namespace greengage;
using namespace greengage::daemon::detail;

static constexpr Duration kRetryInterval = Duration(5);

JournalFilter::JournalFilter(storage::Journal& aJournal,
                             pipe::Pipe<ConsensusInput>& aReports)
  : journal_(aJournal)
  , reports_(aReports)
{
}

static storage::Batch
ToBatch(const consensus::Persist& aPersist)
{
  storage::Batch batch;
  if (aPersist.truncateFrom)
    batch.truncateFrom = storage::RecordIndex(aPersist.truncateFrom->Value());
  if (aPersist.snapshot)
    batch.snapshot = { .index =
                         storage::RecordIndex(aPersist.snapshot->index.Value()),
                       .data = wire::Encode(*aPersist.snapshot) };
  std::uint64_t index = aPersist.firstIndex.Value();
  for (const consensus::Entry& entry : aPersist.entries)
    batch.records.push_back({ .index = storage::RecordIndex(index++),
                              .payload = wire::Encode(entry) });
  if (aPersist.hardState)
    batch.state = wire::Encode(*aPersist.hardState);
  return batch;
}

void
JournalFilter::Accept(consensus::Persist&& aPersist, Time aNow)
{
  if (journal_.HasFailed())
    return;
  Error reason;
  if (journal_.Write(ToBatch(aPersist), reason))
    durable_ = aPersist.id;
  else
    observe::Log(observe::LogLevel::Error,
                 "journal-failed",
                 { { "reason", Describe(reason) } });
  Report(aNow);
}

void
JournalFilter::Report(Time aNow)
{
  ConsensusInput report =
    consensus::Event(consensus::Persisted{ .id = durable_ });
  if (journal_.HasFailed())
    report = JournalFailed{};
  retryAt_.reset();
  if (!reports_.TryPush(std::move(report)))
    retryAt_ = aNow + kRetryInterval;
}
