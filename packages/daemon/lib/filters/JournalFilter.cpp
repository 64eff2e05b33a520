#include "JournalFilter.h"

#include "greengage/observe/Log.h"
#include "greengage/wire/LogRecord.h"

#include <algorithm>
#include <iterator>
#include <utility>

using namespace greengage;
using namespace greengage::daemon::detail;

static constexpr Duration kReportRetryInterval = Duration(5);
/// How often a write that failed is tried again.
static constexpr Duration kRepairInterval = Duration(250);
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
  const bool canMerge =
    !pending_.empty() && !failedAt_ && CanMerge(pending_.back().batch, batch);
  if (!pending_.empty() && !canMerge)
    WritePending(aNow);
  for (const storage::Record& record : batch.records)
    pendingBytes_ += record.payload.size();
  if (canMerge) {
    Merge(pending_.back().batch, std::move(batch));
    pending_.back().id = aPersist.id;
  } else {
    pending_.push_back({ .batch = std::move(batch), .id = aPersist.id });
  }
  if (pendingBytes_ >= kMaxPendingBytes)
    WritePending(aNow);
}

std::optional<Time>
JournalFilter::NextTimer() const
{
  if (repairAt_ && reportAt_)
    return std::min(*repairAt_, *reportAt_);
  return repairAt_ ? repairAt_ : reportAt_;
}

void
JournalFilter::OnTimer(Time aNow)
{
  if (repairAt_ && aNow >= *repairAt_)
    TryRepair(aNow);
  else
    Report(aNow);
}

void
JournalFilter::WritePending(Time aNow)
{
  if (pending_.empty() || journal_.HasFailed())
    return;
  Error reason;
  while (!pending_.empty() && journal_.Write(pending_.front().batch, reason))
    OnWritten(aNow);
  if (journal_.HasFailed())
    OnFailed(reason, aNow);
  Report(aNow);
}

void
JournalFilter::TryRepair(Time aNow)
{
  Error reason;
  if (journal_.Repair(reason)) {
    WritePending(aNow);
    return;
  }
  repairAt_ = aNow + kRepairInterval;
  if (reason.detail == repairFailure_)
    return;
  repairFailure_ = reason.detail;
  observe::Log(observe::LogLevel::Error,
               "journal-not-repaired",
               { { "reason", Describe(reason) } });
}

void
JournalFilter::OnWritten(Time aNow)
{
  durable_ = pending_.front().id;
  pending_.pop_front();
  pendingBytes_ = 0;
  repairAt_.reset();
  if (!failedAt_)
    return;
  observe::Log(observe::LogLevel::Info,
               "journal-repaired",
               { { "after_ms", std::to_string((aNow - *failedAt_).Millis()) },
                 { "waiting", std::to_string(pending_.size()) } });
  failedAt_.reset();
  repairFailure_.clear();
}

void
JournalFilter::OnFailed(const Error& aReason, Time aNow)
{
  repairAt_ = aNow + kRepairInterval;
  if (failedAt_)
    return;
  failedAt_ = aNow;
  observe::Log(observe::LogLevel::Error,
               "journal-failed",
               { { "reason", Describe(aReason) } });
}

void
JournalFilter::Report(Time aNow)
{
  reportAt_.reset();
  if (!ReportFailure() || !ReportDurable())
    reportAt_ = aNow + kReportRetryInterval;
}

/// Reports whether the journal has failed, if that is news. False if there is
/// no room.
bool
JournalFilter::ReportFailure()
{
  if (isFailureReported_ == failedAt_.has_value())
    return true;
  ConsensusInput report = JournalFailed{};
  if (!failedAt_)
    report = JournalRepaired{};
  if (!reports_.TryPush(std::move(report)))
    return false;
  isFailureReported_ = failedAt_.has_value();
  return true;
}

/// Reports what is durable, if that is news. False if there is no room.
bool
JournalFilter::ReportDurable()
{
  if (failedAt_ || durable_ == reportedDurable_)
    return true;
  if (!reports_.TryPush(
        consensus::Event(consensus::Persisted{ .id = durable_ })))
    return false;
  reportedDurable_ = durable_;
  return true;
}
