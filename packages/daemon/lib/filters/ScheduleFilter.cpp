#include "ScheduleFilter.h"

#include "greengage/observe/Log.h"

#include <algorithm>
#include <utility>

using namespace greengage;
using namespace greengage::daemon::detail;

static constexpr Duration kWorkReportInterval = Duration::Seconds(2);

ScheduleFilter::ScheduleFilter(schedule::SchedulerOptions aOptions,
                               schedule::HostPlannerOptions aHostOptions,
                               const jobs::ConfigurationReader& aReader,
                               HostState& aHost,
                               const Clock& aWallClock,
                               ScheduleOutlets aOutlets)
  : host_(aHost)
  , wallClock_(aWallClock)
  , outlets_(aOutlets)
  , controller_(aOptions, std::move(aHostOptions), aReader, *this)
{
}

schedule::ClockReading
ScheduleFilter::ClockReadingAt(Time aNow) const
{
  return { .steady = aNow, .wall = wallClock_.Now() };
}

/// The end of the leader lease in the term that this duty leads in. The
/// consensus duty updates it without waiting for this duty, which may be late
/// to handle the notice that another host leads, or that this one leads in a
/// later term.
Time
ScheduleFilter::LeaderLeaseEnd() const
{
  const Time end(host_.leaderUntil.load());
  return host_.leaderTerm.load() == leadingTerm_.Value() ? end : Time(0);
}

void
ScheduleFilter::Accept(ScheduleMessage&& aMessage, Time aNow)
{
  now_ = aNow;
  const schedule::ClockReading now = ClockReadingAt(aNow);
  std::visit([&](auto&& aAny) { On(std::forward<decltype(aAny)>(aAny), now); },
             std::move(aMessage));
  ReportUnsent(now);
}

void
ScheduleFilter::ReportUnsent(schedule::ClockReading aNow)
{
  while (!unsent_.empty()) {
    schedule::WorkerReply reply;
    reply.id = unsent_.front();
    reply.answer = schedule::WorkerCallStatus::NotSent;
    reply.detail = "too many calls wait for workers";
    unsent_.pop_front();
    controller_.On(reply, LeaderLeaseEnd(), aNow);
  }
  while (!unsentHostCalls_.empty()) {
    schedule::HostReply reply;
    reply.id = unsentHostCalls_.front();
    reply.detail = "too many calls wait for the provider";
    unsentHostCalls_.pop_front();
    controller_.On(reply, aNow);
  }
  while (!unsentAdviceCalls_.empty()) {
    schedule::AdviceReply reply;
    reply.id = unsentAdviceCalls_.front();
    reply.detail = "too many calls wait for the adviser";
    unsentAdviceCalls_.pop_front();
    controller_.On(reply, aNow);
  }
}

std::optional<Time>
ScheduleFilter::NextTimer() const
{
  return controller_.NextTick();
}

void
ScheduleFilter::OnTimer(Time aNow)
{
  now_ = aNow;
  const schedule::ClockReading now = ClockReadingAt(aNow);
  controller_.Tick(LeaderLeaseEnd(), now);
  ReportUnsent(now);
  StepDownIfDue();
  ReportIdleTasks();
  if (controller_.GetScheduler().IsLeading() && aNow >= nextWorkReport_)
    ReportWork();
}

void
ScheduleFilter::ReportIdleTasks()
{
  const std::size_t count =
    controller_.GetScheduler().IdlePersistentTaskCount();
  if (count == reportedIdleTasks_)
    return;
  reportedIdleTasks_ = count;
  host_.metrics.Set("greengage_persistent_tasks_idle",
                    static_cast<double>(count));
}

void
ScheduleFilter::ReportWork()
{
  nextWorkReport_ = now_ + kWorkReportInterval;
  const jobs::JobStateMachine& state = controller_.StateMachine();
  host_.metrics.Set("greengage_removed_queues",
                    static_cast<double>(state.RemovedQueueCount()));
  host_.metrics.Set("greengage_early_cancellations",
                    static_cast<double>(state.CancelledJobs().Count()));
  const schedule::Scheduler& scheduler = controller_.GetScheduler();
  const schedule::DispatchWork& work = scheduler.Work();
  const auto since = [](std::uint64_t aNow, std::uint64_t aBefore) {
    return std::to_string(aNow - aBefore);
  };
  observe::Log(
    observe::LogLevel::Info,
    "dispatch-work",
    { { "live_jobs", std::to_string(scheduler.LiveJobCount()) },
      { "passes", since(work.passes, reportedWork_.passes) },
      { "ranked_jobs", since(work.rankedJobs, reportedWork_.rankedJobs) },
      { "examined_workers",
        since(work.examinedWorkers, reportedWork_.examinedWorkers) },
      { "proposed_runs", since(work.proposedRuns, reportedWork_.proposedRuns) },
      { "uncommitted_ms", std::to_string(OldestProposalAge().Millis()) } });
  reportedWork_ = work;
  ReportPools();
}

void
ScheduleFilter::ReportPools() const
{
  for (const auto& [pool, load] : controller_.GetScheduler().ComputeLoads())
    observe::Log(
      observe::LogLevel::Info,
      "pool-load",
      { { "pool", pool.Value() },
        { "workers", std::to_string(load.workers) },
        { "usable_workers", std::to_string(load.usableWorkers) },
        { "capacity_mc", std::to_string(load.capacity.Count()) },
        { "in_use_mc", std::to_string(load.inUse.Count()) },
        { "unbegun_jobs", std::to_string(load.unbegunJobs) },
        { "late_unbegun", std::to_string(load.lateUnbegunJobs) },
        { "begun_jobs", std::to_string(load.begunJobs) },
        { "late_begun", std::to_string(load.lateBegunJobs) },
        { "run_ms", std::to_string(load.times.MeanExpected().Millis()) },
        { "occupied_ms", std::to_string(load.times.MeanActual().Millis()) } });
}

Duration
ScheduleFilter::OldestProposalAge() const
{
  Time oldest = now_;
  for (const auto& [batch, proposedAt] : proposedAt_)
    oldest = std::min(oldest, proposedAt);
  return now_ - oldest;
}

void
ScheduleFilter::On(schedule::IncomingCall&& aCall, schedule::ClockReading aNow)
{
  controller_.Handle(std::move(aCall), LeaderLeaseEnd(), aNow);
}

void
ScheduleFilter::On(schedule::WorkerReply&& aReply, schedule::ClockReading aNow)
{
  if (aReply.answer == schedule::WorkerCallStatus::NoAnswer)
    host_.metrics.Count("greengage_worker_calls_unanswered_total");
  controller_.On(aReply, LeaderLeaseEnd(), aNow);
}

void
ScheduleFilter::On(schedule::HostReply&& aReply, schedule::ClockReading aNow)
{
  controller_.On(aReply, aNow);
}

void
ScheduleFilter::On(schedule::AdviceReply&& aReply, schedule::ClockReading aNow)
{
  controller_.On(aReply, aNow);
}

void
ScheduleFilter::On(EntryCommitted&& aEntry, schedule::ClockReading aNow)
{
  controller_.Apply(aEntry.entry, LeaderLeaseEnd(), aNow);
}

void
ScheduleFilter::On(RestoreState&& aState, schedule::ClockReading /*aNow*/)
{
  Error reason;
  if (!controller_.Restore(aState.snapshot, reason))
    observe::Log(observe::LogLevel::Error,
                 "snapshot-refused",
                 { { "reason", Describe(reason) } });
}

void
ScheduleFilter::On(SnapshotWanted&& aWish, schedule::ClockReading /*aNow*/)
{
  aWish.snapshot->set_value(controller_.Snapshot());
}

void
ScheduleFilter::On(Leadership&& aLeadership, schedule::ClockReading aNow)
{
  if (!aLeadership.isReadyHere) {
    if (leadingTerm_ != consensus::Term(0))
      observe::Log(observe::LogLevel::Info,
                   "scheduling-ended",
                   { { "term", std::to_string(leadingTerm_.Value()) } });
    leadingTerm_ = consensus::Term(0);
    isStepDownDue_ = false;
    controller_.BecomeFollower();
    return;
  }
  leadingTerm_ = aLeadership.term;
  isStepDownDue_ = false;
  observe::Log(
    observe::LogLevel::Info,
    "scheduling-begun",
    { { "term", std::to_string(leadingTerm_.Value()) },
      { "jobs", std::to_string(controller_.StateMachine().Jobs().size()) },
      { "workers",
        std::to_string(controller_.StateMachine().Workers().size()) } });
  // A term has one leader, so its number fences every earlier one.
  controller_.BecomeLeader(jobs::FencingToken(leadingTerm_.Value()), aNow);
}

void
ScheduleFilter::On(ProposalEnded&& aEnd, schedule::ClockReading /*aNow*/)
{
  const schedule::BatchId batch(aEnd.id.Value());
  if (const auto found = proposedAt_.find(batch); found != proposedAt_.end()) {
    host_.metrics.Observe("greengage_commit_ms",
                          static_cast<double>((now_ - found->second).Millis()));
    proposedAt_.erase(found);
  }
  if (std::holds_alternative<ProposalApplied>(aEnd.end))
    controller_.OnBatchApplied(batch);
  else if (const auto* refused =
             std::get_if<consensus::ProposalRefused>(&aEnd.end))
    OnRefused(batch, refused->reason);
  else
    controller_.OnBatchUnknown(batch);
}

void
ScheduleFilter::OnRefused(schedule::BatchId aBatch, consensus::Refusal aReason)
{
  controller_.OnBatchRefused(aBatch);
  // The log's duty announces the end of a leadership.
  const bool isLeadershipEnding = aReason == consensus::Refusal::NotLeader ||
                                  aReason == consensus::Refusal::Transferring;
  if (isLeadershipEnding || leadingTerm_ == consensus::Term(0) ||
      controller_.GetScheduler().IsLeading())
    return;
  observe::Log(observe::LogLevel::Error,
               "log-entry-refused",
               { { "term", std::to_string(leadingTerm_.Value()) },
                 { "too_large",
                   aReason == consensus::Refusal::TooLarge ? "yes" : "no" } });
  isStepDownDue_ = true;
  StepDownIfDue();
}

void
ScheduleFilter::StepDownIfDue()
{
  if (isStepDownDue_ &&
      outlets_.log.TryPush(consensus::Event(consensus::StepDown{})))
    isStepDownDue_ = false;
}

bool
ScheduleFilter::Propose(schedule::BatchId aBatch,
                        jobs::FencingToken aFence,
                        const std::string& aEntry)
{
  // The number of a term is the fencing token of its leader.
  if (!outlets_.log.TryPush(consensus::Event(
        consensus::Propose{ .id = consensus::ProposalId(aBatch.Value()),
                            .command = aEntry,
                            .term = consensus::Term(aFence.Value()) })))
    return false;
  proposedAt_[aBatch] = now_;
  host_.metrics.Count("greengage_log_entries_total");
  host_.metrics.Count(
    "greengage_log_bytes_total", {}, static_cast<double>(aEntry.size()));
  return true;
}

void
ScheduleFilter::Call(schedule::WorkerCall&& aCall)
{
  static constexpr const char* kKinds[] = {
    "start", "stop", "renew", "throttle"
  };
  host_.metrics.Count("greengage_worker_calls_total",
                      { { "kind", kKinds[aCall.request.index()] } });
  const schedule::WorkerCallId id = aCall.id;
  if (!outlets_.workers.TryPush(std::move(aCall)))
    unsent_.push_back(id);
}

void
ScheduleFilter::Call(schedule::HostCall&& aCall)
{
  const schedule::HostCallId id = aCall.id;
  if (!outlets_.hosts.TryPush(std::move(aCall)))
    unsentHostCalls_.push_back(id);
}

void
ScheduleFilter::Call(schedule::AdviceCall&& aCall)
{
  const schedule::AdviceCallId id = aCall.id;
  host_.metrics.Count("greengage_advice_calls_total");
  if (!outlets_.advice.TryPush(std::move(aCall)))
    unsentAdviceCalls_.push_back(id);
}

void
ScheduleFilter::Answer(schedule::CallerId aCaller, schedule::Reply&& aReply)
{
  if (const auto* refused = std::get_if<schedule::Refused>(&aReply))
    host_.metrics.Count(
      "greengage_refusals_total",
      { { "reason", std::string(CodeOf(refused->reason.kind)) } });
  outlets_.replies.Push({ .caller = aCaller, .reply = std::move(aReply) });
}
