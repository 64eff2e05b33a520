/// \file
/// What a task takes of its worker.

#ifndef GREENGAGE_SCHEDULE_LIB_TAKENROOM_H
#define GREENGAGE_SCHEDULE_LIB_TAKENROOM_H

#include "greengage/jobs/Job.h"

namespace greengage::schedule::detail {

/// Filling tasks use processors that others leave idle and reserve none.
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
