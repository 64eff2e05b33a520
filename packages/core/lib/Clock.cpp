#include "greengage/core/Clock.h"

#include <cassert>
#include <ctime>

using namespace greengage;

static constexpr std::int64_t kMillisPerSecond = 1000;
static constexpr std::int64_t kNanosPerMilli = 1000000;

static Time
ReadClock(clockid_t aId)
{
  timespec now{};
  [[maybe_unused]] const int status = clock_gettime(aId, &now);
  assert(status == 0 && "the kernel always offers this clock");
  return Time(now.tv_sec * kMillisPerSecond + now.tv_nsec / kNanosPerMilli);
}

Time
BootClock::Now() const
{
  return ReadClock(CLOCK_BOOTTIME);
}

Time
WallClock::Now() const
{
  return ReadClock(CLOCK_REALTIME);
}
