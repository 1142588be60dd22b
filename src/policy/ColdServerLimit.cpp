#include "policy/ColdServerLimit.h"

#include <algorithm>
#include <cmath>

namespace foxtail {

double PlannedColdRate(const ColdServerLimitSettings& aSettings,
                       double aPerSecond,
                       uint32_t aInstances)
{
  const double window =
    1 + std::chrono::duration<double>(aSettings.permitLifetime_).count();
  const double bound = aPerSecond * aSettings.overage_ + aSettings.slack_;
  // Each instance has at most one permit more in the window than its mean, so
  // with few instances that bounds the deviation. The mean may have any value
  // up to the larger of the two limits.
  const double byInstances = bound - aInstances;
  const double deviations = aSettings.safetyDeviations_;
  const double root =
    (std::sqrt(deviations * deviations + 4 * bound) - deviations) / 2;
  const double byChance = root * root;
  return std::min(aPerSecond, std::max(byInstances, byChance) / window);
}

ColdServerLimit::ColdServerLimit(ColdServerLimitSettings aSettings)
  : settings_(aSettings)
  , share_(RateLimitShareSettings{ aSettings.permitLifetime_ })
{
}

void ColdServerLimit::SetRate(double aPerSecond, TimePoint aNow)
{
  if (aPerSecond != perSecond_) {
    perSecond_ = aPerSecond;
    UpdateShare(aNow);
  }
}

void ColdServerLimit::SetInstances(uint32_t aInstances, TimePoint aNow)
{
  instances_ = std::max<uint32_t>(aInstances, 1);
  share_.SetInstances(instances_, aNow);
  UpdateShare(aNow);
}

void ColdServerLimit::SetColdUntil(TimePoint aUntil,
                                   double aPhase,
                                   TimePoint aNow)
{
  if (!IsCold(aNow)) {
    share_.Clear();
    phase_ = aPhase;
  }
  coldUntil_ = aUntil;
  UpdateShare(aNow);
}

void ColdServerLimit::UpdateShare(TimePoint aNow)
{
  if (IsLimiting(aNow)) {
    share_.SetLimit(
      PlannedColdRate(settings_, perSecond_, instances_), phase_, aNow);
  } else {
    share_.Clear();
  }
}

TimePoint ColdServerLimit::NextPermitAt(TimePoint aNow) const
{
  return IsLimiting(aNow) ? std::min(share_.NextPermitAt(aNow), coldUntil_)
                          : aNow;
}

void ColdServerLimit::TakePermit(TimePoint aNow)
{
  if (IsLimiting(aNow)) {
    share_.TakePermit(aNow);
  }
}

} // namespace foxtail
