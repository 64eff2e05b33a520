/// \file
/// A simulation of workers, the replicated log, host provider and adviser for
/// the controller's tests, with changes of leader. Tests can have it delay
/// calls and drop replies, so that calls are repeated. It checks the
/// scheduler's invariants after each time step.

#ifndef GREENGAGE_SCHEDULE_UNITTESTS_SIMULATEDFLEET_H
#define GREENGAGE_SCHEDULE_UNITTESTS_SIMULATEDFLEET_H

#include "greengage/schedule/Controller.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace greengage::schedule {

/// The text of a configuration without queues.
inline constexpr const char* kNoQueues = "no queues";

/// Returns the configuration that a test has set for the text, if any. For any
/// other text but \ref kNoQueues it is a fixed one: queue "plan" on pool
/// "lines", and a pool of spare hosts. Tests set the attempt limit, quota and
/// placement policy.
class SimulatedConfigurationReader final : public jobs::ConfigurationReader
{
public:
  std::optional<jobs::Configuration> Read(std::string_view aText,
                                          Error& aReason) const override;
  Duration objective = Duration(600);
  std::uint32_t maxAttempts = 3;
  jobs::Resources quota;
  std::optional<jobs::PlacementPolicy> advice;
  std::map<std::string, jobs::Configuration, std::less<>> configurations;
};

/// How the runs of a job's tasks behave on a simulated worker.
struct TaskBehavior
{
  Duration runTime = Duration(800);
  /// Attempts up to this number fail; later ones succeed.
  std::uint32_t failures = 0;
  /// If set, each run of the first task of a step crashes its worker this long
  /// after its start.
  std::optional<Duration> crashesWorkerAfter = {};
  /// How long a worker that the task has crashed takes to restart.
  Duration restartDelay = Duration(3000);
};

/// Injected faults, as probabilities of 0 to 100 percent for each call to a
/// worker or each heartbeat.
struct FaultProbabilities
{
  /// The call is executed, but its reply is lost.
  int lostReplyPercent = 0;
  /// The call times out at the caller and is executed between \p minCallDelay
  /// and \p maxCallDelay after it was sent.
  int delayedCallPercent = 0;
  Duration minCallDelay = Duration(2000);
  Duration maxCallDelay = Duration(12000);
  /// The heartbeat arrives between \p minHeartbeatDelay and
  /// \p maxHeartbeatDelay after it was sent, and may be overtaken by later
  /// ones.
  int delayedHeartbeatPercent = 0;
  Duration minHeartbeatDelay = Duration(0);
  Duration maxHeartbeatDelay = Duration(8000);
};

/// The simulated environment of a leading controller and of deposed ones that
/// do not know yet that they are, driven by a virtual clock.
class SimulatedFleet
{
public:
  /// \param aHasProvider whether a host provider moves and maintains hosts.
  /// \param aMaxLease the longest lease that workers grant.
  explicit SimulatedFleet(std::uint64_t aSeed = 1,
                          bool aHasProvider = false,
                          Duration aMaxLease = Duration::Seconds(10));
  virtual ~SimulatedFleet();

  /// Advances the simulated time by \p aSpan.
  void Run(Duration aSpan);
  /// Runs until \p aIsDone returns true, at most for \p aSpan.
  /// \returns the last result of \p aIsDone.
  bool RunUntil(const std::function<bool()>& aIsDone, Duration aSpan);

  /// Adds a worker to the pool "lines", or restarts it as a new incarnation,
  /// and sends its first heartbeat. By default, each worker has a host of its
  /// own.
  void AddWorker(const std::string& aId,
                 jobs::Resources aCapacity = kDefaultCapacity,
                 const std::string& aRack = "r1",
                 std::vector<std::string> aLabels = {},
                 const std::string& aHost = {});
  /// Adds a host to the spare pool; no worker runs on it.
  void AddSpareHost(const std::string& aName);
  /// The pool of a host according to the provider.
  std::string PoolOf(const std::string& aHost) const;
  /// Number of hosts in the pool "lines", including those that are moving to
  /// it.
  std::size_t HostsInMainPool() const;
  /// Stops the worker without notice. If \p aRestartAfter is given, it restarts
  /// after that time with the same id as a new incarnation.
  void CrashWorker(const std::string& aId,
                   std::optional<Duration> aRestartAfter);
  /// Stops the worker without notice. After \p aAfter, worker \p aNewId starts
  /// on its host.
  void ReplaceWorker(const std::string& aId,
                     const std::string& aNewId,
                     Duration aAfter);
  bool IsUp(const std::string& aId) const;
  /// Announces the worker's departure; it stops without being restarted once
  /// \p aNotice has passed.
  void ReclaimWorker(const std::string& aId, Duration aNotice);
  /// Changes the capacity of a running worker, which its next heartbeat states.
  void SetCapacity(const std::string& aId, jobs::Resources aCapacity);
  /// Has the worker send a heartbeat that arrives after \p aDelay.
  void SendDelayedHeartbeat(const std::string& aId, Duration aDelay);
  /// Partitions the worker for \p aSpan: calls to it, its deferred replies and
  /// its heartbeats are lost.
  void PartitionWorker(const std::string& aId, Duration aSpan);
  /// Drops calls to the worker for \p aSpan, also after a restart; its
  /// heartbeats arrive.
  void BlockCalls(const std::string& aId, Duration aSpan);
  /// Drops the worker's heartbeats for \p aSpan, also after a restart; calls to
  /// it arrive.
  void BlockHeartbeats(const std::string& aId, Duration aSpan);
  /// Partitions the worker for \p aSpan from all leaders but the current and
  /// earlier ones.
  void PartitionWorkerFromSuccessors(const std::string& aId, Duration aSpan);
  /// Replaces the leader while calls of the old one are still in flight. The
  /// old one handles the notice of it after \p aNoticeDelay; its leader lease
  /// ends at once.
  void ChangeLeader(Duration aNoticeDelay = Duration(0));
  /// Restarts all control hosts: the next leader has only what the log and its
  /// snapshot hold.
  void RestartControlHosts();
  /// Ends and renews the leadership of the leader within its term.
  void RestartLeadership();
  /// Suspends the leader for \p aSpan. It then handles what has come meanwhile
  /// but clients' calls.
  void PauseLeader(Duration aSpan);
  /// From now on the leader handles each message but clients' calls \p aLag
  /// after it arrives.
  void SetHandlingLag(Duration aLag);
  /// Makes the clocks of workers that start from now on advance at this
  /// percentage of the simulated time.
  void SetWorkerClockRate(std::int64_t aPercent) { clockRate_ = aPercent; }

  jobs::JobId Submit(std::vector<jobs::Step> aSteps,
                     TaskBehavior aBehavior = {});
  void Cancel(jobs::JobId aJob);
  /// The state that a client's query of the job returns.
  std::optional<JobProgress> QueryState(jobs::JobId aJob);
  /// Number of workers that have crashed while the task ran on them.
  std::uint32_t CountCrashes(const TaskId& aTask) const;
  /// The largest number of crashes and of listed failures of a task of the job.
  std::uint32_t MaxCrashes(jobs::JobId aJob) const;
  std::uint32_t MaxFailures(jobs::JobId aJob) const;
  /// The reply to the latest call made with Send; null until it is answered.
  const Reply* LastReply() const { return lastReply_ ? &*lastReply_ : nullptr; }
  /// Passes a client's or worker's call to the controller.
  void Send(schedule::Call aCall);

  /// Number of worker incarnations that the job state machine has registered.
  std::size_t RegisteredWorkers() const;
  /// The latest attempt of a task of a live job.
  Attempt LatestAttempt(const TaskId& aTask) const;
  /// The dispatch work of the current leader since it started.
  const DispatchWork& Work() const;
  /// The number of persistent tasks that the current leader reports as idle.
  std::size_t IdlePersistentTaskCount() const;

  /// Number of entries in the replicated log.
  std::size_t LogEntryCount() const { return log_.size(); }
  /// The time from the proposal of an entry to its commit.
  static constexpr Duration kCommitLatency = Duration(10);
  Duration commitLatency = kCommitLatency;

  /// Number of runs on \p aWorker.
  std::size_t RunsOn(const std::string& aWorker) const;
  /// Number of runs on all workers that are up.
  std::size_t TotalRuns() const;
  /// Number of runs of the job on all workers that are up.
  std::size_t RunCountOf(jobs::JobId aJob) const;
  /// The workers that are up and have runs of the job.
  std::vector<std::string> WorkersWithRunsOf(jobs::JobId aJob) const;
  /// Whether any run of the job is on a worker that is up.
  bool HasRun(jobs::JobId aJob) const;

  /// Number of log entries that replaced leaders have proposed.
  std::size_t deposedLeaderProposals = 0;
  FaultProbabilities faults;
  SimulatedConfigurationReader reader;
  /// Precedes the job id in the paths of clients' calls.
  std::string pathPrefix = "/p/";
  /// The key in clients' calls.
  std::string key = "key";
  /// Descriptions of the violated invariants; empty if there are none.
  std::vector<std::string> violations;
  /// All calls that the host provider has received.
  std::vector<HostCall> hostCalls;
  /// The largest number of hosts that were under maintenance at the same time.
  std::size_t maxConcurrentMaintenance = 0;
  /// The provider neither executes nor answers calls.
  bool isProviderUnresponsive = false;
  /// The provider executes calls, but its answers are lost.
  bool losesProviderAnswers = false;
  /// A new incarnation executes calls that were sent to an earlier one, on its
  /// connections too, and also before it has executed any other call.
  bool executesCallsToEarlierIncarnations = false;
  /// Workers state their incarnation in their lists and heartbeats, and not in
  /// the replies to other calls.
  bool statesIncarnationOnlyInLists = false;
  /// Workers that start from now on never state their incarnation.
  bool statesNoIncarnation = false;
  /// A worker answers an inquiry for another incarnation as unhealthy.
  bool refusesInquiries = false;
  /// If set, the clock of a worker that starts shows a random time below it,
  /// and 0 otherwise.
  Duration maxInitialClock;
  /// Workers on which runs take kSlowWorkerFactor times as long.
  std::set<std::string> slowWorkers;
  /// Workers on which each run fails by itself shortly after its start, also
  /// the runs of a gang.
  std::set<std::string> failingWorkers;
  /// Workers for which the adviser gives no permits.
  std::set<std::string> forbiddenWorkers;
  /// Number of workers in all calls to the adviser, and of starts that were
  /// refused because their permit was missing or not valid.
  std::size_t adviceWorkerCount = 0;
  std::size_t refusedPermitCount = 0;
  /// Number of runs that ended because other members of their gang did not
  /// start in time.
  std::size_t incompleteGangRuns = 0;
  std::mt19937_64 random;

  static constexpr jobs::Resources kDefaultCapacity{ MilliCores(4000),
                                                     Mebibytes(8192),
                                                     Accelerators(0) };

private:
  struct SimulatedRun
  {
    Attempt attempt;
    Time endsAt;
    bool willFail = false;
    Time startedAt;
    /// Ends by itself, whatever the other members of its gang do.
    bool failsByWorker = false;
  };
  struct EarlierCapacity
  {
    jobs::Resources capacity;
    Time replacedAt;
  };
  /// A simulated worker: its protocol state and its runs.
  struct SimulatedWorker
  {
    jobs::WorkerRecord record;
    /// The capacities that this incarnation has had before its current one.
    std::vector<EarlierCapacity> earlierCapacities;
    bool isUp = true;
    bool statesIncarnation = true;
    Time partitionedUntil;
    /// Since when calls and heartbeats have arrived.
    Time reachableSince;
    /// The first leader that the partition concerns.
    std::uint64_t firstPartitionedTerm = 0;
    /// The rate of the worker's clock in percent of the simulated time.
    std::int64_t clockRate = 100;
    /// What the worker's clock showed when this incarnation started.
    Time initialClock;
    FencingToken highestFence;
    /// On the worker's clock.
    Time leaseEnd;
    std::map<TaskId, SimulatedRun> runs;
    std::map<TaskId, Attempt> highestAttempts;
    std::deque<ListedEnd> unacknowledgedEnds;
    /// When each run end happened.
    std::map<RunEndSequence, Time> endTimes;
    /// The latest time at which the lease was found expired.
    Time lastExpiredAt;
    std::uint64_t lastEndNumber = 0;
    std::uint64_t lastSequence = 0;
    Time nextHeartbeat;
    /// The lease renewal of each leader, by its term, whose reply is deferred
    /// until a run ends, and the latest time of the reply.
    std::map<std::uint64_t, std::pair<WorkerCall, Time>> deferredRenewals;
  };
  /// What the checks need to know of a job.
  struct SimulatedJob
  {
    std::vector<jobs::Step> steps;
    TaskBehavior taskBehavior;
    bool isAccepted = false;
    bool isCancelRequested = false;
    std::optional<Time> cancelledAt;
    std::map<TaskId, std::uint32_t> acknowledgedFailures;
    std::map<TaskId, std::uint32_t> failures;
    /// Number of workers that crashed while the task ran on them.
    std::map<TaskId, std::uint32_t> crashes;
    bool wasGivenUp = false;
    /// Number of starts of a task after kMaxToleratedCrashes crashes.
    std::map<TaskId, std::uint32_t> startsAfterCrashes;
    /// Tasks whose success the leader has acknowledged.
    std::set<TaskId> acknowledgedSuccesses;
    /// Tasks that have succeeded, acknowledged or not.
    std::set<TaskId> succeeded;
  };

  /// A permit that the adviser has issued.
  struct SimulatedPermit
  {
    jobs::StepId step;
    std::string worker;
    jobs::Incarnation incarnation;
    Time expiresAt;
  };

  /// The provider's record of a host.
  struct SimulatedHost
  {
    PoolId pool;
    std::string worker;
    Time unavailableUntil;
    bool isInMaintenance = false;
    std::set<jobs::WaveId> maintenanceWaves;
  };

  /// A task of a persistent step, for the check that it is restarted in time.
  struct PersistentTask
  {
    /// When it was last seen running or, if it never was, was accepted.
    Time lastRunAt;
    /// Since when it has had no run although there was capacity for two.
    Time startableSince;
  };

  /// A start request that has got no answer.
  struct UnansweredStart
  {
    std::string worker;
    jobs::Incarnation incarnation;
    Time sentAt;
  };

  /// A connection of a leader to a worker.
  struct Connection
  {
    /// The incarnation that has accepted it. Only that one executes what is
    /// sent on it.
    jobs::Incarnation peer;
    /// When the latest call was sent on it.
    Time sentAt;
  };
  /// Identifies a call: the term of the leader, whose call ids are its own.
  using CallKey = std::pair<std::uint64_t, WorkerCallId>;

  struct Leader;

  void Propose(std::uint64_t aTerm, BatchId aBatch, const std::string& aEntry);
  void Call(std::uint64_t aTerm, WorkerCall&& aCall);
  void Call(std::uint64_t aTerm, HostCall&& aCall);
  void Call(std::uint64_t aTerm, AdviceCall&& aCall);
  void Answer(std::uint64_t aTerm, CallerId aCaller, Reply&& aReply);

  /// Has the leader of \p aTerm handle a message after its handling lag, unless
  /// it has learnt by then that it is deposed.
  void Deliver(std::uint64_t aTerm, std::function<void(Leader&)> aHandle);
  Leader* FindLeader(std::uint64_t aTerm);
  void TickLeaders();
  Time ClockOf(const SimulatedWorker& aWorker) const;
  bool IsPartitioned(const SimulatedWorker& aWorker, std::uint64_t aTerm) const;
  bool IsReachable(const SimulatedWorker& aWorker, std::uint64_t aTerm) const;
  bool AreHeartbeatsLost(const SimulatedWorker& aWorker) const;
  ClockReading Now() const;
  void ScheduleEvent(Duration aDelay, std::function<void()> aEvent);
  std::unique_ptr<Leader> MakeLeader();
  void StartLeader();
  void StartWorker(jobs::WorkerRecord aRecord);
  void SendHeartbeat(SimulatedWorker& aWorker, Duration aDelay = Duration(0));
  void SendDueHeartbeat(SimulatedWorker& aWorker);
  Connection Connect(std::uint64_t aTerm, const WorkerCall& aCall);
  bool IsMeantForOther(const WorkerCall& aCall, const Connection& aConnection);
  void DeliverCall(const WorkerCall& aCall,
                   std::uint64_t aTerm,
                   const Connection& aConnection,
                   bool aIsReplyDelivered);
  std::optional<WorkerReply> ExecuteCall(SimulatedWorker& aWorker,
                                         const WorkerCall& aCall,
                                         Time aSentAt);
  void HandleStart(SimulatedWorker& aWorker,
                   const StartRun& aStart,
                   Time aSentAt,
                   WorkerReply& aReply);
  void HandleStop(SimulatedWorker& aWorker, const StopRun& aStop);
  void RecordCrash(const SimulatedWorker& aWorker);
  void StopWorker(SimulatedWorker& aWorker);
  void CrashWorkerOf(const TaskId& aTask, Attempt aAttempt);
  void CheckCrashLimit(const StartRun& aStart);
  void HandleRenewal(SimulatedWorker& aWorker, const RenewLease& aRenew);
  void FillLists(const SimulatedWorker& aWorker, WorkerReply& aReply) const;
  void EndRun(SimulatedWorker& aWorker,
              const TaskId& aTask,
              ListedEndKind aKind);
  void DeliverReply(const WorkerReply& aReply, std::uint64_t aTerm);
  void ExtendFaultPeriod(Duration aSpan);
  void TickWorkers();
  void SendDueReplies(SimulatedWorker& aWorker);
  bool IsPermitted(const SimulatedWorker& aWorker,
                   const StartRun& aStart) const;
  void CheckStart(const SimulatedWorker& aWorker,
                  const StartRun& aStart,
                  Time aSentAt);
  void CheckCapacity(const SimulatedWorker& aWorker,
                     const StartRun& aStart,
                     Time aSentAt);
  jobs::Resources AllocatedOn(const SimulatedWorker& aWorker) const;
  void CheckInvariants();
  bool IsGivenUp(jobs::JobId aJob);
  void CheckPersistentTasks();
  void CheckPersistentTask(const TaskId& aTask);
  std::size_t FreeSlots(const SimulatedWorker& aWorker,
                        const TaskId& aTask) const;
  bool HasCapacityForTwo(const TaskId& aTask) const;
  bool IsRunning(const TaskId& aTask) const;
  bool MayStillStart(const TaskId& aTask) const;
  void RecordGeneralFault() { lastGeneralFaultAt_ = now_; }
  std::uint32_t ProgressPercent(const TaskId& aTask,
                                const SimulatedRun& aRun) const;
  void TickGangs();
  HostReply ListAllHosts() const;
  void CheckOrderInterval(const HostCall& aCall);
  HostCallStatus ReassignHost(const HostId& aHost,
                              const PoolId& aPool,
                              bool aIsMaintenance);
  void ReportViolation(std::string aDescription);
  const jobs::Step* FindStep(const TaskId& aTask) const;

  Time now_{ 1000000 };
  std::multimap<Time, std::function<void()>> events_;
  /// The state before the first entry of the log; empty if that is the first
  /// entry ever.
  std::string snapshot_;
  std::vector<std::string> log_;
  std::unique_ptr<Leader> leader_;
  /// Replaced leaders that have not handled the notice of it.
  std::vector<std::unique_ptr<Leader>> deposedLeaders_;
  std::int64_t clockRate_ = 100;
  std::uint64_t leaderTerm_ = 0;
  std::uint64_t lastCaller_ = 0;
  std::uint64_t lastJob_ = 0;
  std::map<std::string, SimulatedWorker> workers_;
  bool hasProvider_;
  std::map<std::string, SimulatedHost> hosts_;
  std::uint64_t lastHostWorker_ = 0;
  struct LastOrder
  {
    FencingToken fence;
    Time at;
  };
  std::map<HostId, LastOrder> lastOrders_;
  std::map<jobs::JobId, SimulatedJob> jobs_;
  std::optional<Reply> lastReply_;
  std::map<CallerId, jobs::JobId> submitCalls_;
  std::map<CallerId, jobs::JobId> cancelCalls_;
  std::map<std::string, SimulatedPermit> permits_;
  Time adviserIdleAt_;
  Duration maxLease_;
  /// Until when calls to workers and heartbeats of workers are dropped.
  std::map<std::string, Time> callsBlockedUntil_;
  std::map<std::string, Time> heartbeatsBlockedUntil_;
  std::map<TaskId, PersistentTask> persistentTasks_;
  std::map<CallKey, std::pair<TaskId, UnansweredStart>> pendingStarts_;
  /// Kept connections by the term of the leader and the worker's id, the
  /// longest idle one first, and those in use.
  std::map<std::pair<std::uint64_t, std::string>, std::vector<Connection>>
    idleConnections_;
  std::map<CallKey, std::pair<std::string, Connection>> usedConnections_;
  /// The latest one of each task.
  std::map<TaskId, UnansweredStart> unansweredStarts_;
  /// The latest time at which an injected fault may still have an effect.
  Time faultsEndAt_;
  /// The latest time of a fault that concerns leaders or the whole network.
  Time lastGeneralFaultAt_;
};

/// The first and the last seed to run: 1 and 40, or those that GREENGAGE_SEEDS
/// gives as "FIRST" or "FIRST-LAST".
std::pair<std::uint64_t, std::uint64_t>
SeedRange();

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_UNITTESTS_SIMULATEDFLEET_H
