/// \file
/// The reachable entry hosts, their free slots, and the assignment of upstreams
/// to entry hosts.

#ifndef GREENGAGE_DISPATCH_PEERTABLE_H
#define GREENGAGE_DISPATCH_PEERTABLE_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/dispatch/Messages.h"

#include <map>
#include <optional>
#include <vector>

namespace greengage::dispatch {

/// Tracks the reachable peers and the load that they report.
class PeerTable
{
public:
  PeerTable(EntryHostId aSelf, AvailabilityZoneId aAvailabilityZone);

  void AddPeer(const PeerUp& aPeer);
  void RemovePeer(const EntryHostId& aPeer);
  void UpdateLoad(const PeerLoad& aLoad);
  /// Assigns no more upstreams to this entry host while another one can serve
  /// them; called when the host shuts down.
  void StopServingUpstreams() { isSelfLeaving_ = true; }

  /// The entry host that serves an upstream, by rendezvous hashing among the
  /// reachable hosts of the upstream's zone or, if there are none, of all
  /// zones.
  EntryHostId OwnerOf(const UpstreamId& aUpstream,
                      const AvailabilityZoneId& aAvailabilityZone) const;

  /// Takes a slot of the peer that has the most free slots by its last report
  /// and the slots taken since. Peers in the same zone take precedence.
  std::optional<EntryHostId> TakeSlot(const PoolId& aPool);
  /// Returns a slot from TakeSlot that was not used or whose request has ended.
  void ReturnSlot(const EntryHostId& aPeer, const PoolId& aPool);
  /// Treats a peer as having no free slots until it next reports its load.
  void MarkFull(const EntryHostId& aPeer, const PoolId& aPool);

private:
  struct Peer
  {
    AvailabilityZoneId availabilityZone;
    bool isLeaving = false;
    std::map<PoolId, Slots> freeSlots;
  };

  EntryHostId self_;
  AvailabilityZoneId availabilityZone_;
  bool isSelfLeaving_ = false;
  std::map<EntryHostId, Peer> peers_;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_PEERTABLE_H
