#ifndef POLICY_EXTRAATTEMPTBUDGET_H
#define POLICY_EXTRAATTEMPTBUDGET_H

#include "core/Time.h"

#include <array>
#include <cstdint>

namespace foxtail {

/// Bound on requests that are sent once more, to another backend server.
struct ExtraAttemptBudgetSettings
{
  /// Extra sends for each request, over all instances together.
  double ratio_ = 0.2;
  /// Sliding window over which both are counted.
  milliseconds window_{ 10000 };
  /// Extra sends in a window beyond the ratio, over all instances together.
  double slack_ = 50;
};

/// Keeps this instance's part of a service's budget of extra sends: the ratio
/// of its own requests and an equal share of the slack. When each instance
/// keeps to its part, all together keep to the whole, without messages. Not
/// thread safe.
class ExtraAttemptBudget
{
public:
  explicit ExtraAttemptBudget(ExtraAttemptBudgetSettings aSettings);

  /// @param aInstances those that may share the slack, at least 1.
  void SetInstances(uint32_t aInstances) { instances_ = aInstances; }

  /// Counts a request's first send.
  void OnRequest(TimePoint aNow);

  /// @param aReserve part of the budget that is left alone, 0 to 1: what may
  /// wait leaves room for what may not.
  /// @return whether one more extra send keeps within the budget; it is then
  /// counted.
  bool TryTake(double aReserve, TimePoint aNow);

  /// @return the used part of the budget, 0 to 1.
  double UsedFraction(TimePoint aNow);

private:
  /// Slices of a window. The oldest one counts in full until it is dropped, so
  /// that any window of the given length is kept.
  static constexpr size_t kSlices = 20;
  /// Part of the ratio that is used: requests near the window's edge may be
  /// counted in one window here and in the next one by others.
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
  uint32_t instances_ = 1;
  /// One more than a window holds: extras leave after a whole window.
  std::array<Slice, kSlices + 1> slices_{};
  int64_t currentSlice_ = 0;
};

} // namespace foxtail

#endif // POLICY_EXTRAATTEMPTBUDGET_H
