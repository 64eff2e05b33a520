#include "greengage/once/LedgerReplica.h"

#include <algorithm>
#include <utility>

using namespace greengage;
using namespace greengage::once;

Keeper::Keeper(KeeperOptions aOptions,
               const KeeperSets& aSets,
               Outbox& aOutbox,
               Time aNow)
  : options_(std::move(aOptions))
  , sets_(aSets)
  , outbox_(aOutbox)
  , startedAt_(aNow)
  , nextCopy_(aNow)
{
  const auto own = sets_.SetsWith(options_.self);
  StoreOptions store = options_.store;
  store.maxRecords /= std::max<std::size_t>(own.size(), 1);
  store.maxAnswerBytes /= std::max<std::size_t>(own.size(), 1);
  for (const KeeperSetId id : own) {
    Set set{ .store = KeeperStore(store), .copies = {}, .coldWith = {} };
    for (const EntryHostId& host : sets_.HostsOf(id))
      if (host != options_.self)
        set.copies[host] = {};
    CheckServing(set);
    kept_.emplace(id, std::move(set));
  }
}

Keeper::Set*
Keeper::FindSet(KeeperSetId aSet)
{
  const auto found = kept_.find(aSet);
  return found == kept_.end() ? nullptr : &found->second;
}

void
Keeper::On(const EntryHostId& aFrom, const Claim& aItem, Time aNow)
{
  const KeeperSetId id = sets_.SetOf(aItem.key);
  Set* set = FindSet(id);
  if (set == nullptr)
    return;
  ClaimReply reply{ .key = aItem.key,
                    .number = aItem.claim.number,
                    .verdict = Verdict::Recovering,
                    .held = std::nullopt,
                    .known = {} };
  // An existing record is valid even while this replica recovers; only a
  // missing one proves nothing.
  auto record = set->store.Find(aItem.key, aNow);
  if (record && record->claim != aItem.claim)
    reply.verdict = Verdict::Held;
  else if (set->isServing)
    reply.verdict = set->store.Take(aItem, aNow);
  if (reply.verdict == Verdict::Held)
    reply.held = std::move(record);
  for (const EntryHostId& host : sets_.HostsOf(id)) {
    const auto found = known_.find(host);
    if (found != known_.end())
      reply.known.push_back({ host, found->second });
  }
  outbox_.Send(aFrom, std::move(reply), Urgency::Now);
}

void
Keeper::On(const Release& aItem)
{
  if (Set* set = FindSet(sets_.SetOf(aItem.key)))
    set->store.Drop(aItem);
}

void
Keeper::On(const EntryHostId& aFrom, const RecordOutcome& aItem, Time aNow)
{
  Set* set = FindSet(sets_.SetOf(aItem.record.key));
  if (set == nullptr)
    return;
  set->store.End(aItem.record, aNow);
  outbox_.Send(aFrom,
               OutcomeRecorded{ .key = aItem.record.key,
                                .number = aItem.record.claim.number },
               Urgency::Later);
}

/// Keeps the maximum, so that a delayed message does not restore an earlier
/// incarnation.
void
Keeper::Note(const EntryHostId& aHost, Incarnation aIncarnation)
{
  Incarnation& known = known_[aHost];
  known = std::max(known, aIncarnation);
}

void
Keeper::On(const EntryHostId& aFrom,
           Incarnation aIncarnation,
           const CopyRequest& aItem,
           Time aNow)
{
  Set* set = FindSet(aItem.set);
  if (set == nullptr)
    return;
  // From now on, every reply to a claim reports this incarnation and so voids
  // the grants of earlier ones. Claims granted before are contained in the
  // pages.
  Note(aFrom, aIncarnation);
  CopyPage page{ .set = aItem.set,
                 .to = aIncarnation,
                 .after = aItem.after,
                 .isServing = set->isServing,
                 .isColdStart = options_.allowsColdStart,
                 .isLast = true,
                 .records = {} };
  if (set->isServing) {
    const auto cold = set->coldWith.find(aFrom);
    page.isColdStart =
      cold != set->coldWith.end() && cold->second == aIncarnation;
    page.records = set->store.Page(
      aItem.after, options_.pageRecords, options_.pageBytes, aNow);
    page.isLast = page.records.empty();
  }
  outbox_.Send(aFrom, std::move(page), Urgency::Now);
}

void
Keeper::On(const EntryHostId& aFrom,
           Incarnation aIncarnation,
           const CopyPage& aItem,
           Time aNow)
{
  Set* set = FindSet(aItem.set);
  if (set == nullptr || set->isServing || aItem.to != options_.incarnation ||
      !set->copies.contains(aFrom))
    return;
  Note(aFrom, aIncarnation);
  Copy& copy = set->copies.at(aFrom);
  const bool isSame = copy.incarnation == aIncarnation;
  if (!isSame && !copy.isDone)
    copy = { .incarnation = aIncarnation, .after = std::nullopt };
  copy.isColdToo = aItem.isColdStart;
  const bool isNext = !copy.isDone && aItem.after == copy.after;
  if (aItem.isServing && isNext) {
    for (const KeptRecord& record : aItem.records)
      set->store.Merge(record, aNow);
    copy.isDone = aItem.isLast;
    if (!aItem.records.empty())
      copy.after = aItem.records.back().key;
    if (!copy.isDone)
      Request(aItem.set, aFrom, copy);
  }
  CheckServing(*set);
}

void
Keeper::CheckServing(Set& aSet) const
{
  const auto all = [&](auto aPredicate) {
    return std::all_of(
      aSet.copies.begin(), aSet.copies.end(), [&](const auto& aCopy) {
        return aPredicate(aCopy.second);
      });
  };
  const bool isCopied =
    !aSet.copies.empty() && all([](const Copy& aCopy) { return aCopy.isDone; });
  const bool isCold = options_.allowsColdStart &&
                      all([](const Copy& aCopy) { return aCopy.isColdToo; });
  if (!aSet.isServing && !isCopied && isCold)
    aSet.coldWith = known_;
  aSet.isServing = aSet.isServing || isCopied || isCold;
}

void
Keeper::Request(KeeperSetId aSet, const EntryHostId& aFrom, const Copy& aCopy)
{
  outbox_.Send(
    aFrom, CopyRequest{ .set = aSet, .after = aCopy.after }, Urgency::Now);
}

void
Keeper::Tick(Time aNow)
{
  const bool isCopyDue = nextCopy_ <= aNow;
  if (isCopyDue)
    nextCopy_ = aNow + options_.copyRetry;
  for (auto& [id, set] : kept_) {
    set.store.Expire(aNow);
    if (startedAt_ + options_.recoveryWindow <= aNow)
      set.isServing = true;
    if (set.isServing || !isCopyDue)
      continue;
    for (const auto& [host, copy] : set.copies)
      if (!copy.isDone)
        Request(id, host, copy);
  }
}

bool
Keeper::IsServing() const
{
  return std::all_of(kept_.begin(), kept_.end(), [](const auto& aSet) {
    return aSet.second.isServing;
  });
}

std::size_t
Keeper::Records() const
{
  std::size_t count = 0;
  for (const auto& [id, set] : kept_)
    count += set.store.size();
  return count;
}
