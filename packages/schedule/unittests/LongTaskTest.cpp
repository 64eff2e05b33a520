// Tasks whose progress, in whole percent, grows seldom.

#include "ConfiguredFleet.h"

#include <catch2/catch.hpp>

using namespace greengage;
using namespace greengage::schedule;

namespace {

constexpr Duration kRunTime = Duration::Seconds(300);

struct Fixture : ConfiguredFleetWithWorkers
{
  Fixture()
  {
    reader.objective = Duration::Seconds(1000);
    Configure(2, { Plan() });
  }
  jobs::JobId SubmitLong(Duration aEstimate)
  {
    jobs::Step step = MakeStep(1);
    step.estimate = aEstimate;
    return Submit({ step }, { .runTime = kRunTime });
  }
};

} // namespace

// Guards against a task that is taken for stalled and begun anew for ever,
// since one percent of it takes longer than a stall.
TEST_CASE_METHOD(Fixture,
                 "a task of minutes is not taken for stalled between two "
                 "percents")
{
  // Clients may underestimate the time by a factor of ten. Such a run is moved
  // twice for being slow.
  const Duration estimate = GENERATE(kRunTime, Duration::Seconds(30));
  const jobs::JobId job = SubmitLong(estimate);
  CHECK(RunUntil([&] { return QueryState(job) == JobProgress::Completed; },
                 Duration(kRunTime.Millis() * 3 / 2)));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a task of minutes that stands still is moved before the time "
                 "that it takes has passed")
{
  slowWorkers = { "w1", "w2", "w3" };
  const jobs::JobId job = SubmitLong(kRunTime);
  Run(Duration::Seconds(1));
  CHECK(RunUntil([&] { return LatestAttempt({ .job = job }) > Attempt(1); },
                 kRunTime));
}
