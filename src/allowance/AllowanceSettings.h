#ifndef ALLOWANCE_ALLOWANCESETTINGS_H
#define ALLOWANCE_ALLOWANCESETTINGS_H

#include "core/Time.h"

#include <algorithm>
#include <string>

namespace foxtail {

/// Rate and burst of a resource that all instances use together.
struct AllowanceLimit
{
  std::string name_;
  /// Permits per second and permits that may be used at once beyond that rate;
  /// a rate of 0 means that there is no limit.
  double perSecond_ = 0;
  double burst_ = 0;
};

/// Tolerance of a bound and the lifetimes that follow from it: in every sliding
/// window all instances together use at most (rate * window + burst) * (1 +
/// overage) + slack permits.
struct AllowanceSettings
{
  milliseconds window_{ 5000 };
  double overage_ = 0.1;
  double slack_ = 20;
  /// Shares of overage * window for which a permit is valid after a move from
  /// one control instance to another, and after a move to an entry instance.
  /// The rest is left for the time between the use of a permit and the moment
  /// at which the request is sent.
  double controlLifetimeShare_ = 0.4;
  double entryLifetimeShare_ = 0.4;
  /// An account continues with the larger number of control instances for this
  /// long after the number has fallen: a removed instance may still run behind
  /// a network partition.
  milliseconds membershipDelay_{ 10000 };
  /// A control instance that has not replied for callTimeout_ is not asked for
  /// skipTime_.
  milliseconds callTimeout_{ 30 };
  milliseconds skipTime_{ 1000 };
  /// Shortest time for which an entry instance refuses requests by itself. It
  /// bounds the requests of many instances for one exhausted account.
  milliseconds minRefusal_{ 50 };
  /// Longest time that a refusal states.
  milliseconds maxRefusal_{ 60000 };
  /// Time constant of the average of recent demand.
  milliseconds demandTime_{ 1000 };

  Duration Lifetime(double aShare) const
  {
    return duration_cast<Duration>(window_ * (overage_ * aShare));
  }
  Duration ControlLifetime() const { return Lifetime(controlLifetimeShare_); }
  Duration EntryLifetime() const { return Lifetime(entryLifetimeShare_); }
  Duration SendMargin() const
  {
    return Lifetime(1 - controlLifetimeShare_ - entryLifetimeShare_);
  }
};

/// Average of a rate of events, with exponentially decreasing weights.
class RecentDemand
{
public:
  void Add(double aAmount, Duration aTimeConstant, TimePoint aNow);
  /// @return events per second.
  double PerSecond(Duration aTimeConstant, TimePoint aNow) const;

private:
  double perSecond_ = 0;
  TimePoint updatedAt_{};
};

} // namespace foxtail

#endif // ALLOWANCE_ALLOWANCESETTINGS_H
