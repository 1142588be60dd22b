#include "policy/HedgePolicy.h"

#include <algorithm>

namespace foxtail {
namespace {

constexpr double kMedian = 0.5;

} // namespace

HedgeSettings HedgeSettings::Read(JsonReader& aReader)
{
  HedgeSettings result;
  result.quantile_ = aReader.Number("quantile", result.quantile_, 0.5, 0.9999);
  result.budgetPercent_ =
    aReader.Number("budget_percent", result.budgetPercent_, 0, 100);
  result.plannedBudgetFraction_ =
    aReader.Number("planned_part", result.plannedBudgetFraction_, 0.1, 1);
  result.queryPercent_ =
    aReader.Number("query_percent", result.queryPercent_, 0, 100);
  result.burst_ = aReader.Number("burst", result.burst_, 1, 10000);
  result.minSamples_ = static_cast<uint32_t>(
    aReader.Integer("min_samples", result.minSamples_, 1, 100000));
  result.initialDelay_ = aReader.Millis("initial_delay_ms",
                                        result.initialDelay_,
                                        milliseconds(1),
                                        milliseconds(60000));
  result.minDelay_ = aReader.Millis(
    "min_delay_ms", result.minDelay_, milliseconds(0), milliseconds(60000));
  result.halveAfter_ = static_cast<uint32_t>(
    aReader.Integer("halve_after", result.halveAfter_, 100, 1000000));
  return result;
}

HedgePolicy::HedgePolicy(HedgeSettings aSettings, uint32_t aShards)
  : settings_(aSettings)
  , budget_(aSettings.budgetPercent_, aSettings.burst_)
  , layoutLatencies_(aSettings.halveAfter_)
  , shardLatencies_(aShards, DecayingQuantile(aSettings.halveAfter_))
{
}

void HedgePolicy::OnLatency(uint32_t aShard, Duration aLatency)
{
  layoutLatencies_.Add(aLatency);
  UpdateLayoutSpread();
  if (aShard < shardLatencies_.size()) {
    shardLatencies_[aShard].Add(aLatency);
  }
}

const DecayingQuantile& HedgePolicy::DistributionFor(uint32_t aShard) const
{
  const bool hasOwnSamples =
    aShard < shardLatencies_.size() &&
    shardLatencies_[aShard].Count() >= settings_.minSamples_;
  return hasOwnSamples ? shardLatencies_[aShard] : layoutLatencies_;
}

double HedgePolicy::EffectiveQuantile() const
{
  const double planned =
    1 - settings_.budgetPercent_ / 100 * settings_.plannedBudgetFraction_;
  return std::max(settings_.quantile_, planned);
}

Duration HedgePolicy::Delay(uint32_t aShard) const
{
  const DecayingQuantile& latencies = DistributionFor(aShard);
  if (latencies.Count() < settings_.minSamples_) {
    return settings_.initialDelay_;
  }
  const Duration own = latencies.Quantile(EffectiveQuantile());
  if (!layoutSpread_) {
    return std::max<Duration>(settings_.minDelay_, own);
  }
  const auto scaled =
    duration_cast<Duration>(latencies.Quantile(kMedian) * *layoutSpread_);
  return std::max<Duration>(settings_.minDelay_, std::min(own, scaled));
}

void HedgePolicy::UpdateLayoutSpread()
{
  constexpr uint32_t kUpdateInterval = 64;
  if (++samplesSinceSpread_ < kUpdateInterval ||
      layoutLatencies_.Count() < settings_.minSamples_) {
    return;
  }
  samplesSinceSpread_ = 0;
  const Duration median = layoutLatencies_.Quantile(kMedian);
  const Duration hedgeQuantile = layoutLatencies_.Quantile(EffectiveQuantile());
  layoutSpread_ = ToMilliseconds(hedgeQuantile) / ToMilliseconds(median);
}

Duration HedgePolicy::MedianLatency(uint32_t aShard) const
{
  return DistributionFor(aShard).Quantile(kMedian);
}

uint32_t HedgePolicy::QueryLimit(uint32_t aShards) const
{
  const double limit = settings_.queryPercent_ / 100 * aShards;
  return std::max(kMinQueryHedges, static_cast<uint32_t>(limit));
}

HedgeVerdict HedgePolicy::Decide(uint32_t aShard, const HedgeInput& aInput)
{
  if (aInput.isAction_) {
    return HedgeVerdict::Action;
  }
  if (aInput.inFlight_ > 1) {
    return HedgeVerdict::Hedged;
  }
  if (aInput.isOverloaded_) {
    return HedgeVerdict::Overloaded;
  }
  if (!aInput.hasUntriedReplica_) {
    return HedgeVerdict::NoOtherReplica;
  }
  if (aInput.timeLeft_ <= MedianLatency(aShard)) {
    return HedgeVerdict::NoTime;
  }
  if (aInput.queryHedges_ >= QueryLimit(aInput.queryShards_)) {
    return HedgeVerdict::QueryLimit;
  }
  return budget_.TryTake() ? HedgeVerdict::Send : HedgeVerdict::NoBudget;
}

void HedgePolicy::Configure(const HedgeSettings& aSettings)
{
  settings_ = aSettings;
  budget_.Configure(aSettings.budgetPercent_, aSettings.burst_);
}

} // namespace foxtail
