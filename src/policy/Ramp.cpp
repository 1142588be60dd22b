#include "policy/Ramp.h"

#include <algorithm>

namespace foxtail {

RampSettings RampSettings::Read(JsonReader& aReader)
{
  RampSettings result;
  result.duration_ = aReader.Millis(
    "duration_ms", result.duration_, milliseconds(0), milliseconds(600000));
  result.floor_ = aReader.Number("floor", result.floor_, 0.01, 1);
  return result;
}

double RampWeight(const RampSettings& aSettings,
                  TimePoint aSince,
                  TimePoint aNow)
{
  if (aNow >= aSince + aSettings.duration_) {
    return 1;
  }
  const double elapsed = ToMilliseconds(aNow - aSince);
  const double total = ToMilliseconds(aSettings.duration_);
  const double fraction = std::clamp(elapsed / total, 0.0, 1.0);
  return aSettings.floor_ + (1 - aSettings.floor_) * fraction;
}

} // namespace foxtail
