#include "policy/InFlightLimiter.h"

#include <algorithm>

namespace foxtail {
namespace {

constexpr double kRecentWeight = 0.2;
/// The baseline falls fast and rises slowly, so that it stays near the latency
/// without queueing.
constexpr double kBaselineDownWeight = 0.2;
constexpr double kBaselineUpWeight = 0.002;
constexpr double kMaxSampleFactor = 1.5;

} // namespace

InFlightLimiterSettings InFlightLimiterSettings::Read(JsonReader& aReader)
{
  InFlightLimiterSettings result;
  result.maxPerSlot_ =
    aReader.Number("max_per_slot", result.maxPerSlot_, 0.1, 100);
  result.initialPerShare_ =
    aReader.Number("initial_per_share", result.initialPerShare_, 0.1, 100);
  result.growth_ = aReader.Number("growth", result.growth_, 0.001, 10);
  result.shedFactor_ =
    aReader.Number("shed_factor", result.shedFactor_, 0.1, 0.99);
  result.slowFactor_ =
    aReader.Number("slow_factor", result.slowFactor_, 0.1, 1);
  result.slowRatio_ = aReader.Number("slow_ratio", result.slowRatio_, 1.1, 100);
  result.decreasePause_ = aReader.Millis("decrease_pause_ms",
                                         result.decreasePause_,
                                         milliseconds(0),
                                         milliseconds(10000));
  return result;
}

InFlightLimiter::InFlightLimiter(InFlightLimiterSettings aSettings,
                                 uint32_t aSlots,
                                 uint32_t aInstances)
  : settings_(aSettings)
  , slots_(aSlots)
  , instances_(std::max<uint32_t>(1, aInstances))
{
  const double share = static_cast<double>(slots_) / instances_;
  limit_ = std::clamp(share * settings_.initialPerShare_, 1.0, Max());
}

double InFlightLimiter::Max() const
{
  const double perInstance = settings_.maxPerSlot_ / instances_;
  return std::max(1.0, slots_ * std::max(1.0, perInstance));
}

void InFlightLimiter::OnReply(Duration aLatency,
                              uint32_t aInFlight,
                              TimePoint aNow)
{
  double ms = ToMilliseconds(aLatency);
  if (baselineMs_ == 0) {
    baselineMs_ = ms;
    recentMs_ = ms;
  }
  // A single straggler, however slow, does not indicate a queue.
  ms = std::min(ms, baselineMs_ * settings_.slowRatio_ * kMaxSampleFactor);
  recentMs_ += (ms - recentMs_) * kRecentWeight;
  baselineMs_ += (ms - baselineMs_) *
                 (ms < baselineMs_ ? kBaselineDownWeight : kBaselineUpWeight);
  if (recentMs_ > baselineMs_ * settings_.slowRatio_) {
    Decrease(settings_.slowFactor_, aNow);
    return;
  }
  // A limit that was not reached does not show that a larger one would work.
  if (aInFlight >= Limit()) {
    limit_ = std::min(Max(), limit_ + settings_.growth_ / limit_);
  }
}

void InFlightLimiter::OnShed(uint32_t aInFlight, TimePoint aNow)
{
  lastShed_ = aNow;
  // With a limit above what the server accepts, the next attempt would be shed
  // too.
  limit_ = std::min(limit_, std::max(1.0, static_cast<double>(aInFlight)));
  Decrease(settings_.shedFactor_, aNow);
}

void InFlightLimiter::Decrease(double aFactor, TimePoint aNow)
{
  // Only one decrease for all attempts sent under the old limit.
  const auto baseline = microseconds(static_cast<int64_t>(baselineMs_ * 1000));
  const Duration pause = std::max<Duration>(settings_.decreasePause_, baseline);
  if (lastDecrease_ != TimePoint{} && aNow - lastDecrease_ < pause) {
    return;
  }
  lastDecrease_ = aNow;
  limit_ = std::max(1.0, limit_ * aFactor);
}

void InFlightLimiter::Configure(uint32_t aSlots, uint32_t aInstances)
{
  slots_ = aSlots;
  instances_ = std::max<uint32_t>(1, aInstances);
  const double share = static_cast<double>(slots_) / instances_;
  // The current limit is kept, but raised to the new share if it is lower.
  limit_ = std::clamp(std::max(limit_, std::min(share, Max())), 1.0, Max());
}

} // namespace foxtail
