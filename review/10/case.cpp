/// \file
/// One worker of twelve fails all that it starts for a while. A gang of two is
/// started there once, and both members end failed: that is one failed run of
/// the gang, of the two that its queue allows.

#include "../standins-2/Fleet.h"

using namespace kit;

/// Of renova-sul.toml: { srv_grey, how errors, share 0.085, x 1.0, for_s 6.5 },
/// and 'attempts' of line-plan.
constexpr int kWorkers = 12;
constexpr int kGreyFor = 6500;
constexpr int kAttempts = 2;

int
main()
{
  Scene scene;
  if (!scene.Start(Configuration(
        1, { "linhas" }, { { "r-1", "/puxa400/", "linhas", kAttempts } })))
    return scene.End(kNotRun, "the deployment did not start");
  std::vector<std::unique_ptr<Process>> workers;
  for (int index = 1; index < kWorkers; ++index)
    workers.push_back(
      scene.StartWorker(index, "linhas", "a,r1-" + std::to_string(index)));
  std::vector<std::string> more;
  if (IsTroubled())
    more.push_back("fail-until=" + std::to_string(kGreyFor));
  workers.push_back(scene.StartWorker(0, "linhas", "a,r1-0", more));
  Sleep(2500);
  const std::string path = "/puxa400/5c0e7a21d94b36f8";
  const Json job{ { "spec", "work=1000;gang=2" },
                  { "steps",
                    Json::array({ { { "count", 2 },
                                    { "cpu", 500 },
                                    { "mem-mb", 256 },
                                    { "est-ms", 1000 },
                                    { "gang", true },
                                    { "affinity", "r1-0" } } }) } };
  if (!scene.Submit(path, job))
    return scene.End(kNotRun, "the submission was not accepted");
  std::string state;
  for (int turn = 0; turn < 40; ++turn) {
    Sleep(1000);
    state = scene.StateOf(path, turn);
    if (state == "completed" || state == "failed" || state == "cancelled")
      break;
  }
  // A run of the gang is an attempt: its members share the number.
  std::set<std::string> failedRuns;
  for (const std::string& line : scene.Lines())
    if (line.find(" end ") != std::string::npos &&
        line.find(" failed number=") != std::string::npos) {
      const std::size_t at = line.find("attempt=");
      failedRuns.insert(line.substr(at, line.find(' ', at) - at));
    }
  if (state == "failed" && failedRuns.size() < kAttempts)
    return scene.End(
      kBroken,
      "LOST: shown as failed after " + std::to_string(failedRuns.size()) +
        " failed run of the gang, of " + std::to_string(kAttempts));
  if (state == "completed")
    return scene.End(kHeld, "the submission was completed");
  return scene.End(kNotRun,
                   "the state is '" + state + "' after " +
                     std::to_string(failedRuns.size()) + " failed runs");
}
