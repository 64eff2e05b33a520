/// \file
/// The work of one duty: messages in, messages to the pipes behind it.

#ifndef GREENGAGE_PIPE_FILTER_H
#define GREENGAGE_PIPE_FILTER_H

#include "greengage/core/Units.h"

#include <optional>

namespace greengage::pipe {

/// Handles the messages of one duty. All calls come from the duty's thread.
template<typename Message>
class Filter
{
public:
  virtual ~Filter() = default;

  /// Handles one message.
  virtual void Accept(Message&& aMessage, Time aNow) = 0;

  /// Called after all messages that were waiting have been handled, or after
  /// many of them.
  virtual void OnBatchEnd(Time /*aNow*/) {}

  /// When OnTimer is to be called next, if at all.
  virtual std::optional<Time> NextTimer() const { return std::nullopt; }

  /// Called when the time given by NextTimer has come.
  virtual void OnTimer(Time /*aNow*/) {}

  /// Called once, after the last message.
  virtual void OnClose(Time /*aNow*/) {}
};

} // namespace greengage::pipe

#endif // GREENGAGE_PIPE_FILTER_H
