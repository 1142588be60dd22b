#include "policy/RateLimitShare.h"

#include <algorithm>
#include <cassert>

namespace foxtail {
namespace {

using Seconds = std::chrono::duration<double>;

Duration Scaled(Duration aDuration, double aFactor)
{
  return duration_cast<Duration>(Seconds(aDuration) * aFactor);
}

} // namespace

RateLimitShare::RateLimitShare(RateLimitShareSettings aSettings)
  : settings_(aSettings)
{
}

void RateLimitShare::SetLimit(double aPerSecond, double aPhase, TimePoint aNow)
{
  assert(aPerSecond >= 0);
  if (isLimited_ && aPerSecond == perSecond_) {
    return;
  }
  perSecond_ = aPerSecond;
  const Duration interval = IntervalOf(perSecond_, instances_);
  if (isLimited_) {
    SetInterval(interval, aNow);
    return;
  }
  isLimited_ = true;
  interval_ = interval;
  nextPermitAt_ = aNow + Scaled(interval_, aPhase);
}

void RateLimitShare::SetInstances(uint32_t aInstances, TimePoint aNow)
{
  instances_ = std::max<uint32_t>(aInstances, 1);
  SetInterval(IntervalOf(perSecond_, instances_), aNow);
}

double RateLimitShare::SharePerSecond() const
{
  return 1 / Seconds(interval_).count();
}

TimePoint RateLimitShare::NextPermitAt(TimePoint aNow) const
{
  return isLimited_ ? std::max(NextUnexpired(aNow), aNow) : aNow;
}

void RateLimitShare::TakePermit(TimePoint aNow)
{
  if (isLimited_) {
    nextPermitAt_ = NextUnexpired(aNow) + interval_;
  }
}

TimePoint RateLimitShare::NextUnexpired(TimePoint aNow) const
{
  const Duration expiredFor = aNow - settings_.permitLifetime_ - nextPermitAt_;
  if (expiredFor <= Duration::zero()) {
    return nextPermitAt_;
  }
  const auto expired = (expiredFor + interval_ - Duration(1)) / interval_;
  return nextPermitAt_ + expired * interval_;
}

void RateLimitShare::SetInterval(Duration aInterval, TimePoint aNow)
{
  // The time until the next permit changes with the interval; otherwise a share
  // that has grown would wait for a permit of the smaller one.
  const TimePoint next = NextUnexpired(aNow);
  if (next > aNow) {
    const double ratio = Seconds(aInterval) / Seconds(interval_);
    nextPermitAt_ = aNow + Scaled(next - aNow, ratio);
  } else {
    nextPermitAt_ = next;
  }
  interval_ = aInterval;
}

Duration RateLimitShare::IntervalOf(double aPerSecond,
                                    uint32_t aInstances) const
{
  const double total = std::max(aPerSecond, settings_.minPerSecond_);
  return std::max(Duration(1),
                  duration_cast<Duration>(Seconds(aInstances / total)));
}

} // namespace foxtail
