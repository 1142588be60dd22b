#include "policy/AnswerTiming.h"

#include <algorithm>

namespace foxtail {

TimePoint LatestAnswerTime(const AnswerTimingSettings& aSettings,
                           const AnswerTiming& aTiming)
{
  const Duration latenessMargin =
    std::min<Duration>(duration_cast<Duration>(aTiming.timerLateness_ *
                                               aSettings.timerLatenessFactor_),
                       aSettings.maxLatenessMargin_);
  const Duration transits =
    aTiming.startedAt_ - aTiming.callerStartedAt_ + aTiming.returnDelay_;
  const auto variation =
    duration_cast<Duration>(transits * aSettings.transitVariation_);
  return aTiming.callerStartedAt_ + aTiming.objective_ - aTiming.returnDelay_ -
         variation - aTiming.linkDelay_ - aTiming.timerCoalescing_ -
         aSettings.margin_ - latenessMargin;
}

} // namespace foxtail
