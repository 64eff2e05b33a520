#include "EncodeAdministration.h"

#include <utility>

using namespace greengage;
using namespace greengage::api;
using detail::Json;
using state::ValueChange;

static Json
TextOrNull(const std::optional<std::string>& aText)
{
  return aText ? Json(*aText) : Json(nullptr);
}

static Json
ListOf(const std::vector<ValueChange>& aChanges)
{
  Json list = Json::array();
  for (const ValueChange& change : aChanges)
    list.push_back({ { "branch", change.branch },
                     { "name", change.name },
                     { "before", TextOrNull(change.before) },
                     { "after", TextOrNull(change.after) } });
  return list;
}

static const char*
NameOf(state::Role aRole)
{
  switch (aRole) {
    case state::Role::Team:
      return "team";
    case state::Role::Operator:
      return "operator";
    case state::Role::Upstream:
      break;
  }
  return "upstream";
}

static Json
Encode(const SettingsReply& aReply)
{
  Json branches = Json::object();
  for (const auto& [branch, values] : aReply.tree.All())
    branches[branch] = values;
  return { { "version", aReply.version.Value() },
           { "branches", std::move(branches) } };
}

static Json
Encode(const ExplainReply& aReply)
{
  Json object = { { "version", aReply.version.Value() },
                  { "branch", aReply.asked.branch },
                  { "name", aReply.asked.name } };
  if (aReply.found) {
    object["value"] = aReply.found->value;
    object["set_on"] = aReply.found->from;
  } else {
    object["value"] = aReply.defaultText;
    object["set_on"] = nullptr;
  }
  return object;
}

static Json
Encode(const DiffReply& aReply)
{
  return { { "version", aReply.version.Value() },
           { "changes", ListOf(aReply.changes) } };
}

static Json
Encode(const ExportReply& aReply)
{
  return { { "version", aReply.version.Value() }, { "ini", aReply.ini } };
}

static Json
Encode(const KeysReply& aReply)
{
  Json keys = Json::array();
  for (const auto& [id, holder] : aReply.keys)
    keys.push_back({ { "id", id.Value() },
                     { "role", NameOf(holder.role) },
                     { "holder", holder.name } });
  Json withdrawn = Json::array();
  for (const KeyId& id : aReply.withdrawn)
    withdrawn.push_back(id.Value());
  return { { "version", aReply.version.Value() },
           { "keys", std::move(keys) },
           { "withdrawn", std::move(withdrawn) } };
}

static Json
Encode(const TeamsReply& aReply)
{
  Json teams = Json::array();
  for (const auto& [id, policy] : aReply.view->teams)
    teams.push_back({ { "team", id.Value() },
                      { "share", policy.share },
                      { "limit", policy.limit.Count() },
                      { "queue_max", policy.maxQueued } });
  return { { "version", aReply.view->version.Value() },
           { "teams", std::move(teams) } };
}

static Json
EncodePool(const PoolId& aId, const state::PoolPolicy& aPolicy)
{
  Json object = { { "pool", aId.Value() },
                  { "spare", aPolicy.spare.Count() },
                  { "budget_pool", aPolicy.budget.pool.Count() },
                  { "budget_zone", aPolicy.budget.availabilityZone.Count() },
                  { "budget_rack", aPolicy.budget.rack.Count() },
                  { "price_urgent", aPolicy.prices.urgent },
                  { "price_standard", aPolicy.prices.standard },
                  { "price_patient", aPolicy.prices.patient },
                  { "weight_buffer_cost", aPolicy.weights.bufferCost },
                  { "weight_roll_out_time", aPolicy.weights.rollOutTime },
                  { "weight_moves", aPolicy.weights.moves },
                  { "weight_closeness_to_share",
                    aPolicy.weights.closenessToShare } };
  if (aPolicy.sparePool)
    object["spare_pool"] = aPolicy.sparePool->Value();
  return object;
}

static Json
Encode(const PoolsReply& aReply)
{
  Json pools = Json::array();
  for (const auto& [id, policy] : aReply.view->poolPolicies)
    pools.push_back(EncodePool(id, policy));
  return { { "version", aReply.view->version.Value() },
           { "pools", std::move(pools) } };
}

static void
AddOrigin(Json& aObject, const state::Origin& aOrigin)
{
  aObject["who"] = aOrigin.who.Value();
  aObject["request_id"] = aOrigin.change.Value();
  aObject["from"] = aOrigin.remoteAddress;
  aObject["at_ms"] = aOrigin.at.Millis();
}

static Json
EncodeEntry(const state::AuditEntry& aEntry)
{
  Json object = { { "sequence", aEntry.sequence.Value() } };
  AddOrigin(object, aEntry.origin);
  object["action"] = aEntry.action;
  object["changes"] = ListOf(aEntry.changes);
  object["result"] = aEntry.refusal == ErrorKind::None ? "accepted" : "refused";
  if (aEntry.refusal != ErrorKind::None) {
    object["error"] = CodeOf(aEntry.refusal);
    object["detail"] = aEntry.why;
  }
  object["version"] = aEntry.version.Value();
  object["hash"] = aEntry.hash;
  return object;
}

static Json
Encode(const AuditReply& aReply)
{
  Json entries = Json::array();
  for (const state::AuditEntry& entry : aReply.entries)
    entries.push_back(EncodeEntry(entry));
  return { { "first_kept", aReply.firstKept.Value() },
           { "entries", std::move(entries) } };
}

static Json
Encode(const VerifyReply& aReply)
{
  Json object = { { "intact", !aReply.broken.has_value() },
                  { "first_kept", aReply.firstKept.Value() },
                  { "entries", aReply.count },
                  { "head", aReply.head } };
  if (aReply.broken) {
    object["broken_at"] = aReply.broken->at.Value();
    object["detail"] = aReply.broken->detail;
  }
  return object;
}

static Json
EncodeEnd(const state::Accepted& aAccepted)
{
  Json object = { { "result", "accepted" },
                  { "version", aAccepted.version.Value() } };
  if (!aAccepted.note.empty())
    object["note"] = aAccepted.note;
  return object;
}

static Json
EncodeEnd(const state::Refused& aRefused)
{
  Json object = { { "result", "refused" } };
  detail::AddError(object, aRefused.error);
  object["version"] = aRefused.current.Value();
  if (aRefused.winner) {
    Json winner = { { "version", aRefused.winner->version.Value() } };
    AddOrigin(winner, aRefused.winner->origin);
    winner["changes"] = ListOf(aRefused.winner->changes);
    object["winner"] = std::move(winner);
  }
  return object;
}

static Json
Encode(const ChangeReply& aReply)
{
  Json object = std::visit([](const auto& aEnd) { return EncodeEnd(aEnd); },
                           aReply.result.end);
  object["resend"] = aReply.result.isResend;
  if (aReply.secret)
    object["secret"] = *aReply.secret;
  return object;
}

void
greengage::api::detail::AddError(Json& aObject, const Error& aError)
{
  aObject["error"] = CodeOf(aError.kind);
  aObject["detail"] = aError.detail;
  aObject["remedy"] = RemedyOf(aError.kind);
}

Json
greengage::api::detail::EncodeAdministration(const AdministrationReply& aReply)
{
  return std::visit([](const auto& aAny) { return Encode(aAny); }, aReply);
}

ErrorKind
greengage::api::detail::ErrorOf(const AdministrationReply& aReply)
{
  const auto* change = std::get_if<ChangeReply>(&aReply);
  if (change == nullptr)
    return ErrorKind::None;
  const auto* refused = std::get_if<state::Refused>(&change->result.end);
  return refused == nullptr ? ErrorKind::None : refused->error.kind;
}
