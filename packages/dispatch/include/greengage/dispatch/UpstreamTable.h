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

/// Whether an upstream may get work.
enum class UpstreamState : std::uint8_t
{
  Normal,
  /// May run one request at a time until enough of them have succeeded.
  Probing,
  Quarantined,
};

/// Upstreams by id, and per pool by free slots. Operations on one upstream take
/// time logarithmic in the number of upstreams; TakeSlot also visits the
/// upstreams that it skips because of a backoff or an expired lease.
class UpstreamTable
{
public:
  /// Adds an upstream, or renews its lease.
  void Announce(const UpstreamAnnouncement& aAnnouncement, Time aNow);
  /// Removes an upstream that another entry host serves now. The upstream
  /// continues to run its requests of this host.
  void Remove(const UpstreamId& aId);
  /// Removes the upstreams whose leases have expired.
  void Expire(Time aNow);

  /// Sets the state of an upstream, and how many times slower than expected it
  /// runs requests.
  void SetHealth(const UpstreamId& aId, UpstreamState aState, double aSlowness);

  /// Takes a slot of the upstream of \p aPool with the most free slots divided
  /// by its slowness. Upstreams under probing take precedence.
  std::optional<UpstreamId> TakeSlot(const PoolId& aPool, Time aNow);
  /// Returns a slot. Has no effect if the upstream has been removed.
  void ReleaseSlot(const UpstreamId& aId);
  /// Excludes an upstream from TakeSlot until \p aUntil.
  void BackOffUntil(const UpstreamId& aId, Time aUntil);

  /// The announcements of all upstreams with unexpired leases, each with the
  /// remaining time of its lease.
  std::vector<UpstreamAnnouncement> Announcements(Time aNow) const;
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
    /// Upstreams with free slots, in ascending order of preference.
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
