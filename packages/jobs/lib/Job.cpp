#include "greengage/jobs/Job.h"

#include <algorithm>

using namespace greengage;
using namespace greengage::jobs;

Resources&
Resources::operator+=(const Resources& aOther)
{
  processors += aOther.processors;
  memory += aOther.memory;
  accelerators += aOther.accelerators;
  return *this;
}

Resources&
Resources::operator-=(const Resources& aOther)
{
  processors -= aOther.processors;
  memory -= aOther.memory;
  accelerators -= aOther.accelerators;
  return *this;
}

bool
greengage::jobs::Fits(const Resources& aRequest,
                      const Resources& aUsed,
                      const Resources& aCapacity)
{
  return aUsed.processors + aRequest.processors <= aCapacity.processors &&
         aUsed.memory + aRequest.memory <= aCapacity.memory &&
         aUsed.accelerators + aRequest.accelerators <= aCapacity.accelerators;
}

Duration
greengage::jobs::CriticalPathLength(const JobDescription& aJob)
{
  // A job is refused on submission unless its steps depend only on steps with a
  // lower index, so one pass in index order is enough.
  std::vector<Duration> finishTimes(aJob.steps.size());
  Duration longest;
  for (std::size_t index = 0; index < aJob.steps.size(); ++index) {
    const Step& step = aJob.steps[index];
    Duration start;
    for (const std::uint32_t dependency : step.dependencies)
      if (dependency < index)
        start = std::max(start, finishTimes[dependency]);
    finishTimes[index] = start + step.estimate;
    longest = std::max(longest, finishTimes[index]);
  }
  return longest;
}

bool
greengage::jobs::HasObjective(const JobDescription& aJob)
{
  return aJob.recurrence.count == 0 &&
         std::none_of(aJob.steps.begin(),
                      aJob.steps.end(),
                      [](const Step& aStep) { return aStep.isPersistent; });
}
