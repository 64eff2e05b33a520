/// \file
/// Files of this machine on a disk that can be made to look full.

#ifndef GREENGAGE_DAEMON_UNITTESTS_FULLDISK_H
#define GREENGAGE_DAEMON_UNITTESTS_FULLDISK_H

#include "greengage/storage/FileSystem.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace greengage::daemon::detail::test {

class FullDisk final : public storage::PosixFileSystem
{
public:
  std::unique_ptr<storage::File> Open(const std::string& aPath,
                                      bool aIsNew,
                                      Error& aReason) override
  {
    auto file = PosixFileSystem::Open(aPath, aIsNew, aReason);
    if (!file)
      return nullptr;
    return std::make_unique<FileOnDisk>(*this, std::move(file));
  }

  /// While set, a file takes half of what is appended and refuses the rest.
  std::atomic<bool> isFull{ false };
  std::atomic<std::size_t> refusedWrites{ 0 };

private:
  class FileOnDisk final : public storage::File
  {
  public:
    FileOnDisk(FullDisk& aDisk, std::unique_ptr<storage::File> aFile)
      : disk_(aDisk)
      , file_(std::move(aFile))
    {
    }
    bool Append(std::string_view aBytes, Error& aReason) override
    {
      if (!disk_.isFull)
        return file_->Append(aBytes, aReason);
      if (!file_->Append(aBytes.substr(0, aBytes.size() / 2), aReason))
        return false;
      ++disk_.refusedWrites;
      aReason = { ErrorKind::StorageFailed, "no space left on device" };
      return false;
    }
    bool Sync(Error& aReason) override { return file_->Sync(aReason); }

  private:
    FullDisk& disk_;
    std::unique_ptr<storage::File> file_;
  };
};

} // namespace greengage::daemon::detail::test

#endif // GREENGAGE_DAEMON_UNITTESTS_FULLDISK_H
