/// \file
/// Collects outgoing items into one batch per member. Items that a host
/// addresses to itself are queued locally and never sent.

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

/// Whether an item may be delayed to share a batch with later items.
enum class Urgency : std::uint8_t
{
  Immediate,
  Batched,
};

/// The outgoing items of one host, by receiver.
class Outbox
{
public:
  Outbox(EntryHostId aSelf,
         Incarnation aIncarnation,
         std::uint64_t aMembershipDigest)
    : self_(std::move(aSelf))
    , incarnation_(aIncarnation)
    , membershipDigest_(aMembershipDigest)
  {
  }

  void Send(const EntryHostId& aTo, LedgerMessage aItem, Urgency aUrgency);
  /// Removes and returns the next item that is addressed to this host.
  std::optional<LedgerMessage> PopLocal();
  /// Appends a SendBatch for each receiver that has an urgent item or a full
  /// batch, or for every receiver if \p aAll is set.
  void Flush(bool aAll, Actions& aOut);
  bool IsEmpty() const { return peerQueues_.empty(); }

private:
  struct PeerQueue
  {
    std::vector<LedgerMessage> items;
    bool isUrgent = false;
  };

  EntryHostId self_;
  Incarnation incarnation_;
  std::uint64_t membershipDigest_;
  std::map<EntryHostId, PeerQueue> peerQueues_;
  std::deque<LedgerMessage> localItems_;
};

} // namespace greengage::once

#endif // GREENGAGE_ONCE_OUTBOX_H
