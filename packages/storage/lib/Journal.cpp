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
  journal->folderId_ = aRecovered.folderId;
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
Journal::Repair(Error& aReason)
{
  if (!hasFailed_)
    return true;
  Recovered found;
  if (!ReadIdentity(found, aReason))
    return false;
  if (found.folderId != folderId_) {
    aReason = { ErrorKind::DataCorrupt, options_.folder + " was replaced" };
    return false;
  }
  // After a failed sync the file may show bytes that are not on the disk.
  const std::string path = PathOf(NameOf(kSegmentName, segmentNumber_));
  segment_.reset();
  const auto size = files_.SizeOf(path, aReason);
  if (!size)
    return false;
  if (*size < segmentSize_) {
    aReason = { ErrorKind::DataCorrupt, path + " has lost synced bytes" };
    return false;
  }
  if (!files_.Truncate(path, segmentSize_, aReason))
    return false;
  segment_ = files_.Open(path, false, aReason);
  hasFailed_ = !segment_;
  return !hasFailed_;
}

/// Can be repeated after a failure: the last frame is the last step, and a step
/// before it is either harmless to repeat or known to be done.
bool
Journal::WriteBatch(const Batch& aBatch, Error& aReason)
{
  const bool isFull = segmentSize_ >= options_.segmentBytes;
  if ((isSegmentDue_ || isFull) && !StartSegment(aReason))
    return false;
  std::string body;
  if (aBatch.truncateFrom)
    AddOperation(
      body, Operation::TruncateFrom, aBatch.truncateFrom->Value(), {});
  if (aBatch.snapshot) {
    // What contradicts the snapshot goes before the snapshot comes.
    const bool isFrameDue = !isSnapshotStored_ && !body.empty();
    if (isFrameDue && !AppendFrame(body, aReason))
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
  if (aBatch.state)
    AddOperation(body, Operation::State, 0, *aBatch.state);
  if (!body.empty() && !AppendFrame(body, aReason))
    return false;
  if (aBatch.state)
    state_ = aBatch.state;
  isSnapshotStored_ = false;
  return true;
}

bool
Journal::WriteSnapshot(const SnapshotImage& aSnapshot, Error& aReason)
{
  if (!isSnapshotStored_) {
    const std::uint64_t index = aSnapshot.index.Value();
    const std::string name = NameOf(kSnapshotName, index);
    if (!WriteWhole(name, MakeWhole(index, aSnapshot.data), aReason))
      return false;
    if (snapshotIndex_ && *snapshotIndex_ != aSnapshot.index)
      formerSnapshot_ = snapshotIndex_;
    snapshotIndex_ = aSnapshot.index;
    isSnapshotStored_ = true;
    isSegmentDue_ = true;
  }
  if (isSegmentDue_ && !StartSegment(aReason))
    return false;
  return RemoveSuperseded(aReason) && RemoveFormerSnapshot(aReason);
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
  if (!segment_->Append(frame, aReason) || !segment_->Sync(aReason))
    return false;
  segmentSize_ += frame.size();
  return true;
}

bool
Journal::StartSegment(Error& aReason)
{
  isSegmentDue_ = true;
  const std::uint64_t number = segmentNumber_ + 1;
  const std::string path = PathOf(NameOf(kSegmentName, number));
  std::unique_ptr<File> segment = files_.Open(path, true, aReason);
  const std::string header = MakeSegmentHeader(number);
  if (!segment || !segment->Append(header, aReason) ||
      !segment->Sync(aReason) || !files_.SyncFolder(options_.folder, aReason))
    return false;
  // A segment stands without those before it.
  std::string body;
  if (snapshotIndex_)
    AddOperation(body, Operation::Snapshot, snapshotIndex_->Value(), {});
  if (state_)
    AddOperation(body, Operation::State, 0, *state_);
  const std::string frame = body.empty() ? std::string() : MakeFrame(body);
  if (!frame.empty() &&
      (!segment->Append(frame, aReason) || !segment->Sync(aReason)))
    return false;
  segment_ = std::move(segment);
  segmentNumber_ = number;
  segmentSize_ = header.size() + frame.size();
  lastIndexes_[number] = RecordIndex(0);
  isSegmentDue_ = false;
  return true;
}

bool
Journal::RemoveSuperseded(Error& aReason)
{
  while (lastIndexes_.begin()->first != segmentNumber_ &&
         lastIndexes_.begin()->second <= *snapshotIndex_) {
    const std::uint64_t oldest = lastIndexes_.begin()->first;
    // Each removal is durable before the next, so that a crash leaves no gap.
    if (!files_.SyncFolder(options_.folder, aReason) ||
        !files_.Remove(PathOf(NameOf(kSegmentName, oldest)), aReason))
      return false;
    lastIndexes_.erase(lastIndexes_.begin());
  }
  return true;
}

bool
Journal::RemoveFormerSnapshot(Error& aReason)
{
  if (!formerSnapshot_)
    return true;
  const std::string name = NameOf(kSnapshotName, formerSnapshot_->Value());
  if (!files_.Remove(PathOf(name), aReason))
    return false;
  formerSnapshot_.reset();
  return true;
}

bool
Journal::RemoveUnfinished(const std::vector<std::string>& aNames,
                          Error& aReason)
{
  for (const std::string& name : aNames) {
    const auto index = NumberIn(name, kSnapshotName);
    const bool isFormer =
      index && snapshotIndex_ && RecordIndex(*index) != *snapshotIndex_;
    const bool isTemporary = name.ends_with(kTemporarySuffix);
    if ((isFormer || isTemporary) && !files_.Remove(PathOf(name), aReason))
      return false;
  }
  return true;
}

} // namespace greengage::storage
