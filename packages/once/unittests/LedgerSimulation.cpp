#include "LedgerSimulation.h"

#include <algorithm>
#include <utility>

using namespace greengage;
using namespace greengage::once;
using namespace greengage::once::test;

static constexpr Duration kRequestTimeout = Duration::Seconds(3);
static constexpr Duration kTickInterval = Duration(20);
static constexpr Duration kLongerThanTest = Duration::Seconds(1000000);

LedgerSimulation::LedgerSimulation(std::uint64_t aSeed,
                                   const std::vector<std::string>& aZones,
                                   FaultPlan aFaults)
  : random_(aSeed)
  , faults_(std::move(aFaults))
{
  for (const std::string& zone : aZones)
    members_.push_back(
      { .id = EntryHostId("entry-" + std::to_string(members_.size())),
        .availabilityZone = AvailabilityZoneId(zone) });
  hosts_.resize(members_.size());
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    hosts_[host].id = members_[host].id;
    Start(host, true);
  }
  UpdateLinks();
  // Lets the replicas complete the cold start.
  RunFor(Duration(1200));
}

void
LedgerSimulation::Schedule(Time aTime, std::function<void()> aCallback)
{
  events_.emplace(aTime, std::move(aCallback));
}

std::int64_t
LedgerSimulation::RandomBelow(std::int64_t aBound)
{
  return static_cast<std::int64_t>(random_() %
                                   static_cast<std::uint64_t>(aBound));
}

bool
LedgerSimulation::RandomChance(double aProbability)
{
  return static_cast<double>(RandomBelow(1000000)) < aProbability * 1000000;
}

void
LedgerSimulation::Start(std::size_t aHost, bool aIsFirst)
{
  Host& host = hosts_[aHost];
  host.incarnation = Incarnation(host.incarnation.Value() + 1);
  host.localRuns.clear();
  LedgerOptions options;
  options.self = host.id;
  options.incarnation = host.incarnation;
  options.members = members_;
  options.replica.allowsColdStart = aIsFirst;
  options.replica.maxPageRecords = 3;
  options.replica.recoveryWindow = kLongerThanTest;
  if (!aIsFirst && faults_.skipsRecovery)
    options.replica.recoveryWindow = Duration(0);
  host.ledger = std::make_unique<OnceLedger>(options, now_);
  const Incarnation incarnation = host.incarnation;
  auto tick = std::make_shared<std::function<void()>>();
  *tick = [this, aHost, incarnation, weak = std::weak_ptr(tick)] {
    if (hosts_[aHost].incarnation != incarnation)
      return;
    Actions actions;
    hosts_[aHost].ledger->Tick(now_, actions);
    Execute(aHost, std::move(actions));
    Schedule(now_ + kTickInterval, [strong = weak.lock()] { (*strong)(); });
  };
  Schedule(now_, [tick] { (*tick)(); });
}

void
LedgerSimulation::Restart(std::size_t aHost)
{
  Start(aHost, false);
  UpdateLinks();
}

void
LedgerSimulation::Partition(std::set<std::size_t> aSide)
{
  partition_ = std::move(aSide);
  UpdateLinks();
}

bool
LedgerSimulation::IsPartitioned(std::size_t aLeft, std::size_t aRight) const
{
  return partition_.contains(aLeft) != partition_.contains(aRight);
}

void
LedgerSimulation::UpdateLinks()
{
  for (std::size_t host = 0; host < hosts_.size(); ++host)
    for (std::size_t peer = 0; peer < hosts_.size(); ++peer) {
      if (peer == host)
        continue;
      if (IsPartitioned(host, peer))
        hosts_[host].ledger->PeerDown(hosts_[peer].id);
      else
        hosts_[host].ledger->PeerUp(hosts_[peer].id);
    }
}

void
LedgerSimulation::ScheduleRequests(std::size_t aIds, int aSends, Duration aSpan)
{
  for (std::size_t index = 0; index < aIds; ++index) {
    const std::string id = "r" + std::to_string(index);
    const auto idempotence =
      RandomChance(0.2) ? Idempotence::Idempotent : Idempotence::NonIdempotent;
    Time at = now_ + Duration(RandomBelow(aSpan.Millis()));
    const std::int64_t sends = 1 + RandomBelow(aSends);
    for (std::int64_t send = 0; send < sends; ++send) {
      const bool isFirst = send == 0 && RandomChance(0.5);
      Schedule(at, [this, id, idempotence, isFirst] {
        Send(static_cast<std::size_t>(
               RandomBelow(static_cast<std::int64_t>(hosts_.size()))),
             id,
             idempotence,
             isFirst);
      });
      at = at + Duration(1 + RandomBelow(RandomChance(0.5) ? 10 : 1500));
    }
  }
  for (int restart = 0; restart < faults_.restarts; ++restart)
    Schedule(now_ + Duration(RandomBelow(aSpan.Millis())), [this] {
      Restart(static_cast<std::size_t>(
        RandomBelow(static_cast<std::int64_t>(hosts_.size()))));
    });
  for (int cut = 0; faults_.hasPartitions && cut < 3; ++cut) {
    Schedule(now_ + Duration(RandomBelow(aSpan.Millis())), [this] {
      std::set<std::size_t> side;
      for (std::size_t host = 0; host < hosts_.size(); ++host)
        if (RandomChance(0.4))
          side.insert(host);
      Partition(side);
    });
    Schedule(now_ + Duration(RandomBelow(aSpan.Millis())),
             [this] { Partition({}); });
  }
}

void
LedgerSimulation::Send(std::size_t aHost,
                       const std::string& aId,
                       Idempotence aIdempotence,
                       bool aFirstSend)
{
  Request request;
  request.id = RequestId(aId);
  request.team = TeamId("a");
  request.pool = PoolId("lines");
  request.idempotence = aIdempotence;
  request.firstSend = aFirstSend;
  request.deadline = now_ + kRequestTimeout;
  for (Call& call : calls_)
    if (call.id == aId && call.isFirstSend && !call.outcome)
      call.isAwaited = false;
  calls_.push_back({ .id = aId,
                     .idempotence = aIdempotence,
                     .host = aHost,
                     .incarnation = hosts_[aHost].incarnation,
                     .isFirstSend = aFirstSend,
                     .isAwaited = true,
                     .outcome = std::nullopt,
                     .repliedAt = {} });
  Actions actions;
  hosts_[aHost].ledger->Submit(
    CallId(calls_.size() - 1), std::move(request), now_, actions);
  Execute(aHost, std::move(actions));
}

void
LedgerSimulation::RunFor(Duration aSpan)
{
  const Time end = now_ + aSpan;
  while (!events_.empty() && events_.begin()->first <= end) {
    const auto next = events_.begin();
    now_ = next->first;
    const auto callback = std::move(next->second);
    events_.erase(next);
    callback();
  }
  now_ = end;
}

void
LedgerSimulation::Execute(std::size_t aHost, Actions&& aActions)
{
  for (Action& action : aActions) {
    if (const auto* send = std::get_if<SendBatch>(&action))
      Deliver(aHost, *send);
    if (const auto* dispatch = std::get_if<DispatchCall>(&action))
      RunRequest(aHost, *dispatch);
    if (auto* reply = std::get_if<Reply>(&action)) {
      Call& call = calls_.at(reply->call.Value());
      call.outcome = std::move(reply->outcome);
      call.repliedAt = now_;
    }
  }
}

void
LedgerSimulation::Deliver(std::size_t aFrom, const SendBatch& aSend)
{
  ++messages_;
  std::size_t to = 0;
  while (hosts_[to].id != aSend.to)
    ++to;
  const int copies = RandomChance(faults_.duplicateRate) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (RandomChance(faults_.dropRate))
      continue;
    const Duration delay(1 + RandomBelow(faults_.maxDelay.Millis()));
    Schedule(now_ + delay, [this, aFrom, to, batch = aSend.batch]() mutable {
      if (IsPartitioned(aFrom, to))
        return;
      if (faults_.modifyBatch)
        faults_.modifyBatch(batch);
      Actions actions;
      hosts_[to].ledger->Receive(hosts_[aFrom].id, batch, now_, actions);
      Execute(to, std::move(actions));
    });
  }
}

/// Simulates the request plane: runs or refuses a request that is new to this
/// host, and adds the call of a resend to the existing run.
void
LedgerSimulation::RunRequest(std::size_t aHost, const DispatchCall& aDispatch)
{
  Host& host = hosts_[aHost];
  const std::string id = aDispatch.request.id.Value();
  const auto found = host.localRuns.find(id);
  if (found != host.localRuns.end()) {
    found->second.calls.push_back(aDispatch.call);
    if (found->second.hasEnded)
      CompleteRun(aHost, host.incarnation, id);
    return;
  }
  LocalRun run{ .calls = { aDispatch.call }, .outcome = {} };
  const bool isRefused = RandomChance(0.15);
  if (isRefused) {
    run.outcome =
      NotRun{ .error = { ErrorKind::NoCapacity, "refused" }, .retryAfter = {} };
  } else {
    const std::string answer =
      id + "#" + std::to_string(runs_[id].size()) + "@" + host.id.Value();
    runs_[id].push_back({ .at = now_, .answer = answer });
    run.outcome = Answered{ .upstream = UpstreamId("w"),
                            .succeeded = true,
                            .payload = answer };
    if (RandomChance(faults_.lostAnswerRate))
      run.outcome = Unknown{ .error = { ErrorKind::OutcomeUnknown, "lost" } };
  }
  host.localRuns.emplace(id, std::move(run));
  const Incarnation incarnation = host.incarnation;
  Schedule(
    now_ + Duration(RandomBelow(RandomChance(0.8) ? 30 : 600)),
    [this, aHost, incarnation, id] { CompleteRun(aHost, incarnation, id); });
}

void
LedgerSimulation::CompleteRun(std::size_t aHost,
                              Incarnation aIncarnation,
                              const std::string& aId)
{
  Host& host = hosts_[aHost];
  if (host.incarnation != aIncarnation)
    return;
  LocalRun& run = host.localRuns.at(aId);
  run.hasEnded = true;
  const Outcome outcome = run.outcome;
  const std::vector<CallId> calls = std::exchange(run.calls, {});
  if (std::holds_alternative<NotRun>(outcome))
    host.localRuns.erase(aId);
  for (const CallId call : calls) {
    Actions actions;
    host.ledger->OnOutcome(call, Outcome(outcome), now_, actions);
    Execute(aHost, std::move(actions));
  }
}

std::string
LedgerSimulation::FindViolation() const
{
  for (const Call& call : calls_) {
    const auto found = runs_.find(call.id);
    const std::vector<Run> none;
    const std::vector<Run>& runs = found == runs_.end() ? none : found->second;
    if (call.idempotence == Idempotence::NonIdempotent && runs.size() > 1)
      return call.id + " ran twice";
    if (!call.outcome || !call.isAwaited)
      continue;
    if (std::holds_alternative<NotRun>(*call.outcome) &&
        std::any_of(runs.begin(), runs.end(), [&](const Run& aRun) {
          return aRun.at <= call.repliedAt;
        }))
      return call.id + " was run although a caller received \"not run\"";
    const auto* answered = std::get_if<Answered>(&*call.outcome);
    if (answered != nullptr &&
        std::none_of(runs.begin(), runs.end(), [&](const Run& aRun) {
          return aRun.answer == answered->payload;
        }))
      return call.id + " received an answer that none of its runs produced";
  }
  return {};
}

OutcomeCounts
LedgerSimulation::Outcomes(Idempotence aIdempotence) const
{
  OutcomeCounts counts;
  for (const Call& call : calls_) {
    if (hosts_[call.host].incarnation != call.incarnation ||
        call.idempotence != aIdempotence)
      continue;
    if (!call.outcome)
      ++counts["none"];
    else if (std::holds_alternative<Answered>(*call.outcome))
      ++counts["answered"];
    else if (std::holds_alternative<NotRun>(*call.outcome))
      ++counts["not-run"];
    else
      ++counts["unknown"];
  }
  return counts;
}

bool
LedgerSimulation::AllServing() const
{
  return std::all_of(hosts_.begin(), hosts_.end(), [](const Host& aHost) {
    return aHost.ledger->IsServing();
  });
}
