#include "greengage/observe/Log.h"
#include "greengage/schedule/HostPlanner.h"
#include "greengage/schedule/Scheduler.h"

#include <benchmark/benchmark.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace greengage;
using namespace greengage::schedule;

namespace {

constexpr std::uint64_t kWorkers = 350;
constexpr std::uint64_t kPools = 5;
constexpr jobs::Resources kWorkerCapacity{ MilliCores(16000),
                                           Mebibytes(32768),
                                           Accelerators(0) };

PoolId
PoolOf(std::uint64_t aIndex)
{
  return PoolId("pool-" + std::to_string(aIndex % kPools));
}

jobs::QueueId
QueueOf(std::uint64_t aIndex)
{
  return jobs::QueueId("queue-" + std::to_string(aIndex % kPools));
}

jobs::HostId
HostOf(std::uint64_t aIndex)
{
  return jobs::HostId("host-" + std::to_string(aIndex));
}

/// A queue for each pool, without quota.
class BenchConfigurationReader final : public jobs::ConfigurationReader
{
public:
  std::optional<jobs::Configuration> Read(std::string_view /*aText*/,
                                          Error& /*aReason*/) const override
  {
    jobs::Configuration configuration;
    configuration.version = jobs::ConfigurationVersion(1);
    for (std::uint64_t index = 0; index < kPools; ++index) {
      configuration.pools.push_back({ .id = PoolOf(index) });
      configuration.queues.push_back({ .id = QueueOf(index),
                                       .hostName = "h",
                                       .pathPrefix = "/p/",
                                       .pool = PoolOf(index),
                                       .maxAttempts = 3,
                                       .stretch = 1.6,
                                       .objective = Duration(600),
                                       .timeout = Duration(3000) });
    }
    return configuration;
  }
};

/// A leading scheduler whose workers are all fully occupied by one run each.
class FullFleet
  : public Outbox
  , public HostOutbox
{
public:
  FullFleet()
  {
    observe::ConfigureLog({ .path = {}, .level = observe::LogLevel::Error });
    Propose(jobs::PutConfiguration{ .text = "configuration" });
    for (std::uint64_t index = 0; index < kWorkers; ++index)
      Propose(jobs::RegisterWorker{ .worker = WorkerAt(index) });
    Commit();
    scheduler.BecomeLeader(FencingToken(1), now);
    for (std::uint64_t index = 0; index < kWorkers; ++index)
      scheduler.OnHeartbeat(
        { .worker = WorkerAt(index), .sequence = 1, .clock = now.steady },
        now.steady);
    scheduler.Tick(now);
    AnswerCalls();
    for (std::uint64_t pool = 0; pool < kPools; ++pool)
      Submit(pool, kWorkers / kPools, kWorkerCapacity);
    scheduler.Dispatch(now);
    Commit();
    AnswerCalls();
  }

  void Submit(std::uint64_t aPool,
              std::uint32_t aTasks,
              const jobs::Resources& aRequest)
  {
    Propose(jobs::AcceptJob{
      .id = jobs::JobId(++lastJob_),
      .queue = QueueOf(aPool),
      .team = {},
      .at = now.wall,
      .description = { .payload = "x",
                       .steps = { { .count = aTasks,
                                    .request = aRequest,
                                    .estimate = Duration(800) } } } });
    Commit();
  }

  /// Reports the call as executed, with an up-to-date list of runs for a
  /// renewal.
  void Answer(const WorkerCall& aCall)
  {
    WorkerReply reply;
    reply.id = aCall.id;
    reply.answer = WorkerCallStatus::Done;
    reply.clock = now.steady;
    reply.hasLists = std::holds_alternative<RenewLease>(aCall.request);
    if (reply.hasLists) {
      const auto number = machine.FindWorkerNumber(aCall.worker);
      for (const auto& [task, run] : scheduler.FindSession(*number)->runs)
        reply.running.push_back(
          { .task = task, .attempt = run.attempt, .checkpoint = {} });
    }
    scheduler.On(reply, now);
  }

  /// The provider's answer to the last call: all hosts are up.
  HostReply ListedHosts() const
  {
    HostReply reply;
    reply.id = hostCalls.back().id;
    reply.answer = HostCallStatus::Done;
    for (std::uint64_t index = 0; index < kWorkers; ++index)
      reply.hosts.push_back({ .host = HostOf(index),
                              .pool = PoolOf(index),
                              .capacity = kWorkerCapacity });
    return reply;
  }

  // Outbox and HostOutbox:
  void Propose(jobs::Operation aOperation) override
  {
    operations_.push_back(std::move(aOperation));
  }
  void Call(WorkerCall aCall) override { calls.push_back(std::move(aCall)); }
  void Call(AdviceCall /*aCall*/) override {}
  void Call(HostCall aCall) override { hostCalls.push_back(std::move(aCall)); }

  ClockReading now{ .steady = Time(1000000), .wall = Time(1000000) };
  std::vector<WorkerCall> calls;
  std::vector<HostCall> hostCalls;
  BenchConfigurationReader reader;
  jobs::JobStateMachine machine{ reader };
  Scheduler scheduler{ {}, machine, *this };

private:
  static jobs::WorkerRecord WorkerAt(std::uint64_t aIndex)
  {
    return { .id = jobs::WorkerId("worker-" + std::to_string(aIndex)),
             .incarnation = jobs::Incarnation(1),
             .host = HostOf(aIndex),
             .endpoint = { "127.0.0.1", 9000 },
             .pool = PoolOf(aIndex),
             .rack = RackId("rack-" + std::to_string(aIndex % 20)),
             .capacity = kWorkerCapacity };
  }

  void Commit()
  {
    Error reason;
    machine.Apply(
      jobs::Encode(std::exchange(operations_, {})), &scheduler, reason);
  }

  /// Answers the calls made so far, but not those made in response.
  void AnswerCalls()
  {
    for (const WorkerCall& call : std::exchange(calls, {}))
      Answer(call);
  }

  jobs::Operations operations_;
  std::uint64_t lastJob_ = 0;
};

} // namespace

/// One dispatch pass over jobs that find no place. The argument is their
/// number.
static void
DispatchPass(benchmark::State& aState)
{
  FullFleet fleet;
  for (std::int64_t job = 0; job < aState.range(0); ++job)
    fleet.Submit(static_cast<std::uint64_t>(job),
                 8,
                 { MilliCores(2000), Mebibytes(2048), Accelerators(0) });
  const std::uint64_t examinedBefore = fleet.scheduler.Work().examinedWorkers;
  for (auto _ : aState)
    fleet.scheduler.Dispatch(fleet.now);
  aState.counters["workers"] = benchmark::Counter(
    static_cast<double>(fleet.scheduler.Work().examinedWorkers -
                        examinedBefore),
    benchmark::Counter::kAvgIterations);
}
BENCHMARK(DispatchPass)
  ->Arg(0)
  ->Arg(100)
  ->Arg(600)
  ->Unit(benchmark::kMicrosecond);

/// The reply to a lease renewal that lists the worker's run.
static void
RenewalReply(benchmark::State& aState)
{
  FullFleet fleet;
  std::vector<WorkerCall> renewals;
  for (auto _ : aState) {
    if (renewals.empty()) {
      aState.PauseTiming();
      // Each reply makes the scheduler renew the lease again.
      renewals = std::exchange(fleet.calls, {});
      aState.ResumeTiming();
    }
    const WorkerCall call = std::move(renewals.back());
    renewals.pop_back();
    fleet.Answer(call);
  }
}
BENCHMARK(RenewalReply)->Unit(benchmark::kMicrosecond);

/// One planning round with a host for each worker, with jobs that wait.
static void
PlannerTick(benchmark::State& aState)
{
  FullFleet fleet;
  for (std::int64_t job = 0; job < aState.range(0); ++job)
    fleet.Submit(static_cast<std::uint64_t>(job),
                 8,
                 { MilliCores(2000), Mebibytes(2048), Accelerators(0) });
  HostPlanner planner({ .isEnabled = true, .self = EntryHostId("leader") },
                      fleet.machine,
                      fleet.scheduler,
                      fleet,
                      fleet);
  planner.BecomeLeader(FencingToken(1), fleet.now);
  for (auto _ : aState) {
    fleet.now.steady = fleet.now.steady + Duration(150);
    planner.Tick(fleet.now.steady + Duration::Seconds(10), fleet.now);
    if (fleet.hostCalls.empty())
      continue;
    aState.PauseTiming();
    planner.On(fleet.ListedHosts(), fleet.now);
    fleet.hostCalls.clear();
    aState.ResumeTiming();
  }
}
BENCHMARK(PlannerTick)->Arg(0)->Arg(600)->Unit(benchmark::kMicrosecond);

/// Whether an order is due, which the scheduling duty asks for each message.
static void
IsOrderDue(benchmark::State& aState)
{
  FullFleet fleet;
  HostPlanner planner({ .isEnabled = true, .self = EntryHostId("leader") },
                      fleet.machine,
                      fleet.scheduler,
                      fleet,
                      fleet);
  planner.BecomeLeader(FencingToken(1), fleet.now);
  planner.Tick(fleet.now.steady + Duration::Seconds(10), fleet.now);
  planner.On(fleet.ListedHosts(), fleet.now);
  for (auto _ : aState)
    benchmark::DoNotOptimize(planner.IsOrderDue());
}
BENCHMARK(IsOrderDue)->Unit(benchmark::kNanosecond);
