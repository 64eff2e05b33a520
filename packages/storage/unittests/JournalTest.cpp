#include "greengage/storage/Journal.h"

#include "MemoryFileSystem.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <filesystem>
#include <functional>

#include <unistd.h>

using namespace greengage;
using namespace greengage::storage;
using namespace greengage::storage::test;

namespace {

const std::string kFirst = "data/journal-00000000000000000001";
const std::string kSecond = "data/journal-00000000000000000002";

JournalOptions
Options(std::size_t aSegmentBytes = 1 << 20)
{
  return { .folder = "data",
           .host = EntryHostId("a"),
           .newFolderId = FolderId(7),
           .segmentBytes = aSegmentBytes };
}

Record
MakeRecord(std::uint64_t aIndex)
{
  return { .index = RecordIndex(aIndex),
           .payload = "record " + std::to_string(aIndex) };
}

/// What a journal that loses nothing holds.
struct Model
{
  std::optional<std::string> state;
  std::optional<SnapshotImage> snapshot;
  std::vector<Record> records;

  std::uint64_t Last() const
  {
    if (!records.empty())
      return records.back().index.Value();
    return snapshot ? snapshot->index.Value() : 0;
  }
  void Apply(const Batch& aBatch)
  {
    if (aBatch.truncateFrom)
      std::erase_if(records, [&](const Record& aRecord) {
        return aRecord.index >= *aBatch.truncateFrom;
      });
    if (aBatch.snapshot) {
      snapshot = aBatch.snapshot;
      std::erase_if(records, [&](const Record& aRecord) {
        return aRecord.index <= snapshot->index;
      });
    }
    for (const Record& record : aBatch.records)
      records.push_back(record);
    if (aBatch.state)
      state = aBatch.state;
  }
  bool Equals(const Recovered& aRecovered) const
  {
    return state == aRecovered.state && snapshot == aRecovered.snapshot &&
           records == aRecovered.records;
  }
};

/// A random batch that may follow \p aModel.
Batch
DrawBatch(const Model& aModel, std::mt19937_64& aRandom)
{
  const auto draw = [&](std::uint64_t aLeast, std::uint64_t aMost) {
    return std::uniform_int_distribution(aLeast, aMost)(aRandom);
  };
  Batch batch;
  std::uint64_t last = aModel.Last();
  const std::uint64_t base =
    aModel.snapshot ? aModel.snapshot->index.Value() : 0;
  if (last > base && draw(0, 5) == 0) {
    batch.truncateFrom = RecordIndex(draw(base + 1, last));
    last = batch.truncateFrom->Value() - 1;
  }
  if (draw(0, 7) == 0) {
    // Of this log, or of another host that is ahead.
    const bool isAhead = draw(0, 2) == 0;
    const std::uint64_t index = isAhead ? last + draw(1, 9) : draw(base, last);
    batch.snapshot = { .index = RecordIndex(index),
                       .data = std::string(draw(0, 90), 's') };
    if (index == 0)
      batch.snapshot.reset();
    else
      last = std::max(last, index);
  }
  for (std::uint64_t count = draw(0, 4); count > 0; --count)
    batch.records.push_back(MakeRecord(++last));
  if (draw(0, 2) == 0)
    batch.state = "state " + std::to_string(draw(0, 999));
  return batch;
}

/// What a crash may leave while \p aBatch is written to \p aModel: all or
/// nothing, but for the steps before and after a snapshot.
std::vector<Model>
StagesOf(const Model& aModel, const Batch& aBatch)
{
  std::vector<Model> stages{ aModel };
  Model stage = aModel;
  if (aBatch.snapshot) {
    stage.Apply({ .truncateFrom = aBatch.truncateFrom });
    stages.push_back(stage);
    stage.Apply({ .snapshot = aBatch.snapshot });
    stages.push_back(stage);
  }
  stages.push_back(aModel);
  stages.back().Apply(aBatch);
  return stages;
}

/// The one of \p aModels that \p aRecovered equals; fails if there is none.
Model
Allowed(const std::vector<Model>& aModels, const Recovered& aRecovered)
{
  for (const Model& model : aModels)
    if (model.Equals(aRecovered))
      return model;
  FAIL("recovered what was never written, or lost what counted");
  return {};
}

} // namespace

TEST_CASE("what was written comes back after each clean restart")
{
  MemoryFileSystem files;
  Error reason;
  Recovered recovered;
  Model model;
  std::mt19937_64 random(1);
  bool isFirst = true;
  for (int start = 0; start < 200; ++start) {
    const auto journal = Journal::Open(Options(400), files, recovered, reason);
    REQUIRE(journal);
    CHECK(recovered.isNew == isFirst);
    CHECK(recovered.folderId == FolderId(7));
    CHECK(recovered.cutBytes == 0);
    REQUIRE(model.Equals(recovered));
    isFirst = false;
    for (int count = 0; count < 5; ++count) {
      const Batch batch = DrawBatch(model, random);
      REQUIRE(journal->Write(batch, reason));
      model.Apply(batch);
    }
  }
}

TEST_CASE("a crash or a failed operation loses no batch that counted")
{
  std::size_t cuts = 0;
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    MemoryFileSystem files;
    Error reason;
    Recovered recovered;
    Model model;
    std::vector<Model> allowed{ model };
    for (int start = 0; start < 4; ++start) {
      CAPTURE(start);
      files.failingOperation = files.operations + random() % 60;
      if (random() % 4 == 0)
        files.bytesLeft = random() % 900;
      auto journal = Journal::Open(Options(300), files, recovered, reason);
      if (journal) {
        model = Allowed(allowed, recovered);
        for (int count = 0; count < 12 && !journal->HasFailed(); ++count) {
          const Batch batch = DrawBatch(model, random);
          allowed = StagesOf(model, batch);
          if (journal->Write(batch, reason)) {
            model = allowed.back();
            allowed = { model };
          }
        }
      } else {
        // Only the injected fault is a reason.
        REQUIRE(reason.kind == ErrorKind::StorageFailed);
      }
      journal.reset();
      files.Crash(random);
      journal = Journal::Open(Options(300), files, recovered, reason);
      INFO(reason.detail);
      REQUIRE(journal);
      cuts += recovered.cutBytes > 0 ? 1 : 0;
      allowed = { Allowed(allowed, recovered) };
    }
  }
  CHECK(cuts > 100);
}

TEST_CASE("damage is refused by its kind, and only a torn tail is cut")
{
  struct Case
  {
    const char* name;
    std::function<void(MemoryFileSystem&)> damage;
    ErrorKind kind;
  };
  const auto flip = [](const std::string& aPath, std::size_t aFromEnd) {
    return [=](MemoryFileSystem& aFiles) {
      std::string& content = aFiles.Content(aPath);
      content[content.size() - aFromEnd] ^= 1;
    };
  };
  const auto flipAt = [](const std::string& aPath, std::size_t aAt) {
    return [=](MemoryFileSystem& aFiles) { aFiles.Content(aPath)[aAt] ^= 1; };
  };
  const auto erase = [](const std::string& aPath) {
    return [=](MemoryFileSystem& aFiles) { aFiles.Erase(aPath); };
  };
  const auto cut = [](const std::string& aPath, std::size_t aBytes) {
    return [=](MemoryFileSystem& aFiles) {
      std::string& content = aFiles.Content(aPath);
      content.resize(content.size() - aBytes);
    };
  };
  const std::string snapshot = "data/snapshot-00000000000000000002";
  const std::string third = "data/journal-00000000000000000003";
  const Case cases[] = {
    { "nothing", [](MemoryFileSystem&) {}, ErrorKind::None },
    { "torn tail", cut(third, 3), ErrorKind::None },
    { "half a frame header", cut(third, 40), ErrorKind::None },
    { "size of a middle frame", flipAt(third, 24), ErrorKind::DataCorrupt },
    { "sizes checksum", flipAt(third, 33), ErrorKind::DataCorrupt },
    { "middle of the last file", flipAt(third, 60), ErrorKind::DataCorrupt },
    { "end of an earlier file", flip(kFirst, 1), ErrorKind::DataCorrupt },
    { "torn earlier file", cut(kFirst, 3), ErrorKind::DataCorrupt },
    { "header of a file", flipAt(third, 17), ErrorKind::DataCorrupt },
    { "lost file in the middle", erase(kSecond), ErrorKind::DataCorrupt },
    { "lost snapshot", erase(snapshot), ErrorKind::DataCorrupt },
    { "damaged snapshot", flip(snapshot, 1), ErrorKind::DataCorrupt },
    { "lost identity", erase("data/identity"), ErrorKind::DataCorrupt },
    { "damaged identity", flip("data/identity", 1), ErrorKind::DataCorrupt },
  };
  for (const Case& item : cases) {
    CAPTURE(item.name);
    MemoryFileSystem files;
    Error reason;
    Recovered recovered;
    auto journal = Journal::Open(Options(170), files, recovered, reason);
    REQUIRE(journal);
    for (std::uint64_t index = 1; index <= 2; ++index)
      REQUIRE(journal->Write({ .records = { MakeRecord(index) } }, reason));
    // Record 3 keeps the first file, from which the snapshot starts the next.
    REQUIRE(journal->Write({ .records = { MakeRecord(3) } }, reason));
    REQUIRE(journal->Write(
      { .snapshot = SnapshotImage{ RecordIndex(2), "snapshot" } }, reason));
    std::uint64_t index = 3;
    while (!files.Has(third) || files.Content(third).size() < 130)
      REQUIRE(journal->Write({ .records = { MakeRecord(++index) } }, reason));
    journal.reset();
    item.damage(files);
    journal = Journal::Open(Options(170), files, recovered, reason);
    REQUIRE((journal != nullptr) == (item.kind == ErrorKind::None));
    if (!journal)
      CHECK(reason.kind == item.kind);
  }
}

TEST_CASE("each damaged byte of a synced record is noticed")
{
  MemoryFileSystem files;
  Error reason;
  Recovered recovered;
  auto journal = Journal::Open(Options(), files, recovered, reason);
  for (std::uint64_t index = 1; index <= 3; ++index)
    REQUIRE(journal->Write({ .records = { MakeRecord(index) } }, reason));
  journal.reset();
  std::string& content = files.Content(kFirst);
  // All but the last frame, which can't be told from an unfinished one.
  const std::size_t frame = (content.size() - 24) / 3;
  for (std::size_t at = 0; at < content.size() - frame; ++at) {
    CAPTURE(at);
    content[at] ^= 0x10;
    const auto opened = Journal::Open(Options(), files, recovered, reason);
    REQUIRE_FALSE(opened);
    CHECK(reason.kind == ErrorKind::DataCorrupt);
    content[at] ^= 0x10;
  }
}

TEST_CASE("after a failed write all are refused and no sync is tried again")
{
  struct Case
  {
    const char* name;
    std::function<void(MemoryFileSystem&)> fault;
  };
  const Case cases[] = {
    { "append fails",
      [](MemoryFileSystem& aFiles) {
        aFiles.failingOperation = aFiles.operations;
      } },
    { "sync fails",
      [](MemoryFileSystem& aFiles) {
        aFiles.failingOperation = aFiles.operations + 1;
      } },
    { "disk is full", [](MemoryFileSystem& aFiles) { aFiles.bytesLeft = 10; } },
  };
  for (const Case& item : cases) {
    CAPTURE(item.name);
    MemoryFileSystem files;
    Error reason;
    Recovered recovered;
    auto journal = Journal::Open(Options(), files, recovered, reason);
    REQUIRE(journal->Write({ .records = { MakeRecord(1) } }, reason));
    item.fault(files);
    CHECK_FALSE(journal->Write({ .records = { MakeRecord(2) } }, reason));
    CHECK(reason.kind == ErrorKind::StorageFailed);
    files.bytesLeft = 1000;
    const std::size_t syncs = files.syncs;
    CHECK_FALSE(journal->Write({ .records = { MakeRecord(2) } }, reason));
    CHECK(reason.kind == ErrorKind::StorageFailed);
    CHECK(files.syncs == syncs);
  }
}

/// Writes \p aBatch to a disk that fails now and then, and repairs the journal
/// until the batch is written.
static void
WriteThroughFaults(Journal& aJournal,
                   MemoryFileSystem& aFiles,
                   const Batch& aBatch,
                   std::mt19937_64& aRandom)
{
  Error reason;
  if (aRandom() % 3 == 0)
    aFiles.failingOperation = aFiles.operations + aRandom() % 8;
  if (aRandom() % 3 == 0)
    aFiles.bytesLeft = aRandom() % 120;
  const std::uint64_t fullAttempts = aRandom() % 6;
  for (std::uint64_t attempt = 0; !aJournal.Write(aBatch, reason); ++attempt) {
    REQUIRE(attempt < 20);
    REQUIRE(reason.kind == ErrorKind::StorageFailed);
    while (!aJournal.Repair(reason))
      REQUIRE(reason.kind == ErrorKind::StorageFailed);
    if (attempt >= fullAttempts)
      aFiles.bytesLeft = std::numeric_limits<std::size_t>::max();
  }
  aFiles.bytesLeft = std::numeric_limits<std::size_t>::max();
}

TEST_CASE("a journal whose disk was full for a while takes writes again")
{
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    MemoryFileSystem files;
    Error reason;
    Recovered recovered;
    Model model;
    for (int start = 0; start < 3; ++start) {
      auto journal = Journal::Open(Options(300), files, recovered, reason);
      INFO(reason.detail);
      REQUIRE(journal);
      REQUIRE(model.Equals(recovered));
      for (int count = 0; count < 12; ++count) {
        const Batch batch = DrawBatch(model, random);
        WriteThroughFaults(*journal, files, batch, random);
        model.Apply(batch);
      }
      journal.reset();
      files.Crash(random);
    }
  }
}

TEST_CASE("a power loss while the disk is full loses no batch that counted")
{
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    MemoryFileSystem files;
    Error reason;
    Recovered recovered;
    Model model;
    auto journal = Journal::Open(Options(300), files, recovered, reason);
    for (int count = 0; count < 8; ++count) {
      const Batch batch = DrawBatch(model, random);
      REQUIRE(journal->Write(batch, reason));
      model.Apply(batch);
    }
    const Batch batch = DrawBatch(model, random);
    files.bytesLeft = random() % 120;
    bool isWritten = journal->Write(batch, reason);
    for (int attempt = 0; attempt < 3 && !isWritten; ++attempt) {
      REQUIRE(journal->Repair(reason));
      isWritten = journal->Write(batch, reason);
    }
    const std::vector<Model> stages = StagesOf(model, batch);
    journal.reset();
    files.Crash(random);
    journal = Journal::Open(Options(300), files, recovered, reason);
    INFO(reason.detail);
    REQUIRE(journal);
    Allowed(isWritten ? std::vector<Model>{ stages.back() } : stages,
            recovered);
  }
}

TEST_CASE("what a journal recovers after a kill survives a power loss")
{
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    MemoryFileSystem files;
    Error reason;
    Recovered recovered;
    Model model;
    std::vector<Model> allowed{ model };
    // The process is killed in front of this operation.
    files.failingOperation = random() % 60;
    auto journal = Journal::Open(Options(300), files, recovered, reason);
    while (journal && !journal->HasFailed()) {
      const Batch batch = DrawBatch(model, random);
      allowed = StagesOf(model, batch);
      if (journal->Write(batch, reason))
        model = allowed.back();
    }
    journal.reset();
    journal = Journal::Open(Options(300), files, recovered, reason);
    INFO(reason.detail);
    REQUIRE(journal);
    model = Allowed(allowed, recovered);
    journal.reset();
    files.Crash(random);
    journal = Journal::Open(Options(300), files, recovered, reason);
    REQUIRE(journal);
    CHECK(model.Equals(recovered));
  }
}

TEST_CASE("a journal is not repaired in a folder that was replaced")
{
  MemoryFileSystem files;
  Error reason;
  Recovered recovered;
  auto journal = Journal::Open(Options(), files, recovered, reason);
  files.bytesLeft = 0;
  CHECK_FALSE(journal->Write({ .records = { MakeRecord(1) } }, reason));
  files.bytesLeft = std::numeric_limits<std::size_t>::max();
  files.Erase("data/identity");
  CHECK_FALSE(journal->Repair(reason));
  JournalOptions other = Options();
  other.folder = "other";
  other.newFolderId = FolderId(8);
  MemoryFileSystem otherFiles;
  REQUIRE(Journal::Open(other, otherFiles, recovered, reason));
  auto file = files.Open("data/identity", true, reason);
  REQUIRE(file->Append(otherFiles.Content("other/identity"), reason));
  CHECK_FALSE(journal->Repair(reason));
  CHECK(reason.kind == ErrorKind::DataCorrupt);
  CHECK_FALSE(journal->Write({ .records = { MakeRecord(1) } }, reason));
}

TEST_CASE("a data folder is for one process and one host")
{
  MemoryFileSystem files;
  Error reason;
  Recovered recovered;
  auto journal = Journal::Open(Options(), files, recovered, reason);
  CHECK_FALSE(Journal::Open(Options(), files, recovered, reason));
  CHECK(reason.kind == ErrorKind::DataLocked);
  journal.reset();
  JournalOptions other = Options();
  other.host = EntryHostId("b");
  CHECK_FALSE(Journal::Open(other, files, recovered, reason));
  CHECK(reason.kind == ErrorKind::InvalidSetting);
}

TEST_CASE("snapshots keep the folder small")
{
  MemoryFileSystem files;
  Error reason;
  Recovered recovered;
  const auto journal = Journal::Open(Options(500), files, recovered, reason);
  for (std::uint64_t index = 1; index <= 1000; ++index) {
    REQUIRE(journal->Write({ .records = { MakeRecord(index) } }, reason));
    if (index % 50 == 0)
      REQUIRE(journal->Write(
        { .snapshot = SnapshotImage{ RecordIndex(index), "s" } }, reason));
  }
  const auto names = files.List("data", reason);
  // The identity, one snapshot and one journal file.
  CHECK(names->size() == 3);
}

TEST_CASE("real files: lock, restart time and a folder that vanished")
{
  const std::string base = std::filesystem::temp_directory_path().string() +
                           "/greengage-journal-" + std::to_string(::getpid());
  JournalOptions options = Options();
  options.folder = base + "/sub/data";
  PosixFileSystem files;
  Error reason;
  Recovered recovered;
  auto journal = Journal::Open(options, files, recovered, reason);
  INFO(reason.detail);
  REQUIRE(journal);
  CHECK_FALSE(Journal::Open(options, files, recovered, reason));
  CHECK(reason.kind == ErrorKind::DataLocked);
  constexpr std::uint64_t kRecords = 5000;
  constexpr std::uint64_t kPerBatch = 50;
  for (std::uint64_t index = 1; index <= kRecords; index += kPerBatch) {
    Batch batch;
    for (std::uint64_t at = index; at < index + kPerBatch; ++at)
      batch.records.push_back(MakeRecord(at));
    REQUIRE(journal->Write(batch, reason));
  }
  journal.reset();
  const auto start = std::chrono::steady_clock::now();
  journal = Journal::Open(options, files, recovered, reason);
  const auto took = std::chrono::steady_clock::now() - start;
  REQUIRE(journal);
  CHECK(recovered.records.size() == kRecords);
  CHECK(took < std::chrono::seconds(1));
  std::filesystem::remove_all(base);
  CHECK_FALSE(
    journal->Write({ .records = { MakeRecord(kRecords + 1) } }, reason));
  CHECK(reason.kind == ErrorKind::StorageFailed);
}

namespace {

/// Files of this machine whose operations on a folder or on one payload fail.
class FaultyFileSystem final : public PosixFileSystem
{
public:
  static constexpr std::size_t kNever = std::numeric_limits<std::size_t>::max();

  std::unique_ptr<File> Open(const std::string& aPath,
                             bool aIsNew,
                             Error& aReason) override
  {
    auto file = PosixFileSystem::Open(aPath, aIsNew, aReason);
    if (!file)
      return nullptr;
    return std::make_unique<FaultyFile>(*this, std::move(file));
  }
  bool SyncFolder(const std::string& aFolder, Error& aReason) override
  {
    if (folderSyncs++ != failingFolderSync)
      return PosixFileSystem::SyncFolder(aFolder, aReason);
    aReason = { ErrorKind::StorageFailed, "injected" };
    return false;
  }

  /// The folder sync of this number, counted from 0, fails.
  std::size_t failingFolderSync = kNever;
  std::size_t folderSyncs = 0;
  /// What holds this text finds no room; nothing if empty.
  std::string refusedText;

private:
  class FaultyFile final : public File
  {
  public:
    FaultyFile(FaultyFileSystem& aFiles, std::unique_ptr<File> aFile)
      : files_(aFiles)
      , file_(std::move(aFile))
    {
    }
    bool Append(std::string_view aBytes, Error& aReason) override
    {
      if (files_.refusedText.empty() ||
          aBytes.find(files_.refusedText) == std::string_view::npos)
        return file_->Append(aBytes, aReason);
      aReason = { ErrorKind::StorageFull, "no space left on device" };
      return false;
    }
    bool Sync(Error& aReason) override { return file_->Sync(aReason); }

  private:
    FaultyFileSystem& files_;
    std::unique_ptr<File> file_;
  };
};

/// A journal of 20 records in several segments, in a folder of this machine.
class RealJournal
{
public:
  RealJournal()
  {
    options_.folder = folder;
    std::filesystem::remove_all(folder);
    Open();
    for (std::uint64_t index = 1; index <= 20; ++index)
      REQUIRE(journal->Write({ .records = { MakeRecord(index) } }, reason));
  }
  ~RealJournal()
  {
    journal.reset();
    std::filesystem::remove_all(folder);
  }
  RealJournal(const RealJournal&) = delete;
  RealJournal& operator=(const RealJournal&) = delete;

  void Open()
  {
    journal.reset();
    journal = Journal::Open(options_, files, recovered, reason);
    INFO(reason.detail);
    REQUIRE(journal);
  }
  /// \returns whether the batch is written within \p aAttempts.
  bool Write(const Batch& aBatch, int aAttempts)
  {
    for (int attempt = 0; attempt < aAttempts; ++attempt)
      if (journal->Repair(reason) && journal->Write(aBatch, reason))
        return true;
    return false;
  }

  const std::string folder = std::filesystem::temp_directory_path().string() +
                             "/greengage-faulty-" + std::to_string(::getpid());
  FaultyFileSystem files;
  Error reason;
  Recovered recovered;
  std::unique_ptr<Journal> journal;

private:
  JournalOptions options_ = Options(150);
};

} // namespace

TEST_CASE("a journal takes writes again after one sync of its folder failed")
{
  for (std::size_t failing = 0; failing < 8; ++failing) {
    CAPTURE(failing);
    RealJournal real;
    real.files.failingFolderSync = real.files.folderSyncs + failing;
    const Batch batch{ .snapshot = SnapshotImage{ RecordIndex(20), "snapshot" },
                       .records = { MakeRecord(21) } };
    const bool isWritten = real.Write(batch, 10);
    INFO(real.reason.detail);
    CHECK(isWritten);
    real.Open();
    CHECK(real.recovered.snapshot == batch.snapshot);
    CHECK(real.recovered.records == batch.records);
  }
}

TEST_CASE("attempts to write to a full disk use no more of it")
{
  RealJournal real;
  const Batch batch{ .snapshot = SnapshotImage{ RecordIndex(20), "snapshot" },
                     .records = { MakeRecord(21) } };
  real.files.refusedText = MakeRecord(21).payload;
  REQUIRE_FALSE(real.Write(batch, 1));
  const auto before = real.files.List(real.folder, real.reason);
  REQUIRE_FALSE(real.Write(batch, 40));
  const auto after = real.files.List(real.folder, real.reason);
  CHECK(after->size() <= before->size());
  real.files.refusedText.clear();
  REQUIRE(real.Write(batch, 1));
  // The lock, the identity, one snapshot and one journal file.
  CHECK(real.files.List(real.folder, real.reason)->size() == 4);
}

TEST_CASE("a journal that lost synced bytes is not repaired")
{
  MemoryFileSystem files;
  Error reason;
  Recovered recovered;
  auto journal = Journal::Open(Options(), files, recovered, reason);
  for (std::uint64_t index = 1; index <= 3; ++index)
    REQUIRE(journal->Write({ .records = { MakeRecord(index) } }, reason));
  files.bytesLeft = 0;
  REQUIRE_FALSE(journal->Write({ .records = { MakeRecord(4) } }, reason));
  files.bytesLeft = std::numeric_limits<std::size_t>::max();
  std::string& content = files.Content(kFirst);
  content.resize(content.size() - 10);
  CHECK_FALSE(journal->Repair(reason));
  CHECK(reason.kind == ErrorKind::DataCorrupt);
}

TEST_CASE("what an unfinished snapshot left goes with the next one")
{
  for (std::size_t failing = 0; failing < 20; ++failing) {
    CAPTURE(failing);
    MemoryFileSystem files;
    Error reason;
    Recovered recovered;
    std::mt19937_64 random(1);
    auto journal = Journal::Open(Options(), files, recovered, reason);
    REQUIRE(
      journal->Write({ .records = { MakeRecord(1), MakeRecord(2) } }, reason));
    REQUIRE(journal->Write(
      { .snapshot = SnapshotImage{ RecordIndex(1), "one" } }, reason));
    files.failingOperation = files.operations + failing;
    journal->Write({ .snapshot = SnapshotImage{ RecordIndex(2), "two" } },
                   reason);
    journal.reset();
    files.failingOperation = std::numeric_limits<std::size_t>::max();
    journal = Journal::Open(Options(), files, recovered, reason);
    REQUIRE(journal);
    REQUIRE(journal->Write(
      { .snapshot = SnapshotImage{ RecordIndex(3), "three" } }, reason));
    // The identity, one snapshot and one journal file.
    CHECK(files.List("data", reason)->size() == 3);
  }
}

TEST_CASE("what a journal recovered survives a loss of power after that")
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    MemoryFileSystem files;
    Error reason;
    Recovered recovered;
    auto journal = Journal::Open(Options(), files, recovered, reason);
    REQUIRE(journal->Write({ .records = { MakeRecord(1) } }, reason));
    // The sync fails, and the process ends before the repair.
    files.failingOperation = files.operations + 1;
    REQUIRE_FALSE(journal->Write(
      { .records = { MakeRecord(2) }, .state = "vote" }, reason));
    journal.reset();
    journal = Journal::Open(Options(), files, recovered, reason);
    REQUIRE(journal);
    const Model counted{ .state = recovered.state,
                         .snapshot = recovered.snapshot,
                         .records = recovered.records };
    journal.reset();
    files.Crash(random);
    journal = Journal::Open(Options(), files, recovered, reason);
    INFO(reason.detail);
    REQUIRE(journal);
    CHECK(counted.Equals(recovered));
  }
}

TEST_CASE("a write after a restart survives whatever failed before it")
{
  for (std::size_t failing = 0; failing < 14; ++failing) {
    CAPTURE(failing);
    std::mt19937_64 random(1);
    MemoryFileSystem files;
    Error reason;
    Recovered recovered;
    auto journal = Journal::Open(Options(100), files, recovered, reason);
    std::uint64_t last = 0;
    while (files.Content(kFirst).size() < 60)
      REQUIRE(journal->Write({ .records = { MakeRecord(++last) } }, reason));
    // These two fill the first file and start the second one.
    files.failingOperation = files.operations + failing;
    for (int count = 0; count < 2 && !journal->HasFailed(); ++count)
      journal->Write({ .records = { MakeRecord(++last) } }, reason);
    // The process ends, and another one goes on with what is there.
    journal.reset();
    files.failingOperation = std::numeric_limits<std::size_t>::max();
    journal = Journal::Open(Options(100), files, recovered, reason);
    REQUIRE(journal);
    Model counted{ .state = recovered.state,
                   .snapshot = recovered.snapshot,
                   .records = recovered.records };
    const Batch batch{ .records = { MakeRecord(counted.Last() + 1) } };
    REQUIRE(journal->Write(batch, reason));
    counted.Apply(batch);
    journal.reset();
    files.Crash(random);
    journal = Journal::Open(Options(100), files, recovered, reason);
    INFO(reason.detail);
    CHECK(journal);
    CHECK((journal && counted.Equals(recovered)));
  }
}

TEST_CASE("a process that ends while its disk is full opens its journal again")
{
  for (std::size_t left = 0; left < 300; left += 4) {
    CAPTURE(left);
    MemoryFileSystem files;
    Error reason;
    Recovered recovered;
    auto journal = Journal::Open(Options(120), files, recovered, reason);
    for (std::uint64_t index = 1; index <= 3; ++index)
      REQUIRE(journal->Write(
        { .records = { MakeRecord(index) }, .state = "vote" }, reason));
    files.bytesLeft = left;
    const std::string data(60, 's');
    journal->Write({ .snapshot = SnapshotImage{ RecordIndex(3), data },
                     .records = { MakeRecord(4) } },
                   reason);
    journal.reset();
    files.bytesLeft = 0;
    journal = Journal::Open(Options(120), files, recovered, reason);
    INFO(reason.detail);
    CHECK(journal);
  }
}

TEST_CASE("a power loss between any two attempts loses no batch that counted")
{
  constexpr std::size_t kNever = std::numeric_limits<std::size_t>::max();
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    MemoryFileSystem files;
    Error reason;
    Recovered recovered;
    Model model;
    auto journal = Journal::Open(Options(300), files, recovered, reason);
    for (int count = 0; count < 25; ++count) {
      const Batch batch = DrawBatch(model, random);
      const std::vector<Model> stages = StagesOf(model, batch);
      bool isWritten = false;
      do {
        files.failingOperation =
          random() % 3 != 0 ? files.operations + random() % 30 : kNever;
        files.bytesLeft = random() % 2 != 0 ? random() % 500 : kNever;
        isWritten = journal->Repair(reason) && journal->Write(batch, reason);
      } while (!isWritten && random() % 5 != 0);
      files.failingOperation = kNever;
      files.bytesLeft = kNever;
      if (isWritten && random() % 4 != 0) {
        model = stages.back();
        continue;
      }
      journal.reset();
      files.Crash(random);
      journal = Journal::Open(Options(300), files, recovered, reason);
      INFO(reason.detail);
      REQUIRE(journal);
      model = Allowed(isWritten ? std::vector<Model>{ stages.back() } : stages,
                      recovered);
    }
  }
}

TEST_CASE("a write without space on the disk is told from other failures")
{
  PosixFileSystem files;
  Error reason;
  const auto file = files.Open("/dev/full", false, reason);
  REQUIRE(file);
  CHECK_FALSE(file->Append("bytes", reason));
  CHECK(reason.kind == ErrorKind::StorageFull);
  CHECK_FALSE(files.Read("/dev/null/missing", reason));
  CHECK(reason.kind == ErrorKind::StorageFailed);
}
