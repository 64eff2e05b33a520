#include "greengage/dispatch/LimitLedger.h"

#include <xxhash.h>

#include <cassert>

using namespace greengage;
using namespace greengage::dispatch;

Slots
greengage::dispatch::EvenQuota(Slots aLimit,
                               const TeamId& aTeam,
                               const SplitOptions& aOptions)
{
  const auto hosts = static_cast<std::int64_t>(aOptions.hosts);
  const std::int64_t even = aLimit.Count() / hosts;
  const std::int64_t remainder = aLimit.Count() % hosts;
  // The hash of the team decides which hosts get the remainder, so that the
  // small limits of many teams don't all go to the first hosts.
  const std::string& team = aTeam.Value();
  const auto offset = static_cast<std::int64_t>(
    XXH64(team.data(), team.size(), 0) % aOptions.hosts);
  const auto position =
    (static_cast<std::int64_t>(aOptions.rank) + offset) % hosts;
  return Slots(even + (position < remainder ? 1 : 0));
}

void
StaticSplitLedger::Update(const state::FleetView& aView)
{
  for (auto& [team, account] : accounts_)
    if (!aView.teams.contains(team))
      account.quota = Slots(0);
  for (const auto& [team, policy] : aView.teams)
    accounts_[team].quota = EvenQuota(policy.limit, team, options_);
}

bool
StaticSplitLedger::TryAcquire(const TeamId& aTeam)
{
  if (!CanAcquire(aTeam))
    return false;
  accounts_[aTeam].running += Slots(1);
  return true;
}

void
StaticSplitLedger::Release(const TeamId& aTeam)
{
  Account& account = accounts_[aTeam];
  assert(account.running > Slots(0) && "Release without a matching TryAcquire");
  account.running -= Slots(1);
}

bool
StaticSplitLedger::CanAcquire(const TeamId& aTeam) const
{
  const auto found = accounts_.find(aTeam);
  return found != accounts_.end() &&
         found->second.running < found->second.quota;
}
