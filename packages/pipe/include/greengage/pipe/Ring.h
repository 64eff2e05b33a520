/// \file
/// The bounded ring that joins two duties. A wrapper of Boost.Fiber's buffered
/// channel, which blocks the waiting thread and never spins.

#ifndef GREENGAGE_PIPE_RING_H
#define GREENGAGE_PIPE_RING_H

#include "greengage/core/Units.h"

#include <boost/fiber/buffered_channel.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace greengage::pipe {

/// How an attempt to take a message ended.
enum class PopStatus : std::uint8_t
{
  Taken,
  TimedOut,
  Closed,
};

/// A bounded queue of messages of type \p Message between threads.
template<typename Message>
class Ring
{
public:
  /// \param aCapacity a power of two; one place less can be used.
  explicit Ring(std::size_t aCapacity)
    : channel_(aCapacity)
  {
  }

  /// Adds the message unless the ring is full or closed, in which case
  /// \p aMessage is left as it was.
  bool TryPush(Message&& aMessage)
  {
    using boost::fibers::channel_op_status;
    return channel_.try_push(std::move(aMessage)) == channel_op_status::success;
  }

  /// Adds the message, waiting for room. False if the ring is closed.
  bool Push(Message&& aMessage)
  {
    using boost::fibers::channel_op_status;
    return channel_.push(std::move(aMessage)) == channel_op_status::success;
  }

  /// Takes the oldest message, waiting until one comes.
  PopStatus Pop(Message& aMessage) { return StatusOf(channel_.pop(aMessage)); }

  /// Takes the oldest message, waiting no longer than \p aSpan.
  PopStatus PopFor(Message& aMessage, Duration aSpan)
  {
    const std::chrono::milliseconds span(aSpan.Millis());
    return StatusOf(channel_.pop_wait_for(aMessage, span));
  }

  /// Takes the oldest message if there is one.
  bool TryPop(Message& aMessage)
  {
    using boost::fibers::channel_op_status;
    return channel_.try_pop(aMessage) == channel_op_status::success;
  }

  /// Refuses further messages; those inside can still be taken.
  void Close() { channel_.close(); }

private:
  static PopStatus StatusOf(boost::fibers::channel_op_status aStatus)
  {
    using boost::fibers::channel_op_status;
    if (aStatus == channel_op_status::success)
      return PopStatus::Taken;
    if (aStatus == channel_op_status::timeout)
      return PopStatus::TimedOut;
    return PopStatus::Closed;
  }

  boost::fibers::buffered_channel<Message> channel_;
};

} // namespace greengage::pipe

#endif // GREENGAGE_PIPE_RING_H
