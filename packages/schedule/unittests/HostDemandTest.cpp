#include "SimulatedFleet.h"

#include "greengage/schedule/HostPlanner.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace greengage;
using namespace greengage::schedule;

namespace {

/// Queue and pool "lines", queue and pool "bulk", and a pool of spare hosts.
class TwoPoolReader final : public jobs::ConfigurationReader
{
public:
  std::optional<jobs::Configuration> Read(std::string_view /*aText*/,
                                          Error& /*aReason*/) const override
  {
    jobs::Configuration configuration;
    configuration.version = jobs::ConfigurationVersion(1);
    for (const char* name : { "lines", "bulk" }) {
      configuration.pools.push_back({ .id = PoolId(name) });
      configuration.queues.push_back(
        { .id = jobs::QueueId(name), .pool = PoolId(name) });
    }
    configuration.pools.push_back({ .id = PoolId("spare"), .isSpare = true });
    return configuration;
  }
};

/// A planner that leads, with two hosts in each pool and two spare hosts.
struct Fixture
  : private Outbox
  , private HostOutbox
{
  Fixture()
  {
    Apply(jobs::PutConfiguration{ .text = "configuration" });
    scheduler.BecomeLeader(FencingToken(1), now);
    planner.BecomeLeader(FencingToken(1), now);
    planner.Tick(now.steady + Duration::Seconds(10), now);
    HostReply reply;
    reply.id = hostCalls.back().id;
    reply.answer = HostCallStatus::Done;
    for (const char* pool : { "lines", "bulk", "spare" })
      for (const char* number : { "1", "2" })
        reply.hosts.push_back({ .host = HostId(std::string(pool) + number),
                                .pool = PoolId(pool),
                                .capacity = SimulatedFleet::kDefaultCapacity });
    planner.On(reply, now);
  }

  void Apply(jobs::Operation aOperation)
  {
    Error reason;
    const std::string entry = jobs::Encode({ std::move(aOperation) });
    REQUIRE(machine.Apply(entry, &scheduler, reason));
  }
  void Accept(const char* aQueue, jobs::Step aStep)
  {
    Apply(jobs::AcceptJob{ .id = jobs::JobId(++lastJob),
                           .queue = jobs::QueueId(aQueue),
                           .at = now.wall,
                           .description = { .steps = { std::move(aStep) } } });
  }
  /// Plans, and commits the intents of all orders.
  void Plan()
  {
    for (int round = 0; round < 2; ++round) {
      now.steady = now.steady + Duration(150);
      now.wall = now.wall + Duration(150);
      planner.Tick(now.steady + Duration::Seconds(10), now);
      for (jobs::Operation& proposal : std::exchange(proposals, {}))
        Apply(std::move(proposal));
    }
    planner.Tick(now.steady + Duration::Seconds(10), now);
  }
  std::size_t MoveCount(const char* aPool) const
  {
    std::size_t count = 0;
    for (const HostCall& call : hostCalls) {
      const auto* move = std::get_if<MoveHost>(&call.request);
      count += move != nullptr && move->pool == PoolId(aPool) ? 1 : 0;
    }
    return count;
  }

  void Propose(jobs::Operation aOperation) override
  {
    proposals.push_back(std::move(aOperation));
  }
  void Call(WorkerCall /*aCall*/) override {}
  void Call(AdviceCall /*aCall*/) override {}
  void Call(HostCall aCall) override { hostCalls.push_back(std::move(aCall)); }

  std::uint64_t lastJob = 0;
  ClockReading now{ .steady = Time(1000000), .wall = Time(1000000) };
  jobs::Operations proposals;
  std::vector<HostCall> hostCalls;
  TwoPoolReader reader;
  jobs::JobStateMachine machine{ reader };
  Scheduler scheduler{ {}, machine, *this };
  HostPlanner planner{ { .isEnabled = true, .self = EntryHostId("leader") },
                       machine,
                       scheduler,
                       *this,
                       *this };
};

} // namespace

TEST_CASE_METHOD(Fixture,
                 "a waiting persistent task gets a host while another pool "
                 "needs all spare hosts")
{
  Accept("bulk",
         { .count = 100,
           .request = SimulatedFleet::kDefaultCapacity,
           .estimate = Duration(800) });
  Accept("lines",
         { .count = 1,
           .request = { MilliCores(100), Mebibytes(100), {} },
           .isPersistent = true });
  Plan();
  CHECK(MoveCount("lines") == 1);
  CHECK(MoveCount("bulk") == 1);
}
