#include "policy/StartupHold.h"

#include <algorithm>

namespace foxtail {

StartupDecision DecideDuringStartup(const StartupHoldSettings& aSettings,
                                    TimePoint aStartedAt,
                                    TimePoint aDeadline,
                                    TimePoint aNow)
{
  const TimePoint usualEnd = aStartedAt + aSettings.startupTime_;
  const TimePoint latestEnd = aStartedAt + aSettings.maxStartupTime_;
  if (aNow >= latestEnd || aNow >= aDeadline) {
    return StartupOver{};
  }
  const bool canReturn =
    aNow < usualEnd && aDeadline >= usualEnd + aSettings.minTimeAfterReturn_;
  if (canReturn) {
    return ReturnLater{ std::chrono::ceil<milliseconds>(usualEnd - aNow) };
  }
  const auto longest =
    duration_cast<Duration>((aDeadline - aNow) * aSettings.maxShareOfTimeLeft_);
  return HoldUntil{ std::min(latestEnd, aNow + longest) };
}

} // namespace foxtail
