/// \file
/// Deterministic simulation of a network of ledgers with injected faults:
/// messages are reordered, dropped and duplicated, the network is partitioned,
/// and hosts restart without their state. Tracks every run and every reply.

#ifndef GREENGAGE_ONCE_UNITTESTS_LEDGERSIMULATION_H
#define GREENGAGE_ONCE_UNITTESTS_LEDGERSIMULATION_H

#include "greengage/once/OnceLedger.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace greengage::once::test {

/// The faults that are injected into a simulation.
struct FaultPlan
{
  double dropRate = 0;
  double duplicateRate = 0;
  Duration maxDelay = Duration(4);
  bool hasPartitions = false;
  int restarts = 0;
  /// Fraction of the runs whose answer is lost.
  double lostAnswerRate = 0;
  /// Modifies each batch before its delivery, to violate the protocol on
  /// purpose.
  std::function<void(LedgerBatch&)> modifyBatch;
  /// Restarted replicas grant claims at once, without copying their records.
  bool skipsRecovery = false;
};

/// One call of a caller, and its outcome once there is one.
struct Call
{
  std::string id;
  Idempotence idempotence = Idempotence::NonIdempotent;
  std::size_t host = 0;
  Incarnation incarnation;
  bool isFirstSend = false;
  /// False if this call was declared the first send and the id was sent again
  /// before the call was answered. The declaration no longer holds then, so the
  /// outcome of this call is not checked.
  bool isAwaited = true;
  std::optional<Outcome> outcome;
  Time repliedAt;
};

/// One execution of a request on an upstream.
struct Run
{
  Time at;
  std::string answer;
};

/// Number of calls by name of their outcome; "none" if there is no outcome.
using OutcomeCounts = std::map<std::string, int>;

/// A network of ledgers, each with a simulated request plane.
class LedgerSimulation
{
public:
  LedgerSimulation(std::uint64_t aSeed,
                   const std::vector<std::string>& aZones,
                   FaultPlan aFaults);

  /// Schedules \p aIds requests at random times within \p aSpan, each sent up
  /// to \p aSends times to random hosts. Also schedules restarts and
  /// partitions.
  void ScheduleRequests(std::size_t aIds, int aSends, Duration aSpan);
  void Send(std::size_t aHost,
            const std::string& aId,
            Idempotence aIdempotence,
            bool aFirstSend);
  void Restart(std::size_t aHost);
  /// Separates the hosts of \p aSide from the others until the next call. An
  /// empty set restores all links.
  void Partition(std::set<std::size_t> aSide);
  void RunFor(Duration aSpan);

  /// Describes the first violated guarantee; empty if there is none.
  std::string FindViolation() const;
  /// Counts the outcomes of calls to hosts that have not restarted since.
  OutcomeCounts Outcomes(Idempotence aIdempotence) const;
  const std::vector<Call>& Calls() const { return calls_; }
  const std::map<std::string, std::vector<Run>>& Runs() const { return runs_; }
  bool AllServing() const;
  std::size_t Messages() const { return messages_; }

private:
  struct LocalRun
  {
    std::vector<CallId> calls;
    Outcome outcome;
    bool hasEnded = false;
  };
  struct Host
  {
    EntryHostId id;
    Incarnation incarnation;
    std::unique_ptr<OnceLedger> ledger;
    std::map<std::string, LocalRun> localRuns;
  };

  void Schedule(Time aTime, std::function<void()> aCallback);
  bool RandomChance(double aProbability);
  std::int64_t RandomBelow(std::int64_t aBound);
  void Start(std::size_t aHost, bool aIsFirst);
  bool IsPartitioned(std::size_t aLeft, std::size_t aRight) const;
  void UpdateLinks();
  void Execute(std::size_t aHost, Actions&& aActions);
  void Deliver(std::size_t aFrom, const SendBatch& aSend);
  void RunRequest(std::size_t aHost, const DispatchCall& aDispatch);
  void CompleteRun(std::size_t aHost,
                   Incarnation aIncarnation,
                   const std::string& aId);

  std::mt19937_64 random_;
  FaultPlan faults_;
  std::vector<Member> members_;
  std::vector<Host> hosts_;
  std::set<std::size_t> partition_;
  Time now_;
  std::multimap<Time, std::function<void()>> events_;
  std::vector<Call> calls_;
  std::map<std::string, std::vector<Run>> runs_;
  std::size_t messages_ = 0;
};

} // namespace greengage::once::test

#endif // GREENGAGE_ONCE_UNITTESTS_LEDGERSIMULATION_H
