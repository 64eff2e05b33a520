// Replication of outcomes and resolution of conflicting claims.

#include "greengage/once/ClaimCoordinator.h"

#include <utility>

using namespace greengage;
using namespace greengage::once;

void
ClaimCoordinator::ReplicateOutcome(const RequestStates::value_type& aEntry,
                                   const Outcome& aOutcome,
                                   Time aNow)
{
  const RequestState& state = aEntry.second;
  const auto& unacknowledged =
    replicaSets_.HostsOf(replicaSets_.SetOf(aEntry.first));
  PendingOutcome outcome{ .record = { .key = aEntry.first,
                                      .claim = MakeClaimId(state.claimNumber),
                                      .fingerprint = state.fingerprint,
                                      .hasEnded = true,
                                      .outcome = aOutcome,
                                      .timeToLive = options_.retention },
                          .unacknowledged = { unacknowledged.begin(),
                                              unacknowledged.end() },
                          .resendUntil = aNow + options_.retention };
  SendOutcome(outcome);
  pendingOutcomes_.emplace(state.claimNumber, std::move(outcome));
  resendTimes_.emplace_back(aNow + options_.outcomeResendInterval,
                            state.claimNumber);
  if (pendingOutcomes_.size() > options_.maxPendingOutcomes)
    pendingOutcomes_.erase(pendingOutcomes_.begin());
}

void
ClaimCoordinator::SendOutcome(const PendingOutcome& aOutcome)
{
  for (const EntryHostId& host : aOutcome.unacknowledged)
    if (IsReachable(host))
      outbox_.Send(
        host, RecordOutcome{ .record = aOutcome.record }, Urgency::Batched);
}

void
ClaimCoordinator::ResendOutcomes(Time aNow)
{
  while (!resendTimes_.empty() && resendTimes_.front().first <= aNow) {
    const ClaimNumber number = resendTimes_.front().second;
    resendTimes_.pop_front();
    const auto found = pendingOutcomes_.find(number);
    if (found == pendingOutcomes_.end())
      continue;
    if (found->second.resendUntil <= aNow) {
      pendingOutcomes_.erase(found);
      continue;
    }
    SendOutcome(found->second);
    resendTimes_.emplace_back(aNow + options_.outcomeResendInterval, number);
  }
}

void
ClaimCoordinator::On(const EntryHostId& aFrom, const OutcomeRecorded& aItem)
{
  const auto found = pendingOutcomes_.find(aItem.number);
  if (found == pendingOutcomes_.end() || found->second.record.key != aItem.key)
    return;
  found->second.unacknowledged.erase(aFrom);
  if (found->second.unacknowledged.empty())
    pendingOutcomes_.erase(found);
}

/// Answers a host whose claim conflicts with a claim of this host. Sends a
/// pending outcome or a release to the replicas again, and nothing while the
/// request is in progress. Any other claim is reported as untracked, not as
/// released: its request may have run, and the replicas may have lost the
/// outcome in restarts after all of them acknowledged it.
void
ClaimCoordinator::On(const EntryHostId& aFrom, const QueryClaim& aItem)
{
  const ClaimNumber number = aItem.claim.number;
  const bool isOwnIncarnation = aItem.claim.incarnation == options_.incarnation;
  const auto pending = pendingOutcomes_.find(number);
  if (isOwnIncarnation && pending != pendingOutcomes_.end()) {
    SendOutcome(pending->second);
    return;
  }
  if (isOwnIncarnation && IsClaimActive(aItem.key, number))
    return;
  if (isOwnIncarnation && releasedClaims_.contains(number))
    SendRelease(aItem.key, number);
  else
    outbox_.Send(aFrom,
                 ClaimUntracked{ .key = aItem.key, .claim = aItem.claim },
                 Urgency::Immediate);
}

void
ClaimCoordinator::SendRelease(const RequestKey& aKey, ClaimNumber aNumber)
{
  if (releasedClaims_.insert(aNumber).second)
    releaseOrder_.push_back(aNumber);
  if (releaseOrder_.size() > options_.maxReleasedClaims) {
    releasedClaims_.erase(releaseOrder_.front());
    releaseOrder_.pop_front();
  }
  const ReleaseClaim release{ .key = aKey, .claim = MakeClaimId(aNumber) };
  for (const EntryHostId& host : replicaSets_.HostsOf(replicaSets_.SetOf(aKey)))
    outbox_.Send(host, release, Urgency::Batched);
}

bool
ClaimCoordinator::IsClaimActive(const RequestKey& aKey,
                                ClaimNumber aNumber) const
{
  const auto found = requests_.find(aKey);
  return found != requests_.end() && found->second.claimNumber == aNumber &&
         found->second.stage != Stage::BackingOff;
}

void
ClaimCoordinator::On(const ClaimUntracked& aItem, Actions& aOut)
{
  const auto found = requests_.find(aItem.key);
  if (found == requests_.end() || found->second.stage == Stage::Dispatched ||
      found->second.conflict != aItem.claim)
    return;
  FailClaim(found,
            { ErrorKind::OutcomeUnknown,
              "entry host \"" + aItem.claim.host.Value() +
                "\" took this request and has no record of its end" },
            aOut);
}
