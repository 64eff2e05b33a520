/// \file
/// Which hosts keep the record of a request id. A pure function of the id and
/// the configured members, so that every host finds the same keepers whoever
/// is reachable.

#ifndef GREENGAGE_ONCE_KEEPERSETS_H
#define GREENGAGE_ONCE_KEEPERSETS_H

#include "greengage/core/Ids.h"
#include "greengage/once/Messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace greengage::once {

/// An entry host of the settings.
struct Member
{
  EntryHostId id;
  AvailabilityZoneId availabilityZone;
};

/// Keepers of one record, if there are as many members.
inline constexpr std::size_t kKeepers = 3;

/// The keeper sets of all zones. A set takes hosts of its home zone first and
/// is filled up from other zones: a zone with two or three hosts that is cut
/// off still has a majority, and the loss of one host leaves one too.
class KeeperSets
{
public:
  using Hosts = std::vector<EntryHostId>;

  explicit KeeperSets(std::vector<Member> aMembers);

  /// The set of an id. An id that begins with the name of a zone and a colon
  /// has its home there; others are spread over the zones.
  KeeperSetId SetOf(const RecordKey& aKey) const;
  const Hosts& HostsOf(KeeperSetId aSet) const;
  std::size_t MajorityOf(KeeperSetId aSet) const;
  /// The sets that \p aHost belongs to.
  std::vector<KeeperSetId> SetsWith(const EntryHostId& aHost) const;
  std::size_t size() const { return sets_.size(); }
  /// Differs between different member lists.
  std::uint64_t Layout() const { return layout_; }

private:
  std::map<AvailabilityZoneId, std::size_t> zones_;
  std::vector<Hosts> sets_;
  std::uint64_t layout_ = 0;
};

} // namespace greengage::once

#endif // GREENGAGE_ONCE_KEEPERSETS_H
