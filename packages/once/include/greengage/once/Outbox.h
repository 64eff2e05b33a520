/// \file
/// Items on their way to other members, gathered into batches. What a host
/// sends to itself comes back without a message.

#ifndef GREENGAGE_ONCE_OUTBOX_H
#define GREENGAGE_ONCE_OUTBOX_H

#include "greengage/core/Ids.h"
#include "greengage/once/Messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace greengage::once {

/// Whether an item may wait for others to the same host.
enum class Urgency : std::uint8_t
{
  Now,
  Later,
};

/// Gathers items by receiver.
class Outbox
{
public:
  Outbox(EntryHostId aSelf, Incarnation aIncarnation, std::uint64_t aLayout)
    : self_(std::move(aSelf))
    , incarnation_(aIncarnation)
    , layout_(aLayout)
  {
  }

  void Send(const EntryHostId& aTo, Item aItem, Urgency aUrgency);
  /// The next item to the own host.
  std::optional<Item> TakeOwn();
  /// Appends batches to hosts with an urgent item or, if \p aAll, to all.
  void Flush(bool aAll, Actions& aOut);
  bool IsEmpty() const { return lines_.empty(); }

private:
  struct Line
  {
    std::vector<Item> items;
    bool isUrgent = false;
  };

  EntryHostId self_;
  Incarnation incarnation_;
  std::uint64_t layout_;
  std::map<EntryHostId, Line> lines_;
  std::deque<Item> own_;
};

} // namespace greengage::once

#endif // GREENGAGE_ONCE_OUTBOX_H
