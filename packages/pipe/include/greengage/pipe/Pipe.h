/// \file
/// The inlet of a duty as its neighbours see it. A filter holds references to
/// the pipes behind it and knows nothing of the threads that serve them.

#ifndef GREENGAGE_PIPE_PIPE_H
#define GREENGAGE_PIPE_PIPE_H

namespace greengage::pipe {

/// Takes messages for another duty.
template<typename Message>
class Pipe
{
public:
  virtual ~Pipe() = default;

  /// Hands the message over unless there is no room; then \p aMessage is left
  /// as it was and the caller must refuse the work by name.
  virtual bool TryPush(Message&& aMessage) = 0;

  /// Hands the message over, waiting for room. False once the duty has ended.
  virtual bool Push(Message&& aMessage) = 0;
};

} // namespace greengage::pipe

#endif // GREENGAGE_PIPE_PIPE_H
