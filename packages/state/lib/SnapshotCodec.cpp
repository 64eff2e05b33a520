#include "greengage/state/CommandCodec.h"

#include "CborValues.h"

#include <utility>

using namespace greengage;
using namespace greengage::state;
using detail::Cbor;

/// Raised with each change of the snapshot's form.
static constexpr std::uint64_t kFormat = 1;

static Cbor
ToCborOne(const AuditEntry& aEntry)
{
  return { { "sequence", aEntry.sequence.Value() },
           { "origin", detail::ToCbor(aEntry.origin) },
           { "action", aEntry.action },
           { "changes", detail::ToCbor(aEntry.changes) },
           { "refusal", static_cast<std::uint64_t>(aEntry.refusal) },
           { "why", aEntry.why },
           { "version", aEntry.version.Value() },
           { "hash", aEntry.hash } };
}

static AuditEntry
EntryFrom(const Cbor& aObject)
{
  AuditEntry entry;
  entry.sequence = AuditSequence(aObject.at("sequence").get<std::uint64_t>());
  entry.origin = detail::OriginFrom(aObject.at("origin"));
  entry.action = aObject.at("action").get<std::string>();
  entry.changes = detail::ChangesFrom(aObject.at("changes"));
  entry.refusal = detail::ErrorKindFrom(aObject.at("refusal"));
  entry.why = aObject.at("why").get<std::string>();
  entry.version = Version(aObject.at("version").get<std::uint64_t>());
  entry.hash = aObject.at("hash").get<std::string>();
  return entry;
}

static Cbor
ToCborOne(const AuditChain& aChain)
{
  Cbor entries = Cbor::array();
  for (const AuditEntry& entry : aChain.entries)
    entries.push_back(ToCborOne(entry));
  return { { "anchor", aChain.anchor },
           { "first", aChain.first.Value() },
           { "entries", std::move(entries) },
           { "head", aChain.head } };
}

static AuditChain
ChainFrom(const Cbor& aObject)
{
  AuditChain chain;
  chain.anchor = aObject.at("anchor").get<std::string>();
  chain.first = AuditSequence(aObject.at("first").get<std::uint64_t>());
  for (const Cbor& entry : aObject.at("entries"))
    chain.entries.push_back(EntryFrom(entry));
  chain.head = aObject.at("head").get<std::string>();
  return chain;
}

static Cbor
ToCborOne(const RememberedResult& aResult)
{
  return { { "who", aResult.who.Value() },
           { "change", aResult.change.Value() },
           { "fingerprint", aResult.fingerprint },
           { "result", detail::ToCbor(aResult.result) } };
}

static RememberedResult
RememberedFrom(const Cbor& aObject)
{
  return { OperatorId(aObject.at("who").get<std::string>()),
           ChangeId(aObject.at("change").get<std::string>()),
           aObject.at("fingerprint").get<std::string>(),
           detail::ResultFrom(aObject.at("result")) };
}

std::string
greengage::state::EncodeSnapshot(const FleetSnapshot& aSnapshot)
{
  Cbor withdrawn = Cbor::array();
  for (const KeyId& id : aSnapshot.withdrawn)
    withdrawn.push_back(id.Value());
  Cbor results = Cbor::array();
  for (const RememberedResult& result : aSnapshot.results)
    results.push_back(ToCborOne(result));
  return detail::BytesOf(
    { { "format", kFormat },
      { "version", aSnapshot.version.Value() },
      { "settings_version", aSnapshot.settingsVersion.Value() },
      { "tree", detail::ToCbor(aSnapshot.tree) },
      { "withdrawn", std::move(withdrawn) },
      { "results", std::move(results) },
      { "audit", ToCborOne(aSnapshot.audit) } });
}

static std::optional<FleetSnapshot>
SnapshotFrom(const Cbor& aObject, Error& aReason)
{
  const auto format = aObject.at("format").get<std::uint64_t>();
  if (format != kFormat)
    return Fail(aReason,
                ErrorKind::Unsupported,
                "snapshot has format " + std::to_string(format) + " and not " +
                  std::to_string(kFormat));
  FleetSnapshot snapshot;
  snapshot.version = Version(aObject.at("version").get<std::uint64_t>());
  snapshot.settingsVersion =
    Version(aObject.at("settings_version").get<std::uint64_t>());
  snapshot.tree = detail::TreeFrom(aObject.at("tree"));
  for (const Cbor& id : aObject.at("withdrawn"))
    snapshot.withdrawn.insert(KeyId(id.get<std::string>()));
  for (const Cbor& result : aObject.at("results"))
    snapshot.results.push_back(RememberedFrom(result));
  snapshot.audit = ChainFrom(aObject.at("audit"));
  return snapshot;
}

std::optional<FleetSnapshot>
greengage::state::DecodeSnapshot(std::string_view aBytes, Error& aReason)
{
  const auto read = [&](const Cbor& aObject) {
    return SnapshotFrom(aObject, aReason);
  };
  auto snapshot = detail::ReadBytes(aBytes, "snapshot", aReason, read);
  return snapshot ? std::move(*snapshot) : std::nullopt;
}
