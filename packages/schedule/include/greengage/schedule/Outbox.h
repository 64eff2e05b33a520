/// \file
/// Where the decisions of the leader go.

#ifndef GREENGAGE_SCHEDULE_OUTBOX_H
#define GREENGAGE_SCHEDULE_OUTBOX_H

#include "greengage/jobs/Operation.h"
#include "greengage/schedule/AdviceCalls.h"
#include "greengage/schedule/Messages.h"

namespace greengage::schedule {

/// Takes what the scheduler decides.
class Outbox
{
public:
  virtual ~Outbox() = default;
  /// Adds an operation to the next log entry.
  virtual void Propose(jobs::Operation aOperation) = 0;
  /// Calls a worker; the id is set by the scheduler.
  virtual void Call(WorkerCall aCall) = 0;
  /// Asks whoever knows the placement policies.
  virtual void Call(AdviceCall aCall) = 0;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_OUTBOX_H
