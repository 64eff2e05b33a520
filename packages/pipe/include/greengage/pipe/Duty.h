/// \file
/// One named thread that runs one filter behind one bounded ring.

#ifndef GREENGAGE_PIPE_DUTY_H
#define GREENGAGE_PIPE_DUTY_H

#include "greengage/core/Clock.h"
#include "greengage/pipe/DutyLoad.h"
#include "greengage/pipe/Filter.h"
#include "greengage/pipe/Pipe.h"
#include "greengage/pipe/Ring.h"

#include <cassert>
#include <cstddef>
#include <string>
#include <thread>
#include <utility>

namespace greengage::pipe {

/// How a duty is set up.
struct DutyOptions
{
  /// The thread's name; at most 15 characters reach the kernel.
  std::string name;
  /// Places in the ring; a power of two.
  std::size_t capacity = 1024;
};

/// A thread that feeds the messages of its ring to its filter. The thread is
/// blocked while there is nothing to do.
template<typename Message>
class Duty final : public Pipe<Message>
{
public:
  Duty(DutyOptions aOptions, const Clock& aClock)
    : options_(std::move(aOptions))
    , clock_(aClock)
    , ring_(options_.capacity)
  {
  }
  Duty(const Duty&) = delete;
  Duty& operator=(const Duty&) = delete;
  ~Duty() override { Stop(); }

  /// Starts the thread. \p aFilter must outlive the duty.
  void Start(Filter<Message>& aFilter)
  {
    assert(!thread_.joinable() && "a duty is started once");
    thread_ = std::thread([this, &aFilter] { Run(aFilter); });
  }

  /// Lets the filter finish what is in the ring, then ends the thread.
  void Stop()
  {
    ring_.Close();
    if (thread_.joinable())
      thread_.join();
  }

  bool TryPush(Message&& aMessage) override
  {
    return Count(ring_.TryPush(std::move(aMessage)));
  }
  bool Push(Message&& aMessage) override
  {
    return Count(ring_.Push(std::move(aMessage)));
  }

private:
  bool Count(bool aIsPushed)
  {
    if (aIsPushed)
      meter_.OnPushed();
    return aIsPushed;
  }

  void Run(Filter<Message>& aFilter)
  {
    const DutyScope scope(options_.name, meter_);
    Message message;
    PopStatus status = PopStatus::TimedOut;
    while (status != PopStatus::Closed) {
      status = Next(message, aFilter);
      if (status == PopStatus::Taken)
        HandleBatch(message, aFilter);
      FireTimer(aFilter);
      SampleLoad();
    }
    aFilter.OnClose(clock_.Now());
  }

  /// Handles \p aMessage and the messages that wait behind it.
  void HandleBatch(Message& aMessage, Filter<Message>& aFilter)
  {
    Handle(aMessage, aFilter);
    for (std::size_t count = 1; count < kMaxBatch && ring_.TryPop(aMessage);
         ++count)
      Handle(aMessage, aFilter);
    aFilter.OnBatchEnd(clock_.Now());
  }

  void Handle(Message& aMessage, Filter<Message>& aFilter)
  {
    meter_.OnTaken();
    aFilter.Accept(std::move(aMessage), clock_.Now());
    FireTimer(aFilter);
  }

  void SampleLoad()
  {
    const Time now = clock_.Now();
    if (now < nextSample_)
      return;
    nextSample_ = now + kLoadSampleInterval;
    meter_.Sample();
  }

  PopStatus Next(Message& aMessage, const Filter<Message>& aFilter)
  {
    const auto wake = aFilter.NextTimer();
    if (!wake)
      return ring_.Pop(aMessage);
    const Time now = clock_.Now();
    const Duration wait = *wake > now ? *wake - now : Duration(0);
    return ring_.PopFor(aMessage, wait);
  }

  void FireTimer(Filter<Message>& aFilter)
  {
    const auto wake = aFilter.NextTimer();
    if (!wake)
      return;
    const Time now = clock_.Now();
    if (now >= *wake)
      aFilter.OnTimer(now);
  }

  /// A batch ends after this many messages, so that its effects are not delayed
  /// for long.
  static constexpr std::size_t kMaxBatch = 64;

  DutyOptions options_;
  const Clock& clock_;
  Ring<Message> ring_;
  DutyMeter meter_;
  Time nextSample_;
  std::thread thread_;
};

} // namespace greengage::pipe

#endif // GREENGAGE_PIPE_DUTY_H
