// A route is taken out of the configuration by mistake while a work unit of an
// accepted submission runs, and put back by the next version.
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
  constexpr int kAttempts = 3;
  const json kept = Route("r-kept", "/kept/", "pool-a", kAttempts);
  const json route = Route("r-plan", "/plan/", "pool-a", kAttempts);
  const json services = json::array({ Service("pool-a") });
  if (!fleet.PutConfiguration(
        Configuration(3, json::array({ kept, route }), services)))
    return kNotRun;
  const std::string id = "5c0e7a21d94b36f8";
  // The first run of the first work unit ends `failed`, all others `done`.
  const auto plan = [&](const std::string& aTask, std::int64_t aAttempt) {
    if (aTask == id + ".0.0.0" && aAttempt == 1)
      return Plan{ 4000, "failed" };
    return Plan{ 500, "done" };
  };
  std::vector<std::unique_ptr<Worker>> workers;
  for (int index = 0; index < 3; ++index) {
    workers.push_back(std::make_unique<Worker>(record,
                                               fleet,
                                               "i-" + std::to_string(index),
                                               fleet.WorkerAddress(index),
                                               "pool-a",
                                               plan));
    if (!workers.back()->Start())
      return kNotRun;
  }
  Sleep(2500);
  const std::string path = "/plan/" + id;
  const json submission{
    { "spec", "shift plan" },
    { "steps",
      json::array({ { { "count", 1 },
                      { "cpu", 500 },
                      { "mem-mb", 256 },
                      { "est-ms", 4000 } },
                    { { "count", 2 },
                      { "cpu", 500 },
                      { "mem-mb", 256 },
                      { "est-ms", 500 },
                      { "after", { 0 } } } }) }
  };
  if (fleet.Consume("POST", path, submission.dump()).status != 200)
    return kNotRun;
  Sleep(1000);
  if (fleet.StateOf(path) != "running")
    return kNotRun;
  if (hasTrouble &&
      !fleet.PutConfiguration(
        Configuration(5, json::array({ kept }), services)))
    return kNotRun;
  // The run ends `failed` meanwhile.
  Sleep(5000);
  if (hasTrouble &&
      !fleet.PutConfiguration(
        Configuration(9, json::array({ kept, route }), services)))
    return kNotRun;
  Sleep(3000);
  std::string state;
  for (int look = 0; look < 10; ++look) {
    state = fleet.StateOf(path);
    if (state == "completed" || state == "failed")
      break;
    Sleep(1000);
  }
  int failedEnds = 0;
  for (const auto& worker : workers)
    failedEnds += worker->FailedEnds();
  record.Line("the submission is shown as " + state + "; " +
              std::to_string(failedEnds) +
              " run has ended failed, attempts is " +
              std::to_string(kAttempts));
  if (state == "failed" && failedEnds < kAttempts) {
    record.Line("LOST is broken: shown as failed without cause");
    return kBroken;
  }
  return state == "completed" ? kHeld : kNotRun;
}
