#include "policy/ServerPace.h"

#include <algorithm>
#include <cmath>

namespace foxtail {

bool ServerPace::Begin(TimePoint aNow)
{
  if (!settings_.isEnabled_) {
    return false;
  }
  beganAt_ = aNow;
  share_ = settings_.initialShare_;
  changedAt_ = aNow;
  reducedAt_ = aNow;
  return true;
}

bool ServerPace::IsRamping(TimePoint aNow) const
{
  return settings_.isEnabled_ && beganAt_ != TimePoint{} &&
         aNow - beganAt_ < settings_.maxRampTime_;
}

double ServerPace::Share(TimePoint aNow) const
{
  if (!IsRamping(aNow)) {
    return 1;
  }
  const double ramps = std::chrono::duration<double>(aNow - changedAt_) /
                       std::chrono::duration<double>(settings_.rampTime_);
  return std::min(1.0, share_ * std::pow(settings_.initialShare_, -ramps));
}

void ServerPace::OnReply(double aRatio, TimePoint aSentAt, TimePoint aNow)
{
  if (!IsRamping(aNow) || aSentAt < reducedAt_) {
    // Requests that were outstanding together show one slow time, not several.
    return;
  }
  if (aRatio < settings_.slowRatio_) {
    Scale(settings_.fastFactor_, aNow);
  } else {
    reducedAt_ = aNow;
    Scale(settings_.slowFactor_, aNow);
  }
}

void ServerPace::OnFailure(TimePoint aSentAt, TimePoint aNow)
{
  if (IsRamping(aNow) && aSentAt >= reducedAt_) {
    reducedAt_ = aNow;
    Scale(settings_.failureFactor_, aNow);
  }
}

void ServerPace::Scale(double aFactor, TimePoint aNow)
{
  share_ = std::clamp(Share(aNow) * aFactor, settings_.minShare_, 1.0);
  changedAt_ = aNow;
}

} // namespace foxtail
