/// \file
/// The pipes that translate between the duties of the job path: sources and
/// sinks at the front end, and the agreed log's view of the scheduling duty.

#ifndef GREENGAGE_DAEMON_LIB_SOURCES_JOBPIPES_H
#define GREENGAGE_DAEMON_LIB_SOURCES_JOBPIPES_H

#include "../filters/JobMessages.h"
#include "../filters/ScheduleFilter.h"

#include "greengage/frontend/Codecs.h"
#include "greengage/http/Client.h"
#include "greengage/jobs/JobStateMachine.h"
#include "greengage/pipe/Pipe.h"
#include "greengage/state/StateMachine.h"

#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace greengage::daemon::detail {

/// Passes messages of one type on as another. Unlike other pipes it consumes a
/// message that finds no room.
template<typename From, typename To>
class ConvertingPipe : public pipe::Pipe<From>
{
public:
  explicit ConvertingPipe(pipe::Pipe<To>& aNext)
    : next_(aNext)
  {
  }
  bool TryPush(From&& aMessage) override
  {
    return next_.TryPush(Convert(std::move(aMessage)));
  }
  bool Push(From&& aMessage) override
  {
    return next_.Push(Convert(std::move(aMessage)));
  }

protected:
  virtual To Convert(From&& aMessage) = 0;

private:
  pipe::Pipe<To>& next_;
};

/// Passes messages on as one alternative of a variant.
template<typename From, typename To>
class WrappingPipe final : public ConvertingPipe<From, To>
{
public:
  using ConvertingPipe<From, To>::ConvertingPipe;

protected:
  To Convert(From&& aMessage) override { return To(std::move(aMessage)); }
};

/// Encodes replies on their way to the gate.
class ReplySink final : public ConvertingPipe<CallReply, GateMessage>
{
public:
  ReplySink(const frontend::CallCodec& aCodec, pipe::Pipe<GateMessage>& aGate)
    : ConvertingPipe(aGate)
    , codec_(aCodec)
  {
  }

protected:
  GateMessage Convert(CallReply&& aReply) override
  {
    return CallAnswered{ .caller = aReply.caller,
                         .response = codec_.Encode(std::move(aReply.reply)) };
  }

private:
  const frontend::CallCodec& codec_;
};

/// Encodes calls on their way to the HTTP client.
template<typename Call, typename Codec>
class CallSink final : public ConvertingPipe<Call, http::ClientCall>
{
public:
  CallSink(const Codec& aCodec, pipe::Pipe<http::ClientCall>& aClient)
    : ConvertingPipe<Call, http::ClientCall>(aClient)
    , codec_(aCodec)
  {
  }

protected:
  http::ClientCall Convert(Call&& aCall) override
  {
    return codec_.Encode(std::move(aCall));
  }

private:
  const Codec& codec_;
};

/// Decodes the answers to calls.
template<typename Codec>
class AnswerSource final
  : public ConvertingPipe<http::ClientResult, ScheduleMessage>
{
public:
  AnswerSource(const Codec& aCodec, pipe::Pipe<ScheduleMessage>& aSchedule)
    : ConvertingPipe(aSchedule)
    , codec_(aCodec)
  {
  }

protected:
  ScheduleMessage Convert(http::ClientResult&& aResult) override
  {
    return codec_.Decode(std::move(aResult));
  }

private:
  const Codec& codec_;
};

/// Tells the gate and the scheduling duty who leads. The scheduling duty comes
/// first: calls reach it only after it knows that it leads.
class LeadershipSink final : public pipe::Pipe<Leadership>
{
public:
  LeadershipSink(pipe::Pipe<ScheduleMessage>& aSchedule,
                 pipe::Pipe<GateMessage>& aGate)
    : schedule_(aSchedule)
    , gate_(aGate)
  {
  }
  bool TryPush(Leadership&& aLeadership) override
  {
    return Push(std::move(aLeadership));
  }
  bool Push(Leadership&& aLeadership) override
  {
    return schedule_.Push(Leadership(aLeadership)) &&
           gate_.Push(std::move(aLeadership));
  }

private:
  pipe::Pipe<ScheduleMessage>& schedule_;
  pipe::Pipe<GateMessage>& gate_;
};

/// The agreed state as the log's duty drives it: the state itself is with the
/// scheduling duty, which gets all commands in their order.
class RemoteMachine final : public state::StateMachine
{
public:
  RemoteMachine(const jobs::ConfigurationReader& aReader,
                pipe::Pipe<ScheduleMessage>& aSchedule)
    : reader_(aReader)
    , schedule_(aSchedule)
  {
  }
  std::string Apply(state::LogIndex /*aIndex*/,
                    std::string_view aCommand) override
  {
    if (!aCommand.empty())
      schedule_.Push(EntryCommitted{ .entry = std::string(aCommand) });
    return {};
  }
  std::string Snapshot() const override
  {
    auto snapshot = std::make_shared<std::promise<std::string>>();
    std::future<std::string> result = snapshot->get_future();
    if (!schedule_.Push(SnapshotWanted{ .snapshot = std::move(snapshot) }))
      return {};
    return result.get();
  }
  bool Restore(std::string_view aSnapshot, Error& aReason) override
  {
    // The scheduling duty can't refuse a snapshot in time: the log's duty must
    // know at once, and at the start before the scheduling duty runs.
    jobs::JobStateMachine trial(reader_);
    if (!trial.Restore(aSnapshot, aReason))
      return false;
    return schedule_.Push(RestoreState{ .snapshot = std::string(aSnapshot) });
  }

private:
  const jobs::ConfigurationReader& reader_;
  pipe::Pipe<ScheduleMessage>& schedule_;
};

} // namespace greengage::daemon::detail

#endif // GREENGAGE_DAEMON_LIB_SOURCES_JOBPIPES_H
