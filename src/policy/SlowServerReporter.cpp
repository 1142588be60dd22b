#include "policy/SlowServerReporter.h"

namespace foxtail {

void SlowServerReporter::OnLatency(const SlowServerReport& aObservation)
{
  const bool isSlow = aObservation.ratio_ >= kReportedRatio;
  slowFraction_ += ((isSlow ? 1 : 0) - slowFraction_) * kSampleWeight;
  if (isSlow && slowFraction_ < kMaxSlowFraction && callback_) {
    callback_(aObservation);
  }
}

} // namespace foxtail
