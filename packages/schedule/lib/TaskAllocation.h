/// \file
/// The resources that a task occupies on its worker.

#ifndef GREENGAGE_SCHEDULE_LIB_TASKALLOCATION_H
#define GREENGAGE_SCHEDULE_LIB_TASKALLOCATION_H

#include "greengage/jobs/Job.h"

namespace greengage::schedule::detail {

/// Best-effort tasks run on otherwise idle processors, so none are allocated to
/// them.
inline jobs::Resources
AllocationFor(const jobs::Step& aStep)
{
  jobs::Resources allocation = aStep.request;
  if (aStep.usesIdleProcessors)
    allocation.processors = {};
  return allocation;
}

} // namespace greengage::schedule::detail

#endif // GREENGAGE_SCHEDULE_LIB_TASKALLOCATION_H
