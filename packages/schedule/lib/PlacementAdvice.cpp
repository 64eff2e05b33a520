#include "greengage/schedule/PlacementAdvice.h"

#include "greengage/observe/Log.h"

#include <algorithm>

using namespace greengage;
using namespace greengage::schedule;

/// The maximum number of workers in one call. The objective of a step leaves
/// enough time for a call about 30 workers.
static constexpr std::size_t kMaxAsked = 30;
/// Extra workers to ask about, since the adviser forbids some.
static constexpr std::size_t kSpareAsked = 2;
/// The minimum remaining validity of a permit: two log commits and the network
/// latency to the worker.
static constexpr Duration kPermitMargin = Duration(200);
/// Allowance in the call timeout for queueing behind other calls at the
/// adviser.
static constexpr Duration kAdviceSlack = Duration(1000);
/// Delay before the next call after a failed one.
static constexpr Duration kRetryInterval = Duration(200);

PlacementAdvice::PlacementAdvice(Outbox& aOutbox)
  : outbox_(aOutbox)
{
}

void
PlacementAdvice::Clear()
{
  verdicts_.clear();
  pending_.reset();
  nextAsk_ = Time(0);
}

void
PlacementAdvice::Forget(jobs::JobId aJob)
{
  auto at = verdicts_.lower_bound({ .job = aJob });
  while (at != verdicts_.end() && at->first.job == aJob)
    at = verdicts_.erase(at);
}

void
PlacementAdvice::ExpirePermits(const jobs::WorkerId& aWorker)
{
  for (auto& [step, verdicts] : verdicts_)
    if (const auto found = verdicts.find(aWorker); found != verdicts.end())
      found->second.goodUntil = Time(0);
  // The pending reply may contain a permit for the previous incarnation.
  if (pending_)
    std::erase(pending_->workers, aWorker);
}

void
PlacementAdvice::Withdraw(const jobs::StepId& aStep,
                          const jobs::WorkerId& aWorker)
{
  const auto step = verdicts_.find(aStep);
  if (step != verdicts_.end())
    step->second.erase(aWorker);
}

std::optional<Permit>
PlacementAdvice::Find(const jobs::StepId& aStep,
                      const jobs::WorkerId& aWorker,
                      Time aNow) const
{
  const auto step = verdicts_.find(aStep);
  if (step == verdicts_.end())
    return std::nullopt;
  const auto found = step->second.find(aWorker);
  if (found == step->second.end() || !found->second.isAllowed ||
      found->second.goodUntil <= aNow)
    return std::nullopt;
  return found->second.permit;
}

void
PlacementAdvice::Ask(const jobs::StepId& aStep,
                     const std::vector<jobs::WorkerId>& aWorkers,
                     std::size_t aWanted,
                     const jobs::AdvicePolicy& aPolicy,
                     Time aNow)
{
  if (pending_ || nextAsk_ > aNow)
    return;
  const auto& known = verdicts_[aStep];
  AdviceCall call{ .id = AdviceCallId(lastCall_ + 1),
                   .step = aStep,
                   .workers = {},
                   .timeout = {} };
  const std::size_t limit = std::min(aWanted + kSpareAsked, kMaxAsked);
  for (const jobs::WorkerId& worker : aWorkers) {
    if (call.workers.size() >= limit)
      break;
    const auto found = known.find(worker);
    const bool isOpen =
      found == known.end() ||
      (found->second.isAllowed && found->second.goodUntil <= aNow);
    if (isOpen)
      call.workers.push_back(worker);
  }
  if (call.workers.empty())
    return;
  ++lastCall_;
  const auto asked = static_cast<std::int64_t>(call.workers.size());
  call.timeout = aPolicy.base + aPolicy.perWorker * asked + kAdviceSlack;
  pending_ = call;
  outbox_.Call(std::move(call));
}

bool
PlacementAdvice::On(const AdviceReply& aReply, Time aNow)
{
  if (!pending_ || pending_->id != aReply.id)
    return false;
  const AdviceCall call = std::move(*pending_);
  pending_.reset();
  if (!aReply.isAnswered) {
    nextAsk_ = aNow + kRetryInterval;
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
  for (const PermittedWorker& row : aReply.permitted)
    if (const auto found = known.find(row.worker); found != known.end())
      found->second = { .isAllowed = true,
                        .permit = row.permit,
                        .goodUntil = aNow + aReply.validity - kPermitMargin };
  observe::Log(observe::LogLevel::Info,
               "advice-taken",
               { { "step", ToString(call.step) },
                 { "workers", std::to_string(call.workers.size()) },
                 { "permitted", std::to_string(aReply.permitted.size()) },
                 { "valid_ms", std::to_string(aReply.validity.Millis()) } });
  return true;
}
