#include "../lib/ConsensusStage.h"
#include "../lib/sources/PeerSource.h"

#include "FullDisk.h"

#include "greengage/peer/Links.h"
#include "greengage/pipe/IoDuty.h"
#include "greengage/support/FreePort.h"

#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <condition_variable>
#include <filesystem>
#include <future>
#include <mutex>

#include <unistd.h>

using namespace greengage;
using namespace greengage::daemon;
using namespace greengage::daemon::detail;

namespace {

constexpr std::chrono::seconds kPatience(15);

/// Keeps all commands in their order.
class ListMachine final : public state::StateMachine
{
public:
  std::string Apply(state::LogIndex /*aIndex*/,
                    std::string_view aCommand) override
  {
    if (aCommand.empty())
      return {};
    const std::lock_guard lock(mutex_);
    list_ += std::string(aCommand) + ";";
    changed_.notify_all();
    return "applied " + std::string(aCommand);
  }
  std::string Snapshot() const override
  {
    const std::lock_guard lock(mutex_);
    return list_;
  }
  bool Restore(std::string_view aSnapshot, Error& /*aReason*/) override
  {
    const std::lock_guard lock(mutex_);
    list_ = aSnapshot;
    changed_.notify_all();
    return true;
  }
  bool Await(const std::string& aList)
  {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kPatience, [&] { return list_ == aList; });
  }

private:
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::string list_;
};

template<typename Message>
class RingPipe final : public pipe::Pipe<Message>
{
public:
  bool TryPush(Message&& aMessage) override
  {
    return ring.TryPush(std::move(aMessage));
  }
  bool Push(Message&& aMessage) override
  {
    return ring.Push(std::move(aMessage));
  }
  pipe::Ring<Message> ring{ 1024 };
};

/// Drops what another duty would get.
template<typename Message>
class DropPipe final : public pipe::Pipe<Message>
{
public:
  bool TryPush(Message&& /*aMessage*/) override { return true; }
  bool Push(Message&& /*aMessage*/) override { return true; }
};

/// Passes messages on, and notes the end of the leader lease that the sender
/// states while it asks another host to take over.
class HandOverWatch final : public pipe::Pipe<peer::PeerSend>
{
public:
  HandOverWatch(pipe::Pipe<peer::PeerSend>& aNext, const HostState& aState)
    : next_(aNext)
    , state_(aState)
  {
  }
  bool TryPush(peer::PeerSend&& aMessage) override
  {
    const auto* log = std::get_if<wire::LogMessage>(&aMessage.message);
    if (log != nullptr &&
        std::holds_alternative<consensus::TimeoutNow>(log->message))
      leaseEndAtHandOver.set_value(Time(state_.leaderUntil.load()));
    return next_.TryPush(std::move(aMessage));
  }
  bool Push(peer::PeerSend&& aMessage) override
  {
    return TryPush(std::move(aMessage));
  }
  std::promise<Time> leaseEndAtHandOver;

private:
  pipe::Pipe<peer::PeerSend>& next_;
  const HostState& state_;
};

using Addresses = std::vector<peer::PeerAddress>;

/// Links made first, with the stage that they feed behind them.
class StageSlot final : public pipe::Pipe<ConsensusInput>
{
public:
  bool TryPush(ConsensusInput&& aInput) override
  {
    return stage == nullptr || stage->Inlet().TryPush(std::move(aInput));
  }
  bool Push(ConsensusInput&& aInput) override
  {
    return TryPush(std::move(aInput));
  }
  ConsensusStage* stage = nullptr;
};

peer::LinkOptions
LinkOptionsOf(const Addresses& aHosts, std::size_t aSelf)
{
  peer::LinkOptions options{ .self = aHosts[aSelf].id,
                             .availabilityZone = AvailabilityZoneId("z"),
                             .endpoint = aHosts[aSelf].endpoint,
                             .secret = "secret",
                             .peers = {},
                             .heartbeat = Duration(100),
                             .silence = Duration(500),
                             .redial = Duration(50) };
  for (std::size_t at = 0; at < aHosts.size(); ++at)
    if (at != aSelf)
      options.peers.push_back(aHosts[at]);
  return options;
}

/// One entry host as far as the agreed log goes.
class Host
{
public:
  Host(const Addresses& aHosts,
       std::size_t aSelf,
       const std::set<EntryHostId>& aVoters,
       const std::string& aFolder,
       storage::FileSystem& aFiles)
    : state(aHosts[aSelf].id, AvailabilityZoneId("z"))
    , source_(dispatch_, once_, &slot_)
    , links_(duty_, LinkOptionsOf(aHosts, aSelf), clock_, source_)
    , watch(links_.Outbox(), state)
    , stage({ .self = aHosts[aSelf].id,
              .voters = aVoters,
              .dataFolder = aFolder,
              .files = &aFiles },
            clock_,
            machine,
            state,
            watch,
            outcomes)
  {
    Error reason;
    slot_.stage = &stage;
    const bool isOpen = stage.Open(reason) && links_.Start(reason);
    INFO(reason.detail);
    REQUIRE(isOpen);
    stage.Start();
    duty_.Start();
  }
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;
  ~Host()
  {
    stage.Stop();
    duty_.Stop();
  }

  /// Proposes once and waits for the end.
  ProposalEnded Propose(const std::string& aCommand)
  {
    stage.Inlet().Push(consensus::Event(consensus::Propose{
      .id = consensus::ProposalId(1), .command = aCommand }));
    ProposalEnded ended{ .id = {}, .end = consensus::ProposalUnknown{} };
    outcomes.ring.PopFor(ended, Duration::Seconds(10));
    return ended;
  }

  HostState state;
  ListMachine machine;
  RingPipe<ProposalEnded> outcomes;

private:
  BootClock clock_;
  DropPipe<dispatch::Event> dispatch_;
  DropPipe<OnceMessage> once_;
  StageSlot slot_;
  PeerSource source_;
  pipe::IoDuty duty_{ "peers" };
  peer::Links links_;

public:
  HandOverWatch watch;
  ConsensusStage stage;
};

/// Three hosts with disks and one without, over the loopback.
class Fleet
{
public:
  Fleet()
  {
    for (const char* name : { "a", "b", "c", "d" })
      addresses_.push_back(
        { EntryHostId(name), { "127.0.0.1", support::FreePort() } });
    for (std::size_t at = 0; at < addresses_.size(); ++at)
      Start(at);
  }
  ~Fleet()
  {
    hosts.clear();
    std::filesystem::remove_all(base_);
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  void Start(std::size_t aHost)
  {
    const bool hasDisk = aHost != kDiskless;
    hosts[aHost] = std::make_unique<Host>(
      addresses_, aHost, voters_, hasDisk ? FolderOf(aHost) : "", disks[aHost]);
  }
  std::string FolderOf(std::size_t aHost) const
  {
    return base_ + "/" + addresses_[aHost].id.Value();
  }

  /// Proposes until some host has it applied; a command that may have been
  /// committed is not proposed again. \returns the host that leads.
  std::size_t Commit(const std::string& aCommand)
  {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (std::chrono::steady_clock::now() < end) {
      for (auto& [at, host] : hosts) {
        const ProposalEnded ended = host->Propose(aCommand);
        if (const auto* applied = std::get_if<ProposalApplied>(&ended.end)) {
          CHECK(applied->result == "applied " + aCommand);
          list += aCommand + ";";
          return at;
        }
        if (std::holds_alternative<consensus::ProposalUnknown>(ended.end))
          FAIL("leadership was lost in a fleet without faults");
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    FAIL("nobody leads");
    return 0;
  }
  /// Whether the host becomes a voter in time.
  bool Votes(std::size_t aHost)
  {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (std::chrono::steady_clock::now() < end) {
      const std::string text = hosts[aHost]->state.metrics.Serialize();
      if (text.find("greengage_agreed_voter 1") != std::string::npos)
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
  }
  void CheckAll()
  {
    for (auto& [at, host] : hosts) {
      CAPTURE(at, list, host->machine.Snapshot());
      CHECK(host->machine.Await(list));
    }
  }

  static constexpr std::size_t kDiskless = 3;
  /// They outlive the hosts.
  std::array<test::FullDisk, 4> disks;
  std::map<std::size_t, std::unique_ptr<Host>> hosts;
  std::string list;

private:
  std::string base_ = std::filesystem::temp_directory_path().string() +
                      "/greengage-stage-" + std::to_string(::getpid());
  Addresses addresses_;
  const std::set<EntryHostId> voters_{ EntryHostId("a"),
                                       EntryHostId("b"),
                                       EntryHostId("c") };
};

} // namespace

TEST_CASE("what is agreed reaches every host and survives restarts")
{
  Fleet fleet;
  const std::size_t leader = fleet.Commit("one");
  fleet.CheckAll();

  // A planned stop hands over; the host catches up from its own journal.
  fleet.hosts.erase(leader);
  const auto stopped = std::chrono::steady_clock::now();
  fleet.Commit("two");
  CHECK(std::chrono::steady_clock::now() - stopped < std::chrono::seconds(1));
  fleet.Start(leader);
  fleet.CheckAll();

  // All at once: the log is on the disks.
  fleet.hosts.clear();
  for (std::size_t at = 0; at < 4; ++at)
    fleet.Start(at);
  fleet.Commit("three");
  fleet.CheckAll();

  // A host that lost its disk gets all of it again, and votes in time.
  const std::size_t victim = (leader + 1) % 3;
  fleet.hosts.erase(victim);
  std::filesystem::remove_all(fleet.FolderOf(victim));
  fleet.Start(victim);
  fleet.Commit("four");
  fleet.CheckAll();
  CHECK(fleet.Votes(victim));
  fleet.hosts.erase(leader);
  fleet.Commit("five");
  fleet.CheckAll();
}

TEST_CASE("a leader gives its lease up before it asks for its replacement")
{
  Fleet fleet;
  const std::size_t leader = fleet.Commit("one");
  fleet.CheckAll();
  const Time before = BootClock().Now();
  std::future<Time> leaseEnd =
    fleet.hosts[leader]->watch.leaseEndAtHandOver.get_future();
  fleet.hosts[leader]->stage.Stop();
  REQUIRE(leaseEnd.wait_for(kPatience) == std::future_status::ready);
  CHECK(leaseEnd.get() < before);
}

TEST_CASE("a host whose journal fails is silent and says that it isn't ready")
{
  Fleet fleet;
  const std::size_t leader = fleet.Commit("one");
  std::filesystem::remove_all(fleet.FolderOf(leader));
  // The leader's own write fails; the others may have it.
  const ProposalEnded ended = fleet.hosts[leader]->Propose("two");
  CHECK(ended.id == consensus::ProposalId(1));
  CHECK_FALSE(std::holds_alternative<consensus::ProposalRefused>(ended.end));
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (fleet.hosts[leader]->state.isLogHealthy &&
         std::chrono::steady_clock::now() < end)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  CHECK_FALSE(fleet.hosts[leader]->state.isLogHealthy);
  const ProposalEnded refused = fleet.hosts[leader]->Propose("three");
  CHECK(std::holds_alternative<consensus::ProposalRefused>(refused.end));
  fleet.hosts.erase(leader);
  const std::size_t successor = fleet.Commit("four");
  const std::string agreed = fleet.hosts[successor]->machine.Snapshot();
  CHECK((agreed == "one;four;" || agreed == "one;two;four;"));
  fleet.list = agreed;
  fleet.CheckAll();
}

/// Fills the disk of a host for as long as it takes to refuse a write.
static void
FillDiskForOneWrite(Fleet& aFleet, std::size_t aHost, const char* aCommand)
{
  test::FullDisk& disk = aFleet.disks[aHost];
  const std::size_t refused = disk.refusedWrites;
  disk.isFull = true;
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (disk.refusedWrites == refused &&
         std::chrono::steady_clock::now() < end)
    for (auto& [at, host] : aFleet.hosts)
      host->Propose(aCommand);
  REQUIRE(disk.refusedWrites > refused);
  disk.isFull = false;
}

TEST_CASE("control hosts whose disks were full in turn elect a leader again")
{
  Fleet fleet;
  const std::size_t leader = fleet.Commit("one");
  FillDiskForOneWrite(fleet, (leader + 1) % 3, "two");
  FillDiskForOneWrite(fleet, leader, "three");
  // Some of the commands above were committed.
  ProposalEnded ended{ .id = {}, .end = consensus::ProposalUnknown{} };
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (!std::holds_alternative<ProposalApplied>(ended.end) &&
         std::chrono::steady_clock::now() < end)
    for (std::size_t at = 0; at < Fleet::kDiskless; ++at) {
      ended = fleet.hosts[at]->Propose("four");
      if (std::holds_alternative<ProposalApplied>(ended.end)) {
        fleet.list = fleet.hosts[at]->machine.Snapshot();
        break;
      }
    }
  REQUIRE(std::holds_alternative<ProposalApplied>(ended.end));
  fleet.CheckAll();
}
