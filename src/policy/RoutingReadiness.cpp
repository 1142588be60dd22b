#include "policy/RoutingReadiness.h"

namespace foxtail {

RoutingReadinessSettings RoutingReadinessSettings::Read(JsonReader& aReader)
{
  constexpr milliseconds kLongest{ 60000 };
  RoutingReadinessSettings result;
  result.maxWait_ = aReader.Millis(
    "routing_wait_ms", result.maxWait_, milliseconds(0), kLongest);
  return result;
}

RoutingReadiness::RoutingReadiness(RoutingReadinessSettings aSettings)
  : settings_(aSettings)
{
}

bool RoutingReadiness::IsReady(bool aIsCovered, Duration aSinceStart)
{
  if (aIsCovered || aSinceStart >= settings_.maxWait_) {
    isReady_ = true;
  }
  return isReady_;
}

} // namespace foxtail
