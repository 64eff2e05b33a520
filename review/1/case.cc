// A front freezes for some seconds while a consumer's submission is on its way
// to it. The consumer leaves and cancels at the other front.
#include "../standins/Lab.hh"

using namespace lab;

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  LimitTime(100);
  const bool hasTrouble = HasTrouble();
  record.Line(hasTrouble ? "with the disruption" : "without the disruption");
  Fleet fleet(record, 3, 7);
  if (!fleet.Start()) {
    record.Line("the fleet did not start");
    return kNotRun;
  }
  constexpr std::int64_t kFreezeTime = 1500;
  constexpr std::int64_t kCancelTime = 3000;
  constexpr std::int64_t kStopTime = 900;
  if (!fleet.PutConfiguration(
        Configuration(3,
                      json::array({ Route("r-audit", "/audit/", "pool-a", 2) }),
                      json::array({ Service("pool-a") }))))
    return kNotRun;
  std::mutex mutex;
  std::vector<std::int64_t> starts;
  std::vector<std::unique_ptr<Worker>> workers;
  for (std::size_t index = 0; index < 3; ++index) {
    workers.push_back(std::make_unique<Worker>(
      record,
      fleet,
      "i-" + std::to_string(index),
      fleet.WorkerAddress(index),
      "pool-a",
      [](const std::string&, std::int64_t) { return Plan{ 90000, "done" }; }));
    workers.back()->OnStart([&](const std::string&, std::int64_t) {
      const std::lock_guard lock(mutex);
      starts.push_back(SteadyMs());
    });
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
  const std::map<std::string, std::string> headers{
    { "Host", "queue.example" },
    { "Authorization", "Token key-of-tenant-one" },
    { "Deadline-Ms", "3000" }
  };
  const Fleet::Host& frozen = fleet.fronts[0];
  if (hasTrouble) {
    ::kill(frozen.pid, SIGSTOP);
    record.Line("front " + frozen.address + " freezes");
  }
  const std::int64_t frozenAt = SteadyMs();
  Sleep(50);
  const auto posted = Call(
    frozen.address, 8340, "POST", path, headers, submission.dump(), 300);
  record.Line("consumer: POST " + path + " at " + frozen.address + " -> " +
              (posted ? std::to_string(posted->status)
                      : "no answer within 300 ms, the consumer leaves"));
  const auto cancelled = Call(
    fleet.fronts[1].address, 8340, "DELETE", path, headers, "", 3000);
  const std::int64_t acknowledgedAt = SteadyMs();
  record.Line("consumer: DELETE " + path + " at " + fleet.fronts[1].address +
              " -> " +
              (cancelled ? std::to_string(cancelled->status) : "no answer"));
  if (!cancelled || (cancelled->status / 100 != 2 && cancelled->status != 410))
    return kNotRun;
  Sleep(frozenAt + kFreezeTime - SteadyMs());
  if (hasTrouble) {
    ::kill(frozen.pid, SIGCONT);
    record.Line("front " + frozen.address + " wakes");
  }
  // Calm for 12 s: long past `contact-ms`, `cancel_ms` and `stop-ms`.
  Sleep(12000);
  fleet.StateOf(path);
  std::size_t running = 0;
  for (const auto& worker : workers)
    running += worker->RunCount();
  std::size_t lateStarts = 0;
  {
    const std::lock_guard lock(mutex);
    for (const std::int64_t start : starts)
      lateStarts += start > acknowledgedAt + kCancelTime ? 1 : 0;
  }
  const bool areGone = SteadyMs() < acknowledgedAt + kCancelTime + kStopTime ||
                       running == 0;
  record.Line(std::to_string(lateStarts) + " starts later than cancel_ms after "
              "the ack of the cancelling; " + std::to_string(running) +
              " work units of the cancelled submission run on, " +
              std::to_string(SteadyMs() - acknowledgedAt) + " ms after it");
  if (lateStarts > 0 || !areGone) {
    record.Line("UNASKED is broken");
    return kBroken;
  }
  return kHeld;
}
