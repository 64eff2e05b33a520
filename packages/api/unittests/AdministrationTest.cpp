#include "greengage/api/Decode.h"
#include "greengage/api/Encode.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <utility>

using namespace greengage;
using namespace greengage::api;

using http::PortRole;
using nlohmann::json;

static std::optional<Call>
Decode(PortRole aPort,
       const std::string& aMethod,
       const std::string& aTarget,
       const std::string& aBody,
       Error& aReason)
{
  http::HttpRequest request;
  request.port = aPort;
  request.exchange = http::ExchangeId(5);
  request.method = aMethod;
  request.target = aTarget;
  request.body = aBody;
  return DecodeCall(std::move(request), Time(1000), aReason);
}

/// A call of the administration port that must be right.
template<typename Wanted>
static Wanted
DecodeRight(const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aBody = {})
{
  Error reason;
  const auto call =
    Decode(PortRole::Operators, aMethod, aTarget, aBody, reason);
  INFO(reason.detail);
  REQUIRE(call);
  return std::get<Wanted>(std::get<AdministrationCall>(call->body));
}

static std::string
DigestText()
{
  return state::KeyDigest::Compute("secret", "0123456789abcdef").ToString();
}

TEST_CASE("a deeply nested body is refused")
{
  // More than a stack of 8 MiB has frames for.
  constexpr std::size_t kDepth = 500000;
  const std::string body =
    R"({"request_id":"r1","based_on":7,"changes":[{"a":)" +
    std::string(kDepth, '[') + std::string(kDepth, ']') + "}]}";
  Error reason;
  CHECK_FALSE(
    Decode(PortRole::Operators, "POST", "/v1/settings", body, reason));
  CHECK(reason.kind == ErrorKind::Malformed);
}

TEST_CASE("a change of settings is decoded")
{
  const auto call =
    DecodeRight<ChangeState>("POST",
                             "/v1/settings",
                             R"({"request_id":"r1","based_on":7,"changes":[
        {"branch":"teams/a","name":"limit","value":"4"},
        {"name":"share","value":null}]})");
  REQUIRE(call.change == state::ChangeId("r1"));
  const auto& command = std::get<state::ChangeSettings>(call.command);
  REQUIRE(command.basedOn == Version(7));
  REQUIRE(command.changes.size() == 2);
  REQUIRE(command.changes[0].branch == "teams/a");
  REQUIRE(command.changes[0].value == "4");
  REQUIRE(command.changes[1].branch.empty());
  REQUIRE_FALSE(command.changes[1].value);
}

TEST_CASE("keys are granted with or without a digest and withdrawn")
{
  const std::string body =
    R"({"request_id":"r","id":"k1","role":"team","holder":"a/b")";
  const auto made = DecodeRight<GrantKeyCall>("POST", "/v1/keys", body + "}");
  REQUIRE_FALSE(made.digest);
  REQUIRE(made.holder == state::Principal{ state::Role::Team, "a/b" });
  const auto given = DecodeRight<GrantKeyCall>(
    "POST", "/v1/keys", body + R"(,"digest":")" + DigestText() + "\"}");
  REQUIRE(given.digest->Matches("secret"));
  const auto withdrawn = DecodeRight<ChangeState>(
    "POST", "/v1/keys/withdraw", R"({"request_id":"r","id":"k1"})");
  REQUIRE(std::get<state::WithdrawKey>(withdrawn.command).id == KeyId("k1"));
}

TEST_CASE("queries are decoded")
{
  const auto explain = DecodeRight<ExplainSetting>(
    "GET", "/v1/settings/explain?branch=teams%2Fa&name=limit");
  REQUIRE(explain.branch == "teams/a");
  REQUIRE(explain.name == "limit");
  const auto audit = DecodeRight<QueryAudit>(
    "GET", "/v1/audit?from=3&to=9&limit=2&who=night&branch=teams/a");
  REQUIRE(audit.query.from == state::AuditSequence(3));
  REQUIRE(audit.query.to == state::AuditSequence(9));
  REQUIRE(audit.query.limit == 2);
  REQUIRE(audit.query.who == state::OperatorId("night"));
  REQUIRE(audit.query.branch == "teams/a");
}

TEST_CASE("bad calls of operators name the field")
{
  struct Case
  {
    const char* method;
    const char* target;
    std::string body;
    const char* detail;
  };
  const std::string change = R"({"request_id":"r","based_on":1,"changes":)";
  const std::string grant = R"({"request_id":"r","id":"k","holder":"a")";
  const auto row = GENERATE_COPY(
    Case{ "POST", "/v1/settings", "", "body is not JSON" },
    Case{ "POST", "/v1/settings", R"({"based_on":1})", "\"request_id\"" },
    Case{ "POST", "/v1/settings", R"({"request_id":"r"})", "\"based_on\"" },
    Case{ "POST",
          "/v1/settings",
          R"({"request_id":"r","based_on":-1})",
          "\"based_on\"" },
    Case{ "POST",
          "/v1/settings",
          R"({"request_id":"r","based_on":1})",
          "\"changes\"" },
    Case{ "POST", "/v1/settings", change + "{}}", "\"changes\"" },
    Case{ "POST", "/v1/settings", change + "[7]}", "not a JSON object" },
    Case{ "POST", "/v1/settings", change + R"([{"value":"1"}]})", "\"name\"" },
    Case{ "POST", "/v1/settings", change + R"([{"name":"x"}]})", "\"value\"" },
    Case{ "POST",
          "/v1/settings",
          change + R"([{"name":"x","value":4}]})",
          "\"value\"" },
    Case{ "POST",
          "/v1/settings",
          change + R"([{"name":"x","value":"4","more":1}]})",
          "\"more\"" },
    Case{ "POST", "/v1/settings", change + "[],\"more\":1}", "\"more\"" },
    Case{ "POST", "/v1/settings/diff", "{}", "\"ini\" is missing" },
    Case{ "POST", "/v1/settings/diff", R"({"ini":"[a\nb"})", "\"ini\"" },
    Case{ "POST", "/v1/settings/import", R"({"ini":""})", "\"request_id\"" },
    Case{ "POST", "/v1/keys", grant + "}", "\"role\"" },
    Case{ "POST", "/v1/keys", grant + R"(,"role":"king"})", "\"role\"" },
    Case{ "POST",
          "/v1/keys",
          grant + R"(,"role":"team","digest":"x"})",
          "\"digest\"" },
    Case{ "POST",
          "/v1/keys/withdraw",
          R"({"request_id":"r","id":"a/b"})",
          "\"id\"" },
    Case{ "GET", "/v1/settings/explain?branch=a", "", "\"name\" is missing" },
    Case{ "GET", "/v1/settings/explain?name=%zz", "", "percent-encoded" },
    Case{ "GET", "/v1/settings/explain?name=%4", "", "percent-encoded" },
    Case{ "GET", "/v1/settings/explain?name=%ff", "", "percent-encoded" },
    Case{ "GET", "/v1/settings/explain?name=a&name=b", "", "twice" },
    Case{ "GET", "/v1/settings?x=1", "", "\"x\" is not known" },
    Case{ "GET", "/v1/audit?limit=0", "", "\"limit\"" },
    Case{ "GET", "/v1/audit?limit=5001", "", "\"limit\"" },
    Case{ "GET", "/v1/audit?from=x", "", "\"from\"" },
    Case{ "DELETE", "/v1/settings", "", "does not serve" },
    Case{ "POST", "/v1/audit", "", "does not serve" });
  CAPTURE(row.target, row.body);
  Error reason;
  REQUIRE_FALSE(
    Decode(PortRole::Operators, row.method, row.target, row.body, reason));
  CAPTURE(reason.detail);
  REQUIRE(reason.detail.find(row.detail) != std::string::npos);
}

TEST_CASE("the other ports don't serve operators' calls")
{
  const auto port = GENERATE(PortRole::Callers, PortRole::Upstreams);
  const auto* target =
    GENERATE("/v1/settings", "/v1/keys", "/v1/audit", "/v1/teams", "/v1/pools");
  Error reason;
  REQUIRE_FALSE(Decode(port, "GET", target, "", reason));
  REQUIRE(reason.kind == ErrorKind::NotFound);
}

static http::HttpResponse
Encoded(AdministrationReply aReply)
{
  return EncodeReply({ .call = CallOf(PortRole::Operators, http::ExchangeId(5)),
                       .body = std::move(aReply) });
}

TEST_CASE("the loser of a race is told who won and what")
{
  const state::Origin origin{
    state::OperatorId("night"), state::ChangeId("n1"), "127.0.0.1", Time(5)
  };
  const state::Winner winner{ Version(4),
                              origin,
                              { { "teams/a", "limit", std::nullopt, "4" } } };
  const state::Refused refused{ { ErrorKind::Conflict, "stale" },
                                Version(6),
                                winner };
  const auto response =
    Encoded(ChangeReply{ { .end = refused, .isResend = true }, {} });
  REQUIRE(response.status == 409);
  const json body = json::parse(response.body);
  REQUIRE(body["result"] == "refused");
  REQUIRE(body["version"] == 6);
  REQUIRE(body["resend"] == true);
  REQUIRE(body["winner"]["who"] == "night");
  REQUIRE(body["winner"]["version"] == 4);
  REQUIRE(body["winner"]["changes"][0]["before"].is_null());
  REQUIRE(body["winner"]["changes"][0]["after"] == "4");
}

TEST_CASE("a broken audit chain is told with its place")
{
  const auto response = Encoded(VerifyReply{
    .firstKept = state::AuditSequence(2),
    .count = 9,
    .head = "ab",
    .broken = state::ChainBreak{ state::AuditSequence(4), "altered" } });
  const json body = json::parse(response.body);
  REQUIRE(body["intact"] == false);
  REQUIRE(body["broken_at"] == 4);
}
