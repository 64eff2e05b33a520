#include "ModelFleet.h"

#include "greengage/schedule/TurnForecast.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace greengage;
using namespace greengage::schedule;

namespace {

/// Six hosts in the pool and four spare ones, after the provider's second list.
struct Fixture : ModelFleet
{
  Fixture()
    : ModelFleet(1, true)
  {
    Run(Duration(200));
    for (const char* id : { "w1", "w2", "w3", "w4", "w5", "w6" })
      AddWorker(id);
    for (const char* name : { "s1", "s2", "s3", "s4" })
      AddSpareHost(name);
    Run(Duration(4500));
  }
  std::size_t Orders() const
  {
    return static_cast<std::size_t>(std::count_if(
      hostCalls.begin(), hostCalls.end(), [](const HostCall& aCall) {
        return !std::holds_alternative<ListHosts>(aCall.request);
      }));
  }
  bool IsWaveCompleted()
  {
    Ask(WaveQuery{ .id = jobs::WaveId(1) });
    const auto* report = std::get_if<WaveReport>(LastReply());
    return report != nullptr && report->isCompleted;
  }
  void StartWaveOf(std::vector<jobs::HostId> aHosts, std::uint32_t aAtOnce)
  {
    Ask(WaveStart{ .id = jobs::WaveId(1),
                   .hosts = std::move(aHosts),
                   .maxAtOnce = aAtOnce,
                   .within = Duration::Seconds(20) });
    Run(Duration(50));
  }
  void CheckAll()
  {
    for (const std::string& what : broken)
      FAIL_CHECK(what);
  }
};

jobs::Step
Tasks(std::uint32_t aCount)
{
  return { .count = aCount,
           .request = { MilliCores(1000), Mebibytes(256), {} },
           .estimate = Duration(800) };
}

std::vector<jobs::HostId>
AllHosts()
{
  std::vector<jobs::HostId> hosts;
  for (const char* name : { "host-w1", "host-w2", "host-w3", "host-w4", "s1" })
    hosts.emplace_back(name);
  return hosts;
}

} // namespace

TEST_CASE_METHOD(Fixture, "a wave is carried out in time and within its bound")
{
  StartWaveOf(AllHosts(), 2);
  CHECK_FALSE(IsWaveCompleted());
  CHECK(RunUntil([&] { return IsWaveCompleted(); }, Duration::Seconds(18)));
  CHECK(mostMaintained <= 2);
  CheckAll();
}

TEST_CASE_METHOD(Fixture, "a wave lets running tasks end first")
{
  const jobs::JobId job = Submit({ Tasks(20) }, { .runTime = Duration(1500) });
  Run(Duration(200));
  StartWaveOf(AllHosts(), 3);
  CHECK(RunUntil([&] { return IsWaveCompleted(); }, Duration::Seconds(18)));
  CHECK(StateOf(job) == JobProgress::Completed);
  CheckAll();
}

TEST_CASE_METHOD(Fixture, "a wave goes on under a new leader")
{
  StartWaveOf(AllHosts(), 1);
  Run(Duration(3000));
  ChangeLeader();
  CHECK(RunUntil([&] { return IsWaveCompleted(); }, Duration::Seconds(25)));
  CHECK(mostMaintained <= 1);
  CheckAll();
}

TEST_CASE_METHOD(Fixture, "a new leader waits for hosts under an order only")
{
  // The bound leaves no other host to take while one may be down.
  StartWaveOf(AllHosts(), 1);
  REQUIRE(RunUntil([&] { return Orders() == 1; }, Duration(500)));
  ChangeLeader();
  Run(Duration(2900));
  CHECK(Orders() == 1);
  Run(Duration(4000));
  CHECK(Orders() > 1);
  CheckAll();
}

TEST_CASE_METHOD(Fixture, "a new leader orders other hosts at once")
{
  StartWaveOf({ jobs::HostId("host-w1") }, 1);
  REQUIRE(RunUntil([&] { return Orders() == 1; }, Duration(500)));
  ChangeLeader();
  for (int round = 0; round < 8; ++round) {
    Submit({ Tasks(30) }, { .runTime = Duration(1000) });
    Run(Duration(100));
  }
  CHECK(HostsInLines() == 10);
  CheckAll();
}

TEST_CASE_METHOD(Fixture, "persistent tasks move before their host is ordered")
{
  jobs::Step service = Tasks(4);
  service.isPersistent = true;
  service.maxPerWorker = 1;
  service.maxUnavailable = 1;
  const jobs::JobId job = Submit({ service });
  Run(Duration(2500));
  REQUIRE(RunsInAll() == 4);
  StartWaveOf(AllHosts(), 3);
  std::size_t fewest = 4;
  CHECK(RunUntil(
    [&] {
      fewest = std::min(fewest, RunsInAll());
      return IsWaveCompleted();
    },
    Duration::Seconds(20)));
  CHECK(fewest >= 3);
  CHECK(HasRun(job));
  CheckAll();
}

TEST_CASE_METHOD(Fixture, "persistent tasks of one step are spread over hosts")
{
  jobs::Step other = Tasks(1);
  other.isPersistent = true;
  other.maxPerWorker = 1;
  // Two hosts have persistent tasks already.
  Submit({ other });
  Submit({ Tasks(2) }, { .runTime = Duration(400) });
  jobs::Step pair = other;
  pair.count = 2;
  Submit({ pair });
  Run(Duration(600));
  jobs::Step service = Tasks(4);
  service.isPersistent = true;
  service.request.processors = MilliCores(200);
  const std::size_t before = RunsInAll();
  Submit({ service });
  Run(Duration(200));
  REQUIRE(RunsInAll() == before + 4);
  std::size_t most = 0;
  for (const char* id : { "w1", "w2", "w3", "w4", "w5", "w6" })
    most = std::max(most, RunsOn(id));
  // Beside at most two others, two of the four.
  CHECK(most <= 4);
  CheckAll();
}

TEST_CASE_METHOD(Fixture, "persistent tasks that may not be away stay")
{
  jobs::Step service = Tasks(1);
  service.isPersistent = true;
  service.maxUnavailable = 0;
  const jobs::JobId job = Submit({ service });
  Run(Duration(2500));
  StartWaveOf(AllHosts(), 3);
  Run(Duration::Seconds(15));
  CHECK(HasRun(job));
  CheckAll();
}

TEST_CASE_METHOD(Fixture, "spare hosts come when the demand exceeds the pool")
{
  REQUIRE(HostsInLines() == 6);
  for (int round = 0; round < 20; ++round) {
    Submit({ Tasks(10) }, { .runTime = Duration(1000) });
    Run(Duration(100));
  }
  CHECK(HostsInLines() > 6);
  CheckAll();
}

TEST_CASE_METHOD(Fixture, "hosts go back once a turn of demand has ended")
{
  for (int round = 0; round < 60; ++round) {
    Submit({ Tasks(12) }, { .runTime = Duration(1000) });
    Run(Duration(100));
  }
  CHECK(HostsInLines() == 10);
  Run(Duration::Seconds(30));
  CHECK(HostsInLines() == 2);
  CheckAll();
}

TEST_CASE_METHOD(Fixture,
                 "hosts that have just become spare come again at once")
{
  for (int round = 0; round < 60; ++round) {
    Submit({ Tasks(12) }, { .runTime = Duration(1000) });
    Run(Duration(100));
  }
  CHECK(RunUntil([&] { return HostsInLines() == 2; }, Duration::Seconds(30)));
  // The move to the spare pool takes 1.5 s; the way back begins at once.
  bool isBack = false;
  for (int round = 0; round < 24 && !isBack; ++round) {
    Submit({ Tasks(30) }, { .runTime = Duration(1000) });
    Run(Duration(100));
    isBack = HostsInLines() >= 8;
  }
  CHECK(isBack);
  CheckAll();
}

TEST_CASE_METHOD(Fixture, "a silent provider leaves the hosts where they are")
{
  isProviderSilent = true;
  for (int round = 0; round < 20; ++round) {
    Submit({ Tasks(10) }, { .runTime = Duration(500) });
    Run(Duration(100));
  }
  CHECK(HostsInLines() == 6);
  CheckAll();
}

TEST_CASE("turns of demand are learned")
{
  const PoolId a("a");
  const PoolId b("b");
  const PoolId c("c");
  TurnForecast forecast;
  // Each pool in turn asks for 200 cores for 4 s, every 4 s another one.
  const auto demandOf = [](int aPlace, std::int64_t aMillis) {
    const std::int64_t inRound = aMillis % 12000;
    return inRound / 4000 == aPlace ? 200000 : 4000;
  };
  const auto play = [&](std::int64_t aFrom, std::int64_t aTo) {
    for (std::int64_t at = aFrom; at < aTo; at += 100) {
      forecast.Observe(a, demandOf(0, at), 400000, Time(at));
      forecast.Observe(b, demandOf(1, at), 400000, Time(at));
      forecast.Observe(c, demandOf(2, at), 400000, Time(at));
    }
  };
  play(0, 3000);
  CHECK_FALSE(forecast.Expected(b, Duration(3000), Time(3000)));
  play(3000, 7000);
  CHECK(forecast.HasBegunTurn(a));
  CHECK(forecast.HasBegunTurn(b));
  CHECK_FALSE(forecast.HasBegunTurn(c));
  // The last one without a turn comes next.
  CHECK(forecast.Expected(c, Duration(2000), Time(7000)) == 200000);
  CHECK_FALSE(forecast.Expected(a, Duration(2000), Time(7000)));
  play(7000, 11000);
  CHECK(forecast.Expected(a, Duration(2000), Time(11000)) == 200000);
  CHECK_FALSE(forecast.Expected(b, Duration(2000), Time(11000)));
  // The turn of a does not come; nobody's is expected until one does.
  for (std::int64_t at = 11000; at < 16000; at += 100)
    for (const PoolId& pool : { a, b, c })
      forecast.Observe(pool, 4000, 400000, Time(at));
  CHECK_FALSE(forecast.Expected(a, Duration(2000), Time(15000)));
  CHECK_FALSE(forecast.Expected(b, Duration(2000), Time(15000)));
}
