#include "greengage/dispatch/UpstreamHealth.h"

#include <algorithm>
#include <cstdint>

using namespace greengage;
using namespace greengage::dispatch;

/// Weight of a new run in the moving average of an upstream's slowness.
static constexpr double kSlownessWeight = 0.1;
/// Upper bound of the slowness of a single run.
static constexpr double kMaxSlowness = 20;
/// Prior of the expected failure rate: work that has run on no other upstream
/// is expected to fail in half of its runs.
static constexpr double kPriorFailures = 0.5;
static constexpr double kPriorRuns = 1;

/// The fraction of the other upstreams on which the last run of the same kind
/// of work failed, smoothed by the prior.
double
UpstreamHealth::ExpectedFailureRate(const RunEnd& aEnd) const
{
  double failures = kPriorFailures;
  double runs = kPriorRuns;
  const auto found = kinds_.find({ aEnd.team, aEnd.kind });
  if (found == kinds_.end())
    return failures / runs;
  for (const auto& [upstream, hasSucceeded] : found->second.outcomes) {
    if (upstream == aEnd.upstream)
      continue;
    runs += 1;
    failures += hasSucceeded ? 0 : 1;
  }
  return failures / runs;
}

void
UpstreamHealth::RecordOutcome(const RunEnd& aEnd)
{
  const std::pair<TeamId, std::string> key(aEnd.team, aEnd.kind);
  if (kinds_.size() >= options_.maxKinds && !kinds_.contains(key))
    return;
  auto& outcomes = kinds_[key].outcomes;
  std::erase_if(outcomes, [&](const auto& aOutcome) {
    return aOutcome.first == aEnd.upstream;
  });
  if (outcomes.size() >= options_.maxComparedUpstreams)
    outcomes.erase(outcomes.begin());
  outcomes.emplace_back(aEnd.upstream, aEnd.hasSucceeded);
}

void
UpstreamHealth::Quarantine(const UpstreamId& aUpstream,
                           Health& aHealth,
                           Time aNow)
{
  aHealth.quarantine = std::clamp(
    aHealth.quarantine * 2, options_.minQuarantine, options_.maxQuarantine);
  aHealth.state = UpstreamState::Quarantined;
  aHealth.quarantineEnd = aNow + aHealth.quarantine;
  quarantined_.emplace(aHealth.quarantineEnd, aUpstream);
}

void
UpstreamHealth::RecordProbe(const RunEnd& aEnd, Health& aHealth, Time aNow)
{
  if (!aEnd.hasSucceeded) {
    // Work that fails on most upstreams says nothing about this one.
    if (ExpectedFailureRate(aEnd) <= kPriorFailures)
      Quarantine(aEnd.upstream, aHealth, aNow);
    return;
  }
  if (--aHealth.probesLeft > 0)
    return;
  aHealth.state = UpstreamState::Normal;
  aHealth.excessFailures = 0;
}

bool
UpstreamHealth::RecordEnd(const RunEnd& aEnd, Time aNow)
{
  Health& health = health_[aEnd.upstream];
  health.lastEnd = aNow;
  const UpstreamState before = health.state;
  const double failed = aEnd.hasSucceeded ? 0 : 1;
  health.excessFailures +=
    failed - ExpectedFailureRate(aEnd) - options_.failureRateTolerance;
  health.excessFailures = std::max(0.0, health.excessFailures);
  if (health.state == UpstreamState::Probing)
    RecordProbe(aEnd, health, aNow);
  else if (health.state == UpstreamState::Normal &&
           health.excessFailures >= options_.quarantineThreshold)
    Quarantine(aEnd.upstream, health, aNow);
  RecordOutcome(aEnd);
  if (aEnd.hasSucceeded) {
    const double ratio = static_cast<double>(aEnd.runTime.Millis()) /
                         static_cast<double>(std::max<std::int64_t>(
                           1, aEnd.expectedRunTime.Millis()));
    health.slowness +=
      kSlownessWeight * (std::min(ratio, kMaxSlowness) - health.slowness);
  }
  return aEnd.hasSucceeded || health.state != before;
}

UpstreamState
UpstreamHealth::StateOf(const UpstreamId& aUpstream) const
{
  const auto found = health_.find(aUpstream);
  return found == health_.end() ? UpstreamState::Normal : found->second.state;
}

double
UpstreamHealth::SlownessOf(const UpstreamId& aUpstream) const
{
  const auto found = health_.find(aUpstream);
  return found == health_.end() ? 1 : std::max(1.0, found->second.slowness);
}

std::vector<UpstreamId>
UpstreamHealth::StartDueProbes(Time aNow)
{
  std::vector<UpstreamId> released;
  while (!quarantined_.empty() && quarantined_.begin()->first <= aNow) {
    const UpstreamId upstream = quarantined_.begin()->second;
    quarantined_.erase(quarantined_.begin());
    Health& health = health_.at(upstream);
    health.state = UpstreamState::Probing;
    health.probesLeft = options_.requiredProbes;
    released.push_back(upstream);
  }
  std::erase_if(health_, [&](const auto& aEntry) {
    return aEntry.second.state == UpstreamState::Normal &&
           aEntry.second.lastEnd + options_.idleRetention <= aNow;
  });
  return released;
}
