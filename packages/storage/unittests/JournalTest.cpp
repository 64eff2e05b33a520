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
