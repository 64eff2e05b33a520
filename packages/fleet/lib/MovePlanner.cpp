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
struct PoolStock
{
  /// Hosts that it is meant to have.
  double need = 0;
  /// Hosts that serve it or are on their way to it.
  double have = 0;
  /// Hosts that are away for maintenance and will soon be back.
  double away = 0;
  std::vector<Candidate> movable;
  std::map<AvailabilityZoneId, int> perZone;

  double Missing() const { return need - have; }
};

using Stocks = std::map<PoolId, PoolStock>;

Stocks
StocksOf(const MoveInput& aInput)
{
  Stocks stocks;
  stocks[aInput.sparePool];
  for (const auto& [host, member] : aInput.registry.Members()) {
    const PoolId& pool = member.move ? member.move->to : member.pool;
    const auto cause = aInput.budgets.CauseOf(host);
    if (cause == DownCause::Failed) {
      continue;
    }
    PoolStock& stock = stocks[pool];
    if (cause == DownCause::InMaintenance || cause == DownCause::Granted) {
      stock.away += 1;
      continue;
    }
    const AvailabilityZoneId& zone = member.placement.availabilityZone;
    stock.have += 1;
    ++stock.perZone[zone];
    if (!cause) {
      stock.movable.push_back(
        { .host = host, .zone = zone, .memberSince = member.memberSince });
    }
  }
  return stocks;
}

/// A plan in the making, with what it has changed so far.
struct Draft
{
  explicit Draft(const MoveInput& aInput)
    : sparePool(aInput.sparePool)
    , stocks(StocksOf(aInput))
    , budgets(aInput.budgets)
  {
  }

  PoolId sparePool;
  Stocks stocks;
  BudgetPicture budgets;
  std::vector<PlannedMove> moves;
};

/// Which hosts of working pools may be moved.
struct DonorRule
{
  /// They have been members since then.
  Time memberSince;
  /// Their absence must fit into the budgets.
  bool asksBudgets = false;
};

bool
MayGive(const Draft& aDraft, const Candidate& aHost, const DonorRule& aRule)
{
  return aHost.memberSince <= aRule.memberSince &&
         (!aRule.asksBudgets || aDraft.budgets.MayTakeDown(aHost.host).empty());
}

/// Takes the host whose zone \p aTo has the fewest hosts in.
std::optional<Candidate>
TakeCandidate(Draft& aDraft,
              const PoolId& aFrom,
              const PoolId& aTo,
              const DonorRule& aRule)
{
  std::vector<Candidate>& movable = aDraft.stocks[aFrom].movable;
  const auto& perZone = aDraft.stocks[aTo].perZone;
  auto best = movable.end();
  int fewest = std::numeric_limits<int>::max();
  for (auto it = movable.begin(); it != movable.end(); ++it) {
    auto found = perZone.find(it->zone);
    const int count = found == perZone.end() ? 0 : found->second;
    const bool mayGo = aFrom == aDraft.sparePool || MayGive(aDraft, *it, aRule);
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
MoveOne(Draft& aDraft,
        const PoolId& aFrom,
        const PoolId& aTo,
        const DonorRule& aRule)
{
  const std::optional<Candidate> taken =
    TakeCandidate(aDraft, aFrom, aTo, aRule);
  if (!taken) {
    return false;
  }
  PoolStock& from = aDraft.stocks[aFrom];
  PoolStock& to = aDraft.stocks[aTo];
  from.have -= 1;
  --from.perZone[taken->zone];
  to.have += 1;
  ++to.perZone[taken->zone];
  aDraft.budgets.AssumeGranted(taken->host);
  aDraft.moves.push_back({ .host = taken->host, .from = aFrom, .to = aTo });
  return true;
}

/// The working pool for which a host more is worth the most, if for any it is
/// worth more than \p aCost.
template<typename Worth>
std::optional<PoolId>
NeediestPool(const Draft& aDraft, double aCost, const Worth& aWorth)
{
  std::optional<PoolId> neediest;
  double most = aCost;
  for (const auto& [pool, stock] : aDraft.stocks) {
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
RichestPool(const Draft& aDraft, double aSurplus)
{
  std::optional<PoolId> richest;
  double most = aSurplus;
  for (const auto& [pool, stock] : aDraft.stocks) {
    if (pool != aDraft.sparePool && -stock.Missing() >= most) {
      most = -stock.Missing();
      richest = pool;
    }
  }
  return richest;
}

void
SetNeeds(Stocks& aStocks,
         const MoveInput& aInput,
         double PoolDemand::*aWhich,
         double aHeadroom)
{
  const auto slots = static_cast<double>(aInput.slotsPerHost.Count());
  for (const auto& [pool, demand] : aInput.demand) {
    aStocks[pool].need = demand.*aWhich / slots * (1 + aHeadroom);
  }
}

constexpr Time kEndOfTime(std::numeric_limits<std::int64_t>::max());

} // namespace

BeginMove
CommandOf(const PlannedMove& aMove, const PoolRegistry& aRegistry, Time aNow)
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
  const DonorRule anyHost{ .memberSince = kEndOfTime, .asksBudgets = false };
  Draft draft(aInput);
  SetNeeds(draft.stocks, aInput, measure_, 0);
  const auto worth = [](const PoolStock& aStock) { return aStock.Missing(); };
  while (const auto to = NeediestPool(draft, 0, worth)) {
    if (MoveOne(draft, aInput.sparePool, *to, anyHost)) {
      continue;
    }
    const auto from = RichestPool(draft, 1);
    if (!from || !MoveOne(draft, *from, *to, anyHost)) {
      return draft.moves;
    }
  }
  while (const auto from = RichestPool(draft, 1)) {
    if (!MoveOne(draft, *from, aInput.sparePool, anyHost)) {
      break;
    }
  }
  return draft.moves;
}

namespace {

double
HoursOf(Duration aSpan)
{
  constexpr double kMillisPerHour = 3600.0 * 1000;
  return static_cast<double>(aSpan.Millis()) / kMillisPerHour;
}

/// The host hours of demand that one host more would meet.
double
HoursMet(const PoolStock& aStock, const DampedMoveOptions& aOptions)
{
  const double missing = std::clamp(aStock.Missing(), 0.0, 1.0);
  const double lasting = std::clamp(aStock.Missing() - aStock.away, 0.0, 1.0);
  return lasting * HoursOf(aOptions.minStay) +
         (missing - lasting) * HoursOf(aOptions.maintenance);
}

} // namespace

std::vector<PlannedMove>
DampedMovePlanner::Plan(const MoveInput& aInput) const
{
  const DonorRule stayed{ .memberSince = aInput.now - options_.minStay,
                          .asksBudgets = true };
  const double cost = options_.weights.moves * HoursOf(options_.moveCost);
  const auto worth = [this](const PoolStock& aStock) {
    return options_.weights.closeness * HoursMet(aStock, options_);
  };
  Draft draft(aInput);
  SetNeeds(draft.stocks, aInput, &PoolDemand::mean, options_.headroom);
  while (const auto to = NeediestPool(draft, cost, worth)) {
    if (MoveOne(draft, aInput.sparePool, *to, stayed)) {
      continue;
    }
    const auto from = RichestPool(draft, 1);
    if (!from || !MoveOne(draft, *from, *to, stayed)) {
      break;
    }
  }
  // What a pool gives back must be over in its high hours too.
  SetNeeds(draft.stocks, aInput, &PoolDemand::highMean, options_.headroom);
  PoolStock& spare = draft.stocks[aInput.sparePool];
  spare.need = static_cast<double>(aInput.spareTarget.Count());
  while (spare.Missing() - spare.away >= 1) {
    const auto from = RichestPool(draft, 1);
    if (!from || !MoveOne(draft, *from, aInput.sparePool, stayed)) {
      break;
    }
  }
  return draft.moves;
}

} // namespace greengage::fleet
