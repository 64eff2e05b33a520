#include "greengage/state/AuditTrail.h"

#include "greengage/state/CommandCodec.h"
#include "greengage/state/FleetStateMachine.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>

using namespace greengage;
using namespace greengage::state;

static AuditEntry
EntryOf(int aNumber)
{
  AuditEntry entry;
  entry.origin = { OperatorId(aNumber % 2 == 0 ? "night" : "day"),
                   ChangeId("c" + std::to_string(aNumber)),
                   "127.0.0.1",
                   Time(1000 + aNumber) };
  entry.action = "change-settings";
  entry.changes = { { "teams/a", "limit", "1", "2" },
                    { "teams/ab", "share", std::nullopt, "2" } };
  entry.version = Version(static_cast<std::uint64_t>(aNumber));
  return entry;
}

static AuditTrail
TrailOf(int aEntries, AuditLimits aLimits = {})
{
  AuditTrail trail(aLimits);
  for (int number = 1; number <= aEntries; ++number)
    trail.Append(EntryOf(number));
  return trail;
}

TEST_CASE("an entry whose field was altered is found and placed")
{
  using Alter = std::function<void(AuditEntry&)>;
  const auto alter = GENERATE(
    Alter([](AuditEntry& e) { e.sequence = AuditSequence(9); }),
    Alter([](AuditEntry& e) { e.origin.who = OperatorId("x"); }),
    Alter([](AuditEntry& e) { e.origin.change = ChangeId("x"); }),
    Alter([](AuditEntry& e) { e.origin.remoteAddress = "::1"; }),
    Alter([](AuditEntry& e) { e.origin.at = Time(7); }),
    Alter([](AuditEntry& e) { e.action = "grant-key"; }),
    Alter([](AuditEntry& e) { e.changes.pop_back(); }),
    Alter([](AuditEntry& e) { e.changes[0].branch = "teams/b"; }),
    Alter([](AuditEntry& e) { e.changes[0].name = "share"; }),
    Alter([](AuditEntry& e) { e.changes[0].before = std::nullopt; }),
    Alter([](AuditEntry& e) { e.changes[0].after = "3"; }),
    Alter([](AuditEntry& e) { e.refusal = ErrorKind::Conflict; }),
    Alter([](AuditEntry& e) { e.why = "x"; }),
    Alter([](AuditEntry& e) { e.version = Version(77); }),
    Alter([](AuditEntry& e) { e.hash[5] = e.hash[5] == '0' ? '1' : '0'; }));
  AuditChain chain = TrailOf(5).Chain();
  REQUIRE_FALSE(VerifyChain(chain));
  alter(chain.entries[2]);
  const auto broken = VerifyChain(chain);
  REQUIRE(broken);
  REQUIRE(broken->at == AuditSequence(3));
}

TEST_CASE("a missing entry is found and placed")
{
  const std::size_t gone = GENERATE(0U, 1U, 2U, 3U, 4U);
  AuditChain chain = TrailOf(5).Chain();
  chain.entries.erase(chain.entries.begin() + static_cast<long>(gone));
  const auto broken = VerifyChain(chain);
  REQUIRE(broken);
  REQUIRE(broken->at == AuditSequence(gone + 1));
}

TEST_CASE("a replaced end of the chain is found")
{
  AuditChain chain = TrailOf(5).Chain();
  SECTION("the anchor")
  {
    chain.anchor[0] = 'f';
  }
  SECTION("the head")
  {
    chain.head = chain.anchor;
  }
  SECTION("the first place")
  {
    chain.first = AuditSequence(2);
  }
  SECTION("swapped entries")
  {
    std::swap(chain.entries[1], chain.entries[2]);
  }
  REQUIRE(VerifyChain(chain));
  AuditTrail trail;
  Error reason;
  REQUIRE_FALSE(trail.Load(chain, reason));
  REQUIRE(reason.kind == ErrorKind::DataCorrupt);
}

TEST_CASE("a trail drops the oldest entries and its chain still holds")
{
  const auto limits =
    GENERATE(AuditLimits{ .maxEntries = 3 }, AuditLimits{ .maxBytes = 1000 });
  const AuditTrail trail = TrailOf(20, limits);
  const AuditChain& chain = trail.Chain();
  REQUIRE(chain.entries.size() == 3);
  REQUIRE(chain.first == AuditSequence(18));
  REQUIRE_FALSE(VerifyChain(chain));
  // The head does not depend on what is kept.
  REQUIRE(chain.head == TrailOf(20).Chain().head);
}

TEST_CASE("entries are found by range, operator and branch")
{
  struct Case
  {
    AuditQuery query;
    std::vector<std::uint64_t> places;
  };
  const auto row = GENERATE(
    Case{ { .limit = 2 }, { 5, 6 } },
    Case{ { .from = AuditSequence(2), .to = AuditSequence(4) }, { 2, 3, 4 } },
    Case{ { .who = OperatorId("day") }, { 1, 3, 5 } },
    Case{ { .branch = "teams/a", .limit = 1 }, { 6 } },
    Case{ { .branch = "teams", .limit = 1 }, { 6 } },
    Case{ { .branch = "", .limit = 1 }, { 6 } },
    Case{ { .branch = "teams/abc" }, {} },
    Case{ { .branch = "team" }, {} });
  const AuditTrail trail = TrailOf(6);
  std::vector<std::uint64_t> places;
  for (const AuditEntry& entry : trail.Find(row.query))
    places.push_back(entry.sequence.Value());
  REQUIRE(places == row.places);
}

TEST_CASE("neither digests nor values of unknown names get into the trail")
{
  static const std::string kSalt = "00112233445566778899aabbccddeeff";
  const KeyDigest digest = KeyDigest::Compute("secret", kSalt);
  SettingsTree tree;
  tree.Set("operators/night", "key.op", digest.ToString());
  tree.Set("teams/a", "share", "1");
  FleetState state;
  const Origin origin{ OperatorId("night"), ChangeId("c1"), "::1", Time(1) };
  const Origin next{ OperatorId("night"), ChangeId("c2"), "::1", Time(1) };
  const Origin last{ OperatorId("night"), ChangeId("c3"), "::1", Time(1) };
  state.Apply({ origin, Bootstrap{ tree } });
  state.Apply({ next,
                GrantKey{ .holder = { Role::Team, "a" },
                          .id = KeyId("k"),
                          .digest = digest } });
  state.Apply(
    { last,
      ChangeSettings{ Version(1),
                      { { "teams/a", "key.k2", digest.ToString() },
                        { "teams/a", "kye.k2", digest.ToString() } } } });
  FleetSnapshot onlyAudit;
  onlyAudit.audit = state.Audit().Chain();
  REQUIRE(onlyAudit.audit.entries.size() == 3);
  const std::string bytes = EncodeSnapshot(onlyAudit);
  REQUIRE(bytes.find(kSalt) == std::string::npos);
  REQUIRE(bytes.find("key.k2") != std::string::npos);
}
