#include "greengage/storage/Journal.h"

#include "Format.h"
#include "Names.h"

#include <algorithm>

namespace greengage::storage {

namespace {

bool
FailCorrupt(Error& aReason, const std::string& aDetail)
{
  aReason = { ErrorKind::DataCorrupt, aDetail };
  return false;
}

/// Why a file's header is refused; true if it is good.
bool
CheckState(HeaderState aState, const std::string& aPath, Error& aReason)
{
  switch (aState) {
    case HeaderState::Good:
      return true;
    case HeaderState::OtherVersion:
      aReason = { ErrorKind::Unsupported,
                  aPath + " has another format version" };
      return false;
    case HeaderState::Bad:
      break;
  }
  return FailCorrupt(aReason, aPath + " is damaged");
}

/// Takes the records from \p aIndex on away.
void
DropFrom(std::vector<Record>& aRecords, std::uint64_t aIndex)
{
  while (!aRecords.empty() && aRecords.back().index.Value() >= aIndex)
    aRecords.pop_back();
}

/// Takes the records up to \p aIndex away.
void
DropUpTo(std::vector<Record>& aRecords, std::uint64_t aIndex)
{
  const auto keep = std::find_if(
    aRecords.begin(), aRecords.end(), [aIndex](const Record& aRecord) {
      return aRecord.index.Value() > aIndex;
    });
  aRecords.erase(aRecords.begin(), keep);
}

} // namespace

bool
Journal::Recover(const std::vector<std::string>& aNames,
                 Recovered& aRecovered,
                 Error& aReason)
{
  if (!ReadIdentity(aRecovered, aReason) ||
      !ReadSnapshot(aNames, aRecovered, aReason) ||
      !ReadSegments(aNames, aRecovered, aReason) ||
      !SettleRecords(aRecovered, aReason))
    return false;
  state_ = aRecovered.state;
  if (aRecovered.snapshot)
    snapshotIndex_ = aRecovered.snapshot->index;
  const std::string path = PathOf(NameOf(kSegmentName, segmentNumber_));
  segment_ = files_.Open(path, false, aReason);
  // The process that wrote last may have been killed before it synced the
  // segment, or the name of a file.
  if (!segment_ || !segment_->Sync(aReason) ||
      !files_.SyncFolder(options_.folder, aReason))
    return false;
  // A crash may have come between a snapshot and its note in the journal.
  return snapshotIndex_ == notedSnapshot_ || StartSegment(aReason);
}

bool
Journal::ReadIdentity(Recovered& aRecovered, Error& aReason)
{
  const std::string path = PathOf(kIdentityName);
  const auto content = files_.Read(path, aReason);
  if (!content)
    return false;
  const ParsedWhole identity = ParseWhole(*content);
  if (!CheckState(identity.state, path, aReason))
    return false;
  if (identity.content != options_.host.Value()) {
    aReason = { ErrorKind::InvalidSetting,
                options_.folder + " is the data folder of host " +
                  std::string(identity.content) };
    return false;
  }
  aRecovered.folderId = FolderId(identity.number);
  return true;
}

bool
Journal::ReadSnapshot(const std::vector<std::string>& aNames,
                      Recovered& aRecovered,
                      Error& aReason)
{
  const auto latest =
    std::find_if(aNames.rbegin(), aNames.rend(), [](const std::string& aName) {
      return NumberIn(aName, kSnapshotName).has_value();
    });
  if (latest == aNames.rend())
    return true;
  const std::string path = PathOf(*latest);
  const auto content = files_.Read(path, aReason);
  if (!content)
    return false;
  const ParsedWhole snapshot = ParseWhole(*content);
  if (!CheckState(snapshot.state, path, aReason))
    return false;
  if (snapshot.number != *NumberIn(*latest, kSnapshotName))
    return FailCorrupt(aReason, path + " holds another snapshot");
  aRecovered.snapshot = { .index = RecordIndex(snapshot.number),
                          .data = std::string(snapshot.content) };
  return true;
}

bool
Journal::ReadSegments(const std::vector<std::string>& aNames,
                      Recovered& aRecovered,
                      Error& aReason)
{
  std::vector<std::uint64_t> numbers;
  for (const std::string& name : aNames)
    if (const auto number = NumberIn(name, kSegmentName))
      numbers.push_back(*number);
  const std::string lost = " has lost a journal file";
  if (numbers.empty())
    return FailCorrupt(aReason, options_.folder + lost);
  if (!aRecovered.snapshot && numbers.front() != kFirstSegment)
    return FailCorrupt(aReason, options_.folder + lost);
  for (std::size_t at = 0; at < numbers.size(); ++at) {
    if (numbers[at] != numbers.front() + at)
      return FailCorrupt(aReason, options_.folder + lost);
    const bool isLast = at + 1 == numbers.size();
    if (!ReadSegment(numbers[at], isLast, aRecovered, aReason))
      return false;
  }
  return true;
}

bool
Journal::ReadSegment(std::uint64_t aSegment,
                     bool aIsLast,
                     Recovered& aRecovered,
                     Error& aReason)
{
  const std::string path = PathOf(NameOf(kSegmentName, aSegment));
  const auto content = files_.Read(path, aReason);
  if (!content)
    return false;
  segmentNumber_ = aSegment;
  segmentSize_ = content->size();
  lastIndexes_[aSegment] = RecordIndex(0);
  const HeaderState header = CheckSegmentHeader(*content, aSegment);
  const bool isUnfinished = aIsLast && aSegment != kFirstSegment &&
                            content->size() <= kSegmentHeaderBytes &&
                            header == HeaderState::Bad;
  if (isUnfinished) {
    aRecovered.cutBytes += content->size();
    return RewriteHeader(aReason);
  }
  if (!CheckState(header, path, aReason))
    return false;
  std::string_view rest(*content);
  rest.remove_prefix(kSegmentHeaderBytes);
  while (!rest.empty()) {
    const ParsedFrame frame = ParseFrame(rest);
    if (frame.state == FrameState::Unfinished && aIsLast)
      return CutTail(path, rest.size(), aRecovered, aReason);
    if (frame.state != FrameState::Whole)
      return FailCorrupt(aReason,
                         path + " is damaged at byte " +
                           std::to_string(content->size() - rest.size()));
    if (!Replay(frame.body, aRecovered, aReason))
      return false;
    rest.remove_prefix(frame.size);
  }
  return true;
}

bool
Journal::RewriteHeader(Error& aReason)
{
  const std::string path = PathOf(NameOf(kSegmentName, segmentNumber_));
  const std::string header = MakeSegmentHeader(segmentNumber_);
  segmentSize_ = header.size();
  const std::unique_ptr<File> file = files_.Open(path, true, aReason);
  return file && file->Append(header, aReason) && file->Sync(aReason) &&
         files_.SyncFolder(options_.folder, aReason);
}

bool
Journal::CutTail(const std::string& aPath,
                 std::uint64_t aCut,
                 Recovered& aRecovered,
                 Error& aReason)
{
  aRecovered.cutBytes += aCut;
  segmentSize_ -= aCut;
  return files_.Truncate(aPath, segmentSize_, aReason);
}

bool
Journal::Replay(std::string_view aBody, Recovered& aRecovered, Error& aReason)
{
  std::vector<Record>& records = aRecovered.records;
  const std::string path = PathOf(NameOf(kSegmentName, segmentNumber_));
  while (!aBody.empty()) {
    const auto operation = TakeOperation(aBody);
    if (!operation)
      return FailCorrupt(aReason, path + " holds an unknown operation");
    const RecordIndex index(operation->index);
    switch (operation->kind) {
      case Operation::Record:
        if (!records.empty() &&
            index.Value() != records.back().index.Value() + 1)
          return FailCorrupt(aReason,
                             path + " has a gap before record " +
                               std::to_string(index.Value()));
        records.push_back(
          { .index = index, .payload = std::string(operation->bytes) });
        lastIndexes_[segmentNumber_] =
          std::max(lastIndexes_[segmentNumber_], index);
        break;
      case Operation::TruncateFrom:
        DropFrom(records, index.Value());
        break;
      case Operation::Snapshot:
        notedSnapshot_ = index;
        DropUpTo(records, index.Value());
        break;
      case Operation::State:
        aRecovered.state = std::string(operation->bytes);
        break;
    }
  }
  return true;
}

bool
Journal::SettleRecords(Recovered& aRecovered, Error& aReason) const
{
  const std::uint64_t base =
    aRecovered.snapshot ? aRecovered.snapshot->index.Value() : 0;
  if (notedSnapshot_ && notedSnapshot_->Value() > base)
    return FailCorrupt(aReason, options_.folder + " has lost a snapshot");
  std::vector<Record>& records = aRecovered.records;
  DropUpTo(records, base);
  const bool isGap =
    !records.empty() && records.front().index.Value() != base + 1;
  return !isGap || FailCorrupt(aReason,
                               options_.folder + " has lost records after " +
                                 std::to_string(base));
}

} // namespace greengage::storage
