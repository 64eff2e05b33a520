#include "greengage/once/Outbox.h"

#include <utility>

using namespace greengage;
using namespace greengage::once;

/// Number of items at which a batch is sent without further delay. The largest
/// item is a page of copied records, which ReplicaOptions::maxPageBytes limits.
static constexpr std::size_t kMaxBatchItems = 256;

void
Outbox::Send(const EntryHostId& aTo, LedgerMessage aItem, Urgency aUrgency)
{
  if (aTo == self_) {
    localItems_.push_back(std::move(aItem));
    return;
  }
  PeerQueue& queue = peerQueues_[aTo];
  queue.items.push_back(std::move(aItem));
  queue.isUrgent = queue.isUrgent || aUrgency == Urgency::Immediate ||
                   queue.items.size() >= kMaxBatchItems;
}

std::optional<LedgerMessage>
Outbox::PopLocal()
{
  if (localItems_.empty())
    return std::nullopt;
  LedgerMessage item = std::move(localItems_.front());
  localItems_.pop_front();
  return item;
}

void
Outbox::Flush(bool aAll, Actions& aOut)
{
  for (auto next = peerQueues_.begin(); next != peerQueues_.end();) {
    if (!aAll && !next->second.isUrgent) {
      ++next;
      continue;
    }
    aOut.push_back(
      SendBatch{ .to = next->first,
                 .batch = { .membershipDigest = membershipDigest_,
                            .incarnation = incarnation_,
                            .items = std::move(next->second.items) } });
    next = peerQueues_.erase(next);
  }
}
