#include "greengage/once/ReplicaSets.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

using namespace greengage;
using namespace greengage::once;

/// Replica sets with the same home zone. They differ only in zones with more
/// than kKeepers hosts.
static constexpr std::size_t kSetsPerZone = 4;

static std::uint64_t
Mix(std::uint64_t aSeed, const std::string& aText)
{
  return XXH64(aText.data(), aText.size(), aSeed);
}

/// Selects the replicas of one set by rendezvous hashing, home zone first.
static KeeperSets::Hosts
Choose(std::vector<Member> aMembers,
       const AvailabilityZoneId& aZone,
       std::size_t aSet)
{
  const auto rank = [&](const Member& aMember) {
    const bool isAway = aMember.availabilityZone != aZone;
    // All sets of a zone rank the hosts of other zones alike, so that few pairs
    // of hosts share records.
    const std::uint64_t seed = Mix(isAway ? 0 : aSet, aZone.Value());
    return std::pair(isAway, Mix(seed, aMember.id.Value()));
  };
  std::sort(aMembers.begin(),
            aMembers.end(),
            [&](const Member& aLeft, const Member& aRight) {
              return rank(aLeft) < rank(aRight);
            });
  KeeperSets::Hosts hosts;
  for (const Member& member : aMembers)
    if (hosts.size() < kKeepers)
      hosts.push_back(member.id);
  return hosts;
}

KeeperSets::KeeperSets(std::vector<Member> aMembers)
{
  assert(!aMembers.empty() && "member list must not be empty");
  std::sort(aMembers.begin(),
            aMembers.end(),
            [](const Member& aLeft, const Member& aRight) {
              return aLeft.id < aRight.id;
            });
  for (const Member& member : aMembers) {
    zones_.emplace(member.availabilityZone, 0);
    layout_ =
      Mix(Mix(layout_, member.id.Value()), member.availabilityZone.Value());
  }
  for (auto& [zone, first] : zones_) {
    first = sets_.size();
    for (std::size_t set = 0; set < kSetsPerZone; ++set)
      sets_.push_back(Choose(aMembers, zone, set));
  }
}

KeeperSetId
KeeperSets::SetOf(const RecordKey& aKey) const
{
  const std::string& id = aKey.id.Value();
  const std::uint64_t hash = Mix(Mix(0, aKey.team.Value()), id);
  auto zone = zones_.find(AvailabilityZoneId(id.substr(0, id.find(':'))));
  const bool hasPrefix = id.find(':') != std::string::npos;
  if (!hasPrefix || zone == zones_.end()) {
    const auto index = (hash / kSetsPerZone) % zones_.size();
    zone = std::next(zones_.begin(), static_cast<std::ptrdiff_t>(index));
  }
  const std::size_t set = zone->second + hash % kSetsPerZone;
  return KeeperSetId(static_cast<std::uint32_t>(set));
}

const KeeperSets::Hosts&
KeeperSets::HostsOf(KeeperSetId aSet) const
{
  return sets_.at(aSet.Value());
}

std::size_t
KeeperSets::MajorityOf(KeeperSetId aSet) const
{
  return HostsOf(aSet).size() / 2 + 1;
}

std::vector<KeeperSetId>
KeeperSets::SetsWith(const EntryHostId& aHost) const
{
  std::vector<KeeperSetId> result;
  for (std::size_t set = 0; set < sets_.size(); ++set)
    if (std::find(sets_[set].begin(), sets_[set].end(), aHost) !=
        sets_[set].end())
      result.emplace_back(static_cast<std::uint32_t>(set));
  return result;
}
