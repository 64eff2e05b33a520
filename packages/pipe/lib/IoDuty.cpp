#include "greengage/pipe/IoDuty.h"

#include "greengage/pipe/ThreadName.h"

#include <cassert>

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
    NameThisThread(name_);
    context_.run();
  });
}

void
IoDuty::Stop()
{
  context_.stop();
  if (thread_.joinable())
    thread_.join();
}
