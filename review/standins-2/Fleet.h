/// \file
/// Workers, the operator and clients around a deployment, for the scripts.

#ifndef REVIEW_STANDINS_2_FLEET_H
#define REVIEW_STANDINS_2_FLEET_H

#include "Kit.h"

#include <iostream>

namespace kit {

/// Exit codes of a script.
enum Outcome
{
  kHeld = 0,
  kBroken = 1,
  kNotRun = 2,
};

inline const std::string kHost = "pule25.example";
inline const std::string kKey = "sjnbanfqasnmgkcuyj8p";
/// Of the second tenant.
inline const std::string kOtherKey = "jbvk9m68k7b2ex5wa5xw";

struct QueueOptions
{
  std::string name;
  std::string prefix;
  std::string service;
  int attempts = 3;
};

inline Json
Configuration(int aVersion,
              const std::vector<std::string>& aServices,
              const std::vector<QueueOptions>& aQueues)
{
  Json config{ { "version", aVersion } };
  config["routes"] = Json::array();
  for (const QueueOptions& queue : aQueues)
    config["routes"].push_back({ { "name", queue.name },
                                 { "host", kHost },
                                 { "prefix", queue.prefix },
                                 { "kind", "unsafe" },
                                 { "timeout-ms", 3000 },
                                 { "slo-ms", 2500 },
                                 { "prio", 0 },
                                 { "service", queue.service },
                                 { "attempts", queue.attempts },
                                 { "stretch", 2.2 },
                                 { "public", false } });
  config["services"] = Json::array();
  for (const std::string& service : aServices)
    config["services"].push_back({ { "name", service },
                                   { "health-path", "/health" },
                                   { "max-conns", 64 },
                                   { "protocol", "h1" },
                                   { "tls", false },
                                   { "preconditions", false },
                                   { "spare", false } });
  config["limits"] = { { "max-header-bytes", 16384 },
                       { "max-body-bytes", 262144 },
                       { "header-timeout-ms", 3000 },
                       { "idle-timeout-ms", 15000 } };
  const auto tenant = [](const char* aName, const std::string& aKey) {
    return Json{ { "name", aName },
                 { "api-keys", Json::array({ aKey }) },
                 { "prio", 1 },
                 { "weight", 37 },
                 { "cap", { { "cpu", 0 }, { "mem-mb", 0 }, { "gpu", 0 } } } };
  };
  config["tenants"] =
    Json::array({ tenant("cugo130", kKey), tenant("dabo22", kOtherKey) });
  return config;
}

/// A deployment with its record; prints why a case could not run.
class Scene
{
public:
  Scene()
    : record_(RecordPath())
  {
    signal(SIGPIPE, SIG_IGN);
    Note(IsTroubled() ? "with the disruption" : "without the disruption");
  }

  bool Start(const Json& aConfiguration)
  {
    deployment.Start();
    if (deployment.Operate("POST", "/config/put", aConfiguration.dump(), 15000)
          .status != 200) {
      Note("no acknowledgement of the first config");
      return false;
    }
    if (!deployment.AwaitReady(10000)) {
      Note("the entry hosts are not ready");
      return false;
    }
    Note("ready");
    return true;
  }

  std::unique_ptr<Process> StartWorker(int aIndex,
                                       const std::string& aService,
                                       const std::string& aLabels,
                                       std::vector<std::string> aMore = {})
  {
    const std::string number = std::to_string(aIndex);
    std::vector<std::string> command{ "target/review-2/worker",
                                      "i-" + number,
                                      "m-" + number,
                                      aService,
                                      "serra-a",
                                      deployment.Worker(aIndex).Text(),
                                      deployment.ControlList(),
                                      aLabels,
                                      deployment.Folder(),
                                      RecordPath() };
    command.insert(command.end(), aMore.begin(), aMore.end());
    return std::make_unique<Process>(command,
                                     std::map<std::string, std::string>{},
                                     deployment.Folder() + "/worker-" + number +
                                       ".log");
  }

  /// A client's call at an entry host, with the tenant's key.
  Response Ask(int aEntry,
               const std::string& aMethod,
               const std::string& aPath,
               const std::string& aBody = {},
               const std::string& aKey = kKey)
  {
    const std::string call = aMethod + " " + aPath;
    constexpr std::int64_t kDeadline = 3000;
    Note("sent to entry " + std::to_string(aEntry) + ": " + call);
    const Response response =
      Call(deployment.Front(aEntry),
           aMethod,
           aPath,
           { { "Host", kHost },
             { "Authorization", "Token " + aKey },
             { "Deadline-Ms", std::to_string(kDeadline) } },
           aBody,
           kDeadline);
    Note("answered: " + call + " " + std::to_string(response.status) + " " +
         response.body);
    return response;
  }

  /// Sends a submission until it is accepted, at the entry hosts in turn.
  bool Submit(const std::string& aPath, const Json& aBody)
  {
    for (int turn = 0; turn < 10; ++turn) {
      const Response response =
        Ask(turn % Deployment::kEntryHosts, "POST", aPath, aBody.dump());
      if (response.status >= 200 && response.status < 300)
        return true;
      Sleep(500);
    }
    return false;
  }

  std::string StateOf(const std::string& aPath, int aTurn = 0)
  {
    const Json value =
      Ask(aTurn % Deployment::kEntryHosts, "GET", aPath).Value();
    return value.is_object() ? value.value("state", "") : "";
  }

  void Note(const std::string& aWhat) { record_.Write("script", aWhat); }

  int End(Outcome aOutcome, const std::string& aWhy)
  {
    Note("result " + std::to_string(aOutcome) + ": " + aWhy);
    std::cout << aWhy << "\n";
    return aOutcome;
  }

  /// The lines of the record so far.
  std::vector<std::string> Lines() const
  {
    std::ifstream in(RecordPath());
    std::vector<std::string> lines;
    for (std::string line; std::getline(in, line);)
      lines.push_back(line);
    return lines;
  }

  std::size_t CountLines(const std::string& aText) const
  {
    std::size_t count = 0;
    for (const std::string& line : Lines())
      count += line.find(aText) != std::string::npos ? 1 : 0;
    return count;
  }

  bool AwaitLine(const std::string& aText, std::int64_t aMillis) const
  {
    const std::int64_t until = SteadyMillis() + aMillis;
    while (CountLines(aText) == 0) {
      if (SteadyMillis() > until)
        return false;
      Sleep(20);
    }
    return true;
  }

  Deployment deployment;

private:
  static std::string RecordPath()
  {
    const char* path = std::getenv("RECORD");
    return path == nullptr ? "record.txt" : path;
  }

  Record record_;
};

} // namespace kit

#endif // REVIEW_STANDINS_2_FLEET_H
