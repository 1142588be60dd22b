#include "policy/AnswerTiming.h"

#include "policy/LinkBacklog.h"
#include "policy/TimerLateness.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace foxtail;

namespace {

const TimePoint kStart{ seconds(10) };
constexpr milliseconds kObjective{ 100 };
constexpr size_t kShards = 90;
/// A forwarded GET request, and the answer of a query with 90 signatures.
constexpr size_t kRequestBytes = 246;
constexpr size_t kAnswerBytes = 3400;

/// A request on a connection in use, from a caller 3 ms away.
AnswerTiming Timing()
{
  AnswerTiming timing;
  timing.startedAt_ = kStart;
  timing.callerStartedAt_ = kStart - milliseconds(3);
  timing.objective_ = kObjective;
  timing.returnDelay_ = milliseconds(3);
  return timing;
}

/// @return the time at the caller of an answer that is written as late as
/// LatestAnswerTime() allows, since the caller began.
Duration LatencyAtCaller(const AnswerTiming& aTiming, Duration aTransit)
{
  return LatestAnswerTime({}, aTiming) + aTiming.timerCoalescing_ +
         aTiming.linkDelay_ + aTransit - aTiming.callerStartedAt_;
}

} // namespace

TEST_CASE("link: a query to 90 shards delays what is written after it")
{
  LinkBacklog link({ 20 });
  CHECK(link.DelayOf(0, kStart) == Duration::zero());
  for (size_t i = 0; i < kShards; ++i) {
    link.OnWrite(kRequestBytes, kStart);
  }
  // 90 x (246 + 66) bytes at 20 Mbit/s take 11.2 ms.
  const Duration queued = link.DelayOf(0, kStart);
  CHECK(queued > milliseconds(11));
  CHECK(queued < milliseconds(12));
  CHECK(link.DelayOf(kAnswerBytes, kStart) > queued + milliseconds(1));
  CHECK(link.DelayOf(0, kStart + milliseconds(5)) == queued - milliseconds(5));
  CHECK(link.DelayOf(0, kStart + milliseconds(50)) == Duration::zero());
}

TEST_CASE("link: without a known rate nothing waits")
{
  LinkBacklog link({ 0 });
  link.OnWrite(1000000, kStart);
  CHECK(link.DelayOf(1000000, kStart) == Duration::zero());
}

TEST_CASE("answer timing: an answer held back to the last moment is in time")
{
  struct Row
  {
    const char* name_;
    Duration linkDelay_;
    Duration timerCoalescing_;
    bool isFirstOnConnection_;
  };
  const Row rows[] = {
    { "a small answer on a fast link",
      milliseconds(0),
      milliseconds(1),
      false },
    { "3.4 KB over 8 Mbit/s", microseconds(3600), milliseconds(1), false },
    { "an answer behind a fan-out of 27 KB at 20 Mbit/s",
      milliseconds(13),
      milliseconds(1),
      false },
    { "the first request of a connection",
      milliseconds(2),
      milliseconds(1),
      true },
    { "timers 10 ms late by design", milliseconds(0), milliseconds(10), false },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    AnswerTiming timing = Timing();
    timing.linkDelay_ = row.linkDelay_;
    timing.timerCoalescing_ = row.timerCoalescing_;
    const Duration transitIn = milliseconds(row.isFirstOnConnection_ ? 9 : 3);
    timing.callerStartedAt_ = kStart - transitIn;
    // Each transit takes an eighth more than its estimate.
    const Duration excess = (transitIn + timing.returnDelay_) / 8;
    CHECK(LatencyAtCaller(timing, timing.returnDelay_ + excess) <= kObjective);
  }
}

TEST_CASE(
  "answer timing: a process that waits for the processor answers sooner")
{
  AnswerTiming timing = Timing();
  const TimePoint usual = LatestAnswerTime({}, timing);
  timing.timerLateness_ = milliseconds(2);
  CHECK(LatestAnswerTime({}, timing) == usual - milliseconds(4));
  timing.timerLateness_ = seconds(1);
  CHECK(LatestAnswerTime({}, timing) == usual - milliseconds(25));
}

TEST_CASE("answer timing: no delay makes the answer later")
{
  const bool holds = rc::check("more delay never allows a later answer", [] {
    const auto duration = [] {
      return Duration(microseconds(*rc::gen::inRange(0, 50000)));
    };
    AnswerTiming timing = Timing();
    timing.linkDelay_ = duration();
    timing.timerLateness_ = duration();
    timing.timerCoalescing_ = duration();
    AnswerTiming slower = timing;
    slower.linkDelay_ += duration();
    slower.timerLateness_ += duration();
    slower.timerCoalescing_ += duration();
    RC_ASSERT(LatestAnswerTime({}, slower) <= LatestAnswerTime({}, timing));
  });
  CHECK(holds);
}

TEST_CASE("timer lateness: rare late timers do not shorten other requests")
{
  struct Row
  {
    const char* name_;
    /// One timer in this many is 8 ms late, the others 0.1 ms.
    int oneIn_;
    Duration atLeast_;
    Duration atMost_;
  };
  const Row rows[] = {
    { "a fan-out delays one timer in 40",
      40,
      Duration::zero(),
      milliseconds(1) },
    { "the processor is short: every second timer is late",
      2,
      milliseconds(7),
      milliseconds(9) },
  };
  for (const Row& row : rows) {
    CAPTURE(row.name_);
    TimerLateness lateness;
    for (int i = 1; i <= 400; ++i) {
      lateness.OnTimer(i % row.oneIn_ == 0 ? microseconds(8000)
                                           : microseconds(100));
      if (i > 100) {
        REQUIRE(lateness.Usual() >= row.atLeast_);
        REQUIRE(lateness.Usual() <= row.atMost_);
      }
    }
  }
}

TEST_CASE(
  "timer lateness: an instance that becomes slow notices within a query")
{
  TimerLateness lateness;
  CHECK(lateness.Usual() == Duration::zero());
  for (int i = 0; i < 200; ++i) {
    lateness.OnTimer(microseconds(100));
  }
  int timers = 0;
  for (; lateness.Usual() < milliseconds(7) && timers < 100; ++timers) {
    lateness.OnTimer(milliseconds(8));
  }
  CHECK(timers <= 10);
}
