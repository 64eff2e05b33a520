/// \file
/// The agreed state of jobs, workers and waves: a deterministic machine that
/// every control host drives by the same log.

#ifndef GREENGAGE_JOBS_JOBBOOK_H
#define GREENGAGE_JOBS_JOBBOOK_H

#include "greengage/core/Error.h"
#include "greengage/jobs/Configuration.h"
#include "greengage/jobs/Operation.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace greengage::jobs {

enum class JobState : std::uint8_t
{
  /// Accepted, and not at its end.
  Live,
  Completed,
  Failed,
  Cancelled,
};

enum class TaskPhase : std::uint8_t
{
  /// To be run once the steps before it are done.
  Waiting,
  /// A worker runs it, or may.
  Assigned,
  /// It has succeeded.
  Done,
};

/// One task of a live job.
struct TaskState
{
  TaskPhase phase = TaskPhase::Waiting;
  std::uint32_t failures = 0;
  /// The latest attempt; 0 before the first.
  Attempt attempt;
  /// Where the latest attempt was assigned.
  WorkerNumber worker;
};

/// The tasks of one step of one occurrence.
struct StepState
{
  std::vector<TaskState> tasks;
  std::uint32_t waiting = 0;
  std::uint32_t done = 0;
  /// Progress saved last, by the task's index.
  std::map<std::uint32_t, std::string> checkpoints;
};

/// One run of all steps.
struct Occurrence
{
  std::vector<StepState> steps;
  bool isDone = false;
};

/// An accepted job.
struct Job
{
  JobId id;
  QueueId queue;
  TeamId team;
  Time acceptedAt;
  Time endedAt;
  JobState state = JobState::Live;
  /// Whether any task was ever assigned.
  bool hasBegun = false;
  /// Runs that workers have or may have.
  std::uint32_t assigned = 0;
  JobDescription description;
  /// By their number; those that have ended are dropped.
  std::map<std::uint32_t, Occurrence> occurrences;
  std::uint32_t occurrencesDone = 0;
};

/// A wave of upkeep and how far it is.
struct Wave
{
  StartWave plan;
  /// Hosts whose upkeep has begun.
  std::set<HostId> begun;
};

/// Tells what an operation has changed.
class JobBookObserver
{
public:
  virtual ~JobBookObserver() = default;
  virtual void OnConfiguration() {}
  virtual void OnJobAccepted(const Job& /*aJob*/) {}
  /// The job has reached its end; runs of it may still be assigned.
  virtual void OnJobEnded(const Job& /*aJob*/) {}
  virtual void OnAssigned(const AssignTask& /*aAssignment*/) {}
  /// The assignment was void: the job had ended, or another came first.
  virtual void OnAssignmentVoid(const AssignTask& /*aAssignment*/) {}
  virtual void OnRunEnded(const EndTask& /*aEnd*/, WorkerNumber /*aWorker*/) {}
  virtual void OnWorker(WorkerNumber /*aWorker*/) {}
  virtual void OnWorkerRetired(WorkerNumber /*aWorker*/) {}
};

/// The agreed state. It reads no clock and no random source.
class JobBook
{
public:
  /// \p aReader must outlive the book.
  explicit JobBook(const ConfigurationReader& aReader);

  /// Applies one log entry and tells \p aObserver, which may be null.
  /// \returns false, with nothing changed, for bytes that can't be read.
  bool Apply(std::string_view aBytes,
             JobBookObserver* aObserver,
             Error& aReason);
  std::string Snapshot() const;
  /// False, with the state unchanged, if the snapshot can't be read.
  bool Restore(std::string_view aSnapshot, Error& aReason);

  /// Null before the first configuration.
  const Configuration* CurrentConfiguration() const
  {
    return configuration_ ? &*configuration_ : nullptr;
  }
  /// The text of the current configuration as it was handed in.
  const std::string& ConfigurationText() const { return configurationText_; }

  const std::unordered_map<JobId, Job>& Jobs() const { return jobs_; }
  const Job* Find(JobId aJob) const;
  const TaskState* Find(const TaskId& aTask) const;
  /// The workers that are registered, by their numbers.
  const std::map<WorkerNumber, WorkerRecord>& Workers() const
  {
    return workers_;
  }
  /// The number of a registered incarnation.
  std::optional<WorkerNumber> NumberOf(const WorkerId& aWorker) const;
  const std::map<WaveId, Wave>& Waves() const { return waves_; }
  /// How many orders were announced for each host.
  const std::map<HostId, std::uint64_t>& AnnouncedOrders() const
  {
    return announcedOrders_;
  }

  /// Failed runs of one task after which the job has failed.
  std::uint32_t MaxAttemptsOf(const Job& aJob) const;

private:
  void On(PutConfiguration&& aOperation, JobBookObserver& aObserver);
  void On(AcceptJob&& aOperation, JobBookObserver& aObserver);
  void On(CancelJob&& aOperation, JobBookObserver& aObserver);
  void On(ForgetJob&& aOperation, JobBookObserver& aObserver);
  void On(AssignTask&& aOperation, JobBookObserver& aObserver);
  void On(EndTask&& aOperation, JobBookObserver& aObserver);
  void On(RegisterWorker&& aOperation, JobBookObserver& aObserver);
  void On(RetireWorker&& aOperation, JobBookObserver& aObserver);
  void On(StartWave&& aOperation, JobBookObserver& aObserver);
  void On(BeginUpkeep&& aOperation, JobBookObserver& aObserver);
  void On(AnnounceOrder&& aOperation, JobBookObserver& aObserver);
  TaskState* Task(const TaskId& aTask);
  void EndJob(Job& aJob, JobState aState, Time aAt, JobBookObserver& aObserver);
  static void FinishGang(Job& aJob,
                         const EndTask& aEnd,
                         JobBookObserver& aObserver);
  static void FinishTask(Job& aJob, const TaskId& aTask);

  const ConfigurationReader& reader_;
  std::optional<Configuration> configuration_;
  std::string configurationText_;
  std::unordered_map<JobId, Job> jobs_;
  std::map<WorkerNumber, WorkerRecord> workers_;
  std::map<WorkerId, WorkerNumber> workerNumbers_;
  std::uint32_t lastWorker_ = 0;
  std::map<WaveId, Wave> waves_;
  std::map<HostId, std::uint64_t> announcedOrders_;
};

/// The occurrences of \p aJob that ever come.
std::uint32_t
OccurrenceCount(const Job& aJob);

/// Whether the steps that \p aStep waits for are done in \p aOccurrence.
bool
IsReady(const Job& aJob, const Occurrence& aOccurrence, std::size_t aStep);

} // namespace greengage::jobs

#endif // GREENGAGE_JOBS_JOBBOOK_H
