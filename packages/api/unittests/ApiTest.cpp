#include "greengage/api/Decode.h"
#include "greengage/api/Encode.h"
#include "greengage/api/UpstreamCodec.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

using namespace greengage;
using namespace greengage::api;

using http::PortRole;
using nlohmann::json;

static const Time kNow(1000);

static std::optional<Call>
Post(PortRole aPort,
     const std::string& aTarget,
     const std::string& aBody,
     Error& aReason)
{
  http::HttpRequest request;
  request.port = aPort;
  request.exchange = http::ExchangeId(5);
  request.method = "POST";
  request.target = aTarget;
  request.body = aBody;
  return DecodeCall(std::move(request), kNow, aReason);
}

TEST_CASE("a call names its port and exchange")
{
  const CallId call = CallOf(PortRole::Operators, http::ExchangeId(77));
  REQUIRE(PortOf(call) == PortRole::Operators);
  REQUIRE(ExchangeOf(call) == http::ExchangeId(77));
}

TEST_CASE("a submitted request is decoded with its defaults")
{
  Error reason;
  const auto call =
    Post(PortRole::Callers,
         "/v1/requests",
         R"({"id":"r1","pool":"lines","deadline_ms":500,"payload":"õ"})",
         reason);
  REQUIRE(call);
  const Request& request = std::get<SubmitCall>(call->body).request;
  REQUIRE(request.deadline == kNow + Duration(500));
  REQUIRE(request.idempotence == Idempotence::NonIdempotent);
  REQUIRE(request.priceClass == PriceClass::Standard);
  REQUIRE(request.payload == "õ");
}

TEST_CASE("bad requests of callers name the field")
{
  struct Case
  {
    const char* body;
    const char* detail;
  };
  const auto row = GENERATE(
    Case{ "", "body is not JSON" },
    Case{ "[]", "not a JSON object" },
    Case{ "{\"id\":\"\xFF\"}", "body is not JSON in UTF-8" },
    Case{ R"({"pool":"p","deadline_ms":1})", "\"id\"" },
    Case{ R"({"id":7,"pool":"p","deadline_ms":1})", "\"id\"" },
    Case{ R"({"id":"a b","pool":"p","deadline_ms":1})", "\"id\"" },
    Case{ R"({"id":"r","deadline_ms":1})", "\"pool\"" },
    Case{ R"({"id":"r","pool":"p"})", "\"deadline_ms\"" },
    Case{ R"({"id":"r","pool":"p","deadline_ms":0})", "\"deadline_ms\"" },
    Case{ R"({"id":"r","pool":"p","deadline_ms":-5})", "\"deadline_ms\"" },
    Case{ R"({"id":"r","pool":"p","deadline_ms":1.5})", "\"deadline_ms\"" },
    Case{ R"({"id":"r","pool":"p","deadline_ms":86400001})",
          "\"deadline_ms\"" },
    Case{ R"({"id":"r","pool":"p","deadline_ms":18446744073709551615})",
          "\"deadline_ms\"" },
    Case{ R"({"id":"r","pool":"p","deadline_ms":1,"price_class":"x"})",
          "\"price_class\"" },
    Case{ R"({"id":"r","pool":"p","deadline_ms":1,"idempotent":"yes"})",
          "\"idempotent\"" },
    Case{ R"({"id":"r","pool":"p","deadline_ms":1,"payload":{}})",
          "\"payload\"" },
    Case{ R"({"id":"r","pool":"p","deadline_ms":1,"team":"x"})", "\"team\"" });
  Error reason;
  REQUIRE_FALSE(Post(PortRole::Callers, "/v1/requests", row.body, reason));
  CAPTURE(reason.detail, row.body);
  REQUIRE(reason.kind == ErrorKind::Malformed);
  REQUIRE(reason.detail.find(row.detail) != std::string::npos);
}

TEST_CASE("bad announcements name the field")
{
  json good = json::parse(
    R"({"id":"w","availability_zone":"z","rack":"k","pool":"p",
        "address":"127.0.0.1","port":9,"slots":8,"connections":64})");
  Error reason;
  REQUIRE(Post(PortRole::Upstreams, "/v1/upstreams", good.dump(), reason));
  const auto [field, value] =
    GENERATE(table<std::string, json>({ { "id", json() },
                                        { "address", json("localhost") },
                                        { "port", json(0) },
                                        { "port", json(70000) },
                                        { "slots", json(0) },
                                        { "slots", json(-1) },
                                        { "connections", json("64") },
                                        { "lease_ms", json(60001) },
                                        { "leaving", json(1) },
                                        { "surprise", json(1) } }));
  good[field] = value;
  REQUIRE_FALSE(
    Post(PortRole::Upstreams, "/v1/upstreams", good.dump(), reason));
  CAPTURE(reason.detail);
  REQUIRE(reason.detail.find("\"" + field + "\"") != std::string::npos);
}

TEST_CASE("each port serves its own paths only")
{
  Error reason;
  REQUIRE_FALSE(Post(PortRole::Callers, "/v1/upstreams", "{}", reason));
  REQUIRE(reason.kind == ErrorKind::NotFound);
  REQUIRE_FALSE(Post(PortRole::Upstreams, "/v1/requests", "{}", reason));
  REQUIRE(reason.kind == ErrorKind::NotFound);
  REQUIRE_FALSE(Post(PortRole::Operators, "/v1/requests", "{}", reason));
  REQUIRE(reason.kind == ErrorKind::NotFound);
  http::HttpRequest probe;
  probe.port = PortRole::Callers;
  probe.method = "GET";
  probe.target = "/metrics";
  const auto call = DecodeCall(std::move(probe), kNow, reason);
  REQUIRE_FALSE(call);
}

TEST_CASE("a refused call is not run only if it was the first send")
{
  const bool isFirstSend = GENERATE(false, true);
  const auto response =
    EncodeReply({ .call = CallOf(PortRole::Callers, http::ExchangeId(1)),
                  .body = ErrorReply{ .error = { ErrorKind::Overloaded, "d" },
                                      .isFirstSend = isFirstSend } });
  const std::string expected = isFirstSend ? "not-run" : "unknown";
  REQUIRE(json::parse(response.body)["outcome"] == expected);
}

TEST_CASE("a first send is read from the request")
{
  Error reason;
  const auto call =
    Post(PortRole::Callers,
         "/v1/requests",
         R"({"id":"r1","pool":"lines","deadline_ms":500,"first_send":true})",
         reason);
  REQUIRE(call);
  REQUIRE(IsFirstSend(*call));
}

TEST_CASE("outcomes keep their three names")
{
  struct Case
  {
    Outcome outcome;
    unsigned status;
    const char* name;
  };
  const std::vector<Case> rows = {
    { Answered{
        .upstream = UpstreamId("w"), .succeeded = true, .payload = "a" },
      200,
      "answered" },
    { NotRun{ .error = { ErrorKind::Overloaded, "d" },
              .retryAfter = Duration(1500) },
      503,
      "not-run" },
    { Unknown{ .error = { ErrorKind::OutcomeUnknown, "d" } }, 504, "unknown" },
  };
  for (const Case& row : rows) {
    const auto response = EncodeReply(
      { .call = CallOf(PortRole::Callers, http::ExchangeId(1)),
        .body = OutcomeReply{ .id = RequestId("r"), .outcome = row.outcome } });
    REQUIRE(response.status == row.status);
    REQUIRE(json::parse(response.body)["outcome"] == row.name);
  }
}

TEST_CASE("only a call that was not sent counts as not sent")
{
  using dispatch::AttemptEnd;
  using http::CallProgress;
  struct Case
  {
    CallProgress progress;
    unsigned status;
    const char* body;
    AttemptEnd end;
  };
  const auto row =
    GENERATE(Case{ CallProgress::NotSent, 0, "", AttemptEnd::NotSent },
             Case{ CallProgress::SentNoResponse, 0, "", AttemptEnd::Lost },
             Case{ CallProgress::Responded,
                   200,
                   R"({"succeeded":true,"answer":"x"})",
                   AttemptEnd::Succeeded },
             Case{ CallProgress::Responded,
                   200,
                   R"({"succeeded":false,"answer":"x"})",
                   AttemptEnd::Failed },
             Case{ CallProgress::Responded, 200, "{}", AttemptEnd::Lost },
             Case{ CallProgress::Responded, 200, "cut sho", AttemptEnd::Lost },
             Case{ CallProgress::Responded, 409, "", AttemptEnd::SlotsTaken },
             Case{ CallProgress::Responded, 503, "", AttemptEnd::NotSent },
             Case{ CallProgress::Responded, 500, "", AttemptEnd::Lost });
  const auto ended = DecodeRun({ .id = http::ClientCallId(3),
                                 .progress = row.progress,
                                 .status = row.status,
                                 .body = row.body,
                                 .reason = "r" });
  REQUIRE(ended.end == row.end);
  REQUIRE(ended.dispatch == DispatchId(3));
}

TEST_CASE("a cancelled run and the cancellation itself are told apart")
{
  const auto call = EncodeCancel({ .dispatch = DispatchId(3),
                                   .upstream = UpstreamId("w1"),
                                   .endpoint = { "127.0.0.1", 9 } },
                                 EntryHostId("e1"));
  REQUIRE(call.method == "DELETE");
  REQUIRE(call.target == "/v1/run/3");
  REQUIRE(json::parse(call.body)["entry_host"] == "e1");
  http::ClientResult result;
  result.id = call.id;
  REQUIRE(IsCancelResult(result));
  result.id = http::ClientCallId(3);
  REQUIRE_FALSE(IsCancelResult(result));
  result.progress = http::CallProgress::Responded;
  result.status = 410;
  const auto ended = DecodeRun(std::move(result));
  REQUIRE(ended.dispatch == DispatchId(3));
  REQUIRE(ended.end == dispatch::AttemptEnd::Cancelled);
}
