/// \file
/// The leader's scheduling decisions: which worker runs which task, and how to
/// react to the replies, lists and timeouts of workers. Takes events and the
/// current time as input; emits operations and calls through an Outbox.

#ifndef GREENGAGE_SCHEDULE_SCHEDULER_H
#define GREENGAGE_SCHEDULE_SCHEDULER_H

#include "greengage/core/Ids.h"
#include "greengage/jobs/JobStateMachine.h"
#include "greengage/schedule/Admission.h"
#include "greengage/schedule/ExecutionTimes.h"
#include "greengage/schedule/JobDeferral.h"
#include "greengage/schedule/Messages.h"
#include "greengage/schedule/Outbox.h"
#include "greengage/schedule/PermitCache.h"
#include "greengage/schedule/PoolIndex.h"
#include "greengage/schedule/WorkerSession.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace greengage::schedule {

/// Limits set by the deployment.
struct SchedulerOptions
{
  /// The longest lease that workers grant.
  Duration maxLease = Duration::Seconds(10);
  /// Lease duration: how long a run continues without a renewal. At most
  /// \p maxLease.
  Duration lease = Duration(4500);
  /// How long the records of ended jobs are kept.
  Duration retention = Duration::Seconds(180);
};

/// How much work dispatch has done since the start of the process.
struct DispatchWork
{
  std::uint64_t passes = 0;
  /// Jobs that were ranked for placement.
  std::uint64_t rankedJobs = 0;
  /// Workers that were checked for a task's placement or reservation.
  std::uint64_t examinedWorkers = 0;
  std::uint64_t proposedRuns = 0;
};

/// What the log shows of a pool and of its jobs with an objective.
struct PoolLoad
{
  /// The pool's workers, and those that take new runs.
  std::size_t workers = 0;
  std::size_t usableWorkers = 0;
  /// Of the usable workers.
  MilliCores capacity;
  MilliCores inUse;
  /// Jobs of which no task has been given a place, and those of them that can
  /// no longer meet their objective.
  std::size_t unbegunJobs = 0;
  std::size_t lateUnbegunJobs = 0;
  /// The other live jobs.
  std::size_t begunJobs = 0;
  std::size_t lateBegunJobs = 0;
  ExecutionTimes times;
};

/// The resource demand of the queues of a pool.
struct PoolDemand
{
  /// In thousandths of a core.
  std::int64_t processors = 0;
  /// In mebibytes.
  std::int64_t memory = 0;
  /// Number of steps with persistent tasks that wait for a worker, plus one if
  /// a task could recently not be moved to another worker of the pool for lack
  /// of capacity.
  std::uint32_t persistentWaiting = 0;
};

/// Schedules tasks on the workers of the fleet while this host is the leader.
class Scheduler final : public jobs::JobStateObserver
{
public:
  /// \p aStateMachine and \p aOutbox must outlive the scheduler.
  Scheduler(SchedulerOptions aOptions,
            const jobs::JobStateMachine& aStateMachine,
            Outbox& aOutbox);

  /// Called when this host becomes the leader, with \p aFence as its fencing
  /// token. Every task that the job state machine records as assigned is
  /// treated as possibly running until the lists of its worker show otherwise.
  void BecomeLeader(FencingToken aFence, ClockReading aNow);
  /// Called when this host loses leadership. Discards the state of workers and
  /// jobs but keeps the learned run times.
  void BecomeFollower();
  bool IsLeading() const { return fence_.has_value(); }

  /// Handles a worker's heartbeat. That of an incarnation that is not
  /// registered in the job state machine yet takes effect with its
  /// registration.
  void OnHeartbeat(const WorkerHeartbeat& aBeat, Time aNow);
  /// Whether a later heartbeat of the same incarnation or one of a later
  /// incarnation has been handled before.
  bool IsOutdated(const WorkerHeartbeat& aBeat) const;
  void On(const WorkerReply& aReply, ClockReading aNow);
  void On(const AdviceReply& aReply, ClockReading aNow);
  /// Processes timeouts. Must be called every few tens of milliseconds.
  void Tick(ClockReading aNow);
  /// Assigns ready tasks to workers. Must be called once after each batch of
  /// events.
  void Dispatch(ClockReading aNow);
  /// When Dispatch has to be called next, if at all.
  std::optional<Time> NextDispatch() const;
  const DispatchWork& Work() const { return work_; }
  std::size_t LiveJobCount() const { return liveJobs_.size(); }
  /// \returns the load of each pool that has live jobs with an objective.
  std::map<PoolId, PoolLoad> ComputeLoads() const;
  /// \returns the number of persistent tasks that had had no run for at least
  /// 5 s when they were last checked, which is once a second.
  std::size_t IdlePersistentTaskCount() const { return idlePersistentTasks_; }

  /// \returns the session of a worker, or null.
  const WorkerSession* FindSession(jobs::WorkerNumber aWorker) const;
  /// Calls the worker, to see whether it is up, unless a call is on its way.
  void Contact(jobs::WorkerNumber aWorker);
  /// Stops or resumes the assignment of new runs to the worker.
  void Cordon(jobs::WorkerNumber aWorker, bool aIsCordoned);
  /// Moves persistent runs off the worker, within the limits on unavailable
  /// tasks of their steps.
  void Evacuate(jobs::WorkerNumber aWorker);
  /// Whether capacity on the worker is reserved for a task that has not been
  /// assigned to it yet.
  bool HasReservation(jobs::WorkerNumber aWorker) const;
  /// \returns the current and expected resource demand of each pool.
  std::map<PoolId, PoolDemand> ComputeDemand() const;

  /// \returns the job with the load that it would add to. The capacity of the
  /// pool is that of its own workers.
  JobOffer MakeOffer(jobs::JobId aJob,
                     const jobs::Queue& aQueue,
                     const TeamId& aTeam,
                     const jobs::JobDescription& aDescription);
  /// Counts a job that is about to be accepted into the load of later offers.
  void CountOffer(const jobs::Queue& aQueue,
                  const TeamId& aTeam,
                  const jobs::JobDescription& aDescription);

  /// \returns the number of live jobs of the queue of which no task is known to
  /// have begun.
  std::uint64_t CountPendingJobs(const jobs::QueueId& aQueue) const;

  // jobs::JobStateObserver:
  void OnConfigurationChanged() override;
  void OnJobAccepted(const jobs::Job& aJob) override;
  void OnJobEnded(const jobs::Job& aJob) override;
  void OnAssigned(const jobs::AssignTask& aAssignment) override;
  void OnAssignmentRejected(const jobs::AssignTask& aAssignment) override;
  void OnRunEnded(const jobs::EndRun& aEnd,
                  jobs::WorkerNumber aWorker) override;
  void OnCrashRecorded(const jobs::RecordCrash& aCrash,
                       const jobs::TaskCrashes& aCrashes) override;
  void OnWorkerRegistered(jobs::WorkerNumber aWorker) override;
  void OnStartRepeated(const jobs::RepeatStart& aStart) override;
  void OnWorkerRetired(jobs::WorkerNumber aWorker) override;

  /// Sets the current time for subsequent observer callbacks.
  void SetNow(ClockReading aNow) { now_ = aNow; }
  /// Sets the end of the leader lease, on the steady clock, for subsequent
  /// events. No call to a worker is made from then on: the next leader assumes
  /// that leases and starts were last granted before its own term.
  void SetLeaderLeaseEnd(Time aEnd) { leaderLeaseEnd_ = aEnd; }

private:
  enum class CallKind : std::uint8_t
  {
    Start,
    Stop,
    Renew,
    Throttle,
    /// Asks the later incarnation of a worker what it runs.
    Probe,
  };
  struct PendingCall
  {
    CallKind kind;
    jobs::WorkerNumber worker;
    TaskId task;
    Attempt attempt;
    Time sentAt;
    std::uint64_t renewalNumber = 0;
    /// The renewal was sent only to see whether the worker answers.
    bool isContact = false;
  };

  // Worker sessions and runs are implemented in SchedulerWorkers.cpp, calls to
  // workers in SchedulerCalls.cpp and the processing of their lists in
  // SchedulerReconcile.cpp.
  WorkerSession* SessionOf(jobs::WorkerNumber aWorker);
  static const jobs::WorkerRecord& RecordOf(const WorkerSession& aSession)
  {
    return *aSession.record;
  }
  bool HoldsLeaderLease() const { return now_.steady < leaderLeaseEnd_; }
  void Send(WorkerSession& aSession,
            PendingCall aPending,
            WorkerRequest aRequest,
            Duration aTimeout);
  void SendStart(WorkerSession& aSession, const TaskId& aTask, Run& aRun);
  void RepeatStart(const TaskId& aTask, Run& aRun);
  void WithholdStart(WorkerSession& aSession, const TaskId& aTask, Run& aRun);
  void SendStop(WorkerSession& aSession,
                const TaskId& aTask,
                Attempt aAttempt,
                Run* aRun);
  enum class RenewalPurpose : std::uint8_t
  {
    /// Keeps the lease and reports ended runs.
    Regular,
    /// Shows whether the worker answers, beside a regular renewal.
    Contact,
  };
  void Renew(WorkerSession& aSession,
             RenewalPurpose aPurpose = RenewalPurpose::Regular);
  void TickSession(WorkerSession& aSession);
  void TickRun(WorkerSession& aSession, const TaskId& aTask, Run& aRun);
  void RecordConfirmedStarts(WorkerSession& aSession);
  void AllowForForeignLease(WorkerSession& aSession) const;
  Time LeaseExpiryOf(const WorkerSession& aSession) const;
  void ExpireLease(WorkerSession& aSession);
  static void SettleStart(WorkerSession& aSession,
                          const PendingCall& aCall,
                          WorkerCallStatus aAnswer);
  void OnStartReply(WorkerSession& aSession,
                    const PendingCall& aCall,
                    const WorkerReply& aReply);
  void OnStopReply(WorkerSession& aSession,
                   const PendingCall& aCall,
                   const WorkerReply& aReply) const;
  void OnRenewReply(WorkerSession& aSession,
                    const PendingCall& aCall,
                    const WorkerReply& aReply);
  WorkerSession* FindSessionOfEndedRun(WorkerSession& aListing,
                                       const ListedEnd& aEnd);
  void ProcessLateEnd(WorkerSession& aSession, const ListedEnd& aEnd);
  void ProcessListedEnds(WorkerSession& aSession, const WorkerReply& aReply);
  bool ProcessListedRuns(WorkerSession& aSession, const WorkerReply& aReply);
  void CheckProgress(WorkerSession& aSession,
                     const ListedRun& aListed,
                     Time aListedAt,
                     Run& aRun);
  void EndLostRuns(WorkerSession& aSession,
                   const PendingCall& aCall,
                   const WorkerReply& aReply);
  void AdjustThrottling(WorkerSession& aSession, const WorkerReply& aReply);
  void EndRun(WorkerSession& aSession,
              const TaskId& aTask,
              Run& aRun,
              jobs::RunOutcome aOutcome,
              std::string aCheckpoint,
              const char* aReason,
              jobs::CrashSuspicion aSuspicion = jobs::CrashSuspicion::None);
  void AdoptCapacity(WorkerSession& aSession);
  void SupersedeEarlierIncarnations(jobs::WorkerNumber aWorker);
  void ChargeCrash(WorkerSession& aSession);
  void RecordCrash(const jobs::WorkerRecord& aWorker,
                   const TaskId& aTask,
                   Attempt aAttempt,
                   bool aIsStartConfirmed);
  void ChargeSuspectedRuns(const jobs::WorkerRecord& aLatest);
  bool HasSuspectedRuns(const jobs::WorkerRecord& aWorker) const;
  void DismissSuspicions(WorkerSession& aSession);
  bool AwaitsCrashProof(const TaskId& aTask) const;
  bool IsFromOtherIncarnation(const WorkerSession& aSession,
                              const WorkerReply& aReply) const;
  FencingToken FenceOf(const WorkerSession& aSession) const;
  // What concerns later incarnations is implemented in
  // SchedulerIncarnations.cpp.
  void OnLaterIncarnationAnswered(WorkerSession& aSession,
                                  jobs::Incarnation aLater);
  void ProbeLaterIncarnation(WorkerSession& aSession);
  void OnProbeReply(WorkerSession& aSession, const WorkerReply& aReply);
  void EndRunsOfEarlierIncarnations(const WorkerSession& aSession,
                                    const WorkerReply& aReply);
  void RecoverRuns(const jobs::Job& aJob);

  void CancelStaleReservations();
  bool IsAvailable(const WorkerSession& aSession, const TaskId& aTask) const;
  bool MayDisrupt(const TaskId& aTask) const;
  bool ReserveElsewhere(const WorkerSession& aSession, const TaskId& aTask);

  // Placement is implemented in SchedulerPlacement.cpp, job ordering and demand
  // in SchedulerOrder.cpp, capacity reservations in SchedulerReservations.cpp
  // and placement permits in SchedulerAdvice.cpp.
  /// What the scheduler keeps of a pool that a queue belongs to, also across
  /// configurations.
  struct PoolState
  {
    ExecutionTimes times;
    /// Whether a task that is not persistent found no place in the latest
    /// dispatch pass.
    bool isSaturated = false;
    /// The work that the pool begins per unit of time, if it is saturated and
    /// not growing.
    std::optional<MilliCores> rate;
    /// Whether hosts are on the move to the pool: the number of its usable
    /// workers has grown in the current interval or in the one before.
    bool isGrowing = false;
    /// Of the current interval: its end, and the usable workers at its start.
    Time growthIntervalEnd;
    std::size_t usableBefore = 0;
  };
  /// What the scheduler keeps of a queue, also across configurations.
  struct QueueState
  {
    /// The queue as it was last configured: a removed queue may still have
    /// jobs.
    const jobs::Queue* definition = nullptr;
    bool isRemoved = false;
    /// Moving average of the task run times, in milliseconds.
    std::optional<double> meanRunTime;
    PoolState* pool = nullptr;
  };
  enum class Timeliness : std::uint8_t
  {
    /// The job can still meet its objective, or has none.
    InTime,
    /// It can't, but will still be worth something to its client.
    Late,
    Worthless,
  };
  struct Candidate
  {
    const jobs::Job* job;
    const QueueState* queue;
    std::uint32_t priority;
    /// The latest time, on the wall clock, at which the remaining steps must
    /// start for the job to meet its objective or, if it is late, to be worth
    /// something.
    Time latestStart;
    Timeliness timeliness = Timeliness::InTime;
    /// Served after the others, since not all can be in time.
    bool isDeferred = false;

    const PoolId& Pool() const { return queue->definition->pool; }
    /// Set if workers need a permit.
    const std::optional<jobs::PlacementPolicy>& AdvicePolicy() const
    {
      return queue->definition->advice;
    }
  };
  std::vector<Candidate> LiveCandidates() const;
  static bool IsServedBefore(const Candidate& aLeft, const Candidate& aRight);
  std::vector<Candidate> RankedCandidates() const;
  void DeferCandidates(std::vector<Candidate>& aCandidates) const;
  bool DeferCandidatesOf(const PoolState& aPool,
                         std::vector<Candidate>& aCandidates) const;
  PendingJob MakePendingJob(const Candidate& aCandidate) const;
  static MilliCoreMillis WaitingWork(const jobs::Step& aStep,
                                     const jobs::StepState& aState,
                                     const QueueState& aQueue);
  void MeasureRates();
  void NoteGrowth(PoolState& aPool, std::size_t aUsableWorkers) const;
  static bool HasDispatchableStep(const jobs::Job& aJob);
  static bool HasBegun(const jobs::Job& aJob);
  /// Null if the queue is not known.
  const QueueState* FindQueue(const jobs::QueueId& aQueue) const;
  void LogQueueChanges(
    const std::vector<const jobs::KnownQueue*>& aQueues) const;
  static Time DueTime(const jobs::Job& aJob, std::uint32_t aOccurrence);
  void DispatchJob(const Candidate& aCandidate);
  void DispatchStep(const Candidate& aCandidate,
                    std::uint32_t aOccurrence,
                    std::uint32_t aStep);
  enum class PlacementResult : std::uint8_t
  {
    Placed,
    /// The task has a reservation whose capacity is not free yet.
    Reserved,
    /// The worker to take the task is called first, to see whether it answers.
    ContactingWorker,
    /// The task may crash its worker and waits for one without others that may.
    Isolated,
    /// The job fails if the task has crashed the silent workers of its runs.
    AwaitingCrashProof,
    /// No worker can take the task, and no capacity was reserved for it.
    NoWorker,
    OverQuota,
  };
  PlacementResult PlaceTask(const Candidate& aCandidate,
                            const TaskId& aTask,
                            bool aMayReserve);
  void Suspend(WorkerSession& aSession, const char* aReason) const;
  static Duration ExpectedRunTime(const QueueState* aQueue,
                                  const jobs::Step& aStep);
  struct CriticalPaths
  {
    /// The expected run time of the critical path through all steps, and of the
    /// one through the unfinished steps.
    Duration complete;
    Duration remaining;
    /// Number of steps on the latter.
    std::int64_t remainingSteps = 0;
  };
  CriticalPaths ComputePaths(const jobs::Job& aJob,
                             const QueueState& aQueue) const;
  void UpdateMeanRunTime(const jobs::Job& aJob,
                         const Run& aRun,
                         std::optional<Time> aListedAt);
  void CountTimes(const TaskId& aTask, const Run& aRun);
  Candidate MakeCandidate(const jobs::Job& aJob,
                          const QueueState& aQueue) const;
  bool ReserveCapacity(const Candidate& aCandidate,
                       const TaskId& aTask,
                       jobs::WorkerNumber aExcluded);
  void CancelReservation(const TaskId& aTask);
  bool IsReservedCapacityFree(const TaskId& aTask);
  static WorkerClass ClassOf(const Candidate& aCandidate,
                             const jobs::Step& aStep);
  static bool IsInClass(const jobs::WorkerRecord& aRecord,
                        const Candidate& aCandidate,
                        const jobs::Step& aStep);
  static bool IsEligible(const WorkerSession& aSession,
                         const jobs::WorkerRecord& aRecord,
                         const Candidate& aCandidate,
                         const TaskId& aTask);
  bool IsPermitted(const jobs::WorkerRecord& aRecord,
                   const Candidate& aCandidate,
                   const TaskId& aTask) const;
  void RequestStepPermits(const Candidate& aCandidate, const TaskId& aTask);
  void PrefetchPermits(const Candidate& aCandidate);
  void DispatchGang(const Candidate& aCandidate, const TaskId& aFirst);
  /// A task that looks for a worker.
  struct PlacementRequest
  {
    const Candidate& candidate;
    TaskId task;
    const jobs::Step& step;
    const jobs::TaskState& state;
    jobs::Resources allocation;
    /// Empty if there is no preference.
    RackId rack;
    /// A run of the task, or of its gang, has failed.
    bool hasFailed = false;
    bool isSuspect = false;
    bool mustBeIsolated = false;
  };
  /// How well a worker suits a task, in the order of what counts most. The
  /// highest rank wins.
  struct PlacementRank
  {
    /// Neither beside a task that may crash the worker, nor, if the task may,
    /// beside persistent runs.
    bool isHarmless = false;
    bool sparesRecentStarts = false;
    /// A task that has failed is neither on the worker of its latest run nor on
    /// one whose latest run failed: attempts count more than the rack.
    bool avoidsFailingWorker = false;
    bool isOnPreferredRack = false;
    bool differsFromLastWorker = false;
    bool avoidsInterference = false;
    /// Packing persistent tasks onto the same workers keeps them off other
    /// hosts, so that those can be moved to another pool.
    bool hasSameKind = false;
    /// Persistent tasks of one step are spread out, because only a limited
    /// number of them may be moved off a host at a time. Negative.
    std::int64_t runsOfStep = 0;
    /// Of processors; negative, so that the fullest worker wins, unless the
    /// task may crash its worker.
    std::int64_t spareProcessors = 0;

    friend auto operator<=>(const PlacementRank&,
                            const PlacementRank&) = default;
  };
  PlacementRequest MakePlacementRequest(const Candidate& aCandidate,
                                        const TaskId& aTask);
  bool HasRoomFor(const PlacementRequest& aRequest,
                  const WorkerSession& aSession) const;
  std::optional<PlacementRank> Rank(const PlacementRequest& aRequest,
                                    const WorkerSession& aSession) const;
  WorkerSession* FindFullest(const PlacementRequest& aRequest,
                             const FreeOrder& aWorkers,
                             bool& aHasCapacity) const;
  WorkerSession* FindBest(const PlacementRequest& aRequest,
                          const FreeOrder& aWorkers,
                          bool& aHasCapacity) const;
  WorkerSession* ChooseWorker(const Candidate& aCandidate, const TaskId& aTask);
  bool HasFreshAnswer(const WorkerSession& aSession) const;
  bool IsCrashSuspect(const TaskId& aTask) const;
  bool MustBeIsolated(const TaskId& aTask) const;
  bool IsWithinQuota(const TeamId& aTeam,
                     const jobs::Resources& aRequest) const;
  void AddRun(WorkerSession& aSession,
              const jobs::Job& aJob,
              const TaskId& aTask,
              Attempt aAttempt);
  RackId PreferredRack(const Candidate& aCandidate, const TaskId& aTask);
  RackId FindRack(const Candidate& aCandidate, const TaskId& aTask) const;
  void ProposeAssignment(const WorkerSession& aSession, const TaskId& aTask);
  void RemoveRun(WorkerSession& aSession, const TaskId& aTask);
  // Reports on tasks without a run are implemented in SchedulerReport.cpp.
  struct IdleTask
  {
    Time since;
    Time nextReport;
  };
  /// Numbers of workers by what keeps each from taking a task.
  struct PlacementObstacles
  {
    std::uint32_t cordoned = 0;
    /// Silent, suspended or not reconciled.
    std::uint32_t unusable = 0;
    /// Draining or without the required label.
    std::uint32_t outOfClass = 0;
    std::uint32_t atStepLimit = 0;
    std::uint32_t full = 0;
    std::uint32_t notPermitted = 0;
    /// No obstacle is known.
    std::uint32_t suitable = 0;
  };
  bool IsRunning(const TaskId& aTask, const jobs::TaskState& aState) const;
  std::vector<TaskId> FindIdlePersistentTasks() const;
  PlacementObstacles CountObstacles(const Candidate& aCandidate,
                                    const TaskId& aTask) const;
  std::string DescribeIdleTask(const TaskId& aTask) const;
  void LogIdleTask(const TaskId& aTask, Duration aIdleTime) const;
  void ReportIdlePersistentTasks();
  void RefreshBacklogs();
  static std::int64_t WorkLeft(const jobs::Step& aStep,
                               const jobs::StepState& aState,
                               const QueueState& aQueue);
  void UpdateUnstartedJobs(const jobs::Job& aJob);
  void StopRunOfEndedJob(const TaskId& aTask, jobs::WorkerNumber aWorker);
  void ForgetExpiredJobs();

  SchedulerOptions options_;
  const jobs::JobStateMachine& stateMachine_;
  Outbox& outbox_;
  std::optional<FencingToken> fence_;
  Time leaderLeaseEnd_;
  /// The fencing token that this host led with last.
  std::optional<FencingToken> lastFence_;
  /// Whether this host has led with the current fencing token before.
  bool isFenceReused_ = false;
  ClockReading now_;
  std::map<jobs::WorkerNumber, WorkerSession> sessions_;
  /// The latest heartbeat of each worker that this host has handled as a
  /// leader.
  std::map<jobs::WorkerId, WorkerHeartbeat> latestHeartbeats_;
  PoolIndex poolIndex_;
  std::map<jobs::WorkerId, std::set<jobs::WorkerNumber>> supersededWorkers_;
  std::unordered_map<WorkerCallId, PendingCall> pendingCalls_;
  std::uint64_t lastCallId_ = 0;
  /// Jobs that have not ended.
  std::unordered_set<jobs::JobId> liveJobs_;
  /// Live jobs of which no task is known to have begun. An assigned task may
  /// wait for its worker's answer for seconds.
  std::unordered_set<jobs::JobId> unstartedJobs_;
  /// Tasks whose assignment is proposed but not committed.
  std::set<TaskId> proposedTasks_;
  /// Resources charged to each team's quota.
  std::unordered_map<TeamId, jobs::Resources> quotaUsage_;
  std::map<PoolId, PoolState> pools_;
  std::unordered_map<jobs::QueueId, QueueState> queues_;
  std::unordered_map<TeamId, jobs::Resources> quotas_;
  /// Work left of the live jobs by pool and by team, as of \ref backlogsAt_ and
  /// with the jobs accepted since.
  std::map<PoolId, MilliCoreMillis> poolBacklogs_;
  std::unordered_map<TeamId, MilliCoreMillis> teamBacklogs_;
  Time backlogsAt_;
  LeastSlackDeferral deferral_;
  /// Scratch space for ComputePaths: the paths that end with each step.
  mutable std::vector<CriticalPaths> pathEnds_;
  /// Capacity reserved on a worker until enough is free for the task. It counts
  /// as used; otherwise small tasks would take all capacity as it is freed and
  /// starve the larger task.
  struct Reservation
  {
    jobs::WorkerNumber worker;
    jobs::Resources reserved;
    Time expiresAt;
  };
  std::map<TaskId, Reservation> reservations_;
  /// Pools in which this dispatch pass has already reached the one task that
  /// may reserve capacity: the first that cannot be placed.
  std::set<PoolId> reservingPools_;
  /// The preferred racks of steps that want one rack, in this dispatch pass.
  std::map<jobs::StepId, RackId> stepRacks_;
  /// Requests that found too little free capacity in this dispatch pass.
  UnplaceableRequests unplaceable_;
  /// Requests that found no worker to reserve capacity on, in this dispatch
  /// pass or evacuation.
  UnplaceableRequests unreservable_;
  PermitCache permitCache_;
  /// When a task to be moved last found no other worker with enough capacity,
  /// by pool.
  std::map<PoolId, Time> lastShortageAt_;
  /// Whether anything has changed that may make a task placeable.
  bool isDispatchDue_ = false;
  Time earliestDispatch_;
  Time currentDispatchAt_;
  Time previousDispatchAt_;
  Time nextRetentionScan_;
  Time nextDispatchAt_;
  /// The persistent tasks without a run, as last checked.
  std::map<TaskId, IdleTask> idleTasks_;
  std::size_t idlePersistentTasks_ = 0;
  Time nextIdleCheck_;
  mutable DispatchWork work_;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_SCHEDULER_H
