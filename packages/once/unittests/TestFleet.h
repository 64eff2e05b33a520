/// \file
/// A small network of ledgers for randomized tests: messages are delayed out
/// of order, dropped and doubled, links are cut, hosts restart without memory,
/// and a record is kept of every run and every reply.

#ifndef GREENGAGE_ONCE_UNITTESTS_TESTFLEET_H
#define GREENGAGE_ONCE_UNITTESTS_TESTFLEET_H

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

/// How rough a schedule is.
struct Roughness
{
  double drop = 0;
  double duplicate = 0;
  Duration longestDelay = Duration(4);
  bool hasCuts = false;
  int restarts = 0;
  /// Part of the runs whose answer is lost.
  double lostAnswers = 0;
  /// Changes a batch on its way; breaks the protocol on purpose.
  std::function<void(Batch&)> tamper;
  /// Restarted keepers serve at once without their records.
  bool forgetful = false;
};

/// One call and its reply.
struct Call
{
  std::string id;
  Idempotence idempotence = Idempotence::NonIdempotent;
  std::size_t host = 0;
  Incarnation incarnation;
  bool isFirstSend = false;
  /// False once the caller has sent again before it had the reply to a first
  /// send; it has broken off that call.
  bool isHeard = true;
  std::optional<Outcome> outcome;
  Time repliedAt;
};

/// One run on some upstream.
struct Run
{
  Time at;
  std::string answer;
};

/// Counts of calls by the name of their outcome, "none" for those without.
using OutcomeCounts = std::map<std::string, int>;

/// Ledgers, stand-ins for their request planes, and the network.
class TestFleet
{
public:
  TestFleet(std::uint64_t aSeed,
            const std::vector<std::string>& aZones,
            Roughness aRoughness);

  /// Sends ids at random hosts and times, each up to \p aSends times.
  void Plan(std::size_t aIds, int aSends, Duration aSpan);
  void Send(std::size_t aHost,
            const std::string& aId,
            Idempotence aIdempotence,
            bool aFirstSend);
  void Restart(std::size_t aHost);
  /// Cuts the hosts of \p aSide off from the others; nobody heals.
  void Cut(std::set<std::size_t> aSide);
  void RunFor(Duration aSpan);

  /// The first broken promise, or an empty text.
  std::string Violation() const;
  /// The outcomes of calls on hosts that did not restart.
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
    std::map<std::string, LocalRun> plane;
  };

  void At(Time aTime, std::function<void()> aAct);
  bool Chance(double aPart);
  std::int64_t Below(std::int64_t aEnd);
  void Start(std::size_t aHost, bool aIsFirst);
  bool IsCut(std::size_t aLeft, std::size_t aRight) const;
  void UpdateLinks();
  void CarryOut(std::size_t aHost, Actions&& aActions);
  void Deliver(std::size_t aFrom, const SendBatch& aSend);
  void Plane(std::size_t aHost, const PassOn& aPass);
  void EndRun(std::size_t aHost,
              Incarnation aIncarnation,
              const std::string& aId);

  std::mt19937_64 random_;
  Roughness roughness_;
  std::vector<Member> members_;
  std::vector<Host> hosts_;
  std::set<std::size_t> side_;
  Time now_;
  std::multimap<Time, std::function<void()>> events_;
  std::vector<Call> calls_;
  std::map<std::string, std::vector<Run>> runs_;
  std::size_t messages_ = 0;
};

} // namespace greengage::once::test

#endif // GREENGAGE_ONCE_UNITTESTS_TESTFLEET_H
