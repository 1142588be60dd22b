#ifndef POLICY_EXTRAATTEMPTBUDGET_H
#define POLICY_EXTRAATTEMPTBUDGET_H

#include "core/Time.h"

#include <array>
#include <cstdint>

namespace foxtail {

/// Bound on extra attempts: retries and hedges, sent to another backend server.
struct ExtraAttemptBudgetSettings
{
  /// Extra attempts per request, over all instances together.
  double ratio_ = 0.2;
  /// Sliding window over which requests and extra attempts are counted.
  milliseconds window_{ 10000 };
  /// Extra attempts allowed in a window beyond the ratio, over all instances
  /// together.
  double slack_ = 50;
};

/// This instance's share of a service's budget of extra attempts: the ratio of
/// its own requests and an equal share of the slack. If each instance keeps
/// within its share, all of them together keep within the service's budget
/// without exchanging messages. Not thread safe.
class ExtraAttemptBudget
{
public:
  /// @param aStartedAt start of the process. For one window from then on the
  /// slack is not available, as an earlier process of the instance may have
  /// used its share in that window.
  ExtraAttemptBudget(ExtraAttemptBudgetSettings aSettings,
                     TimePoint aStartedAt);

  /// @param aInstances instances that may share the slack, at least 1.
  void SetInstances(uint32_t aInstances) { instances_ = aInstances; }

  /// Counts a request's first attempt.
  void OnRequest(TimePoint aNow);

  /// @param aReserve fraction of the budget that this call leaves unused, 0 to
  /// 1, so that optional extra attempts leave room for necessary ones.
  /// @return whether one more extra attempt is within the budget; if so, it is
  /// counted.
  bool TryTake(double aReserve, TimePoint aNow);

  /// @return the used fraction of the budget, 0 to 1.
  double UsedFraction(TimePoint aNow);

private:
  /// Slices of a window. The oldest slice counts in full until it is dropped,
  /// so that the budget holds in every window of the given length.
  static constexpr size_t kSlices = 20;
  /// Fraction of the ratio that is used. Requests near the edge of a window may
  /// be counted in this window here and in the next one by other instances.
  static constexpr double kUsableRatio = 0.9;

  struct Slice
  {
    uint32_t requests_ = 0;
    uint32_t extraAttempts_ = 0;
  };

  struct WindowCounts
  {
    double extraAttempts_ = 0;
    double allowed_ = 0;
  };

  void Advance(TimePoint aNow);
  WindowCounts CountWindow(TimePoint aNow);

  ExtraAttemptBudgetSettings settings_;
  /// When the slack becomes available.
  TimePoint slackFrom_;
  uint32_t instances_ = 1;
  /// One slice more than a window has, so that extra attempts are dropped only
  /// after a whole window.
  std::array<Slice, kSlices + 1> slices_{};
  int64_t currentSlice_ = 0;
};

} // namespace foxtail

#endif // POLICY_EXTRAATTEMPTBUDGET_H
