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
                      const Resources& aRoom)
{
  return aUsed.processors + aRequest.processors <= aRoom.processors &&
         aUsed.memory + aRequest.memory <= aRoom.memory &&
         aUsed.accelerators + aRequest.accelerators <= aRoom.accelerators;
}

Duration
greengage::jobs::LongestChain(const JobDescription& aJob)
{
  // Jobs are refused on submission unless each step follows the steps that it
  // depends on, so that one pass in index order is enough.
  std::vector<Duration> ends(aJob.steps.size());
  Duration longest;
  for (std::size_t place = 0; place < aJob.steps.size(); ++place) {
    const Step& step = aJob.steps[place];
    Duration start;
    for (const std::uint32_t earlier : step.after)
      if (earlier < place)
        start = std::max(start, ends[earlier]);
    ends[place] = start + step.estimate;
    longest = std::max(longest, ends[place]);
  }
  return longest;
}
