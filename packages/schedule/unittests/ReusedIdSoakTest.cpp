// Random faults around workers that restart under their ids, whose former
// incarnation the leader still takes for the one at the address.

#include "SimulatedFleet.h"

#include <catch2/catch.hpp>

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace greengage;
using namespace greengage::schedule;

namespace {

constexpr std::uint64_t kWorkerCount = 6;
constexpr int kRounds = 25;
/// Long enough for the clock of a new incarnation to be ahead of that of the
/// former one.
constexpr Duration kMaxInitialClock = Duration::Seconds(20);
constexpr Duration kMinLongRunTime = Duration::Seconds(10);
constexpr Duration kMaxLongRunTime = Duration::Seconds(30);
/// Partitions last longer than our leases and, most of them, longer than the
/// longest lease of a worker.
constexpr Duration kMinPartition = Duration::Seconds(9);
constexpr Duration kMaxPartition = Duration::Seconds(15);

/// How long an unanswered call may still be executed.
constexpr Duration kMaxDeliveryDelay = Duration::Seconds(15);
/// The longest lease of a worker, on a clock that is 2 % slow.
constexpr Duration kMaxHold = Duration(10200);
/// Urgent work starts within this time.
constexpr Duration kMaxStartTime = Duration(1100);
/// A task that is left without faults waits for the calls that may still be
/// executed and the lease of the last of them, starts and runs.
constexpr Duration kMaxCompletionTime =
  kMaxDeliveryDelay + kMaxHold + kMaxStartTime + kMaxLongRunTime;
/// A job may be given up if one of its tasks has crashed this many workers.
constexpr std::uint32_t kMinCrashesToFail = 2;

class Soak : public SimulatedFleet
{
public:
  explicit Soak(std::uint64_t aSeed)
    : SimulatedFleet(aSeed)
    , draws_(aSeed)
  {
    // Long enough that no job is rejected for load.
    reader.objective = Duration::Seconds(600);
    statesIncarnationOnlyInLists = Draw(2) == 0;
    maxInitialClock = Draw(2) == 0 ? kMaxInitialClock : Duration(0);
    Run(Duration(200));
    for (std::uint64_t number = 1; number <= kWorkerCount; ++number) {
      workerIds_.push_back("w" + std::to_string(number));
      AddWorker(workerIds_.back());
    }
    Run(Duration(500));
    Submit({ { .count = 2,
               .request = { MilliCores(500), Mebibytes(256), {} },
               .maxPerWorker = 1,
               .isPersistent = true } });
    Run(DrawDuration(Duration(0), kMaxInitialClock));
  }
  void PlayRound()
  {
    switch (Draw(12)) {
      case 0:
      case 1:
      case 2:
      case 3:
        PartitionStarterAfterRestart();
        break;
      case 4:
      case 5:
        PartitionShortlyAfterRestart();
        break;
      case 6:
        Partition(DrawWorker());
        break;
      case 7:
        BlockSomeTraffic();
        break;
      case 8:
        ChangeLeaderSomehow();
        break;
      case 9:
        faults.lostReplyPercent = static_cast<int>(Draw(20));
        break;
      case 10:
        CancelOne();
        break;
      default:
        SubmitOne();
        break;
    }
    Run(DrawDuration(Duration(0), Duration::Seconds(4)));
    faults.lostReplyPercent = 0;
    DropEnded();
    SortViolations();
  }
  /// Lets the jobs end without further faults.
  void Finish()
  {
    faults = {};
    Run(kMaxPartition);
    RunUntil(
      [&] {
        DropEnded();
        return live_.empty();
      },
      kMaxCompletionTime);
    SortViolations();
  }
  /// Persistent tasks that have not run for too long.
  const std::vector<std::string>& LateRestarts() const { return lateRestarts_; }
  /// All other violations.
  const std::vector<std::string>& OtherViolations() const
  {
    return otherViolations_;
  }
  /// The accepted jobs that should have completed and have not.
  const std::vector<jobs::JobId>& UnfinishedJobs() const { return live_; }

private:
  std::uint64_t Draw(std::uint64_t aCount) { return draws_() % aCount; }
  Duration DrawDuration(Duration aFrom, Duration aTo)
  {
    const auto span = static_cast<std::uint64_t>((aTo - aFrom).Millis());
    return aFrom + Duration(static_cast<std::int64_t>(Draw(span)));
  }
  const std::string& DrawWorker() { return workerIds_[Draw(kWorkerCount)]; }

  /// Restarts a worker; its next incarnation may be unregistered for a while.
  void Restart(const std::string& aWorker, Duration aDownTime)
  {
    if (!IsUp(aWorker))
      return;
    if (Draw(4) != 0)
      BlockHeartbeats(
        aWorker, aDownTime + DrawDuration(Duration(0), Duration::Seconds(4)));
    CrashWorker(aWorker, aDownTime);
  }
  void Partition(const std::string& aWorker)
  {
    if (IsUp(aWorker))
      PartitionWorker(aWorker, DrawDuration(kMinPartition, kMaxPartition));
  }
  /// Restarts some workers, submits a task and partitions the worker that
  /// starts it. The leader may change at any time in between.
  void PartitionStarterAfterRestart()
  {
    const Duration downTime = DrawDuration(Duration(50), Duration::Seconds(1));
    const bool restartsAll = Draw(2) == 0;
    for (const std::string& worker : workerIds_)
      if (restartsAll || Draw(2) == 0)
        Restart(worker, downTime);
    MaybeChangeLeader();
    Run(downTime + DrawDuration(Duration(0), Duration(300)));
    MaybeChangeLeader();
    if (Draw(3) == 0)
      faults.lostReplyPercent = Draw(2) == 0 ? 100 : 30;
    const jobs::JobId job = SubmitOne();
    MaybeChangeLeader();
    if (RunUntil([&] { return HasRun(job); }, Duration::Seconds(5))) {
      const std::vector<std::string> starters = WorkersWithRunsOf(job);
      MaybeChangeLeader();
      if (Draw(2) == 0)
        Run(DrawDuration(Duration(0), Duration(600)));
      for (const std::string& worker : starters)
        Partition(worker);
    }
    faults.lostReplyPercent = 0;
    if (Draw(2) == 0)
      Run(DrawDuration(Duration(0), Duration::Seconds(2)));
    MaybeChangeLeader();
  }
  void PartitionShortlyAfterRestart()
  {
    const std::string& worker = DrawWorker();
    const Duration downTime = DrawDuration(Duration(50), Duration::Seconds(1));
    Restart(worker, downTime);
    Run(downTime);
    SubmitOne();
    MaybeChangeLeader();
    Run(DrawDuration(Duration(200), Duration::Seconds(1)));
    Partition(worker);
    MaybeChangeLeader();
  }
  void BlockSomeTraffic()
  {
    const std::string& worker = DrawWorker();
    const Duration span = DrawDuration(Duration(0), kMaxPartition);
    if (Draw(2) == 0)
      BlockCalls(worker, span);
    else
      BlockHeartbeats(worker, span);
  }
  void MaybeChangeLeader()
  {
    if (Draw(6) == 0)
      ChangeLeaderSomehow();
  }
  void ChangeLeaderSomehow()
  {
    switch (Draw(4)) {
      case 0:
        ChangeLeader();
        break;
      case 1:
        ChangeLeader(DrawDuration(Duration(0), Duration::Seconds(3)));
        break;
      case 2:
        RestartControlHosts();
        break;
      default:
        RestartLeadership();
        break;
    }
  }
  /// Submits a job of one long task or of some short ones.
  jobs::JobId SubmitOne()
  {
    const bool isLong = Draw(3) != 0;
    const Duration runTime = isLong
                               ? DrawDuration(kMinLongRunTime, kMaxLongRunTime)
                               : DrawDuration(Duration(100), Duration(800));
    const auto count = static_cast<std::uint32_t>(isLong ? 1 : 1 + Draw(3));
    const jobs::JobId job =
      Submit({ { .count = count,
                 .request = { MilliCores(500), Mebibytes(256), {} },
                 .estimate = runTime } },
             { .runTime = runTime });
    Run(Duration(15));
    if (LastReply() != nullptr &&
        std::holds_alternative<Accepted>(*LastReply()))
      live_.push_back(job);
    return job;
  }
  void CancelOne()
  {
    if (live_.empty())
      return;
    const auto position =
      live_.begin() + static_cast<std::ptrdiff_t>(Draw(live_.size()));
    Cancel(*position);
    live_.erase(position);
  }
  /// Drops the jobs that have ended as they should; ended jobs are forgotten
  /// after a while.
  void DropEnded()
  {
    std::erase_if(live_, [&](jobs::JobId aJob) {
      const auto state = QueryState(aJob);
      return state == JobProgress::Completed ||
             (state == JobProgress::Failed &&
              MaxCrashes(aJob) >= kMinCrashesToFail);
    });
  }

  /// Takes the violations out of the fleet, which keeps only the first few.
  void SortViolations()
  {
    for (std::string& violation : violations) {
      const bool isLateRestart =
        violation.find("has not run for") != std::string::npos;
      auto& kind = isLateRestart ? lateRestarts_ : otherViolations_;
      kind.push_back(std::move(violation));
    }
    violations.clear();
  }

  std::mt19937_64 draws_;
  std::vector<std::string> workerIds_;
  /// Accepted jobs that have not been cancelled or seen to have ended.
  std::vector<jobs::JobId> live_;
  std::vector<std::string> lateRestarts_;
  std::vector<std::string> otherViolations_;
};

} // namespace

/// Plays the seeds, each in a fleet of its own, and passes each fleet to
/// \p aCheck.
template<typename Check>
static void
PlaySeeds(const Check& aCheck)
{
  const auto [first, last] = SeedRange();
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    INFO("seed " << seed);
    Soak soak(seed);
    for (int round = 0; round < kRounds; ++round)
      soak.PlayRound();
    soak.Finish();
    aCheck(soak);
  }
}

TEST_CASE("no task runs twice at a time while workers come back under their "
          "ids and are cut off")
{
  PlaySeeds([](const Soak& aSoak) {
    CAPTURE(aSoak.OtherViolations());
    CHECK(aSoak.OtherViolations().empty());
  });
}

TEST_CASE("jobs complete and persistent tasks restart in time while workers "
          "come back under their ids and are cut off")
{
  PlaySeeds([](const Soak& aSoak) {
    for (const jobs::JobId job : aSoak.UnfinishedJobs())
      FAIL_CHECK("job " << ToString(job) << " has not completed");
    CAPTURE(aSoak.LateRestarts());
    CHECK(aSoak.LateRestarts().empty());
  });
}
