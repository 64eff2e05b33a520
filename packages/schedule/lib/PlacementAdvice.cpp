#include "greengage/schedule/PlacementAdvice.h"

#include "greengage/observe/Log.h"

#include <algorithm>

using namespace greengage;
using namespace greengage::schedule;

/// Workers that one call names at most: the objective of a step leaves time
/// for a call on 30.
static constexpr std::size_t kMaxAsked = 30;
/// Workers asked about beyond those that a step can use, as some are
/// forbidden.
static constexpr std::size_t kSpareAsked = 2;
/// What a permit must be good for beyond now: two log commits and the way to
/// the worker.
static constexpr Duration kPermitMargin = Duration(200);
/// How long a call may wait behind others beyond its own time.
static constexpr Duration kAdviceSlack = Duration(1000);
/// When to ask again after no answer.
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
  // What the adviser is about to answer may be meant for the earlier life.
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
