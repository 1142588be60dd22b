#include "forward/TimerQueue.h"

#include <algorithm>

namespace foxtail {

TimerQueue::TimerQueue(boost::asio::io_context& aContext)
  : timer_(aContext)
{
}

void TimerQueue::Add(TimePoint aTime, std::weak_ptr<TimedTask> aTask)
{
  entries_.push({ aTime, std::move(aTask) });
  ScheduleTimer();
}

void TimerQueue::Stop()
{
  isStopped_ = true;
  timer_.cancel();
}

void TimerQueue::ScheduleTimer()
{
  if (isFiring_ || isStopped_ || entries_.empty() ||
      entries_.top().time_ >= timerAt_) {
    return;
  }
  timerAt_ = entries_.top().time_;
  timer_.expires_at(timerAt_ + kCoalesceDelay);
  timer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Fire();
    }
  });
}

void TimerQueue::Fire()
{
  const TimePoint now = Now();
  lateness_.OnTimer(now - timerAt_ - Duration(kCoalesceDelay));
  timerAt_ = TimePoint::max();
  // Due tasks are removed first, so that a task added by one of them runs
  // later, even if it is already due.
  std::vector<std::weak_ptr<TimedTask>> due;
  while (!entries_.empty() && entries_.top().time_ <= now) {
    due.push_back(entries_.top().task_);
    entries_.pop();
  }
  isFiring_ = true;
  for (const auto& entry : due) {
    if (const auto task = entry.lock()) {
      task->OnTimer(now);
    }
  }
  isFiring_ = false;
  ScheduleTimer();
}

} // namespace foxtail
