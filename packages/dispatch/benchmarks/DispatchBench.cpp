#include "greengage/dispatch/FairQueue.h"
#include "greengage/dispatch/GrantLedger.h"
#include "greengage/dispatch/RequestPlane.h"

#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <vector>

using namespace greengage;
using namespace greengage::dispatch;

/// All decisions for one request, from its arrival to its answer. The arguments
/// are the numbers of upstreams and of teams.
static void
RequestDecisions(benchmark::State& aState)
{
  FairQueue queue;
  GrantLedger limits({ .self = EntryHostId("e0"),
                       .members = { EntryHostId("e0") },
                       .incarnation = Incarnation(1) });
  RequestPlane plane(
    { .self = EntryHostId("e0"), .availabilityZone = AvailabilityZoneId("z1") },
    queue,
    limits);
  Time now(1000);
  Actions out;
  auto view = std::make_shared<state::FleetView>();
  view->version = Version(1);
  std::vector<TeamId> teams;
  for (std::int64_t team = 0; team < aState.range(1); ++team) {
    teams.emplace_back("g" + std::to_string(team % 8) + "/t" +
                       std::to_string(team));
    view->teams[teams.back()] = { .share = 1,
                                  .limit = Slots(1000),
                                  .maxQueued = 1000 };
  }
  view->pools.insert(PoolId("lines"));
  plane.Handle(ViewChanged{ .view = view }, now, out);
  for (std::int64_t index = 0; index < aState.range(0); ++index) {
    UpstreamAnnouncement announcement;
    announcement.id = UpstreamId("w" + std::to_string(index));
    announcement.availabilityZone = AvailabilityZoneId("z1");
    announcement.pool = PoolId("lines");
    announcement.slots = Slots(8);
    announcement.lease = Duration::Seconds(100000000);
    plane.Handle(
      Announced{ .announcement = announcement, .call = std::nullopt },
      now,
      out);
  }
  std::uint64_t call = 0;
  for (auto _ : aState) {
    out.clear();
    Request request;
    request.id = RequestId(std::to_string(++call));
    request.team = teams[call % teams.size()];
    request.pool = PoolId("lines");
    request.kind = "weigh";
    request.deadline = now + Duration::Seconds(10);
    now = now + Duration(1);
    plane.Handle(
      Submit{ .call = CallId(call), .request = std::move(request) }, now, out);
    const DispatchId dispatch = std::get<Execute>(out.back()).dispatch;
    plane.Handle(AttemptEnded{ .dispatch = dispatch,
                               .end = AttemptEnd::Succeeded,
                               .payload = {},
                               .reason = {} },
                 now,
                 out);
    // Ticks every 25 ms of simulated time, as the daemon does, so that old
    // records expire.
    if (call % 25 == 0)
      plane.Tick(now, out);
  }
}
BENCHMARK(RequestDecisions)
  ->ArgsProduct({ { 50, 2200 }, { 6, 330 } })
  ->Unit(benchmark::kMicrosecond);
