/// \file
/// Assigns request ids to the hosts that replicate their records. The result
/// depends only on the id and the configured members, so that all hosts choose
/// the same replicas, whichever of them are reachable.

#ifndef GREENGAGE_ONCE_REPLICASETS_H
#define GREENGAGE_ONCE_REPLICASETS_H

#include "greengage/core/Ids.h"
#include "greengage/once/Messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace greengage::once {

/// A configured entry host.
struct Member
{
  EntryHostId id;
  AvailabilityZoneId availabilityZone;
};

/// Number of replicas of each record. If there are fewer members, each of them
/// is a replica.
inline constexpr std::size_t kReplicationFactor = 3;

/// The replica sets of all availability zones. A set prefers hosts of its home
/// zone and takes the rest from other zones. A zone of at least two hosts
/// therefore keeps a majority in its own sets when it is partitioned from the
/// other zones. A set of three hosts also keeps one if it loses a single host.
class ReplicaSets
{
public:
  using Hosts = std::vector<EntryHostId>;

  explicit ReplicaSets(std::vector<Member> aMembers);

  /// Returns the replica set of a request id. An id that starts with a zone
  /// name and a colon has that home zone; other ids are hashed over all zones.
  ReplicaSetId SetOf(const RequestKey& aKey) const;
  const Hosts& HostsOf(ReplicaSetId aSet) const;
  std::size_t MajorityOf(ReplicaSetId aSet) const;
  /// Returns the replica sets that contain \p aHost.
  std::vector<ReplicaSetId> SetsContaining(const EntryHostId& aHost) const;
  std::size_t size() const { return sets_.size(); }
  /// Hash of the member list; hosts with equal lists choose the same replicas.
  std::uint64_t MembershipDigest() const { return membershipDigest_; }

private:
  std::map<AvailabilityZoneId, std::size_t> firstSetByZone_;
  std::vector<Hosts> sets_;
  std::uint64_t membershipDigest_ = 0;
};

} // namespace greengage::once

#endif // GREENGAGE_ONCE_REPLICASETS_H
