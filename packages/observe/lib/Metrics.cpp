#include "greengage/observe/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

using namespace greengage::observe;

static const prometheus::Histogram::BucketBoundaries kMillisBuckets = {
  1, 2, 5, 10, 20, 50, 100, 200, 500, 1100, 2000, 5000, 10000, 30000, 60000
};

Metrics::Metrics()
  : registry_(std::make_shared<prometheus::Registry>())
{
}

Metrics::~Metrics() = default;

void
Metrics::Count(const std::string& aName,
               const MetricLabels& aLabels,
               double aAmount)
{
  auto& family = prometheus::BuildCounter().Name(aName).Register(*registry_);
  family.Add(aLabels).Increment(aAmount);
}

void
Metrics::Set(const std::string& aName,
             double aValue,
             const MetricLabels& aLabels)
{
  auto& family = prometheus::BuildGauge().Name(aName).Register(*registry_);
  family.Add(aLabels).Set(aValue);
}

void
Metrics::Observe(const std::string& aName,
                 double aMillis,
                 const MetricLabels& aLabels)
{
  auto& family = prometheus::BuildHistogram().Name(aName).Register(*registry_);
  family.Add(aLabels, kMillisBuckets).Observe(aMillis);
}

std::string
Metrics::Serialize() const
{
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}
