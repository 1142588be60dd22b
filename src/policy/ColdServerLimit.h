#ifndef POLICY_COLDSERVERLIMIT_H
#define POLICY_COLDSERVERLIMIT_H

#include "policy/RateLimitShare.h"

namespace foxtail {

struct ColdServerLimitSettings
{
  /// Requests that all instances together may send to a cold server in any
  /// second: rate * overage_ + slack_.
  double overage_ = 1.5;
  double slack_ = 5;
  /// How long a permit may be used after it is due. All permits of this time
  /// may be used at once, so it counts towards the bound.
  milliseconds permitLifetime_{ 300 };
  /// Distance of the bound from the mean number of permits due in a second, in
  /// standard deviations. The phases of the instances are independent, so the
  /// number of permits that are due together varies.
  double safetyDeviations_ = 4.5;
};

/// @return requests per second that all instances together plan for, at most
/// @p aPerSecond, so that the bound holds in every second though their permits
/// fall due independently.
double PlannedColdRate(const ColdServerLimitSettings& aSettings,
                       double aPerSecond,
                       uint32_t aInstances);

/// This instance's share of the request rate that a backend server tolerates
/// while it is cold. Not thread safe.
class ColdServerLimit
{
public:
  explicit ColdServerLimit(ColdServerLimitSettings aSettings = {});

  /// @param aPerSecond rate tolerated from all instances; 0 for no limit.
  void SetRate(double aPerSecond, TimePoint aNow);
  /// @param aInstances instances that share the rate, at least 1.
  void SetInstances(uint32_t aInstances, TimePoint aNow);
  /// @param aPhase random number in [0, 1), the part of an interval until the
  /// first permit; used when the server turns cold.
  void SetColdUntil(TimePoint aUntil, double aPhase, TimePoint aNow);

  bool IsCold(TimePoint aNow) const { return aNow < coldUntil_; }
  /// @return whether a limit is in force.
  bool IsLimiting(TimePoint aNow) const
  {
    return IsCold(aNow) && perSecond_ > 0;
  }
  TimePoint NextPermitAt(TimePoint aNow) const;
  void TakePermit(TimePoint aNow);

private:
  void UpdateShare(TimePoint aNow);

  ColdServerLimitSettings settings_;
  RateLimitShare share_;
  double perSecond_ = 0;
  uint32_t instances_ = 1;
  double phase_ = 0;
  TimePoint coldUntil_{};
};

} // namespace foxtail

#endif // POLICY_COLDSERVERLIMIT_H
