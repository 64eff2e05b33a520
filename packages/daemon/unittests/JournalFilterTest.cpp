#include "../lib/filters/JournalFilter.h"

#include "FullDisk.h"

#include "greengage/pipe/Duty.h"
#include "greengage/wire/LogRecord.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <string>
#include <vector>

#include <unistd.h>

using namespace greengage;
using namespace greengage::daemon::detail;

namespace {

/// Keeps the reports to the replica.
class ReportList final : public pipe::Pipe<ConsensusInput>
{
public:
  bool Push(ConsensusInput&& aInput) override
  {
    return TryPush(std::move(aInput));
  }
  bool TryPush(ConsensusInput&& aInput) override
  {
    if (isFull)
      return false;
    inputs.push_back(std::move(aInput));
    if (const auto* event = std::get_if<consensus::Event>(&inputs.back()))
      durable.push_back(std::get<consensus::Persisted>(*event).id.Value());
    return true;
  }
  std::vector<ConsensusInput> inputs;
  std::vector<std::uint64_t> durable;
  bool isFull = false;
};

struct TemporaryFolder
{
  TemporaryFolder()
    : path(std::filesystem::temp_directory_path() /
           ("journal-filter-" + std::to_string(getpid())))
  {
    std::filesystem::remove_all(path);
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
  std::filesystem::path path;
};

} // namespace

static std::unique_ptr<storage::Journal>
OpenJournal(const TemporaryFolder& aFolder,
            storage::FileSystem& aFiles,
            storage::Recovered& aRecovered)
{
  Error reason;
  auto journal = storage::Journal::Open({ .folder = aFolder.path.string(),
                                          .host = EntryHostId("a"),
                                          .newFolderId = storage::FolderId(1) },
                                        aFiles,
                                        aRecovered,
                                        reason);
  REQUIRE(journal);
  return journal;
}

static consensus::Persist
PersistEntry(std::uint64_t aNumber)
{
  consensus::Persist persist{ .id = consensus::PersistId(aNumber),
                              .hardState = std::nullopt,
                              .snapshot = nullptr,
                              .truncateFrom = std::nullopt,
                              .firstIndex = state::LogIndex(aNumber),
                              .entries = {} };
  persist.entries.push_back({ .term = consensus::Term(1),
                              .kind = consensus::EntryKind::Command,
                              .command = "command " + std::to_string(aNumber),
                              .members = {} });
  return persist;
}

static std::vector<std::string>
Commands(const storage::Recovered& aRecovered)
{
  std::vector<std::string> commands;
  Error reason;
  for (const storage::Record& record : aRecovered.records) {
    const auto entry = wire::DecodeEntry(record.payload, reason);
    REQUIRE(entry);
    commands.push_back(entry->command);
  }
  return commands;
}

/// Has a journal filter handle writes that wait in its ring.
/// \returns the ids that it reported as durable.
static std::vector<std::uint64_t>
WriteQueued(const TemporaryFolder& aFolder,
            const std::vector<consensus::Persist>& aWrites)
{
  const BootClock clock;
  storage::PosixFileSystem files;
  storage::Recovered recovered;
  const auto journal = OpenJournal(aFolder, files, recovered);
  ReportList reports;
  JournalFilter filter(*journal, reports);
  pipe::Duty<consensus::Persist> duty({ .name = "journal", .capacity = 16 },
                                      clock);
  for (const consensus::Persist& write : aWrites)
    REQUIRE(duty.TryPush(consensus::Persist(write)));
  duty.Start(filter);
  duty.Stop();
  return reports.durable;
}

static std::vector<std::string>
ReadCommands(const TemporaryFolder& aFolder)
{
  storage::PosixFileSystem files;
  storage::Recovered recovered;
  OpenJournal(aFolder, files, recovered);
  return Commands(recovered);
}

TEST_CASE("writes that queue for the disk become durable with one sync")
{
  const TemporaryFolder folder;
  std::vector<consensus::Persist> writes;
  for (std::uint64_t number = 1; number <= 10; ++number)
    writes.push_back(PersistEntry(number));
  // One report follows each sync.
  REQUIRE(WriteQueued(folder, writes) == std::vector<std::uint64_t>{ 10 });
  const std::vector<std::string> commands = ReadCommands(folder);
  REQUIRE(commands.size() == 10);
  REQUIRE(commands.back() == "command 10");
}

TEST_CASE("a write that truncates the log is not merged with earlier ones")
{
  const TemporaryFolder folder;
  std::vector<consensus::Persist> writes;
  for (std::uint64_t number = 1; number <= 3; ++number)
    writes.push_back(PersistEntry(number));
  writes.push_back(PersistEntry(2));
  writes.back().id = consensus::PersistId(4);
  writes.back().truncateFrom = state::LogIndex(2);
  writes.back().entries.front().command = "replaced";
  REQUIRE(WriteQueued(folder, writes).back() == 4);
  REQUIRE(ReadCommands(folder) ==
          std::vector<std::string>{ "command 1", "replaced" });
}

TEST_CASE("writes that a full disk refused become durable once it has room")
{
  const TemporaryFolder folder;
  test::FullDisk disk;
  storage::Recovered recovered;
  auto journal = OpenJournal(folder, disk, recovered);
  ReportList reports;
  JournalFilter filter(*journal, reports);
  const auto write = [&](const consensus::Persist& aPersist, Time aNow) {
    filter.Accept(consensus::Persist(aPersist), aNow);
    filter.OnBatchEnd(aNow);
  };
  Time now(1000);
  write(PersistEntry(1), now);
  disk.isFull = true;
  write(PersistEntry(2), now);
  REQUIRE(reports.inputs.size() == 2);
  CHECK(std::holds_alternative<JournalFailed>(reports.inputs.back()));
  // What was on its way to the journal waits behind the refused write.
  consensus::Persist replaced = PersistEntry(2);
  replaced.id = consensus::PersistId(3);
  replaced.truncateFrom = state::LogIndex(2);
  replaced.entries.front().command = "replaced";
  write(replaced, now);
  for (int attempt = 0; attempt < 3; ++attempt) {
    REQUIRE(filter.NextTimer());
    now = *filter.NextTimer();
    filter.OnTimer(now);
  }
  CHECK(reports.inputs.size() == 2);
  CHECK(disk.refusedWrites == 4);

  disk.isFull = false;
  now = *filter.NextTimer();
  reports.isFull = true;
  filter.OnTimer(now);
  reports.isFull = false;
  REQUIRE(filter.NextTimer());
  filter.OnTimer(*filter.NextTimer());
  REQUIRE(reports.inputs.size() == 4);
  CHECK(std::holds_alternative<JournalRepaired>(reports.inputs[2]));
  CHECK(reports.durable == std::vector<std::uint64_t>{ 1, 3 });
  CHECK_FALSE(filter.NextTimer());
  journal.reset();
  CHECK(ReadCommands(folder) ==
        std::vector<std::string>{ "command 1", "replaced" });
}
