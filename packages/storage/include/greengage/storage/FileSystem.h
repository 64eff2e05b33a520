/// \file
/// The few file operations that durable state needs, so that tests can inject
/// failed syncs, full disks, short writes and crashes.

#ifndef GREENGAGE_STORAGE_FILESYSTEM_H
#define GREENGAGE_STORAGE_FILESYSTEM_H

#include "greengage/core/Error.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengage::storage {

/// A file that is only appended to. Errors are StorageFull if the disk has no
/// space left, StorageFailed otherwise; after one the file's content is not
/// known.
class File
{
public:
  virtual ~File() = default;
  /// Appends all of \p aBytes. They may be lost until Sync has succeeded.
  virtual bool Append(std::string_view aBytes, Error& aReason) = 0;
  /// Makes the content durable, but not the file's name. Must not be called
  /// again after it has failed: the bytes may be gone and a second call may
  /// succeed nonetheless.
  virtual bool Sync(Error& aReason) = 0;
};

/// Held as long as the object lives.
class FileLock
{
public:
  virtual ~FileLock() = default;
};

/// Operations on whole files. All fail with StorageFull if the disk has no
/// space left and with StorageFailed otherwise, unless said differently.
class FileSystem
{
public:
  virtual ~FileSystem() = default;

  /// Makes the folder, and its parents, if need be.
  virtual bool MakeFolder(const std::string& aFolder, Error& aReason) = 0;
  /// The names of the files in \p aFolder, sorted.
  virtual std::optional<std::vector<std::string>> List(
    const std::string& aFolder,
    Error& aReason) = 0;
  virtual std::optional<std::string> Read(const std::string& aPath,
                                          Error& aReason) = 0;
  virtual std::optional<std::uint64_t> SizeOf(const std::string& aPath,
                                              Error& aReason) = 0;
  /// Opens for appending. \p aIsNew empties the file or makes it.
  virtual std::unique_ptr<File> Open(const std::string& aPath,
                                     bool aIsNew,
                                     Error& aReason) = 0;
  /// Cuts the file down to \p aSize bytes and syncs it.
  virtual bool Truncate(const std::string& aPath,
                        std::uint64_t aSize,
                        Error& aReason) = 0;
  /// Replaces \p aTo in one step; durable once the folder is synced.
  virtual bool Rename(const std::string& aFrom,
                      const std::string& aTo,
                      Error& aReason) = 0;
  virtual bool Remove(const std::string& aPath, Error& aReason) = 0;
  /// Makes the names in \p aFolder durable.
  virtual bool SyncFolder(const std::string& aFolder, Error& aReason) = 0;
  /// \returns nothing with DataLocked if another process holds the lock.
  virtual std::unique_ptr<FileLock> Lock(const std::string& aPath,
                                         Error& aReason) = 0;
};

/// The files of this machine.
class PosixFileSystem : public FileSystem
{
public:
  bool MakeFolder(const std::string& aFolder, Error& aReason) override;
  std::optional<std::vector<std::string>> List(const std::string& aFolder,
                                               Error& aReason) override;
  std::optional<std::string> Read(const std::string& aPath,
                                  Error& aReason) override;
  std::optional<std::uint64_t> SizeOf(const std::string& aPath,
                                      Error& aReason) override;
  std::unique_ptr<File> Open(const std::string& aPath,
                             bool aIsNew,
                             Error& aReason) override;
  bool Truncate(const std::string& aPath,
                std::uint64_t aSize,
                Error& aReason) override;
  bool Rename(const std::string& aFrom,
              const std::string& aTo,
              Error& aReason) override;
  bool Remove(const std::string& aPath, Error& aReason) override;
  bool SyncFolder(const std::string& aFolder, Error& aReason) override;
  std::unique_ptr<FileLock> Lock(const std::string& aPath,
                                 Error& aReason) override;
};

} // namespace greengage::storage

#endif // GREENGAGE_STORAGE_FILESYSTEM_H
