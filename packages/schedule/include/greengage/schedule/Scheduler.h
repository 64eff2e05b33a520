/// \file
/// The leader's decisions about runs: which task goes to which worker, and what
/// follows from what workers answer, list or leave unanswered. Events and a
/// time go in, operations and calls come out.

#ifndef GREENGAGE_SCHEDULE_SCHEDULER_H
#define GREENGAGE_SCHEDULE_SCHEDULER_H

#include "greengage/core/Ids.h"
#include "greengage/jobs/JobBook.h"
#include "greengage/schedule/Messages.h"
#include "greengage/schedule/Outbox.h"
#include "greengage/schedule/PlacementAdvice.h"
#include "greengage/schedule/WorkerSession.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace greengage::schedule {

/// Bounds that the deployment sets.
struct SchedulerOptions
{
  /// The longest lease that workers give.
  Duration maxLease = Duration::Seconds(10);
  /// How long a run goes on without a renewal; at most \p maxLease.
  Duration lease = Duration(4500);
  /// How long the records of jobs that have ended are kept.
  Duration retention = Duration::Seconds(180);
};

/// What the tasks of a pool's queues ask for.
struct PoolDemand
{
  /// In thousandths of a core.
  std::int64_t processors = 0;
  /// In mebibytes.
  std::int64_t memory = 0;
  /// Steps with persistent tasks that do not run, or can't leave their worker.
  std::uint32_t persistentWaiting = 0;
};

/// Decides for the fleet while this host leads.
class Scheduler final : public jobs::JobBookObserver
{
public:
  /// The references must outlive the scheduler.
  Scheduler(SchedulerOptions aOptions,
            const jobs::JobBook& aBook,
            Outbox& aOutbox);

  /// This host leads from now on, with \p aFence as its fencing token. All that
  /// the book says is assigned may run until the workers' lists say otherwise.
  void Lead(Fence aFence, Moment aNow);
  /// This host does not lead.
  void Follow();
  bool IsLeading() const { return fence_.has_value(); }

  /// A worker whose beat is in the book was heard.
  void Hear(const WorkerBeat& aBeat, Time aNow);
  void On(const WorkerReply& aReply, Moment aNow);
  void On(const AdviceReply& aReply, Moment aNow);
  /// Reacts to the time; to be called every few tens of milliseconds.
  void Tick(Moment aNow);
  /// Assigns what can run. To be called once after a batch of events.
  void Dispatch(Moment aNow);
  bool IsDispatchDue() const { return isDirty_; }

  /// The session of a worker, or null.
  const WorkerSession* Find(jobs::WorkerNumber aWorker) const;
  /// Gives the worker no new work, or gives it work again.
  void Cordon(jobs::WorkerNumber aWorker, bool aIsCordoned);
  /// Moves runs off a worker that do not end by themselves, as far as the
  /// availability of their steps allows.
  void Evacuate(jobs::WorkerNumber aWorker);
  /// Whether room on the worker is kept for a task that is not there yet.
  bool IsHeld(jobs::WorkerNumber aWorker) const;
  /// What the tasks of each pool's queues take or will shortly ask for.
  std::map<PoolId, PoolDemand> Demand() const;

  /// Jobs of the queue of which no task was ever assigned.
  std::uint64_t PendingIn(const jobs::QueueId& aQueue) const;

  // From the book.
  void OnConfiguration() override;
  void OnJobAccepted(const jobs::Job& aJob) override;
  void OnJobEnded(const jobs::Job& aJob) override;
  void OnAssigned(const jobs::AssignTask& aAssignment) override;
  void OnAssignmentVoid(const jobs::AssignTask& aAssignment) override;
  void OnRunEnded(const jobs::EndTask& aEnd,
                  jobs::WorkerNumber aWorker) override;
  void OnWorker(jobs::WorkerNumber aWorker) override;
  void OnWorkerRetired(jobs::WorkerNumber aWorker) override;

  /// The time that the observer calls refer to.
  void SetNow(Moment aNow) { now_ = aNow; }

private:
  enum class CallKind : std::uint8_t
  {
    Start,
    Stop,
    Renew,
    Throttle,
  };
  struct PendingCall
  {
    CallKind kind;
    jobs::WorkerNumber worker;
    TaskId task;
    Attempt attempt;
    Time sentAt;
    std::uint64_t renewal = 0;
  };

  // Workers and runs; in SchedulerWorkers.cpp, calls to workers in
  // SchedulerCalls.cpp, and what they list in SchedulerLists.cpp.
  WorkerSession* SessionOf(jobs::WorkerNumber aWorker);
  const jobs::WorkerRecord& RecordOf(const WorkerSession& aSession) const;
  void Send(WorkerSession& aSession,
            PendingCall aPending,
            WorkerRequest aRequest,
            Duration aTimeout);
  void SendStart(WorkerSession& aSession, const TaskId& aTask, Run& aRun);
  void SendStop(WorkerSession& aSession,
                const TaskId& aTask,
                Attempt aAttempt,
                Run* aRun);
  void Renew(WorkerSession& aSession);
  void TickSession(WorkerSession& aSession);
  void TickRun(WorkerSession& aSession, const TaskId& aTask, Run& aRun);
  void ExpireLease(WorkerSession& aSession);
  void OnStartReply(WorkerSession& aSession,
                    const PendingCall& aCall,
                    const WorkerReply& aReply);
  void OnStopReply(WorkerSession& aSession,
                   const PendingCall& aCall,
                   const WorkerReply& aReply) const;
  void OnRenewReply(WorkerSession& aSession,
                    const PendingCall& aCall,
                    const WorkerReply& aReply);
  void TakeEnds(WorkerSession& aSession, const WorkerReply& aReply);
  bool TakeRuns(WorkerSession& aSession, const WorkerReply& aReply);
  void WatchProgress(WorkerSession& aSession,
                     const ListedRun& aListed,
                     Run& aRun);
  void FindLostRuns(WorkerSession& aSession,
                    const PendingCall& aCall,
                    const WorkerReply& aReply);
  void KeepTargets(WorkerSession& aSession, const WorkerReply& aReply);
  void EndRun(WorkerSession& aSession,
              const TaskId& aTask,
              Run& aRun,
              jobs::RunEnd aHow,
              std::string aCheckpoint,
              const char* aWhy);
  void GiveUpEarlierLives(jobs::WorkerNumber aWorker);
  bool IsOfOtherLife(const WorkerSession& aSession,
                     const WorkerReply& aReply) const;
  Fence FenceOf(const WorkerSession& aSession) const;
  void EndRunsOfEarlierLives(const WorkerSession& aSession,
                             const WorkerReply& aReply);
  void Adopt(const jobs::Job& aJob);

  void DropStaleHolds();
  bool IsAtWork(const WorkerSession& aSession, const TaskId& aTask) const;
  bool MayStop(const TaskId& aTask) const;
  bool HasRoomElsewhere(const WorkerSession& aSession, const TaskId& aTask);

  // Placement; in SchedulerPlacement.cpp. The order of jobs and their demand
  // are in SchedulerOrder.cpp, held room in SchedulerHolds.cpp, permits in
  // SchedulerAdvice.cpp.
  struct Candidate
  {
    const jobs::Job* job;
    PoolId pool;
    std::uint32_t priority;
    /// When the job has to go on at the latest to meet its objective, on the
    /// wall clock.
    Time latestStart;
    /// Set where only some workers may run the job.
    std::optional<jobs::AdvicePolicy> advice = {};
    /// It can't meet its objective any more.
    bool isLate = false;
  };
  std::vector<Candidate> Candidates() const;
  void DispatchJob(const Candidate& aCandidate);
  void DispatchStep(const Candidate& aCandidate,
                    std::uint32_t aOccurrence,
                    std::uint32_t aStep);
  bool Place(const Candidate& aCandidate, const TaskId& aTask, bool aMayHold);
  void Suspend(WorkerSession& aSession, const char* aWhy) const;
  Duration RunTimeOf(const jobs::Job& aJob, const jobs::Step& aStep) const;
  Duration ChainOf(const jobs::Job& aJob, bool aIsLeftOnly) const;
  void LearnRunTime(const jobs::Job& aJob, const Run& aRun);
  Candidate CandidateOf(const jobs::Job& aJob, const PoolId& aPool) const;
  bool MakeHold(const Candidate& aCandidate,
                const TaskId& aTask,
                jobs::WorkerNumber aExcept);
  void DropHold(const TaskId& aTask);
  bool IsHoldMet(const TaskId& aTask);
  static bool Suits(const WorkerSession& aSession,
                    const jobs::WorkerRecord& aRecord,
                    const Candidate& aCandidate,
                    const TaskId& aTask);
  bool IsPermitted(const jobs::WorkerRecord& aRecord,
                   const Candidate& aCandidate,
                   const TaskId& aTask) const;
  void AskAdvice(const Candidate& aCandidate, const TaskId& aTask);
  void AskAhead(const Candidate& aCandidate);
  void DispatchGang(const Candidate& aCandidate, const TaskId& aFirst);
  WorkerSession* Choose(const Candidate& aCandidate, const TaskId& aTask);
  bool IsWithinQuota(const TeamId& aTeam,
                     const jobs::Resources& aRequest) const;
  void Reserve(WorkerSession& aSession,
               const jobs::Job& aJob,
               const TaskId& aTask,
               Attempt aAttempt);
  RackId RackFor(const Candidate& aCandidate, const TaskId& aTask) const;
  void ProposeAssignment(const WorkerSession& aSession, const TaskId& aTask);
  void Release(WorkerSession& aSession, const TaskId& aTask);
  void TrackPending(const jobs::Job& aJob);
  void ForgetOldJobs();

  SchedulerOptions options_;
  const jobs::JobBook& book_;
  Outbox& outbox_;
  std::optional<Fence> fence_;
  Moment now_;
  std::map<jobs::WorkerNumber, WorkerSession> sessions_;
  std::unordered_map<WorkerCallId, PendingCall> calls_;
  std::uint64_t lastCall_ = 0;
  /// Jobs that have not ended.
  std::unordered_set<jobs::JobId> live_;
  std::unordered_set<jobs::JobId> unbegun_;
  /// Tasks whose assignment is proposed and not committed.
  std::set<TaskId> proposed_;
  std::unordered_map<TeamId, jobs::Resources> usage_;
  /// Mean run times of the tasks of each queue, in milliseconds.
  std::map<jobs::QueueId, double> runTimes_;
  /// The last pool of queues that the configuration no longer names.
  std::map<jobs::QueueId, PoolId> pools_;
  /// Room that is kept for a task on a worker until it is there in full; it
  /// counts as used. Without it small tasks would take each bit that gets free.
  struct Hold
  {
    jobs::WorkerNumber worker;
    jobs::Resources taken;
    Time until;
  };
  std::map<TaskId, Hold> holds_;
  /// Pools of which the first task without room has a hold.
  std::set<PoolId> heldPools_;
  PlacementAdvice advice_;
  /// When a task that was to leave its worker last found no other in its pool.
  std::map<PoolId, Time> lackingRoom_;
  bool isDirty_ = false;
  Time nextForget_;
  Time nextDispatch_;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_SCHEDULER_H
