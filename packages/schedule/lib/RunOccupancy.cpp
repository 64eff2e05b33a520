#include "greengage/schedule/RunOccupancy.h"

#include <cstdint>

using namespace greengage;
using namespace greengage::schedule;

/// Weight of the latest run in the moving averages.
static constexpr double kSmoothing = 0.05;

void
RunOccupancy::Add(Duration aExpected, Duration aOccupied)
{
  const auto expected = static_cast<double>(aExpected.Millis());
  const auto occupied = static_cast<double>(aOccupied.Millis());
  if (!means_) {
    means_ = { .expected = expected, .occupied = occupied };
    return;
  }
  means_->expected += (expected - means_->expected) * kSmoothing;
  means_->occupied += (occupied - means_->occupied) * kSmoothing;
}

Duration
RunOccupancy::MeanExpected() const
{
  return Duration(means_ ? static_cast<std::int64_t>(means_->expected) : 0);
}

Duration
RunOccupancy::MeanOccupied() const
{
  return Duration(means_ ? static_cast<std::int64_t>(means_->occupied) : 0);
}
