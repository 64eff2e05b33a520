#include "greengage/consensus/Replica.h"

#include <benchmark/benchmark.h>

#include <deque>

using namespace greengage;
using namespace greengage::consensus;

namespace {

/// Runs replicas in one thread. Messages and writes complete without delay.
class Cluster
{
public:
  explicit Cluster(std::size_t aSize)
  {
    std::set<EntryHostId> hosts;
    for (std::size_t at = 0; at < aSize; ++at)
      hosts.insert(EntryHostId("h" + std::to_string(at)));
    for (const EntryHostId& host : hosts) {
      ReplicaOptions options{ .self = { host, Incarnation(1) },
                              .voters = hosts };
      options.seed = replicas_.size() + 1;
      replicas_.emplace_back(options, DurableState(), now_);
    }
    while (!FindLeader())
      Advance(Duration(10));
  }

  void Advance(Duration aSpan)
  {
    now_ = now_ + aSpan;
    for (Replica& replica : replicas_) {
      Actions actions;
      replica.Tick(now_, actions);
      Execute(replica, actions);
    }
    ProcessEvents();
  }

  void Propose(const std::string& aCommand)
  {
    Handle(*leader_,
           consensus::Propose{ .id = ProposalId(1), .command = aCommand });
  }

  /// Processes events until none is queued.
  void ProcessEvents()
  {
    while (!events_.empty()) {
      auto [to, event] = std::move(events_.front());
      events_.pop_front();
      for (Replica& replica : replicas_)
        if (replica.Self().host == to) {
          Handle(replica, std::move(event));
          break;
        }
    }
  }

  std::size_t Delivered() const { return delivered_; }
  std::size_t Messages() const { return messages_; }

private:
  bool FindLeader()
  {
    for (Replica& replica : replicas_)
      if (replica.CurrentRole() == Role::Leader)
        leader_ = &replica;
    return leader_ != nullptr;
  }

  void Handle(Replica& aReplica, Event&& aEvent)
  {
    Actions actions;
    aReplica.Handle(std::move(aEvent), now_, actions);
    Execute(aReplica, actions);
  }

  void Execute(Replica& aReplica, Actions& aActions)
  {
    for (Action& action : aActions) {
      if (auto* send = std::get_if<Send>(&action)) {
        ++messages_;
        events_.emplace_back(send->to.host,
                             Receive{ .from = aReplica.Self(),
                                      .to = send->to,
                                      .message = std::move(send->message) });
      } else if (auto* persist = std::get_if<Persist>(&action)) {
        events_.emplace_back(aReplica.Self().host,
                             Persisted{ .id = persist->id });
      } else if (auto* request = std::get_if<RequestSnapshot>(&action)) {
        events_.emplace_back(
          aReplica.Self().host,
          SnapshotTaken{ .index = request->index, .data = "state" });
      } else if (std::holds_alternative<Deliver>(action)) {
        delivered_ += &aReplica == leader_ ? 1 : 0;
      }
    }
  }

  Time now_{ 1000 };
  std::deque<Replica> replicas_;
  Replica* leader_ = nullptr;
  std::deque<std::pair<EntryHostId, Event>> events_;
  std::size_t delivered_ = 0;
  std::size_t messages_ = 0;
};

constexpr std::size_t kCommandBytes = 200;

/// Measures committing commands in batches. The time covers the work of all
/// replicas.
void
BenchCommit(benchmark::State& aState)
{
  Cluster cluster(static_cast<std::size_t>(aState.range(0)));
  const std::int64_t batchSize = aState.range(1);
  const std::string command(kCommandBytes, 'c');
  const std::size_t deliveredBefore = cluster.Delivered();
  const std::size_t messagesBefore = cluster.Messages();
  for (auto _ : aState) {
    for (std::int64_t count = 0; count < batchSize; ++count)
      cluster.Propose(command);
    cluster.ProcessEvents();
  }
  const std::size_t commits = cluster.Delivered() - deliveredBefore;
  if (commits != static_cast<std::size_t>(aState.iterations() * batchSize))
    aState.SkipWithError("not all proposals were committed");
  aState.SetItemsProcessed(static_cast<std::int64_t>(commits));
  aState.counters["messages/commit"] =
    static_cast<double>(cluster.Messages() - messagesBefore) /
    static_cast<double>(commits);
}
BENCHMARK(BenchCommit)
  ->ArgNames({ "replicas", "group" })
  ->ArgsProduct({ { 3, 5 }, { 1, 16 } });

/// Measures one simulated second without proposals. The time covers the work of
/// all replicas.
void
BenchIdleSecond(benchmark::State& aState)
{
  Cluster cluster(static_cast<std::size_t>(aState.range(0)));
  const std::size_t messagesBefore = cluster.Messages();
  constexpr int kTicksPerSecond = 40;
  for (auto _ : aState)
    for (int tick = 0; tick < kTicksPerSecond; ++tick)
      cluster.Advance(Duration(1000 / kTicksPerSecond));
  aState.counters["messages/s"] =
    static_cast<double>(cluster.Messages() - messagesBefore) /
    static_cast<double>(aState.iterations());
}
BENCHMARK(BenchIdleSecond)->ArgName("replicas")->Arg(3)->Arg(5);

} // namespace
