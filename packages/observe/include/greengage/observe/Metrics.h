/// \file
/// The process's counters and gauges in the Prometheus text format.

#ifndef GREENGAGE_OBSERVE_METRICS_H
#define GREENGAGE_OBSERVE_METRICS_H

#include <map>
#include <memory>
#include <string>

namespace prometheus {
class Registry;
} // namespace prometheus

namespace greengage::observe {

/// Labels of one time series.
using MetricLabels = std::map<std::string, std::string>;

/// A set of named metrics. All calls are safe from any thread.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds \p aAmount to a counter, creating it at first use.
  void Count(const std::string& aName,
             const MetricLabels& aLabels = {},
             double aAmount = 1);
  /// Sets a gauge, creating it at first use.
  void Set(const std::string& aName,
           double aValue,
           const MetricLabels& aLabels = {});
  /// Adds a time in milliseconds to a histogram, creating it at first use.
  void Observe(const std::string& aName,
               double aMillis,
               const MetricLabels& aLabels = {});
  /// Everything in the text format of Prometheus.
  std::string Serialize() const;

private:
  std::shared_ptr<prometheus::Registry> registry_;
};

} // namespace greengage::observe

#endif // GREENGAGE_OBSERVE_METRICS_H
