#include "DecodeFilter.h"

#include "greengage/api/Decode.h"

#include <utility>

using namespace greengage;
using namespace greengage::daemon::detail;

DecodeFilter::DecodeFilter(pipe::Pipe<AuthenticateMessage>& aNext,
                           pipe::Pipe<api::Reply>& aReplies)
  : next_(aNext)
  , replies_(aReplies)
{
}

void
DecodeFilter::Accept(http::HttpRequest&& aRequest, Time aNow)
{
  const CallId id = api::CallOf(aRequest.port, aRequest.exchange);
  Error reason;
  auto call = api::DecodeCall(std::move(aRequest), aNow, reason);
  const bool isFirstSend = call && api::IsFirstSend(*call);
  if (call && next_.TryPush(AuthenticateMessage(std::move(*call))))
    return;
  if (call)
    Fail(reason, ErrorKind::Overloaded, "entry host is at its limit");
  replies_.Push({ .call = id,
                  .body = api::ErrorReply{ .error = std::move(reason),
                                           .isFirstSend = isFirstSend } });
}
