/// \file
/// Bounds retries to a part of first sends, so that an overload or an outage
/// is not multiplied by the retries that it causes.

#ifndef GREENGAGE_DISPATCH_RETRYBUDGET_H
#define GREENGAGE_DISPATCH_RETRYBUDGET_H

#include "greengage/core/Ids.h"

#include <algorithm>
#include <unordered_map>

namespace greengage::dispatch {

/// The budgets of teams. One team's retries never use another's budget.
class RetryBudget
{
public:
  /// Notes that a request was sent for the first time.
  void NoteFirstSend(const TeamId& aTeam)
  {
    double& tokens = TokensOf(aTeam);
    tokens = std::min(kMostTokens, tokens + kRetriesPerSend);
  }
  /// Takes one retry out of the budget, if there is one left.
  bool TryRetry(const TeamId& aTeam)
  {
    double& tokens = TokensOf(aTeam);
    if (tokens < 1)
      return false;
    tokens -= 1;
    return true;
  }

private:
  static constexpr double kRetriesPerSend = 0.1;
  /// What may be saved up for a short trouble, and what a team begins with.
  static constexpr double kMostTokens = 20;

  double& TokensOf(const TeamId& aTeam)
  {
    return tokens_.try_emplace(aTeam, kMostTokens).first->second;
  }

  std::unordered_map<TeamId, double> tokens_;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_RETRYBUDGET_H
