#include "../lib/filters/ScheduleFilter.h"
#include "../lib/sources/JobPipes.h"

#include "greengage/core/Clock.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace greengage;
using namespace greengage::daemon::detail;

namespace {

template<typename Message>
class ListPipe final : public pipe::Pipe<Message>
{
public:
  bool TryPush(Message&& aMessage) override
  {
    return !isFull && Push(std::move(aMessage));
  }
  bool Push(Message&& aMessage) override
  {
    list.push_back(std::move(aMessage));
    return true;
  }
  std::vector<Message> list;
  bool isFull = false;
};

class EmptyReader final : public jobs::ConfigurationReader
{
public:
  std::optional<jobs::Configuration> Read(std::string_view /*aText*/,
                                          Error& /*aReason*/) const override
  {
    return jobs::Configuration{};
  }
};

/// A schedule duty that leads in a term, with one registered worker.
struct Fixture
{
  Fixture()
    : host(EntryHostId("a"), AvailabilityZoneId("z"))
    , filter({},
             {},
             reader,
             host,
             clock,
             { .log = log,
               .workers = workers,
               .hosts = hosts,
               .advice = advice,
               .replies = replies })
  {
    PublishLease(5, Time(100000));
    filter.Accept(Leadership{ .term = consensus::Term(5),
                              .leader = EntryHostId("a"),
                              .isReadyHere = true },
                  Time(1000));
    jobs::Operations operations;
    operations.push_back(
      jobs::RegisterWorker{ .worker = { .id = jobs::WorkerId("w1"),
                                        .incarnation = jobs::Incarnation(1),
                                        .host = jobs::HostId("h1"),
                                        .endpoint = { "10.0.0.1", 8001 },
                                        .pool = PoolId("lines") } });
    filter.Accept(EntryCommitted{ .entry = jobs::Encode(operations) },
                  Time(1000));
  }

  void PublishLease(std::uint64_t aTerm, Time aEnd)
  {
    host.leaderTerm.store(aTerm);
    host.leaderUntil.store(aEnd.Millis());
  }

  ManualClock clock;
  EmptyReader reader;
  HostState host;
  ListPipe<ConsensusInput> log;
  ListPipe<schedule::WorkerCall> workers;
  ListPipe<schedule::HostCall> hosts;
  ListPipe<schedule::AdviceCall> advice;
  ListPipe<CallReply> replies;
  ScheduleFilter filter;
};

} // namespace

TEST_CASE_METHOD(Fixture, "a leader calls its workers during its lease")
{
  workers.list.clear();
  filter.OnTimer(Time(2000));
  REQUIRE_FALSE(workers.list.empty());
}

TEST_CASE_METHOD(Fixture,
                 "a late scheduler makes no calls with a later term's lease")
{
  // The host lost its leadership and regained it; the duty has handled neither
  // notice.
  PublishLease(7, Time(100000));
  workers.list.clear();
  filter.OnTimer(Time(2000));
  REQUIRE(workers.list.empty());
}

TEST_CASE_METHOD(Fixture, "a leader whose entry the log refuses leads no more")
{
  using consensus::Refusal;
  const auto [reason, isLeading] =
    GENERATE(table<Refusal, bool>({ { Refusal::TooLarge, true },
                                    { Refusal::Overloaded, true },
                                    { Refusal::NotLeader, false },
                                    { Refusal::Transferring, false } }));
  log.list.clear();
  filter.Accept(
    schedule::IncomingCall{
      .caller = schedule::CallerId(1),
      .call =
        schedule::ConfigurationPut{ jobs::ConfigurationVersion(1), "x" } },
    Time(2000));
  filter.OnTimer(Time(2100));
  REQUIRE(log.list.size() == 1);
  const auto* propose = std::get_if<consensus::Propose>(
    &std::get<consensus::Event>(log.list.front()));
  REQUIRE(propose != nullptr);
  const consensus::ProposalId id = propose->id;
  log.list.clear();
  log.isFull = true;
  filter.Accept(ProposalEnded{ .id = id,
                               .end =
                                 consensus::ProposalRefused{
                                   .id = id, .reason = reason, .leader = {} } },
                Time(2200));
  REQUIRE(replies.list.size() == 1);
  filter.OnTimer(Time(2300));
  REQUIRE(log.list.empty());
  log.isFull = false;
  filter.OnTimer(Time(2400));
  filter.OnTimer(Time(2500));
  // The state of the scheduler is gone, and nobody would decide until the next
  // election.
  const auto isStepDown = [](const ConsensusInput& aInput) {
    const auto* event = std::get_if<consensus::Event>(&aInput);
    return event != nullptr &&
           std::holds_alternative<consensus::StepDown>(*event);
  };
  CHECK(std::count_if(log.list.begin(), log.list.end(), isStepDown) ==
        (isLeading ? 1 : 0));
}

TEST_CASE_METHOD(Fixture, "a leader exports the number of idle tasks")
{
  filter.OnTimer(Time(2000));
  REQUIRE(host.metrics.Serialize().find("greengage_persistent_tasks_idle 0") !=
          std::string::npos);
}

TEST_CASE_METHOD(Fixture, "a snapshot that can't be read is refused to the log")
{
  ListPipe<ScheduleMessage> schedule;
  RemoteMachine machine(reader, schedule);
  Error reason;
  CHECK_FALSE(machine.Restore("no snapshot", reason));
  CHECK(reason.kind != ErrorKind::None);
  CHECK(schedule.list.empty());
  const std::string snapshot = jobs::JobStateMachine(reader).Snapshot();
  CHECK(machine.Restore(snapshot, reason));
  CHECK(schedule.list.size() == 1);
}
