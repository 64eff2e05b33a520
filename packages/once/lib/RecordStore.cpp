#include "greengage/once/RecordStore.h"

#include <algorithm>
#include <cassert>
#include <utility>

using namespace greengage;
using namespace greengage::once;

static std::size_t
AnswerSizeOf(const std::optional<Outcome>& aOutcome)
{
  if (!aOutcome)
    return 0;
  const auto* answered = std::get_if<Answered>(&*aOutcome);
  return answered == nullptr ? 0 : answered->payload.size();
}

ReplicaRecord
RecordStore::MakeRecord(const Records::value_type& aRecord, Time aNow)
{
  const Entry& entry = aRecord.second;
  return { .key = aRecord.first,
           .claim = entry.claim,
           .fingerprint = entry.fingerprint,
           .hasEnded = entry.hasEnded,
           .outcome = entry.outcome,
           .timeToLive = entry.expiresAt - aNow };
}

Verdict
RecordStore::TryClaim(const Claim& aClaim, Time aNow)
{
  const auto found = records_.find(aClaim.key);
  if (found != records_.end())
    return found->second.claim == aClaim.claim &&
               found->second.conflictingClaims.empty() &&
               !found->second.hasEnded
             ? Verdict::Granted
             : Verdict::Conflict;
  const std::size_t recordCount = records_.size();
  const auto team = usageByTeam_.find(aClaim.key.team);
  const std::size_t teamRecords =
    team == usageByTeam_.end() ? 0 : team->second.records;
  if (recordCount >= options_.maxRecords ||
      teamRecords >= options_.maxRecords - recordCount)
    return Verdict::AtCapacity;
  const Time expiresAt = aNow + aClaim.remaining + options_.retention;
  Entry& entry = Insert(aClaim.key, expiresAt);
  entry.claim = aClaim.claim;
  entry.fingerprint = aClaim.fingerprint;
  return Verdict::Granted;
}

void
RecordStore::RemoveClaim(const ReleaseClaim& aRelease)
{
  const auto found = records_.find(aRelease.key);
  if (found == records_.end() || found->second.hasEnded)
    return;
  Entry& entry = found->second;
  if (RemoveConflictingClaim(entry, aRelease.claim) ||
      entry.claim != aRelease.claim)
    return;
  if (entry.conflictingClaims.empty()) {
    Erase(found);
    return;
  }
  entry.claim = entry.conflictingClaims.back().claim;
  entry.fingerprint = entry.conflictingClaims.back().fingerprint;
  entry.conflictingClaims.pop_back();
}

bool
RecordStore::RemoveConflictingClaim(Entry& aEntry, const ClaimId& aClaim)
{
  const auto isClaim = [&](const ConflictingClaim& aOther) {
    return aOther.claim == aClaim;
  };
  return std::erase_if(aEntry.conflictingClaims, isClaim) > 0;
}

void
RecordStore::Complete(const ReplicaRecord& aRecord, Time aNow)
{
  const Time expiresAt =
    aNow + std::min(aRecord.timeToLive, options_.retention);
  auto found = records_.find(aRecord.key);
  if (found == records_.end()) {
    Insert(aRecord.key, expiresAt);
    found = records_.find(aRecord.key);
  }
  Entry& entry = found->second;
  // A late answer replaces an unknown outcome, but an answer is final.
  if (entry.outcome && std::holds_alternative<Answered>(*entry.outcome))
    return;
  entry.claim = aRecord.claim;
  entry.fingerprint = aRecord.fingerprint;
  entry.hasEnded = true;
  entry.conflictingClaims.clear();
  SetExpiry(found, expiresAt);
  SetOutcome(found, aRecord.outcome);
}

void
RecordStore::Merge(const ReplicaRecord& aRecord, Time aNow)
{
  if (aRecord.timeToLive <= Duration(0))
    return;
  if (aRecord.hasEnded) {
    Complete(aRecord, aNow);
    return;
  }
  const auto found = records_.find(aRecord.key);
  if (found != records_.end()) {
    AddConflictingClaim(found, aRecord, aNow);
    return;
  }
  Entry& entry = Insert(aRecord.key, aNow + aRecord.timeToLive);
  entry.claim = aRecord.claim;
  entry.fingerprint = aRecord.fingerprint;
}

void
RecordStore::AddConflictingClaim(Records::iterator aRecord,
                                 const ReplicaRecord& aOther,
                                 Time aNow)
{
  Entry& entry = aRecord->second;
  if (entry.hasEnded || entry.claim == aOther.claim)
    return;
  RemoveConflictingClaim(entry, aOther.claim);
  entry.conflictingClaims.push_back(
    { .claim = aOther.claim, .fingerprint = aOther.fingerprint });
  SetExpiry(aRecord, std::max(entry.expiresAt, aNow + aOther.timeToLive));
}

std::optional<ReplicaRecord>
RecordStore::Find(const RequestKey& aKey, Time aNow) const
{
  const auto found = records_.find(aKey);
  if (found == records_.end())
    return std::nullopt;
  return MakeRecord(*found, aNow);
}

std::vector<ReplicaRecord>
RecordStore::ReadPage(const std::optional<RequestKey>& aAfter,
                      std::size_t aMaxRecords,
                      std::size_t aMaxBytes,
                      Time aNow) const
{
  std::vector<ReplicaRecord> page;
  std::size_t bytes = 0;
  auto next = aAfter ? records_.upper_bound(*aAfter) : records_.begin();
  for (; next != records_.end(); ++next) {
    if (page.size() >= aMaxRecords || bytes >= aMaxBytes)
      break;
    page.push_back(MakeRecord(*next, aNow));
    for (const ConflictingClaim& other : next->second.conflictingClaims) {
      page.push_back(page.back());
      page.back().claim = other.claim;
      page.back().fingerprint = other.fingerprint;
    }
    bytes += AnswerSizeOf(next->second.outcome);
  }
  return page;
}

void
RecordStore::RemoveExpired(Time aNow)
{
  while (!byExpiry_.empty() && byExpiry_.begin()->first <= aNow)
    Erase(records_.find(*byExpiry_.begin()->second));
}

RecordStore::Entry&
RecordStore::Insert(const RequestKey& aKey, Time aExpiresAt)
{
  const auto [position, isNew] = records_.try_emplace(aKey);
  assert(isNew && "request id has a record already");
  (void)isNew;
  position->second.expiresAt = aExpiresAt;
  byExpiry_.emplace(aExpiresAt, &position->first);
  ++usageByTeam_[aKey.team].records;
  return position->second;
}

void
RecordStore::SetExpiry(Records::iterator aRecord, Time aExpiresAt)
{
  byExpiry_.erase({ aRecord->second.expiresAt, &aRecord->first });
  aRecord->second.expiresAt = aExpiresAt;
  byExpiry_.emplace(aExpiresAt, &aRecord->first);
}

void
RecordStore::SetOutcome(Records::iterator aRecord,
                        std::optional<Outcome> aOutcome)
{
  TeamUsage& team = usageByTeam_[aRecord->first.team];
  const std::size_t before = AnswerSizeOf(aRecord->second.outcome);
  const std::size_t after = AnswerSizeOf(aOutcome);
  aRecord->second.outcome = std::move(aOutcome);
  team.answerBytes = team.answerBytes - before + after;
  answerBytes_ = answerBytes_ - before + after;
  if (after == 0)
    return;
  team.answeredRequests.push_back(aRecord->first.id);
  EvictOldestAnswers(aRecord->first.team);
}

/// Evicts the oldest answers of \p aTeam, which has just added one. The answers
/// of other teams are not affected.
void
RecordStore::EvictOldestAnswers(const TeamId& aTeam)
{
  TeamUsage& team = usageByTeam_.at(aTeam);
  const auto exceedsLimit = [&] {
    return answerBytes_ + team.answerBytes > options_.maxAnswerBytes;
  };
  while (exceedsLimit() && !team.answeredRequests.empty()) {
    const RequestKey key{ .team = aTeam, .id = team.answeredRequests.front() };
    team.answeredRequests.pop_front();
    const auto found = records_.find(key);
    if (found != records_.end())
      SetOutcome(found, std::nullopt);
  }
}

void
RecordStore::Erase(Records::iterator aRecord)
{
  const auto team = usageByTeam_.find(aRecord->first.team);
  const std::size_t bytes = AnswerSizeOf(aRecord->second.outcome);
  answerBytes_ -= bytes;
  team->second.answerBytes -= bytes;
  byExpiry_.erase({ aRecord->second.expiresAt, &aRecord->first });
  records_.erase(aRecord);
  if (--team->second.records == 0) {
    usageByTeam_.erase(team);
    return;
  }
  auto& requestIds = team->second.answeredRequests;
  while (!requestIds.empty() &&
         !records_.contains({ team->first, requestIds.front() }))
    requestIds.pop_front();
}
