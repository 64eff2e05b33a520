/// \file
/// The replicated state of jobs, workers and waves: a deterministic state
/// machine to which every control host applies the same log.

#ifndef GREENGAGE_JOBS_JOBSTATEMACHINE_H
#define GREENGAGE_JOBS_JOBSTATEMACHINE_H

#include "greengage/core/Error.h"
#include "greengage/jobs/Configuration.h"
#include "greengage/jobs/EarlyCancellations.h"
#include "greengage/jobs/Operation.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace greengage::jobs {

enum class JobState : std::uint8_t
{
  /// Accepted and not yet completed, failed or cancelled.
  Live,
  Completed,
  Failed,
  Cancelled,
};

enum class TaskPhase : std::uint8_t
{
  /// Not assigned; eligible once the steps that it depends on are done.
  Waiting,
  /// Committed to a worker, which may not have started it yet.
  Assigned,
  /// Succeeded.
  Done,
};

/// The state of one task.
struct TaskState
{
  TaskPhase phase = TaskPhase::Waiting;
  std::uint32_t failures = 0;
  /// The latest attempt; 0 before the first.
  Attempt attempt;
  /// The worker that the latest attempt was assigned to.
  WorkerNumber worker;
  /// The worker has confirmed the start of the latest attempt, and no start
  /// request of it can be executed any more.
  bool isStartConfirmed = false;
  /// The latest attempt was given up without a result. Its worker may still
  /// list one.
  bool isResultUnknown = false;
  /// The start request of the latest attempt may have been sent several times.
  bool isStartRepeated = false;
};

/// A job fails once the crashes under one of its tasks add up to this, unless
/// the task is persistent. A crash counts twice if the start of the task was
/// confirmed before: otherwise it may never have reached the worker.
inline constexpr std::size_t kCrashScoreLimit = 5;
/// A task's crashes are forgotten if none is added for this long.
inline constexpr Duration kCrashMemory = Duration::Seconds(3600);

/// The worker crashes recorded for a task.
struct TaskCrashes
{
  /// The attempts that ended with a crash, and whether their start had been
  /// confirmed.
  std::map<Attempt, bool> attempts;
  /// The leader's wall clock time.
  Time latestAt;

  /// Compared with kCrashScoreLimit.
  std::size_t Score() const;
  /// Whether one more crash may make the job fail.
  bool IsNextDecisive() const;
};

/// A run that may have crashed its worker, which has been silent since: a later
/// incarnation of the worker, or a later worker on its host, would show that it
/// crashed.
struct SuspectedRun
{
  /// The worker.
  WorkerId id;
  HostId host;
  Incarnation incarnation;
  bool isStartConfirmed = false;
  /// The number of orders recorded for the host when the run was given up.
  std::uint64_t hostOrderCount = 0;
  /// The leader's wall clock time when the run was given up.
  Time at;
};

/// The crashes under a task, with those that are only suspected.
struct SuspectedCrashes
{
  /// Compared with kCrashScoreLimit. Zero if no run is suspected.
  std::size_t score = 0;
  /// The leader's wall clock time of the latest suspicion.
  Time latestAt;
};

/// The runs of a gang in which a member failed. All members of a run have the
/// same attempt, and none runs again before the runs of all have ended.
struct FailedGangRuns
{
  std::uint32_t count = 0;
  /// The attempt of the latest one; 0 if there is none.
  Attempt latest;

  void Record(Attempt aAttempt);
};

/// The state of one step in one occurrence of a job.
struct StepState
{
  std::vector<TaskState> tasks;
  std::uint32_t waitingTasks = 0;
  std::uint32_t doneTasks = 0;
  /// The latest checkpoint of each task, by task index.
  std::map<std::uint32_t, std::string> checkpoints;
  /// By task index, for tasks under which a worker has crashed.
  std::map<std::uint32_t, TaskCrashes> crashes;
  /// Empty if the step is not a gang.
  FailedGangRuns failedGangRuns;
};

/// One execution of all steps of a job.
struct Occurrence
{
  std::vector<StepState> steps;
  bool isDone = false;
};

/// An accepted job.
struct Job
{
  JobId id;
  /// The queue that governs the job: the one that has the job's address or, if
  /// none has, the one that last had it, also at its later address.
  QueueId queue;
  /// The queue's name when the job was accepted.
  QueueId acceptedQueue;
  /// Where the job was submitted. Empty if an earlier version accepted the job
  /// and its queue has been removed since.
  QueueAddress address;
  TeamId team;
  Time acceptedAt;
  Time endedAt;
  JobState state = JobState::Live;
  /// Whether any task has ever been assigned.
  bool wasEverAssigned = false;
  /// Number of tasks in TaskPhase::Assigned, in all occurrences.
  std::uint32_t assignedTasks = 0;
  JobDescription description;
  /// By occurrence number. Cleared once the job has ended and no task is
  /// assigned.
  std::map<std::uint32_t, Occurrence> occurrences;
  std::uint32_t completedOccurrences = 0;
};

/// A job with this limit doesn't fail, however many of its runs fail.
inline constexpr std::uint32_t kUnlimitedAttempts =
  std::numeric_limits<std::uint32_t>::max();
/// A removed queue without jobs is forgotten once more configurations in a row
/// than this lack it. A job may still be recorded in it before that: the leader
/// accepted it under a configuration that up to 16 others have followed since,
/// as two operators have up to eight changes each in progress.
inline constexpr std::uint32_t kMaxAbsences = 16;

/// A queue as the latest configuration that has it defines it. It governs the
/// queue's jobs also while the current configuration lacks it.
struct KnownQueue
{
  Queue definition;
  /// The number of configurations in a row that lack the queue; 0 if it is
  /// configured.
  std::uint32_t absences = 0;
};

/// The recorded intents to order a host from the provider.
struct OrderIntents
{
  std::uint64_t count = 0;
  /// JobStateMachine::LatestTime when the latest one was recorded; zero if it
  /// stated no time.
  Time latestAt;
};

/// A wave of host maintenance and its progress.
struct Wave
{
  StartWave plan;
  /// Hosts whose maintenance has started.
  std::set<HostId> startedHosts;
};

/// Is notified of the changes that an applied operation makes.
class JobStateObserver
{
public:
  virtual ~JobStateObserver() = default;
  virtual void OnConfigurationChanged() {}
  virtual void OnJobAccepted(const Job& /*aJob*/) {}
  /// The job has ended; some of its tasks may still be assigned.
  virtual void OnJobEnded(const Job& /*aJob*/) {}
  virtual void OnAssigned(const AssignTask& /*aAssignment*/) {}
  /// The assignment had no effect: the job has ended, the task was not waiting,
  /// the attempt was not newer, or the worker is not registered.
  virtual void OnAssignmentRejected(const AssignTask& /*aAssignment*/) {}
  virtual void OnRunEnded(const EndRun& /*aEnd*/, WorkerNumber /*aWorker*/) {}
  /// The crash was added to \p aCrashes, those of its task.
  virtual void OnCrashRecorded(const RecordCrash& /*aCrash*/,
                               const TaskCrashes& /*aCrashes*/)
  {
  }
  virtual void OnWorkerRegistered(WorkerNumber /*aWorker*/) {}
  virtual void OnStartRepeated(const RepeatStart& /*aStart*/) {}
  /// Its record is removed after the call.
  virtual void OnWorkerRetired(WorkerNumber /*aWorker*/) {}
};

/// The replicated state machine. It reads no clock and no random source, so
/// that all replicas reach the same state.
class JobStateMachine
{
public:
  /// \p aReader must outlive this object.
  explicit JobStateMachine(const ConfigurationReader& aReader);

  /// Applies one log entry and notifies \p aObserver, which may be null.
  /// \returns false, with the state unchanged, if the entry can't be decoded.
  bool Apply(std::string_view aBytes,
             JobStateObserver* aObserver,
             Error& aReason);
  std::string Snapshot() const;
  /// \returns false, with the state unchanged, if the snapshot can't be
  /// decoded.
  bool Restore(std::string_view aSnapshot, Error& aReason);

  /// Null before the first configuration.
  const Configuration* CurrentConfiguration() const
  {
    return configuration_ ? &*configuration_ : nullptr;
  }
  /// The source text of the current configuration.
  const std::string& ConfigurationText() const { return configurationText_; }

  /// The configured queues, and the removed ones that may still have jobs.
  const std::map<QueueId, KnownQueue>& Queues() const { return queues_; }
  /// The number of known queues that are not configured.
  std::size_t RemovedQueueCount() const;

  const std::unordered_map<JobId, Job>& Jobs() const { return jobs_; }
  const Job* Find(JobId aJob) const;
  const TaskState* Find(const TaskId& aTask) const;
  /// The task's crashes; null if none is recorded.
  const TaskCrashes* FindCrashes(const TaskId& aTask) const;
  /// The runs of live jobs that may have crashed their workers.
  const std::map<std::pair<TaskId, Attempt>, SuspectedRun>& SuspectedRuns()
    const
  {
    return suspectedRuns_;
  }
  /// What the crashes of the task add up to if its suspected runs are counted.
  SuspectedCrashes SuspectedCrashesOf(const TaskId& aTask) const;
  const EarlyCancellations& CancelledJobs() const { return cancelledJobs_; }
  /// The registered workers, by number.
  const std::map<WorkerNumber, WorkerRecord>& Workers() const
  {
    return workers_;
  }
  /// The number of the worker's latest registered incarnation, if any.
  std::optional<WorkerNumber> FindWorkerNumber(const WorkerId& aWorker) const;
  const std::map<WaveId, Wave>& Waves() const { return waves_; }
  const std::map<HostId, OrderIntents>& OrderIntentsByHost() const
  {
    return orderIntents_;
  }
  /// The number of RecordOrderIntent operations applied for the host.
  std::uint64_t OrderIntentCount(const HostId& aHost) const;
  /// The latest time that an operation has stated, by its leader's wall clock.
  /// It does not go back where the clocks of leaders differ.
  Time LatestTime() const { return latestTime_; }

  /// Number of failed runs of one task, or of one gang, after which the job
  /// fails. kUnlimitedAttempts if there is no such job, or
  /// if its queue is known only from the snapshot of an earlier version.
  std::uint32_t MaxAttemptsOf(JobId aJob) const;
  /// The number of recorded runs of the task that have failed or, if it is in a
  /// gang, of the gang's runs in which a member has failed. 0 if there is no
  /// such task.
  std::uint32_t FailedRunsOf(const TaskId& aTask) const;
  /// What the leader states in EndRun::maxAttempts for this end. Hosts of
  /// earlier versions add up the failures of the members of a gang; for these
  /// it is 1 if the gang's failed runs reach the limit with this end, and
  /// kUnlimitedAttempts otherwise, so that all versions decide alike.
  std::uint32_t StatedLimitOf(const TaskId& aTask,
                              Attempt aAttempt,
                              RunOutcome aOutcome) const;

private:
  void ApplyOperation(PutConfiguration&& aOperation,
                      JobStateObserver& aObserver);
  void ApplyOperation(AcceptJob&& aOperation, JobStateObserver& aObserver);
  void ApplyOperation(CancelJob&& aOperation, JobStateObserver& aObserver);
  void ApplyOperation(RemoveJobRecord&& aOperation,
                      JobStateObserver& aObserver);
  void ApplyOperation(AssignTask&& aOperation, JobStateObserver& aObserver);
  void ApplyOperation(EndRun&& aOperation, JobStateObserver& aObserver);
  void ApplyOperation(RegisterWorker&& aOperation, JobStateObserver& aObserver);
  void ApplyOperation(RetireWorker&& aOperation, JobStateObserver& aObserver);
  void ApplyOperation(StartWave&& aOperation, JobStateObserver& aObserver);
  void ApplyOperation(BeginMaintenance&& aOperation,
                      JobStateObserver& aObserver);
  void ApplyOperation(RecordOrderIntent&& aOperation,
                      JobStateObserver& aObserver);
  void RecordConfiguredQueues();
  void ForgetUnusedQueues();
  void FollowAddress(Job& aJob) const;
  void FollowAddresses();
  void RecordMissingAddresses();
  bool HasFailed(const Job& aJob,
                 const EndRun& aEnd,
                 const TaskState& aTask) const;
  void ApplyOperation(ConfirmStart&& aOperation, JobStateObserver& aObserver);
  void ApplyOperation(RecordCrash&& aOperation, JobStateObserver& aObserver);
  void ApplyOperation(DismissSuspicions&& aOperation,
                      JobStateObserver& aObserver);
  void ApplyOperation(RepeatStart&& aOperation, JobStateObserver& aObserver);
  void SuspectRun(const EndRun& aEnd, WorkerNumber aWorker);
  TaskState* FindTask(const TaskId& aTask);
  const StepState* FindStep(const TaskId& aTask) const;
  void EndJob(Job& aJob,
              JobState aState,
              Time aEndedAt,
              JobStateObserver& aObserver);
  static void CompleteGang(Job& aJob,
                           const EndRun& aEnd,
                           JobStateObserver& aObserver);
  static void CompleteTask(Job& aJob, const TaskId& aTask);

  const ConfigurationReader& reader_;
  std::optional<Configuration> configuration_;
  std::string configurationText_;
  std::map<QueueId, KnownQueue> queues_;
  EarlyCancellations cancelledJobs_;
  std::unordered_map<JobId, Job> jobs_;
  std::map<WorkerNumber, WorkerRecord> workers_;
  std::map<WorkerId, WorkerNumber> workerNumbers_;
  std::uint32_t lastWorkerNumber_ = 0;
  std::map<WaveId, Wave> waves_;
  std::map<HostId, OrderIntents> orderIntents_;
  Time latestTime_;
  std::map<std::pair<TaskId, Attempt>, SuspectedRun> suspectedRuns_;
};

/// The total number of occurrences of \p aJob; 1 if it does not recur.
std::uint32_t
OccurrenceCount(const Job& aJob);

/// Whether \p aOutcome is the result of the task's latest attempt, which was
/// given up before its worker listed the result. It counts if the task has not
/// been assigned again.
bool
IsLateResult(const TaskState& aTask,
             const Step& aStep,
             Attempt aAttempt,
             RunOutcome aOutcome);

/// Whether all steps that \p aStep depends on are done in \p aOccurrence.
bool
AreDependenciesDone(const Job& aJob,
                    const Occurrence& aOccurrence,
                    std::size_t aStep);

} // namespace greengage::jobs

#endif // GREENGAGE_JOBS_JOBSTATEMACHINE_H
