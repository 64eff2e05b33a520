/// \file
/// Limits retries to a fraction of first attempts, so that retries don't
/// amplify the overload or outage that causes them.

#ifndef GREENGAGE_DISPATCH_RETRYBUDGET_H
#define GREENGAGE_DISPATCH_RETRYBUDGET_H

#include "greengage/core/Ids.h"

#include <algorithm>
#include <unordered_map>

namespace greengage::dispatch {

/// A token bucket per team, so that one team's retries never use another's
/// budget.
class RetryBudget
{
public:
  /// Records the first attempt of a request.
  void RecordFirstSend(const TeamId& aTeam)
  {
    double& tokens = TokensOf(aTeam);
    tokens = std::min(kMaxTokens, tokens + kRetriesPerSend);
  }
  /// Takes a token for one retry. \returns false if none is left.
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
  /// The burst of retries that a short outage may use; also the initial
  /// balance.
  static constexpr double kMaxTokens = 20;

  double& TokensOf(const TeamId& aTeam)
  {
    return tokens_.try_emplace(aTeam, kMaxTokens).first->second;
  }

  std::unordered_map<TeamId, double> tokens_;
};

} // namespace greengage::dispatch

#endif // GREENGAGE_DISPATCH_RETRYBUDGET_H
