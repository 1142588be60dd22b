#ifndef CALLER_SERVICEPOLICIES_H
#define CALLER_SERVICEPOLICIES_H

#include "caller/CallerMetrics.h"
#include "config/Document.h"
#include "policy/HedgePolicy.h"
#include "policy/PolicySettings.h"
#include "policy/RetryPolicy.h"
#include "policy/RoutingTable.h"

#include <deque>
#include <map>
#include <memory>

namespace foxtail {

/// Hedge and retry policies of one service on one worker, with their latency
/// estimates and budgets. Called from that worker's thread only.
class ServicePolicies
{
public:
  ServicePolicies(const PolicySettings& aSettings,
                  const ServiceSettings& aService,
                  const CallerMetrics::Service& aMetrics);

  /// Applies the service's settings from a newer document.
  void Configure(const ServiceSettings& aService);

  RetryPolicy& Retry() { return retry_; }

  /// @return the hedge policy of one layout. The shared pointer keeps the
  /// policy valid after newer layouts have replaced it.
  std::shared_ptr<HedgePolicy> Hedge(const CatalogueName& aCatalogue,
                                     const LayoutKey& aLayout);

  const CallerMetrics::Service& GetMetrics() const { return metrics_; }

  /// Updates the average duration with that of a finished request.
  void OnRequestDone(Duration aDuration);
  /// @return the moving average of request durations; zero before the first
  /// request has finished.
  Duration AverageDuration() const { return averageDuration_; }

private:
  struct LayoutHedge
  {
    LayoutKey layout_;
    std::shared_ptr<HedgePolicy> hedge_;
  };

  static HedgeSettings HedgeSettingsOf(const PolicySettings& aSettings,
                                       const ServiceSettings& aService);
  static RetrySettings RetrySettingsOf(const PolicySettings& aSettings,
                                       const ServiceSettings& aService);

  const PolicySettings& settings_;
  HedgeSettings hedgeSettings_;
  RetryPolicy retry_;
  /// Hedge policies of the newest layouts of each catalogue.
  std::map<CatalogueName, std::deque<LayoutHedge>> hedges_;
  const CallerMetrics::Service& metrics_;
  Duration averageDuration_{};
};

} // namespace foxtail

#endif // CALLER_SERVICEPOLICIES_H
