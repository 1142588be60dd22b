#ifndef POLICY_TIMERLATENESS_H
#define POLICY_TIMERLATENESS_H

#include "policy/DecayingQuantile.h"

namespace foxtail {

/// Estimates how late timers usually fire, which shows how long this process
/// waits for the processor. An instance with few requests fires a few timers
/// for each, so a single late timer, as while a query to 90 shards is sent,
/// must not shorten the time of the next requests. Not thread safe.
class TimerLateness
{
public:
  /// Counts one timer that fired @p aLateness after its time.
  void OnTimer(Duration aLateness);

  /// @return a lateness that few of the recent timers exceeded.
  Duration Usual() const { return usual_; }

private:
  DecayingQuantile recent_{ 100 };
  Duration usual_{};
};

} // namespace foxtail

#endif // POLICY_TIMERLATENESS_H
