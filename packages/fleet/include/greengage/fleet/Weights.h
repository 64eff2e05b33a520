/// \file
/// Weights of the four fleet measures. Users weigh them differently, so every
/// decision that trades one measure for another takes the weights as an option.

#ifndef GREENGAGE_FLEET_WEIGHTS_H
#define GREENGAGE_FLEET_WEIGHTS_H

namespace greengage::fleet {

/// Weights of the four fleet measures, used as factors.
struct FleetWeights
{
  double bufferCost = 1;
  double rollOutTime = 1;
  double moves = 1;
  double closenessToShare = 1;
};

/// For fleets of small hosts, where every move disturbs the lines.
constexpr FleetWeights kRenovaSulWeights = { .bufferCost = 3,
                                             .rollOutTime = 1,
                                             .moves = 3,
                                             .closenessToShare = 1 };
/// For fleets whose callers wait while tasks are moved.
constexpr FleetWeights kTinkerbotsWeights = { .bufferCost = 1,
                                              .rollOutTime = 3,
                                              .moves = 1,
                                              .closenessToShare = 3 };

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_WEIGHTS_H
