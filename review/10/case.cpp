/// \file
/// Two tenants hand in work on queues of their own, and happen to choose the
/// same id. Whatever is acknowledged has to be known to its tenant, and to run.

#include "../standins-2/Fleet.h"

using namespace kit;

/// visible_ms of renova-sul.
constexpr std::int64_t kVisible = 3000;

int
main()
{
  Scene scene;
  if (!scene.Start(Configuration(1,
                                 { "balanca", "linhas" },
                                 { { "r-1", "/puxa400/", "balanca", 3 },
                                   { "r-2", "/zizi35/", "linhas", 3 } })))
    return scene.End(kNotRun, "the deployment did not start");
  const auto first = scene.StartWorker(0, "balanca", "a,r1-0");
  const auto second = scene.StartWorker(1, "linhas", "a,r1-1");
  Sleep(2500);
  const auto job = [](const char* aSpec) {
    return Json{
      { "spec", aSpec },
      { "steps",
        Json::array({ { { "count", 1 }, { "cpu", 500 }, { "est-ms", 500 } } }) }
    }.dump();
  };
  const std::string id = "0000000000000001";
  const std::string other = IsTroubled() ? id : "0000000000000002";
  if (scene.Ask(0, "POST", "/puxa400/" + id, job("work=500")).status != 200)
    return scene.End(kNotRun, "the first submission was not accepted");
  Sleep(100);
  const std::string path = "/zizi35/" + other;
  const int answer =
    scene.Ask(1, "POST", path, job("work=400"), kOtherKey).status;
  Sleep(kVisible + 1000);
  const Response shown = scene.Ask(1, "GET", path, {}, kOtherKey);
  const bool hasRun = scene.CountLines("i-1 start ") > 0;
  if (answer == 200 && (shown.status == 410 || !hasRun))
    return scene.End(kBroken,
                     "LOST: accepted with 200, then GET is answered " +
                       std::to_string(shown.status) + " and " +
                       (hasRun ? "it ran" : "nothing of it has run"));
  return scene.End(kHeld,
                   "answered " + std::to_string(answer) + ", then " +
                     std::to_string(shown.status));
}
