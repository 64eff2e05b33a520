/// \file
/// A model of workers, the agreed log and leaders that change, for the
/// controller's tests. It delivers calls late or twice as far as a test asks
/// for it, and checks after each event what must always hold.

#ifndef GREENGAGE_SCHEDULE_UNITTESTS_MODELFLEET_H
#define GREENGAGE_SCHEDULE_UNITTESTS_MODELFLEET_H

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
#include <vector>

namespace greengage::schedule {

/// Accepts one configuration: queue "plan" on pool "lines", open, with the
/// attempts, quota and spare pool that a test sets.
class ModelReader final : public jobs::ConfigurationReader
{
public:
  std::optional<jobs::Configuration> Read(std::string_view aText,
                                          Error& aReason) const override;
  std::uint32_t maxAttempts = 3;
  jobs::Resources quota;
  std::optional<jobs::AdvicePolicy> advice;
};

/// How a run goes on a model worker.
struct ModelTask
{
  Duration runTime = Duration(800);
  /// How many runs fail before one succeeds.
  std::uint32_t failures = 0;
};

/// What goes wrong, as chances of 0 to 100 for each call to a worker.
struct ModelFaults
{
  /// The call is carried out, and its answer is lost.
  int loseAnswer = 0;
  /// The call gets no answer and is carried out 2 to 12 s later.
  int late = 0;
};

class ModelFleet : private ControllerSink
{
public:
  /// \param aHasProvider whether hosts can be moved and maintained.
  explicit ModelFleet(std::uint64_t aSeed = 1, bool aHasProvider = false);
  ~ModelFleet() override;

  /// Lets \p aSpan pass.
  void Run(Duration aSpan);
  /// Runs until \p aIsDone or for \p aSpan at most; whether it is done.
  bool RunUntil(const std::function<bool()>& aIsDone, Duration aSpan);

  /// Adds a worker to the pool "lines" and has it beat.
  void AddWorker(const std::string& aId,
                 jobs::Resources aCapacity = kRoom,
                 const std::string& aRack = "r1");
  /// Adds a host to the spare pool; no worker runs on it.
  void AddSpareHost(const std::string& aName);
  /// The pool of a host, as its provider knows it.
  std::string PoolOf(const std::string& aHost) const;
  /// Hosts that are in the pool "lines" or on their way to it.
  std::size_t HostsInLines() const;
  /// The worker is gone without a word; it comes back as a new life under the
  /// same id if \p aBackAfter is given.
  void CrashWorker(const std::string& aId, std::optional<Duration> aBackAfter);
  /// The worker's answers and the calls to it are lost for a while.
  void CutWorker(const std::string& aId, Duration aSpan);
  /// A new leader takes over, while calls of the old one are under way.
  void ChangeLeader();

  jobs::JobId Submit(std::vector<jobs::Step> aSteps, ModelTask aTask = {});
  void Cancel(jobs::JobId aJob);
  /// The state of a job as a client sees it.
  std::optional<JobProgress> StateOf(jobs::JobId aJob);
  /// The latest reply to a call of a client.
  const Reply* LastReply() const { return lastReply_ ? &*lastReply_ : nullptr; }
  void Ask(schedule::Call aCall);

  /// Runs of a step that are on \p aWorker.
  std::size_t RunsOn(const std::string& aWorker) const;
  /// Runs on all workers that are up.
  std::size_t RunsInAll() const;
  /// Whether any run of the job is on a worker that is up.
  bool HasRun(jobs::JobId aJob) const;

  ModelFaults faults;
  ModelReader reader;
  /// Broken rules, in words; empty while all holds.
  std::vector<std::string> broken;
  /// Calls that the provider of hosts got.
  std::vector<HostCall> hostCalls;
  /// The most hosts of a wave that were down for it at once.
  std::size_t mostMaintained = 0;
  /// Whether the provider leaves calls unanswered.
  bool isProviderSilent = false;
  /// Workers on which runs take fifty times as long.
  std::set<std::string> slowWorkers;
  /// Workers that the placement policy forbids.
  std::set<std::string> forbidden;
  /// Workers named in all calls for advice, and starts refused for their
  /// permit.
  std::size_t workersAsked = 0;
  std::size_t permitsRefused = 0;
  /// Runs that ended since the rest of their gang did not come.
  std::size_t endedAlone = 0;
  std::mt19937_64 random;

  static constexpr jobs::Resources kRoom{ MilliCores(4000),
                                          Mebibytes(8192),
                                          Accelerators(0) };

private:
  struct ModelRun
  {
    Attempt attempt;
    Time endsAt;
    bool fails = false;
    Time startedAt;
  };
  struct ModelWorker
  {
    jobs::WorkerRecord record;
    bool isUp = true;
    Time cutUntil;
    /// The worker's clock less the model's.
    Duration clockOffset;
    Fence fence;
    Time leaseEnd;
    std::map<TaskId, ModelRun> runs;
    std::map<TaskId, Attempt> highest;
    std::deque<ListedEnd> ended;
    std::map<EndNumber, Time> endedAt;
    /// When the lease was last seen to have run out.
    Time lapsedAt;
    std::uint64_t lastEnd = 0;
    std::uint64_t sequence = 0;
    Time nextBeat;
    /// A lease call that waits for an end.
    std::optional<std::pair<WorkerCall, Time>> waiting;
    std::uint64_t waitingLeader = 0;
  };
  struct JobModel
  {
    std::vector<jobs::Step> steps;
    ModelTask task;
    std::optional<Time> cancelledAt;
    std::map<TaskId, std::uint32_t> notedFailures;
    /// Ends that a worker was allowed to forget.
    std::set<TaskId> notedDone;
    /// Ends that happened, noted or not.
    std::set<TaskId> succeeded;
  };

  /// A permit that the adviser has given.
  struct ModelPermit
  {
    jobs::StepId step;
    std::string worker;
    jobs::Incarnation life;
    Time goodUntil;
  };

  /// A host as its provider knows it.
  struct ModelHost
  {
    PoolId pool;
    std::string worker;
    Time awayUntil;
    bool isMaintained = false;
    std::set<jobs::WaveId> waves;
  };

  // ControllerSink.
  bool Propose(BatchId aBatch, const std::string& aEntry) override;
  void Call(WorkerCall&& aCall) override;
  void Call(HostCall&& aCall) override;
  void Call(AdviceCall&& aCall) override;
  void Answer(CallerId aCaller, Reply&& aReply) override;

  Moment Now() const;
  void At(Duration aDelay, std::function<void()> aEvent);
  void StartLeader();
  void Beat(ModelWorker& aWorker);
  void Deliver(const WorkerCall& aCall,
               std::uint64_t aLeader,
               Time aSentAt,
               bool aAnswers);
  std::optional<WorkerReply> Execute(ModelWorker& aWorker,
                                     const WorkerCall& aCall);
  void Start(ModelWorker& aWorker, const StartRun& aStart, WorkerReply& aReply);
  void Stop(ModelWorker& aWorker, const StopRun& aStop);
  void Renew(ModelWorker& aWorker, const RenewLease& aRenew);
  void List(const ModelWorker& aWorker, WorkerReply& aReply) const;
  void EndRun(ModelWorker& aWorker, const TaskId& aTask, ListedEndKind aHow);
  void Return(const WorkerReply& aReply, std::uint64_t aLeader);
  void NoteFault(Duration aSpan);
  void TickWorkers();
  bool IsPermitted(const ModelWorker& aWorker, const StartRun& aStart) const;
  void CheckStart(const ModelWorker& aWorker, const StartRun& aStart);
  void CheckAlways();
  std::uint32_t PercentOf(const TaskId& aTask, const ModelRun& aRun) const;
  void TickGangs();
  HostReply ListAllHosts() const;
  void CheckOrder(const HostCall& aCall);
  HostAnswer Reassign(const HostId& aHost, const PoolId& aPool, bool aIsUpkeep);
  void Break(std::string aWhat);
  const jobs::Step* StepOf(const TaskId& aTask) const;

  Time now_{ 1000000 };
  std::multimap<Time, std::function<void()>> events_;
  std::vector<std::string> log_;
  std::unique_ptr<Controller> controller_;
  std::uint64_t leader_ = 0;
  std::uint64_t lastCaller_ = 0;
  std::uint64_t lastJob_ = 0;
  std::map<std::string, ModelWorker> workers_;
  bool hasProvider_;
  std::map<std::string, ModelHost> hosts_;
  std::uint64_t lastHostWorker_ = 0;
  struct LastOrder
  {
    Fence fence;
    Time at;
  };
  std::map<HostId, LastOrder> lastOrders_;
  std::map<jobs::JobId, JobModel> jobs_;
  std::optional<Reply> lastReply_;
  std::map<CallerId, jobs::JobId> cancels_;
  std::map<std::string, ModelPermit> permits_;
  Time adviserFreeAt_;
  /// Since when no fault has an effect.
  Time calmSince_;
};

} // namespace greengage::schedule

#endif // GREENGAGE_SCHEDULE_UNITTESTS_MODELFLEET_H
