#include "greengage/settings/IniFile.h"
#include "greengage/settings/Values.h"

#include <catch2/catch.hpp>

using namespace greengage;
using namespace greengage::settings;

TEST_CASE("entries remember their lines")
{
  Error reason;
  const auto file =
    IniFile::Parse("top = 1\n; note\n[host]\nid = e1\n\nzone=a\n", "f", reason);
  REQUIRE(file);
  REQUIRE(file->Find("", "top")->line == 1);
  const IniEntry* zone = file->Find("host", "zone");
  REQUIRE(zone != nullptr);
  REQUIRE(zone->value == "a");
  REQUIRE(file->Where(*zone) == "f:6: [host] zone");
  REQUIRE(file->Find("host", "nothing") == nullptr);
}

TEST_CASE("broken INI names the line")
{
  struct Case
  {
    const char* text;
    const char* where;
  };
  const auto row = GENERATE(Case{ "[host]\nid e1\n", "f:2:" },
                            Case{ "[host\nid = e1\n", "f:1:" },
                            Case{ "[a]\nk=1\nk=2\n", "f:3:" },
                            Case{ "k=\xFF\n", "f: text is not UTF-8" });
  Error reason;
  REQUIRE_FALSE(IniFile::Parse(row.text, "f", reason));
  CAPTURE(reason.detail);
  REQUIRE(reason.kind == ErrorKind::InvalidSetting);
  REQUIRE(reason.detail.find(row.where) == 0);
}

TEST_CASE("durations carry their unit")
{
  Error reason;
  REQUIRE(ParseDuration("250ms", reason) == Duration(250));
  REQUIRE(ParseDuration("10s", reason) == Duration(10000));
  REQUIRE(ParseDuration("5min", reason) == Duration(300000));
  REQUIRE(ParseDuration("8w", reason) == Duration(4838400000));
  REQUIRE(ParseDuration("1.5s", reason) == Duration(1500));
  REQUIRE(ParseDuration("0.25min", reason) == Duration(15000));
  const auto bad = GENERATE("",
                            "10",
                            "s",
                            "-1s",
                            "1.5ms",
                            "1.0005s",
                            "1.s",
                            ".5s",
                            "1.-5s",
                            "1.2.3s",
                            "1.0000000s",
                            "99999999999999999999s",
                            "1 s");
  REQUIRE_FALSE(ParseDuration(bad, reason));
}

TEST_CASE("numbers outside their range are refused")
{
  Error reason;
  REQUIRE(ParseInteger("8", { 1, 8 }, reason) == 8);
  REQUIRE_FALSE(ParseInteger("9", { 1, 8 }, reason));
  REQUIRE_FALSE(ParseInteger("8x", { 1, 8 }, reason));
  REQUIRE(ParseDecimal("0.5", 1, reason) == 0.5);
  REQUIRE_FALSE(ParseDecimal("nan", 1, reason));
  REQUIRE_FALSE(ParseDecimal("-1", 1, reason));
  REQUIRE(ParseBoolean("true", reason) == true);
  REQUIRE_FALSE(ParseBoolean("yes", reason));
}
