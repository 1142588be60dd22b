#include "policy/EjectionPolicy.h"

#include <algorithm>
#include <cmath>

namespace foxtail {
namespace {

constexpr double kLatencyWeight = 0.1;
/// The duration of an ejection varies by this fraction, so that instances do
/// not probe at the same time.
constexpr double kJitter = 0.2;
constexpr milliseconds kUnhealthyHintDuration{ 3000 };

bool IsRefusal(FailureKind aFailure)
{
  switch (aFailure) {
    case FailureKind::RefusedOverloaded:
    case FailureKind::RefusedDraining:
    case FailureKind::RefusedVersion:
    case FailureKind::RefusedDeadline:
      return true;
    default:
      return false;
  }
}

} // namespace

EjectionSettings EjectionSettings::Read(JsonReader& aReader)
{
  EjectionSettings result;
  const milliseconds shortest(1);
  const milliseconds longest(3600000);
  result.points_ = aReader.Number("points", result.points_, 1, 1000);
  result.hedgePoints_ =
    aReader.Number("hedge_points", result.hedgePoints_, 0, 1000);
  result.latencyRatio_ =
    aReader.Number("latency_ratio", result.latencyRatio_, 1.5, 1000);
  result.minSamples_ = static_cast<uint32_t>(
    aReader.Integer("min_samples", result.minSamples_, 1, 100000));
  result.minOutlierLatency_ = aReader.Millis(
    "min_outlier_ms", result.minOutlierLatency_, milliseconds(0), longest);
  result.maxEjectedFraction_ =
    aReader.Number("max_ejected_part", result.maxEjectedFraction_, 0, 0.5);
  result.baseDuration_ =
    aReader.Millis("base_ms", result.baseDuration_, shortest, longest);
  result.maxDuration_ =
    aReader.Millis("longest_ms", result.maxDuration_, shortest, longest);
  result.resetAfter_ =
    aReader.Millis("forgive_ms", result.resetAfter_, shortest, longest);
  result.probeTimeout_ =
    aReader.Millis("probe_timeout_ms", result.probeTimeout_, shortest, longest);
  return result;
}

EjectionPolicy::EjectionPolicy(EjectionSettings aSettings)
  : settings_(aSettings)
{
}

EjectionVerdict EjectionPolicy::OnReply(ReplicaHealth& aHealth,
                                        Duration aLatency,
                                        TimePoint aNow) const
{
  aHealth.points_ = 0;
  aHealth.failures_ = 0;
  const double old = ToMilliseconds(aHealth.latency_);
  const double sample = ToMilliseconds(aLatency);
  // The first samples have a higher weight, so that the influence of one
  // straggler among them decays.
  const double weight =
    std::max(kLatencyWeight, 1.0 / (aHealth.samples_ + 1.0));
  const double ms = old + (sample - old) * weight;
  aHealth.latency_ = microseconds(static_cast<int64_t>(ms * 1000));
  aHealth.latencyAt_ = aNow;
  ++aHealth.samples_;
  if (!aHealth.isEjected_ || !aHealth.isProbeSent_) {
    // This reply belongs to a request sent before the ejection, not to a probe.
    if (!aHealth.isEjected_ && aHealth.ejections_ > 0 &&
        aNow - aHealth.returnedAt_ > settings_.resetAfter_) {
      aHealth.ejections_ = 0;
    }
    return EjectionVerdict::None;
  }
  EndEjection(aHealth, aNow);
  return EjectionVerdict::Returned;
}

void EjectionPolicy::EndEjection(ReplicaHealth& aHealth, TimePoint aNow) const
{
  aHealth.isEjected_ = false;
  aHealth.isProbeSent_ = false;
  aHealth.returnedAt_ = aNow;
  aHealth.points_ = 0;
  // Latencies from before the ejection do not describe the present state.
  aHealth.samples_ = 0;
}

double EjectionPolicy::PointsOf(FailureKind aFailure) const
{
  switch (aFailure) {
    case FailureKind::HedgeLost:
    case FailureKind::Timeout:
      return settings_.hedgePoints_;
    default:
      return 1;
  }
}

EjectionVerdict EjectionPolicy::OnFailure(ReplicaHealth& aHealth,
                                          FailureKind aFailure,
                                          const ShardHealth& aShard,
                                          RandomSource& aRandom,
                                          TimePoint aNow) const
{
  const bool isProbe = aHealth.isEjected_ && aHealth.isProbeSent_;
  if (IsRefusal(aFailure)) {
    if (!isProbe) {
      return EjectionVerdict::None;
    }
    EndEjection(aHealth, aNow);
    return EjectionVerdict::Returned;
  }
  if (isProbe) {
    return Eject(aHealth, aShard, aRandom, aNow);
  }
  if (aHealth.isEjected_) {
    return EjectionVerdict::None;
  }
  ++aHealth.failures_;
  aHealth.points_ += PointsOf(aFailure);
  const double hint = aNow < aHealth.unhealthyHintUntil_ ? 1 : 0;
  if (aHealth.points_ + hint < settings_.points_) {
    return EjectionVerdict::None;
  }
  return Eject(aHealth, aShard, aRandom, aNow);
}

EjectionVerdict EjectionPolicy::CheckLatency(ReplicaHealth& aHealth,
                                             Duration aPeersMedian,
                                             const ShardHealth& aShard,
                                             RandomSource& aRandom,
                                             TimePoint aNow) const
{
  if (aHealth.isEjected_ || aHealth.samples_ < settings_.minSamples_ ||
      aHealth.latency_ < settings_.minOutlierLatency_ ||
      aPeersMedian == Duration::zero()) {
    return EjectionVerdict::None;
  }
  const double ratio =
    ToMilliseconds(aHealth.latency_) / ToMilliseconds(aPeersMedian);
  return ratio < settings_.latencyRatio_
           ? EjectionVerdict::None
           : Eject(aHealth, aShard, aRandom, aNow);
}

EjectionVerdict EjectionPolicy::Eject(ReplicaHealth& aHealth,
                                      const ShardHealth& aShard,
                                      RandomSource& aRandom,
                                      TimePoint aNow) const
{
  constexpr uint32_t kMaxDoublings = 20;
  const uint32_t others = aShard.ejected_ - (aHealth.isEjected_ ? 1 : 0);
  const auto allowed =
    static_cast<uint32_t>(aShard.replicas_ * settings_.maxEjectedFraction_);
  if (!aHealth.isEjected_ && others + 1 > allowed) {
    return EjectionVerdict::KeptByBound;
  }
  const double doublings = std::min(aHealth.ejections_, kMaxDoublings);
  const double ms =
    std::min(static_cast<double>(settings_.maxDuration_.count()),
             static_cast<double>(settings_.baseDuration_.count()) *
               std::exp2(doublings)) *
    (1 + kJitter * (aRandom.NextDouble() - 0.5) * 2);
  aHealth.isEjected_ = true;
  aHealth.isProbeSent_ = false;
  aHealth.ejectedAt_ = aNow;
  aHealth.ejectedUntil_ = aNow + microseconds(static_cast<int64_t>(ms * 1000));
  ++aHealth.ejections_;
  return EjectionVerdict::Ejected;
}

void EjectionPolicy::OnHealthHint(ReplicaHealth& aHealth,
                                  bool aIsHealthy,
                                  TimePoint aNow) const
{
  if (!aIsHealthy) {
    aHealth.unhealthyHintUntil_ = aNow + kUnhealthyHintDuration;
  }
}

bool EjectionPolicy::IsProbeDue(const ReplicaHealth& aHealth,
                                TimePoint aNow) const
{
  if (!aHealth.isEjected_ || aNow < aHealth.ejectedUntil_) {
    return false;
  }
  return !aHealth.isProbeSent_ ||
         aNow - aHealth.probeSentAt_ >= settings_.probeTimeout_;
}

void EjectionPolicy::OnProbeSent(ReplicaHealth& aHealth, TimePoint aNow) const
{
  aHealth.isProbeSent_ = true;
  aHealth.probeSentAt_ = aNow;
}

} // namespace foxtail
