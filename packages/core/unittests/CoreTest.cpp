#include "greengage/core/Address.h"
#include "greengage/core/Clock.h"
#include "greengage/core/Endpoint.h"
#include "greengage/core/Error.h"
#include "greengage/core/Ids.h"
#include "greengage/core/JsonNesting.h"
#include "greengage/core/UniqueSequence.h"
#include "greengage/core/Utf8.h"

#include <catch2/catch.hpp>

#include <set>
#include <type_traits>

using namespace greengage;

TEST_CASE("ids of different kinds do not convert")
{
  STATIC_REQUIRE_FALSE(std::is_convertible_v<TeamId, PoolId>);
  STATIC_REQUIRE_FALSE(std::is_constructible_v<TeamId, PoolId>);
  REQUIRE(TeamId("a") < TeamId("b"));
}

TEST_CASE("every error kind has its own code and a remedy")
{
  std::set<std::string_view> codes;
  const auto last = static_cast<int>(ErrorKind::Internal);
  for (int kind = 0; kind <= last; ++kind) {
    codes.insert(CodeOf(static_cast<ErrorKind>(kind)));
    REQUIRE_FALSE(RemedyOf(static_cast<ErrorKind>(kind)).empty());
  }
  REQUIRE(codes.size() == static_cast<std::size_t>(last) + 1);
}

TEST_CASE("a failed call leaves its reason")
{
  Error reason;
  const std::optional<int> result =
    Fail(reason, ErrorKind::NotFound, "team \"x\" does not exist");
  REQUIRE_FALSE(result.has_value());
  REQUIRE(Describe(reason) == "team \"x\" does not exist; check the name");
}

TEST_CASE("UTF-8 validation follows RFC 3629")
{
  struct Case
  {
    std::string_view text;
    bool valid;
  };
  const auto row = GENERATE(Case{ "plain", true },
                            Case{ "", true },
                            Case{ "\xC3\xB5", true },
                            Case{ "\xF0\x9F\xA4\x96", true },
                            Case{ "\xC0\xAF", false },
                            Case{ "\xED\xA0\x80", false },
                            Case{ "\xF4\x90\x80\x80", false },
                            Case{ "\x80", false },
                            Case{ "\xE2\x82", false },
                            Case{ "\xFF", false });
  CAPTURE(row.text);
  REQUIRE(IsValidUtf8(row.text) == row.valid);
}

TEST_CASE("identifiers are short and plain")
{
  REQUIRE(IsValidIdentifier("plan-1.a", 16));
  REQUIRE_FALSE(IsValidIdentifier("", 16));
  REQUIRE_FALSE(IsValidIdentifier("a b", 16));
  REQUIRE_FALSE(IsValidIdentifier("a/b", 16));
  REQUIRE(IsValidIdentifier("a/b", 16, true));
  REQUIRE_FALSE(IsValidIdentifier("abcdefgh", 7));
}

TEST_CASE("the boot clock does not go back")
{
  const BootClock clock;
  const Time first = clock.Now();
  REQUIRE(clock.Now() >= first);
}

TEST_CASE("endpoints are IP numbers with ports")
{
  Error reason;
  REQUIRE(ParseEndpoint("127.0.0.1:80", reason)->port == 80);
  REQUIRE(ToString(*ParseEndpoint("[::1]:7", reason)) == "[::1]:7");
  const auto bad = GENERATE("localhost:80",
                            "127.0.0.1",
                            "127.0.0.1:0",
                            ":1",
                            "127.0.0.1:99999",
                            "127.0.0.1:8x",
                            "");
  REQUIRE_FALSE(ParseEndpoint(bad, reason).has_value());
  REQUIRE(reason.kind == ErrorKind::Malformed);
}

TEST_CASE("unicast addresses are told from others")
{
  for (const char* address :
       { "10.0.0.1", "127.0.0.1", "::1", "fe80::1", "::ffff:10.0.0.1" }) {
    INFO(address);
    CHECK(IsUnicastAddress(address));
  }
  for (const char* address : { "0.0.0.0",
                               "255.255.255.255",
                               "224.0.0.1",
                               "::",
                               "ff02::1",
                               "::ffff:0.0.0.0",
                               "worker.example",
                               "" }) {
    INFO(address);
    CHECK_FALSE(IsUnicastAddress(address));
  }
}

TEST_CASE("an endpoint whose address goes on behind a NUL is none")
{
  Error reason;
  CHECK_FALSE(ParseEndpoint(std::string("10.0.0.1\0x:80", 13), reason));
}

TEST_CASE("nesting of JSON is counted outside of strings")
{
  CHECK_FALSE(IsNestedDeeper("", 0));
  CHECK_FALSE(IsNestedDeeper("[[]]", 2));
  CHECK(IsNestedDeeper("[[]]", 1));
  CHECK(IsNestedDeeper(R"({"a":[{}]})", 2));
  CHECK_FALSE(IsNestedDeeper("[[],[],[]]", 2));
  CHECK_FALSE(IsNestedDeeper(R"(["[[[\"[[["])", 1));
  CHECK(IsNestedDeeper(R"(["\\",[]])", 1));
  // Not JSON.
  CHECK_FALSE(IsNestedDeeper("]]]][", 1));
}

TEST_CASE("a sequence of numbers ascends and shares none with another one")
{
  constexpr std::uint64_t kMaxExactInJson = std::uint64_t{ 1 } << 53U;
  std::set<std::uint64_t> numbers;
  for (int incarnation = 0; incarnation < 100; ++incarnation) {
    UniqueSequence sequence;
    std::uint64_t last = 0;
    for (int message = 0; message < 100; ++message) {
      const std::uint64_t number = sequence.Next();
      REQUIRE(number > last);
      REQUIRE(number < kMaxExactInJson);
      REQUIRE(numbers.insert(number).second);
      last = number;
    }
  }
}
