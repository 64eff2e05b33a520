/// \file
/// Files in memory that fail on demand and lose, in a crash, what was not
/// synced: contents, and names of files in a folder.

#ifndef GREENGAGE_STORAGE_UNITTESTS_MEMORYFILESYSTEM_H
#define GREENGAGE_STORAGE_UNITTESTS_MEMORYFILESYSTEM_H

#include "greengage/storage/FileSystem.h"

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace greengage::storage::test {

class MemoryFileSystem final : public FileSystem
{
public:
  /// The operation of this number, counted from 0, fails; so do all that
  /// append after \p bytesLeft bytes.
  std::size_t failingOperation = std::numeric_limits<std::size_t>::max();
  std::size_t operations = 0;
  std::size_t bytesLeft = std::numeric_limits<std::size_t>::max();
  std::size_t syncs = 0;

  /// Power is lost: some part of what was not synced survives, as drawn.
  void Crash(std::mt19937_64& aRandom)
  {
    isLocked = std::make_shared<bool>(false);
    names_ = durableNames_;
    for (auto& [name, inode] : names_) {
      const std::size_t synced = inode->synced.size();
      const bool isGrown = inode->data.size() > synced &&
                           inode->data.compare(0, synced, inode->synced) == 0;
      std::string data = inode->synced;
      if (isGrown) {
        std::uniform_int_distribution<std::size_t> draw(
          0, inode->data.size() - synced);
        data += inode->data.substr(synced, draw(aRandom));
        // The size may be on the disk and the bytes not.
        if (data.size() > synced && aRandom() % 3 == 0)
          data[synced + aRandom() % (data.size() - synced)] ^= 0x55;
      }
      inode = std::make_shared<Inode>(Inode{ .data = data, .synced = data });
    }
    durableNames_ = names_;
    failingOperation = std::numeric_limits<std::size_t>::max();
    bytesLeft = std::numeric_limits<std::size_t>::max();
  }

  /// The content of a file, for a test to damage.
  std::string& Content(const std::string& aPath)
  {
    return names_.at(aPath)->data;
  }
  bool Has(const std::string& aPath) const { return names_.count(aPath) != 0; }
  void Erase(const std::string& aPath)
  {
    names_.erase(aPath);
    durableNames_.erase(aPath);
  }

  bool MakeFolder(const std::string& /*aFolder*/, Error& aReason) override
  {
    return Works(aReason);
  }
  std::optional<std::vector<std::string>> List(const std::string& aFolder,
                                               Error& aReason) override
  {
    if (!Works(aReason))
      return std::nullopt;
    std::vector<std::string> names;
    for (const auto& [path, inode] : names_)
      if (path.compare(0, aFolder.size() + 1, aFolder + "/") == 0)
        names.push_back(path.substr(aFolder.size() + 1));
    return names;
  }
  std::optional<std::string> Read(const std::string& aPath,
                                  Error& aReason) override
  {
    const auto found = names_.find(aPath);
    if (!Works(aReason))
      return std::nullopt;
    if (found == names_.end())
      return Fail(aReason, ErrorKind::StorageFailed, "no file " + aPath);
    return found->second->data;
  }
  std::optional<std::uint64_t> SizeOf(const std::string& aPath,
                                      Error& aReason) override
  {
    const auto content = Read(aPath, aReason);
    if (!content)
      return std::nullopt;
    return content->size();
  }
  std::unique_ptr<File> Open(const std::string& aPath,
                             bool aIsNew,
                             Error& aReason) override
  {
    if (!Works(aReason))
      return nullptr;
    if (aIsNew && names_.count(aPath) != 0)
      names_[aPath]->data.clear();
    else if (aIsNew)
      names_[aPath] = std::make_shared<Inode>();
    return std::make_unique<MemoryFile>(*this, names_.at(aPath));
  }
  bool Truncate(const std::string& aPath,
                std::uint64_t aSize,
                Error& aReason) override
  {
    if (!Works(aReason))
      return false;
    Inode& inode = *names_.at(aPath);
    inode.data.resize(aSize);
    inode.synced = inode.data;
    return true;
  }
  bool Rename(const std::string& aFrom,
              const std::string& aTo,
              Error& aReason) override
  {
    if (!Works(aReason))
      return false;
    names_[aTo] = names_.at(aFrom);
    names_.erase(aFrom);
    return true;
  }
  bool Remove(const std::string& aPath, Error& aReason) override
  {
    if (!Works(aReason))
      return false;
    if (names_.erase(aPath) == 0) {
      aReason = { ErrorKind::StorageFailed, "no file " + aPath };
      return false;
    }
    return true;
  }
  bool SyncFolder(const std::string& /*aFolder*/, Error& aReason) override
  {
    if (!Works(aReason))
      return false;
    durableNames_ = names_;
    return true;
  }
  std::unique_ptr<FileLock> Lock(const std::string& /*aPath*/,
                                 Error& aReason) override
  {
    if (*isLocked) {
      aReason = { ErrorKind::DataLocked, "another process holds it" };
      return nullptr;
    }
    return std::make_unique<MemoryLock>(isLocked);
  }

private:
  struct Inode
  {
    std::string data;
    std::string synced;
  };

  class MemoryFile final : public File
  {
  public:
    MemoryFile(MemoryFileSystem& aFiles, std::shared_ptr<Inode> aInode)
      : files_(aFiles)
      , inode_(std::move(aInode))
    {
    }
    bool Append(std::string_view aBytes, Error& aReason) override
    {
      const std::size_t fits = std::min(aBytes.size(), files_.bytesLeft);
      const bool works = files_.Works(aReason);
      inode_->data += aBytes.substr(0, works ? fits : fits / 2);
      files_.bytesLeft -= fits;
      if (works && fits < aBytes.size())
        aReason = { ErrorKind::StorageFailed, "no space left" };
      return works && fits == aBytes.size();
    }
    bool Sync(Error& aReason) override
    {
      ++files_.syncs;
      if (!files_.Works(aReason))
        return false;
      inode_->synced = inode_->data;
      return true;
    }

  private:
    MemoryFileSystem& files_;
    std::shared_ptr<Inode> inode_;
  };

  class MemoryLock final : public FileLock
  {
  public:
    explicit MemoryLock(std::shared_ptr<bool> aIsLocked)
      : isLocked_(std::move(aIsLocked))
    {
      *isLocked_ = true;
    }
    ~MemoryLock() override { *isLocked_ = false; }
    MemoryLock(const MemoryLock&) = delete;
    MemoryLock& operator=(const MemoryLock&) = delete;

  private:
    std::shared_ptr<bool> isLocked_;
  };

  bool Works(Error& aReason)
  {
    if (operations++ != failingOperation)
      return true;
    aReason = { ErrorKind::StorageFailed, "injected" };
    return false;
  }

  std::map<std::string, std::shared_ptr<Inode>> names_;
  std::map<std::string, std::shared_ptr<Inode>> durableNames_;
  std::shared_ptr<bool> isLocked = std::make_shared<bool>(false);
};

} // namespace greengage::storage::test

#endif // GREENGAGE_STORAGE_UNITTESTS_MEMORYFILESYSTEM_H
