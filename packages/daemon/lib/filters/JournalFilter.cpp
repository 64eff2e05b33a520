#include "JournalFilter.h"

#include "greengage/observe/Log.h"
#include "greengage/wire/LogRecord.h"

#include <algorithm>
#include <iterator>
#include <utility>

using namespace greengage;
using namespace greengage::daemon::detail;

static constexpr Duration kRetryInterval = Duration(5);
/// Size above which pending writes are written without waiting for more.
static constexpr std::size_t kMaxPendingBytes = 256 * 1024;

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

/// Whether \p aNext only adds to what \p aBatch leaves in the journal, so that
/// both can become durable as one batch.
static bool
CanMerge(const storage::Batch& aBatch, const storage::Batch& aNext)
{
  if (aNext.truncateFrom || aNext.snapshot)
    return false;
  return aBatch.records.empty() || aNext.records.empty() ||
         aBatch.records.back().index.Value() + 1 ==
           aNext.records.front().index.Value();
}

static void
Merge(storage::Batch& aBatch, storage::Batch&& aNext)
{
  std::move(aNext.records.begin(),
            aNext.records.end(),
            std::back_inserter(aBatch.records));
  if (aNext.state)
    aBatch.state = std::move(aNext.state);
}

void
JournalFilter::Accept(consensus::Persist&& aPersist, Time aNow)
{
  storage::Batch batch = ToBatch(aPersist);
  if (pending_ && !CanMerge(*pending_, batch))
    WritePending(aNow);
  for (const storage::Record& record : batch.records)
    pendingBytes_ += record.payload.size();
  if (pending_)
    Merge(*pending_, std::move(batch));
  else
    pending_ = std::move(batch);
  pendingId_ = aPersist.id;
  if (pendingBytes_ >= kMaxPendingBytes)
    WritePending(aNow);
}

void
JournalFilter::WritePending(Time aNow)
{
  if (!pending_)
    return;
  const storage::Batch batch = std::move(*pending_);
  pending_.reset();
  pendingBytes_ = 0;
  if (journal_.HasFailed())
    return;
  Error reason;
  if (journal_.Write(batch, reason))
    durable_ = pendingId_;
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
