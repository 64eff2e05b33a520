// A version of the configuration takes a route out and adds another one with
// the same host, prefix and service while an accepted submission runs.
#include "../standins/Lab.hh"

using namespace lab;

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  LimitTime(100);
  const bool hasTrouble = HasTrouble();
  record.Line(hasTrouble ? "with the disruption" : "without the disruption");
  Fleet fleet(record, 3, 2);
  if (!fleet.Start()) {
    record.Line("the fleet did not start");
    return kNotRun;
  }
  constexpr std::int64_t kVisibleTime = 3000;
  constexpr std::int64_t kCancelTime = 3000;
  constexpr std::int64_t kStopTime = 900;
  const json services = json::array({ Service("pool-a") });
  const json kept = Route("r-kept", "/kept/", "pool-a", 2);
  if (!fleet.PutConfiguration(Configuration(
        3,
        json::array({ kept, Route("r-audit", "/audit/", "pool-a", 2) }),
        services)))
    return kNotRun;
  std::vector<std::unique_ptr<Worker>> workers;
  for (std::size_t index = 0; index < 3; ++index) {
    workers.push_back(std::make_unique<Worker>(
      record,
      fleet,
      "i-" + std::to_string(index),
      fleet.WorkerAddress(index),
      "pool-a",
      [](const std::string&, std::int64_t) { return Plan{ 90000, "done" }; }));
    if (!workers.back()->Start())
      return kNotRun;
  }
  Sleep(2500);
  const std::string path = "/audit/5c0e7a21d94b36f8";
  const json submission{ { "spec", "scale reconciliation" },
                         { "steps",
                           json::array({ { { "count", 2 },
                                           { "cpu", 1300 },
                                           { "mem-mb", 3400 },
                                           { "est-ms", 900 },
                                           { "persistent", true } } }) } };
  if (fleet.Consume("POST", path, submission.dump()).status != 200)
    return kNotRun;
  Sleep(kVisibleTime + 1000);
  // Without the disruption the version changes only the time-out of the route.
  json route =
    Route(hasTrouble ? "r-audit-new" : "r-audit", "/audit/", "pool-a", 2);
  route["timeout-ms"] = 2900;
  if (!fleet.PutConfiguration(
        Configuration(7, json::array({ kept, route }), services)))
    return kNotRun;
  // Past `config-ms` and `contact-ms`.
  Sleep(4000);
  const int seen = fleet.Consume("GET", path, "").status;
  const int cancelled = fleet.Consume("DELETE", path, "").status;
  if (cancelled / 100 != 2 && cancelled != 410)
    return kNotRun;
  Sleep(kCancelTime + kStopTime + 4000);
  std::size_t running = 0;
  for (const auto& worker : workers)
    running += worker->RunCount();
  record.Line("GET was answered " + std::to_string(seen) + ", DELETE " +
              std::to_string(cancelled) + "; " + std::to_string(running) +
              " work units run on " +
              std::to_string(kCancelTime + kStopTime + 4000) +
              " ms after the ack of the cancelling");
  if (seen == 410)
    record.Line("LOST is broken: 410 for an accepted submission");
  if (running > 0)
    record.Line("UNASKED is broken: the cancelled submission runs on");
  return seen == 410 || running > 0 ? kBroken : kHeld;
}
