#include "greengage/dispatch/RequestRecords.h"

#include <xxhash.h>

#include <cassert>
#include <string>

using namespace greengage;
using namespace greengage::dispatch;

static std::size_t
AnswerBytes(const std::optional<Outcome>& aOutcome)
{
  if (!aOutcome)
    return 0;
  const auto* answered = std::get_if<Answered>(&*aOutcome);
  return answered == nullptr ? 0 : answered->payload.size();
}

RequestRecord*
RequestRecords::Find(const Key& aKey)
{
  const auto found = records_.find(aKey);
  return found == records_.end() ? nullptr : &found->second;
}

RequestRecord*
RequestRecords::Create(const Key& aKey, std::uint64_t aFingerprint)
{
  if (records_.size() >= options_.maxRecords)
    return nullptr;
  const auto [position, isNew] = records_.try_emplace(aKey);
  assert(isNew && "the request id already has a record");
  (void)isNew;
  position->second.fingerprint = aFingerprint;
  return &position->second;
}

void
RequestRecords::End(const Key& aKey, const Outcome& aOutcome, Time aNow)
{
  const auto found = records_.find(aKey);
  if (found == records_.end())
    return;
  if (std::holds_alternative<NotRun>(aOutcome)) {
    assert(!found->second.hasEnded &&
           "an ended request is reported as not run");
    records_.erase(found);
    return;
  }
  RequestRecord& record = found->second;
  if (record.hasEnded) {
    // A late answer replaces the Unknown outcome sent at the deadline.
    byEnd_.erase({ record.endedAt, aKey });
    withAnswer_.erase({ record.endedAt, aKey });
    answerBytes_ -= AnswerBytes(record.outcome);
  }
  record.hasEnded = true;
  record.endedAt = aNow;
  record.outcome = aOutcome;
  record.waiters.clear();
  byEnd_.emplace(aNow, aKey);
  withAnswer_.emplace(aNow, aKey);
  answerBytes_ += AnswerBytes(record.outcome);
  DropOldestAnswers();
}

void
RequestRecords::DropOldestAnswers()
{
  while (answerBytes_ > options_.maxAnswerBytes && !withAnswer_.empty()) {
    const Key key = withAnswer_.begin()->second;
    withAnswer_.erase(withAnswer_.begin());
    RequestRecord& record = records_.at(key);
    answerBytes_ -= AnswerBytes(record.outcome);
    record.outcome.reset();
  }
}

void
RequestRecords::Expire(Time aNow)
{
  while (!byEnd_.empty() &&
         byEnd_.begin()->first + options_.retention <= aNow) {
    const auto oldest = *byEnd_.begin();
    byEnd_.erase(byEnd_.begin());
    withAnswer_.erase(oldest);
    const auto found = records_.find(oldest.second);
    answerBytes_ -= AnswerBytes(found->second.outcome);
    records_.erase(found);
  }
}

std::uint64_t
greengage::dispatch::FingerprintOf(const Request& aRequest)
{
  const auto mix = [](std::uint64_t aSeed, const std::string& aText) {
    return XXH64(aText.data(), aText.size(), aSeed);
  };
  std::uint64_t hash = static_cast<std::uint64_t>(aRequest.idempotence);
  hash = mix(hash, aRequest.pool.Value());
  hash = mix(hash, aRequest.kind);
  return mix(hash, aRequest.payload);
}
