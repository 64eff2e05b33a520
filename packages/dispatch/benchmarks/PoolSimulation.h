/// \file
/// A simulation of one pool under load with any request queue, for benchmarks
/// and for the tests that bound their results.

#ifndef GREENGAGE_DISPATCH_BENCHMARKS_POOLSIMULATION_H
#define GREENGAGE_DISPATCH_BENCHMARKS_POOLSIMULATION_H

#include "greengage/dispatch/DeadlineGate.h"
#include "greengage/dispatch/RequestQueue.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace greengage::dispatch {

/// The baseline policy: first in, first out, across all teams and pools.
class FifoQueue final : public RequestQueue
{
public:
  void SetShare(const std::string& /*aPath*/, double /*aShare*/) override {}
  void Add(const QueueEntry& aEntry, Time /*aNow*/) override
  {
    entries_.emplace(aEntry.work, aEntry);
    byDeadline_.emplace(aEntry.deadline, aEntry.work);
  }
  std::optional<QueueEntry> TakeNext(const PoolId& /*aPool*/,
                                     const TeamFilter& aMayRun,
                                     Time aNow) override
  {
    for (const auto& [work, entry] : entries_) {
      if (!aMayRun(entry.team))
        continue;
      QueueEntry taken = entry;
      Remove(work, aNow);
      return taken;
    }
    return std::nullopt;
  }
  void UnblockTeam(const TeamId& /*aTeam*/, Time /*aNow*/) override {}
  std::vector<TeamId> BlockedTeams() const override { return {}; }
  void AdjustCharge(const QueueEntry& /*aEntry*/,
                    Duration /*aRan*/,
                    Time /*aNow*/) override
  {
  }
  bool Remove(WorkId aWork, Time /*aNow*/) override
  {
    const auto found = entries_.find(aWork);
    if (found == entries_.end())
      return false;
    byDeadline_.erase({ found->second.deadline, aWork });
    entries_.erase(found);
    return true;
  }
  std::vector<QueueEntry> TakeExpired(Time aNow) override
  {
    std::vector<QueueEntry> expired;
    while (!byDeadline_.empty() && byDeadline_.begin()->first <= aNow) {
      expired.push_back(entries_.at(byDeadline_.begin()->second));
      Remove(expired.back().work, aNow);
    }
    return expired;
  }
  std::size_t CountAhead(const QueueEntry& /*aEntry*/) const override
  {
    return entries_.size();
  }
  std::size_t WaitingOfTeam(const TeamId& /*aTeam*/) const override
  {
    return entries_.size();
  }
  std::size_t WaitingInPool(const PoolId& /*aPool*/) const override
  {
    return entries_.size();
  }
  std::vector<PoolId> Pools() const override { return {}; }

private:
  std::map<WorkId, QueueEntry> entries_;
  std::set<std::pair<Time, WorkId>> byDeadline_;
};

/// The result of one simulation.
struct PoolSimulationResult
{
  static constexpr std::size_t kClasses = 3;
  std::array<double, kClasses> sent{};
  std::array<double, kClasses> onTime{};
  /// Fraction of urgent requests that were started within 1.1 s.
  double promptUrgentFraction = 0;
  /// Distance of the teams' service from their max-min fair shares, as a
  /// fraction of the total service.
  double shareDistance = 0;
  /// Requests that ended in time, per second.
  double goodput = 0;
  /// Requests that the gate refused or, if its decisions are only counted,
  /// would have refused, and those of them that ran and were on time
  /// nevertheless.
  double gated = 0;
  double falselyGated = 0;

  double OnTimeFraction(PriceClass aClass) const
  {
    const auto index = static_cast<std::size_t>(aClass);
    return onTime.at(index) / std::max(1.0, sent.at(index));
  }
};

/// Simulates six teams in two groups, with equal weights on each level. Each
/// team alternates between bursts of five times its mean demand and idle phases
/// of a twentieth, for some seconds each. Run times vary from run to run.
class PoolSimulation
{
public:
  struct Options
  {
    std::uint64_t seed = 1;
    /// Mean demand as a fraction of the pool's capacity.
    double demand = 1;
    /// Whether the gate refuses requests, or its decisions are only counted.
    bool hasGate = false;
    Duration length = Duration::Seconds(300);
  };

  PoolSimulation(Options aOptions, RequestQueue& aQueue)
    : options_(aOptions)
    , queue_(aQueue)
    , random_(aOptions.seed)
  {
    for (std::size_t team = 0; team < kTeams; ++team)
      teams_[team].id =
        TeamId((team < 2 ? "north/t" : "south/t") + std::to_string(team));
  }

  PoolSimulationResult Run()
  {
    for (; now_ < Time(0) + options_.length; now_ = now_ + kStep) {
      for (std::size_t team = 0; team < kTeams; ++team)
        GenerateArrivals(team);
      Finish();
      for (const QueueEntry& entry : queue_.TakeExpired(now_))
        --teams_[TeamOf(entry)].waiting;
      Start();
      MeasureShares();
    }
    result_.promptUrgentFraction =
      promptUrgent_ /
      std::max(1.0, result_.sent[static_cast<std::size_t>(PriceClass::Urgent)]);
    result_.shareDistance = distance_ / std::max(1.0, service_);
    const double total =
      result_.onTime[0] + result_.onTime[1] + result_.onTime[2];
    result_.goodput =
      total / (static_cast<double>(options_.length.Millis()) / 1000);
    return result_;
  }

private:
  static constexpr std::size_t kTeams = 6;
  static constexpr std::size_t kSlots = 80;
  static constexpr Duration kStep = Duration(10);
  static constexpr std::int64_t kMeanRunMs = 200;
  static constexpr std::int64_t kWindowMs = 1000;

  struct TeamState
  {
    TeamId id;
    bool isBursting = false;
    Time phaseEnd;
    std::size_t running = 0;
    std::size_t waiting = 0;
  };
  struct Request
  {
    QueueEntry entry;
    Time arrival;
    Duration runTime;
    bool isGated = false;
  };

  std::size_t TeamOf(const QueueEntry& aEntry) const
  {
    return static_cast<std::size_t>(aEntry.team.Value().back() - '0');
  }

  /// Generates the arrivals of one step. A team bursts for about a fifth of the
  /// time.
  void GenerateArrivals(std::size_t aTeam)
  {
    TeamState& team = teams_[aTeam];
    if (now_ >= team.phaseEnd) {
      team.isBursting = !team.isBursting && random_() % 2 == 0;
      const auto seconds = static_cast<std::int64_t>(
        team.isBursting ? 3 + random_() % 4 : 4 + random_() % 9);
      team.phaseEnd = now_ + Duration::Seconds(seconds);
    }
    constexpr double kBurstFactor = 5;
    constexpr double kIdleFactor = 0.05;
    const double capacity = static_cast<double>(kSlots) / kMeanRunMs;
    const double mean =
      options_.demand * capacity / kTeams * static_cast<double>(kStep.Millis());
    std::poisson_distribution<int> arrivals(
      mean * (team.isBursting ? kBurstFactor : kIdleFactor));
    for (int left = arrivals(random_); left > 0; --left)
      Submit(aTeam);
  }

  void Submit(std::size_t aTeam)
  {
    constexpr std::array<std::int64_t, 3> kDeadlineMs{ 2000, 6000, 40000 };
    const auto draw = static_cast<std::size_t>(random_() % 10);
    const std::size_t index = draw < 2 ? 0 : (draw < 6 ? 1 : 2);
    Request request;
    request.arrival = now_;
    request.runTime = Duration(static_cast<std::int64_t>(
      kMeanRunMs / 2 + random_() % static_cast<std::uint64_t>(kMeanRunMs)));
    request.entry = { .work = WorkId(++lastWork_),
                      .team = teams_[aTeam].id,
                      .pool = pool_,
                      .priceClass = static_cast<PriceClass>(index),
                      .deadline = now_ + Duration(kDeadlineMs[index]),
                      .expectedRunTime = Duration(kMeanRunMs),
                      .minRunTime = Duration(kMeanRunMs / 2) };
    request.isGated =
      gate_
        .CheckDeadline({ .pool = pool_,
                         .team = request.entry.team,
                         .queuedAhead = queue_.CountAhead(request.entry),
                         .minRunTime = Duration(kMeanRunMs / 2),
                         .deadline = request.entry.deadline },
                       now_)
        .has_value();
    result_.gated += request.isGated ? 1 : 0;
    ++result_.sent.at(index);
    if (request.isGated && options_.hasGate)
      return;
    ++teams_[aTeam].waiting;
    queue_.Add(request.entry, now_);
    requests_.emplace(request.entry.work, request);
  }

  void Finish()
  {
    while (!ends_.empty() && ends_.top().first <= now_) {
      const auto found = requests_.find(ends_.top().second);
      ends_.pop();
      const Request& request = found->second;
      --teams_[TeamOf(request.entry)].running;
      queue_.AdjustCharge(request.entry, request.runTime, now_);
      if (now_ <= request.entry.deadline) {
        ++result_.onTime.at(static_cast<std::size_t>(request.entry.priceClass));
        result_.falselyGated += request.isGated ? 1 : 0;
      }
      requests_.erase(found);
    }
  }

  void Start()
  {
    const auto any = [](const TeamId&) { return true; };
    while (ends_.size() < kSlots) {
      const auto entry = queue_.TakeNext(pool_, any, now_);
      if (!entry)
        return;
      const Request& request = requests_.at(entry->work);
      TeamState& team = teams_[TeamOf(*entry)];
      ++team.running;
      --team.waiting;
      gate_.RecordStart(pool_, entry->team, team.waiting, now_);
      const bool isPrompt = now_ - request.arrival <= Duration(1100);
      if (entry->priceClass == PriceClass::Urgent && isPrompt)
        ++promptUrgent_;
      ends_.emplace(now_ + request.runTime, entry->work);
    }
  }

  /// The max-min fair shares of \p aSlots for \p aDemands.
  static std::vector<double> MaxMinShares(double aSlots,
                                          const std::vector<double>& aDemands)
  {
    std::vector<double> shares(aDemands.size(), 0);
    double remaining = aSlots;
    std::vector<std::size_t> unfilled;
    for (std::size_t index = 0; index < aDemands.size(); ++index)
      unfilled.push_back(index);
    while (!unfilled.empty() && remaining > 1e-9) {
      const double equalShare =
        remaining / static_cast<double>(unfilled.size());
      std::vector<std::size_t> unsatisfied;
      for (const std::size_t index : unfilled) {
        const double allocated =
          std::min(equalShare, aDemands[index] - shares[index]);
        shares[index] += allocated;
        remaining -= allocated;
        if (shares[index] + 1e-9 < aDemands[index])
          unsatisfied.push_back(index);
      }
      if (unsatisfied.size() == unfilled.size())
        break;
      unfilled = unsatisfied;
    }
    return shares;
  }

  /// Compares the service of each team in each window with its max-min fair
  /// share of the total service.
  void MeasureShares()
  {
    for (std::size_t team = 0; team < kTeams; ++team) {
      served_[team] += static_cast<double>(teams_[team].running);
      demanded_[team] +=
        static_cast<double>(teams_[team].running + teams_[team].waiting);
    }
    if (now_.Millis() % kWindowMs != 0)
      return;
    std::vector<double> group(2, 0);
    double total = 0;
    for (std::size_t team = 0; team < kTeams; ++team) {
      group[team < 2 ? 0 : 1] += demanded_[team];
      total += served_[team];
    }
    const auto groupShares = MaxMinShares(total, group);
    const auto north =
      MaxMinShares(groupShares[0], { demanded_[0], demanded_[1] });
    const auto south =
      MaxMinShares(groupShares[1],
                   { demanded_[2], demanded_[3], demanded_[4], demanded_[5] });
    for (std::size_t team = 0; team < kTeams; ++team) {
      const double share = team < 2 ? north[team] : south[team - 2];
      distance_ += std::abs(served_[team] - share) / 2;
    }
    service_ += total;
    served_.fill(0);
    demanded_.fill(0);
  }

  Options options_;
  RequestQueue& queue_;
  std::mt19937_64 random_;
  PoolId pool_{ "lines" };
  Time now_{ 0 };
  std::uint64_t lastWork_ = 0;
  std::array<TeamState, kTeams> teams_;
  std::map<WorkId, Request> requests_;
  using End = std::pair<Time, WorkId>;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends_;
  DeadlineGate gate_;
  PoolSimulationResult result_;
  double promptUrgent_ = 0;
  std::array<double, kTeams> served_{};
  std::array<double, kTeams> demanded_{};
  double distance_ = 0;
  double service_ = 0;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_BENCHMARKS_POOLSIMULATION_H
