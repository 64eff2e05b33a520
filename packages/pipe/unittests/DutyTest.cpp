#include "greengage/pipe/Duty.h"
#include "greengage/pipe/DutyLoad.h"
#include "greengage/pipe/IoDuty.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <ctime>
#include <future>
#include <vector>

using namespace greengage;
using namespace greengage::pipe;

namespace {

/// Adds up its messages and counts its timers.
class SumFilter final : public Filter<int>
{
public:
  void Accept(int&& aMessage, Time) override { sum += aMessage; }
  std::optional<Time> NextTimer() const override { return next; }
  void OnTimer(Time aNow) override
  {
    ++timers;
    next = aNow + Duration(5);
  }
  void OnClose(Time) override { closed = true; }

  int sum = 0;
  int timers = 0;
  bool closed = false;
  std::optional<Time> next;
};

} // namespace

static std::int64_t
ProcessorMillis()
{
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return used.tv_sec * 1000 + used.tv_nsec / 1000000;
}

TEST_CASE("a duty handles every message before it stops")
{
  const BootClock clock;
  SumFilter filter;
  Duty<int> duty({ .name = "sum", .capacity = 4 }, clock);
  duty.Start(filter);
  for (int value = 1; value <= 100; ++value)
    REQUIRE(duty.Push(int(value)));
  duty.Stop();
  REQUIRE(filter.sum == 5050);
  REQUIRE(filter.closed);
}

TEST_CASE("a full ring refuses and leaves the message whole")
{
  const BootClock clock;
  Duty<std::vector<int>> duty({ .name = "full", .capacity = 2 }, clock);
  REQUIRE(duty.TryPush({ 1 }));
  std::vector<int> second{ 1, 2, 3 };
  const bool isTaken = duty.TryPush(std::move(second));
  REQUIRE_FALSE(isTaken);
  REQUIRE(second.size() == 3); // NOLINT(bugprone-use-after-move)
}

TEST_CASE("timers fire without messages, and no thread spins while it waits")
{
  const BootClock clock;
  SumFilter filter;
  filter.next = clock.Now();
  Duty<int> duty({ .name = "timer", .capacity = 4 }, clock);
  const std::int64_t before = ProcessorMillis();
  duty.Start(filter);
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  duty.Stop();
  REQUIRE(filter.timers >= 10);
  REQUIRE(ProcessorMillis() - before < 100);
}

TEST_CASE("a push wakes an Asio loop, in order")
{
  IoDuty duty("loop");
  std::vector<int> seen;
  std::promise<void> done;
  IoPipe<int> inlet(duty, 8, [&](int&& aValue) {
    seen.push_back(aValue);
    if (seen.size() == 5)
      done.set_value();
  });
  duty.Start();
  for (int value = 0; value < 5; ++value)
    REQUIRE(inlet.Push(int(value)));
  done.get_future().wait();
  duty.Stop();
  REQUIRE(seen == std::vector<int>{ 0, 1, 2, 3, 4 });
}

static std::optional<DutyLoad>
FindLoad(const std::string& aDuty)
{
  const std::vector<DutyLoad> loads = CurrentDutyLoads();
  const auto found =
    std::find_if(loads.begin(), loads.end(), [&](const DutyLoad& aLoad) {
      return aLoad.duty == aDuty;
    });
  return found == loads.end() ? std::nullopt : std::optional(*found);
}

namespace {

/// Uses 30 ms of processor time for a first message, then waits to be resumed.
class BusyFilter final : public Filter<int>
{
public:
  void Accept(int&& aMessage, Time) override
  {
    if (aMessage > 1)
      return;
    const std::int64_t until = ProcessorMillis() + 30;
    while (ProcessorMillis() < until) {
    }
    isBusy.set_value();
    resume.get_future().wait();
  }
  std::promise<void> isBusy;
  std::promise<void> resume;
};

} // namespace

TEST_CASE("the load of a duty has its messages, backlog and processor time")
{
  const BootClock clock;
  BusyFilter filter;
  Duty<int> duty({ .name = "busy", .capacity = 8 }, clock);
  REQUIRE_FALSE(FindLoad("busy"));
  duty.Start(filter);
  duty.Push(1);
  filter.isBusy.get_future().wait();
  REQUIRE(duty.TryPush(2));
  REQUIRE(duty.TryPush(3));
  REQUIRE(FindLoad("busy")->messages == 1);
  REQUIRE(FindLoad("busy")->backlog == 2);
  filter.resume.set_value();
  const Time giveUp = clock.Now() + Duration::Seconds(5);
  // The processor time is sampled after a batch of messages.
  while (FindLoad("busy")->processorTime == Duration(0) && clock.Now() < giveUp)
    std::this_thread::yield();
  REQUIRE(FindLoad("busy")->messages == 3);
  REQUIRE(FindLoad("busy")->backlog == 0);
  REQUIRE(FindLoad("busy")->processorTime >= Duration(20));
  duty.Stop();
  REQUIRE_FALSE(FindLoad("busy"));
}
