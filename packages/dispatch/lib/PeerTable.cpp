#include "greengage/dispatch/PeerTable.h"

#include <xxhash.h>

#include <cstdint>
#include <utility>

using namespace greengage;
using namespace greengage::dispatch;

PeerTable::PeerTable(EntryHostId aSelf, AvailabilityZoneId aAvailabilityZone)
  : self_(std::move(aSelf))
  , availabilityZone_(std::move(aAvailabilityZone))
{
}

void
PeerTable::AddPeer(const PeerUp& aPeer)
{
  peers_[aPeer.peer].availabilityZone = aPeer.availabilityZone;
}

void
PeerTable::RemovePeer(const EntryHostId& aPeer)
{
  peers_.erase(aPeer);
}

void
PeerTable::UpdateLoad(const PeerLoad& aLoad)
{
  const auto found = peers_.find(aLoad.peer);
  if (found == peers_.end())
    return;
  found->second.isLeaving = aLoad.leaving;
  for (const PoolLoad& pool : aLoad.pools)
    found->second.freeSlots[pool.pool] = pool.freeSlots;
}

static std::uint64_t
RendezvousWeight(const EntryHostId& aHost, const UpstreamId& aUpstream)
{
  const std::string& host = aHost.Value();
  const std::string& upstream = aUpstream.Value();
  const std::uint64_t seed = XXH64(host.data(), host.size(), 0);
  return XXH64(upstream.data(), upstream.size(), seed);
}

EntryHostId
PeerTable::OwnerOf(const UpstreamId& aUpstream,
                   const AvailabilityZoneId& aAvailabilityZone) const
{
  struct Candidate
  {
    const EntryHostId* host = nullptr;
    std::uint64_t weight = 0;
    void Consider(const EntryHostId& aHost, std::uint64_t aWeight)
    {
      if (host != nullptr && aWeight <= weight)
        return;
      host = &aHost;
      weight = aWeight;
    }
  };
  Candidate inZone;
  Candidate anywhere;
  const auto consider = [&](const EntryHostId& aHost,
                            const AvailabilityZoneId& aZone) {
    const std::uint64_t weight = RendezvousWeight(aHost, aUpstream);
    anywhere.Consider(aHost, weight);
    if (aZone == aAvailabilityZone)
      inZone.Consider(aHost, weight);
  };
  if (!isSelfLeaving_)
    consider(self_, availabilityZone_);
  for (const auto& [host, peer] : peers_)
    if (!peer.isLeaving)
      consider(host, peer.availabilityZone);
  if (inZone.host != nullptr)
    return *inZone.host;
  return anywhere.host != nullptr ? *anywhere.host : self_;
}

std::optional<EntryHostId>
PeerTable::TakeSlot(const PoolId& aPool)
{
  const EntryHostId* best = nullptr;
  Slots* bestFree = nullptr;
  bool isBestInOwnZone = false;
  for (auto& [host, peer] : peers_) {
    const auto pool = peer.freeSlots.find(aPool);
    if (peer.isLeaving || pool == peer.freeSlots.end() ||
        pool->second <= Slots(0))
      continue;
    const bool isInOwnZone = peer.availabilityZone == availabilityZone_;
    const bool isBetter =
      best == nullptr || (isInOwnZone && !isBestInOwnZone) ||
      (isInOwnZone == isBestInOwnZone && pool->second > *bestFree);
    if (!isBetter)
      continue;
    best = &host;
    bestFree = &pool->second;
    isBestInOwnZone = isInOwnZone;
  }
  if (best == nullptr)
    return std::nullopt;
  *bestFree -= Slots(1);
  return *best;
}

void
PeerTable::ReturnSlot(const EntryHostId& aPeer, const PoolId& aPool)
{
  const auto found = peers_.find(aPeer);
  if (found != peers_.end())
    found->second.freeSlots[aPool] += Slots(1);
}

void
PeerTable::MarkFull(const EntryHostId& aPeer, const PoolId& aPool)
{
  const auto found = peers_.find(aPeer);
  if (found != peers_.end())
    found->second.freeSlots[aPool] = Slots(0);
}
