#include "../lib/filters/MissingLeaderReport.h"

#include <catch2/catch.hpp>

#include <cstddef>
#include <vector>

using namespace greengage;
using namespace greengage::daemon::detail;

namespace {

const EntryHostId kSelf("a");
const EntryHostId kSecond("b");
const EntryHostId kThird("c");

/// One of three replicas, which hears of no leader unless a test has it elect
/// one.
struct Fixture
{
  /// Lets time pass in the steps of a duty's timer.
  std::vector<MissingLeader> Run(Duration aSpan)
  {
    std::vector<MissingLeader> reports;
    for (const Time end = now + aSpan; now < end; now = now + Duration(50))
      if (auto line = report.Update(replica, now))
        reports.push_back(std::move(*line));
    return reports;
  }

  consensus::Replica replica{
    { .self = { .host = kSelf, .incarnation = consensus::Incarnation(1) },
      .voters = { kSelf, kSecond, kThird } },
    {},
    Time(0)
  };
  MissingLeaderReport report;
  Time now{ 1000 };
};

} // namespace

TEST_CASE("a host without a leader reports it every two seconds")
{
  Fixture fixture;
  CHECK(fixture.report.IsLeaderKnown());
  CHECK(fixture.Run(Duration(2000)).empty());
  CHECK_FALSE(fixture.report.IsLeaderKnown());
  const std::vector<MissingLeader> reports = fixture.Run(Duration::Seconds(10));
  REQUIRE(reports.size() == 5);
  CHECK(reports.front().lasted == Duration::Seconds(2));
  CHECK(reports.back().lasted == Duration::Seconds(10));
}

TEST_CASE("a report without a leader names the hosts heard since the last one")
{
  Fixture fixture;
  fixture.report.OnHeard(kSecond, fixture.now);
  fixture.Run(Duration(2000));
  fixture.report.OnHeard(kThird, fixture.now);
  const std::vector<MissingLeader> reports = fixture.Run(Duration(100));
  REQUIRE(reports.size() == 1);
  CHECK(reports.front().heard == std::vector<EntryHostId>{ kThird });
}
