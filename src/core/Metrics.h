#ifndef CORE_METRICS_H
#define CORE_METRICS_H

#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace foxtail {

/// Metrics registry of one program. Thread safe. Callers should keep the
/// returned references, because each lookup locks a mutex.
class Metrics
{
public:
  using Labels = std::map<std::string, std::string>;

  Metrics();

  prometheus::Counter& Counter(const std::string& aName,
                               const std::string& aHelp,
                               const Labels& aLabels = {});
  prometheus::Gauge& Gauge(const std::string& aName,
                           const std::string& aHelp,
                           const Labels& aLabels = {});
  /// @return a histogram of durations in seconds, with bucket bounds from 0.5
  /// ms to 30 s.
  prometheus::Histogram& SecondsHistogram(const std::string& aName,
                                          const std::string& aHelp,
                                          const Labels& aLabels = {});

  /// @return all metrics in the Prometheus text format.
  std::string ToText() const;

private:
  std::shared_ptr<prometheus::Registry> registry_;
};

} // namespace foxtail

#endif // CORE_METRICS_H
