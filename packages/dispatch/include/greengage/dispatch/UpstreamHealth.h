/// \file
/// Tells upstreams that fail what they start from work that fails everywhere.
/// An upstream that fails fast looks idle, and would attract ever more work.

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

/// When an upstream is kept away from work.
struct HealthOptions
{
  /// Failures beyond what is expected of the work, until quarantine.
  double quarantineThreshold = 3;
  /// How much worse than expected an upstream may be for ever.
  double failureRateTolerance = 0.25;
  /// The first quarantine; each further one doubles up to the longest.
  Duration minQuarantine = Duration::Seconds(2);
  Duration maxQuarantine = Duration::Seconds(120);
  /// Single requests that must succeed in a row before full work.
  int requiredProbes = 3;
  /// Upstreams whose last outcome of a kind is compared with.
  std::size_t maxComparedUpstreams = 16;
  /// Kinds of all teams that are told apart.
  std::size_t maxKinds = 4096;
  /// How long an upstream that does nothing is remembered.
  Duration idleRetention = Duration::Seconds(600);
};

/// The end of a run on an upstream.
struct RunEnd
{
  UpstreamId upstream;
  TeamId team;
  std::string kind;
  bool hasSucceeded = false;
  Duration ran;
  /// How long such work runs in the mean.
  Duration expectedRun;
};

/// The health of the upstreams that this entry host serves. Each run costs a
/// time that is bounded by the upstreams compared with.
class UpstreamHealth
{
public:
  explicit UpstreamHealth(HealthOptions aOptions = {})
    : options_(aOptions)
  {
  }

  /// Takes the end of a run into account. True if the upstream's state or
  /// weight may have changed.
  bool NoteEnd(const RunEnd& aEnd, Time aNow);
  /// How much work an upstream may get.
  UpstreamState StateOf(const UpstreamId& aUpstream) const;
  /// How many times slower than others an upstream is; at least 1.
  double SlownessOf(const UpstreamId& aUpstream) const;
  /// The upstreams whose quarantine has ended and which are probed from now on.
  std::vector<UpstreamId> TakeReleased(Time aNow);

private:
  struct Health
  {
    /// Failures so far beyond what was expected.
    double excessFailures = 0;
    double slowness = 1;
    UpstreamState state = UpstreamState::Normal;
    Duration quarantine;
    Time quarantineEnd;
    int probesLeft = 0;
    Time lastEnd;
  };
  /// The last outcomes of one kind of work, at most one of each upstream.
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
