#ifndef FORWARD_TIMERQUEUE_H
#define FORWARD_TIMERQUEUE_H

#include "core/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <queue>
#include <vector>

namespace foxtail {

/// Something that is to be called at a time.
class TimedTask
{
public:
  virtual ~TimedTask() = default;
  virtual void OnTimer(TimePoint aNow) = 0;
};

/// Calls many tasks by one timer, so that a task costs no system call of its
/// own. A task that has ended is skipped. One thread's.
class TimerQueue
{
public:
  explicit TimerQueue(boost::asio::io_context& aContext);

  /// Calls @p aTask at @p aTime or a little later, never from within.
  void Add(TimePoint aTime, std::weak_ptr<TimedTask> aTask);

  /// @return how late tasks were called lately, at worst: what this process
  /// waits for its processor. Fades with each call.
  Duration Lag() const { return lag_; }

  /// Stops calling.
  void Stop();

private:
  struct Entry
  {
    TimePoint time_;
    std::weak_ptr<TimedTask> task_;
    bool operator<(const Entry& aOther) const { return time_ > aOther.time_; }
  };

  /// The timer fires this much late, so that tasks due close together share a
  /// wake-up; it lies below the shortest delay that matters, that of a hedge.
  static constexpr milliseconds kCoalesceDelay{ 1 };

  void ScheduleTimer();
  void Fire();

  boost::asio::steady_timer timer_;
  std::priority_queue<Entry> entries_;
  TimePoint timerAt_ = TimePoint::max();
  Duration lag_{};
  bool isFiring_ = false;
  bool isStopped_ = false;
};

} // namespace foxtail

#endif // FORWARD_TIMERQUEUE_H
