/// \file
/// The scenes of the third review's scripts. Words: the scene, and the file for
/// the record.

#include "kit.hh"

#include <iostream>

using namespace kit3;

namespace {

constexpr int kWorkers = 8;
constexpr const char* kPrefix = "/puxa400/";

std::string
JobPath(int aNumber)
{
  char digits[17];
  std::snprintf(digits, sizeof(digits), "5c0e7a21d94b%04x", aNumber);
  return std::string(kPrefix) + digits;
}

std::string
TaskOf(const std::string& aJobPath)
{
  return aJobPath.substr(std::string(kPrefix).size()) + ".0.0.0";
}

/// Workers of one service, four to a rack; the first may be of another kind.
class Service
{
public:
  Service(const Deployment& aDeployment,
          const std::string& aFirstKind,
          const Worker::WorkOf& aWorkOf,
          int aCount = kWorkers)
  {
    for (int i = 0; i < aCount; ++i) {
      Worker::Options options;
      options.id = "i-" + std::to_string(i);
      options.machine = "m-" + std::to_string(i);
      options.service = "balanca";
      options.rack = "r1-" + std::to_string(i / 4);
      options.kind = i == 0 ? aFirstKind : "a";
      options.address = aDeployment.Worker(i);
      for (int control = 0; control < Deployment::kControls; ++control)
        options.controls.push_back(aDeployment.Control(control));
      workers_.push_back(std::make_unique<Worker>(options, aWorkOf));
      workers_.back()->Start();
    }
    for (auto& worker : workers_)
      if (!Await([&] { return worker->IsRegistered(); }, 10000))
        CannotRun("a worker's heartbeat was not acknowledged");
  }
  Worker& At(int aIndex) { return *workers_.at(aIndex); }
  /// \returns the worker that runs the work unit; null if none does.
  Worker* RunnerOf(const std::string& aTask)
  {
    for (auto& worker : workers_)
      if (worker->AgeOf(aTask))
        return worker.get();
    return nullptr;
  }

  std::set<std::string> RunnersOf(const std::string& aTask)
  {
    std::set<std::string> runners;
    for (auto& worker : workers_)
      if (worker->AgeOf(aTask))
        runners.insert(worker->Id());
    return runners;
  }

  bool HasBegun(const std::string& aTask)
  {
    bool hasBegun = false;
    for (auto& worker : workers_)
      hasBegun = hasBegun || worker->HasBegun(aTask);
    return hasBegun;
  }

private:
  std::vector<std::unique_ptr<Worker>> workers_;
};

/// A worker crashes, comes back under its id, and is lost for good soon after:
/// a work unit that lasts has to be at work again in time.
bool
LostAfterRestart()
{
  constexpr Millis kDown = 1000;
  /// 6 s after its last run, and 3 s of calm.
  constexpr Millis kBound = 9000;
  Deployment deployment;
  deployment.Start(Configuration(
    1, { "balanca" }, Json::array({ Queue("r-1", kPrefix, "balanca", 3) })));
  Service service(deployment, "a", [](const std::string&) {
    return std::optional<Millis>();
  });
  Client client(deployment);
  Sleep(3000);
  Worker& lost = service.At(0);
  if (HasTrouble()) {
    lost.Crash();
    Sleep(kDown);
    lost.Start();
    if (!Await([&] { return lost.IsRegistered(); }, 5000))
      CannotRun("the worker's heartbeat was not acknowledged");
  }
  for (int job = 0; job < kWorkers; ++job)
    client.Submit(JobPath(job),
                  { { "spec", "x" },
                    { "steps",
                      Json::array({ { { "count", 1 },
                                      { "cpu", 10000 },
                                      { "mem-mb", 1300 },
                                      { "est-ms", 1000 },
                                      { "persistent", true } } }) } });
  const auto runOn = [&](Worker& aWorker) {
    for (int job = 0; job < kWorkers; ++job)
      if (aWorker.AgeOf(TaskOf(JobPath(job))))
        return job;
    return -1;
  };
  if (!Await(
        [&] {
          for (int i = 0; i < kWorkers; ++i)
            if (runOn(service.At(i)) < 0)
              return false;
          return true;
        },
        10000))
    CannotRun("the work units don't run on one worker each");
  // Room for the work unit on three other workers.
  for (int i = 1; i <= 3; ++i)
    client.Cancel(JobPath(runOn(service.At(i))));
  if (!Await(
        [&] {
          for (int i = 1; i <= 3; ++i)
            if (runOn(service.At(i)) >= 0)
              return false;
          return true;
        },
        5000))
    CannotRun("cancelled work units were not stopped");
  const std::string path = JobPath(runOn(lost));
  const std::string task = TaskOf(path);
  Sleep(300);
  const Millis lostAt = SteadyMillis();
  if (!HasTrouble()) {
    Sleep(kBound);
    return service.RunnerOf(task) == nullptr;
  }
  lost.Crash();
  if (!Await([&] { return service.RunnerOf(task) != nullptr; }, 30000)) {
    Note("the work unit did not begin again within 30 s");
    return true;
  }
  const Millis away = SteadyMillis() - lostAt;
  Note("the work unit " + task + " was away for " + std::to_string(away) +
       " ms; 9000 are allowed");
  return away > kBound;
}

/// A worker crashes as a start reaches it. Its next life is registered, hangs,
/// and is lost for good: a work unit that lasts has to be at work again in
/// time.
bool
LostAfterRegistration()
{
  constexpr Millis kDown = 300;
  constexpr Millis kUp = 1000;
  /// 6 s after its last run, and 3 s; 4 s of calm before these have passed.
  constexpr Millis kBound = 9000;
  /// Of which one is 0.1.
  constexpr int kTen = 10;
  Deployment deployment;
  deployment.Start(Configuration(
    1, { "balanca" }, Json::array({ Queue("r-1", kPrefix, "balanca", 3) })));
  Service service(
    deployment,
    "a",
    [](const std::string&) { return std::optional<Millis>(); },
    kTen);
  Client client(deployment);
  Sleep(3000);
  for (int i = 0; i < kTen && HasTrouble(); ++i)
    service.At(i).HangAtNextStart();
  const std::string path = JobPath(1);
  const std::string task = TaskOf(path);
  client.Submit(path,
                { { "spec", "x" },
                  { "steps",
                    Json::array({ { { "count", 1 },
                                    { "cpu", 880 },
                                    { "mem-mb", 1300 },
                                    { "est-ms", 1000 },
                                    { "persistent", true } } }) } });
  if (!Await([&] { return service.RunnerOf(task) != nullptr; }, 10000))
    CannotRun("the work unit was not begun");
  if (!HasTrouble()) {
    Sleep(kBound);
    return service.RunnerOf(task) == nullptr;
  }
  Worker& lost = *service.RunnerOf(task);
  for (int i = 0; i < kTen; ++i)
    service.At(i).CancelHang();
  lost.Crash();
  lost.AnswerNothing();
  Sleep(kDown);
  lost.Start();
  if (!Await([&] { return lost.IsRegistered(); }, 5000))
    CannotRun("the heartbeat of the next life was not acknowledged");
  Note("the heartbeat of the next life was acknowledged");
  Sleep(kUp);
  lost.Crash();
  const Millis lostAt = SteadyMillis();
  const bool isBack =
    Await([&] { return service.RunnerOf(task) != nullptr; }, 40000);
  Note(isBack ? "the work unit was begun again " +
                  std::to_string(SteadyMillis() - lostAt) +
                  " ms after the loss; 9000 are allowed"
              : "the work unit was not begun again within 40 s");
  return SteadyMillis() - lostAt > kBound;
}

/// An entry host is killed while calls that it relayed wait for two control
/// hosts that are frozen, and starts again. Its next calls get the answers.
bool
ForeignReplies()
{
  constexpr int kCalls = 8;
  /// Of those in which the entry host was not ready in time.
  constexpr int kTries = 5;
  constexpr Millis kFreeze = 860;
  /// With the control hosts 19 machines, of which two are less than 0.11.
  constexpr int kEntries = 16;
  Deployment deployment(/*aHasPlatform=*/false, kEntries);
  deployment.Start(Configuration(
    1, { "balanca" }, Json::array({ Queue("r-1", kPrefix, "balanca", 3) })));
  Service service(deployment, "a", [](const std::string&) { return 300; });
  const Address entry = deployment.Entry(0);
  const auto call =
    [&](const char* aMethod, int aJob, const std::string& aBody) {
      const Response response =
        Call(entry, aMethod, JobPath(aJob), kHost, aBody, 3000);
      Note(
        std::string(aMethod) + " " + JobPath(aJob) + " -> " +
        (response.status == 0 ? "no answer" : std::to_string(response.status)));
      return response.status;
    };
  const Json submission{ { "spec", "x" },
                         { "steps",
                           Json::array({ { { "count", 1 },
                                           { "cpu", 880 },
                                           { "mem-mb", 1300 },
                                           { "est-ms", 300 } } }) } };
  std::vector<int> statuses(kCalls, 0);
  bool isReady = false;
  for (int tries = 0; tries < kTries && !isReady; ++tries) {
    Sleep(3000);
    const int leader = deployment.Leader();
    if (leader < 0)
      CannotRun("no control host leads");
    const auto signalOthers = [&](int aSignal) {
      for (int i = 0; i < Deployment::kControls; ++i)
        if (i != leader)
          deployment.ControlProcess(i).Signal(aSignal);
    };
    std::vector<std::thread> callers;
    const Millis frozenAt = SteadyMillis();
    if (HasTrouble()) {
      signalOthers(SIGSTOP);
      Note("two control hosts are frozen");
      Sleep(20);
    }
    for (int i = 0; i < kCalls; ++i)
      callers.emplace_back(
        [&, i] { call("DELETE", 1000 + kCalls * tries + i, ""); });
    Sleep(40);
    if (HasTrouble()) {
      deployment.EntryProcess(0).Kill();
      deployment.EntryProcess(0).Start();
      Note("an entry host is killed and starts again");
    }
    for (std::thread& caller : callers)
      caller.join();
    callers.clear();
    const Millis patience = frozenAt + kFreeze - 30 - SteadyMillis();
    isReady = Await(
      [&] {
        return Call({ entry.ip, 8343 }, "GET", "/ready", "x", "", 200).status ==
               200;
      },
      HasTrouble() ? patience : 3000);
    Note(isReady ? "the entry host is ready"
                 : "the entry host was not ready in time");
    if (isReady)
      for (int i = 0; i < kCalls; ++i)
        callers.emplace_back(
          [&, i] { statuses[i] = call("POST", 1 + i, submission.dump()); });
    if (HasTrouble()) {
      Sleep(std::max<Millis>(frozenAt + kFreeze - SteadyMillis(), 0));
      signalOthers(SIGCONT);
      Note("the control hosts go on");
    }
    for (std::thread& caller : callers)
      caller.join();
  }
  if (!isReady)
    CannotRun("the entry host was never ready in time");
  Sleep(3000);
  bool isBroken = false;
  for (int i = 0; i < kCalls; ++i) {
    const bool isRejected = statuses[i] >= 400 && statuses[i] < 500;
    if (isRejected && service.HasBegun(TaskOf(JobPath(1 + i)))) {
      isBroken = true;
      Note(JobPath(1 + i) + " was rejected with " +
           std::to_string(statuses[i]) + ", and has run");
    }
  }
  return isBroken;
}

/// The platform's calls for machines, by PROTOCOL.md.
class Platform
{
public:
  Platform(const Deployment& aDeployment, Service& aService, bool aHasForeign)
    : service_(aService)
    , hasForeign_(aHasForeign)
    , server_(aDeployment.Platform(),
              [this](const std::string& aMethod,
                     const std::string& aPath,
                     const Message& aRequest) {
                return Handle(aMethod, aPath, aRequest);
              })
  {
    if (!server_.Start())
      CannotRun("the platform's address is in use");
  }
  ~Platform()
  {
    server_.Crash();
    for (std::thread& upkeep : upkeeps_)
      upkeep.join();
  }
  int Done()
  {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(done_.size());
  }
  /// The most machines that were down for their upkeep at once.
  std::size_t MostAtOnce()
  {
    const std::lock_guard lock(mutex_);
    return most_;
  }

private:
  static constexpr Millis kUpkeep = 2000;

  Response Handle(const std::string& aMethod,
                  const std::string& aPath,
                  const Message& aRequest)
  {
    if (aMethod == "GET" && aPath.rfind("/machines", 0) == 0)
      return List();
    const Json body = Json::parse(aRequest.body, nullptr, false);
    if (aMethod != "POST" || aPath != "/machine-upkeep" || !body.is_object())
      return { .status = 400, .body = "{}" };
    return Upkeep(body.value("machine", ""));
  }

  Response List()
  {
    const std::lock_guard lock(mutex_);
    Json rows = Json::array();
    std::string foreign;
    for (int i = 0; i < kWorkers; ++i) {
      Worker& worker = service_.At(i);
      const bool isDown = down_.count(i) != 0;
      Json row{
        { "machine", worker.Machine() },
        { "pool", "balanca" },
        { "state", isDown ? "upkeep" : "up" },
        { "zone", "serra-a" },
        { "labels", Json::array({ "a", "r1-" + std::to_string(i / 4) }) },
        { "capacity", { { "cpu", 16000 }, { "mem-mb", 32768 }, { "gpu", 0 } } },
        { "id", isDown ? "" : worker.Id() }
      };
      if (isDown && hasForeign_) {
        row.erase("pool");
        foreign += " " + worker.Machine();
      }
      rows.push_back(row);
    }
    if (!foreign.empty())
      Note("list: the entry of another writer, without pool, for" + foreign);
    return { .status = 200,
             .body =
               Json{ { "machines", rows }, { "next-token", "" } }.dump() };
  }

  Response Upkeep(const std::string& aMachine)
  {
    const std::lock_guard lock(mutex_);
    int index = 0;
    while (index < kWorkers && service_.At(index).Machine() != aMachine)
      ++index;
    if (index == kWorkers)
      return { .status = 400, .body = "{}" };
    if (done_.count(index) != 0)
      return { .status = 200, .body = "{}" };
    if (down_.count(index) != 0)
      return { .status = 409, .body = R"({"reason":"busy"})" };
    down_.insert(index);
    most_ = std::max(most_, down_.size());
    Note("upkeep of " + aMachine +
         " begins; down for upkeep: " + std::to_string(down_.size()));
    upkeeps_.emplace_back([this, index] {
      service_.At(index).Crash();
      Sleep(kUpkeep);
      service_.At(index).Start();
      const std::lock_guard lock(mutex_);
      down_.erase(index);
      done_.insert(index);
    });
    return { .status = 200, .body = "{}" };
  }

  Service& service_;
  const bool hasForeign_;
  std::mutex mutex_;
  std::set<int> down_;
  std::set<int> done_;
  std::size_t most_ = 0;
  std::vector<std::thread> upkeeps_;
  Server server_;
};

/// While a machine is down for its upkeep, its entry in the platform's list is
/// that of another writer. One machine at a time may be down.
bool
ForeignEntry()
{
  Deployment deployment(/*aHasPlatform=*/true);
  deployment.Start(Configuration(
    1, { "balanca" }, Json::array({ Queue("r-1", kPrefix, "balanca", 3) })));
  Service service(deployment, "a", [](const std::string&) {
    return std::optional<Millis>();
  });
  Platform platform(deployment, service, HasTrouble());
  Sleep(5000);
  Json machines = Json::array();
  for (int i = 0; i < kWorkers; ++i)
    machines.push_back(service.At(i).Machine());
  const Json wave{
    { "phase", 1 }, { "machines", machines }, { "deadline-s", 90 }, { "cap", 1 }
  };
  int status = 0;
  Await(
    [&] {
      for (int i = 0; i < Deployment::kControls && status != 200; ++i)
        status = Call(deployment.Control(i),
                      "POST",
                      "/wave-start",
                      "x",
                      wave.dump(),
                      1000)
                   .status;
      return status == 200;
    },
    5000);
  Note("POST /wave-start, 8 machines, cap 1 -> " + std::to_string(status));
  if (status != 200)
    CannotRun("the wave was not accepted");
  Await(
    [&] { return platform.Done() == kWorkers || platform.MostAtOnce() > 1; },
    70000);
  if (platform.Done() < kWorkers && platform.MostAtOnce() <= 1)
    Note("the wave has not ended: " + std::to_string(platform.Done()));
  return platform.MostAtOnce() > 1;
}

} // namespace

int
main(int aCount, char** aWords)
{
  const std::map<std::string, std::function<bool()>> scenes{
    { "lost-after-restart", LostAfterRestart },
    { "foreign-entry", ForeignEntry },
    { "lost-after-registration", LostAfterRegistration },
    { "foreign-replies", ForeignReplies },
  };
  const auto scene = aCount == 3 ? scenes.find(aWords[1]) : scenes.end();
  if (scene == scenes.end()) {
    std::cerr << "scenes3 SCENE RECORD\n";
    return 2;
  }
  return RunScene(aWords[2], scene->second);
}
