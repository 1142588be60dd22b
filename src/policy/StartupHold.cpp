#include "policy/StartupHold.h"

#include <algorithm>

namespace foxtail {

StartupDecision DecideDuringStartup(const StartupHoldSettings& aSettings,
                                    TimePoint aStartedAt,
                                    TimePoint aDeadline,
                                    TimePoint aNow)
{
  const TimePoint startupEnd = aStartedAt + aSettings.startupTime_;
  if (aNow >= startupEnd || aNow >= aDeadline) {
    return StartupOver{};
  }
  if (aDeadline >= startupEnd + aSettings.minTimeAfterReturn_) {
    return ReturnLater{ std::chrono::ceil<milliseconds>(startupEnd - aNow) };
  }
  const auto longest =
    duration_cast<Duration>((aDeadline - aNow) * aSettings.maxShareOfTimeLeft_);
  return HoldUntil{ std::min(startupEnd, aNow + longest) };
}

} // namespace foxtail
