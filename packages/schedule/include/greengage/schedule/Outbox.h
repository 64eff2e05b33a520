/// \file
/// The interface through which the leader's decisions take effect.

#ifndef GREENGAGE_SCHEDULE_OUTBOX_H
#define GREENGAGE_SCHEDULE_OUTBOX_H

#include "greengage/jobs/Operation.h"
#include "greengage/schedule/AdviceCalls.h"
#include "greengage/schedule/Messages.h"

namespace greengage::schedule {

/// Receives the operations and calls that the scheduler and the host planner
/// decide on.
class Outbox
{
public:
  virtual ~Outbox() = default;
  /// Adds an operation to the next entry proposed to the replicated log.
  virtual void Propose(jobs::Operation aOperation) = 0;
  /// Sends a call to a worker. The caller assigns the id.
  virtual void Call(WorkerCall aCall) = 0;
  /// Sends a call to the placement adviser. The caller assigns the id.
  virtual void Call(AdviceCall aCall) = 0;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_OUTBOX_H
