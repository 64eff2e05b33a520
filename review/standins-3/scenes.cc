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

private:
  std::vector<std::unique_ptr<Worker>> workers_;
};

/// A worker crashes three times, each time soon after it is back; the submission
/// that needs a worker of its kind is sound.
bool
ThreeCrashes()
{
  constexpr Millis kWork = 3000;
  constexpr Millis kUp = 500;
  constexpr Millis kDown = 1500;
  Deployment deployment;
  deployment.Start(Configuration(
    1, { "balanca" }, Json::array({ Queue("r-1", kPrefix, "balanca", 3) })));
  Service service(
    deployment, "b", [](const std::string&) { return kWork; });
  Sleep(1000);
  Client client(deployment);
  const std::string path = JobPath(1);
  const std::string task = TaskOf(path);
  client.Submit(path,
                { { "spec", "x" },
                  { "steps",
                    Json::array({ { { "count", 1 },
                                    { "cpu", 880 },
                                    { "mem-mb", 1300 },
                                    { "est-ms", kWork },
                                    { "requires", "b" } } }) } });
  Worker& flapping = service.At(0);
  for (int crash = 0; crash < 3 && HasTrouble(); ++crash) {
    if (!Await(
          [&] {
            const auto age = flapping.AgeOf(task);
            return age && *age >= kUp;
          },
          30000)) {
      // It may not have been begun again because it was given up.
      Note("the work unit was not begun; its submission is " +
           client.StateOf(path));
      break;
    }
    flapping.Crash();
    Sleep(kDown);
    flapping.Start();
  }
  std::string state;
  Await(
    [&] {
      state = client.StateOf(path);
      Sleep(100);
      return state == "completed" || state == "failed" || state == "cancelled";
    },
    60000);
  Note("GET " + path + " -> " + state);
  if (state != "completed" && state != "failed")
    Note("the submission has not ended");
  return state != "completed";
}

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

/// Another writer's heartbeat, of a service that no config names, states the
/// machine of a worker at work.
bool
ForeignHeartbeat()
{
  constexpr Millis kWork = 8000;
  Deployment deployment;
  deployment.Start(Configuration(
    1, { "balanca" }, Json::array({ Queue("r-1", kPrefix, "balanca", 3) })));
  Service service(
    deployment, "a", [](const std::string&) { return kWork; });
  Client client(deployment);
  const std::string path = JobPath(1);
  const std::string task = TaskOf(path);
  client.Submit(path,
                { { "spec", "x" },
                  { "steps",
                    Json::array({ { { "count", 1 },
                                    { "cpu", 880 },
                                    { "mem-mb", 1300 },
                                    { "est-ms", kWork } } }) } });
  if (!Await([&] { return service.RunnerOf(task) != nullptr; }, 10000))
    CannotRun("the work unit was not begun");
  Sleep(2000);
  Worker* const first = service.RunnerOf(task);
  if (first == nullptr)
    CannotRun("the work unit does not go on");
  if (HasTrouble()) {
    const Json body{ { "service", "inventario" },
                     { "addr", deployment.Worker(50).Text() },
                     { "machine", first->Machine() },
                     { "zone", "serra-a" },
                     { "version", "v1" },
                     { "slots", 1 },
                     { "state", "ready" },
                     { "cold-left-ms", 0 },
                     { "capacity",
                       { { "cpu", 1000 }, { "mem-mb", 512 }, { "gpu", 0 } } },
                     { "labels", Json::array({ "a", "r1-0" }) },
                     { "clock-ms", 10 },
                     { "born", UnixMillis() },
                     { "seq", 1 } };
    for (int control = 0; control < Deployment::kControls; ++control) {
      const Response response = Call(deployment.Control(control),
                                     "POST",
                                     "/instances/inventario-1/heartbeat",
                                     "x",
                                     body.dump(),
                                     1000);
      Note("heartbeat of another writer: machine " + first->Machine() +
           ", service inventario -> " + std::to_string(response.status));
      if (response.status != 0 && response.status != 503)
        break;
    }
  }
  std::set<std::string> at;
  const bool isTwice = Await(
    [&] {
      at = service.RunnersOf(task);
      return at.size() > 1;
    },
    kWork);
  if (isTwice) {
    std::string workers;
    for (const std::string& worker : at)
      workers += " " + worker;
    Note("the work unit runs at the same time on" + workers);
  }
  return isTwice;
}

/// The rack with a submission's data fails worker by worker: three of its four
/// workers are lost for good, each soon after it has begun the work unit.
bool
ThreeLost()
{
  constexpr int kMany = 24;
  constexpr Millis kWork = 4000;
  constexpr Millis kUp = 400;
  /// From the end of the traffic until submissions are asked for, and how long
  /// one may have nothing running before that.
  constexpr Millis kFinish = 14000;
  constexpr Millis kIdle = 3000;
  Deployment deployment;
  deployment.Start(Configuration(
    1, { "balanca" }, Json::array({ Queue("r-1", kPrefix, "balanca", 3) })));
  const std::string path = JobPath(0);
  const std::string task = TaskOf(path);
  Service service(
    deployment,
    "a",
    [&](const std::string& aTask) { return aTask == task ? kWork : 300; },
    kMany);
  Sleep(1000);
  Client client(deployment);
  const auto submission = [](Millis aEstimate) {
    return Json{ { "spec", "x" },
                 { "steps",
                   Json::array({ { { "count", 1 },
                                   { "cpu", 880 },
                                   { "mem-mb", 1300 },
                                   { "est-ms", aEstimate },
                                   { "affinity", "r1-0" } } }) } };
  };
  client.Submit(path, submission(kWork));
  int next = 1;
  int lost = 0;
  const Millis until = SteadyMillis() + 60000;
  Millis nextTraffic = SteadyMillis();
  while (lost < 3 && SteadyMillis() < until) {
    if (SteadyMillis() >= nextTraffic) {
      nextTraffic = SteadyMillis() + 1000;
      client.Submit(JobPath(next++), submission(300));
    }
    Worker* const runner = service.RunnerOf(task);
    if (runner != nullptr && runner->AgeOf(task).value_or(0) >= kUp) {
      ++lost;
      if (!HasTrouble())
        break;
      runner->Crash();
    }
    Sleep(5);
  }
  if (lost < (HasTrouble() ? 3 : 1))
    CannotRun("the work unit was not begun often enough");
  Note("the traffic ends");
  const Millis end = SteadyMillis();
  Millis idleSince = end;
  while (SteadyMillis() < end + kFinish) {
    if (service.RunnerOf(task) != nullptr)
      idleSince = SteadyMillis();
    Sleep(5);
  }
  const std::string state = client.StateOf(path);
  const Millis idle = SteadyMillis() - idleSince;
  Note("14 s later: GET " + path + " -> " + state +
       "; nothing of it has run for the last " + std::to_string(idle) + " ms");
  const bool isBroken =
    state != "completed" && (state == "failed" || idle > kIdle);
  if (HasTrouble() &&
      Await([&] { return service.RunnerOf(task) != nullptr; }, 20000))
    Note("begun again " + std::to_string(SteadyMillis() - end) +
         " ms after the end of the traffic");
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
      Json row{ { "machine", worker.Machine() },
                { "pool", "balanca" },
                { "state", isDown ? "upkeep" : "up" },
                { "zone", "serra-a" },
                { "labels", Json::array({ "a", "r1-" + std::to_string(i / 4) }) },
                { "capacity",
                  { { "cpu", 16000 }, { "mem-mb", 32768 }, { "gpu", 0 } } },
                { "id", isDown ? "" : worker.Id() } };
      if (isDown && hasForeign_) {
        row.erase("pool");
        foreign += " " + worker.Machine();
      }
      rows.push_back(row);
    }
    if (!foreign.empty())
      Note("list: the entry of another writer, without pool, for" + foreign);
    return { .status = 200,
             .body = Json{ { "machines", rows }, { "next-token", "" } }.dump() };
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
    Note("upkeep of " + aMachine + " begins; down for upkeep: " +
         std::to_string(down_.size()));
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
  const Json wave{ { "phase", 1 },
                   { "machines", machines },
                   { "deadline-s", 90 },
                   { "cap", 1 } };
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
  Await([&] { return platform.Done() == kWorkers || platform.MostAtOnce() > 1; },
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
    { "three-crashes", ThreeCrashes },
    { "lost-after-restart", LostAfterRestart },
    { "foreign-heartbeat", ForeignHeartbeat },
    { "foreign-entry", ForeignEntry },
    { "three-lost", ThreeLost },
  };
  const auto scene = aCount == 3 ? scenes.find(aWords[1]) : scenes.end();
  if (scene == scenes.end()) {
    std::cerr << "scenes3 SCENE RECORD\n";
    return 2;
  }
  return RunScene(aWords[2], scene->second);
}
