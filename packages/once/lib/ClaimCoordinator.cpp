#include "greengage/once/ClaimCoordinator.h"

#include "greengage/dispatch/RequestRecords.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

using namespace greengage;
using namespace greengage::once;

/// The retry delay that callers of requests that were not run are given.
static constexpr Duration kNotRunRetryDelay = Duration::Seconds(1);

static Outcome
MakeUnknown(ErrorKind aKind, std::string aDetail)
{
  return Unknown{ .error = { .kind = aKind, .detail = std::move(aDetail) } };
}

static Outcome
MakeNotRun(Error aError)
{
  return NotRun{ .error = std::move(aError), .retryAfter = kNotRunRetryDelay };
}

ClaimCoordinator::ClaimCoordinator(CoordinatorOptions aOptions,
                                   const ReplicaSets& aSets,
                                   Outbox& aOutbox)
  : options_(std::move(aOptions))
  , replicaSets_(aSets)
  , outbox_(aOutbox)
{
}

void
ClaimCoordinator::Submit(CallId aCall,
                         Request&& aRequest,
                         Time aNow,
                         Actions& aOut)
{
  const RequestKey key{ .team = aRequest.team, .id = aRequest.id };
  const auto found = requests_.find(key);
  if (found != requests_.end()) {
    if (found->second.fingerprint == dispatch::FingerprintOf(aRequest))
      AddCall(found, aCall, aOut);
    else
      aOut.push_back(Reply{
        .call = aCall,
        .id = key.id,
        .outcome = MakeUnknown(ErrorKind::DuplicateRequest,
                               "another request was sent under this id") });
    return;
  }
  if (requests_.size() >= options_.maxRequests) {
    Error error{ ErrorKind::Overloaded, "entry host is at its limit" };
    Outcome outcome = Unknown{ .error = error };
    if (aRequest.firstSend)
      outcome = MakeNotRun(std::move(error));
    aOut.push_back(
      Reply{ .call = aCall, .id = key.id, .outcome = std::move(outcome) });
    return;
  }
  RequestState state;
  state.fingerprint = dispatch::FingerprintOf(aRequest);
  state.isFirstSend = aRequest.firstSend;
  state.request = std::move(aRequest);
  state.calls.push_back(aCall);
  state.claimedAt = aNow;
  state.backoff = options_.minBackoff;
  StartClaim(requests_.emplace(key, std::move(state)).first, aNow, aOut);
}

/// Adds the call of a resend to the request that is in progress. The caller may
/// have resent the request to other hosts too, so it is no longer a first send.
void
ClaimCoordinator::AddCall(RequestStates::iterator aEntry,
                          CallId aCall,
                          Actions& aOut)
{
  RequestState& state = aEntry->second;
  if (state.calls.size() >= options_.maxCallsPerRequest) {
    aOut.push_back(Reply{
      .call = aCall,
      .id = aEntry->first.id,
      .outcome = MakeUnknown(ErrorKind::DuplicateRequest,
                             "too many callers wait for this request") });
    return;
  }
  state.calls.push_back(aCall);
  state.isFirstSend = false;
  state.isProvenExclusive =
    state.isProvenExclusive &&
    state.request.idempotence == Idempotence::NonIdempotent;
  if (state.stage == Stage::Dispatched)
    EmitDispatchCall(*aEntry, aCall, aOut);
}

ClaimId
ClaimCoordinator::MakeClaimId(ClaimNumber aNumber) const
{
  return { .host = options_.self,
           .incarnation = options_.incarnation,
           .number = aNumber };
}

bool
ClaimCoordinator::IsReachable(const EntryHostId& aHost) const
{
  return aHost == options_.self || reachablePeers_.contains(aHost);
}

bool
ClaimCoordinator::CanReachMajority(const RequestKey& aKey) const
{
  const ReplicaSetId set = replicaSets_.SetOf(aKey);
  std::size_t reachable = 0;
  for (const EntryHostId& host : replicaSets_.HostsOf(set))
    reachable += IsReachable(host) ? 1 : 0;
  return reachable >= replicaSets_.MajorityOf(set);
}

void
ClaimCoordinator::StartClaim(RequestStates::iterator aEntry,
                             Time aNow,
                             Actions& aOut)
{
  RequestState& state = aEntry->second;
  state.stage = Stage::Claiming;
  state.claimNumber = ClaimNumber(++lastClaimNumber_);
  state.votes.clear();
  if (!CanReachMajority(aEntry->first)) {
    FailClaim(aEntry,
              { ErrorKind::Unreachable,
                "hosts that keep the record of this id cannot be reached" },
              aOut);
    return;
  }
  SendClaim(*aEntry, aNow);
  SetTimer(aEntry, aNow + options_.claimRetryInterval);
}

void
ClaimCoordinator::SendClaim(const RequestStates::value_type& aEntry, Time aNow)
{
  const RequestState& state = aEntry.second;
  const Claim claim{ .key = aEntry.first,
                     .claim = MakeClaimId(state.claimNumber),
                     .fingerprint = state.fingerprint,
                     .remaining =
                       std::max(state.request.deadline - aNow, Duration(0)) };
  for (const EntryHostId& host :
       replicaSets_.HostsOf(replicaSets_.SetOf(aEntry.first)))
    if (!state.votes.contains(host))
      outbox_.Send(host, claim, Urgency::Immediate);
}

void
ClaimCoordinator::On(const EntryHostId& aFrom,
                     Incarnation aIncarnation,
                     const ClaimReply& aItem,
                     Time aNow,
                     Actions& aOut)
{
  const auto found = requests_.find(aItem.key);
  if (found == requests_.end() || found->second.stage != Stage::Claiming ||
      found->second.claimNumber != aItem.number)
    return;
  found->second.votes.insert_or_assign(
    aFrom, Vote{ .incarnation = aIncarnation, .reply = aItem });
  EvaluateVotes(found, aNow, aOut);
}

/// Counts the grants that are still valid. A grant is void if any replica has
/// observed a later incarnation of the granting host: that host has restarted
/// and may have lost the claim.
std::size_t
ClaimCoordinator::CountValidGrants(const RequestState& aState)
{
  const auto isVoid = [&](const EntryHostId& aHost, Incarnation aIncarnation) {
    for (const auto& [host, vote] : aState.votes)
      for (const ReplicaIncarnation& replica : vote.reply.replicaIncarnations)
        if (replica.host == aHost && replica.incarnation > aIncarnation)
          return true;
    return false;
  };
  std::size_t grants = 0;
  for (const auto& [host, vote] : aState.votes)
    if (vote.reply.verdict == Verdict::Granted &&
        !isVoid(host, vote.incarnation))
      ++grants;
  return grants;
}

void
ClaimCoordinator::EvaluateVotes(RequestStates::iterator aEntry,
                                Time aNow,
                                Actions& aOut)
{
  RequestState& state = aEntry->second;
  const ReplicaSetId set = replicaSets_.SetOf(aEntry->first);
  const std::size_t majority = replicaSets_.MajorityOf(set);
  const std::size_t outstanding =
    replicaSets_.HostsOf(set).size() - state.votes.size();
  if (CountValidGrants(state) >= majority) {
    DispatchRequest(aEntry, aOut);
    return;
  }
  if (ResolveByRecord(aEntry, aOut))
    return;
  std::size_t fullReplicas = 0;
  for (const auto& [host, vote] : state.votes)
    fullReplicas += vote.reply.verdict == Verdict::AtCapacity ? 1 : 0;
  // Replicas that have no record of another claim.
  const std::size_t withoutOtherClaim = fullReplicas + CountValidGrants(state);
  if (CountValidGrants(state) + outstanding >= majority)
    return;
  if (HasConflict(state))
    BackOff(aEntry, aNow, aOut);
  else if (withoutOtherClaim >= majority) {
    // No other claim has a majority, so no other host can have run the request
    // under a claim.
    state.isFirstSend = true;
    FailClaim(
      aEntry,
      { ErrorKind::Overloaded, "no room to remember another request id" },
      aOut);
  }
}

/// Completes the request if another host has used the id for a different
/// request or has already completed this one. Returns true if the request was
/// completed.
bool
ClaimCoordinator::ResolveByRecord(RequestStates::iterator aEntry, Actions& aOut)
{
  RequestState& state = aEntry->second;
  for (const auto& [host, vote] : state.votes) {
    const auto& conflictingRecord = vote.reply.conflictingRecord;
    if (!conflictingRecord)
      continue;
    state.conflict = conflictingRecord->claim;
    Outcome outcome;
    if (conflictingRecord->fingerprint != state.fingerprint)
      outcome = MakeUnknown(ErrorKind::DuplicateRequest,
                            "another request was sent under this id");
    else if (conflictingRecord->outcome)
      outcome = *conflictingRecord->outcome;
    else if (conflictingRecord->hasEnded)
      outcome = MakeUnknown(ErrorKind::OutcomeUnknown,
                            "request ended and its answer is no longer kept");
    else
      continue;
    CompleteRequest(aEntry, outcome, aOut);
    return true;
  }
  return false;
}

bool
ClaimCoordinator::HasConflict(const RequestState& aState)
{
  return std::any_of(
    aState.votes.begin(), aState.votes.end(), [](const auto& aVote) {
      return aVote.second.reply.verdict == Verdict::Conflict;
    });
}

/// Releases this host's claim and schedules a retry. Asks the holder of the
/// conflicting claim for its state.
void
ClaimCoordinator::BackOff(RequestStates::iterator aEntry,
                          Time aNow,
                          Actions& aOut)
{
  RequestState& state = aEntry->second;
  if (!IsReachable(state.conflict->host)) {
    FailClaim(aEntry,
              { ErrorKind::OutcomeUnknown,
                "entry host \"" + state.conflict->host.Value() +
                  "\" took this request and cannot be reached" },
              aOut);
    return;
  }
  SendRelease(aEntry->first, state.claimNumber);
  outbox_.Send(state.conflict->host,
               QueryClaim{ .key = aEntry->first, .claim = *state.conflict },
               Urgency::Immediate);
  state.stage = Stage::BackingOff;
  // Vary the delay by host and claim, so that two conflicting hosts do not
  // retry in lockstep.
  const auto jitter = static_cast<std::int64_t>(
    std::hash<EntryHostId>{}(options_.self) + state.claimNumber.Value() * 7);
  const std::int64_t halfBackoff = state.backoff.Millis() / 2;
  const Duration delay(halfBackoff + 1 +
                       (jitter & INT32_MAX) % (halfBackoff + 1));
  state.backoff = std::min(state.backoff * 2, options_.maxBackoff);
  SetTimer(aEntry, aNow + delay);
}

/// Handles a request that could not be claimed. An idempotent request is run
/// without a claim unless the failure was overload. Any other one fails: with
/// NotRun only if no other host can have run it, and with Unknown otherwise.
void
ClaimCoordinator::FailClaim(RequestStates::iterator aEntry,
                            Error&& aError,
                            Actions& aOut)
{
  RequestState& state = aEntry->second;
  const bool isOnlyHost = state.isFirstSend && !state.conflict;
  const bool isIdempotent =
    state.request.idempotence == Idempotence::Idempotent;
  if (isIdempotent && aError.kind != ErrorKind::Overloaded) {
    DispatchRequest(aEntry, aOut);
    return;
  }
  Outcome outcome = isOnlyHost ? MakeNotRun(std::move(aError))
                               : Outcome(Unknown{ .error = std::move(aError) });
  CompleteRequest(aEntry, outcome, aOut);
}

/// Completes a request that has not been dispatched.
void
ClaimCoordinator::CompleteRequest(RequestStates::iterator aEntry,
                                  const Outcome& aOutcome,
                                  Actions& aOut)
{
  for (const CallId call : aEntry->second.calls)
    aOut.push_back(
      Reply{ .call = call, .id = aEntry->first.id, .outcome = aOutcome });
  SendRelease(aEntry->first, aEntry->second.claimNumber);
  Erase(aEntry);
}

/// Hands the request to the request plane. A claim proves that no other host
/// has run a non-idempotent request. Another host may have run an idempotent
/// one without a claim.
void
ClaimCoordinator::DispatchRequest(RequestStates::iterator aEntry, Actions& aOut)
{
  RequestState& state = aEntry->second;
  const bool isOnlyHost = state.isFirstSend && !state.conflict;
  state.stage = Stage::Dispatched;
  state.isProvenExclusive =
    isOnlyHost || state.request.idempotence == Idempotence::NonIdempotent;
  timers_.erase({ state.timerDue, aEntry->first });
  for (const CallId call : state.calls)
    EmitDispatchCall(*aEntry, call, aOut);
}

void
ClaimCoordinator::EmitDispatchCall(const RequestStates::value_type& aEntry,
                                   CallId aCall,
                                   Actions& aOut)
{
  dispatchedCalls_[aCall] = { .key = aEntry.first,
                              .isCancel = false,
                              .isProvenExclusive =
                                aEntry.second.isProvenExclusive };
  aOut.push_back(
    DispatchCall{ .call = aCall, .request = aEntry.second.request });
}

bool
ClaimCoordinator::Cancel(CallId aCall, const RequestKey& aKey, Actions& aOut)
{
  const auto found = requests_.find(aKey);
  const bool isDispatched =
    found != requests_.end() && found->second.stage == Stage::Dispatched;
  if (found == requests_.end() || isDispatched) {
    dispatchedCalls_[aCall] = {
      .key = aKey,
      .isCancel = true,
      .isProvenExclusive = isDispatched && found->second.isProvenExclusive
    };
    return true;
  }
  const RequestState& state = found->second;
  const Error error{ ErrorKind::Cancelled, "request was cancelled" };
  Outcome outcome = Unknown{ .error = error };
  if (state.isFirstSend && !state.conflict)
    outcome = NotRun{ .error = error, .retryAfter = {} };
  aOut.push_back(Reply{ .call = aCall, .id = aKey.id, .outcome = outcome });
  CompleteRequest(found, outcome, aOut);
  return false;
}

/// Replaces NotRun by Unknown unless it is proven that no other host has run
/// the request.
static Outcome
WithoutUnprovenNotRun(Outcome&& aOutcome, bool aIsProvenExclusive)
{
  auto* notRun = std::get_if<NotRun>(&aOutcome);
  if (notRun == nullptr || aIsProvenExclusive)
    return std::move(aOutcome);
  return MakeUnknown(ErrorKind::OutcomeUnknown,
                     "another entry host may have run it; here: " +
                       notRun->error.detail);
}

void
ClaimCoordinator::OnOutcome(CallId aCall,
                            Outcome&& aOutcome,
                            Time aNow,
                            Actions& aOut)
{
  const auto dispatched = dispatchedCalls_.find(aCall);
  if (dispatched == dispatchedCalls_.end())
    return;
  const DispatchedCall finished = std::move(dispatched->second);
  dispatchedCalls_.erase(dispatched);
  const bool isNotRun = std::holds_alternative<NotRun>(aOutcome);
  const auto found = requests_.find(finished.key);
  if (!finished.isCancel && found != requests_.end()) {
    RequestState& state = found->second;
    if (!isNotRun && !state.mayHaveRun) {
      state.mayHaveRun = true;
      ReplicateOutcome(*found, aOutcome, aNow);
    }
    std::erase(state.calls, aCall);
    // The request plane may still run the request for one of the other calls.
    if (state.calls.empty()) {
      if (!state.mayHaveRun)
        SendRelease(finished.key, state.claimNumber);
      Erase(found);
    }
  }
  aOut.push_back(Reply{ .call = aCall,
                        .id = finished.key.id,
                        .outcome = WithoutUnprovenNotRun(
                          std::move(aOutcome), finished.isProvenExclusive) });
}

void
ClaimCoordinator::SetReachable(const EntryHostId& aPeer, bool aIsReachable)
{
  if (aIsReachable)
    reachablePeers_.insert(aPeer);
  else
    reachablePeers_.erase(aPeer);
}

void
ClaimCoordinator::SetTimer(RequestStates::iterator aEntry, Time aDueTime)
{
  RequestState& state = aEntry->second;
  timers_.erase({ state.timerDue, aEntry->first });
  state.timerDue = std::min(aDueTime, state.request.deadline);
  timers_.emplace(state.timerDue, aEntry->first);
}

void
ClaimCoordinator::Erase(RequestStates::iterator aEntry)
{
  timers_.erase({ aEntry->second.timerDue, aEntry->first });
  requests_.erase(aEntry);
}

void
ClaimCoordinator::Tick(Time aNow, Actions& aOut)
{
  while (!timers_.empty() && timers_.begin()->first <= aNow) {
    const RequestKey key = timers_.begin()->second;
    timers_.erase(timers_.begin());
    OnTimer(requests_.find(key), aNow, aOut);
  }
  ResendOutcomes(aNow);
}

void
ClaimCoordinator::OnTimer(RequestStates::iterator aEntry,
                          Time aNow,
                          Actions& aOut)
{
  assert(aEntry != requests_.end() && "timer without a request");
  RequestState& state = aEntry->second;
  if (state.request.deadline <= aNow) {
    const bool isOnlyHost = state.isFirstSend && !state.conflict;
    const Error error{ ErrorKind::DeadlinePassed,
                       "request could not be claimed before its deadline" };
    CompleteRequest(aEntry,
                    isOnlyHost ? MakeNotRun(error)
                               : Outcome(Unknown{ .error = error }),
                    aOut);
    return;
  }
  if (state.stage == Stage::BackingOff) {
    state.claimedAt = aNow;
    StartClaim(aEntry, aNow, aOut);
    return;
  }
  if (HasConflict(state)) {
    BackOff(aEntry, aNow, aOut);
    return;
  }
  if (state.claimedAt + options_.claimTimeout <= aNow) {
    FailClaim(aEntry,
              { ErrorKind::Unreachable,
                "too few hosts could vouch for the record of this id" },
              aOut);
    return;
  }
  // Refusals may be outdated: discard them and ask these replicas again. If one
  // of the grants is void, ask all replicas again.
  std::erase_if(state.votes, [](const auto& aVote) {
    return aVote.second.reply.verdict != Verdict::Granted;
  });
  if (CountValidGrants(state) < state.votes.size())
    state.votes.clear();
  SendClaim(*aEntry, aNow);
  SetTimer(aEntry, aNow + options_.claimRetryInterval);
}

void
ClaimCoordinator::Close(Actions& aOut)
{
  for (auto next = requests_.begin(); next != requests_.end();) {
    const auto current = next++;
    if (current->second.stage == Stage::Dispatched)
      continue;
    const bool isOnlyHost =
      current->second.isFirstSend && !current->second.conflict;
    const Error error{ ErrorKind::ShuttingDown, "entry host is shutting down" };
    CompleteRequest(current,
                    isOnlyHost ? MakeNotRun(error)
                               : Outcome(Unknown{ .error = error }),
                    aOut);
  }
}
