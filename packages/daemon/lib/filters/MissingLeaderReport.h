/// \file
/// Says why the agreed log has no leader, as far as one of its hosts can tell.

#ifndef GREENGAGE_DAEMON_LIB_FILTERS_MISSINGLEADERREPORT_H
#define GREENGAGE_DAEMON_LIB_FILTERS_MISSINGLEADERREPORT_H

#include "greengage/consensus/Replica.h"
#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"

#include <map>
#include <optional>
#include <vector>

namespace greengage::daemon::detail {

/// What a host without a leader knows. A term that rises from one report to the
/// next shows elections that fail.
struct MissingLeader
{
  /// How long no leader has been known.
  Duration lasted;
  consensus::Term term;
  consensus::Role role = consensus::Role::Follower;
  consensus::LogIndex lastIndex;
  std::vector<EntryHostId> voters;
  /// The hosts whose replicas were heard since the last report.
  std::vector<EntryHostId> heard;
};

/// Makes a report every few seconds while no leader is known.
class MissingLeaderReport
{
public:
  /// A message of another replica has arrived.
  void OnHeard(const EntryHostId& aFrom, Time aNow) { heardAt_[aFrom] = aNow; }
  /// Must be called every few tens of milliseconds.
  /// \returns the report, if one is due.
  std::optional<MissingLeader> Update(const consensus::Replica& aReplica,
                                      Time aNow);
  bool IsLeaderKnown() const { return !missingSince_; }

private:
  std::map<EntryHostId, Time> heardAt_;
  std::optional<Time> missingSince_;
  Time reportAt_;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_FILTERS_MISSINGLEADERREPORT_H
