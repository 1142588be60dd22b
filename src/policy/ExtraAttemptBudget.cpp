#include "policy/ExtraAttemptBudget.h"

#include <algorithm>

namespace foxtail {

ExtraAttemptBudget::ExtraAttemptBudget(ExtraAttemptBudgetSettings aSettings,
                                       TimePoint aStartedAt)
  : settings_(aSettings)
  , slackFrom_(aStartedAt + aSettings.window_)
{
}

void ExtraAttemptBudget::OnRequest(TimePoint aNow)
{
  Advance(aNow);
  ++slices_[static_cast<size_t>(currentSlice_) % slices_.size()].requests_;
}

bool ExtraAttemptBudget::TryTake(double aReserve, TimePoint aNow)
{
  const WindowCounts count = CountWindow(aNow);
  if (count.extraAttempts_ + 1 > count.allowed_ * (1 - aReserve)) {
    return false;
  }
  ++slices_[static_cast<size_t>(currentSlice_) % slices_.size()].extraAttempts_;
  return true;
}

double ExtraAttemptBudget::UsedFraction(TimePoint aNow)
{
  const WindowCounts count = CountWindow(aNow);
  return count.allowed_ < 1
           ? 1
           : std::min(1.0, count.extraAttempts_ / count.allowed_);
}

ExtraAttemptBudget::WindowCounts ExtraAttemptBudget::CountWindow(TimePoint aNow)
{
  Advance(aNow);
  const size_t oldest = static_cast<size_t>(currentSlice_ + 1) % slices_.size();
  uint32_t requests = 0;
  uint32_t extraAttempts = 0;
  for (size_t i = 0; i < slices_.size(); ++i) {
    extraAttempts += slices_[i].extraAttempts_;
    // Requests of the oldest slice may lie outside the window.
    requests += i == oldest ? 0 : slices_[i].requests_;
  }
  const double slack = aNow < slackFrom_
                         ? 0
                         : settings_.slack_ / std::max<uint32_t>(instances_, 1);
  return { static_cast<double>(extraAttempts),
           settings_.ratio_ * kUsableRatio * requests + slack };
}

void ExtraAttemptBudget::Advance(TimePoint aNow)
{
  const auto slice =
    std::max<Duration>(settings_.window_ / kSlices, Duration(milliseconds(1)));
  const int64_t index = aNow.time_since_epoch() / slice;
  const int64_t steps = std::min<int64_t>(index - currentSlice_,
                                          static_cast<int64_t>(slices_.size()));
  for (int64_t i = 0; i < steps; ++i) {
    slices_[static_cast<size_t>(index - i) % slices_.size()] = {};
  }
  currentSlice_ = std::max(currentSlice_, index);
}

} // namespace foxtail
