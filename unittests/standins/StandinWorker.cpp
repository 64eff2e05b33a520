/// \file
/// A stand-in for one life of a platform's worker that may have started again
/// under its id: it runs what it is told to until its lease expires, states its
/// incarnation in lists and heartbeats only, and may be partitioned from the
/// control hosts by its first start.

#include "review/standins-2/Kit.h"

#include "greengage/core/StrongId.h"
#include "greengage/core/Units.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <condition_variable>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

using namespace greengage;
using kit::Json;

/// The longest lease that a worker grants, whatever a call asks for.
static constexpr Duration kMaxLease = Duration::Seconds(10);
static constexpr Duration kMaxLongPoll = Duration::Seconds(2);
static constexpr std::int64_t kMilliCoresInUse = 500;
static constexpr Duration kHeartbeatPeriod(1500);
static constexpr Duration kHeartbeatTimeout = Duration::Seconds(1);

namespace {

using TaskName = StrongId<struct TaskNameTag, std::string>;
using Attempt = StrongId<struct AttemptTag, std::int64_t>;
using Fence = StrongId<struct FenceTag, std::int64_t>;
using EndNumber = StrongId<struct EndNumberTag, std::int64_t>;

enum class Partition
{
  Never,
  AfterAnswer,
  BeforeAnswer
};

struct WorkerOptions
{
  std::string id;
  std::string service;
  std::string rack;
  std::string endpoint;
  std::vector<std::string> controlHosts;
  std::string record;
  /// How long the worker has been up when its process starts.
  std::int64_t ageMillis = 0;
  std::int64_t heartbeatDelayMillis = 0;
  /// When the worker that starts a task is partitioned. It is the one that
  /// creates the folder \p partitionMark.
  Partition partition = Partition::Never;
  std::string partitionMark;
};

struct Run
{
  Attempt attempt;
  Time startedAt;
  Duration work;
  bool isStopped = false;
};

struct End
{
  EndNumber number;
  TaskName task;
  Attempt attempt;
  std::string how;
};

class Worker
{
public:
  explicit Worker(WorkerOptions aOptions)
    : options_(std::move(aOptions))
    , record_(options_.record)
    , clockStart_(kit::SteadyMillis() - options_.ageMillis)
    , incarnation_(kit::UnixMillis() - options_.ageMillis)
  {
  }

  /// Serves calls until the process is killed.
  /// \returns false if the endpoint is in use.
  bool Serve()
  {
    if (!kit::Serve(
          kit::ParseAddress(options_.endpoint),
          [this](const kit::Request& aRequest) { return Handle(aRequest); }))
      return false;
    Note("up");
    std::thread([this] { EndRuns(); }).detach();
    kit::Sleep(options_.heartbeatDelayMillis);
    for (std::int64_t sequence = 1;; ++sequence) {
      SendHeartbeat(sequence);
      kit::Sleep(kHeartbeatPeriod.Millis());
    }
  }

private:
  void Note(const std::string& aWhat) { record_.Write(options_.id, aWhat); }
  /// The clock of this life.
  Time Now() const { return Time(kit::SteadyMillis() - clockStart_); }

  void SendHeartbeat(std::int64_t aSequence)
  {
    {
      const std::lock_guard lock(mutex_);
      if (isPartitioned_)
        return;
    }
    if (aSequence == 1)
      Note("first-heartbeat");
    const Json body{
      { "service", options_.service },
      { "addr", options_.endpoint },
      { "machine", "m-" + options_.id },
      { "zone", "serra-a" },
      { "version", "v1" },
      { "slots", 8 },
      { "state", "ready" },
      { "cold-left-ms", 0 },
      { "capacity", { { "cpu", 16000 }, { "mem-mb", 32768 }, { "gpu", 0 } } },
      { "labels", Json::array({ "a", options_.rack }) },
      { "clock-ms", Now().Millis() },
      { "born", incarnation_ },
      { "seq", aSequence }
    };
    for (const std::string& host : options_.controlHosts) {
      const kit::Response response =
        kit::Call(kit::ParseAddress(host),
                  "POST",
                  "/instances/" + options_.id + "/heartbeat",
                  {},
                  body.dump(),
                  kHeartbeatTimeout.Millis());
      if (response.status >= 200 && response.status < 300)
        return;
    }
  }

  kit::Response Answer(int aStatus, Json aBody = Json::object()) const
  {
    aBody["clock-ms"] = Now().Millis();
    return { .status = aStatus, .body = aBody.dump() };
  }
  kit::Response Refuse(const char* aReason) const
  {
    return Answer(409, { { "reason", aReason } });
  }

  std::optional<kit::Response> Handle(const kit::Request& aRequest)
  {
    std::unique_lock lock(mutex_);
    BlockIfPartitioned(lock);
    const auto expected = aRequest.headers.find("expect-instance");
    if (expected != aRequest.headers.end() && expected->second != options_.id)
      return Answer(421);
    const Json body = Json::parse(aRequest.body, nullptr, false);
    if (!body.is_object())
      return Answer(400);
    const Fence fence(body.value("fence", std::int64_t(0)));
    if (fence < highestFence_)
      return Refuse("fence");
    highestFence_ = fence;
    if (aRequest.path == "/run-start")
      return StartRun(body, lock);
    if (aRequest.path == "/run-stop")
      return StopRun(body);
    if (aRequest.path == "/hold")
      return Hold(body, lock);
    return Answer(404);
  }

  /// Nothing that arrives during a partition is executed or answered.
  void BlockIfPartitioned(std::unique_lock<std::mutex>& aLock)
  {
    partitionEnded_.wait(aLock, [this] { return !isPartitioned_; });
  }

  void ExtendLease(const Json& aBody)
  {
    if (!aBody.contains("until-ms"))
      return;
    const Time until(aBody["until-ms"].get<std::int64_t>());
    leaseEnd_ = std::max(leaseEnd_, std::min(until, Now() + kMaxLease));
  }

  kit::Response StartRun(const Json& aBody, std::unique_lock<std::mutex>& aLock)
  {
    const TaskName task(aBody.value("task", ""));
    const Attempt attempt(aBody.value("attempt", std::int64_t(0)));
    const auto run = runs_.find(task);
    if (run != runs_.end() && run->second.attempt == attempt) {
      ExtendLease(aBody);
      return Answer(200);
    }
    const auto ended = highestEnded_.find(task);
    if (ended != highestEnded_.end() && attempt <= ended->second) {
      ExtendLease(aBody);
      return Refuse("old");
    }
    if (Time(aBody.value("until-ms", std::int64_t(0))) <= Now())
      return Refuse("late");
    ExtendLease(aBody);
    const Duration work(std::stoll(aBody.value("spec", "")));
    runs_[task] = { .attempt = attempt, .startedAt = Now(), .work = work };
    runsChanged_.notify_all();
    Note("start " + task.Value() +
         " attempt=" + std::to_string(attempt.Value()) +
         " lease=" + std::to_string((leaseEnd_ - Now()).Millis()));
    if (ClaimPartition()) {
      isPartitioned_ = true;
      Note("partitioned");
      if (options_.partition == Partition::BeforeAnswer)
        BlockIfPartitioned(aLock);
    }
    return Answer(200);
  }

  bool ClaimPartition() const
  {
    std::error_code ignored;
    return options_.partition != Partition::Never &&
           std::filesystem::create_directory(options_.partitionMark, ignored);
  }

  kit::Response StopRun(const Json& aBody)
  {
    const TaskName task(aBody.value("task", ""));
    const Attempt attempt(aBody.value("attempt", std::int64_t(0)));
    highestEnded_[task] = std::max(highestEnded_[task], attempt);
    const auto run = runs_.find(task);
    if (run != runs_.end() && run->second.attempt <= attempt) {
      run->second.isStopped = true;
      runsChanged_.notify_all();
    }
    return Answer(200);
  }

  kit::Response Hold(const Json& aBody, std::unique_lock<std::mutex>& aLock)
  {
    if (!std::exchange(isHeld_, true))
      Note("first-hold");
    ExtendLease(aBody);
    const EndNumber seen(aBody.value("last-seen", std::int64_t(0)));
    std::erase_if(ends_, [&](const End& aEnd) { return aEnd.number <= seen; });
    const Duration wait =
      std::min(Duration(aBody.value("wait-ms", std::int64_t(0))), kMaxLongPoll);
    runEnded_.wait_for(aLock, std::chrono::milliseconds(wait.Millis()), [this] {
      return !ends_.empty();
    });
    BlockIfPartitioned(aLock);
    Json body{ { "born", incarnation_ },
               { "running", Json::array() },
               { "finished", Json::array() } };
    for (const auto& [task, run] : runs_)
      body["running"].push_back(Json::array({ task.Value(),
                                              run.attempt.Value(),
                                              "",
                                              PercentDone(run),
                                              kMilliCoresInUse }));
    for (const End& end : ends_)
      body["finished"].push_back(Json::array({ end.number.Value(),
                                               end.task.Value(),
                                               end.attempt.Value(),
                                               end.how,
                                               "" }));
    return Answer(200, std::move(body));
  }

  std::int64_t PercentDone(const Run& aRun) const
  {
    const Duration elapsed = Now() - aRun.startedAt;
    return std::min<std::int64_t>(99,
                                  elapsed.Millis() * 100 / aRun.work.Millis());
  }

  /// \returns how a run ends now, or null if it goes on.
  const char* OutcomeOf(const Run& aRun) const
  {
    const Time now = Now();
    if (aRun.isStopped)
      return "stopped";
    if (now > leaseEnd_)
      return "lapsed";
    return now >= aRun.startedAt + aRun.work ? "done" : nullptr;
  }

  void EndRuns()
  {
    std::unique_lock lock(mutex_);
    for (;;) {
      EndDueRuns();
      if (runs_.empty()) {
        runsChanged_.wait(lock);
        continue;
      }
      Time next = leaseEnd_ + Duration(1);
      for (const auto& [task, run] : runs_)
        next = std::min(next, run.startedAt + run.work);
      const Duration wait = next - Now();
      runsChanged_.wait_for(lock, std::chrono::milliseconds(wait.Millis()));
    }
  }

  void EndDueRuns()
  {
    std::erase_if(runs_, [this](const auto& aEntry) {
      const auto& [task, run] = aEntry;
      const char* how = OutcomeOf(run);
      if (how == nullptr)
        return false;
      lastEnd_ = EndNumber(lastEnd_.Value() + 1);
      ends_.push_back({ .number = lastEnd_,
                        .task = task,
                        .attempt = run.attempt,
                        .how = how });
      highestEnded_[task] = std::max(highestEnded_[task], run.attempt);
      // The process may have been suspended when the lease expired.
      const Duration late =
        std::max(Now() - leaseEnd_ - Duration(1), Duration(0));
      Note("end " + task.Value() +
           " attempt=" + std::to_string(run.attempt.Value()) + " " + how + " " +
           std::to_string(late.Millis()));
      runEnded_.notify_all();
      return true;
    });
  }

  const WorkerOptions options_;
  kit::Record record_;
  /// When the clock of this life showed 0, in steady milliseconds.
  const std::int64_t clockStart_;
  const std::int64_t incarnation_;

  std::mutex mutex_;
  std::condition_variable runsChanged_;
  std::condition_variable runEnded_;
  /// Never notified: a partition lasts for the rest of the life.
  std::condition_variable partitionEnded_;
  bool isPartitioned_ = false;
  bool isHeld_ = false;
  Fence highestFence_;
  Time leaseEnd_;
  std::map<TaskName, Run> runs_;
  /// The highest attempt that was stopped or has ended.
  std::map<TaskName, Attempt> highestEnded_;
  std::vector<End> ends_;
  EndNumber lastEnd_;
};

} // namespace

int
main(int aCount, char** aWords)
{
  std::signal(SIGPIPE, SIG_IGN);
  WorkerOptions options;
  CLI::App app("Stands in for a worker of the platform");
  app.add_option("--id", options.id)->required();
  app.add_option("--service", options.service)->required();
  app.add_option("--rack", options.rack)->required();
  app.add_option("--endpoint", options.endpoint)->required();
  app.add_option("--control", options.controlHosts)->delimiter(',')->required();
  app.add_option("--record", options.record)->required();
  app.add_option("--age-ms", options.ageMillis);
  app.add_option("--heartbeat-delay-ms", options.heartbeatDelayMillis);
  app.add_option("--partition", options.partition)
    ->transform(CLI::CheckedTransformer(std::map<std::string, Partition>{
      { "never", Partition::Never },
      { "after-answer", Partition::AfterAnswer },
      { "before-answer", Partition::BeforeAnswer } }));
  app.add_option("--partition-mark", options.partitionMark);
  CLI11_PARSE(app, aCount, aWords);
  Worker worker(std::move(options));
  if (!worker.Serve()) {
    std::cerr << "endpoint is in use\n";
    return 1;
  }
  return 0;
}
