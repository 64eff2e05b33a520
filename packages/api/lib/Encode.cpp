#include "greengage/api/Encode.h"

#include "EncodeAdministration.h"

#include <nlohmann/json.hpp>

#include <string>
#include <utility>

using namespace greengage;
using namespace greengage::api;

using detail::AddError;
using detail::Json;

static constexpr unsigned kUnknownOutcomeStatus = 504;

unsigned
greengage::api::StatusOf(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::None:
      return 200;
    case ErrorKind::Malformed:
    case ErrorKind::InvalidSetting:
    case ErrorKind::Unsupported:
      return 400;
    case ErrorKind::Unauthenticated:
      return 401;
    case ErrorKind::Forbidden:
      return 403;
    case ErrorKind::NotFound:
      return 404;
    case ErrorKind::Timeout:
      return 408;
    case ErrorKind::Conflict:
    case ErrorKind::DuplicateRequest:
    case ErrorKind::Cancelled:
      return 409;
    case ErrorKind::TooLarge:
      return 413;
    case ErrorKind::LimitReached:
      return 429;
    case ErrorKind::DeadlineUnmeetable:
    case ErrorKind::Overloaded:
    case ErrorKind::NoCapacity:
    case ErrorKind::ShuttingDown:
    case ErrorKind::Unreachable:
      return 503;
    case ErrorKind::DeadlinePassed:
    case ErrorKind::OutcomeUnknown:
      return kUnknownOutcomeStatus;
    case ErrorKind::DataCorrupt:
    case ErrorKind::DataLocked:
    case ErrorKind::StorageFailed:
    case ErrorKind::StorageFull:
    case ErrorKind::Internal:
      break;
  }
  return 500;
}

/// The text of \p aObject; bytes that are not UTF-8 are replaced.
static std::string
Dump(const Json& aObject)
{
  return aObject.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

static void
Fill(http::HttpResponse& aResponse, Json&& aObject, const Answered& aOutcome)
{
  aObject["outcome"] = "answered";
  aObject["succeeded"] = aOutcome.succeeded;
  aObject["upstream"] = aOutcome.upstream.Value();
  aObject["answer"] = aOutcome.payload;
  aResponse.body = Dump(aObject);
}

static void
Fill(http::HttpResponse& aResponse, Json&& aObject, const NotRun& aOutcome)
{
  aObject["outcome"] = "not-run";
  AddError(aObject, aOutcome.error);
  if (aOutcome.retryAfter > Duration(0)) {
    aObject["retry_after_ms"] = aOutcome.retryAfter.Millis();
    aResponse.retryAfter = aOutcome.retryAfter;
  }
  aResponse.status = StatusOf(aOutcome.error.kind);
  aResponse.body = Dump(aObject);
}

static void
Fill(http::HttpResponse& aResponse, Json&& aObject, const Unknown& aOutcome)
{
  aObject["outcome"] = "unknown";
  AddError(aObject, aOutcome.error);
  const bool isDuplicate = aOutcome.error.kind == ErrorKind::DuplicateRequest;
  aResponse.status =
    isDuplicate ? StatusOf(ErrorKind::DuplicateRequest) : kUnknownOutcomeStatus;
  aResponse.body = Dump(aObject);
}

static void
Encode(http::HttpResponse& aResponse, OutcomeReply&& aReply)
{
  Json object;
  object["id"] = aReply.id.Value();
  std::visit(
    [&](const auto& aOutcome) { Fill(aResponse, std::move(object), aOutcome); },
    aReply.outcome);
}

static void
Encode(http::HttpResponse& aResponse, AnnouncementReply&& aReply)
{
  Json object;
  object["served_by"] = aReply.servedBy.Value();
  aResponse.body = Dump(object);
}

static void
Encode(http::HttpResponse& aResponse, ErrorReply&& aReply)
{
  Json object;
  if (aResponse.port == http::PortRole::Callers)
    object["outcome"] = aReply.isFirstSend ? "not-run" : "unknown";
  AddError(object, aReply.error);
  aResponse.status = StatusOf(aReply.error.kind);
  if (aResponse.status == 503)
    aResponse.retryAfter = Duration::Seconds(1);
  aResponse.body = Dump(object);
}

static void
Encode(http::HttpResponse& aResponse, TextReply&& aReply)
{
  aResponse.status = aReply.status;
  aResponse.contentType = std::move(aReply.contentType);
  aResponse.body = std::move(aReply.body);
}

static void
Encode(http::HttpResponse& aResponse, AdministrationReply&& aReply)
{
  aResponse.status = StatusOf(detail::ErrorOf(aReply));
  if (aResponse.status == 503)
    aResponse.retryAfter = Duration::Seconds(1);
  aResponse.body = Dump(detail::EncodeAdministration(aReply));
}

http::HttpResponse
greengage::api::EncodeReply(Reply&& aReply)
{
  http::HttpResponse response;
  response.port = PortOf(aReply.call);
  response.exchange = ExchangeOf(aReply.call);
  std::visit(
    [&](auto&& aBody) {
      Encode(response, std::forward<decltype(aBody)>(aBody));
    },
    std::move(aReply.body));
  return response;
}
