#include "greengage/api/UpstreamCodec.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <utility>

using namespace greengage;
using namespace greengage::api;

using nlohmann::json;

static constexpr unsigned kOk = 200;
/// The upstream refused the request unrun: its slots are taken.
static constexpr unsigned kConflict = 409;
/// The upstream stopped the request when it was asked to.
static constexpr unsigned kGone = 410;
/// Tells the call that cancels a dispatch from the one that runs it.
static constexpr std::uint64_t kCancelBit = std::uint64_t{ 1 } << 63;
static constexpr Duration kCancelTimeout = Duration::Seconds(5);
/// The upstream refused the request unrun: it is leaving.
static constexpr unsigned kUnavailable = 503;

http::ClientCall
greengage::api::EncodeRun(const dispatch::Execute& aExecute,
                          const EntryHostId& aSelf,
                          Time aNow)
{
  const Request& request = aExecute.request;
  const Duration remaining = request.deadline - aNow;
  json object;
  object["dispatch"] = aExecute.dispatch.Value();
  object["entry_host"] = aSelf.Value();
  object["id"] = request.id.Value();
  object["team"] = request.team.Value();
  object["kind"] = request.kind;
  object["lease_ms"] = remaining.Millis();
  object["payload"] = request.payload;
  http::ClientCall call;
  call.id = http::ClientCallId(aExecute.dispatch.Value());
  call.endpoint = aExecute.endpoint;
  call.target = "/v1/run";
  call.body = object.dump(-1, ' ', false, json::error_handler_t::replace);
  call.timeout = remaining;
  return call;
}

http::ClientCall
greengage::api::EncodeCancel(const dispatch::CancelAttempt& aCancel,
                             const EntryHostId& aSelf)
{
  json object;
  object["entry_host"] = aSelf.Value();
  http::ClientCall call;
  call.id = http::ClientCallId(aCancel.dispatch.Value() | kCancelBit);
  call.endpoint = aCancel.endpoint;
  call.method = "DELETE";
  call.target = "/v1/run/" + std::to_string(aCancel.dispatch.Value());
  call.body = object.dump();
  call.timeout = kCancelTimeout;
  return call;
}

bool
greengage::api::IsCancelResult(const http::ClientResult& aResult)
{
  return (aResult.id.Value() & kCancelBit) != 0;
}

static dispatch::AttemptEnded
EndWith(DispatchId aDispatch, dispatch::AttemptEnd aEnd, std::string aReason)
{
  return { .dispatch = aDispatch,
           .end = aEnd,
           .payload = {},
           .reason = std::move(aReason) };
}

static dispatch::AttemptEnded
DecodeAnswer(DispatchId aDispatch, const std::string& aBody)
{
  using dispatch::AttemptEnd;
  const json object = json::parse(aBody, nullptr, /*allow_exceptions=*/false);
  const bool isObject = object.is_object();
  const auto answer = isObject ? object.find("answer") : object.end();
  const auto succeeded = isObject ? object.find("succeeded") : object.end();
  if (!isObject || answer == object.end() || !answer->is_string() ||
      succeeded == object.end() || !succeeded->is_boolean())
    return EndWith(
      aDispatch, AttemptEnd::Lost, "answer of the upstream is not well-formed");
  return { .dispatch = aDispatch,
           .end = succeeded->get<bool>() ? AttemptEnd::Succeeded
                                         : AttemptEnd::Failed,
           .payload = answer->get<std::string>(),
           .reason = {} };
}

dispatch::AttemptEnded
greengage::api::DecodeRun(http::ClientResult&& aResult)
{
  using dispatch::AttemptEnd;
  const DispatchId dispatch(aResult.id.Value());
  if (aResult.progress == http::CallProgress::NotSent)
    return EndWith(dispatch, AttemptEnd::NotSent, std::move(aResult.reason));
  if (aResult.progress == http::CallProgress::SentNoResponse)
    return EndWith(dispatch, AttemptEnd::Lost, std::move(aResult.reason));
  if (aResult.status == kOk)
    return DecodeAnswer(dispatch, aResult.body);
  if (aResult.status == kConflict)
    return EndWith(dispatch, AttemptEnd::SlotsTaken, "slots are taken");
  if (aResult.status == kGone)
    return EndWith(dispatch, AttemptEnd::Cancelled, "cancelled");
  if (aResult.status == kUnavailable)
    return EndWith(dispatch, AttemptEnd::NotSent, "upstream is leaving");
  return EndWith(dispatch,
                 AttemptEnd::Lost,
                 "upstream answered status " + std::to_string(aResult.status));
}
