#ifndef ALLOWANCE_ALLOWANCEACCOUNT_H
#define ALLOWANCE_ALLOWANCEACCOUNT_H

#include "allowance/AllowanceSettings.h"

#include <utility>
#include <vector>

namespace foxtail {

/// Permits of one limited resource at one control instance: those that accrue
/// here, up to a cap, and those that were moved here and expire. Amounts have
/// fractions, as an account may earn far less than one permit a second. Not
/// thread-safe.
class AllowanceAccount
{
public:
  /// Starts with few permits, so that restarts of all instances stay inside the
  /// slack.
  ///
  /// @param aInstances control instances that share the limit, at least 1.
  AllowanceAccount(const AllowanceSettings& aSettings,
                   const AllowanceLimit& aLimit,
                   size_t aInstances,
                   TimePoint aNow);

  /// Changes the limit or the number of control instances. Permits are kept up
  /// to the new cap.
  void SetLimit(const AllowanceSettings& aSettings,
                const AllowanceLimit& aLimit,
                size_t aInstances,
                TimePoint aNow);

  /// @return permits that can be taken.
  double Available(TimePoint aNow);
  /// Takes up to @p aAmount permits, moved ones before own ones and the oldest
  /// first.
  ///
  /// @return the permits taken.
  double Take(double aAmount, TimePoint aNow);
  /// Takes up to @p aAmount own permits for another instance; moved ones are
  /// not moved on, as their lifetimes would add up.
  double MoveOut(double aAmount, TimePoint aNow);
  /// Adds permits that another instance has subtracted.
  void MoveIn(double aAmount, TimePoint aExpiresAt, TimePoint aNow);

  /// @return own permits.
  double Own(TimePoint aNow);
  /// @return moved permits that have expired unused since the last call.
  double TakeExpired() { return std::exchange(expired_, 0.0); }
  double Cap() const { return cap_; }
  /// @return permits per second that accrue here.
  double PerSecond() const { return perSecond_; }

private:
  struct Moved
  {
    double amount_ = 0;
    TimePoint expiresAt_{};
  };

  void Update(TimePoint aNow);

  double own_ = 0;
  double perSecond_ = 0;
  double cap_ = 0;
  double expired_ = 0;
  TimePoint updatedAt_{};
  /// Ordered by expiry.
  std::vector<Moved> moved_;
};

} // namespace foxtail

#endif // ALLOWANCE_ALLOWANCEACCOUNT_H
