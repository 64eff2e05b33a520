/// \file
/// A workload whose demand moves between entry hosts, run against any limit
/// ledger by benchmarks and by the tests that check their results.

#ifndef GREENGAGE_DISPATCH_BENCHMARKS_HOTSPOTWORKLOAD_H
#define GREENGAGE_DISPATCH_BENCHMARKS_HOTSPOTWORKLOAD_H

#include "greengage/dispatch/GrantLedger.h"
#include "greengage/dispatch/LimitLedger.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace greengage::dispatch {

/// The measurements of one run.
struct HotspotResult
{
  /// Slots in use, as a fraction of the team's demand up to its limit.
  double utilization = 0;
  /// The greatest number of requests running in excess of the limit.
  std::int64_t overshoot = 0;
  /// Grant reports sent per host and second.
  double reportsPerHostSecond = 0;
};

/// Seven entry hosts. One host at a time has a demand of five times its even
/// quota for two to six seconds; the others have a twentieth of the quota.
class HotspotWorkload
{
public:
  static constexpr std::size_t kHosts = 7;
  static constexpr std::int64_t kLimit = 70;

  explicit HotspotWorkload(std::uint64_t aSeed)
    : random_(aSeed)
  {
    for (std::size_t host = 0; host < kHosts; ++host)
      members_.emplace_back("e" + std::to_string(host));
  }

  HotspotResult RunSplit()
  {
    for (std::size_t host = 0; host < kHosts; ++host)
      ledgers_.push_back(std::make_unique<StaticSplitLedger>(
        SplitOptions{ .rank = host, .hosts = kHosts }));
    return Run();
  }
  HotspotResult RunGrants()
  {
    for (const EntryHostId& member : members_)
      ledgers_.push_back(std::make_unique<GrantLedger>(GrantOptions{
        .self = member, .members = members_, .incarnation = Incarnation(1) }));
    return Run();
  }

private:
  static constexpr Duration kStep = Duration(25);
  static constexpr int kHotspots = 60;
  static constexpr unsigned kEndsPerMille = 250;

  HotspotResult Run()
  {
    state::FleetView view;
    view.version = Version(1);
    view.teams[team_] = { .share = 1, .limit = Slots(kLimit), .maxQueued = 9 };
    for (auto& ledger : ledgers_)
      ledger->Update(view);
    running_.assign(kHosts, 0);
    for (int hotspot = 0; hotspot < kHotspots; ++hotspot)
      RunHotspot(random_() % kHosts, static_cast<int>(80 + random_() % 160));
    const double hostSeconds =
      static_cast<double>(now_.Millis()) / 1000 * kHosts;
    return { .utilization = used_ / wanted_,
             .overshoot = overshoot_,
             .reportsPerHostSecond =
               static_cast<double>(reports_) / hostSeconds };
  }

  void RunHotspot(std::size_t aHotHost, int aSteps)
  {
    // The mean demand over all hosts adds up to the limit.
    constexpr std::int64_t kMean = kLimit / static_cast<std::int64_t>(kHosts);
    for (int step = 0; step < aSteps; ++step) {
      now_ = now_ + kStep;
      std::int64_t wanted = 0;
      for (std::size_t host = 0; host < kHosts; ++host) {
        const std::int64_t demand =
          host == aHotHost ? 5 * kMean : (random_() % 2 == 0 ? 1 : 0);
        wanted += demand;
        Serve(host, demand);
      }
      ExchangeReports();
      std::int64_t total = 0;
      for (const std::int64_t running : running_)
        total += running;
      overshoot_ = std::max(overshoot_, total - kLimit);
      used_ += static_cast<double>(std::min(total, wanted));
      wanted_ += static_cast<double>(std::min(wanted, kLimit));
    }
  }

  /// Ends some requests at random and starts as many as the demand and the
  /// ledger allow.
  void Serve(std::size_t aHost, std::int64_t aDemand)
  {
    std::int64_t& running = running_[aHost];
    for (std::int64_t each = running; each > 0; --each)
      if (random_() % 1000 < kEndsPerMille) {
        ledgers_[aHost]->Release(team_);
        --running;
      }
    while (running < aDemand && ledgers_[aHost]->TryAcquire(team_))
      ++running;
    const std::int64_t waiting = std::max<std::int64_t>(0, aDemand - running);
    ledgers_[aHost]->SetWaiting(team_, static_cast<std::size_t>(waiting));
  }

  void ExchangeReports()
  {
    std::vector<std::pair<std::size_t, PeerGrants>> messages;
    for (std::size_t host = 0; host < kHosts; ++host)
      for (SendGrants& report : ledgers_[host]->TakeDueReports(now_)) {
        const auto to =
          std::find(members_.begin(), members_.end(), report.peer);
        messages.emplace_back(to - members_.begin(),
                              PeerGrants{ .peer = members_[host],
                                          .report = std::move(report.report) });
      }
    reports_ += messages.size();
    for (const auto& [to, report] : messages)
      ledgers_[to]->ApplyReport(report, now_);
  }

  TeamId team_{ "caxias/plan" };
  std::mt19937_64 random_;
  std::vector<EntryHostId> members_;
  std::vector<std::unique_ptr<LimitLedger>> ledgers_;
  std::vector<std::int64_t> running_;
  Time now_{ 0 };
  double used_ = 0;
  double wanted_ = 0;
  std::int64_t overshoot_ = 0;
  std::size_t reports_ = 0;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_BENCHMARKS_HOTSPOTWORKLOAD_H
