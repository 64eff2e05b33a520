/// \file
/// The resources that a task occupies on its worker.

#ifndef GREENGAGE_SCHEDULE_LIB_TAKENROOM_H
#define GREENGAGE_SCHEDULE_LIB_TAKENROOM_H

#include "greengage/jobs/Job.h"

namespace greengage::schedule::detail {

/// Best-effort tasks run on otherwise idle processors, so none are allocated to
/// them.
inline jobs::Resources
TakenOf(const jobs::Step& aStep)
{
  jobs::Resources taken = aStep.request;
  if (aStep.usesIdleProcessors)
    taken.processors = {};
  return taken;
}

} // namespace greengage::schedule::detail

#endif // GREENGAGE_SCHEDULE_LIB_TAKENROOM_H
