#include "caller/ServicePolicies.h"

#include <algorithm>

namespace foxtail {
namespace {

/// Number of layouts of a catalogue whose latency estimates are kept: the
/// previous, the current and the next one.
constexpr size_t kMaxLayouts = 3;

} // namespace

ServicePolicies::ServicePolicies(const PolicySettings& aSettings,
                                 const ServiceSettings& aService,
                                 const CallerMetrics::Service& aMetrics)
  : settings_(aSettings)
  , hedgeSettings_(HedgeSettingsOf(aSettings, aService))
  , retry_(RetrySettingsOf(aSettings, aService))
  , metrics_(aMetrics)
{
}

HedgeSettings ServicePolicies::HedgeSettingsOf(const PolicySettings& aSettings,
                                               const ServiceSettings& aService)
{
  HedgeSettings settings = aSettings.hedge_;
  settings.quantile_ = aService.hedgeQuantile_;
  settings.budgetPercent_ =
    aService.kind_ == ServiceKind::Action ? 0 : aService.hedgeBudgetPercent_;
  return settings;
}

RetrySettings ServicePolicies::RetrySettingsOf(const PolicySettings& aSettings,
                                               const ServiceSettings& aService)
{
  RetrySettings settings = aSettings.retry_;
  settings.budgetPercent_ = aService.retryBudgetPercent_;
  settings.maxAttempts_ = aService.maxAttempts_;
  return settings;
}

void ServicePolicies::Configure(const ServiceSettings& aService)
{
  hedgeSettings_ = HedgeSettingsOf(settings_, aService);
  retry_.Configure(RetrySettingsOf(settings_, aService));
  for (auto& [catalogue, layouts] : hedges_) {
    for (LayoutHedge& layout : layouts) {
      layout.hedge_->Configure(hedgeSettings_);
    }
  }
}

std::shared_ptr<HedgePolicy> ServicePolicies::Hedge(
  const CatalogueName& aCatalogue,
  const LayoutKey& aLayout)
{
  std::deque<LayoutHedge>& layouts = hedges_[aCatalogue];
  const auto found = std::find_if(
    layouts.begin(), layouts.end(), [&](const LayoutHedge& aEntry) {
      return aEntry.layout_ == aLayout;
    });
  if (found != layouts.end()) {
    return found->hedge_;
  }
  if (layouts.size() >= kMaxLayouts) {
    layouts.pop_front();
  }
  layouts.push_back(
    { aLayout,
      std::make_shared<HedgePolicy>(hedgeSettings_, aLayout.shardCount_) });
  return layouts.back().hedge_;
}

void ServicePolicies::OnRequestDone(Duration aDuration)
{
  constexpr int kSmoothingDivisor = 16;
  averageDuration_ =
    averageDuration_ == Duration::zero()
      ? aDuration
      : averageDuration_ + (aDuration - averageDuration_) / kSmoothingDivisor;
}

} // namespace foxtail
