/// \file
/// Weights of the four fleet measures: the cost of spare hosts, the roll-out
/// time of a wave, the number of moves, and how close teams are to their
/// shares. Users weigh them differently, so every decision that trades one
/// measure for another takes the weights as an option.

#ifndef GREENGAGE_FLEET_WEIGHTS_H
#define GREENGAGE_FLEET_WEIGHTS_H

namespace greengage::fleet {

/// Weights of the four fleet measures, used as factors.
struct FleetWeights
{
  /// Cost of holding spare hosts.
  double bufferCost = 1;
  /// Duration of a maintenance wave.
  double rollOutTime = 1;
  /// Cost of moving hosts between pools.
  double moves = 1;
  /// Closeness to the teams' shares, measured by the demand that is left unmet.
  double closenessToShare = 1;
};

/// For fleets of small hosts in which spare hosts and moves are expensive, as
/// every move disturbs the lines.
constexpr FleetWeights kRenovaSulWeights = { .bufferCost = 3,
                                             .rollOutTime = 1,
                                             .moves = 3,
                                             .closenessToShare = 1 };
/// For fleets in which unmet demand and long waves are expensive, because
/// callers wait while tasks are moved.
constexpr FleetWeights kTinkerbotsWeights = { .bufferCost = 1,
                                              .rollOutTime = 3,
                                              .moves = 1,
                                              .closenessToShare = 3 };

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_WEIGHTS_H
