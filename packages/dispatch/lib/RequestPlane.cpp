#include "greengage/dispatch/RequestPlane.h"

#include <cassert>
#include <utility>
#include <vector>

using namespace greengage;
using namespace greengage::dispatch;

static constexpr Duration kOverloadRetryAfter = Duration::Seconds(1);
static constexpr Duration kShutdownRetryAfter = Duration(100);
static constexpr std::size_t kMaxCallersPerRequest = 16;
/// Time after the deadline before the callers get an Unknown outcome, since an
/// outcome from a peer may still arrive.
static constexpr Duration kLateOutcomeGrace = Duration(250);

RequestPlane::RequestPlane(RequestPlaneOptions aOptions,
                           RequestQueue& aQueue,
                           LimitLedger& aLimits)
  : options_(std::move(aOptions))
  , queue_(aQueue)
  , limits_(aLimits)
  , peers_(options_.self, options_.availabilityZone)
  , records_(options_.records)
{
}

void
RequestPlane::Handle(Event&& aEvent, Time aNow, Actions& aOut)
{
  std::visit(
    [&](auto&& aAny) { On(std::forward<decltype(aAny)>(aAny), aNow, aOut); },
    std::move(aEvent));
  if (shuttingDown_)
    ReportDrained(aOut);
}

void
RequestPlane::Tick(Time aNow, Actions& aOut)
{
  upstreams_.Expire(aNow);
  for (const UpstreamId& upstream : health_.StartDueProbes(aNow))
    ApplyHealth(upstream);
  records_.Expire(aNow);
  ReleaseExpiredLeases(aNow);
  ExpireQueued(aNow, aOut);
  AnswerOverdue(aNow, aOut);
  ScheduleAll(aNow, aOut);
  Publish(aNow, aOut);
  ExchangeGrants(aNow, aOut);
  if (shuttingDown_)
    ReportDrained(aOut);
}

static NotRun
MakeNotRun(ErrorKind aKind, std::string aDetail, Duration aRetryAfter = {})
{
  return NotRun{ .error = { .kind = aKind, .detail = std::move(aDetail) },
                 .retryAfter = aRetryAfter };
}

static Unknown
MakeUnknown(ErrorKind aKind, std::string aDetail)
{
  return Unknown{ .error = { .kind = aKind, .detail = std::move(aDetail) } };
}

void
RequestPlane::On(Submit&& aEvent, Time aNow, Actions& aOut)
{
  if (AnswerFromRecord(aEvent, aOut))
    return;
  auto refusal = CheckAdmission(aEvent.request, aNow);
  if (!refusal)
    refusal = CheckDeadline(aEvent.request, aNow);
  if (refusal) {
    aOut.push_back(Answer{ .call = aEvent.call,
                           .id = aEvent.request.id,
                           .outcome = std::move(*refusal) });
    return;
  }
  Admit(std::move(aEvent), aNow, aOut);
}

std::optional<NotRun>
RequestPlane::CheckAdmission(const Request& aRequest, Time aNow) const
{
  if (shuttingDown_)
    return MakeNotRun(ErrorKind::ShuttingDown,
                      "entry host is shutting down",
                      kShutdownRetryAfter);
  if (!view_)
    return MakeNotRun(ErrorKind::Unreachable,
                      "entry host has no agreed state yet",
                      kOverloadRetryAfter);
  const auto team = view_->teams.find(aRequest.team);
  if (team == view_->teams.end())
    return MakeNotRun(ErrorKind::Forbidden,
                      "team \"" + aRequest.team.Value() + "\" does not exist");
  if (!view_->pools.contains(aRequest.pool))
    return MakeNotRun(ErrorKind::NotFound,
                      "pool \"" + aRequest.pool.Value() + "\" does not exist");
  if (aRequest.deadline <= aNow)
    return MakeNotRun(ErrorKind::DeadlinePassed, "deadline has passed");
  if (team->second.limit <= Slots(0))
    return MakeNotRun(ErrorKind::LimitReached, "limit of the team is 0");
  const bool isFull =
    queue_.WaitingOfTeam(aRequest.team) >= team->second.maxQueued;
  if (isFull || works_.size() >= options_.maxRequestsInProgress)
    return MakeNotRun(
      ErrorKind::Overloaded, "queue of the team is full", kOverloadRetryAfter);
  return std::nullopt;
}

/// Returns a refusal if the request is not expected to meet its deadline.
std::optional<NotRun>
RequestPlane::CheckDeadline(const Request& aRequest, Time aNow)
{
  const QueueEntry entry = MakeQueueEntry(WorkId(), aRequest);
  const auto retryAfter = gate_.CheckDeadline(
    { .pool = aRequest.pool,
      .team = aRequest.team,
      .queuedAhead = queue_.CountAhead(entry),
      .minRunTime = runTimes_.Percentile10(aRequest.team, aRequest.kind),
      .deadline = aRequest.deadline },
    aNow);
  if (!retryAfter)
    return std::nullopt;
  return MakeNotRun(ErrorKind::DeadlineUnmeetable,
                    "requests ahead and the usual run time leave no room",
                    *retryAfter);
}

/// Answers a resend from the record of the first request, or adds its call to
/// the calls that wait for the outcome. \returns false if there is no record.
bool
RequestPlane::AnswerFromRecord(const Submit& aEvent, Actions& aOut)
{
  const Request& request = aEvent.request;
  RequestRecord* record = records_.Find({ request.team, request.id });
  if (record == nullptr)
    return false;
  const auto answer = [&](Outcome aOutcome) {
    aOut.push_back(Answer{
      .call = aEvent.call, .id = request.id, .outcome = std::move(aOutcome) });
  };
  if (record->fingerprint != FingerprintOf(request))
    answer(MakeUnknown(ErrorKind::DuplicateRequest,
                       "another request was sent under this id"));
  else if (record->outcome)
    answer(*record->outcome);
  else if (record->hasEnded)
    answer(MakeUnknown(ErrorKind::OutcomeUnknown,
                       "request ended and its answer is no longer kept"));
  else if (record->waiters.size() >= kMaxCallersPerRequest)
    answer(MakeUnknown(ErrorKind::DuplicateRequest,
                       "too many callers wait for this request"));
  else
    record->waiters.push_back(aEvent.call);
  return true;
}

void
RequestPlane::Admit(Submit&& aEvent, Time aNow, Actions& aOut)
{
  const RequestRecords::Key key(aEvent.request.team, aEvent.request.id);
  RequestRecord* record = records_.Create(key, FingerprintOf(aEvent.request));
  if (record == nullptr) {
    aOut.push_back(
      Answer{ .call = aEvent.call,
              .id = aEvent.request.id,
              .outcome = MakeNotRun(ErrorKind::Overloaded,
                                    "no room to remember another request id",
                                    kOverloadRetryAfter) });
    return;
  }
  const PoolId pool = aEvent.request.pool;
  const WorkId work =
    AddWork(std::move(aEvent.request), LocalOrigin{ .key = key });
  record->work = work;
  record->waiters.push_back(aEvent.call);
  Enqueue(work, aNow);
  Schedule(pool, aNow, aOut);
}

WorkId
RequestPlane::AddWork(Request&& aRequest, Origin&& aOrigin)
{
  const WorkId id(++lastWork_);
  Work work;
  work.request = std::move(aRequest);
  work.origin = std::move(aOrigin);
  works_.emplace(id, std::move(work));
  return id;
}

QueueEntry
RequestPlane::MakeQueueEntry(WorkId aWork, const Request& aRequest) const
{
  return { .work = aWork,
           .team = aRequest.team,
           .pool = aRequest.pool,
           .priceClass = aRequest.priceClass,
           .deadline = aRequest.deadline,
           .expectedRunTime = runTimes_.Mean(aRequest.team, aRequest.kind),
           .minRunTime = runTimes_.Percentile10(aRequest.team, aRequest.kind) };
}

void
RequestPlane::Enqueue(WorkId aWork, Time aNow)
{
  Work& work = works_.at(aWork);
  const QueueEntry entry = MakeQueueEntry(aWork, work.request);
  work.expectedRunTime = entry.expectedRunTime;
  queue_.Add(entry, aNow);
}

void
RequestPlane::On(Cancel&& aEvent, Time aNow, Actions& aOut)
{
  const RequestRecords::Key key(aEvent.team, aEvent.id);
  const RequestRecord* record = records_.Find(key);
  Outcome outcome =
    MakeNotRun(ErrorKind::NotFound, "no such request on this entry host");
  if (record != nullptr && record->outcome)
    outcome = *record->outcome;
  else if (record != nullptr && queue_.Remove(record->work, aNow)) {
    outcome = DowngradeNotRun(
      works_.at(record->work),
      MakeNotRun(ErrorKind::Cancelled, "request was cancelled"));
    Finish(record->work, Outcome(outcome), aNow, aOut);
  } else if (record != nullptr) {
    outcome = MakeUnknown(ErrorKind::OutcomeUnknown,
                          "request is running or its end is not kept");
    const auto work = works_.find(record->work);
    if (!record->hasEnded && work != works_.end())
      CancelRunning(work->second, aOut);
  }
  aOut.push_back(AnswerCancel{
    .call = aEvent.call, .id = aEvent.id, .outcome = std::move(outcome) });
}

void
RequestPlane::On(Announced&& aEvent, Time aNow, Actions& aOut)
{
  const UpstreamAnnouncement& announcement = aEvent.announcement;
  const bool knowsPool =
    view_ != nullptr && view_->pools.contains(announcement.pool);
  if (aEvent.call && !knowsPool) {
    aOut.push_back(AnswerAnnouncement{
      .call = *aEvent.call,
      .servedBy = {},
      .refusal = Error{ .kind = ErrorKind::NotFound,
                        .detail = "pool \"" + announcement.pool.Value() +
                                  "\" does not exist" } });
    return;
  }
  EntryHostId owner =
    peers_.OwnerOf(announcement.id, announcement.availabilityZone);
  // The peer that relays an announcement decides which entry host serves the
  // upstream. While the membership views of two hosts differ, both may serve
  // it; the upstream then refuses requests beyond its slots.
  const bool isOurs = !aEvent.call || owner == options_.self;
  if (isOurs) {
    upstreams_.Announce(announcement, aNow);
    ApplyHealth(announcement.id);
    Schedule(announcement.pool, aNow, aOut);
  } else {
    upstreams_.Remove(announcement.id);
    aOut.push_back(
      RelayAnnouncement{ .peer = owner, .announcement = announcement });
  }
  if (aEvent.call)
    aOut.push_back(AnswerAnnouncement{ .call = *aEvent.call,
                                       .servedBy = std::move(owner),
                                       .refusal = std::nullopt });
}

void
RequestPlane::On(PeerUp&& aEvent, Time aNow, Actions& aOut)
{
  peers_.AddPeer(aEvent);
  // The new peer has received no load report yet.
  nextFullPublish_ = Time(0);
  HandOverUpstreams(aNow, aOut);
}

/// Hands over the upstreams that another entry host serves from now on.
/// Attempts in progress on them continue.
void
RequestPlane::HandOverUpstreams(Time aNow, Actions& aOut)
{
  for (UpstreamAnnouncement& announcement : upstreams_.Announcements(aNow)) {
    EntryHostId owner =
      peers_.OwnerOf(announcement.id, announcement.availabilityZone);
    if (owner == options_.self)
      continue;
    upstreams_.Remove(announcement.id);
    aOut.push_back(RelayAnnouncement{
      .peer = std::move(owner), .announcement = std::move(announcement) });
  }
}

void
RequestPlane::On(PeerLoad&& aEvent, Time aNow, Actions& aOut)
{
  peers_.UpdateLoad(aEvent);
  for (const PoolLoad& load : aEvent.pools)
    Schedule(load.pool, aNow, aOut);
}

void
RequestPlane::On(PeerGrants&& aEvent, Time aNow, Actions& aOut)
{
  limits_.ApplyReport(aEvent, aNow);
  ScheduleAll(aNow, aOut);
}

void
RequestPlane::ScheduleAll(Time aNow, Actions& aOut)
{
  for (const TeamId& team : queue_.BlockedTeams())
    if (limits_.CanAcquire(team))
      queue_.UnblockTeam(team, aNow);
  for (const PoolId& pool : queue_.Pools())
    Schedule(pool, aNow, aOut);
}

void
RequestPlane::ExchangeGrants(Time aNow, Actions& aOut)
{
  if (!view_)
    return;
  for (const auto& [team, policy] : view_->teams)
    limits_.SetWaiting(team, queue_.WaitingOfTeam(team));
  for (SendGrants& report : limits_.TakeDueReports(aNow))
    aOut.push_back(std::move(report));
}

void
RequestPlane::On(ViewChanged&& aEvent, Time aNow, Actions& aOut)
{
  view_ = std::move(aEvent.view);
  limits_.Update(*view_);
  for (const auto& [team, policy] : view_->teams)
    queue_.SetShare(team.Value(), policy.share);
  for (const auto& [group, share] : view_->groupShares)
    queue_.SetShare(group, share);
  ScheduleAll(aNow, aOut);
}

void
RequestPlane::On(BeginShutdown&& /*aEvent*/, Time aNow, Actions& aOut)
{
  shuttingDown_ = true;
  nextPublish_ = Time(0);
  nextFullPublish_ = Time(0);
  // Peers must learn that this host is leaving before they receive its
  // upstreams.
  Publish(aNow, aOut);
  peers_.StopServingUpstreams();
  HandOverUpstreams(aNow, aOut);
}

void
RequestPlane::ReportDrained(Actions& aOut)
{
  if (drainedReported_ || !works_.empty())
    return;
  drainedReported_ = true;
  aOut.push_back(Drained{});
}

void
RequestPlane::ExpireQueued(Time aNow, Actions& aOut)
{
  for (const QueueEntry& entry : queue_.TakeExpired(aNow))
    Finish(entry.work,
           MakeNotRun(ErrorKind::DeadlinePassed,
                      "no slot came free before the deadline"),
           aNow,
           aOut);
}

/// Answers the callers of requests that are still running at their deadlines.
void
RequestPlane::AnswerOverdue(Time aNow, Actions& aOut)
{
  while (!running_.empty() &&
         running_.begin()->first + kLateOutcomeGrace <= aNow) {
    const WorkId id = running_.begin()->second;
    running_.erase(running_.begin());
    Work& work = works_.at(id);
    const auto* local = std::get_if<LocalOrigin>(&work.origin);
    if (local == nullptr || work.isAnswered)
      continue;
    work.isAnswered = true;
    AnswerWaiters(local->key,
                  MakeUnknown(ErrorKind::OutcomeUnknown,
                              "request was still running at its deadline"),
                  aNow,
                  aOut);
  }
}

void
RequestPlane::ReleaseExpiredLeases(Time aNow)
{
  while (!leasedResources_.empty() && leasedResources_.begin()->first <= aNow) {
    const LeasedResources resources = leasedResources_.begin()->second;
    leasedResources_.erase(leasedResources_.begin());
    if (resources.team)
      ReleaseLimit(*resources.team, aNow);
    if (resources.upstream)
      upstreams_.ReleaseSlot(*resources.upstream);
  }
}

void
RequestPlane::Publish(Time aNow, Actions& aOut)
{
  if (aNow < nextPublish_)
    return;
  nextPublish_ = aNow + options_.publishInterval;
  const bool isFullReport = aNow >= nextFullPublish_;
  if (isFullReport)
    nextFullPublish_ = aNow + options_.fullPublishInterval;
  PublishLoad message;
  message.leaving = shuttingDown_;
  for (const PoolId& pool : upstreams_.Pools()) {
    const PoolLoad load{
      .pool = pool,
      .freeSlots = shuttingDown_ ? Slots(0) : upstreams_.FreeSlots(pool),
      .queued = static_cast<std::uint32_t>(queue_.WaitingInPool(pool))
    };
    PoolLoad& last = publishedLoads_[pool];
    const bool isChanged =
      last.freeSlots != load.freeSlots || last.queued != load.queued;
    if (!isFullReport && !isChanged)
      continue;
    last = load;
    message.pools.push_back(load);
  }
  if (isFullReport || !message.pools.empty())
    aOut.push_back(std::move(message));
}
