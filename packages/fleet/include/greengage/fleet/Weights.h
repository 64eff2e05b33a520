/// \file
/// How much each of the four measures counts. Users differ in them, and each
/// decision that trades one measure for another takes them as an option.

#ifndef GREENGAGE_FLEET_WEIGHTS_H
#define GREENGAGE_FLEET_WEIGHTS_H

namespace greengage::fleet {

/// Factors on the four measures.
struct FleetWeights
{
  double bufferCost = 1;
  double rollOutTime = 1;
  double moves = 1;
  double closeness = 1;
};

/// Modest hosts, where every move disturbs the lines.
constexpr FleetWeights kRenovaSulWeights = { .bufferCost = 3,
                                             .rollOutTime = 1,
                                             .moves = 3,
                                             .closeness = 1 };
/// Callers who wait while work is moved.
constexpr FleetWeights kTinkerbotsWeights = { .bufferCost = 1,
                                              .rollOutTime = 3,
                                              .moves = 1,
                                              .closeness = 3 };

} // namespace greengage::fleet

#endif // GREENGAGE_FLEET_WEIGHTS_H
