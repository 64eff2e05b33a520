#include "OnceReturns.h"

#include <utility>
#include <variant>

using namespace greengage;
using namespace greengage::daemon::detail;

OnceReturns::OnceReturns(pipe::Pipe<OnceMessage>& aOnce,
                         pipe::Pipe<api::Reply>& aReplies)
  : once_(aOnce)
  , replies_(aReplies)
{
}

bool
OnceReturns::TryPush(api::Reply&& aReply)
{
  if (auto* outcome = std::get_if<api::OutcomeReply>(&aReply.body))
    return once_.TryPush(OnceOutcome{ .call = aReply.call,
                                      .outcome = std::move(outcome->outcome) });
  return replies_.TryPush(std::move(aReply));
}

bool
OnceReturns::Push(api::Reply&& aReply)
{
  if (auto* outcome = std::get_if<api::OutcomeReply>(&aReply.body))
    return once_.Push(OnceOutcome{ .call = aReply.call,
                                   .outcome = std::move(outcome->outcome) });
  return replies_.Push(std::move(aReply));
}
