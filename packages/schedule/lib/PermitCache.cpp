#include "greengage/schedule/PermitCache.h"

#include "greengage/observe/Log.h"

#include <algorithm>

using namespace greengage;
using namespace greengage::schedule;

/// The maximum number of workers in one call. A call about 30 workers still
/// leaves a step enough time to meet its objective.
static constexpr std::size_t kMaxWorkersPerCall = 30;
/// Extra workers to ask about, since the adviser forbids some.
static constexpr std::size_t kSpareWorkers = 2;
/// The minimum remaining validity of a permit: two log commits and the network
/// latency to the worker.
static constexpr Duration kPermitMargin = Duration(200);
/// Margin in the call timeout for queueing behind other calls at the
/// adviser.
static constexpr Duration kQueueingAllowance = Duration(1000);
/// Delay before the next call after a failed one.
static constexpr Duration kRetryInterval = Duration(200);

PermitCache::PermitCache(Outbox& aOutbox)
  : outbox_(aOutbox)
{
}

void
PermitCache::Clear()
{
  verdicts_.clear();
  pendingCall_.reset();
  nextCallAt_ = Time(0);
}

void
PermitCache::DropJob(jobs::JobId aJob)
{
  auto it = verdicts_.lower_bound({ .job = aJob });
  while (it != verdicts_.end() && it->first.job == aJob)
    it = verdicts_.erase(it);
}

void
PermitCache::ExpirePermits(const jobs::WorkerId& aWorker)
{
  for (auto& [step, verdicts] : verdicts_)
    if (const auto found = verdicts.find(aWorker); found != verdicts.end())
      found->second.permitExpiry = Time(0);
  // The pending reply may contain a permit for the previous incarnation.
  if (pendingCall_)
    std::erase(pendingCall_->workers, aWorker);
}

void
PermitCache::DropVerdict(const jobs::StepId& aStep,
                         const jobs::WorkerId& aWorker)
{
  const auto step = verdicts_.find(aStep);
  if (step != verdicts_.end())
    step->second.erase(aWorker);
}

std::optional<Permit>
PermitCache::FindPermit(const jobs::StepId& aStep,
                        const jobs::WorkerId& aWorker,
                        Time aNow) const
{
  const auto step = verdicts_.find(aStep);
  if (step == verdicts_.end())
    return std::nullopt;
  const auto found = step->second.find(aWorker);
  if (found == step->second.end() || !found->second.isPermitted ||
      found->second.permitExpiry <= aNow)
    return std::nullopt;
  return found->second.permit;
}

void
PermitCache::RequestPermits(const jobs::StepId& aStep,
                            const std::vector<jobs::WorkerId>& aWorkers,
                            std::size_t aWorkersNeeded,
                            const jobs::PlacementPolicy& aPolicy,
                            Time aNow)
{
  if (pendingCall_ || nextCallAt_ > aNow)
    return;
  const auto& known = verdicts_[aStep];
  AdviceCall call{ .id = AdviceCallId(lastCallId_ + 1),
                   .step = aStep,
                   .workers = {},
                   .timeout = {} };
  const std::size_t limit =
    std::min(aWorkersNeeded + kSpareWorkers, kMaxWorkersPerCall);
  for (const jobs::WorkerId& worker : aWorkers) {
    if (call.workers.size() >= limit)
      break;
    const auto found = known.find(worker);
    const bool needsAdvice =
      found == known.end() ||
      (found->second.isPermitted && found->second.permitExpiry <= aNow);
    if (needsAdvice)
      call.workers.push_back(worker);
  }
  if (call.workers.empty())
    return;
  ++lastCallId_;
  const auto workerCount = static_cast<std::int64_t>(call.workers.size());
  call.timeout =
    aPolicy.base + aPolicy.perWorker * workerCount + kQueueingAllowance;
  pendingCall_ = call;
  outbox_.Call(std::move(call));
}

bool
PermitCache::On(const AdviceReply& aReply, Time aNow)
{
  if (!pendingCall_ || pendingCall_->id != aReply.id)
    return false;
  const AdviceCall call = std::move(*pendingCall_);
  pendingCall_.reset();
  if (!aReply.isAnswered) {
    nextCallAt_ = aNow + kRetryInterval;
    observe::Log(observe::LogLevel::Warning,
                 "advice-missing",
                 { { "step", ToString(call.step) },
                   { "workers", std::to_string(call.workers.size()) },
                   { "reason", aReply.detail } });
    return false;
  }
  auto& known = verdicts_[call.step];
  for (const jobs::WorkerId& worker : call.workers)
    known[worker] = {};
  for (const PermittedWorker& entry : aReply.permitted)
    if (const auto found = known.find(entry.worker); found != known.end())
      found->second = { .isPermitted = true,
                        .permit = entry.permit,
                        .permitExpiry =
                          aNow + aReply.validity - kPermitMargin };
  observe::Log(observe::LogLevel::Info,
               "advice-taken",
               { { "step", ToString(call.step) },
                 { "workers", std::to_string(call.workers.size()) },
                 { "permitted", std::to_string(aReply.permitted.size()) },
                 { "valid_ms", std::to_string(aReply.validity.Millis()) } });
  return true;
}
