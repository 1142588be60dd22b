#include "policy/StartupHold.h"

#include <algorithm>

namespace foxtail {

StartupDecision DecideDuringStartup(const StartupHoldSettings& aSettings,
                                    TimePoint aStartedAt,
                                    TimePoint aDeadline,
                                    TimePoint aNow)
{
  if (aNow >= aStartedAt + aSettings.maxStartupTime_ || aNow >= aDeadline) {
    return StartupOver{};
  }
  const TimePoint usualEnd = aStartedAt + aSettings.startupTime_;
  const TimePoint startupEnd =
    aNow < usualEnd ? usualEnd : aNow + aSettings.extension_;
  if (aDeadline >= startupEnd + aSettings.minTimeAfterReturn_) {
    return ReturnLater{ std::chrono::ceil<milliseconds>(startupEnd - aNow) };
  }
  const auto longest =
    duration_cast<Duration>((aDeadline - aNow) * aSettings.maxShareOfTimeLeft_);
  return HoldUntil{ std::min(startupEnd, aNow + longest) };
}

} // namespace foxtail
