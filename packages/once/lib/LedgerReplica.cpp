#include "greengage/once/LedgerReplica.h"

#include <algorithm>
#include <utility>

using namespace greengage;
using namespace greengage::once;

LedgerReplica::LedgerReplica(ReplicaOptions aOptions,
                             const ReplicaSets& aSets,
                             Outbox& aOutbox,
                             Time aNow)
  : options_(std::move(aOptions))
  , replicaSets_(aSets)
  , outbox_(aOutbox)
  , startedAt_(aNow)
  , nextCopyRequestAt_(aNow)
{
  const auto ownSets = replicaSets_.SetsContaining(options_.self);
  RecordStoreOptions store = options_.store;
  store.maxRecords /= std::max<std::size_t>(ownSets.size(), 1);
  store.maxAnswerBytes /= std::max<std::size_t>(ownSets.size(), 1);
  for (const ReplicaSetId id : ownSets) {
    SetState set{ .store = RecordStore(store),
                  .copyProgress = {},
                  .coldStartPeers = {} };
    for (const EntryHostId& host : replicaSets_.HostsOf(id))
      if (host != options_.self)
        set.copyProgress[host] = {};
    UpdateServing(set);
    setStates_.emplace(id, std::move(set));
  }
}

LedgerReplica::SetState*
LedgerReplica::FindSet(ReplicaSetId aSet)
{
  const auto found = setStates_.find(aSet);
  return found == setStates_.end() ? nullptr : &found->second;
}

void
LedgerReplica::On(const EntryHostId& aFrom, const Claim& aItem, Time aNow)
{
  const ReplicaSetId id = replicaSets_.SetOf(aItem.key);
  SetState* set = FindSet(id);
  if (set == nullptr)
    return;
  ClaimReply reply{ .key = aItem.key,
                    .number = aItem.claim.number,
                    .verdict = Verdict::Recovering,
                    .conflictingRecord = std::nullopt,
                    .replicaIncarnations = {} };
  // An existing record is valid even while this replica recovers; only a
  // missing one proves nothing.
  auto record = set->store.Find(aItem.key, aNow);
  if (record && record->claim != aItem.claim)
    reply.verdict = Verdict::Conflict;
  else if (set->isServing)
    reply.verdict = set->store.TryClaim(aItem, aNow);
  if (reply.verdict == Verdict::Conflict)
    reply.conflictingRecord = std::move(record);
  for (const EntryHostId& host : replicaSets_.HostsOf(id)) {
    const auto found = knownIncarnations_.find(host);
    if (found != knownIncarnations_.end())
      reply.replicaIncarnations.push_back({ host, found->second });
  }
  outbox_.Send(aFrom, std::move(reply), Urgency::Immediate);
}

void
LedgerReplica::On(const ReleaseClaim& aItem)
{
  if (SetState* set = FindSet(replicaSets_.SetOf(aItem.key)))
    set->store.RemoveClaim(aItem);
}

void
LedgerReplica::On(const EntryHostId& aFrom,
                  const RecordOutcome& aItem,
                  Time aNow)
{
  SetState* set = FindSet(replicaSets_.SetOf(aItem.record.key));
  if (set == nullptr)
    return;
  set->store.Complete(aItem.record, aNow);
  outbox_.Send(aFrom,
               OutcomeRecorded{ .key = aItem.record.key,
                                .number = aItem.record.claim.number },
               Urgency::Batched);
}

/// Keeps the maximum, so that a delayed message does not restore an earlier
/// incarnation.
void
LedgerReplica::ObserveIncarnation(const EntryHostId& aHost,
                                  Incarnation aIncarnation)
{
  Incarnation& known = knownIncarnations_[aHost];
  known = std::max(known, aIncarnation);
}

void
LedgerReplica::On(const EntryHostId& aFrom,
                  Incarnation aIncarnation,
                  const CopyRequest& aItem,
                  Time aNow)
{
  SetState* set = FindSet(aItem.set);
  if (set == nullptr)
    return;
  // From now on, every reply to a claim reports this incarnation and so voids
  // the grants of earlier ones. Claims granted before are contained in the
  // pages.
  ObserveIncarnation(aFrom, aIncarnation);
  RecordPage page{ .set = aItem.set,
                   .requesterIncarnation = aIncarnation,
                   .after = aItem.after,
                   .isServing = set->isServing,
                   .isColdStart = options_.allowsColdStart,
                   .isLast = true,
                   .records = {} };
  if (set->isServing) {
    const auto coldStart = set->coldStartPeers.find(aFrom);
    page.isColdStart = coldStart != set->coldStartPeers.end() &&
                       coldStart->second == aIncarnation;
    page.records = set->store.ReadPage(
      aItem.after, options_.maxPageRecords, options_.maxPageBytes, aNow);
    page.isLast = page.records.empty();
  }
  outbox_.Send(aFrom, std::move(page), Urgency::Immediate);
}

void
LedgerReplica::On(const EntryHostId& aFrom,
                  Incarnation aIncarnation,
                  const RecordPage& aItem,
                  Time aNow)
{
  SetState* set = FindSet(aItem.set);
  if (set == nullptr || set->isServing ||
      aItem.requesterIncarnation != options_.incarnation ||
      !set->copyProgress.contains(aFrom))
    return;
  ObserveIncarnation(aFrom, aIncarnation);
  CopyProgress& copy = set->copyProgress.at(aFrom);
  const bool isSameIncarnation = copy.incarnation == aIncarnation;
  if (!isSameIncarnation && !copy.isComplete)
    copy = { .incarnation = aIncarnation, .after = std::nullopt };
  copy.isColdStarting = aItem.isColdStart;
  const bool isNextPage = !copy.isComplete && aItem.after == copy.after;
  if (aItem.isServing && isNextPage) {
    for (const ReplicaRecord& record : aItem.records)
      set->store.Merge(record, aNow);
    copy.isComplete = aItem.isLast;
    if (!aItem.records.empty())
      copy.after = aItem.records.back().key;
    if (!copy.isComplete)
      SendCopyRequest(aItem.set, aFrom, copy);
  }
  UpdateServing(*set);
}

void
LedgerReplica::UpdateServing(SetState& aSet) const
{
  const auto forAllPeers = [&](auto aPredicate) {
    return std::all_of(
      aSet.copyProgress.begin(),
      aSet.copyProgress.end(),
      [&](const auto& aCopy) { return aPredicate(aCopy.second); });
  };
  const bool isCopyComplete =
    !aSet.copyProgress.empty() &&
    forAllPeers([](const CopyProgress& aCopy) { return aCopy.isComplete; });
  const bool isColdStartComplete =
    options_.allowsColdStart &&
    forAllPeers([](const CopyProgress& aCopy) { return aCopy.isColdStarting; });
  if (!aSet.isServing && !isCopyComplete && isColdStartComplete)
    aSet.coldStartPeers = knownIncarnations_;
  aSet.isServing = aSet.isServing || isCopyComplete || isColdStartComplete;
}

void
LedgerReplica::SendCopyRequest(ReplicaSetId aSet,
                               const EntryHostId& aFrom,
                               const CopyProgress& aCopy)
{
  outbox_.Send(aFrom,
               CopyRequest{ .set = aSet, .after = aCopy.after },
               Urgency::Immediate);
}

void
LedgerReplica::Tick(Time aNow)
{
  const bool isCopyDue = nextCopyRequestAt_ <= aNow;
  if (isCopyDue)
    nextCopyRequestAt_ = aNow + options_.copyRetryInterval;
  for (auto& [id, set] : setStates_) {
    set.store.RemoveExpired(aNow);
    if (startedAt_ + options_.recoveryWindow <= aNow)
      set.isServing = true;
    if (set.isServing || !isCopyDue)
      continue;
    for (const auto& [host, copy] : set.copyProgress)
      if (!copy.isComplete)
        SendCopyRequest(id, host, copy);
  }
}

bool
LedgerReplica::IsServing() const
{
  return std::all_of(setStates_.begin(),
                     setStates_.end(),
                     [](const auto& aSet) { return aSet.second.isServing; });
}

std::size_t
LedgerReplica::RecordCount() const
{
  std::size_t count = 0;
  for (const auto& [id, set] : setStates_)
    count += set.store.size();
  return count;
}
