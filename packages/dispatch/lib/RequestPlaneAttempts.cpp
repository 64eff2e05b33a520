// Attempts of the request plane: dispatch to a free slot, completion and retry.

#include "greengage/dispatch/RequestPlane.h"

#include <cassert>
#include <utility>
#include <vector>

using namespace greengage;
using namespace greengage::dispatch;

/// Time for which an unreachable upstream gets no work.
static constexpr Duration kUnreachableBackoff = Duration::Seconds(1);
/// Time for which an upstream whose slots were all taken gets no work.
static constexpr Duration kSlotsTakenBackoff = Duration(100);
/// Added to the lease of a lost attempt, since the clocks of upstream and entry
/// host may differ.
static constexpr Duration kMaxClockSkew = Duration::Seconds(1);

static Error
MakeError(ErrorKind aKind, std::string aDetail)
{
  return Error{ .kind = aKind, .detail = std::move(aDetail) };
}

void
RequestPlane::Schedule(const PoolId& aPool, Time aNow, Actions& aOut)
{
  const auto mayRun = [this](const TeamId& aTeam) {
    return limits_.CanAcquire(aTeam);
  };
  while (queue_.WaitingInPool(aPool) > 0) {
    auto target = TakeTarget(aPool, aNow);
    if (!target)
      return;
    const auto entry = queue_.TakeNext(aPool, mayRun, aNow);
    if (!entry) {
      ReturnTarget(*target, aPool);
      return;
    }
    [[maybe_unused]] const bool isAcquired = limits_.TryAcquire(entry->team);
    assert(isAcquired && "TakeNext returned a team that is at its limit");
    gate_.RecordStart(
      aPool, entry->team, queue_.WaitingOfTeam(entry->team), aNow);
    Start(entry->work, std::move(*target), aNow, aOut);
  }
}

std::optional<RequestPlane::Target>
RequestPlane::TakeTarget(const PoolId& aPool, Time aNow)
{
  if (const auto upstream = upstreams_.TakeSlot(aPool, aNow))
    return Target(*upstream);
  if (const auto peer = peers_.TakeSlot(aPool))
    return Target(*peer);
  return std::nullopt;
}

void
RequestPlane::ReturnTarget(const Target& aTarget, const PoolId& aPool)
{
  if (const auto* upstream = std::get_if<UpstreamId>(&aTarget))
    upstreams_.ReleaseSlot(*upstream);
  else
    peers_.ReturnSlot(std::get<EntryHostId>(aTarget), aPool);
}

void
RequestPlane::Start(WorkId aWork, Target&& aTarget, Time aNow, Actions& aOut)
{
  Work& work = works_.at(aWork);
  work.startedAt = aNow;
  if (!work.hasBeenSent)
    retryBudget_.RecordFirstSend(work.request.team);
  work.hasBeenSent = true;
  const Request& request = work.request;
  const DispatchId dispatch(dispatchNumbers_.Next());
  work.dispatch = dispatch;
  running_.emplace(request.deadline, aWork);
  if (const auto* id = std::get_if<UpstreamId>(&aTarget)) {
    const UpstreamAnnouncement* upstream = upstreams_.Find(*id);
    assert(upstream != nullptr && "the upstream of a taken slot is unknown");
    aOut.push_back(Execute{ .dispatch = dispatch,
                            .upstream = *id,
                            .endpoint = upstream->endpoint,
                            .request = request });
  } else {
    aOut.push_back(Forward{ .peer = std::get<EntryHostId>(aTarget),
                            .dispatch = dispatch,
                            .request = request });
  }
  attempts_.emplace(dispatch,
                    Attempt{ .work = aWork, .target = std::move(aTarget) });
}

/// Updates the run time estimate with a completed run, and adjusts the team's
/// charge to the actual run time. Does nothing if no answer arrived.
void
RequestPlane::RecordRun(WorkId aWork, const Outcome& aOutcome, Time aNow)
{
  const auto* answered = std::get_if<Answered>(&aOutcome);
  if (answered == nullptr)
    return;
  const Work& work = works_.at(aWork);
  const Duration ran = aNow - work.startedAt;
  // A failed run may have ended early, so it is not used for the estimate.
  if (answered->succeeded)
    runTimes_.Record(work.request.team, work.request.kind, ran);
  if (!std::holds_alternative<LocalOrigin>(work.origin))
    return;
  QueueEntry entry = MakeQueueEntry(aWork, work.request);
  entry.expectedRunTime = work.expectedRunTime;
  queue_.AdjustCharge(entry, ran, aNow);
}

void
RequestPlane::ApplyHealth(const UpstreamId& aUpstream)
{
  upstreams_.SetHealth(
    aUpstream, health_.StateOf(aUpstream), health_.SlownessOf(aUpstream));
}

/// Reports the end of an attempt to the health tracking, which compares it with
/// runs of the same kind of work on other upstreams.
void
RequestPlane::UpdateUpstreamHealth(const UpstreamId& aUpstream,
                                   const Work& aWork,
                                   AttemptEnd aEnd,
                                   Time aNow)
{
  // A full upstream is not faulty, an unreachable one gets no work for a while
  // in any case, and a cancelled run shows neither success nor failure.
  if (aEnd == AttemptEnd::SlotsTaken || aEnd == AttemptEnd::NotSent ||
      aEnd == AttemptEnd::Cancelled)
    return;
  const Request& request = aWork.request;
  const bool isChanged = health_.RecordEnd(
    { .upstream = aUpstream,
      .team = request.team,
      .kind = request.kind,
      .hasSucceeded = aEnd == AttemptEnd::Succeeded,
      .runTime = aNow - aWork.startedAt,
      .expectedRunTime = runTimes_.Mean(request.team, request.kind) },
    aNow);
  if (isChanged)
    ApplyHealth(aUpstream);
}

void
RequestPlane::ReleaseLimit(const TeamId& aTeam, Time aNow)
{
  limits_.Release(aTeam);
  if (limits_.CanAcquire(aTeam))
    queue_.UnblockTeam(aTeam, aNow);
}

/// Removes a known attempt from the attempts in progress.
RequestPlane::Attempt
RequestPlane::TakeAttempt(DispatchId aDispatch)
{
  const auto found = attempts_.find(aDispatch);
  assert(found != attempts_.end() && "the attempt is not in progress");
  Attempt attempt = std::move(found->second);
  attempts_.erase(found);
  running_.erase({ works_.at(attempt.work).request.deadline, attempt.work });
  return attempt;
}

void
RequestPlane::On(Forwarded&& aEvent, Time aNow, Actions& aOut)
{
  const auto refuse = [&](ErrorKind aKind, const char* aDetail) {
    aOut.push_back(
      ReturnOutcome{ .peer = aEvent.from,
                     .dispatch = aEvent.dispatch,
                     .outcome = NotRun{ .error = MakeError(aKind, aDetail),
                                        .retryAfter = Duration(0) } });
  };
  if (shuttingDown_) {
    refuse(ErrorKind::ShuttingDown, "entry host is shutting down");
    return;
  }
  if (aEvent.request.deadline <= aNow) {
    refuse(ErrorKind::DeadlinePassed, "deadline has passed");
    return;
  }
  const auto upstream = upstreams_.TakeSlot(aEvent.request.pool, aNow);
  if (!upstream || works_.size() >= options_.maxRequestsInProgress) {
    // The peer's view of the load is out of date: report this pool again.
    publishedLoads_.erase(aEvent.request.pool);
    refuse(ErrorKind::NoCapacity, "no free slot on this entry host");
    return;
  }
  const WorkId work =
    AddWork(std::move(aEvent.request),
            PeerOrigin{ .peer = aEvent.from, .dispatch = aEvent.dispatch });
  peerWorks_[{ aEvent.from, aEvent.dispatch }] = work;
  Start(work, Target(*upstream), aNow, aOut);
}

/// Translates the end of an attempt into an outcome of the request.
static Outcome
OutcomeOf(AttemptEnded&& aEvent, const UpstreamId& aUpstream)
{
  switch (aEvent.end) {
    case AttemptEnd::Succeeded:
    case AttemptEnd::Failed:
      return Answered{ .upstream = aUpstream,
                       .succeeded = aEvent.end == AttemptEnd::Succeeded,
                       .payload = std::move(aEvent.payload) };
    case AttemptEnd::SlotsTaken:
      return NotRun{ .error = MakeError(ErrorKind::NoCapacity,
                                        "slots of the upstream are taken"),
                     .retryAfter = {} };
    case AttemptEnd::NotSent:
      return NotRun{ .error = MakeError(ErrorKind::Unreachable,
                                        std::move(aEvent.reason)),
                     .retryAfter = {} };
    case AttemptEnd::Cancelled:
      return Unknown{ .error =
                        MakeError(ErrorKind::Cancelled,
                                  "request was cancelled while it ran") };
    case AttemptEnd::Lost:
      break;
  }
  return Unknown{ .error = MakeError(ErrorKind::OutcomeUnknown,
                                     std::move(aEvent.reason)) };
}

/// Releases the slot of an ended attempt. The slot of a lost attempt is
/// released when its lease expires.
void
RequestPlane::ReleaseUpstreamSlot(const UpstreamId& aUpstream,
                                  const Work& aWork,
                                  AttemptEnd aEnd,
                                  Time aNow)
{
  if (aEnd == AttemptEnd::NotSent)
    upstreams_.BackOffUntil(aUpstream, aNow + kUnreachableBackoff);
  if (aEnd == AttemptEnd::SlotsTaken)
    upstreams_.BackOffUntil(aUpstream, aNow + kSlotsTakenBackoff);
  if (aEnd == AttemptEnd::Lost)
    RetainUntilLeaseExpiry(
      aWork, LeasedResources{ .team = std::nullopt, .upstream = aUpstream });
  else
    upstreams_.ReleaseSlot(aUpstream);
}

void
RequestPlane::On(AttemptEnded&& aEvent, Time aNow, Actions& aOut)
{
  const auto found = attempts_.find(aEvent.dispatch);
  if (found == attempts_.end() ||
      !std::holds_alternative<UpstreamId>(found->second.target))
    return;
  const Attempt attempt = TakeAttempt(aEvent.dispatch);
  const auto& upstream = std::get<UpstreamId>(attempt.target);
  const Work& work = works_.at(attempt.work);
  ReleaseUpstreamSlot(upstream, work, aEvent.end, aNow);
  UpdateUpstreamHealth(upstream, work, aEvent.end, aNow);
  const PoolId pool = work.request.pool;
  Outcome outcome = OutcomeOf(std::move(aEvent), upstream);
  RecordRun(attempt.work, outcome, aNow);
  if (const auto* origin = std::get_if<PeerOrigin>(&work.origin)) {
    aOut.push_back(ReturnOutcome{ .peer = origin->peer,
                                  .dispatch = origin->dispatch,
                                  .outcome = std::move(outcome) });
    peerWorks_.erase({ origin->peer, origin->dispatch });
    works_.erase(attempt.work);
  } else {
    FinishOrRetry(attempt.work, std::move(outcome), aNow, aOut);
  }
  Schedule(pool, aNow, aOut);
}

void
RequestPlane::On(ForwardEnded&& aEvent, Time aNow, Actions& aOut)
{
  const auto found = attempts_.find(aEvent.dispatch);
  if (found == attempts_.end() || found->second.target != Target(aEvent.from))
    return;
  const Attempt attempt = TakeAttempt(aEvent.dispatch);
  const PoolId pool = works_.at(attempt.work).request.pool;
  if (std::holds_alternative<NotRun>(aEvent.outcome))
    peers_.MarkFull(aEvent.from, pool);
  else
    peers_.ReturnSlot(aEvent.from, pool);
  RecordRun(attempt.work, aEvent.outcome, aNow);
  FinishOrRetry(attempt.work, std::move(aEvent.outcome), aNow, aOut);
  Schedule(pool, aNow, aOut);
}

void
RequestPlane::On(PeerDown&& aEvent, Time aNow, Actions& aOut)
{
  peers_.RemovePeer(aEvent.peer);
  std::vector<DispatchId> lostDispatches;
  for (const auto& [dispatch, attempt] : attempts_)
    if (attempt.target == Target(aEvent.peer))
      lostDispatches.push_back(dispatch);
  const std::string detail =
    "connection to entry host \"" + aEvent.peer.Value() + "\" was lost";
  for (const DispatchId dispatch : lostDispatches)
    On(ForwardEnded{ .from = aEvent.peer,
                     .dispatch = dispatch,
                     .outcome =
                       Unknown{ .error = MakeError(ErrorKind::OutcomeUnknown,
                                                   detail) } },
       aNow,
       aOut);
}

/// Completes the request of an ended attempt with \p aOutcome, or queues it for
/// a retry.
void
RequestPlane::FinishOrRetry(WorkId aWork,
                            Outcome&& aOutcome,
                            Time aNow,
                            Actions& aOut)
{
  Work& work = works_.at(aWork);
  const auto* unknown = std::get_if<Unknown>(&aOutcome);
  const bool isRunOver =
    unknown == nullptr || unknown->error.kind == ErrorKind::Cancelled;
  work.mayHaveRun |= unknown != nullptr;
  if (!isRunOver) {
    RetainUntilLeaseExpiry(
      work,
      LeasedResources{ .team = work.request.team, .upstream = std::nullopt });
  } else {
    ReleaseLimit(work.request.team, aNow);
  }
  if (!TryAcquireRetry(work, aOutcome, aNow)) {
    Finish(aWork, std::move(aOutcome), aNow, aOut);
    return;
  }
  Enqueue(aWork, aNow);
}

/// Returns whether the request may be retried. Counts the attempt as failed and
/// takes the retry from the budget of the team, except after a refusal for lack
/// of capacity.
bool
RequestPlane::TryAcquireRetry(Work& aWork, const Outcome& aOutcome, Time aNow)
{
  if (aWork.isAnswered || aWork.isCancelled || aWork.request.deadline <= aNow)
    return false;
  if (std::holds_alternative<Answered>(aOutcome))
    return false;
  const auto* notRun = std::get_if<NotRun>(&aOutcome);
  if (notRun != nullptr && notRun->error.kind == ErrorKind::NoCapacity)
    return true;
  const bool isSafeToRetry =
    notRun != nullptr || aWork.request.idempotence == Idempotence::Idempotent;
  ++aWork.failedAttempts;
  return isSafeToRetry && aWork.failedAttempts < options_.maxAttempts &&
         retryBudget_.TryRetry(aWork.request.team);
}

/// Forwards a cancellation to the peer or upstream that runs the request.
void
RequestPlane::CancelRunning(Work& aWork, Actions& aOut)
{
  aWork.isCancelled = true;
  const auto found = attempts_.find(aWork.dispatch);
  if (found == attempts_.end())
    return;
  const Target& target = found->second.target;
  if (const auto* peer = std::get_if<EntryHostId>(&target)) {
    aOut.push_back(CancelForward{ .peer = *peer, .dispatch = aWork.dispatch });
    return;
  }
  const auto& upstream = std::get<UpstreamId>(target);
  // An upstream whose endpoint is no longer known can't be asked to stop; it
  // runs the request until the deadline at most.
  if (const UpstreamAnnouncement* announcement = upstreams_.Find(upstream))
    aOut.push_back(CancelAttempt{ .dispatch = aWork.dispatch,
                                  .upstream = upstream,
                                  .endpoint = announcement->endpoint });
}

void
RequestPlane::On(ForwardCancelled&& aEvent, Time /*aNow*/, Actions& aOut)
{
  const auto found = peerWorks_.find({ aEvent.from, aEvent.dispatch });
  if (found != peerWorks_.end())
    CancelRunning(works_.at(found->second), aOut);
}

/// Keeps the resources of a lost attempt allocated until its lease has expired.
/// The lease ends with the deadline: an upstream runs no request beyond it.
void
RequestPlane::RetainUntilLeaseExpiry(const Work& aWork,
                                     LeasedResources&& aResources)
{
  leasedResources_.emplace(aWork.request.deadline + kMaxClockSkew,
                           std::move(aResources));
}

/// Turns NotRun into Unknown if an earlier attempt may have run the request.
Outcome
RequestPlane::DowngradeNotRun(const Work& aWork, Outcome&& aOutcome)
{
  auto* notRun = std::get_if<NotRun>(&aOutcome);
  if (notRun == nullptr || !aWork.mayHaveRun)
    return std::move(aOutcome);
  return Unknown{ .error =
                    MakeError(ErrorKind::OutcomeUnknown,
                              "an earlier attempt may have run; last reason: " +
                                notRun->error.detail) };
}

void
RequestPlane::Finish(WorkId aWork, Outcome&& aOutcome, Time aNow, Actions& aOut)
{
  const auto found = works_.find(aWork);
  assert(found != works_.end() && "the request has already ended");
  const auto* local = std::get_if<LocalOrigin>(&found->second.origin);
  assert(local != nullptr && "a forwarded request has no callers to answer");
  AnswerWaiters(local->key,
                DowngradeNotRun(found->second, std::move(aOutcome)),
                aNow,
                aOut);
  works_.erase(found);
}

void
RequestPlane::AnswerWaiters(const RequestRecords::Key& aKey,
                            const Outcome& aOutcome,
                            Time aNow,
                            Actions& aOut)
{
  const RequestRecord* record = records_.Find(aKey);
  if (record == nullptr)
    return;
  const std::vector<CallId> waiters = record->waiters;
  records_.End(aKey, aOutcome, aNow);
  for (const CallId call : waiters)
    aOut.push_back(
      Answer{ .call = call, .id = aKey.second, .outcome = aOutcome });
}
