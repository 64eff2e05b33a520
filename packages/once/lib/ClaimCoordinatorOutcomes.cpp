// Replication of outcomes and resolution of conflicting claims.

#include "greengage/once/ClaimCoordinator.h"

#include <utility>

using namespace greengage;
using namespace greengage::once;

void
Claimant::Record(const Entries::value_type& aEntry,
                 const Outcome& aOutcome,
                 Time aNow)
{
  const Entry& entry = aEntry.second;
  const auto& keepers = sets_.HostsOf(sets_.SetOf(aEntry.first));
  Unrecorded outcome{ .record = { .key = aEntry.first,
                                  .claim = ClaimOf(entry.number),
                                  .fingerprint = entry.fingerprint,
                                  .hasEnded = true,
                                  .outcome = aOutcome,
                                  .keep = options_.retention },
                      .keepers = { keepers.begin(), keepers.end() },
                      .until = aNow + options_.retention };
  SendOutcome(outcome);
  unrecorded_.emplace(entry.number, std::move(outcome));
  outcomeTimers_.emplace_back(aNow + options_.outcomeRetry, entry.number);
  if (unrecorded_.size() > options_.maxUnrecorded)
    unrecorded_.erase(unrecorded_.begin());
}

void
Claimant::SendOutcome(const Unrecorded& aOutcome)
{
  for (const EntryHostId& host : aOutcome.keepers)
    if (IsUp(host))
      outbox_.Send(
        host, RecordOutcome{ .record = aOutcome.record }, Urgency::Later);
}

void
Claimant::RetryOutcomes(Time aNow)
{
  while (!outcomeTimers_.empty() && outcomeTimers_.front().first <= aNow) {
    const ClaimNumber number = outcomeTimers_.front().second;
    outcomeTimers_.pop_front();
    const auto found = unrecorded_.find(number);
    if (found == unrecorded_.end())
      continue;
    if (found->second.until <= aNow) {
      unrecorded_.erase(found);
      continue;
    }
    SendOutcome(found->second);
    outcomeTimers_.emplace_back(aNow + options_.outcomeRetry, number);
  }
}

void
Claimant::On(const EntryHostId& aFrom, const OutcomeRecorded& aItem)
{
  const auto found = unrecorded_.find(aItem.number);
  if (found == unrecorded_.end() || found->second.record.key != aItem.key)
    return;
  found->second.keepers.erase(aFrom);
  if (found->second.keepers.empty())
    unrecorded_.erase(found);
}

/// Tells a host whose claim conflicts with a claim of this host what the state
/// of the latter is. The claim is released only if it is tracked as released.
/// That a claim is no longer tracked is not sufficient: its outcome may have
/// been recorded by all replicas and lost in their restarts.
void
Claimant::On(const EntryHostId& aFrom, const CheckClaim& aItem)
{
  const ClaimNumber number = aItem.claim.number;
  const bool isOurs = aItem.claim.incarnation == options_.incarnation;
  const auto unrecorded = unrecorded_.find(number);
  if (isOurs && unrecorded != unrecorded_.end()) {
    SendOutcome(unrecorded->second);
    return;
  }
  if (isOurs && IsInProgress(aItem.key, number))
    return;
  if (isOurs && released_.contains(number))
    SendRelease(aItem.key, number);
  else
    outbox_.Send(
      aFrom, ClaimLost{ .key = aItem.key, .claim = aItem.claim }, Urgency::Now);
}

void
Claimant::SendRelease(const RecordKey& aKey, ClaimNumber aNumber)
{
  if (released_.insert(aNumber).second)
    releaseOrder_.push_back(aNumber);
  if (releaseOrder_.size() > options_.maxReleased) {
    released_.erase(releaseOrder_.front());
    releaseOrder_.pop_front();
  }
  const Release release{ .key = aKey, .claim = ClaimOf(aNumber) };
  for (const EntryHostId& host : sets_.HostsOf(sets_.SetOf(aKey)))
    outbox_.Send(host, release, Urgency::Later);
}

bool
Claimant::IsInProgress(const RecordKey& aKey, ClaimNumber aNumber) const
{
  const auto found = entries_.find(aKey);
  return found != entries_.end() && found->second.number == aNumber &&
         found->second.stage != Stage::Waiting;
}

void
Claimant::On(const ClaimLost& aItem, Actions& aOut)
{
  const auto found = entries_.find(aItem.key);
  if (found == entries_.end() || found->second.stage == Stage::Dispatched ||
      found->second.holder != aItem.claim)
    return;
  GiveUp(found,
         { ErrorKind::OutcomeUnknown,
           "entry host \"" + aItem.claim.host.Value() +
             "\" claimed this request and has no record of its outcome" },
         aOut);
}
