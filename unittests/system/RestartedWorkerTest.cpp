// Calls that are meant for a worker's former incarnation and reach the next one
// at the same address, with real processes.

#include "review/standins-2/Fleet.h"

#include "greengage/core/Units.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

using namespace greengage;
using kit::Json;

namespace {

constexpr int kWorkers = 7;
/// Of the first incarnations, on whose clocks leases are reckoned.
constexpr Duration kAge = Duration::Seconds(14);
constexpr Duration kUpTime = Duration::Seconds(2);
constexpr Duration kDownTime(100);
constexpr Duration kHeartbeatDelay(2500);
/// The settings of the kit grant workers no longer lease.
constexpr Duration kMaxLease = Duration::Seconds(10);
constexpr Duration kWorkTime = Duration::Seconds(30);
/// After it a scene counts as not set up, or a task as not started.
constexpr Duration kPatience = Duration::Seconds(30);
constexpr const char* kQueue = "/puxa400/";
constexpr const char* kJob = "/puxa400/5c0e7a21d94b36f8";

/// A run by the record of its worker, in steady milliseconds.
struct Run
{
  std::string worker;
  Time startedAt;
  std::optional<Time> endedAt;
  std::string outcome;
  /// The worker had sent a heartbeat, so that its incarnation was known.
  bool isAfterHeartbeat = false;
};

/// Where the kit finds the daemon, and a folder for the record.
class ScratchFolder
{
public:
  ScratchFolder()
    : formerFolder_(std::filesystem::current_path())
  {
    char folder[] = "/tmp/restarted-worker-XXXXXX";
    folder_ = mkdtemp(folder);
    std::filesystem::create_directories(folder_ / "target/tools");
    std::filesystem::create_directory_symlink(
      std::filesystem::path(GREENGAGED).parent_path(),
      folder_ / "target/tools/greengaged");
    std::filesystem::current_path(folder_);
    setenv("RECORD", (folder_ / "record.txt").c_str(), 1);
  }
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;
  ~ScratchFolder()
  {
    std::error_code ignored;
    std::filesystem::current_path(formerFolder_, ignored);
    if (std::getenv("KEEP") == nullptr)
      std::filesystem::remove_all(folder_, ignored);
    else
      std::cout << "record: " << folder_.string() << "/record.txt\n";
  }
  std::string Record() const { return folder_ / "record.txt"; }
  std::string PartitionMark() const { return folder_ / "partitioned"; }

private:
  std::filesystem::path formerFolder_;
  std::filesystem::path folder_;
};

/// Idle workers that have restarted under their ids and have not sent their
/// next heartbeat.
class Fixture
{
public:
  Fixture()
  {
    if (!scene_.Start(kit::Configuration(
          1, { "balanca" }, { { "r-1", kQueue, "balanca", 3 } })))
      FAIL("scene not set up: the deployment did not start");
    StartWorkers({ "--age-ms=" + std::to_string(kAge.Millis()) });
    AwaitLines("first-hold", kWorkers, "workers are not held");
    Sleep(kUpTime);
  }

  /// Restarts all workers and submits a long task. The worker that starts it
  /// is partitioned as \p aPartition says.
  void RestartAndSubmit(const std::string& aPartition)
  {
    for (auto& worker : workers_)
      worker->Kill();
    Sleep(kDownTime);
    const Time restartedAt = Now();
    StartWorkers(
      { "--heartbeat-delay-ms=" + std::to_string(kHeartbeatDelay.Millis()),
        "--partition=" + aPartition,
        "--partition-mark=" + folder_.PartitionMark() });
    AwaitLines("up", 2 * kWorkers, "workers are not up again");
    submittedAt_ = Now();
    const Json step{ { "count", 1 },
                     { "cpu", 500 },
                     { "mem-mb", 256 },
                     { "est-ms", kWorkTime.Millis() } };
    if (!scene_.Submit(kJob,
                       { { "spec", std::to_string(kWorkTime.Millis()) },
                         { "steps", Json::array({ step }) } }))
      FAIL("scene not set up: the job was not accepted");
    if (Now() >= restartedAt + kHeartbeatDelay)
      FAIL("scene not set up: the job was accepted after the heartbeats");
    if (!AwaitRuns(
          [](const std::vector<Run>& aRuns) { return !aRuns.empty(); }))
      FAIL("the task was not started; its job is " << scene_.StateOf(kJob));
  }

  void KillLeader()
  {
    const int leader = scene_.deployment.Leader();
    if (leader < 0)
      FAIL("scene not set up: no control host leads");
    scene_.deployment.controls[static_cast<std::size_t>(leader)]->Kill();
    scene_.Note("leader killed");
  }

  /// Waits until the partitioned run has ended and the task runs again.
  void AwaitRestart()
  {
    if (!AwaitRuns([](const std::vector<Run>& aRuns) {
          return aRuns.size() > 1 && aRuns.front().endedAt;
        }))
      FAIL_CHECK("the task was not started again; its job is "
                 << scene_.StateOf(kJob));
  }

  /// Watches the task for as long as any lease that was granted at its first
  /// start may last.
  void AwaitLeases() { Sleep(kMaxLease + Duration::Seconds(2)); }

  /// No two runs of the task at the same time.
  void CheckRuns()
  {
    const std::vector<Run> runs = Runs();
    const Duration overlap = LongestOverlap(runs);
    std::cout << Describe(runs) << "; longest overlap " << overlap.Millis()
              << "\n";
    for (const std::string& line : scene_.Lines())
      UNSCOPED_INFO(line);
    CHECK(overlap.Millis() == 0);
  }

private:
  static Time Now() { return Time(kit::SteadyMillis()); }
  static void Sleep(Duration aSpan) { kit::Sleep(aSpan.Millis()); }

  void StartWorkers(const std::vector<std::string>& aMore)
  {
    workers_.clear();
    for (int index = 0; index < kWorkers; ++index) {
      const std::string id = "i-" + std::to_string(index);
      std::vector<std::string> command{
        STANDIN_WORKER,
        "--id=" + id,
        "--service=balanca",
        "--rack=r1-" + std::to_string(index),
        "--endpoint=" + scene_.deployment.Worker(index).Text(),
        "--control=" + scene_.deployment.ControlList(),
        "--record=" + folder_.Record()
      };
      command.insert(command.end(), aMore.begin(), aMore.end());
      workers_.push_back(std::make_unique<kit::Process>(
        command,
        std::map<std::string, std::string>{},
        scene_.deployment.Folder() + "/" + id + ".log"));
    }
  }

  void AwaitLines(const std::string& aWord,
                  std::size_t aCount,
                  const std::string& aFailure) const
  {
    const Time until = Now() + kPatience;
    while (scene_.CountLines(" " + aWord) < aCount) {
      if (Now() > until)
        FAIL("scene not set up: " + aFailure);
      Sleep(Duration(20));
    }
  }

  template<typename Predicate>
  bool AwaitRuns(Predicate aPredicate) const
  {
    const Time until = Now() + kPatience;
    while (!aPredicate(Runs())) {
      if (Now() > until)
        return false;
      Sleep(Duration(10));
    }
    return true;
  }

  /// The runs in the order of their starts.
  std::vector<Run> Runs() const
  {
    std::vector<Run> runs;
    std::map<std::string, bool> hasSentHeartbeat;
    for (const std::string& line : scene_.Lines()) {
      std::istringstream words(line);
      std::int64_t at = 0;
      std::string worker;
      std::string what;
      std::string task;
      std::string attempt;
      std::string how;
      std::int64_t late = 0;
      words >> at >> worker >> what >> task >> attempt >> how >> late;
      if (what == "up")
        hasSentHeartbeat[worker] = false;
      else if (what == "first-heartbeat")
        hasSentHeartbeat[worker] = true;
      else if (what == "start")
        runs.push_back({ .worker = worker,
                         .startedAt = Time(at),
                         .endedAt = std::nullopt,
                         .outcome = "runs",
                         .isAfterHeartbeat = hasSentHeartbeat[worker] });
      else if (what == "end")
        for (Run& run : runs)
          if (run.worker == worker && !run.endedAt) {
            run.endedAt = Time(at - late);
            run.outcome = how;
          }
    }
    return runs;
  }

  /// The longest time for which two of the runs went on side by side.
  static Duration LongestOverlap(const std::vector<Run>& aRuns)
  {
    const Time now = Now();
    Duration longest(0);
    for (std::size_t next = 1; next < aRuns.size(); ++next)
      for (std::size_t first = 0; first < next; ++first) {
        const Time until = std::min(aRuns[first].endedAt.value_or(now),
                                    aRuns[next].endedAt.value_or(now));
        longest = std::max(longest, until - aRuns[next].startedAt);
      }
    return longest;
  }

  std::string Describe(const std::vector<Run>& aRuns) const
  {
    std::ostringstream text;
    text << "ms from the submission, of " << aRuns.size() << " runs:";
    for (const Run& run : aRuns) {
      text << " [" << run.worker
           << (run.isAfterHeartbeat ? " " : " before its heartbeat ")
           << (run.startedAt - submittedAt_).Millis() << " to ";
      if (run.endedAt)
        text << (*run.endedAt - submittedAt_).Millis() << " ";
      text << run.outcome << "]";
    }
    return text.str();
  }

  ScratchFolder folder_;
  kit::Scene scene_;
  std::vector<std::unique_ptr<kit::Process>> workers_;
  Time submittedAt_;
};

} // namespace

TEST_CASE_METHOD(
  Fixture,
  "a start for a former incarnation does not run on the next one "
  "beside another start (processes)")
{
  const std::string partition =
    GENERATE(as<std::string>(), "after-answer", "before-answer");
  CAPTURE(partition);
  RestartAndSubmit(partition);
  AwaitRestart();
  CheckRuns();
}

TEST_CASE_METHOD(
  Fixture,
  "a start for a former incarnation does not run on the next one "
  "beside that of a new leader (processes)")
{
  RestartAndSubmit("after-answer");
  KillLeader();
  AwaitRestart();
  CheckRuns();
}

TEST_CASE_METHOD(
  Fixture,
  "a task submitted before restarted workers report has one run at a time "
  "(processes)")
{
  RestartAndSubmit("never");
  AwaitLeases();
  CheckRuns();
}
