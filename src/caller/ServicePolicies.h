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

/// What one worker has learned of one service, and its budgets there. Called
/// from that worker's thread only.
class ServicePolicies
{
public:
  ServicePolicies(const PolicySettings& aSettings,
                  const ServiceSettings& aService,
                  const CallerMetrics::Service& aMetrics);

  /// Takes over the service's settings of a newer document.
  void Configure(const ServiceSettings& aService);

  RetryPolicy& Retry() { return retry_; }

  /// @return the hedging of one layout; kept while a query holds it.
  std::shared_ptr<HedgePolicy> Hedge(const CatalogueName& aCatalogue,
                                     const LayoutKey& aLayout);

  const CallerMetrics::Service& GetMetrics() const { return metrics_; }

  /// Counts a finished query.
  void OnRequestDone(Duration aDuration);
  /// @return the usual time of a whole query; zero before the first.
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
  /// The newest layouts of each catalogue.
  std::map<CatalogueName, std::deque<LayoutHedge>> hedges_;
  const CallerMetrics::Service& metrics_;
  Duration averageDuration_{};
};

} // namespace foxtail

#endif // CALLER_SERVICEPOLICIES_H
