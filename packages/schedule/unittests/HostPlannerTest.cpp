#include "SimulatedFleet.h"

#include "greengage/observe/Log.h"
#include "greengage/schedule/BurstForecast.h"
#include "greengage/schedule/HostPlanner.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

using namespace greengage;
using namespace greengage::schedule;

namespace {

/// Six hosts in the pool and four spare hosts, after the planner has read the
/// provider's list twice.
struct Fixture : SimulatedFleet
{
  Fixture()
    : SimulatedFleet(1, true)
  {
    Run(Duration(200));
    for (const char* id : { "w1", "w2", "w3", "w4", "w5", "w6" })
      AddWorker(id);
    for (const char* name : { "s1", "s2", "s3", "s4" })
      AddSpareHost(name);
    Run(Duration(4500));
  }
  std::size_t OrderCount() const
  {
    return static_cast<std::size_t>(std::count_if(
      hostCalls.begin(), hostCalls.end(), [](const HostCall& aCall) {
        return !std::holds_alternative<ListHosts>(aCall.request);
      }));
  }
  bool IsWaveCompleted()
  {
    Send(WaveQuery{ .id = jobs::WaveId(1) });
    const auto* report = std::get_if<WaveReport>(LastReply());
    return report != nullptr && report->isCompleted;
  }
  void StartWave(std::vector<jobs::HostId> aHosts, std::uint32_t aAtOnce)
  {
    Send(WaveStart{ .id = jobs::WaveId(1),
                    .hosts = std::move(aHosts),
                    .maxConcurrentHosts = aAtOnce,
                    .timeLimit = Duration::Seconds(20) });
    Run(Duration(50));
  }
  void CheckInvariants()
  {
    for (const std::string& violation : violations)
      FAIL_CHECK(violation);
  }
};

jobs::Step
MakeStep(std::uint32_t aCount)
{
  return { .count = aCount,
           .request = { MilliCores(1000), Mebibytes(256), {} },
           .estimate = Duration(800) };
}

std::vector<jobs::HostId>
WaveHosts()
{
  std::vector<jobs::HostId> hosts;
  for (const char* name : { "host-w1", "host-w2", "host-w3", "host-w4", "s1" })
    hosts.emplace_back(name);
  return hosts;
}

} // namespace

TEST_CASE_METHOD(Fixture,
                 "a wave completes in time and within its concurrency limit")
{
  StartWave(WaveHosts(), 2);
  CHECK_FALSE(IsWaveCompleted());
  CHECK(RunUntil([&] { return IsWaveCompleted(); }, Duration::Seconds(18)));
  CHECK(maxConcurrentMaintenance <= 2);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "hosts of a wave are maintained after their running tasks end")
{
  const jobs::JobId job =
    Submit({ MakeStep(20) }, { .runTime = Duration(1500) });
  Run(Duration(200));
  StartWave(WaveHosts(), 3);
  CHECK(RunUntil([&] { return IsWaveCompleted(); }, Duration::Seconds(18)));
  CHECK(QueryState(job) == JobProgress::Completed);
  CheckInvariants();
}

TEST_CASE_METHOD(
  Fixture,
  "hosts whose maintenance is not recorded yet count against the "
  "limit of their wave")
{
  // The planner runs several times between the order and its record.
  commitLatency = Duration(400);
  StartWave(WaveHosts(), 2);
  RunUntil([&] { return IsWaveCompleted(); }, Duration::Seconds(30));
  CHECK(maxConcurrentMaintenance == 2);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture, "a pool whose workers' capacity shrinks gets hosts")
{
  constexpr jobs::Resources kShrunkCapacity{ MilliCores(1000),
                                             Mebibytes(2048),
                                             Accelerators(0) };
  jobs::Step step = MakeStep(20);
  step.isPersistent = true;
  Submit({ step });
  Run(Duration(3000));
  REQUIRE(TotalRuns() == 20);
  REQUIRE(HostsInMainPool() == 6);
  for (const char* id : { "w1", "w2", "w3", "w4", "w5", "w6" })
    SetCapacity(id, kShrunkCapacity);
  CHECK(RunUntil([&] { return HostsInMainPool() == 10; }, Duration(4000)));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture, "a new leader continues a wave")
{
  StartWave(WaveHosts(), 1);
  Run(Duration(3000));
  ChangeLeader();
  CHECK(RunUntil([&] { return IsWaveCompleted(); }, Duration::Seconds(25)));
  CHECK(maxConcurrentMaintenance <= 1);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a new leader delays orders for hosts with a recent order")
{
  // The concurrency limit allows no other host while one may be down.
  StartWave(WaveHosts(), 1);
  REQUIRE(RunUntil([&] { return OrderCount() == 1; }, Duration(500)));
  ChangeLeader();
  Run(Duration(2900));
  CHECK(OrderCount() == 1);
  Run(Duration(4000));
  CHECK(OrderCount() > 1);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "a new leader sends orders for other hosts immediately")
{
  StartWave({ jobs::HostId("host-w1") }, 1);
  REQUIRE(RunUntil([&] { return OrderCount() == 1; }, Duration(500)));
  ChangeLeader();
  for (int round = 0; round < 8; ++round) {
    Submit({ MakeStep(30) }, { .runTime = Duration(1000) });
    Run(Duration(100));
  }
  CHECK(HostsInMainPool() == 10);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "persistent tasks leave a host before its order is sent")
{
  jobs::Step service = MakeStep(4);
  service.isPersistent = true;
  service.maxPerWorker = 1;
  service.maxUnavailable = 1;
  const jobs::JobId job = Submit({ service });
  Run(Duration(2500));
  REQUIRE(TotalRuns() == 4);
  StartWave(WaveHosts(), 3);
  std::size_t fewest = 4;
  CHECK(RunUntil(
    [&] {
      fewest = std::min(fewest, TotalRuns());
      return IsWaveCompleted();
    },
    Duration::Seconds(20)));
  CHECK(fewest >= 3);
  CHECK(HasRun(job));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture, "persistent tasks of a step are spread over hosts")
{
  jobs::Step single = MakeStep(1);
  single.isPersistent = true;
  single.maxPerWorker = 1;
  // Puts persistent tasks on two hosts.
  Submit({ single });
  Submit({ MakeStep(2) }, { .runTime = Duration(400) });
  jobs::Step pair = single;
  pair.count = 2;
  Submit({ pair });
  Run(Duration(600));
  jobs::Step service = MakeStep(4);
  service.isPersistent = true;
  service.request.processors = MilliCores(200);
  const std::size_t before = TotalRuns();
  Submit({ service });
  Run(Duration(200));
  REQUIRE(TotalRuns() == before + 4);
  std::size_t most = 0;
  for (const char* id : { "w1", "w2", "w3", "w4", "w5", "w6" })
    most = std::max(most, RunsOn(id));
  // At most two of the four tasks, in addition to at most two others.
  CHECK(most <= 4);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "persistent tasks that must stay available block maintenance")
{
  jobs::Step service = MakeStep(1);
  service.isPersistent = true;
  service.maxUnavailable = 0;
  const jobs::JobId job = Submit({ service });
  Run(Duration(2500));
  StartWave(WaveHosts(), 3);
  Run(Duration::Seconds(15));
  CHECK(HasRun(job));
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "spare hosts are added when demand exceeds a pool's capacity")
{
  REQUIRE(HostsInMainPool() == 6);
  for (int round = 0; round < 20; ++round) {
    Submit({ MakeStep(10) }, { .runTime = Duration(1000) });
    Run(Duration(100));
  }
  CHECK(HostsInMainPool() > 6);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "hosts are released after a burst of demand has ended")
{
  for (int round = 0; round < 60; ++round) {
    Submit({ MakeStep(12) }, { .runTime = Duration(1000) });
    Run(Duration(100));
  }
  CHECK(HostsInMainPool() == 10);
  Run(Duration::Seconds(30));
  CHECK(HostsInMainPool() == 2);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture,
                 "hosts that have just become spare return to a pool on demand")
{
  for (int round = 0; round < 60; ++round) {
    Submit({ MakeStep(12) }, { .runTime = Duration(1000) });
    Run(Duration(100));
  }
  CHECK(
    RunUntil([&] { return HostsInMainPool() == 2; }, Duration::Seconds(30)));
  // The move to the spare pool takes 1.5 s; the move back starts right after.
  bool haveReturned = false;
  for (int round = 0; round < 24 && !haveReturned; ++round) {
    Submit({ MakeStep(30) }, { .runTime = Duration(1000) });
    Run(Duration(100));
    haveReturned = HostsInMainPool() >= 8;
  }
  CHECK(haveReturned);
  CheckInvariants();
}

TEST_CASE_METHOD(Fixture, "no host moves while the provider doesn't answer")
{
  isProviderUnresponsive = true;
  for (int round = 0; round < 20; ++round) {
    Submit({ MakeStep(10) }, { .runTime = Duration(500) });
    Run(Duration(100));
  }
  CHECK(HostsInMainPool() == 6);
  CheckInvariants();
}

TEST_CASE("the rotation of demand bursts among pools is predicted")
{
  const PoolId a("a");
  const PoolId b("b");
  const PoolId c("c");
  BurstForecast forecast;
  // One pool after the other has a demand of 200 cores for 4 s.
  const auto demandOf = [](int aIndex, std::int64_t aMillis) {
    const std::int64_t inRound = aMillis % 12000;
    return inRound / 4000 == aIndex ? 200000 : 4000;
  };
  const auto observeDemand = [&](std::int64_t aFrom, std::int64_t aTo) {
    for (std::int64_t at = aFrom; at < aTo; at += 100) {
      forecast.Observe(a, demandOf(0, at), 400000, Time(at));
      forecast.Observe(b, demandOf(1, at), 400000, Time(at));
      forecast.Observe(c, demandOf(2, at), 400000, Time(at));
    }
  };
  observeDemand(0, 3000);
  CHECK_FALSE(forecast.ExpectedDemand(b, Duration(3000), Time(3000)));
  observeDemand(3000, 7000);
  CHECK(forecast.HasSeenBurst(a));
  CHECK(forecast.HasSeenBurst(b));
  CHECK_FALSE(forecast.HasSeenBurst(c));
  // The only pool without a burst so far is next.
  CHECK(forecast.ExpectedDemand(c, Duration(2000), Time(7000)) == 200000);
  CHECK_FALSE(forecast.ExpectedDemand(a, Duration(2000), Time(7000)));
  observeDemand(7000, 11000);
  CHECK(forecast.ExpectedDemand(a, Duration(2000), Time(11000)) == 200000);
  CHECK_FALSE(forecast.ExpectedDemand(b, Duration(2000), Time(11000)));
  // The burst of a is overdue: none is predicted until another one starts.
  for (std::int64_t at = 11000; at < 16000; at += 100)
    for (const PoolId& pool : { a, b, c })
      forecast.Observe(pool, 4000, 400000, Time(at));
  CHECK_FALSE(forecast.ExpectedDemand(a, Duration(2000), Time(15000)));
  CHECK_FALSE(forecast.ExpectedDemand(b, Duration(2000), Time(15000)));
}

namespace {

/// A planner that leads, has read the provider's list and has proposed the
/// intents to maintain the spare hosts s1 and s2.
struct IntentFixture
  : protected Outbox
  , protected HostOutbox
{
  IntentFixture()
  {
    observe::ConfigureLog({ .path = {}, .level = observe::LogLevel::Error });
    Apply(jobs::PutConfiguration{ .text = "configuration" });
    Apply(jobs::StartWave{ .id = jobs::WaveId(1),
                           .hosts = { HostId("s1"), HostId("s2") },
                           .maxConcurrentHosts = 2,
                           .deadline = now.wall + Duration::Seconds(20) });
    scheduler.BecomeLeader(FencingToken(1), now);
    planner.BecomeLeader(FencingToken(1), now);
    Tick(Duration(0));
    AnswerList({ "s1", "s2" });
    Tick(Duration(150));
  }

  void Tick(Duration aAfter)
  {
    now.steady = now.steady + aAfter;
    now.wall = now.wall + aAfter;
    planner.Tick(now.steady + Duration::Seconds(10), now);
  }
  void AnswerList(const std::vector<std::string>& aHosts)
  {
    HostReply reply;
    reply.id = hostCalls.back().id;
    reply.answer = HostCallStatus::Done;
    for (const std::string& host : aHosts)
      reply.hosts.push_back(
        { .host = HostId(host), .pool = PoolId("spare"), .capacity = {} });
    planner.On(reply, now);
  }
  void Apply(jobs::Operation aOperation)
  {
    Error reason;
    const std::string entry = jobs::Encode({ std::move(aOperation) });
    REQUIRE(machine.Apply(entry, &scheduler, reason));
  }
  void CommitIntent(const char* aHost)
  {
    Apply(jobs::RecordOrderIntent{ .host = HostId(aHost), .at = now.wall });
  }
  /// The hosts of the maintenance orders sent so far.
  std::vector<std::string> OrderedHosts() const
  {
    std::vector<std::string> hosts;
    for (const HostCall& call : hostCalls)
      if (const auto* order = std::get_if<MaintainHost>(&call.request))
        hosts.emplace_back(order->host.Value());
    return hosts;
  }

  void Propose(jobs::Operation aOperation) override
  {
    proposals.push_back(std::move(aOperation));
  }
  void Call(WorkerCall /*aCall*/) override {}
  void Call(AdviceCall /*aCall*/) override {}
  void Call(HostCall aCall) override { hostCalls.push_back(std::move(aCall)); }

  ClockReading now{ .steady = Time(1000000), .wall = Time(1000000) };
  jobs::Operations proposals;
  std::vector<HostCall> hostCalls;
  SimulatedConfigurationReader reader;
  jobs::JobStateMachine machine{ reader };
  Scheduler scheduler{ {}, machine, *this };
  HostPlanner planner{ { .isEnabled = true, .self = EntryHostId("leader") },
                       machine,
                       scheduler,
                       *this,
                       *this };
};

} // namespace

TEST_CASE_METHOD(IntentFixture,
                 "an order is due once its intent has been committed")
{
  REQUIRE(proposals.size() == 2);
  CHECK_FALSE(planner.IsOrderDue());
  // The record of another leader's order for a host unknown here.
  CommitIntent("s3");
  CHECK_FALSE(planner.IsOrderDue());
  CommitIntent("s2");
  CHECK(planner.IsOrderDue());
  Tick(Duration(10));
  CHECK_FALSE(planner.IsOrderDue());
  CHECK(OrderedHosts() == std::vector<std::string>{ "s2" });
  CommitIntent("s1");
  CHECK(planner.IsOrderDue());
  Tick(Duration(10));
  CHECK_FALSE(planner.IsOrderDue());
  CHECK(OrderedHosts() == std::vector<std::string>{ "s2", "s1" });
}

TEST_CASE_METHOD(IntentFixture,
                 "no order is due for a host that is listed no more")
{
  Tick(Duration::Seconds(5));
  AnswerList({ "s2" });
  CommitIntent("s1");
  CHECK_FALSE(planner.IsOrderDue());
  CommitIntent("s2");
  CHECK(planner.IsOrderDue());
  Tick(Duration(10));
  CHECK(OrderedHosts() == std::vector<std::string>{ "s2" });
}

TEST_CASE_METHOD(IntentFixture, "no order is due on a follower")
{
  planner.BecomeFollower();
  CommitIntent("s1");
  CHECK_FALSE(planner.IsOrderDue());
}

TEST_CASE_METHOD(IntentFixture,
                 "a restarted control host waits only with the hosts that may "
                 "be under an order")
{
  CommitIntent("s1");
  now = { .steady = now.steady + Duration::Seconds(12),
          .wall = now.wall + Duration::Seconds(12) };
  CommitIntent("s2");
  proposals.clear();
  HostPlanner restarted({ .isEnabled = true, .self = EntryHostId("leader") },
                        machine,
                        scheduler,
                        *this,
                        *this);
  restarted.BecomeLeader(FencingToken(2), now);
  const auto tick = [&](Duration aAfter) {
    now = { .steady = now.steady + aAfter, .wall = now.wall + aAfter };
    restarted.Tick(now.steady + Duration::Seconds(10), now);
  };
  const auto intendsOrderFor = [&](const char* aHost) {
    return std::any_of(
      proposals.begin(), proposals.end(), [&](const auto& aOperation) {
        const auto* intent = std::get_if<jobs::RecordOrderIntent>(&aOperation);
        return intent != nullptr && intent->host == HostId(aHost);
      });
  };
  tick(Duration(0));
  HostReply list;
  list.id = hostCalls.back().id;
  list.answer = HostCallStatus::Done;
  for (const char* host : { "s1", "s2" })
    list.hosts.push_back(
      { .host = HostId(host), .pool = PoolId("spare"), .capacity = {} });
  restarted.On(list, now);
  tick(Duration(150));
  CHECK(intendsOrderFor("s1"));
  tick(Duration(4000));
  CHECK_FALSE(intendsOrderFor("s2"));
  tick(Duration(1000));
  CHECK(intendsOrderFor("s2"));
}
