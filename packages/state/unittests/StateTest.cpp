#include "greengage/state/FleetView.h"

#include <catch2/catch.hpp>

using namespace greengage;
using namespace greengage::state;

static SettingsTree
TreeOf(const std::string& aText)
{
  Error reason;
  const auto file = settings::IniFile::Parse(aText, "test", reason);
  REQUIRE(file);
  return SettingsTree::FromIni(*file);
}

TEST_CASE("a lower branch overrides, and the source is known")
{
  const SettingsTree tree =
    TreeOf("limit = 10\n[teams/a]\nlimit = 4\n[teams/a/b]\nshare = 2\n");
  REQUIRE(tree.Explain("teams/a/b", "limit")->value == "4");
  REQUIRE(tree.Explain("teams/a/b", "limit")->from == "teams/a");
  REQUIRE(tree.Explain("teams/c", "limit")->from.empty());
  REQUIRE_FALSE(tree.Explain("teams/c", "share"));
}

TEST_CASE("a tree survives INI and back")
{
  SettingsTree tree = TreeOf("limit = 10\n[teams/a]\nlimit = 4\n");
  REQUIRE(TreeOf(tree.ToIni()) == tree);
  REQUIRE(tree.Unset("teams/a", "limit"));
  REQUIRE_FALSE(tree.Unset("teams/a", "limit"));
  REQUIRE(tree.Explain("teams/a", "limit")->value == "10");
}

TEST_CASE("only leaves are teams")
{
  Error reason;
  const auto view = BuildFleetView(
    TreeOf("[teams/g]\nlimit=3\n[teams/g/a]\nshare=2\n[teams/h]\nshare=1\n"
           "[pools/lines]\nspare=1\n"),
    Version(7),
    reason);
  REQUIRE(view);
  REQUIRE(view->version == Version(7));
  REQUIRE(view->teams.size() == 2);
  REQUIRE(view->teams.at(TeamId("g/a")).limit == Slots(3));
  REQUIRE(view->pools.contains(PoolId("lines")));
}

TEST_CASE("a wrong value names its branch")
{
  Error reason;
  const auto bad = GENERATE("[teams/a]\nlimit = -1\n",
                            "[teams/a]\nlimit = x\n",
                            "[teams/a]\nkey.k = short\n",
                            "[teams/a]\nshare = inf\n");
  REQUIRE_FALSE(BuildFleetView(TreeOf(bad), Version(1), reason));
  REQUIRE(reason.detail.find("[teams/a] ") == 0);
}

TEST_CASE("keys authenticate by digest only")
{
  const KeyDigest digest = KeyDigest::Compute("s3cret", RandomHex(8));
  const std::string text = digest.ToString();
  Error reason;
  REQUIRE(KeyDigest::Parse(text, reason) == digest);
  const auto view = BuildFleetView(
    TreeOf("[teams/a]\nkey.k1 = " + text + "\n"), Version(1), reason);
  REQUIRE(view);
  const auto principal = Authenticate(*view, "Bearer k1.s3cret", reason);
  REQUIRE(principal == Principal{ .role = Role::Team, .name = "a" });
  const auto bad = GENERATE("Bearer k1.wrong",
                            "Bearer k2.s3cret",
                            "Bearer k1",
                            "Basic k1.s3cret",
                            "",
                            "Bearer .s3cret",
                            "Bearer k1.");
  REQUIRE_FALSE(Authenticate(*view, bad, reason));
  REQUIRE(reason.kind == ErrorKind::Unauthenticated);
}
