#include "greengage/pipe/DutyLoad.h"

#include "greengage/pipe/ThreadName.h"

#include <sys/resource.h>

#include <algorithm>
#include <mutex>

using namespace greengage;
using namespace greengage::pipe;

namespace {

struct RunningDuty
{
  std::string name;
  const DutyMeter* meter;
};

struct RunningDuties
{
  std::mutex mutex;
  std::vector<RunningDuty> duties;
};

} // namespace

static RunningDuties&
Registry()
{
  static RunningDuties registry;
  return registry;
}

static std::int64_t
MillisOf(const timeval& aTime)
{
  constexpr std::int64_t kMillisPerSecond = 1000;
  constexpr std::int64_t kMicrosPerMilli = 1000;
  return aTime.tv_sec * kMillisPerSecond + aTime.tv_usec / kMicrosPerMilli;
}

void
DutyMeter::Sample()
{
  rusage usage{};
  if (getrusage(RUSAGE_THREAD, &usage) == 0)
    processorMillis_.store(MillisOf(usage.ru_utime) + MillisOf(usage.ru_stime),
                           std::memory_order_relaxed);
}

DutyLoad
DutyMeter::Read(const std::string& aDuty) const
{
  const std::uint64_t taken = taken_.load(std::memory_order_relaxed);
  const std::uint64_t pushed = pushed_.load(std::memory_order_relaxed);
  return { .duty = aDuty,
           .processorTime =
             Duration(processorMillis_.load(std::memory_order_relaxed)),
           .messages = taken,
           // A message may be counted as taken before its push is counted.
           .backlog = pushed > taken ? pushed - taken : 0 };
}

DutyScope::DutyScope(const std::string& aName, DutyMeter& aMeter)
  : meter_(aMeter)
{
  NameThisThread(aName);
  RunningDuties& registry = Registry();
  const std::lock_guard lock(registry.mutex);
  registry.duties.push_back({ .name = aName, .meter = &aMeter });
}

DutyScope::~DutyScope()
{
  RunningDuties& registry = Registry();
  const std::lock_guard lock(registry.mutex);
  const auto isThis = [this](const RunningDuty& aDuty) {
    return aDuty.meter == &meter_;
  };
  registry.duties.erase(
    std::find_if(registry.duties.begin(), registry.duties.end(), isThis));
}

std::vector<DutyLoad>
greengage::pipe::CurrentDutyLoads()
{
  RunningDuties& registry = Registry();
  const std::lock_guard lock(registry.mutex);
  std::vector<DutyLoad> loads;
  loads.reserve(registry.duties.size());
  for (const RunningDuty& duty : registry.duties)
    loads.push_back(duty.meter->Read(duty.name));
  return loads;
}
