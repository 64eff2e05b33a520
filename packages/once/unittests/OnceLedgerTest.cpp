#include "TestFleet.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace greengage;
using namespace greengage::once;
using namespace greengage::once::test;

static const std::vector<std::string> kThreeZones = { "z1", "z1", "z1", "z2",
                                                      "z2", "z3", "z3" };
static const std::vector<std::string> kFourZones = { "z1", "z1", "z2", "z2",
                                                     "z3", "z3", "z4" };

/// The seed of all schedules; GREENGAGE_SEED sets another.
static std::uint64_t
BaseSeed()
{
  const char* text = std::getenv("GREENGAGE_SEED");
  return text == nullptr ? 20261204 : std::strtoull(text, nullptr, 10);
}

/// Cuts, drops, doubles, restarts and lost answers at once.
static Roughness
EverythingFails()
{
  return { .drop = 0.05,
           .duplicate = 0.05,
           .longestDelay = Duration(40),
           .hasCuts = true,
           .restarts = 3,
           .lostAnswers = 0.1,
           .tamper = {} };
}

/// Runs one schedule and returns the first broken promise.
static std::string
RunSchedule(std::uint64_t aSeed, const Roughness& aRoughness)
{
  TestFleet fleet(aSeed, aSeed % 2 == 0 ? kThreeZones : kFourZones, aRoughness);
  fleet.Plan(12, 5, Duration::Seconds(3));
  fleet.RunFor(Duration::Seconds(9));
  std::string violation = fleet.Violation();
  bool isSilent = false;
  for (const auto each :
       { Idempotence::NonIdempotent, Idempotence::Idempotent })
    isSilent = isSilent || fleet.Outcomes(each).contains("none");
  if (!violation.empty() || !isSilent)
    return violation;
  return "a call had no outcome after its deadline";
}

TEST_CASE("no schedule runs an id twice or tells an untruth")
{
  constexpr std::uint64_t kSchedules = 2000;
  for (std::uint64_t index = 0; index < kSchedules; ++index) {
    const std::uint64_t seed = BaseSeed() + index;
    CAPTURE(seed);
    const std::string violation = RunSchedule(seed, EverythingFails());
    CAPTURE(violation);
    REQUIRE(violation.empty());
  }
}

TEST_CASE("without failures every call is answered or not run")
{
  for (std::uint64_t index = 0; index < 200; ++index) {
    const std::uint64_t seed = BaseSeed() + index;
    CAPTURE(seed);
    TestFleet fleet(seed, index % 2 == 0 ? kThreeZones : kFourZones, {});
    REQUIRE(fleet.AllServing());
    fleet.Plan(20, 5, Duration::Seconds(2));
    fleet.RunFor(Duration::Seconds(8));
    REQUIRE(fleet.Violation().empty());
    const auto outcomes = fleet.Outcomes(Idempotence::NonIdempotent);
    REQUIRE_FALSE(outcomes.contains("none"));
    REQUIRE_FALSE(outcomes.contains("unknown"));
    REQUIRE_FALSE(fleet.Outcomes(Idempotence::Idempotent).contains("none"));
  }
}

TEST_CASE("each broken variant is found out")
{
  struct Variant
  {
    const char* name;
    bool forgetful;
    std::function<void(Batch&)> tamper;
  };
  const auto grantAll = [](Verdict aVerdict) {
    return [aVerdict](Batch& aBatch) {
      for (Item& item : aBatch.items)
        if (auto* reply = std::get_if<ClaimReply>(&item))
          if (reply->verdict == aVerdict) {
            reply->verdict = Verdict::Granted;
            reply->held.reset();
          }
    };
  };
  const std::vector<Variant> variants = {
    { "restarted keeper says absent", true, {} },
    { "one grant counts for two", false, grantAll(Verdict::Held) },
    { "recovering keeper grants", false, grantAll(Verdict::Recovering) },
  };
  for (const Variant& variant : variants) {
    Roughness roughness = EverythingFails();
    roughness.forgetful = variant.forgetful;
    roughness.tamper = variant.tamper;
    int found = 0;
    std::uint64_t index = 0;
    for (; index < 2000 && found == 0; ++index)
      found += RunSchedule(BaseSeed() + index, roughness).empty() ? 0 : 1;
    INFO(variant.name << " after " << index << " schedules");
    REQUIRE(found == 1);
  }
}
