#include "greengage/once/ClaimCoordinator.h"

#include "greengage/dispatch/RequestRecords.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

using namespace greengage;
using namespace greengage::once;

/// The retry delay that callers of requests that were not run are given.
static constexpr Duration kUnreachableRetry = Duration::Seconds(1);

static Outcome
MakeUnknown(ErrorKind aKind, std::string aDetail)
{
  return Unknown{ .error = { .kind = aKind, .detail = std::move(aDetail) } };
}

static Outcome
MakeNotRun(Error aError)
{
  return NotRun{ .error = std::move(aError), .retryAfter = kUnreachableRetry };
}

Claimant::Claimant(ClaimantOptions aOptions,
                   const KeeperSets& aSets,
                   Outbox& aOutbox)
  : options_(std::move(aOptions))
  , sets_(aSets)
  , outbox_(aOutbox)
{
}

void
Claimant::Submit(CallId aCall, Request&& aRequest, Time aNow, Actions& aOut)
{
  const RecordKey key{ .team = aRequest.team, .id = aRequest.id };
  const auto found = entries_.find(key);
  if (found != entries_.end()) {
    if (found->second.fingerprint == dispatch::FingerprintOf(aRequest))
      Join(found, aCall, aOut);
    else
      aOut.push_back(Reply{
        .call = aCall,
        .id = key.id,
        .outcome = MakeUnknown(ErrorKind::DuplicateRequest,
                               "another request was sent under this id") });
    return;
  }
  if (entries_.size() >= options_.maxRequests) {
    Error error{ ErrorKind::Overloaded, "entry host is at its limit" };
    Outcome outcome = Unknown{ .error = error };
    if (aRequest.firstSend)
      outcome = MakeNotRun(std::move(error));
    aOut.push_back(
      Reply{ .call = aCall, .id = key.id, .outcome = std::move(outcome) });
    return;
  }
  Entry entry;
  entry.fingerprint = dispatch::FingerprintOf(aRequest);
  entry.isFirstSend = aRequest.firstSend;
  entry.request = std::move(aRequest);
  entry.calls.push_back(aCall);
  entry.claimedAt = aNow;
  entry.backoff = options_.minBackoff;
  StartClaim(entries_.emplace(key, std::move(entry)).first, aNow, aOut);
}

/// Adds the call of a resend to the request that is in progress.
void
Claimant::Join(Entries::iterator aEntry, CallId aCall, Actions& aOut)
{
  Entry& entry = aEntry->second;
  if (entry.calls.size() >= options_.maxCallers) {
    aOut.push_back(Reply{
      .call = aCall,
      .id = aEntry->first.id,
      .outcome = MakeUnknown(ErrorKind::DuplicateRequest,
                             "too many callers wait for this request") });
    return;
  }
  entry.calls.push_back(aCall);
  entry.isFirstSend = false;
  entry.isProven =
    entry.isProven && entry.request.idempotence == Idempotence::NonIdempotent;
  if (entry.stage == Stage::Dispatched)
    PassCall(*aEntry, aCall, aOut);
}

ClaimId
Claimant::ClaimOf(ClaimNumber aNumber) const
{
  return { .host = options_.self,
           .incarnation = options_.incarnation,
           .number = aNumber };
}

bool
Claimant::IsUp(const EntryHostId& aHost) const
{
  return aHost == options_.self || up_.contains(aHost);
}

bool
Claimant::CanReachMajority(const RecordKey& aKey) const
{
  const KeeperSetId set = sets_.SetOf(aKey);
  std::size_t reachable = 0;
  for (const EntryHostId& host : sets_.HostsOf(set))
    reachable += IsUp(host) ? 1 : 0;
  return reachable >= sets_.MajorityOf(set);
}

void
Claimant::StartClaim(Entries::iterator aEntry, Time aNow, Actions& aOut)
{
  Entry& entry = aEntry->second;
  entry.stage = Stage::Claiming;
  entry.number = ClaimNumber(++lastNumber_);
  entry.votes.clear();
  if (!CanReachMajority(aEntry->first)) {
    GiveUp(aEntry,
           { ErrorKind::Unreachable,
             "too few hosts that hold the record of this id can be reached" },
           aOut);
    return;
  }
  SendClaim(*aEntry, aNow);
  SetTimer(aEntry, aNow + options_.claimRetry);
}

void
Claimant::SendClaim(const Entries::value_type& aEntry, Time aNow)
{
  const Entry& entry = aEntry.second;
  const Claim claim{ .key = aEntry.first,
                     .claim = ClaimOf(entry.number),
                     .fingerprint = entry.fingerprint,
                     .remaining =
                       std::max(entry.request.deadline - aNow, Duration(0)) };
  for (const EntryHostId& host : sets_.HostsOf(sets_.SetOf(aEntry.first)))
    if (!entry.votes.contains(host))
      outbox_.Send(host, claim, Urgency::Now);
}

void
Claimant::On(const EntryHostId& aFrom,
             Incarnation aIncarnation,
             const ClaimReply& aItem,
             Time aNow,
             Actions& aOut)
{
  const auto found = entries_.find(aItem.key);
  if (found == entries_.end() || found->second.stage != Stage::Claiming ||
      found->second.number != aItem.number)
    return;
  found->second.votes.insert_or_assign(
    aFrom, Vote{ .incarnation = aIncarnation, .reply = aItem });
  Count(found, aNow, aOut);
}

/// Counts the grants that are still valid. A grant is void if any replica has
/// observed a later incarnation of the granting host: that host has restarted
/// and may have lost the claim.
std::size_t
Claimant::Grants(const Entry& aEntry)
{
  const auto isVoid = [&](const EntryHostId& aHost, Incarnation aIncarnation) {
    for (const auto& [host, vote] : aEntry.votes)
      for (const KnownIncarnation& known : vote.reply.known)
        if (known.host == aHost && known.incarnation > aIncarnation)
          return true;
    return false;
  };
  std::size_t grants = 0;
  for (const auto& [host, vote] : aEntry.votes)
    if (vote.reply.verdict == Verdict::Granted &&
        !isVoid(host, vote.incarnation))
      ++grants;
  return grants;
}

void
Claimant::Count(Entries::iterator aEntry, Time aNow, Actions& aOut)
{
  Entry& entry = aEntry->second;
  const KeeperSetId set = sets_.SetOf(aEntry->first);
  const std::size_t majority = sets_.MajorityOf(set);
  const std::size_t missing = sets_.HostsOf(set).size() - entry.votes.size();
  if (Grants(entry) >= majority) {
    Dispatch(aEntry, aOut);
    return;
  }
  if (MeetHolder(aEntry, aOut))
    return;
  std::size_t full = 0;
  for (const auto& [host, vote] : entry.votes)
    full += vote.reply.verdict == Verdict::Full ? 1 : 0;
  // Replicas that have no record of another claim.
  const std::size_t absent = full + Grants(entry);
  if (Grants(entry) + missing >= majority)
    return;
  if (HasMetHolder(entry))
    WaitForHolder(aEntry, aNow, aOut);
  else if (absent >= majority) {
    // No other claim has a majority, so no other host can have run the request.
    entry.isFirstSend = true;
    GiveUp(aEntry,
           { ErrorKind::Overloaded, "no room to remember another request id" },
           aOut);
  }
}

/// Completes the request if another host has used the id for a different
/// request or has already completed this one. Returns true if the request was
/// completed.
bool
Claimant::MeetHolder(Entries::iterator aEntry, Actions& aOut)
{
  Entry& entry = aEntry->second;
  for (const auto& [host, vote] : entry.votes) {
    const auto& held = vote.reply.held;
    if (!held)
      continue;
    entry.holder = held->claim;
    Outcome outcome;
    if (held->fingerprint != entry.fingerprint)
      outcome = MakeUnknown(ErrorKind::DuplicateRequest,
                            "another request was sent under this id");
    else if (held->outcome)
      outcome = *held->outcome;
    else if (held->hasEnded)
      outcome = MakeUnknown(ErrorKind::OutcomeUnknown,
                            "request ended and its answer is no longer kept");
    else
      continue;
    AnswerAll(aEntry, outcome, aOut);
    return true;
  }
  return false;
}

bool
Claimant::HasMetHolder(const Entry& aEntry)
{
  return std::any_of(
    aEntry.votes.begin(), aEntry.votes.end(), [](const auto& aVote) {
      return aVote.second.reply.verdict == Verdict::Held;
    });
}

/// Releases this host's claim and schedules a retry. Asks the holder of the
/// conflicting claim for its state.
void
Claimant::WaitForHolder(Entries::iterator aEntry, Time aNow, Actions& aOut)
{
  Entry& entry = aEntry->second;
  if (!IsUp(entry.holder->host)) {
    GiveUp(aEntry,
           { ErrorKind::OutcomeUnknown,
             "entry host \"" + entry.holder->host.Value() +
               "\" claimed this request and cannot be reached" },
           aOut);
    return;
  }
  SendRelease(aEntry->first, entry.number);
  outbox_.Send(entry.holder->host,
               CheckClaim{ .key = aEntry->first, .claim = *entry.holder },
               Urgency::Now);
  entry.stage = Stage::Waiting;
  // Vary the delay by host and claim, so that two conflicting hosts do not
  // retry in lockstep.
  const auto spread = static_cast<std::int64_t>(
    std::hash<EntryHostId>{}(options_.self) + entry.number.Value() * 7);
  const std::int64_t half = entry.backoff.Millis() / 2;
  const Duration wait(half + 1 + (spread & INT32_MAX) % (half + 1));
  entry.backoff = std::min(entry.backoff * 2, options_.maxBackoff);
  SetTimer(aEntry, aNow + wait);
}

/// Handles a request that could not be claimed. An idempotent request is run
/// without a claim unless the failure was overload. Any other one fails: with
/// NotRun only if no other host can have run it, and with Unknown otherwise.
void
Claimant::GiveUp(Entries::iterator aEntry, Error&& aWhy, Actions& aOut)
{
  Entry& entry = aEntry->second;
  const bool isFirst = entry.isFirstSend && !entry.holder;
  const bool isIdempotent =
    entry.request.idempotence == Idempotence::Idempotent;
  if (isIdempotent && aWhy.kind != ErrorKind::Overloaded) {
    Dispatch(aEntry, aOut);
    return;
  }
  Outcome outcome = isFirst ? MakeNotRun(std::move(aWhy))
                            : Outcome(Unknown{ .error = std::move(aWhy) });
  AnswerAll(aEntry, outcome, aOut);
}

/// Completes a request that has not been dispatched.
void
Claimant::AnswerAll(Entries::iterator aEntry,
                    const Outcome& aOutcome,
                    Actions& aOut)
{
  for (const CallId call : aEntry->second.calls)
    aOut.push_back(
      Reply{ .call = call, .id = aEntry->first.id, .outcome = aOutcome });
  SendRelease(aEntry->first, aEntry->second.number);
  Erase(aEntry);
}

/// Hands the request to the request plane. A claim proves that no other host
/// has run a non-idempotent request. Another host may have run an idempotent
/// one without a claim.
void
Claimant::Dispatch(Entries::iterator aEntry, Actions& aOut)
{
  Entry& entry = aEntry->second;
  const bool isFirst = entry.isFirstSend && !entry.holder;
  entry.stage = Stage::Dispatched;
  entry.isProven =
    isFirst || entry.request.idempotence == Idempotence::NonIdempotent;
  timers_.erase({ entry.timer, aEntry->first });
  for (const CallId call : entry.calls)
    PassCall(*aEntry, call, aOut);
}

void
Claimant::PassCall(const Entries::value_type& aEntry,
                   CallId aCall,
                   Actions& aOut)
{
  passed_[aCall] = { .key = aEntry.first,
                     .isCancel = false,
                     .isProven = aEntry.second.isProven };
  aOut.push_back(PassOn{ .call = aCall, .request = aEntry.second.request });
}

bool
Claimant::Cancel(CallId aCall, const RecordKey& aKey, Actions& aOut)
{
  const auto found = entries_.find(aKey);
  const bool isDispatched =
    found != entries_.end() && found->second.stage == Stage::Dispatched;
  if (found == entries_.end() || isDispatched) {
    passed_[aCall] = { .key = aKey,
                       .isCancel = true,
                       .isProven = isDispatched && found->second.isProven };
    return true;
  }
  const Entry& entry = found->second;
  const Error error{ ErrorKind::Cancelled, "request was cancelled" };
  Outcome outcome = Unknown{ .error = error };
  if (entry.isFirstSend && !entry.holder)
    outcome = NotRun{ .error = error, .retryAfter = {} };
  aOut.push_back(Reply{ .call = aCall, .id = aKey.id, .outcome = outcome });
  AnswerAll(found, outcome, aOut);
  return false;
}

/// Replaces NotRun by Unknown unless it is proven that no other host has run
/// the request.
static Outcome
Truthful(Outcome&& aOutcome, bool aIsProven)
{
  auto* notRun = std::get_if<NotRun>(&aOutcome);
  if (notRun == nullptr || aIsProven)
    return std::move(aOutcome);
  return MakeUnknown(ErrorKind::OutcomeUnknown,
                     "another entry host may have run it; on this host: " +
                       notRun->error.detail);
}

void
Claimant::OnOutcome(CallId aCall, Outcome&& aOutcome, Time aNow, Actions& aOut)
{
  const auto passed = passed_.find(aCall);
  if (passed == passed_.end())
    return;
  const Passed call = std::move(passed->second);
  passed_.erase(passed);
  const bool isNotRun = std::holds_alternative<NotRun>(aOutcome);
  const auto found = entries_.find(call.key);
  if (!call.isCancel && found != entries_.end()) {
    Entry& entry = found->second;
    if (!isNotRun && !entry.mayHaveRun) {
      entry.mayHaveRun = true;
      Record(*found, aOutcome, aNow);
    }
    std::erase(entry.calls, aCall);
    // The request plane may still run the request for one of the other calls.
    if (entry.calls.empty()) {
      if (!entry.mayHaveRun)
        SendRelease(call.key, entry.number);
      Erase(found);
    }
  }
  aOut.push_back(
    Reply{ .call = aCall,
           .id = call.key.id,
           .outcome = Truthful(std::move(aOutcome), call.isProven) });
}

void
Claimant::SetUp(const EntryHostId& aPeer, bool aIsUp)
{
  if (aIsUp)
    up_.insert(aPeer);
  else
    up_.erase(aPeer);
}

void
Claimant::SetTimer(Entries::iterator aEntry, Time aAt)
{
  Entry& entry = aEntry->second;
  timers_.erase({ entry.timer, aEntry->first });
  entry.timer = std::min(aAt, entry.request.deadline);
  timers_.emplace(entry.timer, aEntry->first);
}

void
Claimant::Erase(Entries::iterator aEntry)
{
  timers_.erase({ aEntry->second.timer, aEntry->first });
  entries_.erase(aEntry);
}

void
Claimant::Tick(Time aNow, Actions& aOut)
{
  while (!timers_.empty() && timers_.begin()->first <= aNow) {
    const RecordKey key = timers_.begin()->second;
    timers_.erase(timers_.begin());
    OnTimer(entries_.find(key), aNow, aOut);
  }
  RetryOutcomes(aNow);
}

void
Claimant::OnTimer(Entries::iterator aEntry, Time aNow, Actions& aOut)
{
  assert(aEntry != entries_.end() && "timer without a request");
  Entry& entry = aEntry->second;
  if (entry.request.deadline <= aNow) {
    const bool isFirst = entry.isFirstSend && !entry.holder;
    const Error error{ ErrorKind::DeadlinePassed,
                       "request could not be claimed before its deadline" };
    AnswerAll(aEntry,
              isFirst ? MakeNotRun(error) : Outcome(Unknown{ .error = error }),
              aOut);
    return;
  }
  if (entry.stage == Stage::Waiting) {
    entry.claimedAt = aNow;
    StartClaim(aEntry, aNow, aOut);
    return;
  }
  if (HasMetHolder(entry)) {
    WaitForHolder(aEntry, aNow, aOut);
    return;
  }
  if (entry.claimedAt + options_.claimTimeout <= aNow) {
    GiveUp(aEntry,
           { ErrorKind::Unreachable,
             "too few hosts confirmed the claim of this id in time" },
           aOut);
    return;
  }
  // Refusals may be outdated: discard them and ask these replicas again. If one
  // of the grants is void, ask all replicas again.
  std::erase_if(entry.votes, [](const auto& aVote) {
    return aVote.second.reply.verdict != Verdict::Granted;
  });
  if (Grants(entry) < entry.votes.size())
    entry.votes.clear();
  SendClaim(*aEntry, aNow);
  SetTimer(aEntry, aNow + options_.claimRetry);
}

void
Claimant::Close(Actions& aOut)
{
  for (auto next = entries_.begin(); next != entries_.end();) {
    const auto entry = next++;
    if (entry->second.stage == Stage::Dispatched)
      continue;
    const bool isFirst = entry->second.isFirstSend && !entry->second.holder;
    const Error error{ ErrorKind::ShuttingDown, "entry host is shutting down" };
    AnswerAll(entry,
              isFirst ? MakeNotRun(error) : Outcome(Unknown{ .error = error }),
              aOut);
  }
}
