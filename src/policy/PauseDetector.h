#ifndef POLICY_PAUSEDETECTOR_H
#define POLICY_PAUSEDETECTOR_H

#include "core/Time.h"

namespace foxtail {

struct PauseDetectorSettings
{
  /// Interval at which OnTick() is scheduled.
  milliseconds tickInterval_{ 50 };
  /// Delay of a tick from which the process is taken to have been paused. Below
  /// it, requests wait as on any busy machine.
  milliseconds minPause_{ 200 };
};

/// Detects that the process did not run for a while, as when its machine was
/// suspended or had no processor time. A request that is read right after such
/// a pause may have been sent at any time during it, so the time that its
/// caller allows must be taken to have begun with the pause. Not thread safe.
class PauseDetector
{
public:
  explicit PauseDetector(PauseDetectorSettings aSettings = {});

  /// Called at each tick. The first call starts the detection.
  void OnTick(TimePoint aNow);

  /// @return the longest time for which bytes that are read now may have waited
  /// because of a pause; zero when the process has been running.
  Duration PossibleDelay(TimePoint aNow) const;

private:
  Duration DelayOfTick(TimePoint aNow) const;

  PauseDetectorSettings settings_;
  TimePoint lastTickAt_{};
  /// Duration of the latest pause, and until when bytes that arrived during it
  /// may still be read: the events of one poll are handled in any order.
  Duration pause_{};
  TimePoint pauseCountsUntil_{};
};

} // namespace foxtail

#endif // POLICY_PAUSEDETECTOR_H
