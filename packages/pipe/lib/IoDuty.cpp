#include "greengage/pipe/IoDuty.h"

#include <cassert>
#include <chrono>

using namespace greengage::pipe;

IoDuty::IoDuty(std::string aName)
  : name_(std::move(aName))
  , work_(boost::asio::make_work_guard(context_))
{
}

IoDuty::~IoDuty()
{
  Stop();
}

void
IoDuty::Start()
{
  assert(!thread_.joinable() && "a duty is started once");
  thread_ = std::thread([this] {
    const DutyScope scope(name_, meter_);
    SampleLoad();
    context_.run();
  });
}

void
IoDuty::SampleLoad()
{
  meter_.Sample();
  sampleTimer_.expires_after(
    std::chrono::milliseconds(kLoadSampleInterval.Millis()));
  sampleTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError)
      SampleLoad();
  });
}

void
IoDuty::Stop()
{
  context_.stop();
  if (thread_.joinable())
    thread_.join();
}
