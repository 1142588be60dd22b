#ifndef POLICY_ANSWERTIMING_H
#define POLICY_ANSWERTIMING_H

#include "core/Time.h"

namespace foxtail {

struct AnswerTimingSettings
{
  /// Time by which an answer is sent before the latest possible moment:
  /// merging and writing take time.
  milliseconds margin_{ 3 };
  /// Share, 0 to 1, of the transit times between the caller and this instance
  /// by which they may exceed their estimate. TCP reports a smoothed round
  /// trip, while each packet is delayed by a different amount.
  double transitVariation_ = 0.125;
  /// Multiple of the usual lateness of timers that is added to the margin, and
  /// its maximum: the work after a decision is delayed as timers are.
  double timerLatenessFactor_ = 2;
  milliseconds maxLatenessMargin_{ 25 };
};

/// What determines when the answer to one request must leave.
struct AnswerTiming
{
  /// Estimated time at which the caller began its attempt.
  TimePoint callerStartedAt_{};
  /// When the request was read.
  TimePoint startedAt_{};
  Duration objective_{};
  /// Estimated transit time of the answer, without its transmission.
  Duration returnDelay_{};
  /// Time until the last byte of the answer has left this machine.
  Duration linkDelay_{};
  /// How late timers usually fire.
  Duration timerLateness_{};
  /// Time by which each timer is late by design.
  Duration timerCoalescing_{};
};

/// @return the latest time at which an answer can be written and still reach
/// the caller within the objective.
TimePoint LatestAnswerTime(const AnswerTimingSettings& aSettings,
                           const AnswerTiming& aTiming);

} // namespace foxtail

#endif // POLICY_ANSWERTIMING_H
