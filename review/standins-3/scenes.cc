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

/// Eight workers of one service; the first may be of another kind.
class Service
{
public:
  Service(const Deployment& aDeployment,
          const std::string& aFirstKind,
          const Worker::WorkOf& aWorkOf)
  {
    for (int i = 0; i < kWorkers; ++i) {
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

} // namespace

int
main(int aCount, char** aWords)
{
  const std::map<std::string, std::function<bool()>> scenes{
    { "three-crashes", ThreeCrashes },
    { "lost-after-restart", LostAfterRestart },
    { "foreign-heartbeat", ForeignHeartbeat },
  };
  const auto scene = aCount == 3 ? scenes.find(aWords[1]) : scenes.end();
  if (scene == scenes.end()) {
    std::cerr << "scenes3 SCENE RECORD\n";
    return 2;
  }
  return RunScene(aWords[2], scene->second);
}
