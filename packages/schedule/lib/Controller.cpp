#include "greengage/schedule/Controller.h"

#include "greengage/observe/Log.h"

#include <algorithm>
#include <utility>

using namespace greengage;
using namespace greengage::schedule;

/// How long operations are collected before they are proposed as one log entry.
/// A disk sync takes about as long, so more frequent entries would only queue
/// for the disk.
static constexpr Duration kBatchDelay = Duration(5);
/// How often the scheduler checks its deadlines.
static constexpr Duration kTickInterval = Duration(50);
/// How often host planning runs: a tenth of the 1.5 s that a host move takes.
static constexpr Duration kPlanInterval = Duration(150);
/// How often a follower samples the demand.
static constexpr Duration kDemandSampleInterval = Duration(300);
/// Size limit of one batch; the log accepts entries of up to 4 MiB. What is
/// handed in during a slow commit has to fit into the next entry.
static constexpr std::size_t kMaxEntryBytes = 1024 * 1024;
/// Limit for log entries that are proposed and not committed. Operations that
/// come meanwhile share the next entry, so that a slow commit makes entries
/// larger and not more numerous.
static constexpr std::size_t kMaxBatchesInFlight = 1;
/// How long it takes until this host has renewed its lease or another one leads
/// and serves: an election takes 1 to 1.5 s from the loss of the leader, some
/// of which has passed when a call is refused.
static constexpr Duration kTakeOverTime = Duration(1000);

Controller::Controller(SchedulerOptions aOptions,
                       HostPlannerOptions aHostOptions,
                       const jobs::ConfigurationReader& aReader,
                       ControllerSink& aSink)
  : sink_(aSink)
  , stateMachine_(aReader)
  , scheduler_(aOptions, stateMachine_, *this)
  , hostPlanner_(std::move(aHostOptions),
                 stateMachine_,
                 scheduler_,
                 *this,
                 *this)
{
}

void
Controller::BecomeLeader(FencingToken aFence, ClockReading aNow)
{
  BecomeFollower();
  now_ = aNow;
  fence_ = aFence;
  firstBatch_ = BatchId(lastBatchId_ + 1);
  scheduler_.BecomeLeader(aFence, aNow);
  hostPlanner_.BecomeLeader(aFence, aNow);
  nextTick_ = aNow.steady;
  nextFlush_ = aNow.steady;
}

void
Controller::BecomeFollower()
{
  scheduler_.BecomeFollower();
  hostPlanner_.BecomeFollower();
  // Entries that were never proposed can't take effect, so their callers are
  // refused. Proposed entries may still be committed.
  for (PendingReply& pending : openReplies_)
    Refuse(pending.caller, ErrorKind::NoCapacity, "this host leads no more");
  for (Batch& batch : queuedBatches_)
    for (PendingReply& pending : batch.replies)
      Refuse(pending.caller, ErrorKind::NoCapacity, "this host leads no more");
  openOperations_.clear();
  openBatchBytes_ = 0;
  openReplies_.clear();
  queuedBatches_.clear();
  deferredReplies_.clear();
  proposedJobs_.clear();
  proposedCancellations_.clear();
}

bool
Controller::Restore(std::string_view aSnapshot, Error& aReason)
{
  BecomeFollower();
  if (!stateMachine_.Restore(aSnapshot, aReason))
    return false;
  scheduler_.OnConfigurationChanged();
  return true;
}

void
Controller::Propose(jobs::Operation aOperation)
{
  const std::size_t bytes = jobs::EncodedSizeBound(aOperation);
  if (openBatchBytes_ > 0 && openBatchBytes_ + bytes > kMaxEntryBytes)
    CloseBatch();
  openBatchBytes_ += bytes;
  openOperations_.push_back(std::move(aOperation));
}

void
Controller::Call(WorkerCall aCall)
{
  sink_.Call(std::move(aCall));
}

void
Controller::ProposeWithReply(CallerId aCaller,
                             jobs::Operation aOperation,
                             Reply aReply)
{
  Propose(std::move(aOperation));
  openReplies_.push_back({ .caller = aCaller, .reply = std::move(aReply) });
}

void
Controller::CloseBatch()
{
  if (openOperations_.empty())
    return;
  queuedBatches_.push_back({ .entry = jobs::Encode(openOperations_),
                             .replies = std::move(openReplies_) });
  openOperations_.clear();
  openReplies_.clear();
  openBatchBytes_ = 0;
}

void
Controller::Flush(ClockReading aNow)
{
  if (const auto due = scheduler_.NextDispatch(); due && *due <= aNow.steady)
    scheduler_.Dispatch(aNow);
  nextFlush_ = aNow.steady + kBatchDelay;
  while (CanPropose()) {
    if (queuedBatches_.empty())
      CloseBatch();
    const BatchId id(lastBatchId_ + 1);
    Batch& batch = queuedBatches_.front();
    if (!sink_.Propose(id, fence_, batch.entry))
      return;
    ++lastBatchId_;
    inFlightReplies_.emplace(id, std::move(batch.replies));
    queuedBatches_.pop_front();
  }
}

/// Whether operations wait to be proposed and may be.
bool
Controller::CanPropose() const
{
  return inFlightReplies_.size() < kMaxBatchesInFlight &&
         (!openOperations_.empty() || !queuedBatches_.empty());
}

std::optional<Time>
Controller::NextTick() const
{
  if (!scheduler_.IsLeading())
    return nextDemandSample_;
  Time next = nextTick_;
  if (CanPropose())
    next = std::min(next, nextFlush_);
  if (const auto dispatch = scheduler_.NextDispatch())
    next = std::min(next, std::max(nextFlush_, *dispatch));
  return hostPlanner_.IsOrderDue() ? std::min(next, nextPlanning_) : next;
}

void
Controller::Tick(Time aLeaseEnd, ClockReading aNow)
{
  now_ = aNow;
  scheduler_.SetNow(aNow);
  scheduler_.SetLeaderLeaseEnd(aLeaseEnd);
  if (!scheduler_.IsLeading()) {
    if (aNow.steady >= nextDemandSample_) {
      nextDemandSample_ = aNow.steady + kDemandSampleInterval;
      hostPlanner_.TickAsFollower(aNow);
    }
    return;
  }
  // This host may have been suspended, and another one may lead since: it
  // decides nothing before it has renewed its lease.
  if (aLeaseEnd <= aNow.steady) {
    nextTick_ = aNow.steady + kTickInterval;
    nextFlush_ = nextTick_;
    nextPlanning_ = nextTick_;
    return;
  }
  HandleDeferredReplies();
  if (aNow.steady >= nextTick_) {
    nextTick_ = aNow.steady + kTickInterval;
    scheduler_.Tick(aNow);
  }
  if (aNow.steady >= nextPlanning_) {
    nextPlanning_ = aNow.steady + kPlanInterval;
    hostPlanner_.Tick(aLeaseEnd, aNow);
  }
  if (aNow.steady >= nextFlush_)
    Flush(aNow);
}

void
Controller::Apply(std::string_view aEntry, Time aLeaseEnd, ClockReading aNow)
{
  now_ = aNow;
  scheduler_.SetNow(aNow);
  scheduler_.SetLeaderLeaseEnd(aLeaseEnd);
  Error reason;
  if (!stateMachine_.Apply(aEntry, &scheduler_, reason))
    observe::Log(observe::LogLevel::Error,
                 "log-entry-unreadable",
                 { { "reason", Describe(reason) } });
  std::erase_if(proposedJobs_, [&](jobs::JobId aJob) {
    return stateMachine_.Find(aJob) != nullptr;
  });
  for (auto& [team, proposed] : proposedCancellations_)
    std::erase_if(proposed, [&](const jobs::CancelledJob& aJob) {
      return stateMachine_.Find(aJob.id) != nullptr ||
             stateMachine_.CancelledJobs().Find(aJob);
    });
  if (hostPlanner_.IsOrderDue())
    nextPlanning_ = aNow.steady;
}

void
Controller::FailBatch(BatchId aBatch, const Reply& aReply)
{
  const auto found = inFlightReplies_.find(aBatch);
  if (found == inFlightReplies_.end())
    return;
  for (PendingReply& pending : found->second)
    sink_.Answer(pending.caller, Reply(aReply));
  inFlightReplies_.erase(found);
}

void
Controller::OnBatchApplied(BatchId aBatch)
{
  const auto found = inFlightReplies_.find(aBatch);
  if (found == inFlightReplies_.end())
    return;
  for (PendingReply& pending : found->second)
    sink_.Answer(pending.caller, std::move(pending.reply));
  inFlightReplies_.erase(found);
}

void
Controller::OnBatchRefused(BatchId aBatch)
{
  FailBatch(aBatch,
            Refused{ .reason = { ErrorKind::NoCapacity,
                                 "the log takes no entries from this host" },
                     .retryAfter = kTakeOverTime });
  // The state that an earlier leadership left behind is gone already.
  if (aBatch < firstBatch_)
    return;
  // The scheduler's state includes operations that are not in the log: reset
  // it.
  scheduler_.BecomeFollower();
  BecomeFollower();
}

void
Controller::OnBatchUnknown(BatchId aBatch)
{
  FailBatch(aBatch, OutcomeUnknown{});
}

void
Controller::On(const WorkerReply& aReply, Time aLeaseEnd, ClockReading aNow)
{
  now_ = aNow;
  scheduler_.SetLeaderLeaseEnd(aLeaseEnd);
  if (!scheduler_.IsLeading())
    return;
  if (aLeaseEnd <= aNow.steady) {
    deferredReplies_.push_back(aReply);
    return;
  }
  HandleDeferredReplies();
  scheduler_.On(aReply, aNow);
}

void
Controller::HandleDeferredReplies()
{
  for (const WorkerReply& reply : std::exchange(deferredReplies_, {}))
    scheduler_.On(reply, now_);
}

void
Controller::Call(HostCall aCall)
{
  sink_.Call(std::move(aCall));
}

void
Controller::Call(AdviceCall aCall)
{
  sink_.Call(std::move(aCall));
}

void
Controller::On(const AdviceReply& aReply, ClockReading aNow)
{
  now_ = aNow;
  if (scheduler_.IsLeading())
    scheduler_.On(aReply, aNow);
}

void
Controller::On(const HostReply& aReply, ClockReading aNow)
{
  now_ = aNow;
  if (scheduler_.IsLeading())
    hostPlanner_.On(aReply, aNow);
}

void
Controller::Refuse(CallerId aCaller, ErrorKind aKind, std::string aDetail)
{
  const bool isTemporary =
    aKind == ErrorKind::NoCapacity || aKind == ErrorKind::Overloaded;
  sink_.Answer(
    aCaller,
    Refused{ .reason = { aKind, std::move(aDetail) },
             .retryAfter = isTemporary ? kTakeOverTime : Duration(0) });
}

void
Controller::Handle(IncomingCall&& aCall, Time aLeaseEnd, ClockReading aNow)
{
  now_ = aNow;
  if (!scheduler_.IsLeading() || aLeaseEnd <= aNow.steady) {
    Refuse(aCall.caller, ErrorKind::NoCapacity, "no leader has confirmed");
    return;
  }
  scheduler_.SetNow(aNow);
  const CallerId caller = aCall.caller;
  std::visit(
    [&](auto&& aRequest) {
      Serve(caller, std::forward<decltype(aRequest)>(aRequest));
    },
    std::move(aCall.call));
}

void
Controller::Serve(CallerId aCaller, InvalidCall&& aCall)
{
  sink_.Answer(aCaller, Refused{ .reason = std::move(aCall.reason) });
}

/// Whether a call at \p aQueue with a key of \p aTeam may read and cancel the
/// job. One of a team that is not configured any more is open to the other
/// teams: a team that got another name may hold its keys, and nobody else could
/// stop the job.
bool
Controller::IsVisible(const jobs::Job& aJob,
                      const jobs::Queue& aQueue,
                      const jobs::Team* aTeam) const
{
  if (aJob.queue != aQueue.id)
    return false;
  if (aQueue.allowsAnonymous || aJob.team.Value().empty())
    return true;
  return aJob.team == aTeam->id ||
         stateMachine_.CurrentConfiguration()->Find(aJob.team) == nullptr;
}

void
Controller::Serve(CallerId aCaller, QueueCall&& aCall)
{
  const jobs::Configuration* configuration =
    stateMachine_.CurrentConfiguration();
  if (configuration == nullptr) {
    Refuse(aCaller, ErrorKind::NoCapacity, "there is no configuration yet");
    return;
  }
  const jobs::Queue* queue = configuration->Route(aCall.hostName, aCall.path);
  if (queue == nullptr) {
    Refuse(aCaller, ErrorKind::NotFound, "no queue has this path");
    return;
  }
  const jobs::Team* team = configuration->Authenticate(aCall.key);
  if (!queue->allowsAnonymous && team == nullptr) {
    Refuse(aCaller, ErrorKind::Unauthenticated, "no team has this key");
    return;
  }
  const std::string jobIdText = aCall.path.substr(queue->pathPrefix.size());
  if (jobIdText.empty() && aCall.verb == QueueVerb::Query) {
    sink_.Answer(
      aCaller, QueueDepth{ .pending = scheduler_.CountPendingJobs(queue->id) });
    return;
  }
  const auto id = jobs::ParseJobId(jobIdText);
  if (!id) {
    Refuse(aCaller,
           ErrorKind::Malformed,
           "job id '" + jobIdText + "' is not 16 hexadecimal digits");
    return;
  }
  if (aCall.verb == QueueVerb::Submit) {
    Submit(aCaller, *queue, team, *id, std::move(aCall));
    return;
  }
  const jobs::Job* job = stateMachine_.Find(*id);
  if (job == nullptr && aCall.verb == QueueVerb::Cancel) {
    CancelUnknownJob(aCaller,
                     { .id = *id,
                       .address = queue->Address(),
                       .team = queue->allowsAnonymous ? TeamId() : team->id });
    return;
  }
  if (job == nullptr || !IsVisible(*job, *queue, team)) {
    if (job != nullptr)
      observe::Log(observe::LogLevel::Info,
                   "job-not-shown",
                   { { "job", ToString(*id) },
                     { "queue", queue->id.Value() },
                     { "queue_of_job", job->queue.Value() },
                     { "team", team == nullptr ? "" : team->id.Value() },
                     { "team_of_job", job->team.Value() },
                     { "configuration",
                       std::to_string(configuration->version.Value()) } });
    sink_.Answer(aCaller, NoSuchJob{});
    return;
  }
  if (aCall.verb == QueueVerb::Cancel)
    CancelJob(aCaller, *id);
  else
    ReplyWithProgress(aCaller, *job);
}

/// Decides about a job that is not known yet. One that is about to be accepted
/// can't be rejected any more.
AdmissionDecision
Controller::Admit(jobs::JobId aJob,
                  const jobs::Queue& aQueue,
                  const TeamId& aTeam,
                  const jobs::JobDescription& aDescription)
{
  if (!jobs::HasObjective(aDescription) || proposedJobs_.count(aJob) != 0)
    return { .isAdmitted = true,
             .acceptedAt = now_.wall,
             .retryAfter = Duration(0) };
  JobOffer offer = scheduler_.MakeOffer(aJob, aQueue, aTeam, aDescription);
  // Hosts of other pools may be moved to this one.
  offer.pool.capacity =
    std::max(offer.pool.capacity, hostPlanner_.FleetCapacity());
  AdmissionDecision decision = admission_.Decide(offer, now_.wall);
  if (decision.isAdmitted) {
    scheduler_.CountOffer(aQueue, aTeam, aDescription);
    return decision;
  }
  observe::Log(
    observe::LogLevel::Info,
    "job-rejected",
    { { "job", ToString(aJob) },
      { "queue", aQueue.id.Value() },
      { "team", aTeam.Value() },
      { "pool_backlog_ms", std::to_string(offer.pool.DrainTime().Millis()) },
      { "team_backlog_ms", std::to_string(offer.team.DrainTime().Millis()) },
      { "objective_ms", std::to_string(offer.objective.Millis()) },
      { "retry_after_ms", std::to_string(decision.retryAfter.Millis()) } });
  return decision;
}

void
Controller::Submit(CallerId aCaller,
                   const jobs::Queue& aQueue,
                   const jobs::Team* aTeam,
                   jobs::JobId aJob,
                   QueueCall&& aCall)
{
  // If the job is submitted again before its entry is committed, both entries
  // are proposed, and the job state machine accepts the job only once.
  if (stateMachine_.Find(aJob) != nullptr) {
    sink_.Answer(aCaller, Accepted{});
    return;
  }
  const TeamId team = aTeam == nullptr ? TeamId() : aTeam->id;
  if (WasCancelled({ .id = aJob, .address = aQueue.Address(), .team = team })) {
    observe::Log(observe::LogLevel::Info,
                 "job-refused-as-cancelled",
                 { { "job", ToString(aJob) },
                   { "queue", aQueue.id.Value() },
                   { "team", team.Value() } });
    Refuse(aCaller,
           ErrorKind::Cancelled,
           "the job was cancelled before it was submitted");
    return;
  }
  const AdmissionDecision decision = Admit(aJob, aQueue, team, *aCall.job);
  if (!decision.isAdmitted) {
    sink_.Answer(
      aCaller,
      Refused{ .reason = { ErrorKind::Overloaded,
                           "the job would be done too late to be of use" },
               .retryAfter = decision.retryAfter });
    return;
  }
  std::uint32_t tasks = 0;
  for (const jobs::Step& step : aCall.job->steps)
    tasks += step.count;
  const jobs::Step& first = aCall.job->steps.front();
  observe::Log(
    observe::LogLevel::Info,
    "job-accepting",
    { { "job", ToString(aJob) },
      { "queue", aQueue.id.Value() },
      { "team", team.Value() },
      { "steps", std::to_string(aCall.job->steps.size()) },
      { "tasks", std::to_string(tasks) },
      { "persistent", first.isPersistent ? "yes" : "no" },
      { "configuration",
        std::to_string(
          stateMachine_.CurrentConfiguration()->version.Value()) } });
  proposedJobs_.insert(aJob);
  ProposeWithReply(aCaller,
                   jobs::AcceptJob{ .id = aJob,
                                    .queue = aQueue.id,
                                    .team = team,
                                    .at = decision.acceptedAt,
                                    .description = std::move(*aCall.job),
                                    .address = aQueue.Address() },
                   Accepted{});
}

void
Controller::CancelJob(CallerId aCaller, jobs::JobId aJob)
{
  observe::Log(
    observe::LogLevel::Info, "job-cancelling", { { "job", ToString(aJob) } });
  ProposeWithReply(
    aCaller, jobs::CancelJob{ .id = aJob, .at = now_.wall }, Accepted{});
}

/// Whether a call with a key of \p aTeam, or without one, has cancelled the
/// job.
bool
Controller::IsCancellationProposed(const jobs::CancelledJob& aJob,
                                   const TeamId& aTeam) const
{
  const auto proposed = proposedCancellations_.find(aTeam);
  return proposed != proposedCancellations_.end() &&
         proposed->second.count(
           { .id = aJob.id, .address = aJob.address, .team = aTeam }) != 0;
}

bool
Controller::WasCancelled(const jobs::CancelledJob& aJob) const
{
  return stateMachine_.CancelledJobs().Find(aJob) ||
         IsCancellationProposed(aJob, aJob.team) ||
         IsCancellationProposed(aJob, TeamId());
}

/// Cancels a job that is not accepted: its submission may be proposed, or still
/// on its way here. The caller is told that there is no such job once a
/// submission that comes later can't be accepted any more.
void
Controller::CancelUnknownJob(CallerId aCaller, jobs::CancelledJob aJob)
{
  const jobs::EarlyCancellations& remembered = stateMachine_.CancelledJobs();
  if (remembered.Find(aJob)) {
    sink_.Answer(aCaller, NoSuchJob{});
    return;
  }
  const bool isProposed = proposedJobs_.count(aJob.id) != 0;
  const std::size_t share =
    jobs::kMaxEarlyCancellations /
    (stateMachine_.CurrentConfiguration()->teams.size() + 1);
  std::set<jobs::CancelledJob>& proposed = proposedCancellations_[aJob.team];
  const std::size_t count = remembered.CountOf(aJob.team) + proposed.size();
  // The oldest is forgotten first, whichever team's it is, by the next entry
  // that is applied once its time is over.
  const Duration wait = remembered.Count() == 0
                          ? kTakeOverTime
                          : remembered.All().front()->second +
                              jobs::kCancellationMemory - now_.wall;
  const bool isRefused = !isProposed && count >= share && wait >= Duration(0);
  observe::Log(observe::LogLevel::Info,
               isRefused ? "early-cancellation-refused"
                         : "early-cancellation-recording",
               { { "job", ToString(aJob.id) },
                 { "team", aJob.team.Value() },
                 { "submission_proposed", isProposed ? "yes" : "no" },
                 { "remembered", std::to_string(count) },
                 { "limit", std::to_string(share) } });
  if (isRefused) {
    sink_.Answer(
      aCaller,
      Refused{ .reason = { ErrorKind::LimitReached,
                           "too many jobs were cancelled that had not been "
                           "submitted" },
               .retryAfter = std::max(wait, kTakeOverTime) });
    return;
  }
  proposed.insert(aJob);
  Reply reply = NoSuchJob{};
  if (isProposed)
    reply = Accepted{};
  ProposeWithReply(aCaller,
                   jobs::CancelJob{ .id = aJob.id,
                                    .at = now_.wall,
                                    .address = std::move(aJob.address),
                                    .team = std::move(aJob.team) },
                   std::move(reply));
}

void
Controller::ReplyWithProgress(CallerId aCaller, const jobs::Job& aJob)
{
  JobReport report;
  switch (aJob.state) {
    case jobs::JobState::Live:
      report.progress =
        aJob.wasEverAssigned ? JobProgress::Running : JobProgress::Queued;
      break;
    case jobs::JobState::Completed:
      report.progress = JobProgress::Completed;
      break;
    case jobs::JobState::Failed:
      report.progress = JobProgress::Failed;
      break;
    case jobs::JobState::Cancelled:
      report.progress = JobProgress::Cancelled;
      break;
  }
  sink_.Answer(aCaller, report);
}

void
Controller::Serve(CallerId aCaller, WorkerHeartbeat&& aCall)
{
  if (scheduler_.IsOutdated(aCall)) {
    sink_.Answer(aCaller, HeartbeatAccepted{});
    return;
  }
  const auto number = stateMachine_.FindWorkerNumber(aCall.worker.id);
  if (number) {
    const jobs::WorkerRecord& registered = stateMachine_.Workers().at(*number);
    // A heartbeat that the last leader handled out of order can't revoke the
    // draining state that a later one of the same incarnation has set.
    jobs::WorkerRecord updated = aCall.worker;
    updated.isDraining = updated.isDraining || registered.isDraining;
    if (updated == registered) {
      scheduler_.OnHeartbeat(aCall, now_.steady);
      sink_.Answer(aCaller, HeartbeatAccepted{});
      return;
    }
  }
  observe::Log(
    observe::LogLevel::Info,
    "worker-registering",
    { { "worker", aCall.worker.id.Value() },
      { "host", aCall.worker.host.Value() },
      { "incarnation", std::to_string(aCall.worker.incarnation.Value()) },
      { "rack", aCall.worker.rack.Value() },
      { "pool", aCall.worker.pool.Value() },
      { "endpoint", ToString(aCall.worker.endpoint) },
      { "draining", aCall.worker.isDraining ? "yes" : "no" } });
  scheduler_.OnHeartbeat(aCall, now_.steady);
  ProposeWithReply(aCaller,
                   jobs::RegisterWorker{ .worker = std::move(aCall.worker) },
                   HeartbeatAccepted{});
}

void
Controller::Serve(CallerId aCaller, WorkerDeparture&& /*aCall*/)
{
  // The worker's runs are given up when its lease expires or a later
  // incarnation registers.
  sink_.Answer(aCaller, Accepted{});
}

void
Controller::Serve(CallerId aCaller, ConfigurationPut&& aCall)
{
  const jobs::Configuration* current = stateMachine_.CurrentConfiguration();
  if (current != nullptr && aCall.version <= current->version) {
    sink_.Answer(aCaller, Accepted{});
    return;
  }
  observe::Log(observe::LogLevel::Info,
               "configuration-accepting",
               { { "version", std::to_string(aCall.version.Value()) } });
  ProposeWithReply(aCaller,
                   jobs::PutConfiguration{ .text = std::move(aCall.text) },
                   Accepted{});
}

void
Controller::Serve(CallerId aCaller, ConfigurationQuery&& /*aCall*/)
{
  if (stateMachine_.CurrentConfiguration() == nullptr) {
    Refuse(aCaller, ErrorKind::NoCapacity, "there is no configuration yet");
    return;
  }
  sink_.Answer(aCaller,
               ConfigurationText{ .text = stateMachine_.ConfigurationText() });
}

void
Controller::Serve(CallerId aCaller, WaveStart&& aCall)
{
  ProposeWithReply(
    aCaller,
    jobs::StartWave{ .id = aCall.id,
                     .hosts = std::move(aCall.hosts),
                     .maxConcurrentHosts = aCall.maxConcurrentHosts,
                     .deadline = now_.wall + aCall.timeLimit },
    Accepted{});
}

void
Controller::Serve(CallerId aCaller, WaveQuery&& aCall)
{
  const auto found = stateMachine_.Waves().find(aCall.id);
  if (found == stateMachine_.Waves().end()) {
    Refuse(aCaller, ErrorKind::NotFound, "there is no such wave");
    return;
  }
  const jobs::Wave& wave = found->second;
  sink_.Answer(aCaller,
               WaveReport{ .isCompleted = wave.startedHosts.size() >=
                                          wave.plan.hosts.size() });
}
