#include "greengage/dispatch/RequestPlane.h"

#include "greengage/dispatch/FairQueue.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace greengage;
using namespace greengage::dispatch;

namespace {

/// The request plane of entry host "e1" with a team "a" and a pool "lines".
class PlaneFixture
{
public:
  PlaneFixture()
  {
    auto view = std::make_shared<state::FleetView>();
    view->teams[TeamId("a")] = { .share = 1,
                                 .limit = Slots(4),
                                 .maxQueued = 3 };
    view->pools.insert(PoolId("lines"));
    Send(ViewChanged{ .view = view });
  }

  void Send(Event&& aEvent) { plane.Handle(std::move(aEvent), now, out); }
  /// Advances the time and ticks.
  void Advance(Duration aSpan)
  {
    now = now + aSpan;
    plane.Tick(now, out);
  }

  void AddUpstream(const std::string& aId, std::int64_t aSlots)
  {
    UpstreamAnnouncement announcement;
    announcement.id = UpstreamId(aId);
    announcement.endpoint = { .address = "127.0.0.1", .port = 1 };
    announcement.availabilityZone = AvailabilityZoneId("z1");
    announcement.pool = PoolId("lines");
    announcement.slots = Slots(aSlots);
    announcement.lease = Duration::Seconds(3);
    Send(Announced{ .announcement = announcement, .call = std::nullopt });
  }

  /// Peer "e2" in another availability zone, with one free slot.
  void AddPeerWithSlot()
  {
    Send(PeerUp{ .peer = EntryHostId("e2"),
                 .availabilityZone = AvailabilityZoneId("z2") });
    Send(PeerLoad{ .peer = EntryHostId("e2"),
                   .leaving = false,
                   .pools = { { PoolId("lines"), Slots(1), 0 } } });
  }

  void SubmitRequest(std::uint64_t aCall,
                     const std::string& aId,
                     Idempotence aIdempotence = Idempotence::NonIdempotent,
                     const std::string& aPayload = "p")
  {
    Request request;
    request.id = RequestId(aId);
    request.team = TeamId("a");
    request.pool = PoolId("lines");
    request.idempotence = aIdempotence;
    request.deadline = now + Duration::Seconds(10);
    request.payload = aPayload;
    Send(Submit{ .call = CallId(aCall), .request = request });
  }

  void EndAttempt(DispatchId aDispatch, AttemptEnd aEnd)
  {
    Send(AttemptEnded{
      .dispatch = aDispatch, .end = aEnd, .payload = "done", .reason = "r" });
  }

  /// Returns the actions of one type and drops all others since the last call.
  template<typename Kind>
  std::vector<Kind> Take()
  {
    std::vector<Kind> taken;
    for (const Action& action : out)
      if (const auto* kind = std::get_if<Kind>(&action))
        taken.push_back(*kind);
    out.clear();
    return taken;
  }

  Time now{ 1000 };
  FairQueue queue;
  StaticSplitLedger limits{ { .rank = 0, .hosts = 1 } };
  RequestPlane plane{ { .self = EntryHostId("e1"),
                        .availabilityZone = AvailabilityZoneId("z1") },
                      queue,
                      limits };
  Actions out;
};

} // namespace

TEST_CASE_METHOD(PlaneFixture, "a request runs on a free slot and is answered")
{
  AddUpstream("w1", 1);
  SubmitRequest(1, "r1");
  const auto executes = Take<Execute>();
  REQUIRE(executes.size() == 1);
  REQUIRE(executes[0].upstream == UpstreamId("w1"));
  EndAttempt(executes[0].dispatch, AttemptEnd::Succeeded);
  const auto answers = Take<Answer>();
  REQUIRE(answers.size() == 1);
  REQUIRE(answers[0].call == CallId(1));
  REQUIRE(std::get<Answered>(answers[0].outcome).payload == "done");
}

TEST_CASE_METHOD(PlaneFixture,
                 "a resend gets the first answer and is not run again")
{
  AddUpstream("w1", 4);
  SubmitRequest(1, "r1");
  const auto executes = Take<Execute>();
  SubmitRequest(2, "r1");
  REQUIRE(Take<Execute>().empty());
  EndAttempt(executes[0].dispatch, AttemptEnd::Succeeded);
  REQUIRE(Take<Answer>().size() == 2);
  SubmitRequest(3, "r1");
  REQUIRE(std::get<Answered>(Take<Answer>().at(0).outcome).payload == "done");
  SubmitRequest(4, "r1", Idempotence::NonIdempotent, "other");
  const auto conflict = Take<Answer>();
  REQUIRE(std::get<Unknown>(conflict.at(0).outcome).error.kind ==
          ErrorKind::DuplicateRequest);
}

TEST_CASE_METHOD(PlaneFixture, "a lost attempt is retried only if idempotent")
{
  AddUpstream("w1", 4);
  SubmitRequest(1, "r1", Idempotence::NonIdempotent);
  EndAttempt(Take<Execute>().at(0).dispatch, AttemptEnd::Lost);
  REQUIRE(std::holds_alternative<Unknown>(Take<Answer>().at(0).outcome));
  SubmitRequest(2, "r2", Idempotence::Idempotent);
  EndAttempt(Take<Execute>().at(0).dispatch, AttemptEnd::Lost);
  const auto again = Take<Execute>();
  REQUIRE(again.size() == 1);
  EndAttempt(again[0].dispatch, AttemptEnd::Succeeded);
  REQUIRE(std::holds_alternative<Answered>(Take<Answer>().at(0).outcome));
}

TEST_CASE_METHOD(PlaneFixture,
                 "a request with a lost attempt never ends as not run")
{
  AddUpstream("w1", 1);
  SubmitRequest(1, "r1", Idempotence::Idempotent);
  EndAttempt(Take<Execute>().at(0).dispatch, AttemptEnd::Lost);
  // The lost attempt keeps the only slot until its lease ends, so the retry
  // expires in the queue.
  Advance(Duration::Seconds(11));
  REQUIRE(std::holds_alternative<Unknown>(Take<Answer>().at(0).outcome));
}

TEST_CASE_METHOD(PlaneFixture,
                 "lost attempts count against the limit of the team")
{
  AddUpstream("w1", 100);
  for (std::uint64_t call = 1; call <= 6; ++call)
    SubmitRequest(call, "r" + std::to_string(call));
  const auto executes = Take<Execute>();
  REQUIRE(executes.size() == 4);
  EndAttempt(executes[0].dispatch, AttemptEnd::Lost);
  REQUIRE(Take<Execute>().empty());
  EndAttempt(executes[1].dispatch, AttemptEnd::Succeeded);
  REQUIRE(Take<Execute>().size() == 1);
}

TEST_CASE_METHOD(
  PlaneFixture,
  "a request of a team whose queue is full is refused as not run")
{
  for (std::uint64_t call = 1; call <= 4; ++call)
    SubmitRequest(call, "r" + std::to_string(call));
  const auto answers = Take<Answer>();
  REQUIRE(answers.size() == 1);
  const auto& refusal = std::get<NotRun>(answers[0].outcome);
  REQUIRE(refusal.error.kind == ErrorKind::Overloaded);
  REQUIRE(refusal.retryAfter > Duration(0));
}

TEST_CASE_METHOD(PlaneFixture,
                 "a queued request ends as not run at its deadline")
{
  SubmitRequest(1, "r1");
  Advance(Duration::Seconds(10));
  const auto answers = Take<Answer>();
  REQUIRE(answers.size() == 1);
  REQUIRE(std::get<NotRun>(answers[0].outcome).error.kind ==
          ErrorKind::DeadlinePassed);
  // It was not run, so the same id may be sent again.
  AddUpstream("w1", 1);
  SubmitRequest(2, "r1");
  REQUIRE(Take<Execute>().size() == 1);
}

TEST_CASE_METHOD(PlaneFixture,
                 "a running request ends as unknown at its deadline")
{
  AddUpstream("w1", 1);
  SubmitRequest(1, "r1");
  const auto executes = Take<Execute>();
  Advance(Duration::Seconds(11));
  REQUIRE(std::holds_alternative<Unknown>(Take<Answer>().at(0).outcome));
  EndAttempt(executes[0].dispatch, AttemptEnd::Succeeded);
  REQUIRE(Take<Answer>().empty());
  SubmitRequest(2, "r1");
  REQUIRE(std::holds_alternative<Answered>(Take<Answer>().at(0).outcome));
}

TEST_CASE_METHOD(PlaneFixture, "an upstream that is leaving gets no new work")
{
  AddUpstream("w1", 4);
  UpstreamAnnouncement leaving;
  leaving.id = UpstreamId("w1");
  leaving.availabilityZone = AvailabilityZoneId("z1");
  leaving.pool = PoolId("lines");
  leaving.slots = Slots(4);
  leaving.lease = Duration::Seconds(3);
  leaving.leaving = true;
  Send(Announced{ .announcement = leaving, .call = std::nullopt });
  SubmitRequest(1, "r1");
  REQUIRE(Take<Execute>().empty());
}

TEST_CASE_METHOD(PlaneFixture,
                 "an upstream whose lease has expired gets no work")
{
  AddUpstream("w1", 4);
  Advance(Duration::Seconds(3));
  SubmitRequest(1, "r1");
  REQUIRE(Take<Execute>().empty());
}

TEST_CASE_METHOD(PlaneFixture,
                 "a forwarded request that the peer refuses is queued again")
{
  AddPeerWithSlot();
  SubmitRequest(1, "r1");
  SubmitRequest(2, "r2");
  const auto forwards = Take<Forward>();
  REQUIRE(forwards.size() == 1);
  Send(ForwardEnded{ .from = EntryHostId("e2"),
                     .dispatch = forwards[0].dispatch,
                     .outcome = NotRun{ .error = { ErrorKind::NoCapacity, "" },
                                        .retryAfter = {} } });
  REQUIRE(Take<Forward>().empty());
  AddUpstream("w1", 4);
  REQUIRE(Take<Execute>().size() == 2);
}

TEST_CASE_METHOD(PlaneFixture, "a peer's slot is free again after its answer")
{
  AddPeerWithSlot();
  for (std::uint64_t call = 1; call <= 3; ++call) {
    SubmitRequest(call, "r" + std::to_string(call));
    const auto forwards = Take<Forward>();
    REQUIRE(forwards.size() == 1);
    Send(ForwardEnded{ .from = EntryHostId("e2"),
                       .dispatch = forwards[0].dispatch,
                       .outcome = Answered{} });
    REQUIRE(Take<Answer>().size() == 1);
  }
}

TEST_CASE_METHOD(PlaneFixture,
                 "load is reported again after a peer's request was refused")
{
  AddUpstream("w1", 1);
  Advance(Duration::Seconds(1));
  Take<PublishLoad>();
  Request request;
  request.pool = PoolId("lines");
  request.deadline = now + Duration::Seconds(5);
  for (std::uint64_t dispatch = 1; dispatch <= 2; ++dispatch)
    Send(Forwarded{ .from = EntryHostId("e2"),
                    .dispatch = DispatchId(dispatch),
                    .request = request });
  const auto executes = Take<Execute>();
  REQUIRE(executes.size() == 1);
  EndAttempt(executes[0].dispatch, AttemptEnd::Succeeded);
  out.clear();
  // The load equals the one published last, but is published again.
  Advance(Duration(100));
  REQUIRE(Take<PublishLoad>().at(0).pools.at(0).freeSlots == Slots(1));
}

TEST_CASE_METHOD(PlaneFixture,
                 "a forwarded request ends as unknown when the peer is lost")
{
  AddPeerWithSlot();
  SubmitRequest(1, "r1");
  REQUIRE(Take<Forward>().size() == 1);
  Send(PeerDown{ .peer = EntryHostId("e2") });
  REQUIRE(std::holds_alternative<Unknown>(Take<Answer>().at(0).outcome));
}

// Guards against a client that gets the answer to a request which this host had
// forwarded before it was restarted, and which another client had sent.
TEST_CASE(
  "the outcome of a request that an earlier incarnation of the host has "
  "forwarded ends no other request")
{
  PlaneFixture earlier;
  earlier.AddPeerWithSlot();
  earlier.SubmitRequest(1, "r1");
  const auto forwarded = earlier.Take<Forward>();
  REQUIRE(forwarded.size() == 1);
  PlaneFixture next;
  next.AddPeerWithSlot();
  next.SubmitRequest(1, "r2");
  const auto forwards = next.Take<Forward>();
  REQUIRE(forwards.size() == 1);
  next.Send(ForwardEnded{ .from = EntryHostId("e2"),
                          .dispatch = forwarded[0].dispatch,
                          .outcome = Answered{} });
  CHECK(next.Take<Answer>().empty());
  next.Send(ForwardEnded{ .from = EntryHostId("e2"),
                          .dispatch = forwards[0].dispatch,
                          .outcome = Answered{} });
  CHECK(next.Take<Answer>().size() == 1);
}

TEST_CASE_METHOD(
  PlaneFixture,
  "a peer's request runs if a slot is free and is refused at once otherwise")
{
  Request request;
  request.id = RequestId("r1");
  request.team = TeamId("a");
  request.pool = PoolId("lines");
  request.deadline = now + Duration::Seconds(5);
  const Forwarded forwarded{ .from = EntryHostId("e2"),
                             .dispatch = DispatchId(9),
                             .request = request };
  Send(Forwarded(forwarded));
  REQUIRE(std::holds_alternative<NotRun>(Take<ReturnOutcome>().at(0).outcome));
  AddUpstream("w1", 1);
  Send(Forwarded(forwarded));
  EndAttempt(Take<Execute>().at(0).dispatch, AttemptEnd::Succeeded);
  const auto returned = Take<ReturnOutcome>();
  REQUIRE(returned.at(0).dispatch == DispatchId(9));
  REQUIRE(std::holds_alternative<Answered>(returned[0].outcome));
}

TEST_CASE_METHOD(PlaneFixture,
                 "shutdown refuses new requests and finishes those in progress")
{
  AddUpstream("w1", 1);
  SubmitRequest(1, "r1");
  const auto executes = Take<Execute>();
  Send(BeginShutdown{});
  REQUIRE(Take<Drained>().empty());
  SubmitRequest(2, "r2");
  REQUIRE(std::get<NotRun>(Take<Answer>().at(0).outcome).error.kind ==
          ErrorKind::ShuttingDown);
  EndAttempt(executes[0].dispatch, AttemptEnd::Succeeded);
  REQUIRE(Take<Drained>().size() == 1);
}

TEST_CASE_METHOD(
  PlaneFixture,
  "a new peer of the same zone takes over its part of the upstreams")
{
  for (int index = 0; index < 40; ++index)
    AddUpstream("w" + std::to_string(index), 1);
  Advance(Duration::Seconds(1));
  out.clear();
  Send(PeerUp{ .peer = EntryHostId("e2"),
               .availabilityZone = AvailabilityZoneId("z1") });
  const auto relayed = Take<RelayAnnouncement>();
  REQUIRE(relayed.size() > 10);
  REQUIRE(relayed.size() < 30);
  REQUIRE(relayed[0].peer == EntryHostId("e2"));
  REQUIRE(relayed[0].announcement.lease == Duration::Seconds(2));
}

TEST_CASE_METHOD(PlaneFixture, "shutdown without peers hands over no upstreams")
{
  AddUpstream("w1", 1);
  Send(BeginShutdown{});
  REQUIRE(Take<RelayAnnouncement>().empty());
}

TEST_CASE_METHOD(PlaneFixture, "shutdown hands the upstreams over to the peers")
{
  Send(PeerUp{ .peer = EntryHostId("e2"),
               .availabilityZone = AvailabilityZoneId("z2") });
  AddUpstream("w1", 1);
  out.clear();
  Send(BeginShutdown{});
  const auto relayed = Take<RelayAnnouncement>();
  REQUIRE(relayed.size() == 1);
  REQUIRE(relayed[0].peer == EntryHostId("e2"));
}

TEST_CASE_METHOD(
  PlaneFixture,
  "a queued request is cancelled as not run, by its own team only")
{
  SubmitRequest(1, "r1");
  Send(Cancel{ .call = CallId(2), .team = TeamId("b"), .id = RequestId("r1") });
  REQUIRE(std::get<NotRun>(Take<AnswerCancel>().at(0).outcome).error.kind ==
          ErrorKind::NotFound);
  Send(Cancel{ .call = CallId(3), .team = TeamId("a"), .id = RequestId("r1") });
  REQUIRE(std::get<NotRun>(Take<Answer>().at(0).outcome).error.kind ==
          ErrorKind::Cancelled);
}

TEST_CASE("the quotas of a static split add up to the limit")
{
  for (std::int64_t limit = 0; limit <= 30; ++limit) {
    state::FleetView view;
    view.teams[TeamId("a")] = { .share = 1,
                                .limit = Slots(limit),
                                .maxQueued = 1 };
    std::int64_t total = 0;
    for (std::size_t rank = 0; rank < 7; ++rank) {
      StaticSplitLedger ledger({ .rank = rank, .hosts = 7 });
      ledger.Update(view);
      while (ledger.TryAcquire(TeamId("a")))
        ++total;
    }
    REQUIRE(total == limit);
  }
}

TEST_CASE_METHOD(PlaneFixture,
                 "a request that can't meet its deadline is refused as not run")
{
  AddUpstream("w1", 4);
  for (std::uint64_t call = 1; call <= 20; ++call) {
    SubmitRequest(call, "r" + std::to_string(call));
    now = now + Duration(900);
    EndAttempt(Take<Execute>().at(0).dispatch, AttemptEnd::Succeeded);
    AddUpstream("w1", 4);
    out.clear();
  }
  Request request;
  request.id = RequestId("late");
  request.team = TeamId("a");
  request.pool = PoolId("lines");
  request.deadline = now + Duration(500);
  Send(Submit{ .call = CallId(99), .request = request });
  const auto refusal = std::get<NotRun>(Take<Answer>().at(0).outcome);
  REQUIRE(refusal.error.kind == ErrorKind::DeadlineUnmeetable);
  REQUIRE(refusal.retryAfter > Duration(0));
  request.deadline = now + Duration(1500);
  Send(Submit{ .call = CallId(99), .request = request });
  REQUIRE(Take<Execute>().size() == 1);
}

TEST_CASE_METHOD(PlaneFixture,
                 "cancelling a running request stops it and frees its slot")
{
  AddUpstream("w1", 1);
  SubmitRequest(1, "r1", Idempotence::Idempotent);
  const auto executes = Take<Execute>();
  SubmitRequest(2, "r2");
  Send(Cancel{ .call = CallId(3), .team = TeamId("a"), .id = RequestId("r1") });
  const auto cancels = Take<CancelAttempt>();
  REQUIRE(cancels.size() == 1);
  REQUIRE(cancels[0].dispatch == executes[0].dispatch);
  REQUIRE(cancels[0].upstream == UpstreamId("w1"));
  EndAttempt(executes[0].dispatch, AttemptEnd::Cancelled);
  const auto answers = [&] {
    std::vector<Answer> taken;
    for (const Action& action : out)
      if (const auto* answer = std::get_if<Answer>(&action))
        taken.push_back(*answer);
    return taken;
  }();
  REQUIRE(std::get<Unknown>(answers.at(0).outcome).error.kind ==
          ErrorKind::Cancelled);
  // The slot and the team's limit are free for the next request. The cancelled
  // one is not retried although it is idempotent.
  const auto next = Take<Execute>();
  REQUIRE(next.size() == 1);
  REQUIRE(next[0].request.id == RequestId("r2"));
}

TEST_CASE_METHOD(PlaneFixture,
                 "a team can't cancel a running request of another team")
{
  AddUpstream("w1", 1);
  SubmitRequest(1, "r1");
  Send(Cancel{ .call = CallId(3), .team = TeamId("b"), .id = RequestId("r1") });
  REQUIRE(Take<CancelAttempt>().empty());
}

TEST_CASE_METHOD(
  PlaneFixture,
  "a cancellation is passed on to the peer that runs the request")
{
  AddPeerWithSlot();
  SubmitRequest(1, "r1");
  const auto forwards = Take<Forward>();
  Send(Cancel{ .call = CallId(3), .team = TeamId("a"), .id = RequestId("r1") });
  const auto cancels = Take<CancelForward>();
  REQUIRE(cancels.size() == 1);
  REQUIRE(cancels[0].peer == EntryHostId("e2"));
  REQUIRE(cancels[0].dispatch == forwards.at(0).dispatch);
}

TEST_CASE_METHOD(PlaneFixture,
                 "a peer can cancel only the requests that it forwarded")
{
  AddUpstream("w1", 4);
  Request request;
  request.id = RequestId("r1");
  request.team = TeamId("a");
  request.pool = PoolId("lines");
  request.deadline = now + Duration::Seconds(5);
  Send(Forwarded{
    .from = EntryHostId("e2"), .dispatch = DispatchId(9), .request = request });
  const auto executes = Take<Execute>();
  Send(
    ForwardCancelled{ .from = EntryHostId("e3"), .dispatch = DispatchId(9) });
  REQUIRE(Take<CancelAttempt>().empty());
  Send(
    ForwardCancelled{ .from = EntryHostId("e2"), .dispatch = DispatchId(9) });
  REQUIRE(Take<CancelAttempt>().at(0).dispatch == executes.at(0).dispatch);
  EndAttempt(executes[0].dispatch, AttemptEnd::Cancelled);
  const auto returned = Take<ReturnOutcome>();
  REQUIRE(std::get<Unknown>(returned.at(0).outcome).error.kind ==
          ErrorKind::Cancelled);
}

TEST_CASE("cancelling thousands of requests removes only those of the team")
{
  FairQueue queue;
  StaticSplitLedger limits({ .rank = 0, .hosts = 1 });
  RequestPlane plane(
    { .self = EntryHostId("e1"), .availabilityZone = AvailabilityZoneId("z1") },
    queue,
    limits);
  Actions out;
  const Time now(1000);
  auto view = std::make_shared<state::FleetView>();
  for (const char* team : { "a", "b" })
    view->teams[TeamId(team)] = { .share = 1,
                                  .limit = Slots(100),
                                  .maxQueued = 10000 };
  view->pools.insert(PoolId("lines"));
  plane.Handle(ViewChanged{ .view = view }, now, out);
  constexpr std::uint64_t kRequests = 4000;
  for (std::uint64_t index = 0; index < 2 * kRequests; ++index) {
    Request request;
    request.id = RequestId(std::to_string(index / 2));
    request.team = TeamId(index % 2 == 0 ? "a" : "b");
    request.pool = PoolId("lines");
    request.deadline = now + Duration::Seconds(100);
    plane.Handle(Submit{ .call = CallId(index), .request = request }, now, out);
  }
  for (std::uint64_t index = 0; index < kRequests; ++index)
    plane.Handle(Cancel{ .call = CallId(100000 + index),
                         .team = TeamId("a"),
                         .id = RequestId(std::to_string(index)) },
                 now,
                 out);
  REQUIRE(plane.RequestsInProgress() == kRequests);
  REQUIRE(queue.WaitingOfTeam(TeamId("a")) == 0);
  REQUIRE(queue.WaitingOfTeam(TeamId("b")) == kRequests);
}

TEST_CASE_METHOD(
  PlaneFixture,
  "retries stay within a tenth of first sends plus the initial budget")
{
  int sends = 0;
  for (std::uint64_t call = 1; call <= 500; ++call) {
    // No upstream can be reached. Without the budget, each request would be
    // tried four times.
    AddUpstream("w" + std::to_string(call), 1);
    SubmitRequest(call, "r" + std::to_string(call), Idempotence::Idempotent);
    for (auto sent = Take<Execute>(); !sent.empty(); sent = Take<Execute>()) {
      ++sends;
      now = now + Duration::Seconds(2);
      AddUpstream("w" + std::to_string(call), 1);
      EndAttempt(sent[0].dispatch, AttemptEnd::NotSent);
      Advance(Duration(1100));
    }
    out.clear();
  }
  // A tenth of the first sends, and the initial budget of 20 retries.
  REQUIRE(sends >= 500);
  REQUIRE(sends <= 500 + 50 + 20);
}

TEST_CASE_METHOD(PlaneFixture,
                 "an upstream that fails all requests gets little work")
{
  AddUpstream("bad", 4);
  AddUpstream("good", 1);
  int failed = 0;
  for (std::uint64_t call = 1; call <= 400; ++call) {
    SubmitRequest(call, "r" + std::to_string(call));
    SubmitRequest(1000 + call, "s" + std::to_string(call));
    for (const Execute& execute : Take<Execute>()) {
      const bool isBad = execute.upstream == UpstreamId("bad");
      failed += isBad ? 1 : 0;
      EndAttempt(execute.dispatch,
                 isBad ? AttemptEnd::Failed : AttemptEnd::Succeeded);
    }
    for (const Execute& execute : Take<Execute>())
      EndAttempt(execute.dispatch, AttemptEnd::Succeeded);
    Advance(Duration(10));
    AddUpstream("bad", 4);
    AddUpstream("good", 1);
    out.clear();
  }
  REQUIRE(failed < 40);
}
