#include "greengage/storage/Journal.h"

#include "Format.h"
#include "Names.h"

#include <algorithm>
#include <cassert>

namespace greengage::storage {

Journal::Journal(JournalOptions aOptions, FileSystem& aFiles)
  : options_(std::move(aOptions))
  , files_(aFiles)
{
}

std::unique_ptr<Journal>
Journal::Open(JournalOptions aOptions,
              FileSystem& aFiles,
              Recovered& aRecovered,
              Error& aReason)
{
  assert(aOptions.newFolderId != FolderId(0) && "a folder needs an id");
  aRecovered = {};
  auto journal =
    std::unique_ptr<Journal>(new Journal(std::move(aOptions), aFiles));
  const std::string& folder = journal->options_.folder;
  if (!aFiles.MakeFolder(folder, aReason))
    return nullptr;
  journal->lock_ = aFiles.Lock(journal->PathOf(kLockName), aReason);
  if (!journal->lock_)
    return nullptr;
  const auto names = aFiles.List(folder, aReason);
  if (!names)
    return nullptr;
  const bool hasIdentity =
    std::find(names->begin(), names->end(), kIdentityName) != names->end();
  const bool isOpen = hasIdentity
                        ? journal->Recover(*names, aRecovered, aReason)
                        : journal->Create(*names, aRecovered, aReason);
  return isOpen ? std::move(journal) : nullptr;
}

std::string
Journal::PathOf(const std::string& aName) const
{
  return options_.folder + "/" + aName;
}

bool
Journal::Create(const std::vector<std::string>& aNames,
                Recovered& aRecovered,
                Error& aReason)
{
  // The identity is written last: without it, only the empty first segment of
  // an earlier try can be there.
  for (const std::string& name : aNames) {
    const auto number = NumberIn(name, kSegmentName);
    const auto content =
      number ? files_.Read(PathOf(name), aReason) : std::string();
    if (!content)
      return false;
    const bool isData = (number && *number != kFirstSegment) ||
                        content->size() > kSegmentHeaderBytes ||
                        NumberIn(name, kSnapshotName);
    if (!isData)
      continue;
    aReason = { ErrorKind::DataCorrupt,
                options_.folder + " has " + name + " but no identity" };
    return false;
  }
  aRecovered.isNew = true;
  aRecovered.folderId = options_.newFolderId;
  const std::string identity =
    MakeWhole(options_.newFolderId.Value(), options_.host.Value());
  return StartSegment(aReason) && WriteWhole(kIdentityName, identity, aReason);
}

bool
Journal::Write(const Batch& aBatch, Error& aReason)
{
  if (hasFailed_) {
    aReason = { ErrorKind::StorageFailed,
                "an earlier write in " + options_.folder + " failed" };
    return false;
  }
  hasFailed_ = !WriteBatch(aBatch, aReason);
  return !hasFailed_;
}

bool
Journal::WriteBatch(const Batch& aBatch, Error& aReason)
{
  std::string body;
  if (aBatch.truncateFrom)
    AddOperation(
      body, Operation::TruncateFrom, aBatch.truncateFrom->Value(), {});
  if (aBatch.snapshot) {
    // What contradicts the snapshot goes before the snapshot comes.
    if (!body.empty() && !AppendFrame(body, aReason))
      return false;
    body.clear();
    if (!WriteSnapshot(*aBatch.snapshot, aReason))
      return false;
  }
  for (const Record& record : aBatch.records) {
    AddOperation(body, Operation::Record, record.index.Value(), record.payload);
    RecordIndex& last = lastIndexes_[segmentNumber_];
    last = std::max(last, record.index);
  }
  if (aBatch.state) {
    AddOperation(body, Operation::State, 0, *aBatch.state);
    state_ = aBatch.state;
  }
  if (!body.empty() && !AppendFrame(body, aReason))
    return false;
  return segmentSize_ < options_.segmentBytes || StartSegment(aReason);
}

bool
Journal::WriteSnapshot(const SnapshotImage& aSnapshot, Error& aReason)
{
  const std::uint64_t index = aSnapshot.index.Value();
  const std::string name = NameOf(kSnapshotName, index);
  if (!WriteWhole(name, MakeWhole(index, aSnapshot.data), aReason))
    return false;
  const std::optional<RecordIndex> former = snapshotIndex_;
  snapshotIndex_ = aSnapshot.index;
  if (!StartSegment(aReason) || !RemoveSuperseded(aReason))
    return false;
  const bool hasFormer = former && *former != aSnapshot.index;
  return !hasFormer ||
         files_.Remove(PathOf(NameOf(kSnapshotName, former->Value())), aReason);
}

bool
Journal::WriteWhole(const std::string& aName,
                    const std::string& aContent,
                    Error& aReason)
{
  const std::string temporary = PathOf(aName + kTemporarySuffix);
  const std::unique_ptr<File> file = files_.Open(temporary, true, aReason);
  return file && file->Append(aContent, aReason) && file->Sync(aReason) &&
         files_.Rename(temporary, PathOf(aName), aReason) &&
         files_.SyncFolder(options_.folder, aReason);
}

bool
Journal::AppendFrame(const std::string& aBody, Error& aReason)
{
  const std::string frame = MakeFrame(aBody);
  segmentSize_ += frame.size();
  return segment_->Append(frame, aReason) && segment_->Sync(aReason);
}

bool
Journal::StartSegment(Error& aReason)
{
  ++segmentNumber_;
  const std::string path = PathOf(NameOf(kSegmentName, segmentNumber_));
  segment_ = files_.Open(path, true, aReason);
  const std::string header = MakeSegmentHeader(segmentNumber_);
  if (!segment_ || !segment_->Append(header, aReason) ||
      !segment_->Sync(aReason) || !files_.SyncFolder(options_.folder, aReason))
    return false;
  segmentSize_ = header.size();
  lastIndexes_[segmentNumber_] = RecordIndex(0);
  // A segment stands without those before it.
  std::string body;
  if (snapshotIndex_)
    AddOperation(body, Operation::Snapshot, snapshotIndex_->Value(), {});
  if (state_)
    AddOperation(body, Operation::State, 0, *state_);
  return body.empty() || AppendFrame(body, aReason);
}

bool
Journal::RemoveSuperseded(Error& aReason)
{
  while (lastIndexes_.begin()->first != segmentNumber_ &&
         lastIndexes_.begin()->second <= *snapshotIndex_) {
    const std::uint64_t oldest = lastIndexes_.begin()->first;
    // One at a time, so that a crash leaves no gap.
    if (!files_.Remove(PathOf(NameOf(kSegmentName, oldest)), aReason) ||
        !files_.SyncFolder(options_.folder, aReason))
      return false;
    lastIndexes_.erase(lastIndexes_.begin());
  }
  return true;
}

} // namespace greengage::storage
