#include "greengage/api/Decode.h"

#include "DecodeAdministration.h"
#include "JsonReader.h"

#include "greengage/core/Utf8.h"

#include <string_view>
#include <utility>

using namespace greengage;
using namespace greengage::api;

static constexpr std::size_t kMaxId = 128;
static constexpr std::size_t kMaxName = 64;
static constexpr std::size_t kMaxPayload = 1024 * 1024;
static constexpr std::int64_t kMaxCount = 1000000;
static constexpr std::int64_t kMaxMebibytes = 1 << 30;
static constexpr std::int64_t kMaxPort = 65535;
static constexpr Duration kDefaultLease = Duration::Seconds(3);
static constexpr std::string_view kRequestsPath = "/v1/requests";
static constexpr std::string_view kUpstreamsPath = "/v1/upstreams";

static PriceClass
ReadPriceClass(detail::JsonReader& aReader)
{
  const std::string text = aReader.Text("price_class", kMaxName, "standard");
  for (const auto each :
       { PriceClass::Urgent, PriceClass::Standard, PriceClass::Patient })
    if (text == NameOf(each))
      return each;
  aReader.Reject(
    "field \"price_class\" is not \"urgent\", \"standard\" or \"patient\"");
  return PriceClass::Standard;
}

static std::optional<CallBody>
DecodeSubmit(const std::string& aText, Time aNow, Error& aReason)
{
  detail::JsonReader reader(aText);
  Request request;
  request.id = RequestId(reader.Identifier("id", kMaxId));
  request.pool = PoolId(reader.Identifier("pool", kMaxName));
  request.kind = reader.Text("kind", kMaxName);
  request.priceClass = ReadPriceClass(reader);
  request.idempotence = reader.Boolean("idempotent", false)
                          ? Idempotence::Idempotent
                          : Idempotence::NonIdempotent;
  request.firstSend = reader.Boolean("first_send", false);
  request.deadline =
    aNow + Duration(reader.Integer("deadline_ms", 1, kMaxDeadline.Millis()));
  request.payload = reader.Text("payload", kMaxPayload);
  if (!reader.Finish(aReason))
    return std::nullopt;
  return SubmitCall{ .request = std::move(request) };
}

static std::optional<CallBody>
DecodeAnnounce(const std::string& aText, Error& aReason)
{
  detail::JsonReader reader(aText);
  UpstreamAnnouncement announcement;
  announcement.id = UpstreamId(reader.Identifier("id", kMaxName));
  announcement.availabilityZone =
    AvailabilityZoneId(reader.Identifier("availability_zone", kMaxName));
  announcement.rack = RackId(reader.Identifier("rack", kMaxName));
  announcement.pool = PoolId(reader.Identifier("pool", kMaxName));
  const std::string address = reader.Text("address", kMaxName);
  const std::int64_t port = reader.Integer("port", 1, kMaxPort);
  announcement.slots = Slots(reader.Integer("slots", 1, kMaxCount));
  announcement.connections =
    Connections(reader.Integer("connections", 1, kMaxCount));
  announcement.processors =
    MilliCores(reader.Integer("millicores", 0, kMaxMebibytes, 0));
  announcement.memory =
    Mebibytes(reader.Integer("memory_mib", 0, kMaxMebibytes, 0));
  announcement.accelerators =
    Accelerators(reader.Integer("accelerators", 0, kMaxCount, 0));
  announcement.lease = Duration(
    reader.Integer("lease_ms", 1, kMaxLease.Millis(), kDefaultLease.Millis()));
  announcement.leaving = reader.Boolean("leaving", false);
  const bool isV6 = address.find(':') != std::string::npos;
  Error ignored;
  const auto endpoint = ParseEndpoint((isV6 ? "[" + address + "]" : address) +
                                        ":" + std::to_string(port),
                                      ignored);
  if (!endpoint)
    reader.Reject("field \"address\" is not an IP number");
  if (!reader.Finish(aReason))
    return std::nullopt;
  announcement.endpoint = *endpoint;
  return AnnounceCall{ .announcement = std::move(announcement) };
}

static std::optional<CallBody>
FailRoute(const http::HttpRequest& aRequest, Error& aReason)
{
  const std::string target = aRequest.target.substr(0, kMaxId);
  const bool isText = IsValidUtf8(target);
  return Fail(aReason,
              ErrorKind::NotFound,
              "this port does not serve " +
                aRequest.method.substr(0, kMaxName) + " " +
                (isText ? target : "that path"));
}

static std::optional<CallBody>
DecodeForCallers(const http::HttpRequest& aRequest, Time aNow, Error& aReason)
{
  if (aRequest.method == "POST" && aRequest.target == kRequestsPath)
    return DecodeSubmit(aRequest.body, aNow, aReason);
  const std::string prefix = std::string(kRequestsPath) + "/";
  if (aRequest.method == "DELETE" && aRequest.target.starts_with(prefix)) {
    const std::string id = aRequest.target.substr(prefix.size());
    if (IsValidIdentifier(id, kMaxId))
      return CancelCall{ .id = RequestId(id) };
    return Fail(
      aReason, ErrorKind::Malformed, "request id is not an identifier");
  }
  return FailRoute(aRequest, aReason);
}

static std::optional<CallBody>
DecodeForUpstreams(const http::HttpRequest& aRequest, Error& aReason)
{
  if (aRequest.method == "POST" && aRequest.target == kUpstreamsPath)
    return DecodeAnnounce(aRequest.body, aReason);
  return FailRoute(aRequest, aReason);
}

static std::optional<CallBody>
DecodeForOperators(const http::HttpRequest& aRequest, Error& aReason)
{
  if (detail::IsAdministration(aRequest)) {
    auto call = detail::DecodeAdministration(aRequest, aReason);
    if (!call)
      return std::nullopt;
    return CallBody(std::move(*call));
  }
  if (aRequest.method != "GET")
    return FailRoute(aRequest, aReason);
  if (aRequest.target == "/healthz")
    return ProbeCall{ .kind = ProbeKind::Health };
  if (aRequest.target == "/readyz")
    return ProbeCall{ .kind = ProbeKind::Ready };
  if (aRequest.target == "/metrics")
    return ProbeCall{ .kind = ProbeKind::Metrics };
  if (aRequest.target == "/v1/status")
    return StatusCall{};
  return FailRoute(aRequest, aReason);
}

static std::optional<CallBody>
DecodeBody(const http::HttpRequest& aRequest, Time aNow, Error& aReason)
{
  switch (aRequest.port) {
    case http::PortRole::Callers:
      return DecodeForCallers(aRequest, aNow, aReason);
    case http::PortRole::Upstreams:
      return DecodeForUpstreams(aRequest, aReason);
    case http::PortRole::Operators:
    case http::PortRole::Control:
    case http::PortRole::Readiness:
    case http::PortRole::Metrics:
      break;
  }
  return DecodeForOperators(aRequest, aReason);
}

std::optional<Call>
greengage::api::DecodeCall(http::HttpRequest&& aRequest,
                           Time aNow,
                           Error& aReason)
{
  auto body = DecodeBody(aRequest, aNow, aReason);
  if (!body)
    return std::nullopt;
  return Call{ .id = CallOf(aRequest.port, aRequest.exchange),
               .authorization = std::move(aRequest.authorization),
               .remoteAddress = std::move(aRequest.remoteAddress),
               .body = std::move(*body) };
}
