/// \file
/// Drives the replicated job state on a control host without doing any I/O. Its
/// input is calls and committed log entries; its output is replies, log entries
/// to propose, and calls to workers and other services.

#ifndef GREENGAGE_SCHEDULE_CONTROLLER_H
#define GREENGAGE_SCHEDULE_CONTROLLER_H

#include "greengage/core/Error.h"
#include "greengage/core/Units.h"
#include "greengage/jobs/JobStateMachine.h"
#include "greengage/schedule/Calls.h"
#include "greengage/schedule/HostCalls.h"
#include "greengage/schedule/HostPlanner.h"
#include "greengage/schedule/Messages.h"
#include "greengage/schedule/Outbox.h"
#include "greengage/schedule/Scheduler.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

namespace greengage::schedule {

/// Identifies a proposed log entry; unique within a process.
using BatchId = StrongId<struct BatchTag, std::uint64_t>;

/// Receives the output of the controller.
class ControllerSink
{
public:
  virtual ~ControllerSink() = default;
  /// Proposes a log entry that was decided on with \p aFence as the leader's
  /// fencing token. The log must refuse it if this host leads with another one:
  /// a later leadership may have decided otherwise. Returns false if the
  /// proposal queue is full; the controller retries later.
  virtual bool Propose(BatchId aBatch,
                       FencingToken aFence,
                       const std::string& aEntry) = 0;
  virtual void Call(WorkerCall&& aCall) = 0;
  virtual void Call(HostCall&& aCall) = 0;
  virtual void Call(AdviceCall&& aCall) = 0;
  virtual void Answer(CallerId aCaller, Reply&& aReply) = 0;
};

/// Serves calls while this host is the leader; as a follower it only applies
/// committed log entries.
class Controller final
  : private Outbox
  , private HostOutbox
{
public:
  /// The references must outlive the controller.
  Controller(SchedulerOptions aOptions,
             HostPlannerOptions aHostOptions,
             const jobs::ConfigurationReader& aReader,
             ControllerSink& aSink);

  /// Makes this host the leader. All entries of earlier terms must have been
  /// applied.
  void BecomeLeader(FencingToken aFence, ClockReading aNow);
  /// Makes this host a follower. Calls whose log entry was not proposed yet are
  /// refused; the others are answered once the outcome of their entry is known.
  void BecomeFollower();

  /// \param aLeaseEnd the end of the leader lease on the steady clock; no other
  /// host can be the leader before that.
  void Handle(IncomingCall&& aCall, Time aLeaseEnd, ClockReading aNow);
  /// \p aLeaseEnd is as for Handle.
  void On(const WorkerReply& aReply, Time aLeaseEnd, ClockReading aNow);
  void On(const HostReply& aReply, ClockReading aNow);
  void On(const AdviceReply& aReply, ClockReading aNow);
  /// Applies a committed entry. \p aLeaseEnd is as for Handle; \p aNow is the
  /// time of the call, not of the entry.
  void Apply(std::string_view aEntry, Time aLeaseEnd, ClockReading aNow);
  /// An entry that this host proposed has been committed and applied.
  void OnBatchApplied(BatchId aBatch);
  /// The entry is not in the log and never will be.
  void OnBatchRefused(BatchId aBatch);
  /// Leadership was lost before the entry was known to be committed.
  void OnBatchUnknown(BatchId aBatch);
  std::string Snapshot() const { return stateMachine_.Snapshot(); }
  bool Restore(std::string_view aSnapshot, Error& aReason);

  /// When Tick has to be called next.
  std::optional<Time> NextTick() const;
  /// \p aLeaseEnd is as for Handle.
  void Tick(Time aLeaseEnd, ClockReading aNow);

  const jobs::JobStateMachine& StateMachine() const { return stateMachine_; }
  const Scheduler& GetScheduler() const { return scheduler_; }

private:
  /// A reply that is sent once its log entry is committed.
  struct PendingReply
  {
    CallerId caller;
    Reply reply;
  };
  struct Batch
  {
    std::string entry;
    std::vector<PendingReply> replies;
  };

  void Propose(jobs::Operation aOperation) override;
  void Call(WorkerCall aCall) override;
  void Call(HostCall aCall) override;
  void Call(AdviceCall aCall) override;
  void ProposeWithReply(CallerId aCaller,
                        jobs::Operation aOperation,
                        Reply aReply);
  void Refuse(CallerId aCaller, ErrorKind aKind, std::string aDetail);
  void Serve(CallerId aCaller, QueueCall&& aCall);
  void Serve(CallerId aCaller, WorkerHeartbeat&& aCall);
  void Serve(CallerId aCaller, WorkerDeparture&& aCall);
  void Serve(CallerId aCaller, ConfigurationPut&& aCall);
  void Serve(CallerId aCaller, ConfigurationQuery&& aCall);
  void Serve(CallerId aCaller, WaveStart&& aCall);
  void Serve(CallerId aCaller, WaveQuery&& aCall);
  void Serve(CallerId aCaller, InvalidCall&& aCall);
  void Submit(CallerId aCaller,
              const jobs::Queue& aQueue,
              const jobs::Team* aTeam,
              jobs::JobId aJob,
              QueueCall&& aCall);
  AdmissionDecision Admit(jobs::JobId aJob,
                          const jobs::Queue& aQueue,
                          const TeamId& aTeam,
                          const jobs::JobDescription& aDescription);
  bool IsVisible(const jobs::Job& aJob,
                 const jobs::Queue& aQueue,
                 const jobs::Team* aTeam) const;
  void CancelJob(CallerId aCaller, jobs::JobId aJob);
  void CancelUnknownJob(CallerId aCaller, jobs::CancelledJob aJob);
  bool IsCancellationProposed(const jobs::CancelledJob& aJob,
                              const TeamId& aTeam) const;
  bool WasCancelled(const jobs::CancelledJob& aJob) const;
  void ReplyWithProgress(CallerId aCaller, const jobs::Job& aJob);
  /// Dispatches if due, and proposes the collected operations as log entries.
  void Flush(ClockReading aNow);
  void CloseBatch();
  bool CanPropose() const;
  void FailBatch(BatchId aBatch, const Reply& aReply);
  void HandleDeferredReplies();

  ControllerSink& sink_;
  FencingToken fence_;
  /// The first batch that is proposed under the current leadership.
  BatchId firstBatch_;
  jobs::JobStateMachine stateMachine_;
  Scheduler scheduler_;
  HostPlanner hostPlanner_;
  ClockReading now_;
  jobs::Operations openOperations_;
  std::size_t openBatchBytes_ = 0;
  std::vector<PendingReply> openReplies_;
  std::deque<Batch> queuedBatches_;
  std::map<BatchId, std::vector<PendingReply>> inFlightReplies_;
  std::uint64_t lastBatchId_ = 0;
  BacklogAdmission admission_;
  /// Jobs whose acceptance is proposed and not committed.
  std::unordered_set<jobs::JobId> proposedJobs_;
  /// Jobs whose early cancellation is proposed and not committed, by team.
  std::map<TeamId, std::set<jobs::CancelledJob>> proposedCancellations_;
  /// Replies that came while this host held no leader lease. They are handled
  /// once it has renewed the lease, and dropped if another host leads.
  std::vector<WorkerReply> deferredReplies_;
  Time nextFlush_;
  Time nextTick_;
  Time nextPlanning_;
  Time nextDemandSample_;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_CONTROLLER_H
