#include "core/Metrics.h"

#include <prometheus/text_serializer.h>

namespace foxtail {

Metrics::Metrics()
  : registry_(std::make_shared<prometheus::Registry>(
      prometheus::Registry::InsertBehavior::Merge))
{
}

prometheus::Counter& Metrics::Counter(const std::string& aName,
                                      const std::string& aHelp,
                                      const Labels& aLabels)
{
  return prometheus::BuildCounter()
    .Name(aName)
    .Help(aHelp)
    .Register(*registry_)
    .Add(aLabels);
}

prometheus::Gauge& Metrics::Gauge(const std::string& aName,
                                  const std::string& aHelp,
                                  const Labels& aLabels)
{
  return prometheus::BuildGauge()
    .Name(aName)
    .Help(aHelp)
    .Register(*registry_)
    .Add(aLabels);
}

prometheus::Histogram& Metrics::SecondsHistogram(const std::string& aName,
                                                 const std::string& aHelp,
                                                 const Labels& aLabels)
{
  return prometheus::BuildHistogram()
    .Name(aName)
    .Help(aHelp)
    .Register(*registry_)
    .Add(aLabels,
         prometheus::Histogram::BucketBoundaries{ 0.0005,
                                                  0.001,
                                                  0.002,
                                                  0.005,
                                                  0.01,
                                                  0.02,
                                                  0.05,
                                                  0.1,
                                                  0.2,
                                                  0.5,
                                                  1,
                                                  2,
                                                  5,
                                                  10,
                                                  30 });
}

std::string Metrics::ToText() const
{
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace foxtail
