/// \file
/// The upstreams that this entry host serves: their leases and free slots.

#ifndef GREENGAGE_DISPATCH_UPSTREAMTABLE_H
#define GREENGAGE_DISPATCH_UPSTREAMTABLE_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/core/Upstream.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace greengage::dispatch {

/// How much work an upstream may get.
enum class UpstreamState : std::uint8_t
{
  Normal,
  /// One request at a time, to see whether it succeeds.
  Probing,
  Quarantined,
};

/// Upstreams by id, and per pool by free slots. Each operation costs a time
/// logarithmic in the number of upstreams.
class UpstreamTable
{
public:
  /// Takes or renews an announcement.
  void Announce(const UpstreamAnnouncement& aAnnouncement, Time aNow);
  /// Forgets an upstream that another entry host serves now. Work that it is
  /// running for this host goes on.
  void Remove(const UpstreamId& aId);
  /// Drops the upstreams whose leases have run out.
  void Expire(Time aNow);

  /// Sets how much work an upstream may get, and how many times slower than
  /// others it is.
  void SetHealth(const UpstreamId& aId, UpstreamState aState, double aSlowness);

  /// Takes a slot of the upstream of \p aPool with the most free slots; those
  /// of a slow upstream count for less.
  std::optional<UpstreamId> TakeSlot(const PoolId& aPool, Time aNow);
  /// Gives a slot back; no effect on an upstream that has been dropped.
  void ReleaseSlot(const UpstreamId& aId);
  /// Keeps work away from an upstream until \p aUntil.
  void HoldBack(const UpstreamId& aId, Time aUntil);

  /// The announcements of all upstreams, each with the rest of its lease.
  std::vector<UpstreamAnnouncement> All(Time aNow) const;
  /// The announcement of an upstream, or null.
  const UpstreamAnnouncement* Find(const UpstreamId& aId) const;
  Slots FreeSlots(const PoolId& aPool) const;
  std::vector<PoolId> Pools() const;
  std::size_t size() const { return entries_.size(); }

private:
  struct Entry
  {
    UpstreamAnnouncement announcement;
    Time leaseEnd;
    Time heldBackUntil;
    Slots running;
    UpstreamState state = UpstreamState::Normal;
    double slowness = 1;
  };
  using FreeKey = std::pair<double, UpstreamId>;
  struct PoolIndex
  {
    /// Upstreams that may take work, by free slots.
    std::set<FreeKey> byFreeSlots;
    Slots freeSlots;
  };

  static Slots FreeSlotsOf(const Entry& aEntry);
  static FreeKey FreeKeyOf(const Entry& aEntry);
  void AddToIndex(const Entry& aEntry);
  void RemoveFromIndex(const Entry& aEntry);

  std::unordered_map<UpstreamId, Entry> entries_;
  std::map<PoolId, PoolIndex> pools_;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_UPSTREAMTABLE_H
