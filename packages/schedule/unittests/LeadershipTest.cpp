#include "greengage/schedule/Controller.h"

#include "SimulatedFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace greengage;
using namespace greengage::schedule;

namespace {

constexpr Duration kStep(5);

/// A controller with one worker. The test decides how each log entry ends, when
/// leadership changes and until when the leader lease lasts.
struct LeadershipFixture : ControllerSink
{
  struct Proposal
  {
    BatchId id;
    FencingToken fence;
    std::string entry;
  };

  LeadershipFixture()
    : controller({}, {}, reader, *this)
  {
    // Long enough that no job is rejected for load.
    reader.objective = Duration::Seconds(600);
    controller.BecomeLeader(FencingToken(1), Now());
    Handle(ConfigurationPut{ .version = jobs::ConfigurationVersion(1),
                             .text = "configuration" });
    Run(Duration(50));
    Handle(Beat());
    Run(Duration(50));
  }

  bool Propose(BatchId aBatch,
               FencingToken aFence,
               const std::string& aEntry) override
  {
    if (isLogFull)
      return false;
    proposals.push_back({ .id = aBatch, .fence = aFence, .entry = aEntry });
    return true;
  }
  void Call(WorkerCall&& aCall) override { calls.push_back(std::move(aCall)); }
  void Call(HostCall&& /*aCall*/) override {}
  void Call(AdviceCall&& /*aCall*/) override {}
  void Answer(CallerId /*aCaller*/, Reply&& /*aReply*/) override {}

  ClockReading Now() const { return { .steady = now, .wall = now }; }

  WorkerHeartbeat Beat(const char* aPool = "lines")
  {
    return { .worker = { .id = jobs::WorkerId("w1"),
                         .incarnation = jobs::Incarnation(1),
                         .host = jobs::HostId("host-w1"),
                         .endpoint = { "10.0.0.1", 8001 },
                         .pool = PoolId(aPool),
                         .rack = RackId("r1"),
                         .capacity = SimulatedFleet::kDefaultCapacity },
             .sequence = ++lastSequence,
             .clock = now };
  }

  void Handle(schedule::Call aCall)
  {
    controller.Handle(
      { .caller = CallerId(++lastCaller), .call = std::move(aCall) },
      leaseEnd,
      Now());
  }

  void HandleJobCall(QueueVerb aVerb, jobs::Step aStep = SmallStep())
  {
    Handle(QueueCall{ .verb = aVerb,
                      .hostName = "h",
                      .path = "/p/" + ToString(jobs::JobId(lastJob)),
                      .key = "key",
                      .job = jobs::JobDescription{
                        .payload = "x", .steps = { std::move(aStep) } } });
  }
  static jobs::Step SmallStep()
  {
    return { .count = 1,
             .request = { MilliCores(1000), Mebibytes(256), {} },
             .estimate = Duration(800) };
  }
  void Submit(jobs::Step aStep = SmallStep())
  {
    ++lastJob;
    HandleJobCall(QueueVerb::Submit, std::move(aStep));
  }

  void Apply(const Proposal& aProposal)
  {
    controller.Apply(aProposal.entry, leaseEnd, Now());
    controller.OnBatchApplied(aProposal.id);
  }

  /// Ends a proposal as the log does: it refuses what was decided on under
  /// another leadership.
  void End(const Proposal& aProposal, FencingToken aCurrent)
  {
    if (aProposal.fence == aCurrent)
      Apply(aProposal);
    else
      controller.OnBatchRefused(aProposal.id);
  }

  /// Advances the time. Unless \p aIsCommitting is unset, entries are committed
  /// at once; calls to the worker are answered if \p isAnswering is set.
  void Run(Duration aSpan, bool aIsCommitting = true)
  {
    for (const Time end = now + aSpan; now < end;) {
      now = now + kStep;
      controller.Tick(leaseEnd, Now());
      // Otherwise the thread would not sleep.
      REQUIRE(controller.NextTick());
      REQUIRE(*controller.NextTick() > now);
      while (aIsCommitting && !proposals.empty()) {
        const Proposal proposal = std::move(proposals.front());
        proposals.erase(proposals.begin());
        Apply(proposal);
      }
      AnswerRenewals();
    }
  }

  void AnswerRenewals()
  {
    if (!isAnswering)
      return;
    const std::vector<WorkerCall> all = calls;
    for (; answered < all.size(); ++answered) {
      if (!std::holds_alternative<RenewLease>(all[answered].request))
        continue;
      WorkerReply reply;
      reply.id = all[answered].id;
      reply.answer = WorkerCallStatus::Done;
      reply.clock = now;
      reply.incarnation = jobs::Incarnation(1);
      reply.hasLists = true;
      reply.running = running;
      reply.ended = ended;
      controller.On(reply, leaseEnd, Now());
    }
  }

  /// The worker confirms the latest start, and lists the run from now on.
  void ConfirmStart()
  {
    WorkerReply reply;
    for (const WorkerCall& call : calls)
      if (const auto* start = std::get_if<StartRun>(&call.request)) {
        reply.id = call.id;
        running = { { .task = start->task,
                      .attempt = start->attempt,
                      .checkpoint = {},
                      .progressPercent = 50 } };
      }
    reply.answer = WorkerCallStatus::Done;
    reply.clock = now;
    reply.incarnation = jobs::Incarnation(1);
    controller.On(reply, leaseEnd, Now());
  }

  /// The worker lists the end of its run from now on.
  void EndRun(ListedEndKind aKind)
  {
    ended = { { .number = jobs::RunEndSequence(1),
                .task = running.front().task,
                .attempt = running.front().attempt,
                .kind = aKind,
                .checkpoint = {} } };
    running.clear();
  }

  /// Fails the calls that the worker has not answered.
  void FailCalls()
  {
    for (const std::vector<WorkerCall> all = calls; answered < all.size();
         ++answered) {
      WorkerReply reply;
      reply.id = all[answered].id;
      controller.On(reply, leaseEnd, Now());
    }
  }

  /// The host loses its leadership and leads again in \p aTerm before its
  /// scheduling duty handles the loss of the entry on its way, if there is one.
  /// \returns what the duty still proposes.
  std::vector<Proposal> ChangeTerms(FencingToken aTerm)
  {
    if (!proposals.empty())
      controller.OnBatchUnknown(proposals.front().id);
    proposals.clear();
    Run(Duration(10), false);
    std::vector<Proposal> late = std::exchange(proposals, {});
    controller.BecomeFollower();
    controller.BecomeLeader(aTerm, Now());
    return late;
  }

  template<typename Request>
  std::size_t CountCalls() const
  {
    return static_cast<std::size_t>(
      std::count_if(calls.begin(), calls.end(), [](const WorkerCall& aCall) {
        return std::holds_alternative<Request>(aCall.request);
      }));
  }

  Time now{ 1000000 };
  Time leaseEnd{ 1000000000 };
  bool isLogFull = false;
  bool isAnswering = true;
  std::size_t answered = 0;
  std::uint64_t lastSequence = 0;
  std::uint64_t lastCaller = 0;
  std::uint64_t lastJob = 0;
  std::vector<Proposal> proposals;
  std::vector<WorkerCall> calls;
  /// What the worker lists as running.
  std::vector<ListedRun> running;
  /// What the worker lists as ended.
  std::vector<ListedEnd> ended;
  SimulatedConfigurationReader reader;
  Controller controller;
};

} // namespace

TEST_CASE_METHOD(LeadershipFixture,
                 "a start that the lapsed leader lease held back is sent later")
{
  Submit();
  Run(kStep);
  REQUIRE(CountCalls<StartRun>() == 0);
  const Time former = std::exchange(leaseEnd, now);
  Run(Duration(300));
  REQUIRE(CountCalls<StartRun>() == 0);
  leaseEnd = former;
  Run(Duration(100));
  CHECK(CountCalls<StartRun>() == 1);
}

TEST_CASE_METHOD(LeadershipFixture,
                 "the lists of a worker are read often while a persistent task "
                 "starts up")
{
  const auto longPoll = [&] {
    Duration latest;
    for (const WorkerCall& call : calls)
      if (const auto* renew = std::get_if<RenewLease>(&call.request))
        latest = renew->longPollTimeout;
    return latest;
  };
  jobs::Step step = SmallStep();
  step.isPersistent = true;
  Submit(step);
  Run(Duration(100));
  REQUIRE(CountCalls<StartRun>() == 1);
  ConfirmStart();
  Run(Duration(100));
  CHECK(longPoll() <= Duration(200));
  running.front().progressPercent = 100;
  Run(Duration(100));
  CHECK(longPoll() == Duration(1000));
}

TEST_CASE_METHOD(LeadershipFixture,
                 "a stop that the lapsed leader lease held back is sent later")
{
  Submit();
  Run(Duration(100));
  REQUIRE(CountCalls<StartRun>() == 1);
  isAnswering = false;
  ConfirmStart();
  HandleJobCall(QueueVerb::Cancel);
  const Time former = std::exchange(leaseEnd, now);
  Run(Duration(300));
  REQUIRE(CountCalls<StopRun>() == 0);
  leaseEnd = former;
  Run(Duration(100));
  CHECK(CountCalls<StopRun>() == 1);
}

TEST_CASE_METHOD(LeadershipFixture,
                 "a full log delays proposals, and the controller waits for it")
{
  isLogFull = true;
  Submit();
  Run(Duration(300));
  REQUIRE(proposals.empty());
  isLogFull = false;
  Run(Duration(100));
  CHECK(CountCalls<StartRun>() == 1);
}

TEST_CASE_METHOD(LeadershipFixture,
                 "a task that a lost term assigned is started in the next one")
{
  const bool isEntryOnItsWay = GENERATE(true, false);
  // The worker is not usable yet, so that the task waits.
  controller.BecomeFollower();
  controller.BecomeLeader(FencingToken(2), Now());
  isAnswering = false;
  Submit();
  Run(Duration(50));
  if (isEntryOnItsWay) {
    Submit();
    Run(kStep * 2, false);
    REQUIRE(proposals.size() == 1);
  }
  isAnswering = true;
  AnswerRenewals();
  if (isEntryOnItsWay)
    Run(Duration(50), false);
  REQUIRE(proposals.size() == (isEntryOnItsWay ? 1 : 0));
  REQUIRE(CountCalls<StartRun>() == 0);

  for (const Proposal& proposal : ChangeTerms(FencingToken(4)))
    Apply(proposal);
  Run(Duration(5000));
  CHECK(CountCalls<StartRun>() >= 1);
}

TEST_CASE_METHOD(LeadershipFixture,
                 "a run that a lost term gave up goes on in the next one")
{
  Submit();
  Run(Duration(50));
  REQUIRE(CountCalls<StartRun>() == 1);
  ConfirmStart();
  Run(Duration(100));
  // The worker answers this host no more, and a further entry is on its way
  // when its lease expires.
  isAnswering = false;
  FailCalls();
  Submit();
  for (int count = 0; count < 60; ++count) {
    Run(Duration(100), false);
    FailCalls();
  }
  REQUIRE(proposals.size() == 1);
  const std::vector<Proposal> late = ChangeTerms(FencingToken(4));
  // Another leader renewed the lease in the meantime.
  isAnswering = true;
  Handle(Beat());
  Run(Duration(200));
  const std::size_t starts = CountCalls<StartRun>();
  const auto startsOfFirst = [&] {
    return std::count_if(
      calls.begin(), calls.end(), [&](const WorkerCall& aCall) {
        const auto* start = std::get_if<StartRun>(&aCall.request);
        return start != nullptr && start->task == running.front().task;
      });
  };
  const auto before = startsOfFirst();
  REQUIRE(!late.empty());
  for (const Proposal& proposal : late)
    End(proposal, FencingToken(4));
  Run(Duration(1000));
  CAPTURE(starts, late.size());
  CHECK(startsOfFirst() == before);
  // The refusal of a former leadership's entry does not end this one.
  running.clear();
  Submit();
  Run(Duration(1000));
  CHECK(CountCalls<StartRun>() > starts);
}

TEST_CASE_METHOD(
  LeadershipFixture,
  "what is handed in during a slow commit shares the next log entry")
{
  constexpr std::uint64_t kJobs = 1000;
  constexpr Duration kCommitLatency(200);
  const Time begin = now;
  // One job each millisecond.
  for (Duration age; controller.StateMachine().Jobs().size() < kJobs;) {
    for (std::int64_t count = 0; count < kStep.Millis() && lastJob < kJobs;
         ++count)
      Submit();
    Run(kStep, false);
    age = proposals.empty() ? Duration(0) : age + kStep;
    if (age < kCommitLatency)
      continue;
    age = Duration(0);
    for (const Proposal& proposal : std::exchange(proposals, {}))
      Apply(proposal);
  }
  // The last job waits for the end of one commit and for one more.
  const Duration bound =
    Duration(static_cast<std::int64_t>(kJobs)) + kCommitLatency * 2 + kStep * 4;
  CHECK((now - begin).Millis() <= bound.Millis());
}

TEST_CASE_METHOD(
  LeadershipFixture,
  "a worker that registers with another pool leaves its former one")
{
  Handle(Beat("spare"));
  Run(Duration(50));
  // The new leader takes the worker over in its present pool.
  controller.BecomeFollower();
  controller.BecomeLeader(FencingToken(2), Now());
  Submit();
  Run(Duration(300));
  REQUIRE(CountCalls<StartRun>() == 0);
  Handle(Beat("lines"));
  Run(Duration(300));
  CHECK(CountCalls<StartRun>() == 1);
}

TEST_CASE_METHOD(
  LeadershipFixture,
  "an assignment of a lost term does not exceed the worker's capacity")
{
  controller.BecomeFollower();
  controller.BecomeLeader(FencingToken(2), Now());
  isAnswering = false;
  jobs::Step large{ .count = 1, .request = SimulatedFleet::kDefaultCapacity };
  Submit(large);
  Run(Duration(50));
  isAnswering = true;
  AnswerRenewals();
  const std::vector<Proposal> late = ChangeTerms(FencingToken(4));
  REQUIRE(late.size() == 1);
  // Another leader accepted a job in between, which this one chooses for the
  // worker before the assignment is committed.
  large.isPersistent = true;
  jobs::Operations accepted;
  accepted.push_back(
    jobs::AcceptJob{ .id = jobs::JobId(++lastJob),
                     .queue = jobs::QueueId("plan"),
                     .team = TeamId("caxias"),
                     .at = now,
                     .description = { .payload = "x", .steps = { large } } });
  controller.Apply(jobs::Encode(accepted), leaseEnd, Now());
  Run(Duration(50), false);
  for (const Proposal& proposal : late)
    Apply(proposal);
  Run(Duration(500));
  CHECK(CountCalls<StartRun>() == 1);
}

TEST_CASE_METHOD(LeadershipFixture,
                 "an answer from the next worker at the address does not hide "
                 "the crash of the one before")
{
  Submit();
  Run(Duration(100));
  ConfirmStart();
  isAnswering = false;
  Run(Duration(3000));
  for (const std::vector<WorkerCall> all = calls; answered < all.size();
       ++answered) {
    WorkerReply reply;
    reply.id = all[answered].id;
    reply.answer = WorkerCallStatus::OtherWorker;
    controller.On(reply, leaseEnd, Now());
  }
  WorkerHeartbeat next = Beat();
  next.worker.id = jobs::WorkerId("w2");
  next.worker.incarnation = jobs::Incarnation(2);
  Handle(next);
  Run(Duration(50));
  CHECK(controller.StateMachine().FindCrashes(running.front().task) != nullptr);
}

TEST_CASE_METHOD(LeadershipFixture,
                 "a task whose success is listed after its run was given up "
                 "does not run again")
{
  Submit();
  Run(Duration(50));
  ConfirmStart();
  // The worker can't be reached until its lease has expired.
  isAnswering = false;
  for (const Time end = now + Duration::Seconds(6); now < end;) {
    Run(Duration(100));
    FailCalls();
  }
  REQUIRE(CountCalls<StartRun>() == 1);
  EndRun(ListedEndKind::Done);
  isAnswering = true;
  Handle(Beat());
  Run(Duration::Seconds(2));
  CHECK(CountCalls<StartRun>() == 1);
  const jobs::Job* job = controller.StateMachine().Find(jobs::JobId(lastJob));
  REQUIRE(job != nullptr);
  CHECK(job->state == jobs::JobState::Completed);
}

TEST_CASE_METHOD(LeadershipFixture,
                 "operations with long texts don't share a log entry that is "
                 "larger than the limit of a batch")
{
  constexpr std::size_t kBatchLimit = 1024 * 1024;
  const std::string text(256 * 1024, 'x');
  jobs::Step step = SmallStep();
  step.requiredLabel = text;
  for (int count = 0; count < 20; ++count) {
    WorkerHeartbeat beat = Beat();
    beat.worker.id = jobs::WorkerId("w" + std::to_string(count + 2));
    beat.worker.labels = { text };
    Handle(beat);
    Submit(step);
  }
  for (int count = 0; count < 100; ++count) {
    Run(kStep, false);
    for (const Proposal& proposal : std::exchange(proposals, {})) {
      CHECK(proposal.entry.size() <= kBatchLimit);
      Apply(proposal);
    }
  }
  CHECK(controller.StateMachine().Jobs().size() == 20);
  CHECK(controller.StateMachine().Workers().size() == 21);
}
