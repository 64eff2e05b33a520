// The attempts of the request plane: from a free slot to an outcome.

#include "greengage/dispatch/RequestPlane.h"

#include <cassert>
#include <utility>
#include <vector>

using namespace greengage;
using namespace greengage::dispatch;

/// How long an upstream that could not be reached gets no work.
static constexpr Duration kUnreachableHold = Duration::Seconds(1);
/// How long an upstream whose slots were taken gets no work.
static constexpr Duration kSlotsTakenHold = Duration(100);
/// How much longer than its lease a lost request may run, as clocks differ.
static constexpr Duration kLeaseMargin = Duration::Seconds(1);

static Error
MakeError(ErrorKind aKind, std::string aDetail)
{
  return Error{ .kind = aKind, .detail = std::move(aDetail) };
}

void
RequestPlane::Schedule(const PoolId& aPool, Time aNow, Actions& aOut)
{
  const auto mayRun = [this](const TeamId& aTeam) {
    return limits_.HasRoom(aTeam);
  };
  while (queue_.WaitingInPool(aPool) > 0) {
    auto place = TakePlace(aPool, aNow);
    if (!place)
      return;
    const auto entry = queue_.TakeNext(aPool, mayRun, aNow);
    if (!entry) {
      ReturnPlace(*place, aPool);
      return;
    }
    [[maybe_unused]] const bool isAcquired = limits_.TryAcquire(entry->team);
    assert(isAcquired && "the queue was asked for a team with room");
    gate_.NoteStart(
      aPool, entry->team, queue_.WaitingOfTeam(entry->team), aNow);
    Start(entry->work, std::move(*place), aNow, aOut);
  }
}

std::optional<RequestPlane::Place>
RequestPlane::TakePlace(const PoolId& aPool, Time aNow)
{
  if (const auto upstream = upstreams_.TakeSlot(aPool, aNow))
    return Place(*upstream);
  if (const auto peer = peers_.TakeSlot(aPool))
    return Place(*peer);
  return std::nullopt;
}

void
RequestPlane::ReturnPlace(const Place& aPlace, const PoolId& aPool)
{
  if (const auto* upstream = std::get_if<UpstreamId>(&aPlace))
    upstreams_.ReleaseSlot(*upstream);
  else
    peers_.ReturnSlot(std::get<EntryHostId>(aPlace), aPool);
}

void
RequestPlane::Start(WorkId aWork, Place&& aPlace, Time aNow, Actions& aOut)
{
  Work& work = works_.at(aWork);
  work.startedAt = aNow;
  if (!work.wasSent)
    retryBudget_.NoteFirstSend(work.request.team);
  work.wasSent = true;
  const Request& request = work.request;
  const DispatchId dispatch(++lastDispatch_);
  work.dispatch = dispatch;
  running_.emplace(request.deadline, aWork);
  if (const auto* id = std::get_if<UpstreamId>(&aPlace)) {
    const UpstreamAnnouncement* upstream = upstreams_.Find(*id);
    assert(upstream != nullptr && "a slot was taken from this upstream");
    aOut.push_back(Execute{ .dispatch = dispatch,
                            .upstream = *id,
                            .endpoint = upstream->endpoint,
                            .request = request });
  } else {
    aOut.push_back(Forward{ .peer = std::get<EntryHostId>(aPlace),
                            .dispatch = dispatch,
                            .request = request });
  }
  attempts_.emplace(dispatch,
                    Attempt{ .work = aWork, .place = std::move(aPlace) });
}

/// Learns from a whole run, and charges the team for what it took.
void
RequestPlane::LearnRun(WorkId aWork, const Outcome& aOutcome, Time aNow)
{
  const auto* answered = std::get_if<Answered>(&aOutcome);
  if (answered == nullptr)
    return;
  const Work& work = works_.at(aWork);
  const Duration ran = aNow - work.startedAt;
  // Work that fails may have stopped early and teaches nothing.
  if (answered->succeeded)
    runTimes_.Learn(work.request.team, work.request.kind, ran);
  if (!std::holds_alternative<LocalOrigin>(work.origin))
    return;
  QueueEntry entry = EntryOf(aWork, work.request);
  entry.expectedRunTime = work.expectedRun;
  queue_.AdjustCharge(entry, ran, aNow);
}

void
RequestPlane::ApplyHealth(const UpstreamId& aUpstream)
{
  upstreams_.SetHealth(
    aUpstream, health_.StateOf(aUpstream), health_.SlownessOf(aUpstream));
}

/// Compares an upstream's run with those of such work elsewhere.
void
RequestPlane::JudgeUpstream(const UpstreamId& aUpstream,
                            const Work& aWork,
                            AttemptEnd aEnd,
                            Time aNow)
{
  // A full upstream is not at fault, and one that can't be reached gets no
  // work for a while in any case.
  if (aEnd == AttemptEnd::SlotsTaken || aEnd == AttemptEnd::NotSent ||
      aEnd == AttemptEnd::Cancelled)
    return;
  const Request& request = aWork.request;
  const bool isChanged = health_.NoteEnd(
    { .upstream = aUpstream,
      .team = request.team,
      .kind = request.kind,
      .hasSucceeded = aEnd == AttemptEnd::Succeeded,
      .ran = aNow - aWork.startedAt,
      .expectedRun = runTimes_.Mean(request.team, request.kind) },
    aNow);
  if (isChanged)
    ApplyHealth(aUpstream);
}

void
RequestPlane::ReleaseLimit(const TeamId& aTeam, Time aNow)
{
  limits_.Release(aTeam);
  if (limits_.HasRoom(aTeam))
    queue_.UnblockTeam(aTeam, aNow);
}

/// Removes a known attempt, after which its request is not running any more.
RequestPlane::Attempt
RequestPlane::TakeAttempt(DispatchId aDispatch)
{
  const auto found = attempts_.find(aDispatch);
  assert(found != attempts_.end() && "the caller has looked the attempt up");
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
  if (!upstream || works_.size() >= options_.maxWorks) {
    // The peer's picture is out of date: report this pool again.
    published_.erase(aEvent.request.pool);
    refuse(ErrorKind::NoCapacity, "no free slot on this entry host");
    return;
  }
  const WorkId work =
    AddWork(std::move(aEvent.request),
            PeerOrigin{ .peer = aEvent.from, .dispatch = aEvent.dispatch });
  peerWorks_[{ aEvent.from, aEvent.dispatch }] = work;
  Start(work, Place(*upstream), aNow, aOut);
}

/// What the end of an attempt means for the request.
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

/// Gives the slot of an ended attempt back as soon as it is surely free.
void
RequestPlane::SettleSlot(const UpstreamId& aUpstream,
                         const Work& aWork,
                         AttemptEnd aEnd,
                         Time aNow)
{
  if (aEnd == AttemptEnd::NotSent)
    upstreams_.HoldBack(aUpstream, aNow + kUnreachableHold);
  if (aEnd == AttemptEnd::SlotsTaken)
    upstreams_.HoldBack(aUpstream, aNow + kSlotsTakenHold);
  if (aEnd == AttemptEnd::Lost)
    HoldUntilLeaseEnd(aWork,
                      Hold{ .team = std::nullopt, .upstream = aUpstream });
  else
    upstreams_.ReleaseSlot(aUpstream);
}

void
RequestPlane::On(AttemptEnded&& aEvent, Time aNow, Actions& aOut)
{
  const auto found = attempts_.find(aEvent.dispatch);
  if (found == attempts_.end() ||
      !std::holds_alternative<UpstreamId>(found->second.place))
    return;
  const Attempt attempt = TakeAttempt(aEvent.dispatch);
  const auto& upstream = std::get<UpstreamId>(attempt.place);
  const Work& work = works_.at(attempt.work);
  SettleSlot(upstream, work, aEvent.end, aNow);
  JudgeUpstream(upstream, work, aEvent.end, aNow);
  const PoolId pool = work.request.pool;
  Outcome outcome = OutcomeOf(std::move(aEvent), upstream);
  LearnRun(attempt.work, outcome, aNow);
  if (const auto* origin = std::get_if<PeerOrigin>(&work.origin)) {
    aOut.push_back(ReturnOutcome{ .peer = origin->peer,
                                  .dispatch = origin->dispatch,
                                  .outcome = std::move(outcome) });
    peerWorks_.erase({ origin->peer, origin->dispatch });
    works_.erase(attempt.work);
  } else {
    Settle(attempt.work, std::move(outcome), aNow, aOut);
  }
  Schedule(pool, aNow, aOut);
}

void
RequestPlane::On(ForwardEnded&& aEvent, Time aNow, Actions& aOut)
{
  const auto found = attempts_.find(aEvent.dispatch);
  if (found == attempts_.end() || found->second.place != Place(aEvent.from))
    return;
  const Attempt attempt = TakeAttempt(aEvent.dispatch);
  const PoolId pool = works_.at(attempt.work).request.pool;
  if (std::holds_alternative<NotRun>(aEvent.outcome))
    peers_.NoteFull(aEvent.from, pool);
  else
    peers_.ReturnSlot(aEvent.from, pool);
  LearnRun(attempt.work, aEvent.outcome, aNow);
  Settle(attempt.work, std::move(aEvent.outcome), aNow, aOut);
  Schedule(pool, aNow, aOut);
}

void
RequestPlane::On(PeerDown&& aEvent, Time aNow, Actions& aOut)
{
  peers_.Down(aEvent.peer);
  std::vector<DispatchId> lost;
  for (const auto& [dispatch, attempt] : attempts_)
    if (attempt.place == Place(aEvent.peer))
      lost.push_back(dispatch);
  const std::string why =
    "connection to entry host \"" + aEvent.peer.Value() + "\" was lost";
  for (const DispatchId dispatch : lost)
    On(ForwardEnded{ .from = aEvent.peer,
                     .dispatch = dispatch,
                     .outcome = Unknown{ .error = MakeError(
                                           ErrorKind::OutcomeUnknown, why) } },
       aNow,
       aOut);
}

/// Takes the end of an attempt into account: ends the request or lets it wait
/// for another attempt.
void
RequestPlane::Settle(WorkId aWork, Outcome&& aOutcome, Time aNow, Actions& aOut)
{
  Work& work = works_.at(aWork);
  const auto* unknown = std::get_if<Unknown>(&aOutcome);
  const bool hasStopped =
    unknown == nullptr || unknown->error.kind == ErrorKind::Cancelled;
  work.mayHaveRun |= unknown != nullptr;
  if (!hasStopped) {
    HoldUntilLeaseEnd(
      work, Hold{ .team = work.request.team, .upstream = std::nullopt });
  } else {
    ReleaseLimit(work.request.team, aNow);
  }
  if (!MayRetry(work, aOutcome, aNow)) {
    Finish(aWork, std::move(aOutcome), aNow, aOut);
    return;
  }
  Enqueue(aWork, aNow);
}

bool
RequestPlane::MayRetry(Work& aWork, const Outcome& aOutcome, Time aNow)
{
  if (aWork.isAnswered || aWork.isCancelled || aWork.request.deadline <= aNow)
    return false;
  if (std::holds_alternative<Answered>(aOutcome))
    return false;
  const auto* notRun = std::get_if<NotRun>(&aOutcome);
  if (notRun != nullptr && notRun->error.kind == ErrorKind::NoCapacity)
    return true;
  const bool isSafe =
    notRun != nullptr || aWork.request.idempotence == Idempotence::Idempotent;
  ++aWork.attempts;
  return isSafe && aWork.attempts < options_.maxAttempts &&
         retryBudget_.TryRetry(aWork.request.team);
}

/// Passes a withdrawal on to where the request runs.
void
RequestPlane::CancelRunning(Work& aWork, Actions& aOut)
{
  aWork.isCancelled = true;
  const auto found = attempts_.find(aWork.dispatch);
  if (found == attempts_.end())
    return;
  const Place& place = found->second.place;
  if (const auto* peer = std::get_if<EntryHostId>(&place)) {
    aOut.push_back(CancelForward{ .peer = *peer, .dispatch = aWork.dispatch });
    return;
  }
  const auto& upstream = std::get<UpstreamId>(place);
  // Without its address the attempt ends by its lease.
  if (const UpstreamAnnouncement* known = upstreams_.Find(upstream))
    aOut.push_back(CancelAttempt{ .dispatch = aWork.dispatch,
                                  .upstream = upstream,
                                  .endpoint = known->endpoint });
}

void
RequestPlane::On(ForwardCancelled&& aEvent, Time /*aNow*/, Actions& aOut)
{
  const auto found = peerWorks_.find({ aEvent.from, aEvent.dispatch });
  if (found != peerWorks_.end())
    CancelRunning(works_.at(found->second), aOut);
}

/// Keeps what a lost attempt may still be using until its lease has run out:
/// an upstream runs no request beyond the deadline it was given.
void
RequestPlane::HoldUntilLeaseEnd(const Work& aWork, Hold&& aHold)
{
  holds_.emplace(aWork.request.deadline + kLeaseMargin, std::move(aHold));
}

Outcome
RequestPlane::Truthful(const Work& aWork, Outcome&& aOutcome)
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
  assert(found != works_.end() && "a request ends once");
  const auto* local = std::get_if<LocalOrigin>(&found->second.origin);
  assert(local != nullptr && "a peer's request ends with its attempt");
  AnswerWaiters(
    local->key, Truthful(found->second, std::move(aOutcome)), aNow, aOut);
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
