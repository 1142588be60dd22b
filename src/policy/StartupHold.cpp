#include "policy/StartupHold.h"

#include <algorithm>

namespace foxtail {

std::optional<TimePoint> HoldDuringStartup(const StartupHoldSettings& aSettings,
                                           TimePoint aStartedAt,
                                           TimePoint aDeadline,
                                           TimePoint aNow)
{
  const TimePoint startupEnd = aStartedAt + aSettings.startupTime_;
  const auto longest =
    duration_cast<Duration>((aDeadline - aNow) * aSettings.maxShareOfTimeLeft_);
  const TimePoint until = std::min(startupEnd, aNow + longest);
  return until > aNow ? std::optional(until) : std::nullopt;
}

} // namespace foxtail
