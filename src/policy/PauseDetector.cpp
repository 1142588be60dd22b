#include "policy/PauseDetector.h"

#include <algorithm>

namespace foxtail {

PauseDetector::PauseDetector(PauseDetectorSettings aSettings)
  : settings_(aSettings)
{
}

void PauseDetector::OnTick(TimePoint aNow)
{
  const Duration delay = DelayOfTick(aNow);
  if (delay >= settings_.minPause_) {
    pause_ = delay;
    pauseCountsUntil_ = aNow + settings_.tickInterval_;
  }
  lastTickAt_ = aNow;
}

Duration PauseDetector::PossibleDelay(TimePoint aNow) const
{
  const Duration current = DelayOfTick(aNow);
  const Duration recent = aNow < pauseCountsUntil_ ? pause_ : Duration::zero();
  return std::max(current >= settings_.minPause_ ? current : Duration::zero(),
                  recent);
}

Duration PauseDetector::DelayOfTick(TimePoint aNow) const
{
  return lastTickAt_ == TimePoint{}
           ? Duration::zero()
           : aNow - lastTickAt_ - Duration(settings_.tickInterval_);
}

} // namespace foxtail
