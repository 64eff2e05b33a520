#include "greengage/jobs/EarlyCancellations.h"

#include <utility>

using namespace greengage;
using namespace greengage::jobs;

void
EarlyCancellations::Record(CancelledJob aJob, Time aAt)
{
  const auto [position, isNew] = times_.emplace(std::move(aJob), aAt);
  if (!isNew)
    return;
  ++counts_[position->first.team];
  order_.push_back(position);
}

void
EarlyCancellations::Forget(Time aNow)
{
  while (!order_.empty() &&
         order_.front()->second + kCancellationMemory < aNow) {
    const auto oldest = order_.front();
    const auto count = counts_.find(oldest->first.team);
    if (--count->second == 0)
      counts_.erase(count);
    times_.erase(oldest);
    order_.pop_front();
  }
}

std::optional<Time>
EarlyCancellations::Find(const CancelledJob& aJob) const
{
  auto found = times_.find(aJob);
  if (found == times_.end())
    found =
      times_.find({ .id = aJob.id, .address = aJob.address, .team = TeamId() });
  if (found == times_.end())
    return std::nullopt;
  return found->second;
}

std::size_t
EarlyCancellations::CountOf(const TeamId& aTeam) const
{
  const auto found = counts_.find(aTeam);
  return found == counts_.end() ? 0 : found->second;
}
