/// \file
/// Outlier detection for upstreams. It distinguishes an upstream that fails
/// its requests from work that fails on every upstream. An upstream that fails
/// fast always has free slots and would otherwise attract ever more work.

#ifndef GREENGAGE_DISPATCH_UPSTREAMHEALTH_H
#define GREENGAGE_DISPATCH_UPSTREAMHEALTH_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"
#include "greengage/dispatch/UpstreamTable.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace greengage::dispatch {

/// When an upstream is quarantined.
struct HealthOptions
{
  /// An upstream is quarantined when its failures exceed the expected and
  /// tolerated ones by this number.
  double quarantineThreshold = 3;
  /// The excess over the expected failure rate that an upstream may sustain
  /// without being quarantined.
  double failureRateTolerance = 0.25;
  /// The first quarantine lasts minQuarantine; each further one is twice as
  /// long, up to maxQuarantine.
  Duration minQuarantine = Duration::Seconds(2);
  Duration maxQuarantine = Duration::Seconds(120);
  /// Number of probe requests, sent one at a time, that must succeed before an
  /// upstream gets full load. A failure that is attributed to the upstream
  /// quarantines it again.
  int requiredProbes = 3;
  /// Maximum number of upstreams whose last outcome is kept for each kind of
  /// work.
  std::size_t maxComparedUpstreams = 16;
  /// Maximum number of kinds tracked over all teams; for further kinds only the
  /// prior of the failure rate is used.
  std::size_t maxKinds = 4096;
  /// How long the state of an idle upstream is kept.
  Duration idleRetention = Duration::Seconds(600);
};

/// The result of a run on an upstream.
struct RunEnd
{
  UpstreamId upstream;
  TeamId team;
  std::string kind;
  bool hasSucceeded = false;
  Duration runTime;
  /// The mean run time of the team's requests of this kind.
  Duration expectedRunTime;
};

/// The health of the upstreams that this entry host serves. Recording a run
/// takes time linear in \c maxComparedUpstreams.
class UpstreamHealth
{
public:
  explicit UpstreamHealth(HealthOptions aOptions = {})
    : options_(aOptions)
  {
  }

  /// Records the result of a run. \returns true if the upstream's state or
  /// slowness may have changed.
  bool RecordEnd(const RunEnd& aEnd, Time aNow);
  /// The upstream's state; Normal if nothing is known of it.
  UpstreamState StateOf(const UpstreamId& aUpstream) const;
  /// The ratio of the upstream's run times to the expected ones; at least 1.
  double SlownessOf(const UpstreamId& aUpstream) const;
  /// Moves the upstreams whose quarantine has ended to probing and returns
  /// them. Also drops the state of idle upstreams.
  std::vector<UpstreamId> StartDueProbes(Time aNow);

private:
  struct Health
  {
    /// Cumulative sum of the failures in excess of the expected and tolerated
    /// ones; never negative.
    double excessFailures = 0;
    double slowness = 1;
    UpstreamState state = UpstreamState::Normal;
    Duration quarantine;
    Time quarantineEnd;
    int probesLeft = 0;
    Time lastEnd;
  };
  /// The last outcomes of one kind of work, at most one per upstream, oldest
  /// first.
  struct KindRecord
  {
    std::vector<std::pair<UpstreamId, bool>> outcomes;
  };

  double ExpectedFailureRate(const RunEnd& aEnd) const;
  void RecordOutcome(const RunEnd& aEnd);
  void Quarantine(const UpstreamId& aUpstream, Health& aHealth, Time aNow);
  void RecordProbe(const RunEnd& aEnd, Health& aHealth, Time aNow);

  HealthOptions options_;
  std::map<UpstreamId, Health> health_;
  std::map<std::pair<TeamId, std::string>, KindRecord> kinds_;
  std::set<std::pair<Time, UpstreamId>> quarantined_;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_UPSTREAMHEALTH_H
