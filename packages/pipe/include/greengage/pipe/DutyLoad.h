/// \file
/// What each duty of this process costs: its processor time and its backlog.

#ifndef GREENGAGE_PIPE_DUTYLOAD_H
#define GREENGAGE_PIPE_DUTYLOAD_H

#include "greengage/core/Units.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace greengage::pipe {

/// The load of one running duty.
struct DutyLoad
{
  std::string duty;
  /// Processor time of its thread since it started, up to one sampling interval
  /// ago.
  Duration processorTime;
  /// Messages taken from its ring since it started; 0 if it has no ring.
  std::uint64_t messages = 0;
  /// Messages in its ring.
  std::size_t backlog = 0;
};

/// How often a duty samples its processor time.
inline constexpr Duration kLoadSampleInterval = Duration(500);

/// Measures one duty. Safe from any thread, except Sample.
class DutyMeter
{
public:
  void OnPushed() { pushed_.fetch_add(1, std::memory_order_relaxed); }
  void OnTaken() { taken_.fetch_add(1, std::memory_order_relaxed); }
  /// Reads the processor time of the calling thread, which must be the duty's
  /// own: its clock is not readable from other threads everywhere.
  void Sample();
  DutyLoad Read(const std::string& aDuty) const;

private:
  std::atomic<std::uint64_t> pushed_{ 0 };
  std::atomic<std::uint64_t> taken_{ 0 };
  std::atomic<std::int64_t> processorMillis_{ 0 };
};

/// Names the calling thread and includes it in CurrentDutyLoads while this
/// object exists.
class DutyScope
{
public:
  /// \p aMeter must outlive the scope.
  DutyScope(const std::string& aName, DutyMeter& aMeter);
  ~DutyScope();
  DutyScope(const DutyScope&) = delete;
  DutyScope& operator=(const DutyScope&) = delete;

private:
  DutyMeter& meter_;
};

/// The loads of all running duties of this process.
std::vector<DutyLoad>
CurrentDutyLoads();

} // namespace greengage::pipe

#endif // GREENGAGE_PIPE_DUTYLOAD_H
