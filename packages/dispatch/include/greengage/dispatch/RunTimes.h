/// \file
/// How long requests run, learned per team and kind from how long they ran,
/// since what callers would declare is far from the truth.

#ifndef GREENGAGE_DISPATCH_RUNTIMES_H
#define GREENGAGE_DISPATCH_RUNTIMES_H

#include "greengage/core/Ids.h"
#include "greengage/core/Units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace greengage::dispatch {

/// The bounds of what is learned.
struct RunTimeOptions
{
  /// The estimate for work of which nothing is known.
  Duration initialEstimate = Duration(100);
  /// Kinds of one team; those beyond count as one.
  std::size_t maxKinds = 64;
  /// No run counts for more than so many times the mean so far, and no kind for
  /// more than so many times the team's mean, so that one false run or kind
  /// can't bend what is decided by its estimate without bound.
  std::int64_t maxRatio = 20;
  /// Runs before a low estimate is trusted.
  std::uint32_t minRuns = 20;
};

/// Run times by team and kind.
class RunTimes
{
public:
  explicit RunTimes(RunTimeOptions aOptions = {})
    : options_(aOptions)
  {
  }

  /// Takes the length of a run into account.
  void Learn(const TeamId& aTeam, const std::string& aKind, Duration aRan);
  /// How long a run takes in the mean.
  Duration Mean(const TeamId& aTeam, const std::string& aKind) const;
  /// What nine of ten runs exceed; zero while too few runs are known.
  Duration Least(const TeamId& aTeam, const std::string& aKind) const;

private:
  struct Estimate
  {
    double meanMs = 0;
    double percentile10Ms = 0;
    std::uint32_t runs = 0;
  };
  struct TeamEstimates
  {
    Estimate overall;
    std::map<std::string, Estimate> kinds;
  };

  void Update(Estimate& aEstimate, double aMs) const;
  const Estimate* Find(const TeamId& aTeam, const std::string& aKind) const;

  RunTimeOptions options_;
  std::map<TeamId, TeamEstimates> teams_;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_RUNTIMES_H
