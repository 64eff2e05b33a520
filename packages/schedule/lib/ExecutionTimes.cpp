#include "greengage/schedule/ExecutionTimes.h"

#include <algorithm>
#include <cstdint>

using namespace greengage;
using namespace greengage::schedule;

/// Weight of the latest time in the moving averages.
static constexpr double kSmoothing = 0.05;

void
ExecutionTimes::Add(Duration aExpected, Duration aActual)
{
  const auto expected = static_cast<double>(aExpected.Millis());
  const auto actual = static_cast<double>(aActual.Millis());
  if (!means_) {
    means_ = { .expected = expected, .actual = actual };
    return;
  }
  means_->expected += (expected - means_->expected) * kSmoothing;
  means_->actual += (actual - means_->actual) * kSmoothing;
}

Duration
ExecutionTimes::MeanExpected() const
{
  return Duration(means_ ? static_cast<std::int64_t>(means_->expected) : 0);
}

Duration
ExecutionTimes::MeanActual() const
{
  return Duration(means_ ? static_cast<std::int64_t>(means_->actual) : 0);
}

Duration
ExecutionTimes::Overhead() const
{
  return std::max(MeanActual() - MeanExpected(), Duration(0));
}

double
ExecutionTimes::Efficiency() const
{
  return means_ && means_->actual > 0 ? means_->expected / means_->actual : 1;
}
