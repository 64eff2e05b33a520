#include "greengage/storage/FileSystem.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace greengage::storage {

namespace {

constexpr mode_t kFileMode = 0600;
constexpr mode_t kFolderMode = 0700;

/// A file descriptor that is closed with its owner.
class Descriptor
{
public:
  explicit Descriptor(int aValue)
    : value_(aValue)
  {
  }
  ~Descriptor()
  {
    if (value_ >= 0)
      ::close(value_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  int Value() const { return value_; }
  bool IsOpen() const { return value_ >= 0; }

private:
  int value_;
};

/// Stores what the last system call on \p aPath failed with.
bool
FailSystem(Error& aReason, const std::string& aWhat, const std::string& aPath)
{
  const int error = errno;
  const bool isFull = error == ENOSPC || error == EDQUOT;
  aReason = { isFull ? ErrorKind::StorageFull : ErrorKind::StorageFailed,
              "can't " + aWhat + " " + aPath + ": " +
                std::generic_category().message(error) };
  return false;
}

class PosixFile final : public File
{
public:
  PosixFile(int aDescriptor, std::string aPath)
    : descriptor_(aDescriptor)
    , path_(std::move(aPath))
  {
  }

  bool Append(std::string_view aBytes, Error& aReason) override
  {
    while (!aBytes.empty()) {
      const ssize_t written =
        ::write(descriptor_.Value(), aBytes.data(), aBytes.size());
      if (written < 0 && errno == EINTR)
        continue;
      if (written < 0)
        return FailSystem(aReason, "write", path_);
      aBytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
  }

  bool Sync(Error& aReason) override
  {
    if (::fdatasync(descriptor_.Value()) != 0)
      return FailSystem(aReason, "sync", path_);
    // A sync of a file whose name is gone succeeds and saves nothing.
    struct stat status = {};
    if (::fstat(descriptor_.Value(), &status) != 0)
      return FailSystem(aReason, "inspect", path_);
    if (status.st_nlink > 0)
      return true;
    aReason = { ErrorKind::StorageFailed, path_ + " was removed" };
    return false;
  }

private:
  Descriptor descriptor_;
  std::string path_;
};

class PosixLock final : public FileLock
{
public:
  explicit PosixLock(int aDescriptor)
    : descriptor_(aDescriptor)
  {
  }

private:
  Descriptor descriptor_;
};

bool
SyncPath(const std::string& aPath, int aFlags, Error& aReason)
{
  const Descriptor descriptor(::open(aPath.c_str(), aFlags | O_CLOEXEC));
  if (!descriptor.IsOpen())
    return FailSystem(aReason, "open", aPath);
  if (::fsync(descriptor.Value()) != 0)
    return FailSystem(aReason, "sync", aPath);
  return true;
}

} // namespace

bool
PosixFileSystem::MakeFolder(const std::string& aFolder, Error& aReason)
{
  std::error_code failure;
  const std::filesystem::path folder =
    std::filesystem::absolute(aFolder, failure);
  if (failure) {
    aReason = { ErrorKind::StorageFailed,
                aFolder + " is no folder: " + failure.message() };
    return false;
  }
  if (std::filesystem::is_directory(folder, failure))
    return true;
  const std::string parent = folder.parent_path().string();
  if (!MakeFolder(parent, aReason))
    return false;
  if (::mkdir(folder.c_str(), kFolderMode) != 0 && errno != EEXIST)
    return FailSystem(aReason, "make the folder", aFolder);
  return SyncFolder(parent, aReason);
}

std::optional<std::vector<std::string>>
PosixFileSystem::List(const std::string& aFolder, Error& aReason)
{
  std::error_code failure;
  std::vector<std::string> names;
  std::filesystem::directory_iterator at(aFolder, failure);
  const std::filesystem::directory_iterator end;
  while (!failure && at != end) {
    names.push_back(at->path().filename().string());
    at.increment(failure);
  }
  if (failure)
    return Fail(aReason,
                ErrorKind::StorageFailed,
                "can't list " + aFolder + ": " + failure.message());
  std::sort(names.begin(), names.end());
  return names;
}

std::optional<std::string>
PosixFileSystem::Read(const std::string& aPath, Error& aReason)
{
  constexpr std::size_t kReadBytes = 1 << 16;
  const Descriptor descriptor(::open(aPath.c_str(), O_RDONLY | O_CLOEXEC));
  if (!descriptor.IsOpen()) {
    FailSystem(aReason, "open", aPath);
    return std::nullopt;
  }
  std::string content;
  for (;;) {
    const std::size_t size = content.size();
    content.resize(size + kReadBytes);
    const ssize_t count =
      ::read(descriptor.Value(), content.data() + size, kReadBytes);
    content.resize(size +
                   static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    if (count == 0)
      return content;
    if (count < 0 && errno != EINTR) {
      FailSystem(aReason, "read", aPath);
      return std::nullopt;
    }
  }
}

std::optional<std::uint64_t>
PosixFileSystem::SizeOf(const std::string& aPath, Error& aReason)
{
  struct stat status = {};
  if (::stat(aPath.c_str(), &status) == 0)
    return static_cast<std::uint64_t>(status.st_size);
  FailSystem(aReason, "inspect", aPath);
  return std::nullopt;
}

std::unique_ptr<File>
PosixFileSystem::Open(const std::string& aPath, bool aIsNew, Error& aReason)
{
  const int flags =
    O_WRONLY | O_APPEND | O_CLOEXEC | (aIsNew ? O_CREAT | O_TRUNC : 0);
  const int descriptor = ::open(aPath.c_str(), flags, kFileMode);
  if (descriptor >= 0)
    return std::make_unique<PosixFile>(descriptor, aPath);
  FailSystem(aReason, "open", aPath);
  return nullptr;
}

bool
PosixFileSystem::Truncate(const std::string& aPath,
                          std::uint64_t aSize,
                          Error& aReason)
{
  if (::truncate(aPath.c_str(), static_cast<off_t>(aSize)) != 0)
    return FailSystem(aReason, "truncate", aPath);
  return SyncPath(aPath, O_WRONLY, aReason);
}

bool
PosixFileSystem::Rename(const std::string& aFrom,
                        const std::string& aTo,
                        Error& aReason)
{
  if (::rename(aFrom.c_str(), aTo.c_str()) != 0)
    return FailSystem(aReason, "rename", aFrom);
  return true;
}

bool
PosixFileSystem::Remove(const std::string& aPath, Error& aReason)
{
  if (::unlink(aPath.c_str()) != 0)
    return FailSystem(aReason, "remove", aPath);
  return true;
}

bool
PosixFileSystem::SyncFolder(const std::string& aFolder, Error& aReason)
{
  return SyncPath(aFolder, O_RDONLY | O_DIRECTORY, aReason);
}

std::unique_ptr<FileLock>
PosixFileSystem::Lock(const std::string& aPath, Error& aReason)
{
  const int descriptor =
    ::open(aPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (descriptor < 0) {
    FailSystem(aReason, "open", aPath);
    return nullptr;
  }
  auto lock = std::make_unique<PosixLock>(descriptor);
  if (::flock(descriptor, LOCK_EX | LOCK_NB) == 0)
    return lock;
  if (errno == EWOULDBLOCK)
    aReason = { ErrorKind::DataLocked, "another process holds " + aPath };
  else
    FailSystem(aReason, "lock", aPath);
  return nullptr;
}

} // namespace greengage::storage
