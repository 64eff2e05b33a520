/// \file
/// The durable state of one host under one data folder: numbered records, one
/// state value and the latest snapshot. A write counts once Write returns; what
/// the bytes mean is the caller's affair.

#ifndef GREENGAGE_STORAGE_JOURNAL_H
#define GREENGAGE_STORAGE_JOURNAL_H

#include "greengage/core/Error.h"
#include "greengage/core/Ids.h"
#include "greengage/core/StrongId.h"
#include "greengage/storage/FileSystem.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengage::storage {

/// The place of a record, counted from 1.
using RecordIndex = StrongId<struct RecordIndexTag, std::uint64_t>;
/// Tells one life of a data folder from the next.
using FolderId = StrongId<struct FolderIdTag, std::uint64_t>;

struct Record
{
  RecordIndex index;
  std::string payload;

  friend bool operator==(const Record&, const Record&) = default;
};

/// Stands for all records up to \p index.
struct SnapshotImage
{
  RecordIndex index;
  std::string data;

  friend bool operator==(const SnapshotImage&, const SnapshotImage&) = default;
};

/// What becomes durable together, in this order.
struct Batch
{
  /// Records from here on are forgotten.
  std::optional<RecordIndex> truncateFrom = {};
  std::optional<SnapshotImage> snapshot = {};
  /// They follow the last record, or the snapshot, without a gap.
  std::vector<Record> records = {};
  /// Replaces the state value.
  std::optional<std::string> state = {};
};

struct JournalOptions
{
  std::string folder;
  /// Whose folder it is: one of another host is refused.
  EntryHostId host;
  /// The id that the folder gets if it is empty.
  FolderId newFolderId;
  /// A segment file takes no more batches after this size.
  std::size_t segmentBytes = 8 << 20;
};

/// What a journal holds when it is opened.
struct Recovered
{
  FolderId folderId;
  /// The folder was empty: nothing that this host did before is known.
  bool isNew = false;
  std::optional<std::string> state;
  std::optional<SnapshotImage> snapshot;
  std::vector<Record> records;
  /// Bytes of an unfinished batch that were cut off.
  std::uint64_t cutBytes = 0;
};

/// A journal that is open for writing. For one thread.
class Journal
{
public:
  /// Opens the folder and reads all of it. \p aFiles must outlive the journal.
  /// \returns nothing with DataLocked if another process has it open,
  /// DataCorrupt if anything but an unfinished last batch is damaged,
  /// Unsupported for another format version, InvalidSetting for the folder of
  /// another host, StorageFull or StorageFailed if a file can't be read or
  /// written.
  static std::unique_ptr<Journal> Open(JournalOptions aOptions,
                                       FileSystem& aFiles,
                                       Recovered& aRecovered,
                                       Error& aReason);

  /// Makes \p aBatch durable. After a failure with StorageFull or StorageFailed
  /// the batch may or may not survive a new start, and all further writes are
  /// refused until Repair succeeds.
  bool Write(const Batch& aBatch, Error& aReason);

  bool HasFailed() const { return hasFailed_; }

  /// Prepares a journal whose write failed for the next one, which must be the
  /// same batch again: cuts off what the failed write may have left.
  /// \returns false with StorageFull or StorageFailed while the disk does not
  /// allow it, DataCorrupt if the folder was replaced or lost synced bytes.
  bool Repair(Error& aReason);

private:
  Journal(JournalOptions aOptions, FileSystem& aFiles);

  std::string PathOf(const std::string& aName) const;
  bool Create(const std::vector<std::string>& aNames,
              Recovered& aRecovered,
              Error& aReason);
  bool Recover(const std::vector<std::string>& aNames,
               Recovered& aRecovered,
               Error& aReason);
  bool ReadIdentity(Recovered& aRecovered, Error& aReason);
  bool ReadSnapshot(const std::vector<std::string>& aNames,
                    Recovered& aRecovered,
                    Error& aReason);
  bool ReadSegments(const std::vector<std::string>& aNames,
                    Recovered& aRecovered,
                    Error& aReason);
  bool ReadSegment(std::uint64_t aSegment,
                   bool aIsLast,
                   Recovered& aRecovered,
                   Error& aReason);
  bool CutTail(const std::string& aPath,
               std::uint64_t aCut,
               Recovered& aRecovered,
               Error& aReason);
  bool Replay(std::string_view aBody, Recovered& aRecovered, Error& aReason);
  bool SettleRecords(Recovered& aRecovered, Error& aReason) const;

  bool WriteBatch(const Batch& aBatch, Error& aReason);
  bool WriteSnapshot(const SnapshotImage& aSnapshot, Error& aReason);
  bool WriteWhole(const std::string& aName,
                  const std::string& aContent,
                  Error& aReason);
  bool AppendFrame(const std::string& aBody, Error& aReason);
  bool StartSegment(Error& aReason);
  bool RemoveSuperseded(Error& aReason);
  bool RemoveFormerSnapshot(Error& aReason);
  /// Removes what a process that ended while it wrote a snapshot has left.
  bool RemoveUnfinished(const std::vector<std::string>& aNames, Error& aReason);

  JournalOptions options_;
  FileSystem& files_;
  FolderId folderId_;
  std::unique_ptr<FileLock> lock_;
  std::unique_ptr<File> segment_;
  std::uint64_t segmentNumber_ = 0;
  /// Bytes of the segment's header and of the frames that were synced.
  std::uint64_t segmentSize_ = 0;
  /// Nothing may be added to the segment: the next one may exist in part.
  bool isSegmentDue_ = false;
  /// The largest record index of each segment that is there.
  std::map<std::uint64_t, RecordIndex> lastIndexes_;
  std::optional<std::string> state_;
  std::optional<RecordIndex> snapshotIndex_;
  /// A snapshot that is still to be removed.
  std::optional<RecordIndex> formerSnapshot_;
  /// The snapshot of the batch whose write failed is durable.
  bool isSnapshotStored_ = false;
  /// The latest snapshot that the journal files speak of.
  std::optional<RecordIndex> notedSnapshot_;
  bool hasFailed_ = false;
};

} // namespace greengage::storage

#endif // GREENGAGE_STORAGE_JOURNAL_H
