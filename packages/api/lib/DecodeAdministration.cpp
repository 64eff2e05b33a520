#include "DecodeAdministration.h"

#include "JsonReader.h"
#include "QueryReader.h"

#include "greengage/settings/IniFile.h"

#include <array>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

using namespace greengage;
using namespace greengage::api;
using detail::JsonReader;
using detail::QueryReader;

static constexpr std::size_t kMaxId = 128;
static constexpr std::size_t kMaxPath = 128;
static constexpr std::size_t kMaxIni = 1024 * 1024;
static constexpr std::size_t kMaxValue = 1024;
static constexpr std::size_t kMaxKeyId = 64;
static constexpr std::size_t kMaxDigest = 256;
static constexpr std::int64_t kMaxAuditEntries = 5000;
static constexpr std::int64_t kDefaultAuditEntries = 100;
static constexpr std::int64_t kMaxNumber =
  std::numeric_limits<std::int64_t>::max();

using Decoded = std::optional<AdministrationCall>;
using Decoder = Decoded (*)(const http::HttpRequest&, Error&);

template<typename Call>
static Decoded
DecodeEmpty(const http::HttpRequest& aRequest, Error& aReason)
{
  QueryReader reader(aRequest.target);
  if (!reader.Finish(aReason))
    return std::nullopt;
  return Call{};
}

static Decoded
DecodeExplain(const http::HttpRequest& aRequest, Error& aReason)
{
  QueryReader reader(aRequest.target);
  ExplainSetting call;
  call.branch = reader.Text("branch", kMaxPath);
  call.name = reader.Required("name", kMaxId);
  if (!reader.Finish(aReason))
    return std::nullopt;
  return call;
}

static Decoded
DecodeAudit(const http::HttpRequest& aRequest, Error& aReason)
{
  QueryReader reader(aRequest.target);
  state::AuditQuery query;
  query.from = state::AuditSequence(
    static_cast<std::uint64_t>(reader.Integer("from", 1, kMaxNumber, 1)));
  query.to = state::AuditSequence(static_cast<std::uint64_t>(
    reader.Integer("to", 1, kMaxNumber, kMaxNumber)));
  query.limit = static_cast<std::size_t>(
    reader.Integer("limit", 1, kMaxAuditEntries, kDefaultAuditEntries));
  const std::string who = reader.Text("who", kMaxId);
  if (!who.empty())
    query.who = state::OperatorId(who);
  const std::string branch = reader.Text("branch", kMaxPath);
  if (!branch.empty())
    query.branch = branch;
  if (!reader.Finish(aReason))
    return std::nullopt;
  return QueryAudit{ .query = std::move(query) };
}

static state::ChangeId
ReadChangeId(JsonReader& aReader)
{
  return state::ChangeId(aReader.Identifier("request_id", kMaxId));
}

static Version
ReadBasedOn(JsonReader& aReader)
{
  return Version(
    static_cast<std::uint64_t>(aReader.Integer("based_on", 0, kMaxNumber)));
}

static state::SettingsTree
ReadIni(JsonReader& aReader)
{
  const std::string text = aReader.RequiredText("ini", kMaxIni);
  Error reason;
  const auto file = settings::IniFile::Parse(text, "ini", reason);
  if (file)
    return state::SettingsTree::FromIni(*file);
  aReader.Reject("field \"ini\": " + reason.detail);
  return {};
}

static Decoded
DecodeChange(const http::HttpRequest& aRequest, Error& aReason)
{
  JsonReader reader(aRequest.body);
  ChangeState call;
  call.change = ReadChangeId(reader);
  state::ChangeSettings command;
  command.basedOn = ReadBasedOn(reader);
  for (JsonReader& item : reader.Objects("changes", state::kMaxChanges)) {
    state::SettingChange change;
    change.branch = item.Text("branch", kMaxPath);
    change.name = item.RequiredText("name", kMaxId);
    change.value = item.TextOrNull("value", kMaxValue);
    reader.Include("changes", item);
    command.changes.push_back(std::move(change));
  }
  call.command = std::move(command);
  if (!reader.Finish(aReason))
    return std::nullopt;
  return call;
}

static Decoded
DecodeImport(const http::HttpRequest& aRequest, Error& aReason)
{
  JsonReader reader(aRequest.body);
  ChangeState call;
  call.change = ReadChangeId(reader);
  state::ImportSettings command;
  command.basedOn = ReadBasedOn(reader);
  command.tree = ReadIni(reader);
  call.command = std::move(command);
  if (!reader.Finish(aReason))
    return std::nullopt;
  return call;
}

static Decoded
DecodeDiff(const http::HttpRequest& aRequest, Error& aReason)
{
  JsonReader reader(aRequest.body);
  DiffSettings call{ .tree = ReadIni(reader) };
  if (!reader.Finish(aReason))
    return std::nullopt;
  return call;
}

static state::Role
ReadRole(JsonReader& aReader)
{
  const std::string text = aReader.RequiredText("role", kMaxId);
  if (text == "team")
    return state::Role::Team;
  if (text == "operator")
    return state::Role::Operator;
  if (text != "upstream")
    aReader.Reject("field \"role\" is not \"team\", \"operator\" or "
                   "\"upstream\"");
  return state::Role::Upstream;
}

static Decoded
DecodeGrant(const http::HttpRequest& aRequest, Error& aReason)
{
  JsonReader reader(aRequest.body);
  GrantKeyCall call;
  call.change = ReadChangeId(reader);
  call.id = KeyId(reader.Identifier("id", kMaxKeyId));
  call.holder.role = ReadRole(reader);
  call.holder.name = reader.Identifier("holder", kMaxPath, true);
  const std::string digest = reader.Text("digest", kMaxDigest);
  if (!digest.empty()) {
    Error reason;
    call.digest = state::KeyDigest::Parse(digest, reason);
    if (!call.digest)
      reader.Reject("field \"digest\": " + reason.detail);
  }
  if (!reader.Finish(aReason))
    return std::nullopt;
  return call;
}

static Decoded
DecodeWithdraw(const http::HttpRequest& aRequest, Error& aReason)
{
  JsonReader reader(aRequest.body);
  ChangeState call;
  call.change = ReadChangeId(reader);
  call.command =
    state::WithdrawKey{ KeyId(reader.Identifier("id", kMaxKeyId)) };
  if (!reader.Finish(aReason))
    return std::nullopt;
  return call;
}

namespace {

struct Route
{
  std::string_view method;
  std::string_view path;
  Decoder decode;
};

} // namespace

static constexpr std::array<Route, 13> kRoutes = { {
  { "GET", "/v1/settings", DecodeEmpty<ReadSettings> },
  { "GET", "/v1/settings/explain", DecodeExplain },
  { "GET", "/v1/settings/export", DecodeEmpty<ExportSettings> },
  { "POST", "/v1/settings", DecodeChange },
  { "POST", "/v1/settings/diff", DecodeDiff },
  { "POST", "/v1/settings/import", DecodeImport },
  { "GET", "/v1/keys", DecodeEmpty<ListKeys> },
  { "POST", "/v1/keys", DecodeGrant },
  { "POST", "/v1/keys/withdraw", DecodeWithdraw },
  { "GET", "/v1/teams", DecodeEmpty<ListTeams> },
  { "GET", "/v1/pools", DecodeEmpty<ListPools> },
  { "GET", "/v1/audit", DecodeAudit },
  { "GET", "/v1/audit/verify", DecodeEmpty<VerifyAudit> },
} };

static const Route*
FindRoute(const http::HttpRequest& aRequest)
{
  const std::string_view target = aRequest.target;
  const std::string_view path = target.substr(0, target.find('?'));
  for (const Route& route : kRoutes)
    if (route.method == aRequest.method && route.path == path)
      return &route;
  return nullptr;
}

bool
greengage::api::detail::IsAdministration(const http::HttpRequest& aRequest)
{
  return FindRoute(aRequest) != nullptr;
}

std::optional<AdministrationCall>
greengage::api::detail::DecodeAdministration(const http::HttpRequest& aRequest,
                                             Error& aReason)
{
  return FindRoute(aRequest)->decode(aRequest, aReason);
}
