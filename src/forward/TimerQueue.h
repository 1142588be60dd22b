#ifndef FORWARD_TIMERQUEUE_H
#define FORWARD_TIMERQUEUE_H

#include "policy/TimerLateness.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <queue>
#include <vector>

namespace foxtail {

/// A task that is called at a scheduled time.
class TimedTask
{
public:
  virtual ~TimedTask() = default;
  virtual void OnTimer(TimePoint aNow) = 0;
};

/// Schedules many tasks on one timer, so that a task needs no system call of
/// its own. A task that no longer exists is skipped. Not thread-safe.
class TimerQueue
{
public:
  explicit TimerQueue(boost::asio::io_context& aContext);

  /// Calls @p aTask at @p aTime or slightly later, never from within Add().
  void Add(TimePoint aTime, std::weak_ptr<TimedTask> aTask);

  /// @return how late timers usually fire, beyond kCoalesceDelay.
  Duration UsualLateness() const { return lateness_.Usual(); }

  /// Delay added to each timer, so that tasks due close together share a
  /// wake-up. It is shorter than the shortest delay that matters, that of a
  /// hedge.
  static constexpr milliseconds kCoalesceDelay{ 1 };

  /// Stops calling tasks.
  void Stop();

private:
  struct Entry
  {
    TimePoint time_;
    std::weak_ptr<TimedTask> task_;
    bool operator<(const Entry& aOther) const { return time_ > aOther.time_; }
  };

  void ScheduleTimer();
  void Fire();

  boost::asio::steady_timer timer_;
  std::priority_queue<Entry> entries_;
  TimePoint timerAt_ = TimePoint::max();
  TimerLateness lateness_;
  bool isFiring_ = false;
  bool isStopped_ = false;
};

} // namespace foxtail

#endif // FORWARD_TIMERQUEUE_H
