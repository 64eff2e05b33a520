#include "greengage/schedule/JobDeferral.h"

#include <catch2/catch.hpp>

#include <cstddef>
#include <optional>
#include <vector>

using namespace greengage;
using namespace greengage::schedule;

namespace {

constexpr Time kNow(100000);
/// Ten cores.
constexpr MilliCores kRate(10000);

/// A job that takes the pool 100 ms.
PendingJob
JobWithSlack(Duration aSlack)
{
  constexpr MilliCoreMillis kWork(kRate.Count() * 100);
  return { .latestStart = kNow + aSlack,
           .startable = kWork,
           .remaining = kWork,
           .isDeferrable = true };
}

/// The indices of the deferred jobs.
std::vector<std::size_t>
Defer(std::vector<PendingJob> aJobs)
{
  LeastSlackDeferral().Defer(aJobs, kRate, kNow);
  std::vector<std::size_t> deferred;
  for (std::size_t index = 0; index < aJobs.size(); ++index)
    if (aJobs[index].isDeferred)
      deferred.push_back(index);
  return deferred;
}

using Indices = std::vector<std::size_t>;

} // namespace

TEST_CASE("no job is deferred if all can be in time")
{
  CHECK(Defer({}).empty());
  CHECK(Defer({ JobWithSlack(Duration(100)),
                JobWithSlack(Duration(200)),
                JobWithSlack(Duration(300)) })
          .empty());
}

TEST_CASE("the jobs with the least slack are deferred until the others fit")
{
  std::vector<PendingJob> jobs(5, JobWithSlack(Duration(300)));
  CHECK(Defer(jobs) == Indices{ 0, 1 });
  jobs[0].latestStart = kNow - Duration(50);
  CHECK(Defer(jobs) == Indices{ 0, 1 });
  SECTION("also for work that their later steps bring")
  {
    jobs[2].remaining += jobs[2].remaining;
    CHECK(Defer(jobs) == Indices{ 0, 1, 2 });
  }
}

TEST_CASE("only jobs without slack are deferred if the rate is not known")
{
  std::vector<PendingJob> jobs(5, JobWithSlack(Duration(300)));
  jobs[0].latestStart = kNow + Duration(299);
  jobs[1].latestStart = kNow;
  jobs[1].isDeferrable = false;
  LeastSlackDeferral().Defer(jobs, std::nullopt, kNow);
  for (std::size_t index = 0; index < jobs.size(); ++index)
    CHECK(jobs[index].isDeferred == (index == 0));
}

TEST_CASE("jobs that have begun are not deferred")
{
  std::vector<PendingJob> jobs(5, JobWithSlack(Duration(300)));
  jobs[0].isDeferrable = false;
  CHECK(Defer(jobs) == Indices{ 1, 2 });
  for (PendingJob& job : jobs)
    job.isDeferrable = false;
  CHECK(Defer(jobs).empty());
}

TEST_CASE("a job that can't be in time by itself makes no other one wait")
{
  std::vector<PendingJob> jobs(4, JobWithSlack(Duration(300)));
  jobs[2].startable = MilliCoreMillis(jobs[2].startable.Count() * 5);
  jobs[2].remaining = jobs[2].startable;
  CHECK(Defer(jobs) == Indices{ 2 });
}

TEST_CASE("no job waits for one of lower priority or for a late one")
{
  std::vector<PendingJob> jobs(5, JobWithSlack(Duration(300)));
  SECTION("of lower priority")
  {
    for (std::size_t index = 2; index < jobs.size(); ++index)
      jobs[index].priority = 1;
  }
  SECTION("that is late")
  {
    for (std::size_t index = 2; index < jobs.size(); ++index)
      jobs[index].isLate = true;
  }
  CHECK(Defer(jobs) == Indices{ 2, 3 });
}
