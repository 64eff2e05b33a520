/// \file
/// The entry hosts that can be reached, the room that each has, and which of
/// them serves an upstream.

#ifndef GREENGAGE_DISPATCH_PEERTABLE_H
#define GREENGAGE_DISPATCH_PEERTABLE_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/dispatch/Messages.h"

#include <map>
#include <optional>
#include <vector>

namespace greengage::dispatch {

/// The reachable peers.
class PeerTable
{
public:
  PeerTable(EntryHostId aSelf, AvailabilityZoneId aAvailabilityZone);

  void Up(const PeerUp& aPeer);
  void Down(const EntryHostId& aPeer);
  void UpdateLoad(const PeerLoad& aLoad);
  /// From now on this entry host serves no upstream if another one can.
  void LeaveSelf() { isSelfLeaving_ = true; }

  /// The entry host that serves an upstream: by rendezvous hashing among the
  /// reachable ones of the upstream's zone or, without any, of all zones.
  EntryHostId OwnerOf(const UpstreamId& aUpstream,
                      const AvailabilityZoneId& aAvailabilityZone) const;

  /// Takes one of the slots that a peer said are free, from the peer with the
  /// most; peers of the own zone go first.
  std::optional<EntryHostId> TakeSlot(const PoolId& aPool);
  /// Gives back a slot that TakeSlot took and that was not used.
  void ReturnSlot(const EntryHostId& aPeer, const PoolId& aPool);
  /// Notes that a peer has no room, until it says otherwise.
  void NoteFull(const EntryHostId& aPeer, const PoolId& aPool);

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
