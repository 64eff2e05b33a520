#include "greengage/once/ReplicaSets.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

using namespace greengage;
using namespace greengage::once;

/// Replica sets with the same home zone. They differ only in zones with more
/// than kReplicationFactor hosts.
static constexpr std::size_t kSetsPerZone = 4;

static std::uint64_t
HashOf(std::uint64_t aSeed, const std::string& aText)
{
  return XXH64(aText.data(), aText.size(), aSeed);
}

/// Selects the replicas of one set by rendezvous hashing, home zone first.
static ReplicaSets::Hosts
SelectReplicas(std::vector<Member> aMembers,
               const AvailabilityZoneId& aZone,
               std::size_t aSetIndex)
{
  const auto rank = [&](const Member& aMember) {
    const bool isRemote = aMember.availabilityZone != aZone;
    // All sets of a zone rank the hosts of other zones alike, so that few pairs
    // of hosts share records.
    const std::uint64_t seed = HashOf(isRemote ? 0 : aSetIndex, aZone.Value());
    return std::pair(isRemote, HashOf(seed, aMember.id.Value()));
  };
  std::sort(aMembers.begin(),
            aMembers.end(),
            [&](const Member& aLeft, const Member& aRight) {
              return rank(aLeft) < rank(aRight);
            });
  ReplicaSets::Hosts hosts;
  for (const Member& member : aMembers)
    if (hosts.size() < kReplicationFactor)
      hosts.push_back(member.id);
  return hosts;
}

ReplicaSets::ReplicaSets(std::vector<Member> aMembers)
{
  assert(!aMembers.empty() && "member list must not be empty");
  std::sort(aMembers.begin(),
            aMembers.end(),
            [](const Member& aLeft, const Member& aRight) {
              return aLeft.id < aRight.id;
            });
  for (const Member& member : aMembers) {
    firstSetByZone_.emplace(member.availabilityZone, 0);
    membershipDigest_ = HashOf(HashOf(membershipDigest_, member.id.Value()),
                               member.availabilityZone.Value());
  }
  for (auto& [zone, firstSet] : firstSetByZone_) {
    firstSet = sets_.size();
    for (std::size_t set = 0; set < kSetsPerZone; ++set)
      sets_.push_back(SelectReplicas(aMembers, zone, set));
  }
}

ReplicaSetId
ReplicaSets::SetOf(const RequestKey& aKey) const
{
  const std::string& id = aKey.id.Value();
  const std::uint64_t hash = HashOf(HashOf(0, aKey.team.Value()), id);
  auto zone =
    firstSetByZone_.find(AvailabilityZoneId(id.substr(0, id.find(':'))));
  const bool hasPrefix = id.find(':') != std::string::npos;
  if (!hasPrefix || zone == firstSetByZone_.end()) {
    const auto index = (hash / kSetsPerZone) % firstSetByZone_.size();
    zone =
      std::next(firstSetByZone_.begin(), static_cast<std::ptrdiff_t>(index));
  }
  const std::size_t set = zone->second + hash % kSetsPerZone;
  return ReplicaSetId(static_cast<std::uint32_t>(set));
}

const ReplicaSets::Hosts&
ReplicaSets::HostsOf(ReplicaSetId aSet) const
{
  return sets_.at(aSet.Value());
}

std::size_t
ReplicaSets::MajorityOf(ReplicaSetId aSet) const
{
  return HostsOf(aSet).size() / 2 + 1;
}

std::vector<ReplicaSetId>
ReplicaSets::SetsContaining(const EntryHostId& aHost) const
{
  std::vector<ReplicaSetId> result;
  for (std::size_t set = 0; set < sets_.size(); ++set)
    if (std::find(sets_[set].begin(), sets_[set].end(), aHost) !=
        sets_[set].end())
      result.emplace_back(static_cast<std::uint32_t>(set));
  return result;
}
