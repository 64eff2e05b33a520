#include "greengage/dispatch/RunTimes.h"

#include <algorithm>

using namespace greengage;
using namespace greengage::dispatch;

/// Minimum weight of a new run in the moving average. The n-th run has weight
/// 1/n while that is greater.
static constexpr double kMinMeanWeight = 0.05;
/// Factors by which the percentile estimate decreases after a shorter run and
/// increases after any other. It is stable where about one run in ten is
/// shorter.
static constexpr double kPercentileStepDown = 0.9;
static constexpr double kPercentileStepUp = 1.01;

void
RunTimes::Update(Estimate& aEstimate, double aRanMs) const
{
  double ms = aRanMs;
  if (aEstimate.runs >= options_.minRuns)
    ms =
      std::min(ms, aEstimate.meanMs * static_cast<double>(options_.maxRatio));
  const double weight =
    std::max(kMinMeanWeight, 1.0 / static_cast<double>(aEstimate.runs + 1));
  aEstimate.meanMs += weight * (ms - aEstimate.meanMs);
  if (aEstimate.runs == 0)
    aEstimate.percentile10Ms = ms;
  aEstimate.percentile10Ms *=
    ms < aEstimate.percentile10Ms ? kPercentileStepDown : kPercentileStepUp;
  ++aEstimate.runs;
}

void
RunTimes::Record(const TeamId& aTeam, const std::string& aKind, Duration aRan)
{
  const double ms = std::max(1.0, static_cast<double>(aRan.Millis()));
  TeamEstimates& team = teams_[aTeam];
  Update(team.overall, ms);
  const bool hasRoom = team.kinds.size() < options_.maxKinds;
  if (hasRoom || team.kinds.contains(aKind))
    Update(team.kinds[aKind], ms);
}

const RunTimes::Estimate*
RunTimes::Find(const TeamId& aTeam, const std::string& aKind) const
{
  const auto team = teams_.find(aTeam);
  if (team == teams_.end())
    return nullptr;
  const auto kind = team->second.kinds.find(aKind);
  return kind == team->second.kinds.end() ? &team->second.overall
                                          : &kind->second;
}

Duration
RunTimes::Mean(const TeamId& aTeam, const std::string& aKind) const
{
  const Estimate* estimate = Find(aTeam, aKind);
  if (estimate == nullptr)
    return options_.initialEstimate;
  const double teamMeanMs = teams_.at(aTeam).overall.meanMs;
  const auto ratio = static_cast<double>(options_.maxRatio);
  const double boundedMs =
    std::clamp(estimate->meanMs, teamMeanMs / ratio, teamMeanMs * ratio);
  return Duration(static_cast<std::int64_t>(std::max(1.0, boundedMs)));
}

Duration
RunTimes::Percentile10(const TeamId& aTeam, const std::string& aKind) const
{
  const Estimate* estimate = Find(aTeam, aKind);
  if (estimate == nullptr || estimate->runs < options_.minRuns)
    return Duration(0);
  return Duration(static_cast<std::int64_t>(estimate->percentile10Ms));
}
