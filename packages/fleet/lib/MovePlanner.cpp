#include "greengage/fleet/MovePlanner.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <map>
#include <optional>
#include <utility>

namespace greengage::fleet {

namespace {

/// A host that could be moved: it is up, has no claim and is not moving.
struct Candidate
{
  HostId host;
  AvailabilityZoneId zone;
  Time memberSince;
};

/// The target and actual size of one pool, updated as moves are planned.
struct PoolBalance
{
  /// The number of hosts that the demand requires.
  double targetHosts = 0;
  /// Hosts that serve the pool or are moving to it, including watched ones.
  double assignedHosts = 0;
  /// Hosts in maintenance or granted for it, which return within a short time.
  double hostsInMaintenance = 0;
  std::vector<Candidate> movable;
  std::map<AvailabilityZoneId, int> perZone;

  double Shortfall() const { return targetHosts - assignedHosts; }
};

using PoolBalances = std::map<PoolId, PoolBalance>;

PoolBalances
ComputeBalances(const MoveInput& aInput)
{
  PoolBalances balances;
  balances[aInput.sparePool];
  for (const auto& [host, member] : aInput.registry.Members()) {
    const PoolId& pool = member.move ? member.move->to : member.pool;
    const auto cause = aInput.budgets.DownCauseOf(host);
    if (cause == DownCause::Failed) {
      continue;
    }
    PoolBalance& balance = balances[pool];
    if (cause == DownCause::InMaintenance || cause == DownCause::Granted) {
      balance.hostsInMaintenance += 1;
      continue;
    }
    const AvailabilityZoneId& zone = member.placement.availabilityZone;
    balance.assignedHosts += 1;
    ++balance.perZone[zone];
    if (!cause) {
      balance.movable.push_back(
        { .host = host, .zone = zone, .memberSince = member.memberSince });
    }
  }
  return balances;
}

/// A plan under construction, and the pool balances and budget usage that
/// result from the moves planned so far.
struct PlanState
{
  explicit PlanState(const MoveInput& aInput)
    : sparePool(aInput.sparePool)
    , balances(ComputeBalances(aInput))
    , budgets(aInput.budgets)
  {
  }

  PoolId sparePool;
  PoolBalances balances;
  BudgetSnapshot budgets;
  std::vector<PlannedMove> moves;
};

/// Which hosts of the working pools may be moved; spare hosts always may.
struct DonorCriteria
{
  /// The host joined its pool at this time or earlier.
  Time latestMemberSince;
  /// Taking the host down must be within the budgets.
  bool mustFitBudgets = false;
};

bool
IsEligibleDonor(const PlanState& aState,
                const Candidate& aHost,
                const DonorCriteria& aCriteria)
{
  return aHost.memberSince <= aCriteria.latestMemberSince &&
         (!aCriteria.mustFitBudgets ||
          aState.budgets.CheckTakedown(aHost.host).empty());
}

/// Removes and returns the eligible host of \p aFrom in the zone where \p aTo
/// has the fewest hosts, to keep the pool spread over zones.
std::optional<Candidate>
TakeCandidate(PlanState& aState,
              const PoolId& aFrom,
              const PoolId& aTo,
              const DonorCriteria& aCriteria)
{
  std::vector<Candidate>& movable = aState.balances[aFrom].movable;
  const auto& perZone = aState.balances[aTo].perZone;
  auto best = movable.end();
  int fewest = std::numeric_limits<int>::max();
  for (auto it = movable.begin(); it != movable.end(); ++it) {
    auto found = perZone.find(it->zone);
    const int count = found == perZone.end() ? 0 : found->second;
    const bool isEligible =
      aFrom == aState.sparePool || IsEligibleDonor(aState, *it, aCriteria);
    if (count < fewest && isEligible) {
      fewest = count;
      best = it;
    }
  }
  if (best == movable.end()) {
    return std::nullopt;
  }
  Candidate candidate = *best;
  movable.erase(best);
  return candidate;
}

/// Adds one move to the plan. Returns false if no host is eligible.
bool
TryPlanMove(PlanState& aState,
            const PoolId& aFrom,
            const PoolId& aTo,
            const DonorCriteria& aCriteria)
{
  const std::optional<Candidate> candidate =
    TakeCandidate(aState, aFrom, aTo, aCriteria);
  if (!candidate) {
    return false;
  }
  PoolBalance& from = aState.balances[aFrom];
  PoolBalance& to = aState.balances[aTo];
  from.assignedHosts -= 1;
  --from.perZone[candidate->zone];
  to.assignedHosts += 1;
  ++to.perZone[candidate->zone];
  aState.budgets.CountAsGranted(candidate->host);
  aState.moves.push_back({ .host = candidate->host, .from = aFrom, .to = aTo });
  return true;
}

/// Returns the working pool with the highest benefit of an additional host, if
/// that exceeds \p aCost.
template<typename Benefit>
std::optional<PoolId>
PoolWithHighestBenefit(const PlanState& aState,
                       double aCost,
                       const Benefit& aBenefit)
{
  std::optional<PoolId> neediestPool;
  double highest = aCost;
  for (const auto& [pool, balance] : aState.balances) {
    const double benefit = pool == aState.sparePool ? 0 : aBenefit(balance);
    if (benefit > highest) {
      highest = benefit;
      neediestPool = pool;
    }
  }
  return neediestPool;
}

/// Returns the working pool with the largest surplus of hosts, if that is at
/// least \p aSurplus.
std::optional<PoolId>
PoolWithLargestSurplus(const PlanState& aState, double aSurplus)
{
  std::optional<PoolId> richestPool;
  double highest = aSurplus;
  for (const auto& [pool, balance] : aState.balances) {
    if (pool != aState.sparePool && -balance.Shortfall() >= highest) {
      highest = -balance.Shortfall();
      richestPool = pool;
    }
  }
  return richestPool;
}

void
SetTargetHosts(PoolBalances& aBalances,
               const MoveInput& aInput,
               double PoolDemand::*aMeasure,
               double aHeadroom)
{
  const auto slots = static_cast<double>(aInput.slotsPerHost.Count());
  for (const auto& [pool, demand] : aInput.demand) {
    aBalances[pool].targetHosts = demand.*aMeasure / slots * (1 + aHeadroom);
  }
}

constexpr Time kMaxTime(std::numeric_limits<std::int64_t>::max());

} // namespace

BeginMove
MakeBeginMove(const PlannedMove& aMove,
              const PoolRegistry& aRegistry,
              Time aNow)
{
  const Membership* member = aRegistry.Find(aMove.host);
  assert(member && "the host of a planned move must be registered");
  return { .host = aMove.host,
           .from = aMove.from,
           .to = aMove.to,
           .expectedEpoch = member->epoch,
           .at = aNow };
}

std::vector<PlannedMove>
ReactiveMovePlanner::Plan(const MoveInput& aInput) const
{
  const DonorCriteria anyDonor{ .latestMemberSince = kMaxTime,
                                .mustFitBudgets = false };
  PlanState state(aInput);
  SetTargetHosts(state.balances, aInput, demandMeasure_, 0);
  const auto benefit = [](const PoolBalance& aBalance) {
    return aBalance.Shortfall();
  };
  while (const auto to = PoolWithHighestBenefit(state, 0, benefit)) {
    if (TryPlanMove(state, aInput.sparePool, *to, anyDonor)) {
      continue;
    }
    const auto from = PoolWithLargestSurplus(state, 1);
    if (!from || !TryPlanMove(state, *from, *to, anyDonor)) {
      return state.moves;
    }
  }
  while (const auto from = PoolWithLargestSurplus(state, 1)) {
    if (!TryPlanMove(state, *from, aInput.sparePool, anyDonor)) {
      break;
    }
  }
  return state.moves;
}

namespace {

double
ToHours(Duration aDuration)
{
  constexpr double kMillisPerHour = 3600.0 * 1000;
  return static_cast<double>(aDuration.Millis()) / kMillisPerHour;
}

/// Returns the host-hours of demand that one additional host would serve during
/// its minimum stay. A shortfall that hosts in maintenance will cover lasts
/// only until they return.
double
HostHoursGained(const PoolBalance& aBalance,
                const HysteresisMoveOptions& aOptions)
{
  const double shortfall = std::clamp(aBalance.Shortfall(), 0.0, 1.0);
  const double lastingShortfall =
    std::clamp(aBalance.Shortfall() - aBalance.hostsInMaintenance, 0.0, 1.0);
  return lastingShortfall * ToHours(aOptions.minStay) +
         (shortfall - lastingShortfall) * ToHours(aOptions.maintenance);
}

} // namespace

std::vector<PlannedMove>
HysteresisMovePlanner::Plan(const MoveInput& aInput) const
{
  const DonorCriteria settledDonors{ .latestMemberSince =
                                       aInput.now - options_.minStay,
                                     .mustFitBudgets = true };
  const double cost = options_.weights.moves * ToHours(options_.moveCost);
  const auto benefit = [this](const PoolBalance& aBalance) {
    return options_.weights.closenessToShare *
           HostHoursGained(aBalance, options_);
  };
  PlanState state(aInput);
  SetTargetHosts(state.balances, aInput, &PoolDemand::mean, options_.headroom);
  while (const auto to = PoolWithHighestBenefit(state, cost, benefit)) {
    if (TryPlanMove(state, aInput.sparePool, *to, settledDonors)) {
      continue;
    }
    const auto from = PoolWithLargestSurplus(state, 1);
    if (!from || !TryPlanMove(state, *from, *to, settledDonors)) {
      break;
    }
  }
  // A pool returns hosts only if it has a surplus at peak demand too.
  SetTargetHosts(
    state.balances, aInput, &PoolDemand::peakMean, options_.headroom);
  PoolBalance& spare = state.balances[aInput.sparePool];
  spare.targetHosts = static_cast<double>(aInput.spareTarget.Count());
  while (spare.Shortfall() - spare.hostsInMaintenance >= 1) {
    const auto from = PoolWithLargestSurplus(state, 1);
    if (!from || !TryPlanMove(state, *from, aInput.sparePool, settledDonors)) {
      break;
    }
  }
  return state.moves;
}

} // namespace greengage::fleet
