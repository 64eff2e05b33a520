#include "greengage/storage/Journal.h"

#include <benchmark/benchmark.h>

#include <filesystem>

#include <unistd.h>

using namespace greengage;
using namespace greengage::storage;

namespace {

constexpr std::size_t kRecordBytes = 200;

/// A data folder that goes with its owner.
class Folder
{
public:
  Folder()
    : path_(std::filesystem::temp_directory_path() /
            ("greengage-bench-" + std::to_string(::getpid())))
  {
    std::filesystem::remove_all(path_);
  }
  ~Folder() { std::filesystem::remove_all(path_); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  JournalOptions Options() const
  {
    return { .folder = path_.string(),
             .host = EntryHostId("a"),
             .newFolderId = FolderId(1) };
  }

private:
  std::filesystem::path path_;
};

Batch
MakeBatch(std::uint64_t aFirst, std::int64_t aCount)
{
  Batch batch;
  for (std::int64_t at = 0; at < aCount; ++at)
    batch.records.push_back(
      { .index = RecordIndex(aFirst + static_cast<std::uint64_t>(at)),
        .payload = std::string(kRecordBytes, 'r') });
  return batch;
}

void
BenchAppendAndSync(benchmark::State& aState)
{
  const Folder folder;
  PosixFileSystem files;
  Error reason;
  Recovered recovered;
  const auto journal =
    Journal::Open(folder.Options(), files, recovered, reason);
  std::uint64_t next = 1;
  for (auto _ : aState) {
    if (!journal->Write(MakeBatch(next, aState.range(0)), reason))
      aState.SkipWithError(reason.detail.c_str());
    next += static_cast<std::uint64_t>(aState.range(0));
  }
  aState.SetItemsProcessed(static_cast<std::int64_t>(next - 1));
}
BENCHMARK(BenchAppendAndSync)->ArgName("group")->Arg(1)->Arg(16)->UseRealTime();

void
BenchReplay(benchmark::State& aState)
{
  const Folder folder;
  PosixFileSystem files;
  Error reason;
  Recovered recovered;
  const std::int64_t records = aState.range(0);
  Journal::Open(folder.Options(), files, recovered, reason)
    ->Write(MakeBatch(1, records), reason);
  for (auto _ : aState) {
    const auto journal =
      Journal::Open(folder.Options(), files, recovered, reason);
    if (recovered.records.size() != static_cast<std::size_t>(records))
      aState.SkipWithError("records were lost");
  }
  aState.SetItemsProcessed(aState.iterations() * records);
}
BENCHMARK(BenchReplay)
  ->ArgName("records")
  ->Arg(1000)
  ->Arg(10000)
  ->UseRealTime();

} // namespace
