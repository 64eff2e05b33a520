/// \file
/// One named thread that runs an Asio loop: the duty of every socket. Other
/// duties reach it through an IoPipe, whose push wakes the loop.

#ifndef GREENGAGE_PIPE_IODUTY_H
#define GREENGAGE_PIPE_IODUTY_H

#include "greengage/pipe/DutyLoad.h"
#include "greengage/pipe/Pipe.h"
#include "greengage/pipe/Ring.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <thread>
#include <utility>

namespace greengage::pipe {

/// A thread that runs one Asio loop, blocked while no socket or timer is ready.
class IoDuty
{
public:
  explicit IoDuty(std::string aName);
  IoDuty(const IoDuty&) = delete;
  IoDuty& operator=(const IoDuty&) = delete;
  ~IoDuty();

  boost::asio::io_context& Context() { return context_; }
  void Start();
  /// Ends the loop, dropping what is still pending in it, and joins.
  void Stop();

private:
  using WorkGuard =
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  void SampleLoad();

  std::string name_;
  DutyMeter meter_;
  boost::asio::io_context context_{ 1 };
  WorkGuard work_;
  boost::asio::steady_timer sampleTimer_{ context_ };
  std::thread thread_;
};

/// The inlet of an IoDuty: a bounded ring that the loop empties when woken.
template<typename Message>
class IoPipe final : public Pipe<Message>
{
public:
  using Handler = std::function<void(Message&&)>;

  /// \param aHandler is called on the loop's thread, in order of the pushes.
  IoPipe(IoDuty& aDuty, std::size_t aCapacity, Handler aHandler)
    : duty_(aDuty)
    , ring_(aCapacity)
    , handler_(std::move(aHandler))
  {
  }

  bool TryPush(Message&& aMessage) override
  {
    if (!ring_.TryPush(std::move(aMessage)))
      return false;
    Wake();
    return true;
  }

  bool Push(Message&& aMessage) override
  {
    if (!ring_.Push(std::move(aMessage)))
      return false;
    Wake();
    return true;
  }

private:
  void Wake()
  {
    boost::asio::post(duty_.Context(), [this] { TakeOne(); });
  }

  void TakeOne()
  {
    Message message;
    if (ring_.TryPop(message))
      handler_(std::move(message));
  }

  IoDuty& duty_;
  Ring<Message> ring_;
  Handler handler_;
};

} // namespace greengage::pipe

#endif // GREENGAGE_PIPE_IODUTY_H
