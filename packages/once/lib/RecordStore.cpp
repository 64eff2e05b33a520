#include "greengage/once/RecordStore.h"

#include <algorithm>
#include <cassert>
#include <utility>

using namespace greengage;
using namespace greengage::once;

static std::size_t
BytesOf(const std::optional<Outcome>& aOutcome)
{
  if (!aOutcome)
    return 0;
  const auto* answered = std::get_if<Answered>(&*aOutcome);
  return answered == nullptr ? 0 : answered->payload.size();
}

KeptRecord
KeeperStore::ToKept(const Records::value_type& aRecord, Time aNow)
{
  const Entry& entry = aRecord.second;
  return { .key = aRecord.first,
           .claim = entry.claim,
           .fingerprint = entry.fingerprint,
           .hasEnded = entry.hasEnded,
           .outcome = entry.outcome,
           .keep = entry.expiresAt - aNow };
}

Verdict
KeeperStore::Take(const Claim& aClaim, Time aNow)
{
  const auto found = records_.find(aClaim.key);
  if (found != records_.end())
    return found->second.claim == aClaim.claim &&
               found->second.others.empty() && !found->second.hasEnded
             ? Verdict::Granted
             : Verdict::Held;
  const std::size_t used = records_.size();
  const auto team = teams_.find(aClaim.key.team);
  const std::size_t own = team == teams_.end() ? 0 : team->second.records;
  if (used >= options_.maxRecords || own >= options_.maxRecords - used)
    return Verdict::Full;
  const Time expiresAt = aNow + aClaim.remaining + options_.retention;
  Entry& entry = Add(aClaim.key, expiresAt);
  entry.claim = aClaim.claim;
  entry.fingerprint = aClaim.fingerprint;
  return Verdict::Granted;
}

void
KeeperStore::Drop(const Release& aRelease)
{
  const auto found = records_.find(aRelease.key);
  if (found == records_.end() || found->second.hasEnded)
    return;
  Entry& entry = found->second;
  if (DropOther(entry, aRelease.claim) || entry.claim != aRelease.claim)
    return;
  if (entry.others.empty()) {
    Erase(found);
    return;
  }
  entry.claim = entry.others.back().claim;
  entry.fingerprint = entry.others.back().fingerprint;
  entry.others.pop_back();
}

bool
KeeperStore::DropOther(Entry& aEntry, const ClaimId& aClaim)
{
  const auto isClaim = [&](const OtherClaim& aOther) {
    return aOther.claim == aClaim;
  };
  return std::erase_if(aEntry.others, isClaim) > 0;
}

void
KeeperStore::End(const KeptRecord& aRecord, Time aNow)
{
  const Time expiresAt = aNow + std::min(aRecord.keep, options_.retention);
  auto found = records_.find(aRecord.key);
  if (found == records_.end()) {
    Add(aRecord.key, expiresAt);
    found = records_.find(aRecord.key);
  }
  Entry& entry = found->second;
  // A late answer replaces an unknown outcome, but an answer is final.
  if (entry.outcome && std::holds_alternative<Answered>(*entry.outcome))
    return;
  entry.claim = aRecord.claim;
  entry.fingerprint = aRecord.fingerprint;
  entry.hasEnded = true;
  entry.others.clear();
  SetExpiry(found, expiresAt);
  SetOutcome(found, aRecord.outcome);
}

void
KeeperStore::Merge(const KeptRecord& aRecord, Time aNow)
{
  if (aRecord.keep <= Duration(0))
    return;
  if (aRecord.hasEnded) {
    End(aRecord, aNow);
    return;
  }
  const auto found = records_.find(aRecord.key);
  if (found != records_.end()) {
    AddOther(found, aRecord, aNow);
    return;
  }
  Entry& entry = Add(aRecord.key, aNow + aRecord.keep);
  entry.claim = aRecord.claim;
  entry.fingerprint = aRecord.fingerprint;
}

void
KeeperStore::AddOther(Records::iterator aRecord,
                      const KeptRecord& aOther,
                      Time aNow)
{
  Entry& entry = aRecord->second;
  if (entry.hasEnded || entry.claim == aOther.claim)
    return;
  DropOther(entry, aOther.claim);
  entry.others.push_back(
    { .claim = aOther.claim, .fingerprint = aOther.fingerprint });
  SetExpiry(aRecord, std::max(entry.expiresAt, aNow + aOther.keep));
}

std::optional<KeptRecord>
KeeperStore::Find(const RecordKey& aKey, Time aNow) const
{
  const auto found = records_.find(aKey);
  if (found == records_.end())
    return std::nullopt;
  return ToKept(*found, aNow);
}

std::vector<KeptRecord>
KeeperStore::Page(const std::optional<RecordKey>& aAfter,
                  std::size_t aCount,
                  std::size_t aBytes,
                  Time aNow) const
{
  std::vector<KeptRecord> page;
  std::size_t bytes = 0;
  auto next = aAfter ? records_.upper_bound(*aAfter) : records_.begin();
  for (; next != records_.end(); ++next) {
    if (page.size() >= aCount || bytes >= aBytes)
      break;
    page.push_back(ToKept(*next, aNow));
    for (const OtherClaim& other : next->second.others) {
      page.push_back(page.back());
      page.back().claim = other.claim;
      page.back().fingerprint = other.fingerprint;
    }
    bytes += BytesOf(next->second.outcome);
  }
  return page;
}

void
KeeperStore::Expire(Time aNow)
{
  while (!byExpiry_.empty() && byExpiry_.begin()->first <= aNow)
    Erase(records_.find(*byExpiry_.begin()->second));
}

KeeperStore::Entry&
KeeperStore::Add(const RecordKey& aKey, Time aExpiresAt)
{
  const auto [place, isNew] = records_.try_emplace(aKey);
  assert(isNew && "request id has a record already");
  (void)isNew;
  place->second.expiresAt = aExpiresAt;
  byExpiry_.emplace(aExpiresAt, &place->first);
  ++teams_[aKey.team].records;
  return place->second;
}

void
KeeperStore::SetExpiry(Records::iterator aRecord, Time aExpiresAt)
{
  byExpiry_.erase({ aRecord->second.expiresAt, &aRecord->first });
  aRecord->second.expiresAt = aExpiresAt;
  byExpiry_.emplace(aExpiresAt, &aRecord->first);
}

void
KeeperStore::SetOutcome(Records::iterator aRecord,
                        std::optional<Outcome> aOutcome)
{
  TeamUse& team = teams_[aRecord->first.team];
  const std::size_t before = BytesOf(aRecord->second.outcome);
  const std::size_t after = BytesOf(aOutcome);
  aRecord->second.outcome = std::move(aOutcome);
  team.answerBytes = team.answerBytes - before + after;
  answerBytes_ = answerBytes_ - before + after;
  if (after == 0)
    return;
  team.ended.push_back(aRecord->first.id);
  DropOldestAnswers(aRecord->first.team);
}

/// Evicts the oldest answers of \p aTeam, which has just added one. The answers
/// of other teams are not affected.
void
KeeperStore::DropOldestAnswers(const TeamId& aTeam)
{
  TeamUse& team = teams_.at(aTeam);
  const auto isTooMuch = [&] {
    return answerBytes_ + team.answerBytes > options_.maxAnswerBytes;
  };
  while (isTooMuch() && !team.ended.empty()) {
    const RecordKey key{ .team = aTeam, .id = team.ended.front() };
    team.ended.pop_front();
    const auto found = records_.find(key);
    if (found != records_.end())
      SetOutcome(found, std::nullopt);
  }
}

void
KeeperStore::Erase(Records::iterator aRecord)
{
  const auto team = teams_.find(aRecord->first.team);
  const std::size_t bytes = BytesOf(aRecord->second.outcome);
  answerBytes_ -= bytes;
  team->second.answerBytes -= bytes;
  byExpiry_.erase({ aRecord->second.expiresAt, &aRecord->first });
  records_.erase(aRecord);
  if (--team->second.records == 0) {
    teams_.erase(team);
    return;
  }
  auto& ended = team->second.ended;
  while (!ended.empty() && !records_.contains({ team->first, ended.front() }))
    ended.pop_front();
}
