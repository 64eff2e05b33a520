/// \file
/// Estimates of run times per team and kind. They are learned from measured run
/// times, since run times declared by callers are far from accurate.

#ifndef GREENGAGE_DISPATCH_RUNTIMES_H
#define GREENGAGE_DISPATCH_RUNTIMES_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace greengage::dispatch {

/// Parameters of the estimates.
struct RunTimeOptions
{
  /// The estimate for a team without any runs.
  Duration initialEstimate = Duration(100);
  /// Kinds tracked for one team; further kinds use the team's overall estimate.
  std::size_t maxKinds = 64;
  /// A run counts as at most this multiple of the mean so far, and the mean of
  /// a kind differs from the team's mean by at most this factor, so that one
  /// outlier or mislabeled kind can't skew the estimates without bound.
  std::int64_t maxRatio = 20;
  /// Number of runs from which on the 10th percentile is used and further runs
  /// are clamped.
  std::uint32_t minRuns = 20;
};

/// Run time estimates by team and kind.
class RunTimes
{
public:
  explicit RunTimes(RunTimeOptions aOptions = {})
    : options_(aOptions)
  {
  }

  /// Records the duration of a completed run.
  void Record(const TeamId& aTeam, const std::string& aKind, Duration aRan);
  /// The mean run time.
  Duration Mean(const TeamId& aTeam, const std::string& aKind) const;
  /// The 10th percentile of run times, or zero until \c minRuns runs are known.
  Duration Percentile10(const TeamId& aTeam, const std::string& aKind) const;

private:
  struct Estimate
  {
    double meanMs = 0;
    double percentile10Ms = 0;
    std::uint32_t runs = 0;
  };
  struct TeamEstimates
  {
    Estimate overall;
    std::map<std::string, Estimate> kinds;
  };

  void Update(Estimate& aEstimate, double aMs) const;
  const Estimate* Find(const TeamId& aTeam, const std::string& aKind) const;

  RunTimeOptions options_;
  std::map<TeamId, TeamEstimates> teams_;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_RUNTIMES_H
