#include "greengage/fleet/MovePlanner.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <map>
#include <optional>
#include <utility>

namespace greengage::fleet {

namespace {

/// A host that could be moved.
struct Candidate
{
  HostId host;
  AvailabilityZoneId zone;
  Time memberSince;
};

/// One pool as a plan changes it.
struct PoolBalance
{
  /// Hosts that it is meant to have.
  double targetHosts = 0;
  /// Hosts that serve it or are on their way to it.
  double assignedHosts = 0;
  /// Hosts that are away for maintenance and will soon be back.
  double hostsInMaintenance = 0;
  std::vector<Candidate> movable;
  std::map<AvailabilityZoneId, int> perZone;

  double Shortfall() const { return targetHosts - assignedHosts; }
};

using PoolBalances = std::map<PoolId, PoolBalance>;

PoolBalances
ComputeBalances(const MoveInput& aInput)
{
  PoolBalances stocks;
  stocks[aInput.sparePool];
  for (const auto& [host, member] : aInput.registry.Members()) {
    const PoolId& pool = member.move ? member.move->to : member.pool;
    const auto cause = aInput.budgets.CauseOf(host);
    if (cause == DownCause::Failed) {
      continue;
    }
    PoolBalance& stock = stocks[pool];
    if (cause == DownCause::InMaintenance || cause == DownCause::Granted) {
      stock.hostsInMaintenance += 1;
      continue;
    }
    const AvailabilityZoneId& zone = member.placement.availabilityZone;
    stock.assignedHosts += 1;
    ++stock.perZone[zone];
    if (!cause) {
      stock.movable.push_back(
        { .host = host, .zone = zone, .memberSince = member.memberSince });
    }
  }
  return stocks;
}

/// A plan in the making, with what it has changed so far.
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
  BudgetPicture budgets;
  std::vector<PlannedMove> moves;
};

/// Which hosts of working pools may be moved.
struct DonorCriteria
{
  /// They have been members since then.
  Time latestMemberSince;
  /// Their absence must fit into the budgets.
  bool mustFitBudgets = false;
};

bool
IsEligibleDonor(const PlanState& aDraft,
                const Candidate& aHost,
                const DonorCriteria& aRule)
{
  return aHost.memberSince <= aRule.latestMemberSince &&
         (!aRule.mustFitBudgets ||
          aDraft.budgets.MayTakeDown(aHost.host).empty());
}

/// Takes the host whose zone \p aTo has the fewest hosts in.
std::optional<Candidate>
TakeCandidate(PlanState& aDraft,
              const PoolId& aFrom,
              const PoolId& aTo,
              const DonorCriteria& aRule)
{
  std::vector<Candidate>& movable = aDraft.balances[aFrom].movable;
  const auto& perZone = aDraft.balances[aTo].perZone;
  auto best = movable.end();
  int fewest = std::numeric_limits<int>::max();
  for (auto it = movable.begin(); it != movable.end(); ++it) {
    auto found = perZone.find(it->zone);
    const int count = found == perZone.end() ? 0 : found->second;
    const bool mayGo =
      aFrom == aDraft.sparePool || IsEligibleDonor(aDraft, *it, aRule);
    if (count < fewest && mayGo) {
      fewest = count;
      best = it;
    }
  }
  if (best == movable.end()) {
    return std::nullopt;
  }
  Candidate taken = *best;
  movable.erase(best);
  return taken;
}

/// Moves one host in the plan, if there is one to move.
bool
TryPlanMove(PlanState& aDraft,
            const PoolId& aFrom,
            const PoolId& aTo,
            const DonorCriteria& aRule)
{
  const std::optional<Candidate> taken =
    TakeCandidate(aDraft, aFrom, aTo, aRule);
  if (!taken) {
    return false;
  }
  PoolBalance& from = aDraft.balances[aFrom];
  PoolBalance& to = aDraft.balances[aTo];
  from.assignedHosts -= 1;
  --from.perZone[taken->zone];
  to.assignedHosts += 1;
  ++to.perZone[taken->zone];
  aDraft.budgets.AssumeGranted(taken->host);
  aDraft.moves.push_back({ .host = taken->host, .from = aFrom, .to = aTo });
  return true;
}

/// The working pool for which a host more is worth the most, if for any it is
/// worth more than \p aCost.
template<typename Worth>
std::optional<PoolId>
PoolWithHighestBenefit(const PlanState& aDraft,
                       double aCost,
                       const Worth& aWorth)
{
  std::optional<PoolId> neediest;
  double most = aCost;
  for (const auto& [pool, stock] : aDraft.balances) {
    const double worth = pool == aDraft.sparePool ? 0 : aWorth(stock);
    if (worth > most) {
      most = worth;
      neediest = pool;
    }
  }
  return neediest;
}

/// The working pool with the most hosts over, if it has at least \p aSurplus.
std::optional<PoolId>
PoolWithLargestSurplus(const PlanState& aDraft, double aSurplus)
{
  std::optional<PoolId> richest;
  double most = aSurplus;
  for (const auto& [pool, stock] : aDraft.balances) {
    if (pool != aDraft.sparePool && -stock.Shortfall() >= most) {
      most = -stock.Shortfall();
      richest = pool;
    }
  }
  return richest;
}

void
SetTargetHosts(PoolBalances& aStocks,
               const MoveInput& aInput,
               double PoolDemand::*aWhich,
               double aHeadroom)
{
  const auto slots = static_cast<double>(aInput.slotsPerHost.Count());
  for (const auto& [pool, demand] : aInput.demand) {
    aStocks[pool].targetHosts = demand.*aWhich / slots * (1 + aHeadroom);
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
  assert(member && "a planned move names a known host");
  return { .host = aMove.host,
           .from = aMove.from,
           .to = aMove.to,
           .basedOn = member->epoch,
           .at = aNow };
}

std::vector<PlannedMove>
ReactiveMovePlanner::Plan(const MoveInput& aInput) const
{
  const DonorCriteria anyHost{ .latestMemberSince = kMaxTime,
                               .mustFitBudgets = false };
  PlanState draft(aInput);
  SetTargetHosts(draft.balances, aInput, demandMeasure_, 0);
  const auto worth = [](const PoolBalance& aStock) {
    return aStock.Shortfall();
  };
  while (const auto to = PoolWithHighestBenefit(draft, 0, worth)) {
    if (TryPlanMove(draft, aInput.sparePool, *to, anyHost)) {
      continue;
    }
    const auto from = PoolWithLargestSurplus(draft, 1);
    if (!from || !TryPlanMove(draft, *from, *to, anyHost)) {
      return draft.moves;
    }
  }
  while (const auto from = PoolWithLargestSurplus(draft, 1)) {
    if (!TryPlanMove(draft, *from, aInput.sparePool, anyHost)) {
      break;
    }
  }
  return draft.moves;
}

namespace {

double
ToHours(Duration aSpan)
{
  constexpr double kMillisPerHour = 3600.0 * 1000;
  return static_cast<double>(aSpan.Millis()) / kMillisPerHour;
}

/// The host hours of demand that one host more would meet.
double
HostHoursGained(const PoolBalance& aStock, const DampedMoveOptions& aOptions)
{
  const double missing = std::clamp(aStock.Shortfall(), 0.0, 1.0);
  const double lasting =
    std::clamp(aStock.Shortfall() - aStock.hostsInMaintenance, 0.0, 1.0);
  return lasting * ToHours(aOptions.minStay) +
         (missing - lasting) * ToHours(aOptions.maintenance);
}

} // namespace

std::vector<PlannedMove>
DampedMovePlanner::Plan(const MoveInput& aInput) const
{
  const DonorCriteria stayed{ .latestMemberSince =
                                aInput.now - options_.minStay,
                              .mustFitBudgets = true };
  const double cost = options_.weights.moves * ToHours(options_.moveCost);
  const auto worth = [this](const PoolBalance& aStock) {
    return options_.weights.closeness * HostHoursGained(aStock, options_);
  };
  PlanState draft(aInput);
  SetTargetHosts(draft.balances, aInput, &PoolDemand::mean, options_.headroom);
  while (const auto to = PoolWithHighestBenefit(draft, cost, worth)) {
    if (TryPlanMove(draft, aInput.sparePool, *to, stayed)) {
      continue;
    }
    const auto from = PoolWithLargestSurplus(draft, 1);
    if (!from || !TryPlanMove(draft, *from, *to, stayed)) {
      break;
    }
  }
  // What a pool gives back must be over in its high hours too.
  SetTargetHosts(
    draft.balances, aInput, &PoolDemand::highMean, options_.headroom);
  PoolBalance& spare = draft.balances[aInput.sparePool];
  spare.targetHosts = static_cast<double>(aInput.spareTarget.Count());
  while (spare.Shortfall() - spare.hostsInMaintenance >= 1) {
    const auto from = PoolWithLargestSurplus(draft, 1);
    if (!from || !TryPlanMove(draft, *from, aInput.sparePool, stayed)) {
      break;
    }
  }
  return draft.moves;
}

} // namespace greengage::fleet
