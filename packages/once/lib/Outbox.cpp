#include "greengage/once/Outbox.h"

#include <utility>

using namespace greengage;
using namespace greengage::once;

/// Number of items at which a batch is sent without further delay. The largest
/// item is a page of copied records.
static constexpr std::size_t kMaxItems = 256;

void
Outbox::Send(const EntryHostId& aTo, Item aItem, Urgency aUrgency)
{
  if (aTo == self_) {
    own_.push_back(std::move(aItem));
    return;
  }
  Line& line = lines_[aTo];
  line.items.push_back(std::move(aItem));
  line.isUrgent =
    line.isUrgent || aUrgency == Urgency::Now || line.items.size() >= kMaxItems;
}

std::optional<Item>
Outbox::TakeOwn()
{
  if (own_.empty())
    return std::nullopt;
  Item item = std::move(own_.front());
  own_.pop_front();
  return item;
}

void
Outbox::Flush(bool aAll, Actions& aOut)
{
  for (auto next = lines_.begin(); next != lines_.end();) {
    if (!aAll && !next->second.isUrgent) {
      ++next;
      continue;
    }
    aOut.push_back(
      SendBatch{ .to = next->first,
                 .batch = { .layout = layout_,
                            .incarnation = incarnation_,
                            .items = std::move(next->second.items) } });
    next = lines_.erase(next);
  }
}
